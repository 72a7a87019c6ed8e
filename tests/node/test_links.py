"""Links between two hosts on real sockets."""

import socket

import gevent
import pytest

from wasabitray_core.messages import (
    Announcement,
    ConfigPull,
    Hello,
    News,
    Quarantine,
)
from wasabitray_core.states import TargetPhase
from wasabitray_node.links import PeerLinks, PeerListener
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
