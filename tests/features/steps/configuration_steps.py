"""Steps for changes and for the control hosts that store them."""

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

PROPOSAL_TIMEOUT_S = 10
# Added to the retention time, since a new member of a claim group grants no
# claims before that time has passed.
CLAIMS_READY_TIMEOUT_S = 5
TEMPLATE = {
    "services": {"rota": {"floor": 1}},
    "routes": [{"path": "/rota", "service": "rota"}],
}


def make_change(context, name, expected):
    """Return a change that writes a template named after it."""
    body = {"name": f"t-{name}", **TEMPLATE}
    edits = [{"key": f"template/t-{name}", "body": body}]
    if not context.fleet_document_sent:
        context.fleet_document_sent = True
        edits.append({"key": "fleet", "body": build_fleet_body(context)})
    return {
        "change": f"change-{name}",
        "expected": expected,
        "author": "ann",
        "wall_time": "2026-01-01T00:00:00+00:00",
        "edits": edits,
    }


def build_fleet_body(context):
    return tomllib.loads(context.fleet.fleet_document())


def send_change(context, host, change):
    body = json.dumps(change).encode()
    address = context.fleet.operator_address(host)
    return call(address, "POST", "/v1/changes", body, timeout=20)


def propose(context, change):
    """Send a change to each control host in turn until a leader accepts it."""

    def attempt():
        for host in context.fleet.control_names:
            if host in context.unavailable_hosts:
                continue
            try:
                response = send_change(context, host, change)
            except OSError:
                continue
            if response.status == 200 and response.json()["accepted"]:
                return response.json()
            assert response.status not in (400, 409, 422), response.body
        return None

    response = wait_for(attempt, PROPOSAL_TIMEOUT_S, change["change"])
    context.newest_revision = max(
        context.newest_revision, response["revision"]
    )
    return response


def get_available_hosts(context):
    names = context.fleet.control_names
    return [n for n in names if n not in context.unavailable_hosts]


def get_consensus_status(context, name):
    return context.fleet.get_status(name)["consensus"]


def get_revision(context, name):
    return context.fleet.get_status(name)["configuration"]["revision"]


@given("a proxied fleet of {controls:d} control hosts and {entries:d} entries")
def start_proxied_fleet(context, controls, entries):
    start_fleet(context, controls, entries, proxied=True)


@given("every entry has applied the example declarations")
def apply_examples_everywhere(context):
    context.execute_steps("When the example declarations are applied")
    context.fleet_document_sent = True
    context.newest_revision = 1
    context.execute_steps(
        "Then every entry applies revision 1 within 3 s\n"
        "And GET /rota/hobart for hobart is answered by the target"
    )
    wait_for(
        lambda: all(
            context.fleet.get_status(name)["grants"]["ready"]
            for name in context.fleet.entry_names
        ),
        context.fleet.retention_s + CLAIMS_READY_TIMEOUT_S,
        "claim group members that are ready to grant",
    )


@when("change {name} is proposed")
def propose_change(context, name):
    change = make_change(context, name, context.newest_revision)
    context.changes[name] = change
    context.responses = [propose(context, change)]


@when("change {name} is proposed again")
def repeat_proposal(context, name):
    context.responses.append(propose(context, context.changes[name]))


@then("both responses name the same revision")
def revisions_are_equal(context):
    first, second = (r["revision"] for r in context.responses)
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


@when("{count:d} operators propose against the same revision at the same time")
def propose_concurrently(context, count):
    leader = context.fleet.find_leader()
    changes = [make_change(context, f"r{n}", 0) for n in range(count)]
    jobs = [gevent.spawn(send_change, context, leader, c) for c in changes]
    gevent.joinall(jobs)
    context.race_statuses = [job.value.status for job in jobs]


@then("exactly one is accepted and the others get a conflict")
def only_one_is_accepted(context):
    assert sorted(context.race_statuses) == [200] + [409] * (
        len(context.race_statuses) - 1
    ), context.race_statuses


@when("the leader is killed")
def kill_leader(context):
    leader = wait_for(context.fleet.find_leader, 10, "a leader")
    context.fleet.processes[leader].kill()
    context.unavailable_hosts.add(leader)


@when("the leader is frozen")
def freeze_leader(context):
    context.frozen_host = wait_for(context.fleet.find_leader, 10, "a leader")
    context.fleet.processes[context.frozen_host].signal(signal.SIGSTOP)
    context.unavailable_hosts.add(context.frozen_host)


@when("the frozen host is thawed")
def resume_host(context):
    context.fleet.processes[context.frozen_host].signal(signal.SIGCONT)
    context.unavailable_hosts.discard(context.frozen_host)


@then("change {name} proposed to the thawed host does not revert anything")
def propose_to_thawed(context, name):
    before = context.newest_revision
    change = make_change(context, name, 0)
    assert send_change(context, context.frozen_host, change).status in (
        409,
        421,
        503,
    )
    for entry in context.fleet.entry_names:
        assert get_revision(context, entry) >= before


