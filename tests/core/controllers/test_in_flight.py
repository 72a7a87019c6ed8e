"""What an entry tells others of its work, and hears of theirs.

Played through the controller that owns the targets.
"""

from support.fakes import Bed

from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.local_messages import (
    AcquireSlot,
    ReleaseSlot,
    SlotGrant,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import EntryWork, OthersWork, TargetWork
from wasabitray_core.placement import MAX_REQUESTS_PER_SLOT
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, WorkClass


def target(name, slots):
    return Target(name, "rota", "south", "south-a", slots)


def acquire(bed):
    deadline = bed.clock.now + 2.0
    return bed.start_ask(
        AcquireSlot("rota", "hobart", WorkClass.SHORT, True, deadline)
    )


def reply(bed, ask):
    return bed.outbox.replies.get(ask)


def release(bed, name):
    status = AttemptStatus.ANSWERED
    bed.tell(ReleaseSlot("rota", name, WorkClass.SHORT, status, 0.1, None))


class TestSharedWork:
    """What an entry tells others of its work, and hears of theirs."""

    def setup_method(self):
        self.bed = Bed(DispatchController, "south", shares_work=True)
        usable = [UsableTarget(target(t, slots=4), False) for t in "ab"]
        self.bed.tell(UsableTargets("rota", tuple(usable), ("a", "b"), ()))
        self.bed.tick()

    def stated(self):
        found = self.bed.outbox.told_of(EntryWork)[-1]
        return {w.target: w.attempts for w in found.targets}, found.full

    def test_changes_are_told_within_a_moment(self):
        chosen = reply(self.bed, acquire(self.bed)).target.target
        assert self.bed.controller.tick_interval_s <= 0.03
        self.bed.tick(0.03)
        assert self.stated() == ({chosen: 1}, False)
        release(self.bed, chosen)
        self.bed.tick(0.03)
        assert self.stated() == ({chosen: 0}, False)

    def test_all_work_is_stated_now_and_then(self):
        chosen = reply(self.bed, acquire(self.bed)).target.target
        self.bed.tick(0.5)
        assert self.stated() == ({chosen: 1}, True)

    def test_work_of_others_counts(self):
        full = int(4 * MAX_REQUESTS_PER_SLOT)
        work = (TargetWork("a", full - 1), TargetWork("b", full))
        self.bed.tell(OthersWork(work, True))
        ask = acquire(self.bed)
        assert reply(self.bed, ask).target.target == "a"
        waiting = acquire(self.bed)
        assert reply(self.bed, waiting) is None
        self.bed.tell(OthersWork((TargetWork("b", full - 1),), False))
        assert reply(self.bed, waiting).target.target == "b"

    def test_work_of_others_is_forgotten_with_their_hub(self):
        self.bed.tell(OthersWork((TargetWork("a", 9), TargetWork("b", 9)), 1))
        for _ in range(2):
            acquire(self.bed)
        ask = acquire(self.bed)
        assert reply(self.bed, ask) is None
        self.bed.tick(1.6)
        assert isinstance(reply(self.bed, ask), SlotGrant)
