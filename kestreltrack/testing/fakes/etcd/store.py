"""etcd's key-value history: revisions, versions of keys, transactions, compaction and leases.  No I/O.

The semantics follow etcd's data model and API reference (https://etcd.io/docs/v3.5/learning/data_model/,
https://etcd.io/docs/v3.5/learning/api/): each change creates one revision, and so does a whole transaction; a read
may specify any revision that is not compacted; the keys of a lease are deleted with it.
"""

from __future__ import annotations

import operator
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from grpclib import GRPCError, Status

from kestreltrack.etcdapi import COMPACTED, FUTURE_REVISION
from kestreltrack.etcdapi import rpc_pb2 as pb

SORT_KEYS = {
    pb.RangeRequest.KEY: lambda kv: kv.key,
    pb.RangeRequest.VERSION: lambda kv: kv.version,
    pb.RangeRequest.CREATE: lambda kv: kv.create_revision,
    pb.RangeRequest.MOD: lambda kv: kv.mod_revision,
    pb.RangeRequest.VALUE: lambda kv: kv.value,
}

# The field of `KeyValue` and of `Compare` that each comparison target refers to.
COMPARE_FIELDS = {
    pb.Compare.VERSION: "version",
    pb.Compare.CREATE: "create_revision",
    pb.Compare.MOD: "mod_revision",
    pb.Compare.VALUE: "value",
    pb.Compare.LEASE: "lease",
}
COMPARE_OPERATORS = {
    pb.Compare.EQUAL: operator.eq,
    pb.Compare.GREATER: operator.gt,
    pb.Compare.LESS: operator.lt,
    pb.Compare.NOT_EQUAL: operator.ne,
}
# The `range_end` of a range without an upper bound (API reference, RangeRequest).
NO_RANGE_END = b"\0"
# The first lease id that the store assigns; as large as the ids of etcd.
FIRST_LEASE_ID = 7587860000000000001
CLUSTER_ID = 0x6B657374


def rpc_error(status: Status, text: str) -> GRPCError:
    """Return a gRPC error with the message prefix of etcd."""
    prefix = "" if text.startswith("etcdserver") else "etcdserver: "
    return GRPCError(status, f"{prefix}{text}")


@dataclass(slots=True)
class Lease:
    """A lease, whose keys are deleted when it expires or is revoked.

    Attributes:
        id: The id of the lease.
        ttl: The lifetime after a keep-alive, in seconds.
        expires: The expiry, in seconds of the cluster's clock.
        keys: The keys that are attached to the lease.
    """

    id: int
    ttl: int
    expires: float
    keys: set[bytes] = field(default_factory=set)


