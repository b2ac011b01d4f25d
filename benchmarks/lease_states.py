"""How many states the search over leases reaches, and whether any of them breaks the sum.

python benchmarks/lease_states.py SENDERS KEEPERS CRASHES REPEATS DEPTH
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.lab.check.leases import explore, start

if __name__ == "__main__":
    senders, keepers, crashes, repeats, depth = (int(word) for word in sys.argv[1:])
    began = time.monotonic()
    found = explore(start(senders, keepers, crashes, repeats, acquainted=True), depth, most_states=3_000_000)
    took = time.monotonic() - began
    print(
        f"{found.states} states to depth {found.depth} in {took:.0f} s, {found.most:.3f} in use", *found.way
    )
