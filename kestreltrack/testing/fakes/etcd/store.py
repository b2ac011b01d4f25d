"""etcd's key-value history: revisions, versions of keys, transactions, compaction and leases.  No I/O.

Semantics from etcd's published API reference and data model: each change makes one revision, a transaction
one for all it changes; a read may name a revision that is not compacted; a lease takes its keys along.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from grpclib import GRPCError, Status

from kestreltrack.etcdapi import COMPACTED, FUTURE
from kestreltrack.etcdapi import rpc_pb2 as pb

SORT_KEYS = {
    pb.RangeRequest.KEY: lambda kv: kv.key,
    pb.RangeRequest.VERSION: lambda kv: kv.version,
    pb.RangeRequest.CREATE: lambda kv: kv.create_revision,
    pb.RangeRequest.MOD: lambda kv: kv.mod_revision,
    pb.RangeRequest.VALUE: lambda kv: kv.value,
}


def rpc_error(status: Status, text: str) -> GRPCError:
    """An error with etcd's code and text."""
    return GRPCError(status, f"etcdserver: {text}" if not text.startswith("etcdserver") else text)


@dataclass(slots=True)
class Lease:
    """A lease: its keys go when it runs out."""

    id: int
    ttl: int
    expires: float
    keys: set[bytes] = field(default_factory=set)


