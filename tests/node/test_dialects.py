"""The native headers of targets."""

import pytest

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import LoadReport, Request, Target
from wasabitray_core.states import AttemptStatus
from wasabitray_node import headers as h
from wasabitray_node.dialects import NativeTargetDialect, parse_load

TARGET = Target("t1", "rota", "south", "south-a", 2, "10.0.0.1:80")
ATTEMPT = Attempt(TARGET, Request("hobart", "GET", "/", id="id-1"), 1.0, True)


# Guards against a load header that makes the entry answer 500.
@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("busy=1, slots=2", LoadReport(1, 2)),
        ("busy=\xb2, slots=2", None),
        ("busy=" + "9" * 5_000 + ", slots=2", None),
    ],
    ids=["numbers", "superscript", "long"],
)
def test_load_header_is_parsed(value, load):
    assert parse_load(value) == load


def test_long_id_of_another_request_is_shortened():
    headers = ((h.EXCHANGE_HEADER, "x" * 10_000),)
    metadata = NativeTargetDialect().parse_response(ATTEMPT, 200, headers)
    assert metadata.status is AttemptStatus.INVALID
    assert len(metadata.detail) < 200
