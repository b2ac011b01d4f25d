"""Shares a budget among senders by leases, so that their sum never exceeds it in any partition.  No I/O.

The budget is 1.  Each sender owns a quota of it (one over the number of senders).  It reserves a fraction of its
quota for itself and deposits the rest with one grantor at a time, for a limited time.  The grantor grants the
deposited quota to senders that demand more, for no longer than the deposits that back a grant.  The usable quotas of
all senders therefore sum to at most the budget, whichever senders crash, pause, are partitioned or restart, and
however many grantors there are:

- A holder's deposit lasts from when it sent the request.  The holder uses it again, or deposits it with another
  grantor, only after it has expired, since it may be in use until then.  A new process starts with all but its
  reserve deposited, as the previous process may have deposited that.
- A grantor counts a deposit from when it sent the *response that the request refers to*, which is before the request
  was made, however long the messages took.  No two clocks are compared.  A late or duplicated request counts for the
  remaining time.
- A response carries the epoch of the grantor (the start of its process), and a deposit carries the epoch that it is
  for.  A grantor that has restarted did not send that response, and counts nothing for the deposit.
- A grant lasts from when its holder sent the request.

Clock rates may differ by `clock_drift`.  The design follows Doorman, global distributed client-side rate limiting
(https://github.com/youtube/doorman), whose server instead waits for one lease duration after its start and must be
the only one.  `testing/model_checking` explores all interleavings of these classes.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypeVar

# Requests that a holder keeps until they are answered; fewer are made within the duration of a deposit.
MAX_REMEMBERED_REQUESTS = 64
# A grantor prunes its table of the newest requests when it is this many times as long as its table of demands.
LATEST_REQUESTS_SLACK = 4
KeyT = TypeVar("KeyT", bound=Hashable)


class InvalidLeaseParametersError(ValueError):
    """With these lease parameters nothing could be granted, or too much; the message names the parameter."""


@dataclass(frozen=True, slots=True)
class QuotaLeaseParameters:
    """Lease parameters, which must be the same at all senders.

    Raises `InvalidLeaseParametersError` if a fraction is out of range or a grant does not end before its deposits.
    """

    # A holder that has lost its grantor recovers its quota after this time.  It is counted from the response
    # before the request, and there is one request a second: it has to fit a grant of 2 s and one lost request.
    deposit_ms: float = 5000.0
    grant_ms: float = 2000.0
    # The fraction of its quota that a sender never deposits.
    reserved_fraction: float = 0.25
    # The largest relative difference between the rates of two clocks.
    clock_drift: float = 0.01

    def __post_init__(self) -> None:
        """Validate the parameters.

        Raises:
            InvalidLeaseParametersError: A parameter is out of range.
        """
        if not 0.0 <= self.reserved_fraction <= 1.0:
            raise InvalidLeaseParametersError(
                f"reserved_fraction is {self.reserved_fraction}: expected 0 to 1"
            )
        if not 0.0 <= self.clock_drift < 0.5:
            raise InvalidLeaseParametersError(f"clock_drift is {self.clock_drift}: expected 0 to below 0.5")
        longest_grant_ms = self.grant_ms * (1.0 + self.clock_drift)
        shortest_deposit_ms = self.deposit_ms * (1.0 - self.clock_drift)
        if not 0.0 < longest_grant_ms < shortest_deposit_ms:
            raise InvalidLeaseParametersError(
                f"grant_ms is {self.grant_ms}, deposit_ms {self.deposit_ms}: a grant has to end before its deposits"
            )


@dataclass(frozen=True, slots=True)
class QuotaLeaseRequest:
    """A holder's request; `epoch` and `response_number` are those of the newest response (0 if there is none)."""

    seq: int
    epoch: int
    response_number: int
    deposit: float
    # What the holder could use beyond its reserve, as a fraction of the budget.
    demand: float


@dataclass(frozen=True, slots=True)
class QuotaLeaseResponse:
    """A grantor's response; `response_number` counts the responses of the grantor."""

    seq: int
    epoch: int
    response_number: int
    grant: float


class TimedAmount(NamedTuple):
    """A fraction of the budget, and when it expires."""

    amount: float
    until: float


class HeldGrant(NamedTuple):
    """A grant that a holder has, when it expires, and the request that it answers."""

    amount: float
    until: float
    request_seq: int


class GrantorProcess(NamedTuple):
    """One process of a grantor."""

    name: str
    epoch: int


NO_GRANT = HeldGrant(0.0, 0.0, 0)
# Stands for the unknown grantors of previous processes.
UNKNOWN_GRANTOR = GrantorProcess("", 0)


