"""What follows when a task can't write to disk."""

import errno

import pytest

from wasabitray_node import assembly
from wasabitray_node.control_assembly import handle_sync_error
from wasabitray_node.departure_file import DepartureFile
from wasabitray_node.quarantine_file import QuarantineFile
from wasabitray_node.storage import Storage

NO_SPACE = OSError(errno.ENOSPC, "no space left")


@pytest.fixture
def ends(monkeypatch):
    """Record the errors that end the process."""
    errors = []
    monkeypatch.setattr(assembly, "exit_immediately", errors.append)
    return errors


@pytest.mark.parametrize("kind", [Storage, DepartureFile])
def test_process_ends_if_what_it_acknowledges_cannot_be_stored(
    tmp_path, ends, kind
):
    handle_sync_error(kind(tmp_path), NO_SPACE)
    assert ends == [NO_SPACE]


# Guards against a full disk that ends control hosts because of quarantines.
def test_process_goes_on_if_quarantines_cannot_be_stored(tmp_path, ends):
    handle_sync_error(QuarantineFile(tmp_path), NO_SPACE)
    assert ends == []
