"""Partners in simulated time: limits, queues, work, connections, what goes wrong with them, cold returns.

A partner's limit and health hold for all its endpoints together, or for each where they are routes apart.  An
endpoint serves `cores` calls at once, first come first served, and keeps `queue` more; what it cannot keep it turns
away (`full`).  Work is in milliseconds at usual pace; what is cold does `warmth` of its usual work in the same time,
and falls over if it is sent more than `fall_multiple` times what it can do then, over `fall_ms` (the brief, "No
returning partner pushed over").  A call of many messages is one for the limit, takes one core, and has one fate.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from kestreltrack.lab.emulator.streams import Chance

FULL_MS = 1.0  # what a refusal takes
FAIL_MS = 5.0  # what an instant failure takes
SLACK_CALLS = 3.0  # of the work that a returning partner bears beyond its rule
REPEAT_MS = 5.0  # what a repeat that is dropped takes
OUTAGES = ("hangs", "shuts", "unreachable", "refuses", "vanishes")  # after which it comes back cold
MOST_FAIL = 0.5  # part of its calls from which one that fails counts as out
SILENT = ("unreachable", "vanishes")  # takes calls on kept connections, and nobody hears of them


@dataclass(frozen=True, slots=True)
class Request:
    """A call as an endpoint sees it."""

    id: str
    work_ms: float
    keyed: bool
    sender: int
    in_zone: bool = False
    """Its key is remembered only by endpoints of one zone."""


@dataclass(slots=True)
class Reply:
    """Its answer."""

    status: str
    """`ok`, `error`, `full`, or `reset` where the connection ends without an answer."""
    wait_ms: float = 0.0
    left: float | None = None
    limit: float | None = None
    repeat: bool = False


@dataclass(slots=True)
class Limit:
    """What a partner takes from all senders together: a count in each span, or a plain rate with some depth.

    The spans of a `window` are aligned to the clock; `rate` is a token bucket.  0 a second is no limit.
    """

    kind: str
    rate: float
    window_ms: float = 1000.0
    depth_s: float = 0.5
    refused_count: bool = False
    _span: int = -1
    _count: int = 0
    _tokens: float = -1.0
    _at: float = 0.0

    def take(self, now: float) -> bool:
        """Whether one more call is within it; counts it."""
        if self.kind == "none" or self.rate <= 0:
            return True
        if self.kind == "window":
            self._move(now)
            within = self._count < self.most()
            self._count += within or self.refused_count
            return within
        self._fill(now)
        within = self._tokens >= 1.0
        if within:
            self._tokens -= 1.0
        elif self.refused_count:
            self._tokens = max(-self.most(), self._tokens - 1.0)
        return within

    def most(self) -> float:
        """Calls in one span, or tokens when full."""
        if self.kind == "window":
            return max(1.0, self.rate * self.window_ms / 1000.0)
        return max(1.0, self.rate * self.depth_s)

    def _move(self, now: float) -> None:
        span = int(now // self.window_ms)
        if span != self._span:
            self._span, self._count = span, 0

    def _fill(self, now: float) -> None:
        if self._tokens == -1.0 and self._at == 0.0:
            self._tokens = self.most()
        self._tokens = min(self.most(), self._tokens + (now - self._at) * self.rate / 1000.0)
        self._at = now

    def left(self, now: float) -> float:
        """The share that is left just now."""
        if self.kind == "none" or self.rate <= 0:
            return 1.0
        if self.kind == "window":
            self._move(now)
            return max(0.0, 1.0 - self._count / self.most())
        self._fill(now)
        return max(0.0, self._tokens / self.most())

    def opens_ms(self, now: float) -> float:
        """Until there is room again, if nobody else takes it."""
        if self.kind == "window":
            return self.window_ms - now % self.window_ms
        self._fill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate * 1000.0)


@dataclass(slots=True, eq=False)
class _Job:
    requests: tuple[Request, ...]
    done: Callable[[Reply], None]
    work_ms: float
    over: bool = False
    """Nobody waits for its answer any more."""
    lost: bool = False
    """The process that ran it is gone."""
    stood_ms: float = 0.0
    """How long its endpoint had stood still when it began."""


@dataclass(slots=True)
class Trouble:
    """What is wrong with a partner just now, and until when."""

    kind: str
    until: float
    size: float = 1.0


@dataclass(slots=True)
class Cold:
    """A cold return."""

    since: float
    share: float
    lasts_ms: float
    sent: deque[tuple[float, float, int]] = field(default_factory=deque)
    """Work since, with its time and sender."""


@dataclass(slots=True, eq=False)
class Health:
    """What goes out and comes back as one: all endpoints of a partner, one route, or a part that an outage took."""

    capacity: float = 1.0
    """Milliseconds of work in a millisecond, warm."""
    trouble: Trouble | None = None
    cold: Cold | None = None
    down_until: float = float("-inf")
    hung: list[_Job] = field(default_factory=list)
    still_until: float = float("-inf")
    stood_ms: float = 0.0
    """How long it has stood still in all, to the end of the pause that has begun."""

    def trouble_now(self, now: float) -> str:
        """What is wrong, if anything."""
        return self.trouble.kind if self.trouble and now < self.trouble.until else ""

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has just now."""
        if self.cold is None:
            return 1.0
        gone = (now - self.cold.since) / self.cold.lasts_ms
        if gone >= 1.0:
            self.cold = None
            return 1.0
        return self.cold.share + (1.0 - self.cold.share) * gone

    def pace(self, now: float) -> float:
        """Its speed in times of the usual."""
        slow = self.trouble.size if self.trouble and self.trouble_now(now) == "slow" else 1.0
        return self.warmth(now) / slow

    def stand(self, now: float, lasts_ms: float) -> None:
        """Stand still for so long: what runs ends so much later."""
        self.still_until = now + lasts_ms
        self.stood_ms += lasts_ms


