"""Steps for the fleet behind the platform's adapter."""

import json
import signal
import time

import gevent
from behave import given, then, when
from fleet import wait_for
from support.platform_fleet import PlatformFleet
from support.platform_standins import (
    call,
    connect,
    make_config,
    read_reply,
    request_head,
)

# The operator asks for at least this long at the end of a day.
CONTACT_S = 4.0
ROUTES = {
    "/read/": {"kind": "idempotent", "service": "rota"},
    "/write/": {"kind": "non_idempotent", "service": "rota"},
}


@given("a platform fleet of {controls:d} controls and {entries:d} entries")
def start_fleet(context, controls, entries):
    context.fleet = PlatformFleet(context.folder, controls, entries)
    context.fleet.start()


@given("instances {names} of service {service}")
def start_instances(context, names, service):
    for name in names.split(", "):
        context.fleet.start_instance(name, service)


@given("configuration {version:d} with routes to read and to write")
def configure(context, version):
    context.order = make_config(version, ROUTES, ["rota"])
    assert context.fleet.configure(context.order) == 200
    for entry in context.fleet.entries:
        for path in ROUTES:
            wait_for(
                lambda e=entry, p=path: answered(context, e, p), 10, "service"
            )
    for instance in context.fleet.instances.values():
        instance.requests.clear()


def answered(context, entry, path):
    return context.fleet.send(entry, "GET", path + "ready").status == 200


@then("every entry is ready within {seconds:d} s")
def entries_are_ready(context, seconds):
    for entry in context.fleet.entries:
        wait_for(lambda e=entry: context.fleet.is_ready(e), seconds, entry)


@then("the directory names both entries")
def directory_names_entries(context):
    fleet = context.fleet
    wanted = {fleet.callers(e) for e in fleet.entries}

    def named():
        found = [
            call(fleet.directory(c), "GET", "/-/resolve?name=rota.example")
            for c in (*fleet.controls, *fleet.entries)
        ]
        return all(
            r.status == 200 and set(r.json()["front_addresses"]) == wanted
            for r in found
        )

    wait_for(named, 5, "both entries in every directory")


@then("a request to {path} is answered by an instance, unchanged")
def request_is_answered(context, path):
    reply = context.fleet.send(
        "e1", "GET", f"{path}?q=%20a", id="id-1", headers={"X-Other": "o"}
    )
    assert reply.status == 200, reply
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
    assert reply.headers["server-stamp"] == f"stamp-{name}"
    assert reply.headers["request-id"] == "id-1"


@then("a request to {path} is answered {status:d}")
def request_gets(context, path, status):
    assert context.fleet.send("e1", "GET", path).status == status


@then("the configuration read from any control host is the one that was sent")
def configuration_is_read(context):
    for name in context.fleet.controls:
        # A host that can't be sure answers 503, such as while it elects.
        reply = wait_for(lambda n=name: read(context, n), CONTACT_S, name)
        assert normal(reply.json()) == normal(context.order)


def read(context, name):
    """Return the configuration that a host shows, None while it can't."""
    reply = context.fleet.follow(name, "GET")
    if reply is None or reply.status == 503:
        return None
    assert reply.status == 200, (name, reply)
    return reply


def normal(config):
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
    context.order = make_config(version, routes, ["rota", "desk"])
    assert context.fleet.configure(context.order) == 200
    context.since = time.monotonic()


@then("requests to {path} at any entry reach {name} within {seconds:d} s")
def requests_reach(context, path, name, seconds):
    for entry in context.fleet.entries:
        left = context.since + seconds - time.monotonic()
        wait_for(
            lambda e=entry: context.fleet.send(e, "GET", path).body.startswith(
                f"i-{name} ".encode()
            ),
            left,
            f"{entry} uses {name}",
        )


@when("configuration {version:d} is sent to another control host")
def send_older(context, version):
    older = make_config(version, ROUTES, ["rota"])
    context.status = context.fleet.configure(older, first="c2")


@then("it is acknowledged and changes nothing")
def acknowledged(context):
    assert context.status == 200
    configuration_is_read(context)


@when("a configuration that names no known service is sent")
def send_invalid(context):
    bad = make_config(99, {"/read/": {"service": "gone"}}, ["rota"])
    context.status = context.fleet.configure(bad, first="c3")


@then("it is refused with {status:d} and changes nothing")
def refused(context, status):
    assert context.status == status
    configuration_is_read(context)


@when("instances say things that can't be read")
def say_nonsense(context):
    fleet = context.fleet
    good = fleet.instances["i1"].say()
    for number, change in enumerate(
        ({"state": "tired"}, {"slots": None}, {"address": 5}, {"zone": []})
    ):
        for control in fleet.controls:
            path = f"/-/instances/i-bad-{number}"
            reply = call(fleet.registry(control), "PUT", path, good | change)
            assert reply.status == 400


@when("{name} says that it leaves and is acknowledged")
def leave(context, name):
    context.leaver = context.fleet.instances[name]
    wait_for(context.leaver.leave, 5, "an acknowledgement")
    context.since = time.monotonic()


@then("no request reaches {name} later than {seconds:f} s after that")
def none_reaches(context, name, seconds):
    gevent.sleep(max(0.0, context.since + seconds - time.monotonic()))
    before = len(context.leaver.requests)
    for _ in range(10):
        for entry in context.fleet.entries:
            assert context.fleet.send(entry, "GET", "/read/x").status == 200
    assert len(context.leaver.requests) == before


@when("another instance answers at the address of {name}")
def take_over(context, name):
    context.fleet.instances[name].mode = "other"


@then("{count:d} requests to {path} are all answered by {name}")
def all_by(context, count, path, name):
    for _ in range(count):
        reply = context.fleet.send("e1", "POST", path, body=b"x")
        assert reply.body.startswith(f"i-{name} ".encode()), reply


