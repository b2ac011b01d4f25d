"""Converts captures to tables, which are stored as parquet files or queried with SQL.

The table `events` has one row per event and action, `messages` one row per message.  polars writes parquet and runs
SQL; so does duckdb, but it needs another library to build tables from Python lists.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from pathlib import Path
from typing import Any

import polars as pl

from kestreltrack.capture import records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    Policy,
    RejectMessage,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.snapshot.stored_forms import ACTION_NAMES, EVENT_NAMES

# The column names are part of the parquet format, and saved queries of operators use them.
EVENT_SCHEMA: dict[str, Any] = {
    "wall": pl.Datetime("us", "UTC"),
    "sender": pl.String,
    "clock_ms": pl.Float64,
    "record": pl.Int64,
    "what": pl.String,
    "id": pl.String,
    "dest": pl.Int64,
    "class": pl.String,
    "tenant": pl.String,
    "endpoint": pl.String,
    "attempt": pl.Int32,
    "outcome": pl.String,
    "over": pl.Boolean,
    "took_ms": pl.Float64,
    "wait_ms": pl.Float64,
    "text": pl.String,
}
TABLE_NAMES = ("events", "messages")


class QueryError(CaptureError):
    """The query is invalid or the files cannot be read; the message gives the reason."""


@dataclass(slots=True)
class _Row:
    """The columns of a row that depend on the event or action, in the order of `EVENT_SCHEMA`.

    They follow the columns that each row has: time, sender, clock reading and number of the record.
    """

    what: str
    id: str | None = None
    dest: int | None = None
    cls: str | None = None
    tenant: str | None = None
    endpoint: str | None = None
    attempt: int | None = None
    outcome: str | None = None
    final: bool | None = None
    duration_ms: float | None = None
    retry_after_ms: float | None = None
    text: str | None = None


_row_values: Callable[[_Row], tuple[Any, ...]] = attrgetter(*_Row.__slots__)


class _EventTableBuilder:
    """Collects the rows of the events table during a replay."""

    def __init__(self, capture: CaptureFiles) -> None:
        self.rows = list[tuple[Any, ...]]()
        self._capture = capture
        self._replayer = Replayer(Policy, self._on_restored)
        self._dest = dict[str, int]()
        """The destination number by message id; -1 if the destination is no longer known."""
        self._attempts = dict[str, int]()
        """The number of attempts so far, by message id."""
        self._sender = ""

    def _on_restored(self, policy: Policy) -> None:
        numbers = {id(dest): n for n, dest in policy.destinations.items()}
        self._dest = {m.id: numbers.get(id(m.destination), -1) for m in policy.messages.values()}
        self._attempts = {m.id: m.attempts for m in policy.messages.values()}

    def handle_step(self, step: Step) -> None:
        """Add the rows of one record; raises `QueryError` if the replay diverges from the capture."""
        record = step.record
        if record.kind == records.FILE_HEADER:
            self._sender = record.payload.sender
        elif record.kind == records.EVENT:
            self._add_event(step, record.payload)
        elif record.kind == records.MARK:
            self._add_row(step, _Row("Mark", text=record.mark_text()))
        if self._replayer.apply_step(step) is not None:
            raise QueryError(
                f"{step.file}: record {step.record_number}: the present decision module diverges from the capture"
            )
        if record.kind == records.DECISION:
            for action in self._replayer.last_actions:
                self._add_action(step, action)

    def _add_row(self, step: Step, row: _Row) -> None:
        now = step.record.clock
        wall = self._capture.wall_time(now)
        self.rows.append((wall, self._sender, now, step.record_number, *_row_values(row)))

    def _add_event(self, step: Step, event: Event) -> None:
        what = EVENT_NAMES[type(event)]
        if isinstance(event, MessageArrived):
            self._dest[event.id] = event.dest
            self._attempts[event.id] = event.attempts
            self._add_row(step, _Row(what, event.id, event.dest, cls=event.cls, tenant=event.tenant))
        elif isinstance(event, AttemptEnded):
            self._add_outcome(step, event)
        elif isinstance(event, MessageWithdrawn):
            self._add_row(step, _Row(what, event.id, self._dest.get(event.id)))
        elif isinstance(event, EndpointsUpdated):
            for entry in event.entries:
                row = _Row("Listed", dest=entry.dest, endpoint=entry.endpoint, text=entry.lifecycle.value)
                self._add_row(step, row)
        elif not isinstance(event, TimerExpired):
            self._add_row(step, _Row(what, text=repr(event)))

    def _add_outcome(self, step: Step, event: AttemptEnded) -> None:
        row = _Row(
            EVENT_NAMES[AttemptEnded],
            event.id,
            self._dest.get(event.id),
            endpoint=event.endpoint,
            attempt=event.attempt,
            outcome=event.outcome.value,
            final=event.final,
            duration_ms=event.duration_ms,
            retry_after_ms=event.retry_after_ms,
        )
        self._add_row(step, row)

    def _add_action(self, step: Step, action: Action) -> None:
        if not isinstance(action, StartAttempt | CancelAttempt | RejectMessage | FailMessage):
            return
        row = _Row(ACTION_NAMES[type(action)], action.id, self._dest.get(action.id))
        if isinstance(action, StartAttempt):
            row.endpoint = action.endpoint
            row.attempt = self._attempts.get(action.id, 0)
            self._attempts[action.id] = row.attempt + 1
        elif isinstance(action, CancelAttempt):
            row.attempt = action.attempt
        elif isinstance(action, RejectMessage):
            row.retry_after_ms = action.retry_after_ms
        self._add_row(step, row)


def events_table(capture: CaptureFiles, on_step: Callable[[Step], None] | None = None) -> pl.DataFrame:
    """Return all events and actions in order; the actions are taken from a replay.

    Raises:
        QueryError: The decisions of the present decision module diverge from the capture.
    """
    builder = _EventTableBuilder(capture)
    for step in capture.steps():
        if on_step:
            on_step(step)
        builder.handle_step(step)
    return pl.DataFrame(builder.rows, schema=EVENT_SCHEMA, orient="row")


def merge_events(
    captures: Sequence[CaptureFiles], on_step: Callable[[Step], None] | None = None
) -> pl.DataFrame:
    """Return the events of several senders, sorted by the wall-clock time of each; the sort is stable."""
    return pl.concat([events_table(capture, on_step) for capture in captures]).sort(
        "wall", maintain_order=True
    )


def messages_table(rows: pl.DataFrame) -> pl.DataFrame:
    """Return one row per message and sender, with its arrival, its end and its number of attempts."""
    message_rows = rows.filter(pl.col("id").is_not_null())
    end = (
        pl.when((pl.col("what") == "Ended") & (pl.col("outcome") == "ok"))
        .then(pl.lit("delivered"))
        .when(pl.col("what") == "Refuse")
        .then(pl.lit("refused"))
        .when(pl.col("what") == "Fail")
        .then(pl.lit("failed"))
        .when(pl.col("what") == "Withdrawn")
        .then(pl.lit("withdrawn"))
    )
    return (
        message_rows.with_columns(end=end)
        .group_by("sender", "id", maintain_order=True)
        .agg(
            pl.col("dest").drop_nulls().first(),
            pl.col("class").drop_nulls().first(),
            pl.col("wall").filter(pl.col("what") == "Arrived").first().alias("arrived"),
            (pl.col("what") == "Send").sum().alias("attempts"),
            pl.col("end").drop_nulls().first(),
            pl.col("wall").filter(pl.col("end").is_not_null()).first().alias("ended"),
        )
        .with_columns(held_ms=(pl.col("ended") - pl.col("arrived")).dt.total_microseconds() / 1000.0)
    )


def load_tables(
    paths: Sequence[Path], on_step: Callable[[Step], None] | None = None
) -> dict[str, pl.DataFrame]:
    """Return the tables by name, from a folder of their parquet files or else from captures, one per sender.

    Raises:
        QueryError: A parquet file cannot be read, or there is no capture file at the paths.
        CaptureError: A file is not a capture.
    """
    from kestreltrack.capture.reader import capture_files

    if len(paths) == 1 and all((paths[0] / f"{name}.parquet").is_file() for name in TABLE_NAMES):
        try:
            return {name: pl.read_parquet(paths[0] / f"{name}.parquet") for name in TABLE_NAMES}
        except pl.exceptions.PolarsError as error:
            raise QueryError(f"{paths[0]}: {error}") from None
    files_of_sender = dict[Path, list[Path]]()
    for path in paths:
        for file in capture_files([path]):
            # The files in a folder belong to one sender; each file that is given by itself to a separate one.
            files_of_sender.setdefault(file.parent if path.is_dir() else file, []).append(file)
    if not files_of_sender:
        raise QueryError(f"{', '.join(map(str, paths))}: no capture file found")
    rows = merge_events([CaptureFiles(files) for files in files_of_sender.values()], on_step)
    return {"events": rows, "messages": messages_table(rows)}


def store_tables(tables: dict[str, pl.DataFrame], folder: Path) -> list[Path]:
    """Write each table as a parquet file and return the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, frame in tables.items():
        frame.write_parquet(folder / f"{name}.parquet")
    return [folder / f"{name}.parquet" for name in tables]


def query(tables: dict[str, pl.DataFrame], sql: str) -> pl.DataFrame:
    """Return the result of an SQL query on the tables.

    Raises:
        QueryError: The query is invalid, or its result is not a table.
    """
    try:
        with pl.SQLContext(frames=tables, eager=True) as context:
            result = context.execute(sql)
    except pl.exceptions.PolarsError as error:
        raise QueryError(str(error).splitlines()[0]) from None
    if not isinstance(result, pl.DataFrame):
        raise QueryError("the result of the query is not a table")
    return result
