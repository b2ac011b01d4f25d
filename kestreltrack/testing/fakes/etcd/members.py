"""Members of a fake etcd cluster: each serves the shared history on its own port, with its own faults."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any
from weakref import WeakSet

from grpclib import Status
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from kestreltrack.etcdapi import NO_LEADER
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.auth import AuthState
from kestreltrack.testing.fakes.etcd.store import EtcdStore, rpc_error

# The number of newest revisions whose commit time is kept for tests and benchmarks.
MAX_COMMIT_TIMES = 10_000
# etcd's default request limit (--max-request-bytes); larger watch responses are sent in fragments.
FRAGMENT_BYTES = 1_500_000
# Tests need up to 5 members; etcd's documentation recommends at most 7.
MAX_MEMBERS = 5
# Interval between checks for expired leases, well below the shortest lease of 1 s.
EXPIRY_INTERVAL_S = 0.1
# The id of the first member, an arbitrary number.
FIRST_MEMBER_ID = 0xA000


class ClusterError(ValueError):
    """The number of members, a member or a fault is invalid."""


@dataclass(slots=True)
class MemberFaults:
    """The faults that are currently injected into a member.

    Attributes:
        hang: Calls are accepted and not answered.
        lag: The newest revision that the member has applied; 0 for no lag.
        no_leader: The member has no leader.
        slow_ms: The delay of each response, except those of the Watch and Auth services.
        repeat: Each watch response with events is sent twice.
        late_ms: The delay of each watch response with events.
        cut_in_batch: All connections are aborted after the first fragment of the next fragmented watch response.
    """

    hang: bool = False
    lag: int = 0
    no_leader: bool = False
    slow_ms: float = 0.0
    repeat: bool = False
    late_ms: float = 0.0
    cut_in_batch: bool = False


class EtcdClusterBase:
    """A cluster of members that share one history; `cluster.py` adds the services.

    Attributes:
        store: The shared history.
        auth_state: Users and tokens.
        fragment_bytes: The size above which a watch response is sent in fragments.
        members: The members, by number.
        commit_times: The commit time of each of the newest revisions, in seconds of `time.monotonic`.
    """

    def __init__(
        self,
        make_services: Callable[[FakeEtcdMember], list[Any]],
        members: int,
        users: dict[str, str] | None,
        clock: Callable[[], float],
    ) -> None:
        """Create a cluster that starts listening in `start`.

        Args:
            make_services: Creates the gRPC services of a member.
            members: The number of members.
            users: Passwords by name; without users authentication is disabled.
            clock: Returns the time in seconds, for leases and tokens.

        Raises:
            ClusterError: If the number of members is not 1 to 5.
        """
        if not 1 <= members <= MAX_MEMBERS:
            raise ClusterError(f"members: {members} is not between 1 and {MAX_MEMBERS}")
        self.store = EtcdStore()
        self.auth_state = AuthState(users or {})
        self.clock = clock
        self.make_services = make_services
        self.fragment_bytes = FRAGMENT_BYTES
        self.members = [FakeEtcdMember(self, number) for number in range(members)]
        self.commit_times: dict[int, float] = {}
        self._changed = asyncio.Event()
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, tls: ssl.SSLContext | None = None
    ) -> list[str]:
        """Start all members and return their addresses.

        The first member listens on `port` and the others on the following ports; with port 0 each uses a free port.
        """
        for member in self.members:
            await member.start(host, port + member.number if port else 0, tls)
        self._expiry_task = asyncio.create_task(self._expire_periodically())
        return self.addresses

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the members."""
        return [member.address for member in self.members]

    async def stop(self) -> None:
        """Stop all members and the expiry of leases."""
        if self._expiry_task:
            self._expiry_task.cancel()
        for member in self.members:
            await member.stop()

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """Revoke the leases that have expired by the cluster's clock."""
        revision_before = self.store.revision
        self.store.expire(self.clock())
        if self.store.revision != revision_before:
            self.notify_change()

    def notify_change(self) -> None:
        """Record the commit time of the newest revision and wake all tasks that wait for a change."""
        self.commit_times.setdefault(self.store.revision, time.monotonic())
        while len(self.commit_times) > MAX_COMMIT_TIMES:
            oldest = next(iter(self.commit_times))
            del self.commit_times[oldest]
        self._changed.set()
        self._changed = asyncio.Event()

    def wait_for_change(self) -> Coroutine[Any, Any, Any]:
        """Return a coroutine that waits for the next change of the history or the faults after this call."""
        return self._changed.wait()

    # Faults and writes by tests ------------------------------------------------------------------

    async def apply_fault(self, member: int, fault: str, value: float = 1) -> None:
        """Inject a fault into a member; `heal` removes all its faults.  `process.py` lists the faults.

        Raises:
            ClusterError: If the member does not exist or the fault is unknown.
        """
        if not 0 <= member < len(self.members):
            raise ClusterError(f"member {member} does not exist")
        target = self.members[member]
        match fault:
            case "cut":
                target.abort_connections()
            case "refuse":
                await target.stop()
            case "heal":
                target.faults = MemberFaults()
                await target.restart()
            case "lag":
                target.faults.lag = self._revision_or_newest(value)
            case "compact":
                self.store.compact(self._revision_or_newest(value))
            case "expire_tokens":
                self.auth_state.tokens.clear()
            case "hang" | "no_leader" | "repeat" | "cut_in_batch":
                setattr(target.faults, fault, bool(value))
            case "slow_ms" | "late_ms":
                setattr(target.faults, fault, float(value))
            case _:
                raise ClusterError(f"fault {fault!r} is unknown")
        self.notify_change()

    def _revision_or_newest(self, value: float) -> int:
        """Return the revision in the value of a fault; the default value 1 means the newest revision."""
        return int(value) if value > 1 else self.store.revision

    def put(self, key: str, value: str) -> int:
        """Write a key and return the new revision."""
        self.store.put(pb.PutRequest(key=key.encode(), value=value.encode()))
        return self._commit()

    def delete(self, key: str) -> int:
        """Delete a key and return the revision afterwards."""
        self.store.delete(pb.DeleteRangeRequest(key=key.encode()))
        return self._commit()

    def _commit(self) -> int:
        self.store.commit()
        self.notify_change()
        return self.store.revision

    # Authentication ------------------------------------------------------------------------------

    def authenticate(self, name: str, password: str) -> str:
        """Issue a token for a user; raises `GRPCError` as `AuthState.authenticate` does."""
        return self.auth_state.authenticate(name, password, self.store.revision, self.clock())

    def check_token(self, token: str | None) -> None:
        """Check the token of a call; raises `GRPCError` as `AuthState.check_token` does."""
        self.auth_state.check_token(token, self.clock())


