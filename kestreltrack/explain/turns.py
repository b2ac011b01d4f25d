"""What became of one destination over a capture: turns of its health, and what its messages waited for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Step, Tape
from kestreltrack.decision import api
from kestreltrack.explain.tracing import CalledOff, Chosen, GivenUp, Health, Note, Passed, Traced, Watch


@dataclass(slots=True)
class Turn:
    """Something changed."""

    clock: float
    where: str
    state: str
    detail: str


@dataclass(slots=True)
class Turns:
    """A destination from its first record to its last."""

    dest: int
    turns: list[Turn] = field(default_factory=list)
    arrived: int = 0
    attempts: int = 0
    trials: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    waited: Counter[str] = field(default_factory=Counter)
    """Milliseconds that messages waited, all together, by rule."""
    most_held: int = 0
    most_out: int = 0
    span: tuple[float, float] = (0.0, 0.0)
    parted: str = ""


def turns(
    tape: Tape,
    dest: int,
    since: float | None = None,
    until: float | None = None,
    seen: Callable[[Step], None] | None = None,
) -> Turns:
    """Replay with a module that watches one destination; begins at the last checkpoint before `since`."""
    listener = _Listener(dest, since)
    start = tape.at(since) if since is not None else None
    for step in tape.walk(start, until):
        if seen:
            seen(step)
        if not listener.hear(step):
            break
    return listener.close()


class _Listener:
    def __init__(self, dest: int, since: float | None) -> None:
        self.found, self._since = Turns(dest), since
        self._player = Player(Traced, self._made)
        self._passed: dict[str, tuple[str, float]] = {}
        self._ids = set[str]()
        self._clock, self._first = 0.0, None if since is None else since

    def _made(self, policy: Traced) -> None:
        policy.watched(Watch(self._note, dests={self.found.dest}))
        dest = policy.dests.get(self.found.dest)
        self._ids = {id_ for id_, m in policy.messages.items() if m.dest is dest}
        self._ids |= {id_ for (id_, _), (c, _) in policy.calls.items() if c.endpoint.dest is dest}

    def hear(self, step: Step) -> bool:
        """One record; whether to go on."""
        record = step.record
        self._clock = record.clock or self._clock
        if self._first is None and record.clock:
            self._first = record.clock
        if step.anew:
            self._passed.clear()
            if step.number:
                self._turn(self._clock, "", "gap", "the capture begins anew here")
        if record.kind == records.TOOK:
            self._event(record.clock, record.what)
        elif record.kind == records.MARK:
            self._turn(record.clock, "", "beside", record.words())
        differ = self._player.step(step)
        if differ is not None:
            self.found.parted = f"at {self._clock:.0f} ms: expected {differ[0]}, got {differ[1]}"
            return False
        policy = self._player.policy
        if record.kind == records.DECIDED and policy is not None and self._counts(self._clock):
            state = policy.dests.get(self.found.dest)
            if state is not None:
                self.found.most_held = max(self.found.most_held, len(state.held))
                self.found.most_out = max(self.found.most_out, state.out)
        return True

    def _counts(self, now: float) -> bool:
        return self._since is None or now >= self._since

    def _turn(self, now: float, where: str, state: str, detail: str) -> None:
        if self._counts(now):
            self.found.turns.append(Turn(now, where, state, detail))

    def _event(self, now: float, event: api.Event) -> None:
        found = self.found
        if isinstance(event, api.Arrived) and event.dest == found.dest:
            self._ids.add(event.id)
            found.arrived += self._counts(now)
        elif isinstance(event, api.Ended) and event.id in self._ids and self._counts(now):
            found.outcomes[event.outcome.value] += 1
            if event.over:
                found.ends["delivered" if event.outcome is api.Outcome.OK else event.outcome.value] += 1
        elif isinstance(event, api.Withdrawn) and event.id in self._ids:
            self._leave(now, event.id)
            found.ends["withdrawn"] += self._counts(now)
        elif isinstance(event, api.ListNews) and not event.whole:
            for entry in event.entries:
                if entry.dest == found.dest:
                    self._turn(now, entry.endpoint, "list", entry.lifecycle.value)

    def _note(self, now: float, note: Note) -> None:
        found = self.found
        if isinstance(note, Passed):
            rule, since = self._passed.get(note.id, ("", now))
            if rule and self._counts(now):
                found.waited[rule] += now - since  # type: ignore[assignment]
            self._passed[note.id] = (note.rule, now)
        elif isinstance(note, Chosen):
            self._leave(now, note.id)
            found.attempts += self._counts(now)
            found.trials += note.trial and self._counts(now)
        elif isinstance(note, GivenUp):
            self._leave(now, note.id)
            found.ends[f"{'refused' if note.harmless else 'failed'}: {note.why}"] += self._counts(now)
        elif isinstance(note, CalledOff):
            self._turn(
                now, "", "called off", f"{note.id}: silent for {note.spans:.1f} times what counts as overdue"
            )
        elif isinstance(note, Health):
            self._turn(now, note.endpoint, note.state, note.detail)

    def _leave(self, now: float, id_: str) -> None:
        rule, since = self._passed.pop(id_, ("", now))
        if rule and self._counts(now):
            self.found.waited[rule] += now - since  # type: ignore[assignment]

    def close(self) -> Turns:
        self.found.span = (self._first or 0.0, self._clock)
        return self.found


def plain(tape: Tape, found: Turns) -> dict[str, Any]:
    """For programs."""
    zero = tape.origin()[0]
    return {
        "dest": found.dest,
        "from": tape.wall(found.span[0]).isoformat(),
        "span_ms": found.span[1] - found.span[0],
        "arrived": found.arrived,
        "attempts": found.attempts,
        "trials": found.trials,
        "outcomes": dict(found.outcomes),
        "ends": dict(found.ends),
        "waited_ms": {rule: round(ms, 1) for rule, ms in found.waited.items()},
        "most_held": found.most_held,
        "most_out": found.most_out,
        "parted": found.parted or None,
        "turns": [
            {"at_ms": turn.clock - zero, "where": turn.where, "state": turn.state, "detail": turn.detail}
            for turn in found.turns
        ],
    }
