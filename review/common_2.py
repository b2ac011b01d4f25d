"""Stand-ins and processes for the cases of the second review: clients, endpoints, the platform and real senders.

Only the standard library is used.  Everything listens on loopback addresses and on free ports.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ANSWER_TIMEOUT_S = 0.4
CHUNK_BYTES = 16 * 1024
# The settings of the wire page's example, less what a case does not need, for a small deployment.
SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True,
        "connectTimeoutMs": 1000.0,
        "keepaliveMs": 5000.0,
        "maxRetryAfterMs": 3000.0,
        "mayDuplicate": False,
        "mayProbe": False,
        "mostHeld": 200,
        "multiplex": 8,
        "peerMessages": False,
        "retryAfter": True,
        "tryLimit": 8,
    },
    "balancers": 1,
    "classes": [],
    "clients": {"marksRetry": False},
    "dcs": ["van-east"],
    "discovery": "ask",
    "domain": {
        "bundleMax": [1, 1],
        "late": "line",
        "routesApart": [False, False],
        "slots": 19,
        "zoneFee": [0.0],
    },
    "domainType": "deliver",
    "kinds": ["socio-mayor", "socio-menor"],
    "me": 0,
    "realms": [],
    "safety": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldShare": 0.22,
        "drainGraceMs": 500.0,
        "overloadFactor": 2.0,
        "tipAfterMs": 3000.0,
        "warmAfterMs": 9700.0,
    },
    "stage": 0,
    "stages": ["partner-systems"],
    "telemetry": {"fields": [], "how": "none"},
    "weights": "nominal",
    "zone": "van-east",
}


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the sender."""


