"""Tests of the format in which instances register."""

import pytest
from result import Ok

from wasabitray_core.states import TargetPhase
from wasabitray_platform.registry import parse_announcement

BODY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "hobart",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": "0ms",
    "seq": 4,
}
REGIONS = {"hobart": "south"}


def parse(**fields):
    return parse_announcement("i-1", {**BODY, **fields}, REGIONS)


def test_registration_is_parsed():
    announcement = parse(born=1_700_000_000_000).ok_value
    assert (announcement.target, announcement.address) == (
        "i-1",
        "10.128.0.9:8080",
    )
    assert (announcement.region, announcement.failure_domain) == (
        "south",
        "hobart",
    )
    assert (announcement.generation, announcement.sequence) == (
        1_700_000_000_000,
        4,
    )
    assert announcement.phase is TargetPhase.ACTIVE
    assert announcement.lease_s == 0  # it does not expire without heartbeats


def test_draining_instance_is_leaving():
    assert parse(state="draining").ok_value.phase is TargetPhase.LEAVING


def test_unknown_fields_are_ignored():
    assert isinstance(parse(colour="green"), Ok)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "tired"},
        {"state": 1},
        {"service": None},
        {"service": ""},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"address": ["10.0.0.1:80"]},
        {"slots": 0},
        {"slots": "2"},
        {"slots": True},
        {"seq": -1},
        {"seq": 1.5},
        {"seq": 2**70},
        {"zone": {}},
        {"born": "yesterday"},
        {"born": None},
        {"warmup_left": "soon"},
    ],
)
def test_invalid_registration_is_refused(fields):
    assert not isinstance(parse(**fields), Ok)


@pytest.mark.parametrize("field", [k for k in BODY if k != "version"][:-2])
def test_missing_field_is_reported(field):
    body = {k: v for k, v in BODY.items() if k != field}
    assert field in parse_announcement("i-1", body, REGIONS).err_value


@pytest.mark.parametrize("body", [None, [], "ready", 7])
def test_body_that_is_no_object_is_refused(body):
    assert not isinstance(parse_announcement("i-1", body, REGIONS), Ok)
