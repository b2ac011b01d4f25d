"""What is still to be told: each fact so many times, those told least often first (infection-style dissemination)."""

from __future__ import annotations

import math

from kestreltrack.fleet.membership.wire import ENCODE, Fact

RETELL = (
    4  # times a fact is told for each power of ten of members: it reaches all but a few in a million (SWIM)
)


class News:
    """The newest fact about each member, and how often it was told."""

    def __init__(self) -> None:
        """Nothing to tell."""
        self._facts: dict[str, tuple[bytes, int]] = {}

    def __len__(self) -> int:
        """How many facts wait to be told."""
        return len(self._facts)

    def tell(self, fact: Fact) -> None:
        """To be told from now on; an older fact about the same member is not any more."""
        self._facts.pop(fact.name, None)
        self._facts[fact.name] = (ENCODE(fact), 0)

    def waiting(self) -> list[tuple[str, bytes]]:
        """Facts by member, encoded, those told least often first."""
        return [(name, fact) for name, (fact, _) in sorted(self._facts.items(), key=lambda row: row[1][1])]

    def told(self, names: list[str], members: int) -> None:
        """These went out once more; what has been told often enough is dropped."""
        most = RETELL * max(1, math.ceil(math.log10(members + 1)))
        for name in names:
            fact, times = self._facts[name]
            if times + 1 >= most:
                del self._facts[name]
            else:
                self._facts[name] = (fact, times + 1)
