"""A sender process among stand-ins: three members of etcd, twenty partners, the platform, submitters."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.testing.fakes.destinations import FakeDestination, FakeEndpoint
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess

ETCD_PREFIX = "/demo/"
SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True,
        "connectTimeoutMs": 1000.0,
        "keepaliveMs": 5000.0,
        "maxRetryAfterMs": 2000.0,
        "mostHeld": 600,
        "multiplex": 1,
        "retryAfter": True,
        "tryLimit": 8,
    },
    "balancers": 1,
    "classes": [
        {
            "name": "keyed",
            "idempotency": "deduplicated",
            "onTimeMs": 2000.0,
            "deadlineMs": 8000.0,
            "keyTtlMs": 25000.0,
            "importance": 2.0,
            "lateWorth": 0.5,
        },
        {
            "name": "unsafe",
            "idempotency": "at_most_once",
            "onTimeMs": 2000.0,
            "deadlineMs": 8000.0,
            "importance": 1.0,
            "lateWorth": 0.4,
        },
    ],
    "discovery": "ask",
    "domain": {"bundleMax": [1], "late": "line", "routesApart": [False], "slots": 60, "zoneFee": [0.0]},
    "kinds": ["plain"],
    "safety": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldShare": 0.25,
        "drainGraceMs": 500.0,
        "overloadFactor": 2.0,
        "tipAfterMs": 3000.0,
        "warmAfterMs": 8000.0,
    },
    "telemetry": {"fields": ["x0", "x1"], "how": "answers"},
    "weights": "nominal",
}


class DemoEnvironment:
    """All parties."""

    def __init__(
        self,
        folder: Path,
        seed: int = 1,
        destination_count: int = 20,
        log: Path | None = None,
        capture: Path | None = None,
    ) -> None:
        """Draw the partners; nothing listens before `start`."""
        self.random = random.Random(seed)
        self.capture = capture
        self.etcd_cluster = FakeEtcdCluster(3)
        self.platform = FakePlatform()
        self.folder = folder
        self.sender = SenderProcess(folder, "demo-1", log)
        self.destinations = [self._make_destination(dest) for dest in range(1, destination_count + 1)]
        self.endpoints = [
            FakeEndpoint(
                f"p{partner.dest:02d}-{n}", partner, random.Random(seed * 1000 + partner.dest * 10 + n)
            )
            for partner in self.destinations
            for n in range(1 + partner.dest % 2)
        ]
        self.load_generator: LoadGenerator | None = None
        self.destination_weights = [1.0 / (n + 1) for n in range(destination_count)]

    def _make_destination(self, dest: int) -> FakeDestination:
        limited = dest % 4 == 0
        return FakeDestination(
            dest, service_time_ms=30.0 + 12.0 * (dest % 7), rate_limit=12.0 if limited else 0.0
        )

    async def start(self) -> None:
        """Start all; returns once the sender is ready."""
        await self.etcd_cluster.start()
        await self.platform.listen()
        for endpoint in self.endpoints:
            await endpoint.listen()
            self.publish_endpoint(endpoint)
        await self.sender.start(self.platform.address, SETTINGS, self.operator_environment())
        self.load_generator = LoadGenerator(self.sender.listen_address, self.random.randrange(1 << 30))

    def operator_environment(self) -> dict[str, str]:
        """The operator's settings that lead to the stand-in etcd."""
        file = self.folder / "operator.toml"
        members = ", ".join(f'"{address}"' for address in self.etcd_cluster.addresses)
        file.write_text(
            f'[directory]\nsource = "etcd"\n\n[directory.etcd]\nmembers = [{members}]\nprefix = "{ETCD_PREFIX}"\n'
        )
        found = {"KESTRELTRACK_OPERATOR_FILE": str(file)}
        if self.capture:
            self.capture.mkdir(parents=True, exist_ok=True)
            found["KESTRELTRACK_CAPTURE_FOLDER"] = str(self.capture)
        return found

    def publish_endpoint(self, endpoint: FakeEndpoint, lifecycle: str = "up") -> int:
        """Write an endpoint's entry; returns the revision."""
        value = orjson.dumps(endpoint.discovery_row(lifecycle)).decode()
        return self.etcd_cluster.put(f"{ETCD_PREFIX}endpoints/{endpoint.uid}", value)

    def draw_message(self, rng: random.Random) -> tuple[int, str]:
        """Destination and class of a message: a few partners get much."""
        dest = rng.choices(range(1, len(self.destinations) + 1), self.destination_weights)[0]
        return dest, "unsafe" if rng.random() < 0.4 else "keyed"

    async def wait_until_settled(self, seconds: float = 12.0) -> None:
        """Wait until nothing is owed any more, or so long."""
        until = time.monotonic() + seconds
        while self.pending() and time.monotonic() < until:
            await asyncio.sleep(0.05)

    def delivered(self) -> set[str]:
        """Messages that an endpoint has answered with 200."""
        return set().union(*(endpoint.delivered for endpoint in self.endpoints))

    def pending(self) -> set[str]:
        """Messages that were taken on and have no end."""
        assert self.load_generator
        return set(self.load_generator.results.accepted) - self.delivered() - set(self.platform.notifications)

    def executed_more_than_once(self) -> set[str]:
        """Messages that took effect more than once."""
        return {m for partner in self.destinations for m, n in partner.execution_counts.items() if n > 1}

    async def stop(self) -> None:
        """End all."""
        if self.load_generator:
            self.load_generator.close()
        await self.sender.stop()
        for endpoint in self.endpoints:
            endpoint.close()
        self.platform.close()
        await self.etcd_cluster.stop()
