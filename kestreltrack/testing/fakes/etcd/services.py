"""The gRPC services of a member, except the Watch service, which is in `watches.py`.

Methods are named as in etcd's protocol (https://etcd.io/docs/v3.5/dev-guide/api_reference_v3/).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from grpclib import Status
from grpclib.server import Stream

from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.members import FakeEtcdMember
from kestreltrack.testing.fakes.etcd.store import rpc_error
from kestreltrack.testing.fakes.etcd.watches import WatchService

# The version of etcd that the fake reports and whose API it follows.
VERSION = "3.5.21"


def auth_token(stream: Stream[Any, Any]) -> str | None:
    """Return the token in the metadata of a call, or None if there is none."""
    metadata: Any = stream.metadata or {}
    value = metadata.get("token")
    return str(value) if value is not None else None


async def receive_request(stream: Stream[Any, Any]) -> Any:
    """Return the request of a unary call.

    Raises:
        GRPCError: If the call has no request.
    """
    request = await stream.recv_message()
    if request is None:
        raise rpc_error(Status.INVALID_ARGUMENT, "no request")
    return request


class KvService(rpc.KVBase):
    """The KV service: reads, writes, transactions and compaction."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member
        self.cluster = member.cluster
        self.store = member.cluster.store

    async def Range(self, stream: Stream[pb.RangeRequest, pb.RangeResponse]) -> None:
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream), linearizable=not request.serializable)
        response = self.store.range(request, self.member.visible_revision())
        response.header.CopyFrom(self.member.header())
        await stream.send_message(response)

    async def _commit_write(self, stream: Stream[Any, Any], operation: Callable[[Any], Any]) -> None:
        """Apply a write, commit it as one revision and send the response."""
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream))
        response = operation(request)
        self.store.commit()
        response.header.CopyFrom(self.member.header(self.store.revision))
        self.cluster.notify_change()
        await stream.send_message(response)

    async def Put(self, stream: Stream[pb.PutRequest, pb.PutResponse]) -> None:
        await self._commit_write(stream, self.store.put)

    async def DeleteRange(self, stream: Stream[pb.DeleteRangeRequest, pb.DeleteRangeResponse]) -> None:
        await self._commit_write(stream, self.store.delete)

    async def Txn(self, stream: Stream[pb.TxnRequest, pb.TxnResponse]) -> None:
        await self._commit_write(stream, self.store.txn)

    async def Compact(self, stream: Stream[pb.CompactionRequest, pb.CompactionResponse]) -> None:
        def compact(request: pb.CompactionRequest) -> pb.CompactionResponse:
            self.store.compact(request.revision)
            return pb.CompactionResponse()

        await self._commit_write(stream, compact)


class LeaseService(rpc.LeaseBase):
    """The Lease service."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member
        self.cluster = member.cluster
        self.store = member.cluster.store

    async def LeaseGrant(self, stream: Stream[pb.LeaseGrantRequest, pb.LeaseGrantResponse]) -> None:
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream))
        lease = self.store.grant(request.TTL, request.ID, self.cluster.clock())
        await stream.send_message(
            pb.LeaseGrantResponse(header=self.member.header(), ID=lease.id, TTL=lease.ttl)
        )

    async def LeaseRevoke(self, stream: Stream[pb.LeaseRevokeRequest, pb.LeaseRevokeResponse]) -> None:
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream))
        self.store.revoke(request.ID)
        self.cluster.notify_change()
        await stream.send_message(pb.LeaseRevokeResponse(header=self.member.header()))

    async def LeaseKeepAlive(
        self, stream: Stream[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]
    ) -> None:
        async for request in stream:
            await self.member.prepare_response(auth_token(stream))
            lease = self.store.leases.get(request.ID)
            # In etcd's protocol a TTL of 0 means that the lease does not exist.
            ttl = 0
            if lease:
                lease.expires = self.cluster.clock() + lease.ttl
                ttl = lease.ttl
            await stream.send_message(
                pb.LeaseKeepAliveResponse(header=self.member.header(), ID=request.ID, TTL=ttl)
            )

    async def LeaseTimeToLive(
        self, stream: Stream[pb.LeaseTimeToLiveRequest, pb.LeaseTimeToLiveResponse]
    ) -> None:
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream))
        lease = self.store.leases.get(request.ID)
        response = pb.LeaseTimeToLiveResponse(ID=request.ID, TTL=-1)
        response.header.CopyFrom(self.member.header())
        if lease:
            response.TTL = max(0, int(lease.expires - self.cluster.clock()))
            response.grantedTTL = lease.ttl
            if request.keys:
                response.keys.extend(sorted(lease.keys))
        await stream.send_message(response)

    async def LeaseLeases(self, stream: Stream[pb.LeaseLeasesRequest, pb.LeaseLeasesResponse]) -> None:
        await receive_request(stream)
        await self.member.prepare_response(auth_token(stream))
        leases = [pb.LeaseStatus(ID=lease_id) for lease_id in sorted(self.store.leases)]
        await stream.send_message(pb.LeaseLeasesResponse(header=self.member.header(), leases=leases))


class MemberListService(rpc.ClusterBase):
    """The Cluster service, with the member list only."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member

    async def MemberList(self, stream: Stream[pb.MemberListRequest, pb.MemberListResponse]) -> None:
        request = await receive_request(stream)
        await self.member.prepare_response(auth_token(stream), linearizable=request.linearizable)
        members = [
            pb.Member(ID=member.id, name=f"m{member.number}", clientURLs=[f"http://{member.address}"])
            for member in self.member.cluster.members
        ]
        await stream.send_message(pb.MemberListResponse(header=self.member.header(), members=members))


class StatusService(rpc.MaintenanceBase):
    """The Maintenance service, with the status only."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusResponse]) -> None:
        await receive_request(stream)
        await self.member.prepare_response(auth_token(stream), linearizable=False)
        store = self.member.cluster.store
        no_leader = self.member.faults.no_leader
        await stream.send_message(
            pb.StatusResponse(
                header=self.member.header(),
                version=VERSION,
                leader=0 if no_leader else self.member.cluster.members[0].id,
                raftIndex=store.revision,
                raftAppliedIndex=self.member.visible_revision(),
                raftTerm=store.term,
                errors=["etcdserver: no leader"] if no_leader else [],
            )
        )


class AuthService(rpc.AuthBase):
    """The Auth service, with authentication only."""

    def __init__(self, member: FakeEtcdMember) -> None:
        """Create the service of a member."""
        self.member = member

    async def Authenticate(self, stream: Stream[pb.AuthenticateRequest, pb.AuthenticateResponse]) -> None:
        request = await receive_request(stream)
        while self.member.faults.hang:
            await self.member.cluster.wait_for_change()
        token = self.member.cluster.authenticate(request.name, request.password)
        await stream.send_message(pb.AuthenticateResponse(header=self.member.header(), token=token))


def make_services(member: FakeEtcdMember) -> list[Any]:
    """Create all services of a member."""
    return [
        KvService(member),
        LeaseService(member),
        WatchService(member),
        MemberListService(member),
        StatusService(member),
        AuthService(member),
    ]
