"""Steps for a fleet that runs behind the platform's adapter."""

import json
import signal
import time
from pathlib import Path

import gevent
from behave import given, then, when
from fleet import wait_for
from support.platform_fleet import PlatformFleet, start_requests
from support.platform_standins import (
    call,
    connect,
    encode_request_head,
    make_config,
    read_response,
    send,
)

# At the end of a day, the platform's operator retries a read for at least this
# long.
READ_TIMEOUT_S = 4.0
ROUTES = {
    "/read/": {"kind": "idempotent", "service": "rota"},
    "/write/": {"kind": "non_idempotent", "service": "rota"},
}


@given(
    "a platform fleet of {controls:d} control hosts and {entries:d} entries"
)
def start_fleet(context, controls, entries):
    context.fleet = PlatformFleet(context.folder, controls, entries)
    context.fleet.start()


@given("instances {names} of service {service}")
def start_instances(context, names, service):
    for name in names.split(", "):
        context.fleet.start_instance(name, service)


@given("configuration {version:d} with a read route and a write route")
def apply_configuration(context, version):
    context.sent_config = make_config(version, ROUTES, ["rota"])
    assert context.fleet.put_configuration(context.sent_config) == 200
    for entry in context.fleet.entries:
        for path in ROUTES:
            wait_for(
                lambda e=entry, p=path: gets_response(context, e, p),
                10,
                "service",
            )
    for instance in context.fleet.instances.values():
        instance.requests.clear()


def gets_response(context, entry, path):
    return context.fleet.send(entry, "GET", path + "ready").status == 200


@then("every entry is ready within {seconds:d} s")
def entries_are_ready(context, seconds):
    for entry in context.fleet.entries:
        wait_for(lambda e=entry: context.fleet.is_ready(e), seconds, entry)


@then("the directory lists both entries")
def directory_lists_entries(context):
    fleet = context.fleet
    wanted = {fleet.caller_address(e) for e in fleet.entries}

    def all_are_listed():
        responses = [
            call(
                fleet.directory_address(c),
                "GET",
                "/-/resolve?name=rota.example",
            )
            for c in (*fleet.controls, *fleet.entries)
        ]
        return all(
            r.status == 200 and set(r.json()["front_addresses"]) == wanted
            for r in responses
        )

    wait_for(all_are_listed, 5, "every directory lists both entries")


@then("a request to {path} and its response arrive unchanged")
def request_is_unchanged(context, path):
    response = context.fleet.send(
        "e1", "GET", f"{path}?q=%20a", id="id-1", headers={"X-Other": "o"}
    )
    assert response.status == 200, response
    (request,) = [
        r
        for i in context.fleet.instances.values()
        for r in i.requests
        if r.headers.get("request-id") == "id-1"
    ]
    assert request.target == f"{path}?q=%20a"
    assert request.headers["x-other"] == "o"
    assert request.headers["host"] == "rota.example"
    assert 0 < int(request.headers["deadline-ms"]) <= 4_000
    name = request.headers["expect-instance"]
    assert response.headers["server-stamp"] == f"stamp-{name}"
    assert response.headers["request-id"] == "id-1"


@then("a request to {path} is answered with status {status:d}")
def request_gets_status(context, path, status):
    assert context.fleet.send("e1", "GET", path).status == status


@then("the configuration read from any control host is the one that was sent")
def configuration_is_read(context):
    for name in context.fleet.controls:
        # A host that can't confirm its state, as in an election, answers 503.
        response = wait_for(
            lambda n=name: read_configuration(context, n),
            READ_TIMEOUT_S,
            name,
        )
        assert sort_by_name(response.json()) == sort_by_name(
            context.sent_config
        )


def read_configuration(context, name):
    """Return a host's response, None if there is none or its status is 503."""
    response = context.fleet.follow(name, "GET")
    if response is None or response.status == 503:
        return None
    assert response.status == 200, (name, response)
    return response


def sort_by_name(config):
    for field in ("routes", "services"):
        config = {
            **config,
            field: sorted(config[field], key=lambda x: x["name"]),
        }
    return config


