"""Transfer of the complete member list, one page per datagram, ordered by name.

A member that joins or was paused obtains all missed updates by it, and a periodic transfer repairs what dissemination
has not delivered.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

from kestreltrack.fleet.membership.local_health import LocalHealth
from kestreltrack.fleet.membership.packet_sender import PacketSender
from kestreltrack.fleet.membership.wire import (
    ENCODE,
    MemberUpdate,
    StatePage,
    StateRequest,
    remaining_bytes,
)

# Timeout of a page request; the page is then requested again, from a random member.
STATE_PAGE_TIMEOUT_MS = 500.0
# Placeholder of maximal length in the calculation of the free bytes of a page.
LONGEST_NAME = "x" * 64


@dataclass(frozen=True, slots=True)
class PageRequest:
    """A request for a page that has not been received yet."""

    address: str
    after_name: str
    expires_at: float


class StateSync:
    """Requests pages from other members, and answers their requests."""

    def __init__(self, packets: PacketSender, health: LocalHealth) -> None:
        """Start without an outstanding request."""
        self._packets = packets
        self._table = packets.table
        self._health = health
        # Whether the complete list of another member has been received, or there is no member to request it from.
        self.caught_up = False
        self._request: PageRequest | None = None

    @property
    def in_progress(self) -> bool:
        """Whether a requested page has not been received yet."""
        return self._request is not None

    def reset(self, caught_up: bool) -> None:
        """Discard the outstanding request, and set whether this member has caught up."""
        self._request = None
        self.caught_up = caught_up

    def next_due(self) -> list[float]:
        """Return when the outstanding request expires, if there is one."""
        return [self._request.expires_at] if self._request else []

    def retry_expired(self, now: float, seeds: Sequence[str]) -> None:
        """Request the same page again, from a member chosen anew, if the request has expired."""
        if self._request is not None and now >= self._request.expires_at:
            self.request_page(now, self._request.after_name, seeds)

    def request_page(self, now: float, after_name: str, seeds: Sequence[str]) -> None:
        """Request a page from a random active member, or from a seed while no other member is known."""
        candidates = [member.info.address for member in self._packets.random_members(1)]
        if not candidates:
            candidates = self._packets.random.sample(seeds, len(seeds))[:1]
        if not candidates:
            self._request = None
            return
        address = candidates[0]
        self._request = PageRequest(address, after_name, self._expiry(now))
        self._packets.send(address, StateRequest(after_name), [self._packets.local_member])

    def _expiry(self, now: float) -> float:
        return now + self._health.scaled(STATE_PAGE_TIMEOUT_MS)

    def handle_page(self, now: float, page: StatePage) -> None:
        """Request the next page, or finish after the last; ignore a page that is late or was not requested."""
        request = self._request
        if request is None or request.after_name != page.after_name:
            return
        if page.next_after_name > page.after_name:
            self._request = PageRequest(request.address, page.next_after_name, self._expiry(now))
            self._packets.send(request.address, StateRequest(page.next_after_name))
        else:
            self._request = None
            self.caught_up = True

    def send_page(self, address: str, after_name: str) -> None:
        """Send a page of the members after a name, this one included, as many as one datagram holds."""
        local_name = self._packets.local_member.name
        names = sorted(name for name in (*self._table.members, local_name) if name > after_name)
        free_bytes = remaining_bytes(local_name, StatePage(after_name, LONGEST_NAME))
        encoded_updates = list[bytes]()
        next_after_name = ""
        for previous_name, name in pairwise([after_name, *names]):
            encoded = [ENCODE(update) for update in self._updates_about(name)]
            free_bytes -= sum(map(len, encoded))
            if free_bytes < 0:
                next_after_name = previous_name
                break
            encoded_updates += encoded
        self._packets.send_with_updates(address, StatePage(after_name, next_after_name), encoded_updates)

    def _updates_about(self, name: str) -> list[MemberUpdate]:
        """Return the updates that describe a member: its address if it is suspected, then its state."""
        member = self._table.members.get(name)
        if member is None:
            return [self._packets.local_member]
        if member.suspicion:
            return [member.info, member.to_update()]
        return [member.to_update()]
