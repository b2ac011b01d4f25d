"""One member's replica of the list: edits, and the messages by which all replicas converge.  No I/O.

**Messages.**  Each call returns datagrams to send.  `RootDigest` carries the digest of all entries.  A member that
has another one responds with the digests of the sixteen child ranges, and so on recursively for those that differ.
For a range with few entries the hashes of all are sent (`LeafHashes`), and then only the entries that one of the two
lacks, so the cost grows with the difference.  Messages may be lost, delayed, duplicated or reordered: the next
`RootDigest` starts over, and no state is kept per comparison.  Edits are also sent immediately.

**Vectors.**  `Replica.vector` covers the edits whose effect is in the entries.  It grows by the member's own edits,
and by the vector of another member that holds the same entries.  The id of a replica is generated at its first edit
after each start, whatever is on disk, so that an emptied, restored or copied folder cannot reuse a dot.

**Tombstones.**  A key without a value is dropped once the vector of every member covers it (causal stability).  What
it replaced can then only reappear from a late datagram or a restored folder, which are answered with `Tombstone`.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Sequence

import msgspec

from kestreltrack.fleet.reconcile.digests import HEX_DIGITS, TREE_DEPTH, DigestTree
from kestreltrack.fleet.reconcile.entries import (
    ENCODE,
    Dot,
    Entry,
    Key,
    Sibling,
    VersionVector,
    contains_context,
    contains_dot,
    is_tombstone,
    join,
    merge_contexts,
    merge_vectors,
)
from kestreltrack.fleet.reconcile.errors import EditRejectedError, InvalidReplicaStateError
from kestreltrack.fleet.reconcile.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_LEAF_ENTRIES,
    ChildDigests,
    EntryRequest,
    EntryUpdate,
    LeafHashes,
    RootDigest,
    SyncMessage,
    Tombstone,
    pack_datagrams,
    unpack_datagram,
)
from kestreltrack.fleet.reconcile.resolution import Conflict, ResolvedDestination, find_conflict, resolve

# Bounds the datagrams in response to one; the rest follows after the next `RootDigest`.
MAX_RESPONSE_DATAGRAMS = 64
# Maximal size of a `RootDigest` without its vectors.
ROOT_HEADER_BYTES = 32


class ReplicaState(msgspec.Struct, array_like=True, frozen=True):
    """What a member stores on disk."""

    entries: list[Entry]
    vector: VersionVector
    member_vectors: dict[str, VersionVector]


class Replica:
    """One member's replica of the list.

    Attributes:
        name: The name of the member.
        members: The names of all members with a replica, also of those that are unreachable or down.
        entries: The entries by key.
        digests: The digests of the entries.
        vector: The edits whose effect is in the entries.
        member_vectors: The last known vector of each other member.
    """

    def __init__(
        self, name: str, members: Sequence[str], generate_id: Callable[[], int] | None = None
    ) -> None:
        self.name = name
        self.members = tuple(members)
        self.entries: dict[Key, Entry] = {}
        self.digests = DigestTree()
        self.vector: VersionVector = {}
        self.member_vectors: dict[str, VersionVector] = {}
        self._generate_id = generate_id or _random_id
        # Generated at the first edit; 0 before.
        self._replica_id = 0
        # The keys of the tombstones in `entries`.
        self._tombstones: set[Key] = set()
        self._comparison_count = 0

    # Edits and their result

    def edit(self, key: Key, value: str, author: str, edited_at_s: int) -> list[bytes]:
        """Replace all local values of a key, and return the datagrams to send to all members.

        Args:
            key: The field and the destination.
            value: The new value; an empty one withdraws the previous values.
            author: Who makes the edit.
            edited_at_s: The Unix time in seconds.

        Raises:
            EditRejectedError: The edit exceeds the limits that every member enforces.
        """
        self._replica_id = self._replica_id or self._generate_id()
        number = self.vector.get(self._replica_id, 0) + 1
        dot = (self._replica_id, number)
        before = self.entries.get(key)
        sibling = Sibling(dot, value, author, edited_at_s, self._stable_ancestor(before))
        context = merge_contexts(dict(before.context) if before else {}, {self._replica_id: number})
        entry = Entry(key, (sibling,), context)
        try:
            msgspec.msgpack.decode(ENCODE(entry), type=Entry)
        except msgspec.ValidationError as error:
            raise EditRejectedError(f"{key.field} of {key.destination}", str(error)) from error
        self.vector[self._replica_id] = number
        self._store(key, entry)
        return pack_datagrams([EntryUpdate(entry)])

    def _stable_ancestor(self, before: Entry | None) -> tuple[Dot, str] | None:
        """Return the newest edit that every member has: the current one, or the common ancestor of all siblings."""
        if before is None:
            return None
        if len(before.siblings) == 1:
            sibling = before.siblings[0]
            if contains_dot(sibling.dot, self.stable_vector()):
                return sibling.dot, sibling.value
        ancestors = {sibling.stable_ancestor for sibling in before.siblings}
        return next(iter(ancestors)) if len(ancestors) == 1 else None

    def resolve(self, destination: str, fields: Iterable[str]) -> ResolvedDestination:
        """Return the resolved state of a destination, from the given fields."""
        keys = {field: Key(destination, field) for field in fields}
        return resolve({field: self.entries[key] for field, key in keys.items() if key in self.entries})

    def conflicts(self) -> list[Conflict]:
        """Return all conflicts that staff have to resolve."""
        conflicts = (find_conflict(entry) for _, entry in sorted(self.entries.items()))
        return [conflict for conflict in conflicts if conflict is not None]

    # Messages between members

    def start_comparison(self) -> list[bytes]:
        """Return the datagrams that start a comparison with any other member; a few comparisons a minute suffice."""
        self._comparison_count += 1
        rows = [(self.name, self.vector)]
        size = len(ENCODE((self.name, self.vector)))
        for name in self._members_round_robin():
            size += len(ENCODE((name, self.member_vectors[name])))
            if size > MAX_DATAGRAM_BYTES - ROOT_HEADER_BYTES:
                break
            rows.append((name, self.member_vectors[name]))
        return pack_datagrams([RootDigest(self.digests.digest(""), rows)])

    def _members_round_robin(self) -> list[str]:
        """Return the members with known vectors, starting with a different one at each comparison."""
        names = sorted(self.member_vectors)
        if not names:
            return []
        first = self._comparison_count % len(names)
        return names[first:] + names[:first]

    def receive(self, data: bytes) -> list[bytes]:
        """Handle a datagram, and return the response datagrams; a malformed one has no effect."""
        responses = (
            response for message in unpack_datagram(data) for response in self._handle_message(message)
        )
        return pack_datagrams(responses)[:MAX_RESPONSE_DATAGRAMS]

    def _handle_message(self, message: SyncMessage) -> Iterable[SyncMessage]:
        match message:
            case RootDigest():
                return self._handle_root(message)
            case ChildDigests():
                return self._handle_child_digests(message)
            case LeafHashes():
                return self._handle_leaf_hashes(message)
            case EntryRequest():
                return self._handle_entry_request(message)
            case EntryUpdate():
                return self._handle_entry(message.entry)
            case Tombstone():
                return self._handle_tombstone(message)

    def _handle_root(self, root: RootDigest) -> list[SyncMessage]:
        for name, vector in root.member_vectors:
            if name in self.members and name != self.name:
                self.member_vectors[name] = merge_vectors(self.member_vectors.get(name, {}), vector)
        responses: list[SyncMessage] = []
        if root.digest != self.digests.digest(""):
            responses = [self._descend("")]
        elif root.member_vectors:
            _, sender_vector = root.member_vectors[0]
            self.vector = merge_vectors(self.vector, sender_vector)
        self._collect_tombstones()
        return responses

    def _descend(self, prefix: str) -> SyncMessage:
        """Return the next message about a differing range: hashes if it has few entries, else child digests."""
        if len(prefix) == TREE_DEPTH or self.digests.count(prefix) <= MAX_LEAF_ENTRIES:
            hashes = [entry_hash for _, entry_hash in self.digests.entry_hashes(prefix)]
            return LeafHashes(prefix, hashes[:MAX_LEAF_ENTRIES])
        return ChildDigests(prefix, self.digests.children(prefix))

    def _handle_child_digests(self, message: ChildDigests) -> list[SyncMessage]:
        if len(message.prefix) == TREE_DEPTH:
            # A lowest-level range has no child ranges.
            return []
        local_digests = self.digests.children(message.prefix)
        return [
            self._descend(message.prefix + digit)
            for digit, local, remote in zip(HEX_DIGITS, local_digests, message.digests, strict=True)
            if local != remote
        ]

    def _handle_leaf_hashes(self, message: LeafHashes) -> list[SyncMessage]:
        local_hashes = dict(self.digests.entry_hashes(message.prefix))
        remote_hashes = set(message.hashes)
        responses: list[SyncMessage] = []
        missing = sorted(remote_hashes - set(local_hashes.values()))
        if missing:
            responses.append(EntryRequest(message.prefix, missing))
        responses += [
            EntryUpdate(self.entries[key])
            for key, entry_hash in local_hashes.items()
            if entry_hash not in remote_hashes
        ]
        return responses

    def _handle_entry_request(self, message: EntryRequest) -> list[SyncMessage]:
        requested = set(message.hashes)
        return [
            EntryUpdate(self.entries[key])
            for key, entry_hash in self.digests.entry_hashes(message.prefix)
            if entry_hash in requested
        ]

    def _handle_entry(self, remote: Entry) -> list[SyncMessage]:
        local = self.entries.get(remote.key)
        entry = join(local, remote, lambda dot: contains_dot(dot, self.vector))
        if entry is None:
            return [Tombstone(remote.key, remote.context)]
        if entry != local:
            self._store(remote.key, entry)
        return []

    def _handle_tombstone(self, tombstone: Tombstone) -> list[SyncMessage]:
        """Drop the siblings that a tombstone covers; there is no response."""
        local = self.entries.get(tombstone.key)
        replaced = dict(tombstone.context)
        if local is None:
            return []
        if contains_context(replaced, local.context):
            self._store(tombstone.key, None)
            return []
        siblings = tuple(sibling for sibling in local.siblings if not contains_dot(sibling.dot, replaced))
        context = merge_contexts(dict(local.context), replaced)
        self._store(tombstone.key, Entry(tombstone.key, siblings, context))
        return []

    # Causal stability and garbage collection

    def stable_vector(self) -> VersionVector:
        """Return the vector of the edits whose effect every member holds, as far as this member knows."""
        vectors = [
            self.vector,
            *(self.member_vectors.get(name, {}) for name in self.members if name != self.name),
        ]
        return {replica: min(vector.get(replica, 0) for vector in vectors) for replica in self.vector}

    def _collect_tombstones(self) -> None:
        """Drop the tombstones of which no member can hold an older state."""
        stable = self.stable_vector()
        dropped = [key for key in self._tombstones if contains_context(stable, self.entries[key].context)]
        for key in dropped:
            self._store(key, None)

    def _store(self, key: Key, entry: Entry | None) -> None:
        """Replace the entry of a key; `None` removes it."""
        if entry is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry
        if entry is not None and is_tombstone(entry):
            self._tombstones.add(key)
        else:
            self._tombstones.discard(key)
        self.digests.update(key, entry)

    # Stored state

    def encode_state(self) -> bytes:
        """Return the encoded state, to be stored before an edit is confirmed to staff."""
        return ENCODE(ReplicaState(self._sorted_entries(), self.vector, self.member_vectors))

    def restore(self, data: bytes) -> None:
        """Restore a stored state.

        Raises:
            InvalidReplicaStateError: The state cannot be decoded, and nothing has changed.
        """
        try:
            state = msgspec.msgpack.decode(data, type=ReplicaState)
        except msgspec.MsgspecError as error:
            raise InvalidReplicaStateError(str(error)) from error
        self.vector = dict(state.vector)
        self.member_vectors = dict(state.member_vectors)
        for entry in state.entries:
            self._store(entry.key, entry)

    def canonical_bytes(self) -> bytes:
        """Return an encoding of the entries that is equal at all members with the same edits."""
        return ENCODE(self._sorted_entries())

    def _sorted_entries(self) -> list[Entry]:
        return [entry for _, entry in sorted(self.entries.items())]


def _random_id() -> int:
    """Return a replica id of 63 random bits, the range of `Count`."""
    return int.from_bytes(os.urandom(8), "big") >> 1
