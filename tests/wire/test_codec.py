"""Tests that messages and stored items are the same after decoding."""

import sys
import typing
from collections import Counter

import pytest
from msgspec.structs import replace
from thrift.TSerialization import deserialize, serialize

from wasabitray_core import messages as m
from wasabitray_core.errors import PeerError
from wasabitray_core.states import (
    EjectionPhase,
    HostFlag,
    QuotaDecision,
    ReportKind,
    TargetPhase,
)
from wasabitray_wire import (
    PROTOCOL,
    codec,
    convert,
    decode_item,
    encode_item,
    from_wire,
    to_wire,
)
from wasabitray_wire.convert import to_snake_case
from wasabitray_wire.gen import ttypes

CHANGE = m.Change(
    "id-1",
    3,
    "ann",
    "now",
    (m.DocumentEdit("a", "{}"), m.DocumentEdit("b", None)),
)
MEMBERS = m.Members((m.Member("c1.0", "c1"),), (m.Member("c2.x", "c2"),))
SNAPSHOT = m.Snapshot(
    5,
    2,
    MEMBERS,
    4,
    {"fleet": "{}"},
    (m.AnsweredChange("id-1", "digest", 4),),
    (m.CommittedChange(4, CHANGE),),
)

MESSAGES = [
    m.Gossip(
        (m.HostStatus("e1", 9, 3, HostFlag.SERVING | HostFlag.LEAVING),),
        (
            m.Announcement(
                "127.0.0.1:1", "rota", "s", "s-a", 2, 1, 2,
                TargetPhase.LEAVING, 3.0,
            ),
        ),
        (m.Ejection("t", "rota", 4, EjectionPhase.EJECTED, 10.0, "why"),),
        (m.Quarantine("f", ("t1", "t2")),),
    ),
    m.ConfigPush((m.CommittedChange(4, CHANGE),)),
    m.ConfigPull(3, True),
    m.ConfigDelta(
        3, 4, (m.DocumentEdit("fleet", "{}"), m.DocumentEdit("a", None))
    ),
    m.ConfigState(4, {"fleet": "{}"}),
    m.AppendRequest(
        2, "c1.0", 4, 1,
        (
            m.LogRecord(5, 2, m.Noop()),
            m.LogRecord(6, 2, CHANGE),
            m.LogRecord(7, 2, MEMBERS),
        ),
        5,
    ),
    m.InstallSnapshot(2, "c1.0", SNAPSHOT),
    m.VoteRequest(2, "c1.0", 4, 1, True, False),
    m.QuotaRequest(7, "acme"),
    m.QuotaReply(7, QuotaDecision.EXCEEDED, 0.75),
    m.BorrowRequest(8, "acme", 1.5),
    m.BorrowReply(8, 0.25),
]  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES, ids=lambda x: type(x).__name__)
def test_decoded_message_equals_the_original(message):
    assert from_wire(to_wire(message)) == message


@pytest.mark.parametrize("item", [m.Ballot(3, "c1.0"), SNAPSHOT])
def test_decoded_item_equals_the_original(item):
    assert decode_item(encode_item(item)) == item


def test_host_of_an_earlier_version_accepts_no_delta():
    pull = ttypes.ConfigPull(after=3)
    pull.accepts_delta = None  # such a field isn't sent
    data = serialize(ttypes.PeerMessage(config_pull=pull), PROTOCOL)
    received = deserialize(ttypes.PeerMessage(), data, PROTOCOL)
    assert from_wire(received) == m.ConfigPull(3, accepts_delta=False)


@pytest.mark.parametrize("kind", typing.get_args(m.PeerMessage))
def test_schema_has_every_message_and_field(kind):
    struct = getattr(ttypes, kind.__name__)
    names = [spec[2].rstrip("_") for spec in struct.thrift_spec if spec]
    assert names == list(kind.__struct_fields__)
    assert hasattr(ttypes.PeerMessage(), to_snake_case(kind.__name__))


