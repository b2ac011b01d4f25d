"""N senders and a partner that goes out and comes back, in simulated time: the senders' own code for what decides.

Each sender is a real decision module with both sides of `fleet/trials`; modelled are the partner, the submitters, the
network between senders (`Links`) and what membership tells (a death or cut is known after `DETECT_MS`).  Every draw
comes from one seed.  Without talk the senders are those of today.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count

from kestreltrack.decision import Policy, api
from kestreltrack.decision.api import Outcome
from kestreltrack.fleet.trials.holder import Trials, Turn
from kestreltrack.fleet.trials.referee import Referee
from kestreltrack.fleet.trials.wire import AskRow, ReplyRow, WordRow
from kestreltrack.lab.rig.links import Fault, Links
from kestreltrack.sender.reading import reading, readings

DETECT_MS = 6_000.0  # docs/fleet-together.md: 8 members, no loss
TICK_MS = 100.0
SUMMED = 12  # senders up to which shares are summed at each one's tick, else ten times a second
CLASS = api.ClassSettings(aim_ms=2_000, deadline_ms=20_000, effect=api.Effect.SAFE)
SAFETY = api.Safety(
    answer_slack_ms=20,
    drain_grace_ms=500,
    cold_share=0.25,
    warm_after_ms=10_000,
    overload_factor=2.0,
    tip_after_ms=2_000,
    ask_every_ms=10_000,
)


@dataclass(frozen=True, slots=True)
class World:
    """What is played; `load` is the share of the partner's rate that all submitters together ask for."""

    senders: int
    seed: int
    talk: bool = True
    rate: float = 40.0
    load: float = 0.7
    idle: float = 0.0  # share of the senders that get no message before the partner is back
    down_at: float = 10_000.0
    up_at: float = 40_000.0
    ends: float = 60_000.0
    tips_ms: float = 5_000.0  # a partner that is pushed over is out for so long, and comes back cold
    silent: bool = False  # out means no answer; else no connection
    delay_ms: float = 0.5  # between senders, and as much as 2 ms more
    loss: float = 0.0


@dataclass(slots=True)
class Seen:
    """What became of it; times in ms."""

    calls: list[tuple[float, int, bool]] = field(default_factory=list)  # when, whose, whether it did work
    ends: dict[str, int] = field(default_factory=dict)
    tipped: int = 0  # how often the partner was pushed over,
    pushed: float = 0.0  # and at most: calls within `tip_after_ms` over what tips it
    most_share: float = 0.0  # of the cold budget that all may use at one time
    datagrams: int = 0

    def trials(self, world: World, after_ms: float = 10_000.0) -> float:
        """Calls a second to the partner that is out, once its outage is known."""
        since = world.down_at + after_ms
        return sum(since <= at < world.up_at for at, _, _ in self.calls) / ((world.up_at - since) / 1000.0)

    def first(self, world: World, ms: float = 1000.0) -> int:
        """Calls in the first second in which the partner answers again, from its first answer on."""
        back = min((at for at, _, fine in self.calls if fine and at >= world.up_at), default=world.ends)
        return sum(back <= at < back + ms for at, _, _ in self.calls)

    def back_after(self, world: World) -> float:
        """Until the first call that did work."""
        return (
            min((at for at, _, fine in self.calls if fine and at >= world.up_at), default=world.ends)
            - world.up_at
        )


class Partner:
    """Out, cold, warm; over what it bears for `tip_after_ms` it goes out once more."""

    def __init__(self, world: World) -> None:
        """Warm until `down_at`."""
        self.world, self.out_until, self.back_at = world, world.up_at, -1e9
        self.pushed, self.tipped = 0.0, 0  # most calls in the window over what tips it, since it was back
        self._inside = deque[float]()

    def takes(self, now: float) -> bool:
        """A call comes: whether it does its work."""
        if self.world.down_at <= now < self.out_until:
            return False
        if now >= self.out_until > self.back_at:
            self.back_at = now
            self._inside.clear()
        self._inside.append(now)
        window = SAFETY.tip_after_ms
        while self._inside[0] <= now - window:
            self._inside.popleft()
        warmth = min(1.0, (now - self.back_at) / SAFETY.warm_after_ms)
        able = SAFETY.cold_share + (1.0 - SAFETY.cold_share) * warmth
        push = len(self._inside) / (SAFETY.overload_factor * able * self.world.rate * window / 1000.0)
        if self.back_at >= self.world.up_at:
            self.pushed = max(self.pushed, push)
        if push >= 1.0 and now >= self.world.down_at:
            self.out_until, self.tipped = now + self.world.tips_ms, self.tipped + 1
        return push < 1.0


