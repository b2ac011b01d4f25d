"""A small language for scenarios on sockets, played against the real process: send, expect, close, wait.

Each line reads ``WHO VERB WORDS``.  WHO is a submitter (``s1``), an execute node (``n1``, ``n2`` for
destination 1, ``n3`` for 2; nobody listens at ``n4`` for 3), the platform (``d``, and ``d2`` after it has
moved), ``e`` for a stand-in etcd of three members where the scenario has one, or the ``sender`` itself.

    s1 send SUBMIT m1 c=keyed,d=20000,dest=1    n1 expect m1            d expect m1 given_up
    s1 send PING                                n1 send 429 Retry-After: 0.2    d send draining n1
    n1 expect batch m1 m2 (in one call)         n1 send 200 lines m1=delivered m2=failed
    s1 send raw *1\\r\\n                          n1 expect end           d send 503
    s1 expect +OK                               n1 close                sender send KILL
    d close (nobody listens there, open connections are reset)           d listen (again)
    crowd send 60 (so many clients rest, and come again once ended)      crowd expect 60 (so many were ended)
    d send silence (the open watch gets no answer)      d send late 100 (ms before a whole list)
    wait 100                     sender reload d2                       sender expect exit 0
    a GET /api/ready 200         a PUT /api/exclude 404 n9 (the operators' calls: status, body or words of the answer)
    sender beside (a new process on the same address and folder)        sender old KILL (the one before it)
    sender beside apart (on an address of its own: who comes from then on is the new one's)
    sender never claim id=m1 (no such line before the one expected last)  sender lets go (of the test's own slot)
    e put draining n1            e refuse (or another fault, at all)    sender source platform
    e remove n1                  e heal                                 sender wait alone (no list will come)

A node that has told a wait gets nothing before its end, whoever sends it.
An ``expect`` waits as long as it takes, within PATIENCE; what came and was not expected fails the scenario.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from kestreltrack.testing.fakes.destinations import read_batch
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster
from kestreltrack.testing.fakes.http import http_answer, read_http

ROOT = Path(__file__).parent.parent
PATIENCE = 60.0  # also beside a busy machine; what comes at all comes much sooner
SECRET = "s3cret-of-the-sender"
CLASS = {"onTimeMs": 4000.0, "importance": 1.0, "lateWorth": 0.5}
SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True,
        "connectTimeoutMs": 1000.0,
        "keepaliveMs": 5000.0,
        "maxRetryAfterMs": 3000.0,
        "mostHeld": 50,
        "multiplex": 8,
        "retryAfter": True,
        "tryLimit": 8,
    },
    "balancers": 1,
    "classes": [
        CLASS | {"name": "keyed", "idempotency": "deduplicated", "deadlineMs": 24000.0, "keyTtlMs": 25000.0},
        CLASS | {"name": "unsafe", "idempotency": "at_most_once", "deadlineMs": 24000.0},
    ],
    "discovery": "ask",
    "domain": {"bundleMax": [1], "late": "line", "routesApart": [False], "slots": 8, "zoneFee": [0.0]},
    "kinds": ["plain"],
    "safety": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldShare": 0.25,
        "drainGraceMs": 500.0,
        "overloadFactor": 2.0,
        "tipAfterMs": 3000.0,
        "warmAfterMs": 9700.0,
    },
    "telemetry": {"fields": ["x0", "x1"], "how": "answers"},
    "weights": "nominal",
}
DESTS = {"n1": 1, "n2": 1, "n3": 2, "n4": 3}
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Party:
    """A server on a port of its own that queues the requests it gets."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[tuple[str, dict[str, str], bytes, Streams]] = asyncio.Queue()
        self.address, self.open = "", list[Streams]()
        self.told_until, self.early = 0.0, list[str]()  # a wait that it told, and what came before its end

    async def listen(self) -> None:
        """Also again, at the address that it had."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.joined, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.append((reader, writer))
        await self.serve(reader, writer)

    def close(self) -> None:
        self.server.close()
        for _, writer in self.open:
            writer.transport.abort()
        self.open.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_http(reader)
                if asyncio.get_running_loop().time() < self.told_until:
                    self.early.append(request[0])
                await self.requests.put((*request, (reader, writer)))
                await self.answered(writer)
        except (asyncio.IncompleteReadError, OSError):
            pass

    async def answered(self, writer: asyncio.StreamWriter) -> None:
        """A node's connection reads on only after the answer, so that its end can be expected."""
        while not getattr(writer, "answered", False):
            await asyncio.sleep(0.005)
            if writer.is_closing():
                raise ConnectionError
        writer.answered = False  # type: ignore[attr-defined]

    def say(self, streams: Streams, data: bytes) -> None:
        streams[1].write(data)
        streams[1].answered = True  # type: ignore[attr-defined]


