"""One member's copy of the list: its edits, and the words by which all copies become one.  No I/O.

**Words** (each call gives datagrams to send, at most `MOST` bytes).  `Root` tells the digest of all that is held.
Who has another answers with the digests of its sixteen parts, and so on down into the parts that differ; of a part
with few entries the hashes of all are told (`Leaf`), and then only entries that one of the two lacks are sent.  So
the cost grows with the difference.  Any word may be lost, late, repeated or out of order: the next `Root` begins
anew, and no state is held for another member.  Edits are also told at once.

**What a member has seen.**  `vector` covers edits whose effect is in what it holds.  It grows by its own edits, and
by another's where both hold the same.  A replica's id is drawn at its first edit after each start, whatever is on
disk: an emptied or restored folder, or a copied one, can never give a dot twice.

**Tombstones.**  A key that says nothing any more is dropped once every member's vector covers it (causal stability):
nobody can still hold what it replaced, but for a late datagram or a folder put back.  Those are told `Gone`.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.reconcile.digests import HEX_DIGITS, TREE_DEPTH, DigestTree
from kestreltrack.fleet.reconcile.entries import (
    ENCODE,
    Conflict,
    Dot,
    Entry,
    Key,
    ResolvedDestination,
    Sibling,
    VersionVector,
    contains_context,
    contains_dot,
    find_conflict,
    is_tombstone,
    join,
    merge_vectors,
    resolve,
)
from kestreltrack.fleet.replicated_config.errors import EditRejectedError

MAX_DATAGRAM_BYTES = 1000  # bytes of one datagram: membership carries so many within its 1,200
MAX_LEAF_ENTRIES = 48  # entries of a part whose hashes are told outright
MAX_RESPONSE_DATAGRAMS = 64  # datagrams in answer to one: the rest comes with the next `Root`

Prefix = Annotated[str, Meta(max_length=TREE_DEPTH, pattern="^[0-9a-f]*$")]
Hash = int  # of 64 bits


class RootDigest(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The digest of all, and what some members have seen, its sender first."""

    digest: Hash
    member_vectors: list[tuple[Annotated[str, Meta(max_length=64)], VersionVector]]


