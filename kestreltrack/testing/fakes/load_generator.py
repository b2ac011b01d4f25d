"""A stand-in for submitters: hands messages in over RESP2 at a steady rate, and remembers what it was told."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

ANSWER_TIMEOUT_S = 0.4  # after that a submitter closes its connection


@dataclass(frozen=True, slots=True)
class SubmittedMessage:
    """One message that was handed in."""

    id: str
    dest: int
    cls: str
    submitted_at: float
    expires: float


@dataclass(slots=True)
class SubmissionResults:
    """What became of what was handed in, as far as submitters know."""

    accepted: dict[str, SubmittedMessage] = field(default_factory=dict)
    answer_counts: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)


def encode_command(*parts: str) -> bytes:
    """One RESP2 command."""
    bulk = "".join(f"${len(p)}\r\n{p}\r\n" for p in parts)
    return f"*{len(parts)}\r\n{bulk}".encode()


class LoadGenerator:
    """Open loop: each message has its time, whether or not the last ones were answered."""

    def __init__(self, address: str, seed: int, deadline_ms: int = 8000, prefix: str = "m") -> None:
        """To the sender at that address; `prefix` begins the ids of its messages."""
        self._prefix = prefix
        self.address = address
        self.results = SubmissionResults()
        self.random = random.Random(seed)
        self.deadline_ms = deadline_ms
        self._message_count = 0
        self._idle_connections = deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
        self._in_flight = set[asyncio.Task[str]]()

    async def run(
        self, rate: float, seconds: float, draw_message: Callable[[random.Random], tuple[int, str]]
    ) -> None:
        """Hand in `rate` messages a second; `draw` names destination and class of each."""
        began = time.monotonic()
        due = 0.0
        while (due := due + self.random.expovariate(rate)) < seconds:
            await asyncio.sleep(max(0.0, began + due - time.monotonic()))
            dest, cls = draw_message(self.random)
            task = asyncio.create_task(self.submit(dest, cls))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
        await asyncio.gather(*self._in_flight, return_exceptions=True)

    async def submit(self, dest: int, cls: str) -> str:
        """Hand in one message; returns the first word of the answer."""
        self._message_count += 1
        id_ = f"{self._prefix}{self._message_count:07x}"
        now = time.monotonic()
        key = f",k=k{id_}" if cls == "keyed" else ""
        ask = encode_command(
            "SUBMIT", "0" * 16, id_, f"c={cls},t=acme,d={self.deadline_ms},dest={dest}{key}", "x" * 300
        )
        handed = SubmittedMessage(id_, dest, cls, now, now + self.deadline_ms / 1000.0)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self.request(ask)
        except (OSError, asyncio.IncompleteReadError):
            word = "silent"  # not taken on, as far as the submitter knows
        else:
            word = line.split()[0].lstrip("+-").lower()
        self.results.answer_counts[word] += 1
        self.results.latencies_ms.append((time.monotonic() - now) * 1000.0)
        if word == "ok":
            self.results.accepted[id_] = handed
        return word

    async def request(self, command: bytes) -> str:
        """On a kept connection, and once more on a new one where the sender had closed that one meanwhile."""
        if self._idle_connections:
            try:
                return await self._exchange(command, *self._idle_connections.pop())
            except (OSError, asyncio.IncompleteReadError):
                pass
        host, _, port = self.address.rpartition(":")
        return await self._exchange(command, *await asyncio.open_connection(host, int(port)))

    async def _exchange(
        self, command: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        try:
            writer.write(command)
            line = (await reader.readline()).decode()
            if not line:
                raise ConnectionResetError
        except BaseException:
            writer.close()
            raise
        self._idle_connections.append((reader, writer))
        return line

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()
