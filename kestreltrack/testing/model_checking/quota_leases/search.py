"""Breadth-first search over the states."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from kestreltrack.testing.model_checking.quota_leases.state import LeaseState
from kestreltrack.testing.model_checking.quota_leases.steps import (
    DEFAULT_STEP_LIMITS,
    RestartStep,
    Step,
    StepLimits,
    next_states,
    restart_process,
)

# The sum of shares may be over 1 by the rounding of floating-point numbers.
MAX_TOTAL_SHARE = 1.0 + 1e-9


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
