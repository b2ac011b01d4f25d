"""A capture as tables of events and messages, and the commands that merge and query them."""

from __future__ import annotations

import json
from pathlib import Path

import polars as pl
import pytest
from test_explain import capture, said

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.explain import columns, message_timeline


def test_tables_agree_with_the_timelines(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place = capture(tmp_path / "a", monkeypatch, 50)
    tables = columns.load_tables([place])
    events, messages = tables["events"], tables["messages"]
    files = CaptureFiles(capture_files([place]))
    for id_ in ("m1", "m21", "m42"):
        (timeline,) = message_timeline.build_timelines(files, id_)
        (row,) = messages.filter(pl.col("id") == id_).to_dicts()
        assert (
            row["attempts"] == timeline.attempts and row["dest"] == timeline.dest and row["class"] == "keyed"
        )
        ended = None if timeline.ended is None else pytest.approx(timeline.ended - timeline.arrived, abs=0.01)
        assert row["held_ms"] == ended and (row["end"] or "") == timeline.end.partition(":")[0]
    assert events["wall"].is_sorted() and events.filter(pl.col("what") == "Arrived").height == 61
    found = columns.query(
        tables, "SELECT outcome, count(*) AS n FROM events WHERE what = 'Ended' GROUP BY outcome"
    )
    assert dict(found.iter_rows())["refused"] == 1
    for junk in ("SELECT nothing FROM nowhere", "DELETE", ""):
        with pytest.raises(columns.QueryError):
            columns.query(tables, junk)


def test_the_events_of_two_senders_merge_by_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    places = [capture(tmp_path / name, monkeypatch, 10**9) for name in ("a", "b")]
    code, out, _ = said("capture", "merge", *map(str, places), "--out", str(tmp_path / "m"), "--json")
    both = json.loads(out)
    one = columns.load_tables([places[0]])["events"].height
    assert code == 0 and both["rows"]["events"] == 2 * one
    assert pl.read_parquet(tmp_path / "m" / "events.parquet")["wall"].is_sorted()
    code, out, _ = said(
        "capture", "query", str(tmp_path / "m"), "--json", "--out", str(tmp_path / "q.parquet")
    )
    assert (
        code == 0
        and sum(row["messages"] for row in json.loads(out)) > 50
        and (tmp_path / "q.parquet").exists()
    )
    assert said("capture", "query", str(tmp_path / "m"), "--sql", "SELECT x FROM events")[0] == 2
    assert said("capture", "query", str(tmp_path / "none"))[0] == 2