class Record:
    """What was sent, answered and run, one line an event, in `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def __call__(self, text: str) -> None:
        """Write one event."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def answer(status: str, *headers: str, body: bytes = b"") -> bytes:
    """Return an encoded HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the request line, the headers and the body of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """A server on a free port of the loopback address; `serve` handles one connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.writers = set[asyncio.StreamWriter]()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a free port, or again on the earlier one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", port, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Refuse new connections and reset the open ones, like a process that dies."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in self.writers:
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with suppress(asyncio.IncompleteReadError, OSError):
                await self.serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Platform(Server):
    """Discovery, which is asked, and the receiver of notices.

    While `silent` is set, discovery answers no call (as when it is down); notices are answered all the same.
    `bytes_per_s` is the rate at which it writes lists.
    """

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.revision = 1
        self.rows = dict[str, dict[str, Any]]()
        self.changes = list[tuple[int, dict[str, Any]]]()
        self.changed = asyncio.Event()
        self.silent = False
        self.bytes_per_s = float("inf")
        self.notices = dict[str, list[tuple[float, str]]]()
        self.told_revision = 0

    def add(self, uid: str, address: str, dest: int, **more: Any) -> dict[str, Any]:
        """Add an entry without publishing it, and return it."""
        row = {
            "uid": uid,
            "endpoint": address,
            "az": "van-east",
            "model": "socio-menor",
            "pod_group": dest,
            "state": "up",
            "capacity_hint": 100.0,
            "boot_ms": 0,
        }
        row |= more
        self.rows[uid] = row
        return row

    def publish(self, *rows: dict[str, Any]) -> None:
        """Publish changed entries as the next version of the list."""
        self.revision += 1
        for row in rows:
            self.changes.append((self.revision, row))
            self.rows[row["uid"]] = row
            if row["state"] == "removed":
                del self.rows[row["uid"]]
        self.record(f"list {self.revision}: {', '.join(row['uid'] + ' ' + row['state'] for row in rows)}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": list(self.rows.values())}

    def go_down(self) -> None:
        """Let discovery go down: calls and watches get no answer, and those that are open are reset."""
        self.silent = True
        self.record("discovery is down")
        for writer in self.writers:
            if not getattr(writer, "has_notices", False):
                writer.transport.abort()

    def come_back(self) -> None:
        """End the outage of discovery."""
        self.silent = False
        self.record("discovery is back")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            line, _, body = await read_request(reader)
            if line.startswith("POST /reports"):
                writer.has_notices = True  # type: ignore[attr-defined]
                for text in body.splitlines():
                    row = json.loads(text)
                    self.notices.setdefault(row["message"], []).append((self.record.now(), row["outcome"]))
                    self.record(f"notice {row['message']} {row['outcome']}")
                writer.write(answer("204"))
                continue
            if self.silent:
                writer.write(answer("503"))  # a call that fails ends in 503 or a reset
                continue
            document = await self._answer_call(line)
            if document is None:
                return
            started_at = self.record.now()
            await self._write_list(answer("200", body=json.dumps(document).encode()), writer)
            self.told_revision = max(self.told_revision, document["rev"])
            if document["targets"]:
                text = f"told list {document['rev']} ({len(document['targets'])} entries)"
                self.record(f"{text}, in {self.record.now() - started_at:.2f} s")

    async def _write_list(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(len(chunk) / self.bytes_per_s)

    async def _answer_call(self, line: str) -> dict[str, Any] | None:
        query = dict(
            pair.split("=", 1) for pair in line.split(" ")[1].partition("?")[2].split("&") if "=" in pair
        )
        if "from" not in query:
            return self.whole()
        since = int(query["from"])
        with suppress(TimeoutError):
            async with asyncio.timeout(min(60.0, int(query.get("hold_ms", "0")) / 1000.0)):
                while self.revision <= since:
                    await self.changed.wait()
        if self.silent:
            return None
        rows = [row for revision, row in self.changes if revision > since]
        return {"rev": self.revision, "all": False, "targets": rows}


class Call:
    """One call that an endpoint got: its message, and when it arrived and was over."""

    def __init__(self, server: Endpoint, message_id: str, at: float) -> None:
        self.server = server
        self.message_id = message_id
        self.arrived_at = at
        self.over_at = float("inf")
        self.status = ""


class Endpoint(Server):
    """An endpoint; `behave` returns the bytes of the answer to a call, or nothing to stay silent for good."""

    def __init__(
        self, record: Record, name: str, behave: Callable[[Call, bytes], Awaitable[bytes]], calls: list[Call]
    ) -> None:
        super().__init__(record)
        self.name = name
        self.behave = behave
        self.calls = calls

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            _, headers, body = await read_request(reader)
            call = Call(self, headers.get("x-call-id", "?"), self.record.now())
            self.calls.append(call)
            self.record(f"call {call.message_id} at {self.name}")
            try:
                data = await self._answer(call, body, reader)
            finally:
                call.over_at = self.record.now()
            if not data:
                return
            call.status = data.split(b" ", 2)[1].decode()
            self.record(f"answer {call.status} to {call.message_id} at {self.name}")
            writer.write(data)
            await writer.drain()

    async def _answer(self, call: Call, body: bytes, reader: asyncio.StreamReader) -> bytes:
        """Return the answer, or nothing once the sender has ended the connection."""
        behaving = asyncio.ensure_future(self.behave(call, body))
        leaving = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({behaving, leaving}, return_when=asyncio.FIRST_COMPLETED)
        if behaving.done():
            if not leaving.done():
                leaving.cancel()
                with suppress(asyncio.CancelledError):
                    await leaving
            if data := behaving.result():
                return data
            await reader.read(1)
        behaving.cancel()
        self.record(f"the connection of the call {call.message_id} at {self.name} has ended")
        return b""


class Client:
    """A client with one connection to the sender."""

    def __init__(self, record: Record, address: str) -> None:
        self.record = record
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def command(self, *parts: bytes) -> str:
        """Send one command and return the answer: a line, or `none` if it does not come in time."""
        if self.writer is None:
            await self.connect()
        assert self.writer and self.reader
        data = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        self.writer.write(data)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self.reader.readline()
        except TimeoutError:
            self.close()
            return "none"
        if not line:
            self.close()
            return "closed"
        return line.decode().strip()

    async def submit(self, message_id: str, names: str, key: str = "0" * 16, body: bytes = b"x") -> str:
        """Hand in one message; once more on a new connection if the sender has just closed the resting one."""
        reused = self.writer is not None
        parts = (b"SUBMIT", key.encode(), message_id.encode(), names.encode(), body)
        try:
            said = await self.command(*parts)
        except OSError:
            self.close()
            said = "closed"
        if said == "closed" and reused:
            said = await self.command(*parts)
        self.record(f"submit {message_id} {names} key {key}: {said}")
        return said


class Sender:
    """One sender: the processes that are started with `run` of the deploy file, one after or beside the other."""

    def __init__(self, record: Record, folder: Path, settings: dict[str, Any], discovery: str) -> None:
        self.record = record
        self.folder = folder
        self.settings = settings
        self.discovery = discovery
        self.known: dict[str, Any] | None = None
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.listen = f"127.0.0.1:{free_port()}"
        self.processes = list[asyncio.subprocess.Process]()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run_command = tomllib.load(file)["run"]

    def write_config(self) -> None:
        """Replace the configuration file."""
        document: dict[str, Any] = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "settings": self.settings,
        }
        if self.known:
            document["known"] = self.known
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(document))
        path.with_suffix(".new").rename(path)

    async def start(self, admin: str = "") -> asyncio.subprocess.Process:
        """Start a process with the environment that the deploy page names."""
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        number = len(self.processes) + 1
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "GW_NAME": "n1",
            "GW_LISTEN": self.listen,
            "GW_DISCOVERY": self.discovery,
            "GW_STATE": str(state),
            "GW_CONFIG": str(self.folder / "config.json"),
        }
        if admin:
            env["GW_ADMIN_ADDR"] = admin
        with (self.folder / f"log.{number}").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run_command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record(f"process {number} of the sender starts")
        return process

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send a signal to a process that is still running."""
        self.record(f"{number.name} to process {self.processes.index(process) + 1}")
        if process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def wait_for_pong(self, timeout_s: float = 30.0) -> None:
        """Wait until the sender answers PING with +PONG."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            client = Client(self.record, self.listen)
            with suppress(OSError):
                if await client.command(b"PING") == "+PONG":
                    client.close()
                    return
            client.close()
            await asyncio.sleep(0.05)
        raise CannotRunError("the sender is not ready")

    async def wait_for_yes(self, admin: str, timeout_s: float = 30.0) -> None:
        """Wait until the process with this address for operators says that it takes clients."""
        deadline = time.monotonic() + timeout_s
        host, _, port = admin.rpartition(":")
        while time.monotonic() < deadline:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record("the new process says yes")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the new process does not say yes")

    async def kill_all(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
            await process.wait()


_given_ports = set[int]()


def free_port() -> int:
    """Return a port that nothing uses now and that was not returned before."""
    import socket

    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def run_case(folder: Path, play: Callable[[Record, Path, bool], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 1 if it returns what broke the rule, 0 if nothing did, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"trouble: {'yes' if trouble else 'no'}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            broken = asyncio.run(_play_in_time(play, record, Path(temporary), trouble))
    except Exception as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for text in broken:
        record(f"BROKEN {text}")
        print(text)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _play_in_time(
    play: Callable[[Record, Path, bool], Awaitable[list[str]]], record: Record, folder: Path, trouble: bool
) -> list[str]:
    async with asyncio.timeout(100.0):
        return await play(record, folder, trouble)
