"""The form of a request for several messages, and of its response: one line a message."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Set
from dataclasses import dataclass
from typing import NamedTuple

from kestreltrack.decision import Outcome
from kestreltrack.ports import Message

BATCH_TARGET = "/v1/messages:batch"


class LineOutcome(NamedTuple):
    """What a line of the response says of its message; `final` where nothing more is owed."""

    outcome: Outcome
    final: bool


LINE_OUTCOMES = {
    b"delivered": LineOutcome(Outcome.OK, True),
    b"failed": LineOutcome(Outcome.ERROR, False),
    b"refused": LineOutcome(Outcome.REJECTED, False),
    b"over": LineOutcome(Outcome.NOT_SENT, True),
    b"spent": LineOutcome(Outcome.NOT_SENT, False),
}

# Of a message about which the response says nothing, or nothing that can be read: it may have been executed.
AMBIGUOUS = LineOutcome(Outcome.CONNECTION_BROKEN, False)


@dataclass(slots=True)
class BatchOutcomes:
    """What a response says of the messages of a request."""

    by_message_id: dict[str, LineOutcome]
    # Lines about messages that were not in the request, and messages without one line that can be read.
    unexpected: int


def encode_part(message: Message) -> bytes:
    """Return a message in the form in which it stands in the body of a request."""
    line = f"{message.id} {message.idempotency_key or '-'} {len(message.body)}\r\n"
    return line.encode() + message.body + b"\r\n"


def parse_outcomes(
    body: bytes, waiting_ids: Collection[str], sent_ids: Set[str], length_known: bool
) -> BatchOutcomes:
    """Return what a response says of each message that waits for its outcome.

    A message is ambiguous unless exactly one line, with a known word, is about it.  Where the length of the response
    was not given (`length_known`), it ends with its connection and may have been cut: then one unexpected line makes
    all of them ambiguous.
    """
    lines = [line.split() for line in body.split(b"\n") if line.strip()]
    line_counts = Counter(line[0].decode("latin-1") for line in lines)
    known = {line[0].decode("latin-1"): LINE_OUTCOMES.get(line[1]) for line in lines if len(line) == 2}
    unexpected = len(line_counts.keys() - sent_ids)
    outcomes = dict[str, LineOutcome]()
    for message_id in waiting_ids:
        outcome = known.get(message_id) if line_counts[message_id] == 1 else None
        if outcome is None:
            unexpected += 1
        outcomes[message_id] = outcome or AMBIGUOUS
    if unexpected and not length_known:
        outcomes = dict.fromkeys(outcomes, AMBIGUOUS)
    return BatchOutcomes(outcomes, unexpected)
