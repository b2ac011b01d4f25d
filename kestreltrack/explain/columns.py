"""A capture as tables: one row for each event and action, one for each message; as parquet files, and SQL over them.

polars writes parquet and runs the SQL.  duckdb does both as well, but polars builds its frames from Python lists
directly, where duckdb needs another library.
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

# The names of the columns are part of the format of the parquet files, and of queries that operators keep.
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
    """The query or the files are not usable; the text says why."""


@dataclass(slots=True)
class _Row:
    """The columns of a row that depend on the event or action, in the order of `EVENT_SCHEMA`."""

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
        self._player = Replayer(Policy, self._on_restored)
        self._dest = dict[str, int]()
        """The destination of each message."""
        self._attempts = dict[str, int]()
        """The number of attempts of each message so far."""
        self._sender = ""

    def _on_restored(self, policy: Policy) -> None:
        numbers = {id(dest): n for n, dest in policy.destinations.items()}
        self._dest = {m.id: numbers.get(id(m.destination), -1) for m in policy.messages.values()}
        self._attempts = {m.id: m.attempts for m in policy.messages.values()}

    def handle_step(self, step: Step) -> None:
        """Add the rows of one record; raises `QueryError` where the replay differs."""
        record = step.record
        if record.kind == records.FILE_HEADER:
            self._sender = record.payload.sender
        elif record.kind == records.EVENT:
            self._add_event(step, record.payload)
        elif record.kind == records.MARK:
            self._add_row(step, _Row("Mark", text=record.mark_text()))
        if self._player.apply_step(step) is not None:
            raise QueryError(
                f"{step.file}: record {step.record_number}: the present module does not do as captured"
            )
        if record.kind == records.DECISION:
            for action in self._player.last_actions:
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
    """Return all events and actions in order; the actions come from a replay, which must be identical.

    Raises:
        QueryError: The present decision module decides otherwise than captured.
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
    """Return the events of several senders by the time of day that each recorded; equal times keep their order."""
    return pl.concat([events_table(capture, on_step) for capture in captures]).sort(
        "wall", maintain_order=True
    )


def messages_table(rows: pl.DataFrame) -> pl.DataFrame:
    """Return one row for each message of a sender: when it arrived, how it ended, how many attempts it took."""
    of_messages = rows.filter(pl.col("id").is_not_null())
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
        of_messages.with_columns(end=end)
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
    """Return the tables by name, from a folder of their parquet files or else from captures, one of each sender.

    Raises:
        QueryError: The files are no parquet files, or there is no capture.
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
            # A folder holds the files of one sender; a file that is named stands for a sender of its own.
            files_of_sender.setdefault(file.parent if path.is_dir() else file, []).append(file)
    if not files_of_sender:
        raise QueryError(f"{', '.join(map(str, paths))}: no capture there")
    rows = merge_events([CaptureFiles(files) for files in files_of_sender.values()], on_step)
    return {"events": rows, "messages": messages_table(rows)}


def store_tables(tables: dict[str, pl.DataFrame], folder: Path) -> list[Path]:
    """Write each table as a parquet file; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, frame in tables.items():
        frame.write_parquet(folder / f"{name}.parquet")
    return [folder / f"{name}.parquet" for name in tables]


def query(tables: dict[str, pl.DataFrame], sql: str) -> pl.DataFrame:
    """Return the result of an SQL query over `events` and `messages`.

    Raises:
        QueryError: The query is not valid, or its result is not a table.
    """
    try:
        with pl.SQLContext(frames=tables, eager=True) as context:
            found = context.execute(sql)
    except pl.exceptions.PolarsError as error:
        raise QueryError(str(error).splitlines()[0]) from None
    if not isinstance(found, pl.DataFrame):
        raise QueryError("the query gives no table")
    return found
