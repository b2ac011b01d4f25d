"""Bounded model checker for quota leases: explores all interleavings of their transitions up to a depth.

The transitions are the production code in `fleet/quota_leases.py`.  A state consists of the holders, the grantors,
the messages in flight and the time; states that differ only by a shift in time are equivalent.  Messages may be lost,
delayed or duplicated, and processes may crash and restart.  Any holder may send a request to any grantor at any time,
which covers every partition, every view of the membership, and two grantors at once.  A paused process is a holder or
grantor that takes no step while time passes.

The invariant: in every state the usable quotas of all holders sum to at most the budget, which is 1.
"""

from __future__ import annotations

from kestreltrack.testing.model_checking.quota_leases.search import (
    MAX_TOTAL_SHARE,
    LeaseSearchResult,
    explore,
)
from kestreltrack.testing.model_checking.quota_leases.state import LeaseState, initial_state
from kestreltrack.testing.model_checking.quota_leases.steps import (
    RestartStep,
    Step,
    StepLimits,
    next_states,
    restart_process,
)

__all__ = [
    "MAX_TOTAL_SHARE",
    "LeaseSearchResult",
    "LeaseState",
    "RestartStep",
    "Step",
    "StepLimits",
    "explore",
    "initial_state",
    "next_states",
    "restart_process",
]
