"""Messages that are converted once, and large ones that wait for a link."""

import random

import pytest
from msgspec.structs import replace

from wasabitray_core.messages import (
    AppendRequest,
    Change,
    ConfigDelta,
    ConfigPull,
    DocumentEdit,
    Feed,
    LogRecord,
)
from wasabitray_node import large_messages
from wasabitray_node.large_messages import (
    MAX_LARGE_BYTES,
    MAX_SMALL_BYTES,
    LargeMessages,
    SharedEncoder,
)
from wasabitray_wire import MAX_PART_BYTES, PartReceiver, from_wire, to_wire


# Guards against a conversion of a hub's feed for each of its entries.
def test_feed_to_several_peers_is_converted_once(monkeypatch):
    converted = []

    def convert(message):
        converted.append(message)
        return to_wire(message)

    monkeypatch.setattr(large_messages, "to_wire", convert)
    encoder = SharedEncoder()
    feed = Feed("c1", "run-1", 0, 1, 0, True, 2)
    other = replace(feed, position=2)
    encoded = [encoder.encode(feed), encoder.encode(other)]
    assert encoder.encode(feed) is encoded[0]
    assert encoded == [to_wire(feed), to_wire(other)]
    assert converted == [feed, other]


def make_delta(revision, size):
    text = random.Random(revision).randbytes(size).hex()
    edit = DocumentEdit(f"route/r{revision}", text)
    return ConfigDelta(revision - 1, revision, (edit,))


def make_append(index, size):
    edit = DocumentEdit("route/r", random.Random(index).randbytes(size).hex())
    change = Change(f"c-{index}", index - 1, "ann", "", (edit,))
    record = LogRecord(index, 1, change)
    return AppendRequest(1, "c1.0", index - 1, 1, (record,), 0)


@pytest.fixture
def large():
    return LargeMessages(SharedEncoder())


def add(large, message):
    return large.add(message, to_wire(message))


def receive_all(large):
    """Return the messages that the parts give, and the size of each part."""
    receiver, messages, sizes = PartReceiver(2**26), [], []
    while large:
        part = large.get_next_part()
        data = part.packed or part.part.data
        sizes.append(len(data))
        whole = receiver.add(part)
        if whole is not None:
            messages.append(from_wire(whole))
        large.confirm_part()
    assert large.size == 0
    return messages, sizes


def test_message_passes_in_parts(large):
    messages = [make_append(1, 3 * MAX_PART_BYTES), make_append(2, 10)]
    for message in messages:
        assert add(large, message)
    received, sizes = receive_all(large)
    assert received == messages
    assert max(sizes) <= MAX_PART_BYTES


def test_message_is_sent_whole_again_on_a_new_connection(large):
    message = make_delta(1, 3 * MAX_PART_BYTES)
    add(large, message)
    large.get_next_part()
    large.confirm_part()
    large.restart()
    assert receive_all(large)[0] == [message]


def test_small_messages_are_left_to_others_unless_they_must_follow(large):
    small, delta = ConfigPull(1), make_delta(2, 10)
    assert not large.must_take(small, to_wire(small))
    assert not large.must_take(delta, to_wire(delta))
    configuration = make_delta(1, MAX_SMALL_BYTES)
    assert large.must_take(configuration, to_wire(configuration))
    add(large, configuration)
    assert not large.must_take(small, to_wire(small))
    assert large.must_take(delta, to_wire(delta))


def test_configurations_that_wait_are_merged_once_for_all_links():
    encoder = SharedEncoder()
    deltas = [make_delta(n, MAX_SMALL_BYTES) for n in range(1, 6)]
    merged = []
    for _ in range(3):
        large = LargeMessages(encoder)
        add(large, deltas[0])
        large.get_next_part()
        for delta in deltas[1:]:
            add(large, delta)
        merged.append(receive_all(large)[0][-1])
    assert merged[0].after == 1
    assert merged[0].revision == 5
    assert {e.key for e in merged[0].edits} == {
        f"route/r{n}" for n in range(2, 6)
    }
    assert merged[1:] == merged[:1] * 2


# Guards against a peer that is too slow and exhausts a host's memory.
def test_large_messages_beyond_their_bound_are_refused(large):
    size = MAX_LARGE_BYTES // 4
    results = [add(large, make_append(n, size)) for n in range(1, 7)]
    assert results.count(False) >= 2
    assert large.size <= MAX_LARGE_BYTES
