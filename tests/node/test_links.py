"""Links between two hosts on real sockets."""

import itertools
import socket
import struct

import gevent
import pytest
from gevent.server import StreamServer
from msgspec.structs import replace

from wasabitray_core.messages import (
    Announcement,
    ConfigPull,
    Feed,
    Hello,
    News,
    Quarantine,
)
from wasabitray_core.states import TargetPhase
from wasabitray_node import links as links_module
from wasabitray_node.links import (
    MAX_FRAME_BYTES,
    PeerLinks,
    PeerListener,
    PeerSocket,
    SharedEncoder,
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

    monkeypatch.setattr("wasabitray_node.links.to_wire", spoil)
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

    monkeypatch.setattr("wasabitray_node.links.to_wire", spoil)
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


# Guards against a conversion of a hub's feed for each of its entries.
def test_feed_to_several_peers_is_converted_once(monkeypatch):
    converted = []

    def convert(message):
        converted.append(message)
        return to_wire(message)

    monkeypatch.setattr(links_module, "to_wire", convert)
    encoder = SharedEncoder()
    feed = Feed("c1", "run-1", 0, 1, 0, True, 2)
    other = replace(feed, position=2)
    encoded = [encoder.encode(feed), encoder.encode(other)]
    assert encoder.encode(feed) is encoded[0]
    assert encoded == [to_wire(feed), to_wire(other)]
    assert converted == [feed, other]


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
