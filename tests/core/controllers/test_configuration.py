"""The configuration that an entry has, however it arrives."""

import itertools
import random

import pytest
from msgspec.structs import replace
from support.fakes import ControllerBed
from support.tables import make_route, make_table

from wasabitray_core.controllers.configuration import (
    NEGATIVE_LEASE_S,
    NEWER_WAIT_S,
    WAITING_INTERVAL_S,
    ConfigurationController,
)
from wasabitray_core.local_messages import (
    Committed,
    GetDocuments,
    Isolation,
    QuotaLimits,
    ResolveRoute,
    RouteResolved,
)
from wasabitray_core.messages import (
    Change,
    CommittedChange,
    ConfigDelta,
    ConfigPull,
    ConfigPush,
    ConfigState,
    DocumentEdit,
)
from wasabitray_core.organisation_policy import OrganisationPolicy
from wasabitray_core.route_table import diff_documents
from wasabitray_core.states import IsolationPolicy, RefusalReason
from wasabitray_wire import encoded_size

HUB = "c1"
STARTUP_WAIT_S = 4.0
ROUTES = ("a", "b", "c", "d")
TEMPLATE = DocumentEdit(
    "template/t",
    '{"name":"t","services":{"s":{}},"routes":[{"path":"/","service":"s"}]}',
)


class Entry(ControllerBed):
    """An entry that serves by what it has while it is isolated."""

    def __init__(self, startup_wait_s=0.0):
        super().__init__(
            ConfigurationController,
            (),
            0,
            IsolationPolicy.SERVE,
            startup_wait_s,
        )

    def resolve(self, route):
        request = ResolveRoute("", "GET", f"/{route}/x", "rota.example")
        return self.ask(request)

    def hear(self, newest=0, isolated=False):
        """Hear of the newest revision from a hub."""
        self.tell(Isolation(isolated, newest))

    def list_routes(self):
        """Return the routes that are served; other requests get a 404."""
        self.hear()
        replies = {name: self.resolve(name) for name in ROUTES}
        refused = [
            r.reason
            for r in replies.values()
            if not isinstance(r, RouteResolved)
        ]
        assert set(refused) <= {RefusalReason.UNKNOWN_ROUTE}
        return {n for n, r in replies.items() if isinstance(r, RouteResolved)}


class History:
    """Successive route tables, with routes dropped and added again."""

    def __init__(self, seed, count):
        rng = random.Random(seed)
        self.routes = [set()]
        self.documents = [{}]
        self.changes = []
        for version in range(1, count + 1):
            names = set(rng.sample(ROUTES, rng.randint(1, len(ROUTES))))
            table = make_table(
                version,
                *(
                    make_route(name, path=f"/{name}/")
                    for name in sorted(names)
                ),
            ).documents()
            edits = diff_documents(self.documents[-1], table)
            change = Change(
                f"c-{version}", version - 1, "ann", "", edits, version=version
            )
            self.changes.append(CommittedChange(version, change))
            self.routes.append(names)
            self.documents.append(table)

    def push(self, first, last):
        """Return a push of the revisions from the first to the last."""
        return ConfigPush(tuple(self.changes[first - 1 : last]))

    def state(self, revision):
        return ConfigState(revision, self.documents[revision])


@pytest.mark.parametrize("seed", range(20))
def test_entry_serves_one_whole_table_whatever_arrives(seed):
    count = 12
    history = History(seed, count)
    entry = Entry()
    rng = random.Random(f"arrivals {seed}")
    newest = 0
    for _ in range(60):
        first = rng.randint(1, count)
        last = rng.randint(first, min(count, first + 3))
        message = rng.choice((history.push(first, last), history.state(last)))
        entry.receive(HUB, message)
        revision = entry.ask(GetDocuments()).revision
        assert revision >= newest
        newest = revision
        if revision:
            assert entry.list_routes() == history.routes[revision]
    entry.receive(HUB, history.state(count))
    assert entry.list_routes() == history.routes[count]


def test_push_after_a_gap_is_answered_with_a_pull_from_the_last_revision():
    history = History(1, 5)
    entry = Entry()
    entry.receive(HUB, history.push(1, 2))
    entry.receive(HUB, history.push(4, 5))
    assert entry.outbox.sent == [(HUB, ConfigPull(2))]
    assert entry.list_routes() == history.routes[2]


