"""Sharing a budget among senders by deposits and grants, so that the sum is right in any partition.  No I/O.

The whole is 1.  Each sender has a part of it (one over the headcount).  It keeps a floor of that part for itself and
deposits the rest with one keeper at a time, for a stated time; the keeper lends what it holds in deposits to those
that want more, never beyond the end of the deposits that stand behind a grant.  So what all may use sums to the sum
of the parts at the most, whoever dies, pauses, is cut off or starts anew, and however many keepers there are:

- a sender counts its deposit from when it asked, and takes it back, or gives it to another keeper, only when that
  time is over (it may be in use until then); it begins with all but its floor lent out, as the process before it may
  have lent it;
- a keeper counts a deposit from when it sent the *reply that the ask answers to*: before the ask was made, whatever
  time that took on its way.  No clock is compared with another; a late or repeated ask is worth what is left of it;
- a reply names the keeper's epoch (the start of its process); a deposit names the epoch it is for, and a keeper that
  has started anew does not know the reply and takes nothing for it;
- a holder counts a grant from when it asked.

Clocks may run apart by `drift`.  After the model of cooperative rate limiting (Doorman), whose server instead learns
for one lease time and rests on there being one of it.  `lab/check` explores all interleavings of these very tables.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_REMEMBERED_REQUESTS = 64  # asks and replies remembered: more are never within one lease time


@dataclass(frozen=True, slots=True)
class QuotaLeaseParameters:
    """Milliseconds and shares that all senders have alike."""

    # A deposit; whoever lost its keeper has all of its part again after it.  It counts from the reply before the ask,
    # an ask a second: 2 s and a grant have to fit in, and one ask may be lost.
    deposit_ms: float = 5000.0
    grant_ms: float = 2000.0
    reserved_fraction: float = 0.25  # of the own part, never lent
    clock_drift: float = 0.01

    def __post_init__(self) -> None:
        """Refuse terms under which nothing could ever be granted."""
        if not 0.0 <= self.reserved_fraction <= 1.0 or not 0.0 <= self.clock_drift < 0.5:
            raise ValueError("floor is a share and drift a small one")
        if not 0.0 < self.grant_ms * (1.0 + self.clock_drift) < self.deposit_ms * (1.0 - self.clock_drift):
            raise ValueError("a grant has to end before the deposits behind it")


@dataclass(frozen=True, slots=True)
class QuotaLeaseRequest:
    """From a holder to its keeper; `epoch` and `number` are of the newest reply from there (0 where none came)."""

    seq: int
    epoch: int
    response_number: int
    deposit: float
    demand: float  # beyond what it keeps


@dataclass(frozen=True, slots=True)
class QuotaLeaseResponse:
    """From a keeper; `number` counts its replies."""

    seq: int
    epoch: int
    response_number: int
    grant: float


@dataclass(slots=True)
class LeaseHolder:
    """One sender's side of one budget."""

    parameters: QuotaLeaseParameters
    own_quota: float
    started_at: float
    grantor: str = ""
    epoch: int = 0
    response_number: int = 0
    seq: int = (
        0  # best begun at the process's start in ms: asks of a later process are newer than all before it
    )
    pending_requests: dict[int, float] = field(
        default_factory=dict
    )  # when each ask was made that is not answered
    deposits: dict[tuple[str, int], list[tuple[float, float]]] = field(
        default_factory=dict
    )  # amounts, and until when
    grant: tuple[float, float, int] = (0.0, 0.0, 0)  # amount, until when, by the answer to which ask

    def __post_init__(self) -> None:
        """A process before this one may have lent all but the floor."""
        until = self.started_at + self._deposit_duration_ms()
        self.deposits.setdefault(
            ("", 0), [((1.0 - self.parameters.reserved_fraction) * self.own_quota, until)]
        )

    def _deposit_duration_ms(self) -> float:
        return self.parameters.deposit_ms * (1.0 + self.parameters.clock_drift)

    def deposited_amount(self, now: float, excluding: tuple[str, int] | None = None) -> float:
        """What keepers may count on; of each the largest, since it counts the newest of one's asks that it has."""
        return sum(
            max((amount for amount, until in rows if until > now), default=0.0)
            for place, rows in self.deposits.items()
            if place != excluding
        )

    def granted_amount(self, now: float) -> float:
        """What is lent to this sender now."""
        return self.grant[0] if now < self.grant[1] else 0.0

    def usable_quota(self, now: float) -> float:
        """What this sender may use now."""
        return max(0.0, self.own_quota - self.deposited_amount(now)) + self.granted_amount(now)

    def make_request(self, now: float, grantor: str, demand: float) -> QuotaLeaseRequest:
        """What to send to the keeper of the moment; the first to a keeper lends nothing, since it needs its reply."""
        if grantor != self.grantor:
            self.grantor, self.epoch, self.response_number = grantor, 0, 0
        self.deposits = {
            p: kept for p, rows in self.deposits.items() if (kept := [row for row in rows if row[1] > now])
        }
        self.seq += 1
        self.pending_requests[self.seq] = now
        if (
            demand <= 0.0
        ):  # what was lent is given back: not used from now on, whatever reply is still on its way
            self.grant = (0.0, now, self.seq)
        while len(self.pending_requests) > MAX_REMEMBERED_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        place, deposit = (grantor, self.epoch), 0.0
        if self.epoch:
            deposit = max(
                0.0,
                (1.0 - self.parameters.reserved_fraction) * self.own_quota
                - self.deposited_amount(now, place),
            )
        if deposit:
            self.deposits.setdefault(place, []).append((deposit, now + self._deposit_duration_ms()))
        return QuotaLeaseRequest(self.seq, self.epoch, self.response_number, deposit, demand)

    def handle_response(self, now: float, grantor: str, response: QuotaLeaseResponse) -> None:
        """Take a reply; one that comes late, twice or from an older epoch changes nothing."""
        began = self.pending_requests.pop(response.seq, None)
        if began is None or grantor != self.grantor or response.epoch < self.epoch:
            return
        if response.epoch > self.epoch:
            self.epoch, self.response_number = response.epoch, 0
        self.response_number = max(self.response_number, response.response_number)
        until = began + self.parameters.grant_ms
        if until > now and response.seq > self.grant[2]:
            self.grant = (response.grant, until, response.seq)