@when("configuration {version:d} moves /read/ to service desk with {name}")
def move_route(context, version, name):
    context.fleet.start_instance(name, "desk")
    routes = {**ROUTES, "/read/": {**ROUTES["/read/"], "service": "desk"}}
    context.sent_config = make_config(version, routes, ["rota", "desk"])
    assert context.fleet.put_configuration(context.sent_config) == 200
    context.changed_at = time.monotonic()


@then("requests to {path} at any entry reach {name} within {seconds:d} s")
def requests_reach_instance(context, path, name, seconds):
    for entry in context.fleet.entries:
        remaining_s = context.changed_at + seconds - time.monotonic()
        wait_for(
            lambda e=entry: context.fleet.send(e, "GET", path).body.startswith(
                f"i-{name} ".encode()
            ),
            remaining_s,
            f"{entry} uses {name}",
        )


@when("configuration {version:d} is sent to another control host")
def send_to_other_host(context, version):
    older_config = make_config(version, ROUTES, ["rota"])
    context.status = context.fleet.put_configuration(older_config, first="c2")


@then("it is acknowledged and changes nothing")
def is_acknowledged(context):
    assert context.status == 200
    configuration_is_read(context)


@when("a configuration with an unknown service is sent")
def send_invalid(context):
    invalid_config = make_config(99, {"/read/": {"service": "gone"}}, ["rota"])
    context.status = context.fleet.put_configuration(
        invalid_config, first="c3"
    )


@then("it is refused with {status:d} and changes nothing")
def is_refused(context, status):
    assert context.status == status
    configuration_is_read(context)


@when("instances send invalid registrations")
def send_invalid_registrations(context):
    fleet = context.fleet
    valid_fields = fleet.instances["i1"].build_registration()
    for number, invalid_fields in enumerate(
        (
            {"state": "tired"},
            {"slots": None},
            {"slots": 2**40},
            {"address": 5},
            {"address": "10.0.0.1:70000"},
            {"zone": []},
            {"service": "\ud800"},
        )
    ):
        for control in fleet.controls:
            path = f"/-/instances/i-bad-{number}"
            response = call(
                fleet.registry_address(control),
                "PUT",
                path,
                valid_fields | invalid_fields,
            )
            assert response.status == 400
    deeply_nested = b"[" * 100_000
    for control in fleet.controls:
        for method in ("PUT", "DELETE"):
            address = fleet.registry_address(control)
            path = "/-/instances/i-i1"
            response = send(address, method, path, deeply_nested)
            assert response.status == 400


@then("every entry uses a new instance of its region within {seconds:d} s")
def new_instance_is_used(context, seconds):
    new_instances = ("i3", "i4")  # one in each region
    for name in new_instances:
        context.fleet.start_instance(name, "rota")
    expected = tuple(f"i-{name} ".encode() for name in new_instances)
    used_by = set()

    def is_used_everywhere():
        for entry in context.fleet.entries:
            response = context.fleet.send(entry, "GET", "/read/x")
            if response.body.startswith(expected):
                used_by.add(entry)
        return used_by == set(context.fleet.entries)

    wait_for(is_used_everywhere, seconds, "requests at new instances")


@when("{name} announces that it is leaving and is acknowledged")
def stop_instance(context, name):
    context.leaving_instance = context.fleet.instances[name]
    wait_for(
        context.leaving_instance.leave,
        5,
        "an acknowledgement of the departure",
    )
    context.changed_at = time.monotonic()


@then("no request reaches {name} later than {seconds:f} s after that")
def no_request_reaches_instance(context, name, seconds):
    gevent.sleep(max(0.0, context.changed_at + seconds - time.monotonic()))
    count_before = len(context.leaving_instance.requests)
    for _ in range(10):
        for entry in context.fleet.entries:
            assert context.fleet.send(entry, "GET", "/read/x").status == 200
    assert len(context.leaving_instance.requests) == count_before


@when("{name} states in its responses that it is leaving")
def state_leaving(context, name):
    """Both entries pass on a response of the leaving instance."""
    fleet = context.fleet
    context.leaving_instance = fleet.instances[name]
    context.leaving_instance.is_leaving = True

    def passes_on(entry):
        response = fleet.send(entry, "GET", "/read/x")
        return response.headers.get("server-leaving") == "1"

    wait_for(
        lambda: any(passes_on(e) for e in fleet.entries), 10, "a response"
    )
    context.changed_at = time.monotonic()


