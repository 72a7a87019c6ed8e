"""What a process loads when it starts."""

import subprocess
import sys

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


def test_start_searches_no_packages_for_plugins():
    output = subprocess.check_output([sys.executable, "-c", SCRIPT], text=True)
    assert output.strip() == "[]"
