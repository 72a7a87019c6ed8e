"""What a build leaves for the processes."""

import importlib.util
import shutil
import struct
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent


@pytest.fixture
def checkout(tmp_path):
    """Return a checkout where the dependencies are installed already."""
    for name in ("deploy", "packages", "platform"):
        shutil.copytree(ROOT / name, tmp_path / name)
    (tmp_path / "target" / "deps").mkdir(parents=True)
    requirements = tmp_path / "deploy" / "requirements.txt"
    shutil.copy(requirements, tmp_path / "target")
    return tmp_path


def build(folder):
    subprocess.run(["sh", "deploy/build.sh"], cwd=folder, check=True)
    return folder / "target" / "deps"


def find_uncompiled(deps):
    """Return the sources without the bytecode of their present state."""
    return [
        str(source.relative_to(deps))
        for source in deps.rglob("*.py")
        if read_source_state(source) != get_source_state(source)
    ]


def read_source_state(source):
    """Return the time and the size that the bytecode was made from."""
    bytecode = Path(importlib.util.cache_from_source(str(source)))
    if not bytecode.exists():
        return None
    return struct.unpack("<II", bytecode.read_bytes()[8:16])


def get_source_state(source):
    status = source.stat()
    return int(status.st_mtime), status.st_size


def test_no_process_compiles_its_sources_at_each_start(checkout):
    deps = build(checkout)
    assert (deps / "wasabitray_platform" / "__main__.py").exists()
    assert find_uncompiled(deps) == []


def test_second_build_leaves_no_bytecode_of_the_first(checkout):
    build(checkout)
    source = checkout / "platform" / "wasabitray_platform" / "units.py"
    source.write_text(source.read_text() + "ADDED = 1\n")
    assert find_uncompiled(build(checkout)) == []
