"""The state of the decision module, with methods that add, move and remove records but decide nothing."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import replace

from kestreltrack.decision.actions import Action, StartAttempt
from kestreltrack.decision.arithmetic import NEVER, UNLIMITED
from kestreltrack.decision.events import (
    AttemptEnded,
    ElsewhereProgress,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    OrderedElsewhere,
    SenderCountChanged,
)
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.records import (
    Call,
    Destination,
    Endpoint,
    EndpointTable,
    KeyQueue,
    Message,
)
from kestreltrack.decision.settings import Settings


class DeliveryState:
    """The messages, calls and destinations of one sender, and the actions that have not been taken yet."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = NEVER
        # Total shift of the virtual time of the fair queue.
        self.virtual_time_shift = 0.0
        self.in_flight = 0
        self.destinations = dict[int, Destination]()
        # Destinations with queued messages or calls in flight; a step visits only these.
        self.active_destinations = dict[int, Destination]()
        self.key_queues = dict[int, KeyQueue]()
        self.messages = dict[str, Message]()
        # Time at which a message may have to be given up, its sequence number and its id.
        self.expiry_heap = list[tuple[float, int, str]]()
        # Sequence number of the newest message.
        self.sequence = 0
        self.calls = dict[tuple[str, int], tuple[Call, KeyQueue | None]]()
        self.actions = list[Action]()
        self.shutdown_deadline = UNLIMITED
        # Kinds of destinations whose connections were exhausted.
        self.scarce_connection_kinds = set[str]()
        # Destinations with endpoints that have left the list.
        self.draining_destinations = set[int]()
        self.timer_is_set = False
        # Whether service discovery reports changes without being polled again.
        self.subscribed = not settings.must_poll
        self.next_poll_at = NEVER
        self.poll_backoff_ms = 0.0

    def advance(self, now: float) -> None:
        """Advance the clock; raises `ValueError` if it would go backwards."""
        if now < self.now:
            raise ValueError(f"time went backwards: {now} after {self.now}")
        self.now = now

    def destination(self, number: int) -> Destination:
        """Return a destination, creating it if it is not known."""
        return self.destinations.setdefault(number, Destination())

    def enqueue(self, message: Message, number: int, key: int | None) -> None:
        """Add a new message to the queue of its destination, and to that of its ordering key if any."""
        self.messages[message.id] = message
        if message.class_settings.in_order and key is not None:
            message.key_queue = self.key_queues.setdefault(key, KeyQueue())
            # One that the other process had accepted keeps its place.
            message.key_queue.messages[message.id] = message
            message.key_queue.in_flight_elsewhere.discard(message.id)
        destination = message.destination
        if number not in self.active_destinations:
            self.active_destinations[number] = destination
            if destination.virtual_time_shift != self.virtual_time_shift:
                destination.tokens = UNLIMITED  # refilled while it was idle
        destination.queued[message.id] = message
        destination.arrivals += 1

    def calls_older_than(self, destination: Destination, age_ms: float) -> list[Call]:
        """Return the calls in flight to a destination that are at least this old."""
        if not destination.in_flight:
            return []
        calls = [call for endpoint in destination.endpoints.selectable() for call in endpoint.calls]
        return [call for call in calls if self.now - call.started_at >= age_ms]

    def schedule_expiry(self, message: Message, at: float) -> None:
        """Schedule a check of whether the message has to be given up."""
        heapq.heappush(self.expiry_heap, (at, message.sequence, message.id))

    def pop_due(self) -> Iterator[Message]:
        """Yield the queued messages whose check is due; the end of an attempt in flight schedules its next."""
        while self.expiry_heap and self.expiry_heap[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.expiry_heap)[2])
            if message is not None and message.id in message.destination.queued:
                yield message

    def remove_message(self, message_id: str) -> None:
        """Remove a message that has ended; its attempts in flight still block its ordering key."""
        message = self.messages.pop(message_id, None)
        if message is not None:
            message.destination.queued.pop(message_id, None)
            if message.key_queue is not None:
                message.key_queue.messages.pop(message_id, None)

    def start_call(self, endpoint: Endpoint) -> Call:
        """Start a call now and return it."""
        call = Call(endpoint, self.now)
        endpoint.start_call(call, self.settings.requests_per_connection, self.settings.keepalive_ms)
        self.in_flight += 1
        endpoint.destination.in_flight += 1
        return call

    def start_attempt(self, call: Call, message: Message, timeout_ms: float) -> None:
        """Start an attempt of a queued message as part of a call."""
        del message.destination.queued[message.id]
        call.attempts[message.id] = message.attempts
        self.calls[message.id, message.attempts] = (call, message.key_queue)
        if message.key_queue is not None:
            message.key_queue.in_flight += 1
        message.attempts += 1
        self.actions.append(StartAttempt(message.id, call.endpoint.name, timeout_ms))

    def end_attempt(self, event: AttemptEnded) -> Call:
        """End an attempt and return its call, which ends with its last attempt."""
        call, key_queue = self.calls.pop((event.id, event.attempt))
        del call.attempts[event.id]
        if not call.attempts:
            self.in_flight -= 1
            call.endpoint.destination.in_flight -= 1
            del call.endpoint.calls[call]
            call.overdue = True
        if key_queue is not None:
            key_queue.in_flight -= 1
            if event.outcome.may_still_execute():
                key_queue.settle(event.id, self.now + self.settings.safety.settle_ms)
        return call

    def track_elsewhere(self, event: OrderedElsewhere) -> None:
        """Apply the progress of a message that the other process of this sender has accepted."""
        key_queue = self.key_queues.setdefault(event.key, KeyQueue())
        key_queue.in_flight_elsewhere.discard(event.id)
        if event.progress is ElsewhereProgress.ENDED:
            if key_queue.messages.get(event.id, self) is None:
                del key_queue.messages[event.id]
            return
        key_queue.insert_elsewhere(event.id, event.before)
        if event.progress is ElsewhereProgress.IN_FLIGHT:
            key_queue.in_flight_elsewhere.add(event.id)
        elif event.progress is ElsewhereProgress.UNCERTAIN:
            key_queue.settle(event.id, self.now + self.settings.safety.settle_ms)

    def requeue(self, message: Message, call: Call, event: AttemptEnded) -> None:
        """Return a message to the queue of its destination after an attempt."""
        message.destination.queued[message.id] = message
        if event.outcome.may_have_executed():
            message.mark_ambiguous(call.started_at, call.endpoint.zone)
        if event.outcome is Outcome.NOT_SENT and not event.counted:
            message.uncounted_attempts += 1

    def set_sender_count(self, event: SenderCountChanged) -> None:
        """Set the number of senders that share the limits of all destinations."""
        self.settings = replace(self.settings, sender_count=event.sender_count)
        for destination in self.destinations.values():
            for endpoint in destination.endpoints.values():
                for limits in endpoint.limits:
                    limits.sender_count = event.sender_count

    def update_endpoints(
        self, update: EndpointsUpdated, new_endpoint: Callable[[EndpointEntry, Destination], Endpoint]
    ) -> list[Endpoint]:
        """Apply an endpoint list or its changes; a cached list does not show that discovery works.

        Returns the endpoints that were draining and accept calls again.
        """
        if not update.cached:
            self.subscribed = True
            self.poll_backoff_ms = 0.0
        touched = {entry.dest for entry in update.entries} | self.draining_destinations
        draining = [endpoint for entry in update.entries for endpoint in self._draining_endpoint(entry)]
        if update.complete:
            touched.update(self.destinations)
            for destination in self.destinations.values():
                for endpoint in destination.endpoints.values():
                    endpoint.accepts_calls = False
                    endpoint.listed = False
        for entry in update.entries:
            destination = self.destination(entry.dest)
            if entry.endpoint not in destination.endpoints:
                destination.endpoints[entry.endpoint] = new_endpoint(entry, destination)
            endpoint = destination.endpoints[entry.endpoint]
            endpoint.accepts_calls = entry.lifecycle is EndpointLifecycle.UP
            endpoint.listed = entry.lifecycle is not EndpointLifecycle.REMOVED
        for number in touched:
            self._forget_removed_endpoints(number)
        return [endpoint for endpoint in draining if endpoint.accepts_calls]

    def _draining_endpoint(self, entry: EndpointEntry) -> list[Endpoint]:
        """Return the endpoint of an entry if it is known as draining, or an empty list."""
        destination = self.destinations.get(entry.dest)
        endpoint = destination.endpoints.get(entry.endpoint) if destination else None
        return [endpoint] if endpoint and endpoint.listed and not endpoint.accepts_calls else []

    def _forget_removed_endpoints(self, number: int) -> None:
        """Remove unlisted endpoints without calls or retry-after, as endpoints are replaced continually."""
        destination = self.destinations.get(number, Destination())
        destination.endpoints = EndpointTable(
            (name, endpoint)
            for name, endpoint in destination.endpoints.items()
            if endpoint.listed or endpoint.calls or endpoint.limits[0].retry_after_active(self.now)
        )
        if all(endpoint.listed for endpoint in destination.endpoints.values()):
            self.draining_destinations.discard(number)
        else:
            self.draining_destinations.add(number)

    def take_actions(self) -> list[Action]:
        """Return the actions that have been decided, and clear them."""
        actions = self.actions
        self.actions = []
        return actions

    def forget_idle(self) -> None:
        """Remove idle destinations and key queues, so that a step visits only those in use."""
        idle = [n for n, d in self.active_destinations.items() if not (d.queued or d.in_flight)]
        for number in idle:
            destination = self.active_destinations.pop(number)
            destination.virtual_time_shift = self.virtual_time_shift
            # Messages may name any number: destinations without endpoints would accumulate.
            if not (destination.endpoints or destination.limits or self.now < destination.retry_after_until):
                del self.destinations[number]
        # Only from time to time: a key may stay reserved after its last message.
        if len(self.key_queues) > 2 * len(self.messages) + 16:
            self.key_queues = {
                key: queue
                for key, queue in self.key_queues.items()
                if queue.messages or queue.is_blocked() or self.now < queue.settling_until
            }