@when("all hosts are killed and start again")
def restart_all(context):
    fleet = context.fleet
    fleet.instances["i1"].registration_job.kill()
    names = (*fleet.controls, *fleet.entries)
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.start_host(name)
    for entry in fleet.entries:
        wait_for(lambda e=entry: is_served(context, e), 15, entry)


def is_served(context, entry):
    try:
        return gets_response(context, entry, "/read/")
    except (OSError, EOFError):
        return False


@when("a late registration of {name} as ready arrives at every control host")
def register_late(context, name):
    instance = context.fleet.instances[name]
    instance.state = "ready"
    for control in context.fleet.controls:
        response = call(
            context.fleet.registry_address(control),
            "PUT",
            f"/-/instances/{instance.name}",
            instance.build_registration(),
        )
        assert response.status == 200, (control, response)
    context.changed_at = time.monotonic()


@when("{name} refuses requests with a Retry-After of {seconds:f} s")
def refuse_with_time(context, name, seconds):
    instance = context.fleet.instances[name]
    instance.mode, instance.retry_after = "full", str(seconds)
    count = len(instance.received_at)

    def is_refused():
        context.fleet.send("e1", "GET", "/read/x")
        return len(instance.received_at) > count

    wait_for(is_refused, 10, "a refusal")


@then(
    "at most {count:d} requests of an entry reach {name} from {start:f} s to "
    "{end:f} s after that"
)
def few_requests_reach_instance(context, count, name, start, end):
    instance = context.fleet.instances[name]
    began_at = instance.received_at[-1]
    while time.monotonic() < began_at + end:
        assert context.fleet.send("e1", "GET", "/read/x").status == 200
        gevent.sleep(0.02)
    early = [
        t for t in instance.received_at if start <= t - began_at < end - 0.1
    ]
    assert len(early) <= count, [t - began_at for t in early]


@when("the instances refuse requests with a Retry-After of {seconds:f} s")
def all_refuse_with_time(context, seconds):
    instances = context.fleet.instances.values()
    counts = [len(i.received_at) for i in instances]
    for instance in instances:
        instance.mode, instance.retry_after = "full", str(seconds)

    def have_all_refused():
        context.fleet.send("e1", "GET", "/read/x")
        return all(
            len(i.received_at) > count
            for i, count in zip(instances, counts, strict=True)
        )

    wait_for(have_all_refused, 3, "a refusal of each instance")
    context.changed_at = min(i.received_at[-1] for i in instances)


@then(
    "a request to {path} is refused at once until the {seconds:f} s are over"
)
def refused_until(context, path, seconds):
    count = sum(len(i.received_at) for i in context.fleet.instances.values())
    for _ in range(10):
        started = time.monotonic()
        response = context.fleet.send("e1", "POST", path)
        remaining = context.changed_at + seconds - time.monotonic()
        assert response.status == 503, response
        assert time.monotonic() - started < 0.5
        assert float(response.headers["retry-after"]) >= remaining - 0.1
    assert count == sum(
        len(i.received_at) for i in context.fleet.instances.values()
    )
    for instance in context.fleet.instances.values():
        instance.mode = "serve"
    gevent.sleep(max(0.0, context.changed_at + seconds - time.monotonic()))
    wait_for(
        lambda: context.fleet.send("e1", "POST", path).status == 200,
        2,
        "service",
    )


@when("another instance answers at the address of {name}")
def replace_instance(context, name):
    context.fleet.instances[name].mode = "other"


@then("{count:d} requests to {path} are all answered by {name}")
def all_are_answered_by(context, count, path, name):
    for _ in range(count):
        response = context.fleet.send("e1", "POST", path, body=b"x")
        assert response.body.startswith(f"i-{name} ".encode()), response


@when("{name} resets every connection")
def reset_connections(context, name):
    instance = context.fleet.instances[name]
    instance.mode = "reset"
    context.requests_before_reset = len(instance.requests)


@when("{name} sends bytes without end in {place}")
def send_without_end(context, name, place):
    context.fleet.instances[name].mode = place


