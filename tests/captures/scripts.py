"""Past failures of this project as scripts: each plays a small day against the module and is kept as a capture.

    python tests/captures/scripts.py            make the captures anew where the module was changed on purpose

A script says what it guards, and its property is looked for in what the module answered.  Blessing shows how the
answers differ from the captures that are kept, and refuses where a property is lost.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path
from typing import Any
from unittest import mock

FOLDER = Path(__file__).parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from conftest import Relay, entry

from kestreltrack.capture import records
from kestreltrack.capture.reader import Reader
from kestreltrack.capture.recorder import Recorder
from kestreltrack.capture.replay import replay
from kestreltrack.capture.writer import BlockingWriter as Patient
from kestreltrack.decision import (
    Action,
    AttemptEnded,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    Outcome,
    Policy,
    RejectMessage,
    Settings,
    StartAttempt,
)
from kestreltrack.telemetry import Telemetry

Answers = list[tuple[float, Action]]


@dataclass(frozen=True, slots=True)
class Script:
    """One past failure."""

    guards: str
    play: Callable[[Relay], None]
    holds: Callable[[Answers], bool]
    relays: int = 2


def sent(answers: Answers, id_: str = "") -> list[float]:
    """When something was sent: a message, or any."""
    return [at for at, a in answers if isinstance(a, StartAttempt) and id_ in ("", a.id)]


def ended(answers: Answers, id_: str) -> list[float]:
    """When a message got its final answer."""
    return [at for at, a in answers if isinstance(a, RejectMessage | FailMessage) and a.id == id_]


def came_back(relay: Relay) -> None:
    route = entry(2, kind="apart")  # its wait is its own, not its destination's
    relay.do(EndpointsUpdated([route], complete=False))
    relay.arrive(2, "keyed")
    relay.end("m1", Outcome.REJECTED, retry_after_ms=3000.0)
    relay.do(EndpointsUpdated([replace(route, lifecycle=EndpointLifecycle.REMOVED)], complete=False))
    relay.wait(200)
    relay.do(EndpointsUpdated([route], complete=False))
    relay.arrive(2, "keyed")
    relay.wait(5000)


def stale_breaks(relay: Relay) -> None:
    for n in range(1, 6):
        relay.arrive(1, "safe")
        relay.end(f"m{n}", Outcome.CONNECTION_BROKEN, stale_connection=True)
        relay.wait(20)


def short_lives(relay: Relay) -> None:
    for n in range(1, 16):
        relay.arrive(1, "safe", expires=relay.now + 700.0)
        relay.wait(550)
        if f"m{n}" in relay.tries:
            relay.end(f"m{n}", Outcome.TIMED_OUT, took=550.0)
        relay.wait(300)


def dead(relay: Relay) -> None:
    relay.arrive(1, "keyed")
    until = relay.now + 9000.0
    while relay.now < until:
        if relay.policy.in_flight:
            relay.end("m1", Outcome.UNREACHABLE, took=2.0)
        relay.wait(10)


def after_restart(relay: Relay) -> None:
    held = [relay.message(1, "keyed", attempts=1, ambiguous_since=-500.0) for _ in range(5)]
    relay.do(*held)
    relay.wait(500)
    relay.do(AttemptEnded("m1", 1, "e1", Outcome.OK, 100.0, True))  # its second attempt: one was made before
    relay.wait(3000)


def doubtful(relay: Relay) -> None:
    relay.arrive(1, "unsafe")
    relay.end("m1", Outcome.CONNECTION_BROKEN)
    relay.wait(2000)


def nowhere(relay: Relay) -> None:
    relay.arrive(9, "safe")
    relay.wait(10_100)


def drained(relay: Relay) -> None:
    relay.do(EndpointsUpdated([entry(1, "a"), entry(1, "b")], complete=True))
    relay.do(EndpointsUpdated([entry(1, "a", lifecycle=EndpointLifecycle.DRAINING)], complete=False))
    for _ in range(6):
        relay.arrive(1, "safe")
    relay.wait(200)


def each_second(answers: Answers) -> bool:
    tries = sent(answers)
    gaps = [b - a for a, b in pairwise(tries)]
    return 5 <= len(tries) <= 24 and max(gaps) <= 2100.0


SCRIPTS = {
    "wait-forgotten": Script(
        "a told wait was forgotten by an endpoint that went off the list and came back",
        came_back,
        lambda a: len(sent(a)) >= 2 and not [t for t in sent(a)[1:] if t <= 3000.0],
    ),
    "stale-breaks": Script(
        "kept connections that broke were taken as evidence of an outage",
        stale_breaks,
        lambda a: all(sent(a, f"m{n}")[:1] == [20.0 * (n - 1)] for n in range(1, 6)),
    ),
    "time-outs": Script(
        "attempts that timed out for want of time taught nothing, so that more of them were sent",
        short_lives,
        lambda a: len(sent(a, "m1")) == 1 and not sent(a, "m15") and len(ended(a, "m15")) == 1,
    ),
    "dead-destination": Script(
        "the end of an outage was noticed late: a dead destination is tried about each second",
        dead,
        each_second,
    ),
    "restart-trial": Script(
        "after a restart a sick destination got all its held messages at once, not a trial first",
        after_restart,
        lambda a: len([t for t in sent(a) if t < 500.0]) == 1 and len(sent(a)) >= 5,
    ),
    "doubt": Script(
        "what may have run and must not run twice is never sent again",
        doubtful,
        lambda a: len(sent(a, "m1")) == 1 and any(isinstance(x, FailMessage) for _, x in a),
    ),
    "late-end": Script(
        "a message was lost by an end that came too late: ends are told 150 ms early",
        nowhere,
        lambda a: len(ended(a, "m1")) == 1 and 9000.0 <= ended(a, "m1")[0] <= 9900.0,
    ),
    "drain": Script(
        "a drained endpoint gets nothing new while another one can",
        drained,
        lambda a: len(sent(a)) >= 4 and {x.endpoint for _, x in a if isinstance(x, StartAttempt)} == {"b"},
    ),
}


class Stepping(Recorder):
    """A witness in the place of a module that tests step by hand."""

    def step(self, now: float, events: list[Event]) -> Any:
        for event in events:
            self.handle(now, event)
        return self.decide(now)

    @property
    def messages(self) -> Any:
        return self.policy.messages

    @property
    def in_flight(self) -> int:
        return self.policy.in_flight


def make(name: str, folder: Path) -> Path:
    """Play one script; its capture, in a folder."""
    with tempfile.TemporaryDirectory() as place:
        writer = Patient(Path(place), 10**8, 1e9, print)

        def made(settings: Settings, seed: int) -> Stepping:
            return Stepping(Policy(settings, seed), writer, Telemetry(), name, True, 10**8)

        with mock.patch("conftest.Policy", made):
            relay = Relay(entry(1), sender_count=SCRIPTS[name].relays)
            SCRIPTS[name].play(relay)
        relay.policy.close(relay.now)  # type: ignore[attr-defined]
        (file,) = Path(place).iterdir()
        kept = folder / f"{name}.ktc"
        kept.write_bytes(file.read_bytes())
    return kept


def answers(file: Path) -> Answers:
    """What a capture says that the module answered."""
    return [
        (record.clock, action)
        for record in Reader(file).records()
        if record.kind == records.DECISION
        for action in records.decode_actions(record.payload)
    ]


def bless() -> int:
    """Make all anew; show what differs, keep nothing whose property is lost."""
    lost = 0
    with tempfile.TemporaryDirectory() as place:
        for name, script in SCRIPTS.items():
            made, kept = make(name, Path(place)), FOLDER / f"{name}.ktc"
            if not script.holds(answers(made)):
                print(f"{name}: NOT blessed: it no longer shows that {script.guards}")
                lost += 1
                continue
            before = answers(kept) if kept.exists() else []
            again = replay([kept]) if before else None
            same = before == answers(made) and again is not None and again.identical() and not again.faults
            if same:
                print(f"{name}: as it was")
                continue
            gone = [a for a in before if a not in answers(made)]
            come = [a for a in answers(made) if a not in before]
            print(
                f"{name}: blessed; {len(gone)} answers went, {len(come)} came; first: {gone[:1]} {come[:1]}"
            )
            kept.write_bytes(made.read_bytes())
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(bless())
