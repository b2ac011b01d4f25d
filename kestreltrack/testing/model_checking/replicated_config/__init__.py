"""Search over all interleavings of the replicated configuration's transitions, to a depth.

The transitions (`fleet/replicated_config/protocol.py`) are the code that senders run.  Any sender may request a lease
of any other, receive a change, or not, at any moment: that covers every partition between them, one-way ones too.  A
pause is a sender that does nothing while time passes.  Clocks deviate as far as the parameters allow: the ones of the
first sender and of the coordinator are fast, the one of the last sender is slow.

In each state no two senders act on versions that contradict, and none on something older than before.
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
