"""What an entry believes of the share of lost requests."""

import pytest

from wasabitray_core.controllers.losses import WINDOW_S, LossEstimate

ENTRIES = 40


@pytest.fixture
def losses():
    """An entry that served two requests a second for ten seconds."""
    found = LossEstimate()
    for step in range(20):
        found.note_end(True, step / 2)
    return found


def test_failures_that_all_entries_tell_of_count(losses):
    for step in range(40):
        losses.note_failure(9.0 + step / 80)
    assert 0.15 < losses.share(ENTRIES, 10.0) < 0.35


def test_failures_are_forgotten_after_their_window(losses):
    losses.note_failure(9.0)
    assert losses.share(ENTRIES, 9.5) > 0.0
    assert losses.share(ENTRIES, 9.0 + WINDOW_S + 0.1) == 0.0


def test_single_loss_of_an_entry_says_little_of_the_fleet(losses):
    losses.note_end(False, 10.0)
    assert losses.share(ENTRIES, 10.0) < 0.1


def test_many_losses_of_an_entry_count_without_word_of_others(losses):
    for step in range(8):
        losses.note_end(False, 10.0 + step / 2)
    assert losses.share(ENTRIES, 14.0) > 0.1
