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

from kestreltrack.discovery.etcd.watch_state import FailureReason
from kestreltrack.etcdapi import BAD_TOKEN, NO_LEADER
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.http1 import split_address

REASON_BY_STATUS = {
    Status.UNAUTHENTICATED: FailureReason.INVALID_TOKEN,
    Status.PERMISSION_DENIED: FailureReason.DENIED,
    Status.DEADLINE_EXCEEDED: FailureReason.TIMEOUT,
    Status.UNAVAILABLE: FailureReason.UNREACHABLE,
    Status.INVALID_ARGUMENT: FailureReason.DENIED,
    Status.CANCELLED: FailureReason.CANCELLED,
}


class EtcdError(Exception):
    """A call failed; `why` is what the pursuit needs to know."""

    def __init__(self, reason: FailureReason, message: str) -> None:
        """With the member's own words, or the fault of the connection."""
        super().__init__(f"{reason.value}: {message}" if message else reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files of the operator's: who signs members, and what the client shows of itself."""

    ca_file: str
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""  # the name that members have to prove; else their address

    def create_ssl_context(self) -> ssl.SSLContext:
        """Read the files as they are now; raises `OSError` (a `ssl.SSLError` is one)."""
        made = ssl.create_default_context(cafile=self.ca_file)
        made.minimum_version = ssl.TLSVersion.TLSv1_2
        made.set_alpn_protocols(["h2"])
        if self.cert_file:
            made.load_cert_chain(self.cert_file, self.key_file or None)
        return made


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """The cluster: addresses of its members, and how to get in.  Never printed: it holds the password."""

    members: tuple[str, ...]
    tls: TlsSettings | None = None
    user: str = ""
    password: str = ""

    def __repr__(self) -> str:
        """Without the password."""
        return f"Where({self.members}, {self.tls}, user={self.user!r})"


def reason_from_message(message: str) -> FailureReason:
    """What a cancelled watch or a refused call means, by etcd's words."""
    if "compacted" in message:
        return FailureReason.COMPACTED
    if NO_LEADER in message or "no leader" in message:
        return FailureReason.NO_LEADER
    if BAD_TOKEN in message or "invalid auth token" in message:
        return FailureReason.INVALID_TOKEN
    return FailureReason.DENIED if "permission denied" in message else FailureReason.CANCELLED


def to_etcd_error(error: BaseException) -> EtcdError:
    """A fault of the library or the connection, by name."""
    if isinstance(error, EtcdError):
        return error
    if isinstance(error, GRPCError):
        told = reason_from_message(error.message or "")
        by_status = REASON_BY_STATUS.get(error.status, FailureReason.INVALID_RESPONSE)
        return EtcdError(
            told if told is not FailureReason.CANCELLED else by_status, error.message or error.status.name
        )
    if isinstance(error, TimeoutError):
        return EtcdError(FailureReason.TIMEOUT, "no answer in time")
    if isinstance(error, OSError | StreamTerminatedError | ProtocolError):
        return EtcdError(FailureReason.UNREACHABLE, str(error) or type(error).__name__)
    return EtcdError(FailureReason.INVALID_RESPONSE, repr(error))


class _ClosableChannel(Channel):
    """Closed also while it connects: the library would leave such a connection open, and complain of it later."""

    close_requested = False

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        if self.close_requested:
            protocol.processor.close()
            raise ConnectionResetError("the connection was given up while it came up")
        return protocol

    def close(self) -> None:
        """Close it, now or as soon as it is up."""
        self.close_requested = True
        super().close()


class EtcdClient:
    """Calls to the members by number; a token is fetched when one is needed, and again when it has run out."""

    def __init__(self, cluster: ClusterSettings) -> None:
        """Nothing is opened before the first call; TLS files are read now (`OSError`)."""
        self.cluster = cluster
        self._tls = cluster.tls.create_ssl_context() if cluster.tls else None
        self._channels: dict[int, Channel] = {}
        self._token: str | None = None
        self._closed = False

    def __len__(self) -> int:
        """How many members there are."""
        return len(self.cluster.members)

    def channel(self, member_index: int) -> Channel:
        """The connection to a member, made anew where it was dropped."""
        if self._closed:
            raise EtcdError(FailureReason.CANCELLED, "the connections are closed")
        if member_index not in self._channels:
            host, port = split_address(self.cluster.members[member_index])
            name = self.cluster.tls.server_name if self.cluster.tls else ""
            config = Configuration(ssl_target_name_override=name or None)
            self._channels[member_index] = _ClosableChannel(host, port, ssl=self._tls, config=config)
        return self._channels[member_index]

    def close_channel(self, member_index: int) -> None:
        """Close the connection to a member that is left."""
        if channel := self._channels.pop(member_index, None):
            channel.close()

    def close(self) -> None:
        """Close all; whoever still calls is told so."""
        self._closed = True
        for member in list(self._channels):
            self.close_channel(member)

    async def _metadata(self, member_index: int, timeout_s: float) -> list[tuple[str, str]]:
        if not self.cluster.user:
            return []
        if self._token is None:
            ask = pb.AuthenticateRequest(name=self.cluster.user, password=self.cluster.password)
            async with asyncio.timeout(timeout_s):
                self._token = (await rpc.AuthStub(self.channel(member_index)).Authenticate(ask)).token
        return [("token", self._token)]

    async def call(self, member_index: int, stub: Any, method: str, request: Any, timeout_s: float) -> Any:
        """One unary call; raises `EtcdFailed`.  A token that has run out is renewed once."""
        for again in (False, True):
            try:
                metadata = await self._metadata(member_index, timeout_s)
                async with asyncio.timeout(timeout_s):
                    return await getattr(stub(self.channel(member_index)), method)(request, metadata=metadata)
            except Exception as bad:
                fault = self._to_error(bad)
                if fault.reason is FailureReason.INVALID_TOKEN and not again:
                    continue
                if fault.reason in (FailureReason.TIMEOUT, FailureReason.UNREACHABLE):
                    self.close_channel(member_index)
                raise fault from bad
        raise AssertionError("unreachable")

    async def range(self, member_index: int, request: pb.RangeRequest, timeout_s: float) -> pb.RangeResponse:
        """Read keys."""
        answer: pb.RangeResponse = await self.call(member_index, rpc.KVStub, "Range", request, timeout_s)
        return answer

    def _to_error(self, error: BaseException) -> EtcdError:
        """A fault by name; a token that was refused is forgotten."""
        fault = to_etcd_error(error)
        if fault.reason is FailureReason.INVALID_TOKEN:
            self.discard_token()
        return fault

    def discard_token(self) -> None:
        """A member refused the token: the next call fetches another."""
        self._token = None

    @asynccontextmanager
    async def stream(
        self,
        member_index: int,
        stub: Any,
        method: str,
        timeout_s: float,
        metadata: Sequence[tuple[str, str]] = (),
    ) -> AsyncIterator[Stream[Any, Any]]:
        """Open a stream; what ends it comes out as `EtcdFailed`, and a token that was refused is forgotten."""
        try:
            own = [*await self._metadata(member_index, timeout_s), *metadata]
            opened = getattr(stub(self.channel(member_index)), method).open(metadata=own)
            async with asyncio.timeout(timeout_s):
                stream = await opened.__aenter__()
                await stream.send_request()
        except Exception as bad:
            self.close_channel(member_index)
            raise self._to_error(bad) from bad
        try:
            yield stream
        except (EtcdError, GRPCError, StreamTerminatedError, ProtocolError, OSError) as bad:
            raise self._to_error(bad) from bad
        finally:
            with suppress(Exception):  # it may have ended by itself
                await stream.cancel()
            with suppress(Exception):
                await opened.__aexit__(None, None, None)
