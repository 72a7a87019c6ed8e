"""Single decisions of a claim group member and of a claimant."""

from core.controllers.test_claims import RETENTION_S, make_fleet
from support.fakes import ControllerBed

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


def make_member(epoch=1):
    bed = ControllerBed(GrantsController, "run-2", host="e0")
    bed.tell(ConfigurationApplied(1, make_fleet((GROUP,), epoch)))
    return bed


def request_claim(bed, claim, key="k", epoch=1):
    bed.receive("e5", ClaimRequest(key, claim, epoch, 60.0))
    return bed.outbox.sent[-1][1].status


def test_member_grants_only_after_the_retention_or_two_recalls():
    bed = make_member()
    assert request_claim(bed, "a") is GrantStatus.NOT_READY
    bed.receive("e1", RecallState("run-2", "r", (), ()))
    assert request_claim(bed, "a") is GrantStatus.NOT_READY
    bed.receive("e2", RecallState("run-2", "r", (), ()))
    assert request_claim(bed, "a") is GrantStatus.GRANTED


def test_key_recalled_for_two_claims_is_granted_to_neither():
    bed = make_member()
    for peer, claim in (("e1", "a"), ("e2", "b")):
        held = (HeldClaim("k", claim, 20.0),)
        bed.receive(peer, RecallState("run-2", "r", held, ()))
    assert request_claim(bed, "a") is GrantStatus.HELD
    assert request_claim(bed, "b") is GrantStatus.HELD


def test_recall_by_an_earlier_incarnation_is_ignored():
    bed = make_member()
    for peer in ("e1", "e2"):
        bed.receive(peer, RecallState("run-1", "r", (), ()))
    assert request_claim(bed, "a") is GrantStatus.NOT_READY


def make_ready_member(epoch=1):
    bed = make_member(epoch)
    bed.tick(RETENTION_S)
    return bed


def test_claimant_with_replaced_groups_is_refused():
    bed = make_ready_member(epoch=2)
    assert request_claim(bed, "a", epoch=1) is GrantStatus.STALE_EPOCH
    assert request_claim(bed, "a", epoch=2) is GrantStatus.GRANTED


def test_claim_withdrawn_before_it_arrives_is_not_granted():
    bed = make_ready_member()
    bed.receive("e5", ClaimRelease("k", "a"))
    assert request_claim(bed, "a") is GrantStatus.HELD
    assert request_claim(bed, "b") is GrantStatus.GRANTED


def test_claim_expires_after_the_retention():
    bed = make_ready_member()
    assert request_claim(bed, "a") is GrantStatus.GRANTED
    bed.tick(RETENTION_S - 1.0)
    assert request_claim(bed, "b") is GrantStatus.HELD
    bed.tick(1.1)
    assert request_claim(bed, "b") is GrantStatus.GRANTED


def test_known_incarnations_are_sent_to_claimants():
    bed = make_member()
    known = (MemberIncarnation("e2", "e2-run-7"),)
    bed.receive("e1", RecallState("run-2", "e1-run-1", (), known))
    bed.receive("e2", RecallState("run-2", "e2-run-7", (), ()))
    request_claim(bed, "a")
    incarnations = {
        m.host: m.incarnation for m in bed.outbox.sent[-1][1].known
    }
    assert incarnations == {"e1": "e1-run-1", "e2": "e2-run-7"}


def test_incarnation_about_which_members_disagree_is_ambiguous():
    bed = make_member()
    for peer, incarnation in (("e1", "run-a"), ("e2", "run-b")):
        known = (MemberIncarnation("e9", incarnation),)
        bed.receive(peer, RecallState("run-2", "r", (), known))
    request_claim(bed, "a")
    incarnations = {
        m.host: m.incarnation for m in bed.outbox.sent[-1][1].known
    }
    assert incarnations["e9"] == AMBIGUOUS


def make_claimant():
    bed = ControllerBed(ClaimsController, host="e5")
    bed.tell(ConfigurationApplied(1, make_fleet((GROUP,))))
    token = bed.start_ask(AcquireClaim("k", "a", 60.0, 1.0))
    return bed, token


def make_grant(incarnation, *known):
    return ClaimReply("k", "a", GrantStatus.GRANTED, incarnation, known)


def test_grant_by_a_replaced_incarnation_does_not_count():
    bed, token = make_claimant()
    bed.receive("e0", make_grant("e0-run-1"))
    newer = MemberIncarnation("e0", "e0-run-2")
    bed.receive("e1", make_grant("e1-run-1", newer))
    assert token not in bed.outbox.replies
    bed.receive("e2", make_grant("e2-run-1"))
    assert bed.outbox.replies[token] is ClaimVerdict.GRANTED


def test_claim_that_is_not_granted_is_withdrawn():
    bed, token = make_claimant()
    held = ClaimReply("k", "a", GrantStatus.HELD, "r", ())
    bed.receive("e0", held)
    bed.receive("e1", held)
    assert bed.outbox.replies[token] is ClaimVerdict.HELD
    released = {h for h, m in bed.outbox.sent if isinstance(m, ClaimRelease)}
    assert released == set(GROUP)
