"""When service discovery is polled: its news count 6 s after its return, so that backoff ends below that."""

from kestreltrack.decision.actions import PollEndpointList
from kestreltrack.decision.state import DeliveryState

FIRST_BACKOFF_MS, MAX_BACKOFF_MS = 600.0, 3500.0
FEW_BACKOFF_MS, SENDER_SPACING_MS = 2000.0, 20.0  # longest with few senders: two polls; between those of all
POLL_INTERVAL_SHARE = 0.4  # of the interval in which discovery has to be polled


def poll_if_due(state: DeliveryState) -> None:
    """Poll where nothing tells of changes and the last poll is long enough ago."""
    if state.subscribed or state.now < state.next_poll_at:
        return
    spacing_ms = SENDER_SPACING_MS * state.settings.sender_count
    backoff_ms = max(FIRST_BACKOFF_MS, spacing_ms, state.poll_backoff_ms * 2.0)
    interval_ms = POLL_INTERVAL_SHARE * state.settings.safety.poll_interval_ms
    longest_ms = min(max(FEW_BACKOFF_MS, spacing_ms), MAX_BACKOFF_MS, interval_ms)
    state.poll_backoff_ms, state.next_poll_at = min(backoff_ms, longest_ms), state.now + MAX_BACKOFF_MS
    state.actions.append(PollEndpointList())


def handle_failure(state: DeliveryState) -> None:
    """Poll again after a backoff, which counts from the beginning of the poll, not from its end."""
    state.subscribed = not state.settings.must_poll
    backoff_ms = max(FIRST_BACKOFF_MS, state.poll_backoff_ms)
    state.next_poll_at += backoff_ms * (0.5 + 0.5 * state.random.random()) - MAX_BACKOFF_MS
