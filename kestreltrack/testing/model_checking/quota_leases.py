"""Search over all interleavings of the quota leases' transitions, to a depth.

The transitions (`fleet/quota_leases.py`) are the code that senders run.  A state is the holders, the grantors, the
messages in flight, and the time; two states that differ only by how long they have lasted are one.  Messages may be
lost, late or repeated, and processes may crash and restart.  Any holder may send a request to any grantor at any
moment: that covers every partition, every view of the membership, and two grantors at once.  A pause is a holder or
grantor that does nothing while time passes.

In each state all holders together may use at most the quota, which is 1.
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

# What happened, and to whom.
Step = tuple[str, ...]
NextState = tuple[Step, "LeaseState"]
# The sum of shares may be over 1 by the rounding of floating-point numbers.
MAX_TOTAL_SHARE = 1.0 + 1e-9
# A grant of one step of time and a deposit of three: they expire within few steps.
PARAMETERS = QuotaLeaseParameters(deposit_ms=3.0, grant_ms=1.0, reserved_fraction=0.25, clock_drift=0.0)
# A response that is not remembered any more was made so long ago.
FORGOTTEN_AT_MS = -1e9


@dataclass(slots=True)
class LeaseState:
    """One state.  A holder and a grantor are given by their index.

    Attributes:
        now: The time in milliseconds.
        holders: The senders as holders of leases.
        grantors: The senders as grantors of leases.
        requests_in_flight: The holder that a request is of, the grantor that it is for, and the request.
        responses_in_flight: The holder that a response is for, the grantor that it is of, and the response.
        crashes_left: How many holders and grantors may still crash.
        duplicates_left: How many messages may still be repeated.
    """

    now: float
    holders: list[LeaseHolder]
    grantors: list[LeaseGrantor]
    requests_in_flight: list[tuple[int, int, QuotaLeaseRequest]]
    responses_in_flight: list[tuple[int, int, QuotaLeaseResponse]]
    crashes_left: int
    duplicates_left: int

    def copy(self, changed_holder: int = -1, changed_grantor: int = -1) -> LeaseState:
        """Return a copy of which this holder and grantor, and all else but the others, may be changed."""
        return LeaseState(
            self.now,
            [
                _copy_holder(holder) if n == changed_holder else holder
                for n, holder in enumerate(self.holders)
            ],
            [
                _copy_grantor(grantor) if n == changed_grantor else grantor
                for n, grantor in enumerate(self.grantors)
            ],
            list(self.requests_in_flight),
            list(self.responses_in_flight),
            self.crashes_left,
            self.duplicates_left,
        )

    def total_used(self) -> float:
        """Return what all holders may use at this instant."""
        return sum(holder.usable_quota(self.now) for holder in self.holders)

    def messages_in_flight(self) -> int:
        """Return how many messages are in flight."""
        return len(self.requests_in_flight) + len(self.responses_in_flight)

    # Identity

    def canonical_key(self) -> tuple[object, ...]:
        """Return what distinguishes this state from others.

        Times are relative to now, numbers of messages to the newest one, and what has expired is left out.
        """
        return (
            tuple(self._holder_key(holder) for holder in self.holders),
            tuple(self._grantor_key(grantor) for grantor in self.grantors),
            self._requests_key(),
            self._responses_key(),
            self.crashes_left,
            self.duplicates_left,
        )

    def _holder_key(self, holder: LeaseHolder) -> tuple[object, ...]:
        last_response_age = None
        if holder.grantor:
            # The name of a grantor is `k` and its index.
            grantor = int(holder.grantor[1:])
            last_response_age = self._response_age(grantor, holder.epoch, holder.response_number)
        pending_requests = tuple(
            (seq - holder.seq, at - self.now)
            for seq, at in holder.pending_requests.items()
            if self.now - at < PARAMETERS.grant_ms
        )
        deposits = sorted((place, self._unexpired(rows)) for place, rows in holder.deposits.items())
        amount, expires_at, seq = holder.grant
        return (
            holder.grantor,
            holder.epoch,
            last_response_age,
            pending_requests,
            tuple((place, unexpired) for place, unexpired in deposits if unexpired),
            (amount, expires_at - self.now, seq - holder.seq) if expires_at > self.now else (),
        )

    def _grantor_key(self, grantor: LeaseGrantor) -> tuple[object, ...]:
        latest_requests = sorted(
            (name, seq - self.holders[int(name[1:])].seq) for name, seq in grantor.latest_request.items()
        )
        return (
            grantor.epoch,
            tuple(latest_requests),
            self._unexpired_by_name((name, [row]) for name, row in grantor.deposits.items()),
            self._unexpired_by_name(grantor.grants.items()),
            self._unexpired_by_name((name, [row]) for name, row in grantor.demands.items()),
        )

    def _requests_key(self) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    holder,
                    grantor,
                    request.seq - self.holders[holder].seq,
                    request.epoch,
                    repr(self._response_age(grantor, request.epoch, request.response_number)),
                    request.deposit,
                    request.demand,
                )
                for holder, grantor, request in self.requests_in_flight
            )
        )

    def _responses_key(self) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    holder,
                    grantor,
                    response.seq - self.holders[holder].seq,
                    response.epoch,
                    repr(self._response_age(grantor, response.epoch, response.response_number)),
                    response.grant,
                )
                for holder, grantor, response in self.responses_in_flight
            )
        )

    def _unexpired(self, rows: Iterable[tuple[float, float]]) -> tuple[tuple[float, float], ...]:
        """Return the amounts that have not expired, and how long they still last."""
        now = self.now
        return tuple(sorted((amount, expiry - now) for amount, expiry in rows if expiry > now))

    def _unexpired_by_name(
        self, rows_by_name: Iterable[tuple[str, list[tuple[float, float]]]]
    ) -> tuple[object, ...]:
        unexpired_by_name = sorted((name, self._unexpired(rows)) for name, rows in rows_by_name)
        return tuple((name, unexpired) for name, unexpired in unexpired_by_name if unexpired)

    def _response_age(self, grantor: int, epoch: int, response_number: int) -> float | None:
        """Return the negative age of a grantor's response; `None` where a deposit upon it is over."""
        responder = self.grantors[grantor]
        sent_at = FORGOTTEN_AT_MS
        if responder.epoch == epoch:
            sent_at = responder.response_times.get(response_number, FORGOTTEN_AT_MS)
        return sent_at - self.now if self.now - sent_at < PARAMETERS.deposit_ms else None


