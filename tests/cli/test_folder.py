"""Tests of the operator's folder: validation and differences."""

import shutil
from pathlib import Path

import pytest

from wasabitray_cli.errors import InputError
from wasabitray_cli.folder import build_edits, compare_documents, read_folder

EXAMPLES = Path(__file__).parents[2] / "examples" / "declarations"


@pytest.fixture
def folder(tmp_path):
    return Path(shutil.copytree(EXAMPLES, tmp_path / "declarations"))


def test_examples_are_valid(folder):
    keys = {"template/library", "organisation/hobart"}
    assert set(read_folder(folder)) == keys


def test_all_problems_are_reported(folder):
    (folder / "organisations" / "perth.toml").write_text(
        'name = "perth"\ntemplate = "library"\n'
        "[parameters]\ndeadline_ms = 5\nbranches = 1\n"
    )
    with pytest.raises(InputError) as caught:
        read_folder(folder)
    for part in ("parameters.branch", "deadline_ms", "branches", "perth"):
        assert part in str(caught.value)


def test_empty_folder_is_refused(tmp_path):
    with pytest.raises(InputError):
        read_folder(tmp_path)


def test_difference_and_its_edits():
    current = {"a": {"x": 1}, "b": {"x": 1}, "c": {"x": 1}}
    wanted = {"a": {"x": 1}, "b": {"x": 2}, "d": {"x": 1}}
    difference = compare_documents(current, wanted)
    assert difference.added == ("d",)
    assert difference.changed == ("b",)
    assert difference.removed == ("c",)
    assert {"key": "c", "body": None} in build_edits(difference, wanted)
    assert compare_documents(wanted, wanted).is_empty