@dataclass(slots=True)
class LeaseGrantor:
    """The keeper's side of one budget."""

    parameters: QuotaLeaseParameters
    epoch: int
    response_number: int = 0
    response_times: dict[int, float] = field(default_factory=dict)  # when each was sent
    latest_request: dict[str, int] = field(default_factory=dict)  # ask of each sender
    deposits: dict[str, tuple[float, float]] = field(default_factory=dict)  # amount, and until when
    grants: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    demands: dict[str, tuple[float, float]] = field(default_factory=dict)

    def handle_request(
        self, now: float, sender: str, request: QuotaLeaseRequest, exclusive: bool | None = None
    ) -> QuotaLeaseResponse | None:
        """Take an ask and answer it; `None` to one that is older than another of that sender.

        Its grant is its fair share; with `whole` all that lies here, or nothing.
        """
        self._discard_expired(now)
        if request.seq <= self.latest_request.get(sender, 0):
            return None
        self.latest_request[sender] = request.seq
        if request.demand <= 0.0:  # its asker used it no more when it asked
            self.grants.pop(sender, None)
        if (
            request.epoch == self.epoch
            and (sent := self.response_times.get(request.response_number)) is not None
        ):
            until = sent + self.parameters.deposit_ms * (1.0 - self.parameters.clock_drift)
            self.deposits[sender] = (request.deposit, until)
        self.demands[sender] = (request.demand, now + self.parameters.deposit_ms)
        grant = self._grant_amount(now, sender, request.demand, exclusive)
        self.response_number += 1
        self.response_times[self.response_number] = now
        return QuotaLeaseResponse(request.seq, self.epoch, self.response_number, grant)

    def _discard_expired(self, now: float) -> None:
        old = now - self.parameters.deposit_ms
        self.response_times = {number: at for number, at in self.response_times.items() if at > old}
        self.deposits = {s: row for s, row in self.deposits.items() if row[1] > now}
        self.demands = {s: row for s, row in self.demands.items() if row[1] > now}
        self.grants = {
            s: kept for s, rows in self.grants.items() if (kept := [r for r in rows if r[1] > now])
        }
        if len(self.latest_request) > 4 * max(
            MAX_REMEMBERED_REQUESTS, len(self.demands)
        ):  # of senders that have long gone
            self.latest_request = {s: n for s, n in self.latest_request.items() if s in self.demands}

    def available_pool(self, now: float) -> float:
        """What lies here for at least as long as a grant."""
        ends = now + self.parameters.grant_ms * (1.0 + self.parameters.clock_drift)
        return sum(amount for amount, until in self.deposits.values() if until >= ends)

    def _grant_amount(self, now: float, sender: str, demand: float, exclusive: bool | None) -> float:
        """Max-min fair among those that want, within the pool."""
        ends = now + self.parameters.grant_ms * (1.0 + self.parameters.clock_drift)
        pool = self.available_pool(now)
        others = sum(max(a for a, _ in rows) for s, rows in self.grants.items() if s != sender)
        fair = fair_share(pool, {s: wanted for s, (wanted, _) in self.demands.items()}, sender)
        share = fair if exclusive is None else pool if exclusive and demand else 0.0
        grant = max(0.0, min(demand, share, pool - others))
        if grant:
            self.grants.setdefault(sender, []).append((grant, ends))
        return grant


def fair_share(total: float, demands: dict[str, float], sender: str) -> float:
    """One's max-min fair share: those that want less than an even share get it, the others split what is left."""
    left, open_ = total, sorted(demands.items(), key=lambda row: row[1])
    while open_:
        name, wanted = open_[0]
        even = left / len(open_)
        if wanted > even:
            return even
        if name == sender:
            return wanted
        left -= wanted
        open_.pop(0)
    return 0.0
