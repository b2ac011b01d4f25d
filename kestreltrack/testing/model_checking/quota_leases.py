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

from kestreltrack.fleet.quota_leases import (
    LeaseGrantor,
    LeaseHolder,
    QuotaLeaseParameters,
    QuotaLeaseRequest,
    QuotaLeaseResponse,
)

Step = tuple[str, ...]
MAX_TOTAL_SHARE = 1.0 + 1e-9
TERMS = QuotaLeaseParameters(deposit_ms=3.0, grant_ms=1.0, reserved_fraction=0.25, clock_drift=0.0)
LONG_AGO_MS = 1e9


@dataclass(slots=True)
class LeaseState:
    """One state."""

    now: float
    holders: list[LeaseHolder]
    grantors: list[LeaseGrantor]
    requests_in_flight: list[
        tuple[int, int, QuotaLeaseRequest]
    ]  # on their way: from which holder to which keeper
    responses_in_flight: list[tuple[int, int, QuotaLeaseResponse]]
    crashes_left: int  # still allowed, and repeats
    duplicates_left: int

    def copy(self, s: int = -1, k: int = -1) -> LeaseState:
        """One whose time, words on their way, holder `s` and keeper `k` can be changed alone."""
        return LeaseState(
            self.now,
            [_copy_holder(h) if n == s else h for n, h in enumerate(self.holders)],
            [_copy_grantor(keeper) if n == k else keeper for n, keeper in enumerate(self.grantors)],
            list(self.requests_in_flight),
            list(self.responses_in_flight),
            self.crashes_left,
            self.duplicates_left,
        )

    def total_used(self) -> float:
        """What all senders may use at this instant."""
        return sum(holder.usable_quota(self.now) for holder in self.holders)

    def canonical_key(self) -> tuple[object, ...]:
        """What tells it from another state: how far off times are, how old words; what is over is left out."""
        now = self.now

        def ahead(rows: Iterable[tuple[float, float]]) -> tuple[object, ...]:
            return tuple(sorted((amount, until - now) for amount, until in rows if until > now))

        def age(k: int, epoch: int, number: int) -> object:
            keeper = self.grantors[k]
            at = keeper.response_times.get(number, -LONG_AGO_MS) if keeper.epoch == epoch else -LONG_AGO_MS
            return at - now if now - at < TERMS.deposit_ms else None

        holders = tuple(
            (
                h.grantor,
                h.epoch,
                age(int(h.grantor[1:]), h.epoch, h.response_number) if h.grantor else None,
                tuple(
                    (s - h.seq, at - now) for s, at in h.pending_requests.items() if now - at < TERMS.grant_ms
                ),
                tuple(sorted((place, rows) for place, kept in h.deposits.items() if (rows := ahead(kept)))),
                (h.grant[0], h.grant[1] - now, h.grant[2] - h.seq) if h.grant[1] > now else (),
            )
            for h in self.holders
        )
        keepers = tuple(
            (
                k.epoch,
                tuple(sorted((s, n - self.holders[int(s[1:])].seq) for s, n in k.latest_request.items())),
                tuple(sorted((s, row) for s, kept in k.deposits.items() if (row := ahead([kept])))),
                tuple(sorted((s, rows) for s, kept in k.grants.items() if (rows := ahead(kept)))),
                tuple(sorted((s, row) for s, kept in k.demands.items() if (row := ahead([kept])))),
            )
            for k in self.grantors
        )
        asks = sorted(
            (
                s,
                k,
                a.seq - self.holders[s].seq,
                a.epoch,
                repr(age(k, a.epoch, a.response_number)),
                a.deposit,
                a.demand,
            )
            for s, k, a in self.requests_in_flight
        )
        replies = sorted(
            (s, k, r.seq - self.holders[s].seq, r.epoch, repr(age(k, r.epoch, r.response_number)), r.grant)
            for s, k, r in self.responses_in_flight
        )
        return holders, keepers, tuple(asks), tuple(replies), self.crashes_left, self.duplicates_left


def _copy_holder(h: LeaseHolder) -> LeaseHolder:
    return replace(
        h,
        pending_requests=dict(h.pending_requests),
        deposits={place: list(rows) for place, rows in h.deposits.items()},
    )


def _copy_grantor(k: LeaseGrantor) -> LeaseGrantor:
    return replace(
        k,
        response_times=dict(k.response_times),
        latest_request=dict(k.latest_request),
        deposits=dict(k.deposits),
        grants={s: list(rows) for s, rows in k.grants.items()},
        demands=dict(k.demands),
    )


def initial_state(
    senders: int, grantors: int, max_crashes: int, max_duplicates: int, after_first_response: bool = False
) -> LeaseState:
    """All begin at once; `acquainted`: each has had a first reply of the first keeper, and its old loans are over."""
    began = -TERMS.deposit_ms if after_first_response else 0.0
    holders = [LeaseHolder(TERMS, 1.0 / senders, began) for _ in range(senders)]
    world = LeaseState(
        0.0, holders, [LeaseGrantor(TERMS, 1) for _ in range(grantors)], [], [], max_crashes, max_duplicates
    )
    for number, holder in enumerate(world.holders if after_first_response else ()):
        reply = world.grantors[0].handle_request(0.0, f"s{number}", holder.make_request(0.0, "k0", 0.0))
        assert reply
        holder.handle_response(0.0, "k0", reply)
    return world


