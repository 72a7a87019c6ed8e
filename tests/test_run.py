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


def test_messages_come_right_before_the_failed_tests(results, capsys):
    capsys.readouterr()
    assert run.report_results(results, set(), set()) == 1
    message, failed, _ = capsys.readouterr().out.splitlines()[-3:]
    assert message == (
        "The logs explain a request -- @1.3: timed out after 5 s: "
        "the complete trace Failing step: Then it shows"
    )
    assert failed == f"failed: {ROW}"


def test_message_of_a_flaky_test_is_printed(results, capsys):
    capsys.readouterr()
    assert run.report_results(results, set(), {ROW}) == 0
    assert "timed out after 5 s: the complete" in capsys.readouterr().out


def test_message_of_a_known_failure_is_not_printed(results, capsys):
    capsys.readouterr()
    assert run.report_results(results, {ROW}, set()) == 0
    assert "timed out" not in capsys.readouterr().out


def test_long_message_is_cut(tmp_path):
    path = tmp_path / "report.xml"
    write_report(path, "A scenario", "first words " + "x" * 900, "")
    ((name, result),) = run.read_report(path).items()
    line = run.describe_failure(name, result)
    assert line.startswith("A scenario: first words xxx")
    assert len(line) == 300


def test_listed_test_that_passes_counts_as_failed(capsys):
    results = {ROW: run.CaseResult(True)}
    assert run.report_results(results, {ROW}, set()) == 1
    assert capsys.readouterr().out.splitlines() == [
        f"known red but not failing: {ROW}",
        "0 passed, 1 failed",
    ]
