"""The rules over a whole world, as a listener of its stream; each breach is kept with its time.

The wording is the brief's and the protocol's; the figures come with the scenario.  What a sender cannot know is not
held against it: a drain counts from when it was told, a wait from when its answer came.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from kestreltrack.rules.happened import (
    Answered,
    Asked,
    Attempt,
    Born,
    Died,
    Effect,
    Ended,
    Event,
    Fell,
    Listed,
    TakenOn,
    Went,
)

CAP, CAP_SICK = 0.75, 0.5  # of the slots, as the design page has them
OUTAGES = ("hangs", "shuts", "unreachable", "refuses", "vanishes", "fails")
DOUBT = ("error", "timed out", "broken", "cancelled")  # after which it may have run
SICK_MS = 2000.0  # after which nothing that was decided before can be on its way any more
MOST = 1000  # breaches that are kept
BACK_MS = 1500.0  # after a sender is back, what fell due while it was away is not overdue (the protocol)


@dataclass(frozen=True, slots=True)
class Figures:
    """What the rules are told: times in ms, the effect of each class (`safe`, `keyed`, `unsafe`)."""

    drain_grace_ms: float
    answer_slack_ms: float
    try_limit: int
    effects: Mapping[str, str]
    windows: Mapping[str, float] = field(default_factory=dict)
    """How long a keyed class is remembered from its first attempt that may have run; for ever where none is told."""
    in_zone: frozenset[str] = frozenset()
    """Keyed classes that only endpoints of one zone remember."""


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule."""

    at: float
    rule: str
    text: str


@dataclass(slots=True)
class _Taken:
    deadline: float
    cls: str
    ends: int = 0
    out: int = -1
    """The sender that has an attempt out, or -1."""
    attempts: int = 0
    sent: float = 0.0
    zone: str = ""
    """When and where to the last attempt went,"""
    doubt: tuple[float, str] | None = None
    """and the first one that may have run."""

    def may_have_run(self) -> None:
        """The last attempt may."""
        self.out, self.doubt = -1, self.doubt or (self.sent, self.zone)


