"""Outgoing packets of one member, each with as many pending updates as fit into its datagram."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from kestreltrack.fleet.membership.dissemination import DisseminationQueue
from kestreltrack.fleet.membership.member_table import MemberRecord, MemberTable
from kestreltrack.fleet.membership.wire import (
    ENCODE,
    Alive,
    Body,
    DropReason,
    MemberUpdate,
    encode_datagram,
    updates_that_fit,
)

# The address of the recipient, and the datagram.
OutgoingDatagram = tuple[str, bytes]


class PacketSender:
    """State shared by all parts of the protocol: the local member, the outgoing datagrams and the random numbers."""

    def __init__(self, local_member: Alive, table: MemberTable, seed: int) -> None:
        """Take the description of this member, the table of the other members and the seed of all random choices."""
        self.local_member = local_member
        self.table = table
        self.dissemination = DisseminationQueue()
        self.random = random.Random(seed)
        # Datagrams sent, datagrams dropped by reason, and pauses of this process.
        self.counts: dict[str, int] = {}
        self._seq = 0
        self._outgoing: list[OutgoingDatagram] = []

    def next_seq(self) -> int:
        """Return the sequence number for a new probe."""
        self._seq += 1
        return self._seq

    def random_members(self, limit: int) -> list[MemberRecord]:
        """Return up to `limit` active members, chosen at random."""
        if limit <= 0:
            return []
        active = list(self.table.active_members.values())
        return active if len(active) <= limit else self.random.sample(active, limit)

    def send(self, address: str, body: Body, first_updates: Iterable[MemberUpdate] = ()) -> None:
        """Send a packet with as many updates as fit: `first_updates`, then pending ones."""
        first = [ENCODE(update) for update in first_updates]
        pending = self.dissemination.pending()
        chosen = updates_that_fit(
            self.local_member.name, body, [*first, *(encoded for _, encoded in pending)]
        )
        transmitted = pending[: max(0, len(chosen) - len(first))]
        self.dissemination.mark_transmitted([name for name, _ in transmitted], self.table.member_count())
        self.send_with_updates(address, body, chosen)

    def send_with_updates(self, address: str, body: Body, encoded_updates: Sequence[bytes]) -> None:
        """Send a packet with exactly these updates."""
        self._outgoing.append((address, encode_datagram(self.local_member.name, body, encoded_updates)))

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Return the datagrams queued since the last call, and count them as sent."""
        outgoing = self._outgoing
        self._outgoing = []
        self.counts["sent"] = self.counts.get("sent", 0) + len(outgoing)
        return outgoing

    def count_dropped(self, reason: DropReason) -> None:
        """Count a datagram or an update that was dropped."""
        self._count(reason.value)

    def count_pause(self) -> None:
        """Count a pause of this process."""
        self._count("paused")

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