def test_field_that_an_earlier_version_lacks_gets_its_default():
    feed = m.Feed("c1", "run", 0, 1, 0, True, 4, leader="c2")
    struct = to_wire(feed)
    struct.feed.leader = None
    assert from_wire(struct) == replace(feed, leader="")
    struct.feed.origin = None
    with pytest.raises(PeerError):
        from_wire(struct)


# Guards against a grant that is read from a value that no version knows.
def test_unknown_decision_about_a_quota_is_refused():
    struct = to_wire(m.QuotaReply(7, QuotaDecision.GRANTED, 0.0))
    struct.quota_reply.decision = 99
    with pytest.raises(PeerError):
        from_wire(struct)


def test_malformed_item_of_a_feed_is_left_out_alone():
    quarantines = (m.Quarantine("f", ("t1",)), m.Quarantine("g", ("t2",)))
    feed = m.Feed("c1", "run", 0, 1, 0, True, 4, quarantines=quarantines)
    struct = to_wire(feed)
    struct.feed.quarantines[0].targets = None
    dropped = []
    decoded = from_wire(struct, lambda kind, error: dropped.append(kind))
    assert decoded == replace(feed, quarantines=quarantines[1:])
    assert dropped == ["Quarantine"]


def test_change_without_a_record_is_refused_as_a_whole():
    struct = to_wire(m.ConfigPush((m.CommittedChange(4, CHANGE),) * 2))
    struct.config_push.changes[0].revision = None
    with pytest.raises(PeerError):
        from_wire(struct)


def test_truncated_bytes_are_refused():
    data = encode_item(SNAPSHOT)
    for cut in range(len(data) - 1):
        with pytest.raises(PeerError):
            decode_item(data[:cut])


ITEM_COUNT = 50
REPORT = m.TargetReport("i-1", 3, 12.0, ReportKind.BROKEN)
MANY_ITEMS = [
    (m.OthersWork((m.TargetWork("i-1", 2),) * ITEM_COUNT, False), (1, 1)),
    (
        m.Feed(
            "c1", "run", 1, 9, 4, True, 2, reports=(REPORT,) * ITEM_COUNT
        ),
        (2, 3),
    ),
]  # fmt: skip


def count_calls(function, value):
    """Return the calls of Python functions in the converters."""
    calls = Counter()
    sys.setprofile(
        lambda frame, event, arg: calls.update(
            [event == "call" and frame.f_code.co_filename == convert.__file__]
        )
    )
    try:
        function(value)
    finally:
        sys.setprofile(None)
    return calls[True]


# Guards against a call for each field of each item.
@pytest.mark.parametrize(("message", "calls"), MANY_ITEMS)
def test_item_takes_few_calls_whatever_its_fields(message, calls):
    encoded = to_wire(message)
    fixed = 60
    assert count_calls(to_wire, message) <= calls[0] * ITEM_COUNT + fixed
    assert count_calls(from_wire, encoded) <= calls[1] * ITEM_COUNT + fixed


def make_large_state(routes):
    body = '{"host":"rota.example","path_prefix":"/a/","timeout_ms":1000}'
    return m.ConfigState(3, {f"route/r{n}": body for n in range(routes)})


def test_large_configuration_takes_little_of_a_narrow_link():
    """A table of 1,200 routes took 1.6 s on an entry's link of 2 Mbit/s."""
    state = make_large_state(1_200)
    encoded = to_wire(state)
    size = sum(map(len, state.documents.values()))
    assert len(encoded.packed) < size / 5
    assert from_wire(encoded) == state


def test_small_configuration_is_not_compressed():
    assert to_wire(make_large_state(1)).packed is None


@pytest.mark.parametrize("cut", [1, 20])
def test_damaged_compressed_message_is_refused(cut):
    packed = to_wire(make_large_state(1_200)).packed
    with pytest.raises(PeerError):
        from_wire(ttypes.PeerMessage(packed=packed[:-cut]))
    with pytest.raises(PeerError):
        from_wire(ttypes.PeerMessage(packed=b"x" + packed))


def test_compressed_message_above_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(codec, "MAX_UNPACKED_BYTES", 1_000)
    with pytest.raises(PeerError):
        from_wire(to_wire(make_large_state(1_200)))
