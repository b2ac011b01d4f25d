"""Runs an emulator scenario with real sender processes, in real time and with faults on real links.

Destinations, traffic, random faults and drains are those of the emulator, generated from the same seed.  The same
scenario file therefore runs in both, and both emit the same kinds of events to the same invariants and scoring.
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
    MessageAccepted,
    SenderCrashed,
    SenderStarted,
)
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
SUBMIT_TIMEOUT_S = 5.0  # a client waits this long for the reply to a submission


def settings_document(settings: Settings) -> dict[str, Any]:
    """Return the settings in the form of the platform's configuration; the inverse of `config/settings.py`."""
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
    """Gives the emulator's clients access to a real sender process."""

    def __init__(self, load_generator: LoadGenerator, now: Callable[[], float]) -> None:
        """Create the sender; `load_generator` keeps connections to its client listener."""
        self.load_generator = load_generator
        self._now = now

    async def submit(self, message: Message) -> SubmitResult | None:
        """Submit a message; return None if no reply arrives."""
        remaining_ms = max(1, int(message.expires - self._now()))
        key = f",k={message.idempotency_key}" if message.idempotency_key else ""
        fields = f"c={message.cls},t={message.tenant or ''},d={remaining_ms},dest={message.dest}{key}"
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                status, *arguments = (
                    await self.load_generator.request(
                        encode_command("SUBMIT", "0" * 16, message.id, fields, "x" * 300)
                    )
                ).split()
        except (OSError, asyncio.IncompleteReadError, ValueError):  # TimeoutError is an OSError
            return None
        if status == "+OK":
            return Accepted()
        return (
            Rejected(float(arguments[0]) if arguments else None)
            if status == "-BUSY"
            else InvalidMessage(" ".join(arguments))
        )