class ChildDigests(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """The digests of a range's sixteen parts."""

    prefix: Prefix
    digests: Annotated[list[Hash], Meta(min_length=16, max_length=16)]


class LeafHashes(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """The hashes of all entries in a range."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Send me the entries of a range that have these hashes."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryUpdate(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """An entry."""

    entry: Entry


class Tombstone(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """All that was said of a key within this context is over, and every member knew so."""

    key: Key
    context: tuple[Dot, ...]


SyncMessage = RootDigest | ChildDigests | LeafHashes | EntryRequest | EntryUpdate | Tombstone
_DECODE: msgspec.msgpack.Decoder[list[SyncMessage]] = msgspec.msgpack.Decoder(list[SyncMessage])


def pack_datagrams(messages: Iterable[SyncMessage]) -> list[bytes]:
    """As few as hold them all, in order; a word that none can hold is left out."""
    found, open_, size = list[bytes](), list[msgspec.Raw](), 3
    for word in messages:
        data = ENCODE(word)
        if len(data) + 3 > MAX_DATAGRAM_BYTES:
            continue
        if size + len(data) > MAX_DATAGRAM_BYTES:
            found.append(ENCODE(open_))
            open_, size = [], 3
        open_.append(msgspec.Raw(data))
        size += len(data)
    return [*found, ENCODE(open_)] if open_ else found


class ReplicaState(msgspec.Struct, array_like=True, frozen=True):
    """What a member keeps on disk."""

    entries: list[Entry]
    vector: VersionVector
    member_vectors: dict[str, VersionVector]


class Replica:
    """One member's copy."""

    def __init__(
        self, name: str, members: Sequence[str], generate_id: Callable[[], int] | None = None
    ) -> None:
        """`members` are all that hold a copy, by name, also those that are cut off or down."""
        self.name, self.members = name, tuple(members)
        self._generate_id = generate_id or (lambda: int.from_bytes(os.urandom(8), "big") >> 1)
        self._replica_id = 0
        self.entries: dict[Key, Entry] = {}
        self._tombstones: set[Key] = set()  # those that say nothing
        self.digests = DigestTree()
        self.vector: VersionVector = {}
        self.member_vectors: dict[str, VersionVector] = {}  # of each member, itself left out
        self._root_count = 0

    # Staff

    def edit(self, key: Key, value: str, author: str, edited_at_s: int) -> list[bytes]:
        """Say something of a key in the place of all that is said of it here; an empty value takes it back.

        Raises `EditRefused`.
        """
        self._replica_id = self._replica_id or self._generate_id()
        dot = (self._replica_id, self.vector.get(self._replica_id, 0) + 1)
        before = self.entries.get(key)
        entry = Entry(
            key,
            (Sibling(dot, value, author, edited_at_s, self._stable_ancestor(before)),),
            tuple(sorted(merge_vectors(dict(before.context) if before else {}, {dot[0]: dot[1]}).items())),
        )
        try:
            msgspec.msgpack.decode(ENCODE(entry), type=Entry)
        except msgspec.ValidationError as bad:
            raise EditRejectedError(f"{key.field} of {key.destination}", str(bad)) from bad
        self.vector[dot[0]] = dot[1]
        self._store(key, entry)
        return pack_datagrams([EntryUpdate(entry)])

    def _stable_ancestor(self, before: Entry | None) -> tuple[Dot, str] | None:
        """What every member had: what is said now, else what its sides knew."""
        if before is None:
            return None
        if len(before.siblings) == 1 and contains_dot(before.siblings[0].dot, self.stable_vector()):
            return before.siblings[0].dot, before.siblings[0].value
        knew = {side.stable_ancestor for side in before.siblings}
        return next(iter(knew)) if len(knew) == 1 else None

    def resolve(self, destination: str, fields: Iterable[str]) -> ResolvedDestination:
        """What the list says of a partner, by the fields that are asked for."""
        keys = {field: Key(destination, field) for field in fields}
        return resolve({field: self.entries[key] for field, key in keys.items() if key in self.entries})

    def conflicts(self) -> list[Conflict]:
        """All that staff have to settle."""
        return [found for _, entry in sorted(self.entries.items()) if (found := find_conflict(entry))]

    # Others

    def start_comparison(self) -> list[bytes]:
        """Begin a comparison with any other member; a few of these a minute are enough."""
        self._root_count += 1
        others = sorted(self.member_vectors)
        others = (
            others[self._root_count % len(others) :] + others[: self._root_count % len(others)]
            if others
            else []
        )
        rows, size = [(self.name, self.vector)], len(ENCODE((self.name, self.vector)))
        for name in others:
            size += len(ENCODE((name, self.member_vectors[name])))
            if size > MAX_DATAGRAM_BYTES - 32:
                break
            rows.append((name, self.member_vectors[name]))
        return pack_datagrams([RootDigest(self.digests.digest(""), rows)])

    def receive(self, data: bytes) -> list[bytes]:
        """Take a datagram; what to answer.  Noise changes nothing and has no answer."""
        try:
            words = _DECODE.decode(data)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return []
        return pack_datagrams(answer for word in words for answer in self._handle_message(word))[
            :MAX_RESPONSE_DATAGRAMS
        ]

    def _handle_message(self, message: SyncMessage) -> Iterable[SyncMessage]:
        match message:
            case RootDigest():
                return self._handle_root(message)
            case ChildDigests():
                mine = (
                    self.digests.children(message.prefix)
                    if len(message.prefix) < TREE_DEPTH
                    else message.digests
                )
                both = zip(HEX_DIGITS, mine, message.digests, strict=True)
                return [self._descend(message.prefix + digit) for digit, own, other in both if own != other]
            case LeafHashes():
                own = dict(self.digests.entry_hashes(message.prefix))
                theirs = set(message.hashes)
                have: list[SyncMessage] = [
                    EntryUpdate(self.entries[key]) for key, found in own.items() if found not in theirs
                ]
                want = sorted(theirs - set(own.values()))
                return [EntryRequest(message.prefix, want), *have] if want else have
            case EntryRequest():
                wanted = set(message.hashes)
                marks = self.digests.entry_hashes(message.prefix)
                return [EntryUpdate(self.entries[key]) for key, found in marks if found in wanted]
            case EntryUpdate():
                return self._handle_entry(message.entry)
            case Tombstone():
                self._handle_tombstone(message)
                return []

    def _descend(self, prefix: str) -> SyncMessage:
        """The next thing to say of a range that differs."""
        if len(prefix) == TREE_DEPTH or self.digests.count(prefix) <= MAX_LEAF_ENTRIES:
            return LeafHashes(
                prefix, [found for _, found in self.digests.entry_hashes(prefix)][:MAX_LEAF_ENTRIES]
            )
        return ChildDigests(prefix, self.digests.children(prefix))

    def _handle_root(self, root: RootDigest) -> list[SyncMessage]:
        for name, vector in root.member_vectors:
            if name in self.members and name != self.name:
                self.member_vectors[name] = merge_vectors(self.member_vectors.get(name, {}), vector)
        answer: list[SyncMessage] = []
        if root.digest != self.digests.digest(""):
            answer = [self._descend("")]
        elif root.member_vectors:
            self.vector = merge_vectors(self.vector, root.member_vectors[0][1])
        self._collect_tombstones()
        return answer

    def _handle_entry(self, remote: Entry) -> list[SyncMessage]:
        mine = self.entries.get(remote.key)
        entry = join(mine, remote, lambda dot: contains_dot(dot, self.vector))
        if entry is None:
            return [Tombstone(remote.key, remote.context)]
        if entry != mine:
            self._store(remote.key, entry)
        return []

    def _handle_tombstone(self, tombstone: Tombstone) -> None:
        mine, over = self.entries.get(tombstone.key), dict(tombstone.context)
        if mine is None:
            return
        if contains_context(over, mine.context):
            self._store(tombstone.key, None)
            return
        sides = tuple(side for side in mine.siblings if not contains_dot(side.dot, over))
        self._store(
            tombstone.key,
            Entry(tombstone.key, sides, tuple(sorted(merge_vectors(dict(mine.context), over).items()))),
        )

    # What every member has

    def stable_vector(self) -> VersionVector:
        """The edits whose effect every member holds, as far as is known here."""
        rows = [
            self.vector,
            *(self.member_vectors.get(name, {}) for name in self.members if name != self.name),
        ]
        return {replica: min(row.get(replica, 0) for row in rows) for replica in self.vector}

    def _collect_tombstones(self) -> None:
        """Let go of keys that say nothing and that nobody can hold in an older state."""
        stable = self.stable_vector()
        for key in [key for key in self._tombstones if contains_context(stable, self.entries[key].context)]:
            self._store(key, None)

    def _store(self, key: Key, entry: Entry | None) -> None:
        if entry is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry
        (self._tombstones.add if entry is not None and is_tombstone(entry) else self._tombstones.discard)(key)
        self.digests.update(key, entry)

    # On disk

    def encode_state(self) -> bytes:
        """To be kept before an edit is confirmed to staff."""
        entries = [entry for _, entry in sorted(self.entries.items())]
        return ENCODE(ReplicaState(entries, self.vector, self.member_vectors))

    def restore(self, data: bytes) -> None:
        """Go on from what was kept; raises `msgspec.MsgspecError`."""
        state = msgspec.msgpack.decode(data, type=ReplicaState)
        self.vector, self.member_vectors = dict(state.vector), dict(state.member_vectors)
        for entry in state.entries:
            self._store(entry.key, entry)

    def canonical_bytes(self) -> bytes:
        """What the list says, in the same bytes at every member that has the same edits."""
        return ENCODE([entry for _, entry in sorted(self.entries.items())])
