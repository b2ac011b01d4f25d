"""Quota leases: the sum of usable quotas over all interleavings to a depth, mutants, and long random runs."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from kestreltrack.fleet.quota_leases import (
    GrantMode,
    InvalidLeaseParametersError,
    LeaseGrantor,
    LeaseHolder,
    QuotaLeaseParameters,
    QuotaLeaseRequest,
    QuotaLeaseResponse,
    TimedAmount,
    fair_share,
)
from kestreltrack.testing.model_checking.quota_leases import (
    MAX_TOTAL_SHARE,
    LeaseState,
    explore,
    initial_state,
    restart_process,
)


def test_no_interleaving_lets_the_sum_exceed_the_budget() -> None:
    """Deeper searches and their state counts: docs/fleet-together.md."""
    for senders, grantors, depth in ((2, 1, 5), (2, 2, 3), (3, 1, 4)):
        first = initial_state(senders, grantors, max_crashes=1, max_duplicates=1, after_first_response=True)

        found = explore(first, depth)

        assert not found.trace and found.depth == depth and found.states > 1_000
        assert found.max_used == pytest.approx(1.0), "some state uses the complete budget"


# Mutants: variants of the classes with one defect each ---------------------------------------------

HANDLE_REQUEST = LeaseGrantor.handle_request
GRANT_AMOUNT = LeaseGrantor._grant_amount
DEPOSITED_AMOUNT = LeaseHolder.deposited_amount
HANDLE_RESPONSE = LeaseHolder.handle_response
MAKE_REQUEST = LeaseHolder.make_request


def count_deposit_from_arrival(
    self: LeaseGrantor, now: float, sender: str, request: QuotaLeaseRequest
) -> QuotaLeaseResponse | None:
    """Count a deposit from when the request arrives."""
    self.response_times[request.response_number] = now
    return HANDLE_REQUEST(self, now, sender, request)


def ignore_epoch(
    self: LeaseGrantor, now: float, sender: str, request: QuotaLeaseRequest
) -> QuotaLeaseResponse | None:
    """Count a deposit of any epoch, as if a restarted grantor had sent the responses of the previous process."""
    self.response_times.setdefault(request.response_number, now)
    of_this_epoch = QuotaLeaseRequest(
        request.seq, self.epoch, request.response_number, request.deposit, request.demand
    )
    return HANDLE_REQUEST(self, now, sender, of_this_epoch)


def grant_from_the_budget(
    self: LeaseGrantor, now: float, sender: str, demand: float, mode: GrantMode
) -> float:
    """Grant from the complete budget, whatever the deposits are."""
    self.deposits = {"everybody": TimedAmount(1.0, now + 1e9)}
    return GRANT_AMOUNT(self, now, sender, demand, mode)


def deposit_again_at_once(self: LeaseHolder, now: float, excluding: tuple[str, int] | None = None) -> float:
    """Ignore the deposits with other grantors, so that the quota is deposited with a new grantor at once."""
    return DEPOSITED_AMOUNT(self, now, excluding) if not excluding else 0.0


def count_grant_from_arrival(
    self: LeaseHolder, now: float, grantor: str, response: QuotaLeaseResponse
) -> None:
    """Count a grant from when the response arrives."""
    if response.seq in self.pending_requests:
        self.pending_requests[response.seq] = now
    HANDLE_RESPONSE(self, now, grantor, response)


def keep_using_returned_grant(
    self: LeaseHolder, now: float, grantor: str, demand: float
) -> QuotaLeaseRequest:
    """Use a grant until it expires, although it was returned."""
    grant = self.grant
    request = MAKE_REQUEST(self, now, grantor, demand)
    self.grant = grant
    return request


def restart_without_deposits(state: LeaseState, sender: int) -> None:
    """Start a new process that uses its complete quota at once."""
    restart_process(state, sender)
    state.holders[sender].deposits.clear()


# The class, its method, the replacement of the method, and the number of crashes needed to detect it.
MUTANTS: dict[str, tuple[type, str, Callable[..., object], int]] = {
    "deposit counted from the arrival of the request": (
        LeaseGrantor,
        "handle_request",
        count_deposit_from_arrival,
        0,
    ),
    "no epoch": (LeaseGrantor, "handle_request", ignore_epoch, 1),
    "grants from the budget instead of the deposits": (
        LeaseGrantor,
        "_grant_amount",
        grant_from_the_budget,
        0,
    ),
    "deposited again before the old deposit expires": (
        LeaseHolder,
        "deposited_amount",
        deposit_again_at_once,
        0,
    ),
    "grant used after it was returned": (LeaseHolder, "make_request", keep_using_returned_grant, 0),
    "grant counted from the arrival of the response": (
        LeaseHolder,
        "handle_response",
        count_grant_from_arrival,
        0,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, replacement, crashes = MUTANTS[name]
    grantors = 2 if "deposited again" in name else 1
    first = initial_state(2, grantors, max_crashes=crashes, max_duplicates=0, after_first_response=True)
    if "deposit counted" in name:
        # The shortest trace has seven steps, of which the first two are taken here.
        first.requests_in_flight.append((0, 0, first.holders[0].make_request(0.0, "k0", 0.0)))
        first.now = 1.0
    assert not explore(first, depth=3).trace
    monkeypatch.setattr(owner, method, replacement)

    found = explore(first, depth=6, max_states=60_000)

    assert found.trace and found.max_used > MAX_TOTAL_SHARE, (
        f"{found.states} states to depth {found.depth} did not show it"
    )


def test_a_restarted_process_that_uses_its_complete_quota_at_once_is_detected() -> None:
    first = initial_state(2, 1, 1, 0, after_first_response=True)

    found = explore(first, depth=6, max_states=60_000, restart=restart_without_deposits)

    assert ("restart", "s0") in found.trace


# Random runs ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True, order=True)
class InFlight:
    """A request or response in flight."""

    arrives_at: float
    sender: int
    grantor: int
    is_request: bool
    message: QuotaLeaseRequest | QuotaLeaseResponse = field(compare=False)

    @property
    def recipient(self) -> int:
        return self.grantor if self.is_request else self.sender


class RandomRun:
    """Senders that are all grantors as well, with clocks of different rates, over an unreliable network."""

    COUNT = 8

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.parameters = QuotaLeaseParameters()
        self.clock_rates = [self.random.choice((0.99, 1.0, 1.01)) for _ in range(self.COUNT)]
        self.clock_offsets = [self.random.uniform(0.0, 1e6) for _ in range(self.COUNT)]
        self.now = 0.0
        self.holders = [
            LeaseHolder(self.parameters, 1.0 / self.COUNT, self.clock(member)) for member in range(self.COUNT)
        ]
        self.grantors = [LeaseGrantor(self.parameters, 1) for _ in range(self.COUNT)]
        self.paused_until = [0.0] * self.COUNT
        self.in_flight: list[InFlight] = []
        self.restarts = 0

    def clock(self, member: int) -> float:
        return self.clock_offsets[member] + self.clock_rates[member] * self.now

    def step(self) -> list[float]:
        """Advance the time and one sender, and return the usable quota of each sender."""
        self.now += self.random.expovariate(1.0 / 15.0)
        member = self.random.randrange(self.COUNT)
        if self.now >= self.paused_until[member]:
            self.send_request(member)
        if self.random.random() < 0.001:
            self.paused_until[self.random.randrange(self.COUNT)] = self.now + self.random.uniform(
                0.0, 10_000.0
            )
        if self.random.random() < 0.001:
            self.restart(self.random.randrange(self.COUNT))
        self.deliver_arrived()
        return [holder.usable_quota(self.clock(member)) for member, holder in enumerate(self.holders)]

    def send_request(self, member: int) -> None:
        grantor_of_all = 0 if self.now < 40_000 else 1
        views_differ = self.random.random() < 0.005
        grantor = member % 2 if views_differ else grantor_of_all
        demand = self.random.choice((0.0, 0.0, 0.0, 0.05, 0.05, 1.0)) if member else 1.0
        request = self.holders[member].make_request(self.clock(member), f"k{grantor}", demand)
        self.send(member, grantor, True, request)

    def restart(self, member: int) -> None:
        self.restarts += 1
        seq = self.holders[member].seq
        self.holders[member] = LeaseHolder(self.parameters, 1.0 / self.COUNT, self.clock(member), seq=seq)
        self.grantors[member] = LeaseGrantor(self.parameters, self.grantors[member].epoch + 1)

    def deliver_arrived(self) -> None:
        arrived = [
            packet
            for packet in self.in_flight
            if packet.arrives_at <= self.now and self.now >= self.paused_until[packet.recipient]
        ]
        for packet in sorted(arrived):
            self.in_flight.remove(packet)
            self.deliver(packet)

    def deliver(self, packet: InFlight) -> None:
        sender = packet.sender
        grantor = packet.grantor
        message = packet.message
        if isinstance(message, QuotaLeaseRequest):
            response = self.grantors[grantor].handle_request(self.clock(grantor), f"s{sender}", message)
            if response:
                self.send(sender, grantor, False, response)
        else:
            self.holders[sender].handle_response(self.clock(sender), f"k{grantor}", message)

    def send(
        self, sender: int, grantor: int, is_request: bool, message: QuotaLeaseRequest | QuotaLeaseResponse
    ) -> None:
        """Put a packet in flight; it may be lost, delayed by seconds, or duplicated."""
        if self.random.random() < 0.1:
            return
        late = self.random.random() >= 0.95
        delays_ms = [self.random.uniform(500.0, 6000.0) if late else self.random.uniform(0.1, 20.0)]
        if self.random.random() < 0.05:
            delays_ms.append(self.random.uniform(10.0, 6000.0))
        self.in_flight += [
            InFlight(self.now + delay_ms, sender, grantor, is_request, message) for delay_ms in delays_ms
        ]


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_stays_within_the_budget_with_packet_loss_delays_duplicates_and_one_percent_clock_drift(
    seed: int,
) -> None:
    run = RandomRun(seed)
    largest_quota = 0.0

    for _ in range(6_000):
        quotas = run.step()
        largest_quota = max(largest_quota, *quotas)
        assert sum(quotas) <= MAX_TOTAL_SHARE, f"{sum(quotas)} at {run.now}"

    assert largest_quota > 2.0 / RandomRun.COUNT and run.restarts, "quota is shared and processes restart"


# Single cases --------------------------------------------------------------------------------------


def test_unused_quota_is_granted_to_others_and_returns_when_the_grantor_crashes() -> None:
    parameters = QuotaLeaseParameters()
    grantor = LeaseGrantor(parameters, 5)
    holders = [LeaseHolder(parameters, 0.25, -1e6) for _ in range(4)]

    for now in (0.0, 1000.0, 2000.0, 3000.0):
        for number, holder in enumerate(holders):
            request = holder.make_request(now, "k", 1.0 if number == 0 else 0.0)
            response = grantor.handle_request(now + 1.0, f"s{number}", request)
            assert response
            holder.handle_response(now + 2.0, "k", response)

    assert holders[0].usable_quota(3003.0) > 0.6 and holders[1].usable_quota(3003.0) == pytest.approx(0.0625)
    assert holders[0].usable_quota(3000.0 + 2000.0) == pytest.approx(0.0625), (
        "its grant has expired, its deposit has not"
    )
    assert [holder.usable_quota(3000.0 + 5051.0) for holder in holders] == [0.25] * 4


@pytest.mark.parametrize(
    ("demands", "shares"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 0.1, "b": 1.0}, {"a": 0.1, "b": 0.9}),
        ({"a": 0.1, "b": 0.2, "c": 1.0, "d": 1.0}, {"a": 0.1, "b": 0.2, "c": 0.35, "d": 0.35}),
        ({"a": 0.0}, {"a": 0.0, "nobody": 0.0}),
    ],
)
def test_shares_are_max_min_fair(demands: dict[str, float], shares: dict[str, float]) -> None:
    assert {name: pytest.approx(fair_share(1.0, demands, name)) for name in shares} == shares


@pytest.mark.parametrize(
    "invalid",
    [{"grant_ms": 5000.0}, {"reserved_fraction": 1.5}, {"clock_drift": 0.5}, {"deposit_ms": 0.0}],
)
def test_parameters_under_which_nothing_could_be_granted_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(InvalidLeaseParametersError, match=next(iter(invalid))):
        QuotaLeaseParameters(**invalid)
