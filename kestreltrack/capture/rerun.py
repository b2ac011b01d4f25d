"""A day out of a capture that is played anew, whole or in part, so that its answers are consistent again.

A capture's answers fit its input alone: without one message the module sends the others at other moments.  So the
input is taken apart into what does not hang on the module (arrivals, withdrawals, lists, the stop) and what answers
its sends: how long each attempt took and how it ended.  The module then runs on a clock of its own against that; an
attempt that the capture does not know ends as the last one of its endpoint did.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from kestreltrack.capture import blocks, records
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Tape
from kestreltrack.decision import Policy, api
from kestreltrack.decision.api import Outcome
from kestreltrack.snapshot.policy import restore, take
from kestreltrack.snapshot.state import PolicyState, decode, encode

STEP_MS = 5.0  # between decisions, as the desk of the sender has it
USUAL_MS = 50.0  # of an attempt at an endpoint that never answered in the capture
CANCEL_MS = 0.1  # until a cancelled attempt has ended
MOST_STEPS = 50_000_000  # a module that never comes to rest ends here


class CannotRerun(Exception):
    """The capture is not one that can be played anew."""


@dataclass(frozen=True, slots=True)
class Answer:
    """How one attempt went."""

    after_ms: float
    ended: api.Ended


@dataclass(frozen=True, slots=True)
class Day:
    """A capture's input, apart from the module."""

    state: PolicyState
    began: records.Began
    outside: tuple[tuple[float, api.Event], ...]
    answers: dict[tuple[str, int], Answer]
    clock: float
    """That of the checkpoint: a module that was told nothing yet has none of its own."""
    until: float

    def ids(self) -> list[str]:
        """The messages that arrive, in order."""
        return [event.id for _, event in self.outside if isinstance(event, api.Arrived)]

    def dests(self) -> list[int]:
        """The destinations that there are."""
        known = dict.fromkeys(d.number for d in self.state.dests)
        for _, event in self.outside:
            if isinstance(event, api.Arrived):
                known[event.dest] = None
            elif isinstance(event, api.ListNews):
                known.update(dict.fromkeys(entry.dest for entry in event.entries))
        return list(known)


def day(files: list[Path], since: str | None = None, until: str | None = None) -> Day:
    """Take a capture apart; it must be one without gaps, and the present module must do as captured."""
    tape, player = Tape(files), Player(Policy)
    outside = list[tuple[float, api.Event]]()
    answers, sent = dict[tuple[str, int], Answer](), dict[tuple[str, int], float]()
    tries = dict[str, int]()
    began: records.Began | None = None
    state: PolicyState | None = None
    last = clock = 0.0
    for step in tape.walk(
        tape.at(tape.clock(since)) if since else None, tape.clock(until) if until else None
    ):
        record = step.record
        if record.kind == records.BEGAN and began is None:
            began = record.what
        if step.anew and state is not None:
            raise CannotRerun(
                f"{step.file}: a gap before record {step.number}: name the files behind it alone"
            )
        if record.kind == records.CHECKPOINT and state is None:
            state, clock = decode(record.what), record.clock
            tries = {m.id: m.tries for m in state.messages}
            for call in state.calls:
                sent.update({(id_, attempt): call.sent for id_, attempt in call.parts.items()})
        if record.kind == records.TOOK:
            _sort(record.clock, record.what, outside, answers, sent, tries)
        if player.step(step) is not None:
            raise CannotRerun(
                f"{step.file}: record {step.number}: the present module does not do as captured"
            )
        if record.kind == records.DECIDED:
            for action in player.actions:
                if isinstance(action, api.Send):
                    sent[action.id, tries.get(action.id, 0)] = record.clock
                    tries[action.id] = tries.get(action.id, 0) + 1
        last = record.clock or last
    if state is None:
        raise CannotRerun("it holds no checkpoint to begin with")
    head = began or records.Began(records.FORM, "", "", "", 0.0, True)
    return Day(state, head, tuple(outside), answers, clock, last)


def _sort(
    now: float,
    event: api.Event,
    outside: list[tuple[float, api.Event]],
    answers: dict[tuple[str, int], Answer],
    sent: dict[tuple[str, int], float],
    tries: dict[str, int],
) -> None:
    if isinstance(event, api.Ended):
        at = sent.pop((event.id, event.attempt), None)
        if at is not None:
            answers[event.id, event.attempt] = Answer(now - at, event)
    elif not isinstance(event, api.TimerDue):
        if isinstance(event, api.Arrived):
            tries[event.id] = event.tries
        outside.append((now, event))