class Platform(Party):
    """Answers lists and reports by itself, but for what a scenario tells it to say."""

    def __init__(self) -> None:
        super().__init__()
        self.rev, self.targets, self.next_status = 1, dict[str, dict[str, Any]](), list[str]()
        self.watch: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.late_s = 0.0  # before a whole list
        self.told, self.again = (
            set[bytes](),
            0,
        )  # notices that were taken, and how many of them came once more
        self.watching: asyncio.Future[bytes] | None = None  # what the watch that is open waits for

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_http(reader)
                if first.startswith("POST /reports"):
                    status = self.next_status.pop(0) if self.next_status else "204"
                    for row in body.splitlines() if status == "204" else ():
                        self.again += row in self.told
                        if row not in self.told:
                            await self.requests.put((first, headers, row, (reader, writer)))
                        self.told.add(row)
                    writer.write(http_answer(status))
                elif "from=" in first and int(first.partition("from=")[2].partition("&")[0]) >= self.rev:
                    self.watching = watch = self.watch
                    hold_ms = int(first.partition("hold_ms=")[2].partition(" ")[0])
                    await asyncio.wait({watch}, timeout=hold_ms / 1000.0)
                    if watch is not self.watch:
                        await watch  # silenced: nothing ever comes
                    told = watch.done()
                    self.watch = asyncio.get_running_loop().create_future() if told else watch
                    self.watching = None
                    writer.write(http_answer("200", body=watch.result() if told else self.form(False, [])))
                else:
                    await asyncio.sleep(self.late_s)
                    writer.write(http_answer("200", body=self.form(True, list(self.targets.values()))))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass

    def form(self, whole: bool, targets: list[dict[str, Any]]) -> bytes:
        return json.dumps({"rev": self.rev, "all": whole, "targets": targets}).encode()

    def change(self, state: str, uid: str) -> None:
        self.rev += 1
        self.targets[uid] = self.targets[uid] | {"state": state}
        self.watch.set_result(self.form(False, [self.targets[uid]]))
        if state == "removed":
            del self.targets[uid]


