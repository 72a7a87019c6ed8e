"""Tests of templates, their parameters and the fleet document."""

from hypothesis import given
from hypothesis import strategies as st

from wasabitray_core.documents import (
    EntryHost,
    Fleet,
    Organisation,
    Template,
    render_template,
    validate_group_change,
)

TEMPLATE = Template.model_validate(
    {
        "name": "t",
        "parameters": {
            "branch": {"type": "string", "maximum": 5},
            "ms": {"type": "integer", "minimum": 10, "default": 20},
        },
        "services": {"s": {"floor": 2}},
        "routes": [
            {"path": "/", "service": "s", "deadline_ms": "{ms}"},
            {"path": "/r/{branch}", "service": "s"},
        ],
    }
)


def make_organisation(**parameters):
    return Organisation(name="o", template="t", parameters=parameters)


def test_rendered_template_keeps_types_and_finds_the_longest_route():
    rendered = render_template(
        TEMPLATE, make_organisation(branch="x")
    ).ok_value
    assert rendered.routes[0].deadline_ms == 20
    assert rendered.find_route("GET", "/r/x/y").path == "/r/x"
    assert rendered.find_route("GET", "/rx").path == "/"
    assert rendered.find_route("DELETE", "/r/x") is None


@given(st.text(), st.integers())
def test_parameters_outside_their_bounds_are_rejected(branch, ms):
    result = render_template(TEMPLATE, make_organisation(branch=branch, ms=ms))
    is_invalid = len(branch) > 5 or ms < 10
    if is_invalid:
        assert result.is_err()
    elif result.is_ok():
        assert result.ok_value.routes[0].deadline_ms == ms


def make_fleet(*groups, epoch=1):
    entries = tuple(
        EntryHost(
            host=h,
            region="r",
            failure_domain="d",
            peer_address="p",
            caller_address="c",
        )
        for h in "abcd"
    )
    return Fleet(entries=entries, claim_groups=groups, claim_epoch=epoch)


def test_claim_groups_must_be_replaced_in_two_steps():
    old, new = ("a", "b", "c"), ("b", "c", "d")
    steps = [
        make_fleet(old),
        make_fleet(old, new, epoch=2),
        make_fleet(new, epoch=3),
    ]
    assert validate_group_change(steps[0], steps[1]) == []
    assert validate_group_change(steps[1], steps[2]) == []
    assert validate_group_change(steps[0], make_fleet(new, epoch=2))
    assert validate_group_change(steps[0], make_fleet(old, new, epoch=1))
    assert validate_group_change(steps[0], make_fleet(old, epoch=2))
