"""The life of one message out of a capture: each time it was passed over and why, each attempt, its end.

The block where the message is first named is found by its id in the blocks' raw bytes: each is decompressed but no
record is decoded, which for an hour of full load takes well under a second (`docs/capture.md` has the figures).  A
replay begins at the last checkpoint before it, with a module that watches this one message.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.records import ENCODE
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Place, Step, Tape
from kestreltrack.decision import api
from kestreltrack.explain.tracing import CalledOff, Chosen, GivenUp, Note, Passed, Traced, Watch


@dataclass(slots=True)
class Row:
    """One line of the sheet; `until` where it lasted."""

    clock: float
    what: str
    text: str
    until: float | None = None


@dataclass(slots=True)
class Life:
    """What there is to say of one message, from its arrival (or from where the capture begins) to its end."""

    id: str
    dest: int
    cls: str
    arrived: float
    expires: float
    due: float
    key: int | None = None
    tries_before: int = 0
    held_before: bool = False
    rows: list[Row] = field(default_factory=list)
    waited: Counter[str] = field(default_factory=Counter)
    """Milliseconds by rule."""
    attempts: int = 0
    end: str = ""
    ended: float | None = None
    parted: str = ""
    """Where the present module did otherwise than the capture says; the life ends there."""


def places(tape: Tape, id_: str) -> list[Place]:
    """The blocks that name a message."""
    needle = ENCODE(id_)
    return [
        Place(n, block)
        for n, reader in enumerate(tape.readers)
        for block, _, raw in reader.raw()
        if needle in raw
    ]


def lives(tape: Tape, id_: str) -> list[Life]:
    """Each time that a message of this id was held: a client may come again with it."""
    found, named = list[Life](), places(tape, id_)
    while named:
        teller = Teller(id_)
        last = named[0]
        for step in tape.walk(tape.before(named[0])):
            last = step.place
            if teller.hear(step):
                break
        teller.close()
        found += teller.lives
        # What is named again behind the end of this life is another one.
        named = [p for p in named if (p.file, p.block) > (last.file, last.block)]
    return found


class Teller:
    """Listens to a replay for one message."""

    def __init__(self, id_: str) -> None:
        """Nothing is known of it yet."""
        self.id, self.lives = id_, list[Life]()
        self._life: Life | None = None
        self._open: dict[int, tuple[float, str]] = {}
        self._spell: Row | None = None
        self._rule = ""
        self._player = Player(Traced, self._made)
        self._clock = 0.0

    def _made(self, policy: Traced) -> None:
        policy.watched(Watch(self._note, ids={self.id}))
        message = policy.messages.get(self.id)
        if message is not None and self._life is None:
            number, cls = policy.number(message.dest), message.cls
            name = next(n for n, c in policy.settings.classes.items() if c is cls)
            self._begin(
                Life(
                    self.id,
                    number,
                    name,
                    policy.now,
                    message.expires,
                    message.due,
                    tries_before=message.tries,
                    held_before=True,
                )
            )
            for (out, attempt), (call, _) in policy.calls.items():
                if out == self.id:
                    self._open[attempt] = (call.sent, call.endpoint.name)

    def _begin(self, life: Life) -> None:
        self._life = life
        self.lives.append(life)

    def hear(self, step: Step) -> bool:
        """One record; whether the life is over."""
        self._clock = step.record.clock or self._clock
        if step.anew and self._life is not None:
            self._life.parted = self._life.parted or "the capture has a gap here"
            return True
        life, record = self._life, step.record
        if record.kind == records.TOOK:
            self._event(record.clock, record.what)
        elif record.kind == records.MARK and life is not None:
            life.rows.append(Row(record.clock, "beside", record.words()))
        elif record.kind == records.PERMITTED and life is not None and not record.what:
            dest, endpoint = record.about
            if dest == life.dest and endpoint in {name for _, name in self._open.values()}:
                text = f"{endpoint}: no first byte any more, a wait or a drain came meanwhile"
                life.rows.append(Row(record.clock, "held back", text))
        differ = self._player.step(step)
        if differ is not None:
            if self._life is not None:
                expected, got = differ
                self._life.parted = (
                    f"the present module parts from the capture: expected {expected}, got {got}"
                )
            return self._life is not None
        life = self._life
        return life is not None and bool(life.end) and not self._open and record.kind == records.DECIDED

    def _event(self, now: float, event: api.Event) -> None:
        life = self._life
        if isinstance(event, api.Arrived) and event.id == self.id:
            if life is not None and not life.end:
                return
            policy = self._player.policy
            if policy is None:
                return
            cls = policy.settings.classes[event.cls]
            due = event.expires - cls.deadline_ms + cls.aim_ms
            self._begin(Life(self.id, event.dest, event.cls, now, event.expires, due, event.key, event.tries))
            return
        if life is None:
            return
        if isinstance(event, api.Ended) and event.id == self.id and event.attempt in self._open:
            self._ended(life, now, event)
        elif isinstance(event, api.Withdrawn) and event.id == self.id:
            life.end, life.ended = life.end or "withdrawn by its client", life.ended or now
        elif isinstance(event, api.ListNews):
            for entry in event.entries if not event.whole else ():
                if entry.dest == life.dest:
                    life.rows.append(Row(now, "list", f"{entry.endpoint} is {entry.lifecycle.value}"))
        elif isinstance(event, api.WaitHeard) and event.dest == life.dest:
            life.rows.append(
                Row(now, "beside", f"another caller was told to wait {event.until - now:.0f} ms")
            )
        elif isinstance(event, api.Granted) and event.dest == life.dest:
            life.rows.append(
                Row(now, "beside", f"the fleet lends {event.share:.0%} of what its destination bears")
            )
        elif isinstance(event, api.Found) and event.dest == life.dest:
            says = f"up for {now - event.since:.0f} ms" if event.up else "out"
            life.rows.append(Row(now, "beside", f"the fleet holds its destination to be {says}"))
        elif isinstance(event, api.Stopping):
            life.rows.append(
                Row(now, "beside", f"the sender stops, in {event.ends - now:.0f} ms at the latest")
            )

    def _ended(self, life: Life, now: float, event: api.Ended) -> None:
        sent, _ = self._open.pop(event.attempt)
        more = [f"told to wait {event.wait_ms:.0f} ms"] if event.wait_ms else []
        more += ["the connection was kept from before and may have ended on its own"] if event.stale else []
        more += [f"{event.left:.0%} of the limit left"] if event.left is not None else []
        if event.outcome.may_have_run() and event.outcome is not api.Outcome.OK:
            more.append("may have run")
        how = f"{event.endpoint}: {event.outcome.value} after {event.took_ms:.0f} ms"
        text = ", ".join([how, *more])
        life.rows.append(Row(sent, f"attempt {event.attempt}", text, now))
        if event.over and not life.end:
            life.end = "delivered" if event.outcome is api.Outcome.OK else f"over with {event.outcome.value}"
            life.ended = now

    def _note(self, now: float, note: Note) -> None:
        life = self._life
        if life is None or getattr(note, "id", self.id) != self.id:
            return
        if isinstance(note, Passed):
            self._passed(life, now, note)
            return
        self._close_spell(now)
        if isinstance(note, Chosen):
            life.attempts += 1
            self._open[note.attempt] = (now, note.endpoint)
            others = "; ".join(
                f"{name} {cost:.0f} ms" for name, cost in sorted(note.others, key=lambda o: o[1])
            )
            text = f"to {note.endpoint}, expected {note.cost_ms:.0f} ms" + (
                f", others: {others}" if others else ""
            )
            life.rows.append(Row(now, f"sent {note.attempt}", text + (", as a trial" if note.trial else "")))
        elif isinstance(note, CalledOff):
            full = ", all slots taken" if note.full else ""
            text = f"silent for {note.spans:.1f} times what counts as overdue{full}"
            life.rows.append(Row(now, "called off", text))
        elif isinstance(note, GivenUp):
            life.end = "refused: trying again is harmless" if note.harmless else "failed, with no promise"
            life.end, life.ended = f"{life.end} ({note.why})", now

    def _passed(self, life: Life, now: float, note: Passed) -> None:
        if self._spell is not None and self._rule == note.rule:
            life.waited[self._rule] += now - (self._spell.until or now)  # type: ignore[assignment]
            self._spell.until = now
            return
        self._close_spell(now)
        self._spell, self._rule = Row(now, "passed over", f"{note.rule}: {note.detail}", now), note.rule
        life.rows.append(self._spell)

    def _close_spell(self, now: float) -> None:
        if self._spell is not None and self._life is not None:
            self._life.waited[self._rule] += now - (self._spell.until or now)  # type: ignore[assignment]
            self._spell.until = now
        self._spell = None

    def close(self) -> None:
        """The walk is over: what is open stays so."""
        self._close_spell(self._clock)
        if self._life is not None:
            for attempt, (sent, endpoint) in self._open.items():
                self._life.rows.append(Row(sent, f"attempt {attempt}", f"{endpoint}: still out", None))
            self._life.rows.sort(key=lambda row: row.clock)


def plain(tape: Tape, life: Life) -> dict[str, Any]:
    """For programs: times in ms since its arrival, and of the day."""
    zero = life.arrived
    return {
        "id": life.id,
        "dest": life.dest,
        "class": life.cls,
        "key": life.key,
        "arrived": tape.wall(zero).isoformat(),
        "expires_ms": life.expires - zero,
        "aim_ms": life.due - zero,
        "held_before": life.held_before,
        "tries_before": life.tries_before,
        "attempts": life.attempts,
        "end": life.end or None,
        "ended_ms": None if life.ended is None else life.ended - zero,
        "waited_ms": {rule: round(ms, 3) for rule, ms in life.waited.items()},
        "parted": life.parted or None,
        "rows": [
            {
                "at_ms": row.clock - zero,
                "until_ms": None if row.until is None else row.until - zero,
                "what": row.what,
                "text": row.text,
            }
            for row in life.rows
        ],
    }