class Hub(Entry):
    """A host whose group commits the changes of a history."""

    def __init__(self, history):
        super().__init__()
        self.tell(Committed(tuple(history.changes)))

    def ask_for(self, after, accepts_delta=True):
        self.outbox.sent.clear()
        self.receive("e1", ConfigPull(after, accepts_delta))
        ((_, answer),) = self.outbox.sent
        return answer


# Guards against entries that are sent all changes of a long history, and never
# get them over a slow link.
@pytest.mark.parametrize("after", (0, 50, 199))
def test_answer_to_an_entry_is_no_larger_than_the_configuration(after):
    history = History(1, 200)
    answer = Hub(history).ask_for(after)
    size = encoded_size(answer)
    assert size <= 1.2 * encoded_size(history.state(200))
    entry = Entry()
    if after:
        entry.receive(HUB, history.state(after))
    entry.receive(HUB, answer)
    assert entry.ask(GetDocuments()).documents == history.documents[200]


def test_host_of_an_earlier_version_is_sent_the_whole_configuration():
    history = History(1, 20)
    answer = Hub(history).ask_for(19, accepts_delta=False)
    assert answer == history.state(20)


def test_hosts_that_ask_for_the_same_share_one_message():
    hub = Hub(History(1, 20))
    assert hub.ask_for(19) is hub.ask_for(19)
    assert hub.ask_for(0) is hub.ask_for(0)


def test_delta_is_applied_from_any_revision_in_between():
    history = History(1, 20)
    table = make_table(21, make_route("a", path="/a/")).documents()
    delta = ConfigDelta(17, 21, diff_documents(history.documents[17], table))
    for revision in range(17, 21):
        entry = Entry()
        entry.receive(HUB, history.state(revision))
        removed = set(history.documents[revision]) - set(table)
        edits = (*delta.edits, *(DocumentEdit(k, None) for k in removed))
        entry.receive(HUB, replace(delta, edits=edits))
        assert entry.list_routes() == {"a"}
    entry = Entry()
    entry.receive(HUB, history.state(16))
    entry.receive(HUB, delta)
    assert entry.outbox.sent == [(HUB, ConfigPull(16))]


def test_request_before_the_first_configuration_waits_for_it():
    history = History(1, 1)
    entry = Entry(startup_wait_s=4.0)
    name = min(history.routes[1])
    request = ResolveRoute("", "GET", f"/{name}/x", "rota.example")
    token = entry.start_ask(request)
    assert token not in entry.outbox.replies
    entry.receive(HUB, history.state(1))
    assert isinstance(entry.outbox.replies[token], RouteResolved)


def test_entry_without_a_configuration_reports_no_route_as_missing():
    entry = Entry()
    for name in ROUTES:
        reason = entry.resolve(name).reason
        assert reason is RefusalReason.NO_CONFIGURATION


def test_entry_without_a_route_table_reports_no_route_as_missing():
    entry = Entry()
    change = Change("c-1", 0, "ann", "", (TEMPLATE,))
    entry.receive(HUB, ConfigPush((CommittedChange(1, change),)))
    assert entry.ask(GetDocuments()).revision == 1
    for name in ROUTES:
        reason = entry.resolve(name).reason
        assert reason is RefusalReason.NO_CONFIGURATION


def make_entry(revision=1):
    """Return an entry with a revision that has no route `added`."""
    entry = Entry()
    table = make_table(revision, make_route("a", path="/a/")).documents()
    entry.receive(HUB, ConfigState(revision, table))
    return entry


# Guards against a 404 for a route of an acknowledged version.
@pytest.mark.parametrize("isolated", [False, True])
def test_entry_without_recent_contact_reports_no_route_as_missing(isolated):
    entry = make_entry()
    assert entry.resolve("added").reason is RefusalReason.OUTDATED
    entry.hear(1)
    assert entry.resolve("added").reason is RefusalReason.UNKNOWN_ROUTE
    entry.clock.advance(NEGATIVE_LEASE_S + 0.1)
    if isolated:
        entry.hear(1, isolated=True)
    assert entry.resolve("added").reason is RefusalReason.OUTDATED
    assert isinstance(entry.resolve("a"), RouteResolved)


