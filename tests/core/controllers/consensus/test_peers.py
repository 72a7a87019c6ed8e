"""What a leader concludes from the replies of other members."""

import random

import pytest
from support.fakes import FakeClock, FakeOutbox

from wasabitray_core.controllers.consensus.election import (
    ELECTION_MIN_S,
    UNKNOWN_HOST,
    Election,
)
from wasabitray_core.controllers.consensus.group import GroupSize
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.consensus.peers import (
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

    def __init__(self, former_leader=""):
        self.clock = FakeClock()
        context = Context("c1", self.clock, random.Random(1), FakeOutbox())
        election = Election("c1.0", Ballot(1, "c1.0"))
        election.follow(former_leader, self.clock())
        self.clock.advance(ELECTION_MIN_S)
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
                progress.last_contact = self.clock()
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


def test_leader_that_stalled_does_not_take_its_pause_for_silence(bed):
    bed.run(1.0)
    bed.clock.advance(SILENT_AFTER_S + 0.1)
    bed.peers.record_run()
    bed.reply("c3.0", "c4.0")
    assert bed.peers.plan_change() is None
    bed.run(STALL_S + 0.1)
    assert bed.peers.plan_change() is None


def test_successor_is_reachable_and_stays(bed):
    bed.run(ELECTION_MIN_S + 0.1, "c5.0")
    assert bed.peers.find_successor() == "c4"
    bed.peers.record_leaving("c4.0")
    assert bed.peers.find_successor() == "c3"
    for member in ("c2.0", "c3.0"):
        bed.peers.record_leaving(member)
    assert bed.peers.find_successor() == UNKNOWN_HOST