class Endpoint:
    """One endpoint of a partner."""

    def __init__(
        self, uid: str, partner: Partner, cores: int, queue: int, speed: float, connections: int
    ) -> None:
        """Idle; `speed` is work done in a millisecond by one core."""
        self.uid, self.partner, self.cores, self.queue = uid, partner, cores, queue
        self.speed, self.most_connections = speed, connections
        self.connections = 0
        self.running, self.waiting = dict[_Job, None](), deque[_Job]()
        self.limit, self.health = partner.limit, partner.health
        self.zone, self.fee = "", 0.0
        self.state = "up"
        """As the directory has it."""
        self.gone = False
        """Replaced: nobody listens here any more."""

    def trouble_now(self) -> str:
        """What is wrong, if anything."""
        return self.health.trouble_now(self.partner.now())

    def silent(self) -> bool:
        """Whether a connection never comes up."""
        return self.trouble_now() == "vanishes"

    def connect(self) -> bool:
        """Whether one more connection is taken; idle ones are counted by whoever holds them."""
        if self.gone or self.trouble_now() in ("unreachable", "refuses", "vanishes"):
            return False
        if self.most_connections and self.connections >= self.most_connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """One is gone."""
        self.connections -= 1

    def call(self, request: Request, done: Callable[[Reply], None], *more: Request) -> Callable[[], None]:
        """Take a call of one or more messages; `done` hears its answer, perhaps never.

        Returns what the caller calls when it gives up.
        """
        partner, now, health = self.partner, self.partner.now(), self.health
        requests = (request, *more)
        work = sum(r.work_ms for r in requests) / len(requests) * (1.0 + partner.item_cost * len(more))
        job, trouble = _Job(requests, done, work), self.trouble_now()
        if self.gone or trouble in SILENT:
            return lambda: None  # silence: the caller runs into its time-out
        if trouble == "refuses":
            self.report(job, Reply("reset"))  # a connection kept from before; no new one comes up
            return lambda: None
        self.load(job)
        if trouble == "shuts":
            self.refuse(job, health.trouble.until - now if health.trouble else 0.0)
            return lambda: None
        if not self.limit.take(now):
            self.refuse(job, self.limit.opens_ms(now))
            return lambda: None
        if trouble == "fails" and health.trouble and partner.chance() < health.trouble.size:
            self.later(FAIL_MS, job, Reply("error"))
            return lambda: None
        if trouble == "hangs":
            health.hung.append(job)
            return lambda: self._give_up(job)
        if health.down_until > now:
            health.hung.append(job)
            return lambda: self._give_up(job)
        if len(self.running) >= self.cores and len(self.waiting) >= self.queue:
            self.refuse(job, 0.0)
            return lambda: None
        if len(self.running) < self.cores:
            self._start(job)
        else:
            self.waiting.append(job)
        return lambda: self._give_up(job)

    def _give_up(self, job: _Job) -> None:
        """The caller has gone: what waits in the queue is taken out on some partners; what runs, runs on."""
        job.over = True
        if self.partner.cancels_queued and job in self.waiting:
            self.waiting.remove(job)

    def _start(self, job: _Job) -> None:
        partner, now = self.partner, self.partner.now()
        self.running[job] = None
        took = job.work_ms / (self.speed * self.health.pace(now))
        if all(partner.seen(request, self.zone) for request in job.requests):
            took = min(took, REPEAT_MS)
        job.stood_ms = self.health.stood_ms
        took += max(0.0, self.health.still_until - now)
        partner.loop.call_later(took / 1000.0, self._finish, job)

    def _finish(self, job: _Job) -> None:
        partner = self.partner
        if job.lost:
            return
        if (stood := self.health.stood_ms - job.stood_ms) > 0:
            job.stood_ms = self.health.stood_ms
            partner.loop.call_later(stood / 1000.0, self._finish, job)
            return
        del self.running[job]
        failed = partner.chance() < partner.error_rate
        repeat = [partner.seen(request, self.zone) for request in job.requests]
        if not failed or partner.chance() < 0.5:  # a failure may have had its effect all the same
            own = job.work_ms / len(job.requests)
            for request, again in zip(job.requests, repeat, strict=True):
                partner.effect(replace(request, work_ms=own), self.zone, again)
        self.report(job, Reply("error" if failed else "ok", repeat=all(repeat)))
        while self.waiting and len(self.running) < self.cores:
            self._start(self.waiting.popleft())

    def drop(self, reset: bool) -> None:
        """All that it has is lost: its callers see their connections end, or hear nothing."""
        for job in (*self.running, *self.waiting):
            job.lost = True
            if reset:
                self.report(job, Reply("reset"))
            job.over = True
        self.running.clear()
        self.waiting.clear()

    def load(self, job: _Job) -> None:
        """Work arrives, also what is turned away; what is cold and is given too much of it falls over."""
        health, partner, now = self.health, self.partner, self.partner.now()
        cold = health.cold
        if cold is None or health.down_until > now or health.warmth(now) >= 1.0:
            return
        weight = partner.usual_ms * (1.0 + partner.item_cost * (len(job.requests) - 1)) or job.work_ms
        cold.sent.append((now, weight, job.requests[0].sender))
        while cold.sent and cold.sent[0][0] < now - partner.fall_ms:
            cold.sent.popleft()
        given = sum(work for _, work, _ in cold.sent)
        # Chance alone may bring a few calls together: what it can do and this many of them push nobody over.
        slack = SLACK_CALLS * given / len(cold.sent)
        if given > partner.fall_multiple * health.capacity * health.warmth(now) * partner.fall_ms + slack:
            senders = dict[int, float]()
            for _, work, who in cold.sent:
                senders[who] = senders.get(who, 0.0) + work
            health.down_until = now + partner.down_ms
            health.cold = Cold(health.down_until, partner.cold_from, partner.cold_s * 1000.0)
            fallen = [endpoint for endpoint in partner.endpoints if endpoint.health is health]
            for endpoint in fallen:
                endpoint.waiting.clear()
            partner.on_fall(senders, tuple(endpoint.uid for endpoint in fallen))

    # Answers ---------------------------------------------------------------------------------------

    def refuse(self, job: _Job, opens_ms: float) -> None:
        """Answer `full`; some tell how long to wait."""
        partner = self.partner
        tells = opens_ms > 0 and partner.chance() < partner.tells_wait
        self.later(FULL_MS, job, Reply("full", wait_ms=opens_ms + partner.extra_wait_ms if tells else 0.0))

    def later(self, after_ms: float, job: _Job, reply: Reply) -> None:
        """Answer after a while; not while all stands still."""
        still = max(0.0, self.health.still_until - self.partner.now())
        self.partner.loop.call_later((after_ms + still) / 1000.0, self.report, job, reply)

    def report(self, job: _Job, reply: Reply) -> None:
        """An answer leaves, with what is left of the limit where partners tell of it."""
        if job.over:
            return
        job.over = True
        if self.silent():
            return  # it runs on, and nobody hears of it
        if self.limit.kind != "none" and self.partner.reports and reply.status != "reset":
            reply.left, reply.limit = self.limit.left(self.partner.now()), self.limit.rate
        job.done(reply)