def _copy_holder(holder: LeaseHolder) -> LeaseHolder:
    return replace(
        holder,
        pending_requests=dict(holder.pending_requests),
        deposits={place: list(rows) for place, rows in holder.deposits.items()},
    )


def _copy_grantor(grantor: LeaseGrantor) -> LeaseGrantor:
    return replace(
        grantor,
        response_times=dict(grantor.response_times),
        latest_request=dict(grantor.latest_request),
        deposits=dict(grantor.deposits),
        grants={name: list(rows) for name, rows in grantor.grants.items()},
        demands=dict(grantor.demands),
    )


def initial_state(
    senders: int, grantors: int, max_crashes: int, max_duplicates: int, after_first_response: bool = False
) -> LeaseState:
    """Return a state in which all processes start at once.

    `after_first_response`: each holder has had a first response of the first grantor, and what a process before it
    may have deposited has expired.
    """
    started_at = -PARAMETERS.deposit_ms if after_first_response else 0.0
    state = LeaseState(
        now=0.0,
        holders=[LeaseHolder(PARAMETERS, 1.0 / senders, started_at) for _ in range(senders)],
        grantors=[LeaseGrantor(PARAMETERS, 1) for _ in range(grantors)],
        requests_in_flight=[],
        responses_in_flight=[],
        crashes_left=max_crashes,
        duplicates_left=max_duplicates,
    )
    if after_first_response:
        for n, holder in enumerate(state.holders):
            request = holder.make_request(0.0, "k0", 0.0)
            response = state.grantors[0].handle_request(0.0, f"s{n}", request)
            assert response
            holder.handle_response(0.0, "k0", response)
    return state


# Steps


@dataclass(frozen=True, slots=True)
class StepLimits:
    """What may happen.

    The first holder demands everything or nothing, from request to request, the others always everything: so it is
    the one whose quota is lent.

    Attributes:
        max_in_flight: The most messages in flight at once.
        responses_may_be_late: Whether responses may be late, as requests may.
    """

    max_in_flight: int = 1
    responses_may_be_late: bool = True


DEFAULT_STEP_LIMITS = StepLimits()
# Restarts the process of a holder in a state.
RestartStep = Callable[[LeaseState, int], None]


def next_states(state: LeaseState, limits: StepLimits, restart: RestartStep) -> Iterator[NextState]:
    """Yield everything that may happen next, with the state after it.

    A request that has its response within the same instant is one step: without it the same states are reached in
    three.
    """
    after = state.copy()
    after.now += 1.0
    yield ("time",), after
    may_delay = state.messages_in_flight() < limits.max_in_flight
    for holder in range(len(state.holders)):
        for grantor in range(len(state.grantors)):
            yield from _request_steps(state, holder, grantor, limits, may_delay)
    yield from _late_request_steps(state, limits, may_delay)
    yield from _late_response_steps(state)
    if state.crashes_left:
        yield from _crash_steps(state, restart)