@dataclass(frozen=True, slots=True)
class StepLimits:
    """What may happen: so many words on their way at once, and whether replies may be late as asks may.

    The first sender wants everything or nothing, from ask to ask, the others everything: it is who lends.
    """

    max_in_flight: int = 1
    responses_may_be_late: bool = True


def next_states(
    state: LeaseState, limits: StepLimits, restart: Callable[[LeaseState, int], None]
) -> Iterator[tuple[Step, LeaseState]]:
    """Everything that may happen next, with the state that it leads to.

    An ask that is answered within the same instant is one step: without it the same states are reached in three.
    """
    after = state.copy()
    after.now += 1.0
    yield ("time",), after
    room = len(state.requests_in_flight) + len(state.responses_in_flight) < limits.max_in_flight
    for s in range(len(state.holders)):
        for k, want in (
            (k, want) for k in range(len(state.grantors)) for want in ((1.0, 0.0) if s == 0 else (1.0,))
        ):
            after = state.copy(s, k)
            ask = after.holders[s].make_request(after.now, f"k{k}", want)
            if room:
                late = after.copy()
                late.requests_in_flight.append((s, k, ask))
                yield ("asks", f"s{s}", f"k{k}", f"wants {want:.0f}"), late
            yield from _arrival_steps(after, s, k, ask, room and limits.responses_may_be_late)
    for n, (s, k, ask) in enumerate(state.requests_in_flight):
        after = state.copy()
        del after.requests_in_flight[n]
        yield ("lost", f"ask of s{s}"), after
        yield from _arrival_steps(after.copy(s, k), s, k, ask, limits.responses_may_be_late)
        if state.duplicates_left:
            after = state.copy(s, k)
            after.duplicates_left -= 1
            yield from _arrival_steps(after, s, k, ask, room and limits.responses_may_be_late)
    for n, (s, k, reply) in enumerate(state.responses_in_flight):
        after = state.copy(s)
        after.holders[s].handle_response(after.now, f"k{k}", reply)
        del after.responses_in_flight[n]
        yield ("answered late", f"s{s}", f"k{k}"), after
    for k in range(len(state.grantors)) if state.crashes_left else ():
        after = state.copy()
        after.crashes_left -= 1
        after.grantors[k] = LeaseGrantor(TERMS, after.grantors[k].epoch + 1)
        yield ("crash", f"k{k}"), after
    for s in range(len(state.holders)) if state.crashes_left else ():
        after = state.copy()
        after.crashes_left -= 1
        restart(after, s)
        yield ("restart", f"s{s}"), after


def _arrival_steps(
    world: LeaseState, s: int, k: int, request: QuotaLeaseRequest, may_delay: bool
) -> Iterator[tuple[Step, LeaseState]]:
    """The keeper has it; its reply comes at once, or later, or never (as one that waits for ever)."""
    reply = world.grantors[k].handle_request(world.now, f"s{s}", request)
    if reply is None:
        yield ("arrives", f"s{s}", f"k{k}", "too late"), world
        return
    if may_delay:
        late = world.copy()
        late.responses_in_flight.append((s, k, reply))
        yield ("arrives", f"s{s}", f"k{k}"), late
    after = world.copy(s)
    after.holders[s].handle_response(world.now, f"k{k}", reply)
    yield ("answered", f"s{s}", f"k{k}"), after


def restart_process(state: LeaseState, s: int) -> None:
    """A sender's process died, and its next one starts in the same instant."""
    before = state.holders[s]
    state.holders[s] = LeaseHolder(TERMS, before.own_quota, state.now, seq=before.seq)
    state.responses_in_flight = [row for row in state.responses_in_flight if row[0] != s]


@dataclass(frozen=True, slots=True)
class LeaseSearchResult:
    """How far the search went, and the first way to a sum over the whole, if any."""

    states: int
    depth: int
    max_used: float
    trace: tuple[Step, ...] = ()


def explore(
    initial: LeaseState,
    depth: int,
    limits: StepLimits | None = None,
    max_states: int = 1_000_000,
    restart: Callable[[LeaseState, int], None] = restart_process,
) -> LeaseSearchResult:
    """Breadth first, each state once; stops at the first breach, which is then a shortest one."""
    seen = {initial.canonical_key()}
    queue: deque[tuple[LeaseState, tuple[Step, ...]]] = deque([(initial, ())])
    reached = 0
    most = initial.total_used()
    while queue:
        world, way = queue.popleft()
        reached = len(way)
        if reached >= depth:
            continue
        for step, after in next_states(world, limits or StepLimits(), restart):
            used = after.total_used()
            most = max(most, used)
            if used > MAX_TOTAL_SHARE:
                return LeaseSearchResult(len(seen), reached + 1, used, (*way, step))
            key = after.canonical_key()
            if key not in seen and len(seen) < max_states:
                seen.add(key)
                queue.append((after, (*way, step)))
    return LeaseSearchResult(len(seen), reached, most)
