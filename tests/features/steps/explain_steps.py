"""Steps from a failed request's id to its cause."""

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when
from fleet import wait_for

COMMAND = Path(sys.executable).parent / "wasabitray"


@when("the instances break every connection")
def break_connections(context):
    for instance in context.fleet.instances.values():
        instance.mode = "reset"


@when("the instances take {seconds:d} s")
def slow_down(context, seconds):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds


@when("request {name} to {path} is sent to {entry:w}")
def send_named(context, name, path, entry):
    context.reply = context.fleet.send(entry, "POST", path, id=name)


@then("it is answered {status:d}")
def reply_is(context, status):
    assert context.reply.status == status, context.reply


@then("the logs explain {name} by {cause} and {reason}")
def logs_explain(context, name, cause, reason):
    story = wait_for(lambda: explain(context, name), 5, "the whole story")
    attempts = [e for e in story if e["event"] == "attempt"]
    assert cause in {e["facts"]["status"] for e in attempts}, story
    assert story[-1]["facts"]["reason"] == reason, story
    known = [e["event"] for e in story if e["time"] < attempts[0]["time"]]
    assert "revision in force" in known, story


def explain(context, name):
    """Return the story once its end is in the logs."""
    logs = [str(p) for p in context.folder.glob("*.log")]
    ran = subprocess.run(
        [COMMAND, "explain", name, *logs, "--json"],
        capture_output=True,
        text=True,
    )
    if ran.returncode:
        return None
    lines = json.loads(ran.stdout)["lines"]
    return lines if lines[-1]["event"] == "request refused" else None
