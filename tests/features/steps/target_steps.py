"""Steps for leaving, failing and cold targets, and for planned stops."""

import time

import gevent
from behave import then, when
from fleet import call, wait_for
from steps.configuration_steps import make_change, propose
from steps.request_steps import ORGANISATION_HEADER, get_targets

PATH = "/rota/hobart"


def send_get(context, entry, path=PATH, timeout=10):
    address = context.fleet.caller_address(entry)
    headers = {ORGANISATION_HEADER: "hobart"}
    return call(address, "GET", path, headers=headers, timeout=timeout)


@when("all traffic from {sender:w} to {receiver:w} is dropped")
def drop_traffic(context, sender, receiver):
    context.proxy.block(sender, receiver)


@when("a rota target announces that it is leaving")
def stop_target(context):
    context.leaving_target = get_targets(context, "rota")[0]
    context.leaving_since = time.monotonic()
    context.fleet.targets[context.leaving_target].child.terminate()


@then("no entry sends it requests after {seconds:d} s")
def receives_no_requests(context, seconds):
    address = f"{context.fleet.ip(context.leaving_target)}:9000"
    time.sleep(max(0.0, context.leaving_since + seconds - time.monotonic()))
    for entry in context.fleet.entry_names:
        for _ in range(20):
            target = send_get(context, entry).headers["wasabitray-target"]
            assert target != address, f"{entry} still uses {address}"


@then("every entry serves rota")
def every_entry_serves(context):
    for entry in context.fleet.entry_names:
        assert send_get(context, entry).status == 200


@when("callers send requests to all entries")
def send_continuously(context, callers_per_entry=4):
    for job in context.load_jobs:
        job.kill()

    def run(entry):
        while True:
            try:
                send_get(context, entry)
            except Exception:
                gevent.sleep(0.05)
            gevent.sleep(0.005)

    context.load_jobs = [
        gevent.spawn(run, entry)
        for entry in context.fleet.entry_names
        for _ in range(callers_per_entry)
    ]


@when("one caller sends requests to each entry")
def send_one_at_a_time(context):
    send_continuously(context, callers_per_entry=1)


@when("the callers stop, which leaves idle connections")
def stop_sending(context):
    gevent.killall(context.load_jobs)


def find_ejected_targets(context):
    """Return the targets that any entry shows as ejected or in probation."""
    return {
        t["target"]
        for entry in context.fleet.entry_names
        for t in context.fleet.get_status(entry)["targets"]
        if t["ejection"] in ("ejected", "probation")
    }


def read_health(context):
    """Return what each entry knows of failing targets.

    It tells missing evidence, a widespread failure and a permit that is not
    granted apart.
    """
    statuses = {
        entry: context.fleet.get_status(entry)
        for entry in context.fleet.entry_names
    }
    return {e: (s["health"], s["claims"]) for e, s in statuses.items()}


@then("it is ejected within {seconds:d} s and no other target is")
def is_ejected(context, seconds):
    gray_address = f"{context.fleet.ip(context.gray_target)}:9000"
    try:
        wait_for(
            lambda: gray_address in find_ejected_targets(context),
            seconds,
            f"the ejection of {gray_address}",
        )
    except AssertionError as error:
        raise AssertionError(f"{error}: {read_health(context)}") from error
    assert find_ejected_targets(context) == {gray_address}


@then("it is readmitted within {seconds:d} s")
def is_readmitted(context, seconds):
    wait_for(
        lambda: not find_ejected_targets(context), seconds, "the readmission"
    )


