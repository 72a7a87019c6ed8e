"""Steps in which control hosts of the platform are replaced."""

import signal

import gevent
from behave import given, then, when
from fleet import wait_for
from support.platform_controls import (
    CONTACT_S,
    CONTACT_SLACK_S,
    Operator,
    Replacements,
)
from support.platform_fleet import OPERATOR_PORT, start_requests
from support.platform_standins import call

REPLACED = 5
GAP_S = 4.5
# A silent voter gives its place to a learner long before that.
JOIN_TIMEOUT_S = 20


@when("{old} are replaced by {new} one after the other")
def replace_all(context, old, new):
    fleet = context.fleet
    start_requests(context)
    pairs = zip(split_names(old), split_names(new), strict=True)
    for removed, added in pairs:
        replace(fleet, removed, added)


def split_names(text: str) -> list[str]:
    return text.replace(" and ", ", ").split(", ")


def replace(fleet, removed: str, added: str) -> None:
    """Remove a control host for good and add one with an empty disk."""
    fleet.processes[removed].kill()
    fleet.controls.remove(removed)
    fleet.contacts = list(fleet.controls)
    fleet.controls.append(added)
    fleet.start_host(added)
    wait_for(
        lambda: are_voters(fleet, fleet.controls),
        JOIN_TIMEOUT_S,
        f"a group of {fleet.controls}",
    )
    fleet.contacts = list(fleet.controls)
    for name in (*fleet.controls, *fleet.entries):
        fleet.write_settings(name, initialise=False)
    addresses = [fleet.registry_address(c) for c in fleet.controls]
    for instance in fleet.instances.values():
        instance.registries[:] = addresses


def are_voters(fleet, names: list[str]) -> bool:
    """Return whether the newest host knows just these hosts as voters."""
    try:
        response = call(
            f"{fleet.ip(names[-1])}:{OPERATOR_PORT}", "GET", "/v1/status"
        )
    except (OSError, EOFError):
        return False
    if response.status != 200:
        return False
    voters = response.json()["membership"]["voters"]
    return set(voters) == {fleet.ip(name) for name in names}


@given("{names} are control hosts as well")
def add_controls(context, names):
    fleet = context.fleet
    for name in split_names(names):
        fleet.controls.append(name)
        fleet.start_host(name)
    wait_for(
        lambda: are_voters(fleet, fleet.controls),
        JOIN_TIMEOUT_S,
        f"a group of {fleet.controls}",
    )


@when(
    "all control hosts are replaced one after the other, the {first} first, "
    "by {signal_name}, and a version is sent after each removal"
)
def replace_in_turn(context, first, signal_name):
    fleet = context.fleet
    replacements = context.replacements = Replacements(fleet, signal_name)
    operator = context.operator = Operator(fleet, replacements, first)
    for number in range(REPLACED):
        if number:
            gevent.sleep(GAP_S)
        leader = fleet.find_leader() if first == "leader" else None
        removed = leader or fleet.controls[0]
        replacements.remove(removed, signal.Signals[signal_name])
        replacements.add_successor(removed)
        config = {**context.sent_config, "version": f"r{11 + number}"}
        gevent.spawn(operator.put, config, GAP_S)


@then("an operator reads back a version as new as the newest acknowledged one")
def version_is_read_back(context):
    problem = context.operator.read_back(CONTACT_S + CONTACT_SLACK_S)
    assert problem is None, problem
