"""Incrementally updated digests over ranges of key hashes, by which two replicas compare their entries.  No I/O.

A range is identified by a prefix, the first hexadecimal digits of the hashes of its keys.  Its digest is the
exclusive or of the hashes of all entries in it, so that a change costs one step per level, whatever the length of the
list.
"""

from __future__ import annotations

from collections.abc import Iterator

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from kestreltrack.fleet.reconcile.entries import ENCODE, Entry, Key

# 65,536 ranges at the lowest level: about 15 entries per range for a list of a million entries.
TREE_DEPTH = 4
HEX_DIGITS = "0123456789abcdef"


def range_prefix(key: Key) -> str:
    """Return the prefix of the lowest-level range that contains a key."""
    return xxh3_64_hexdigest(ENCODE(key))[:TREE_DEPTH]


def entry_hash(entry: Entry) -> int:
    """Return the hash of an entry."""
    return xxh3_64_intdigest(ENCODE(entry))


class DigestTree:
    """The digests of all ranges of the entries of one replica."""

    def __init__(self) -> None:
        self._digests: dict[str, int] = {}
        self._counts: dict[str, int] = {}
        # By the prefix of the lowest-level range.
        self._entry_hashes: dict[str, dict[Key, int]] = {}

    def update(self, key: Key, entry: Entry | None) -> None:
        """Replace the entry of a key; `None` removes it."""
        leaf_prefix = range_prefix(key)
        hashes = self._entry_hashes.setdefault(leaf_prefix, {})
        old_count = len(hashes)
        old_hash = hashes.pop(key, None)
        new_hash = None if entry is None else entry_hash(entry)
        if new_hash is not None:
            hashes[key] = new_hash
        if not hashes:
            del self._entry_hashes[leaf_prefix]
        digest_change = (old_hash or 0) ^ (new_hash or 0)
        count_change = len(hashes) - old_count
        for level in range(TREE_DEPTH + 1):
            prefix = leaf_prefix[:level]
            self._digests[prefix] = self._digests.get(prefix, 0) ^ digest_change
            self._counts[prefix] = self._counts.get(prefix, 0) + count_change
            if not self._counts[prefix]:
                del self._digests[prefix], self._counts[prefix]

    def digest(self, prefix: str) -> int:
        """Return the digest of a range."""
        return self._digests.get(prefix, 0)

    def count(self, prefix: str) -> int:
        """Return the number of entries in a range."""
        return self._counts.get(prefix, 0)

    def children(self, prefix: str) -> list[int]:
        """Return the digests of the sixteen child ranges of a range."""
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
