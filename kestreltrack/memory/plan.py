"""Divides the memory limit of a process among those that hold memory on behalf of its peers.

The process itself and its journal come first.  What is left goes to connections and messages, by
their number, and to requests, responses and endpoint lists, by their bytes.  With little memory there are fewer
connections and messages.  The parts of a plan never add up to more than the limit.
"""

from __future__ import annotations

from dataclasses import dataclass

# The interpreter, the libraries and the code, with a reserve for what the allocator does not give back.
PROCESS_BYTES = 27_400_000
# Of the size of the state folder: 0.7 for its files, which count as memory, and 0.225 for the bodies of the messages
# in them.
JOURNAL_SHARE = 0.925
# What is left for all else must be at least this.
MIN_WORKING_BYTES = 1_000_000

# A connection that holds no bytes of its peer: its transport, streams, task and parser.
CLIENT_CONNECTION_BYTES = 8_000
ENDPOINT_CONNECTION_BYTES = 14_000
# An accepted message without its body: its task, journal entry and entry in the decision module.
MESSAGE_BYTES = 5_500

# The most that connections and messages may take of what is left; if they need more, there are fewer of them.
COUNTED_SHARE = 0.6
# The shares of what connections and messages leave.
REQUEST_SHARE = 0.3
RESPONSE_SHARE = 0.2
LIST_SHARE = 0.4
# An endpoint list in memory, with its entries in the journal and the decision module, by its size as JSON.
LIST_EXPANSION = 24
# The rest is for notices, log lines and calls of operators.


class MemoryLimitError(ValueError):
    """The memory limit is below what the process needs."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How much memory each holder may use.

    Attributes:
        limit_bytes: The limit of the process.
        process_bytes: The process without any peer.
        journal_bytes: The files of the state folder, which count as memory, and the bodies of the messages in them.
        client_connections: The number of client connections.
        endpoint_connections: The number of connections to endpoints.
        messages: The number of accepted messages without a final result.
        request_bytes: The received bytes of client requests without a reply.
        response_bytes: The received bytes of responses that have not been evaluated.
        list_bytes: An endpoint list while it is received and parsed.
        other_bytes: Notices, log lines and calls of operators.
    """

    limit_bytes: int
    process_bytes: int
    journal_bytes: int
    client_connections: int
    endpoint_connections: int
    messages: int
    request_bytes: int
    response_bytes: int
    list_bytes: int
    other_bytes: int

    @property
    def max_list_body_bytes(self) -> int:
        """The largest endpoint list, as JSON."""
        return self.list_bytes // LIST_EXPANSION

    def bytes_by_holder(self) -> dict[str, int]:
        """Return the bytes of each holder."""
        return {
            "process": self.process_bytes,
            "journal": self.journal_bytes,
            "client connections": self.client_connections * CLIENT_CONNECTION_BYTES,
            "endpoint connections": self.endpoint_connections * ENDPOINT_CONNECTION_BYTES,
            "messages": self.messages * MESSAGE_BYTES,
            "requests": self.request_bytes,
            "responses": self.response_bytes,
            "lists": self.list_bytes,
            "other": self.other_bytes,
        }


def plan_memory(
    limit_bytes: int, disk_bytes: int, client_connections: int, endpoint_connections: int, messages: int
) -> MemoryPlan:
    """Return the plan for a limit; the numbers are those wanted, and the plan may have fewer.

    Raises:
        MemoryLimitError: The limit is below what the process needs.
    """
    journal_bytes = int(disk_bytes * JOURNAL_SHARE)
    working_bytes = limit_bytes - PROCESS_BYTES - journal_bytes
    if working_bytes < MIN_WORKING_BYTES:
        raise MemoryLimitError(_needed(limit_bytes, journal_bytes))
    wanted_bytes = (
        client_connections * CLIENT_CONNECTION_BYTES
        + endpoint_connections * ENDPOINT_CONNECTION_BYTES
        + messages * MESSAGE_BYTES
    )
    scale = min(1.0, COUNTED_SHARE * working_bytes / max(1, wanted_bytes))
    left_bytes = working_bytes - int(scale * wanted_bytes)
    request_bytes = int(REQUEST_SHARE * left_bytes)
    response_bytes = int(RESPONSE_SHARE * left_bytes)
    list_bytes = int(LIST_SHARE * left_bytes)
    return MemoryPlan(
        limit_bytes=limit_bytes,
        process_bytes=PROCESS_BYTES,
        journal_bytes=journal_bytes,
        client_connections=int(scale * client_connections),
        endpoint_connections=int(scale * endpoint_connections),
        messages=int(scale * messages),
        request_bytes=request_bytes,
        response_bytes=response_bytes,
        list_bytes=list_bytes,
        other_bytes=left_bytes - request_bytes - response_bytes - list_bytes,
    )


def _needed(limit_bytes: int, journal_bytes: int) -> str:
    needed_bytes = PROCESS_BYTES + journal_bytes + MIN_WORKING_BYTES
    return (
        f"{limit_bytes / 1e6:g} is below {needed_bytes / 1e6:g}: {PROCESS_BYTES / 1e6:g} for the process, "
        f"{journal_bytes / 1e6:g} for the journal, {MIN_WORKING_BYTES / 1e6:g} to work with"
    )
