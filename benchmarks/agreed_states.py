"""How many states the search over agreed versions reaches, and whether any of them breaks a property.

python benchmarks/agreed_states.py SENDERS REVISIONS CRASHES REPEATS WORDS_ON_WAY UNDERWAY DEPTH
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.lab.check.agreed import explore, start

if __name__ == "__main__":
    senders, revisions, crashes, repeats, on_way, underway, depth = (int(word) for word in sys.argv[1:])
    first = start(senders, revisions, crashes=crashes, repeats=repeats, underway=bool(underway))
    began = time.monotonic()
    found = explore(first, depth, on_way, most_states=2_000_000, heal_every=100)
    took = time.monotonic() - began
    print(f"{found.states} states to depth {found.depth} in {took:.0f} s, revision {found.forced} in force")
    print(found.breach or "no breach", *found.way)
