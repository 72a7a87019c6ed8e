"""Sets up and takes down the fleet of each scenario."""

from gevent import monkey

monkey.patch_all()

import shutil
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT / "examples"), str(ROOT / "tests")]


def before_scenario(context, scenario):
    context.folder = Path(tempfile.mkdtemp(prefix="wasabitray-"))
    context.fleet = None
    context.proxy = None


def after_scenario(context, scenario):
    for job in getattr(context, "load_jobs", ()):
        job.kill()
    if context.fleet is not None:
        context.fleet.shut_down()
    if context.proxy is not None:
        context.proxy.stop()
    faults = find_faults(context.folder)
    if scenario.status == "failed" or faults:
        print(f"logs are in {context.folder}")
    else:
        shutil.rmtree(context.folder, ignore_errors=True)
    assert not faults, faults


def find_faults(folder):
    """Return the log lines that tell of a fault in the programs."""
    return [
        f"{path.name}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if '"message failed"' in line
    ]
