"""Steps that look up the cause of a failed request by its id."""

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when
from fleet import wait_for

CLI_PATH = Path(sys.executable).parent / "wasabitray"


@when("the instances reset every connection")
def reset_connections(context):
    for instance in context.fleet.instances.values():
        instance.mode = "reset"


@when("the instances take {seconds:d} s")
def delay_responses(context, seconds):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds


@when("request {name} to {path} is sent to {entry:w}")
def send_request(context, name, path, entry):
    context.response = context.fleet.send(entry, "POST", path, id=name)


@then("it is answered with status {status:d}")
def response_has_status(context, status):
    assert context.response.status == status, context.response


@then("the logs show cause {cause} and reason {reason} for {name}")
def logs_explain(context, name, cause, reason):
    trace = wait_for(lambda: explain(context, name), 5, "the complete trace")
    attempts = [line for line in trace if line["event"] == "attempt"]
    assert cause in {line["facts"]["status"] for line in attempts}, trace
    assert trace[-1]["facts"]["reason"] == reason, trace
    earlier_events = [
        e["event"] for e in trace if e["time"] < attempts[0]["time"]
    ]
    assert "revision in force" in earlier_events, trace


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
    return lines if lines[-1]["event"] == "request refused" else None
