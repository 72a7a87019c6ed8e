"""Measures the latency that an entry adds to a request.

The same requests go to a target directly and through an entry, at a fixed
rate, in one run. Prints a table and writes bench/results/added_time.json.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient
from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from fleet import LocalFleet, call, wait_for

HEADERS = {"Wasabitray-Organisation": "hobart"}
PATH = "/rota/hobart"
CONNECTIONS = 64


def run_load(address: str, rate: float, seconds: float) -> HdrHistogram:
    """Send requests at a fixed rate; return their durations in microseconds.

    A duration counts from the time at which the request was due.
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host, int(port), concurrency=CONNECTIONS, network_timeout=10
    )
    histogram = HdrHistogram(1, 60_000_000, 3)
    pool = Pool(CONNECTIONS)

    def send(due: float) -> None:
        response = client.get(PATH, HEADERS)
        response.read()
        assert response.status_code == 200, response.status_code
        histogram.record_value(int((time.monotonic() - due) * 1e6))

    start = time.monotonic()
    for number in range(int(rate * seconds)):
        due = start + number / rate
        gevent.sleep(max(0.0, due - time.monotonic()))
        pool.spawn(send, due)
    pool.join()
    client.close()
    return histogram


def measure(fleet: LocalFleet, rate: float, seconds: float) -> dict:
    """Return the latencies, direct and through an entry, in milliseconds."""
    direct_address = f"{fleet.ip('t1')}:9000"
    figures = {"rate": rate}
    for name, address in (
        ("direct", direct_address),
        ("entry", fleet.caller_address("e1")),
    ):
        run_load(address, rate, 2.0)  # warm-up
        histogram = run_load(address, rate, seconds)
        for quantile in (50, 99):
            value = histogram.get_value_at_percentile(quantile) / 1_000
            figures[f"{name}_p{quantile}_ms"] = value
    for quantile in (50, 99):
        added = (
            figures[f"entry_p{quantile}_ms"]
            - figures[f"direct_p{quantile}_ms"]
        )
        figures[f"added_p{quantile}_ms"] = round(added, 3)
    return figures


def main() -> None:
    """Start a fleet, run the loads and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[300, 700])
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp())
    fleet = LocalFleet(folder, controls=1, entries=1)
    try:
        fleet.start()
        fleet.start_target("t1", "rota", slots=64)
        declarations = folder / "declarations"
        shutil.copytree(ROOT / "examples" / "declarations", declarations)
        (declarations / "fleet.toml").write_text(fleet.fleet_document())
        fleet.run_cli("apply", str(declarations))
        entry = fleet.caller_address("e1")
        wait_for(
            lambda: call(entry, "GET", PATH, headers=HEADERS).status == 200,
            10,
        )
        results = [
            measure(fleet, rate, arguments.seconds) for rate in arguments.rates
        ]
    finally:
        fleet.shut_down()
        shutil.rmtree(folder, ignore_errors=True)
    output = ROOT / "bench" / "results" / "added_time.json"
    output.parent.mkdir(exist_ok=True)
    output.write_text(json.dumps(results, indent=2))
    for figures in results:
        print(figures)


if __name__ == "__main__":
    main()
