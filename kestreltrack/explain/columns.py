"""A capture as columns: one row for each thing that happened, one for each message; parquet, and SQL over it.

polars writes parquet and runs the SQL; duckdb was weighed and does both too, but polars builds its frames from
Python lists directly, where duckdb wants another library for that.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import polars as pl

from kestreltrack.capture import records
from kestreltrack.capture.cursor import CaptureFiles, Step
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


class QueryError(Exception):
    """The query is not one, or the files are not."""


class _EventTableBuilder:
    def __init__(self, tape: CaptureFiles) -> None:
        self.tape, self.rows = tape, list[tuple[Any, ...]]()
        self._player = Replayer(Policy, self._on_restored)
        self._dest, self._attempts = dict[str, int](), dict[str, int]()
        self._sender = ""

    def _on_restored(self, policy: Policy) -> None:
        numbers = {id(dest): n for n, dest in policy.destinations.items()}
        self._dest = {m.id: numbers.get(id(m.destination), -1) for m in policy.messages.values()}
        self._attempts = {m.id: m.attempts for m in policy.messages.values()}

    def handle_step(self, step: Step) -> None:
        record = step.record
        if record.kind == records.FILE_HEADER:
            self._sender = record.payload.sender
        elif record.kind == records.EVENT:
            self._event(step, record.payload)
        elif record.kind == records.MARK:
            self._add_row(step, "Mark", text=record.mark_text())
        if self._player.apply_step(step) is not None:
            raise QueryError(
                f"{step.file}: record {step.record_number}: the present module does not do as captured"
            )
        if record.kind == records.DECISION:
            for action in self._player.last_actions:
                self._action(step, action)

    def _add_row(
        self, step: Step, what: str, id_: str | None = None, dest: int | None = None, **more: Any
    ) -> None:
        now = step.record.clock
        self.rows.append(
            (
                self.tape.wall_time(now),
                self._sender,
                now,
                step.record_number,
                what,
                id_,
                dest,
                more.get("cls"),
                more.get("tenant"),
                more.get("endpoint"),
                more.get("attempt"),
                more.get("outcome"),
                more.get("over"),
                more.get("took_ms"),
                more.get("wait_ms"),
                more.get("text"),
            )
        )

    def _event(self, step: Step, event: Event) -> None:
        what = EVENT_NAMES[type(event)]
        if isinstance(event, MessageArrived):
            self._dest[event.id], self._attempts[event.id] = event.dest, event.attempts
            self._add_row(step, what, event.id, event.dest, cls=event.cls, tenant=event.tenant)
        elif isinstance(event, AttemptEnded):
            self._add_row(
                step,
                what,
                event.id,
                self._dest.get(event.id),
                endpoint=event.endpoint,
                attempt=event.attempt,
                outcome=event.outcome.value,
                over=event.final,
                took_ms=event.duration_ms,
                wait_ms=event.retry_after_ms,
            )
        elif isinstance(event, MessageWithdrawn):
            self._add_row(step, what, event.id, self._dest.get(event.id))
        elif isinstance(event, EndpointsUpdated):
            for entry in event.entries:
                self._add_row(
                    step, "Listed", None, entry.dest, endpoint=entry.endpoint, text=entry.lifecycle.value
                )
        elif not isinstance(event, TimerExpired):
            self._add_row(step, what, text=repr(event))

    def _action(self, step: Step, action: Action) -> None:
        what = ACTION_NAMES[type(action)]
        if isinstance(action, StartAttempt):
            attempt = self._attempts.get(action.id, 0)
            self._attempts[action.id] = attempt + 1
            self._add_row(
                step, what, action.id, self._dest.get(action.id), endpoint=action.endpoint, attempt=attempt
            )
        elif isinstance(action, CancelAttempt):
            self._add_row(step, what, action.id, self._dest.get(action.id), attempt=action.attempt)
        elif isinstance(action, RejectMessage):
            self._add_row(step, what, action.id, self._dest.get(action.id), wait_ms=action.retry_after_ms)
        elif isinstance(action, FailMessage):
            self._add_row(step, what, action.id, self._dest.get(action.id))


def events_table(capture: CaptureFiles, on_step: Callable[[Step], None] | None = None) -> pl.DataFrame:
    """All that happened, in true order; the module's answers come from a replay, which must be identical."""
    columns = _EventTableBuilder(capture)
    for step in capture.steps():
        if on_step:
            on_step(step)
        columns.handle_step(step)
    return pl.DataFrame(columns.rows, schema=EVENT_SCHEMA, orient="row")


def merge_events(
    captures: Sequence[CaptureFiles], on_step: Callable[[Step], None] | None = None
) -> pl.DataFrame:
    """Several senders on one time line, by the time of day that each wrote; equal times keep their order."""
    return pl.concat([events_table(tape, on_step) for tape in captures]).sort("wall", maintain_order=True)


def messages_table(rows: pl.DataFrame) -> pl.DataFrame:
    """One row a message of a sender: when it came, how it ended, what it took."""
    about = rows.filter(pl.col("id").is_not_null())
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
        about.with_columns(end=end)
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
    """The tables, from folders that hold their parquet or else from captures, one of each sender."""
    from kestreltrack.capture.reader import capture_files

    if len(paths) == 1 and all((paths[0] / f"{name}.parquet").is_file() for name in TABLE_NAMES):
        try:
            return {name: pl.read_parquet(paths[0] / f"{name}.parquet") for name in TABLE_NAMES}
        except pl.exceptions.PolarsError as bad:
            raise QueryError(f"{paths[0]}: {bad}") from None
    groups = dict[Path, list[Path]]()
    for place in paths:
        for file in capture_files([place]):
            groups.setdefault(file.parent if place.is_dir() else file, []).append(file)
    if not groups:
        raise QueryError(f"{', '.join(map(str, paths))}: no capture there")
    rows = merge_events([CaptureFiles(files) for files in groups.values()], on_step)
    return {"events": rows, "messages": messages_table(rows)}


def store_tables(tables: dict[str, pl.DataFrame], folder: Path) -> list[Path]:
    """Each as a parquet file."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, frame in tables.items():
        frame.write_parquet(folder / f"{name}.parquet")
    return [folder / f"{name}.parquet" for name in tables]


def query(tables: dict[str, pl.DataFrame], sql: str) -> pl.DataFrame:
    """SQL over `events` and `messages`; raises `CannotQuery`."""
    try:
        with pl.SQLContext(frames=tables, eager=True) as context:
            found = context.execute(sql)
    except pl.exceptions.PolarsError as bad:
        raise QueryError(str(bad).splitlines()[0]) from None
    if not isinstance(found, pl.DataFrame):
        raise QueryError("the query gives no table")
    return found
