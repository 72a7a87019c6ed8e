"""Short soaks with a fixed seed; longer ones are started by hand."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = Path(__file__).parent.parent
COMMAND = ["-m", "soak", "--seed", "1", "--seconds", "40"]
REPLACEMENTS = ["--controls", "5", "--replace-controls"]


@pytest.mark.parametrize(
    "more",
    [
        pytest.param([], id="control hosts are restarted"),
        pytest.param(REPLACEMENTS, id="control hosts are replaced"),
    ],
)
def test_processes_that_stop_and_change_keep_their_promises(more):
    paths = [str(TESTS), os.environ.get("PYTHONPATH", "")]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
    result = subprocess.run(
        [sys.executable, *COMMAND, *more],
        env=environment,
        capture_output=True,
        text=True,
        timeout=180,
    )
    assert result.returncode == 0, result.stdout + result.stderr[-2_000:]
