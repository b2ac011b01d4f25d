"""Transfer of the complete member list, one page a datagram, in the order of names.

A member that joins or was paused learns from it all that it has missed, and a periodic request of it repairs what
dissemination has not delivered.
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

# Time for the answer to a request of a page; after it another member is asked.
STATE_PAGE_TIMEOUT_MS = 500.0
# Stands for the longest name while the room in a page is reckoned.
LONGEST_NAME = "x" * 64


@dataclass(frozen=True, slots=True)
class PageRequest:
    """A page that was requested and has not come yet."""

    address: str
    after_name: str
    expires_at: float


class StateSync:
    """One member's requests of pages, and its answers to those of others."""

    def __init__(self, packets: PacketSender, health: LocalHealth) -> None:
        """Begin without a request."""
        self._packets = packets
        self._table = packets.table
        self._health = health
        # Whether another member has sent its complete list, or there is none to ask.
        self.caught_up = False
        self._request: PageRequest | None = None

    @property
    def in_progress(self) -> bool:
        """Whether a page was requested and has not come yet."""
        return self._request is not None

    def reset(self, caught_up: bool) -> None:
        """Forget the request, and set whether this member knows all that it can."""
        self._request = None
        self.caught_up = caught_up

    def next_due(self) -> list[float]:
        """Return when the request expires, if there is one."""
        return [self._request.expires_at] if self._request else []

    def retry_expired(self, now: float, seeds: Sequence[str]) -> None:
        """Request the same page again, of another member, once the request has expired."""
        if self._request is not None and now >= self._request.expires_at:
            self.request_page(now, self._request.after_name, seeds)

    def request_page(self, now: float, after_name: str, seeds: Sequence[str]) -> None:
        """Request a page of a random member, or of a seed while there is no member."""
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
        """Request the next page, or be caught up after the last; ignore a page that is late or not requested."""
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
        """Send as many members as one datagram holds, in the order of names; this member is one of them."""
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
        """Return all that there is to say about one member: where it is, then its state."""
        member = self._table.members.get(name)
        if member is None:
            return [self._packets.local_member]
        if member.suspicion:
            return [member.info, member.to_update()]
        return [member.to_update()]