@then("the memory of every entry stays below {megabytes:d} MB")
def memory_stays_below(context, megabytes):
    for entry in context.fleet.entries:
        pid = context.fleet.processes[entry].child.pid
        status = Path(f"/proc/{pid}/status").read_text()
        peak = next(n for n in status.splitlines() if n.startswith("VmHWM"))
        assert int(peak.split()[1]) < megabytes * 1_000, peak


@then("{count:d} requests to {path} at every entry are all answered")
def all_are_answered_everywhere(context, count, path):
    for entry in context.fleet.entries:
        for _ in range(count):
            response = context.fleet.send(entry, "GET", path)
            assert response.status == 200 and response.complete, response
            assert b"nobody's" not in response.body


@then("{count:d} requests to {path} are all answered")
def all_are_answered(context, count, path):
    for _ in range(count):
        response = context.fleet.send("e1", "GET", path)
        assert response.status == 200 and response.complete, response


@then("of {count:d} requests to {path} none runs twice")
def none_runs_twice(context, count, path):
    for number in range(count):
        context.fleet.send("e1", "POST", path, body=b"x", id=f"once-{number}")
    started_ids = [
        r for i in context.fleet.instances.values() for r in i.started_ids
    ]
    for number in range(count):
        assert started_ids.count(f"once-{number}") <= 1


@then("all entries stop using {name} immediately")
def instance_is_avoided(context, name):
    failing_instance = context.fleet.instances[name]

    def has_broken_connections():
        # A reused connection that breaks is no evidence against its target.
        received = len(failing_instance.requests)
        for entry in context.fleet.entries:
            context.fleet.send(entry, "GET", "/read/x")
        is_unused = len(failing_instance.requests) == received
        return is_unused and received > context.requests_before_reset

    wait_for(has_broken_connections, 3, f"broken connections to {name}")
    count_before = len(failing_instance.requests)
    for entry in context.fleet.entries:
        for _ in range(10):
            context.fleet.send(entry, "GET", "/read/x")
    assert len(failing_instance.requests) == count_before


