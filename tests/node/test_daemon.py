"""What a process loads when it starts."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent

# Prints the packages whose metadata was searched for plugins.
SCRIPT = """
import importlib.metadata
searched = []
def search(*args, **fields):
    searched.append((args, fields))
    return iter(())
importlib.metadata.distributions = search
importlib.metadata.entry_points = search
import wasabitray_node.daemon
print(searched)
"""


# Prints whether the collector is enabled after the imports, and whether it is
# once the app has started.
COLLECTOR_SCRIPT = """
import gc
import wasabitray_platform.__main__
print(gc.isenabled())
from wasabitray_node.app import enable_collector
enable_collector()
print(gc.isenabled(), gc.get_freeze_count() > 1_000)
"""

# Prints which of the libraries for rare requests are loaded.
RARE_LIBRARIES_SCRIPT = """
import sys
import wasabitray_platform.__main__
print(sorted({"prometheus_client"} & sys.modules.keys()))
"""


def test_start_searches_no_packages_for_plugins():
    assert run(SCRIPT) == ["[]"]


def test_garbage_collector_is_off_during_a_start_only():
    assert run(COLLECTOR_SCRIPT) == ["False", "True True"]


def test_start_loads_no_library_that_only_scrapes_need():
    assert run(RARE_LIBRARIES_SCRIPT) == ["[]"]


def run(script):
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "platform")}
    command = [sys.executable, "-c", script]
    output = subprocess.check_output(command, env=environment, text=True)
    return output.splitlines()