class GrantMode(Enum):
    """How much of the deposits may be granted for one request."""

    FAIR_SHARE = "fair share"
    # All deposits: one sender at a time has a grant.
    EXCLUSIVE = "exclusive"
    NOTHING = "nothing"


def without_expired(
    rows_by_key: Mapping[KeyT, list[TimedAmount]], now: float
) -> dict[KeyT, list[TimedAmount]]:
    """Return the amounts that have not expired, without the keys that have none."""
    remaining = dict[KeyT, list[TimedAmount]]()
    for key, rows in rows_by_key.items():
        valid = [row for row in rows if row[1] > now]
        if valid:
            remaining[key] = valid
    return remaining


@dataclass(slots=True)
class LeaseHolder:
    """One sender's side of one budget."""

    parameters: QuotaLeaseParameters
    own_quota: float
    started_at: float
    # The current grantor, its epoch and the number of its newest response.
    grantor: str = ""
    epoch: int = 0
    response_number: int = 0
    # Should start at the start of the process in ms, so that its requests are newer than those of previous processes.
    seq: int = 0
    # The time of each unanswered request.
    pending_requests: dict[int, float] = field(default_factory=dict)
    deposits: dict[GrantorProcess, list[TimedAmount]] = field(default_factory=dict)
    grant: HeldGrant = NO_GRANT

    def __post_init__(self) -> None:
        """Count all but the reserve as deposited, as a previous process may have deposited it."""
        until = self.started_at + self._deposit_duration_ms()
        self.deposits.setdefault(UNKNOWN_GRANTOR, [TimedAmount(self._depositable_amount(), until)])

    def _deposit_duration_ms(self) -> float:
        return self.parameters.deposit_ms * (1.0 + self.parameters.clock_drift)

    def _depositable_amount(self) -> float:
        return (1.0 - self.parameters.reserved_fraction) * self.own_quota

    def deposited_amount(self, now: float, excluding: tuple[str, int] | None = None) -> float:
        """Return how much of the quota grantors may have granted.

        Of the deposits with one grantor the largest counts: the newest request that the grantor has may be any of
        theirs.
        """
        return sum(
            max((amount for amount, until in rows if until > now), default=0.0)
            for grantor_process, rows in self.deposits.items()
            if grantor_process != excluding
        )

    def granted_amount(self, now: float) -> float:
        """Return the amount granted to this sender now."""
        return self.grant.amount if now < self.grant.until else 0.0

    def usable_quota(self, now: float) -> float:
        """Return the fraction of the budget that this sender may use now."""
        return max(0.0, self.own_quota - self.deposited_amount(now)) + self.granted_amount(now)

    def make_request(self, now: float, grantor: str, demand: float) -> QuotaLeaseRequest:
        """Return the request to send to a grantor; the first deposits nothing, as a deposit refers to a response."""
        self._select_grantor(grantor)
        self.deposits = without_expired(self.deposits, now)
        self._record_pending_request(now)
        if demand <= 0.0:
            # The grant is returned: it is not used from now on, whatever responses are still in flight.
            self.grant = HeldGrant(0.0, now, self.seq)
        deposit = self._make_deposit(now)
        return QuotaLeaseRequest(self.seq, self.epoch, self.response_number, deposit, demand)

    def _select_grantor(self, grantor: str) -> None:
        if grantor != self.grantor:
            self.grantor = grantor
            self.epoch = 0
            self.response_number = 0

    def _record_pending_request(self, now: float) -> None:
        self.seq += 1
        self.pending_requests[self.seq] = now
        while len(self.pending_requests) > MAX_REMEMBERED_REQUESTS:
            oldest = next(iter(self.pending_requests))
            del self.pending_requests[oldest]

    def _make_deposit(self, now: float) -> float:
        """Deposit with the current grantor what is not deposited with others, and return the amount."""
        if not self.epoch:
            return 0.0
        grantor_process = GrantorProcess(self.grantor, self.epoch)
        deposit = max(0.0, self._depositable_amount() - self.deposited_amount(now, grantor_process))
        if deposit:
            row = TimedAmount(deposit, now + self._deposit_duration_ms())
            self.deposits.setdefault(grantor_process, []).append(row)
        return deposit

    def handle_response(self, now: float, grantor: str, response: QuotaLeaseResponse) -> None:
        """Handle a response; one that is late, duplicated, or of an older epoch is ignored."""
        requested_at = self.pending_requests.pop(response.seq, None)
        if requested_at is None or grantor != self.grantor or response.epoch < self.epoch:
            return
        if response.epoch > self.epoch:
            self.epoch = response.epoch
            self.response_number = 0
        self.response_number = max(self.response_number, response.response_number)
        until = requested_at + self.parameters.grant_ms
        if until > now and response.seq > self.grant.request_seq:
            self.grant = HeldGrant(response.grant, until, response.seq)


