"""Fake clients that submit messages over RESP2 at a constant mean rate and record the answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

# A client closes its connection if no answer arrives within this time.
ANSWER_TIMEOUT_S = 0.4
# The body of each message, of a typical size.
BODY = "x" * 300


@dataclass(frozen=True, slots=True)
class SubmittedMessage:
    """A submitted message; its times are in seconds of `time.monotonic`."""

    id: str
    dest: int
    cls: str
    submitted_at: float
    expires: float


@dataclass(slots=True)
class SubmissionResults:
    """The answers to all submissions, as seen by the clients.

    Attributes:
        accepted: The messages that the sender accepted, by id.
        answer_counts: The number of answers by their first word; `silent` counts submissions without one.
        latencies_ms: The time from each submission to its answer, or to the failure of the request.
    """

    accepted: dict[str, SubmittedMessage] = field(default_factory=dict)
    answer_counts: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)


def encode_command(*parts: str) -> bytes:
    """Encode a RESP2 command as an array of bulk strings."""
    bulk_strings = "".join(f"${len(part)}\r\n{part}\r\n" for part in parts)
    return f"*{len(parts)}\r\n{bulk_strings}".encode()


class LoadGenerator:
    """An open-loop load generator: messages are submitted on schedule even if earlier ones are unanswered."""

    def __init__(self, address: str, seed: int, deadline_ms: int = 8000, prefix: str = "m") -> None:
        """Create a generator for the sender at `address`; message ids start with `prefix`."""
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
        """Submit messages as a Poisson process of `rate` per second; `draw_message` chooses destination and class."""
        started_at = time.monotonic()
        due_s = self.random.expovariate(rate)
        while due_s < seconds:
            await asyncio.sleep(max(0.0, started_at + due_s - time.monotonic()))
            dest, cls = draw_message(self.random)
            task = asyncio.create_task(self.submit(dest, cls))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
            due_s += self.random.expovariate(rate)
        await asyncio.gather(*self._in_flight, return_exceptions=True)

    async def submit(self, dest: int, cls: str) -> str:
        """Submit a message and return the first word of the answer in lower case, or `silent` without an answer."""
        message = self._next_message(dest, cls)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self.request(self._submit_command(message))
        except (OSError, asyncio.IncompleteReadError):
            # Without an answer a client cannot count on the message having been accepted.
            answer = "silent"
        else:
            answer = line.split()[0].lstrip("+-").lower()
        self.results.answer_counts[answer] += 1
        self.results.latencies_ms.append((time.monotonic() - message.submitted_at) * 1000.0)
        if answer == "ok":
            self.results.accepted[message.id] = message
        return answer

    def _next_message(self, dest: int, cls: str) -> SubmittedMessage:
        self._message_count += 1
        now = time.monotonic()
        message_id = f"{self._prefix}{self._message_count:07x}"
        return SubmittedMessage(message_id, dest, cls, now, now + self.deadline_ms / 1000.0)

    def _submit_command(self, message: SubmittedMessage) -> bytes:
        key = f",k=k{message.id}" if message.cls == "keyed" else ""
        headers = f"c={message.cls},t=acme,d={self.deadline_ms},dest={message.dest}{key}"
        return encode_command("SUBMIT", "0" * 16, message.id, headers, BODY)

    async def request(self, command: bytes) -> str:
        """Send a command and return the line of the answer.

        Uses an idle connection if there is one, and a new connection if the sender has closed the idle one.

        Raises:
            OSError: If the sender cannot be reached or closes the new connection.
        """
        if self._idle_connections:
            with suppress(OSError, asyncio.IncompleteReadError):
                return await self._exchange(command, *self._idle_connections.pop())
        host, _, port = self.address.rpartition(":")
        return await self._exchange(command, *await asyncio.open_connection(host, int(port)))

    async def _exchange(
        self, command: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        try:
            writer.write(command)
            line = await _read_answer(reader)
        except BaseException:
            writer.close()
            raise
        self._idle_connections.append((reader, writer))
        return line

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()


async def _read_answer(reader: asyncio.StreamReader) -> str:
    line = (await reader.readline()).decode()
    if not line:
        raise ConnectionResetError("the sender closed the connection")
    return line
