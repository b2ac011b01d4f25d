"""Connections to the members of an etcd cluster: calls with a deadline, TLS, tokens, faults by name."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any

from grpclib import GRPCError, Status
from grpclib.client import Channel, Stream
from grpclib.config import Configuration
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from kestreltrack.etcdapi import BAD_TOKEN, NO_LEADER
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.http1 import split_address
from kestreltrack.machinelist.etcd.pursuit import Why

STATUSES = {
    Status.UNAUTHENTICATED: Why.TOKEN,
    Status.PERMISSION_DENIED: Why.DENIED,
    Status.DEADLINE_EXCEEDED: Why.SILENT,
    Status.UNAVAILABLE: Why.UNREACHABLE,
    Status.INVALID_ARGUMENT: Why.DENIED,
    Status.CANCELLED: Why.CANCELLED,
}


class EtcdFailed(Exception):
    """A call failed; `why` is what the pursuit needs to know."""

    def __init__(self, why: Why, text: str) -> None:
        """With the member's own words, or the fault of the connection."""
        super().__init__(f"{why.value}: {text}" if text else why.value)
        self.why = why


@dataclass(frozen=True, slots=True)
class Tls:
    """Files of the operator's: who signs members, and what the client shows of itself."""

    ca: str
    cert: str = ""
    key: str = ""
    name: str = ""  # the name that members have to prove; else their address

    def context(self) -> ssl.SSLContext:
        """Read the files as they are now; raises `OSError` (a `ssl.SSLError` is one)."""
        made = ssl.create_default_context(cafile=self.ca)
        made.minimum_version = ssl.TLSVersion.TLSv1_2
        made.set_alpn_protocols(["h2"])
        if self.cert:
            made.load_cert_chain(self.cert, self.key or None)
        return made


@dataclass(frozen=True, slots=True)
class Where:
    """The cluster: addresses of its members, and how to get in.  Never printed: it holds the password."""

    members: tuple[str, ...]
    tls: Tls | None = None
    user: str = ""
    password: str = ""

    def __repr__(self) -> str:
        """Without the password."""
        return f"Where({self.members}, {self.tls}, user={self.user!r})"


def why(reason: str) -> Why:
    """What a cancelled watch or a refused call means, by etcd's words."""
    if "compacted" in reason:
        return Why.COMPACTED
    if NO_LEADER in reason or "no leader" in reason:
        return Why.NO_LEADER
    if BAD_TOKEN in reason or "invalid auth token" in reason:
        return Why.TOKEN
    return Why.DENIED if "permission denied" in reason else Why.CANCELLED


def failed(bad: BaseException) -> EtcdFailed:
    """A fault of the library or the connection, by name."""
    if isinstance(bad, EtcdFailed):
        return bad
    if isinstance(bad, GRPCError):
        told = why(bad.message or "")
        by_status = STATUSES.get(bad.status, Why.BAD_ANSWER)
        return EtcdFailed(told if told is not Why.CANCELLED else by_status, bad.message or bad.status.name)
    if isinstance(bad, TimeoutError):
        return EtcdFailed(Why.SILENT, "no answer in time")
    if isinstance(bad, OSError | StreamTerminatedError | ProtocolError):
        return EtcdFailed(Why.UNREACHABLE, str(bad) or type(bad).__name__)
    return EtcdFailed(Why.BAD_ANSWER, repr(bad))


class _Channel(Channel):
    """Closed also while it connects: the library would leave such a connection open, and complain of it later."""

    dropped = False

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        if self.dropped:
            protocol.processor.close()
            raise ConnectionResetError("the connection was given up while it came up")
        return protocol

    def close(self) -> None:
        """Close it, now or as soon as it is up."""
        self.dropped = True
        super().close()


class EtcdClient:
    """Calls to the members by number; a token is fetched when one is needed, and again when it has run out."""

    def __init__(self, where: Where) -> None:
        """Nothing is opened before the first call; TLS files are read now (`OSError`)."""
        self.where = where
        self._tls = where.tls.context() if where.tls else None
        self._channels: dict[int, Channel] = {}
        self._token: str | None = None
        self._closed = False

    def __len__(self) -> int:
        """How many members there are."""
        return len(self.where.members)

    def channel(self, member: int) -> Channel:
        """The connection to a member, made anew where it was dropped."""
        if self._closed:
            raise EtcdFailed(Why.CANCELLED, "the connections are closed")
        if member not in self._channels:
            host, port = split_address(self.where.members[member])
            name = self.where.tls.name if self.where.tls else ""
            config = Configuration(ssl_target_name_override=name or None)
            self._channels[member] = _Channel(host, port, ssl=self._tls, config=config)
        return self._channels[member]

    def drop(self, member: int) -> None:
        """Close the connection to a member that is left."""
        if channel := self._channels.pop(member, None):
            channel.close()

    def close(self) -> None:
        """Close all; whoever still calls is told so."""
        self._closed = True
        for member in list(self._channels):
            self.drop(member)

    async def _metadata(self, member: int, timeout_s: float) -> list[tuple[str, str]]:
        if not self.where.user:
            return []
        if self._token is None:
            ask = pb.AuthenticateRequest(name=self.where.user, password=self.where.password)
            async with asyncio.timeout(timeout_s):
                self._token = (await rpc.AuthStub(self.channel(member)).Authenticate(ask)).token
        return [("token", self._token)]

    async def call(self, member: int, stub: Any, method: str, ask: Any, timeout_s: float) -> Any:
        """One unary call; raises `EtcdFailed`.  A token that has run out is renewed once."""
        for again in (False, True):
            try:
                metadata = await self._metadata(member, timeout_s)
                async with asyncio.timeout(timeout_s):
                    return await getattr(stub(self.channel(member)), method)(ask, metadata=metadata)
            except Exception as bad:
                fault = self._known(bad)
                if fault.why is Why.TOKEN and not again:
                    continue
                if fault.why in (Why.SILENT, Why.UNREACHABLE):
                    self.drop(member)
                raise fault from bad
        raise AssertionError("unreachable")

    async def range(self, member: int, ask: pb.RangeRequest, timeout_s: float) -> pb.RangeResponse:
        """Read keys."""
        answer: pb.RangeResponse = await self.call(member, rpc.KVStub, "Range", ask, timeout_s)
        return answer

    def _known(self, bad: BaseException) -> EtcdFailed:
        """A fault by name; a token that was refused is forgotten."""
        fault = failed(bad)
        if fault.why is Why.TOKEN:
            self.forget_token()
        return fault

    def forget_token(self) -> None:
        """A member refused the token: the next call fetches another."""
        self._token = None

    @asynccontextmanager
    async def stream(
        self, member: int, stub: Any, method: str, timeout_s: float, metadata: Sequence[tuple[str, str]] = ()
    ) -> AsyncIterator[Stream[Any, Any]]:
        """Open a stream; what ends it comes out as `EtcdFailed`, and a token that was refused is forgotten."""
        try:
            own = [*await self._metadata(member, timeout_s), *metadata]
            opened = getattr(stub(self.channel(member)), method).open(metadata=own)
            async with asyncio.timeout(timeout_s):
                stream = await opened.__aenter__()
                await stream.send_request()
        except Exception as bad:
            self.drop(member)
            raise self._known(bad) from bad
        try:
            yield stream
        except (EtcdFailed, GRPCError, StreamTerminatedError, ProtocolError, OSError) as bad:
            raise self._known(bad) from bad
        finally:
            with suppress(Exception):  # it may have ended by itself
                await stream.cancel()
            with suppress(Exception):
                await opened.__aexit__(None, None, None)
