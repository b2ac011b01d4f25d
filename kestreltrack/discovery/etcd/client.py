"""Connections to the members of an etcd cluster: calls with a time limit, TLS, tokens, failures by reason."""

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

from kestreltrack.discovery.etcd.errors import EtcdError, FailureReason
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


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """The operator's files for TLS.

    Attributes:
        ca_file: The certificates that sign the members' certificates.
        cert_file: The certificate that the client presents; empty without mutual TLS.
        key_file: The key of that certificate; empty where `cert_file` holds it.
        server_name: The name that members have to prove; empty for the host of their address.
    """

    ca_file: str
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""

    def create_ssl_context(self) -> ssl.SSLContext:
        """Read the files as they are now.

        Raises:
            OSError: A file cannot be read or used (`ssl.SSLError` is a subclass).
        """
        context = ssl.create_default_context(cafile=self.ca_file)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        if self.cert_file:
            context.load_cert_chain(self.cert_file, self.key_file or None)
        return context


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """The cluster: the addresses of its members, and the credentials.  Its `repr` leaves out the password."""

    members: tuple[str, ...]
    tls: TlsSettings | None = None
    user: str = ""
    password: str = ""

    def __repr__(self) -> str:
        """Return all but the password."""
        return f"ClusterSettings({self.members}, {self.tls}, user={self.user!r})"


def reason_from_message(message: str) -> FailureReason:
    """Return why a watch was cancelled or a call rejected, according to etcd's message."""
    if "compacted" in message:
        return FailureReason.COMPACTED
    if NO_LEADER in message or "no leader" in message:
        return FailureReason.NO_LEADER
    if BAD_TOKEN in message or "invalid auth token" in message:
        return FailureReason.INVALID_TOKEN
    if "permission denied" in message:
        return FailureReason.DENIED
    return FailureReason.CANCELLED


def to_etcd_error(error: BaseException) -> EtcdError:
    """Return the `EtcdError` for a failure of the gRPC library or of the connection."""
    if isinstance(error, EtcdError):
        return error
    if isinstance(error, GRPCError):
        return _from_grpc_error(error)
    if isinstance(error, TimeoutError):
        return EtcdError(FailureReason.TIMEOUT, "no answer in time")
    if isinstance(error, OSError | StreamTerminatedError | ProtocolError):
        return EtcdError(FailureReason.UNREACHABLE, str(error) or type(error).__name__)
    return EtcdError(FailureReason.INVALID_RESPONSE, repr(error))


def _from_grpc_error(error: GRPCError) -> EtcdError:
    """Return the error by etcd's message or, where that says nothing, by the status code."""
    reason = reason_from_message(error.message or "")
    if reason is FailureReason.CANCELLED:
        reason = REASON_BY_STATUS.get(error.status, FailureReason.INVALID_RESPONSE)
    return EtcdError(reason, error.message or error.status.name)


class _ClosableChannel(Channel):
    """A channel that may be closed while it connects; the library would leave that connection open."""

    close_requested = False

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        if self.close_requested:
            protocol.processor.close()
            raise ConnectionResetError("the channel was closed while it connected")
        return protocol

    def close(self) -> None:
        """Close the channel, now or as soon as it is connected."""
        self.close_requested = True
        super().close()


