"""Decisions (interface: `settings.py`, `events.py`, `actions.py`, `outcomes.py`); see `docs/design.md`."""

from collections.abc import Sequence

from kestreltrack.decision import circuit_breaker, endpoint_selection, fair_queue, message_rules
from kestreltrack.decision.actions import Action, SetTimer
from kestreltrack.decision.discovery_polling import poll_if_due
from kestreltrack.decision.event_handling import EventHandler
from kestreltrack.decision.records import Destination, Message

TICK_MS = 50.0  # how often silence, expiry and pauses are looked at: small beside any latency objective
MAX_SLOT_SHARE, MAX_SLOT_SHARE_UNHEALTHY = 0.75, 0.5  # of the slots for one destination
SHUTDOWN_LATENCIES = 3.0  # mean latencies that must be left before a shutdown: most calls end within them


class Policy(EventHandler):
    """The decisions of one sender: `step` takes the events of a moment and returns the actions."""

    def decide(self, now: float) -> Sequence[Action]:
        """Return the actions about all that was handled since the last decision, in order."""
        self.advance(now)
        poll_if_due(self)
        self._watch_calls()
        self._give_up()
        self._dispatch()
        self.forget_idle()
        if not self.timer_is_set and (self.messages or self.calls or not self.subscribed):
            self.timer_is_set = True
            self.actions.append(SetTimer(TICK_MS, 0))
        return self.take_actions()

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Return whether an attempt may still go, which is asked again once its connection is up."""
        endpoint = self.destinations[dest].endpoints.get(endpoint_name) if dest in self.destinations else None
        return bool(endpoint and endpoint.accepts_calls and not endpoint.limits[0].retry_after_active(now))

    def blocking_rule(self, destination: Destination) -> str:
        """Return what keeps all messages of a destination from going now, or nothing."""
        share = MAX_SLOT_SHARE_UNHEALTHY if destination.unhealthy else MAX_SLOT_SHARE
        if destination.in_flight >= max(1, int(self.settings.concurrency_limit * share)):
            return "cap"
        if self.now + SHUTDOWN_LATENCIES * destination.usual_latency_ms() > self.shutdown_deadline:
            return "stopping"
        limits = destination.limits  # once for all of its endpoints: most steps find it so
        return endpoint_selection.blocking_rule(limits, self.now) if limits else ""

    def _watch_calls(self) -> None:
        for destination in self.active_destinations.values():
            destination.unhealthy = destination.has_unhealthy_endpoint()
            limit_ms = circuit_breaker.overdue_after_ms(destination)
            for call in self.calls_older_than(destination, limit_ms):
                destination.unhealthy = True
                self._handle_overdue(call, (self.now - call.started_at) / limit_ms)

    def _give_up(self) -> None:
        for message in self.pop_due():
            if message_rules.give_up_at(message) <= self.now:
                self._give_final_answer(message, "no time")
            else:  # its destination has become faster
                self.schedule_expiry(message, message_rules.give_up_at(message))
        while (message_to_shed := message_rules.message_to_shed(self)) is not None:
            self._give_final_answer(message_to_shed, "hold full")

    def _dispatch(self) -> None:
        if self.in_flight >= self.settings.concurrency_limit:
            return
        waiting = [destination for destination in self.active_destinations.values() if destination.queued]
        firsts = {id(destination): self._first_message(destination) for destination in waiting}
        while self.in_flight < self.settings.concurrency_limit:
            ready = [message for message in firsts.values() if message]
            eligible = [m for m in ready if m.start_tag <= self.now + self.virtual_time_shift]
            if eligible:
                message = min(eligible, key=lambda m: m.finish_tag)
                self._start_call(message)  # which changes no other destination
                firsts[id(message.destination)] = self._first_message(message.destination)
            elif ready:
                fair_queue.synchronize(self, ready)
                firsts = {id(destination): self._first_message(destination) for destination in waiting}
            else:
                return

    def _first_message(self, destination: Destination) -> Message | None:
        if self.blocking_rule(destination):
            return None
        ready = endpoint_selection.ready_endpoints(destination, self.now)
        return fair_queue.first_message(self, destination, ready) if ready else None

    def _start_call(self, first: Message) -> None:
        # One call to the best endpoint, filled up to its batch size.
        endpoint = endpoint_selection.best_endpoint(self, first)
        capacity = 1 if endpoint.is_unhealthy() else endpoint.max_batch_size
        call = self.start_call(endpoint)
        for limits in endpoint.limits:
            circuit_breaker.record_call(limits, call, self.now)
        others = sorted(first.destination.queued.values(), key=lambda m: m.finish_tag) if capacity > 1 else ()
        for message in (first, *(other for other in others if other is not first)):
            if len(call.attempts) < capacity and message_rules.may_go(message, self.now, {endpoint.zone}):
                timeout_ms = max(1.0, message.expires - message_rules.GIVE_UP_MS - self.now)
                self.start_attempt(call, message, timeout_ms)
