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
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Step, Tape
from kestreltrack.decision import Policy, api
from kestreltrack.snapshot.stored_forms import ACTION_NAMES, EVENT_NAMES

EVENTS: dict[str, Any] = {
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
TABLES = ("events", "messages")


class CannotQuery(Exception):
    """The query is not one, or the files are not."""


class _Columns:
    def __init__(self, tape: Tape) -> None:
        self.tape, self.rows = tape, list[tuple[Any, ...]]()
        self._player = Player(Policy, self._made)
        self._dest, self._tries = dict[str, int](), dict[str, int]()
        self._sender = ""

    def _made(self, policy: Policy) -> None:
        numbers = {id(dest): n for n, dest in policy.dests.items()}
        self._dest = {m.id: numbers.get(id(m.dest), -1) for m in policy.messages.values()}
        self._tries = {m.id: m.tries for m in policy.messages.values()}

    def hear(self, step: Step) -> None:
        record = step.record
        if record.kind == records.BEGAN:
            self._sender = record.what.sender
        elif record.kind == records.TOOK:
            self._event(step, record.what)
        elif record.kind == records.MARK:
            self._row(step, "Mark", text=record.words())
        if self._player.step(step) is not None:
            raise CannotQuery(
                f"{step.file}: record {step.number}: the present module does not do as captured"
            )
        if record.kind == records.DECIDED:
            for action in self._player.actions:
                self._action(step, action)

    def _row(
        self, step: Step, what: str, id_: str | None = None, dest: int | None = None, **more: Any
    ) -> None:
        now = step.record.clock
        self.rows.append(
            (
                self.tape.wall(now),
                self._sender,
                now,
                step.number,
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

    def _event(self, step: Step, event: api.Event) -> None:
        what = EVENT_NAMES[type(event)]
        if isinstance(event, api.Arrived):
            self._dest[event.id], self._tries[event.id] = event.dest, event.tries
            self._row(step, what, event.id, event.dest, cls=event.cls, tenant=event.tenant)
        elif isinstance(event, api.Ended):
            self._row(
                step,
                what,
                event.id,
                self._dest.get(event.id),
                endpoint=event.endpoint,
                attempt=event.attempt,
                outcome=event.outcome.value,
                over=event.over,
                took_ms=event.took_ms,
                wait_ms=event.wait_ms,
            )
        elif isinstance(event, api.Withdrawn):
            self._row(step, what, event.id, self._dest.get(event.id))
        elif isinstance(event, api.ListNews):
            for entry in event.entries:
                self._row(
                    step, "Listed", None, entry.dest, endpoint=entry.endpoint, text=entry.lifecycle.value
                )
        elif not isinstance(event, api.TimerDue):
            self._row(step, what, text=repr(event))

    def _action(self, step: Step, action: api.Action) -> None:
        what = ACTION_NAMES[type(action)]
        if isinstance(action, api.Send):
            attempt = self._tries.get(action.id, 0)
            self._tries[action.id] = attempt + 1
            self._row(
                step, what, action.id, self._dest.get(action.id), endpoint=action.endpoint, attempt=attempt
            )
        elif isinstance(action, api.Cancel):
            self._row(step, what, action.id, self._dest.get(action.id), attempt=action.attempt)
        elif isinstance(action, api.Refuse):
            self._row(step, what, action.id, self._dest.get(action.id), wait_ms=action.wait_ms)
        elif isinstance(action, api.Fail):
            self._row(step, what, action.id, self._dest.get(action.id))


def events(tape: Tape, seen: Callable[[Step], None] | None = None) -> pl.DataFrame:
    """All that happened, in true order; the module's answers come from a replay, which must be identical."""
    columns = _Columns(tape)
    for step in tape.walk():
        if seen:
            seen(step)
        columns.hear(step)
    return pl.DataFrame(columns.rows, schema=EVENTS, orient="row")


def merged(tapes: Sequence[Tape], seen: Callable[[Step], None] | None = None) -> pl.DataFrame:
    """Several senders on one time line, by the time of day that each wrote; equal times keep their order."""
    return pl.concat([events(tape, seen) for tape in tapes]).sort("wall", maintain_order=True)


def messages(rows: pl.DataFrame) -> pl.DataFrame:
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


def load(places: Sequence[Path], seen: Callable[[Step], None] | None = None) -> dict[str, pl.DataFrame]:
    """The tables, from folders that hold their parquet or else from captures, one of each sender."""
    from kestreltrack.capture.reader import files_of

    if len(places) == 1 and all((places[0] / f"{name}.parquet").is_file() for name in TABLES):
        try:
            return {name: pl.read_parquet(places[0] / f"{name}.parquet") for name in TABLES}
        except pl.exceptions.PolarsError as bad:
            raise CannotQuery(f"{places[0]}: {bad}") from None
    groups = dict[Path, list[Path]]()
    for place in places:
        for file in files_of([place]):
            groups.setdefault(file.parent if place.is_dir() else file, []).append(file)
    if not groups:
        raise CannotQuery(f"{', '.join(map(str, places))}: no capture there")
    rows = merged([Tape(files) for files in groups.values()], seen)
    return {"events": rows, "messages": messages(rows)}


def store(tables: dict[str, pl.DataFrame], folder: Path) -> list[Path]:
    """Each as a parquet file."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, frame in tables.items():
        frame.write_parquet(folder / f"{name}.parquet")
    return [folder / f"{name}.parquet" for name in tables]


def query(tables: dict[str, pl.DataFrame], text: str) -> pl.DataFrame:
    """SQL over `events` and `messages`; raises `CannotQuery`."""
    try:
        with pl.SQLContext(frames=tables, eager=True) as context:
            found = context.execute(text)
    except pl.exceptions.PolarsError as bad:
        raise CannotQuery(str(bad).splitlines()[0]) from None
    if not isinstance(found, pl.DataFrame):
        raise CannotQuery("the query gives no table")
    return found