class EtcdStore:
    """The key-value history that all members of a fake cluster share.

    Attributes:
        cluster_id: The cluster id in etcd's protocol.
        revision: The newest committed revision.
        compacted: The revision of the last compaction.
        term: The Raft term in response headers.
        leases: The active leases, by id.
    """

    def __init__(self, cluster_id: int = CLUSTER_ID) -> None:
        """Create an empty history at revision 1."""
        self.cluster_id = cluster_id
        self.revision = 1
        self.compacted = 0
        self.term = 2
        self.leases: dict[int, Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        # All keys that have a version, including deleted ones, in order.
        self._keys = list[bytes]()
        # The versions of each key in order of revision; a deletion has version 0.
        self._versions: dict[bytes, list[pb.KeyValue]] = {}
        self._events: dict[int, list[pb.Event]] = {}
        # The events of the revision that is not yet committed.
        self._pending = list[pb.Event]()

    # Reading -------------------------------------------------------------------------------------

    def range(self, request: pb.RangeRequest, visible_revision: int | None = None) -> pb.RangeResponse:
        """Answer a range request; `visible_revision` is the newest one that the member has applied.

        Raises:
            GRPCError: If the request has no key, or the revision is compacted or in the future.
        """
        found = self._kvs_in_range(request, self.revision if visible_revision is None else visible_revision)
        matching = [kv for kv in found if _matches_revision_bounds(kv, request)]
        if request.sort_order or request.sort_target:
            descending = request.sort_order == pb.RangeRequest.DESCEND
            matching.sort(key=SORT_KEYS[request.sort_target], reverse=descending)
        page = matching[: request.limit] if request.limit else matching
        response = pb.RangeResponse(more=len(page) < len(matching), count=len(found))
        if not request.count_only:
            response.kvs.extend(page)
        if request.keys_only:
            for kv in response.kvs:
                kv.value = b""
        return response

    def _kvs_in_range(self, request: pb.RangeRequest, newest: int) -> list[pb.KeyValue]:
        """Return the keys of a range request at its revision; 0 means the newest."""
        if not request.key:
            raise rpc_error(Status.INVALID_ARGUMENT, "key is not provided")
        if request.revision > newest:
            raise rpc_error(Status.OUT_OF_RANGE, FUTURE_REVISION)
        if 0 < request.revision < self.compacted:
            raise rpc_error(Status.OUT_OF_RANGE, COMPACTED)
        revision = request.revision or newest
        versions = [
            self._version_at(key, revision) for key in self._keys_in_range(request.key, request.range_end)
        ]
        return [kv for kv in versions if kv]

    def _keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._versions else []
        first = bisect_left(self._keys, key)
        if end == NO_RANGE_END:
            return self._keys[first:]
        return self._keys[first : bisect_left(self._keys, end)]

    def _version_at(self, key: bytes, revision: int) -> pb.KeyValue | None:
        versions = self._versions.get(key, [])
        count = bisect_right(versions, revision, key=lambda kv: kv.mod_revision)
        return versions[count - 1] if count and versions[count - 1].version else None

    def events(self, start: int, end: int, key: bytes, range_end: bytes) -> list[pb.Event]:
        """Return the events of a range of keys from revision `start` to `end`, inclusive."""
        return [
            event
            for revision in range(start, end + 1)
            for event in self._events.get(revision, ())
            if _is_in_range(event.kv.key, key, range_end)
        ]

    # Writing -------------------------------------------------------------------------------------

    def commit(self) -> None:
        """Commit the pending events, if there are any, as one revision."""
        if self._pending:
            self.revision += 1
            self._events[self.revision] = self._pending
            self._pending = []

    def put(self, request: pb.PutRequest) -> pb.PutResponse:
        """Write a key as part of the pending revision.

        Raises:
            GRPCError: If the request has no key, the lease does not exist, or the old value or lease of a missing key
                is to be kept.
        """
        if not request.key:
            raise rpc_error(Status.INVALID_ARGUMENT, "key is not provided")
        old = self._latest(request.key)
        if (request.ignore_value or request.ignore_lease) and old is None:
            raise rpc_error(Status.INVALID_ARGUMENT, "key not found")
        lease = old.lease if request.ignore_lease and old else request.lease
        if lease and lease not in self.leases:
            raise rpc_error(Status.NOT_FOUND, "requested lease not found")
        revision = self.revision + 1
        kv = pb.KeyValue(
            key=request.key,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            value=old.value if request.ignore_value and old else request.value,
            lease=lease,
        )
        self._detach_lease(old)
        if lease:
            self.leases[lease].keys.add(request.key)
        self._write(pb.Event(type=pb.Event.PUT, kv=kv, prev_kv=old))
        return pb.PutResponse(prev_kv=old if request.prev_kv else None)

    def delete(self, request: pb.DeleteRangeRequest) -> pb.DeleteRangeResponse:
        """Delete a range as part of the pending revision.

        Raises:
            GRPCError: If the request has no key.
        """
        if not request.key:
            raise rpc_error(Status.INVALID_ARGUMENT, "key is not provided")
        versions = [self._latest(key) for key in self._keys_in_range(request.key, request.range_end)]
        deleted = [kv for kv in versions if kv]
        for old in deleted:
            self._detach_lease(old)
            tombstone = pb.KeyValue(key=old.key, mod_revision=self.revision + 1)
            self._write(pb.Event(type=pb.Event.DELETE, kv=tombstone, prev_kv=old))
        return pb.DeleteRangeResponse(deleted=len(deleted), prev_kvs=deleted if request.prev_kv else ())

    def _latest(self, key: bytes) -> pb.KeyValue | None:
        return self._version_at(key, self.revision + 1)

    def _write(self, event: pb.Event) -> None:
        key = event.kv.key
        if key not in self._versions:
            insort(self._keys, key)
            self._versions[key] = []
        self._versions[key].append(event.kv)
        self._pending.append(event)

    def _detach_lease(self, kv: pb.KeyValue | None) -> None:
        lease = self.leases.get(kv.lease) if kv else None
        if kv and lease:
            lease.keys.discard(kv.key)

    def txn(self, request: pb.TxnRequest) -> pb.TxnResponse:
        """Evaluate the comparisons and execute one branch as part of the pending revision.

        Raises:
            GRPCError: If a branch is not valid; duplicate keys and unknown leases are found before any change.
        """
        self._check_puts(request.success)
        self._check_puts(request.failure)
        succeeded = all(self._comparison_holds(compare) for compare in request.compare)
        response = pb.TxnResponse(succeeded=succeeded)
        for operation in request.success if succeeded else request.failure:
            self._execute_operation(operation, response)
        return response

    def _execute_operation(self, operation: pb.RequestOp, response: pb.TxnResponse) -> None:
        match operation.WhichOneof("request"):
            case "request_range":
                found = self.range(operation.request_range, self.revision + 1)
                response.responses.add(response_range=found)
            case "request_put":
                response.responses.add(response_put=self.put(operation.request_put))
            case "request_delete_range":
                deleted = self.delete(operation.request_delete_range)
                response.responses.add(response_delete_range=deleted)
            case "request_txn":
                response.responses.add(response_txn=self.txn(operation.request_txn))

    def _check_puts(self, branch: Iterable[pb.RequestOp]) -> None:
        puts = [op.request_put for op in branch if op.WhichOneof("request") == "request_put"]
        if len({put.key for put in puts}) < len(puts):
            raise rpc_error(Status.INVALID_ARGUMENT, "duplicate key given in txn request")
        for put in puts:
            if put.lease and put.lease not in self.leases:
                raise rpc_error(Status.NOT_FOUND, "requested lease not found")

    def _comparison_holds(self, compare: pb.Compare) -> bool:
        field_name = COMPARE_FIELDS[compare.target]
        compare_values = COMPARE_OPERATORS[compare.result]
        expected: Any = getattr(compare, field_name)
        for key in self._keys_in_range(compare.key, compare.range_end) or [compare.key]:
            kv = self._latest(key)
            if kv is None and field_name == "value":
                # In etcd every comparison with the value of a missing key is false.
                return False
            actual: Any = getattr(kv, field_name) if kv else 0
            if not compare_values(actual, expected):
                return False
        return True

    def compact(self, revision: int) -> None:
        """Remove the history that is only needed for reads below a revision.

        Raises:
            GRPCError: If the revision is already compacted or in the future.
        """
        if revision <= self.compacted:
            raise rpc_error(Status.OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise rpc_error(Status.OUT_OF_RANGE, FUTURE_REVISION)
        self.compacted = revision
        self._events = {rev: events for rev, events in self._events.items() if rev >= revision}
        remaining = {key: _compact_versions(kvs, revision) for key, kvs in self._versions.items()}
        self._versions = {key: kvs for key, kvs in remaining.items() if kvs}
        self._keys = sorted(self._versions)

    # Leases --------------------------------------------------------------------------------------

    def grant(self, ttl: int, lease_id: int, now: float) -> Lease:
        """Create a lease of `ttl` seconds; if the id is 0, the store assigns one.

        Raises:
            GRPCError: If a lease with this id exists.
        """
        if lease_id in self.leases:
            raise rpc_error(Status.FAILED_PRECONDITION, "lease already exists")
        if not lease_id:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        lease = Lease(lease_id, ttl, now + ttl)
        self.leases[lease_id] = lease
        return lease

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys in one revision.

        Raises:
            GRPCError: If the lease does not exist.
        """
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            raise rpc_error(Status.NOT_FOUND, "requested lease not found")
        for key in sorted(lease.keys):
            self.delete(pb.DeleteRangeRequest(key=key))
        self.commit()

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        expired = [lease.id for lease in self.leases.values() if lease.expires <= now]
        for lease_id in expired:
            self.revoke(lease_id)


def _matches_revision_bounds(kv: pb.KeyValue, request: pb.RangeRequest) -> bool:
    """Return whether a key is within the revision bounds of a request; 0 means no bound."""
    bounds = (
        (kv.mod_revision, request.min_mod_revision, request.max_mod_revision),
        (kv.create_revision, request.min_create_revision, request.max_create_revision),
    )
    return all(
        (not minimum or revision >= minimum) and (not maximum or revision <= maximum)
        for revision, minimum, maximum in bounds
    )


def _is_in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    if not range_end:
        return key == start
    return key >= start and (range_end == NO_RANGE_END or key < range_end)


def _compact_versions(versions: list[pb.KeyValue], revision: int) -> list[pb.KeyValue]:
    """Return the version that is current at a revision, unless it is an older deletion, and all later ones."""
    first = max(0, bisect_right(versions, revision, key=lambda kv: kv.mod_revision) - 1)
    is_deleted = versions[first].version == 0 and versions[first].mod_revision < revision
    return versions[first + 1 :] if is_deleted else versions[first:]