class EtcdClient:
    """Calls to members, by their index in the settings; fetches a token where one is needed and renews it.

    Attributes:
        cluster: The settings of the cluster.
    """

    def __init__(self, cluster: ClusterSettings) -> None:
        """Create the client; it connects at the first call, but reads the files for TLS now.

        Raises:
            OSError: A file for TLS cannot be used.
        """
        self.cluster = cluster
        self._tls = cluster.tls.create_ssl_context() if cluster.tls else None
        self._channels: dict[int, Channel] = {}
        self._token: str | None = None
        self._closed = False

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.cluster.members)

    def channel(self, member_index: int) -> Channel:
        """Return the channel to a member; create it where there is none.

        Raises:
            EtcdError: The client is closed.
        """
        if self._closed:
            raise EtcdError(FailureReason.CANCELLED, "the client is closed")
        if member_index not in self._channels:
            host, port = split_address(self.cluster.members[member_index])
            server_name = self.cluster.tls.server_name if self.cluster.tls else ""
            config = Configuration(ssl_target_name_override=server_name or None)
            self._channels[member_index] = _ClosableChannel(host, port, ssl=self._tls, config=config)
        return self._channels[member_index]

    def close_channel(self, member_index: int) -> None:
        """Close the channel to a member, if there is one."""
        channel = self._channels.pop(member_index, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels; pending and later calls fail."""
        self._closed = True
        for member_index in list(self._channels):
            self.close_channel(member_index)

    def discard_token(self) -> None:
        """Forget the token, which a member rejected; the next call fetches another one."""
        self._token = None

    async def call(self, member_index: int, stub: Any, method: str, request: Any, timeout_s: float) -> Any:
        """Make a unary call; an expired token is renewed once.

        Args:
            member_index: The member to call.
            stub: The generated class of the service's stub.
            method: The name of the method in the protocol.
            request: The request message.
            timeout_s: The time limit of the call, and of the authentication before it, in seconds.

        Raises:
            EtcdError: The call failed.
        """
        try:
            return await self._call_once(member_index, stub, method, request, timeout_s)
        except EtcdError as error:
            if error.reason is not FailureReason.INVALID_TOKEN:
                raise
        return await self._call_once(member_index, stub, method, request, timeout_s)

    async def _call_once(
        self, member_index: int, stub: Any, method: str, request: Any, timeout_s: float
    ) -> Any:
        try:
            metadata = await self._metadata(member_index, timeout_s)
            async with asyncio.timeout(timeout_s):
                return await getattr(stub(self.channel(member_index)), method)(request, metadata=metadata)
        except Exception as error:
            failure = self._to_error(error)
            if failure.reason in (FailureReason.TIMEOUT, FailureReason.UNREACHABLE):
                self.close_channel(member_index)
            raise failure from error

    async def range(self, member_index: int, request: pb.RangeRequest, timeout_s: float) -> pb.RangeResponse:
        """Read keys.

        Raises:
            EtcdError: The call failed.
        """
        response: pb.RangeResponse = await self.call(member_index, rpc.KVStub, "Range", request, timeout_s)
        return response

    async def _metadata(self, member_index: int, timeout_s: float) -> list[tuple[str, str]]:
        """Return the metadata that authenticates a call; fetch a token where there is none."""
        if not self.cluster.user:
            return []
        if self._token is None:
            request = pb.AuthenticateRequest(name=self.cluster.user, password=self.cluster.password)
            async with asyncio.timeout(timeout_s):
                response = await rpc.AuthStub(self.channel(member_index)).Authenticate(request)
            self._token = response.token
        return [("token", self._token)]

    def _to_error(self, error: BaseException) -> EtcdError:
        """Return the `EtcdError` for a failure; discard the token where it was rejected."""
        failure = to_etcd_error(error)
        if failure.reason is FailureReason.INVALID_TOKEN:
            self.discard_token()
        return failure

    @asynccontextmanager
    async def stream(
        self,
        member_index: int,
        stub: Any,
        method: str,
        timeout_s: float,
        metadata: Sequence[tuple[str, str]] = (),
    ) -> AsyncIterator[Stream[Any, Any]]:
        """Open a bidirectional stream, and cancel it at the end.

        Args:
            member_index: The member to call.
            stub: The generated class of the service's stub.
            method: The name of the method in the protocol.
            timeout_s: The time limit for opening the stream, in seconds.
            metadata: Metadata in addition to the token.

        Raises:
            EtcdError: The stream cannot be opened, or a failure of the connection ended the body.
        """
        try:
            all_metadata = [*await self._metadata(member_index, timeout_s), *metadata]
            opening = getattr(stub(self.channel(member_index)), method).open(metadata=all_metadata)
            async with asyncio.timeout(timeout_s):
                stream = await opening.__aenter__()
                await stream.send_request()
        except Exception as error:
            self.close_channel(member_index)
            raise self._to_error(error) from error
        try:
            yield stream
        except (EtcdError, GRPCError, StreamTerminatedError, ProtocolError, OSError) as error:
            raise self._to_error(error) from error
        finally:
            # The stream may have ended by itself; then both calls fail.
            with suppress(Exception):
                await stream.cancel()
            with suppress(Exception):
                await opening.__aexit__(None, None, None)
