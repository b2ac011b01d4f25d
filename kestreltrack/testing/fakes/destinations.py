"""Fake destinations and endpoints with service times, rate limits, deduplication and injected faults."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from kestreltrack.testing.fakes.http import HttpRequest, http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

# The default deduplication window of a destination.
DEDUPLICATION_WINDOW_S = 25.0
# The service time of a call is drawn uniformly from this factor, plus up to the range, times the destination's mean.
MIN_SERVICE_TIME_FACTOR = 0.6
SERVICE_TIME_FACTOR_RANGE = 0.8
# A call that fails with 500 is answered sooner than one that executes.
FAILURE_TIME_S = 0.01


class MalformedBatchError(ValueError):
    """The body of a batch call is malformed."""


class BatchItem(NamedTuple):
    """One message of a call; the idempotency key is empty if the message has none."""

    message_id: str
    key: str


def read_batch(body: bytes) -> list[BatchItem]:
    """Parse the body of a batch call.

    Raises:
        ValueError: If the body is malformed; a `MalformedBatchError` unless a number or ASCII text cannot be decoded.
    """
    items = list[BatchItem]()
    while body:
        line, line_end, rest = body.partition(b"\r\n")
        message_id, key, length = line.decode("ascii").split(" ")
        size = int(length)
        if not line_end or size < 0 or rest[size : size + 2] != b"\r\n":
            raise MalformedBatchError(f"message {message_id}: the declared length does not match the body")
        items.append(BatchItem(message_id, "" if key == "-" else key))
        body = rest[size + 2 :]
    if not items or len({item.message_id for item in items}) < len(items):
        raise MalformedBatchError("the body has no message or a duplicate message id")
    return items


@dataclass(slots=True)
class InjectedFault:
    """The fault that is currently injected into a destination.

    Attributes:
        reject: Calls are answered with 503 immediately.
        failure_rate: The share of calls that is answered with 500.
        hang: Calls are accepted and not answered.
        slowdown: The factor by which service times are multiplied.
        stall: Calls are executed, and their responses are written without the last byte.
        corrupt: Returns the bytes to write instead of a response; the connection is closed after them.
    """

    reject: bool = False
    failure_rate: float = 0.0
    hang: bool = False
    slowdown: float = 1.0
    stall: bool = False
    corrupt: Callable[[bytes], bytes] | None = None


@dataclass(slots=True)
class FakeDestination:
    """A destination whose endpoints share its rate limit, its fault and its deduplication window.

    Times are in seconds of `time.monotonic`, unless a name has another unit.

    Attributes:
        dest: The number of the destination.
        service_time_ms: The mean service time of a call.
        rate_limit: The calls per second that it accepts; 0 for no limit.
        min_retry_after_ms: The shortest time that a rejected call is told to wait.
        cold_start_share: The share of the rate limit that it accepts directly after an outage.
        warm_up_s: The time in which the accepted rate rises to the limit after an outage.
        max_batch_size: The maximum number of messages of a call.
        deduplication_window_s: The time for which a repeated idempotency key is not executed again.
        fault: The fault that is currently injected.
        warm_up_started_at: The time of the last recovery.
        tokens: The tokens in the bucket of the rate limit; a call takes one.
        refilled_at: The time at which the bucket was last refilled.
        execution_counts: The number of executions of each message, by id.
        key_executed_at: The time at which each idempotency key was last executed.
        answer_counts: The number of responses by status; `hung` counts calls without a response.
    """

    dest: int
    service_time_ms: float = 50.0
    rate_limit: float = 0.0
    min_retry_after_ms: float = 0.0
    cold_start_share: float = 0.25
    warm_up_s: float = 8.0
    max_batch_size: int = 20
    deduplication_window_s: float = DEDUPLICATION_WINDOW_S
    fault: InjectedFault = field(default_factory=InjectedFault)
    warm_up_started_at: float = -1e9
    tokens: float = 0.0
    refilled_at: float = 0.0
    execution_counts: Counter[str] = field(default_factory=Counter)
    key_executed_at: dict[str, float] = field(default_factory=dict)
    answer_counts: Counter[str] = field(default_factory=Counter)

    def recover(self) -> None:
        """Remove the fault and start the warm-up."""
        self.fault = InjectedFault()
        self.warm_up_started_at = time.monotonic()

    def current_rate_limit(self, now: float) -> float:
        """Return the calls per second that are accepted at `now`."""
        warm_up_progress = min(1.0, max(0.0, (now - self.warm_up_started_at) / self.warm_up_s))
        return self.rate_limit * (self.cold_start_share + (1.0 - self.cold_start_share) * warm_up_progress)

    def take_token(self, now: float) -> float:
        """Take a token for a call and return 0; without one, return the milliseconds until the next."""
        if not self.rate_limit:
            return 0.0
        rate = self.current_rate_limit(now)
        self.tokens = min(max(1.0, rate), self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return max(self.min_retry_after_ms, 1000.0 * (1.0 - self.tokens) / rate)

    def execute(self, message_id: str, key: str, now: float) -> None:
        """Execute a message, unless its key was executed within the deduplication window."""
        if key and now - self.key_executed_at.get(key, -1e9) < self.deduplication_window_s:
            return
        if key:
            self.key_executed_at[key] = now
        self.execution_counts[message_id] += 1


class FakeEndpoint(LoopbackServer):
    """An endpoint of a destination, listening on its own loopback port.

    Attributes:
        calls: The arrival time (`time.monotonic`) and the id of each message.
        delivered: The ids of the messages that were answered with 200 on a connection that was still open.
    """

    # KeyError: a required header is missing.
    malformed_input_errors = (ValueError, KeyError)

    def __init__(self, uid: str, destination: FakeDestination, rng: random.Random) -> None:
        """Create an endpoint, which does not listen until `listen` is called."""
        super().__init__()
        self.uid = uid
        self.destination = destination
        self.random = rng
        self.calls = list[tuple[float, str]]()
        self.delivered = set[str]()

    def discovery_row(self, lifecycle: str = "up") -> dict[str, Any]:
        """Return the endpoint's entry in the format of the platform's endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "plain",
            "pod_group": self.destination.dest,
            "state": lifecycle,
            "capacity_hint": self.destination.rate_limit or 100.0,
            "boot_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection sequentially."""
        while True:
            request = await read_http(reader)
            is_batch = is_batch_call(request)
            try:
                items = read_items(request)
            except ValueError:
                writer.write(http_answer("400"))
                continue
            now = time.monotonic()
            self.calls += [(now, item.message_id) for item in items]
            response = await self._respond(items, is_batch)
            if not await self._write_response(response, reader, writer):
                return
            if response.startswith(b"HTTP/1.1 200"):
                self.delivered.update(item.message_id for item in items)

    async def _write_response(
        self, response: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Write a response as the current fault requires; return whether the connection can be used again."""
        fault = self.destination.fault
        if not response or fault.stall:
            writer.write(response[:-1])
            # Nothing more is sent until the sender closes the connection.
            await reader.read()
            return False
        # A stream stays writable after the peer has closed its side: a response to a disconnected client does not
        # count as delivered.
        if writer.is_closing() or reader.at_eof():
            return False
        writer.write(fault.corrupt(response) if fault.corrupt else response)
        await writer.drain()
        return fault.corrupt is None

    async def _respond(self, items: list[BatchItem], is_batch: bool) -> bytes:
        """Execute a call and return the response for all its messages; empty if the endpoint does not respond."""
        destination = self.destination
        if len(items) > destination.max_batch_size:
            return http_answer("413")
        fault = destination.fault
        if fault.reject:
            destination.answer_counts["503"] += 1
            return http_answer("503")
        wait_ms = destination.take_token(time.monotonic())
        if wait_ms:
            destination.answer_counts["429"] += 1
            return http_answer("429", f"Retry-After: {wait_ms / 1000.0:.3f}")
        if fault.hang:
            destination.answer_counts["hung"] += 1
            return b""
        time_factor = MIN_SERVICE_TIME_FACTOR + SERVICE_TIME_FACTOR_RANGE * self.random.random()
        if self.random.random() < fault.failure_rate:
            await asyncio.sleep(FAILURE_TIME_S)
            destination.answer_counts["500"] += 1
            return http_answer("500")
        await asyncio.sleep(destination.service_time_ms * fault.slowdown * time_factor / 1000.0)
        return self._execute(items, is_batch)

    def _execute(self, items: list[BatchItem], is_batch: bool) -> bytes:
        for item in items:
            self.destination.execute(item.message_id, item.key, time.monotonic())
        self.destination.answer_counts["200"] += 1
        if not is_batch:
            return http_answer("200")
        lines = "".join(f"{item.message_id} delivered\r\n" for item in items)
        return http_answer("200", body=lines.encode())


def read_items(request: HttpRequest) -> list[BatchItem]:
    """Return the messages of a call.

    Raises:
        ValueError: If the body of a batch call is malformed.
    """
    if is_batch_call(request):
        return read_batch(request.body)
    return [BatchItem(request.headers.get("x-call-id", ""), request.headers.get("idempotency-key", ""))]


def is_batch_call(request: HttpRequest) -> bool:
    """Return whether a request is a batch call."""
    return request.request_line.split(" ")[1].endswith(":batch")
