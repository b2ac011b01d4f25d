"""The services of one member; `watches.py` holds the one for watches."""

from __future__ import annotations

from typing import Any

from grpclib import Status
from grpclib.server import Stream

from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.members import FakeEtcdMember
from kestreltrack.testing.fakes.etcd.store import rpc_error
from kestreltrack.testing.fakes.etcd.watches import WatchService

VERSION = "3.5.21"  # the API that is spoken


def auth_token(stream: Stream[Any, Any]) -> str | None:
    """The caller's token."""
    metadata: Any = stream.metadata or {}
    value = metadata.get("token")
    return str(value) if value is not None else None


async def receive_request(stream: Stream[Any, Any]) -> Any:
    """The one message of a unary call."""
    message = await stream.recv_message()
    if message is None:
        raise rpc_error(Status.INVALID_ARGUMENT, "no request")
    return message


class KvService(rpc.KVBase):
    """Range, Put, DeleteRange, Txn, Compact."""

    def __init__(self, member: FakeEtcdMember) -> None:
        self.member = member
        self.cluster = member.cluster
        self.store = member.cluster.store

    async def Range(self, stream: Stream[pb.RangeRequest, pb.RangeResponse]) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream), linearizable=not ask.serializable)
        answer = self.store.range(ask, self.member.visible_revision())
        answer.header.CopyFrom(self.member.header())
        await stream.send_message(answer)

    async def _change(self, stream: Stream[Any, Any], what: Any) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream))
        answer = what(ask)
        self.store.commit()
        answer.header.CopyFrom(self.member.header(self.store.revision))
        self.cluster.notify_change()
        await stream.send_message(answer)

    async def Put(self, stream: Stream[pb.PutRequest, pb.PutResponse]) -> None:
        await self._change(stream, self.store.put)

    async def DeleteRange(self, stream: Stream[pb.DeleteRangeRequest, pb.DeleteRangeResponse]) -> None:
        await self._change(stream, self.store.delete)

    async def Txn(self, stream: Stream[pb.TxnRequest, pb.TxnResponse]) -> None:
        await self._change(stream, self.store.txn)

    async def Compact(self, stream: Stream[pb.CompactionRequest, pb.CompactionResponse]) -> None:
        def compact(ask: pb.CompactionRequest) -> pb.CompactionResponse:
            self.store.compact(ask.revision)
            return pb.CompactionResponse()

        await self._change(stream, compact)


class LeaseService(rpc.LeaseBase):
    """Grant, revoke, keep alive, time to live, list."""

    def __init__(self, member: FakeEtcdMember) -> None:
        self.member = member
        self.cluster = member.cluster
        self.store = member.cluster.store

    async def LeaseGrant(self, stream: Stream[pb.LeaseGrantRequest, pb.LeaseGrantResponse]) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream))
        lease = self.store.grant(ask.TTL, ask.ID, self.cluster.clock())
        await stream.send_message(
            pb.LeaseGrantResponse(header=self.member.header(), ID=lease.id, TTL=lease.ttl)
        )

    async def LeaseRevoke(self, stream: Stream[pb.LeaseRevokeRequest, pb.LeaseRevokeResponse]) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream))
        self.store.revoke(ask.ID)
        self.cluster.notify_change()
        await stream.send_message(pb.LeaseRevokeResponse(header=self.member.header()))

    async def LeaseKeepAlive(
        self, stream: Stream[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]
    ) -> None:
        async for ask in stream:
            await self.member.before_answer(auth_token(stream))
            lease = self.store.leases.get(ask.ID)
            if lease:
                lease.expires = self.cluster.clock() + lease.ttl
            await stream.send_message(  # a TTL of 0 tells that the lease has ended
                pb.LeaseKeepAliveResponse(
                    header=self.member.header(), ID=ask.ID, TTL=lease.ttl if lease else 0
                )
            )

    async def LeaseTimeToLive(
        self, stream: Stream[pb.LeaseTimeToLiveRequest, pb.LeaseTimeToLiveResponse]
    ) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream))
        lease = self.store.leases.get(ask.ID)
        answer = pb.LeaseTimeToLiveResponse(ID=ask.ID, TTL=-1)
        answer.header.CopyFrom(self.member.header())
        if lease:
            answer.TTL = max(0, int(lease.expires - self.cluster.clock()))
            answer.grantedTTL = lease.ttl
            answer.keys.extend(sorted(lease.keys) if ask.keys else ())
        await stream.send_message(answer)

    async def LeaseLeases(self, stream: Stream[pb.LeaseLeasesRequest, pb.LeaseLeasesResponse]) -> None:
        await receive_request(stream)
        await self.member.before_answer(auth_token(stream))
        rows = [pb.LeaseStatus(ID=id_) for id_ in sorted(self.store.leases)]
        await stream.send_message(pb.LeaseLeasesResponse(header=self.member.header(), leases=rows))


class MemberListService(rpc.ClusterBase):
    """MemberList."""

    def __init__(self, member: FakeEtcdMember) -> None:
        self.member = member

    async def MemberList(self, stream: Stream[pb.MemberListRequest, pb.MemberListResponse]) -> None:
        ask = await receive_request(stream)
        await self.member.before_answer(auth_token(stream), linearizable=ask.linearizable)
        rows = [
            pb.Member(ID=m.id, name=f"m{m.number}", clientURLs=[f"http://{m.address}"])
            for m in self.member.cluster.members
        ]
        await stream.send_message(pb.MemberListResponse(header=self.member.header(), members=rows))


class StatusService(rpc.MaintenanceBase):
    """Status."""

    def __init__(self, member: FakeEtcdMember) -> None:
        self.member = member

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusResponse]) -> None:
        await receive_request(stream)
        await self.member.before_answer(auth_token(stream), linearizable=False)
        store = self.member.cluster.store
        lost = self.member.faults.no_leader
        await stream.send_message(
            pb.StatusResponse(
                header=self.member.header(),
                version=VERSION,
                leader=0 if lost else self.member.cluster.members[0].id,
                raftIndex=store.revision,
                raftAppliedIndex=self.member.visible_revision(),
                raftTerm=store.term,
                errors=["etcdserver: no leader"] if lost else [],
            )
        )


class AuthService(rpc.AuthBase):
    """Authenticate."""

    def __init__(self, member: FakeEtcdMember) -> None:
        self.member = member

    async def Authenticate(self, stream: Stream[pb.AuthenticateRequest, pb.AuthenticateResponse]) -> None:
        ask = await receive_request(stream)
        while self.member.faults.hang:
            await self.member.cluster.wait_for_change()
        given = self.member.cluster.authenticate(ask.name, ask.password)
        await stream.send_message(pb.AuthenticateResponse(header=self.member.header(), token=given))


def services(member: FakeEtcdMember) -> list[Any]:
    """All that one member serves."""
    return [
        made(member)
        for made in (KvService, LeaseService, WatchService, MemberListService, StatusService, AuthService)
    ]
