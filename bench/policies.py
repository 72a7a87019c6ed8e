"""Compares the request policies with simple baselines, one seed a run.

Prints tables and writes bench/results/policies.json; --plot draws the crest
of the load. All times are simulated, so the machine's speed has no influence.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

import numpy

sys.path.insert(0, str(Path(__file__).parent))

from baselines import BASELINES
from world import SHORT_WORK_S, Entry, World, make_exchange

from wasabitray_core.controllers import detector
from wasabitray_core.states import EjectionPhase, WorkClass

RESULTS = Path(__file__).parent / "results"
POLICIES: dict[str, Any] = {"wasabitray": Entry, **BASELINES}
DEADLINE_S = 2.0
RESEND_DELAY_S = 1.0
MAX_SENDS_PER_REQUEST = 3

FAULTS = {
    "fails all": {"fail_share": 1.0},
    "fails 30%": {"fail_share": 0.3},
    "5 times slower": {"slow_factor": 5.0},
    "fails 60%, flaps each 1 s": {"fail_share": 0.6, "flap_s": 1.0},
    "fails 60%, flaps each 5 s": {"fail_share": 0.6, "flap_s": 5.0},
    "fails all, flaps each 30 s": {"fail_share": 1.0, "flap_s": 30.0},
}


class Load:
    """Callers that send requests at a rate and resend failed ones."""

    def __init__(self, world: World, rate, work=WorkClass.SHORT) -> None:
        """Start the load; `rate` maps a time to requests a second."""
        self.world = world
        self.rate = rate
        self.work = work
        self.entries = list(world.entries.values())
        self.durations: list[tuple[float, float]] = []
        self.success_count = self.sent_count = 0
        self.success_times: list[float] = []
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next request."""
        rate = self.rate(self.world.clock.now)
        if rate > 0:
            wait = self.world.random.expovariate(rate)
            self.world.clock.call_later(wait, self.arrive)
        else:
            self.world.clock.call_later(0.1, self.schedule)

    def arrive(self) -> None:
        """Send a new request and schedule the next one."""
        self.schedule()
        self.send(self.world.clock.now, 1)

    def send(self, first_sent_at: float, send_number: int) -> None:
        """Send a request to a random entry; resend it later if it fails."""
        self.sent_count += 1
        exchange = make_exchange(self.world, self.work)
        started = self.world.clock.now

        def done(response) -> None:
            now = self.world.clock.now
            if response.status == 200 and now - started <= DEADLINE_S:
                self.success_count += 1
                self.success_times.append(now)
                self.durations.append((first_sent_at, now - started))
            elif (
                send_number < MAX_SENDS_PER_REQUEST
                and self.work is WorkClass.SHORT
            ):
                wait = max(RESEND_DELAY_S, response.retry_after or 0.0)
                self.world.clock.call_later(
                    wait, self.send, first_sent_at, send_number + 1
                )

        self.world.random.choice(self.entries).submit(exchange, done)


