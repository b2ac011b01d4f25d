"""The platform's machine list over HTTP: the whole list once, then watches back to back."""

from __future__ import annotations

import math
import random
from collections.abc import AsyncIterator
from typing import Any

import orjson

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.http1 import ConnectionBrokenError, HttpClient, TruncatedResponseError, split_address
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry

TARGETS_PATH = "/api/targets"
# How long a watch waits.  A lost one is noticed soon after, so a few senders watch for the least; but each watch is
# a call to a service that all share, and that answers nobody in time once it is asked for more than it can do.
MIN_LONG_POLL_MS, LONG_POLL_MS_PER_SENDER, MAX_LONG_POLL_MS = 3000, 1000, 20_000
# A change ends the watches of all senders in one moment: with one and the same wait they would all fall due, or be
# given up, in one moment as well.
LONG_POLL_JITTER = 0.25
# For an answer to a call that need not wait: more than the 2 s that such a service has a call wait for its turn.
# Given up earlier, a call is served for nobody, and a service asked for more than it can do answers none in time.
RESPONSE_TIMEOUT_S = 2.2
# The same behind a watch's wait.  What a lost watch had to tell counts as told 2 s after its wait is over: half of
# that is left for the call that asks anew, which all senders may make within the same seconds.
LONG_POLL_GRACE_S = 1.0
CONNECT_TIMEOUT_S = (
    1.0  # else a watch would wait for a connection as long as for a change, and nobody would know of it
)
# After a failure the first call asks for what was missed and does not wait: a watch could not be told from silence.
# The watch follows its answer.  (Not 0: the wait of a call that names none is not known.)
CATCH_UP_LONG_POLL_MS = 1
# Where lists are pushed, an agent beside the sender answers at once and at no cost.  All that it has counts as told,
# also what it got back at the end of an outage while a call of ours hangs: a call that it leaves unanswered has to
# be over, and asked again, well within the time that a drain leaves.  Shares of that time.
PUSHED_LONG_POLL_SHARE, PUSHED_RESPONSE_TIMEOUT_SHARE = 0.5, 0.3


def long_poll_ms(sender_count: int) -> int:
    """How long one of so many senders watches at most: all together begin about one watch a second."""
    return min(MAX_LONG_POLL_MS, max(MIN_LONG_POLL_MS, LONG_POLL_MS_PER_SENDER * sender_count))


def _typed_field(row: Any, key: str, kind: type, *default: Any) -> Any:
    value = row.get(key, *default) if isinstance(row, dict) else None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"machine list: {key} is missing or wrong: {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"machine list: {key} is not finite")
    return value


def parse_endpoint(row: Any) -> ListedEndpoint:
    """One entry of the list."""
    address, state = _typed_field(row, "endpoint", str), _typed_field(row, "state", str)
    split_address(address)
    return ListedEndpoint(
        uid=_typed_field(row, "uid", str),
        address=address,
        dest=_typed_field(row, "pod_group", int),
        kind=_typed_field(row, "model", str),
        zone=_typed_field(row, "az", str, ""),
        state=EndpointLifecycle(state),
        rate=_typed_field(row, "capacity_hint", float, 1.0),
    )


def parse_update(table: Any) -> EndpointListUpdate:
    """The platform's form of the list or of changes; raises `ValueError`."""
    rows = _typed_field(table, "targets", list)
    return EndpointListUpdate(
        _typed_field(table, "rev", int), _typed_field(table, "all", bool), tuple(map(parse_endpoint, rows))
    )


class MalformedListError(DiscoveryError):
    """An answer came that is no list, or not all of one: whoever gave it can be reached."""


class HttpEndpointSource:
    """Asks for the list at the platform's address."""

    def __init__(
        self, address: str, telemetry: Telemetry, sender_count: int = 1, push_deadline_ms: float = 0.0
    ) -> None:
        """Nothing is opened before `follow`.

        `pushed_ms`: where the address is an agent's that lists are pushed to, the milliseconds within which what it
        has must be heeded; 0 where one service answers all senders.
        """
        self._client, self._telemetry = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S), telemetry
        self._long_poll_ms, self._revision, self._address_changes = (
            long_poll_ms(sender_count),
            -1,
            0,
        )  # the version last told at this address
        self._response_timeout_s, self._long_poll_grace_s, self._is_pushed = (
            RESPONSE_TIMEOUT_S,
            LONG_POLL_GRACE_S,
            push_deadline_ms > 0.0,
        )
        if self._is_pushed:
            self._long_poll_ms = int(PUSHED_LONG_POLL_SHARE * push_deadline_ms)
            self._response_timeout_s = self._long_poll_grace_s = (
                PUSHED_RESPONSE_TIMEOUT_SHARE * push_deadline_ms / 1000.0
            )

    def change_address(self, address: str) -> None:
        """Drop the old address with its watch; the new one is asked for the whole list at once."""
        old, self._client = self._client, HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._revision, self._address_changes = -1, self._address_changes + 1
        old.close()

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """The whole list, then what each watch tells, until a call fails.

        After a failure it goes on from the version last told: what was missed comes first, and costs little.  An
        agent is asked for the whole list then: a watch could not be told from its silence.
        """
        missed = True  # nothing has been answered since the last failure
        while True:
            moves, since = self._address_changes, self._revision
            try:
                update = await self._poll(since, missed)
            except DiscoveryError:
                missed = True
                if moves != self._address_changes:
                    continue
                self._revision = -1 if self._is_pushed else self._revision
                raise
            yield update
            missed = moves != self._address_changes
            if not missed:  # only now: whoever could not take it in is told it again
                # Changes older than what is known are another service's, or one's that began anew.
                self._revision = update.revision if update.complete or update.revision >= since else -1

    async def _poll(self, from_revision: int, catching_up: bool) -> EndpointListUpdate:
        """What the next call tells, beyond that version."""
        if from_revision < 0:
            target, timeout_s = TARGETS_PATH, self._response_timeout_s
        else:
            hold = CATCH_UP_LONG_POLL_MS if catching_up else self._jittered_long_poll_ms()
            target = f"{TARGETS_PATH}?from={from_revision}&hold_ms={hold}"
            timeout_s = hold / 1000.0 + (self._response_timeout_s if catching_up else self._long_poll_grace_s)
        moves = self._address_changes
        try:
            return await self._request(target, timeout_s)
        except MalformedListError:
            if not catching_up or self._is_pushed or moves != self._address_changes:
                raise
            # Discovery is there: once more now, as the next call may be too far off.
            return await self._request(target, timeout_s)

    def _jittered_long_poll_ms(self) -> int:
        least = max(MIN_LONG_POLL_MS, int((1.0 - LONG_POLL_JITTER) * self._long_poll_ms))
        return (
            self._long_poll_ms if least >= self._long_poll_ms else random.randint(least, self._long_poll_ms)
        )

    async def _request(self, target: str, timeout_s: float) -> EndpointListUpdate:
        try:
            status, body = await self._client.exchange("GET", target, timeout_s)
            if status != 200:
                raise DiscoveryError(f"status {status}")
            return parse_update(orjson.loads(body))
        except TruncatedResponseError as bad:
            raise MalformedListError(str(bad)) from bad
        except (OSError, ConnectionBrokenError) as bad:
            raise DiscoveryError(str(bad) or type(bad).__name__) from bad
        except ValueError as bad:  # not JSON, or not a list: the platform may mend
            self._telemetry.record_fault("discovery.malformed", error=str(bad))
            raise MalformedListError(str(bad)) from bad
