"""Stand-ins of clients, endpoints and the platform for the cases of the review, and the start of real senders.

They use the standard library alone and listen on loopback addresses only.  They do what the protocol page says:
endpoints answer each call that arrived whole, the platform answers each notice with 204 and each watch when its list
changes or its wait is over, and clients wait 400 ms for an answer.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANSWER_TIMEOUT_S = 0.4  # a client waits this long for the answer to a request
READY_TIMEOUT_S = 30.0
RUN_LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_at

    def write(self, who: str, text: str) -> float:
        """Write one line and return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {who:<10} {text}\n")
        self._file.flush()
        return now


def settings(classes: list[dict[str, Any]], senders: int, **changes: dict[str, Any]) -> dict[str, Any]:
    """Return settings like those that the wire page shows for a small deployment; `changes` by section."""
    document: dict[str, Any] = {
        "allowed": {
            "cancel": True,
            "connectTimeoutMs": 1000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "keepaliveMs": 5000.0,
            "maxRetryAfterMs": 3000.0,
            "mayDuplicate": False,
            "mayProbe": False,
            "mostHeld": 446,
            "multiplex": 8,
            "peerMessages": False,
            "retryAfter": True,
            "tryLimit": 8,
        },
        "balancers": senders,
        "classes": classes,
        "clients": {"marksRetry": False},
        "dcs": ["van-east"],
        "discovery": "ask",
        "domain": {
            "bundleMax": [1],
            "late": "line",
            "refusedPrice": 0.03,
            "routesApart": [False],
            "slots": 19,
            "zoneFee": [0.0],
        },
        "domainType": "deliver",
        "granularityMs": 5.0,
        "kinds": ["socio-menor"],
        "me": 0,
        "overShareWorth": 0.05,
        "prices": {"handshake": 0.02, "lateFail": 0.02, "waste": 0.16},
        "realms": [{"name": "fraser-legal", "quotaPerS": 31.0, "share": 1.0}],
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
        "weights": "rough",
        "worthBy": "request",
        "zone": "van-east",
    }
    for section, values in changes.items():
        document[section] |= values
    return document


