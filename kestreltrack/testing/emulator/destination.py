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
    ArrivedWork,
    Health,
    WarmUp,
)
from kestreltrack.testing.emulator.random_streams import UniformStream
from kestreltrack.testing.emulator.rate_limit import RateLimit

# Duration of a rejection, which needs no core.
REJECTION_MS = 1.0

# Time after which a call fails under the fault `fails`.
FAILURE_MS = 5.0

# Calls of average work that a warming endpoint bears beyond its overload limit, so that a few calls that coincide
# by chance do not overload it.
OVERLOAD_SLACK_CALLS = 3.0

# Duration of a duplicate, which is recognized and dropped.
DUPLICATE_MS = 5.0

# Fraction of failed calls that the endpoint has executed nevertheless.
EXECUTED_FAILURE_SHARE = 0.5

# The interval between pauses is multiplied by this plus a uniform number below 1, which leaves its mean unchanged.
MIN_PAUSE_INTERVAL_FACTOR = 0.5

# Number of remembered executions above which expired ones are dropped, to bound the memory of a long run.
MAX_REMEMBERED_EXECUTIONS = 20_000


def _ignore_abandonment() -> None:
    """Do nothing: the endpoint has kept no state of the call."""


class SimulatedEndpoint:
    """One endpoint of a destination, with its cores, a bounded queue and a connection limit."""

    def __init__(
        self,
        uid: str,
        destination: SimulatedDestination,
        cores: int,
        queue_capacity: int,
        speed: float,
        max_connections: int,
    ) -> None:
        """Create an idle endpoint.

        `speed` is the work, in milliseconds, that a core does in a millisecond; a `max_connections` of 0 is no limit.
        """
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
        """The state in the service registry."""
        self.removed = False
        """The endpoint has been replaced, and accepts no connection."""

    def current_fault(self) -> str:
        """Return the kind of the active fault, or an empty string."""
        return self.health.current_fault(self.destination.now())

    def is_unresponsive(self) -> bool:
        """Return whether a connection attempt gets no answer, not even a refusal."""
        return self.current_fault() == "vanishes"

    def connect(self) -> bool:
        """Open a connection, and return whether it was accepted; the caller closes it by `disconnect`."""
        if self.removed or self.current_fault() in ("unreachable", "refuses", "vanishes"):
            return False
        if self.max_connections and self.connections >= self.max_connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """Close a connection."""
        self.connections -= 1

    def call(
        self, request: Request, on_reply: Callable[[Reply], None], *more_requests: Request
    ) -> Callable[[], None]:
        """Accept a call of one or more messages.

        `on_reply` is called with the reply, or never where the endpoint is silent.

        Returns:
            A function by which the caller abandons the call.
        """
        job = self._create_job((request, *more_requests), on_reply)
        fault = self.current_fault()
        if self.removed or fault in SILENT_FAULTS:
            return _ignore_abandonment
        if fault == "refuses":
            # The call uses an established connection, which is reset; a new connection is refused.
            self.send_reply(job, Reply("reset"))
            return _ignore_abandonment
        self.record_load(job)
        if self._reply_without_work(job, fault):
            return _ignore_abandonment
        if fault == "hangs" or self.health.down_until > self.destination.now():
            self.health.hung_calls.append(job)
        elif len(self.running) < self.cores:
            self._start(job)
        elif len(self.queued) < self.queue_capacity:
            self.queued.append(job)
        else:
            self.reject(job, 0.0)
            return _ignore_abandonment
        return lambda: self._abandon(job)

    def _create_job(self, requests: tuple[Request, ...], on_reply: Callable[[Reply], None]) -> Job:
        mean_work_ms = sum(request.work_ms for request in requests) / len(requests)
        return Job(
            requests, on_reply, mean_work_ms * (1.0 + self.destination.batch_item_cost * (len(requests) - 1))
        )

    def _reply_without_work(self, job: Job, fault: str) -> bool:
        """Answer a call that is rejected or fails before it needs a core; return whether it was one."""
        now = self.destination.now()
        active_fault = self.health.fault
        if fault == "shuts":
            self.reject(job, active_fault.ends_at - now if active_fault else 0.0)
            return True
        if not self.rate_limit.try_acquire(now):
            self.reject(job, self.rate_limit.retry_after_ms(now))
            return True
        if fault == "fails" and active_fault and self.destination.uniform() < active_fault.magnitude:
            self.reply_later(FAILURE_MS, job, Reply("error"))
            return True
        return False

    def _abandon(self, job: Job) -> None:
        """Stop replying to a call; it leaves the queue where the destination cancels queued calls.

        A call that is running is completed.
        """
        job.settled = True
        if self.destination.cancels_queued and job in self.queued:
            self.queued.remove(job)

    def _start(self, job: Job) -> None:
        destination = self.destination
        now = destination.now()
        self.running[job] = None
        duration_ms = job.work_ms / (self.speed * self.health.speed_factor(now))
        if all(destination.is_duplicate(request, self.zone) for request in job.requests):
            duration_ms = min(duration_ms, DUPLICATE_MS)
        job.paused_ms = self.health.paused_ms
        duration_ms += max(0.0, self.health.paused_until - now)
        destination.loop.call_later(duration_ms / 1000.0, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.lost:
            return
        new_pause_ms = self.health.paused_ms - job.paused_ms
        if new_pause_ms > 0:
            job.paused_ms = self.health.paused_ms
            self.destination.loop.call_later(new_pause_ms / 1000.0, self._finish, job)
            return
        del self.running[job]
        self.send_reply(job, self._execute(job))
        while self.queued and len(self.running) < self.cores:
            self._start(self.queued.popleft())

    def _execute(self, job: Job) -> Reply:
        destination = self.destination
        failed = destination.uniform() < destination.error_rate
        duplicates = [destination.is_duplicate(request, self.zone) for request in job.requests]
        if not failed or destination.uniform() < EXECUTED_FAILURE_SHARE:
            work_ms = job.work_ms / len(job.requests)
            for request, duplicate in zip(job.requests, duplicates, strict=True):
                destination.execute(replace(request, work_ms=work_ms), self.zone, duplicate)
        return Reply("error" if failed else "ok", duplicate=all(duplicates))

    def abort_all(self, reset: bool) -> None:
        """Drop all calls; their connections are reset, or else the callers get no reply."""
        for job in (*self.running, *self.queued):
            job.lost = True
            if reset:
                self.send_reply(job, Reply("reset"))
            job.settled = True
        self.running.clear()
        self.queued.clear()

    # Overload while warming up ---------------------------------------------------------------------

    def record_load(self, job: Job) -> None:
        """Count the work of a call, rejected or not; during a warm-up, too much work causes an outage."""
        health = self.health
        destination = self.destination
        now = destination.now()
        warm_up = health.warm_up
        if warm_up is None or health.down_until > now or health.warm_fraction(now) >= 1.0:
            return
        batch_factor = 1.0 + destination.batch_item_cost * (len(job.requests) - 1)
        work_ms = destination.typical_work_ms * batch_factor or job.work_ms
        recent_work = warm_up.recent_work
        recent_work.append(ArrivedWork(now, work_ms, job.requests[0].sender))
        while recent_work and recent_work[0].arrived_at < now - destination.overload_window_ms:
            recent_work.popleft()
        total_ms = sum(arrived.work_ms for arrived in recent_work)
        slack_ms = OVERLOAD_SLACK_CALLS * total_ms / len(recent_work)
        overload_limit_ms = (
            destination.overload_factor
            * health.capacity
            * health.warm_fraction(now)
            * destination.overload_window_ms
        )
        if total_ms > overload_limit_ms + slack_ms:
            self._collapse(warm_up)

    def _collapse(self, warm_up: WarmUp) -> None:
        """Start the outage that overload causes, and report how much work each sender has sent."""
        destination = self.destination
        health = self.health
        work_by_sender = dict[int, float]()
        for arrived in warm_up.recent_work:
            work_by_sender[arrived.sender] = work_by_sender.get(arrived.sender, 0.0) + arrived.work_ms
        health.down_until = destination.now() + destination.overload_outage_ms
        health.warm_up = WarmUp(
            health.down_until, destination.cold_start_share, destination.warm_up_s * 1000.0
        )
        overloaded = [endpoint for endpoint in destination.endpoints if endpoint.health is health]
        for endpoint in overloaded:
            endpoint.queued.clear()
        destination.on_overload(work_by_sender, tuple(endpoint.uid for endpoint in overloaded))

    # Replies ---------------------------------------------------------------------------------------

    def reject(self, job: Job, retry_after_ms: float) -> None:
        """Reply `full`, with a retry-after where the destination gives one."""
        destination = self.destination
        reply = Reply("full")
        if retry_after_ms > 0 and destination.uniform() < destination.retry_after_probability:
            reply.retry_after_ms = retry_after_ms + destination.extra_retry_after_ms
        self.reply_later(REJECTION_MS, job, reply)

    def reply_later(self, delay_ms: float, job: Job, reply: Reply) -> None:
        """Reply after a delay; a pause of the endpoint adds to it."""
        pause_left_ms = max(0.0, self.health.paused_until - self.destination.now())
        self.destination.loop.call_later((delay_ms + pause_left_ms) / 1000.0, self.send_reply, job, reply)

    def send_reply(self, job: Job, reply: Reply) -> None:
        """Send a reply to a caller that still waits for it, with a load report where the destination sends these."""
        if job.settled:
            return
        job.settled = True
        if self.is_unresponsive():
            return
        if self.rate_limit.kind != "none" and self.destination.load_reports and reply.status != "reset":
            reply.quota_left = self.rate_limit.fraction_left(self.destination.now())
            reply.rate_limit = self.rate_limit.rate_per_s
        job.on_reply(reply)


class SimulatedDestination:
    """A destination with its endpoints."""

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
        """Create a destination without endpoints.

        During a warm-up, an endpoint is overloaded by work of more than `overload_factor` times its current capacity
        within `overload_window_ms`.
        """
        self.number = number
        self.kind = kind
        self.rate_limit = rate_limit
        self.loop = loop
        self.uniform = uniform
        self.overload_factor = overload_factor
        self.overload_window_ms = overload_window_ms
        self.endpoints = list[SimulatedEndpoint]()
        self.health = Health()
        """Endpoints share this health and the rate limit, except independent ones, which have their own."""
        self.error_rate = 0.0
        self.retry_after_probability = 0.0
        self.extra_retry_after_ms = 0.0
        self.max_batch_size = 1
        self.batch_item_cost = 0.0
        """Work of each message of a call after the first, relative to the work of a call of one message."""
        self.load_reports = True
        self.typical_work_ms = 0.0
        """The work of a message as counted for overload; 0 to count the work of the call itself."""
        self.cancels_queued = True
        self.deduplication_window_ms = 25_000.0
        self.overload_outage_ms = 8000.0
        self.warm_up_s = 8.0
        self.cold_start_share = 0.25
        self.on_executed: Callable[[Request, bool], None] = lambda request, duplicate: None
        self.on_overload: Callable[[dict[int, float], tuple[str, ...]], None] = (
            lambda work_by_sender, endpoints: None
        )
        self._executed_at = dict[tuple[str, str], float]()

    def now(self) -> float:
        """Return the time of the clock, in milliseconds."""
        return self.loop.time() * 1000.0

    # Faults ----------------------------------------------------------------------------------------

    def split_health(self, affected: list[SimulatedEndpoint]) -> list[Health]:
        """Return the health objects of the endpoints that a fault affects.

        Where it affects only some of the endpoints that share one, these permanently get a separate one.
        """
        affected_health = list[Health]()
        for health in dict.fromkeys(endpoint.health for endpoint in affected):
            sharing = [
                endpoint for endpoint in self.endpoints if endpoint.health is health and not endpoint.removed
            ]
            separated = [endpoint for endpoint in affected if endpoint.health is health]
            if len(separated) < len(sharing):
                affected_health.append(self._separate_health(health, separated, sharing))
            else:
                affected_health.append(health)
        return affected_health

    @staticmethod
    def _separate_health(
        shared: Health, separated: list[SimulatedEndpoint], sharing: list[SimulatedEndpoint]
    ) -> Health:
        """Give some endpoints a separate health, with a part of the capacity in proportion to their cores."""
        capacity = (
            shared.capacity
            * sum(endpoint.cores for endpoint in separated)
            / sum(endpoint.cores for endpoint in sharing)
        )
        shared.capacity -= capacity
        separate = Health(capacity)
        for endpoint in separated:
            endpoint.health = separate
        return separate

    def inject_fault(
        self,
        kind: str,
        duration_ms: float,
        magnitude: float,
        affected: list[SimulatedEndpoint] | None = None,
        every_ms: float = 0.0,
    ) -> None:
        """Start a fault on some endpoints, or on all; after an outage they have to warm up.

        The fault `pauses` stops them for `magnitude` milliseconds, at random intervals of about `every_ms`.
        """
        ends_at = self.now() + duration_ms
        for health in self.split_health(
            [endpoint for endpoint in affected or self.endpoints if not endpoint.removed]
        ):
            if kind == "pauses":
                self._pause(health, ends_at, magnitude, every_ms)
                continue
            health.fault = ActiveFault(kind, ends_at, magnitude)
            if kind == "refuses":
                self._abort_calls(health)
            self.loop.call_later(duration_ms / 1000.0, self._end_fault, health, kind, magnitude)

    def _abort_calls(self, health: Health) -> None:
        for endpoint in self.endpoints:
            if endpoint.health is health:
                endpoint.abort_all(reset=True)

    def _pause(self, health: Health, ends_at: float, duration_ms: float, every_ms: float) -> None:
        if self.now() >= ends_at:
            return
        health.pause(self.now(), duration_ms)
        next_pause_s = (duration_ms + every_ms * (MIN_PAUSE_INTERVAL_FACTOR + self.uniform())) / 1000.0
        self.loop.call_later(next_pause_s, self._pause, health, ends_at, duration_ms, every_ms)

    def _end_fault(self, health: Health, kind: str, magnitude: float) -> None:
        health.fault = None
        # Occasional errors leave an endpoint warm; one that has failed most of its calls has to warm up.
        if kind in OUTAGE_FAULTS or (kind == "fails" and magnitude >= OUTAGE_FAILURE_SHARE):
            # Calls that hung are never answered.
            health.hung_calls.clear()
            health.warm_up = WarmUp(self.now(), self.cold_start_share, self.warm_up_s * 1000.0)

    # Deduplication ---------------------------------------------------------------------------------

    def _deduplication_key(self, request: Request, zone: str) -> tuple[str, str]:
        return request.id, zone if request.zone_scoped else ""

    def is_duplicate(self, request: Request, zone: str) -> bool:
        """Return whether a message with an idempotency key was executed within the deduplication window."""
        executed_at = self._executed_at.get(self._deduplication_key(request, zone))
        return (
            request.has_idempotency_key
            and executed_at is not None
            and self.now() - executed_at < self.deduplication_window_ms
        )

    def execute(self, request: Request, zone: str, duplicate: bool) -> None:
        """Execute a message, and record when; a duplicate is only reported."""
        if not duplicate:
            now = self.now()
            self._executed_at[self._deduplication_key(request, zone)] = now
            if len(self._executed_at) > MAX_REMEMBERED_EXECUTIONS:
                self._executed_at = {
                    key: executed_at
                    for key, executed_at in self._executed_at.items()
                    if now - executed_at < self.deduplication_window_ms
                }
        self.on_executed(request, duplicate)
