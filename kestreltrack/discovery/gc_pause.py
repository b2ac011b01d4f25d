"""Suspends garbage collection while a large endpoint list is decoded and applied.

The collector traverses all live objects whenever enough new ones were made: with 50,000 endpoints that stops the
event loop for more than 100 ms, several times.  The objects of a list are long-lived, so they are moved to the
collector's permanent generation instead (`gc.freeze`).  Endpoints that are removed later are freed by reference
counting, since no reference cycle contains them.
"""

from __future__ import annotations

import gc

# From this number of entries a pause saves more time than the collection it delays costs.
LARGE_LIST_SIZE = 1000


class GcPause:
    """Suspends the collector of the process; pauses nest, and the collector runs again after the last one ended."""

    depth = 0

    @classmethod
    def begin(cls) -> None:
        """Suspend the collector."""
        cls.depth += 1
        gc.disable()

    @classmethod
    def end(cls) -> None:
        """End one pause; the last one moves all live objects out of the collector's sight and resumes it."""
        cls.depth -= 1
        if cls.depth == 0:
            gc.freeze()
            gc.enable()
