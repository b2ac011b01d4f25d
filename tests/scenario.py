"""A small language for scenarios that a real sender process runs over sockets.

Each line is one step, ``ACTOR VERB WORDS``.  The actors are

- ``s1``, ``s2`` and so on: clients, each with a connection of its own,
- ``n1`` and ``n2``, the endpoints of destination 1, and ``n3``, the endpoint of destination 2; the endpoint list also
  has ``n4``, of destination 3, where nothing listens,
- ``d``, the platform, and ``d2``, a second platform to which the configuration can be switched,
- ``e``, a fake etcd cluster of three members, if the scenario has one,
- ``a``, a caller of the admin API,
- ``idle_clients``, clients that send nothing and reconnect when their connection is closed, and
- ``sender``, the process itself.

Clients:

    s1 send SUBMIT m1 c=keyed,d=20000,dest=1
    s1 send PING
    s1 send raw *1\\r\\n                      bytes, with escapes
    s1 expect +OK                           the beginning of the next reply
    s1 expect end                           the sender closes the connection
    s1 close
    idle_clients open 60                    open this many connections
    idle_clients expect 60                  this many connections have been closed by the sender

Endpoints:

    n1 expect m1                            a request; `name=value` words are expected headers
    n1 expect batch m1 m2                   a request with several messages
    n1 expect end                           the sender closes the connection
    n1 send 429 Retry-After: 0.2            a response with a header
    n1 send 200 lines m1=delivered m2=failed
    n1 send cut HTTP/1.1 200 OK             a response that ends early, after these words
    n1 close                                reset the connection

Platforms:

    d expect m1 given_up                    a status notification
    d send 503                              the status for the next notification
    d send draining n1                      publish a change to the endpoint list
    d send silence                          never answer the open watch
    d send malformed                        answer the open watch with a malformed list
    d send list_delay 100                   milliseconds before each complete list
    d close                                 stop listening and reset all connections
    d listen                                listen again

Etcd:

    e put draining n1                       change an endpoint
    e remove n1
    e refuse                                inject this fault into the members
    e heal                                  remove all faults

Admin API:

    a GET /api/ready 200                    the status; more words must occur in the response
    a PUT /api/exclude 404 n9               the status and the request body

The sender:

    sender expect end id=m1 how=ok          a log line with this event and these fields
    sender expect exit 0                    the process exits with this status
    sender never attempt id=m1              no such line among the log lines read so far and not expected by a step
    sender send KILL                        a signal
    sender restart                          start the process again after it ended
    sender restart no_list                  the same, without waiting for an endpoint list
    sender start_new                        start a new process in the same folder, on the same address
    sender start_new own_address            the same, on another address; new clients connect to the new process
    sender old KILL                         a signal to the old process; wait until it exits
    sender old send TERM                    a signal to the old process
    sender release_slot                     close the journal slot that the test holds itself
    sender reload d2                        switch to another platform by SIGHUP
    sender source platform                  switch the discovery source by SIGHUP
    wait 100                                milliseconds

A step fails if it takes longer than `STEP_TIMEOUT_S`.  The scenario fails if an endpoint or a platform has received a
request that no step expected.
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

from scripted_servers import ScriptedPlatform, ScriptedServer, Streams

from kestreltrack.testing.fakes.destinations import read_batch
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster
from kestreltrack.testing.fakes.http import http_answer

ROOT = Path(__file__).parent.parent
# Long enough for a busy machine; a step that succeeds takes far less.
STEP_TIMEOUT_S = 60.0
ETCD_PASSWORD = "s3cret-of-the-sender"
CLASS_DEFAULTS = {"onTimeMs": 4000.0, "importance": 1.0, "lateWorth": 0.5}
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
        CLASS_DEFAULTS
        | {"name": "keyed", "idempotency": "deduplicated", "deadlineMs": 24000.0, "keyTtlMs": 25000.0},
        CLASS_DEFAULTS | {"name": "unsafe", "idempotency": "at_most_once", "deadlineMs": 24000.0},
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
DESTINATION_BY_ENDPOINT = {"n1": 1, "n2": 1, "n3": 2, "n4": 3}


class ScenarioHarness:
    """The sender process of one scenario, and the clients, endpoints and platforms around it."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], disk_mb: float = 3.0, etcd: bool = False
    ) -> None:
        self.folder = folder
        self.settings = settings
        self.limits = {"disk_mb": disk_mb}
        self.cluster = FakeEtcdCluster(3, {"sender": ETCD_PASSWORD}) if etcd else None
        self.endpoints = {name: ScriptedServer() for name in ("n1", "n2", "n3")}
        self.platforms: dict[str, ScriptedPlatform] = {}
        # The connection of the last request that each endpoint received.
        self.endpoint_streams: dict[str, Streams] = {}
        self.clients: dict[str, Streams] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.old_process: asyncio.subprocess.Process | None = None
        self.log_queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        # The log lines read so far that no step has expected.
        self.unexpected_lines: list[dict[str, Any]] = []
        self.listen_address = ""
        self.release_slot: Callable[[], None] = lambda: None
        # Python code that the process runs before its main function, to change its time limits.
        self.setup_code = ""
        self.idle_client_tasks = list[asyncio.Task[None]]()
        self.closed_idle_connections = 0
        # The admin address of the current process, once it has been logged.
        self.admin_address = ""

    async def run(self, text: str) -> None:
        """Run each step, then check that nothing unexpected was received or logged."""
        self.platforms = {"d": ScriptedPlatform(), "d2": ScriptedPlatform()}
        for server in (*self.platforms.values(), *self.endpoints.values()):
            await server.listen()
        addresses = {uid: endpoint.address for uid, endpoint in self.endpoints.items()} | {
            "n4": "127.0.0.1:1"
        }
        for uid, address in addresses.items():
            for platform in self.platforms.values():
                platform.entries[uid] = {
                    "uid": uid,
                    "endpoint": address,
                    "az": "a",
                    "model": "plain",
                    "pod_group": DESTINATION_BY_ENDPOINT[uid],
                    "state": "up",
                    "capacity_hint": 50.0,
                    "boot_ms": 0,
                }
        if self.cluster:
            await self.cluster.start()
            self.write_operator_config("etcd")
            for uid, row in self.platforms["d"].entries.items():
                self.cluster.put(f"/t/endpoints/{uid}", json.dumps(row))
        try:
            await self.start()
            for line in text.strip().splitlines():
                actor, verb, *words = line.split()
                try:
                    await asyncio.wait_for(self.run_step(actor, verb, words), STEP_TIMEOUT_S)
                except Exception as error:
                    raise AssertionError(f"{line.strip()}: {error!r}") from error
            for name, server in {**self.platforms, **self.endpoints}.items():
                assert server.requests.empty(), (
                    f"{name} received an unexpected request: {server.requests.get_nowait()[:3]}"
                )
                assert not server.early_requests, (
                    f"{name} received requests before the end of its retry-after: {server.early_requests}"
                )
        finally:
            for task in self.idle_client_tasks:
                task.cancel()
            for process in (self.process, self.old_process):
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()
            if self.cluster:
                await self.cluster.stop()
        await self.log_task
        while not self.log_queue.empty():
            self.unexpected_lines.append(self.log_queue.get_nowait())
        # A sender repeats an accepted notification only if its response came too late, as on a busy machine.
        repeated = sum(platform.repeated_notifications for platform in self.platforms.values())
        assert repeated <= sum(
            line["event"] == "notifications.no_response" for line in self.unexpected_lines
        ), "a notification was repeated although its response was received"
        faults = [line for line in self.unexpected_lines if "fault" in line["event"] or "at" not in line]
        assert not faults, faults
        assert ETCD_PASSWORD not in str(self.unexpected_lines)

    def write_operator_config(self, source: str) -> None:
        assert self.cluster
        password_file = self.folder / "password"
        members = json.dumps(self.cluster.addresses)
        password_file.write_text(ETCD_PASSWORD)
        password_file.chmod(0o600)
        (self.folder / "operator.toml").write_text(
            f'[directory]\nsource = "{source}"\n[directory.etcd]\nmembers = {members}\nprefix = "/t/"\n'
            f'user = "sender"\npassword_file = "{password_file}"\nanswer_ms = 500\nconfirm_ms = 100\nspread_ms = 20\n'
        )

    async def start(self, no_list: bool = False) -> None:
        """Start the process in the scenario's folder, and wait until it is ready and has an endpoint list."""
        config = self.write_config()
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        env = {"GW_NAME": "t", "GW_LISTEN": self.listen_address or "127.0.0.1:0", "GW_STATE": str(state)}
        env |= {"GW_CONFIG": str(config), "GW_DISCOVERY": self.platforms["d"].address}
        env["GW_ADMIN_ADDR"] = "127.0.0.1:0"
        self.admin_address = ""
        if self.cluster:
            env["KESTRELTRACK_OPERATOR_FILE"] = str(self.folder / "operator.toml")
        code = f"{self.setup_code}; from kestreltrack.__main__ import main; main()"
        command = [sys.executable, *(["-c", code] if self.setup_code else ["-m", "kestreltrack"])]
        self.process = await asyncio.create_subprocess_exec(
            *command, env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        self.log_task = asyncio.create_task(self.read_log(self.process))
        self.listen_address = str((await self.expect_log("ready"))["listen"])
        if not no_list:
            await self.expect_log("endpoint_list")

    def write_config(self, **more: Any) -> Path:
        config = self.folder / "config.json"
        table = {"seed": "1f", "settings": self.settings, "limits": self.limits, **more}
        config.write_text(json.dumps(table))
        return config

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        async for line in process.stderr:
            await self.log_queue.put(json.loads(line) if line.startswith(b"{") else {"event": line.decode()})

    @staticmethod
    def matches(line: dict[str, Any], event: str, fields: dict[str, str]) -> bool:
        return line["event"] == event and all(str(line.get(k)) == v for k, v in fields.items())

    async def expect_log(self, event: str, **fields: str) -> dict[str, Any]:
        """Wait for the first log line with this event and these fields; other lines can still be expected later."""
        while not (found := [line for line in self.unexpected_lines if self.matches(line, event, fields)]):
            try:
                self.unexpected_lines.append(await asyncio.wait_for(self.log_queue.get(), STEP_TIMEOUT_S))
            except TimeoutError:
                raise AssertionError(
                    f"no {event} {fields} in the log, but {self.unexpected_lines[-12:]}"
                ) from None
        self.unexpected_lines.remove(found[0])
        return found[0]

    async def run_step(self, actor: str, verb: str, words: list[str]) -> None:
        if actor == "wait":
            await asyncio.sleep(float(verb) / 1000.0)
        elif actor == "sender":
            await self.run_sender_step(verb, words)
        elif actor == "e":
            await self.run_etcd_step(verb, words)
        elif actor == "a":
            await self.call_admin_api(verb, words)
        elif actor == "idle_clients":
            await self.run_idle_clients_step(verb, int(words[0]))
        elif actor in self.platforms:
            await self.run_platform_step(self.platforms[actor], verb, words)
        elif actor in self.endpoints:
            await self.run_endpoint_step(actor, verb, words)
        else:
            await self.run_client_step(actor, verb, words)

    async def run_sender_step(self, verb: str, words: list[str]) -> None:
        assert self.process
        if verb == "restart":
            await self.start(no_list=bool(words))
        elif verb == "start_new":
            self.old_process = self.process
            self.listen_address = "" if words else self.listen_address
            await self.start(no_list=True)
        elif verb == "old":
            assert self.old_process
            self.old_process.send_signal(signal.Signals[f"SIG{words[-1]}"])
            if words[0] != "send":
                await self.old_process.wait()
        elif verb == "release_slot":
            self.release_slot()
        elif verb == "never":
            fields = dict(pair.split("=", 1) for pair in words[1:])
            assert not [line for line in self.unexpected_lines if self.matches(line, words[0], fields)], (
                self.unexpected_lines
            )
        elif verb == "source":
            self.write_operator_config(words[0])
            self.process.send_signal(signal.SIGHUP)
        elif verb == "reload":
            if words[0] in self.platforms:
                self.write_config(discovery=self.platforms[words[0]].address)
            else:
                self.write_config(discovery=words[0])
            self.process.send_signal(signal.SIGHUP)
        elif verb == "send":
            self.process.send_signal(signal.Signals[f"SIG{words[0]}"])
            if words[0] == "KILL":
                await self.process.wait()
        elif words[0] == "exit":
            assert await self.process.wait() == int(words[1])
        else:
            await self.expect_log(words[0], **dict(pair.split("=", 1) for pair in words[1:]))

    async def run_idle_clients_step(self, verb: str, count: int) -> None:
        async def keep_connecting() -> None:
            host, _, port = self.listen_address.rpartition(":")
            while True:
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    await reader.read()
                    writer.close()
                self.closed_idle_connections += 1
                await asyncio.sleep(0.1)

        if verb == "open":
            self.idle_client_tasks += [asyncio.create_task(keep_connecting()) for _ in range(count)]
        else:
            while self.closed_idle_connections < count:
                await asyncio.sleep(0.01)

    async def call_admin_api(self, method: str, words: list[str]) -> None:
        if not self.admin_address:
            self.admin_address = str((await self.expect_log("admin"))["listen"])
        host, _, port = self.admin_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        path, status, *rest = words
        body = b"" if method == "GET" else " ".join(rest).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        response = await reader.read()
        writer.close()
        assert response.split()[1] == status.encode(), response
        for word in rest if method == "GET" else ():
            assert word.encode() in response, response

    async def run_etcd_step(self, verb: str, words: list[str]) -> None:
        assert self.cluster
        if verb == "put":
            row = self.platforms["d"].entries[words[1]] | {"state": words[0]}
            self.cluster.put(f"/t/endpoints/{words[1]}", json.dumps(row))
        elif verb == "remove":
            self.cluster.delete(f"/t/endpoints/{words[0]}")
        else:
            for member in range(len(self.cluster.members) if verb not in ("compact", "expire_tokens") else 1):
                await self.cluster.apply_fault(member, verb)

    async def run_platform_step(self, platform: ScriptedPlatform, verb: str, words: list[str]) -> None:
        if verb == "close":
            platform.close()
        elif verb == "listen":
            await platform.listen()
        elif verb == "expect":
            row = json.loads((await platform.requests.get())[2])
            assert [row["message"], row["outcome"]] == words, row
            assert ("retry_in_ms" in row) == (words[1] == "handed_back"), row
        elif words[0].isdigit():
            platform.notification_statuses.append(words[0])
        elif words[0] == "list_delay":
            platform.list_delay_s = float(words[1]) / 1000.0
        elif words[0] == "silence":
            while platform.awaited_change is not platform.next_change:
                await asyncio.sleep(0.005)
            platform.next_change = asyncio.get_running_loop().create_future()
        elif words[0] == "malformed":
            platform.next_change.set_result(b'{"rev": "x", "targets": 7}')
        else:
            platform.publish(words[0], words[1])

    async def run_endpoint_step(self, name: str, verb: str, words: list[str]) -> None:
        endpoint = self.endpoints[name]
        if verb == "expect" and words == ["end"]:
            reader, writer = self.endpoint_streams[name]
            assert await reader.read() == b""
            writer.close()
        elif verb == "expect" and words[0] == "batch":
            request_line, _, body, self.endpoint_streams[name] = await endpoint.requests.get()
            assert request_line.split()[1] == "/v1/messages:batch", request_line
            assert [id_ for id_, _ in read_batch(body)] == words[1:], body
        elif verb == "expect":
            _, headers, _, self.endpoint_streams[name] = await endpoint.requests.get()
            assert headers["x-call-id"] == words[0] and int(headers["x-budget-ms"]) > 0, headers
            for pair in words[1:]:
                header, _, value = pair.partition("=")
                assert headers.get(header) == value, headers
        elif words[:1] == ["cut"]:
            self.endpoint_streams[name][1].write(
                " ".join(words[1:]).encode() + b"\r\nX-Load" * (len(words) > 2)
            )
            self.endpoint_streams[name][1].write_eof()
            assert await self.endpoint_streams[name][0].read() == b""
            self.endpoint_streams[name][1].close()
        elif verb == "send" and "lines" in words:
            lines = "".join(f"{word.replace('=', ' ')}\r\n" for word in words[words.index("lines") + 1 :])
            head = [" ".join(words[1 : words.index("lines")])] * (words[1] != "lines")
            endpoint.respond(self.endpoint_streams[name], http_answer(words[0], *head, body=lines.encode()))
        elif verb == "send":
            endpoint.respond(
                self.endpoint_streams[name],
                http_answer(words[0], *[" ".join(words[1:])] * (len(words) > 1)),
            )
        else:
            self.endpoint_streams[name][1].transport.abort()

    async def run_client_step(self, name: str, verb: str, words: list[str]) -> None:
        if name not in self.clients:
            host, _, port = self.listen_address.rpartition(":")
            self.clients[name] = await asyncio.open_connection(host, int(port))
        reader, writer = self.clients[name]
        if verb == "close":
            writer.close()
            del self.clients[name]
        elif verb == "expect" and words == ["end"]:
            assert await reader.read() == b""
        elif verb == "expect":
            reply = (await reader.readline()).decode().strip()
            assert reply.startswith(" ".join(words)), reply
        elif words[0] == "raw":
            writer.write(" ".join(words[1:]).encode().decode("unicode_escape").encode("latin-1"))
        else:
            parts = ["SUBMIT", "0" * 16, *words[1:], "the body"] if words[0] == "SUBMIT" else words
            bulk = "".join(f"${len(part)}\r\n{part}\r\n" for part in parts)
            writer.write(f"*{len(parts)}\r\n{bulk}".encode())
