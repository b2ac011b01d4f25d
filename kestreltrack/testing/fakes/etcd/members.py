"""Members of a stand-in etcd cluster: each serves the one history on a port of its own, with its own faults."""

from __future__ import annotations

import asyncio
import secrets
import ssl
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

from grpclib import Status
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from kestreltrack.etcdapi import BAD_TOKEN, NO_LEADER
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.etcd.store import EtcdStore, rpc_error

MAX_COMMIT_TIMES = 10_000  # revisions whose time is kept
FRAGMENT_BYTES = 1_500_000  # etcd's request limit: a larger watch response is sent in fragments


@dataclass(slots=True)
class MemberFaults:
    """What is wrong with a member just now."""

    hang: bool = False  # takes calls and answers none
    lag: int = 0  # shows nothing newer than this revision; 0: no lag
    no_leader: bool = False
    slow_ms: float = 0.0  # before each answer
    repeat: bool = False  # each watch event is sent twice
    late_ms: float = 0.0  # before each watch response
    cut_in_batch: bool = False  # ends all connections between the fragments of the next large response


@dataclass(slots=True)
class AuthState:
    """Users with their passwords, and the tokens given out; no user: no authentication."""

    users: dict[str, str] = field(default_factory=dict)
    tokens: dict[str, float] = field(default_factory=dict)  # when each runs out
    ttl_s: float = 300.0


class EtcdClusterBase:
    """One to five members over one history, that serve what `cluster.py` gives them."""

    def __init__(
        self,
        make_services: Callable[[FakeEtcdMember], list[Any]],
        members: int,
        users: dict[str, str] | None,
        clock: Callable[[], float],
    ) -> None:
        """Nothing listens before `start`; `serve` makes a member's services; `clock` gives seconds, for leases."""
        if not 1 <= members <= 5:
            raise ValueError(f"members: {members} is not 1 to 5")
        self.store = EtcdStore()
        self.auth_state = AuthState(users or {})
        self.clock = clock
        self.make_services = make_services
        self.fragment_bytes = FRAGMENT_BYTES
        self.members = [FakeEtcdMember(self, number) for number in range(members)]
        self.commit_times: dict[
            int, float
        ] = {}  # when each revision came about, on `time.monotonic`; the newest
        self._changed = asyncio.Event()
        self._reaper: asyncio.Task[None] | None = None

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, tls: ssl.SSLContext | None = None
    ) -> list[str]:
        """Listen: the first member at `port`, the others behind it (all anywhere for 0); the addresses."""
        for member in self.members:
            await member.start(host, port + member.number if port else 0, tls)
        self._reaper = asyncio.create_task(self._expire_periodically())
        return self.addresses

    @property
    def addresses(self) -> list[str]:
        """Where the members listen."""
        return [member.address for member in self.members]

    async def stop(self) -> None:
        """Close all."""
        if self._reaper:
            self._reaper.cancel()
        for member in self.members:
            await member.stop()

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.expire()

    def expire(self) -> None:
        """End what has run out by the clock."""
        before = self.store.revision
        self.store.expire(self.clock())
        if self.store.revision != before:
            self.notify_change()

    def notify_change(self) -> None:
        """Something new may be seen: wake all who wait."""
        self.commit_times.setdefault(self.store.revision, time.monotonic())
        while len(self.commit_times) > MAX_COMMIT_TIMES:
            del self.commit_times[next(iter(self.commit_times))]
        self._changed.set()
        self._changed = asyncio.Event()

    def wait_for_change(self) -> Coroutine[Any, Any, Any]:
        """Wait for the next change of the history or of a fault, counted from this call, not from its await."""
        return self._changed.wait()

    # Faults and changes by script ----------------------------------------------------------------

    async def apply_fault(self, member: int, fault: str, value: float = 1) -> None:
        """Bring about one fault; `heal` ends all of a member.  Raises `ValueError` on an unknown one."""
        if not 0 <= member < len(self.members):
            raise ValueError(f"member {member} does not exist")
        at = self.members[member]
        if fault == "cut":
            at.abort_connections()
        elif fault == "refuse":
            await at.stop()
        elif fault == "heal":
            at.faults = MemberFaults()
            await at.restart()
        elif fault == "lag":
            at.faults.lag = int(value) if value > 1 else self.store.revision
        elif fault == "compact":
            self.store.compact(int(value) if value > 1 else self.store.revision)
        elif fault == "expire_tokens":
            self.auth_state.tokens.clear()
        elif fault in ("hang", "no_leader", "repeat", "cut_in_batch"):
            setattr(at.faults, fault, bool(value))
        elif fault in ("slow_ms", "late_ms"):
            setattr(at.faults, fault, float(value))
        else:
            raise ValueError(f"fault {fault!r} is unknown")
        self.notify_change()

    def put(self, key: str, value: str) -> int:
        """Write a key; returns the revision."""
        self.store.put(pb.PutRequest(key=key.encode(), value=value.encode()))
        return self._commit()

    def delete(self, key: str) -> int:
        """Delete a key; returns the revision."""
        self.store.delete(pb.DeleteRangeRequest(key=key.encode()))
        return self._commit()

    def _commit(self) -> int:
        self.store.commit()
        self.notify_change()
        return self.store.revision

    # Authentication ------------------------------------------------------------------------------

    def authenticate(self, name: str, password: str) -> str:
        """A token for a user."""
        if not self.auth_state.users:
            raise rpc_error(Status.FAILED_PRECONDITION, "authentication is not enabled")
        if self.auth_state.users.get(name) != password:
            raise rpc_error(Status.INVALID_ARGUMENT, "authentication failed, invalid user ID or password")
        token = f"{secrets.token_hex(8)}.{self.store.revision}"
        self.auth_state.tokens[token] = self.clock() + self.auth_state.ttl_s
        return token

    def check_token(self, token: str | None) -> None:
        """Refuse who has no good token, where there are users."""
        if not self.auth_state.users:
            return
        if token is None:
            raise rpc_error(Status.INVALID_ARGUMENT, "user name is empty")
        if self.auth_state.tokens.get(token, 0.0) <= self.clock():
            raise rpc_error(Status.UNAUTHENTICATED, BAD_TOKEN)


