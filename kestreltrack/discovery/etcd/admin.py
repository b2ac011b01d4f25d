"""Operators' access to a directory in etcd: reads, changes, imports, and waiting until all senders have applied one.

Every change is a transaction that compares the revisions of the entries that were read, so that concurrent operators
cannot overwrite each other's changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient
from kestreltrack.discovery.etcd.errors import DirectoryChangeError, EtcdError, FailureReason
from kestreltrack.discovery.etcd.layout import decode_entry, encode_entry, endpoints_prefix, senders_prefix
from kestreltrack.discovery.json_format import EndpointFormatError
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb

# Keys per range request.
PAGE_SIZE = 1000
# Attempts at a change before it fails, where each attempt conflicts with a concurrent change.
MAX_ATTEMPTS = 5
# etcd's default limit is 128 operations per transaction.
MAX_CHANGES_PER_TRANSACTION = 100
# Interval between two reads of the senders' registrations.
POLL_INTERVAL_S = 0.02
# Failures after which a call is retried at the next member; any other failure would be the same at all members.
FAILOVER_REASONS = (FailureReason.UNREACHABLE, FailureReason.TIMEOUT, FailureReason.NO_LEADER)


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """The entry of one endpoint.

    Attributes:
        uid: The endpoint's uid, from the key.
        revision: The revision of the last write to the entry.
        value: The value of the key.
        row: The decoded value with the uid added; empty if the value is malformed.
        fault: Why the value is malformed; empty if it is valid.
    """

    uid: str
    revision: int
    value: bytes
    row: dict[str, Any] = field(default_factory=dict)
    fault: str = ""


@dataclass(frozen=True, slots=True)
class RegisteredSender:
    """The registration of one sender.

    Attributes:
        name: The sender's name.
        revision: The newest revision that it has applied; -1 if the registration is malformed.
        version: The version of its software.
    """

    name: str
    revision: int
    version: str


class DirectorySnapshot(NamedTuple):
    """All entries at one revision, ordered by uid."""

    revision: int
    entries: list[DirectoryEntry]


class ImportProgress(NamedTuple):
    """The progress of an import after a transaction: changes made, changes in total, and the newest revision."""

    changes_made: int
    changes_total: int
    revision: int


@dataclass(frozen=True, slots=True)
class EntryChange:
    """A change of one entry, which is made only if the entry is still at the revision that was read.

    Attributes:
        uid: The endpoint's uid.
        expected_revision: The revision of the entry that was read; 0 if there was no entry.
        value: The new value; `None` to delete the entry.
    """

    uid: str
    expected_revision: int
    value: bytes | None


def parse_entry(uid: str, key_value: pb.KeyValue) -> DirectoryEntry:
    """Decode the entry of a key; `fault` is the error that a sender would log."""
    try:
        decode_entry(uid, key_value.value)
    except EndpointFormatError as error:
        return DirectoryEntry(uid, key_value.mod_revision, key_value.value, fault=str(error))
    row: dict[str, Any] = orjson.loads(key_value.value)
    return DirectoryEntry(uid, key_value.mod_revision, key_value.value, {**row, "uid": uid})


class EtcdDirectory:
    """The directory under one prefix.

    Attributes:
        client: The client of the cluster, which the caller closes.
    """

    def __init__(self, client: EtcdClient, prefix: str, timeout_s: float = 2.0) -> None:
        """Create the directory; it connects at the first call.

        Args:
            client: The client of the cluster.
            prefix: The prefix of the directory's keys.
            timeout_s: The time limit of each call to a member, in seconds.
        """
        self.client = client
        self._timeout_s = timeout_s
        self._endpoints_prefix = endpoints_prefix(prefix).encode()
        self._senders_prefix = senders_prefix(prefix).encode()
        # The member to call: the one that answered the last call.
        self._member_index = 0

    # Reads ---------------------------------------------------------------------------------------

    async def list_entries(self) -> DirectorySnapshot:
        """Return all entries.

        Raises:
            EtcdError: No member answered, or one rejected the read.
        """
        revision, key_values = await self._read_all(self._endpoints_prefix)
        return DirectorySnapshot(revision, [parse_entry(self._uid(kv.key), kv) for kv in key_values])

    async def list_senders(self) -> list[RegisteredSender]:
        """Return all registered senders.

        Raises:
            EtcdError: No member answered, or one rejected the read.
        """
        _, key_values = await self._read_all(self._senders_prefix)
        return [self._parse_sender(kv) for kv in key_values]

    async def get(self, uid: str) -> DirectoryEntry | None:
        """Return one entry, or `None` if it does not exist.

        Raises:
            EtcdError: No member answered, or one rejected the read.
        """
        request = pb.RangeRequest(key=self._endpoints_prefix + uid.encode())
        response: pb.RangeResponse = await self._call(rpc.KVStub, "Range", request)
        return parse_entry(uid, response.kvs[0]) if response.kvs else None

    async def wait_until_applied(self, revision: int, timeout_s: float) -> list[RegisteredSender]:
        """Wait until every registered sender has applied `revision`.

        Returns:
            The senders that have not applied it after `timeout_s`; empty if all have.

        Raises:
            EtcdError: No member answered, or one rejected the read.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            behind = [sender for sender in await self.list_senders() if sender.revision < revision]
            if not behind or loop.time() >= deadline:
                return behind
            await asyncio.sleep(POLL_INTERVAL_S)

    def _uid(self, key: bytes) -> str:
        return key.removeprefix(self._endpoints_prefix).decode(errors="replace")

    def _parse_sender(self, key_value: pb.KeyValue) -> RegisteredSender:
        name = key_value.key.removeprefix(self._senders_prefix).decode(errors="replace")
        try:
            row = orjson.loads(key_value.value)
            return RegisteredSender(name, int(row["revision"]), str(row.get("version", "")))
        except (ValueError, KeyError, TypeError):
            return RegisteredSender(name, -1, "unreadable")

    async def _read_all(self, key_prefix: bytes) -> tuple[int, list[pb.KeyValue]]:
        """Read all keys under a prefix page by page at one revision; return that revision and the keys."""
        revision = 0
        first_key = key_prefix
        key_values = list[pb.KeyValue]()
        while True:
            request = pb.RangeRequest(
                key=first_key, range_end=prefix_end(key_prefix), limit=PAGE_SIZE, revision=revision
            )
            response: pb.RangeResponse = await self._call(rpc.KVStub, "Range", request)
            revision = revision or response.header.revision
            key_values.extend(response.kvs)
            if not response.more:
                return revision, key_values
            first_key = response.kvs[-1].key + b"\0"

    async def _call(self, stub: Any, method: str, request: Any) -> Any:
        """Call the member that answered last; fail over to the next one if it is unreachable or has no leader."""
        last_error: EtcdError | None = None
        for _ in range(len(self.client)):
            try:
                return await self.client.call(self._member_index, stub, method, request, self._timeout_s)
            except EtcdError as error:
                if error.reason not in FAILOVER_REASONS:
                    raise
                last_error = error
                self._member_index = (self._member_index + 1) % len(self.client)
        assert last_error is not None
        raise last_error

    # Changes -------------------------------------------------------------------------------------

    async def put(self, row: dict[str, Any]) -> int:
        """Create or overwrite one entry, given in the platform's format; return the new revision.

        Raises:
            DirectoryChangeError: The entry is malformed, or every attempt conflicted with a concurrent change.
            EtcdError: No member answered, or one rejected the change.
        """
        uid, value = self._encoded(row, "")

        def overwrite(current: DirectoryEntry | None) -> EntryChange:
            return EntryChange(uid, current.revision if current else 0, value)

        return await self._change_entry(uid, overwrite)

    async def set_state(self, uid: str, state: str) -> int:
        """Set the state of an entry; return the revision from which it is in effect.

        Raises:
            DirectoryChangeError: The entry does not exist or is malformed, or every attempt conflicted with a
                concurrent change.
            EtcdError: No member answered, or one rejected the change.
        """

        def replace_state(current: DirectoryEntry | None) -> EntryChange | None:
            entry = _require_entry(uid, current)
            if entry.fault:
                raise DirectoryChangeError(f"{uid}: the stored entry cannot be read: {entry.fault}")
            if entry.row["state"] == state:
                return None
            return EntryChange(uid, entry.revision, encode_entry({**entry.row, "state": state}))

        return await self._change_entry(uid, replace_state)

    async def remove(self, uid: str) -> int:
        """Delete an entry; return the new revision.

        Raises:
            DirectoryChangeError: The entry does not exist, or every attempt conflicted with a concurrent change.
            EtcdError: No member answered, or one rejected the change.
        """

        def delete(current: DirectoryEntry | None) -> EntryChange:
            return EntryChange(uid, _require_entry(uid, current).revision, None)

        return await self._change_entry(uid, delete)

    async def import_entries(
        self, rows: Iterable[dict[str, Any]], prune: bool
    ) -> AsyncIterator[ImportProgress]:
        """Write the entries that differ from the stored ones; yield the progress after each transaction.

        Nothing is written if any entry is malformed.  A transaction that conflicts with a concurrent change ends the
        import; earlier transactions are not rolled back.

        Args:
            rows: The entries in the platform's format; those in the state `removed` count as absent.
            prune: Whether to delete stored entries that are absent from `rows`.

        Raises:
            DirectoryChangeError: An entry is malformed, or was changed concurrently during the import.
            EtcdError: No member answered, or one rejected the import.
        """
        values = self._encoded_values(rows)
        revision, existing = await self.list_entries()
        changes = _plan_import(values, existing, prune)
        for first in range(0, len(changes), MAX_CHANGES_PER_TRANSACTION):
            batch = changes[first : first + MAX_CHANGES_PER_TRANSACTION]
            new_revision = await self._compare_and_swap(batch)
            if new_revision is None:
                raise DirectoryChangeError(
                    f"an entry was changed concurrently; {first} of {len(changes)} changes have been made"
                )
            revision = new_revision
            yield ImportProgress(first + len(batch), len(changes), revision)
        if not changes:
            yield ImportProgress(0, 0, revision)

    def _encoded_values(self, rows: Iterable[dict[str, Any]]) -> dict[str, bytes]:
        """Encode the entries to import; return the values by uid."""
        values = dict[str, bytes]()
        for number, row in enumerate(rows, 1):
            uid, value = self._encoded(row, f"entry {number}: ")
            if row.get("state") != "removed":
                values[uid] = value
        return values

    def _encoded(self, row: dict[str, Any], context: str) -> tuple[str, bytes]:
        """Encode an entry; return its uid and value.  Error messages begin with `context`."""
        try:
            value = encode_entry(row)
        except EndpointFormatError as error:
            raise DirectoryChangeError(f"{context}{error}") from error
        return row["uid"], value

    async def _change_entry(
        self, uid: str, plan_change: Callable[[DirectoryEntry | None], EntryChange | None]
    ) -> int:
        """Make the change that `plan_change` returns for the current entry; retry if a concurrent change conflicts.

        Returns:
            The new revision, or the entry's current one if `plan_change` returns `None`.
        """
        for _ in range(MAX_ATTEMPTS):
            current = await self.get(uid)
            change = plan_change(current)
            if change is None:
                return _require_entry(uid, current).revision
            revision = await self._compare_and_swap([change])
            if revision is not None:
                return revision
        raise DirectoryChangeError(f"{uid}: every attempt conflicted with a concurrent change")

    async def _compare_and_swap(self, changes: Sequence[EntryChange]) -> int | None:
        """Make all changes in one transaction; return its revision, or `None` if an entry has changed."""
        request = pb.TxnRequest()
        for change in changes:
            key = self._endpoints_prefix + change.uid.encode()
            request.compare.add(
                target=pb.Compare.MOD,
                result=pb.Compare.EQUAL,
                key=key,
                mod_revision=change.expected_revision,
            )
            if change.value is None:
                request.success.add(request_delete_range=pb.DeleteRangeRequest(key=key))
            else:
                request.success.add(request_put=pb.PutRequest(key=key, value=change.value))
        response: pb.TxnResponse = await self._call(rpc.KVStub, "Txn", request)
        return response.header.revision if response.succeeded else None


def _require_entry(uid: str, entry: DirectoryEntry | None) -> DirectoryEntry:
    if entry is None:
        raise DirectoryChangeError(f"{uid}: no such endpoint")
    return entry


def _plan_import(
    values: dict[str, bytes], existing: Sequence[DirectoryEntry], prune: bool
) -> list[EntryChange]:
    """Return the changes that turn the existing entries into `values`, deletions last."""
    by_uid = {entry.uid: entry for entry in existing}
    changes = list[EntryChange]()
    for uid, value in values.items():
        entry = by_uid.get(uid)
        if entry is None:
            changes.append(EntryChange(uid, 0, value))
        elif entry.value != value:
            changes.append(EntryChange(uid, entry.revision, value))
    if prune:
        changes += [
            EntryChange(entry.uid, entry.revision, None) for entry in existing if entry.uid not in values
        ]
    return changes
