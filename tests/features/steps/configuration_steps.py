"""Steps about changes and the control hosts that keep them."""

import json
import resource
import shutil
import signal
import time
import tomllib

import gevent
from behave import given, then, when
from fleet import call, wait_for
from steps.fleet_steps import start_fleet

PROPOSE_WITHIN_S = 10
# Beyond the retention, after which a new member of a claim group grants.
CLAIMS_READY_WITHIN_S = 5
TEMPLATE = {
    "services": {"rota": {"floor": 1}},
    "routes": [{"path": "/rota", "service": "rota"}],
}


def make_change(context, name, expected):
    """Return a change that writes a template of its own."""
    body = {"name": f"t-{name}", **TEMPLATE}
    edits = [{"key": f"template/t-{name}", "body": body}]
    if not context.fleet_document_sent:
        context.fleet_document_sent = True
        edits.append({"key": "fleet", "body": fleet_body(context)})
    return {
        "change": f"change-{name}",
        "expected": expected,
        "author": "ann",
        "wall_time": "2026-01-01T00:00:00+00:00",
        "edits": edits,
    }


def fleet_body(context):
    return tomllib.loads(context.fleet.fleet_document())


def send(context, host, change):
    body = json.dumps(change).encode()
    address = context.fleet.operators(host)
    return call(address, "POST", "/v1/changes", body, timeout=20)


def propose(context, change):
    """Send a change to the control hosts until a leader answers it."""

    def attempt():
        for host in context.fleet.control_names:
            if host in context.unavailable_hosts:
                continue
            try:
                answer = send(context, host, change)
            except OSError:
                continue
            if answer.status == 200 and answer.json()["accepted"]:
                return answer.json()
            assert answer.status not in (400, 409, 422), answer.body
        return None

    answer = wait_for(attempt, PROPOSE_WITHIN_S, change["change"])
    context.newest_revision = max(context.newest_revision, answer["revision"])
    return answer


def living(context):
    names = context.fleet.control_names
    return [n for n in names if n not in context.unavailable_hosts]


def consensus(context, name):
    return context.fleet.status(name)["consensus"]


def revision_of(context, name):
    return context.fleet.status(name)["configuration"]["revision"]


@given("a proxied fleet of {controls:d} control hosts and {entries:d} entries")
def start_proxied_fleet(context, controls, entries):
    start_fleet(context, controls, entries, proxied=True)


@given("every entry has applied the example declarations")
def examples_in_force(context):
    context.execute_steps("When the example declarations are applied")
    context.fleet_document_sent = True
    context.newest_revision = 1
    context.execute_steps(
        "Then every entry applies revision 1 within 3 s\n"
        "And GET /rota/hobart for hobart is answered by the target"
    )
    wait_for(
        lambda: all(
            context.fleet.status(name)["grants"]["ready"]
            for name in context.fleet.entry_names
        ),
        context.fleet.retention_s + CLAIMS_READY_WITHIN_S,
        "claim group members that grant",
    )


@when("change {name} is proposed")
def propose_change(context, name):
    change = make_change(context, name, context.newest_revision)
    context.changes[name] = change
    context.answers = [propose(context, change)]


@when("change {name} is proposed again")
def propose_again(context, name):
    context.answers.append(propose(context, context.changes[name]))


@then("both answers name the same revision")
def same_revision(context):
    first, second = (a["revision"] for a in context.answers)
    assert first == second


@when("{count:d} changes are proposed")
def propose_many(context, count):
    for number in range(count):
        change = make_change(
            context, f"many-{number % 7}", context.newest_revision
        )
        change["change"] = f"change-many-{number}"
        change["edits"][0]["body"]["services"]["rota"]["floor"] = number + 1
        propose(context, change)


@when("{count:d} operators propose against the same revision at once")
def race(context, count):
    leader = context.fleet.leader()
    changes = [make_change(context, f"r{n}", 0) for n in range(count)]
    jobs = [gevent.spawn(send, context, leader, c) for c in changes]
    gevent.joinall(jobs)
    context.race = [job.value.status for job in jobs]


@then("exactly one is accepted and the others get a conflict")
def one_won(context):
    assert sorted(context.race) == [200] + [409] * (len(context.race) - 1), (
        context.race
    )


@when("the leader is killed")
def kill_leader(context):
    leader = wait_for(context.fleet.leader, 10, "a leader")
    context.fleet.processes[leader].kill()
    context.unavailable_hosts.add(leader)


@when("the leader is frozen")
def freeze_leader(context):
    context.frozen = wait_for(context.fleet.leader, 10, "a leader")
    context.fleet.processes[context.frozen].signal(signal.SIGSTOP)
    context.unavailable_hosts.add(context.frozen)