class Rules:
    """All of them; `breaches` are what was found, `checked` how often each rule had something to look at."""

    def __init__(self, figures: Figures, slots: int) -> None:
        """Nothing has happened yet; `slots` of each sender."""
        self.figures, self.slots = figures, slots
        self.breaches = list[Breach]()
        self.checked = Counter[str]()
        self._effect_of = figures.effects
        self._asked = dict[str, Asked]()
        self._taken = dict[str, _Taken]()
        self._gone = dict[tuple[int, str], float]()
        self.apart = frozenset[int]()
        """Partners whose endpoints are routes apart: waits bind one, and each goes out and comes back alone."""
        self._waits = dict[tuple[int, int | str], float]()
        self._effects = Counter[str]()
        self._back = dict[int, float]()  # when a sender began last
        self._sick = dict[tuple[int, int], float]()
        # Partners, or endpoints where not all of a partner's: that are away or were, and senders that saw them fail.
        self._outage = set[int | str]()
        self._saw = defaultdict[int | str, set[int]](set)

    def _broken(self, now: float, rule: str, text: str) -> None:
        if len(self.breaches) < MOST:
            self.breaches.append(Breach(now, rule, text))

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, Asked):
            self._asked[event.id] = event
        elif isinstance(event, TakenOn):
            self._taken[event.id] = _Taken(self._asked[event.id].deadline, self._asked[event.id].cls)
        elif isinstance(event, Attempt):
            self._attempt(now, event)
        elif isinstance(event, Answered):
            self._answered(now, event)
        elif isinstance(event, Ended):
            self._ended(now, event.id, event.sender, event.how)
        elif isinstance(event, Effect):
            self._effect(now, event)
        elif isinstance(event, Listed):
            if event.state == "up":
                self._gone.pop((event.sender, event.endpoint), None)
            else:
                self._gone.setdefault((event.sender, event.endpoint), now)
        elif isinstance(event, Fell):
            self._fell(now, event)
        elif isinstance(event, Died):
            self._died(event.sender)
        elif isinstance(event, Born):
            self._back[event.sender] = now
        elif isinstance(event, Went) and event.what in OUTAGES and event.begins:
            struck: list[int | str] = [*event.endpoints] or [
                int(n) for n in filter(None, event.who.split(", "))
            ]
            for one in struck:
                self._outage.add(one)
                self._saw[one].clear()

    def _attempt(self, now: float, event: Attempt) -> None:
        taken = self._taken.get(event.id)
        if taken is None:
            taken = self._taken[event.id] = _Taken(self._asked[event.id].deadline, self._asked[event.id].cls)
        self.checked["one attempt at a time"] += 1
        if taken.out >= 0:
            self._broken(
                now, "one attempt at a time", f"{event.id}: sender {event.sender} while {taken.out} has one"
            )
        self._doubtful(now, event, taken)
        taken.out, taken.sent, taken.zone = event.sender, now, event.zone
        taken.attempts += 1
        if taken.ends:
            self._broken(now, "one final answer", f"{event.id}: an attempt after its end")
        if taken.attempts > self.figures.try_limit:
            self._broken(now, "attempts within the limit", f"{event.id}: attempt {taken.attempts}")
        gone = self._gone.get((event.sender, event.endpoint))
        if gone is not None:
            self.checked["drains kept"] += 1
            if now - gone > self.figures.drain_grace_ms:
                text = f"sender {event.sender} to {event.endpoint} {now - gone:.0f} ms after it was told"
                self._broken(now, "drains kept", text)
        wait = self._waits.get((event.sender, self._bound(event)))
        if wait is not None:
            self.checked["waits heeded"] += 1
            if now < wait:
                text = f"sender {event.sender} to partner {event.dest} {wait - now:.0f} ms too early"
                self._broken(now, "waits heeded", text)
        self.checked["cap"] += 1
        most = max(1, int(self.slots * CAP))
        if event.out > most:
            text = (
                f"sender {event.sender} has {event.out} calls out to partner {event.dest}, {most} at the most"
            )
            self._broken(now, "cap", text)
        # Calls decided before it fell sick may still be on their way to their first byte.
        key = (event.sender, event.dest)
        since = self._sick.setdefault(key, now) if event.sick else self._sick.pop(key, now)
        if event.sick and now - since > SICK_MS and event.out > max(1, int(self.slots * CAP_SICK)):
            self._broken(
                now, "isolation", f"sender {event.sender}: {event.out} calls to sick partner {event.dest}"
            )

    def _bound(self, event: Attempt | Answered) -> int | str:
        """What a told wait binds."""
        return event.endpoint if event.dest in self.apart else event.dest

    def _doubtful(self, now: float, event: Attempt, taken: _Taken) -> None:
        """Whether what may have run goes only where and while a repeat does no harm."""
        effect = self._effect_of[taken.cls]
        if taken.doubt is None or effect == "safe":
            return
        at, zone = taken.doubt
        if effect == "unsafe":
            self._broken(now, "repeats within allowance", f"{event.id}: sent again though it may have run")
        elif now - at > self.figures.windows.get(taken.cls, float("inf")):
            text = f"{event.id}: sent again {now - at:.0f} ms after the attempt that may have run"
            self._broken(now, "repeats within allowance", text)
        elif taken.cls in self.figures.in_zone and zone != event.zone:
            text = f"{event.id}: sent to zone {event.zone}, and it may have run in {zone}"
            self._broken(now, "repeats within allowance", text)

    def _answered(self, now: float, event: Answered) -> None:
        taken = self._taken.get(event.id)
        if taken is not None and taken.out == event.sender:
            taken.out = -1
            if event.outcome in DOUBT:
                taken.may_have_run()
        if event.wait_ms > 0:
            key = (event.sender, self._bound(event))
            self._waits[key] = max(self._waits.get(key, 0.0), now + event.wait_ms)
        for one in (event.dest, event.endpoint) if event.outcome not in ("ok", "not sent") else ():
            if one in self._outage:
                self._saw[one].add(event.sender)
        if event.outcome == "ok":
            self._ended(now, event.id, event.sender, "delivered")

    def _ended(self, now: float, id_: str, sender: int, how: str) -> None:
        taken = self._taken.get(id_)
        if taken is None:
            return
        self.checked["one final answer"] += 1
        if taken.ends:
            self._broken(now, "one final answer", f"{id_}: {how}, and it had one")
        taken.ends += 1
        if (
            now
            > max(taken.deadline, self._back.get(sender, -BACK_MS) + BACK_MS) + self.figures.answer_slack_ms
        ):
            self._broken(now, "answers in time", f"{id_}: {how} {now - taken.deadline:.0f} ms after its time")
        unsafe = self._effect_of[taken.cls] == "unsafe" or taken.cls in self.figures.in_zone
        if how == "refused" and unsafe and (self._effects[id_] or taken.doubt):
            self._broken(
                now, "repeats within allowance", f"{id_}: handed back though it may have taken effect"
            )
        if how == "refused":  # its client may hand it in again: a new life
            del self._taken[id_]

    def _effect(self, now: float, event: Effect) -> None:
        self.checked["repeats within allowance"] += 1
        self._effects[event.id] += not event.repeat
        effect = self._effect_of[self._asked[event.id].cls]
        if self._effects[event.id] > 1 and effect != "safe":
            self._broken(
                now, "repeats within allowance", f"{event.id}: took effect {self._effects[event.id]} times"
            )

    def _fell(self, now: float, event: Fell) -> None:
        """Broken if two thirds of what pushed it over came from senders that had seen it fail."""
        self.checked["no returning partner pushed over"] += 1
        total = sum(event.work.values())
        saw = self._saw[event.dest].union(*(self._saw[endpoint] for endpoint in event.endpoints))
        knew = sum(work for sender, work in event.work.items() if sender in saw)
        if total > 0 and knew >= total * 2.0 / 3.0:
            text = f"partner {event.dest}, {knew / total:.0%} by senders that had seen it fail"
            self._broken(now, "no returning partner pushed over", text)

    def _died(self, sender: int) -> None:
        for taken in self._taken.values():
            if taken.out == sender:
                taken.may_have_run()  # its life goes on from the journal, in doubt
        # Its next life was told nothing: it comes back with its journal and its last list.
        for saw in self._saw.values():
            saw.discard(sender)
        self._waits = {key: until for key, until in self._waits.items() if key[0] != sender}

    def finish(self, now: float) -> list[Breach]:
        """At the end: what was taken on and never ended; all breaches."""
        for id_, taken in self._taken.items():
            if not taken.ends:
                text = f"{id_}: taken on, and no end by {now - taken.deadline:.0f} ms after its time"
                self._broken(now, "one final answer", text)
        return self.breaches
