"""Links between two hosts on real sockets."""

import base64
import itertools
import random
import socket
import struct

import gevent
import pytest
from gevent.server import StreamServer
from msgspec.structs import replace

from wasabitray_core.controllers.revised_documents import RevisedDocuments
from wasabitray_core.messages import (
    Announcement,
    ConfigDelta,
    ConfigPull,
    ConfigState,
    DocumentEdit,
    Hello,
    News,
    Quarantine,
)
from wasabitray_core.states import TargetPhase
from wasabitray_node.links import (
    MAX_FRAME_BYTES,
    PeerLinks,
    PeerListener,
    PeerSocket,
)
from wasabitray_wire import to_wire

DEADLINE_S = 5.0
TOO_LARGE = 2**40


def announce(slots=2, service="rota"):
    target = Announcement(
        "i-1", service, "south", "hobart", slots, 1, 1,
        TargetPhase.ACTIVE, 0.0, "10.0.0.1:80",
    )  # fmt: skip
    return News((target,))


class Receiver:
    """A host that records the messages it receives."""

    def __init__(self):
        self.messages = []
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        self.listener = PeerListener(
            self.address, "", self.receive, lambda host, address: None
        )

    def receive(self, peer, message):
        self.messages.append(message)

    def wait_for(self, message):
        with gevent.Timeout(DEADLINE_S):
            while message not in self.messages:
                gevent.sleep(0.01)


@pytest.fixture
def receiver():
    receiver = Receiver()
    receiver.listener.start()
    yield receiver
    receiver.listener.stop()


@pytest.fixture
def links(receiver):
    hello = Hello("e1", "127.0.0.1:1", "")
    return PeerLinks(hello, {"c1": receiver.address}, "127.0.0.1")


@pytest.mark.parametrize(
    "message",
    [
        announce(slots=TOO_LARGE),
        announce(service="\ud800"),
        News(quarantines=(Quarantine("f", (7,)),)),
        "no message",
    ],
    ids=["number", "surrogate", "type", "kind"],
)
def test_message_that_cannot_be_encoded_is_dropped_alone(
    links, receiver, message
):
    links.send("c1", ConfigPull(1))
    links.send("c1", message)
    links.send("c1", ConfigPull(2))
    receiver.wait_for(ConfigPull(2))
    assert receiver.messages == [ConfigPull(1), ConfigPull(2)]
    links.send("c1", ConfigPull(3))
    receiver.wait_for(ConfigPull(3))


def test_message_that_cannot_be_decoded_is_dropped_alone(
    links, receiver, monkeypatch
):
    def spoil(message):
        struct = to_wire(message)
        if message == ConfigPull(7):
            struct.config_pull.after = None
        return struct

    monkeypatch.setattr("wasabitray_node.large_messages.to_wire", spoil)
    for number in (1, 7, 2):
        links.send("c1", ConfigPull(number))
    receiver.wait_for(ConfigPull(2))
    assert receiver.messages == [ConfigPull(1), ConfigPull(2)]


def test_item_that_cannot_be_decoded_is_dropped_alone(
    links, receiver, monkeypatch
):
    def spoil(message):
        struct = to_wire(message)
        if struct.news is not None:
            struct.news.announcements[0].phase = 77
        return struct

    monkeypatch.setattr("wasabitray_node.large_messages.to_wire", spoil)
    quarantine = Quarantine("f", ("t1",))
    links.send("c1", News(announce().announcements, quarantines=(quarantine,)))
    receiver.wait_for(News(quarantines=(quarantine,)))


# A few times the limits, and the buffers of two sockets.
MAX_SENT_BYTES = 16 * 1_048_576
LARGEST_FRAME = struct.pack("!i", MAX_FRAME_BYTES)


def send_endlessly(sock, start):
    """Send bytes until the connection is closed; return how many."""
    sent = 0
    try:
        for piece in itertools.chain([start], itertools.repeat(b"a" * 4_096)):
            sock.sendall(piece)
            sent += len(piece)
            gevent.sleep(0)
    except OSError:
        return sent


# Guards against a process that is no peer and exhausts a host's memory.
@pytest.mark.parametrize(
    "start", [b"", LARGEST_FRAME], ids=["no protocol", "large frame"]
)
def test_connection_that_sends_endlessly_before_its_hello_is_closed(
    receiver, start
):
    host, _, port = receiver.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    with gevent.Timeout(DEADLINE_S):
        assert send_endlessly(sock, start) < MAX_SENT_BYTES
    assert receiver.messages == []


@pytest.mark.parametrize(
    "start", [b"", LARGEST_FRAME], ids=["no protocol", "large frame"]
)
def test_link_to_an_address_that_was_taken_over_reads_little(start):
    sent = []

    def serve(sock, _address):
        sock.recv(4_096)
        sent.append(send_endlessly(sock, start))

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    hello = Hello("e1", "127.0.0.1:1", "")
    links = PeerLinks(hello, {"c1": address}, "127.0.0.1")
    links.send("c1", ConfigPull(1))
    with gevent.Timeout(DEADLINE_S):
        while not sent:
            gevent.sleep(0.01)
    server.stop(timeout=0)
    assert sent[0] < MAX_SENT_BYTES


def test_large_message_passes_after_the_hello(links, receiver):
    message = News(
        tuple(
            replace(announce().announcements[0], target=f"i-{n}")
            for n in range(2_000)
        )
    )
    links.send("c1", message)
    receiver.wait_for(message)


class CountingSocket:
    """A socket that counts how often it is read."""

    def __init__(self, sock):
        self.sock, self.reads = sock, 0

    def fileno(self):
        return self.sock.fileno()

    def recv(self, size):
        self.reads += 1
        return self.sock.recv(size)