@when("the frozen host is thawed")
def thaw(context):
    context.fleet.processes[context.frozen].signal(signal.SIGCONT)
    context.unavailable_hosts.discard(context.frozen)


@then("change {name} proposed to the thawed host does not revert anything")
def propose_to_thawed(context, name):
    before = context.newest_revision
    change = make_change(context, name, 0)
    assert send(context, context.frozen, change).status in (409, 421, 503)
    for entry in context.fleet.entry_names:
        assert revision_of(context, entry) >= before


@when("what the control hosts send to {entry} is lost")
def cut_control(context, entry):
    for name in context.fleet.control_names:
        context.proxy.cut(name, entry)


@when("{name} is cut off from all others")
def isolate(context, name):
    context.proxy.isolate(name)


@when("all cuts are healed")
def heal(context):
    context.proxy.heal()


@when("all control hosts are killed")
def kill_control(context):
    for name in context.fleet.control_names:
        context.fleet.processes[name].kill()
        context.unavailable_hosts.add(name)


@when("all control hosts are started again")
def start_control(context):
    for name in context.fleet.control_names:
        context.fleet.start_host(name)
    context.unavailable_hosts.clear()


@when("{name} is killed and started again")
def restart(context, name):
    context.fleet.processes[name].kill()
    context.fleet.start_host(name)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when("a follower loses its disk and is started again")
def lose_disk(context):
    name = pick_follower(context)
    context.fleet.processes[name].kill()
    shutil.rmtree(context.fleet.data_folder(name))
    context.fleet.start_host(name)


def pick_follower(context):
    leader = wait_for(context.fleet.leader, 10, "a leader")
    context.repaired = next(n for n in living(context) if n != leader)
    return context.repaired


@then("it is a voter under a new name within {seconds:d} s")
def new_voter(context, seconds):
    def joined():
        leader = context.fleet.leader()
        if leader is None:
            return False
        voters = consensus(context, leader)["voters"]
        names = [v for v in voters if v.startswith(f"{context.repaired}.")]
        return len(voters) == 3 and names != [f"{context.repaired}.0"]

    wait_for(joined, seconds, "the repaired host as a voter")


@then("it knows the newest revision")
def knows_newest(context):
    wait_for(
        lambda: (
            revision_of(context, context.repaired) == context.newest_revision
        ),
        5,
        "the newest revision",
    )


@then("the history holds {first} and {second}")
def history_holds(context, first, second):
    leader = wait_for(context.fleet.leader, 10, "a leader")
    address = context.fleet.operators(leader)
    found = call(address, "GET", "/v1/changes").json()["changes"]
    names = [c["change"] for c in found]
    assert names == [f"change-{first}", f"change-{second}"], names


def newest_log(context, name):
    folder = context.fleet.data_folder(name)
    return max(folder.glob("log-*"), key=lambda p: int(p.name[4:]))


@when("a follower's log is damaged in its middle and it is started again")
def damage_log(context):
    name = pick_follower(context)
    context.fleet.processes[name].kill()
    path = newest_log(context, name)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    context.fleet.start_host(name)


@when("a follower's log gets a torn tail")
def tear_log(context):
    name = context.fleet.control_names[0]
    with newest_log(context, name).open("ab") as file:
        file.write(b"\x40\x00\x00\x00\x01\x02\x03")


@then("every control host knows the newest revision within {seconds:d} s")
def control_knows(context, seconds):
    for name in context.fleet.control_names:
        wait_for(
            lambda n=name: revision_of(context, n) == context.newest_revision,
            seconds,
            f"revision {context.newest_revision} on {name}",
        )


@then("every entry applies the newest revision within {seconds:d} s")
def newest_in_force(context, seconds):
    deadline = time.monotonic() + seconds
    for name in context.fleet.entry_names:
        wait_for(
            lambda n=name: revision_of(context, n) == context.newest_revision,
            max(0.0, deadline - time.monotonic()),
            f"revision {context.newest_revision} on {name}",
        )


@then("{entry} refuses with {status:d} {reason} within {seconds:d} s")
def entry_refuses(context, entry, status, reason, seconds):
    headers = {"Wasabitray-Organisation": "hobart"}
    address = context.fleet.callers(entry)

    def refused():
        answer = call(address, "GET", "/rota/hobart", headers=headers)
        return answer.status == status and answer.json()["reason"] == reason

    wait_for(refused, seconds, f"{reason} at {entry}")


@when("a follower's disk refuses to grow")
def full_disk(context):
    name = pick_follower(context)
    process = context.fleet.processes[name].child.pid
    resource.prlimit(process, resource.RLIMIT_FSIZE, (1, 1))


@then("that follower ends with exit code {code:d} within {seconds:d} s")
def follower_ends(context, code, seconds):
    child = context.fleet.processes[context.repaired].child
    found = child.wait(seconds)
    assert found == code, f"exit code {found}"
