"""The life of a message: one task each, `Core.deliver`, that reads from top to bottom."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from contextlib import aclosing, suppress
from dataclasses import replace

from kestreltrack.decision.api import (
    Arrived,
    Effect,
    Ended,
    ListFailed,
    ListNews,
    Outcome,
    Refuse,
    Send,
    Settings,
    Sharing,
    Stopping,
    WaitHeard,
    Withdrawn,
)
from kestreltrack.journal import Held, Journal, JournalFull, first_to_expire
from kestreltrack.journal.waits import SharedWaits
from kestreltrack.machinelist import MachineList
from kestreltrack.machinelist.calm import LARGE, Calm
from kestreltrack.machinelist.feed import Feed
from kestreltrack.ports import (
    Answer,
    Claim,
    ClaimResult,
    ListSource,
    Message,
    Notice,
    NoticeBoard,
    Rejected,
    SourceFailed,
    TakenOn,
    Transport,
    TurnedAway,
)
from kestreltrack.sender.desk import Desk, Seat
from kestreltrack.telemetry import Telemetry

CLOCK_MS = 1.0  # `d` may be the whole deadline, and loses its last bits when it is added to the clock

ON_ITS_WAY_MS = 100.0  # a claim's first byte to its last at the partner: by then the key must still be known
AGENT_AGAIN_S = (
    0.02  # until an agent that did not answer is asked again: it costs nothing, and drains wait for it
)
END_AGAIN_S = 0.25  # until an end that found no room in the folder is recorded after all
# Until the source is asked without the module's word, after the beginning of the last call and after its end: more
# than the module ever waits, and soon enough for a change that counts as told 6 s after discovery can be reached.
ASK_AT_LAST_S, WORD_S = 3.8, 0.3
NEW_S, NEW_AGAIN_S = (
    4.0,
    0.4,
)  # what a new address has counts so long after SIGHUP; meanwhile it is asked so often
SLICE_S = 0.004  # between slices of a large list: as long as one takes, so that messages get half the time


class Core:
    """Carries messages from their submitters to their ends; the module decides at each point of choice."""

    def __init__(
        self,
        desk: Desk,
        settings: Settings,
        journal: Journal,
        machines: MachineList,
        transport: Transport,
        notices: NoticeBoard,
        telemetry: Telemetry,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """Wire the parts together; `jitter` spreads what many senders would do in one moment."""
        self._jitter = jitter
        self.desk, self.settings, self.journal, self.machines = desk, settings, journal, machines
        self.transport, self.notices, self.telemetry = transport, notices, telemetry
        self._lives: set[asyncio.Task[None]] = set()
        self._asked, self.listed = (
            asyncio.Event(),
            asyncio.Event(),
        )  # listed: the source has told its first list
        self._feed, self._feeding = Feed(machines), False
        self._ends, self._abandoned = math.inf, False  # on the clock: when no attempt may begin any more
        self._moved_until = -math.inf  # the source has moved, and may not answer yet
        self.waits: SharedWaits | None = None  # told to the other process of this sender during an upgrade
        desk.on_subscribe = self._asked.set
        desk.on_unlink = transport.unlink

    # What a front calls --------------------------------------------------------------------------

    async def submit(self, message: Message) -> Answer:
        """Begin the life of a message; returns once it is taken on or turned away."""
        if self._abandoned:  # nobody would see to its end
            return TurnedAway()
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def ended(_: object) -> None:
            # With no answer: cut short, perhaps before its first step, with nothing recorded; else by a fault.
            if not answer.done():
                answer.set_result(TurnedAway() if self._abandoned else Rejected("internal error"))

        self._begin(self.deliver(message, answer)).add_done_callback(ended)
        return await answer

    def withdraw(self, message_id: str) -> None:
        """The submitter left unanswered: end the message, and call off the claim that is out."""
        if seat := self.desk.seats.get(message_id):
            self.telemetry.count("core.withdrawn")
            self.desk.tell(Withdrawn(message_id))
            seat.withdraw()

    # The life of a message -----------------------------------------------------------------------

    async def deliver(self, message: Message, answer: asyncio.Future[Answer]) -> None:
        """From the request to the end."""
        if unfit := self._unfit(message):
            self._result(message, "aborted")
            answer.set_result(Rejected(unfit))
            return
        if message.id in self.journal.held:
            answer.set_result(TakenOn(before=True))  # handed in once more under the same id
            return
        if message.id in self.desk.seats:
            self._result(message, "aborted")
            answer.set_result(Rejected("this id is being handed in"))
            return
        if len(self.desk.seats) >= self.settings.hold or not self.journal.room_for(message):
            self.telemetry.count("core.no_room")
            self._result(message, "declined")
            answer.set_result(TurnedAway())
            return
        seat = Seat(self.desk, message.id)
        try:
            self.desk.tell(_arrival(message))
            await self.desk.decided()
            if final := seat.final():
                # Given up in the step of its arrival: answered directly, nothing is held.
                self.telemetry.count("core.turned_away")
                self._result(message, "declined" if isinstance(final, Refuse) else "aborted")
                wait = final.wait_ms if isinstance(final, Refuse) else None
                answer.set_result(TurnedAway(wait))
                return
            try:
                held = self.journal.take(message)
            except JournalFull as bad:
                self.telemetry.trouble("journal.full", error=str(bad))
                self._result(message, "declined")
                answer.set_result(TurnedAway())
                held = Held(message)
                self.withdraw(message.id)
            else:
                self.telemetry.count("core.taken_on")
                answer.set_result(TakenOn())
            await self._see_to_its_end(held, seat)
        finally:
            seat.leave()

    def _unfit(self, message: Message) -> str | None:
        """Why nobody could serve this message."""
        if (cls := self.settings.classes.get(message.cls)) is None:
            return "unknown class"
        if message.expires - self.desk.clock() > cls.deadline_ms + CLOCK_MS:
            return "d is beyond the deadline of its class"
        return "unknown destination" if self.machines.lacks(message.dest) else None

    async def resume(self, held: Held) -> None:
        """The life of a message that the last process left, from where the journal shows it."""
        seat = Seat(self.desk, held.message.id)
        seat.attempt = held.tries
        if held.owed is None and held.message.cls not in self.settings.classes:
            # The settings have changed: nobody knows how it may be delivered, nor what a repeat would do.
            self.telemetry.trouble("core.unknown_class", cls=held.message.cls)
            self._owe(held, Notice(held.message.id, requeue=held.first_doubt() is None))
        try:
            if held.owed is None:
                doubt = held.first_doubt()
                since, zone = (doubt.at, doubt.zone) if doubt else (None, "")
                arrival = replace(
                    _arrival(held.message), tries=held.tries, doubt=since, doubt_zone=zone, taken=True
                )
                self.desk.tell(arrival)
            await self._see_to_its_end(held, seat)
        finally:
            seat.leave()

    async def _see_to_its_end(self, held: Held, seat: Seat) -> None:
        """Claims as the module orders them; in the end delivered, withdrawn, or told in a notice."""
        message, order = held.message, None
        while held.owed is None and isinstance(order := await seat.next_order(), Send):
            result = await self._claim(held, seat, order)
            if result.over:
                self._result(message, "succeeded" if result.outcome is Outcome.OK else "aborted")
                await self._end(held, _word(result.outcome))
                return
        if held.owed is None:
            if order is None:
                await self._end(held, "withdrawn")
                return
            wait_ms = order.wait_ms if isinstance(order, Refuse) else 0.0
            self._owe(held, Notice(message.id, isinstance(order, Refuse), wait_ms))
        seat.leave()  # the module is done with it; only the notice is left
        assert held.owed is not None
        await self.notices.tell(held.owed)
        self._result(message, "declined" if held.owed.requeue else "aborted")
        await self._end(held, "requeued" if held.owed.requeue else "given_up")

    def _owe(self, held: Held, notice: Notice) -> None:
        held.owed = notice
        self._record(self.journal.owe, notice)

    async def _claim(self, held: Held, seat: Seat, order: Send) -> ClaimResult:
        """One claim, from the module's word to its outcome in the journal and the module."""
        message, uid = held.message, order.endpoint
        started = self.desk.clock()

        def begin(*others: str) -> bool:
            # The connection took its time: a wait or a drain may have come since the module's word, and the partner
            # may no longer know a key by the time that the claim is there.
            self.hear_waits()
            rest = [self.journal.held[id_] for id_ in others]
            over = self.desk.clock() >= self._ends  # nobody would be left to hear how it ends
            if over or not self.desk.permits(message.dest, uid) or any(map(self._forgotten, (held, *rest))):
                self.telemetry.count("core.claims_held_back", 1 + len(others))
                return False
            return self._record(self.journal.claim, held, self.desk.clock(), self.machines.zone(uid), *rest)

        address = self.machines.address(uid)
        tries, called_off = held.tries, False
        if address is None or seat.withdrawn:
            result = ClaimResult(Outcome.NOT_SENT)
        else:
            claim = asyncio.create_task(
                self.transport.claim(Claim(message, uid, address, order.timeout_ms, begin, seat.call))
            )
            seat.claim = claim
            try:
                await asyncio.wait({claim})
            except asyncio.CancelledError:
                # This process ends.  What is known of the attempt is recorded first: its answer may have been read in
                # this very turn, and the next process would deliver once more what has been delivered.
                called_off = True
                claim.cancel()
                await asyncio.wait({claim})
            seat.claim = None
            result = _result(claim, self.telemetry)
        took = self.desk.clock() - started
        if self.waits and result.wait_ms:
            try:
                self.waits.told(message.dest, self.desk.clock() + result.wait_ms, self.desk.clock())
            except OSError as bad:
                self.telemetry.trouble("core.wait_unkept", error=str(bad))
        if (
            result.wait_ms and result.outcome is Outcome.NOT_SENT
        ):  # told to a whole call: it binds all the same
            self.desk.tell(WaitHeard(message.dest, self.desk.clock() + result.wait_ms, refused=False))
        # Else it never began (one that is out then is a dead process's, and stays in doubt), or its end comes next.
        if held.tries > tries and not result.over:
            self._record(self.journal.outcome, held, result.outcome)
        if called_off and not result.over:
            raise asyncio.CancelledError
        self.telemetry.count(f"core.claims.{_word(result.outcome)}")
        self.telemetry.log(
            "claim",
            id=message.id,
            dest=message.dest,
            node=uid,
            outcome=_word(result.outcome),
            ms=round(took, 1),
            wait=result.wait_ms,
        )
        attempt, seat.attempt = seat.attempt, seat.attempt + 1
        self.desk.tell(
            Ended(
                message.id,
                attempt,
                uid,
                result.outcome,
                took,
                result.over,
                result.wait_ms,
                result.report.get("x0"),
                result.report.get("x1"),
                result.stale,
                result.outcome is not Outcome.NOT_SENT or held.tries > tries,
            )
        )
        return result

    def _forgotten(self, held: Held) -> bool:
        """Whether a keyed message may have run so long ago that a claim that goes now could run twice."""
        cls, doubt = self.settings.classes[held.message.cls], held.first_doubt()
        if doubt is None or cls.effect is not Effect.KEYED:
            return False
        # From before the clock of the machine was set back: how much of the window has gone, nobody can tell.
        ahead = doubt.at - ON_ITS_WAY_MS > self.desk.clock()
        return ahead or self.desk.clock() > doubt.at + cls.key_window_ms - ON_ITS_WAY_MS

    def _result(self, message: Message, how: str) -> None:
        """One end for the operators' figures, by class: succeeded, declined (refused, handed back) or aborted."""
        if message.cls in self.settings.classes:  # a name that no class has would make counters without bound
            self.telemetry.count(f"app.results.{message.cls}.{how}")

    async def _end(self, held: Held, how: str) -> None:
        # With no record of its end it would be held for ever here, and go once more after a restart.
        while held.message.id in self.journal.held and not self._record(self.journal.end, held):
            if self._abandoned:
                break
            await asyncio.sleep(END_AGAIN_S)
        self.telemetry.count(f"core.ended.{how}")
        self.telemetry.log("end", id=held.message.id, how=how)

    def _record(self, write: Callable[..., None], *what: object) -> bool:
        """Write to the journal; a full folder is counted, and told to the caller."""
        try:
            write(*what)
        except JournalFull as bad:
            self.telemetry.trouble("journal.full", error=str(bad))
            return False
        return True

    # The machine list ----------------------------------------------------------------------------

    async def follow(self, source: ListSource) -> None:
        """Ask for the machine list whenever the module wants it, and pass on what it tells.

        Where lists are pushed the module never asks: they are followed from the start, and anew after each failure.
        Whatever fails, the source is asked again: a list that goes quiet for good would break drains for good.
        """
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        began = loop.time()
        while True:
            # The module's word may be lost, by a fault of its own or of whoever was to pass it on; and its gaps, made
            # for an outage, are too long for an address that was given just now.
            due = max(began + ASK_AT_LAST_S, loop.time() + WORD_S)
            if loop.time() < self._moved_until:
                due = loop.time() + NEW_AGAIN_S * (0.5 + self._jitter())
            with suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await self._asked.wait()
            self._asked.clear()
            began = loop.time()
            try:
                await self._follow_once(source)
            except SourceFailed as bad:
                self.telemetry.trouble("machinelist.failed", error=str(bad))
            except asyncio.CancelledError:
                if task is None or task.cancelling():
                    raise
                self.telemetry.trouble("machinelist.fault", error="the source was cancelled")
            except Exception as bad:  # a fault of the source, or of what takes the list in
                self.telemetry.trouble("machinelist.fault", error=repr(bad))
            self.desk.tell(ListFailed())
            if not self.settings.must_ask:
                await asyncio.sleep(AGENT_AGAIN_S)
                self._asked.set()

    async def _follow_once(self, source: ListSource) -> None:
        """Pass on what the source tells until it fails or ends."""
        async with aclosing(source.follow()) as updates:  # type: ignore[type-var]
            async for update in updates:
                if update.machines or update.whole or update.rev != self.machines.rev:
                    self.telemetry.log("list", rev=update.rev, whole=update.whole, n=len(update.machines))
                for uid in self._feed.take(update):
                    self.transport.unlink(uid)
                self._tell_slice()
                self.listed.set()

    def _tell_slice(self, rest: bool = False) -> None:
        """Tell the module what is most urgent; what is left follows in slices, messages in between.

        The rest is no sign that a watch is open: meanwhile it may have failed, and the module has to ask.
        """
        if (part := self._feed.next()) is None:  # a large list as it was known: a watch is open all the same
            self.desk.tell(ListNews([], whole=False, remembered=rest))
            return
        self.desk.tell(replace(part.news, remembered=rest))
        if part.update.machines or part.update.whole:
            self._record(self.journal.keep_machines, part.update)
        if len(self._feed) and not self._feeding:
            self._feeding = True
            self._begin(self._tell_rest())

    async def _tell_rest(self) -> None:
        large = len(self._feed) >= LARGE
        if large:
            Calm.begin()
        try:
            while len(self._feed):
                await asyncio.sleep(SLICE_S)
                try:
                    self._tell_slice(rest=True)
                except Exception as bad:  # what is left must not wait for the next change
                    self.telemetry.trouble("machinelist.fault", error=repr(bad))
        finally:
            self._feeding = False
            if large:
                Calm.end()

    def ask(self) -> None:
        """Ask for the machine list now, whatever the module waits for: its source has moved."""
        self._asked.set()
        self._moved_until = asyncio.get_running_loop().time() + NEW_S

    # Start and stop ------------------------------------------------------------------------------

    def recover(self, helds: list[Held] | None = None) -> None:
        """Begin again the lives that the last process left: all held, or those adopted from another slot.

        The module serves what it hears of first before the rest: so the first to expire go first.
        """
        for held in first_to_expire(self.journal.held.values()) if helds is None else helds:
            self.telemetry.count("core.recovered")
            self._begin(self.resume(held))

    def share(self, relays: int) -> None:
        """Tell the module how many senders share a partner's limit."""
        self.desk.tell(Sharing(relays))

    def hear_waits(self) -> None:
        """Tell the module of the waits that the other process of this sender was told since the last look."""
        try:
            heard = self.waits.look(self.desk.clock()) if self.waits else {}
        except OSError as bad:
            self.telemetry.trouble("core.waits_unread", error=str(bad))
            return
        for dest, until in heard.items():
            self.telemetry.count("core.waits_heard")
            self.desk.tell(WaitHeard(dest, until))

    def stopping(self, ends: float) -> None:
        """Tell the module by when claims have to end; none begins after that."""
        self._ends = ends
        self.desk.tell(Stopping(ends))

    def quiet(self) -> bool:
        """Whether no claim is out."""
        return all(seat.claim is None for seat in self.desk.seats.values())

    async def abandon(self) -> None:
        """Call off the claims that are out, and leave all lives where they are then; the journal keeps them."""
        self._abandoned, self._ends = True, -math.inf
        self.desk.close()
        for life in self._lives:
            life.cancel()
        await asyncio.gather(*self._lives, return_exceptions=True)

    def _begin(self, life: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(life)
        self._lives.add(task)
        task.add_done_callback(self._ended_life)
        return task

    def _ended_life(self, task: asyncio.Task[None]) -> None:
        self._lives.discard(task)
        if not task.cancelled() and (bad := task.exception()):
            self.telemetry.trouble("core.fault", error=repr(bad))


def _word(outcome: Outcome) -> str:
    """An outcome as it stands in logs and counters."""
    return outcome.value.replace(" ", "_")


def _arrival(message: Message) -> Arrived:
    return Arrived(message.id, message.dest, message.cls, message.expires, message.order_key, message.tenant)


def _result(claim: asyncio.Task[ClaimResult], telemetry: Telemetry) -> ClaimResult:
    """The outcome of a claim, also where it was called off before it began or its transport failed."""
    if claim.cancelled():
        return ClaimResult(Outcome.NOT_SENT)
    if bad := claim.exception():
        telemetry.trouble("nodes.fault", error=repr(bad))
        return ClaimResult(Outcome.BROKEN)
    return claim.result()
