"""When service discovery is polled.

A change on the endpoint list has to be known 6 s after discovery recovers, so the longest backoff is shorter.
"""

from kestreltrack.decision.actions import PollEndpointList
from kestreltrack.decision.state import DeliveryState

FIRST_BACKOFF_MS = 600.0
MAX_BACKOFF_MS = 3500.0
# Longest backoff with few senders, which so poll twice within the 6 s.
MAX_BACKOFF_FEW_SENDERS_MS = 2000.0
# Mean time between the polls of all senders: the backoff of each is at least this times their number.
SENDER_SPACING_MS = 20.0
# Longest backoff as a share of the interval within which discovery has to be polled.
POLL_INTERVAL_SHARE = 0.4


def poll_if_due(state: DeliveryState) -> None:
    """Poll where no subscription reports changes and the next poll is due."""
    if state.subscribed or state.now < state.next_poll_at:
        return
    spacing_ms = SENDER_SPACING_MS * state.settings.sender_count
    backoff_ms = max(FIRST_BACKOFF_MS, spacing_ms, state.poll_backoff_ms * 2.0)
    interval_ms = POLL_INTERVAL_SHARE * state.settings.safety.poll_interval_ms
    longest_ms = min(max(MAX_BACKOFF_FEW_SENDERS_MS, spacing_ms), MAX_BACKOFF_MS, interval_ms)
    state.poll_backoff_ms = min(backoff_ms, longest_ms)
    state.next_poll_at = state.now + MAX_BACKOFF_MS
    state.actions.append(PollEndpointList())


def handle_failure(state: DeliveryState) -> None:
    """Poll again after a backoff with jitter that is counted from the start of the failed poll."""
    state.subscribed = not state.settings.must_poll
    backoff_ms = max(FIRST_BACKOFF_MS, state.poll_backoff_ms)
    state.next_poll_at += backoff_ms * (0.5 + 0.5 * state.random.random()) - MAX_BACKOFF_MS
