"""Whole configurations of the platform."""

import copy

import pytest
from result import Ok

from wasabitray_core.states import RequestKind
from wasabitray_platform.configuration import format_table, parse_table

BODY = {
    "version": "r7",
    "routes": [
        {
            "name": "r-1",
            "host": "hulo84.example",
            "path_prefix": "/xapu221/ny95/",
            "kind": "non_idempotent",
            "timeout": "2500ms",
            "latency_target": "800ms",
            "priority": 1,
            "service": "wuno96b",
            "attempts": 2,
        },
        {
            "name": "r-2",
            "host": "jepu9.example",
            "path_prefix": "/lepu270/",
            "kind": "idempotent",
            "timeout": "2000ms",
            "latency_target": "800ms",
            "priority": 2,
            "traffic_split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "attempts": 2,
        },
    ],
    "services": [
        {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 330,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("huvo11a", "wuno96b")
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


def changed(change):
    body = copy.deepcopy(BODY)
    change(body)
    return body


def faults(body):
    """Return every fault, of the form and of the whole."""
    parsed = parse_table(body)
    if isinstance(parsed, Ok):
        return parsed.ok_value.check().err() or []
    return parsed.err_value


def test_configuration_survives():
    table = parse_table(BODY).ok_value
    assert table.check().is_ok()
    assert format_table(table) == BODY


def test_fields_hold_what_the_platform_says():
    route, split = parse_table(BODY).ok_value.routes
    assert route.kind is RequestKind.NON_IDEMPOTENT
    assert (route.timeout_ms, route.target_ms) == (2_500, 800)
    assert [(p.service, p.weight) for p in split.split] == [
        ("huvo11a", 90),
        ("wuno96b", 10),
    ]


def set_in_route(field, value):
    return lambda b: b["routes"][0].update({field: value})


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (set_in_route("service", "gone"), "r-1"),
        (set_in_route("attempts", 0), "routes.0"),
        (set_in_route("timeout", "601s"), "routes.0"),
        (set_in_route("timeout", None), "routes.0"),
        (set_in_route("kind", "magic"), "routes.0"),
        (set_in_route("name", "r-2"), "r-2"),
        (lambda b: b["routes"][0].pop("timeout"), "timeout"),
        (lambda b: b["routes"][1].update(traffic_split=[]), "routes.1"),
        (
            lambda b: b["routes"][1]["traffic_split"][0].update(weight=-1),
            "routes.1",
        ),
        (lambda b: b.pop("services"), "services"),
        (lambda b: b.pop("version"), "version"),
        (lambda b: b.update(version="7"), "version"),
        (lambda b: b.update(routes=[None]), "routes.0"),
        (lambda b: b.update(limits=[]), "limits"),
    ],
)
def test_invalid_configuration_names_its_fault(change, named):
    found = faults(changed(change))
    assert found
    assert any(named in fault for fault in found)


def test_weights_that_add_up_to_nothing_are_invalid():
    def change(body):
        for part in body["routes"][1]["traffic_split"]:
            part["weight"] = 0

    assert any("add up to 0" in f for f in faults(changed(change)))


@pytest.mark.parametrize("body", [None, [], "r7", 7])
def test_other_json_is_refused(body):
    assert faults(body)


def test_all_faults_are_named_at_once():
    def change(body):
        body["routes"][0]["timeout"] = "soon"
        body["routes"][1]["kind"] = "magic"

    assert len(faults(changed(change))) == 2
