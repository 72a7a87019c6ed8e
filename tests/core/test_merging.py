"""Configurations that replace each other while they wait for a link."""

import random

import pytest

from wasabitray_core.controllers.revised_documents import RevisedDocuments
from wasabitray_core.merging import is_covered, merge_waiting
from wasabitray_core.messages import (
    ConfigDelta,
    ConfigPull,
    ConfigState,
    DocumentEdit,
    InstallSnapshot,
    Members,
    Snapshot,
)


class Link:
    """Sends one message at a time; one configuration waits behind it."""

    def __init__(self):
        self.messages = []
        self.dropped = 0

    def add(self, message):
        if is_covered(message, self.messages):
            self.dropped += 1
        elif len(self.messages) < 2:
            self.messages.append(message)
        else:
            merged = merge_waiting(message, self.messages[1])
            assert merged is not None, "two configurations would wait"
            self.messages[1] = merged


class Pair:
    """A hub and an entry that receives pushes and answers over a link."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.hub, self.entry = RevisedDocuments(), RevisedDocuments()
        self.link = Link()
        self.states = {0: {}}

    def change(self):
        revision = self.hub.revision + 1
        keys = self.rng.sample("abcdef", self.rng.randint(1, 6))
        edits = tuple(
            DocumentEdit(k, self.rng.choice([None, f"{revision}"]))
            for k in keys
        )
        self.hub.apply(revision, edits)
        self.states[revision] = dict(self.hub.documents)
        self.link.add(ConfigDelta(revision - 1, revision, edits))

    def ask(self):
        edits = self.hub.find_edits_after(self.entry.revision)
        revision = self.hub.revision
        if edits is None:
            state = ConfigState(revision, dict(self.hub.documents))
            self.link.add(state)
        else:
            self.link.add(ConfigDelta(self.entry.revision, revision, edits))

    def deliver(self):
        if not self.link.messages:
            return
        message = self.link.messages.pop(0)
        if message.revision <= self.entry.revision:
            return
        if isinstance(message, ConfigState):
            self.entry.replace(message.revision, message.documents)
        elif message.after <= self.entry.revision:
            self.entry.apply(message.revision, message.edits)
        elif self.hub.revision > self.entry.revision:
            self.ask()
        assert self.entry.documents == self.states[self.entry.revision]

    def break_link(self):
        self.link.messages.clear()


@pytest.mark.parametrize("seed", range(60))
def test_entry_has_the_state_of_its_revision_whatever_was_merged(seed):
    pair = Pair(seed)
    steps = (pair.change, pair.ask, pair.deliver, pair.break_link)
    for _ in range(300):
        (step,) = pair.rng.choices(steps, (4, 1, 2, 0.2))
        step()
    for _ in range(6):
        pair.deliver()
    if pair.entry.revision < pair.hub.revision:
        pair.ask()
        pair.deliver()
    assert pair.entry.documents == pair.hub.documents


def test_entry_gets_ahead_while_versions_come_faster_than_the_link():
    """A message that waits must not be replaced by one that needs it."""
    pair = Pair(1)
    lags = []
    for _ in range(50):
        for _ in range(3):
            pair.change()
        pair.ask()
        pair.deliver()
        lags.append(pair.hub.revision - pair.entry.revision)
    assert max(lags) <= 6


def test_messages_of_other_kinds_are_not_merged():
    delta = ConfigDelta(1, 2, ())
    assert merge_waiting(ConfigPull(1), delta) is None
    assert merge_waiting(delta, ConfigPull(1)) is None
    assert not is_covered(ConfigPull(1), [delta])


def test_newer_snapshot_replaces_one_that_waits():
    older, newer = (
        InstallSnapshot(1, "c1.0", Snapshot(n, 1, Members(()), n, {}, ()))
        for n in (4, 7)
    )
    assert merge_waiting(newer, older) is newer
    assert merge_waiting(newer, ConfigDelta(1, 2, ())) is None