@when("all traffic from the control hosts to {entry} is dropped")
def drop_control_traffic(context, entry):
    for name in context.fleet.control_names:
        context.proxy.block(name, entry)


@when("{name} is partitioned from all other hosts")
def isolate_host(context, name):
    context.proxy.isolate(name)


@when("all network partitions are healed")
def heal_partitions(context):
    context.proxy.heal()


@when("all control hosts are killed")
def kill_control_hosts(context):
    for name in context.fleet.control_names:
        context.fleet.processes[name].kill()
        context.unavailable_hosts.add(name)


@when("all control hosts are started again")
def start_control_hosts(context):
    for name in context.fleet.control_names:
        context.fleet.start_host(name)
    context.unavailable_hosts.clear()


@when("{name} is killed and started again")
def restart_host(context, name):
    context.fleet.processes[name].kill()
    context.fleet.start_host(name)


@when("{seconds:d} s pass")
def wait_seconds(context, seconds):
    time.sleep(seconds)


@when("a follower loses its disk and is started again")
def erase_disk(context):
    name = pick_follower(context)
    context.fleet.processes[name].kill()
    shutil.rmtree(context.fleet.data_folder(name))
    context.fleet.start_host(name)


def pick_follower(context):
    """Choose a follower for this and the later steps; return its name."""
    leader = wait_for(context.fleet.find_leader, 10, "a leader")
    context.follower = next(
        n for n in get_available_hosts(context) if n != leader
    )
    return context.follower


@then("it is a voter under a new name within {seconds:d} s")
def is_new_voter(context, seconds):
    def is_voter():
        leader = context.fleet.find_leader()
        if leader is None:
            return False
        voters = get_consensus_status(context, leader)["voters"]
        names = [v for v in voters if v.startswith(f"{context.follower}.")]
        return len(voters) == 3 and names != [f"{context.follower}.0"]

    wait_for(is_voter, seconds, "the repaired host as a voter")


@then("it knows the newest revision")
def repaired_host_knows_newest(context):
    wait_for(
        lambda: (
            get_revision(context, context.follower) == context.newest_revision
        ),
        5,
        "the newest revision",
    )


@then("the history lists {first} and {second}")
def history_lists(context, first, second):
    leader = wait_for(context.fleet.find_leader, 10, "a leader")
    address = context.fleet.operator_address(leader)
    changes = call(address, "GET", "/v1/changes").json()["changes"]
    ids = [c["change"] for c in changes]
    assert ids == [f"change-{first}", f"change-{second}"], ids


def find_newest_log(context, name):
    folder = context.fleet.data_folder(name)
    return max(folder.glob("log-*"), key=lambda p: int(p.name[4:]))


@when("a follower's log is damaged in its middle and it is started again")
def damage_log(context):
    name = pick_follower(context)
    context.fleet.processes[name].kill()
    path = find_newest_log(context, name)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    context.fleet.start_host(name)


@when("a partial record is appended to a follower's log")
def append_partial_record(context):
    name = context.fleet.control_names[0]
    with find_newest_log(context, name).open("ab") as file:
        file.write(b"\x40\x00\x00\x00\x01\x02\x03")


@then("every control host knows the newest revision within {seconds:d} s")
def control_hosts_know_newest(context, seconds):
    for name in context.fleet.control_names:
        wait_for(
            lambda n=name: get_revision(context, n) == context.newest_revision,
            seconds,
            f"revision {context.newest_revision} on {name}",
        )


@then("every entry applies the newest revision within {seconds:d} s")
def entries_apply_newest(context, seconds):
    deadline = time.monotonic() + seconds
    for name in context.fleet.entry_names:
        wait_for(
            lambda n=name: get_revision(context, n) == context.newest_revision,
            max(0.0, deadline - time.monotonic()),
            f"revision {context.newest_revision} on {name}",
        )


@then("{entry} refuses with {status:d} {reason} within {seconds:d} s")
def entry_refuses_requests(context, entry, status, reason, seconds):
    headers = {"Wasabitray-Organisation": "hobart"}
    address = context.fleet.caller_address(entry)

    def is_refused():
        response = call(address, "GET", "/rota/hobart", headers=headers)
        return (
            response.status == status and response.json()["reason"] == reason
        )

    wait_for(is_refused, seconds, f"{reason} at {entry}")


def has_started(context, name):
    """Return whether a control host's tasks run; a start may take longer."""
    log = (context.folder / f"{name}.log").read_text()
    return '"message": "started"' in log


@when("a follower's files can no longer grow")
def limit_file_size(context):
    name = pick_follower(context)
    wait_for(lambda: has_started(context, name), 10, f"{name} has started")
    process_id = context.fleet.processes[name].child.pid
    resource.prlimit(process_id, resource.RLIMIT_FSIZE, (1, 1))


@then("that follower exits with code {code:d} within {seconds:d} s")
def follower_exits(context, code, seconds):
    child = context.fleet.processes[context.follower].child
    exit_code = child.wait(seconds)
    assert exit_code == code, f"exit code {exit_code}"
