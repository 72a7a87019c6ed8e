"""Steps about leaving, gray and broken targets, and planned stops."""

import time

import gevent
from behave import then, when
from fleet import call, wait_for
from steps.configuration_steps import make_change, propose
from steps.request_steps import ORGANISATION_HEADER, get_targets

PATH = "/rota/hobart"


def get(context, entry, path=PATH, timeout=10):
    address = context.fleet.callers(entry)
    headers = {ORGANISATION_HEADER: "hobart"}
    return call(address, "GET", path, headers=headers, timeout=timeout)


@when("what {sender:w} sends to {receiver:w} is lost")
def lose(context, sender, receiver):
    context.proxy.cut(sender, receiver)


@when("a rota target says that it leaves")
def leave(context):
    context.leaving = get_targets(context, "rota")[0]
    context.left_at = time.monotonic()
    context.fleet.targets[context.leaving].child.terminate()


@then("no entry sends it work from {seconds:d} s on")
def gets_no_work(context, seconds):
    address = f"{context.fleet.ip(context.leaving)}:9000"
    time.sleep(max(0.0, context.left_at + seconds - time.monotonic()))
    for entry in context.fleet.entry_names:
        for _ in range(20):
            served = get(context, entry).headers["wasabitray-target"]
            assert served != address, f"{entry} still uses {address}"


@then("every entry serves rota")
def all_serve(context):
    for entry in context.fleet.entry_names:
        assert get(context, entry).status == 200


@when("callers send work to all entries")
def keep_sending(context):
    for job in context.load_jobs:
        job.kill()

    def run(entry):
        while True:
            try:
                get(context, entry)
            except Exception:
                gevent.sleep(0.05)
            gevent.sleep(0.005)

    context.load_jobs = [
        gevent.spawn(run, entry)
        for entry in context.fleet.entry_names
        for _ in range(4)
    ]


@when("the callers stop, which leaves idle connections")
def stop_sending(context):
    gevent.killall(context.load_jobs)


def ejected(context):
    """Return the targets that any entry holds for ejected."""
    return {
        t["target"]
        for entry in context.fleet.entry_names
        for t in context.fleet.status(entry)["targets"]
        if t["ejection"] in ("ejected", "probation")
    }


@then("it is ejected within {seconds:d} s and no other target is")
def is_ejected(context, seconds):
    gray_target = f"{context.fleet.ip(context.gray_target)}:9000"
    wait_for(lambda: gray_target in ejected(context), seconds, "the ejection")
    assert ejected(context) == {gray_target}


@then("it is back within {seconds:d} s")
def is_back(context, seconds):
    wait_for(lambda: not ejected(context), seconds, "the return")


