"""The rule of KNOWN-RED.txt: tests that fail for a known fault run, are printed, and are passed over; no others.

Each is a strict xfail, so the run fails once it passes and its line has to go.  A plugin and no list of marks in the
code: the few that are red stand in one place, which also bounds their number.

Under pytest-xdist the workers collect and run, and the controller prints and decides: faults of the list go to it as
worker output, and how a listed test failed goes with the test's report.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
FAULTS = "known-red-faults"  # the key in a worker's output
FAILURE = "known-red-failure"  # the property of a report: the listed test and how it failed


@dataclass(frozen=True)
class Line:
    """A listed test, why it fails, and where that is followed up."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | {self.issue}"


LISTED = pytest.StashKey[Line]()  # what a test is listed with; its name may change after the list is read


def read(file: Path) -> tuple[dict[str, Line], list[str]]:
    """The lines by their tests, and what is wrong with the file; no file is an empty one."""
    lines: dict[str, Line] = {}
    faults = []
    count = 0
    for number, text in enumerate(file.read_text(encoding="utf-8").splitlines() if file.exists() else [], 1):
        if not text.strip() or text.startswith("#"):
            continue
        count += 1
        parts = text.split(" | ")
        if (
            len(parts) != 3
            or any(not part or part != part.strip() for part in parts)
            or "::" not in parts[0]
            or not re.fullmatch(r"issue \d+", parts[2])
        ):
            faults.append(f"{NAME}:{number}: not `file::test | cause | issue N`: {text}")
        elif parts[0] in lines:
            faults.append(f"{NAME}:{number}: listed twice: {parts[0]}")
        else:
            lines[parts[0]] = Line(*parts)
    if count > MOST:
        faults.append(f"{NAME}: {count} lines, {MOST} at most")
    return lines, faults


class KnownRed:
    """The plugin; `register` puts it into a run."""

    def __init__(self, config: pytest.Config) -> None:
        self.lines, self.faults = read(config.rootpath / NAME)
        self.seen: dict[str, str] = {}  # how each listed test failed in this run

    # First: -k, -m and --deselect take tests away in this hook, and a test that they leave out does exist.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Check the list against the tests, and mark those that are on it."""
        found = {item.nodeid for item in items}
        faults = list(self.faults)
        # After a failed collection the run fails anyway, and a test of the file that broke would seem not to exist.
        if _whole(config) and not session.testsfailed:
            faults += [f"{NAME}: no such test: {test}" for test in self.lines if test not in found]
        if faults:
            if hasattr(config, "workeroutput"):
                config.workeroutput[FAULTS] = faults
            raise pytest.UsageError(*faults)
        for item in items:
            if line := self.lines.get(item.nodeid):
                item.stash[LISTED] = line  # pytest-xdist adds its group to the name later
                # Ahead of marks of its own, which might be lenient or keep the test from running.
                item.add_marker(
                    pytest.mark.xfail(reason=f"{line.cause} ({line.issue})", strict=True, run=True),
                    append=False,
                )

    # Outermost, so that the report is the one that pytest's own xfail has made.
    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Note how a listed test failed; one that was skipped has shown nothing and is not passed over."""
        report = yield
        line = item.stash.get(LISTED, None)
        if line and report.skipped:
            if hasattr(report, "wasxfail"):
                crash = getattr(report.longrepr, "reprcrash", None)
                message = (getattr(crash, "message", "") or "no message").splitlines()[0]
                report.user_properties.append((FAILURE, [line.test, f"failed in {report.when}: {message}"]))
            else:
                report.outcome = "failed"
                report.longrepr = f"listed in {NAME} and skipped: that it still fails is not shown"
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Gather how listed tests failed, whichever process ran them."""
        for name, failure in report.user_properties:
            if name == FAILURE:
                test, how = cast(list[str], failure)
                self.seen.setdefault(test, how)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any, error: object) -> None:
        """End the whole run as one without workers ends, once a worker has found a fault of the list."""
        if faults := getattr(node, "workeroutput", {}).get(FAULTS):
            raise pytest.UsageError(*faults)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print what was passed over, and why."""
        if self.seen:
            terminalreporter.write_sep("=", f"passed over, by {NAME}")
        for test, how in self.seen.items():
            terminalreporter.write_line(f"{self.lines[test]}\n    {how}")


def _whole(config: pytest.Config) -> bool:
    """Whether all tests are collected: what is asked for holds each folder of tests, and nothing is left out."""
    asked = [(config.invocation_params.dir / arg).resolve() for arg in config.args]
    folders = [config.rootpath / folder for folder in config.getini("testpaths") or ["."]]
    left_out = config.getoption("ignore") or config.getoption("ignore_glob")
    return not left_out and all(any(folder.is_relative_to(place) for place in asked) for folder in folders)


def register(config: pytest.Config) -> None:
    """Let the rule hold in this run."""
    config.pluginmanager.register(KnownRed(config), "known-red")
