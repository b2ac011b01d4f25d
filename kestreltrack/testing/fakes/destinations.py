"""Stand-ins for execute nodes: partners with a pace, a limit, a repeat window and troubles, and what reached them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

DEDUPLICATION_WINDOW_S = 25.0  # a repeat of a key is dropped for so long


def read_batch(body: bytes) -> list[tuple[str, str]]:
    """Id and key of each message in one call; raises `ValueError` where the body cannot be read."""
    found = list[tuple[str, str]]()
    while body:
        line, end, rest = body.partition(b"\r\n")
        id_, key, length = line.decode("ascii").split(" ")
        size = int(length)
        if not end or size < 0 or rest[size : size + 2] != b"\r\n":
            raise ValueError("the lengths do not fit")
        found.append((id_, "" if key == "-" else key))
        body = rest[size + 2 :]
    if not found or len(dict(found)) < len(found):
        raise ValueError("no message, or one twice")
    return found


@dataclass(slots=True)
class InjectedFault:
    """What is wrong with a partner just now."""

    reject: bool = False  # answers 503 at once
    failure_rate: float = 0.0  # share of calls answered 500
    hang: bool = False  # takes calls, answers none
    slowdown: float = 1.0  # times the usual time
    stall: bool = False  # runs calls, and writes their answers but for the last byte
    corrupt: Callable[[bytes], bytes] | None = (
        None  # writes this in an answer's place, and ends the connection
    )


@dataclass(slots=True)
class FakeDestination:
    """One partner: all its endpoints share its limit, its troubles and its memory of keys."""

    dest: int
    service_time_ms: float = 50.0
    rate_limit: float = 0.0  # calls a second that it takes; 0: no limit
    cold_start_share: float = 0.25  # of the rate, right after an outage
    warm_up_s: float = 8.0
    max_batch_size: int = 20  # messages in one call at most
    fault: InjectedFault = field(default_factory=InjectedFault)
    warm_up_started_at: float = -1e9
    tokens: float = 0.0
    refilled_at: float = 0.0
    execution_counts: Counter[str] = field(default_factory=Counter)  # how often each message took effect
    key_first_seen_at: dict[str, float] = field(default_factory=dict)  # when each was first seen
    answer_counts: Counter[str] = field(default_factory=Counter)

    def recover(self) -> None:
        """End its troubles; it comes back cold."""
        self.fault, self.warm_up_started_at = InjectedFault(), time.monotonic()

    def current_rate_limit(self, now: float) -> float:
        """Calls a second that it takes now."""
        warmth = min(1.0, max(0.0, (now - self.warm_up_started_at) / self.warm_up_s))
        return self.rate_limit * (self.cold_start_share + (1.0 - self.cold_start_share) * warmth)

    def retry_after_ms(self, now: float) -> float:
        """0 where it takes a call, else the milliseconds after which there is room."""
        if not self.rate_limit:
            return 0.0
        rate = self.current_rate_limit(now)
        self.tokens = min(max(1.0, rate), self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return 1000.0 * (1.0 - self.tokens) / rate

    def execute(self, message: str, key: str, now: float) -> None:
        """Carry a message out, unless it is a repeat of a key that it remembers."""
        if key and now - self.key_first_seen_at.get(key, -1e9) < DEDUPLICATION_WINDOW_S:
            return
        if key:
            self.key_first_seen_at[key] = now
        self.execution_counts[message] += 1


class FakeEndpoint(LoopbackServer):
    """One endpoint of a partner: a server on a loopback port of its own."""

    malformed_input_errors = (ValueError, KeyError)  # a header that is not there

    def __init__(self, uid: str, destination: FakeDestination, rng: random.Random) -> None:
        """Nothing listens before `listen`."""
        super().__init__()
        self.uid = uid
        self.destination = destination
        self.random = rng
        self.calls = list[tuple[float, str]]()  # when the head of each came, and its message
        self.delivered = set[str]()  # answered with 200, on a connection that still stood

    def discovery_row(self, lifecycle: str = "up") -> dict[str, Any]:
        """Its entry in discovery's form."""
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
        """Calls of one connection, one after the other."""
        while True:
            first, headers, body = await read_http(reader)
            many = first.split(" ")[1].endswith(":batch")
            one = [(headers.get("x-call-id", ""), headers.get("idempotency-key", ""))]
            try:
                messages = read_batch(body) if many else one
            except ValueError:
                writer.write(http_answer("400"))
                continue
            self.calls += [(time.monotonic(), id_) for id_, _ in messages]
            answer = (
                http_answer("413")
                if len(messages) > self.destination.max_batch_size
                else await self._answer(messages, many)
            )
            trouble = self.destination.fault
            if not answer or trouble.stall:
                writer.write(answer[:-1])
                await reader.read()  # silent, until the sender closes
            if writer.is_closing() or not answer or trouble.stall:
                return
            writer.write(trouble.corrupt(answer) if trouble.corrupt else answer)
            await writer.drain()
            if trouble.corrupt:
                return
            if answer.startswith(b"HTTP/1.1 200"):
                self.delivered.update(id_ for id_, _ in messages)

    async def _answer(self, messages: list[tuple[str, str]], many: bool) -> bytes:
        """To one call; its messages fare alike."""
        partner = self.destination
        trouble = self.destination.fault
        if trouble.reject:
            partner.answer_counts["503"] += 1
            return http_answer("503")
        if wait_ms := partner.retry_after_ms(time.monotonic()):
            partner.answer_counts["429"] += 1
            return http_answer("429", f"Retry-After: {wait_ms / 1000.0:.3f}")
        if trouble.hang:
            partner.answer_counts["hung"] += 1
            return b""
        spread = 0.6 + 0.8 * self.random.random()
        if self.random.random() < trouble.failure_rate:
            await asyncio.sleep(0.01)
            partner.answer_counts["500"] += 1
            return http_answer("500")
        await asyncio.sleep(partner.service_time_ms * trouble.slowdown * spread / 1000.0)
        for message, key in messages:
            partner.execute(message, key, time.monotonic())
        partner.answer_counts["200"] += 1
        lines = "".join(f"{message} delivered\r\n" for message, _ in messages)
        return http_answer("200", body=lines.encode() if many else b"")