class World:
    """All parties of one scenario."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], disk_mb: float = 3.0, etcd: bool = False
    ) -> None:
        self.folder, self.settings, self.limits = folder, settings, {"disk_mb": disk_mb}
        self.cluster = FakeEtcdCluster(3, {"sender": SECRET}) if etcd else None
        self.nodes = {name: Party() for name in ("n1", "n2", "n3")}
        self.platforms: dict[str, Platform] = {}
        self.claims: dict[str, Streams] = {}
        self.submitters: dict[str, Streams] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.before: asyncio.subprocess.Process | None = None  # the old process, where a new one runs beside
        self.logs: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.seen: list[dict[str, Any]] = []
        self.listen = ""
        self.letting_go: Callable[[], None] = lambda: None
        self.first = ""  # what the process runs first: longer times of its own
        self.crowd, self.ended = list[asyncio.Task[None]](), 0  # clients that rest, and how many were ended
        self.admin = ""  # where the operators call the process that runs now

    async def play(self, text: str) -> None:
        """Carry out each line; in the end nothing that came may be left unexpected."""
        self.platforms = {"d": Platform(), "d2": Platform()}
        for party in (*self.platforms.values(), *self.nodes.values()):
            await party.listen()
        addresses = {uid: node.address for uid, node in self.nodes.items()} | {"n4": "127.0.0.1:1"}
        for uid, address in addresses.items():
            for platform in self.platforms.values():
                platform.targets[uid] = {
                    "uid": uid,
                    "endpoint": address,
                    "az": "a",
                    "model": "plain",
                    "pod_group": DESTS[uid],
                    "state": "up",
                    "capacity_hint": 50.0,
                    "boot_ms": 0,
                }
        if self.cluster:
            await self.cluster.start()
            self.operators("etcd")
            for uid, row in self.platforms["d"].targets.items():
                self.cluster.put(f"/t/endpoints/{uid}", json.dumps(row))
        try:
            await self.start()
            for line in text.strip().splitlines():
                who, verb, *words = line.split()
                try:
                    await asyncio.wait_for(self.line(who, verb, words), PATIENCE)
                except Exception as bad:
                    raise AssertionError(f"{line.strip()}: {bad!r}") from bad
            for name, party in {**self.platforms, **self.nodes}.items():
                assert party.requests.empty(), f"{name} got more: {party.requests.get_nowait()[:3]}"
                assert not party.early, f"{name} had told a wait, and got {party.early}"
        finally:
            for client in self.crowd:
                client.cancel()
            for process in (self.process, self.before):
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()
            if self.cluster:
                await self.cluster.stop()
        await self.pump
        while not self.logs.empty():
            self.seen.append(self.logs.get_nowait())
        # Who waits in vain for an answer to a notice, as beside a busy machine, tells it again; nobody else does.
        again = sum(platform.again for platform in self.platforms.values())
        assert again <= sum(line["event"] == "notifications.no_response" for line in self.seen), (
            "told again though taken"
        )
        faults = [line for line in self.seen if "fault" in line["event"] or "at" not in line]
        assert not faults, faults
        assert SECRET not in str(self.seen)

    def operators(self, source: str) -> None:
        """Write the operator's file."""
        assert self.cluster
        secret, members = self.folder / "password", json.dumps(self.cluster.addresses)
        secret.write_text(SECRET)
        secret.chmod(0o600)
        (self.folder / "operator.toml").write_text(
            f'[directory]\nsource = "{source}"\n[directory.etcd]\nmembers = {members}\nprefix = "/t/"\n'
            f'user = "sender"\npassword_file = "{secret}"\nanswer_ms = 500\nconfirm_ms = 100\nspread_ms = 20\n'
        )

    async def start(self, alone: bool = False) -> None:
        """Start the process, again in the same folder after it ended, and wait until it is ready."""
        config = self.configure()
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        env = {"GW_NAME": "t", "GW_LISTEN": self.listen or "127.0.0.1:0", "GW_STATE": str(state)}
        env |= {"GW_CONFIG": str(config), "GW_DISCOVERY": self.platforms["d"].address}
        env["GW_ADMIN_ADDR"], self.admin = "127.0.0.1:0", ""
        if self.cluster:
            env["KESTRELTRACK_OPERATOR_FILE"] = str(self.folder / "operator.toml")
        own = f"{self.first}; from kestreltrack.__main__ import main; main()"
        command = [sys.executable, *(["-c", own] if self.first else ["-m", "kestreltrack"])]
        self.process = await asyncio.create_subprocess_exec(
            *command, env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        self.pump = asyncio.create_task(self.read_log(self.process))
        self.listen = str((await self.log("ready"))["listen"])
        if not alone:
            await self.log("endpoint_list")

    def configure(self, **more: Any) -> Path:
        config = self.folder / "config.json"
        table = {"seed": "1f", "settings": self.settings, "limits": self.limits, **more}
        config.write_text(json.dumps(table))
        return config

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        async for line in process.stderr:
            await self.logs.put(json.loads(line) if line.startswith(b"{") else {"event": line.decode()})

    @staticmethod
    def fits(line: dict[str, Any], event: str, fields: dict[str, str]) -> bool:
        return line["event"] == event and all(str(line.get(k)) == v for k, v in fields.items())

    async def log(self, event: str, **fields: str) -> dict[str, Any]:
        """The first line of that event with those fields; others stay to be expected."""
        while not (found := [line for line in self.seen if self.fits(line, event, fields)]):
            try:
                self.seen.append(await asyncio.wait_for(self.logs.get(), PATIENCE))
            except TimeoutError:
                raise AssertionError(f"no {event} {fields} in the log, but {self.seen[-12:]}") from None
        self.seen.remove(found[0])
        return found[0]

    async def line(self, who: str, verb: str, words: list[str]) -> None:
        if who == "wait":
            await asyncio.sleep(float(verb) / 1000.0)
        elif who == "sender":
            await self.sender(verb, words)
        elif who == "e":
            await self.etcd(verb, words)
        elif who == "a":
            await self.call(verb, words)
        elif who == "crowd":
            await self.resting(verb, int(words[0]))
        elif who in self.platforms:
            await self.platform_line(self.platforms[who], verb, words)
        elif who in self.nodes:
            await self.node(who, verb, words)
        else:
            await self.submitter(who, verb, words)

    async def sender(self, verb: str, words: list[str]) -> None:
        assert self.process
        if verb == "wait":
            await self.start(alone=bool(words))
        elif verb == "beside":  # a new version on the same address and folder, while the old one serves
            self.before = self.process
            self.listen = "" if words else self.listen
            await self.start(alone=True)
        elif verb == "old":
            assert self.before
            self.before.send_signal(signal.Signals[f"SIG{words[-1]}"])
            if words[0] != "send":
                await self.before.wait()
        elif verb == "lets":  # whoever holds the other slot in this test's own process
            self.letting_go()
        elif verb == "never":
            fields = dict(pair.split("=", 1) for pair in words[1:])
            assert not [line for line in self.seen if self.fits(line, words[0], fields)], self.seen
        elif verb == "source":
            self.operators(words[0])
            self.process.send_signal(signal.SIGHUP)
        elif verb == "reload":
            if words[0] in self.platforms:
                self.configure(discovery=self.platforms[words[0]].address)
            else:
                self.configure(discovery=words[0])
            self.process.send_signal(signal.SIGHUP)
        elif verb == "send":
            self.process.send_signal(signal.Signals[f"SIG{words[0]}"])
            if words[0] == "KILL":
                await self.process.wait()
        elif words[0] == "exit":
            assert await self.process.wait() == int(words[1])
        else:
            await self.log(words[0], **dict(pair.split("=", 1) for pair in words[1:]))

    async def resting(self, verb: str, count: int) -> None:
        async def rest() -> None:
            host, _, port = self.listen.rpartition(":")
            while True:
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    await reader.read()
                    writer.close()
                self.ended += 1
                await asyncio.sleep(0.1)

        if verb == "send":
            self.crowd += [asyncio.create_task(rest()) for _ in range(count)]
        else:
            while self.ended < count:
                await asyncio.sleep(0.01)

    async def call(self, method: str, words: list[str]) -> None:
        """An operators' call: ``a PUT /api/exclude 200 n3``; for a GET, words that its answer holds."""
        if not self.admin:
            self.admin = str((await self.log("admin"))["listen"])
        host, _, port = self.admin.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        path, status, *rest = words
        body = b"" if method == "GET" else " ".join(rest).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await reader.read()
        writer.close()
        assert answer.split()[1] == status.encode(), answer
        for word in rest if method == "GET" else ():
            assert word.encode() in answer, answer

    async def etcd(self, verb: str, words: list[str]) -> None:
        assert self.cluster
        if verb == "put":
            row = self.platforms["d"].targets[words[1]] | {"state": words[0]}
            self.cluster.put(f"/t/endpoints/{words[1]}", json.dumps(row))
        elif verb == "remove":
            self.cluster.delete(f"/t/endpoints/{words[0]}")
        else:
            for member in range(len(self.cluster.members) if verb not in ("compact", "expire_tokens") else 1):
                await self.cluster.apply_fault(member, verb)

    async def platform_line(self, platform: Platform, verb: str, words: list[str]) -> None:
        if verb == "close":
            platform.close()
        elif verb == "listen":
            await platform.listen()
        elif verb == "expect":
            row = json.loads((await platform.requests.get())[2])
            assert [row["message"], row["outcome"]] == words, row
            assert ("retry_in_ms" in row) == (words[1] == "handed_back"), row
        elif words[0].isdigit():
            platform.next_status.append(words[0])
        elif words[0] == "late":
            platform.late_s = float(words[1]) / 1000.0
        elif words[0] == "silence":  # the watch that is open never gets its answer
            while platform.watching is not platform.watch:
                await asyncio.sleep(0.005)
            platform.watch = asyncio.get_running_loop().create_future()
        elif words[0] == "junk":
            platform.watch.set_result(b'{"rev": "x", "targets": 7}')
        else:
            platform.change(words[0], words[1])

    async def node(self, who: str, verb: str, words: list[str]) -> None:
        node = self.nodes[who]
        if verb == "expect" and words == ["end"]:
            reader, writer = self.claims[who]
            assert await reader.read() == b""
            writer.close()
        elif verb == "expect" and words[0] == "batch":
            first, _, body, self.claims[who] = await node.requests.get()
            assert first.split()[1] == "/v1/messages:batch", first
            assert [id_ for id_, _ in read_batch(body)] == words[1:], body
        elif verb == "expect":
            _, headers, _, self.claims[who] = await node.requests.get()
            assert headers["x-call-id"] == words[0] and int(headers["x-budget-ms"]) > 0, headers
            for pair in words[1:]:
                name, _, value = pair.partition("=")
                assert headers.get(name) == value, headers
        elif words[:1] == ["cut"]:
            self.claims[who][1].write(" ".join(words[1:]).encode() + b"\r\nX-Load" * (len(words) > 2))
            self.claims[who][1].write_eof()
            assert await self.claims[who][0].read() == b""
            self.claims[who][1].close()
        elif verb == "send" and "lines" in words:
            lines = "".join(f"{word.replace('=', ' ')}\r\n" for word in words[words.index("lines") + 1 :])
            head = [" ".join(words[1 : words.index("lines")])] * (words[1] != "lines")
            node.say(self.claims[who], http_answer(words[0], *head, body=lines.encode()))
        elif verb == "send":
            node.say(self.claims[who], http_answer(words[0], *[" ".join(words[1:])] * (len(words) > 1)))
        else:
            self.claims[who][1].transport.abort()

    async def submitter(self, who: str, verb: str, words: list[str]) -> None:
        if who not in self.submitters:
            host, _, port = self.listen.rpartition(":")
            self.submitters[who] = await asyncio.open_connection(host, int(port))
        reader, writer = self.submitters[who]
        if verb == "close":
            writer.close()
            del self.submitters[who]
        elif verb == "expect" and words == ["end"]:
            assert await reader.read() == b""
        elif verb == "expect":
            got = (await reader.readline()).decode().strip()
            assert got.startswith(" ".join(words)), got
        elif words[0] == "raw":
            writer.write(" ".join(words[1:]).encode().decode("unicode_escape").encode("latin-1"))
        else:
            parts = ["SUBMIT", "0" * 16, *words[1:], "the body"] if words[0] == "SUBMIT" else words
            bulk = "".join(f"${len(p)}\r\n{p}\r\n" for p in parts)
            writer.write(f"*{len(parts)}\r\n{bulk}".encode())
