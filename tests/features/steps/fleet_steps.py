"""Steps about the fleet, its configuration and plain requests."""

import shutil
import time

from behave import given, then, when
from fleet import LocalFleet, call, wait_for
from support.fault_proxy import FaultProxy

HEADER = "Wasabitray-Organisation"
SERVED_WITHIN_S = 10


def declare(context):
    """Return the scenario's folder of declarations, made on first use."""
    folder = context.folder / "declarations"
    if not folder.exists():
        examples = context.folder.__class__(__file__).parents[3] / "examples"
        shutil.copytree(examples / "declarations", folder)
        (folder / "fleet.toml").write_text(context.fleet.fleet_document())
    return folder


def get(context, path, organisation, entry="e1", **headers):
    address = context.fleet.callers(entry)
    return call(
        address, "GET", path, headers={HEADER: organisation, **headers}
    )


@given("a fleet of {controls:d} control hosts and {entries:d} entries")
def start_fleet(context, controls, entries, proxied=False):
    context.fleet = LocalFleet(
        context.folder, controls=controls, entries=entries, proxied=proxied
    )
    if proxied:
        context.proxy = FaultProxy(context.fleet)
    context.fleet.start()
    context.down, context.changes = set(), {}
    context.newest, context.table_written = 0, False
    context.services, context.load = {}, []


@given("a target of service {service:w}")
def start_target(context, service):
    name = f"t{len(context.fleet.targets) + 1}"
    context.fleet.start_target(name, service)


@when("the example declarations are applied")
def apply_examples(context):
    applied = context.fleet.run_cli("apply", str(declare(context)))
    assert applied.returncode == 0, applied.stdout + applied.stderr


@then("revision {revision:d} is in force on every entry within {seconds:d} s")
def revision_in_force(context, revision, seconds):
    deadline = time.monotonic() + seconds
    for name in context.fleet.entry_names:
        wait_for(
            lambda n=name: (
                context.fleet.status(n)["configuration"]["revision"]
                == revision
            ),
            max(0.0, deadline - time.monotonic()),
            f"revision {revision} on {name}",
        )


@then("an address answer lists {count:d} entries with a time to live")
def address_answer(context, count):
    path = "/.well-known/wasabitray/addresses"
    address = context.fleet.callers("e1")

    def complete():
        found = call(address, "GET", path)
        return found.status == 200 and len(found.json()["addresses"]) == count

    wait_for(complete, SERVED_WITHIN_S, "a complete address answer")
    assert call(address, "GET", path).json()["ttl_s"] > 0


@then("GET {path} for {organisation} is answered by the target")
def answered(context, path, organisation):
    found = wait_for(
        lambda: (
            (answer := get(context, path, organisation)).status == 200
            and answer
        ),
        SERVED_WITHIN_S,
        "an answer of the target",
    )
    assert found.json()["branch"] == path.rsplit("/", 1)[-1]
    assert found.headers["wasabitray-entry"] == "e1"
    assert found.headers["wasabitray-target"]


@then("GET {path} for {organisation} is refused with {status:d} {reason}")
def refused(context, path, organisation, status, reason):
    wait_for(
        lambda: get(context, path, organisation).json()["reason"] == reason,
        SERVED_WITHIN_S,
        f"the reason {reason}",
    )
    found = get(context, path, organisation)
    assert found.status == status, found.status
    assert found.headers["wasabitray-outcome"] == "not-run"


@then("the target gets the query and the escapes of the path unchanged")
def target_of_request(context):
    path = "/rota/hobart/a%0d%0aX-Evil:%201"
    found = get(context, f"{path}?day=mon&x=%20y", "hobart").json()
    assert found["query"] == "day=mon&x=%20y", found
    assert found["path"] == "/rota/hobart/a\r\nX-Evil: 1", found