class _AbortableServer(Server):
    """A gRPC server that can abort its connections without an HTTP/2 GOAWAY frame, as a crash would."""

    def __init__(self, services: list[Any]) -> None:
        super().__init__(services)
        self._open_protocols = WeakSet[H2Protocol]()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._open_protocols.add(protocol)
        return protocol

    def abort(self) -> None:
        """Abort all connections."""
        for protocol in list(self._open_protocols):
            # grpclib sets `connection` when the connection is made.
            if getattr(protocol, "connection", None) is not None:
                protocol.connection._transport.abort()


class FakeEtcdMember:
    """A member of the cluster, with its own gRPC server.

    Attributes:
        number: The number of the member in the cluster, from 0.
        id: The member id in etcd's protocol.
        faults: The faults that are currently injected.
        address: The host and port; empty before `start`.
        watch_stream_count: The number of open watch streams.
    """

    def __init__(self, cluster: EtcdClusterBase, number: int) -> None:
        """Create a member that starts listening in `start`."""
        self.cluster = cluster
        self.number = number
        self.faults = MemberFaults()
        self.id = FIRST_MEMBER_ID + number
        self.address = ""
        self.watch_stream_count = 0
        self._server: _AbortableServer | None = None
        self._listen_arguments: tuple[str, int, ssl.SSLContext | None] = ("127.0.0.1", 0, None)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Listen on a port, or on a free one if it is 0."""
        self._server = _AbortableServer(self.cluster.make_services(self))
        await self._server.start(host, port, ssl=tls)
        # grpclib has no public access to the bound port.
        asyncio_server: Any = self._server._server
        bound_port = asyncio_server.sockets[0].getsockname()[1]
        self._listen_arguments = (host, bound_port, tls)
        self.address = f"{host}:{bound_port}"

    async def restart(self) -> None:
        """Listen on the same address again, unless the member is listening."""
        if self._server is None:
            await self.start(*self._listen_arguments)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.close()
        server.abort()

    def abort_connections(self) -> None:
        """Abort all connections; new connections are still accepted."""
        if self._server is not None:
            self._server.abort()

    def visible_revision(self) -> int:
        """Return the newest revision that this member has applied."""
        return min(self.faults.lag or self.cluster.store.revision, self.cluster.store.revision)

    def header(self, revision: int | None = None) -> pb.ResponseHeader:
        """Return a response header with the given revision, by default the visible one."""
        store = self.cluster.store
        return pb.ResponseHeader(
            cluster_id=store.cluster_id,
            member_id=self.id,
            revision=self.visible_revision() if revision is None else revision,
            raft_term=store.term,
        )

    async def prepare_response(self, token: str | None, linearizable: bool = True) -> None:
        """Apply the faults and check the token; if linearizable, wait until the member has the newest revision.

        Raises:
            GRPCError: If a linearizable call finds no leader, or the token is not valid.
        """
        while self.faults.hang:
            await self.cluster.wait_for_change()
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000.0)
        if self.faults.no_leader and linearizable:
            raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
        self.cluster.check_token(token)
        while linearizable and self.visible_revision() < self.cluster.store.revision:
            await self.cluster.wait_for_change()
