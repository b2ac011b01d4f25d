"""How many states the search over leases reaches, and whether any of them breaks the sum.

python benchmarks/quota_lease_states.py SENDERS KEEPERS CRASHES REPEATS DEPTH
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.testing.model_checking.quota_leases import explore, initial_state

if __name__ == "__main__":
    senders, keepers, crashes, repeats, depth = (int(word) for word in sys.argv[1:])
    began = time.monotonic()
    found = explore(
        initial_state(senders, keepers, crashes, repeats, after_first_response=True),
        depth,
        max_states=3_000_000,
    )
    took = time.monotonic() - began
    print(
        f"{found.states} states to depth {found.depth} in {took:.0f} s, {found.max_used:.3f} in use",
        *found.trace,
    )
