"""Clients of one sender that record each request and its answer."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress

from kestreltrack.testing.fakes.load_generator import ANSWER_TIMEOUT_S, BODY, encode_command
from kestreltrack.testing.soak.observations import NEVER, Effect, Submission
from kestreltrack.testing.soak.plan import SoakPlan

FLOOD_MESSAGES = 20
BAD_COMMANDS = (b"*1\r\n$4\r\nNOPE\r\n", b"*2\r\n$-7\r\n", b"GET / HTTP/1.1\r\n\r\n", b"\x00\xff" * 40)
HALF_COMMAND = b"*5\r\n$6\r\nSUBMIT\r\n$16\r\n00000000"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SoakClients:
    """Reuses idle connections, opens more when all are busy, and submits each message once."""

    def __init__(
        self,
        sender: str,
        address: Callable[[], str],
        plan: SoakPlan,
        rng: random.Random,
        record: Callable[[Submission], None],
    ) -> None:
        """Pass each submission to `record` before it is sent; `address` returns the listen address of the sender."""
        self.sender = sender
        self.on_accepted: Callable[[], None] | None = None
        """Called once, immediately after the next `+OK`."""
        self._address = address
        self._plan = plan
        self._random = rng
        self._record = record
        self._idle = list[Connection]()
        self._count = 0
        self._commands = dict[str, bytes]()
        self._tasks = set[asyncio.Task[None]]()
        self._deadline_ms = plan.settings["classes"][0]["deadlineMs"]

    async def run(self) -> None:
        """Submit the load of the plan: a Poisson process with one burst, after an initial period without load."""
        plan = self._plan
        started_at = time.monotonic()
        due_s = [plan.burst_at_s] * (plan.burst_size // plan.senders)
        at_s = plan.initial_idle_s
        while (at_s := at_s + self._random.expovariate(plan.rate)) < plan.seconds:
            due_s.append(at_s)
        for at_s in sorted(due_s):
            await asyncio.sleep(max(0.0, started_at + at_s - time.monotonic()))
            task = asyncio.create_task(self._submit())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _next_submission(self) -> tuple[Submission, bytes]:
        self._count += 1
        message_class = self._random.choice(self._plan.settings["classes"])
        dest = self._random.randint(1, self._plan.destinations)
        message_id = f"{self.sender}x{self._count:06x}"
        now = time.monotonic()
        expires = now + self._deadline_ms / 1000.0
        submission = Submission(message_id, self.sender, Effect(message_class["idempotency"]), now, expires)
        command = self._commands[message_id] = self._command(message_id, message_class["name"], dest)
        return submission, command

    def _command(self, message_id: str, name: str, dest: int) -> bytes:
        key = f",k=k{message_id}" if name == "keyed" else ""
        headers = f"c={name},t=acme,d={self._deadline_ms:.0f},dest={dest}{key}"
        return encode_command("SUBMIT", "0" * 16, message_id, headers, BODY)

    async def _submit(self) -> None:
        submission, command = self._next_submission()
        self._record(submission)
        idle = self._idle.pop() if self._idle else None
        if idle and await self._exchange(submission, command, idle):
            return
        # The sender may have closed the idle connection before it read the request: resend on a new connection.
        with suppress(OSError):
            await self._exchange(submission, command, await self._open())

    async def _open(self) -> Connection:
        host, _, port = self._address().rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _exchange(self, submission: Submission, command: bytes, connection: Connection) -> bool:
        """Return whether the exchange is over: answered, or timed out after `ANSWER_TIMEOUT_S`."""
        reader, writer = connection
        try:
            writer.write(command)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await reader.readline()
        except TimeoutError:
            writer.close()
            return True
        except OSError:
            line = b""
        if not line.endswith(b"\r\n"):
            submission.closed_unanswered_at = time.monotonic()
            writer.close()
            return False
        submission.closed_unanswered_at = NEVER
        submission.answered_at = time.monotonic()
        submission.answer = line.split()[0].decode(errors="replace")
        if submission.accepted and self.on_accepted:
            callback, self.on_accepted = self.on_accepted, None
            callback()
        self._idle.append(connection)
        return True

    async def repeat(self, message_ids: set[str], count: int) -> None:
        """Submit up to `count` of these messages again, if they are of this sender; each latest one first."""
        own_ids = [message_id for message_id in self._commands if message_id in message_ids]
        for message_id in own_ids[-count:]:
            with suppress(OSError, TimeoutError):
                reader, writer = await self._open()
                writer.write(self._commands[message_id])
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await reader.readline()
                writer.close()

    async def flood(self, count: int) -> None:
        """Send many requests at once on each of `count` connections and disconnect, every second one with a reset."""
        for number in range(count):
            with suppress(OSError):
                _, writer = await self._open()
                if number % 2:
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                names = [f"{self.sender}flood{number:02x}{n:02x}" for n in range(FLOOD_MESSAGES)]
                writer.write(b"".join(self._command(name, "safe", 1) for name in names))
                writer.close()

    async def crowd(self, count: int, seconds: float, data: bytes = b"") -> None:
        """Open connections that send only `data` and stay open."""
        opened = list[Connection]()
        for _ in range(count):
            with suppress(OSError):
                opened.append(await self._open())
                opened[-1][1].write(data)
        await asyncio.sleep(seconds)
        for _, writer in opened:
            writer.close()

    async def bad_commands(self, count: int) -> None:
        """Send malformed commands."""
        for _ in range(count):
            with suppress(OSError, TimeoutError):
                reader, writer = await self._open()
                writer.write(self._random.choice(BAD_COMMANDS))
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await reader.read(200)
                writer.close()

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