def message_class(name: str, idempotency: str, deadline_ms: float, aim_ms: float) -> dict[str, Any]:
    """Return one class of messages, with the other values of the wire page's example."""
    return {
        "name": name,
        "idempotency": idempotency,
        "deadlineMs": deadline_ms,
        "onTimeMs": aim_ms,
        "group": "all",
        "importance": 1.0,
        "keyTtlMs": 25000.0,
        "lateWorth": 0.5,
        "streaming": False,
    }


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def host_port(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


# HTTP servers ------------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request that arrived whole; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> HttpRequest:
    """Read one request; raises `IncompleteReadError` at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ", 2)
    headers = {name.strip().lower(): value.strip() for name, _, value in (h.partition(":") for h in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, target, headers, body)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Encode a complete answer."""
    lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class HttpServer:
    """An HTTP server on a free loopback port; subclasses implement `respond`."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers = set[asyncio.StreamWriter]()
        self._silent = set[asyncio.StreamWriter]()

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    request = await read_request(reader)
                    if writer in self._silent:
                        await reader.read()  # until the other side ends the connection
                        return
                    await self.respond(request, reader, writer)
        except asyncio.CancelledError:  # the end of the run; asyncio's own callback logs a cancelled task
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()

    def fall_silent(self) -> int:
        """Let the connections that are open now stay open and silent; return their number.

        Nothing that is written to them arrives any more.  New connections work.
        """
        self._silent |= self._writers
        return len(self._silent)

    async def respond(
        self, request: HttpRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and reset the connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Platform(HttpServer):
    """Discovery and the notices: the list, watches on it, and `POST /reports`.

    Attributes:
        notices: For each message the notices with their times.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 1
        self.targets: dict[str, dict[str, Any]] = {}
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self._changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()

    def add(self, uid: str, address: str, dest: int, state: str = "up", rate: float = 30.0) -> None:
        """List an endpoint, or change its entry."""
        row = {
            "uid": uid,
            "endpoint": address,
            "az": "van-east",
            "model": "socio-menor",
            "pod_group": dest,
            "state": state,
            "capacity_hint": rate,
            "boot_ms": 0,
        }
        self.revision += 1
        self._changes.append((self.revision, row))
        self.targets[uid] = row
        if state == "removed":
            del self.targets[uid]
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(
        self, request: HttpRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a notice, a call for the list or a watch."""
        if request.target == "/reports":
            for line in request.body.splitlines():
                row = json.loads(line)
                now = self.record.write("platform", f"notice {row['message']} {row['outcome']}")
                self.notices.setdefault(row["message"], []).append((now, row["outcome"]))
            writer.write(answer(204))
        else:
            data = answer(200, json.dumps(await self._list(request.target)).encode())
            if writer in self._silent:
                return
            writer.write(data)
        await writer.drain()

    async def _list(self, target: str) -> dict[str, Any]:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if "from" not in query:
            return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}
        since = int(query["from"])
        with suppress(TimeoutError):
            async with asyncio.timeout(min(60.0, int(query.get("hold_ms", "0")) / 1000.0)):
                while self.revision <= since:
                    await self._changed.wait()
        rows = [row for revision, row in self._changes if revision > since]
        return {"rev": self.revision, "all": False, "targets": rows}


@dataclass(slots=True)
class Call:
    """One call that arrived whole at an endpoint; `status` is the first line that was written, if any."""

    message_id: str
    key: str
    arrived_at: float
    status: int = 0
    answered_at: float = float("inf")


class Endpoint(HttpServer):
    """An endpoint of one destination.

    Attributes:
        play: Called with each call and a function that writes bytes; writes the answer.
        calls: All calls that arrived.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        play: Callable[[Call, Callable[[bytes], Awaitable[None]]], Coroutine[Any, Any, None]],
    ) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.play = play
        self.calls = list[Call]()

    async def respond(
        self, request: HttpRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Play one call."""
        key = request.headers.get("idempotency-key", "-")
        call = Call(request.headers.get("x-call-id", ""), key, self.record.now())
        self.calls.append(call)
        self.record.write(self.name, f"call {call.message_id} key {key}")

        async def write(data: bytes) -> None:
            if writer.is_closing() or reader.at_eof():
                self.record.write(self.name, f"call {call.message_id}: its connection had ended")
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
            call.status = int(data.split(b" ", 2)[1])
            call.answered_at = self.record.write(self.name, f"answer {call.message_id} {call.status}")

        await self.play(call, write)


# Clients -----------------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Request:
    """One message that a client handed in; times are those of the record, `answer` is empty without one."""

    id: str
    cls: str
    dest: int
    sent_at: float
    d_ms: int
    key: str = ""
    answer: str = ""
    answered_at: float = float("inf")

    @property
    def taken_on(self) -> bool:
        """Whether the client has heard that the message is taken on."""
        return self.answer.startswith("+")

    @property
    def time_is_up_at(self) -> float:
        """When its time is up."""
        return self.sent_at + self.d_ms / 1000.0


def command(*parts: str) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p.encode()) for p in parts)


@dataclass(slots=True)
class Client:
    """Hands in messages, each on a new connection or on one kept open, and waits 400 ms for each answer."""

    address: str
    record: Record
    requests: list[Request] = field(default_factory=list)

    async def submit(self, request_id: str, cls: str, dest: int, d_ms: int, key: str = "") -> Request:
        """Hand in one message on a new connection and wait for its answer."""
        request = Request(request_id, cls, dest, self.record.now(), d_ms, key)
        self.requests.append(request)
        names = f"c={cls},t=fraser-legal,d={d_ms},dest={dest}" + (f",k={key}" if key else "")
        self.record.write("client", f"SUBMIT {request_id} {names}")
        try:
            reader, writer = await asyncio.open_connection(*host_port(self.address))
        except OSError as error:
            self.record.write("client", f"{request_id}: no connection: {error}")
            return request
        try:
            request.sent_at = self.record.now()
            writer.write(command("SUBMIT", "0" * 16, request_id, names, "x" * 200))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await reader.readline()
            request.answer = line.decode().strip()
            request.answered_at = self.record.write("client", f"{request_id}: {request.answer or 'closed'}")
        except (OSError, TimeoutError) as error:
            self.record.write("client", f"{request_id}: no answer: {type(error).__name__}")
        finally:
            writer.close()
        return request


def check_taken_on(client: Client) -> None:
    """Raise `CannotRunError` unless at least half of the messages were taken on; a few prove nothing."""
    taken_on = sum(request.taken_on for request in client.requests)
    if 2 * taken_on < len(client.requests):
        raise CannotRunError(f"only {taken_on} of {len(client.requests)} messages were taken on")


async def is_pong(address: str) -> bool:
    """Return whether a sender at this address answers PING with +PONG."""
    try:
        reader, writer = await asyncio.open_connection(*host_port(address))
    except OSError:
        return False
    try:
        writer.write(command("PING"))
        async with asyncio.timeout(1.0):
            return await reader.readline() == b"+PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


async def operator_call(address: str, method: str, path: str, body: str = "") -> int:
    """Make one operators' call and return the status, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(*host_port(address))
    except OSError:
        return 0
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body.encode())
        async with asyncio.timeout(1.0):
            return int((await reader.readline()).split(b" ")[1])
    except (OSError, TimeoutError, IndexError):
        return 0
    finally:
        writer.close()


# Senders -----------------------------------------------------------------------------------------------------------


class Sender:
    """A real sender: its folder and files, and the process that the deploy file's `run` starts."""

    def __init__(self, folder: Path, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.listen = free_address()
        self.process: asyncio.subprocess.Process | None = None
        self.admin = ""
        self._folder = folder
        self._state = folder / "state"
        self._tmp = folder / "tmp"
        for path in (self._state, self._tmp):
            path.mkdir(parents=True, exist_ok=True)

    async def start(self, config: dict[str, Any], discovery: str, admin: str = "") -> None:
        """Start a process with the deploy file's command, and wait until it is ready.

        With an operators' address it is ready when that says so, or else once it answers PING.
        """
        path = self._folder / "config.json"
        document = {
            "name": self.name,
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
        }
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        path.write_text(json.dumps(document | {"limits": limits, "settings": config}))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(self._tmp),
            "GW_NAME": self.name,
            "GW_LISTEN": self.listen,
            "GW_DISCOVERY": discovery,
            "GW_STATE": str(self._state),
            "GW_CONFIG": str(path),
        }
        if admin:
            env["GW_ADMIN_ADDR"] = admin
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.admin = admin
        self.record.write(self.name, f"started, process {self.process.pid}")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_ready():
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CannotRunError(f"{self.name} did not become ready: {self.log_tail()}")
            await asyncio.sleep(0.05)
        self.record.write(self.name, "ready")

    async def _is_ready(self) -> bool:
        if self.admin:
            return await operator_call(self.admin, "GET", "/api/ready") == 200
        return await is_pong(self.listen)

    def log_tail(self) -> str:
        """Return the end of the log."""
        return (self._folder / "log").read_text(errors="replace")[-600:]

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of the log with this event."""
        rows = []
        for line in (self._folder / "log").read_text(errors="replace").splitlines():
            with suppress(ValueError):
                rows.append(json.loads(line))
        return [row for row in rows if row.get("event") == event]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process and self.process.returncode is None:
            self.record.write(self.name, f"gets {number.name}, process {self.process.pid}")
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


# The run of a case -------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class World:
    """What one run has: the record, a temporary folder, and all that has to be ended."""

    record: Record
    folder: Path
    servers: list[HttpServer] = field(default_factory=list)
    senders: list[Sender] = field(default_factory=list)

    async def platform(self) -> Platform:
        """Return a platform that listens."""
        platform = Platform(self.record)
        await platform.listen()
        self.servers.append(platform)
        return platform

    async def endpoint(
        self,
        name: str,
        play: Callable[[Call, Callable[[bytes], Awaitable[None]]], Coroutine[Any, Any, None]],
    ) -> Endpoint:
        """Return an endpoint that listens."""
        endpoint = Endpoint(name, self.record, play)
        await endpoint.listen()
        self.servers.append(endpoint)
        return endpoint

    def sender(self, name: str, same_machine_as: Sender | None = None) -> Sender:
        """Return a sender that is not started; optionally a second process with another's folder and address."""
        if same_machine_as is None:
            sender = Sender(self.folder / name, name, self.record)
        else:
            sender = Sender(same_machine_as._folder, same_machine_as.name, self.record)
            sender.listen = same_machine_as.listen
        self.senders.append(sender)
        return sender

    async def end(self) -> None:
        """End all that was started."""
        for sender in self.senders:
            await sender.end()
        for server in self.servers:
            server.close()


def run_case(folder: Path, case: Callable[[World], Awaitable[list[str]]]) -> None:
    """Play a case, which returns what broke the rule, and exit with its verdict."""
    record = Record(folder / "record.txt")
    record.write("case", f"TROUBLE={int(TROUBLE)}")

    async def play() -> int:
        # A terminated case ends what it started, as after Ctrl-C.
        signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
        with tempfile.TemporaryDirectory() as temporary:
            world = World(record, Path(temporary))
            try:
                async with asyncio.timeout(RUN_LIMIT_S):
                    broken = await case(world)
            except Exception as error:  # also a fault of the case itself, which says nothing about the rule
                record.write("case", f"could not run: {error!r}")
                print(f"could not run: {error!r}", file=sys.stderr)
                return NOT_RUN
            finally:
                await world.end()
        for line in broken:
            record.write("case", f"broken: {line}")
        verdict = f"broken {len(broken)} times" if broken else "held"
        record.write("case", f"the rule was {verdict}")
        print(f"the rule was {verdict}")
        return BROKEN if broken else HELD

    try:
        sys.exit(asyncio.run(play()))
    except KeyboardInterrupt:
        sys.exit(NOT_RUN)
