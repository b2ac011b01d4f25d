"""The format of batch requests and their responses; a response has one line per message."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Set
from dataclasses import dataclass
from typing import NamedTuple

from kestreltrack.decision import Outcome
from kestreltrack.ports import Message

BATCH_TARGET = "/v1/messages:batch"


class LineOutcome(NamedTuple):
    """What a line of the response says about its message.

    Attributes:
        outcome: The outcome of the message's attempt.
        final: Whether the message is complete, with no further attempt or notification.
    """

    outcome: Outcome
    final: bool


LINE_OUTCOMES = {
    b"delivered": LineOutcome(Outcome.OK, True),
    b"failed": LineOutcome(Outcome.ERROR, False),
    b"refused": LineOutcome(Outcome.REJECTED, False),
    b"over": LineOutcome(Outcome.NOT_SENT, True),
    b"spent": LineOutcome(Outcome.NOT_SENT, False),
}

# The outcome of a message that the response does not mention, or only in a malformed line: it may have been executed.
AMBIGUOUS = LineOutcome(Outcome.CONNECTION_BROKEN, False)


@dataclass(slots=True)
class BatchOutcomes:
    """What a response says about the messages of a batch request.

    Attributes:
        by_message_id: The outcome of each message.
        unexpected_count: The number of lines about messages that the request did not contain, plus the number of
            messages without exactly one valid line.
    """

    by_message_id: dict[str, LineOutcome]
    unexpected_count: int


def encode_item(message: Message) -> bytes:
    """Encode a message as an item of the body of a batch request."""
    line = f"{message.id} {message.idempotency_key or '-'} {len(message.body)}\r\n"
    return line.encode() + message.body + b"\r\n"


def parse_outcomes(
    body: bytes, waiting_ids: Collection[str], sent_ids: Set[str], length_known: bool
) -> BatchOutcomes:
    """Return what a response says about each message that waits for its outcome.

    A message is ambiguous unless exactly one line, with a known outcome word, is about it.  If the length of the
    response was not given (`length_known` is false), the end of the connection ends it, and it may be truncated: then
    a single unexpected line makes all messages ambiguous.
    """
    lines = [line.split() for line in body.split(b"\n") if line.strip()]
    line_counts = Counter(line[0].decode("latin-1") for line in lines)
    known = {line[0].decode("latin-1"): LINE_OUTCOMES.get(line[1]) for line in lines if len(line) == 2}
    unexpected_count = len(line_counts.keys() - sent_ids)
    outcomes = dict[str, LineOutcome]()
    for message_id in waiting_ids:
        outcome = known.get(message_id) if line_counts[message_id] == 1 else None
        if outcome is None:
            unexpected_count += 1
        outcomes[message_id] = outcome or AMBIGUOUS
    if unexpected_count and not length_known:
        outcomes = dict.fromkeys(outcomes, AMBIGUOUS)
    return BatchOutcomes(outcomes, unexpected_count)
