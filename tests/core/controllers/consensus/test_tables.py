"""Replacing route tables and confirmed reads in the replicated log."""

from core.controllers.consensus.network import (
    Network,
    empty_snapshot,
    make_change,
)
from core.controllers.consensus.timed_network import TimedNetwork
from result import Err, Ok
from support.tables import make_route, make_table

from wasabitray_core.controllers.consensus.proposals import MAX_QUEUED_BYTES
from wasabitray_core.controllers.controller import Origin, ReplyToken
from wasabitray_core.errors import (
    DocumentError,
    NotLeaderError,
    UnavailableError,
)
from wasabitray_core.ids import HostId, MemberId
from wasabitray_core.local_messages import (
    Propose,
    ReadDocuments,
    ReplaceTable,
)
from wasabitray_core.messages import JoinRequest, Member, Members
from wasabitray_core.route_table import read_table_source


def make_settled_network(size=3, seed=1):
    network = Network(size, seed)
    network.run(4.0)
    return network


def send_request(network, message, host=None):
    """Send a request to a host, by default the leader; return its token."""
    network.last_token += 1
    token = ReplyToken(network.last_token)
    node = network.nodes[host] if host else network.leader()
    node.receive(message, Origin(reply_token=token), False)
    return token


def ask(network, message, host=None):
    """Send a request and run until its reply arrives, at most 2 s."""
    token = send_request(network, message, host)
    for _ in range(20):
        if token in network.replies:
            break
        network.run(0.1)
    return network.replies.get(token)


def make_replacement(version, *routes, number=0):
    source = make_table(version, *(routes or (make_route("r"),)))
    return ReplaceTable(f"c-{version}-{number}", "ann", "", source)


def read_table(network, host=None):
    return read_table_source(
        ask(network, ReadDocuments(), host).ok_value.documents
    )


def test_highest_version_wins_and_older_ones_are_accepted():
    network = make_settled_network()
    assert isinstance(ask(network, make_replacement(7)), Ok)
    assert isinstance(ask(network, make_replacement(3)), Ok)
    assert read_table(network).version == 7


def test_table_of_version_0_is_applied_first_and_overtaken_later():
    network = make_settled_network()
    first = make_route("first")
    assert isinstance(ask(network, make_replacement(0, first)), Ok)
    assert [r.name for r in read_table(network).routes] == ["first"]
    other = make_replacement(0, make_route("other"), number=1)
    assert isinstance(ask(network, other), Ok)
    assert isinstance(ask(network, make_replacement(7)), Ok)
    late = make_replacement(0, make_route("late"), number=2)
    assert isinstance(ask(network, late), Ok)
    assert [r.name for r in read_table(network).routes] == ["r"]


def test_different_content_with_the_same_version_changes_nothing():
    network = make_settled_network()
    ask(network, make_replacement(7))
    other = make_replacement(7, make_route("other"), number=1)
    assert isinstance(ask(network, other), Ok)
    assert [r.name for r in read_table(network).routes] == ["r"]


def test_two_concurrent_tables_are_accepted_and_the_higher_stays():
    network = make_settled_network()
    tokens = [send_request(network, make_replacement(v)) for v in (9, 5)]
    network.run(1.0)
    assert all(isinstance(network.replies[t], Ok) for t in tokens)
    assert read_table(network).version == 9


def test_resent_table_is_accepted_by_a_new_leader():
    network = make_settled_network()
    ask(network, make_replacement(7))
    network.crash(network.leader().host)
    network.run(5.0)
    assert isinstance(ask(network, make_replacement(7, number=1)), Ok)
    assert read_table(network).version == 7


def test_every_host_refuses_an_invalid_table_and_nothing_changes():
    network = make_settled_network()
    bad = make_replacement(9, make_route("r", split=(("gone", 1),)))
    for host in network.hosts:
        error = ask(network, bad, host).err_value
        assert isinstance(error, DocumentError)
    assert (
        read_table_source(ask(network, ReadDocuments()).ok_value.documents)
        is None
    )


def test_follower_error_names_the_leader():
    network = make_settled_network()
    leader = network.leader().host
    follower = next(h for h in network.hosts if h != leader)
    for message in (make_replacement(1), ReadDocuments()):
        error = ask(network, message, follower).err_value
        assert isinstance(error, NotLeaderError)
        assert error.peer == leader


def test_partitioned_leader_does_not_serve_outdated_reads():
    network = make_settled_network(5)
    ask(network, make_replacement(1))
    old = network.leader().host
    for host in network.hosts:
        if host != old:
            network.blocked |= {(old, host), (host, old)}
    token = send_request(network, ReadDocuments(), old)
    network.run(5.0)
    assert network.leader().host != old
    ask(network, make_replacement(2))
    assert isinstance(network.replies.get(token), Err | None)


