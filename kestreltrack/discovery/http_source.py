"""Fetches the platform's endpoint list over HTTP: the complete list once, then the changes by consecutive long polls.

`GET /api/targets` returns the complete list.  With `?from=REVISION&hold_ms=WAIT` it returns the changes since that
revision as soon as there are any, or an empty update after the wait.
"""

from __future__ import annotations

import math
import random
from collections.abc import AsyncIterator, Callable, Container
from dataclasses import dataclass

from kestreltrack.discovery.json_format import TooManyChangesError
from kestreltrack.discovery.list_decoder import EndpointListDecoder
from kestreltrack.http1 import (
    BodyProgress,
    ConnectionBrokenError,
    HttpClient,
    TruncatedResponseError,
    TruncationReason,
    UnansweredRequest,
    UnrequestedBytes,
)
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, RefusedList
from kestreltrack.telemetry import Telemetry

TARGETS_PATH = "/api/targets"
HTTP_OK = 200
NO_REVISION = -1
# Limit on a list as JSON.  Its text is never held, so that this only ends a response without an end.
MAX_LIST_BYTES = 16 * 1024 * 1024

# Wait of a long poll.  A lost long poll is detected shortly after its wait, so a few senders use the minimum.  The
# wait grows with the number of senders, because all of them share one service, which answers no call in time when
# overloaded.
MIN_LONG_POLL_MS = 3000
LONG_POLL_MS_PER_SENDER = 1000
MAX_LONG_POLL_MS = 20_000
# Maximum share by which a wait is randomly shortened.  A change ends the long polls of all senders simultaneously;
# with equal waits the next ones would also end, or time out, simultaneously.
LONG_POLL_JITTER = 0.25
# Timeout of a call without a wait: longer than the 2 s for which the service queues a call.  With a shorter timeout
# an overloaded service would process calls that have already been abandoned, and answer no sender in time.
RESPONSE_TIMEOUT_S = 2.2
# Timeout of a long poll beyond its wait.  A change missed by a lost long poll must be received within 2 s after the
# wait: half of that is reserved for the next call, which all senders may make within the same seconds.
LONG_POLL_GRACE_S = 1.0
# Without its own timeout a connection attempt could take as long as a long poll without being detected.
CONNECT_TIMEOUT_S = 1.0
# Wait of the first call after a failure.  It returns the missed changes immediately, since a waiting long poll cannot
# be distinguished from a service that does not respond; its response is followed by a regular long poll.  It is not
# 0, because the default wait of the service is not specified.
CATCH_UP_LONG_POLL_MS = 1
# If lists are pushed, a local agent answers immediately and at no cost.  A list that the agent has counts as received
# by the sender, even if the agent got it at the end of an outage while a call of the sender was hanging.  An
# unanswered call must therefore time out and be repeated well within the deadline of a drain, of which both constants
# are shares.
PUSHED_LONG_POLL_SHARE = 0.5
PUSHED_RESPONSE_TIMEOUT_SHARE = 0.3