class _AbortableServer(Server):
    """Knows its connections, so that a fault can end them without a farewell."""

    def __init__(self, services: list[Any]) -> None:
        super().__init__(services)
        self._open = WeakSet[H2Protocol]()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._open.add(protocol)
        return protocol

    def abort(self) -> None:
        """End all connections at once."""
        for protocol in list(self._open):
            if getattr(protocol, "connection", None) is not None:
                protocol.connection._transport.abort()


class FakeEtcdMember:
    """One member: a gRPC server of its own."""

    def __init__(self, cluster: EtcdClusterBase, number: int) -> None:
        """Nothing listens before `start`."""
        self.cluster = cluster
        self.number = number
        self.faults = MemberFaults()
        self.id = 0xA000 + number
        self.address = ""
        self.watch_stream_count = 0
        self._server: _AbortableServer | None = None
        self._listen_arguments: tuple[str, int, ssl.SSLContext | None] = ("127.0.0.1", 0, None)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Listen."""
        self._server = _AbortableServer(self.cluster.make_services(self))
        await self._server.start(host, port, ssl=tls)
        inner: Any = self._server._server  # grpclib shows its socket nowhere else
        port = inner.sockets[0].getsockname()[1]
        self._listen_arguments = (host, port, tls)
        self.address = f"{host}:{port}"

    async def restart(self) -> None:
        """Listen again at the old address, if it does not."""
        if self._server is None:
            await self.start(*self._listen_arguments)

    async def stop(self) -> None:
        """Refuse connections and end those that are open."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.close()
        server.abort()

    def abort_connections(self) -> None:
        """End all open connections at once; new ones are taken."""
        if self._server is not None:
            self._server.abort()

    def visible_revision(self) -> int:
        """The newest revision that this member shows."""
        return min(self.faults.lag or self.cluster.store.revision, self.cluster.store.revision)

    def header(self, revision: int | None = None) -> pb.ResponseHeader:
        """The header of an answer made now."""
        store = self.cluster.store
        return pb.ResponseHeader(
            cluster_id=store.cluster_id,
            member_id=self.id,
            revision=self.visible_revision() if revision is None else revision,
            raft_term=store.term,
        )

    async def before_answer(self, token: str | None, linearizable: bool = True) -> None:
        """Before each answer: faults, authentication, and for what must be `agreed` the newest revision."""
        while self.faults.hang:
            await self.cluster.wait_for_change()
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000.0)
        if self.faults.no_leader and linearizable:
            raise rpc_error(Status.UNAVAILABLE, NO_LEADER)
        self.cluster.check_token(token)
        while linearizable and self.visible_revision() < self.cluster.store.revision:
            await self.cluster.wait_for_change()  # it has to catch up before it may answer
