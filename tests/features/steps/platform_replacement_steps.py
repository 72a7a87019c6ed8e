"""Steps in which control hosts of the platform are replaced."""

from behave import when
from fleet import wait_for
from support.platform_fleet import OPERATOR_PORT, start_requests
from support.platform_standins import call

# A silent voter gives its place to a learner after 8 s.
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