@then("no target is ejected for {seconds:d} s")
def no_target_is_ejected(context, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        assert not find_ejected_targets(context), find_ejected_targets(context)
        gevent.sleep(0.3)


@when("a caller sends GET {path} {count:d} times to all entries")
def send_poison(context, path, count):
    for _ in range(count):
        for entry in context.fleet.entry_names:
            send_get(context, entry, path)
    context.poison_path = path


@then("at most {count:d} attempts reached targets")
def attempts_are_limited(context, count):
    reached = sum(
        context.fleet.configure_target(name)["poisoned"]
        for name in get_targets(context, "rota")
    )
    assert 0 < reached <= count, reached


@then("it is refused with {status:d} {reason:w} at every entry")
def refused_everywhere(context, status, reason):
    for entry in context.fleet.entry_names:
        response = send_get(context, entry, context.poison_path)
        assert response.status == status, response.body
        assert response.json()["reason"] == reason


@then("GET {path} is served at every entry within {seconds:d} s")
def served_everywhere(context, path, seconds):
    def is_served():
        return all(
            send_get(context, entry, path).status == 200
            for entry in context.fleet.entry_names
        )

    wait_for(is_served, seconds, "a response to a request that crashed before")


@when("every open connection to the rota targets stops responding")
def silence_connections(context):
    for name in get_targets(context, "rota"):
        context.fleet.configure_target(name, silence_open=True)


@then("GET {path} is answered {count:d} times with at most one retry each")
def answered_with_one_retry(context, path, count):
    attempts = []
    for number in range(count):
        names = context.fleet.entry_names
        response = send_get(context, names[number % len(names)], path)
        assert response.status == 200, response.body
        attempts.append(int(response.headers["wasabitray-attempts"]))
    assert max(attempts) <= 2, attempts


@when("another rota target starts and is cold for {seconds:d} s")
def start_cold_target(context, seconds):
    name = f"t{len(context.target_services) + 1}"
    context.target_services[name] = "rota"
    entries = len(context.fleet.entry_names)
    context.fleet.start_target(
        name, "rota", entries=entries, cold_s=float(seconds)
    )


@when("an upload of {size:d} bytes to {entry:w} is in progress")
def start_upload(context, size, entry):
    context.upload_size = size
    address = context.fleet.caller_address(entry)
    headers = {ORGANISATION_HEADER: "hobart"}
    context.upload = gevent.spawn(
        call, address, "PUT", "/sheets/hobart", b"x" * size, headers, 60
    )
    gevent.sleep(1.0)


@when("{name:w} is asked to stop")
def ask_to_stop(context, name):
    context.fleet.processes[name].child.terminate()


@then("no address response lists {entry:w} after {seconds:d} s")
def addresses_omit_entry(context, entry, seconds):
    time.sleep(seconds)
    for other_entry in context.fleet.entry_names:
        if other_entry != entry:
            path = "/.well-known/wasabitray/addresses"
            response = call(
                context.fleet.caller_address(other_entry), "GET", path
            ).json()
            assert (
                context.fleet.caller_address(entry)
                not in response["addresses"]
            )


@then("the upload is received in full")
def upload_is_received(context):
    response = context.upload.get(timeout=60)
    assert response.status == 200, response.body
    assert response.json()["received"] == context.upload_size


@then("{name:w} exits with code {code:d} within {seconds:d} s")
def host_exits(context, name, code, seconds):
    assert context.fleet.processes[name].child.wait(seconds) == code


class Caller:
    """A caller that keeps an address response for its time to live."""

    def __init__(self, context, number):
        self.context = context
        self.seeds = [
            context.fleet.caller_address(e) for e in context.fleet.entry_names
        ]
        self.addresses = self.seeds
        self.expires_at = 0.0
        self.number = number
        self.sent_count = 0
        self.failures = []

    def refresh_addresses(self):
        path = "/.well-known/wasabitray/addresses"
        for address in [*self.addresses, *self.seeds]:
            try:
                response = call(address, "GET", path, timeout=2)
            except OSError:
                continue
            if response.status == 200:
                self.addresses = response.json()["addresses"]
                ttl = response.json()["ttl_s"]
                self.expires_at = time.monotonic() + ttl
                return

    def run(self):
        while True:
            if time.monotonic() >= self.expires_at:
                self.refresh_addresses()
            self.send(self.addresses[self.number % len(self.addresses)])
            gevent.sleep(0.05)

    def send(self, address):
        self.sent_count += 1
        try:
            response = call(
                address,
                "GET",
                PATH,
                headers={ORGANISATION_HEADER: "hobart"},
                timeout=5,
            )
        except Exception as error:
            self.failures.append((address, repr(error)))
            return
        if response.status != 200:
            self.failures.append((address, response.body))


@when("callers that refresh their addresses send requests continuously")
def start_callers(context):
    context.callers = [Caller(context, n) for n in range(3)]
    context.load_jobs = [gevent.spawn(c.run) for c in context.callers]


@when("each host is stopped gracefully and started again in turn")
def rolling_restart(context):
    fleet = context.fleet
    context.proposal_times_s = []
    for name in (*fleet.control_names, *fleet.entry_names):
        assert fleet.processes[name].stop(40) == 0, name
        if name in fleet.control_names:
            context.unavailable_hosts.add(name)
        started = time.monotonic()
        propose(
            context,
            make_change(context, f"after-{name}", context.newest_revision),
        )
        context.proposal_times_s.append(time.monotonic() - started)
        fleet.start_host(name)
        context.unavailable_hosts.discard(name)
        wait_for(lambda n=name: is_ready(context, n), 20, f"{name} is ready")


def is_ready(context, name):
    status = context.fleet.get_status(name)
    if name in context.fleet.control_names:
        return status["consensus"]["revision"] == context.newest_revision
    serves = not status["membership"]["isolated"]
    revision = status["configuration"]["revision"]
    return serves and revision == context.newest_revision and status["targets"]


@then("no caller's request was cut off or refused")
def no_request_failed(context):
    sent_count = sum(c.sent_count for c in context.callers)
    failures = [f for c in context.callers for f in c.failures]
    assert sent_count > 100, sent_count
    assert not failures, (len(failures), failures[:5])


@then("a change was accepted after each stop within {seconds:d} s")
def change_was_accepted_soon(context, seconds):
    assert max(context.proposal_times_s) <= seconds, context.proposal_times_s
