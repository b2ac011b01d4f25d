"""A gRPC client for the members of an etcd cluster: timeouts, TLS, authentication tokens, classified failures."""

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
from kestreltrack.etcdapi import INVALID_AUTH_TOKEN, NO_LEADER
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
    """The TLS configuration of the client.

    Attributes:
        ca_file: The CA certificates that members' certificates are verified against.
        cert_file: The client certificate; empty without mutual TLS.
        key_file: The private key of the client certificate; empty if `cert_file` contains it.
        server_name: The name that members' certificates must have; empty for the host of their address.
    """

    ca_file: str
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""

    def create_ssl_context(self) -> ssl.SSLContext:
        """Load the files and return a context for connections.

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
    """The addresses of the members and the credentials; the password is left out of `repr`."""

    members: tuple[str, ...]
    tls: TlsSettings | None = None
    user: str = ""
    password: str = ""

    def __repr__(self) -> str:
        """Return all but the password."""
        return f"ClusterSettings({self.members}, {self.tls}, user={self.user!r})"


def reason_from_message(message: str) -> FailureReason:
    """Classify etcd's message for a cancelled watch or a rejected call."""
    if "compacted" in message:
        return FailureReason.COMPACTED
    if NO_LEADER in message or "no leader" in message:
        return FailureReason.NO_LEADER
    if INVALID_AUTH_TOKEN in message or "invalid auth token" in message:
        return FailureReason.INVALID_TOKEN
    if "permission denied" in message:
        return FailureReason.DENIED
    return FailureReason.CANCELLED


def to_etcd_error(error: BaseException) -> EtcdError:
    """Convert an error of the gRPC library or of the connection to an `EtcdError`."""
    if isinstance(error, EtcdError):
        return error
    if isinstance(error, GRPCError):
        return _from_grpc_error(error)
    if isinstance(error, TimeoutError):
        return EtcdError(FailureReason.TIMEOUT, "no response within the time limit")
    if isinstance(error, OSError | StreamTerminatedError | ProtocolError):
        return EtcdError(FailureReason.UNREACHABLE, str(error) or type(error).__name__)
    return EtcdError(FailureReason.INVALID_RESPONSE, repr(error))


def _from_grpc_error(error: GRPCError) -> EtcdError:
    """Classify an error by etcd's message or, if the message is not a known one, by the status code."""
    reason = reason_from_message(error.message or "")
    if reason is FailureReason.CANCELLED:
        reason = REASON_BY_STATUS.get(error.status, FailureReason.INVALID_RESPONSE)
    return EtcdError(reason, error.message or error.status.name)


class _ClosableChannel(Channel):
    """A channel that can be closed while it connects; `grpclib.client.Channel` would leave that connection open."""

    close_requested = False

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        if self.close_requested:
            protocol.processor.close()
            raise ConnectionResetError("the channel was closed while connecting")
        return protocol

    def close(self) -> None:
        """Close the channel; a connection that is being established is closed once it is open."""
        self.close_requested = True
        super().close()


class EtcdClient:
    """Calls members, identified by their index in the settings; obtains and renews the authentication token.

    Attributes:
        cluster: The settings of the cluster.
    """

    def __init__(self, cluster: ClusterSettings) -> None:
        """Create the client and load the TLS files; it connects at the first call.

        Raises:
            OSError: A TLS file cannot be read or used.
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
        """Return the channel to a member; create it if there is none.

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
        """Close the channel to a member, if one is open."""
        channel = self._channels.pop(member_index, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels; pending and later calls fail."""
        self._closed = True
        for member_index in list(self._channels):
            self.close_channel(member_index)

    def discard_token(self) -> None:
        """Discard a token that a member rejected; the next call authenticates again."""
        self._token = None

    async def call(self, member_index: int, stub: Any, method: str, request: Any, timeout_s: float) -> Any:
        """Make a unary call; retry it once with a new token if the token is rejected.

        Args:
            member_index: The member to call.
            stub: The generated stub class of the service.
            method: The name of the RPC method.
            request: The request message.
            timeout_s: The time limit in seconds; it applies to the call and to a preceding authentication separately.

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
        """Return the metadata that authenticates a call; obtain a token if there is none."""
        if not self.cluster.user:
            return []
        if self._token is None:
            request = pb.AuthenticateRequest(name=self.cluster.user, password=self.cluster.password)
            async with asyncio.timeout(timeout_s):
                response = await rpc.AuthStub(self.channel(member_index)).Authenticate(request)
            self._token = response.token
        return [("token", self._token)]

    def _to_error(self, error: BaseException) -> EtcdError:
        """Convert an error to an `EtcdError`; discard the token if it was rejected."""
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
        """Open a bidirectional stream, which is cancelled when the context exits.

        Args:
            member_index: The member to call.
            stub: The generated stub class of the service.
            method: The name of the RPC method.
            timeout_s: The time limit for opening the stream, in seconds.
            metadata: Metadata to send in addition to the token.

        Raises:
            EtcdError: The stream could not be opened, or the call or the connection failed in the body.
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
            # Both calls fail if the stream has already ended.
            with suppress(Exception):
                await stream.cancel()
            with suppress(Exception):
                await opening.__aexit__(None, None, None)