# Playing -------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Played:
    """What came of it: all that the module was told and answered, in order."""

    settings: api.Settings
    state: PolicyState
    began: records.Began
    clock: float
    steps: list[tuple[float, api.Event | list[api.Action]]] = field(default_factory=list)

    def answers(self) -> Iterator[tuple[float, api.Action]]:
        """Each action with its clock."""
        for now, what in self.steps:
            if isinstance(what, list):
                for action in what:
                    yield now, action

    def keep(self, file: Path) -> None:
        """As a capture of one file, which the module that played it replays identically."""
        began = self.began
        rows = [
            records.began(began.sender, began.wall_ms, True, 0, began.hashed),
            records.checkpoint(self.clock, encode(self.state)),
        ]
        for now, what in self.steps:
            rows.append(
                records.decided(now, what, True) if isinstance(what, list) else records.took(now, what)
            )
        with file.open("wb") as out:
            out.write(blocks.MAGIC)
            for at in range(0, len(rows), 2000):
                clocks = [now for now, _ in self.steps[max(0, at - 2) : at + 1998]] or [self.clock]
                out.write(blocks.pack(rows[at : at + 2000], at, clocks[0], clocks[-1], at == 0))


class _World:
    """The clock, and what is still to come."""

    def __init__(self, played_day: Day, policy: Policy) -> None:
        self.day, self.policy = played_day, policy
        self.played = Played(policy.settings, take(policy), played_day.began, played_day.clock)
        self._coming = list[tuple[float, int, str, Any]]()
        self._order = 0
        self._tries = {m.id: m.tries for m in policy.messages.values()}
        self._out = dict[tuple[str, int], tuple[float, str]]()
        self._over = set[str]()
        self._last = dict[str, Answer]()  # by endpoint
        for at, event in played_day.outside:
            self._push(at, "event", event)
        for (id_, attempt), (call, _) in policy.calls.items():
            self._goes(call.sent, id_, attempt, call.endpoint.name, 60_000.0)
        if policy.ticking:
            self._push(played_day.clock + STEP_MS, "event", api.TimerDue(0))

    def _push(self, at: float, what: str, about: Any) -> None:
        self._order += 1
        heapq.heappush(self._coming, (at, self._order, what, about))

    def run(self) -> Played:
        """To the end of the day, and until nothing is owed any more."""
        policy, decided, due = self.policy, self.day.clock, False
        end = self.day.until
        for _ in range(MOST_STEPS):
            if not self._coming:
                break
            at, _, what, about = heapq.heappop(self._coming)
            if at > end and not (policy.messages or self._out):
                break
            now = max(at, policy.now, self.day.clock)
            if what == "decide":
                due, decided = False, now
                actions = list(policy.decide(now))
                self.played.steps.append((now, actions))
                for action in actions:
                    self._act(now, action)
                continue
            event = self._ended(now, *about) if what == "ended" else about
            if event is None or self._void(event):
                continue
            self.played.steps.append((now, event))
            policy.take(now, event)
            if not due:
                due = True
                self._push(max(now, decided + STEP_MS), "decide", None)
        return self.played

    def _void(self, event: api.Event) -> bool:
        """A client takes back what is over already, or a message that was left out."""
        if isinstance(event, api.Arrived):
            self._tries[event.id] = event.tries
            self._over.discard(event.id)
        elif isinstance(event, api.Withdrawn):
            void = event.id not in self.policy.messages
            self._over.add(event.id)
            return void
        return False

    def _act(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.Send):
            attempt = self._tries.get(action.id, 0)
            self._tries[action.id] = attempt + 1
            self._goes(now, action.id, attempt, action.endpoint, action.timeout_ms)
        elif isinstance(action, api.Cancel):
            if (action.id, action.attempt) in self._out:
                self._push(now + CANCEL_MS, "ended", (action.id, action.attempt, Outcome.CANCELLED, None))
        elif isinstance(action, api.Refuse | api.Fail):
            self._over.add(action.id)
        elif isinstance(action, api.Wake):
            self._push(now + action.after_ms, "event", api.TimerDue(action.token))

    def _goes(self, now: float, id_: str, attempt: int, endpoint: str, timeout_ms: float) -> None:
        self._out[id_, attempt] = (now, endpoint)
        answer = self.day.answers.get((id_, attempt)) or self._last.get(endpoint)
        if answer is None:
            answer = Answer(USUAL_MS, api.Ended(id_, attempt, endpoint, Outcome.OK, USUAL_MS, True))
        outcome = answer.ended.outcome
        if answer.after_ms > timeout_ms or outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            self._push(now + timeout_ms, "ended", (id_, attempt, Outcome.TIMED_OUT, None))
        else:
            self._last[endpoint] = answer
            self._push(now + answer.after_ms, "ended", (id_, attempt, outcome, answer.ended))

    def _ended(
        self, now: float, id_: str, attempt: int, outcome: Outcome, like: api.Ended | None
    ) -> api.Event | None:
        """The end of an attempt; none where it has ended before."""
        found = self._out.pop((id_, attempt), None)
        if found is None:
            return None
        sent, endpoint = found
        over = outcome is Outcome.OK or id_ in self._over
        if over:
            self._over.add(id_)
        plain = api.Ended(id_, attempt, endpoint, outcome, now - sent, over)
        if like is None:
            return plain
        return replace(plain, wait_ms=like.wait_ms, left=like.left, limit=like.limit, stale=like.stale)


def rerun(played_day: Day, kind: Callable[[PolicyState], Policy] = restore) -> Played:
    """Play a day with a module that begins in its state."""
    return _World(played_day, kind(played_day.state)).run()
