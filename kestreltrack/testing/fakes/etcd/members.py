"""Members of a fake etcd cluster: each serves the one history on a port of its own, with its own faults."""

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

# Revisions whose time is kept: those that a test or a benchmark may still ask for.
MAX_COMMIT_TIMES = 10_000
# etcd's default limit of a request (--max-request-bytes): a larger watch response is sent in fragments.
FRAGMENT_BYTES = 1_500_000
# The largest cluster that etcd's documentation recommends is 7; tests need 5.
MAX_MEMBERS = 5
# Between two searches for expired leases: well below the shortest lease, of 1 s.
EXPIRY_INTERVAL_S = 0.1
# Of the first member; any other number would do.
FIRST_MEMBER_ID = 0xA000


class ClusterError(ValueError):
    """A cluster or a fault that the fake does not have; the text says which."""


@dataclass(slots=True)
class MemberFaults:
    """What is wrong with a member at present.

    Attributes:
        hang: Calls are accepted and not answered.
        lag: The newest revision that is shown; 0: no lag.
        no_leader: The member has lost its leader.
        slow_ms: The delay of each response.
        repeat: Each watch event is sent twice.
        late_ms: The delay of each watch response.
        cut_in_batch: All connections end between the fragments of the next large watch response.
    """

    hang: bool = False
    lag: int = 0
    no_leader: bool = False
    slow_ms: float = 0.0
    repeat: bool = False
    late_ms: float = 0.0
    cut_in_batch: bool = False


class EtcdClusterBase:
    """A cluster of members over one history; `cluster.py` adds the services.

    Attributes:
        store: The history.
        auth_state: Users and tokens.
        fragment_bytes: The size from which a watch response is sent in fragments.
        members: The members, by number.
        commit_times: When each of the newest revisions was committed, by `time.monotonic`, in seconds.
    """

    def __init__(
        self,
        make_services: Callable[[FakeEtcdMember], list[Any]],
        members: int,
        users: dict[str, str] | None,
        clock: Callable[[], float],
    ) -> None:
        """Create a cluster that does not listen before `start`.

        Args:
            make_services: Returns the gRPC services of a member.
            members: How many members.
            users: Passwords by name; without users there is no authentication.
            clock: Returns seconds, for leases and tokens.

        Raises:
            ClusterError: Where the number of members is not 1 to 5.
        """
        if not 1 <= members <= MAX_MEMBERS:
            raise ClusterError(f"members: {members} is not 1 to {MAX_MEMBERS}")
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
        """Listen, and return the addresses.

        The first member listens at `port` and the others at the ports after it; for 0 each listens at any free port.
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
        """Stop all members."""
        if self._expiry_task:
            self._expiry_task.cancel()
        for member in self.members:
            await member.stop()

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """End the leases that have expired by the clock."""
        revision_before = self.store.revision
        self.store.expire(self.clock())
        if self.store.revision != revision_before:
            self.notify_change()

    def notify_change(self) -> None:
        """Record the time of the newest revision, and wake all that wait for a change."""
        self.commit_times.setdefault(self.store.revision, time.monotonic())
        while len(self.commit_times) > MAX_COMMIT_TIMES:
            oldest = next(iter(self.commit_times))
            del self.commit_times[oldest]
        self._changed.set()
        self._changed = asyncio.Event()

    def wait_for_change(self) -> Coroutine[Any, Any, Any]:
        """Return a coroutine that waits for the next change of the history or of a fault after this call."""
        return self._changed.wait()

    # Faults and changes by tests -----------------------------------------------------------------

    async def apply_fault(self, member: int, fault: str, value: float = 1) -> None:
        """Inject one fault into a member; `heal` removes all its faults.  `process.py` lists the faults.

        Raises:
            ClusterError: Where the member does not exist or the fault is unknown.
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
        """Return the revision that a fault's value names; 1, the default of a value, stands for the newest."""
        return int(value) if value > 1 else self.store.revision

    def put(self, key: str, value: str) -> int:
        """Write a key and return the revision."""
        self.store.put(pb.PutRequest(key=key.encode(), value=value.encode()))
        return self._commit()

    def delete(self, key: str) -> int:
        """Delete a key and return the revision."""
        self.store.delete(pb.DeleteRangeRequest(key=key.encode()))
        return self._commit()

    def _commit(self) -> int:
        self.store.commit()
        self.notify_change()
        return self.store.revision

    # Authentication ------------------------------------------------------------------------------

    def authenticate(self, name: str, password: str) -> str:
        """Return a new token for a user; raises `GRPCError` as `AuthState.authenticate` does."""
        return self.auth_state.authenticate(name, password, self.store.revision, self.clock())

    def check_token(self, token: str | None) -> None:
        """Check the token of a call; raises `GRPCError` as `AuthState.check_token` does."""
        self.auth_state.check_token(token, self.clock())


class _AbortableServer(Server):
    """A server that can end its connections without HTTP/2's GOAWAY, as a crash does."""

    def __init__(self, services: list[Any]) -> None:
        super().__init__(services)
        self._open = WeakSet[H2Protocol]()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._open.add(protocol)
        return protocol

    def abort(self) -> None:
        """Abort all connections."""
        for protocol in list(self._open):
            # grpclib sets the connection only once it is made.
            if getattr(protocol, "connection", None) is not None:
                protocol.connection._transport.abort()


class FakeEtcdMember:
    """One member: a gRPC server of its own.

    Attributes:
        number: Its number in the cluster, from 0.
        id: Its id in etcd's protocol.
        faults: What is wrong with it at present.
        address: Its host and port, once it has listened.
        watch_stream_count: How many watch streams are open.
    """

    def __init__(self, cluster: EtcdClusterBase, number: int) -> None:
        """Create a member that does not listen before `start`."""
        self.cluster = cluster
        self.number = number
        self.faults = MemberFaults()
        self.id = FIRST_MEMBER_ID + number
        self.address = ""
        self.watch_stream_count = 0
        self._server: _AbortableServer | None = None
        self._listen_arguments: tuple[str, int, ssl.SSLContext | None] = ("127.0.0.1", 0, None)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Listen at a port; 0: any free one."""
        self._server = _AbortableServer(self.cluster.make_services(self))
        await self._server.start(host, port, ssl=tls)
        # grpclib gives access to its socket nowhere else.
        asyncio_server: Any = self._server._server
        bound_port = asyncio_server.sockets[0].getsockname()[1]
        self._listen_arguments = (host, bound_port, tls)
        self.address = f"{host}:{bound_port}"

    async def restart(self) -> None:
        """Listen at the same address again, unless it is listening."""
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
        """Abort all connections; new ones are accepted."""
        if self._server is not None:
            self._server.abort()

    def visible_revision(self) -> int:
        """Return the newest revision that this member shows."""
        return min(self.faults.lag or self.cluster.store.revision, self.cluster.store.revision)

    def header(self, revision: int | None = None) -> pb.ResponseHeader:
        """Return the header of a response, with the visible revision unless another is given."""
        store = self.cluster.store
        return pb.ResponseHeader(
            cluster_id=store.cluster_id,
            member_id=self.id,
            revision=self.visible_revision() if revision is None else revision,
            raft_term=store.term,
        )

    async def before_answer(self, token: str | None, linearizable: bool = True) -> None:
        """Apply the faults and check the token before a response; a linearizable one waits for the newest revision.

        Raises:
            GRPCError: Where there is no leader, or the token is not valid.
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
