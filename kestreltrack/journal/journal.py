"""The durable journal of accepted messages, in the state folder (`$GW_STATE`), which persists across restarts.

The journal is one file of records (`codec.py`).  It is compacted before the file and its replacement together could
exceed the size of the folder.

Two processes share the folder during a graceful restart, while a new version starts beside the old one.  Each holds a
slot (`slot_lock.py`).  The new process uses a small part of the folder until the old one has ended and its messages
are taken over (`takeover.py`).  A long endpoint list would fill that part; it is stored once the old process, whose
file has one, has ended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.decision import Outcome
from kestreltrack.discovery.endpoint_list import comparable
from kestreltrack.journal.codec import (
    ListHead,
    encode_attempt_end,
    encode_attempt_start,
    encode_completion,
    encode_ended,
    encode_endpoints,
    encode_message,
    encode_pending_notification,
)
from kestreltrack.journal.ended_messages import EndedMessages, EndKind
from kestreltrack.journal.errors import JournalFullError
from kestreltrack.journal.journal_file import JournalFile
from kestreltrack.journal.other_process import OrderedMessage, OtherProcess
from kestreltrack.journal.records import AttemptStart, MessageCompleted, OutstandingMessage
from kestreltrack.journal.slot_lock import SLOTS, acquire_free_slot, other_slots_in_use
from kestreltrack.journal.state import LIFECYCLE_RESERVE_BYTES, JournalState
from kestreltrack.journal.takeover import AbandonedJournal
from kestreltrack.ports import EndpointListUpdate, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

# Share of the folder for the file together with its replacement; the rest is never used.
USABLE_SHARE = 0.7

# Share of the folder for the outstanding messages, so that the file has space to grow between two compactions.
OUTSTANDING_SHARE = 0.3

# Factor on both shares for a process that starts while another holds a slot: 0.7 and 0.3 * 0.7 of the folder fit.
SECOND_PROCESS_SHARE = 0.3

# The file must grow by this factor between two compactions.  While the messages of two processes are outstanding, the
# file and its replacement exceed the share, and otherwise every record would cause a compaction (97 compactions for
# 577 messages taken over).
MIN_COMPACTION_GROWTH = 1.25

# Share of the file for the ids of messages that ended a short time ago.
ENDED_SHARE = 0.07

# Share of the room for outstanding messages up to which the endpoint list is stored; a longer one is only held in
# memory, since messages would be rejected for want of room otherwise.
LIST_SHARE = 0.6

# The same for a process that starts while another holds a slot, whose file has a list.
SECOND_LIST_SHARE = 0.25

# Share of the room for outstanding messages by which the size of the endpoint list may be overestimated.
MAX_LIST_EXCESS_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Limits on the size of the file and of the outstanding messages, in bytes."""

    file_bytes: int
    outstanding_bytes: int

    def scaled(self, share: float) -> JournalLimits:
        """Return these limits multiplied by `share`."""
        return JournalLimits(int(self.file_bytes * share), int(self.outstanding_bytes * share))


