"""All interleavings of changes, leases, losses, repeats, crashes and time over `fleet/agreed/reader.py`, to a depth.

The tables are the code that senders run.  A state is the senders (all of them voters), the store, who publishes, what
is on its way, and the time; two states that differ only by how long they have lasted are one.  Any sender may ask any
other, hear of a change, or not, at any moment: that covers every cut between them, one-way ones too.  A pause is a
sender that does nothing while time goes on.  Clocks run as far apart as the terms allow: the first sender's and the
publisher's fast, the last sender's slow.

In each state no two senders act on versions that contradict, and none on something older than before.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from itertools import combinations
from typing import Any

from kestreltrack.fleet.agreed.document import Version
from kestreltrack.fleet.agreed.reader import (
    Answer,
    Ask,
    Kept,
    Prepared,
    Promise,
    Publisher,
    Reader,
    Record,
    Terms,
)

Step = tuple[str, ...]
TERMS = Terms(lease_ms=2.0, look_ms=0.0, drift=1.0 / 3.0, bound_ms=10.0)
FAST, SLOW = 1.0 + TERMS.drift, 1.0 - TERMS.drift


def version(number: int) -> Version:
    """Revisions of one epoch."""
    return Version(1, number)


@dataclass(slots=True)
class World:
    """One state."""

    now: float
    readers: list[Reader]
    record: Record
    publisher: Publisher | None
    adds: frozenset[int]  # revisions that merely add to the one before; all others contradict each other
    most: int  # the last revision that anybody proposes
    crashes: int  # still allowed, of senders and publishers together
    repeats: int
    answers: list[tuple[int, int, Answer]] = field(default_factory=list)  # on their way: to whom, from whom
    asks: list[tuple[int, int, Ask]] = field(default_factory=list)
    prepared: list[tuple[int, Prepared]] = field(default_factory=list)
    promises: list[tuple[int, Promise]] = field(default_factory=list)
    acted: list[Version] = field(default_factory=list)  # the newest that each has acted on

    def clock(self, s: int) -> float:
        """A sender's own."""
        return self.now * (FAST if s == 0 else SLOW if s == len(self.readers) - 1 else 1.0)

    def copy(self, *changed: int) -> World:
        """One whose readers `changed` and all the rest may be changed alone."""
        readers = [
            replace(r, asked=dict(r.asked), granted=dict(r.granted), grants=dict(r.grants))
            if s in changed
            else r
            for s, r in enumerate(self.readers)
        ]
        p = self.publisher
        return replace(
            self,
            readers=readers,
            answers=list(self.answers),
            asks=list(self.asks),
            prepared=list(self.prepared),
            promises=list(self.promises),
            acted=list(self.acted),
            publisher=p and replace(p, promised=dict(p.promised), clear=set(p.clear)),
        )

    def readings(self) -> list[frozenset[int]]:
        """The revisions that each acts within; none of one without a lease."""
        found = [reader.reading(self.clock(s)) for s, reader in enumerate(self.readers)]
        return [frozenset(v.revision for v in pair or ()) for pair in found]

    def breach(self) -> str:
        """What is wrong with this state, if anything; call once, it notes what each acts on."""
        readings = self.readings()
        for (s, one), (t, other) in combinations(enumerate(readings), 2):
            if one and other and self._clash(one, other):
                return f"s{s} acts on {sorted(one)} and s{t} on {sorted(other)}"
        for s, reading in enumerate(readings):
            if reading:
                if version(max(reading)) < self.acted[s]:
                    return f"s{s} acts on {sorted(reading)} after {self.acted[s]}"
                self.acted[s] = version(max(reading))
        return ""

    def _clash(self, one: frozenset[int], other: frozenset[int]) -> bool:
        """A narrow reading does only what both of its documents allow, so one document in common is enough."""
        return not any(a == b or (abs(a - b) == 1 and max(a, b) in self.adds) for a in one for b in other)

    def key(self) -> tuple[object, ...]:
        """What tells it from another state: how far off times are; what is over is left out."""

        terms, clocks = TERMS, [self.clock(s) for s in range(len(self.readers))]
        readers = tuple(
            (
                r.kept.force,
                r.kept.acknowledged,
                tuple(
                    sorted(
                        (v, round(at - now, 3)) for v, at in r.granted.items() if now - at < terms.lease_ms
                    )
                ),
                tuple(sorted((n, round(u - now, 3), on) for n, (u, on) in r.grants.items() if u > now)),
                max(0.0, round(r.began + terms.wait_ms - now, 3)),
                self.acted[s],
            )
            for s, (r, now) in enumerate(zip(self.readers, clocks, strict=True))
        )

        def made(s: int, seq: int) -> float:
            ago = clocks[s] - self.readers[s].asked.get(seq, -1e9)
            return round(ago, 3) if ago < terms.lease_ms else terms.lease_ms

        p, fast = self.publisher, self.now * FAST
        publisher = p and (
            p.version,
            tuple(sorted((v, max(-terms.wait_ms, round(at - fast, 3))) for v, at in p.promised.items())),
            tuple(sorted(p.clear)),
        )
        ways: tuple[list[Any], ...] = (
            sorted((s, w, made(s, a.seq), a.granted) for s, w, a in self.answers),
            sorted((s, w, made(s, a.seq), a.acknowledged) for s, w, a in self.asks),
            sorted((s, w.version) for s, w in self.prepared),
            sorted((s, w.version, w.clear) for s, w in self.promises),
        )
        record = (self.record.force, self.record.prepared, self.record.settled)
        return readers, record, publisher, tuple(map(tuple, ways)), self.crashes, self.repeats


