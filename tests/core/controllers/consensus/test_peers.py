"""What a leader concludes from the replies of other members."""

import random

import pytest
from support.fakes import FakeClock, FakeOutbox

from wasabitray_core.controllers.consensus.election import (
    ELECTION_MIN_S,
    Election,
)
from wasabitray_core.controllers.consensus.group import GroupSize
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.consensus.peers import (
    MAX_ELECTION_S,
    SILENT_AFTER_S,
    STALL_S,
    Peers,
)
from wasabitray_core.controllers.consensus.state import MemberState
from wasabitray_core.controllers.controller import Context
from wasabitray_core.messages import Ballot, Member, Members
from wasabitray_core.states import GroupChangeReason

VOTERS = tuple(Member(f"c{n}.0", f"c{n}") for n in range(1, 6))
LEARNER = Member("c6.0", "c6")


class Bed:
    """The leader c1 of five voters, with a learner that has caught up."""

    def __init__(self, former_leader="", votes=(), age=ELECTION_MIN_S):
        self.clock = FakeClock()
        context = Context("c1", self.clock, random.Random(1), FakeOutbox())
        election = Election("c1.0", Ballot(1, "c1.0"))
        election.follow(former_leader, self.clock())
        election.votes = set(votes)
        self.clock.advance(age)
        members = Members(VOTERS, (LEARNER,))
        state = MemberState(context, election, ReplicatedLog(1, 1, members))
        self.peers = Peers(state, GroupSize(1))
        self.peers.start_term()

    def run(self, seconds, *silent):
        """Run the leader's timer; all members but some reply each time."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.peers.record_run()
            self.reply(*silent)

    def reply(self, *silent):
        for member, progress in self.peers.items():
            if member not in silent:
                progress.record_contact(self.clock())
                progress.match_index = 1


@pytest.fixture
def bed():
    return Bed()


def test_voter_is_replaced_as_soon_as_it_counts_as_silent(bed):
    bed.run(SILENT_AFTER_S - 0.1, "c3.0")
    assert bed.peers.plan_change() is None
    bed.run(0.2, "c3.0")
    change = bed.peers.plan_change()
    assert change.member == VOTERS[2]
    assert change.reason is GroupChangeReason.SILENT


def test_former_leader_is_silent_since_its_last_message():
    bed = Bed(former_leader="c2.0")
    remaining_s = SILENT_AFTER_S - ELECTION_MIN_S
    bed.run(remaining_s + 0.1, "c2.0", "c3.0")
    assert bed.peers.plan_change().member == VOTERS[1]


def test_former_leader_that_voted_or_led_long_ago_is_not_silent():
    remaining_s = SILENT_AFTER_S - ELECTION_MIN_S
    for bed in (
        Bed(former_leader="c2.0", votes=["c2.0"]),
        Bed(former_leader="c2.0", age=MAX_ELECTION_S),
    ):
        bed.run(remaining_s + 0.1, "c2.0")
        assert bed.peers.plan_change() is None
        assert "c2.0" in bed.peers.reachable


def test_reply_after_a_stall_finds_no_member_silent(bed):
    bed.run(1.0)
    bed.clock.advance(SILENT_AFTER_S + 0.1)
    bed.reply("c3.0", "c4.0")
    assert bed.peers.plan_change() is None


def test_leader_that_stalled_does_not_take_its_pause_for_silence(bed):
    bed.run(1.0)
    bed.clock.advance(SILENT_AFTER_S + 0.1)
    bed.peers.record_run()
    bed.reply("c3.0", "c4.0")
    assert bed.peers.plan_change() is None
    bed.run(STALL_S + 0.1)
    assert bed.peers.plan_change() is None


def names(bed):
    return [m.host for m in bed.peers.find_successors()]


def test_successor_is_reachable_and_stays(bed):
    bed.run(ELECTION_MIN_S + 0.1, "c5.0")
    assert names(bed) == ["c2", "c3", "c4"]
    bed.peers.record_leaving("c4.0")
    assert names(bed) == ["c2", "c3"]
    for member in ("c2.0", "c3.0"):
        bed.peers.record_leaving(member)
    assert names(bed) == []
