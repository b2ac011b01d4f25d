"""The emulator's world with real senders: its partners, clients and troubles on the real clock, faults on real links.

Partners, traffic, troubles and drains are the emulator's own and drawn from the same seed; so one file plays in both,
and both tell the same stream of what happened to the same rules and the same count of worth.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from kestreltrack.decision import DeduplicationScope, Idempotency, Policy, RateAccuracy, Settings
from kestreltrack.invariants.events import (
    AttemptAnswered,
    EndpointStateLearned,
    Event,
    FinalAnswerGiven,
    Listener,
    SenderCrashed,
    SenderStarted,
)
from kestreltrack.invariants.events import MessageAccepted as Taken
from kestreltrack.ports import Accepted, InvalidMessage, ListedEndpoint, Message, Rejected, SubmitResult
from kestreltrack.sender.dispatcher import Decider
from kestreltrack.testing.emulator.calls import Request
from kestreltrack.testing.emulator.destination import SimulatedEndpoint
from kestreltrack.testing.emulator.scenario import InvalidScenarioError, Scenario, TargetedFaultTable
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender
from kestreltrack.testing.emulator.simulation import Simulation
from kestreltrack.testing.fakes.load_generator import LoadGenerator, encode_command
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault, Links
from kestreltrack.testing.harness.tcp_proxy import TcpProxy
from kestreltrack.testing.scenario_runner.endpoint_servers import CallTracker, EndpointServer

IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "idempotent",
    Idempotency.KEYED: "deduplicated",
    Idempotency.NOT_IDEMPOTENT: "at_most_once",
}
SCOPE_NAMES = {DeduplicationScope.ALL: "all", DeduplicationScope.ZONE: "zone"}
RATE_ACCURACY_NAMES = {
    RateAccuracy.NONE: "none",
    RateAccuracy.EXACT: "nominal",
    RateAccuracy.APPROXIMATE: "rough",
}
SUBMIT_TIMEOUT_S = 5.0  # a submitter gives up on an answer


def settings_document(settings: Settings) -> dict[str, Any]:
    """The settings as the platform's configuration gives them (the other way round of `config/settings.py`)."""
    safety = settings.safety
    return {
        "allowed": {
            "cancel": settings.may_cancel,
            "connectTimeoutMs": settings.connect_timeout_ms,
            "keepaliveMs": settings.keepalive_ms,
            "maxRetryAfterMs": settings.max_retry_after_ms,
            "mostHeld": settings.queue_capacity,
            "multiplex": settings.requests_per_connection,
            "retryAfter": settings.advises_retry_after,
            "tryLimit": settings.max_attempts,
        },
        "balancers": settings.sender_count,
        "classes": [
            {
                "name": name,
                "idempotency": IDEMPOTENCY_NAMES[cls.idempotency],
                "onTimeMs": cls.latency_objective_ms,
                "deadlineMs": cls.deadline_ms,
                "keyTtlMs": cls.deduplication_window_ms,
                "importance": cls.priority_weight,
                "lateWorth": cls.late_priority_weight,
                "inOrder": cls.in_order,
                "group": SCOPE_NAMES[cls.deduplication_scope],
            }
            for name, cls in settings.classes.items()
        ],
        "discovery": "ask" if settings.must_poll else "push",
        "dcs": list(settings.zone_costs),
        "domain": {
            "bundleMax": [kind.max_batch_size for kind in settings.kinds.values()],
            "late": settings.priority_decay.value,
            "routesApart": [kind.independent_endpoints for kind in settings.kinds.values()],
            "slots": settings.concurrency_limit,
            "zoneFee": list(settings.zone_costs.values()),
        },
        "kinds": list(settings.kinds),
        "safety": {
            "answerSlackMs": safety.answer_slack_ms,
            "askEveryMs": safety.poll_interval_ms,
            "coldShare": safety.cold_start_share,
            "drainGraceMs": safety.drain_grace_ms,
            "overloadFactor": safety.overload_factor,
            "tipAfterMs": safety.overload_window_ms,
            "warmAfterMs": safety.warm_up_ms,
            "settleAfterDoubtMs": safety.settle_ms,
        },
        "telemetry": {"fields": ["x0", "x1"], "how": "answers"} if settings.load_reports else {},
        "weights": RATE_ACCURACY_NAMES[settings.rate_accuracy],
        "zone": settings.zone,
    }


