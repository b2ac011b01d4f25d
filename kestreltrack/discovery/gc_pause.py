"""Suspends garbage collection while a large endpoint list is decoded and applied.

The collector traverses all live objects whenever enough new ones have been allocated: with 50,000 endpoints this
repeatedly blocks the event loop for more than 100 ms.  Because the objects of a list are long-lived, they are moved
to the collector's permanent generation instead (`gc.freeze`).  Endpoints that are removed later are freed by
reference counting, since they are not part of reference cycles.
"""

from __future__ import annotations

import gc

# Entries from which a pause saves more time than the delayed collection costs.
LARGE_LIST_SIZE = 1000


class GcPause:
    """Suspends the garbage collector of the process; pauses nest, and the end of the last one resumes it."""

    depth = 0

    @classmethod
    def begin(cls) -> None:
        """Suspend the collector."""
        cls.depth += 1
        gc.disable()

    @classmethod
    def end(cls) -> None:
        """End one pause; the last one moves live objects to the permanent generation and resumes the collector."""
        cls.depth -= 1
        if cls.depth == 0:
            gc.freeze()
            gc.enable()