@then("within {seconds:d} s no target is ejected")
def none_ejected(context, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        assert not ejected(context), ejected(context)
        gevent.sleep(0.3)


@when("a caller sends GET {path} {count:d} times to all entries")
def send_poison(context, path, count):
    for _ in range(count):
        for entry in context.fleet.entry_names:
            get(context, entry, path)
    context.poison = path


@then("at most {count:d} attempts reached targets")
def few_attempts(context, count):
    reached = sum(
        context.fleet.control_target(name)["poisoned"]
        for name in get_targets(context, "rota")
    )
    assert 0 < reached <= count, reached


@then("it is refused with {status:d} {reason:w} at every entry")
def refused_everywhere(context, status, reason):
    for entry in context.fleet.entry_names:
        answer = get(context, entry, context.poison)
        assert answer.status == status, answer.body
        assert answer.json()["reason"] == reason


@when("every open connection to the rota targets goes silent")
def silence(context):
    for name in get_targets(context, "rota"):
        context.fleet.control_target(name, silence_open=True)


@then("GET {path} is answered {count:d} times with at most one retry each")
def answered_with_one_retry(context, path, count):
    attempts = []
    for number in range(count):
        names = context.fleet.entry_names
        answer = get(context, names[number % len(names)], path)
        assert answer.status == 200, answer.body
        attempts.append(int(answer.headers["wasabitray-attempts"]))
    assert max(attempts) <= 2, attempts


@when("another rota target starts and is cold for {seconds:d} s")
def start_cold(context, seconds):
    name = f"t{len(context.target_services) + 1}"
    context.target_services[name] = "rota"
    entries = len(context.fleet.entry_names)
    context.fleet.start_target(
        name, "rota", entries=entries, cold_s=float(seconds)
    )


@when("an upload of {size:d} bytes to {entry:w} is under way")
def start_upload(context, size, entry):
    context.upload_size = size
    address = context.fleet.callers(entry)
    headers = {ORGANISATION_HEADER: "hobart"}
    context.upload = gevent.spawn(
        call, address, "PUT", "/sheets/hobart", b"x" * size, headers, 60
    )
    gevent.sleep(1.0)


@when("{name:w} is asked to stop")
def ask_to_stop(context, name):
    context.fleet.processes[name].child.terminate()


@then("{entry:w} is in no address answer after {seconds:d} s")
def not_in_answers(context, entry, seconds):
    time.sleep(seconds)
    for asked in context.fleet.entry_names:
        if asked != entry:
            path = "/.well-known/wasabitray/addresses"
            found = call(context.fleet.callers(asked), "GET", path).json()
            assert context.fleet.callers(entry) not in found["addresses"]


@then("the upload is answered whole")
def upload_answered(context):
    answer = context.upload.get(timeout=60)
    assert answer.status == 200, answer.body
    assert answer.json()["received"] == context.upload_size


@then("{name:w} ends with exit code {code:d} within {seconds:d} s")
def ends(context, name, code, seconds):
    assert context.fleet.processes[name].child.wait(seconds) == code


class Caller:
    """Keeps an address answer for its time to live, as callers do."""

    def __init__(self, context, number):
        self.context = context
        self.seeds = [
            context.fleet.callers(e) for e in context.fleet.entry_names
        ]
        self.addresses = self.seeds
        self.expires = 0.0
        self.number = number
        self.sent = 0
        self.bad = []

    def renew(self):
        path = "/.well-known/wasabitray/addresses"
        for address in [*self.addresses, *self.seeds]:
            try:
                found = call(address, "GET", path, timeout=2)
            except OSError:
                continue
            if found.status == 200:
                self.addresses = found.json()["addresses"]
                ttl = found.json()["ttl_s"]
                self.expires = time.monotonic() + ttl
                return

    def run(self):
        while True:
            if time.monotonic() >= self.expires:
                self.renew()
            self.send(self.addresses[self.number % len(self.addresses)])
            gevent.sleep(0.05)

    def send(self, address):
        self.sent += 1
        try:
            answer = call(
                address,
                "GET",
                PATH,
                headers={ORGANISATION_HEADER: "hobart"},
                timeout=5,
            )
        except Exception as error:
            self.bad.append((address, repr(error)))
            return
        if answer.status != 200:
            self.bad.append((address, answer.body))


@when("callers who renew their addresses send work all the time")
def start_callers(context):
    context.callers = [Caller(context, n) for n in range(3)]
    context.load_jobs = [gevent.spawn(c.run) for c in context.callers]


@when("each host is stopped gracefully and started again in turn")
def rolling_restart(context):
    fleet = context.fleet
    context.gaps = []
    for name in (*fleet.control_names, *fleet.entry_names):
        assert fleet.processes[name].stop(40) == 0, name
        if name in fleet.control_names:
            context.unavailable_hosts.add(name)
        started = time.monotonic()
        propose(
            context,
            make_change(context, f"after-{name}", context.newest_revision),
        )
        context.gaps.append(time.monotonic() - started)
        fleet.start_host(name)
        context.unavailable_hosts.discard(name)
        wait_for(lambda n=name: ready(context, n), 20, f"{name} is ready")


def ready(context, name):
    status = context.fleet.status(name)
    if name in context.fleet.control_names:
        return status["consensus"]["revision"] == context.newest_revision
    serves = not status["membership"]["isolated"]
    revision = status["configuration"]["revision"]
    return serves and revision == context.newest_revision and status["targets"]


@then("no caller's request was cut off or refused")
def nothing_lost(context):
    sent = sum(c.sent for c in context.callers)
    bad = [b for c in context.callers for b in c.bad]
    assert sent > 100, sent
    assert not bad, (len(bad), bad[:5])


@then("changes were accepted after each stop within {seconds:d} s")
def short_gaps(context, seconds):
    assert max(context.gaps) <= seconds, context.gaps
