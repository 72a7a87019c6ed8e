"""How an entry estimates the share of lost requests."""

import pytest

from wasabitray_core.controllers.losses import WINDOW_S, LossEstimate

ENTRIES = 40


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
    assert 0.15 < losses.estimate_share(ENTRIES, 10.0) < 0.35


def test_failures_expire_after_their_window(losses):
    losses.record_failure(9.0)
    assert losses.estimate_share(ENTRIES, 9.5) > 0.0
    assert losses.estimate_share(ENTRIES, 9.0 + WINDOW_S + 0.1) == 0.0


def test_single_loss_of_one_entry_hardly_raises_the_estimate(losses):
    losses.record_request(False, 10.0)
    assert losses.estimate_share(ENTRIES, 10.0) < 0.1


def test_many_losses_of_one_entry_raise_the_estimate_alone(losses):
    for step in range(8):
        losses.record_request(False, 10.0 + step / 2)
    assert losses.estimate_share(ENTRIES, 14.0) > 0.1