def _request_steps(
    state: LeaseState, holder: int, grantor: int, limits: StepLimits, may_delay: bool
) -> Iterator[NextState]:
    for demand in (1.0, 0.0) if holder == 0 else (1.0,):
        after = state.copy(holder, grantor)
        request = after.holders[holder].make_request(after.now, f"k{grantor}", demand)
        if may_delay:
            late = after.copy()
            late.requests_in_flight.append((holder, grantor, request))
            yield ("requests", f"s{holder}", f"k{grantor}", f"demands {demand:.0f}"), late
        may_delay_response = may_delay and limits.responses_may_be_late
        yield from _arrival_steps(after, holder, grantor, request, may_delay_response)


def _late_request_steps(state: LeaseState, limits: StepLimits, may_delay: bool) -> Iterator[NextState]:
    """Yield the loss, the arrival and the repeated arrival of each request in flight."""
    for n, (holder, grantor, request) in enumerate(state.requests_in_flight):
        after = state.copy()
        del after.requests_in_flight[n]
        yield ("lost", f"request of s{holder}"), after
        arrived = after.copy(holder, grantor)
        yield from _arrival_steps(arrived, holder, grantor, request, limits.responses_may_be_late)
        if state.duplicates_left:
            repeated = state.copy(holder, grantor)
            repeated.duplicates_left -= 1
            may_delay_response = may_delay and limits.responses_may_be_late
            yield from _arrival_steps(repeated, holder, grantor, request, may_delay_response)


def _late_response_steps(state: LeaseState) -> Iterator[NextState]:
    for n, (holder, grantor, response) in enumerate(state.responses_in_flight):
        after = state.copy(holder)
        after.holders[holder].handle_response(after.now, f"k{grantor}", response)
        del after.responses_in_flight[n]
        yield ("late response", f"s{holder}", f"k{grantor}"), after


def _crash_steps(state: LeaseState, restart: RestartStep) -> Iterator[NextState]:
    for grantor in range(len(state.grantors)):
        after = state.copy()
        after.crashes_left -= 1
        after.grantors[grantor] = LeaseGrantor(PARAMETERS, after.grantors[grantor].epoch + 1)
        yield ("crash", f"k{grantor}"), after
    for holder in range(len(state.holders)):
        after = state.copy()
        after.crashes_left -= 1
        restart(after, holder)
        yield ("restart", f"s{holder}"), after


def _arrival_steps(
    state: LeaseState, holder: int, grantor: int, request: QuotaLeaseRequest, may_delay: bool
) -> Iterator[NextState]:
    """Yield the arrival of a request; its response comes at once, or later, or is lost and never arrives."""
    names = (f"s{holder}", f"k{grantor}")
    response = state.grantors[grantor].handle_request(state.now, names[0], request)
    if response is None:
        yield ("request arrives", *names, "too late"), state
        return
    if may_delay:
        late = state.copy()
        late.responses_in_flight.append((holder, grantor, response))
        yield ("request arrives", *names), late
    after = state.copy(holder)
    after.holders[holder].handle_response(state.now, names[1], response)
    yield ("has the response", *names), after


def restart_process(state: LeaseState, holder: int) -> None:
    """End the process of a holder, and start the next one in the same instant."""
    before = state.holders[holder]
    state.holders[holder] = LeaseHolder(PARAMETERS, before.own_quota, state.now, seq=before.seq)
    state.responses_in_flight = [row for row in state.responses_in_flight if row[0] != holder]


# Search


@dataclass(frozen=True, slots=True)
class LeaseSearchResult:
    """How far a search went, and the steps to the first state in which more than 1 may be used, if any.

    Attributes:
        states: How many states it reached.
        depth: How many steps deep it went.
        max_used: The most that all holders together may use in any state.
        trace: The steps to the violation; empty where there is none.
    """

    states: int
    depth: int
    max_used: float
    trace: tuple[Step, ...] = ()


def explore(
    initial: LeaseState,
    depth: int,
    limits: StepLimits = DEFAULT_STEP_LIMITS,
    max_states: int = 1_000_000,
    restart: RestartStep = restart_process,
) -> LeaseSearchResult:
    """Search breadth first, each state once, to a violation, which is then a shortest one.

    Args:
        initial: The first state.
        depth: The most steps from it.
        limits: What may happen.
        max_states: The most states; further ones are left out.
        restart: Restarts the process of a holder.
    """
    seen = {initial.canonical_key()}
    queue: deque[tuple[LeaseState, tuple[Step, ...]]] = deque([(initial, ())])
    reached_depth = 0
    max_used = initial.total_used()
    while queue:
        state, trace = queue.popleft()
        reached_depth = len(trace)
        if reached_depth >= depth:
            continue
        for step, after in next_states(state, limits, restart):
            used = after.total_used()
            max_used = max(max_used, used)
            if used > MAX_TOTAL_SHARE:
                return LeaseSearchResult(len(seen), reached_depth + 1, used, (*trace, step))
            key = after.canonical_key()
            if key not in seen and len(seen) < max_states:
                seen.add(key)
                queue.append((after, (*trace, step)))
    return LeaseSearchResult(len(seen), reached_depth, max_used)
