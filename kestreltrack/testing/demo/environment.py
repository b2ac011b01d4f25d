"""The demo's sender process with fakes of three etcd members, the platform, twenty destinations and clients."""

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

# The prefix of the demo's keys in etcd.
ETCD_PREFIX = "/demo/"
# The sender's platform settings, in the format of its configuration file.
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
# The share of messages in the class `unsafe`; the others are in the class `keyed`.
UNSAFE_SHARE = 0.4
# The rate limit of every fourth destination, in calls per second; the others have none.
RATE_LIMIT_PER_S = 12.0
# The maximum wait for outstanding messages: their deadline of 8 s, and time for a notification.
SETTLE_TIMEOUT_S = 12.0
SETTLE_CHECK_INTERVAL_S = 0.05


class DemoEnvironment:
    """The sender process and the fakes that it communicates with.

    Attributes:
        etcd_cluster: The fake etcd, which holds the endpoint list.
        platform: The fake platform, which receives the status notifications.
        sender: The sender process.
        destinations: The fake destinations, by number from 1.
        endpoints: The endpoints of the destinations, one or two each.
        load_generator: The fake clients; None before `start`.
    """

    def __init__(
        self,
        folder: Path,
        seed: int = 1,
        destination_count: int = 20,
        log: Path | None = None,
        capture: Path | None = None,
    ) -> None:
        """Create the sender and the fakes, which are started in `start`.

        Args:
            folder: The folder for the sender's files.
            seed: The seed of all random numbers.
            destination_count: The number of destinations.
            log: The file for the sender's log; None for no log.
            capture: The folder for a capture; None for no capture.
        """
        self.random = random.Random(seed)
        self.capture = capture
        self.etcd_cluster = FakeEtcdCluster(3)
        self.platform = FakePlatform()
        self.folder = folder
        self.sender = SenderProcess(folder, "demo-1", log)
        self.destinations = [self._make_destination(dest) for dest in range(1, destination_count + 1)]
        self.endpoints = [
            self._make_endpoint(destination, number, seed)
            for destination in self.destinations
            for number in range(1 + destination.dest % 2)
        ]
        self.load_generator: LoadGenerator | None = None
        self.destination_weights = [1.0 / (n + 1) for n in range(destination_count)]

    def _make_destination(self, dest: int) -> FakeDestination:
        is_limited = dest % 4 == 0
        return FakeDestination(
            dest,
            service_time_ms=30.0 + 12.0 * (dest % 7),
            rate_limit=RATE_LIMIT_PER_S if is_limited else 0.0,
        )

    def _make_endpoint(self, destination: FakeDestination, number: int, seed: int) -> FakeEndpoint:
        rng = random.Random(seed * 1000 + destination.dest * 10 + number)
        return FakeEndpoint(f"p{destination.dest:02d}-{number}", destination, rng)

    async def start(self) -> None:
        """Start the fakes and the sender; return when the sender is ready."""
        await self.etcd_cluster.start()
        await self.platform.listen()
        for endpoint in self.endpoints:
            await endpoint.listen()
            self.publish_endpoint(endpoint)
        await self.sender.start(self.platform.address, SETTINGS, self.operator_environment())
        self.load_generator = LoadGenerator(self.sender.listen_address, self.random.randrange(1 << 30))

    def operator_environment(self) -> dict[str, str]:
        """Write the operator's file, which names the fake etcd; return the sender's environment variables."""
        file = self.folder / "operator.toml"
        members = ", ".join(f'"{address}"' for address in self.etcd_cluster.addresses)
        file.write_text(
            f'[directory]\nsource = "etcd"\n\n[directory.etcd]\nmembers = [{members}]\nprefix = "{ETCD_PREFIX}"\n'
        )
        variables = {"KESTRELTRACK_OPERATOR_FILE": str(file)}
        if self.capture:
            self.capture.mkdir(parents=True, exist_ok=True)
            variables["KESTRELTRACK_CAPTURE_FOLDER"] = str(self.capture)
        return variables

    def publish_endpoint(self, endpoint: FakeEndpoint, lifecycle: str = "up") -> int:
        """Write an endpoint's entry to etcd and return the revision."""
        value = orjson.dumps(endpoint.discovery_row(lifecycle)).decode()
        return self.etcd_cluster.put(f"{ETCD_PREFIX}endpoints/{endpoint.uid}", value)

    def draw_message(self, rng: random.Random) -> tuple[int, str]:
        """Draw the destination and the class of a message; a few destinations receive most messages."""
        dest = rng.choices(range(1, len(self.destinations) + 1), self.destination_weights)[0]
        return dest, "unsafe" if rng.random() < UNSAFE_SHARE else "keyed"

    async def wait_until_settled(self, seconds: float = SETTLE_TIMEOUT_S) -> None:
        """Wait until no message is outstanding, at most `seconds`."""
        deadline = time.monotonic() + seconds
        while self.pending() and time.monotonic() < deadline:
            await asyncio.sleep(SETTLE_CHECK_INTERVAL_S)

    def delivered(self) -> set[str]:
        """Return the ids of the messages that an endpoint has answered with 200."""
        return set().union(*(endpoint.delivered for endpoint in self.endpoints))

    def pending(self) -> set[str]:
        """Return the ids of the accepted messages without a delivery or a status notification."""
        assert self.load_generator
        return set(self.load_generator.results.accepted) - self.delivered() - set(self.platform.notifications)

    def executed_more_than_once(self) -> set[str]:
        """Return the ids of the messages that were executed more than once."""
        return {
            message_id
            for destination in self.destinations
            for message_id, count in destination.execution_counts.items()
            if count > 1
        }

    async def stop(self) -> None:
        """Stop the sender and the fakes."""
        if self.load_generator:
            self.load_generator.close()
        await self.sender.stop()
        for endpoint in self.endpoints:
            endpoint.close()
        self.platform.close()
        await self.etcd_cluster.stop()
