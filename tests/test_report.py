"""The report of a capture: its figures, its page with the images, and the command."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from test_explain import capture, run_command

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.explain import destination_timeline, report, report_page


def test_the_report_has_the_figures_of_each_destination_and_embeds_its_images(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = CaptureFiles(capture_files([capture(tmp_path / "a", monkeypatch, 50)]))
    data = report.collect(files)
    assert set(data.destinations) == {1, 2} and not data.divergence and data.concurrency_limit == 8
    one, two = data.destinations[1], data.destinations[2]
    assert (
        one.counts["arrived"].sum() == 31
        and one.end_counts["delivered"] == 31
        and one.counts["not ok"].sum() == 1
    )
    assert two.counts["arrived"].sum() == 30 and two.queued.max() >= 8
    assert (
        report.HEALTH_STATES.index("told wait") in one.health_state
        and report.HEALTH_STATES.index("draining") in two.health_state
    )
    timeline = destination_timeline.build_timeline(files, 1)
    assert one.counts["sent"].sum() == timeline.attempts and one.in_flight.max() == timeline.max_in_flight
    written = report_page.write_report(data, tmp_path / "r")
    page = written[0].read_text()
    assert page.count("data:image/png;base64,") == len(written) - 1 == 4 and "http" not in page
    assert all(file.read_bytes()[:4] == b"\x89PNG" for file in written[1:])


def test_the_report_command_writes_a_page_and_lists_both_destinations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = capture(tmp_path / "a", monkeypatch, 50)
    code, out, _ = run_command("report", str(folder), "--out", str(tmp_path / "r"), "--json")
    assert (
        code == 0 and len(json.loads(out)["destinations"]) == 2 and (tmp_path / "r" / "report.html").exists()
    )
