"""Whole route tables and confirmed reads in the replicated log."""

from core.controllers.consensus.network import Network
from result import Err, Ok
from support.tables import make_route, make_table

from wasabitray_core.controllers.controller import Origin, ReplyToken
from wasabitray_core.errors import DocumentError, NotLeaderError
from wasabitray_core.local_messages import ReadDocuments, ReplaceTable
from wasabitray_core.messages import Members
from wasabitray_core.route_table import read_table_source


def settled(size=3, seed=1):
    network = Network(size, seed)
    network.run(4.0)
    return network


def start(network, message, host=None):
    """Ask a host, the leader if none is named; return the token."""
    network.asks += 1
    ask = ReplyToken(network.asks)
    node = network.nodes[host] if host else network.leader()
    node.receive(message, Origin(reply_token=ask), False)
    return ask


def ask(network, message, host=None):
    """Ask and run for up to 2 s until the reply is there."""
    token = start(network, message, host)
    for _ in range(20):
        if token in network.answers:
            break
        network.run(0.1)
    return network.answers.get(token)


def replace_with(version, *routes, number=0):
    source = make_table(version, *(routes or (make_route("r"),)))
    return ReplaceTable(f"c-{version}-{number}", "ann", "", source)


def version_read(network, host=None):
    return read_table_source(
        ask(network, ReadDocuments(), host).ok_value.documents
    )


def test_highest_version_wins_and_older_ones_are_accepted():
    network = settled()
    assert isinstance(ask(network, replace_with(7)), Ok)
    assert isinstance(ask(network, replace_with(3)), Ok)
    assert version_read(network).version == 7


def test_other_content_under_the_version_held_changes_nothing():
    network = settled()
    ask(network, replace_with(7))
    other = replace_with(7, make_route("other"), number=1)
    assert isinstance(ask(network, other), Ok)
    assert [r.name for r in version_read(network).routes] == ["r"]


def test_of_two_tables_at_once_both_are_accepted_and_the_higher_stays():
    network = settled()
    tokens = [start(network, replace_with(v)) for v in (9, 5)]
    network.run(1.0)
    assert all(isinstance(network.answers[t], Ok) for t in tokens)
    assert version_read(network).version == 9


def test_resent_table_is_accepted_by_a_new_leader():
    network = settled()
    ask(network, replace_with(7))
    network.crash(network.leader().host)
    network.run(5.0)
    assert isinstance(ask(network, replace_with(7, number=1)), Ok)
    assert version_read(network).version == 7


def test_invalid_table_is_refused_by_any_host_and_changes_nothing():
    network = settled()
    bad = replace_with(9, make_route("r", split=(("gone", 1),)))
    for host in network.hosts:
        error = ask(network, bad, host).err_value
        assert isinstance(error, DocumentError)
    assert (
        read_table_source(ask(network, ReadDocuments()).ok_value.documents)
        is None
    )


def test_follower_names_the_leader():
    network = settled()
    leader = network.leader().host
    follower = next(h for h in network.hosts if h != leader)
    for message in (replace_with(1), ReadDocuments()):
        error = ask(network, message, follower).err_value
        assert isinstance(error, NotLeaderError)
        assert error.peer == leader


def test_leader_that_was_cut_off_reads_nothing_old():
    network = settled(5)
    ask(network, replace_with(1))
    old = network.leader().host
    for host in network.hosts:
        if host != old:
            network.cuts |= {(old, host), (host, old)}
    token = start(network, ReadDocuments(), old)
    network.run(5.0)
    assert network.leader().host != old
    ask(network, replace_with(2))
    assert isinstance(network.answers.get(token), Err | None)


def test_read_waits_for_a_majority_that_hears_it():
    network = settled()
    ask(network, replace_with(1))
    leader = network.leader().host
    for host in network.hosts:
        if host != leader:
            network.cuts.add((host, leader))  # answers are lost
    token = start(network, ReadDocuments())
    network.run(0.3)
    assert token not in network.answers
    network.cuts.clear()
    network.run(0.5)
    assert isinstance(network.answers[token], Ok)


def test_member_that_lost_its_place_while_away_comes_back():
    network = Network(6, 1)
    network.run(4.0)
    away = next(h for h in network.hosts if h != network.leader().host)
    node = network.leader()
    members = node.controller._log.members
    rest = tuple(m for m in members.voters if m.host != away)
    node.controller._append(Members(rest, members.learners))
    cuts = {(a, b) for a in network.hosts for b in network.hosts}
    network.cuts = {c for c in cuts if away in c}
    network.run(3.0)
    network.cuts.clear()
    network.run(5.0)
    known = network.leader().controller._log.members
    assert away in {m.host for m in (*known.voters, *known.learners)}
