"""Breadth-first search of the state space."""

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

# The budget of 1, plus a tolerance for floating-point rounding.
MAX_TOTAL_SHARE = 1.0 + 1e-9


@dataclass(frozen=True, slots=True)
class LeaseSearchResult:
    """The extent of a search, and the trace to the first state that exceeds the budget, if any.

    Attributes:
        states: The number of distinct states reached.
        depth: The length of the longest trace explored.
        max_used: The largest sum of usable quotas in any state.
        trace: The steps to the violation; empty if there is none.
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
    """Explore each state once, breadth first, and stop at the first violation, whose trace is a shortest one.

    Args:
        initial: The initial state.
        depth: The maximum number of steps from it.
        limits: Bounds on the steps.
        max_states: The maximum number of states; states beyond it are not explored.
        restart: Restarts the process of a holder.
    """
    seen = {initial.canonical_key()}
    queue: deque[tuple[LeaseState, tuple[Step, ...]]] = deque([(initial, ())])
    reached_depth = 0
    max_used = initial.total_usable_quota()
    while queue:
        state, trace = queue.popleft()
        reached_depth = len(trace)
        if reached_depth >= depth:
            continue
        for step, after in next_states(state, limits, restart):
            used = after.total_usable_quota()
            max_used = max(max_used, used)
            if used > MAX_TOTAL_SHARE:
                return LeaseSearchResult(len(seen), reached_depth + 1, used, (*trace, step))
            key = after.canonical_key()
            if key not in seen and len(seen) < max_states:
                seen.add(key)
                queue.append((after, (*trace, step)))
    return LeaseSearchResult(len(seen), reached_depth, max_used)
