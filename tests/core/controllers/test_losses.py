"""How an entry estimates the share of lost requests."""

import pytest

from wasabitray_core.controllers.losses import (
    WINDOW_S,
    FleetShare,
    LossEstimate,
    LostShare,
)

FLEET = FleetShare(40, 0.5)


@pytest.fixture
def losses():
    """An entry that served two requests per second for ten seconds."""
    estimate = LossEstimate()
    for step in range(20):
        estimate.record_request(True, step / 2)
    return estimate


def test_failures_reported_by_all_entries_raise_the_estimate(losses):
    for step in range(40):
        losses.record_failure(9.0 + step / 80)
    assert 0.15 < losses.estimate_share(FLEET, 10.0).share < 0.35


def test_failures_expire_after_their_window(losses):
    losses.record_failure(9.0)
    assert losses.estimate_share(FLEET, 9.5).share > 0.0
    assert losses.estimate_share(FLEET, 9.0 + WINDOW_S + 0.1).share == 0.0


def test_single_loss_of_one_entry_hardly_raises_the_estimate(losses):
    losses.record_request(False, 10.0)
    assert losses.estimate_share(FLEET, 10.0).share < 0.1


def test_many_losses_of_one_entry_raise_the_estimate_alone(losses):
    for step in range(8):
        losses.record_request(False, 10.0 + step / 2)
    assert losses.estimate_share(FLEET, 14.0).share > 0.1


def test_requests_of_the_region_show_how_many_the_fleet_has():
    losses = LossEstimate()
    losses.record_request(True, 9.0)  # this entry has few requests
    losses.record_others(399, 0, 10.0)
    for step in range(40):
        losses.record_failure(9.0 + step / 80)
    lost = losses.estimate_share(FleetShare(276, 0.5), 10.0)
    assert lost.share == pytest.approx(40 / 800)
    assert lost.requests == pytest.approx(800)


def test_losses_of_the_region_raise_the_estimate():
    losses = LossEstimate()
    losses.record_others(400, 80, 10.0)
    assert losses.estimate_share(FleetShare(276, 0.5), 10.0).share > 0.15


def test_few_requests_leave_more_losses_possible():
    many, few = LostShare(0.05, 2_000.0), LostShare(0.05, 50.0)
    assert 0.05 < many.upper_bound < 0.06 < 0.1 < few.upper_bound < 0.12
    assert LostShare(0.0, 50.0).upper_bound > 0.0
