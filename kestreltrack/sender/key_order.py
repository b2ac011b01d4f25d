"""Keeps the order of ordering keys over the two processes of one sender during an upgrade (docs/upgrade.md).

Messages of one key are sent one at a time, in the order in which the sender accepted them, whichever process did.
Each process tells its decision module of the other's messages.  Both come to the same order: each message has a place
in the record that its process writes before it looks at the other's file for the last time before an attempt.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from kestreltrack.decision import ElsewhereProgress, OrderedElsewhere, Settings
from kestreltrack.journal import Journal, OrderedMessage, OutstandingMessage
from kestreltrack.journal.slot_lock import SLOTS
from kestreltrack.ports import Message
from kestreltrack.sender.dispatcher import Dispatcher

# Smallest distance between the places of two messages, in milliseconds.
PLACE_STEP_MS = 0.001

# A message precedes those of its key with a later place; the slot decides between processes.
Place = tuple[float, str]


class KeyOrder:
    """Follows the messages of the other process that have an ordering key, and gives places to those of this one."""

    def __init__(self, dispatcher: Dispatcher, journal: Journal, settings: Settings) -> None:
        self.dispatcher = dispatcher
        self.journal = journal
        self.settings = settings
        # The messages of the other process that the decision module knows, and those of this one.
        self._elsewhere = dict[str, OrderedMessage]()
        self._own = dict[str, tuple[int, float]]()
        # Until when each key rests after an attempt of the other process, and the message that may be sent.
        self._resting = dict[int, tuple[float, str]]()
        self._last_place = 0.0
        # While the other process's file is being taken over, it says nothing new.
        self._is_taking_over = False

    def is_waiting(self) -> bool:
        """Return whether the other process holds messages with an ordering key."""
        return bool(self._elsewhere)

    # Messages of this process --------------------------------------------------------------------

    def add(self, message: Message) -> float:
        """Return the place of a message that is about to arrive, behind all that are known."""
        if message.ordering_key is None:
            return 0.0
        self.receive()
        self._last_place = max(self.dispatcher.clock(), self._last_place + PLACE_STEP_MS)
        self._remember(message, self._last_place)
        return self._last_place

    def resume(self, outstanding: OutstandingMessage) -> None:
        """Remember the place of a message that an earlier process, or the other one, accepted."""
        message = outstanding.message
        if message.ordering_key is not None:
            self._remember(message, outstanding.accepted_at)
            self._elsewhere.pop(message.id, None)

    def drop(self, message_id: str) -> None:
        """Note that a message was taken over, and will not be sent by this process either."""
        forgotten = self._elsewhere.pop(message_id, None)
        if forgotten is not None:
            self.dispatcher.notify(OrderedElsewhere(message_id, forgotten.key, ElsewhereProgress.ENDED))

    def _remember(self, message: Message, place: float) -> None:
        assert message.ordering_key is not None
        pending = self.dispatcher.pending_messages
        if len(self._own) > 2 * len(pending) + 16:
            self._own = {id_: own for id_, own in self._own.items() if id_ in pending}
        self._own[message.id] = (message.ordering_key, place)
        self._last_place = max(self._last_place, place)

    def permits(self, message: Message) -> bool:
        """Return whether an attempt of a message may send its first byte, as far as the other process goes.

        Asked before the attempt is recorded, and again after that: of two processes that record attempts at the same
        time at least one sees the other's.
        """
        if message.ordering_key is None:
            return True
        self.receive()
        own_place = (self._own.get(message.id, (0, 0.0))[1], self.journal.slot)
        for other in self._elsewhere.values():
            if other.key == message.ordering_key and (other.in_flight or self._place(other) < own_place):
                return False
        rests_until, resting_message = self._resting.get(message.ordering_key, (0.0, ""))
        return self.dispatcher.clock() >= rests_until or resting_message == message.id

    # Messages of the other process ---------------------------------------------------------------

    def _place(self, other: OrderedMessage) -> Place:
        return other.accepted_at, next(slot for slot in SLOTS if slot != self.journal.slot)

    def receive(self) -> None:
        """Tell the decision module what the other process has recorded since the last call."""
        if self._is_taking_over:
            return
        current = self.journal.ordered_elsewhere()
        for message_id, key in self.journal.take_uncertain_attempts():
            if message_id in current:
                self._update(message_id, replace(current[message_id], in_flight=False))
            self._rest(message_id, key)
        for message_id, message in current.items():
            if message_id not in self.journal.outstanding:
                self._update(message_id, message)
        self._forget(message_id for message_id in list(self._elsewhere) if message_id not in current)

    def _update(self, message_id: str, message: OrderedMessage) -> None:
        known = self._elsewhere.get(message_id)
        if known is not None and known.in_flight == message.in_flight:
            return
        self._elsewhere[message_id] = replace(message)
        self._last_place = max(self._last_place, message.accepted_at)
        progress = ElsewhereProgress.IN_FLIGHT if message.in_flight else ElsewhereProgress.HELD
        before = "" if known else self._first_behind(message)
        self.dispatcher.notify(OrderedElsewhere(message_id, message.key, progress, before))

    def _first_behind(self, other: OrderedMessage) -> str:
        """Return the first message of this process that a message of the other one precedes."""
        behind = [
            (place, message_id)
            for message_id, (key, place) in self._own.items()
            if key == other.key
            and (place, self.journal.slot) > self._place(other)
            and message_id in self.dispatcher.pending_messages
        ]
        return min(behind)[1] if behind else ""

    def _rest(self, message_id: str, key: int) -> None:
        now_ms = self.dispatcher.clock()
        self._resting = {key_: rest for key_, rest in self._resting.items() if rest[0] > now_ms}
        self._resting[key] = (now_ms + self.settings.safety.settle_ms, message_id)
        self.dispatcher.notify(OrderedElsewhere(message_id, key, ElsewhereProgress.UNCERTAIN))
        if message_id not in self._elsewhere:  # it has ended since
            self.dispatcher.notify(OrderedElsewhere(message_id, key, ElsewhereProgress.ENDED))

    def _forget(self, message_ids: Iterable[str]) -> None:
        for message_id in message_ids:
            forgotten = self._elsewhere.pop(message_id)
            # A message that was taken over keeps its place until it arrives.
            if message_id not in self.journal.outstanding:
                self.dispatcher.notify(OrderedElsewhere(message_id, forgotten.key, ElsewhereProgress.ENDED))

    # Takeover ------------------------------------------------------------------------------------

    def start_takeover(self) -> None:
        """Note that the other process has ended: its attempts may still execute, and nothing else follows."""
        if self._is_taking_over:
            return
        self.receive()
        self._is_taking_over = True
        for message_id, message in list(self._elsewhere.items()):
            if message.in_flight:
                message.in_flight = False
                self._rest(message_id, message.key)

    def end_takeover(self) -> None:
        """Note that no process is being taken over: its messages are, or another process has its file by now."""
        if self._is_taking_over:
            self._is_taking_over = False
            self.receive()