class ProcessRun(Simulation):
    """One run of a scenario with real sender processes."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
    ) -> None:
        """Generate the day as the emulator does; nothing is started before `run`."""
        self._started_at = time.monotonic()
        super().__init__(scenario, seed, folder, (*listeners, self._on_event), decider, sender_count)
        fleet = scenario.fleet
        zones = scenario.fleet.zones
        extra_variables = {"KESTRELTRACK_FLEET_LEND": "true"} if fleet.talk else {}
        self.fleet = Fleet(
            folder,
            settings_document(self.settings),
            fleet.senders,
            zones,
            seed,
            1000.0,
            extra_variables=extra_variables,
            fleet_enabled=fleet.talk,
            captures_enabled=True,
        )
        for n, sender in enumerate(self.fleet.senders.values()):
            sender.clock_rate = fleet.clocks[n % len(fleet.clocks)]
        self.fleet.links.groups["partners"] = {f"p{n}" for n in self.destinations}
        self._call_trackers = [CallTracker(n, self._find_request, self.emit) for n in range(fleet.senders)]
        self._endpoint_servers = dict[tuple[int, str], tuple[EndpointServer, TcpProxy]]()
        # Messages without a final answer, each with a sender that has accepted it.
        self._pending = set[tuple[str, int]]()
        # The last status notification of each message, to ignore repeated ones.
        self._notified = dict[str, tuple[int, str]]()
        notice_s = scenario.directory.notice_s
        self._propagation_delays_s = [
            self.random_streams.sampler(notice_s, "notice", n, 0) for n in range(fleet.senders)
        ]
        self._publishing_tasks = set[asyncio.Task[None]]()

    def now(self) -> float:
        """Return the time since the start of the run, in milliseconds."""
        return (time.monotonic() - self._started_at) * 1000.0

    def _on_event(self, now: float, event: Event) -> None:
        if isinstance(event, MessageAccepted):
            # Several senders can accept one message: a client that gets no reply submits it to another sender, too.
            self._pending.add((event.id, event.sender))
            self._notified.pop(event.id, None)
        elif isinstance(event, FinalAnswerGiven) or (
            isinstance(event, AttemptAnswered) and event.outcome == "ok"
        ):
            self._pending.discard((event.id, event.sender))

    def _find_request(self, id_: str) -> Request | None:
        request = self.clients.requests.get(id_)
        if request is None:
            return None
        return Request(id_, request.work_ms, request.cls.effect == "keyed", 0, request.cls.scope == "zone")

    # Senders, and their connections to destinations and the endpoint list --------------------------

    def links(self) -> Links:
        """Return the links between senders, destinations, endpoint list and clients."""
        return self.fleet.links

    def check_faults(self) -> None:
        """Check that the scenario can be run with processes.

        Raises:
            InvalidScenarioError: It has batches, or a fault has an unknown name.
        """
        if any(kind.batch > 1 for kind in self.scenario.kind):
            raise InvalidScenarioError("kind.batch: batches are supported in simulated time only")
        groups = self.fleet.links.groups
        names = {"*", "list", "front", *self.fleet.names, *groups, *groups["partners"]}
        for fault in self.scenario.fault:
            for name in (*fault.between, *fault.who):
                if name not in names:
                    raise InvalidScenarioError(
                        f"fault: {name} is not the name of a sender, a destination or a group"
                    )

    async def start_all(self) -> None:
        """Start all senders; return once each is ready and has its endpoint list."""
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
        server = EndpointServer(self._call_trackers[sender], endpoint)
        await server.listen()
        proxy = TcpProxy(
            self.fleet.links,
            self.fleet.names[sender],
            f"p{endpoint.destination.number}",
            lambda: server.address,
        )
        await proxy.listen()
        self._endpoint_servers[sender, endpoint.uid] = server, proxy

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
        """Publish a change of the endpoint list to a sender after its propagation delay."""
        task = asyncio.create_task(self._publish_change(sender, endpoint))
        self._publishing_tasks.add(task)
        task.add_done_callback(self._publishing_tasks.discard)

    async def _publish_change(self, sender: int, endpoint: ListedEndpoint) -> None:
        if (sender, endpoint.uid) not in self._endpoint_servers:
            await self._open_endpoint_server(sender, self.endpoints[endpoint.uid])
        await asyncio.sleep(self._propagation_delays_s[sender]())
        self.fleet.platforms[self.fleet.names[sender]].publish(self._endpoint_row(sender, endpoint))

    def _on_list_sent(self, sender: int, rows: list[dict[str, Any]]) -> None:
        """Emit what a sender has learned from list entries.

        Entries written to a cut link are left out: whether they arrive is unknown, and no check depends on it.
        """
        if not self.links().stream_fault("list", self.fleet.names[sender]).cut:
            for row in rows:
                self.emit(EndpointStateLearned(sender, row["uid"], row["state"]))

    def _on_notification(self, sender: int, row: dict[str, Any]) -> None:
        if self._notified.get(row["message"]) == (sender, row["outcome"]):
            return
        self._notified[row["message"]] = sender, row["outcome"]
        handed_back = row["outcome"] == "handed_back"
        retry_in_ms = float(row.get("retry_in_ms", 0.0))
        self.emit(
            FinalAnswerGiven(row["message"], sender, "refused" if handed_back else "failed", retry_in_ms)
        )
        if handed_back:
            self.clients.on_nack(row["message"], retry_in_ms)

    # Faults ----------------------------------------------------------------------------------------

    async def crash(self, sender: int, away_s: float) -> None:
        """Kill a sender's process, and start it again after `away_s` seconds."""
        await self._restart(sender, away_s, SIGKILL, False)

    async def _restart(self, sender: int, away_s: float, signal_number: Any, empty_folder: bool) -> None:
        if self.processes[sender] is None:
            return
        name = self.fleet.names[sender]
        if signal_number is SIGKILL:
            self.processes[sender] = None
            self.emit(SenderCrashed(sender))
            self.loop.call_later(self._failure_detection_s(), self._mark_dead, sender)
        else:  # it finishes its attempts and accepts no more messages
            self.ingress.known_dead.add(sender)
        await self.fleet.signal([name], signal_number)
        await self.fleet.wait_ended(self.fleet.senders[name])
        if signal_number is not SIGKILL:
            self.processes[sender] = None
            self.emit(SenderCrashed(sender))
        await asyncio.sleep(away_s)
        await self.fleet.start(name, empty_folder)
        self._mark_started(sender)

    async def inject_process_fault(self, sender: int, table: TargetedFaultTable) -> None:
        """Inject a fault into a sender's process, and return when the fault has ended."""
        if table.process == "pause":
            await self.fleet.signal([self.fleet.names[sender]], SIGSTOP)
            await asyncio.sleep(table.for_s)
            await self.fleet.signal([self.fleet.names[sender]], SIGCONT)
        else:
            await self._restart(
                sender, table.for_s, SIGKILL if table.process == "kill" else SIGTERM, table.emptied
            )

    async def registry_outage(self, duration_s: float) -> None:
        self.links().inject("senders", "list", LinkFault(cut=True))
        await asyncio.sleep(duration_s)
        self.links().heal("senders", "list")

    # Shutdown --------------------------------------------------------------------------------------

    def has_pending_messages(self) -> bool:
        """Return whether any accepted message has no final answer."""
        return bool(self._pending)

    async def stop_all(self) -> None:
        """Stop all senders at the end of the run."""
        await self.close()

    async def close(self) -> None:
        """Stop all processes and servers; can be called in any state of the run."""
        for task in self._publishing_tasks:
            task.cancel()
        await self.fleet.close()
        for server, proxy in self._endpoint_servers.values():
            proxy.close()
            server.close()

    def counters(self) -> dict[str, int]:
        """Return the sums of the senders' counters, as last written to their logs."""
        totals = dict[str, int]()
        for sender in self.fleet.senders.values():
            for name, count in sender.counters.items():
                totals[name] = totals.get(name, 0) + count
        return totals


class _RegistrySubscriber:
    """Receives the changes of the endpoint list for one sender."""

    def __init__(self, run: ProcessRun, sender: int) -> None:
        self.run = run
        self.sender = sender

    def on_change(self, revision: int, endpoint: ListedEndpoint) -> None:
        self.run.on_list_change(self.sender, endpoint)


def process_runner(folder: Path) -> Callable[..., Simulation]:
    """Return a function that runs a scenario with real processes, which keep their files and logs in `folder`."""

    def run(
        scenario: Scenario,
        seed: int,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
        on_created: Callable[[Simulation], None] | None = None,
    ) -> Simulation:
        async def run_to_end() -> Simulation:
            process_run = ProcessRun(scenario, seed, folder, listeners, decider, sender_count)
            if on_created:
                on_created(process_run)
            try:
                await process_run.run()
            finally:
                await process_run.close()
            return process_run

        return asyncio.run(run_to_end())

    return run
