"""Clients that press on a sender with partial, malformed, small or very many requests.

Run as ``python -m kestreltrack.testing.pressure.clients KIND ADDRESS CLIENTS SECONDS SEED`` in a process of its own,
so that the clients do not slow down whatever measures the sender.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import closing, suppress
from enum import StrEnum
from typing import Any

import uvloop

from kestreltrack.testing.fakes.load_generator import encode_command

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Press = Callable[["PressingClient"], Coroutine[Any, Any, None]]

PING = encode_command("PING")
UNKNOWN_COMMAND = encode_command("NOPE")
# Small enough that a receiver may treat each of them as negligible.
SMALL_PART = b"$4090\r\n" + bytes(4090) + b"\r\n"
LARGE_BODY_BYTES = 64 * 1024
SMALL_PARTS = 15
SHORT_PARTS = 5000
# Commands that a flooding client writes at once.
FLOOD_COMMANDS = 200
CONNECT_TIMEOUT_S = 2.0
# How long a client that does not finish a request stays connected at most.
HOLD_S = 6.0
DRIBBLE_BYTES = 512
DRIBBLE_INTERVAL_S = 0.01
# Pause after a connection was refused, so that a client does not spin.
REFUSED_PAUSE_S = 0.02


class PressureKind(StrEnum):
    """What each pressing client does, again and again."""

    IDLE = "idle"  # connects and says nothing
    SHORT_PARTS = "short parts"  # declares a million parts, sends very many short ones, reads the error
    SMALL_PARTS = "small parts"  # one command of many small parts that never ends
    HALF_REQUEST = "half request"  # stops half way through a large body
    SLOW_REQUEST = "slow request"  # writes a large body little by little
    LARGE_REQUESTS = "large requests"  # complete requests with the largest body, one after the other
    PIPELINED_AND_LEFT = "pipelined and left"  # many requests at once, then a close without reading
    PINGS = "pings"  # many PINGs at once on one connection, and reads the replies
    UNREAD_REPLIES = "unread replies"  # many PINGs, and reads nothing
    UNKNOWN_COMMANDS = "unknown commands"  # many unknown commands on one connection
    NEW_NAMES = "new names"  # requests under ever new classes, tenants, destinations and ids
    NEW_CONNECTIONS = "new connections"  # a connection for each PING


class PressingClient:
    """One client; `press` repeats what its kind does until it is cancelled."""

    def __init__(self, address: str, number: int, rng: random.Random) -> None:
        """`number` distinguishes the ids and names of this client from those of the others."""
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.number = number
        self.random = rng
        self._names = 0

    async def press(self, kind: PressureKind) -> None:
        """Repeat what `kind` does; an error of a connection begins the next repetition."""
        while True:
            try:
                await _PRESS_BY_KIND[kind](self)
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def connect(self) -> Connection:
        """Open a connection."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(self.host, self.port)

    def next_name(self) -> str:
        """Return an id or a name that no client has used."""
        self._names += 1
        return f"p{self.number:04x}{self._names:011x}"

    def submission(self, body: str, cls: str = "keyed", tenant: str = "acme", dest: int = 1) -> bytes:
        """Return a complete request under a new id."""
        name = self.next_name()
        attributes = f"c={cls},t={tenant},d=2000,dest={dest},k=k{name}"
        return encode_command("SUBMIT", "0" * 16, name, attributes, body)


async def _write_and_hold(client: PressingClient, data: bytes) -> None:
    """Write `data`, and stay connected until the sender ends the connection."""
    reader, writer = await client.connect()
    with closing(writer):
        writer.write(data)
        async with asyncio.timeout(HOLD_S):
            await reader.read()


async def _press_idle(client: PressingClient) -> None:
    await _write_and_hold(client, b"")


async def _press_short_parts(client: PressingClient) -> None:
    reader, writer = await client.connect()
    with closing(writer):
        writer.write(b"*1000000\r\n" + b"$1\r\nx\r\n" * SHORT_PARTS)
        async with asyncio.timeout(HOLD_S):
            await reader.readline()


async def _press_small_parts(client: PressingClient) -> None:
    await _write_and_hold(client, b"*16\r\n" + SMALL_PART * SMALL_PARTS)