@pytest.fixture
def pair():
    ours, theirs = gevent.socket.socketpair()
    yield CountingSocket(ours), theirs
    ours.close()
    theirs.close()


# Guards against several system calls for each frame.
def test_frames_that_have_arrived_are_read_at_once(pair):
    ours, theirs = pair
    endpoint = PeerSocket(ours, DEADLINE_S)
    job = gevent.spawn(lambda: [endpoint.readAll(n) for n in (4, 6, 4, 2)])
    gevent.sleep(0.01)
    theirs.sendall(b"\0\0\0\6first.\0\0\0\2ab")
    assert job.get(timeout=DEADLINE_S) == [
        b"\0\0\0\6",
        b"first.",
        b"\0\0\0\2",
        b"ab",
    ]
    assert ours.reads == 1


def test_frame_above_the_read_buffer_is_read_whole(pair):
    ours, theirs = pair
    endpoint = PeerSocket(ours, DEADLINE_S)
    data = bytes(range(256)) * 1_024
    sender = gevent.spawn(theirs.sendall, data)
    assert endpoint.readAll(len(data)) == data
    sender.join()


def test_read_without_input_ends_after_its_timeout(pair):
    with pytest.raises(OSError, match="read timeout"):
        PeerSocket(pair[0], 0.01).read(4)


# 2 Mbit/s, the narrowest link of an entry.
SLOW_LINK_BYTES_PER_S = 250_000
# Random text, which takes over 400,000 bytes compressed.
LARGE_DOCUMENT = base64.b64encode(random.Random(1).randbytes(420_000)).decode()
LARGE_CONFIGURATION = ConfigState(1, {"route/r1": LARGE_DOCUMENT})
SLOW_LINK_STEP_S = 0.05
RECEIVE_BUFFER_BYTES = 4_096


class SlowLink:
    """A proxy in front of a receiver that carries few bytes a second."""

    def __init__(self, receiver):
        self._receiver = receiver
        self.connections = 0
        self.is_stuck = False
        listener = gevent.socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def _serve(self, sock, _address):
        self.connections += 1
        host, _, port = self._receiver.address.rpartition(":")
        with gevent.socket.create_connection((host, int(port))) as sink:
            replies = gevent.spawn(self._carry, sink, sock)
            self._carry(sock, sink)
            replies.kill()

    def _carry(self, source, sink):
        size = int(SLOW_LINK_BYTES_PER_S * SLOW_LINK_STEP_S)
        while data := source.recv(size):
            while self.is_stuck:
                gevent.sleep(SLOW_LINK_STEP_S)
            sink.sendall(data)
            gevent.sleep(len(data) / SLOW_LINK_BYTES_PER_S)

    def stop(self):
        self._server.stop(timeout=0)


@pytest.fixture
def slow_link(receiver):
    slow_link = SlowLink(receiver)
    yield slow_link
    slow_link.stop()


# An entry leaves a hub whose heartbeats are missing for longer.
HEARTBEAT_BOUND_S = 1.0


def test_configuration_that_takes_a_slow_link_over_a_second_arrives(
    receiver, slow_link
):
    """Other messages pass it on the way."""
    hello = Hello("c2", "127.0.0.1:1", "")
    links = PeerLinks(hello, {"e1": slow_link.address}, "127.0.0.1")
    links.send("e1", LARGE_CONFIGURATION)
    for number in (1, 2):
        with gevent.Timeout(HEARTBEAT_BOUND_S):
            links.send("e1", ConfigPull(number))
            receiver.wait_for(ConfigPull(number))
    assert receiver.messages == [ConfigPull(1), ConfigPull(2)]
    receiver.wait_for(LARGE_CONFIGURATION)
    assert len(receiver.messages) == 3
    assert slow_link.connections == 1


def make_version(version):
    """Return a push of a version that changes all routes of a table."""
    text = random.Random(version).randbytes(300).hex()
    edits = [
        DocumentEdit(f"route/r{n}", f"{n}:{version}:{text}")
        for n in range(100)
    ]
    edits += [
        DocumentEdit("limits", random.Random(version).randbytes(20_000).hex())
    ]
    return ConfigDelta(version - 1, version, tuple(edits))


# Guards against an entry on a slow link that keeps an old configuration while
# versions follow each other faster than the link carries them.
def test_newest_of_many_versions_arrives_over_a_slow_link_in_time(
    receiver, slow_link
):
    hello = Hello("c2", "127.0.0.1:1", "")
    links = PeerLinks(hello, {"e1": slow_link.address}, "127.0.0.1")
    count = 40
    for version in range(1, count + 1):
        links.send("e1", make_version(version))
        gevent.sleep(0.05)
    with gevent.Timeout(HEARTBEAT_BOUND_S):
        while not any(m.revision == count for m in receiver.messages):
            gevent.sleep(0.01)
    documents = RevisedDocuments()
    for message in receiver.messages:
        assert message.after <= documents.revision < message.revision
        documents.apply(message.revision, message.edits)
    newest = {edit.key: edit.body for edit in make_version(count).edits}
    assert documents.documents == newest
    assert slow_link.connections == 1


def test_slow_link_that_gets_stuck_is_replaced(receiver, slow_link):
    hello = Hello("c2", "127.0.0.1:1", "")
    links = PeerLinks(hello, {"e1": slow_link.address}, "127.0.0.1")
    links.send("e1", LARGE_CONFIGURATION)
    gevent.sleep(0.5)
    slow_link.is_stuck = True
    with gevent.Timeout(DEADLINE_S):
        while links.describe()["e1"]["up"]:
            gevent.sleep(0.01)
    slow_link.is_stuck = False
    links.send("e1", ConfigPull(2))
    receiver.wait_for(ConfigPull(2))
    assert slow_link.connections == 2