class Member:
    """One sender."""

    def __init__(self, number: int, world: World) -> None:
        """With an endpoint of the partner on its list; its fleet's parts begin with it."""
        self.number, self.name, self.alive = number, f"s{number}", True
        settings = api.Settings(
            {"c": CLASS},
            {"plain": api.KindSettings()},
            SAFETY,
            slots=32,
            hold=400,
            try_limit=50,
            relays=world.senders,
            weights=api.Weights.EXACT,
            may_cancel=True,
        )
        self.policy = Policy(settings, world.seed * 1000 + number)
        self.tries: dict[str, int] = {}
        self.begin(0.0, 1, world.seed)

    def begin(self, now: float, start: int, seed: int) -> None:
        """Its process's fleet parts, new."""
        self.trials, self.referee = Trials(now, start * 1_000_000, seed * 1000 + self.number), Referee(start)

    def share(self, now: float) -> float:
        """Of the cold budget, that it may use."""
        pursuit = self.trials.pursuits.get(1)
        return pursuit.holder.amount(now) if pursuit else 0.0


class Outage:
    """One play."""

    def __init__(self, world: World) -> None:
        """Nothing happens before `run`; faults can be put on `links`, and `at` called, before that."""
        self.world, self.now, self.seen, self.partner = world, 0.0, Seen(), Partner(world)
        self.random, self.links = random.Random(world.seed), Links(world.seed)
        usual = Fault(delay_ms=world.delay_ms, jitter_ms=2.0, loss=world.loss)
        self.links.fault("*", "*", usual, both=False)
        self.members = [Member(n, world) for n in range(world.senders)]
        self.views = {member.name: [m.name for m in self.members] for member in self.members}
        self.blind = set[str]()  # that reach no partner, whatever its state
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order, self._ids = count(), count()
        busy = self.members[int(world.idle * world.senders) :]
        for member in self.members:
            entry = api.Listed("e1", 1, "plain", rate=world.rate)
            self._step(member, [api.ListNews([entry], whole=True)])
            self.at(self.random.random() * TICK_MS, lambda m=member: self._tick(m))  # type: ignore[misc]
            mean = 1000.0 * len(busy) / (world.rate * world.load)
            first = (0.0 if member in busy else world.up_at) + self.random.expovariate(1.0 / mean)
            self.at(first, lambda m=member, mean=mean: self._arrive(m, mean))  # type: ignore[misc]

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Something that happens then."""
        heapq.heappush(self._heap, (when, next(self._order), what))

    def run(self) -> Seen:
        """Play it to its end."""
        while self._heap and self._heap[0][0] <= self.world.ends:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.seen.tipped, self.seen.pushed = self.partner.tipped, self.partner.pushed
        return self.seen

    # Faults ----------------------------------------------------------------------------------------

    def cut(self, names: Iterable[str]) -> None:
        """These from all others, both ways; their views follow."""
        off = set(names)
        rest = {m.name for m in self.members} - off
        self.links.groups = {"off": off, "rest": rest}
        self.links.fault("off", "rest", Fault(cut=True))
        self.at(self.now + DETECT_MS, lambda: self._part(off, rest))

    def _part(self, off: set[str], rest: set[str]) -> None:
        self.views = {name: sorted(off if name in off else rest) for name in self.views}

    def kill(self, member: Member) -> None:
        """Without a word; what it held is not followed."""
        member.alive = False
        self.at(self.now + DETECT_MS, lambda: self._gone(member.name))

    def _gone(self, name: str) -> None:
        self.views = {who: [n for n in view if n != name] for who, view in self.views.items()}

    # Senders, submitters, partner -------------------------------------------------------------------

    def _arrive(self, member: Member, mean: float) -> None:
        if member.alive:
            id_ = f"m{next(self._ids)}"
            self._step(member, [api.Arrived(id_, 1, "c", self.now + CLASS.deadline_ms)])
            self.at(self.now + self.random.expovariate(1.0 / mean), lambda: self._arrive(member, mean))

    def _step(self, member: Member, events: list[api.Event]) -> None:
        for action in member.policy.step(self.now, events):
            if isinstance(action, api.Wake):
                token = action.token
                self.at(self.now + action.after_ms, lambda t=token: self._step(member, [api.TimerDue(t)]))  # type: ignore[misc]
            elif isinstance(action, api.Send):
                self._call(member, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self._count("refused" if isinstance(action, api.Refuse) else "failed")

    def _count(self, how: str) -> None:
        self.seen.ends[how] = self.seen.ends.get(how, 0) + 1

    def _call(self, member: Member, send: api.Send) -> None:
        world, began = self.world, self.now
        attempt = member.tries[send.id] = member.tries.get(send.id, -1) + 1
        out = member.name in self.blind or not self.partner.takes(began)
        self.seen.calls.append((began, member.number, not out))
        took = self.random.uniform(30.0, 80.0)
        if out:
            took = min(send.timeout_ms, 3_000.0) if world.silent else 2.0
        outcome = Outcome.OK if not out else Outcome.TIMED_OUT if world.silent else Outcome.UNREACHABLE
        event = api.Ended(send.id, attempt, send.endpoint, outcome, took, over=not out)
        self.at(began + took, lambda: self._ended(member, event))

    def _ended(self, member: Member, event: api.Ended) -> None:
        if member.alive:
            if event.over:
                self._count("delivered")
            self._step(member, [event])

    # The fleet --------------------------------------------------------------------------------------

    def _tick(self, member: Member) -> None:
        if not member.alive:
            return
        self.at(self.now + TICK_MS, lambda: self._tick(member))
        if not self.world.talk:
            return
        part = 1.0 / self.world.senders
        names = self.views[member.name]
        found = readings(member.policy, self.now, member.trials.pursuits)
        self._act(member, member.trials.tick(self.now, found, names, part))
        for word in member.referee.words(self.now):
            for name in names:
                self._post(member, name, lambda to, w=word: self._told(to, member.name, w))  # type: ignore[misc]
        if not member.number or len(self.members) <= SUMMED:
            self.seen.most_share = max(
                self.seen.most_share, sum(m.share(self.now) for m in self.members if m.alive)
            )

    def _act(self, member: Member, turn: Turn) -> None:
        if turn.events:
            self._step(member, list(turn.events))
        for keeper, rows in turn.asks.items():
            for row in rows:
                self._post(member, keeper, lambda to, r=row: self._asked(to, member, r))  # type: ignore[misc]

    def _post(self, source: Member, target: str, what: Callable[[Member], None]) -> None:
        to = self.members[int(target[1:])]
        if to is source:
            what(to)
            return
        self.seen.datagrams += 1
        for way in self.links.ways(source.name, target):
            self.at(self.now + way, lambda: what(to) if to.alive else None)

    def _asked(self, keeper: Member, source: Member, row: AskRow) -> None:
        if reply := keeper.referee.asked(self.now, source.name, row):
            self._post(keeper, source.name, lambda to: self._answered(to, keeper.name, reply))

    def _answered(self, member: Member, keeper: str, row: ReplyRow) -> None:
        member.trials.answered(self.now, keeper, row)

    def _told(self, member: Member, keeper: str, word: WordRow) -> None:
        turn = member.trials.told(self.now, keeper, word, lambda dest: reading(member.policy, self.now, dest))
        self._act(member, turn)


def play(world: World, faults: Callable[[Outage], None] | None = None) -> Seen:
    """One play, with what `faults` plans for it."""
    outage = Outage(world)
    if faults:
        faults(outage)
    return outage.run()


def without(world: World) -> World:
    """The same world, with senders that do not talk."""
    return replace(world, talk=False)
