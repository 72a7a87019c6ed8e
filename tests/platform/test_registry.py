"""Tests of the format in which instances register."""

import json

import falcon
import falcon.testing
import pytest
from result import Ok

from wasabitray_core.local_messages import Deregister
from wasabitray_core.states import TargetPhase
from wasabitray_platform.registry import (
    INSTANCES_PATH,
    InstancesResource,
    parse_announcement,
)

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
NOW_MS = 1_700_000_123_000


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
        {"slots": 2**31},
        {"slots": 70_000},
        {"slots": 1e300},
        {"seq": 2**63},
        {"born": 2**63},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-1"},
        {"address": "rota.example:80"},
        {"service": "\ud800"},
        {"service": "a\r\nb"},
        {"service": "s" * 300},
        {"zone": "\x00"},
        {"zone": "z" * 300},
    ],
)
def test_invalid_registration_is_refused(fields):
    assert not isinstance(parse(**fields), Ok)


@pytest.mark.parametrize("field", [k for k in BODY if k != "version"][:-2])
def test_missing_field_is_reported(field):
    body = {k: v for k, v in BODY.items() if k != field}
    assert field in parse_announcement("i-1", body, REGIONS).err_value


@pytest.mark.parametrize(
    "name", ["", "i 1", "i-1\r\nX-Other: 1", "i-\ud800", "i-\xe9", "i" * 300]
)
def test_id_that_cannot_be_sent_in_a_header_is_refused(name):
    assert not isinstance(parse_announcement(name, BODY, REGIONS), Ok)


@pytest.mark.parametrize("body", [None, [], "ready", 7])
def test_body_that_is_no_object_is_refused(body):
    assert not isinstance(parse_announcement("i-1", body, REGIONS), Ok)


class FakeRouter:
    """Records the messages that the resource sends."""

    def __init__(self):
        self.messages = []

    def ask(self, controller, message, timeout):
        self.messages.append(message)


@pytest.fixture
def router():
    return FakeRouter()


@pytest.fixture
def client(router):
    app = falcon.App()
    app.add_route(
        INSTANCES_PATH,
        InstancesResource(router, REGIONS, lambda: NOW_MS / 1_000),
    )
    return falcon.testing.TestClient(app)


DEEPLY_NESTED = "[" * 100_000 + "]" * 100_000
UNREADABLE = {
    "deeply nested": DEEPLY_NESTED,
    "nested in a field": json.dumps(BODY)[:-1] + f', "x": {DEEPLY_NESTED}}}',
    "not JSON": "{",
    "not UTF-8": b"\xff\xfe",
    "number with many digits": '{"slots": ' + "9" * 5_000 + "}",
    "too long": " " * 100_000 + json.dumps(BODY),
}


@pytest.mark.parametrize("body", UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_body_that_cannot_be_read_changes_nothing(
    client, router, method, body
):
    response = client.simulate_request(method, "/-/instances/i-1", body=body)
    assert response.status_code == 400
    assert router.messages == []


@pytest.mark.parametrize("born", ["yesterday", -1, 2**63, 1.5, None])
def test_departure_with_an_invalid_start_changes_nothing(client, router, born):
    response = client.simulate_delete("/-/instances/i-1", json={"born": born})
    assert response.status_code == 400
    assert router.messages == []


@pytest.mark.parametrize(
    ("body", "generation"), [("", None), ("{}", None), ('{"born": 7}', 7)]
)
def test_departure_is_sent_to_the_hub(client, router, body, generation):
    response = client.simulate_delete("/-/instances/i-1", body=body)
    assert response.status_code == 200
    assert router.messages == [Deregister("i-1", generation, NOW_MS)]
