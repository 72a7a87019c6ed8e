"""Slots, queues and the retry budget of an entry."""

from support.fakes import Bed

from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.retry_budget import (
    RETRY_BURST,
    RetryLimits,
)
from wasabitray_core.local_messages import (
    AcquireSlot,
    FleetSize,
    ReleaseSlot,
    SlotGrant,
    SlotRefusal,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.requests import LoadReport, Target
from wasabitray_core.states import (
    AttemptStatus,
    RefusalReason,
    WorkClass,
)


def target(name, region="south", slots=2):
    return Target(name, "rota", region, f"{region}-a", slots)


def bed_with(*targets, probation=()):
    bed = Bed(DispatchController, "south")
    usable = tuple(UsableTarget(t, t.target in probation) for t in targets)
    names = tuple(t.target for t in targets)
    bed.tell(UsableTargets("rota", usable, names, ()))
    return bed


def acquire(bed, work=WorkClass.SHORT, organisation="hobart", **fields):
    deadline = bed.clock.now + fields.pop("within", 2.0)
    idempotent = fields.pop("idempotent", True)
    return bed.start_ask(
        AcquireSlot("rota", organisation, work, idempotent, deadline, **fields)
    )


def reply(bed, ask):
    return bed.outbox.replies.get(ask)


def release(bed, name, status=AttemptStatus.ANSWERED, load=None, took=0.1):
    bed.tell(ReleaseSlot("rota", name, WorkClass.SHORT, status, took, load))


def test_no_target_gets_more_than_its_slots():
    bed = bed_with(target("t1"), target("t2"))
    asks = [acquire(bed) for _ in range(6)]
    granted = [reply(bed, a).target.target for a in asks if reply(bed, a)]
    assert sorted(granted) == ["t1", "t1", "t2", "t2"]
    release(bed, "t1")
    assert sum(reply(bed, a) is not None for a in asks) == 5


def test_waiting_request_is_refused_before_its_deadline():
    bed = bed_with(target("t1", slots=1))
    acquire(bed)
    late = acquire(bed, within=0.5)
    assert reply(bed, late) is None
    bed.tick(0.6)
    assert reply(bed, late).reason is RefusalReason.OVERLOAD


def test_request_that_can_not_be_served_in_time_is_refused_at_once():
    bed = bed_with(target("t1", slots=1))
    acquire(bed)
    release(bed, "t1", took=1.0)
    acquire(bed)
    for _ in range(3):
        acquire(bed, within=10.0)
    refused = reply(bed, acquire(bed, within=2.0))
    assert isinstance(refused, SlotRefusal)
    assert refused.retry_after > 0


def test_short_work_goes_before_waiting_long_work():
    bed = bed_with(target("t1", slots=1))
    acquire(bed)
    long_ask = acquire(bed, WorkClass.LONG, within=60.0)
    short_ask = acquire(bed)
    release(bed, "t1")
    assert isinstance(reply(bed, short_ask), SlotGrant)
    assert reply(bed, long_ask) is None


def test_organisations_take_turns():
    bed = bed_with(target("t1", slots=1))
    acquire(bed)
    crowd = [acquire(bed, organisation="big") for _ in range(5)]
    other = acquire(bed, organisation="small")
    release(bed, "t1")
    release(bed, "t1")
    assert reply(bed, other) is not None
    assert reply(bed, crowd[1]) is None


def test_reported_load_of_others_counts_and_ages():
    bed = bed_with(target("t1"))
    acquire(bed)
    release(bed, "t1", load=LoadReport(2, 2))
    ask = acquire(bed)
    assert reply(bed, ask) is None
    bed.tick(0.3)
    assert isinstance(reply(bed, ask), SlotGrant)


def test_retries_stay_inside_their_share():
    bed = bed_with(target("t1", slots=1_000))
    retries = 0
    for _ in range(500):
        acquire(bed, retry_share=0.1)
        ask = acquire(bed, retry=True, retry_share=0.1)
        retries += isinstance(reply(bed, ask), SlotGrant)
    assert retries <= 0.1 * 500 + RETRY_BURST


def test_target_on_trial_gets_repeatable_work_one_at_a_time():
    bed = bed_with(
        target("t1", slots=100), target("t2", slots=100), probation={"t2"}
    )
    for _ in range(90):
        acquire(bed, idempotent=False)
    granted = [r.target.target for r in bed.outbox.replies.values()]
    assert "t2" not in granted
    for _ in range(90):
        acquire(bed)
    granted = [
        r.target.target
        for r in bed.outbox.replies.values()
        if isinstance(r, SlotGrant)
    ]
    assert granted.count("t2") == 1


def test_own_region_comes_first():
    bed = bed_with(target("t1"), target("t2", region="north"))
    first = [reply(bed, acquire(bed)).target.target for _ in range(2)]
    assert first == ["t1", "t1"]
    assert reply(bed, acquire(bed)).target.target == "t2"


def test_path_that_fails_is_avoided_but_used_when_nothing_else_is_left():
    bed = bed_with(target("t1"), target("t2", slots=1))
    release(bed, "t1", AttemptStatus.REFUSED)
    assert reply(bed, acquire(bed)).target.target == "t2"
    assert reply(bed, acquire(bed)).target.target == "t1"


def test_next_target_after_no_connection_earns_no_retries():
    limits = RetryLimits(share=1.0, fleet_burst=100.0)
    bed = Bed(DispatchController, "south", limits)
    two = (target("t1"), target("t2"))
    usable = tuple(UsableTarget(t, False) for t in two)
    bed.tell(UsableTargets("rota", usable, ("t1", "t2"), ()))
    bed.tell(FleetSize(100))
    budget = bed.controller._service("rota").budget
    while budget.take():
        pass
    work = WorkClass.SHORT
    bed.ask(AcquireSlot("rota", "o", work, True, 2_000.0, excluded=("t1",)))
    assert not budget.take()
    bed.ask(AcquireSlot("rota", "o", work, True, 2_000.0))
    assert budget.take()