class RemoteSender(SimulatedSender):
    """A real sender, as the emulator's clients see a process."""

    def __init__(self, load_generator: LoadGenerator, now: Callable[[], float]) -> None:
        """`load` keeps connections to its front."""
        self.load_generator = load_generator
        self._now = now

    async def submit(self, message: Message) -> SubmitResult | None:
        """Hand a message in; none where no answer comes."""
        left = max(1, int(message.expires - self._now()))
        key = f",k={message.idempotency_key}" if message.idempotency_key else ""
        names = f"c={message.cls},t={message.tenant or ''},d={left},dest={message.dest}{key}"
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                word, *rest = (
                    await self.load_generator.request(
                        encode_command("SUBMIT", "0" * 16, message.id, names, "x" * 300)
                    )
                ).split()
        except (OSError, asyncio.IncompleteReadError, ValueError):  # a time-out is an OSError
            return None
        if word == "+OK":
            return Accepted()
        return (
            Rejected(float(rest[0]) if rest else None) if word == "-BUSY" else InvalidMessage(" ".join(rest))
        )


class ProcessRun(Simulation):
    """One run on real processes."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
    ) -> None:
        """Draws the day as the emulator does; nothing runs before `play`."""
        self._started_at = time.monotonic()
        super().__init__(scenario, seed, folder, (*listeners, self._on_event), decider, sender_count)
        fleet = scenario.fleet
        zones = scenario.fleet.zones
        more = {"KESTRELTRACK_FLEET_LEND": "true"} if fleet.talk else {}
        self.fleet = Fleet(
            folder,
            settings_document(self.settings),
            fleet.senders,
            zones,
            seed,
            1000.0,
            extra_variables=more,
            fleet_enabled=fleet.talk,
            captures_enabled=True,
        )
        for n, sender in enumerate(self.fleet.senders.values()):
            sender.clock_rate = fleet.clocks[n % len(fleet.clocks)]
        self.fleet.links.groups["partners"] = {f"p{n}" for n in self.destinations}
        self._call_trackers = [CallTracker(n, self._request_of, self.emit) for n in range(fleet.senders)]
        self._endpoint_servers = dict[tuple[int, str], tuple[EndpointServer, TcpProxy]]()
        self._pending = set[tuple[str, int]]()  # messages, with the senders that have taken them on
        self._notified = dict[
            str, tuple[int, str]
        ]()  # ends of messages by notices: one told again is one end
        notice_s = scenario.directory.notice_s
        self._propagation_delays_s = [
            self.random_streams.sampler(notice_s, "notice", n, 0) for n in range(fleet.senders)
        ]
        self._publishing_tasks = set[asyncio.Task[None]]()

    def now(self) -> float:
        """Milliseconds since the beginning."""
        return (time.monotonic() - self._started_at) * 1000.0

    def _on_event(self, now: float, event: Event) -> None:
        if isinstance(event, Taken):
            self._pending.add(
                (event.id, event.sender)
            )  # a client without an answer hands in elsewhere as well
            self._notified.pop(event.id, None)
        elif isinstance(event, FinalAnswerGiven) or (
            isinstance(event, AttemptAnswered) and event.outcome == "ok"
        ):
            self._pending.discard((event.id, event.sender))

    def _request_of(self, id_: str) -> Request | None:
        wanted = self.clients.requests.get(id_)
        if wanted is None:
            return None
        return Request(id_, wanted.work_ms, wanted.cls.effect == "keyed", 0, wanted.cls.scope == "zone")

    # Senders, and their ways to partners and list --------------------------------------------------

    def links(self) -> Links:
        """All of them."""
        return self.fleet.links

    def check_faults(self) -> None:
        """All are played here; raises `BadScenario` for names that nobody has."""
        if any(kind.batch > 1 for kind in self.scenario.kind):
            raise InvalidScenarioError("kind.batch: calls of many messages are played in simulated time only")
        groups = self.fleet.links.groups
        names = {"*", "list", "front", *self.fleet.names, *groups, *groups["partners"]}
        for fault in self.scenario.fault:
            for name in (*fault.between, *fault.who):
                if name not in names:
                    raise InvalidScenarioError(f"fault: {name} is the name of nobody here")

    async def start_all(self) -> None:
        """Start all senders; returns once each is ready and knows its list."""
        self.check_faults()
        for n, name in enumerate(self.fleet.names):
            platform = self.fleet.platforms[name]
            platform.on_list_sent = lambda rows, n=n: self._on_list_sent(n, rows)  # type: ignore[misc]
            platform.on_notification = lambda row, n=n: self._on_notification(n, row)  # type: ignore[misc]
            for endpoint in list(self.endpoints.values()):
                await self._open_endpoint_server(n, endpoint)
                platform.publish(self._endpoint_row(n, self.listed_endpoint(endpoint)))
        await self.fleet.__aenter__()
        for n in range(len(self.processes)):
            self.registry.subscribe(_RegistrySubscriber(self, n))  # type: ignore[arg-type]
            self._mark_started(n)
        if self.scenario.fleet.talk:
            await self.fleet.wait_for_membership(self.fleet.names)
        self._started_at = time.monotonic()

    def _mark_started(self, sender: int) -> None:
        name = self.fleet.names[sender]
        self.processes[sender] = RemoteSender(self.fleet.load_generators[name], self.now)
        self.ingress.known_dead.discard(sender)
        self.emit(SenderStarted(sender, 0))

    async def _open_endpoint_server(self, sender: int, endpoint: SimulatedEndpoint) -> None:
        door = EndpointServer(self._call_trackers[sender], endpoint)
        await door.listen()
        relay = TcpProxy(
            self.fleet.links,
            self.fleet.names[sender],
            f"p{endpoint.destination.number}",
            lambda: door.address,
        )
        await relay.listen()
        self._endpoint_servers[sender, endpoint.uid] = door, relay

    def _endpoint_row(self, sender: int, endpoint: ListedEndpoint) -> dict[str, Any]:
        return {
            "uid": endpoint.uid,
            "endpoint": self._endpoint_servers[sender, endpoint.uid][1].address,
            "az": endpoint.zone,
            "model": endpoint.kind,
            "pod_group": endpoint.dest,
            "state": endpoint.state.value,
            "capacity_hint": endpoint.rate,
            "boot_ms": 0,
        }

    def on_list_change(self, sender: int, endpoint: ListedEndpoint) -> None:
        """A change of the list, as late as this sender is told of it."""
        task = asyncio.create_task(self._publish_change(sender, endpoint))
        self._publishing_tasks.add(task)
        task.add_done_callback(self._publishing_tasks.discard)

    async def _publish_change(self, sender: int, endpoint: ListedEndpoint) -> None:
        if (sender, endpoint.uid) not in self._endpoint_servers:
            await self._open_endpoint_server(sender, self.endpoints[endpoint.uid])
        await asyncio.sleep(self._propagation_delays_s[sender]())
        self.fleet.platforms[self.fleet.names[sender]].publish(self._endpoint_row(sender, endpoint))

    def _on_list_sent(self, sender: int, rows: list[dict[str, Any]]) -> None:
        """Entries were written; whether a link that is cut brings them is not known, and nothing rests on it."""
        if not self.links().stream_fault("list", self.fleet.names[sender]).cut:
            for row in rows:
                self.emit(EndpointStateLearned(sender, row["uid"], row["state"]))

    def _on_notification(self, sender: int, row: dict[str, Any]) -> None:
        if self._notified.get(row["message"]) == (sender, row["outcome"]):
            return
        self._notified[row["message"]] = sender, row["outcome"]
        back = row["outcome"] == "handed_back"
        wait = float(row.get("retry_in_ms", 0.0))
        self.emit(FinalAnswerGiven(row["message"], sender, "refused" if back else "failed", wait))
        if back:
            self.clients.on_nack(row["message"], wait)

    # What goes wrong -------------------------------------------------------------------------------

    async def crash(self, sender: int, away_s: float) -> None:
        """A process is killed, and started again after a while."""
        await self._take_down(sender, away_s, SIGKILL, False)

    async def _take_down(self, sender: int, away_s: float, number: Any, emptied: bool) -> None:
        if self.processes[sender] is None:
            return
        name = self.fleet.names[sender]
        if number is SIGKILL:
            self.processes[sender] = None
            self.emit(SenderCrashed(sender))
            self.loop.call_later(self._failure_detection_s(), self._mark_dead, sender)
        else:  # it ends what it has, and takes on nothing more
            self.ingress.known_dead.add(sender)
        await self.fleet.signal([name], number)
        await self.fleet.wait_ended(self.fleet.senders[name])
        if number is not SIGKILL:
            self.processes[sender] = None
            self.emit(SenderCrashed(sender))
        await asyncio.sleep(away_s)
        await self.fleet.start(name, emptied)
        self._mark_started(sender)

    async def inject_process_fault(self, sender: int, table: TargetedFaultTable) -> None:
        """A fault on a sender's process, to its end."""
        if table.process == "pause":
            await self.fleet.signal([self.fleet.names[sender]], SIGSTOP)
            await asyncio.sleep(table.for_s)
            await self.fleet.signal([self.fleet.names[sender]], SIGCONT)
        else:
            await self._take_down(
                sender, table.for_s, SIGKILL if table.process == "kill" else SIGTERM, table.emptied
            )

    async def registry_outage(self, lasts: float) -> None:
        self.links().inject("senders", "list", LinkFault(cut=True))
        await asyncio.sleep(lasts)
        self.links().heal("senders", "list")

    # The end ---------------------------------------------------------------------------------------

    def has_pending_messages(self) -> bool:
        """Whether something that was taken on has no end."""
        return bool(self._pending)

    async def stop_all(self) -> None:
        """End all that was started."""
        await self.close()

    async def close(self) -> None:
        """Whatever state it is in."""
        for task in self._publishing_tasks:
            task.cancel()
        await self.fleet.close()
        for door, relay in self._endpoint_servers.values():
            relay.close()
            door.close()

    def counters(self) -> dict[str, int]:
        """What the senders counted, as their logs last told."""
        found = dict[str, int]()
        for sender in self.fleet.senders.values():
            for name, count in sender.counters.items():
                found[name] = found.get(name, 0) + count
        return found


class _RegistrySubscriber:
    """Hears of changes of the list for one sender."""

    def __init__(self, run: ProcessRun, sender: int) -> None:
        self.run = run
        self.sender = sender

    def on_change(self, revision: int, endpoint: ListedEndpoint) -> None:
        self.run.on_list_change(self.sender, endpoint)


def process_runner(folder: Path) -> Callable[..., Simulation]:
    """What plays a scenario on real processes, whose files and logs lie in the folder."""

    def run(
        scenario: Scenario,
        seed: int,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
        on_created: Callable[[Simulation], None] | None = None,
    ) -> Simulation:
        async def play() -> Simulation:
            day = ProcessRun(scenario, seed, folder, listeners, decider, sender_count)
            if on_created:
                on_created(day)
            try:
                await day.run()
            finally:
                await day.close()
            return day

        return asyncio.run(play())

    return run