class EtcdStore:
    """One history, which all members of a stand-in cluster show."""

    def __init__(self, cluster_id: int = 0x6B657374) -> None:
        """Empty, at revision 1."""
        self.cluster_id = cluster_id
        self.revision = 1
        self.compacted = 0
        self.term = 2
        self._keys = list[bytes]()  # all that ever were and are not compacted away, sorted
        self._versions: dict[bytes, list[pb.KeyValue]] = {}  # a tombstone has version 0
        self._events: dict[int, list[pb.Event]] = {}
        self.leases: dict[int, Lease] = {}
        self._next_lease = 7587860000000000001
        self._pending = list[pb.Event]()  # of the revision that is being made

    # Reading -------------------------------------------------------------------------------------

    def range(self, request: pb.RangeRequest, visible_revision: int | None = None) -> pb.RangeResponse:
        """Answer a range; `seen` is the newest revision that a lagging member knows."""
        newest = self.revision if visible_revision is None else visible_revision
        if not request.key:
            raise rpc_error(Status.INVALID_ARGUMENT, "key is not provided")
        if request.revision > newest:
            raise rpc_error(Status.OUT_OF_RANGE, FUTURE)
        at = request.revision or newest
        if 0 < request.revision < self.compacted:
            raise rpc_error(Status.OUT_OF_RANGE, COMPACTED)
        found = [
            kv
            for key in self._keys_in_range(request.key, request.range_end)
            if (kv := self._version_at(key, at))
        ]
        bounds = (
            (request.min_mod_revision, request.max_mod_revision, "mod_revision"),
            (request.min_create_revision, request.max_create_revision, "create_revision"),
        )
        kept = [
            kv
            for kv in found
            if all((not a or getattr(kv, f) >= a) and (not b or getattr(kv, f) <= b) for a, b, f in bounds)
        ]
        if request.sort_order or request.sort_target:
            kept.sort(
                key=SORT_KEYS[request.sort_target], reverse=request.sort_order == pb.RangeRequest.DESCEND
            )
        part = kept[: request.limit] if request.limit else kept
        answer = pb.RangeResponse(more=len(part) < len(kept), count=len(found))
        if not request.count_only:
            answer.kvs.extend(part)
            for kv in answer.kvs if request.keys_only else ():
                kv.value = b""
        return answer

    def _keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._versions else []
        first = bisect_left(self._keys, key)
        return self._keys[first:] if end == b"\0" else self._keys[first : bisect_left(self._keys, end)]

    def _version_at(self, key: bytes, revision: int) -> pb.KeyValue | None:
        versions = self._versions.get(key, [])
        found = bisect_right(versions, revision, key=lambda kv: kv.mod_revision)
        return versions[found - 1] if found and versions[found - 1].version else None

    def events(self, start: int, end: int, key: bytes, range_end: bytes) -> list[pb.Event]:
        """What changed in that range from revision `start` up to `end`, both included."""

        def fits(k: bytes) -> bool:
            return k == key if not range_end else k >= key and (range_end == b"\0" or k < range_end)

        return [e for rev in range(start, end + 1) for e in self._events.get(rev, ()) if fits(e.kv.key)]

    # Changing ------------------------------------------------------------------------------------

    def commit(self) -> None:
        """End the revision that is being made, if anything changed."""
        if self._pending:
            self.revision += 1
            self._events[self.revision], self._pending = self._pending, []

    def put(self, request: pb.PutRequest) -> pb.PutResponse:
        """Write a key, within the revision that is being made."""
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
        """Delete a range, within the revision that is being made."""
        if not request.key:
            raise rpc_error(Status.INVALID_ARGUMENT, "key is not provided")
        gone = [
            kv for key in self._keys_in_range(request.key, request.range_end) if (kv := self._latest(key))
        ]
        for old in gone:
            self._detach_lease(old)
            stone = pb.KeyValue(key=old.key, mod_revision=self.revision + 1)
            self._write(pb.Event(type=pb.Event.DELETE, kv=stone, prev_kv=old))
        return pb.DeleteRangeResponse(deleted=len(gone), prev_kvs=gone if request.prev_kv else ())

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
        if kv and (lease := self.leases.get(kv.lease)):
            lease.keys.discard(kv.key)

    def txn(self, request: pb.TxnRequest) -> pb.TxnResponse:
        """Compare, then carry out one branch as one revision; nothing is changed by one that is refused."""
        for branch in (request.success, request.failure):
            self._check(branch)
        succeeded = all(self._compare(compare) for compare in request.compare)
        answer = pb.TxnResponse(succeeded=succeeded)
        for op in request.success if succeeded else request.failure:
            kind = op.WhichOneof("request")
            if kind == "request_range":
                answer.responses.add(response_range=self.range(op.request_range, self.revision + 1))
            elif kind == "request_put":
                answer.responses.add(response_put=self.put(op.request_put))
            elif kind == "request_delete_range":
                answer.responses.add(response_delete_range=self.delete(op.request_delete_range))
            elif kind == "request_txn":
                answer.responses.add(response_txn=self.txn(op.request_txn))
        return answer

    def _check(self, branch: Iterable[pb.RequestOp]) -> None:
        puts = [op.request_put for op in branch if op.WhichOneof("request") == "request_put"]
        if len({put.key for put in puts}) < len(puts):
            raise rpc_error(Status.INVALID_ARGUMENT, "duplicate key given in txn request")
        for put in puts:
            if put.lease and put.lease not in self.leases:
                raise rpc_error(Status.NOT_FOUND, "requested lease not found")

    def _compare(self, compare: pb.Compare) -> bool:
        targets: dict[int, tuple[str, Any]] = {
            pb.Compare.VERSION: ("version", compare.version),
            pb.Compare.CREATE: ("create_revision", compare.create_revision),
            pb.Compare.MOD: ("mod_revision", compare.mod_revision),
            pb.Compare.VALUE: ("value", compare.value),
            pb.Compare.LEASE: ("lease", compare.lease),
        }
        name, wanted = targets[compare.target]
        keys = self._keys_in_range(compare.key, compare.range_end) or [compare.key]
        for key in keys:
            kv = self._latest(key)
            if kv is None and name == "value":
                return False  # a value that is not there compares with nothing
            has: Any = getattr(kv, name) if kv else 0
            results = {
                pb.Compare.EQUAL: has == wanted,
                pb.Compare.GREATER: has > wanted,
                pb.Compare.LESS: has < wanted,
                pb.Compare.NOT_EQUAL: has != wanted,
            }
            if not results[compare.result]:
                return False
        return True

    def compact(self, revision: int) -> None:
        """Forget all that is only of use below a revision."""
        if revision <= self.compacted:
            raise rpc_error(Status.OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise rpc_error(Status.OUT_OF_RANGE, FUTURE)
        self.compacted = revision
        self._events = {rev: events for rev, events in self._events.items() if rev >= revision}
        for key, versions in self._versions.items():
            keep = max(0, bisect_right(versions, revision, key=lambda kv: kv.mod_revision) - 1)
            dead = versions[keep].version == 0 and versions[keep].mod_revision < revision
            self._versions[key] = versions[keep + dead :]
        self._versions = {key: versions for key, versions in self._versions.items() if versions}
        self._keys = sorted(self._versions)

    # Leases --------------------------------------------------------------------------------------

    def grant(self, ttl: int, id_: int, now: float) -> Lease:
        """A lease of `ttl` seconds."""
        if id_ in self.leases:
            raise rpc_error(Status.FAILED_PRECONDITION, "lease already exists")
        if not id_:
            id_ = self._next_lease
            self._next_lease = self._next_lease + 1
        lease = self.leases[id_] = Lease(id_, ttl, now + ttl)
        return lease

    def revoke(self, id_: int) -> None:
        """End a lease and delete its keys, in one revision."""
        lease = self.leases.pop(id_, None)
        if lease is None:
            raise rpc_error(Status.NOT_FOUND, "requested lease not found")
        for key in sorted(lease.keys):
            self.delete(pb.DeleteRangeRequest(key=key))
        self.commit()

    def expire(self, now: float) -> None:
        """End the leases that have run out."""
        for id_ in [lease.id for lease in self.leases.values() if lease.expires <= now]:
            self.revoke(id_)