class Journal(JournalState):
    """Appends records to the file of its slot, and keeps the state from which the file is compacted."""

    def __init__(self, folder: Path, folder_bytes: int, telemetry: Telemetry) -> None:
        """Lock a free slot, recover the messages of ended processes, and start a compacted file.

        Raises `JournalFullError` if running processes hold both slots, and `OSError` if the folder is not usable.
        """
        super().__init__(telemetry)
        self.folder = folder
        self._full_limits = JournalLimits(
            int(folder_bytes * USABLE_SHARE), int(folder_bytes * OUTSTANDING_SHARE)
        )
        self._slot_lock = acquire_free_slot(folder)
        self.slot = self._slot_lock.slot
        # Slots to take over as soon as their processes have ended.
        self.other_slots = other_slots_in_use(folder, self.slot)
        # Whether this process has a small part of the folder, because another runs.
        self._is_second = bool(self.other_slots)
        # Whether its endpoint list is stored only after the takeover.
        self._list_deferred = False
        self._set_limits(
            self._full_limits.scaled(SECOND_PROCESS_SHARE) if self._is_second else self._full_limits
        )
        self._file = JournalFile(folder, self.slot)
        self._others = [OtherProcess(folder / slot) for slot in SLOTS if slot != self.slot]
        # The number of endpoints in the list when it was too long to be stored.
        self._deferred_endpoints = 0
        # The endpoint lists of the files that were taken over, until they are asked for.
        self._taken_over_lists = list[EndpointListUpdate]()
        # Upper bound on the size of the encoded endpoint list: entries that a change replaces still count.
        self._endpoint_list_bytes = 0
        # The part of it that was added since the list was encoded as a whole.
        self._endpoint_change_bytes = 0
        self._compacted_bytes = 0
        self._recover_own_slot()
        self._compact()
        self._take_over_free_slots()

    @property
    def path(self) -> Path:
        """The file of this process's slot."""
        return self._file.path

    @property
    def file_bytes(self) -> int:
        """Size of the file in bytes."""
        return self._file.size_bytes

    def other_process_alive(self) -> bool:
        """Return whether another process of this sender is running, which continues when this one ends."""
        return bool(other_slots_in_use(self.folder, self.slot))

    def find_other_slots(self) -> None:
        """Add the slots that other processes have used since this one started to those to take over.

        A process that starts beside this one may end before it, and leave accepted messages.
        """
        for slot in SLOTS:
            if slot != self.slot and slot not in self.other_slots and (self.folder / slot).exists():
                self.other_slots.append(slot)

    def close(self) -> None:
        """Close the file and release the slot.  Nothing may be written afterwards."""
        self._file.close()
        self._slot_lock.release()

    def has_capacity_for(self, message: Message) -> bool:
        """Return whether there is space for all records of one more message, until its lifecycle ends."""
        needed_bytes = len(message.body) * 4 // 3 + LIFECYCLE_RESERVE_BYTES  # the body is stored as base64
        if self._available_bytes() >= needed_bytes:
            return True
        # While messages are rejected nothing is appended that would cause a compaction, which corrects the bound.
        if self._endpoint_change_bytes <= MAX_LIST_EXCESS_SHARE * self.max_outstanding_bytes:
            return False
        self._set_endpoint_list_bytes(len(self._encode_endpoint_list()))
        return self._available_bytes() >= needed_bytes

    def _available_bytes(self) -> int:
        return self.max_outstanding_bytes - self._outstanding_bytes - self._endpoint_list_bytes

    def _encode_endpoint_list(self) -> bytes:
        endpoints = self.endpoints
        return b"" if endpoints is None else encode_endpoints(endpoints)

    def _set_endpoint_list_bytes(self, encoded_bytes: int) -> None:
        self._endpoint_list_bytes = encoded_bytes
        self._endpoint_change_bytes = 0

    def record_accepted(self, message: Message, accepted_at: float = 0.0) -> OutstandingMessage:
        """Record an accepted message; `accepted_at` is its place among the messages of its ordering key.

        Raises `JournalFullError`, as do all methods that write a record.
        """
        outstanding = OutstandingMessage(message, accepted_at=accepted_at)
        line = encode_message(outstanding)
        self._append(line)
        self._add_outstanding(outstanding, len(line))
        return outstanding

    def record_attempt(
        self, outstanding: OutstandingMessage, started_ms: float, zone: str, *others: OutstandingMessage
    ) -> None:
        """Record an attempt before its first byte is sent, with those of `others` in the same request.

        Either all of them are recorded, in one write, or none.
        """
        starts = [(entry.message.id, AttemptStart(started_ms, zone)) for entry in (outstanding, *others)]
        self._append(b"".join([encode_attempt_start(message_id, start) for message_id, start in starts]))
        for message_id, start in starts:
            self._find_outstanding(message_id).start_attempt(start)

    def record_outcome(self, outstanding: OutstandingMessage, outcome: Outcome) -> None:
        """Record the outcome of the attempt in flight."""
        message_id = outstanding.message.id
        self._append(encode_attempt_end(message_id, outcome))
        self._find_outstanding(message_id).end_attempt(outcome)

    def record_pending_notification(self, notification: StatusNotification) -> None:
        """Record a status notification that the platform has not received yet."""
        self._append(encode_pending_notification(notification))
        self._set_pending_notification(notification)

    def record_completed(
        self,
        outstanding: OutstandingMessage,
        ended_at_ms: float | None = None,
        kind: EndKind = EndKind.ANSWERED,
    ) -> None:
        """Record that the lifecycle of a message has ended and no notification is pending.

        With the time `ended_at_ms`, on the sender's clock, its id is remembered; without, it may be submitted again.
        """
        completed = MessageCompleted(outstanding.message.id, ended_at_ms, kind)
        self._append(encode_completion(completed))
        self._remove_outstanding(completed.message_id)
        self._remember_end(completed)

    def is_outstanding_elsewhere(self, message_id: str) -> bool:
        """Return whether another process of this sender has accepted a message and not ended it yet."""
        self._refresh_others()
        return any(message_id in other.outstanding for other in self._others)

    def find_end(self, message_id: str, now_ms: float) -> EndKind | None:
        """Return how a message ended a short time ago, in whatever process of this sender; `None` if it did not."""
        kind = self.ended.find(message_id, now_ms)
        if kind is not None:
            return kind
        kinds = (other.ended.find(message_id, now_ms) for other in self._others)
        return next(filter(None, kinds), None)

    def ordered_elsewhere(self) -> dict[str, OrderedMessage]:
        """Return the outstanding messages of the other process that have an ordering key, by id."""
        self._refresh_others()
        return {id_: message for other in self._others for id_, message in other.ordered.items()}

    def take_uncertain_attempts(self) -> list[tuple[str, int]]:
        """Return the ids and ordering keys of attempts that the other process ended since the last call.

        Only those that may still execute are returned.
        """
        taken = list[tuple[str, int]]()
        for other in self._others:
            taken += other.uncertain_attempts
            other.uncertain_attempts.clear()
        return taken

    def take_endpoint_updates(
        self, is_news: Callable[[ListHead], bool] = lambda head: True
    ) -> list[EndpointListUpdate]:
        """Return the endpoint lists and changes that other processes of this sender were told, oldest first.

        Those are what the other process has recorded since the last call, while it is running, and the list in each
        file that was taken over.  Complete lists that are no news are left out.
        """
        self._refresh_others()
        taken, self._taken_over_lists = self._taken_over_lists, []
        for other in self._others:
            taken += other.take_endpoint_updates(is_news)
        return taken

    def _refresh_others(self) -> None:
        for other in self._others:
            try:
                other.refresh()
            except OSError as error:
                self.telemetry.record_fault("journal.other_unreadable", path=other.path, error=str(error))

    def record_endpoints(self, update: EndpointListUpdate) -> None:
        """Record the complete endpoint list, or changes to it."""
        line = encode_endpoints(update)
        if not self._has_room_for_list(len(line), update.complete):
            self._update_endpoints(update)
            self._defer_list()
            return
        self._append(line)
        self._update_endpoints(update)
        if update.complete:
            self._set_endpoint_list_bytes(len(line))
        else:
            self._endpoint_list_bytes += len(line)
            self._endpoint_change_bytes += len(line)

    def _max_list_bytes(self) -> int:
        share = SECOND_LIST_SHARE if self._is_second else LIST_SHARE
        return int(share * self.max_outstanding_bytes)

    def _has_room_for_list(self, line_bytes: int, is_complete: bool) -> bool:
        """Return whether the list leaves enough room for messages after an update of this size."""
        if self._list_deferred:
            return False
        if is_complete:
            return line_bytes <= self._max_list_bytes()
        if line_bytes + self._endpoint_list_bytes > self._max_list_bytes():
            self._set_endpoint_list_bytes(len(self._encode_endpoint_list()))
        return line_bytes + self._endpoint_list_bytes <= self._max_list_bytes()

    def _defer_list(self) -> None:
        """Keep the endpoint list in memory alone until there is room for it; a part that is stored is dropped."""
        if self._list_deferred:
            self._store_shorter_list()
            return
        self._list_deferred = True
        if not self._is_second:
            self._record_list_not_stored()
        if self._endpoint_list_bytes:
            self._compact()

    def _record_list_not_stored(self) -> None:
        self._deferred_endpoints = self._listed_endpoints()
        self.telemetry.record_fault(
            "journal.list_not_stored",
            error="the endpoint list is too long for the state folder",
            endpoints=self._deferred_endpoints,
        )

    def _store_shorter_list(self) -> None:
        """Store a list that was too long once it is shorter than it was then, if it fits now."""
        if self._is_second or self._listed_endpoints() >= self._deferred_endpoints:
            return
        self._deferred_endpoints = self._listed_endpoints()
        if len(self._encode_endpoint_list()) <= self._max_list_bytes():
            self._list_deferred = False
            self._compact()

    def _listed_endpoints(self) -> int:
        return 0 if self._endpoint_list is None else len(self._endpoint_list)

    def _append(self, data: bytes) -> None:
        file = self._file
        if not file.is_open:
            raise JournalFullError("the journal is closed")
        # Compact while the old file and a new one with all outstanding messages still fit.
        bytes_with_replacement = file.size_bytes + len(data) + self._state_bytes()
        if (
            bytes_with_replacement > self.max_file_bytes
            and file.size_bytes > MIN_COMPACTION_GROWTH * self._compacted_bytes
        ):
            self._compact()
        if file.size_bytes + len(data) > self.max_file_bytes:
            raise JournalFullError(
                "the state folder is full: enlarge it, or wait until messages are completed"
            )
        file.append(data)

    def _compact(self) -> None:
        """Replace the file by one that contains only the current state."""
        lines = {message_id: encode_message(entry) for message_id, entry in self.outstanding.items()}
        endpoint_line = b"" if self._list_deferred else self._encode_endpoint_list()
        self._file.replace(b"".join((endpoint_line, encode_ended(self.ended), *lines.values())))
        self._compacted_bytes = self._file.size_bytes
        self._set_endpoint_list_bytes(len(endpoint_line))
        self._outstanding_bytes = 0
        for message_id, line in lines.items():
            self._add_outstanding(self.outstanding[message_id], len(line))
        self.telemetry.count("journal.compactions")

    def _state_bytes(self) -> int:
        """Return the size of a file that contains only the current state."""
        return self._outstanding_bytes + self._endpoint_list_bytes + self.ended.encoded_bytes

    def _set_limits(self, limits: JournalLimits) -> None:
        self.max_file_bytes = limits.file_bytes
        self.max_outstanding_bytes = limits.outstanding_bytes
        self.ended.max_bytes = ENDED_SHARE * limits.file_bytes

    def _recover_own_slot(self) -> None:
        """Recover the state from the file that an earlier process left in this slot."""
        if self.path.exists():
            self.recover(self.split_lines(self.path.read_bytes()))
            self.restore_order()

    def _take_over_free_slots(self) -> None:
        """Take over the slots that no running process holds.

        If that fails, the remaining messages stay in the slot, and it is retried later like a running process's slot.
        """
        for slot in SLOTS:
            if slot == self.slot or slot in self.other_slots:
                continue
            try:
                steps = self.take_over(slot)
                if steps is not None:
                    for _ in steps:
                        pass
            except (JournalFullError, OSError) as error:
                self.telemetry.record_fault("journal.takeover_failed", slot=slot, error=str(error))
                self.other_slots.append(slot)

    def take_over(self, slot: str) -> Iterator[list[OutstandingMessage]] | None:
        """Take over the messages of another slot; return `None` while the process of that slot is running.

        Each step yields a batch of messages that this process owns from then on, in order of expiry
        (`takeover.py`).  A takeover can be interrupted and started again.

        Raises `JournalFullError` or `OSError`, as does each step.
        """
        abandoned = AbandonedJournal.open(self.folder, slot, self.telemetry)
        return None if abandoned is None else self._take_over(abandoned)

    def _take_over(self, abandoned: AbandonedJournal) -> Iterator[list[OutstandingMessage]]:
        try:
            for _ in abandoned.read():
                yield []
            # First, because compacting the abandoned file drops its endpoint list.
            self._take_over_endpoints(abandoned.state.endpoints)
            self._take_over_ended(abandoned.state.ended)
            for _ in abandoned.compact(self.outstanding):
                yield []
            self.max_outstanding_bytes = self._full_limits.outstanding_bytes
            while batch := abandoned.next_batch():
                self._take_over_batch(abandoned, batch)
                yield [outstanding for outstanding, _ in batch]
        finally:
            abandoned.close()
        self._finish_takeover(abandoned.slot)

    def _take_over_endpoints(self, endpoints: EndpointListUpdate | None) -> None:
        """Record the endpoint list of another slot if it is newer; a deferred list is written as well."""
        if endpoints is not None:
            self._taken_over_lists.append(endpoints)
        try:
            if endpoints is not None and self._is_newer_list(endpoints):
                self.record_endpoints(endpoints)
            if self._list_deferred and self._is_second:
                self._append(self._encode_endpoint_list())  # counted at the end of the takeover
        except JournalFullError as error:  # go on: the messages matter more than the list
            self.telemetry.record_fault("journal.full", error=str(error))

    def _is_newer_list(self, endpoints: EndpointListUpdate) -> bool:
        own = self._endpoint_list
        if own is None:
            return True
        return comparable(own.source, endpoints.source) and endpoints.revision > own.revision

    def _take_over_ended(self, ended: EndedMessages) -> None:
        """Remember the messages that ended in another process; its file is about to drop them."""
        self.ended.update(ended.items())
        try:
            self._append(encode_ended(self.ended))
        except JournalFullError as error:  # go on: they are remembered by this process
            self.telemetry.record_fault("journal.full", error=str(error))

    def _take_over_batch(
        self, abandoned: AbandonedJournal, batch: list[tuple[OutstandingMessage, bytes]]
    ) -> None:
        """Copy messages into this file and remove them from the abandoned one."""
        # The limit for both files together stays the same: this file may grow as the abandoned one shrinks.
        both_files_bytes = int(self._full_limits.file_bytes * (1.0 + SECOND_PROCESS_SHARE))
        available_bytes = min(both_files_bytes - abandoned.file_bytes, self._full_limits.file_bytes)
        self.max_file_bytes = max(self.max_file_bytes, available_bytes)
        self._append(b"".join([line for _, line in batch]))
        for outstanding, line in batch:
            self._add_outstanding(outstanding, len(line))
        abandoned.remove_batch()
        self.telemetry.count("journal.taken_over", len(batch))

    def _finish_takeover(self, slot: str) -> None:
        if slot in self.other_slots:
            self.other_slots.remove(slot)
        if not self.other_slots:
            self._set_limits(self._full_limits)
            self._is_second = False
            self._store_deferred_list()

    def _store_deferred_list(self) -> None:
        if not self._list_deferred:
            return
        if len(self._encode_endpoint_list()) > self._max_list_bytes():
            self._record_list_not_stored()
            return
        self._list_deferred = False
        self._compact()
