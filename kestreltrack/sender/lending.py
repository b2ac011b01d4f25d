"""Carries turns and shares (`fleet/trials`) between the module of this sender and the keepers among the members.

Nothing waits for it: what the module is told it goes by for a second, and by itself after that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from kestreltrack.decision import Policy
from kestreltrack.decision.api import Event, Found
from kestreltrack.fleet.membership.shell import Membership
from kestreltrack.fleet.trials.holder import Trials, Turn
from kestreltrack.fleet.trials.referee import Referee
from kestreltrack.fleet.trials.wire import ENCODE, Asks, Packet, Replies, ReplyRow, Words, pages, read
from kestreltrack.ports import Clock
from kestreltrack.sender.reading import reading, readings
from kestreltrack.telemetry import Telemetry

TICK_S = 0.1


class Lending:
    """Both sides of one sender: of its own partners in trouble, and of those that it keeps."""

    def __init__(
        self,
        membership: Membership,
        policy: Policy,
        tell: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """`tell` takes events for the module."""
        self.membership, self.policy, self._tell = membership, policy, tell
        self.me = membership.about.name
        self._clock, self.telemetry = clock, telemetry
        self.trials = self._fresh(membership.start_ms())
        self.referee: Referee | None = None  # none before the member is bound
        self._greeted = set[tuple[str, int]]()  # processes of members that have heard what is out
        membership.on_carried = self._carried

    def _fresh(self, start: int) -> Trials:
        return Trials(self._clock(), start, self.membership.draw())

    async def run(self) -> None:
        """See to it ten times a second."""
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._see_to_it()
            except (
                Exception
            ) as bad:  # must not end the process that owes answers; the module goes on by itself
                self.telemetry.trouble("fleet.lending_fault", error=repr(bad))

    def _see_to_it(self) -> None:
        now, part, swim = self._clock(), 1.0 / self.policy.settings.relays, self.membership.swim
        if swim is None:  # the process before this one has all but the floor, until it lets go of the address
            part *= self.trials.terms.floor
        elif self.referee is None:  # and what it lent has to run out first
            self.trials, self.referee = self._fresh(swim.me.start), Referee(swim.me.start)
        names = self.membership.names()
        self._greet(now)
        self._act(self.trials.tick(now, readings(self.policy, now, self.trials.pursuits), names, part))
        if self.referee and (words := self.referee.words(now)):
            self._hear_words(self.me, Words(words))
            self._send(names or (), (Words(page) for page in pages(words)))

    def _greet(self, now: float) -> None:
        """Members, or processes of members, that were not here before hear of what is out."""
        swim = self.membership.swim
        here = {(info.name, info.start) for info in swim.living()} if swim else set()
        if self.referee and (new := here - self._greeted) and (words := self.referee.standing(now)):
            self._send([name for name, _ in new], (Words(page) for page in pages(words)))
        self._greeted = here

    def _act(self, turn: Turn) -> None:
        now = self._clock()
        for event in turn.events:
            if isinstance(event, Found):
                self.telemetry.log("partner", dest=event.dest, up=event.up, seen_ms=round(now - event.at))
            self._tell(event)
        for dest in turn.begun:
            self.telemetry.log("turn", dest=dest)
        for keeper, rows in turn.asks.items():
            if keeper == self.me:
                self._hear_asks(keeper, Asks(rows))
            else:
                self._send([keeper], (Asks(page) for page in pages(rows)))

    def close(self) -> None:
        """This process stops."""
        self._act(self.trials.end(self._clock()))

    def _send(self, names: Iterable[str], packets: Iterable[Packet]) -> None:
        """To each of these but oneself; a packet is encoded once for all."""
        encoded = [ENCODE(packet) for packet in packets]
        for name in names:
            for data in encoded if name != self.me else ():
                self.membership.carry(name, data)

    def _carried(self, name: str, data: bytes) -> None:
        packet = read(data)
        if packet is None or self.referee is None:
            self.telemetry.count("fleet.unread")
        elif isinstance(packet, Asks):
            self._hear_asks(name, packet)
        elif isinstance(packet, Words):
            self._hear_words(name, packet)
        else:
            self._hear_replies(name, packet.rows)

    def _hear_asks(self, name: str, asks: Asks) -> None:
        assert self.referee
        now = self._clock()
        answered = (self.referee.asked(now, name, row) for row in asks.rows)
        replies = [reply for reply in answered if reply]
        if name == self.me:
            self._hear_replies(name, replies)
        else:
            self._send([name], (Replies(page) for page in pages(replies)))

    def _hear_replies(self, name: str, rows: list[ReplyRow]) -> None:
        for row in rows:
            self.trials.answered(self._clock(), name, row)

    def _hear_words(self, name: str, words: Words) -> None:
        now = self._clock()
        for row in words.rows:
            self._act(self.trials.told(now, name, row, lambda dest: reading(self.policy, now, dest)))

    def gauges(self) -> dict[str, int]:
        """For the operators' figures."""
        kept = self.referee.cases.values() if self.referee else ()
        out = sum(bool(case.out) for case in kept)
        return {
            "pursued": len(self.trials.pursuits),
            "kept": len(kept),
            "kept_out": out,
            **self.trials.counts,
        }
