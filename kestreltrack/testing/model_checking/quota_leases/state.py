"""One state of the search: the holders, the grantors, the messages in flight, and the time."""

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

# A grant of one step of time and a deposit of three: they expire within few steps.
PARAMETERS = QuotaLeaseParameters(deposit_ms=3.0, grant_ms=1.0, reserved_fraction=0.25, clock_drift=0.0)
# A response that is not remembered any more was made so long ago.
FORGOTTEN_AT_MS = -1e9


@dataclass(slots=True)
class LeaseState:
    """One state.  A holder and a grantor are given by their index.

    Attributes:
        now: The time in milliseconds.
        holders: The senders as holders of leases.
        grantors: The senders as grantors of leases.
        requests_in_flight: The holder that a request is of, the grantor that it is for, and the request.
        responses_in_flight: The holder that a response is for, the grantor that it is of, and the response.
        crashes_left: How many holders and grantors may still crash.
        duplicates_left: How many messages may still be repeated.
    """

    now: float
    holders: list[LeaseHolder]
    grantors: list[LeaseGrantor]
    requests_in_flight: list[tuple[int, int, QuotaLeaseRequest]]
    responses_in_flight: list[tuple[int, int, QuotaLeaseResponse]]
    crashes_left: int
    duplicates_left: int

    def copy(self, changed_holder: int = -1, changed_grantor: int = -1) -> LeaseState:
        """Return a copy of which this holder and grantor, and all else but the others, may be changed."""
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

    def total_used(self) -> float:
        """Return what all holders may use at this instant."""
        return sum(holder.usable_quota(self.now) for holder in self.holders)

    def messages_in_flight(self) -> int:
        """Return how many messages are in flight."""
        return len(self.requests_in_flight) + len(self.responses_in_flight)

    # Identity

    def canonical_key(self) -> tuple[object, ...]:
        """Return what distinguishes this state from others.

        Times are relative to now, numbers of messages to the newest one, and what has expired is left out.
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
        last_response_age = None
        if holder.grantor:
            # The name of a grantor is `k` and its index.
            grantor = int(holder.grantor[1:])
            last_response_age = self._response_age(grantor, holder.epoch, holder.response_number)
        pending_requests = tuple(
            (seq - holder.seq, at - self.now)
            for seq, at in holder.pending_requests.items()
            if self.now - at < PARAMETERS.grant_ms
        )
        deposits = sorted((place, self._unexpired(rows)) for place, rows in holder.deposits.items())
        amount, expires_at, seq = holder.grant
        return (
            holder.grantor,
            holder.epoch,
            last_response_age,
            pending_requests,
            tuple((place, unexpired) for place, unexpired in deposits if unexpired),
            (amount, expires_at - self.now, seq - holder.seq) if expires_at > self.now else (),
        )

    def _grantor_key(self, grantor: LeaseGrantor) -> tuple[object, ...]:
        latest_requests = sorted(
            (name, seq - self.holders[int(name[1:])].seq) for name, seq in grantor.latest_request.items()
        )
        return (
            grantor.epoch,
            tuple(latest_requests),
            self._unexpired_by_name((name, [row]) for name, row in grantor.deposits.items()),
            self._unexpired_by_name(grantor.grants.items()),
            self._unexpired_by_name((name, [row]) for name, row in grantor.demands.items()),
        )

    def _requests_key(self) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    holder,
                    grantor,
                    request.seq - self.holders[holder].seq,
                    request.epoch,
                    repr(self._response_age(grantor, request.epoch, request.response_number)),
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
                    repr(self._response_age(grantor, response.epoch, response.response_number)),
                    response.grant,
                )
                for holder, grantor, response in self.responses_in_flight
            )
        )

    def _unexpired(self, rows: Iterable[TimedAmount]) -> tuple[tuple[float, float], ...]:
        """Return the amounts that have not expired, and how long they still last."""
        now = self.now
        return tuple(sorted((amount, expiry - now) for amount, expiry in rows if expiry > now))

    def _unexpired_by_name(self, rows_by_name: Iterable[tuple[str, list[TimedAmount]]]) -> tuple[object, ...]:
        unexpired_by_name = sorted((name, self._unexpired(rows)) for name, rows in rows_by_name)
        return tuple((name, unexpired) for name, unexpired in unexpired_by_name if unexpired)

    def _response_age(self, grantor: int, epoch: int, response_number: int) -> float | None:
        """Return the negative age of a grantor's response; `None` where a deposit upon it is over."""
        responder = self.grantors[grantor]
        sent_at = FORGOTTEN_AT_MS
        if responder.epoch == epoch:
            sent_at = responder.response_times.get(response_number, FORGOTTEN_AT_MS)
        return sent_at - self.now if self.now - sent_at < PARAMETERS.deposit_ms else None


def _copy_holder(holder: LeaseHolder) -> LeaseHolder:
    return replace(
        holder,
        pending_requests=dict(holder.pending_requests),
        deposits={place: list(rows) for place, rows in holder.deposits.items()},
    )


def _copy_grantor(grantor: LeaseGrantor) -> LeaseGrantor:
    return replace(
        grantor,
        response_times=dict(grantor.response_times),
        latest_request=dict(grantor.latest_request),
        deposits=dict(grantor.deposits),
        grants={name: list(rows) for name, rows in grantor.grants.items()},
        demands=dict(grantor.demands),
    )


def initial_state(
    senders: int, grantors: int, max_crashes: int, max_duplicates: int, after_first_response: bool = False
) -> LeaseState:
    """Return a state in which all processes start at once.

    `after_first_response`: each holder has had a first response of the first grantor, and what a process before it
    may have deposited has expired.
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
