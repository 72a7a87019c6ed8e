"""Tests of the text formats of times and versions."""

import pytest

from wasabitray_platform.units import (
    format_ms,
    format_version,
    parse_ms,
    parse_version,
)


@pytest.mark.parametrize(
    ("text", "milliseconds"),
    [("1500ms", 1_500), ("2.5s", 2_500), ("0ms", 0), ("600s", 600_000)],
)
def test_time_is_parsed_with_its_unit(text, milliseconds):
    assert parse_ms(text) == milliseconds


@pytest.mark.parametrize("text", ["", "5", "ms", "-1s", "1m", 5, None, True])
def test_invalid_time_is_refused(text):
    with pytest.raises(ValueError):
        parse_ms(text)


def test_formatted_time_parses_to_the_same_time():
    for milliseconds in (0, 2, 1_500, 12_345_678, 0.5):
        assert parse_ms(format_ms(milliseconds)) == milliseconds


def test_version_is_parsed_and_formatted():
    assert parse_version("r12") == 12
    assert format_version(12) == "r12"


@pytest.mark.parametrize(
    "text", ["12", "r", "r-1", "v1", 12, None, f"r{2**63}", "r" + "9" * 5_000]
)
def test_invalid_version_is_refused(text):
    with pytest.raises(ValueError):
        parse_version(text)
