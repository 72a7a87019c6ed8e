"""Validating and applying changes in the configuration state machine."""

from core.controllers.consensus.network import empty_snapshot, make_change

from wasabitray_core.controllers.consensus.state_machine import (
    ConfigurationStateMachine,
)
from wasabitray_core.errors import ConflictError, DocumentError
from wasabitray_core.messages import Change, DocumentEdit, Members


def test_change_that_is_in_the_log_twice_is_applied_once():
    machine = ConfigurationStateMachine()
    machine.restore(empty_snapshot(Members(())))
    assert machine.apply(make_change(1, 0)).revision == 1
    assert machine.apply(make_change(1, 1)) is None
    assert machine.revision == 1


def test_results_of_changes_survive_a_snapshot():
    machine = ConfigurationStateMachine()
    machine.apply(make_change(1, 0))
    copy = ConfigurationStateMachine()
    copy.restore(machine.snapshot(1, 1, Members(())))
    assert copy.find_previous_result(make_change(1, 0)).ok_value == 1
    assert copy.documents == machine.documents


def test_change_that_expects_an_older_revision_is_a_conflict():
    machine = ConfigurationStateMachine()
    machine.apply(make_change(1, 0))
    error = machine.validate(make_change(2, 0)).err_value
    assert isinstance(error, ConflictError)


def test_template_change_that_invalidates_an_organisation_is_refused():
    machine = ConfigurationStateMachine()
    machine.apply(make_change(1, 0))
    organisation = '{"name":"hobart","template":"t"}'
    edits = (DocumentEdit("organisation/hobart", organisation),)
    assert machine.validate(Change("c", 1, "a", "", edits)).is_ok()
    machine.apply(Change("c", 1, "a", "", edits))
    template = (
        '{"name":"t","parameters":{"branch":{"type":"string"}},'
        '"services":{"s":{}},"routes":[{"path":"/","service":"s"}]}'
    )
    change = Change("d", 2, "a", "", (DocumentEdit("template/t", template),))
    error = machine.validate(change).err_value
    assert isinstance(error, DocumentError)
    assert "organisation/hobart: parameters.branch" in error.detail
