"""The script that runs all tests and prints how they ended."""

import xml.etree.ElementTree as ElementTree

import pytest
import run

ROW = "platform.The fleet::The logs explain a request -- @1.3"


def write_report(path, name, message, text):
    case = ElementTree.Element(
        "testcase",
        {"classname": "platform.The fleet", "name": name, "status": "failed"},
    )
    failure = ElementTree.SubElement(case, "failure", {"message": message})
    failure.text = text
    suite = ElementTree.Element("testsuite")
    suite.append(case)
    ElementTree.ElementTree(suite).write(path)


@pytest.fixture
def results(tmp_path):
    """Results of an example of a scenario outline, which failed."""
    path = tmp_path / "report.xml"
    name = "The logs explain a request -- @1.3 "
    message = "timed out after 5 s:\nthe complete trace"
    write_report(path, name, message, "\nFailing step: Then it shows\n")
    return run.read_report(path)


@pytest.mark.parametrize("prefix", [run.RED_PREFIX, run.FLAKY_PREFIX])
def test_example_of_an_outline_can_be_listed(
    prefix, results, tmp_path, monkeypatch
):
    listed = tmp_path / "KNOWN-RED.txt"
    listed.write_text(f"{prefix}{ROW} \ncommand: make test\n")
    monkeypatch.setattr(run, "KNOWN_RED", listed)
    assert run.read_known_red(prefix) == set(results)
