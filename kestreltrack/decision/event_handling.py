"""Dispatches events to the decision modules, and handles messages from their arrival to the final answer.

Thresholds and choices belong in the modules that `deploy/balancer.toml` lists under `policy`, not here.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from kestreltrack.decision import (
    circuit_breaker,
    discovery_polling,
    endpoint_selection,
    evidence,
    fair_queue,
    message_rules,
)
from kestreltrack.decision.actions import Action, FailMessage, RejectMessage
from kestreltrack.decision.endpoint_setup import new_endpoint
from kestreltrack.decision.events import (
    AttemptEnded,
    DiscoveryFailed,
    EndpointEntry,
    EndpointsUpdated,
    Event,
    HealthReported,
    MessageArrived,
    MessageWithdrawn,
    OrderedElsewhere,
    QuotaLeased,
    RetryAfterReceived,
    SenderCountChanged,
    ShutdownStarted,
    TimerExpired,
)
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.records import Call, Destination, Endpoint, Message
from kestreltrack.decision.state import DeliveryState


class EventHandler(DeliveryState):
    """A state that handles events; `Policy` decides which actions follow."""

    def step(self, now: float, events: Iterable[Event]) -> Sequence[Action]:
        """Handle events, and return the actions that follow."""
        for event in events:
            self.handle(now, event)
        return self.decide(now)

    def decide(self, now: float) -> Sequence[Action]:
        """Return the actions that follow from the events since the last decision, in order."""
        raise NotImplementedError

    def handle(self, now: float, event: Event) -> None:
        """Handle an event; raises `ValueError` if the clock would go backwards."""
        self.advance(now)
        match event:
            case MessageArrived():
                self._handle_arrival(event)
            case AttemptEnded():
                if (event.id, event.attempt) in self.calls:
                    self._handle_attempt_end(event)
            case TimerExpired():
                self.timer_is_set = False
            case MessageWithdrawn():
                self.remove_message(event.id)
            case ShutdownStarted():
                self.shutdown_deadline = event.deadline
            case EndpointsUpdated():
                for endpoint in self.update_endpoints(event, self._new_endpoint):
                    circuit_breaker.warm_up_after_draining(endpoint, self.now)
            case DiscoveryFailed():
                discovery_polling.handle_failure(self)
            case _:
                self._handle_shared_evidence(event)

    def _handle_shared_evidence(
        self,
        event: SenderCountChanged | RetryAfterReceived | QuotaLeased | HealthReported | OrderedElsewhere,
    ) -> None:
        """Handle an event that stems from other senders, or from the other process of this one."""
        match event:
            case SenderCountChanged():
                self.set_sender_count(event)
            case RetryAfterReceived():
                evidence.apply_retry_after(self, event)
                self.destination(event.dest).endpoints.invalidate_selectable()
            case QuotaLeased():
                evidence.apply_quota_lease(self, event)
            case HealthReported():
                evidence.apply_health_report(self, event)
            case OrderedElsewhere():
                self.track_elsewhere(event)

    def _new_endpoint(self, entry: EndpointEntry, destination: Destination) -> Endpoint:
        return new_endpoint(entry, destination, self.settings, self.random.random())

    def _handle_arrival(self, event: MessageArrived) -> None:
        """Queue a message and assign its tags, or give its final answer at once."""
        destination = self.destination(event.dest)
        class_settings = self.settings.classes[event.cls]
        self.sequence += 1
        message = Message(event, class_settings, destination, self.sequence)
        message.protected_until = self.now + message_rules.PROTECTED_SHARE * (event.expires - self.now)
        self.enqueue(message, event.dest, event.key)
        if event.attempts:
            circuit_breaker.suspect_after_restart(destination)
        self.schedule_expiry(message, message_rules.give_up_at(message))
        reason = message_rules.final_reason(self, message) or message_rules.rejection_reason(self, message)
        if reason:
            self._give_final_answer(message, reason)
        else:
            fair_queue.assign_tags(self, message)

    def _handle_attempt_end(self, event: AttemptEnded) -> None:
        """Evaluate an ended attempt, and queue its message again unless it has its final answer."""
        call = self.end_attempt(event)
        if event.outcome is not Outcome.NOT_SENT:
            evidence.learn_from_attempt(self, call, event)
        endpoint_selection.close_surplus_connections(self, call.endpoint)
        message = self.messages.get(event.id)
        if message is None or event.final:
            self.remove_message(event.id)
            return
        self.requeue(message, call, event)
        if event.outcome is Outcome.NOT_SENT:
            # Whatever prevented the attempt would prevent an immediate one as well.
            message.retry_not_before = self.now + circuit_breaker.FIRST_PAUSE_MS
        self.schedule_expiry(message, message_rules.give_up_at(message))
        reason = message_rules.final_reason(self, message)
        if reason:
            self._give_final_answer(message, reason)

    def _give_final_answer(self, message: Message, reason: str) -> None:
        """Hand a message back or fail it; a tracing subclass reports the reason."""
        if message_rules.safe_to_retry(message):
            self.actions.append(RejectMessage(message.id, self.settings.max_retry_after_ms))
        else:
            self.actions.append(FailMessage(message.id))
        self.remove_message(message.id)

    def _handle_overdue(self, call: Call, overdue_factor: float) -> None:
        """Handle a call without an answer; a tracing subclass reports what is cancelled."""
        circuit_breaker.handle_overdue(self, call, overdue_factor)