def test_request_without_a_route_waits_for_a_configuration_on_its_way():
    entry = make_entry()
    entry.hear(2)
    request = ResolveRoute("", "GET", "/added/x", "rota.example")
    token = entry.start_ask(request)
    assert isinstance(entry.resolve("a"), RouteResolved)
    assert token not in entry.outbox.replies
    table = make_table(2, make_route("added", path="/added/")).documents()
    entry.receive(HUB, ConfigState(2, table))
    assert isinstance(entry.outbox.replies[token], RouteResolved)


def test_request_that_waited_for_a_configuration_in_vain_is_refused():
    entry = make_entry()
    entry.hear(2)
    request = ResolveRoute("", "GET", "/added/x", "rota.example")
    token = entry.start_ask(request)
    entry.tick(NEWER_WAIT_S + 0.01)
    reply = entry.outbox.replies[token]
    assert reply.reason is RefusalReason.OUTDATED
    assert (reply.age.revision, reply.age.newest) == (1, 2)
    assert reply.age.hub_contact_s == pytest.approx(NEWER_WAIT_S, abs=0.02)


PREFIXES = {"/a/": "a", "/a/b/": "ab", "/a%2Fb/": "escaped", "/": "root"}


@pytest.mark.parametrize("order", list(itertools.permutations(PREFIXES)))
def test_longest_prefix_is_found_in_any_order_of_the_routes(order):
    routes = [make_route(PREFIXES[p], path=p) for p in order]
    entry = Entry()
    table = make_table(1, *routes).documents()
    entry.receive(HUB, ConfigState(1, table))
    for path, name in {
        "/a/x": "a",
        "/a/b/": "ab",
        "/a/b": "a",
        "/a%2Fb/x": "escaped",
        "/a%2fb/x": "root",
        "//a/b/": "root",
        "/a/../x": "a",
        "/a": "root",
    }.items():
        for host in ("rota.example", "ROTA.Example", "rota.example:8381"):
            reply = entry.ask(ResolveRoute("", "GET", path, host))
            assert reply.route.name == name


# Guards against wake-ups of each entry at which nothing is due.
def test_ticks_are_rare_while_no_request_waits():
    assert Entry(STARTUP_WAIT_S).controller.tick_interval_s >= 10.0


def test_request_that_waits_is_answered_soon_after_the_wait():
    entry = Entry(STARTUP_WAIT_S)
    entry.clock.advance(0.2)
    token = entry.start_ask(ResolveRoute("", "GET", "/read/x", "a"))
    asked_at = entry.clock.now
    while token not in entry.outbox.replies:
        entry.tick(entry.controller.tick_interval_s)
    waited = entry.clock.now - asked_at
    assert waited <= STARTUP_WAIT_S - 0.2 + WAITING_INTERVAL_S
    assert entry.controller.tick_interval_s >= 10.0


@pytest.mark.parametrize(
    ("organisations", "expected"), [(None, None), ((), (1,))]
)
def test_priorities_count_only_if_the_table_lists_organisations(
    organisations, expected
):
    """Other deployments must be served as before."""
    route = make_route("a", path="/a/", public=True)
    table = replace(make_table(1, route), organisations=organisations)
    entry = Entry()
    entry.receive(HUB, ConfigState(1, table.documents()))
    assert entry.resolve("a").service_priorities == expected


# Guards against limits that hubs don't learn of, also when one is removed, and
# against messages where quotas are not enforced.
@pytest.mark.parametrize("announces", [False, True])
def test_limits_of_organisations_are_told_with_each_configuration(announces):
    policies = (
        OrganisationPolicy(name="a", rate_per_s=5.0, burst=1.0),
        OrganisationPolicy(name="b", rate_per_s=0.0),
        OrganisationPolicy(name="c"),
    )
    host = ControllerBed(
        ConfigurationController, (), 0, announces_quotas=announces
    )
    table = make_table(1, make_route("r"))
    limited = replace(table, organisations=policies)
    for revision, source in enumerate((limited, table), 1):
        host.receive(HUB, ConfigState(revision, source.documents()))
    told = host.outbox.get_told(QuotaLimits)
    expected = [QuotaLimits(policies[:1]), QuotaLimits(())]
    assert told == (expected if announces else [])