class Partner:
    """A partner system with its endpoints."""

    def __init__(
        self,
        number: int,
        kind: str,
        limit: Limit,
        loop: asyncio.AbstractEventLoop,
        chance: Chance,
        fall_multiple: float = 2.0,
        fall_ms: float = 3000.0,
    ) -> None:
        """Without endpoints yet."""
        self.number, self.kind, self.limit, self.loop, self.chance = number, kind, limit, loop, chance
        self.fall_multiple, self.fall_ms = fall_multiple, fall_ms
        self.endpoints, self.health = list[Endpoint](), Health()
        """Limit and health are those of all its endpoints; routes apart have their own."""
        self.error_rate, self.tells_wait, self.extra_wait_ms = 0.0, 0.0, 0.0
        self.batch, self.item_cost, self.reports = 1, 0.0, True
        self.usual_ms = 0.0
        """Work by which a call counts where it may push over what is cold; its own where none is set."""
        self.cancels_queued, self.remembers_ms = True, 25_000.0
        self.down_ms = 8000.0
        self.cold_s, self.cold_from = 8.0, 0.25
        self.on_effect: Callable[[Request, bool], None] = lambda request, repeat: None
        self.on_fall: Callable[[dict[int, float], tuple[str, ...]], None] = lambda senders, endpoints: None
        self._seen = dict[tuple[str, str], float]()

    def now(self) -> float:
        """The clock, in ms."""
        return self.loop.time() * 1000.0

    # What goes wrong -----------------------------------------------------------------------------

    def part(self, struck: list[Endpoint]) -> list[Health]:
        """What goes out with these endpoints: a part of those that share a health gets one of its own, for good."""
        found = list[Health]()
        for health in dict.fromkeys(endpoint.health for endpoint in struck):
            sharing = [
                endpoint for endpoint in self.endpoints if endpoint.health is health and not endpoint.gone
            ]
            hit = [endpoint for endpoint in struck if endpoint.health is health]
            if len(hit) < len(sharing):
                moved = health.capacity * sum(e.cores for e in hit) / sum(e.cores for e in sharing)
                health.capacity -= moved
                health = Health(moved)
                for endpoint in hit:
                    endpoint.health = health
            found.append(health)
        return found

    def begin(
        self,
        kind: str,
        lasts_ms: float,
        size: float,
        struck: list[Endpoint] | None = None,
        every_ms: float = 0.0,
    ) -> None:
        """Something goes wrong for so long, with all endpoints or some; after an outage they come back cold.

        `pauses`: they stand still for `size` ms every `every_ms`.
        """
        until = self.now() + lasts_ms
        for health in self.part([e for e in struck or self.endpoints if not e.gone]):
            if kind == "pauses":
                self._pause(health, until, size, every_ms)
                continue
            health.trouble = Trouble(kind, until, size)
            for endpoint in self.endpoints if kind == "refuses" else ():
                if endpoint.health is health:
                    endpoint.drop(reset=True)
            self.loop.call_later(lasts_ms / 1000.0, self._over, health, kind, size)

    def _pause(self, health: Health, until: float, lasts_ms: float, every_ms: float) -> None:
        if self.now() >= until:
            return
        health.stand(self.now(), lasts_ms)
        gap = (lasts_ms + every_ms * (0.5 + self.chance())) / 1000.0
        self.loop.call_later(gap, self._pause, health, until, lasts_ms, every_ms)

    def _over(self, health: Health, kind: str, size: float) -> None:
        health.trouble = None
        # One that answers with errors now and then stays warm; one that fails most calls has lost its warmth.
        if kind in OUTAGES or (kind == "fails" and size >= MOST_FAIL):
            health.hung.clear()  # what hung is never answered
            health.cold = Cold(self.now(), self.cold_from, self.cold_s * 1000.0)

    # What it remembers -----------------------------------------------------------------------------

    def _key(self, request: Request, zone: str) -> tuple[str, str]:
        return request.id, zone if request.in_zone else ""

    def seen(self, request: Request, zone: str) -> bool:
        """Whether a keyed message had its effect here already, within what is remembered."""
        at = self._seen.get(self._key(request, zone))
        return request.keyed and at is not None and self.now() - at < self.remembers_ms

    def effect(self, request: Request, zone: str, repeat: bool) -> None:
        """A message takes effect, unless it is a repeat that is dropped."""
        if not repeat:
            now = self.now()
            self._seen[self._key(request, zone)] = now
            if len(self._seen) > 20_000:
                self._seen = {key: at for key, at in self._seen.items() if now - at < self.remembers_ms}
        self.on_effect(request, repeat)
