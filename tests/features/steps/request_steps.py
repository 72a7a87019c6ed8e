"""Steps about requests, outcomes and targets' faults."""

import itertools
import json

import gevent
from behave import given, then, when
from fleet import call, wait_for

ORGANISATION_HEADER = "Wasabitray-Organisation"
ANSWER_TIMEOUT_S = 20
HELD_BYTES = 262_144
_numbers = itertools.count(1)


def targets_of(context, service):
    return [n for n, s in context.target_services.items() if s == service]


def set_targets(context, service, **fields):
    for name in targets_of(context, service):
        context.fleet.control_target(name, **fields)


GOOD = {
    "delay_s": 0.0,
    "fail_share": 0.0,
    "break_share": 0.0,
    "shed_share": 0.0,
    "hang": False,
    "broken_data": False,
    "cut_body": False,
    "answer_bytes": 0,
    "poison": "",
}


@given("{count:d} targets of service {service:w}")
def start_targets(context, count, service):
    start_announcing(context, count, service, len(context.fleet.entry_names))


@given("{count:d} targets of service {service:w} announcing to e1 only")
def start_targets_at_one(context, count, service):
    start_announcing(context, count, service, 1)


def start_announcing(context, count, service, entries):
    for _ in range(count):
        name = f"t{len(context.target_services) + 1}"
        context.target_services[name] = service
        context.fleet.start_target(name, service, entries=entries)
    names = targets_of(context, service)

    def known():
        return all(
            {f"{context.fleet.ip(n)}:9000" for n in names}
            <= {t["target"] for t in context.fleet.status(e)["targets"]}
            for e in context.fleet.entry_names
        )

    wait_for(known, 15, "the targets at every entry")


BEHAVIOURS = {
    "sheds all work": {"shed_share": 1.0},
    "works again": GOOD,
    "breaks connections": {"break_share": 1.0},
    "hangs": {"hang": True},
    "cuts its answers short": {"cut_body": True},
    "cuts its large answers short": {
        "cut_body": True,
        "answer_bytes": 3 * HELD_BYTES,
    },
    "leaves out the data that callers need": {
        **GOOD,
        "broken_data": True,
    },
}


@when("every {service:w} target takes {delay:d} ms")
def set_delay(context, service, delay):
    set_targets(context, service, delay_s=delay / 1_000)


@when("every {service:w} target fails {share:d} percent of its work")
def set_failures(context, service, share):
    set_targets(context, service, fail_share=share / 100)


@when("every {service:w} target breaks requests for {path}")
def set_poison(context, service, path):
    set_targets(context, service, poison=path)


def add_behaviour_steps():
    for text, fields in BEHAVIOURS.items():

        def change(context, service, fields=fields):
            set_targets(context, service, **fields)

        when(f"every {{service:w}} target {text}")(change)


add_behaviour_steps()


@when("one rota target fails {share:d} percent of its work")
def set_one_failing(context, share):
    context.gray_target = targets_of(context, "rota")[0]
    context.fleet.control_target(context.gray_target, fail_share=share / 100)


def post(context, path, key, entry):
    headers = {ORGANISATION_HEADER: "hobart"}
    if key:
        headers["Idempotency-Key"] = key
    return call(
        context.fleet.callers(entry),
        "POST",
        path,
        b"claim",
        headers,
        ANSWER_TIMEOUT_S,
    )


@when("POST {path} with key {key} is sent to {entry:w}")
def send_keyed(context, path, key, entry):
    context.answer = post(context, path, key, entry)


@when("POST {path} without a key is sent to {entry:w}")
def send_unkeyed(context, path, entry):
    context.answer = post(context, path, "", entry)


@when("POST {path} with key {key} is sent to {entry:w} and {same:w} is killed")
def send_and_kill(context, path, key, entry, same):
    job = gevent.spawn(post, context, path, key, entry)
    wait_for(lambda: runs_of(context, key), 5, "the request at a target")
    context.fleet.processes[entry].kill()
    job.join()


@then("it is answered by a target")
def was_answered(context):
    answer = context.answer
    assert answer.status == 200, answer.body
    assert answer.headers["wasabitray-target"]


@then("it is not answered by a target")
def was_not_answered(context):
    assert "wasabitray-target" not in context.answer.headers


@then("it is refused with {status:d} {reason} and outcome {outcome}")
def was_refused(context, status, reason, outcome):
    answer = context.answer
    found = answer.json()
    assert (answer.status, found["reason"]) == (status, reason), answer.body
    assert answer.headers["wasabitray-outcome"] == outcome, answer.body


def runs_of(context, key):
    return sum(
        context.fleet.control_target(name)["runs"].get(key, 0)
        for name in context.target_services
    )


@then("key {key} ran once on all targets together")
def ran_once(context, key):
    assert runs_of(context, key) == 1, runs_of(context, key)


@then("keys {first} and {second} ran once each on all targets together")
def both_ran_once(context, first, second):
    ran_once(context, first)
    ran_once(context, second)


@then("GET {path} at {entry:w} never brings half an answer in {tries:d} tries")
def never_half(context, path, entry, tries):
    broken = 0
    for _ in range(tries):
        try:
            answer = call(
                context.fleet.callers(entry),
                "GET",
                path,
                headers={ORGANISATION_HEADER: "hobart"},
            )
        except Exception:  # the connection was broken: not passed as whole
            broken += 1
            continue
        stated = int(answer.headers.get("content-length", -1))
        assert stated == len(answer.body), (stated, len(answer.body))
        document = json.loads(answer.body)
        if answer.status == 200:
            assert "monitors" in document, "a bad answer was passed on"
        else:
            assert document["outcome"] == "unknown", document
        broken += answer.status != 200
    assert broken == tries, "the targets did not fail as they were told"
