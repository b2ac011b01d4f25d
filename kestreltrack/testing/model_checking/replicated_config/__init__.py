"""Bounded model checker for the replicated configuration: explores all interleavings of transitions up to a depth.

The transitions are the production code in `fleet/replicated_config/protocol.py`.  Any sender may request a lease from
any other or receive a change at any time, or never, which covers every partition, including one-way ones.  A paused
sender is one that takes no step while time passes.  Clocks deviate as far as the parameters allow: those of the first
sender and of the coordinator are fast, that of the last sender is slow.

The invariants, in every state: no two senders act on contradictory versions, and no sender acts on an older version
than before.
"""

from __future__ import annotations

from kestreltrack.testing.model_checking.replicated_config.search import (
    ReplicationSearchResult,
    SearchLimits,
    converges,
    explore,
    random_walk,
)
from kestreltrack.testing.model_checking.replicated_config.state import (
    ReplicationState,
    initial_state,
    prepared_by_majority,
    version,
)
from kestreltrack.testing.model_checking.replicated_config.steps import (
    RestartStep,
    Step,
    next_states,
    restart_process,
)

__all__ = [
    "ReplicationSearchResult",
    "ReplicationState",
    "RestartStep",
    "SearchLimits",
    "Step",
    "converges",
    "explore",
    "initial_state",
    "next_states",
    "prepared_by_majority",
    "random_walk",
    "restart_process",
    "version",
]
