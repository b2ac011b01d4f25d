"""Garbage collection held back while a large list is taken in.

The collector walks all that lives whenever enough has been made: with 50,000 endpoints that is a standstill of more
than 100 ms, several times over.  What a list is made of lives on, so it is put out of the collector's sight instead
(`gc.freeze`); endpoints that go later are freed by their counts, since nothing that stays refers to them.
"""

from __future__ import annotations

import gc

LARGE_LIST_SIZE = 1000  # entries from which it is worth while


class GcPause:
    """Nests: the collector is back once all that began have ended."""

    depth = 0

    @classmethod
    def begin(cls) -> None:
        """Hold the collector back."""
        cls.depth += 1
        gc.disable()

    @classmethod
    def end(cls) -> None:
        """Put what was made out of its sight, and let it run again."""
        cls.depth -= 1
        if cls.depth == 0:
            gc.freeze()
            gc.enable()
