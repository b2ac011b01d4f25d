"""What a sender is held against: one that tries each message once, and what the partners could do at all."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol

from kestreltrack.decision import api
from kestreltrack.lab.emulator.partner import Partner
from kestreltrack.lab.emulator.scenario import Scenario
from kestreltrack.lab.emulator.worth import Service, Worth
from kestreltrack.rules.happened import Answered, Asked, Event, Went
from kestreltrack.rules.world import OUTAGES

LAST_MS = 150.0  # of a message's time, to tell its end in
TICK_MS = 50.0
AGAIN_MS = 1000.0  # told with a refusal, and until the directory is asked again
STEP_MS = 50.0  # of the bound's clock
PATIENCE = (
    0.05,
    0.15,
    0.3,
    0.6,
    1.0,
)  # parts of the deadline after which the bound gives up; the best one counts


class World(Protocol):
    """What the bound reads of a world that was played."""

    partners: dict[int, Partner]

    def work_of(self, number: int) -> float:
        """Milliseconds of work of a message to a partner, in the mean."""


class OneTry:
    """One try for each message, in order of arrival, at its destination's endpoints in turn; no rule is looked at.

    What surely never ran is handed back, all else fails.
    """

    def __init__(self, settings: api.Settings) -> None:
        """Knows no endpoint."""
        self.settings, self.out, self.turn = settings, 0, 0
        self.queue = dict[str, api.Arrived]()
        self.up = defaultdict[int, dict[str, None]](dict)
        self.actions, self.ticking = list[api.Action](), False
        self.ask_at = 0.0 if settings.must_ask else float("inf")

    def take(self, now: float, event: api.Event) -> None:
        """Learn of one event."""
        if isinstance(event, api.ListNews):
            self._list(event)
        elif isinstance(event, api.ListFailed) and self.settings.must_ask:
            self.ask_at = now + AGAIN_MS
        elif isinstance(event, api.TimerDue):
            self.ticking = False
        elif isinstance(event, api.Withdrawn):
            self.queue.pop(event.id, None)
        elif isinstance(event, api.Arrived):
            if event.tries:
                self.actions.append(api.Fail(event.id))
            else:
                self.queue[event.id] = event
        elif isinstance(event, api.Ended):
            self.out -= 1
            if not event.over:
                ran = event.outcome.may_have_run()
                self.actions.append(api.Fail(event.id) if ran else api.Refuse(event.id, AGAIN_MS))

    def _list(self, news: api.ListNews) -> None:
        if not news.remembered:
            self.ask_at = float("inf")
        if news.whole:
            self.up.clear()
        for entry in news.entries:
            self.up[entry.dest].pop(entry.endpoint, None)
            if entry.lifecycle is api.Lifecycle.UP:
                self.up[entry.dest][entry.endpoint] = None

    def decide(self, now: float) -> Sequence[api.Action]:
        """What to do."""
        if now >= self.ask_at:
            self.ask_at = now + AGAIN_MS
            self.actions.append(api.Subscribe())
        for held in [held for held in self.queue.values() if held.expires - now <= LAST_MS]:
            del self.queue[held.id]
            self.actions.append(api.Refuse(held.id))
        while self.queue and self.out < self.settings.slots:
            held = self.queue.pop(next(iter(self.queue)))
            if ready := list(self.up[held.dest]):
                self.out, self.turn = self.out + 1, self.turn + 1
                left = max(1.0, held.expires - now - LAST_MS)
                self.actions.append(api.Send(held.id, ready[self.turn % len(ready)], left))
            else:
                self.actions.append(api.Refuse(held.id, AGAIN_MS))
        if not self.ticking and (self.queue or self.ask_at < float("inf")):
            self.ticking = True
            self.actions.append(api.Wake(TICK_MS, 0))
        actions, self.actions = self.actions, []
        return actions

    def permits(self, now: float, number: int, name: str) -> bool:
        """Whether it is still listed."""
        return name in self.up[number]


class Bound:
    """A listener that counts what the partners could do at all, were all known and no way took time.

    Each partner serves in order of arrival at the lesser of its limit and its capacity, in full calls, at nothing
    while it is out, as if warm when it is back; what has waited too long is left, by whichever patience is best.
    Slow spells, failures and pauses are taken for nothing.  Few senders could do better.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Nothing has happened."""
        self.scenario = scenario
        self._asked = defaultdict[int, list[tuple[float, Asked]]](list)
        self._out = defaultdict[str, list[tuple[float, float]]](list)

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, Asked):
            self._asked[event.dest].append((now, event))
        elif isinstance(event, Went) and event.what in OUTAGES and event.what != "fails":
            for uid in event.endpoints:
                spans = self._out[uid]
                if event.begins:
                    spans.append((now, float("inf")))
                elif spans:
                    spans[-1] = spans[-1][0], now

    def service(self, world: World) -> Service:
        """The figure without deductions."""
        worth = Worth(self.scenario)
        for dest, asked in sorted(self._asked.items()):
            for at, event in asked:
                worth(at, event)
            tried = [self._served(world, dest, asked, part) for part in PATIENCE]
            best = max(
                tried, key=lambda served: sum(worth.part_of(event, at, done) for event, at, done in served)
            )
            for event, _, done in best:
                worth(done, Answered(event.id, 0, dest, "", "ok", 0.0, False, 0.0))
        return worth.service()

    def _served(
        self, world: World, dest: int, asked: list[tuple[float, Asked]], patience: float
    ) -> list[tuple[Asked, float, float]]:
        """Messages with the times at which they were asked for and delivered."""
        partner, found, queue, now = world.partners[dest], list[tuple[Asked, float, float]](), 0, 0.0
        batch = partner.batch
        work = world.work_of(dest)
        each = work * (1.0 + partner.item_cost * (batch - 1)) / batch
        until = asked[-1][0] + max(cls.deadline_ms for cls in self.scenario.cls)
        limits = {id(e.limit): e.limit for e in partner.endpoints}
        burst = sum(1.0 if limit.kind == "none" else limit.most() for limit in limits.values()) * batch
        credit = burst
        while queue < len(asked) and now < until:
            credit = min(burst, credit) + self._able(world, dest, now, each, batch) * STEP_MS
            while queue < len(asked) and asked[queue][0] <= now and credit >= 1.0:
                at, event = asked[queue]
                queue += 1
                if now - at <= patience * (event.deadline - at):
                    found.append((event, at, max(now, at) + work))
                    credit -= 1.0
            now += STEP_MS
        return found

    def _able(self, world: World, dest: int, now: float, each: float, batch: int) -> float:
        """Messages in a millisecond, just then."""
        able, cores = dict[int, float](), dict[int, float]()
        endpoints = [e for e in world.partners[dest].endpoints if not e.gone]
        for e in endpoints:
            up = not any(since <= now < until for since, until in self._out[e.uid])
            cores[id(e.limit)] = cores.get(id(e.limit), 0.0) + up * e.cores * e.speed / max(1e-9, each)
            able[id(e.limit)] = float("inf") if e.limit.kind == "none" else e.limit.rate * batch / 1000.0
        return sum(min(able[key], cores[key]) for key in able)