def start(
    senders: int = 3,
    most: int = 2,
    adds: frozenset[int] = frozenset(),
    crashes: int = 1,
    repeats: int = 1,
    underway: bool = False,
) -> World:
    """All have revision 1 in force and a lease on it; `underway`: a majority has acknowledged revision 2 just now."""
    first, names = version(1), frozenset(f"s{s}" for s in range(senders))
    readers = [Reader(TERMS, Kept(first, first), names, -100.0) for _ in range(senders)]
    world = World(0.0, readers, Record(first, first), None, adds, most, crashes, repeats)
    world.acted = [first] * senders
    for s, reader in enumerate(readers):
        ask = reader.ask(0.0)
        for w, voter in enumerate(readers):
            reader.answered(0.0, f"s{w}", voter.asked_by(0.0, f"s{s}", ask))
    if underway:
        world.record = Record(first, version(2))
        world.publisher = Publisher(TERMS, names, version(2))
        for s in range(senders // 2 + 1):
            readers[s].prepared(Prepared(version(2), first))
            world.publisher.told(0.0, f"s{s}", readers[s].promise(0.0))
    return world


def begin_again(world: World, s: int) -> None:
    """A sender's process died, and its next one starts in the same instant with what was kept."""
    before = world.readers[s]
    world.readers[s] = Reader(TERMS, before.kept, before.voters, world.clock(s), seq=before.seq)


Restart = Callable[[World, int], None]


def steps(world: World, on_way: int, restart: Restart = begin_again) -> Iterator[tuple[Step, World]]:
    """Everything that may happen next; a word that comes at once is one step with what it answers to."""
    after = world.copy()
    after.now += 1.0
    yield ("time",), after
    words = len(world.answers) + len(world.asks) + len(world.prepared) + len(world.promises)
    yield from _asking(world, words < on_way)
    yield from _publishing(world, words < on_way)
    yield from _late(world)
    if not world.crashes:
        return
    for s in range(len(world.readers)):
        after = world.copy()
        after.crashes -= 1
        restart(after, s)
        yield ("restart", f"s{s}"), after
    if world.publisher:
        after = world.copy()
        after.crashes -= 1
        after.publisher = None
        yield ("publisher dies",), after


def _asking(world: World, room: bool) -> Iterator[tuple[Step, World]]:
    """Whoever asks another asks itself as well."""
    for s in range(len(world.readers)):
        for w in (w for w in range(len(world.readers)) if w != s):
            after = world.copy(s, w)
            ask = after.readers[s].ask(after.clock(s))
            own = after.readers[s].asked_by(after.clock(s), f"s{s}", ask)
            after.readers[s].answered(after.clock(s), f"s{s}", own)
            if room:
                late = after.copy(s)
                late.asks.append((s, w, ask))
                yield ("asks", f"s{s}", f"s{w}"), late
            answer = after.readers[w].asked_by(after.clock(w), f"s{s}", ask)
            if room and answer.granted:
                late = after.copy(s)
                late.answers.append((s, w, answer))
                yield ("is answered late", f"s{s}", f"s{w}"), late
            after.readers[s].answered(after.clock(s), f"s{w}", answer)
            yield ("is answered", f"s{s}", f"s{w}"), after


def _publishing(world: World, room: bool) -> Iterator[tuple[Step, World]]:
    record, number = world.record, world.record.prepared.revision
    if number < world.most and (proposed := record.prepare(record.force, version(number + 1))):
        after = world.copy()  # also in the place of one that has not taken force
        after.record = proposed
        after.publisher = Publisher(TERMS, after.readers[0].voters, proposed.prepared)
        yield ("prepare", str(number + 1)), after
    if world.publisher is None and (record.prepared != record.force or not record.settled):
        after = world.copy()
        after.publisher = Publisher(TERMS, after.readers[0].voters, record.prepared)
        yield ("another publisher",), after
    if world.publisher is not None:
        adds = number in world.adds and number == record.force.revision + 1
        if written := world.publisher.next(world.now * FAST, record, adds):
            after = world.copy()
            after.record = written
            yield ("force", str(number)), after
    for s, reader in enumerate(world.readers):
        if reader.kept.force < record.force:
            after = world.copy(s)
            after.readers[s].in_force(record.force)
            yield ("hears of force", f"s{s}"), after
        word = Prepared(record.prepared, record.force)
        if reader.kept.acknowledged < word.version and word.version != record.force:
            if room:
                late = world.copy()
                late.prepared.append((s, word))
                yield ("hears late", f"s{s}"), late
            after = world.copy(s)
            after.readers[s].prepared(word)
            yield from _promising(after, s, room, "hears")
        elif world.publisher and reader.kept.acknowledged == world.publisher.version:
            yield from _promising(world, s, room, "is asked again")


def _promising(world: World, s: int, room: bool, what: str) -> Iterator[tuple[Step, World]]:
    """Its promise comes at once or later; one that is lost is one that never comes."""
    promise = world.readers[s].promise(world.clock(s))
    if room:
        late = world.copy()
        late.promises.append((s, promise))
        yield (f"{what}, promises late", f"s{s}"), late
    after = world.copy()
    if after.publisher:
        after.publisher.told(after.now * FAST, f"s{s}", promise)
    yield (what, f"s{s}"), after


def _late(world: World) -> Iterator[tuple[Step, World]]:
    """Words that were on their way; each may be repeated, or never come, as one that waits for ever."""
    for again in range(2 if world.repeats else 1):
        for n, (s, w, answer) in enumerate(world.answers):
            after = world.copy(s)
            after.readers[s].answered(after.clock(s), f"s{w}", answer)
            yield ("late answer", f"s{s}", f"s{w}"), _taken(after, after.answers, n, again)
        for n, (s, w, ask) in enumerate(world.asks):
            after = world.copy(s, w)
            answer = after.readers[w].asked_by(after.clock(w), f"s{s}", ask)
            after.readers[s].answered(after.clock(s), f"s{w}", answer)
            yield ("late ask", f"s{s}", f"s{w}"), _taken(after, after.asks, n, again)
        for n, (s, word) in enumerate(world.prepared):
            after = world.copy(s)
            after.readers[s].prepared(word)
            yield ("late word", f"s{s}"), _taken(after, after.prepared, n, again)
        for n, (s, promise) in enumerate(world.promises):
            after = world.copy()
            if after.publisher:
                after.publisher.told(after.now * FAST, f"s{s}", promise)
            yield ("late promise", f"s{s}"), _taken(after, after.promises, n, again)


def _taken(world: World, words: list[Any], n: int, again: int) -> World:
    world.repeats -= again
    if not again:
        del words[n]
    return world


def heals(world: World, rounds: int = 12) -> bool:
    """Whether all act on the last proposal once nothing is lost any more, whoever published before."""
    after = world.copy(*range(len(world.readers)))
    for _ in range(rounds):
        record = after.record
        after.publisher = after.publisher or Publisher(TERMS, after.readers[0].voters, record.prepared)
        if after.publisher.version != record.prepared:
            after.publisher = Publisher(TERMS, after.readers[0].voters, record.prepared)
        for s, reader in enumerate(after.readers):
            reader.in_force(record.force)
            reader.prepared(Prepared(record.prepared, record.force))
            ask = reader.ask(after.clock(s))
            for w, voter in enumerate(after.readers):
                reader.answered(after.clock(s), f"s{w}", voter.asked_by(after.clock(w), f"s{s}", ask))
        for s, reader in enumerate(after.readers):
            after.publisher.told(after.now * FAST, f"s{s}", reader.promise(after.clock(s)))
        after.record = after.publisher.next(after.now * FAST, record, False) or record
        if after.breach():
            return False
        after.now += 1.0
    return all(reading == {after.record.prepared.revision} for reading in after.readings())


@dataclass(frozen=True, slots=True)
class Found:
    """How far the search went, and the first way to a breach, if any."""

    states: int
    depth: int
    breach: str = ""
    way: tuple[Step, ...] = ()
    forced: int = 0  # the newest revision in force in any state


def explore(
    first: World,
    depth: int,
    on_way: int = 1,
    most_states: int = 1_000_000,
    restart: Restart = begin_again,
    heal_every: int = 0,
) -> Found:
    """Breadth first, each state once, to a shortest breach; of each `heal_every`th state also whether it heals."""
    seen = {first.key()}
    queue: deque[tuple[World, tuple[Step, ...]]] = deque([(first, ())])
    reached = forced = 0
    while queue:
        world, way = queue.popleft()
        reached = len(way)
        if reached >= depth:
            continue
        for step, after in steps(world, on_way, restart):
            if breach := after.breach():
                return Found(len(seen), reached + 1, breach, (*way, step))
            key = after.key()
            if key in seen or len(seen) >= most_states:
                continue
            seen.add(key)
            forced = max(forced, after.record.force.revision)
            if heal_every and len(seen) % heal_every == 0 and not heals(after):
                return Found(len(seen), reached + 1, "it does not heal", (*way, step))
            queue.append((after, (*way, step)))
    return Found(len(seen), reached, "", (), forced)


def wander(first: World, seed: int, length: int, on_way: int = 2, restart: Restart = begin_again) -> Found:
    """One long way drawn by the seed, where a search ends by its states; a fifth of its steps are time's."""
    draw, world, way = random.Random(seed), first.copy(*range(len(first.readers))), list[Step]()
    for _ in range(length):
        found = list(steps(world, on_way, restart))
        step, world = found[0] if draw.random() < 0.2 else draw.choice(found)
        way.append(step)
        if breach := world.breach():
            return Found(len(way), len(way), breach, tuple(way))
    healed = "" if heals(world) else "it does not heal"
    return Found(length, length, healed, tuple(way), world.record.force.revision)
