"""Settings: every fault at once, unknown keys refused."""

from pathlib import Path

import pytest

from wasabitray_node.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples" / "settings"

GOOD = """
host = "e1"
role = "entry"
region = "south"
failure_domain = "south-a"
[listen]
peers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
callers = "127.0.0.1:8080"
targets = "127.0.0.1:7002"
[seeds]
c1 = "127.0.0.2:7000"
"""


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return load_settings(path)


def test_good_settings_load(tmp_path):
    assert load(tmp_path, GOOD).ok_value.host == "e1"


def test_every_fault_is_named_with_key_and_what_was_found(tmp_path):
    bad = GOOD.replace("127.0.0.1:7000", "node-1:7000")
    bad = bad.replace('"entry"', '"edge"') + "[limits]\nhold_byte = 3\n"
    faults = load(tmp_path, bad).err_value
    text = "\n".join(faults)
    assert len(faults) == 3
    for part in ("listen.peers", "node-1:7000", "role", "hold_byte"):
        assert part in text


@pytest.mark.parametrize("address", ["1.2.3.4", "1.2.3.4:0", "a:b", ":80"])
def test_addresses_are_ip_numbers_with_a_port(tmp_path, address):
    assert load(tmp_path, GOOD.replace("127.0.0.2:7000", address)).is_err()


def test_secret_is_needed_off_loopback(tmp_path):
    bad = GOOD.replace("127.0.0.1:7001", "10.0.0.1:7001")
    assert "secret_file" in load(tmp_path, bad).err_value[0]


def test_short_secret_is_refused(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("short\n")
    text = f'secret_file = "{secret}"\n' + GOOD
    assert "characters" in load(tmp_path, text).err_value[0]


@pytest.mark.parametrize("name", ["control", "entry"])
def test_examples_have_no_fault_but_the_missing_secret(name):
    faults = load_settings(EXAMPLES / f"{name}.toml").err_value
    assert len(faults) == 1
    assert "secret_file" in faults[0]
