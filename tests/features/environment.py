"""Sets up and tears down the fleet of each scenario."""

from gevent import monkey

monkey.patch_all()

import itertools
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
    context.request_numbers = itertools.count()


def after_scenario(context, scenario):
    for job in getattr(context, "load_jobs", ()):
        job.kill()
    if context.fleet is not None:
        context.fleet.shut_down()
    if context.proxy is not None:
        context.proxy.stop()
    error_lines = find_error_lines(context.folder)
    if scenario.status == "failed" or error_lines:
        print(f"logs are in {context.folder}")
    else:
        shutil.rmtree(context.folder, ignore_errors=True)
    assert not error_lines, error_lines


def find_error_lines(folder):
    """Return the log lines that show an error inside a process."""
    return [
        f"{path.name}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if '"message failed"' in line
    ]
