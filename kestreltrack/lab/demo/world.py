"""A sender process among stand-ins: three members of etcd, twenty partners, the platform, submitters."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.lab.standins.etcd.cluster import Cluster
from kestreltrack.lab.standins.partners import Endpoint, Partner
from kestreltrack.lab.standins.platform import Platform
from kestreltrack.lab.standins.submitters import Load

READY_S = 30.0
PREFIX = "/demo/"
SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True, "connectTimeoutMs": 1000.0, "keepaliveMs": 5000.0, "maxRetryAfterMs": 2000.0,
        "mostHeld": 600, "multiplex": 1, "retryAfter": True, "tryLimit": 8,
    },
    "balancers": 1,
    "classes": [
        {
            "name": "keyed", "idempotency": "deduplicated", "onTimeMs": 2000.0, "deadlineMs": 8000.0,
            "keyTtlMs": 25000.0, "importance": 2.0, "lateWorth": 0.5,
        },
        {
            "name": "unsafe", "idempotency": "at_most_once", "onTimeMs": 2000.0, "deadlineMs": 8000.0,
            "importance": 1.0, "lateWorth": 0.4,
        },
    ],
    "discovery": "ask",
    "domain": {"bundleMax": [1], "late": "line", "routesApart": [False], "slots": 60, "zoneFee": [0.0]},
    "kinds": ["plain"],
    "safety": {
        "answerSlackMs": 20.0, "askEveryMs": 10000.0, "coldShare": 0.25, "drainGraceMs": 500.0,
        "overloadFactor": 2.0, "tipAfterMs": 3000.0, "warmAfterMs": 8000.0,
    },
    "telemetry": {"fields": ["x0", "x1"], "how": "answers"},
    "weights": "nominal",
}  # fmt: skip


class Sender:
    """The real process."""

    def __init__(self, folder: Path, log: Path | None = None) -> None:
        """Its files lie in the folder."""
        self.folder, self.listen, self._log = folder, "127.0.0.1:0", log
        self.process: asyncio.subprocess.Process | None = None
        self.lines, self.counters = deque[dict[str, Any]](maxlen=2000), dict[str, int]()
        self._pump: asyncio.Task[None] | None = None
        self._ready, self._served = asyncio.Event(), False

    async def start(self, discovery: str, settings: dict[str, Any], more: dict[str, str]) -> None:
        """Start it, and wait until it is ready; `more` holds variables of the operator's."""
        state, config = self.folder / "state", self.folder / "config.json"
        state.mkdir(exist_ok=True)
        limits = {"memory_mb": 192, "sockets": 1024, "disk_mb": 64}
        config.write_bytes(orjson.dumps({"seed": "1f", "settings": settings, "limits": limits}))
        env = {"PATH": os.environ.get("PATH", ""), "GW_NAME": "demo-1", "GW_LISTEN": self.listen}
        env |= {"GW_STATE": str(state), "GW_CONFIG": str(config), "GW_DISCOVERY": discovery, **more}
        root = str(Path(__file__).parents[3])
        env["PYTHONPATH"] = root
        self._ready.clear()
        self._served = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "kestreltrack", env=env, stderr=asyncio.subprocess.PIPE
        )
        self._pump = asyncio.create_task(self._read(self.process))
        async with asyncio.timeout(READY_S):
            await self._ready.wait()
        if not self._served:
            raise RuntimeError(f"the sender did not start: {list(self.lines)[-3:]}")

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        kept = self._log.open("ab") if self._log else None
        try:
            async for line in process.stderr:
                if kept:
                    kept.write(line)
                try:
                    row = orjson.loads(line)
                except ValueError:
                    row = {"event": "unreadable", "line": line.decode(errors="replace")}
                self._learn(row)
        finally:
            self._ready.set()  # it may have ended before it was ready
            if kept:
                kept.close()

    def _learn(self, row: dict[str, Any]) -> None:
        if row["event"] == "ready":
            self.listen, self._served = row["listen"], True
            self._ready.set()
        if row["event"] == "counters":
            self.counters = {k: v for k, v in row.items() if isinstance(v, int)}
        self.lines.append(row)

    def memory_mb(self) -> float:
        """Of the process, resident."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except OSError:
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def cpu_s(self) -> float:
        """Processor time of the process so far."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """SIGTERM, and the end; killed if it does not come."""
        if self.process is None:
            return
        await self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(6.0):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self._pump:
            await self._pump


class World:
    """All parties."""

    def __init__(
        self,
        folder: Path,
        seed: int = 1,
        partners: int = 20,
        log: Path | None = None,
        capture: Path | None = None,
    ) -> None:
        """Draw the partners; nothing listens before `start`."""
        self.random, self.capture = random.Random(seed), capture
        self.cluster, self.platform, self.folder = Cluster(3), Platform(), folder
        self.sender = Sender(folder, log)
        self.partners = [self._partner(dest) for dest in range(1, partners + 1)]
        self.endpoints = [
            Endpoint(f"p{partner.dest:02d}-{n}", partner, random.Random(seed * 1000 + partner.dest * 10 + n))
            for partner in self.partners
            for n in range(1 + partner.dest % 2)
        ]
        self.load: Load | None = None
        self.weights = [1.0 / (n + 1) for n in range(partners)]

    def _partner(self, dest: int) -> Partner:
        limited = dest % 4 == 0
        return Partner(dest, service_ms=30.0 + 12.0 * (dest % 7), rate=12.0 if limited else 0.0)

    async def start(self) -> None:
        """Start all; returns once the sender is ready."""
        await self.cluster.start()
        await self.platform.listen()
        for endpoint in self.endpoints:
            await endpoint.listen()
            self.put(endpoint)
        await self.sender.start(self.platform.address, SETTINGS, self.variables())
        self.load = Load(self.sender.listen, self.random.randrange(1 << 30))

    def variables(self) -> dict[str, str]:
        """The operator's settings that lead to the stand-in etcd."""
        file = self.folder / "operator.toml"
        members = ", ".join(f'"{address}"' for address in self.cluster.addresses)
        file.write_text(
            f'[directory]\nsource = "etcd"\n\n[directory.etcd]\nmembers = [{members}]\nprefix = "{PREFIX}"\n'
        )
        found = {"KESTRELTRACK_OPERATOR_FILE": str(file)}
        if self.capture:
            self.capture.mkdir(parents=True, exist_ok=True)
            found["KESTRELTRACK_CAPTURE_FOLDER"] = str(self.capture)
        return found

    def put(self, endpoint: Endpoint, state: str = "up") -> int:
        """Write an endpoint's entry; returns the revision."""
        value = orjson.dumps(endpoint.row(state)).decode()
        return self.cluster.put(f"{PREFIX}endpoints/{endpoint.uid}", value)

    def draw(self, rng: random.Random) -> tuple[int, str]:
        """Destination and class of a message: a few partners get much."""
        dest = rng.choices(range(1, len(self.partners) + 1), self.weights)[0]
        return dest, "unsafe" if rng.random() < 0.4 else "keyed"

    async def settle(self, seconds: float = 12.0) -> None:
        """Wait until nothing is owed any more, or so long."""
        until = time.monotonic() + seconds
        while self.owed() and time.monotonic() < until:
            await asyncio.sleep(0.05)

    def delivered(self) -> set[str]:
        """Messages that an endpoint has answered with 200."""
        return set().union(*(endpoint.delivered for endpoint in self.endpoints))

    def owed(self) -> set[str]:
        """Messages that were taken on and have no end."""
        assert self.load
        return set(self.load.account.taken) - self.delivered() - set(self.platform.ends)

    def doubled(self) -> set[str]:
        """Messages that took effect more than once."""
        return {m for partner in self.partners for m, n in partner.effects.items() if n > 1}

    async def stop(self) -> None:
        """End all."""
        if self.load:
            self.load.close()
        await self.sender.stop()
        for endpoint in self.endpoints:
            endpoint.close()
        self.platform.close()
        await self.cluster.stop()