def test_read_waits_until_a_majority_confirms_the_leader():
    network = make_settled_network()
    ask(network, make_replacement(1))
    leader = network.leader().host
    for host in network.hosts:
        if host != leader:
            network.blocked.add((host, leader))  # replies are lost
    token = send_request(network, ReadDocuments())
    network.run(0.3)
    assert token not in network.replies
    network.blocked.clear()
    network.run(0.5)
    assert isinstance(network.replies[token], Ok)


def test_member_removed_while_away_becomes_a_member_again():
    network = Network(6, 1)
    network.run(4.0)
    away = next(h for h in network.hosts if h != network.leader().host)
    node = network.leader()
    members = node.controller._log.members
    rest = tuple(m for m in members.voters if m.host != away)
    node.controller._append(Members(rest, members.learners))
    all_links = {(a, b) for a in network.hosts for b in network.hosts}
    network.blocked = {c for c in all_links if away in c}
    network.run(3.0)
    network.blocked.clear()
    network.run(5.0)
    group = network.leader().controller._log.members
    assert away in {m.host for m in (*group.voters, *group.learners)}


def test_removed_member_that_does_not_know_the_leader_rejoins():
    network = Network(6, 1)
    network.run(4.0)
    node = network.leader()
    members = node.controller._log.members
    away = next(m for m in members.voters if m.host != node.host)
    stale = tuple(m for m in members.voters if m.host != node.host)
    rest = tuple(m for m in members.voters if m != away)
    node.controller._append(Members(rest, members.learners))
    network.run(1.0)
    network.crash(away.host)
    disk = network.disks[away.host]
    disk.snapshot = empty_snapshot(Members(stale))
    disk.records.clear()
    network.start(away.host)
    network.run(5.0)
    group = network.leader().controller._log.members
    assert away in (*group.voters, *group.learners)


def test_learner_whose_admission_was_never_committed_asks_again():
    network = TimedNetwork(9, 1)
    joining = network.names[-1]
    network.kill(joining)
    network.run(12.0)
    old_leader = network.find_leader().name
    network.split([old_leader, joining])
    network.start(joining)
    network.run(4.0)
    learner = network.hosts[joining].controller
    assert learner._state.own_member in learner._log.members.learners
    network.heal()
    network.run(4.0)
    leader = network.find_leader()
    assert leader.name != old_leader
    group = leader.controller._log.members
    assert learner._state.own_member in (*group.voters, *group.learners)


def deliver_all(network):
    """Deliver all messages, also those sent meanwhile; no timer runs."""
    for _ in range(200):
        network.deliver_one()
    assert not network.queue


def test_committed_change_is_acknowledged_before_the_next_timer():
    network = make_settled_network()
    deliver_all(network)
    token = send_request(network, make_replacement(7))
    deliver_all(network)
    assert isinstance(network.replies.get(token), Ok)


def test_read_is_answered_right_after_a_member_joined():
    network = make_settled_network()
    deliver_all(network)
    leader = network.leader()
    joined = Member(MemberId("c4.0"), HostId("c4"))
    leader.receive(JoinRequest(joined), Origin(peer=joined.host), False)
    token = send_request(network, ReadDocuments())
    deliver_all(network)
    assert isinstance(network.replies.get(token), Ok)


def test_queued_tables_are_acknowledged_with_the_highest_of_them():
    network = make_settled_network()
    deliver_all(network)
    tables = [make_replacement(v) for v in (1, 2, 4, 3)]
    tokens = [send_request(network, table) for table in tables]
    deliver_all(network)
    assert all(isinstance(network.replies.get(t), Ok) for t in tokens)
    assert network.leader().controller.machine.revision == 2


def test_change_behind_a_table_keeps_its_place():
    network = make_settled_network()
    deliver_all(network)
    send_request(network, make_replacement(1))
    first = send_request(network, Propose(make_change(1, 1)))
    second = send_request(network, make_replacement(2))
    deliver_all(network)
    assert network.replies[first].ok_value.revision == 2
    assert network.replies[second].ok_value.revision == 3


# Guards against a leader that exceeds its memory while operators send large
# tables again and again and none can be committed.
def test_tables_that_wait_are_bounded_by_their_size():
    network = make_settled_network()
    leader = network.leader().host
    others = {h for h in network.hosts if h != leader}
    network.blocked |= {(h, leader) for h in others}
    route = make_route("r", path="/" + "x" * (MAX_QUEUED_BYTES // 4))
    tokens = [
        send_request(network, make_replacement(n + 1, route), leader)
        for n in range(10)
    ]
    refused = [network.replies[t] for t in tokens if t in network.replies]
    # One is in the log already, three wait.
    assert len(refused) == len(tokens) - 4
    for reply in refused:
        assert isinstance(reply.err_value, UnavailableError)
    network.blocked.clear()
    network.run(2.0)
    assert read_table(network).version == 4
    reply = ask(network, make_replacement(11, route))
    assert isinstance(reply, Ok)