async def _press_half_request(client: PressingClient) -> None:
    whole = client.submission("x" * LARGE_BODY_BYTES)
    await _write_and_hold(client, whole[: client.random.randint(len(whole) // 3, len(whole) - 1)])


async def _press_slow_request(client: PressingClient) -> None:
    reader, writer = await client.connect()
    whole = client.submission("x" * LARGE_BODY_BYTES)
    with closing(writer):
        for start in range(0, len(whole), DRIBBLE_BYTES):
            writer.write(whole[start : start + DRIBBLE_BYTES])
            await writer.drain()
            if reader.at_eof():
                return
            await asyncio.sleep(DRIBBLE_INTERVAL_S)
        async with asyncio.timeout(HOLD_S):
            await reader.readline()


async def _press_large_requests(client: PressingClient) -> None:
    reader, writer = await client.connect()
    with closing(writer):
        while True:
            writer.write(client.submission("x" * LARGE_BODY_BYTES))
            async with asyncio.timeout(HOLD_S):
                if not await reader.readline():
                    return


async def _press_pipelined_and_left(client: PressingClient) -> None:
    _, writer = await client.connect()
    with closing(writer):
        writer.write(b"".join(client.submission("x" * 300) for _ in range(60)))
        await writer.drain()


async def _flood(client: PressingClient, make_commands: Callable[[], bytes]) -> None:
    reader, writer = await client.connect()
    with closing(writer):
        replies = asyncio.create_task(_read_all(reader))
        try:
            while not replies.done():
                writer.write(make_commands())
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            replies.cancel()


async def _read_all(reader: asyncio.StreamReader) -> None:
    while await reader.read(1 << 16):
        pass


async def _press_pings(client: PressingClient) -> None:
    await _flood(client, lambda: PING * FLOOD_COMMANDS)


async def _press_unknown_commands(client: PressingClient) -> None:
    await _flood(client, lambda: UNKNOWN_COMMAND * FLOOD_COMMANDS)


async def _press_new_names(client: PressingClient) -> None:
    def make_commands() -> bytes:
        return b"".join(
            client.submission(
                "x",
                cls=client.random.choice(["keyed", client.next_name()]),
                tenant=client.next_name(),
                dest=client.random.choice([1, client.random.randrange(10**9)]),
            )
            for _ in range(FLOOD_COMMANDS // 10)
        )

    await _flood(client, make_commands)


async def _press_unread_replies(client: PressingClient) -> None:
    _, writer = await client.connect()
    with closing(writer):
        async with asyncio.timeout(HOLD_S):
            while True:
                writer.write(PING * FLOOD_COMMANDS)
                await writer.drain()


async def _press_new_connections(client: PressingClient) -> None:
    reader, writer = await client.connect()
    with closing(writer):
        writer.write(PING)
        async with asyncio.timeout(HOLD_S):
            await reader.readline()


_PRESS_BY_KIND: dict[PressureKind, Press] = {
    PressureKind.IDLE: _press_idle,
    PressureKind.SHORT_PARTS: _press_short_parts,
    PressureKind.SMALL_PARTS: _press_small_parts,
    PressureKind.HALF_REQUEST: _press_half_request,
    PressureKind.SLOW_REQUEST: _press_slow_request,
    PressureKind.LARGE_REQUESTS: _press_large_requests,
    PressureKind.PIPELINED_AND_LEFT: _press_pipelined_and_left,
    PressureKind.PINGS: _press_pings,
    PressureKind.UNREAD_REPLIES: _press_unread_replies,
    PressureKind.UNKNOWN_COMMANDS: _press_unknown_commands,
    PressureKind.NEW_NAMES: _press_new_names,
    PressureKind.NEW_CONNECTIONS: _press_new_connections,
}


async def press(kind: PressureKind, address: str, clients: int, seconds: float, seed: int) -> None:
    """Let `clients` of one kind press on the sender at `address` for `seconds`."""
    started_at = time.monotonic()
    tasks = [
        asyncio.create_task(
            PressingClient(address, number, random.Random(f"{seed} {kind} {number}")).press(kind)
        )
        for number in range(clients)
    ]
    await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    kind_name, target, client_count, duration_s, seed_text = sys.argv[1:]
    with suppress(KeyboardInterrupt), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(
            press(PressureKind(kind_name), target, int(client_count), float(duration_s), int(seed_text))
        )