def get_capacity(world: World) -> float:
    """Return the short requests a second that all slots can serve."""
    slots = sum(t.target.slots for t in world.targets.values())
    mean = SHORT_WORK_S * numpy.exp(0.3**2 / 2)
    return slots / mean


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile, or NaN if there are no values."""
    return float(numpy.percentile(values, percent)) if values else float("nan")


def measure_detection(build, seed: int, fault: dict) -> float | None:
    """Return seconds until a faulty target is ejected, None after 15 s."""
    world = World(seed, build=build)
    Load(world, lambda now: 0.5 * get_capacity(world))
    start = world.clock.now + 10.0
    world.clock.run_until(start)
    name, target = next(iter(world.targets.items()))
    for field, value in fault.items():
        setattr(target, field, value)
    for step in range(1, 301):
        world.clock.run_until(start + step * 0.05)
        if _is_ejected(world, name, start):
            return round(step * 0.05, 2)
    return None


def _is_ejected(world: World, name: str, start: float) -> bool:
    entries = list(world.entries.values())
    if isinstance(entries[0], Entry):
        return any(
            event == "target ejection"
            and fields["target"] == name
            and fields["phase"] == EjectionPhase.EJECTED.name.lower()
            for at, _, event, fields in world.events
            if at >= start
        )
    ejected_count = sum(
        e.ejected_until[name] > world.clock.now for e in entries
    )
    return ejected_count >= 0.9 * len(entries)


def measure_false_ejections(seed: int, hours: float) -> dict:
    """Count the false ejections of the detector alone under normal failures.

    Each instance gets 10 attempts a second, of which 1% fail; they are
    reported every quarter of a second.
    """
    generator = numpy.random.default_rng(seed)
    instances = 20_000
    steps = int(hours * 3_600 / 0.25 / instances)
    failure_weight = numpy.log(0.2 / 0.02)
    success_weight = numpy.log(0.8 / 0.98)
    reference = detector.CumulativeSum()
    reference.add(0, 1, 0.01)
    assert abs(reference.score - failure_weight) < 1e-9, (
        "bench and detector differ"
    )
    scores = numpy.zeros(instances)
    alarms = 0
    for _ in range(steps):
        attempts = generator.poisson(2.5, instances)
        failures = generator.binomial(attempts, 0.01)
        scores = numpy.maximum(
            0,
            scores
            + failures * failure_weight
            + (attempts - failures) * success_weight,
        )
        is_over_threshold = scores >= detector.ALARM_THRESHOLD
        alarms += int(is_over_threshold.sum())
        scores[is_over_threshold] = 0
    simulated = steps * 0.25 * instances / 3_600
    return {"instance_hours": simulated, "false_ejections": alarms}


def measure_noise(build, seed: int) -> int:
    """Return the number of false ejections in 5 minutes of normal load."""
    world = World(seed, build=build)
    Load(world, lambda now: 0.5 * get_capacity(world))
    world.clock.run_until(world.clock.now + 300.0)
    events = ("target ejection", "local")
    return sum(
        1
        for _, _, event, fields in world.events
        if event in events and fields.get("phase") in (None, "ejected")
    )


def measure_crest(build, seed: int) -> dict:
    """Measure a crest: load rises to 5 times within 2 s and stays for 20 s."""
    world = World(seed, build=build)
    base = 0.4 * get_capacity(world)
    start = world.clock.now + 10.0

    def rate(now: float) -> float:
        rise = min(1.0, max(0.0, (now - start) / 2.0))
        return base * (1.0 + 4.0 * rise) if now < start + 22.0 else base

    load = Load(world, rate)
    world.clock.run_until(start + 60.0)
    crest = [t for t in load.success_times if start + 2 <= t < start + 22]
    recovery = [t for t in load.success_times if start + 27 <= t < start + 57]
    allowed = min(5 * base, get_capacity(world)) * 20.0
    crest_durations = [
        d for at, d in load.durations if start + 2 <= at < start + 22
    ]
    return {
        "goodput_share": len(crest) / allowed,
        "goodput_after": len(recovery) / (base * 30.0),
        "p99_ms": percentile(crest_durations, 99) * 1_000,
        "per_second": numpy.histogram(
            load.success_times, bins=60, range=(start - 5, start + 55)
        )[0].tolist(),
    }


def measure_long_work(build, seed: int) -> dict:
    """Measure short requests with and without long ones.

    Short requests take 30% of the slots, and long ones another 30%.
    """
    p99 = {}
    for name, long_share in (("without", 0.0), ("with", 0.3)):
        world = World(seed, build=build)
        capacity = get_capacity(world)
        short = Load(world, lambda now, c=capacity: 0.3 * c)
        if long_share:
            rate = long_share * capacity / 50
            Load(world, lambda now, r=rate: r, WorkClass.LONG)
        start = world.clock.now
        world.clock.run_until(start + 120.0)
        settled_durations = [
            d for at, d in short.durations if at >= start + 20.0
        ]
        p99[name] = percentile(settled_durations, 99) * 1_000
        p99[f"{name}_good"] = short.success_count / max(1, short.sent_count)
    return {**p99, "ratio": p99["with"] / p99["without"]}


def run(seed: int, parts: list[str]) -> dict[str, Any]:
    """Run the chosen parts of the comparison for every policy."""
    results: dict[str, Any] = {"seed": seed}
    for name, build in POLICIES.items():
        row: dict[str, Any] = {}
        if "detection" in parts:
            row["detection_s"] = {
                text: measure_detection(build, seed, fault)
                for text, fault in FAULTS.items()
            }
        if "noise" in parts:
            row["wrong_ejections_in_1_instance_hour"] = measure_noise(
                build, seed
            )
        if "crest" in parts:
            row["crest"] = measure_crest(build, seed)
        if "long" in parts:
            row["long_work"] = measure_long_work(build, seed)
        results[name] = row
        print(name, json.dumps(_without_series(row), indent=1), flush=True)
    if "noise" in parts:
        results["detector"] = measure_false_ejections(seed, 10_000.0)
        print("detector", results["detector"], flush=True)
    return results


def _without_series(row: dict[str, Any]) -> dict[str, Any]:
    shortened = {
        k: dict(v) if isinstance(v, dict) else v for k, v in row.items()
    }
    shortened.get("crest", {}).pop("per_second", None)
    return shortened


def plot(results: dict[str, Any]) -> None:
    """Draw the successful responses a second around the crest."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for name in POLICIES:
        series = results[name]["crest"]["per_second"]
        axes.plot(range(-5, 55), series, label=name)
    axes.set_xlabel("seconds from the start of the crest")
    axes.set_ylabel("successful responses a second")
    axes.legend()
    figure.savefig(RESULTS / "crest.png")


def main() -> None:
    """Run the comparison and write the results."""
    all_parts = ["detection", "noise", "crest", "long"]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--parts", nargs="+", choices=all_parts, default=all_parts
    )
    parser.add_argument("--plot", action="store_true")
    arguments = parser.parse_args()
    started = time.monotonic()
    results = run(arguments.seed, arguments.parts)
    RESULTS.mkdir(exist_ok=True)
    output = RESULTS / "policies.json"
    output.write_text(json.dumps(results, indent=2))
    if arguments.plot and "crest" in arguments.parts:
        plot(results)
    print(f"seed {arguments.seed}, {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
