"""The tables of events and messages of a capture, and the commands that merge and query captures."""

from __future__ import annotations

import json
from pathlib import Path

import polars as pl
import pytest
from test_explain import capture, run_command

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.explain import columns, message_timeline


def test_tables_agree_with_timelines_and_invalid_queries_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = capture(tmp_path / "a", monkeypatch, 50)
    tables = columns.load_tables([folder])
    events, messages = tables["events"], tables["messages"]
    files = CaptureFiles(capture_files([folder]))
    for id_ in ("m1", "m21", "m42"):
        (timeline,) = message_timeline.build_timelines(files, id_)
        (row,) = messages.filter(pl.col("id") == id_).to_dicts()
        assert (
            row["attempts"] == timeline.attempts and row["dest"] == timeline.dest and row["class"] == "keyed"
        )
        ended = None if timeline.ended is None else pytest.approx(timeline.ended - timeline.arrived, abs=0.01)
        assert row["held_ms"] == ended and (row["end"] or "") == timeline.end.partition(":")[0]
    assert events["wall"].is_sorted() and events.filter(pl.col("what") == "Arrived").height == 61
    outcomes = columns.query(
        tables, "SELECT outcome, count(*) AS n FROM events WHERE what = 'Ended' GROUP BY outcome"
    )
    assert dict(outcomes.iter_rows())["refused"] == 1
    for invalid in ("SELECT nothing FROM nowhere", "DELETE", ""):
        with pytest.raises(columns.QueryError):
            columns.query(tables, invalid)


def test_the_events_of_two_senders_are_merged_by_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folders = [capture(tmp_path / name, monkeypatch, 10**9) for name in ("a", "b")]
    code, out, _ = run_command("capture", "merge", *map(str, folders), "--out", str(tmp_path / "m"), "--json")
    merged = json.loads(out)
    rows_of_one = columns.load_tables([folders[0]])["events"].height
    assert code == 0 and merged["rows"]["events"] == 2 * rows_of_one
    assert pl.read_parquet(tmp_path / "m" / "events.parquet")["wall"].is_sorted()
    code, out, _ = run_command(
        "capture", "query", str(tmp_path / "m"), "--json", "--out", str(tmp_path / "q.parquet")
    )
    assert (
        code == 0
        and sum(row["messages"] for row in json.loads(out)) > 50
        and (tmp_path / "q.parquet").exists()
    )
    assert run_command("capture", "query", str(tmp_path / "m"), "--sql", "SELECT x FROM events")[0] == 2
    assert run_command("capture", "query", str(tmp_path / "none"))[0] == 2
