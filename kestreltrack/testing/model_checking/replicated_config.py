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

from kestreltrack.fleet.replicated_config.document import Version
from kestreltrack.fleet.replicated_config.protocol import (
    CommitCoordinator,
    CommitRecord,
    ConfigReplica,
    PersistentState,
    PreparedChange,
    Promise,
    ReadLeaseParameters,
    ReadLeaseRequest,
    ReadLeaseResponse,
)

Step = tuple[str, ...]
TERMS = ReadLeaseParameters(lease_ms=2.0, lease_check_ms=0.0, clock_drift=1.0 / 3.0, max_stop_ms=10.0)
FAST_CLOCK_RATE = 1.0 + TERMS.clock_drift
SLOW_CLOCK_RATE = 1.0 - TERMS.clock_drift


def version(number: int) -> Version:
    """Revisions of one epoch."""
    return Version(1, number)


@dataclass(slots=True)
class ReplicationState:
    """One state."""

    now: float
    replicas: list[ConfigReplica]
    commit_record: CommitRecord
    coordinator: CommitCoordinator | None
    compatible_revisions: frozenset[
        int
    ]  # revisions that merely add to the one before; all others contradict each other
    max_revision: int  # the last revision that anybody proposes
    crashes_left: int  # still allowed, of senders and publishers together
    duplicates_left: int
    responses_in_flight: list[tuple[int, int, ReadLeaseResponse]] = field(
        default_factory=list
    )  # on their way: to whom, from whom
    requests_in_flight: list[tuple[int, int, ReadLeaseRequest]] = field(default_factory=list)
    changes_in_flight: list[tuple[int, PreparedChange]] = field(default_factory=list)
    promises_in_flight: list[tuple[int, Promise]] = field(default_factory=list)
    last_acted_on: list[Version] = field(default_factory=list)  # the newest that each has acted on

    def clock(self, s: int) -> float:
        """A sender's own."""
        return self.now * (
            FAST_CLOCK_RATE if s == 0 else SLOW_CLOCK_RATE if s == len(self.replicas) - 1 else 1.0
        )

    def copy(self, *changed: int) -> ReplicationState:
        """One whose readers `changed` and all the rest may be changed alone."""
        readers = [
            replace(
                r,
                pending_requests=dict(r.pending_requests),
                lease_request_times=dict(r.lease_request_times),
                issued_leases=dict(r.issued_leases),
            )
            if s in changed
            else r
            for s, r in enumerate(self.replicas)
        ]
        p = self.coordinator
        return replace(
            self,
            replicas=readers,
            responses_in_flight=list(self.responses_in_flight),
            requests_in_flight=list(self.requests_in_flight),
            changes_in_flight=list(self.changes_in_flight),
            promises_in_flight=list(self.promises_in_flight),
            last_acted_on=list(self.last_acted_on),
            coordinator=p
            and replace(
                p,
                promised_at=dict(p.promised_at),
                voters_without_stale_leases=set(p.voters_without_stale_leases),
            ),
        )

    def readable_revisions(self) -> list[frozenset[int]]:
        """The revisions that each acts within; none of one without a lease."""
        found = [reader.readable_versions(self.clock(s)) for s, reader in enumerate(self.replicas)]
        return [frozenset(v.revision for v in pair or ()) for pair in found]

    def violation(self) -> str:
        """What is wrong with this state, if anything; call once, it notes what each acts on."""
        readings = self.readable_revisions()
        for (s, one), (t, other) in combinations(enumerate(readings), 2):
            if one and other and self._contradict(one, other):
                return f"s{s} acts on {sorted(one)} and s{t} on {sorted(other)}"
        for s, reading in enumerate(readings):
            if reading:
                if version(max(reading)) < self.last_acted_on[s]:
                    return f"s{s} acts on {sorted(reading)} after {self.last_acted_on[s]}"
                self.last_acted_on[s] = version(max(reading))
        return ""

    def _contradict(self, one: frozenset[int], other: frozenset[int]) -> bool:
        """A narrow reading does only what both of its documents allow, so one document in common is enough."""
        return not any(
            a == b or (abs(a - b) == 1 and max(a, b) in self.compatible_revisions) for a in one for b in other
        )

    def canonical_key(self) -> tuple[object, ...]:
        """What tells it from another state: how far off times are; what is over is left out."""
        terms = TERMS
        clocks = [self.clock(s) for s in range(len(self.replicas))]
        readers = tuple(
            (
                r.state.committed,
                r.state.acknowledged,
                tuple(
                    sorted(
                        (v, round(at - now, 3))
                        for v, at in r.lease_request_times.items()
                        if now - at < terms.lease_ms
                    )
                ),
                tuple(
                    sorted((n, round(u - now, 3), on) for n, (u, on) in r.issued_leases.items() if u > now)
                ),
                max(0.0, round(r.started_at + terms.certain_expiry_ms - now, 3)),
                self.last_acted_on[s],
            )
            for s, (r, now) in enumerate(zip(self.replicas, clocks, strict=True))
        )

        def made(s: int, seq: int) -> float:
            ago = clocks[s] - self.replicas[s].pending_requests.get(seq, -1e9)
            return round(ago, 3) if ago < terms.lease_ms else terms.lease_ms

        p = self.coordinator
        fast = self.now * FAST_CLOCK_RATE
        publisher = p and (
            p.version,
            tuple(
                sorted(
                    (v, max(-terms.certain_expiry_ms, round(at - fast, 3))) for v, at in p.promised_at.items()
                )
            ),
            tuple(sorted(p.voters_without_stale_leases)),
        )
        ways: tuple[list[Any], ...] = (
            sorted((s, w, made(s, a.seq), a.granted) for s, w, a in self.responses_in_flight),
            sorted((s, w, made(s, a.seq), a.acknowledged) for s, w, a in self.requests_in_flight),
            sorted((s, w.version) for s, w in self.changes_in_flight),
            sorted((s, w.version, w.no_stale_leases) for s, w in self.promises_in_flight),
        )
        record = (self.commit_record.committed, self.commit_record.prepared, self.commit_record.settled)
        return readers, record, publisher, tuple(map(tuple, ways)), self.crashes_left, self.duplicates_left


