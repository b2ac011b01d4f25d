"""A simulated destination and its endpoints."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from kestreltrack.testing.emulator.calls import Job, Reply, Request
from kestreltrack.testing.emulator.health import (
    OUTAGE_FAILURE_SHARE,
    OUTAGE_FAULTS,
    SILENT_FAULTS,
    ActiveFault,
    Health,
    WarmUp,
)
from kestreltrack.testing.emulator.random_streams import UniformStream
from kestreltrack.testing.emulator.rate_limit import RateLimit

REJECTION_MS = 1.0  # what a refusal takes


FAILURE_MS = 5.0  # what an instant failure takes


OVERLOAD_SLACK_CALLS = 3.0  # of the work that a returning partner bears beyond its rule


DUPLICATE_MS = 5.0  # what a repeat that is dropped takes


class SimulatedEndpoint:
    """One endpoint of a partner."""

    def __init__(
        self,
        uid: str,
        destination: SimulatedDestination,
        cores: int,
        queue_capacity: int,
        speed: float,
        max_connections: int,
    ) -> None:
        """Idle; `speed` is work done in a millisecond by one core."""
        self.uid = uid
        self.destination = destination
        self.cores = cores
        self.queue_capacity = queue_capacity
        self.speed = speed
        self.max_connections = max_connections
        self.connections = 0
        self.running = dict[Job, None]()
        self.queued = deque[Job]()
        self.rate_limit = destination.rate_limit
        self.health = destination.health
        self.zone = ""
        self.zone_cost = 0.0
        self.lifecycle = "up"
        """As the directory has it."""
        self.removed = False
        """Replaced: nobody listens here any more."""

    def current_fault(self) -> str:
        """What is wrong, if anything."""
        return self.health.current_fault(self.destination.now())

    def is_unresponsive(self) -> bool:
        """Whether a connection never comes up."""
        return self.current_fault() == "vanishes"

    def connect(self) -> bool:
        """Whether one more connection is taken; idle ones are counted by whoever holds them."""
        if self.removed or self.current_fault() in ("unreachable", "refuses", "vanishes"):
            return False
        if self.max_connections and self.connections >= self.max_connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """One is gone."""
        self.connections -= 1

    def call(
        self, request: Request, on_reply: Callable[[Reply], None], *more_requests: Request
    ) -> Callable[[], None]:
        """Take a call of one or more messages; `done` hears its answer, perhaps never.

        Returns what the caller calls when it gives up.
        """
        partner = self.destination
        now = self.destination.now()
        health = self.health
        requests = (request, *more_requests)
        work = (
            sum(r.work_ms for r in requests)
            / len(requests)
            * (1.0 + partner.batch_item_cost * len(more_requests))
        )
        job = Job(requests, on_reply, work)
        trouble = self.current_fault()
        if self.removed or trouble in SILENT_FAULTS:
            return lambda: None  # silence: the caller runs into its time-out
        if trouble == "refuses":
            self.send_reply(job, Reply("reset"))  # a connection kept from before; no new one comes up
            return lambda: None
        self.record_load(job)
        if trouble == "shuts":
            self.reject(job, health.fault.ends_at - now if health.fault else 0.0)
            return lambda: None
        if not self.rate_limit.try_acquire(now):
            self.reject(job, self.rate_limit.retry_after_ms(now))
            return lambda: None
        if trouble == "fails" and health.fault and partner.uniform() < health.fault.magnitude:
            self.reply_later(FAILURE_MS, job, Reply("error"))
            return lambda: None
        if trouble == "hangs":
            health.hung_calls.append(job)
            return lambda: self._abandon(job)
        if health.down_until > now:
            health.hung_calls.append(job)
            return lambda: self._abandon(job)
        if len(self.running) >= self.cores and len(self.queued) >= self.queue_capacity:
            self.reject(job, 0.0)
            return lambda: None
        if len(self.running) < self.cores:
            self._start(job)
        else:
            self.queued.append(job)
        return lambda: self._abandon(job)

    def _abandon(self, job: Job) -> None:
        """The caller has gone: what waits in the queue is taken out on some partners; what runs, runs on."""
        job.settled = True
        if self.destination.cancels_queued and job in self.queued:
            self.queued.remove(job)

    def _start(self, job: Job) -> None:
        partner = self.destination
        now = self.destination.now()
        self.running[job] = None
        took = job.work_ms / (self.speed * self.health.speed_factor(now))
        if all(partner.is_duplicate(request, self.zone) for request in job.requests):
            took = min(took, DUPLICATE_MS)
        job.paused_ms = self.health.paused_ms
        took += max(0.0, self.health.paused_until - now)
        partner.loop.call_later(took / 1000.0, self._finish, job)

    def _finish(self, job: Job) -> None:
        partner = self.destination
        if job.lost:
            return
        if (stood := self.health.paused_ms - job.paused_ms) > 0:
            job.paused_ms = self.health.paused_ms
            partner.loop.call_later(stood / 1000.0, self._finish, job)
            return
        del self.running[job]
        failed = partner.uniform() < partner.error_rate
        repeat = [partner.is_duplicate(request, self.zone) for request in job.requests]
        if not failed or partner.uniform() < 0.5:  # a failure may have had its effect all the same
            own = job.work_ms / len(job.requests)
            for request, again in zip(job.requests, repeat, strict=True):
                partner.execute(replace(request, work_ms=own), self.zone, again)
        self.send_reply(job, Reply("error" if failed else "ok", duplicate=all(repeat)))
        while self.queued and len(self.running) < self.cores:
            self._start(self.queued.popleft())

    def abort_all(self, reset: bool) -> None:
        """All that it has is lost: its callers see their connections end, or hear nothing."""
        for job in (*self.running, *self.queued):
            job.lost = True
            if reset:
                self.send_reply(job, Reply("reset"))
            job.settled = True
        self.running.clear()
        self.queued.clear()

    def record_load(self, job: Job) -> None:
        """Work arrives, also what is turned away; what is cold and is given too much of it falls over."""
        health = self.health
        partner = self.destination
        now = self.destination.now()
        cold = health.warm_up
        if cold is None or health.down_until > now or health.warm_fraction(now) >= 1.0:
            return
        weight = (
            partner.typical_work_ms * (1.0 + partner.batch_item_cost * (len(job.requests) - 1)) or job.work_ms
        )
        cold.recent_work.append((now, weight, job.requests[0].sender))
        while cold.recent_work and cold.recent_work[0][0] < now - partner.overload_window_ms:
            cold.recent_work.popleft()
        given = sum(work for _, work, _ in cold.recent_work)
        # Chance alone may bring a few calls together: what it can do and this many of them push nobody over.
        slack = OVERLOAD_SLACK_CALLS * given / len(cold.recent_work)
        if (
            given
            > partner.overload_factor
            * health.capacity
            * health.warm_fraction(now)
            * partner.overload_window_ms
            + slack
        ):
            senders = dict[int, float]()
            for _, work, who in cold.recent_work:
                senders[who] = senders.get(who, 0.0) + work
            health.down_until = now + partner.overload_outage_ms
            health.warm_up = WarmUp(health.down_until, partner.cold_start_share, partner.warm_up_s * 1000.0)
            fallen = [endpoint for endpoint in partner.endpoints if endpoint.health is health]
            for endpoint in fallen:
                endpoint.queued.clear()
            partner.on_overload(senders, tuple(endpoint.uid for endpoint in fallen))

    # Answers ---------------------------------------------------------------------------------------

    def reject(self, job: Job, retry_after_ms: float) -> None:
        """Answer `full`; some tell how long to wait."""
        partner = self.destination
        tells = retry_after_ms > 0 and partner.uniform() < partner.retry_after_probability
        self.reply_later(
            REJECTION_MS,
            job,
            Reply("full", retry_after_ms=retry_after_ms + partner.extra_retry_after_ms if tells else 0.0),
        )

    def reply_later(self, delay_ms: float, job: Job, reply: Reply) -> None:
        """Answer after a while; not while all stands still."""
        still = max(0.0, self.health.paused_until - self.destination.now())
        self.destination.loop.call_later((delay_ms + still) / 1000.0, self.send_reply, job, reply)

    def send_reply(self, job: Job, reply: Reply) -> None:
        """An answer leaves, with what is left of the limit where partners tell of it."""
        if job.settled:
            return
        job.settled = True
        if self.is_unresponsive():
            return  # it runs on, and nobody hears of it
        if self.rate_limit.kind != "none" and self.destination.load_reports and reply.status != "reset":
            reply.quota_left = self.rate_limit.fraction_left(self.destination.now())
            reply.rate_limit = self.rate_limit.rate_per_s
        job.on_reply(reply)


class SimulatedDestination:
    """A partner system with its endpoints."""

    def __init__(
        self,
        number: int,
        kind: str,
        rate_limit: RateLimit,
        loop: asyncio.AbstractEventLoop,
        uniform: UniformStream,
        overload_factor: float = 2.0,
        overload_window_ms: float = 3000.0,
    ) -> None:
        """Without endpoints yet."""
        self.number = number
        self.kind = kind
        self.rate_limit = rate_limit
        self.loop = loop
        self.uniform = uniform
        self.overload_factor = overload_factor
        self.overload_window_ms = overload_window_ms
        self.endpoints = list[SimulatedEndpoint]()
        self.health = Health()
        """Limit and health are those of all its endpoints; routes apart have their own."""
        self.error_rate = 0.0
        self.retry_after_probability = 0.0
        self.extra_retry_after_ms = 0.0
        self.max_batch_size = 1
        self.batch_item_cost = 0.0
        self.load_reports = True
        self.typical_work_ms = 0.0
        """Work by which a call counts where it may push over what is cold; its own where none is set."""
        self.cancels_queued = True
        self.deduplication_window_ms = 25_000.0
        self.overload_outage_ms = 8000.0
        self.warm_up_s = 8.0
        self.cold_start_share = 0.25
        self.on_executed: Callable[[Request, bool], None] = lambda request, repeat: None
        self.on_overload: Callable[[dict[int, float], tuple[str, ...]], None] = lambda senders, endpoints: (
            None
        )
        self._executed_at = dict[tuple[str, str], float]()

    def now(self) -> float:
        """The clock, in ms."""
        return self.loop.time() * 1000.0

    # What goes wrong -----------------------------------------------------------------------------

    def split_health(self, affected: list[SimulatedEndpoint]) -> list[Health]:
        """What goes out with these endpoints: a part of those that share a health gets one of its own, for good."""
        found = list[Health]()
        for health in dict.fromkeys(endpoint.health for endpoint in affected):
            sharing = [
                endpoint for endpoint in self.endpoints if endpoint.health is health and not endpoint.removed
            ]
            hit = [endpoint for endpoint in affected if endpoint.health is health]
            if len(hit) < len(sharing):
                moved = health.capacity * sum(e.cores for e in hit) / sum(e.cores for e in sharing)
                health.capacity -= moved
                health = Health(moved)
                for endpoint in hit:
                    endpoint.health = health
            found.append(health)
        return found

    def inject_fault(
        self,
        kind: str,
        duration_ms: float,
        magnitude: float,
        affected: list[SimulatedEndpoint] | None = None,
        every_ms: float = 0.0,
    ) -> None:
        """Something goes wrong for so long, with all endpoints or some; after an outage they come back cold.

        `pauses`: they stand still for `size` ms every `every_ms`.
        """
        until = self.now() + duration_ms
        for health in self.split_health([e for e in affected or self.endpoints if not e.removed]):
            if kind == "pauses":
                self._pause(health, until, magnitude, every_ms)
                continue
            health.fault = ActiveFault(kind, until, magnitude)
            for endpoint in self.endpoints if kind == "refuses" else ():
                if endpoint.health is health:
                    endpoint.abort_all(reset=True)
            self.loop.call_later(duration_ms / 1000.0, self._end_fault, health, kind, magnitude)

    def _pause(self, health: Health, until: float, duration_ms: float, every_ms: float) -> None:
        if self.now() >= until:
            return
        health.pause(self.now(), duration_ms)
        gap = (duration_ms + every_ms * (0.5 + self.uniform())) / 1000.0
        self.loop.call_later(gap, self._pause, health, until, duration_ms, every_ms)

    def _end_fault(self, health: Health, kind: str, magnitude: float) -> None:
        health.fault = None
        # One that answers with errors now and then stays warm; one that fails most calls has lost its warmth.
        if kind in OUTAGE_FAULTS or (kind == "fails" and magnitude >= OUTAGE_FAILURE_SHARE):
            health.hung_calls.clear()  # what hung is never answered
            health.warm_up = WarmUp(self.now(), self.cold_start_share, self.warm_up_s * 1000.0)

    # What it remembers -----------------------------------------------------------------------------

    def _deduplication_key(self, request: Request, zone: str) -> tuple[str, str]:
        return request.id, zone if request.zone_scoped else ""

    def is_duplicate(self, request: Request, zone: str) -> bool:
        """Whether a keyed message had its effect here already, within what is remembered."""
        at = self._executed_at.get(self._deduplication_key(request, zone))
        return (
            request.has_idempotency_key and at is not None and self.now() - at < self.deduplication_window_ms
        )

    def execute(self, request: Request, zone: str, duplicate: bool) -> None:
        """A message takes effect, unless it is a repeat that is dropped."""
        if not duplicate:
            now = self.now()
            self._executed_at[self._deduplication_key(request, zone)] = now
            if len(self._executed_at) > 20_000:
                self._executed_at = {
                    key: at
                    for key, at in self._executed_at.items()
                    if now - at < self.deduplication_window_ms
                }
        self.on_executed(request, duplicate)
