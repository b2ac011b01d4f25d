"""All interleavings of asks, replies, losses, repeats, crashes, restarts and time over `fleet/leases.py`, to a depth.

The tables are the code that senders run.  A state is the holders, the keepers, what is on its way, and the time; two
states that differ only by how long they have lasted are one.  Any sender may ask any keeper at any moment: that
covers every partition, every view of who is here, and two keepers at once.  A pause is a sender or keeper that does
nothing while time goes on.  In each state what all may use must be at most the whole.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from kestreltrack.fleet.leases import Ask, Holder, Keeper, Reply, Terms

Step = tuple[str, ...]
WHOLE = 1.0 + 1e-9
TERMS = Terms(lease_ms=3.0, grant_ms=1.0, floor=0.25, drift=0.0)
LONG = 1e9


@dataclass(slots=True)
class World:
    """One state."""

    now: float
    holders: list[Holder]
    keepers: list[Keeper]
    asks: list[tuple[int, int, Ask]]  # on their way: from which holder to which keeper
    replies: list[tuple[int, int, Reply]]
    crashes: int  # still allowed, and repeats
    repeats: int

    def copy(self, s: int = -1, k: int = -1) -> World:
        """One whose time, words on their way, holder `s` and keeper `k` can be changed alone."""
        return World(
            self.now,
            [_holder(h) if n == s else h for n, h in enumerate(self.holders)],
            [_keeper(keeper) if n == k else keeper for n, keeper in enumerate(self.keepers)],
            list(self.asks),
            list(self.replies),
            self.crashes,
            self.repeats,
        )

    def used(self) -> float:
        """What all senders may use at this instant."""
        return sum(holder.amount(self.now) for holder in self.holders)

    def key(self) -> tuple[object, ...]:
        """What tells it from another state: how far off times are, how old words; what is over is left out."""
        now = self.now

        def ahead(rows: Iterable[tuple[float, float]]) -> tuple[object, ...]:
            return tuple(sorted((amount, until - now) for amount, until in rows if until > now))

        def age(k: int, epoch: int, number: int) -> object:
            keeper = self.keepers[k]
            at = keeper.replies.get(number, -LONG) if keeper.epoch == epoch else -LONG
            return at - now if now - at < TERMS.lease_ms else None

        holders = tuple(
            (
                h.keeper,
                h.epoch,
                age(int(h.keeper[1:]), h.epoch, h.number) if h.keeper else None,
                tuple((s - h.seq, at - now) for s, at in h.asked.items() if now - at < TERMS.grant_ms),
                tuple(sorted((place, rows) for place, kept in h.lent.items() if (rows := ahead(kept)))),
                (h.grant[0], h.grant[1] - now, h.grant[2] - h.seq) if h.grant[1] > now else (),
            )
            for h in self.holders
        )
        keepers = tuple(
            (
                k.epoch,
                tuple(sorted((s, n - self.holders[int(s[1:])].seq) for s, n in k.newest.items())),
                tuple(sorted((s, row) for s, kept in k.deposits.items() if (row := ahead([kept])))),
                tuple(sorted((s, rows) for s, kept in k.grants.items() if (rows := ahead(kept)))),
                tuple(sorted((s, row) for s, kept in k.wants.items() if (row := ahead([kept])))),
            )
            for k in self.keepers
        )
        asks = sorted(
            (s, k, a.seq - self.holders[s].seq, a.epoch, repr(age(k, a.epoch, a.number)), a.deposit, a.want)
            for s, k, a in self.asks
        )
        replies = sorted(
            (s, k, r.seq - self.holders[s].seq, r.epoch, repr(age(k, r.epoch, r.number)), r.grant)
            for s, k, r in self.replies
        )
        return holders, keepers, tuple(asks), tuple(replies), self.crashes, self.repeats


def _holder(h: Holder) -> Holder:
    return replace(h, asked=dict(h.asked), lent={place: list(rows) for place, rows in h.lent.items()})


def _keeper(k: Keeper) -> Keeper:
    return replace(
        k,
        replies=dict(k.replies),
        newest=dict(k.newest),
        deposits=dict(k.deposits),
        grants={s: list(rows) for s, rows in k.grants.items()},
        wants=dict(k.wants),
    )


def start(senders: int, keepers: int, crashes: int, repeats: int, acquainted: bool = False) -> World:
    """All begin at once; `acquainted`: each has had a first reply of the first keeper, and its old loans are over."""
    began = -TERMS.lease_ms if acquainted else 0.0
    holders = [Holder(TERMS, 1.0 / senders, began) for _ in range(senders)]
    world = World(0.0, holders, [Keeper(TERMS, 1) for _ in range(keepers)], [], [], crashes, repeats)
    for number, holder in enumerate(world.holders if acquainted else ()):
        reply = world.keepers[0].receive(0.0, f"s{number}", holder.ask(0.0, "k0", 0.0))
        assert reply
        holder.answered(0.0, "k0", reply)
    return world


@dataclass(frozen=True, slots=True)
class Limits:
    """What may happen: so many words on their way at once, and whether replies may be late as asks may.

    The first sender wants everything or nothing, from ask to ask, the others everything: it is who lends.
    """

    on_way: int = 1
    late_replies: bool = True


def steps(
    world: World, limits: Limits, restart: Callable[[World, int], None]
) -> Iterator[tuple[Step, World]]:
    """Everything that may happen next, with the state that it leads to.

    An ask that is answered within the same instant is one step: without it the same states are reached in three.
    """
    after = world.copy()
    after.now += 1.0
    yield ("time",), after
    room = len(world.asks) + len(world.replies) < limits.on_way
    for s in range(len(world.holders)):
        for k, want in (
            (k, want) for k in range(len(world.keepers)) for want in ((1.0, 0.0) if s == 0 else (1.0,))
        ):
            after = world.copy(s, k)
            ask = after.holders[s].ask(after.now, f"k{k}", want)
            if room:
                late = after.copy()
                late.asks.append((s, k, ask))
                yield ("asks", f"s{s}", f"k{k}", f"wants {want:.0f}"), late
            yield from _arrives(after, s, k, ask, room and limits.late_replies)
    for n, (s, k, ask) in enumerate(world.asks):
        after = world.copy()
        del after.asks[n]
        yield ("lost", f"ask of s{s}"), after
        yield from _arrives(after.copy(s, k), s, k, ask, limits.late_replies)
        if world.repeats:
            after = world.copy(s, k)
            after.repeats -= 1
            yield from _arrives(after, s, k, ask, room and limits.late_replies)
    for n, (s, k, reply) in enumerate(world.replies):
        after = world.copy(s)
        after.holders[s].answered(after.now, f"k{k}", reply)
        del after.replies[n]
        yield ("answered late", f"s{s}", f"k{k}"), after
    for k in range(len(world.keepers)) if world.crashes else ():
        after = world.copy()
        after.crashes -= 1
        after.keepers[k] = Keeper(TERMS, after.keepers[k].epoch + 1)
        yield ("crash", f"k{k}"), after
    for s in range(len(world.holders)) if world.crashes else ():
        after = world.copy()
        after.crashes -= 1
        restart(after, s)
        yield ("restart", f"s{s}"), after


def _arrives(world: World, s: int, k: int, ask: Ask, may_wait: bool) -> Iterator[tuple[Step, World]]:
    """The keeper has it; its reply comes at once, or later, or never (as one that waits for ever)."""
    reply = world.keepers[k].receive(world.now, f"s{s}", ask)
    if reply is None:
        yield ("arrives", f"s{s}", f"k{k}", "too late"), world
        return
    if may_wait:
        late = world.copy()
        late.replies.append((s, k, reply))
        yield ("arrives", f"s{s}", f"k{k}"), late
    after = world.copy(s)
    after.holders[s].answered(world.now, f"k{k}", reply)
    yield ("answered", f"s{s}", f"k{k}"), after


def begin_again(world: World, s: int) -> None:
    """A sender's process died, and its next one starts in the same instant."""
    before = world.holders[s]
    world.holders[s] = Holder(TERMS, before.part, world.now, seq=before.seq)
    world.replies = [row for row in world.replies if row[0] != s]


@dataclass(frozen=True, slots=True)
class Found:
    """How far the search went, and the first way to a sum over the whole, if any."""

    states: int
    depth: int
    most: float
    way: tuple[Step, ...] = ()


def explore(
    first: World,
    depth: int,
    limits: Limits | None = None,
    most_states: int = 1_000_000,
    restart: Callable[[World, int], None] = begin_again,
) -> Found:
    """Breadth first, each state once; stops at the first breach, which is then a shortest one."""
    seen = {first.key()}
    queue: deque[tuple[World, tuple[Step, ...]]] = deque([(first, ())])
    reached, most = 0, first.used()
    while queue:
        world, way = queue.popleft()
        reached = len(way)
        if reached >= depth:
            continue
        for step, after in steps(world, limits or Limits(), restart):
            used = after.used()
            most = max(most, used)
            if used > WHOLE:
                return Found(len(seen), reached + 1, used, (*way, step))
            key = after.key()
            if key not in seen and len(seen) < most_states:
                seen.add(key)
                queue.append((after, (*way, step)))
    return Found(len(seen), reached, most)