@then("a chunked upload of {size:d} bytes reaches an instance in full")
def chunked_upload_arrives(context, size):
    body = bytes(range(250)) * (size // 250)
    response = context.fleet.send(
        "e1", "POST", "/write/x", body=body, chunked=True, id="up-1"
    )
    assert response.status == 200, response
    (request,) = [
        r
        for i in context.fleet.instances.values()
        for r in i.requests
        if r.headers.get("request-id") == "up-1"
    ]
    assert request.body == body


def set_mode(context, mode):
    for instance in context.fleet.instances.values():
        instance.mode = mode


def set_crash_path(context, path):
    for instance in context.fleet.instances.values():
        instance.crash_path = path


@when("the instances crash on {path}")
def crash_on_path(context, path):
    set_crash_path(context, path)


@when("the instances no longer crash on {path}")
def stop_crashing(context, path):
    set_crash_path(context, "")


@when("{path} is sent {count:d} times to every entry")
def send_to_every_entry(context, path, count):
    for _ in range(count):
        for entry in context.fleet.entries:
            context.fleet.send(entry, "GET", path)


@then("at most {count:d} requests to {path} reached instances")
def few_requests_reached_instances(context, count, path):
    reached = sum(
        r.target == path
        for i in context.fleet.instances.values()
        for r in i.requests
    )
    assert 0 < reached <= count, reached


@then("every entry refuses {path} with status {status:d}")
def every_entry_refuses(context, path, status):
    for entry in context.fleet.entries:
        response = context.fleet.send(entry, "GET", path)
        assert response.status == status, response


@then("every entry serves {path} within {seconds:d} s")
def every_entry_serves(context, path, seconds):
    def is_served():
        return all(
            context.fleet.send(entry, "GET", path).status == 200
            for entry in context.fleet.entries
        )

    wait_for(is_served, seconds, f"a response to {path} at every entry")


@when("the instances respond without a Content-Length")
def omit_content_length(context):
    set_mode(context, "unframed")


@when("the instances send extra bytes after their responses")
def send_extra_bytes(context):
    set_mode(context, "extra")


@when("the instances respond before they have read the body")
def respond_early(context):
    set_mode(context, "early")


@when("the instances reset long uploads that they have begun to answer")
def reset_early(context):
    set_mode(context, "early-reset")


@when("the instances answer with the status {status}")
def answer_with_status(context, status):
    set_mode(context, f"status-{status}")


@then("no answer of an instance to {count:d} uploads reaches its caller")
def no_answer_to_uploads(context, count):
    context.uploads = getattr(context, "uploads", 0)
    reached = count_started(context)
    for number in range(count):
        context.uploads += 1
        response = context.fleet.send(
            "e1",
            "POST",
            f"/write/{context.uploads}",
            body=bytes(2_000_000),
            chunked=number % 2 == 0,
        )
        assert response.status >= 500, response
        assert "server-stamp" not in response.headers, response
    assert count_started(context) > reached


def count_started(context):
    return sum(len(i.requests) for i in context.fleet.instances.values())


@when("the instances refuse requests as overloaded")
def refuse_as_overloaded(context):
    set_mode(context, "full")


@then("an upload of {size:d} bytes gets the instance's own 413")
def upload_is_refused_early(context, size):
    response = context.fleet.send("e1", "POST", "/write/x", body=bytes(size))
    assert response.status == 413, response
    assert response.headers["server-stamp"].startswith("stamp-")


@when("a request takes {seconds:d} s and its caller leaves after {delay:f} s")
def caller_leaves(context, seconds, delay):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds
    sock = connect(context.fleet.caller_address("e1"))
    headers = {"Request-Id": "gone-1", "Deadline-Ms": "4000"}
    sock.sendall(encode_request_head("GET", "/read/x", b"", headers))
    gevent.sleep(delay)
    sock.close()


@then("the connection to the instance is closed within {seconds:f} s")
def instance_connection_closes(context, seconds):
    def find_closed_requests():
        return [
            r
            for i in context.fleet.instances.values()
            for r in i.requests
            if r.headers.get("request-id") == "gone-1" and r.sender_left
        ]

    wait_for(
        find_closed_requests,
        seconds,
        "the connection to the instance to be closed",
    )


@then(
    "a request to {path} is answered with status {status:d} and a Retry-After"
)
def is_refused_with_retry_after(context, path, status):
    response = context.fleet.send("e1", "POST", path, body=b"x")
    assert response.status == status, response
    assert 0 < float(response.headers["retry-after"]) <= 5


@when("a request takes {seconds:d} s and {name} is stopped during it")
def stop_entry(context, seconds, name):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds
    sock = connect(context.fleet.caller_address(name))
    headers = {"Request-Id": "slow-1", "Deadline-Ms": "4000"}
    sock.sendall(encode_request_head("POST", "/write/x", b"", headers))
    gevent.sleep(0.3)
    context.fleet.processes[name].signal(signal.SIGTERM)
    context.changed_at = time.monotonic()
    context.slow_response = gevent.spawn(read_response, sock)


@then("that request is answered in full")
def slow_request_is_answered(context):
    response = context.slow_response.get(timeout=5)
    assert response.status == 200 and response.complete, response
    assert response.headers["connection"] == "close"


@then("{name} leaves the directory and exits within {seconds:d} s")
def entry_exits(context, name, seconds):
    fleet = context.fleet
    address = fleet.caller_address(name)

    def has_left_directory():
        response = call(
            fleet.directory_address("c1"), "GET", "/-/resolve?name=x"
        )
        return address not in response.json()["front_addresses"]

    wait_for(has_left_directory, 2, "the directory without the entry")
    remaining_s = context.changed_at + seconds - time.monotonic()
    code = fleet.processes[name].child.wait(remaining_s)
    assert code == 0


@when("the leading control host is killed")
def kill_leader(context):
    fleet = context.fleet
    leader = wait_for(fleet.find_leader, READ_TIMEOUT_S, "a leader")
    fleet.processes[leader].kill()
    fleet.controls.remove(leader)
    start_requests(context)


@then("configuration {version:d} is acknowledged within {seconds:d} s")
def acknowledged_within(context, version, seconds):
    started = time.monotonic()
    config = make_config(version, ROUTES, ["rota"])
    first = context.fleet.controls[0]
    assert context.fleet.put_configuration(config, first) == 200
    assert time.monotonic() - started < seconds
    context.sent_config = json.loads(json.dumps(config))


@then("requests to {path} were answered throughout")
def requests_were_answered(context, path):
    assert len(context.statuses) > 10
    assert set(context.statuses) == {200}, context.statuses
