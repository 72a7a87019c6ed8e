"""Steps for callers with several requests on one connection."""

import signal

import gevent
from behave import then, when
from support.platform_standins import (
    Reader,
    connect,
    encode_request_head,
    read_next_response,
)

SPACING_S = 0.05


def send_requests(sock, ids, delays) -> None:
    """Send requests without waiting for the responses."""
    for request_id, delay in zip(ids, delays, strict=True):
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": "4000",
            "X-Delay-S": str(delay),
        }
        sock.sendall(encode_request_head("GET", "/read/x", b"", headers))
        gevent.sleep(SPACING_S)


def read_responses(sock) -> list:
    """Read responses until the connection is closed or should be."""
    reader, responses = Reader(sock), []
    try:
        while True:
            responses.append(read_next_response(reader))
    except (EOFError, OSError):
        return responses


def find_requests(context, ids) -> list:
    return [
        r
        for i in context.fleet.instances.values()
        for r in i.requests
        if r.headers.get("request-id") in ids
    ]


@when(
    "requests take {seconds:d} s and a caller with {count:d} of them leaves "
    "after {delay:f} s"
)
def leave_with_requests(context, seconds, count, delay):
    context.ids = [f"left-{n}" for n in range(count)]
    sock = connect(context.fleet.caller_address("e1"))
    send_requests(sock, context.ids, [seconds] * count)
    gevent.sleep(delay)
    sock.close()


@then("the instances work on none of them {seconds:f} s later")
def none_is_running(context, seconds):
    gevent.sleep(seconds)
    running = [r for r in find_requests(context, context.ids) if r.is_running]
    assert not running, running


@then("at most {count:d} of them reached an instance")
def few_reached(context, count):
    gevent.sleep(0.5)
    assert len(find_requests(context, context.ids)) <= count


@when("a caller sends {count:d} requests of {slow:f} s or {fast:f} s at once")
def send_mixed(context, count, slow, fast):
    context.ids = [f"ordered-{n}" for n in range(count)]
    sock = connect(context.fleet.caller_address("e1"))
    delays = [fast if n % 2 else slow for n in range(count)]
    send_requests(sock, context.ids, delays)
    reader = Reader(sock)
    context.responses = [read_next_response(reader) for _ in context.ids]
    sock.close()


@then("they are answered in order, each with its own response")
def answered_in_order(context):
    ids = [r.headers.get("request-id") for r in context.responses]
    assert ids == context.ids, ids
    assert {r.status for r in context.responses} == {200}


@when(
    "a caller sends {count:d} requests of {seconds:f} s at once and e1 is "
    "stopped"
)
def stop_during_requests(context, count, seconds):
    context.ids = [f"stopped-{n}" for n in range(count)]
    sock = connect(context.fleet.caller_address("e1"))
    send_requests(sock, context.ids, [seconds] * count)
    gevent.sleep(seconds)
    context.fleet.processes["e1"].signal(signal.SIGTERM)
    context.responses = read_responses(sock)


@then("those that reached an instance are answered in order")
def begun_are_answered(context):
    ids = [r.headers.get("request-id") for r in context.responses]
    assert ids == context.ids[: len(ids)], ids
    assert 0 < len(ids) < len(context.ids), ids
    begun = {
        r.headers["request-id"] for r in find_requests(context, context.ids)
    }
    assert begun == set(ids), begun
    assert all(r.status == 200 and r.complete for r in context.responses)


@then("the others were not read")
def others_not_read(context):
    assert context.responses[-1].headers["connection"] == "close"
