"""Steps for requests, their outcomes and failing targets."""

import itertools
import json

import gevent
from behave import given, then, when
from fleet import call, wait_for

ORGANISATION_HEADER = "Wasabitray-Organisation"
RESPONSE_TIMEOUT_S = 20
MAX_BUFFERED_BYTES = 262_144
_numbers = itertools.count(1)


def get_targets(context, service):
    return [n for n, s in context.target_services.items() if s == service]


def set_targets(context, service, **fields):
    for name in get_targets(context, service):
        context.fleet.configure_target(name, **fields)


NORMAL_BEHAVIOUR = {
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
    start_announcing_targets(
        context, count, service, len(context.fleet.entry_names)
    )


@given("{count:d} targets of service {service:w} announcing to e1 only")
def start_targets_announcing_to_one(context, count, service):
    start_announcing_targets(context, count, service, 1)


def start_announcing_targets(context, count, service, entries):
    for _ in range(count):
        name = f"t{len(context.target_services) + 1}"
        context.target_services[name] = service
        context.fleet.start_target(name, service, entries=entries)
    names = get_targets(context, service)

    def entries_know_targets():
        return all(
            {f"{context.fleet.ip(n)}:9000" for n in names}
            <= {t["target"] for t in context.fleet.get_status(e)["targets"]}
            for e in context.fleet.entry_names
        )

    wait_for(
        entries_know_targets, 15, "all targets in the status of every entry"
    )


BEHAVIOURS = {
    "sheds every request": {"shed_share": 1.0},
    "recovers": NORMAL_BEHAVIOUR,
    "drops every connection": {"break_share": 1.0},
    "hangs": {"hang": True},
    "truncates its responses": {"cut_body": True},
    "truncates its large responses": {
        "cut_body": True,
        "answer_bytes": 3 * MAX_BUFFERED_BYTES,
    },
    "omits data that callers need": {
        **NORMAL_BEHAVIOUR,
        "broken_data": True,
    },
}


@when("every {service:w} target takes {delay:d} ms")
def set_delay(context, service, delay):
    set_targets(context, service, delay_s=delay / 1_000)


@when("every {service:w} target fails {share:d} percent of its requests")
def set_failures(context, service, share):
    set_targets(context, service, fail_share=share / 100)


@when("every {service:w} target drops requests for {path}")
def set_poison_path(context, service, path):
    set_targets(context, service, poison=path)


def add_behaviour_steps():
    for text, fields in BEHAVIOURS.items():

        def change(context, service, fields=fields):
            set_targets(context, service, **fields)

        when(f"every {{service:w}} target {text}")(change)


add_behaviour_steps()


@when("one rota target fails {share:d} percent of its requests")
def set_one_failing(context, share):
    context.gray_target = get_targets(context, "rota")[0]
    context.fleet.configure_target(context.gray_target, fail_share=share / 100)


def post(context, path, key, entry):
    headers = {ORGANISATION_HEADER: "hobart"}
    if key:
        headers["Idempotency-Key"] = key
    return call(
        context.fleet.caller_address(entry),
        "POST",
        path,
        b"claim",
        headers,
        RESPONSE_TIMEOUT_S,
    )


@when("POST {path} with key {key} is sent to {entry:w}")
def send_keyed(context, path, key, entry):
    context.response = post(context, path, key, entry)


@when("POST {path} without a key is sent to {entry:w}")
def send_unkeyed(context, path, entry):
    context.response = post(context, path, "", entry)


@when("POST {path} with key {key} is sent to {entry:w} and {same:w} is killed")
def send_and_kill(context, path, key, entry, same):
    job = gevent.spawn(post, context, path, key, entry)
    wait_for(
        lambda: count_runs(context, key), 5, "the request to reach a target"
    )
    context.fleet.processes[entry].kill()
    job.join()


@then("it is answered by a target")
def was_answered(context):
    response = context.response
    assert response.status == 200, response.body
    assert response.headers["wasabitray-target"]


@then("it is not answered by a target")
def was_not_answered(context):
    assert "wasabitray-target" not in context.response.headers


@then("it is refused with {status:d} {reason} and outcome {outcome}")
def was_refused(context, status, reason, outcome):
    response = context.response
    document = response.json()
    assert (response.status, document["reason"]) == (status, reason), (
        response.body
    )
    assert response.headers["wasabitray-outcome"] == outcome, response.body


def count_runs(context, key):
    return sum(
        context.fleet.configure_target(name)["runs"].get(key, 0)
        for name in context.target_services
    )


@then("key {key} ran once across all targets")
def ran_once(context, key):
    assert count_runs(context, key) == 1, count_runs(context, key)


@then("keys {first} and {second} ran once each across all targets")
def both_ran_once(context, first, second):
    ran_once(context, first)
    ran_once(context, second)


@then("GET {path} at {entry:w} returns no partial response in {tries:d} tries")
def returns_no_partial_response(context, path, entry, tries):
    failed_tries = 0
    for _ in range(tries):
        try:
            # Each try is another request: one that crashes is quarantined.
            number = next(context.request_numbers)
            response = call(
                context.fleet.caller_address(entry),
                "GET",
                f"{path}?try={number}",
                headers={ORGANISATION_HEADER: "hobart"},
            )
        except Exception:  # a broken connection is not a complete response
            failed_tries += 1
            continue
        content_length = int(response.headers.get("content-length", -1))
        assert content_length == len(response.body), (
            content_length,
            len(response.body),
        )
        document = json.loads(response.body)
        if response.status == 200:
            assert "monitors" in document, "an invalid response was forwarded"
        else:
            assert document["outcome"] == "unknown", document
        failed_tries += response.status != 200
    assert failed_tries == tries, "a try succeeded although all targets fail"
