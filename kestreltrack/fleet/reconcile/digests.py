"""Digests over ranges of hashes, kept up to date with each change: what two replicas compare.  No I/O.

A range is named by the first hexadecimal digits of the hashes of its keys.  Its digest is the exclusive or of the
hashes of all entries in it, so that a change costs one step a level, whatever the length of the list.
"""

from __future__ import annotations

from collections.abc import Iterator

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from kestreltrack.fleet.reconcile.entries import ENCODE, Entry, Key

# 65,536 ranges at the lowest level: a list of a million entries has about 15 in each of them.
TREE_DEPTH = 4
HEX_DIGITS = "0123456789abcdef"


def range_prefix(key: Key) -> str:
    """Return the lowest range that a key is in."""
    return xxh3_64_hexdigest(ENCODE(key))[:TREE_DEPTH]


def entry_hash(entry: Entry) -> int:
    """Return the hash of an entry."""
    return xxh3_64_intdigest(ENCODE(entry))


class DigestTree:
    """The digests of all ranges of one replica's entries."""

    def __init__(self) -> None:
        self._digest: dict[str, int] = {}
        self._count: dict[str, int] = {}
        # By lowest range.
        self._entry_hashes: dict[str, dict[Key, int]] = {}

    def update(self, key: Key, entry: Entry | None) -> None:
        """Replace the entry of a key; `None` removes it."""
        lowest_range = range_prefix(key)
        hashes = self._entry_hashes.setdefault(lowest_range, {})
        old_count = len(hashes)
        old_hash = hashes.pop(key, None)
        new_hash = None if entry is None else entry_hash(entry)
        if new_hash is not None:
            hashes[key] = new_hash
        if not hashes:
            del self._entry_hashes[lowest_range]
        digest_change = (old_hash or 0) ^ (new_hash or 0)
        count_change = len(hashes) - old_count
        for level in range(TREE_DEPTH + 1):
            prefix = lowest_range[:level]
            self._digest[prefix] = self._digest.get(prefix, 0) ^ digest_change
            self._count[prefix] = self._count.get(prefix, 0) + count_change
            if not self._count[prefix]:
                del self._digest[prefix], self._count[prefix]

    def digest(self, prefix: str) -> int:
        """Return the digest of a range."""
        return self._digest.get(prefix, 0)

    def count(self, prefix: str) -> int:
        """Return how many entries are in a range."""
        return self._count.get(prefix, 0)

    def children(self, prefix: str) -> list[int]:
        """Return the digests of the sixteen parts of a range."""
        return [self.digest(prefix + digit) for digit in HEX_DIGITS]

    def entry_hashes(self, prefix: str) -> Iterator[tuple[Key, int]]:
        """Yield the keys and hashes of the entries in a range."""
        if not self.count(prefix):
            return
        if len(prefix) == TREE_DEPTH:
            yield from self._entry_hashes[prefix].items()
            return
        for digit in HEX_DIGITS:
            yield from self.entry_hashes(prefix + digit)
