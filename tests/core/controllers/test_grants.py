"""Single decisions of a claim group member and of a claimant."""

from core.controllers.test_claims import RETENTION_S, make_fleet
from support.fakes import Bed

from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.grants import AMBIGUOUS, GrantsController
from wasabitray_core.local_messages import (
    AcquireClaim,
    ClaimVerdict,
    ConfigurationApplied,
)
from wasabitray_core.messages import (
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    HeldClaim,
    MemberIncarnation,
    RecallState,
)
from wasabitray_core.states import GrantStatus

GROUP = ("e0", "e1", "e2")


def member(epoch=1):
    bed = Bed(GrantsController, "run-2", host="e0")
    bed.tell(ConfigurationApplied(1, make_fleet((GROUP,), epoch)))
    return bed


def status_of(bed, claim, key="k", epoch=1):
    bed.receive("e5", ClaimRequest(key, claim, epoch, 60.0))
    return bed.outbox.sent[-1][1].status


def test_member_waits_for_the_retention_or_two_recalls():
    bed = member()
    assert status_of(bed, "a") is GrantStatus.NOT_READY
    bed.receive("e1", RecallState("run-2", "r", (), ()))
    assert status_of(bed, "a") is GrantStatus.NOT_READY
    bed.receive("e2", RecallState("run-2", "r", (), ()))
    assert status_of(bed, "a") is GrantStatus.GRANTED


def test_key_recalled_for_two_claims_is_granted_to_neither():
    bed = member()
    for peer, claim in (("e1", "a"), ("e2", "b")):
        held = (HeldClaim("k", claim, 20.0),)
        bed.receive(peer, RecallState("run-2", "r", held, ()))
    assert status_of(bed, "a") is GrantStatus.HELD
    assert status_of(bed, "b") is GrantStatus.HELD


def test_recall_of_an_earlier_run_is_ignored():
    bed = member()
    for peer in ("e1", "e2"):
        bed.receive(peer, RecallState("run-1", "r", (), ()))
    assert status_of(bed, "a") is GrantStatus.NOT_READY


def ready_member(epoch=1):
    bed = member(epoch)
    bed.tick(RETENTION_S)
    return bed


def test_claimant_with_replaced_groups_is_refused():
    bed = ready_member(epoch=2)
    assert status_of(bed, "a", epoch=1) is GrantStatus.STALE_EPOCH
    assert status_of(bed, "a", epoch=2) is GrantStatus.GRANTED


def test_claim_withdrawn_before_it_arrives_is_not_granted():
    bed = ready_member()
    bed.receive("e5", ClaimRelease("k", "a"))
    assert status_of(bed, "a") is GrantStatus.HELD
    assert status_of(bed, "b") is GrantStatus.GRANTED


def test_claim_expires_after_the_retention():
    bed = ready_member()
    assert status_of(bed, "a") is GrantStatus.GRANTED
    bed.tick(RETENTION_S - 1.0)
    assert status_of(bed, "b") is GrantStatus.HELD
    bed.tick(1.1)
    assert status_of(bed, "b") is GrantStatus.GRANTED


def test_recalled_runs_are_told_to_claimants():
    bed = member()
    known = (MemberIncarnation("e2", "e2-run-7"),)
    bed.receive("e1", RecallState("run-2", "e1-run-1", (), known))
    bed.receive("e2", RecallState("run-2", "e2-run-7", (), ()))
    status_of(bed, "a")
    told = {m.host: m.incarnation for m in bed.outbox.sent[-1][1].known}
    assert told == {"e1": "e1-run-1", "e2": "e2-run-7"}


def test_members_that_disagree_about_a_run_make_it_ambiguous():
    bed = member()
    for peer, run in (("e1", "run-a"), ("e2", "run-b")):
        known = (MemberIncarnation("e9", run),)
        bed.receive(peer, RecallState("run-2", "r", (), known))
    status_of(bed, "a")
    told = {m.host: m.incarnation for m in bed.outbox.sent[-1][1].known}
    assert told["e9"] == AMBIGUOUS


def claimant():
    bed = Bed(ClaimsController, host="e5")
    bed.tell(ConfigurationApplied(1, make_fleet((GROUP,))))
    ask = bed.start_ask(AcquireClaim("k", "a", 60.0, 1.0))
    return bed, ask


def granted(incarnation, *known):
    return ClaimReply("k", "a", GrantStatus.GRANTED, incarnation, known)


def test_grant_of_a_replaced_run_does_not_count():
    bed, ask = claimant()
    bed.receive("e0", granted("e0-run-1"))
    newer = MemberIncarnation("e0", "e0-run-2")
    bed.receive("e1", granted("e1-run-1", newer))
    assert ask not in bed.outbox.replies
    bed.receive("e2", granted("e2-run-1"))
    assert bed.outbox.replies[ask] is ClaimVerdict.GRANTED


def test_claim_that_is_not_granted_is_withdrawn():
    bed, ask = claimant()
    held = ClaimReply("k", "a", GrantStatus.HELD, "r", ())
    bed.receive("e0", held)
    bed.receive("e1", held)
    assert bed.outbox.replies[ask] is ClaimVerdict.HELD
    released = {h for h, m in bed.outbox.sent if isinstance(m, ClaimRelease)}
    assert released == set(GROUP)