def long_poll_ms(sender_count: int) -> int:
    """Return the maximum wait of a long poll: between the limits, all senders together start about one per second."""
    return min(MAX_LONG_POLL_MS, max(MIN_LONG_POLL_MS, LONG_POLL_MS_PER_SENDER * sender_count))


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Waits and timeouts of the calls to one kind of address.

    Attributes:
        long_poll_ms: The maximum wait of a long poll.
        response_timeout_s: The timeout of a call without a wait.
        long_poll_grace_s: The timeout of a long poll beyond its wait.
        is_pushed: Whether the address belongs to a local agent to which lists are pushed.
    """

    long_poll_ms: int
    response_timeout_s: float
    long_poll_grace_s: float
    is_pushed: bool

    @classmethod
    def for_shared_service(cls, sender_count: int) -> PollTiming:
        """Return the timing for a service shared by `sender_count` senders."""
        return cls(long_poll_ms(sender_count), RESPONSE_TIMEOUT_S, LONG_POLL_GRACE_S, is_pushed=False)

    @classmethod
    def for_local_agent(cls, push_deadline_ms: float) -> PollTiming:
        """Return the timing for an agent whose list must take effect within `push_deadline_ms`."""
        timeout_s = PUSHED_RESPONSE_TIMEOUT_SHARE * push_deadline_ms / 1000.0
        return cls(int(PUSHED_LONG_POLL_SHARE * push_deadline_ms), timeout_s, timeout_s, is_pushed=True)

    def jittered_long_poll_ms(self) -> int:
        """Return the wait of one long poll: the maximum, randomly shortened by up to `LONG_POLL_JITTER`."""
        shortest_ms = max(MIN_LONG_POLL_MS, int((1.0 - LONG_POLL_JITTER) * self.long_poll_ms))
        if shortest_ms >= self.long_poll_ms:
            return self.long_poll_ms
        return random.randint(shortest_ms, self.long_poll_ms)


class MalformedListError(DiscoveryError):
    """The service responded, but the response is truncated or not a valid list."""

    @property
    def may_differ_next_time(self) -> bool:
        """Whether the same call may succeed at once: a list that is too large would be so again."""
        return self.refused_list is None or self.refused_list.reason != TruncationReason.TOO_LARGE.value


class HttpEndpointSource:
    """Follows the endpoint list at the platform's address; implements `EndpointSource`."""

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        sender_count: int = 1,
        push_deadline_ms: float = 0.0,
        max_list_bytes: int = MAX_LIST_BYTES,
        max_endpoints: float = math.inf,
    ) -> None:
        """Create the source, which opens no connection before `follow`.

        Args:
            address: The address (`host:port`) of the service or agent.
            telemetry: Receives the fault `discovery.malformed`.
            sender_count: The number of senders that share the service.
            push_deadline_ms: For a local agent, the time within which its list must take effect; 0 for a service that
                all senders share.
            max_list_bytes: The limit on a list as JSON; a longer one is refused.
            max_endpoints: The number of endpoints to take; of a longer list some are left out.
        """
        self._max_list_bytes = max_list_bytes
        self._decoder = EndpointListDecoder(max_endpoints)
        self._telemetry = telemetry
        self._client = self._new_client(address)
        # The last revision received from this address.
        self._revision = NO_REVISION
        self._address_changes = 0
        self._complete_requested = False
        if push_deadline_ms > 0.0:
            self._timing = PollTiming.for_local_agent(push_deadline_ms)
        else:
            self._timing = PollTiming.for_shared_service(sender_count)

    def _new_client(self, address: str) -> HttpClient:
        client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S, max_body_bytes=self._max_list_bytes)
        client.on_unrequested = self._record_unrequested
        client.on_unanswered = self._record_unanswered
        return client

    def _record_unrequested(self, received: UnrequestedBytes) -> None:
        self._telemetry.record_fault(f"discovery.{received.event}", **received.log_fields())

    def _record_unanswered(self, request: UnansweredRequest) -> None:
        self._telemetry.record_fault("discovery.unanswered", **request.log_fields())

    def change_address(self, address: str) -> None:
        """Abort the pending call, and fetch the complete list from the new address."""
        old_client = self._client
        self._client = self._new_client(address)
        self._revision = NO_REVISION
        self._address_changes += 1
        old_client.close()

    @property
    def wanted(self) -> Callable[[], Container[int]]:
        """Returns the destinations whose endpoints are taken rather than others; set by its user."""
        return self._decoder.wanted

    @wanted.setter
    def wanted(self, wanted: Callable[[], Container[int]]) -> None:
        self._decoder.wanted = wanted

    def restart(self) -> None:
        """Abort the pending call, and fetch the complete list from the same address."""
        self.change_address(self._client.address)

    def request_complete_list(self) -> None:
        """Request the complete list at the next call, in place of the changes."""
        self._complete_requested = True

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then the changes returned by each long poll.

        When it is called again after a failure, it requests from a shared service only the changes since the last
        revision received, which costs the service little.  From an agent it requests the complete list, because a
        long poll cannot be distinguished from an agent that does not respond.

        Raises:
            DiscoveryError: A call failed.
        """
        catching_up = True  # until a call has succeeded since the last failure
        while True:
            address_changes = self._address_changes
            from_revision = self._revision
            try:
                update = await self._poll(from_revision, catching_up)
            except DiscoveryError:
                if address_changes == self._address_changes:
                    if self._timing.is_pushed:
                        self._revision = NO_REVISION
                    raise
                catching_up = True
                continue
            yield update
            catching_up = address_changes != self._address_changes
            if not catching_up:
                # Stored after the yield, so that a consumer that failed to apply the update receives it again.
                self._revision = _revision_after(update, from_revision)
            if self._complete_requested:
                self._revision = NO_REVISION
                self._complete_requested = False

    async def _poll(self, from_revision: int, catching_up: bool) -> EndpointListUpdate:
        """Make the next call; return the complete list, or the changes since `from_revision`."""
        target, timeout_s = self._next_call(from_revision, catching_up)
        address_changes = self._address_changes
        try:
            return await self._request(target, timeout_s)
        except MalformedListError as error:
            is_current = address_changes == self._address_changes
            if not (catching_up and error.may_differ_next_time and is_current) or self._timing.is_pushed:
                raise
        # The service is reachable: the call is repeated immediately, because a retry after a backoff may be too late.
        return await self._request(target, timeout_s)

    def _next_call(self, from_revision: int, catching_up: bool) -> tuple[str, float]:
        """Return the request target of the next call and its timeout in seconds."""
        timing = self._timing
        if from_revision < 0:
            return TARGETS_PATH, timing.response_timeout_s
        if catching_up:
            hold_ms = CATCH_UP_LONG_POLL_MS
            grace_s = timing.response_timeout_s
        else:
            hold_ms = timing.jittered_long_poll_ms()
            grace_s = timing.long_poll_grace_s
        return f"{TARGETS_PATH}?from={from_revision}&hold_ms={hold_ms}", hold_ms / 1000.0 + grace_s

    def _malformed_list(self) -> RefusedList:
        return RefusedList("malformed", self._decoder.received_bytes, self._max_list_bytes, 0.0)

    async def _request(self, target: str, timeout_s: float) -> EndpointListUpdate:
        try:
            status, _ = await self._client.exchange("GET", target, timeout_s, receiver=self._decoder)
            update = self._decoder.finish() if status == HTTP_OK else None
        except TruncatedResponseError as error:
            raise MalformedListError(str(error), _refused_list(error.progress)) from error
        except (OSError, ConnectionBrokenError) as error:
            raise DiscoveryError(str(error) or type(error).__name__) from error
        except ValueError as error:
            # Not valid JSON, or not a list; a later response may be valid again.
            self._telemetry.record_fault("discovery.malformed", error=str(error))
            if isinstance(error, TooManyChangesError):
                self._revision = NO_REVISION
            raise MalformedListError(str(error), self._malformed_list()) from error
        if update is None:
            raise DiscoveryError(f"unexpected status {status}")
        return update


def _refused_list(progress: BodyProgress) -> RefusedList:
    return RefusedList(
        progress.reason.value, progress.received_bytes, progress.limit_bytes, round(progress.elapsed_s, 3)
    )


def _revision_after(update: EndpointListUpdate, from_revision: int) -> int:
    """Return the revision from which to continue, or `NO_REVISION` if the revisions are not comparable.

    Changes with an older revision than requested come from another service, or from one that was reinstalled.
    """
    if update.complete or update.revision >= from_revision:
        return update.revision
    return NO_REVISION
