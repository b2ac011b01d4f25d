"""How many states the search over agreed versions reaches, and whether any of them breaks a property.

python benchmarks/replicated_config_states.py SENDERS REVISIONS CRASHES REPEATS WORDS_ON_WAY UNDERWAY DEPTH
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.testing.model_checking.replicated_config import (
    SearchLimits,
    explore,
    initial_state,
    prepared_by_majority,
)

if __name__ == "__main__":
    senders, revisions, crashes, repeats, on_way, underway, depth = (int(word) for word in sys.argv[1:])
    first = initial_state(senders, revisions, max_crashes=crashes, max_duplicates=repeats)
    if underway:
        first = prepared_by_majority(first)
    began = time.monotonic()
    limits = SearchLimits(on_way, max_states=2_000_000, convergence_check_interval=100)
    found = explore(first, depth, limits)
    took = time.monotonic() - began
    print(
        f"{found.states} states to depth {found.depth} in {took:.0f} s, "
        f"revision {found.max_committed_revision} in force"
    )
    print(found.violation or "no breach", *found.trace)
