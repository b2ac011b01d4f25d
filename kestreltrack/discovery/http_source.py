"""The endpoint list of the platform over HTTP: the complete list once, then long polls back to back.

`GET /api/targets` answers the complete list; `?from=REVISION&hold_ms=WAIT` answers what changed since that revision,
as soon as something has, and an empty update after the wait.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

import orjson

from kestreltrack.discovery.json_format import parse_update
from kestreltrack.http1 import ConnectionBrokenError, HttpClient, TruncatedResponseError
from kestreltrack.ports import DiscoveryError, EndpointListUpdate
from kestreltrack.telemetry import Telemetry

TARGETS_PATH = "/api/targets"
HTTP_OK = 200
NO_REVISION = -1

# How long a long poll waits.  A lost one is noticed soon after its wait, so a few senders wait for the minimum; but
# each long poll is a call to a service that all senders share, and that answers nobody in time once it is overloaded.
MIN_LONG_POLL_MS = 3000
LONG_POLL_MS_PER_SENDER = 1000
MAX_LONG_POLL_MS = 20_000
# A change ends the long polls of all senders in one moment: with equal waits they would all end, or time out, in one
# moment again.
LONG_POLL_JITTER = 0.25
# Time limit of a call that need not wait: more than the 2 s that the service lets a call wait for its turn.  With a
# shorter limit an overloaded service would serve calls that were given up already, and answer nobody in time.
RESPONSE_TIMEOUT_S = 2.2
# Time limit of a long poll beyond its wait.  A change that a lost long poll missed has to be received within 2 s
# after its wait: half of that is left for the next call, which all senders may make within the same seconds.
LONG_POLL_GRACE_S = 1.0
# Without a limit of its own a connection attempt could take the whole time of a long poll, unnoticed.
CONNECT_TIMEOUT_S = 1.0
# The first call after a failure asks for the missed changes and returns at once, since a long poll that waits cannot
# be distinguished from a service that does not answer.  The next long poll follows its answer.  It is not 0, because
# the service's wait for a call that names none is not specified.
CATCH_UP_LONG_POLL_MS = 1
# Where lists are pushed, an agent beside the sender answers at once and at no cost.  What the agent has counts as
# received, also what it got at the end of an outage while a call of this sender hangs: a call that is not answered
# has to be given up, and repeated, well within the deadline of a drain.  Both are shares of that deadline.
PUSHED_LONG_POLL_SHARE = 0.5
PUSHED_RESPONSE_TIMEOUT_SHARE = 0.3


def long_poll_ms(sender_count: int) -> int:
    """Return the longest wait of a long poll: all senders together begin about one a second."""
    return min(MAX_LONG_POLL_MS, max(MIN_LONG_POLL_MS, LONG_POLL_MS_PER_SENDER * sender_count))


@dataclass(frozen=True, slots=True)
class PollTiming:
    """Waits and time limits of the calls to one kind of address.

    Attributes:
        long_poll_ms: The longest wait of a long poll.
        response_timeout_s: The time limit of a call that need not wait.
        long_poll_grace_s: The time limit of a long poll beyond its wait.
        is_pushed: Whether the address is that of a local agent that lists are pushed to.
    """

    long_poll_ms: int
    response_timeout_s: float
    long_poll_grace_s: float
    is_pushed: bool

    @classmethod
    def for_shared_service(cls, sender_count: int) -> PollTiming:
        """Return the timing for one service that answers all of `sender_count` senders."""
        return cls(long_poll_ms(sender_count), RESPONSE_TIMEOUT_S, LONG_POLL_GRACE_S, is_pushed=False)

    @classmethod
    def for_local_agent(cls, push_deadline_ms: float) -> PollTiming:
        """Return the timing for an agent whose list has to take effect within `push_deadline_ms`."""
        timeout_s = PUSHED_RESPONSE_TIMEOUT_SHARE * push_deadline_ms / 1000.0
        return cls(int(PUSHED_LONG_POLL_SHARE * push_deadline_ms), timeout_s, timeout_s, is_pushed=True)

    def jittered_long_poll_ms(self) -> int:
        """Return the wait of one long poll, drawn at random within `LONG_POLL_JITTER` below the longest."""
        shortest_ms = max(MIN_LONG_POLL_MS, int((1.0 - LONG_POLL_JITTER) * self.long_poll_ms))
        if shortest_ms >= self.long_poll_ms:
            return self.long_poll_ms
        return random.randint(shortest_ms, self.long_poll_ms)


class MalformedListError(DiscoveryError):
    """The service could be reached, but its answer is no list, or a list that is cut short."""


class HttpEndpointSource:
    """Follows the endpoint list at the platform's address; an `EndpointSource`."""

    def __init__(
        self, address: str, telemetry: Telemetry, sender_count: int = 1, push_deadline_ms: float = 0.0
    ) -> None:
        """Create the source; it opens nothing before `follow`.

        Args:
            address: `host:port` of the service or agent.
            telemetry: Receives the fault `discovery.malformed`.
            sender_count: How many senders share the service.
            push_deadline_ms: Where the address is that of an agent that lists are pushed to, the milliseconds within
                which its list has to take effect; 0 where one service answers all senders.
        """
        self._client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._telemetry = telemetry
        # The revision received last at this address.
        self._revision = NO_REVISION
        self._address_changes = 0
        if push_deadline_ms > 0.0:
            self._timing = PollTiming.for_local_agent(push_deadline_ms)
        else:
            self._timing = PollTiming.for_shared_service(sender_count)

    def change_address(self, address: str) -> None:
        """Drop the old address with its pending call, and ask the new one for the complete list."""
        old_client = self._client
        self._client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._revision = NO_REVISION
        self._address_changes += 1
        old_client.close()

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then the changes of each long poll.

        Followed again after a failure, a shared service is asked for the changes since the revision received last,
        which costs it little.  An agent is asked for the complete list, because a long poll looks the same as an
        agent that does not answer.

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
                # Stored after the yield: a consumer that failed to apply the update receives it again.
                self._revision = _revision_after(update, from_revision)

    async def _poll(self, from_revision: int, catching_up: bool) -> EndpointListUpdate:
        """Return the answer to the next call: the complete list, or the changes since `from_revision`."""
        target, timeout_s = self._next_call(from_revision, catching_up)
        address_changes = self._address_changes
        try:
            return await self._request(target, timeout_s)
        except MalformedListError:
            if not catching_up or self._timing.is_pushed or address_changes != self._address_changes:
                raise
        # The service can be reached: repeated at once, because the next call may come too late.
        return await self._request(target, timeout_s)

    def _next_call(self, from_revision: int, catching_up: bool) -> tuple[str, float]:
        """Return the target of the next call and its time limit in seconds."""
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

    async def _request(self, target: str, timeout_s: float) -> EndpointListUpdate:
        try:
            status, body = await self._client.exchange("GET", target, timeout_s)
            update = parse_update(orjson.loads(body)) if status == HTTP_OK else None
        except TruncatedResponseError as error:
            raise MalformedListError(str(error)) from error
        except (OSError, ConnectionBrokenError) as error:
            raise DiscoveryError(str(error) or type(error).__name__) from error
        except ValueError as error:
            # The body is no JSON, or no list: a later answer of the platform may be in order again.
            self._telemetry.record_fault("discovery.malformed", error=str(error))
            raise MalformedListError(str(error)) from error
        if update is None:
            raise DiscoveryError(f"status {status}")
        return update


def _revision_after(update: EndpointListUpdate, from_revision: int) -> int:
    """Return the revision to go on from; `NO_REVISION` where the revisions are not comparable.

    Changes that are older than the known revision come from another service, or from one that was set up anew.
    """
    if update.complete or update.revision >= from_revision:
        return update.revision
    return NO_REVISION