@when("{name} breaks every connection")
def break_connections(context, name):
    context.fleet.instances[name].mode = "reset"


@then("{count:d} requests to {path} at every entry are all answered")
def all_answered_everywhere(context, count, path):
    for entry in context.fleet.entries:
        for _ in range(count):
            reply = context.fleet.send(entry, "GET", path)
            assert reply.status == 200 and reply.complete, reply
            assert b"nobody's" not in reply.body


@then("{count:d} requests to {path} are all answered")
def all_answered(context, count, path):
    for _ in range(count):
        reply = context.fleet.send("e1", "GET", path)
        assert reply.status == 200 and reply.complete, reply


@then("of {count:d} requests to {path} none runs twice")
def none_twice(context, count, path):
    for number in range(count):
        context.fleet.send("e1", "POST", path, body=b"x", id=f"once-{number}")
    runs = [r for i in context.fleet.instances.values() for r in i.runs]
    for number in range(count):
        assert runs.count(f"once-{number}") <= 1


@then("all entries leave {name} alone at once")
def left_alone(context, name):
    broken = context.fleet.instances[name]
    before = len(broken.requests)
    for entry in context.fleet.entries:
        for _ in range(10):
            context.fleet.send(entry, "GET", "/read/x")
    assert len(broken.requests) == before


@then("a chunked upload of {size:d} bytes reaches an instance whole")
def chunked_upload(context, size):
    body = bytes(range(250)) * (size // 250)
    reply = context.fleet.send(
        "e1", "POST", "/write/x", body=body, chunked=True, id="up-1"
    )
    assert reply.status == 200, reply
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


@when("the instances answer without a length")
def unframed(context):
    set_mode(context, "unframed")


@when("the instances send bytes after their answers")
def extra(context):
    set_mode(context, "extra")


@when("the instances answer before they have read the body")
def early(context):
    set_mode(context, "early")


@when("the instances say that they are full")
def full(context):
    set_mode(context, "full")


@then("an upload of {size:d} bytes gets the instance's own 413")
def early_answer(context, size):
    reply = context.fleet.send("e1", "POST", "/write/x", body=bytes(size))
    assert reply.status == 413, reply
    assert reply.headers["server-stamp"].startswith("stamp-")


@when("a request takes {seconds:d} s and its caller leaves after {left:f} s")
def caller_leaves(context, seconds, left):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds
    sock = connect(context.fleet.callers("e1"))
    headers = {"Request-Id": "gone-1", "Deadline-Ms": "4000"}
    sock.sendall(request_head("GET", "/read/x", b"", headers))
    gevent.sleep(left)
    sock.close()


@then("the instance is told within {seconds:f} s")
def instance_is_told(context, seconds):
    def left():
        return [
            r
            for i in context.fleet.instances.values()
            for r in i.requests
            if r.headers.get("request-id") == "gone-1" and r.left_early
        ]

    wait_for(left, seconds, "the connection to the instance closed")


@then("a request to {path} is answered {status:d} with a time to come back")
def refused_with_time(context, path, status):
    reply = context.fleet.send("e1", "POST", path, body=b"x")
    assert reply.status == status, reply
    assert 0 < float(reply.headers["retry-after"]) <= 5


@when("a request takes {seconds:d} s and {name} is stopped meanwhile")
def stop_entry(context, seconds, name):
    for instance in context.fleet.instances.values():
        instance.delay_s = seconds
    sock = connect(context.fleet.callers(name))
    headers = {"Request-Id": "slow-1", "Deadline-Ms": "4000"}
    sock.sendall(request_head("POST", "/write/x", b"", headers))
    gevent.sleep(0.3)
    context.fleet.processes[name].signal(signal.SIGTERM)
    context.since = time.monotonic()
    context.slow = gevent.spawn(read_reply, sock)


@then("that request is answered whole")
def slow_is_answered(context):
    reply = context.slow.get(timeout=5)
    assert reply.status == 200 and reply.complete, reply
    assert reply.headers["connection"] == "close"


@then("{name} leaves the directory and ends within {seconds:d} s")
def entry_ends(context, name, seconds):
    fleet = context.fleet
    address = fleet.callers(name)

    def left():
        reply = call(fleet.directory("c1"), "GET", "/-/resolve?name=x")
        return address not in reply.json()["front_addresses"]

    wait_for(left, 2, "the entry is not named any more")
    left_s = context.since + seconds - time.monotonic()
    code = fleet.processes[name].child.wait(left_s)
    assert code == 0


@when("the leading control host is killed")
def kill_leader(context):
    fleet = context.fleet
    reply = next(
        r
        for r in (
            call(fleet.registry(c), "GET", "/-/config") for c in fleet.controls
        )
        if r.status == 307
    )
    address = reply.headers["location"].split("/")[2]
    leader = next(c for c in fleet.controls if fleet.registry(c) == address)
    fleet.processes[leader].kill()
    fleet.controls.remove(leader)
    context.answers = []

    def send_requests():
        while True:
            answer = fleet.send("e1", "GET", "/read/x")
            context.answers.append(answer.status)
            gevent.sleep(0.05)

    context.load_jobs = [gevent.spawn(send_requests)]


@then("configuration {version:d} is acknowledged within {seconds:d} s")
def acknowledged_within(context, version, seconds):
    started = time.monotonic()
    config = make_config(version, ROUTES, ["rota"])
    first = context.fleet.controls[0]
    assert context.fleet.configure(config, first) == 200
    assert time.monotonic() - started < seconds
    context.order = json.loads(json.dumps(config))


@then("requests to {path} were answered all the while")
def all_the_while(context, path):
    assert len(context.answers) > 10
    assert set(context.answers) == {200}, context.answers