def initial_state(
    senders: int = 3,
    max_revision: int = 2,
    compatible_revisions: frozenset[int] = frozenset(),
    max_crashes: int = 1,
    max_duplicates: int = 1,
    prepared_by_majority: bool = False,
) -> ReplicationState:
    """All have revision 1 in force and a lease on it; `underway`: a majority has acknowledged revision 2 just now."""
    first = version(1)
    names = frozenset(f"s{s}" for s in range(senders))
    readers = [ConfigReplica(TERMS, PersistentState(first, first), names, -100.0) for _ in range(senders)]
    world = ReplicationState(
        0.0,
        readers,
        CommitRecord(first, first),
        None,
        compatible_revisions,
        max_revision,
        max_crashes,
        max_duplicates,
    )
    world.last_acted_on = [first] * senders
    for s, reader in enumerate(readers):
        ask = reader.make_request(0.0)
        for w, voter in enumerate(readers):
            reader.handle_response(0.0, f"s{w}", voter.handle_request(0.0, f"s{s}", ask))
    if prepared_by_majority:
        world.commit_record = CommitRecord(first, version(2))
        world.coordinator = CommitCoordinator(TERMS, names, version(2))
        for s in range(senders // 2 + 1):
            readers[s].acknowledge(PreparedChange(version(2), first))
            world.coordinator.handle_promise(0.0, f"s{s}", readers[s].make_promise(0.0))
    return world


def restart_process(state: ReplicationState, s: int) -> None:
    """A sender's process died, and its next one starts in the same instant with what was kept."""
    before = state.replicas[s]
    state.replicas[s] = ConfigReplica(TERMS, before.state, before.voters, state.clock(s), seq=before.seq)


RestartStep = Callable[[ReplicationState, int], None]


def next_states(
    state: ReplicationState, max_in_flight: int, restart: RestartStep = restart_process
) -> Iterator[tuple[Step, ReplicationState]]:
    """Everything that may happen next; a word that comes at once is one step with what it answers to."""
    after = state.copy()
    after.now += 1.0
    yield ("time",), after
    words = (
        len(state.responses_in_flight)
        + len(state.requests_in_flight)
        + len(state.changes_in_flight)
        + len(state.promises_in_flight)
    )
    yield from _request_steps(state, words < max_in_flight)
    yield from _publish_steps(state, words < max_in_flight)
    yield from _delayed_message_steps(state)
    if not state.crashes_left:
        return
    for s in range(len(state.replicas)):
        after = state.copy()
        after.crashes_left -= 1
        restart(after, s)
        yield ("restart", f"s{s}"), after
    if state.coordinator:
        after = state.copy()
        after.crashes_left -= 1
        after.coordinator = None
        yield ("publisher dies",), after


def _request_steps(world: ReplicationState, may_delay: bool) -> Iterator[tuple[Step, ReplicationState]]:
    """Whoever asks another asks itself as well."""
    for s in range(len(world.replicas)):
        for w in (w for w in range(len(world.replicas)) if w != s):
            after = world.copy(s, w)
            ask = after.replicas[s].make_request(after.clock(s))
            own = after.replicas[s].handle_request(after.clock(s), f"s{s}", ask)
            after.replicas[s].handle_response(after.clock(s), f"s{s}", own)
            if may_delay:
                late = after.copy(s)
                late.requests_in_flight.append((s, w, ask))
                yield ("asks", f"s{s}", f"s{w}"), late
            answer = after.replicas[w].handle_request(after.clock(w), f"s{s}", ask)
            if may_delay and answer.granted:
                late = after.copy(s)
                late.responses_in_flight.append((s, w, answer))
                yield ("is answered late", f"s{s}", f"s{w}"), late
            after.replicas[s].handle_response(after.clock(s), f"s{w}", answer)
            yield ("is answered", f"s{s}", f"s{w}"), after


def _publish_steps(world: ReplicationState, may_delay: bool) -> Iterator[tuple[Step, ReplicationState]]:
    record = world.commit_record
    number = world.commit_record.prepared.revision
    if number < world.max_revision and (proposed := record.prepare(record.committed, version(number + 1))):
        after = world.copy()  # also in the place of one that has not taken force
        after.commit_record = proposed
        after.coordinator = CommitCoordinator(TERMS, after.replicas[0].voters, proposed.prepared)
        yield ("prepare", str(number + 1)), after
    if world.coordinator is None and (record.prepared != record.committed or not record.settled):
        after = world.copy()
        after.coordinator = CommitCoordinator(TERMS, after.replicas[0].voters, record.prepared)
        yield ("another publisher",), after
    if world.coordinator is not None:
        adds = number in world.compatible_revisions and number == record.committed.revision + 1
        if written := world.coordinator.next_record(world.now * FAST_CLOCK_RATE, record, adds):
            after = world.copy()
            after.commit_record = written
            yield ("force", str(number)), after
    for s, reader in enumerate(world.replicas):
        if reader.state.committed < record.committed:
            after = world.copy(s)
            after.replicas[s].commit(record.committed)
            yield ("hears of force", f"s{s}"), after
        word = PreparedChange(record.prepared, record.committed)
        if reader.state.acknowledged < word.version and word.version != record.committed:
            if may_delay:
                late = world.copy()
                late.changes_in_flight.append((s, word))
                yield ("hears late", f"s{s}"), late
            after = world.copy(s)
            after.replicas[s].acknowledge(word)
            yield from _promise_steps(after, s, may_delay, "hears")
        elif world.coordinator and reader.state.acknowledged == world.coordinator.version:
            yield from _promise_steps(world, s, may_delay, "is asked again")


def _promise_steps(
    world: ReplicationState, s: int, may_delay: bool, step_name: str
) -> Iterator[tuple[Step, ReplicationState]]:
    """Its promise comes at once or later; one that is lost is one that never comes."""
    promise = world.replicas[s].make_promise(world.clock(s))
    if may_delay:
        late = world.copy()
        late.promises_in_flight.append((s, promise))
        yield (f"{step_name}, promises late", f"s{s}"), late
    after = world.copy()
    if after.coordinator:
        after.coordinator.handle_promise(after.now * FAST_CLOCK_RATE, f"s{s}", promise)
    yield (step_name, f"s{s}"), after


def _delayed_message_steps(world: ReplicationState) -> Iterator[tuple[Step, ReplicationState]]:
    """Words that were on their way; each may be repeated, or never come, as one that waits for ever."""
    for again in range(2 if world.duplicates_left else 1):
        for n, (s, w, answer) in enumerate(world.responses_in_flight):
            after = world.copy(s)
            after.replicas[s].handle_response(after.clock(s), f"s{w}", answer)
            yield (
                ("late answer", f"s{s}", f"s{w}"),
                _consume_message(after, after.responses_in_flight, n, again),
            )
        for n, (s, w, ask) in enumerate(world.requests_in_flight):
            after = world.copy(s, w)
            answer = after.replicas[w].handle_request(after.clock(w), f"s{s}", ask)
            after.replicas[s].handle_response(after.clock(s), f"s{w}", answer)
            yield ("late ask", f"s{s}", f"s{w}"), _consume_message(after, after.requests_in_flight, n, again)
        for n, (s, word) in enumerate(world.changes_in_flight):
            after = world.copy(s)
            after.replicas[s].acknowledge(word)
            yield ("late word", f"s{s}"), _consume_message(after, after.changes_in_flight, n, again)
        for n, (s, promise) in enumerate(world.promises_in_flight):
            after = world.copy()
            if after.coordinator:
                after.coordinator.handle_promise(after.now * FAST_CLOCK_RATE, f"s{s}", promise)
            yield ("late promise", f"s{s}"), _consume_message(after, after.promises_in_flight, n, again)


def _consume_message(world: ReplicationState, words: list[Any], n: int, again: int) -> ReplicationState:
    world.duplicates_left -= again
    if not again:
        del words[n]
    return world


def converges(state: ReplicationState, rounds: int = 12) -> bool:
    """Whether all act on the last proposal once nothing is lost any more, whoever published before."""
    after = state.copy(*range(len(state.replicas)))
    for _ in range(rounds):
        record = after.commit_record
        after.coordinator = after.coordinator or CommitCoordinator(
            TERMS, after.replicas[0].voters, record.prepared
        )
        if after.coordinator.version != record.prepared:
            after.coordinator = CommitCoordinator(TERMS, after.replicas[0].voters, record.prepared)
        for s, reader in enumerate(after.replicas):
            reader.commit(record.committed)
            reader.acknowledge(PreparedChange(record.prepared, record.committed))
            ask = reader.make_request(after.clock(s))
            for w, voter in enumerate(after.replicas):
                reader.handle_response(
                    after.clock(s), f"s{w}", voter.handle_request(after.clock(w), f"s{s}", ask)
                )
        for s, reader in enumerate(after.replicas):
            after.coordinator.handle_promise(
                after.now * FAST_CLOCK_RATE, f"s{s}", reader.make_promise(after.clock(s))
            )
        after.commit_record = (
            after.coordinator.next_record(after.now * FAST_CLOCK_RATE, record, False) or record
        )
        if after.violation():
            return False
        after.now += 1.0
    return all(reading == {after.commit_record.prepared.revision} for reading in after.readable_revisions())


@dataclass(frozen=True, slots=True)
class ReplicationSearchResult:
    """How far the search went, and the first way to a breach, if any."""

    states: int
    depth: int
    violation: str = ""
    trace: tuple[Step, ...] = ()
    max_committed_revision: int = 0  # the newest revision in force in any state


def explore(
    initial: ReplicationState,
    depth: int,
    max_in_flight: int = 1,
    max_states: int = 1_000_000,
    restart: RestartStep = restart_process,
    convergence_check_interval: int = 0,
) -> ReplicationSearchResult:
    """Breadth first, each state once, to a shortest breach; of each `heal_every`th state also whether it heals."""
    seen = {initial.canonical_key()}
    queue: deque[tuple[ReplicationState, tuple[Step, ...]]] = deque([(initial, ())])
    reached = forced = 0
    while queue:
        world, way = queue.popleft()
        reached = len(way)
        if reached >= depth:
            continue
        for step, after in next_states(world, max_in_flight, restart):
            if breach := after.violation():
                return ReplicationSearchResult(len(seen), reached + 1, breach, (*way, step))
            key = after.canonical_key()
            if key in seen or len(seen) >= max_states:
                continue
            seen.add(key)
            forced = max(forced, after.commit_record.committed.revision)
            if (
                convergence_check_interval
                and len(seen) % convergence_check_interval == 0
                and not converges(after)
            ):
                return ReplicationSearchResult(len(seen), reached + 1, "it does not heal", (*way, step))
            queue.append((after, (*way, step)))
    return ReplicationSearchResult(len(seen), reached, "", (), forced)


def random_walk(
    initial: ReplicationState,
    seed: int,
    length: int,
    max_in_flight: int = 2,
    restart: RestartStep = restart_process,
) -> ReplicationSearchResult:
    """One long way drawn by the seed, where a search ends by its states; a fifth of its steps are time's."""
    draw = random.Random(seed)
    world = initial.copy(*range(len(initial.replicas)))
    way = list[Step]()
    for _ in range(length):
        found = list(next_states(world, max_in_flight, restart))
        step, world = found[0] if draw.random() < 0.2 else draw.choice(found)
        way.append(step)
        if breach := world.violation():
            return ReplicationSearchResult(len(way), len(way), breach, tuple(way))
    healed = "" if converges(world) else "it does not heal"
    return ReplicationSearchResult(length, length, healed, tuple(way), world.commit_record.committed.revision)
