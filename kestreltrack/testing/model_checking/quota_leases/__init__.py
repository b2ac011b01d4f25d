"""Search over all interleavings of the quota leases' transitions, to a depth.

The transitions (`fleet/quota_leases.py`) are the code that senders run.  A state is the holders, the grantors, the
messages in flight, and the time; two states that differ only by how long they have lasted are one.  Messages may be
lost, late or repeated, and processes may crash and restart.  Any holder may send a request to any grantor at any
moment: that covers every partition, every view of the membership, and two grantors at once.  A pause is a holder or
grantor that does nothing while time passes.

In each state all holders together may use at most the quota, which is 1.
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
