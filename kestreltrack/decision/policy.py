"""The decisions of one sender, which `docs/design.md` describes.

The interface consists of `settings.py`, `events.py`, `actions.py` and `outcomes.py`.
"""

from collections.abc import Sequence

from kestreltrack.decision import circuit_breaker, endpoint_selection, fair_queue, message_rules
from kestreltrack.decision.actions import Action, SetTimer
from kestreltrack.decision.discovery_polling import poll_if_due
from kestreltrack.decision.event_handling import EventHandler
from kestreltrack.decision.records import Destination, Message

# Interval at which overdue calls, expiry and pauses are checked; short compared with any latency objective.
TICK_MS = 50.0
# Largest share of the slots that one destination may take.
MAX_SLOT_SHARE = 0.75
MAX_SLOT_SHARE_UNHEALTHY = 0.5
# Time that must be left before a shutdown, in mean latencies, within which most calls end.
SHUTDOWN_LATENCIES = 3.0


class Policy(EventHandler):
    """The decisions of one sender: `step` handles events and returns the actions that follow."""

    def decide(self, now: float) -> Sequence[Action]:
        """Return the actions that follow from the events since the last decision, in order."""
        self.advance(now)
        poll_if_due(self)
        self._handle_overdue_calls()
        self._give_up_messages()
        self._dispatch()
        self.forget_idle()
        if not self.timer_is_set and (self.messages or self.calls or not self.subscribed):
            self.timer_is_set = True
            self.actions.append(SetTimer(TICK_MS, 0))
        return self.take_actions()

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Return whether an attempt may still be sent, checked again once it has a connection."""
        endpoint = self.destinations[dest].endpoints.get(endpoint_name) if dest in self.destinations else None
        return bool(endpoint and endpoint.accepts_calls and not endpoint.limits[0].retry_after_active(now))

    def blocking_rule(self, destination: Destination) -> str:
        """Return the rule that blocks all messages of a destination now, or an empty text."""
        share = MAX_SLOT_SHARE_UNHEALTHY if destination.unhealthy else MAX_SLOT_SHARE
        if destination.in_flight >= max(1, int(self.settings.concurrency_limit * share)):
            return "cap"
        if self.now + SHUTDOWN_LATENCIES * destination.usual_latency_ms() > self.shutdown_deadline:
            return "stopping"
        # Limits that the endpoints share are checked once for all of them, which is enough in most steps.
        limits = destination.limits
        return endpoint_selection.blocking_rule(limits, self.now) if limits else ""

    def _handle_overdue_calls(self) -> None:
        for destination in self.active_destinations.values():
            destination.unhealthy = destination.has_unhealthy_endpoint()
            overdue_ms = circuit_breaker.overdue_after_ms(destination)
            for call in self.calls_older_than(destination, overdue_ms):
                destination.unhealthy = True
                self._handle_overdue(call, (self.now - call.started_at) / overdue_ms)

    def _give_up_messages(self) -> None:
        for message in self.pop_due():
            if message_rules.give_up_at(message) <= self.now:
                self._give_final_answer(message, "no time")
            else:  # its destination has become faster, which leaves more time
                self.schedule_expiry(message, message_rules.give_up_at(message))
        while (message_to_shed := message_rules.message_to_shed(self)) is not None:
            self._give_final_answer(message_to_shed, "hold full")

    def _dispatch(self) -> None:
        if self.in_flight >= self.settings.concurrency_limit:
            return
        waiting = [destination for destination in self.active_destinations.values() if destination.queued]
        first_messages = {id(destination): self._first_message(destination) for destination in waiting}
        while self.in_flight < self.settings.concurrency_limit:
            ready = [message for message in first_messages.values() if message]
            eligible = [m for m in ready if m.start_tag <= self.now + self.virtual_time_shift]
            if eligible:
                message = min(eligible, key=lambda m: m.finish_tag)
                # A call changes no other destination, so only this first message is selected again.
                self._start_call(message)
                first_messages[id(message.destination)] = self._first_message(message.destination)
            elif ready:
                fair_queue.synchronize(self, ready)
                first_messages = {
                    id(destination): self._first_message(destination) for destination in waiting
                }
            else:
                return

    def _first_message(self, destination: Destination) -> Message | None:
        if self.blocking_rule(destination):
            return None
        ready = endpoint_selection.ready_endpoints(destination, self.now)
        return fair_queue.first_message(self, destination, ready) if ready else None

    def _start_call(self, first: Message) -> None:
        # One call to the best endpoint, with further messages up to the maximum batch size.
        endpoint = endpoint_selection.best_endpoint(self, first)
        capacity = 1 if endpoint.is_unhealthy() else endpoint.max_batch_size
        call = self.start_call(endpoint)
        for limits in endpoint.limits:
            circuit_breaker.record_call(limits, call, self.now)
        others = sorted(first.destination.queued.values(), key=lambda m: m.finish_tag) if capacity > 1 else ()
        for message in (first, *(other for other in others if other is not first)):
            if len(call.attempts) < capacity and message_rules.may_be_sent(
                message, self.now, {endpoint.zone}
            ):
                timeout_ms = max(1.0, message.expires - message_rules.GIVE_UP_MS - self.now)
                self.start_attempt(call, message, timeout_ms)
