"""Templates, parameters and the fleet document."""

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


def organisation(**parameters):
    return Organisation(name="o", template="t", parameters=parameters)


def test_filled_template_keeps_types_and_finds_the_longest_route():
    filled = render_template(TEMPLATE, organisation(branch="x")).ok_value
    assert filled.routes[0].deadline_ms == 20
    assert filled.find_route("GET", "/r/x/y").path == "/r/x"
    assert filled.find_route("GET", "/rx").path == "/"
    assert filled.find_route("DELETE", "/r/x") is None


@given(st.text(), st.integers())
def test_parameters_outside_their_bounds_are_refused(branch, ms):
    result = render_template(TEMPLATE, organisation(branch=branch, ms=ms))
    bad = len(branch) > 5 or ms < 10
    if bad:
        assert result.is_err()
    elif result.is_ok():
        assert result.ok_value.routes[0].deadline_ms == ms


def fleet(*groups, epoch=1):
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


def test_groups_are_replaced_in_two_steps():
    old, new = ("a", "b", "c"), ("b", "c", "d")
    steps = [
        fleet(old),
        fleet(old, new, epoch=2),
        fleet(new, epoch=3),
    ]
    assert validate_group_change(steps[0], steps[1]) == []
    assert validate_group_change(steps[1], steps[2]) == []
    assert validate_group_change(steps[0], fleet(new, epoch=2))
    assert validate_group_change(steps[0], fleet(old, new, epoch=1))
    assert validate_group_change(steps[0], fleet(old, epoch=2))
