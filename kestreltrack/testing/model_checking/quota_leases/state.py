"""A state of the model: the holders, the grantors, the messages in flight and the time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from kestreltrack.fleet.quota_leases import (
    LeaseGrantor,
    LeaseHolder,
    QuotaLeaseParameters,
    QuotaLeaseRequest,
    QuotaLeaseResponse,
    TimedAmount,
)

# A time step is 1 ms, so grants and deposits expire within a few steps.
PARAMETERS = QuotaLeaseParameters(deposit_ms=3.0, grant_ms=1.0, reserved_fraction=0.25, clock_drift=0.0)
# The assumed time of a response that its grantor no longer remembers.
FORGOTTEN_AT_MS = -1e9


@dataclass(slots=True)
class LeaseState:
    """A state; holders and grantors are identified by their index.

    Attributes:
        now: The time in milliseconds.
        holders: The lease holder of each sender.
        grantors: The lease grantors.
        requests_in_flight: The requesting holder, the receiving grantor and the request.
        responses_in_flight: The receiving holder, the responding grantor and the response.
        crashes_left: The number of crashes that may still occur.
        duplicates_left: The number of requests that may still be duplicated.
    """

    now: float
    holders: list[LeaseHolder]
    grantors: list[LeaseGrantor]
    requests_in_flight: list[tuple[int, int, QuotaLeaseRequest]]
    responses_in_flight: list[tuple[int, int, QuotaLeaseResponse]]
    crashes_left: int
    duplicates_left: int

    def copy(self, changed_holder: int = -1, changed_grantor: int = -1) -> LeaseState:
        """Return a copy that may be modified, except for its other holders and grantors, which it shares."""
        return LeaseState(
            self.now,
            [
                _copy_holder(holder) if n == changed_holder else holder
                for n, holder in enumerate(self.holders)
            ],
            [
                _copy_grantor(grantor) if n == changed_grantor else grantor
                for n, grantor in enumerate(self.grantors)
            ],
            list(self.requests_in_flight),
            list(self.responses_in_flight),
            self.crashes_left,
            self.duplicates_left,
        )

    def total_usable_quota(self) -> float:
        """Return the sum of the usable quotas of all holders."""
        return sum(holder.usable_quota(self.now) for holder in self.holders)

    def messages_in_flight(self) -> int:
        """Return the number of messages in flight."""
        return len(self.requests_in_flight) + len(self.responses_in_flight)

    # Equivalence of states

    def canonical_key(self) -> tuple[object, ...]:
        """Return a key that is equal for equivalent states.

        Times are relative to the current time, sequence numbers to the holder's newest one; expired entries are
        omitted.
        """
        return (
            tuple(self._holder_key(holder) for holder in self.holders),
            tuple(self._grantor_key(grantor) for grantor in self.grantors),
            self._requests_key(),
            self._responses_key(),
            self.crashes_left,
            self.duplicates_left,
        )

    def _holder_key(self, holder: LeaseHolder) -> tuple[object, ...]:
        last_response_offset = None
        if holder.grantor:
            # Grantors are named `k` followed by their index.
            grantor = int(holder.grantor[1:])
            last_response_offset = self._response_offset(grantor, holder.epoch, holder.response_number)
        pending_requests = tuple(
            (seq - holder.seq, requested_at - self.now)
            for seq, requested_at in holder.pending_requests.items()
            if self.now - requested_at < PARAMETERS.grant_ms
        )
        deposits = sorted((process, self._unexpired(amounts)) for process, amounts in holder.deposits.items())
        amount, expires_at, seq = holder.grant
        return (
            holder.grantor,
            holder.epoch,
            last_response_offset,
            pending_requests,
            tuple((process, unexpired) for process, unexpired in deposits if unexpired),
            (amount, expires_at - self.now, seq - holder.seq) if expires_at > self.now else (),
        )

    def _grantor_key(self, grantor: LeaseGrantor) -> tuple[object, ...]:
        latest_requests = sorted(
            (name, seq - self.holders[int(name[1:])].seq) for name, seq in grantor.latest_request.items()
        )
        return (
            grantor.epoch,
            tuple(latest_requests),
            self._unexpired_by_name((name, [amount]) for name, amount in grantor.deposits.items()),
            self._unexpired_by_name(grantor.grants.items()),
            self._unexpired_by_name((name, [amount]) for name, amount in grantor.demands.items()),
        )

    def _requests_key(self) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    holder,
                    grantor,
                    request.seq - self.holders[holder].seq,
                    request.epoch,
                    repr(self._response_offset(grantor, request.epoch, request.response_number)),
                    request.deposit,
                    request.demand,
                )
                for holder, grantor, request in self.requests_in_flight
            )
        )

    def _responses_key(self) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    holder,
                    grantor,
                    response.seq - self.holders[holder].seq,
                    response.epoch,
                    repr(self._response_offset(grantor, response.epoch, response.response_number)),
                    response.grant,
                )
                for holder, grantor, response in self.responses_in_flight
            )
        )

    def _unexpired(self, amounts: Iterable[TimedAmount]) -> tuple[tuple[float, float], ...]:
        """Return the unexpired amounts with their remaining durations."""
        now = self.now
        return tuple(sorted((amount, expiry - now) for amount, expiry in amounts if expiry > now))

    def _unexpired_by_name(
        self, amounts_by_name: Iterable[tuple[str, list[TimedAmount]]]
    ) -> tuple[object, ...]:
        unexpired_by_name = sorted((name, self._unexpired(amounts)) for name, amounts in amounts_by_name)
        return tuple((name, unexpired) for name, unexpired in unexpired_by_name if unexpired)

    def _response_offset(self, grantor: int, epoch: int, response_number: int) -> float | None:
        """Return the send time of a response relative to now; `None` if a deposit that refers to it has expired."""
        responder = self.grantors[grantor]
        sent_at = FORGOTTEN_AT_MS
        if responder.epoch == epoch:
            sent_at = responder.response_times.get(response_number, FORGOTTEN_AT_MS)
        return sent_at - self.now if self.now - sent_at < PARAMETERS.deposit_ms else None


def _copy_holder(holder: LeaseHolder) -> LeaseHolder:
    return replace(
        holder,
        pending_requests=dict(holder.pending_requests),
        deposits={process: list(amounts) for process, amounts in holder.deposits.items()},
    )


def _copy_grantor(grantor: LeaseGrantor) -> LeaseGrantor:
    return replace(
        grantor,
        response_times=dict(grantor.response_times),
        latest_request=dict(grantor.latest_request),
        deposits=dict(grantor.deposits),
        grants={name: list(amounts) for name, amounts in grantor.grants.items()},
        demands=dict(grantor.demands),
    )


def initial_state(
    senders: int, grantors: int, max_crashes: int, max_duplicates: int, after_first_response: bool = False
) -> LeaseState:
    """Return a state in which all processes have just started.

    With `after_first_response`, each holder has a response from the first grantor, and any deposits of its previous
    process have expired.
    """
    started_at = -PARAMETERS.deposit_ms if after_first_response else 0.0
    state = LeaseState(
        now=0.0,
        holders=[LeaseHolder(PARAMETERS, 1.0 / senders, started_at) for _ in range(senders)],
        grantors=[LeaseGrantor(PARAMETERS, 1) for _ in range(grantors)],
        requests_in_flight=[],
        responses_in_flight=[],
        crashes_left=max_crashes,
        duplicates_left=max_duplicates,
    )
    if after_first_response:
        for n, holder in enumerate(state.holders):
            request = holder.make_request(0.0, "k0", 0.0)
            response = state.grantors[0].handle_request(0.0, f"s{n}", request)
            assert response
            holder.handle_response(0.0, "k0", response)
    return state
