"""How an entry reports its in-flight attempts and applies the others'.

The tests drive the dispatch controller, which owns the state of the targets.
"""

from support.fakes import ControllerBed

from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.losses import OTHERS_TTL_S
from wasabitray_core.local_messages import (
    AcquireSlot,
    ReleaseSlot,
    RequestEnded,
    SlotGrant,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import (
    EntryWork,
    OthersWork,
    RequestCounts,
    TargetReport,
    TargetWork,
)
from wasabitray_core.placement import MAX_REQUESTS_PER_SLOT
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, ReportKind, WorkClass


def target(name, slots):
    return Target(name, "rota", "south", "south-a", slots)


def acquire(bed):
    deadline = bed.clock.now + 2.0
    return bed.start_ask(
        AcquireSlot("rota", "hobart", WorkClass.SHORT, True, deadline)
    )


def find_reply(bed, token):
    return bed.outbox.replies.get(token)


def release(bed, name):
    status = AttemptStatus.ANSWERED
    bed.tell(ReleaseSlot("rota", name, WorkClass.SHORT, status, 0.1, None))


class TestInFlightReports:
    """Reports of in-flight attempts, sent and received."""

    def setup_method(self):
        self.bed = ControllerBed(
            DispatchController, "south", shares_in_flight=True
        )
        usable = [UsableTarget(target(t, slots=4), False) for t in "ab"]
        self.bed.tell(UsableTargets("rota", tuple(usable), ("a", "b"), ()))
        self.bed.tick()

    def get_last_update(self):
        update = self.bed.outbox.get_told(EntryWork)[-1]
        return {w.target: w.attempts for w in update.targets}, update.full

    def test_changes_are_reported_within_30_ms(self):
        chosen = find_reply(self.bed, acquire(self.bed)).target.target
        assert self.bed.controller.tick_interval_s <= 0.03
        self.bed.tick(0.03)
        assert self.get_last_update() == ({chosen: 1}, False)
        release(self.bed, chosen)
        self.bed.tick(0.03)
        assert self.get_last_update() == ({chosen: 0}, False)

    def test_all_attempts_are_reported_each_half_second(self):
        chosen = find_reply(self.bed, acquire(self.bed)).target.target
        self.bed.tick(0.5)
        assert self.get_last_update() == ({chosen: 1}, True)

    def test_attempts_of_other_entries_use_capacity(self):
        full = int(4 * MAX_REQUESTS_PER_SLOT)
        work = (TargetWork("a", full - 1), TargetWork("b", full))
        self.bed.tell(OthersWork(work, True))
        token = acquire(self.bed)
        assert find_reply(self.bed, token).target.target == "a"
        waiting = acquire(self.bed)
        assert find_reply(self.bed, waiting) is None
        self.bed.tell(OthersWork((TargetWork("b", full - 1),), False))
        assert find_reply(self.bed, waiting).target.target == "b"

    def test_attempts_of_other_entries_expire_without_their_hub(self):
        self.bed.tell(OthersWork((TargetWork("a", 9), TargetWork("b", 9)), 1))
        for _ in range(2):
            acquire(self.bed)
        token = acquire(self.bed)
        assert find_reply(self.bed, token) is None
        self.bed.tick(1.6)
        assert isinstance(find_reply(self.bed, token), SlotGrant)


class TestLostRequests:
    """Losses that a single entry can't see."""

    def setup_method(self):
        self.bed = ControllerBed(
            DispatchController,
            "south",
            cool_downs=True,
            shares_in_flight=True,
        )
        names = [f"t{n}" for n in range(5)]
        usable = [UsableTarget(target(t, slots=4), False) for t in names]
        self.bed.tell(UsableTargets("rota", tuple(usable), tuple(names), ()))
        for number, name in enumerate(names[:2]):
            report = TargetReport(name, 1, 12.0, ReportKind.BROKEN)
            self.bed.tell(report)
            self.bed.clock.advance(1.0 + number)

    def find_cooling(self):
        """Return how many targets cool down at the next choice."""
        self.bed.clock.advance(0.1)
        return find_reply(self.bed, acquire(self.bed)).availability.cooling

    def receive_others(self, ended, lost):
        self.bed.tell(
            OthersWork((), True, (RequestCounts("rota", ended, lost),))
        )

    def test_own_requests_are_counted_in_full_updates(self):
        self.bed.tell(RequestEnded("rota", True))
        self.bed.tell(RequestEnded("rota", False))
        self.bed.tick(0.5)
        update = self.bed.outbox.get_told(EntryWork)[-1]
        assert update.requests == (RequestCounts("rota", 2, 1),)
        self.bed.tick(3.0)
        assert self.bed.outbox.get_told(EntryWork)[-1].requests == ()

    def test_requests_that_other_entries_lose_end_cool_downs_early(self):
        assert self.find_cooling() == 2
        self.receive_others(100, 4)
        assert self.find_cooling() == 2
        self.receive_others(100, 15)
        self.find_cooling()
        assert self.find_cooling() == 1

    def test_old_counts_of_other_entries_do_not_hold(self):
        self.receive_others(100, 15)
        self.bed.clock.advance(OTHERS_TTL_S)
        assert self.find_cooling() == 2
