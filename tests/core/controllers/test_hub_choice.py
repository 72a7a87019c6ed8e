"""Which hub an entry tries next when its own one is isolated."""

import pytest

from wasabitray_core.controllers.hub_choice import HubChoice
from wasabitray_core.messages import HostAddress

HOSTS = [f"c{n}" for n in range(9)]


def make_addresses(hosts):
    """Return addresses of hubs, three in each region."""
    return tuple(
        HostAddress(host, f"{host}:1", f"region-{int(host[1:]) // 3}", host)
        for host in hosts
    )


@pytest.fixture
def choice():
    """Return the choice of an entry in c0's domain, whose hub is c0."""
    choice = HubChoice("e1", "region-0", "c0")
    choice.update_addresses(make_addresses(HOSTS), is_complete=True)
    assert choice.choose(0.0) == "c0"
    return choice


def hear_isolated(choice, hosts, now=10.0):
    """Let c0 say that it is isolated and which hubs it hears, then leave."""
    choice.record_isolated_side(make_addresses(hosts), now)
    choice.record_failure("c0", now, is_isolated=True)


def test_hub_beyond_the_cut_comes_before_near_hubs_on_this_side(choice):
    hear_isolated(choice, ["c0", "c1", "c2", "c3", "c4"])
    assert choice.choose(10.0) in {"c5", "c6", "c7", "c8"}


def test_near_hub_comes_first_if_a_few_hosts_were_lost(choice):
    hear_isolated(choice, [h for h in HOSTS if h not in ("c7", "c8")])
    assert choice.choose(10.0) in {"c1", "c2"}


def test_the_loss_of_one_host_of_three_is_no_cut():
    choice = HubChoice("e1", "region-0", "c0")
    choice.update_addresses(make_addresses(["c0", "c1", "c6"]), True)
    choice.record_isolated_side(make_addresses(["c0", "c1"]), 10.0)
    choice.record_failure("c0", 10.0, is_isolated=True)
    assert choice.choose(10.0) == "c1"


def test_near_hub_is_tried_again_later(choice):
    hear_isolated(choice, ["c0", "c1", "c2", "c3", "c4"], now=10.0)
    assert choice.choose(13.0) == "c0"
