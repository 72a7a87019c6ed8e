"""Steps that look up the cause of a failed request by its id."""

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when
from fleet import wait_for

CLI_PATH = Path(sys.executable).parent / "wasabitray"
END_EVENTS = ("request answered", "request refused")


@when("the instances reset every connection")
def reset_connections(context):
    for instance in context.fleet.instances.values():
        instance.mode = "reset"


@when(
    "the instances take {seconds:d} s and give up {margin:d} s {side:w} the "
    "deadline"
)
def delay_responses(context, seconds, margin, side):
    overrun_s = {"before": -margin, "after": margin}[side]
    for instance in context.fleet.instances.values():
        instance.delay_s, instance.overrun_s = seconds, overrun_s


@when("request {name} to {path} is sent to {entry:w}")
def send_request(context, name, path, entry):
    context.response = context.fleet.send(entry, "POST", path, id=name)


@then("it is answered with status {status:d}")
def response_has_status(context, status):
    assert context.response.status == status, context.response


@then("the logs show cause {cause} and reason {reason} for {name}")
def logs_explain(context, name, cause, reason):
    trace = wait_for_trace(context, name)
    assert trace[-1]["event"] == "request refused", trace
    assert trace[-1]["facts"]["reason"] == reason, trace
    assert cause in find_statuses(trace), trace


@then("the logs show the instance's own status {status:d} for {name}")
def logs_show_own_status(context, status, name):
    trace = wait_for_trace(context, name)
    assert trace[-1]["event"] == "request answered", trace
    facts = trace[-1]["facts"]
    assert facts["status"] == status and facts["detail"], trace
    assert facts["target"] in {
        i.name for i in context.fleet.instances.values()
    }, trace
    assert "answered" in find_statuses(trace), trace


def wait_for_trace(context, name):
    """Return the complete trace, which begins with the entry's revision."""
    trace = wait_for(lambda: explain(context, name), 5, "the complete trace")
    first_attempt = next(e for e in trace if e["event"] == "attempt")
    earlier_events = [
        e["event"] for e in trace if e["time"] < first_attempt["time"]
    ]
    assert "revision in force" in earlier_events, trace
    return trace


def find_statuses(trace):
    return {e["facts"]["status"] for e in trace if e["event"] == "attempt"}


def explain(context, name):
    """Return the request's trace once its end is in the logs."""
    logs = [str(p) for p in context.folder.glob("*.log")]
    completed = subprocess.run(
        [CLI_PATH, "explain", name, *logs, "--json"],
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        return None
    lines = json.loads(completed.stdout)["lines"]
    return lines if lines[-1]["event"] in END_EVENTS else None