@dataclass(slots=True)
class LeaseGrantor:
    """The grantor's side of one budget."""

    parameters: QuotaLeaseParameters
    epoch: int
    response_number: int = 0
    # The time at which each response was sent, by number.
    response_times: dict[int, float] = field(default_factory=dict)
    # The sequence number of each sender's newest request.
    latest_request: dict[str, int] = field(default_factory=dict)
    deposits: dict[str, TimedAmount] = field(default_factory=dict)
    grants: dict[str, list[TimedAmount]] = field(default_factory=dict)
    demands: dict[str, TimedAmount] = field(default_factory=dict)

    def handle_request(
        self, now: float, sender: str, request: QuotaLeaseRequest, mode: GrantMode = GrantMode.FAIR_SHARE
    ) -> QuotaLeaseResponse | None:
        """Return the response to a request; `None` if this or a newer request of the sender was handled before."""
        self._discard_expired(now)
        if request.seq <= self.latest_request.get(sender, 0):
            return None
        self.latest_request[sender] = request.seq
        if request.demand <= 0.0:
            # The sender stopped using its grant when it made the request.
            self.grants.pop(sender, None)
        self._record_deposit(sender, request)
        self.demands[sender] = TimedAmount(request.demand, now + self.parameters.deposit_ms)
        grant = self._grant_amount(now, sender, request.demand, mode)
        self.response_number += 1
        self.response_times[self.response_number] = now
        return QuotaLeaseResponse(request.seq, self.epoch, self.response_number, grant)

    def _record_deposit(self, sender: str, request: QuotaLeaseRequest) -> None:
        """Count the deposit from the response that the request refers to, if this process sent that response."""
        responded_at = self.response_times.get(request.response_number)
        if request.epoch != self.epoch or responded_at is None:
            return
        until = responded_at + self.parameters.deposit_ms * (1.0 - self.parameters.clock_drift)
        self.deposits[sender] = TimedAmount(request.deposit, until)

    def _discard_expired(self, now: float) -> None:
        oldest = now - self.parameters.deposit_ms
        self.response_times = {
            number: sent_at for number, sent_at in self.response_times.items() if sent_at > oldest
        }
        self.deposits = {sender: row for sender, row in self.deposits.items() if row[1] > now}
        self.demands = {sender: row for sender, row in self.demands.items() if row[1] > now}
        self.grants = without_expired(self.grants, now)
        # Discards the entries of senders that have stopped.
        if len(self.latest_request) > LATEST_REQUESTS_SLACK * max(MAX_REMEMBERED_REQUESTS, len(self.demands)):
            self.latest_request = {
                sender: seq for sender, seq in self.latest_request.items() if sender in self.demands
            }

    def _longest_grant_end(self, now: float) -> float:
        return now + self.parameters.grant_ms * (1.0 + self.parameters.clock_drift)

    def available_pool(self, now: float) -> float:
        """Return the sum of the deposits that do not expire before a grant made now."""
        grant_end = self._longest_grant_end(now)
        return sum(amount for amount, until in self.deposits.values() if until >= grant_end)

    def _grant_amount(self, now: float, sender: str, demand: float, mode: GrantMode) -> float:
        """Grant a sender as much of its demand as the mode and the pool allow, and return the amount."""
        pool = self.available_pool(now)
        granted_to_others = sum(
            max(amount for amount, _ in rows) for other, rows in self.grants.items() if other != sender
        )
        limit = self._grant_limit(pool, sender, demand, mode)
        grant = max(0.0, min(demand, limit, pool - granted_to_others))
        if grant:
            row = TimedAmount(grant, self._longest_grant_end(now))
            self.grants.setdefault(sender, []).append(row)
        return grant

    def _grant_limit(self, pool: float, sender: str, demand: float, mode: GrantMode) -> float:
        if mode is GrantMode.FAIR_SHARE:
            return fair_share(pool, {name: amount for name, (amount, _) in self.demands.items()}, sender)
        return pool if mode is GrantMode.EXCLUSIVE and demand else 0.0


def fair_share(total: float, demands: dict[str, float], sender: str) -> float:
    """Return a sender's max-min fair share of a total (Bertsekas, Gallager, "Data Networks", section 6.5.2).

    Senders that demand less than an even share get their demand; the others split the rest.
    """
    remaining = total
    unmet_demands = sorted(demands.items(), key=lambda row: row[1])
    while unmet_demands:
        name, demand = unmet_demands[0]
        even_share = remaining / len(unmet_demands)
        if demand > even_share:
            return even_share
        if name == sender:
            return demand
        remaining -= demand
        unmet_demands.pop(0)
    return 0.0
