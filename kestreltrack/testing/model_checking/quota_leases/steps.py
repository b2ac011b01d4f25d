"""The transitions of the model: every step that is possible in a state."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kestreltrack.fleet.quota_leases import LeaseGrantor, LeaseHolder, QuotaLeaseRequest
from kestreltrack.testing.model_checking.quota_leases.state import PARAMETERS, LeaseState

# The kind of step, followed by the processes that take part in it.
Step = tuple[str, ...]
NextState = tuple[Step, LeaseState]


@dataclass(frozen=True, slots=True)
class StepLimits:
    """Bounds on the steps.

    Each request of the first holder demands the whole budget or nothing, so its quota can be lent to the others,
    which always demand the whole budget.

    Attributes:
        max_in_flight: The maximum number of messages in flight.
        responses_may_be_late: Whether responses may be delayed, as requests may.
    """

    max_in_flight: int = 1
    responses_may_be_late: bool = True


DEFAULT_STEP_LIMITS = StepLimits()
# Restarts the process of a holder in a state.
RestartStep = Callable[[LeaseState, int], None]


def next_states(state: LeaseState, limits: StepLimits, restart: RestartStep) -> Iterator[NextState]:
    """Yield every possible step with the state that follows it.

    An immediate exchange of request and response is a single step, where the separate steps would take three.
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
    """Yield the loss, the arrival and the duplication of each request in flight."""
    for n, (holder, grantor, request) in enumerate(state.requests_in_flight):
        after = state.copy()
        del after.requests_in_flight[n]
        yield ("lost", f"request of s{holder}"), after
        arrived = after.copy(holder, grantor)
        yield from _arrival_steps(arrived, holder, grantor, request, limits.responses_may_be_late)
        if state.duplicates_left:
            duplicated = state.copy(holder, grantor)
            duplicated.duplicates_left -= 1
            may_delay_response = may_delay and limits.responses_may_be_late
            yield from _arrival_steps(duplicated, holder, grantor, request, may_delay_response)


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
    """Yield the arrival of a request, with its response delivered at once or delayed; a lost one stays in flight."""
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
    """Replace the process of a holder by a new one at the same time."""
    previous = state.holders[holder]
    state.holders[holder] = LeaseHolder(PARAMETERS, previous.own_quota, state.now, seq=previous.seq)
    state.responses_in_flight = [
        in_flight for in_flight in state.responses_in_flight if in_flight[0] != holder
    ]
