"""Digests over ranges of hashes, kept up to date with each change: what two replicas compare.  No I/O.

A range is named by the first hexadecimal digits of the hashes of its keys.  Its digest is the exclusive or of the
hashes of all entries in it, so that a change costs one step a level, whatever the list's length.
"""

from __future__ import annotations

from collections.abc import Iterator

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from kestreltrack.fleet.reconcile.entries import ENCODE, Entry, Key

TREE_DEPTH = 4  # 65,536 ranges at the lowest
HEX_DIGITS = "0123456789abcdef"


def range_prefix(key: Key) -> str:
    """The lowest range that a key lies in."""
    return xxh3_64_hexdigest(ENCODE(key))[:TREE_DEPTH]


def entry_hash(entry: Entry) -> int:
    """An entry's hash."""
    return xxh3_64_intdigest(ENCODE(entry))


class DigestTree:
    """Of one replica's entries."""

    def __init__(self) -> None:
        """Of none."""
        self._digest: dict[str, int] = {}
        self._count: dict[str, int] = {}
        self._entry_hashes: dict[str, dict[Key, int]] = {}  # by lowest range

    def update(self, key: Key, entry: Entry | None) -> None:
        """An entry as it is from now on, or none."""
        at = range_prefix(key)
        held = self._entry_hashes.setdefault(at, {})
        before, new = held.pop(key, None), None if entry is None else entry_hash(entry)
        if new is not None:
            held[key] = new
        if not held:
            del self._entry_hashes[at]
        change, more = (before or 0) ^ (new or 0), (new is not None) - (before is not None)
        for level in range(TREE_DEPTH + 1):
            prefix = at[:level]
            self._digest[prefix] = self._digest.get(prefix, 0) ^ change
            self._count[prefix] = self._count.get(prefix, 0) + more
            if not self._count[prefix]:
                del self._digest[prefix], self._count[prefix]

    def digest(self, prefix: str) -> int:
        """Of one range."""
        return self._digest.get(prefix, 0)

    def count(self, prefix: str) -> int:
        """How many entries lie in it."""
        return self._count.get(prefix, 0)

    def children(self, prefix: str) -> list[int]:
        """The digests of its sixteen parts."""
        return [self.digest(prefix + digit) for digit in HEX_DIGITS]

    def entry_hashes(self, prefix: str) -> Iterator[tuple[Key, int]]:
        """Keys and hashes of the entries in it."""
        if not self.count(prefix):
            return
        if len(prefix) == TREE_DEPTH:
            yield from self._entry_hashes[prefix].items()
            return
        for digit in HEX_DIGITS:
            yield from self.entry_hashes(prefix + digit)
