"""Divides the memory limit of a process among those that hold memory on behalf of its peers.

The process itself and its journal come first, then the accepted messages and the endpoint list, without which nothing
can be delivered.  What the list in use leaves goes to connections, by their number, and to requests and responses, by
their bytes: with a longer list there are fewer connections.  The parts of a plan never add up to more than the limit.
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
# A listed endpoint in the list and in the decision module, and once more while its list is received and stored.
LISTED_ENDPOINT_BYTES = 2_700

# The most that messages may take; if they need more, there are fewer of them.
MESSAGE_SHARE = 0.35
# What the longest list leaves of the rest to connections, requests and responses: this share, and at least this.
SERVICE_SHARE = 0.3
MIN_SERVICE_BYTES = 600_000
# The most that connections may take of what the list leaves; if they need more, there are fewer of them.
CONNECTION_SHARE = 0.5
# The shares of what connections leave, and what is taken of it first where that is little.
REQUEST_SHARE = 0.3
RESPONSE_SHARE = 0.2
MIN_REQUEST_BYTES = 150_000
MIN_RESPONSE_BYTES = 100_000
MAX_MIN_SHARE = 0.5
# The rest is for notices, log lines and calls of operators, and for what the allocator adds to all of these.


class MemoryLimitError(ValueError):
    """The memory limit is below what the process needs."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How much memory each holder may use.

    Attributes:
        limit_bytes: The limit of the process.
        process_bytes: The process without any peer.
        journal_bytes: The files of the state folder, which count as memory, and the bodies of the messages in them.
        messages: The number of accepted messages without a final result.
        max_listed_endpoints: The number of endpoints that the list in use may have.
        list_bytes: The list in use, and the next one while it is received.
        client_connections: The number of client connections.
        endpoint_connections: The number of connections to endpoints.
        request_bytes: The received bytes of client requests without a reply.
        response_bytes: The received bytes of responses that have not been evaluated.
        other_bytes: Notices, log lines and calls of operators.
    """

    limit_bytes: int
    process_bytes: int
    journal_bytes: int
    messages: int
    max_listed_endpoints: int
    list_bytes: int
    client_connections: int
    endpoint_connections: int
    request_bytes: int
    response_bytes: int
    other_bytes: int

    def bytes_by_holder(self) -> dict[str, int]:
        """Return the bytes of each holder."""
        return {
            "process": self.process_bytes,
            "journal": self.journal_bytes,
            "messages": self.messages * MESSAGE_BYTES,
            "lists": self.list_bytes,
            "client connections": self.client_connections * CLIENT_CONNECTION_BYTES,
            "endpoint connections": self.endpoint_connections * ENDPOINT_CONNECTION_BYTES,
            "requests": self.request_bytes,
            "responses": self.response_bytes,
            "other": self.other_bytes,
        }


@dataclass(frozen=True, slots=True)
class MemoryDemand:
    """What a process is configured for.

    Attributes:
        client_connections: The number of client connections.
        endpoint_connections: The number of connections to endpoints.
        messages: The number of accepted messages without a final result.
    """

    client_connections: int
    endpoint_connections: int
    messages: int


def plan_memory(
    limit_bytes: int, disk_bytes: int, demand: MemoryDemand, listed_endpoints: int = 0
) -> MemoryPlan:
    """Return the plan for a limit while a list of `listed_endpoints` is in use; it may have less than the demand.

    Raises:
        MemoryLimitError: The limit is below what the process needs.
    """
    journal_bytes = int(disk_bytes * JOURNAL_SHARE)
    working_bytes = limit_bytes - PROCESS_BYTES - journal_bytes
    if working_bytes < MIN_WORKING_BYTES:
        raise MemoryLimitError(_needed(limit_bytes, journal_bytes))
    messages = min(demand.messages, int(MESSAGE_SHARE * working_bytes / MESSAGE_BYTES))
    left_bytes = working_bytes - messages * MESSAGE_BYTES
    service_bytes = max(int(SERVICE_SHARE * left_bytes), min(MIN_SERVICE_BYTES, left_bytes))
    max_listed_endpoints = (left_bytes - service_bytes) // LISTED_ENDPOINT_BYTES
    list_bytes = min(listed_endpoints, max_listed_endpoints) * LISTED_ENDPOINT_BYTES
    left_bytes -= list_bytes
    connection_bytes = (
        demand.client_connections * CLIENT_CONNECTION_BYTES
        + demand.endpoint_connections * ENDPOINT_CONNECTION_BYTES
    )
    scale = min(1.0, CONNECTION_SHARE * left_bytes / max(1, connection_bytes))
    left_bytes -= int(scale * connection_bytes)
    request_bytes = _share(left_bytes, REQUEST_SHARE, MIN_REQUEST_BYTES)
    response_bytes = _share(left_bytes - request_bytes, RESPONSE_SHARE, MIN_RESPONSE_BYTES)
    return MemoryPlan(
        limit_bytes=limit_bytes,
        process_bytes=PROCESS_BYTES,
        journal_bytes=journal_bytes,
        messages=messages,
        max_listed_endpoints=max_listed_endpoints,
        list_bytes=list_bytes,
        client_connections=int(scale * demand.client_connections),
        endpoint_connections=int(scale * demand.endpoint_connections),
        request_bytes=request_bytes,
        response_bytes=response_bytes,
        other_bytes=left_bytes - request_bytes - response_bytes,
    )


def _share(left_bytes: int, share: float, minimum_bytes: int) -> int:
    """Return a share of what is left, or the minimum where that does not take too much of it."""
    return max(int(share * left_bytes), min(minimum_bytes, int(MAX_MIN_SHARE * left_bytes)))


def _needed(limit_bytes: int, journal_bytes: int) -> str:
    needed_bytes = PROCESS_BYTES + journal_bytes + MIN_WORKING_BYTES
    return (
        f"{limit_bytes / 1e6:g} is below {needed_bytes / 1e6:g}: {PROCESS_BYTES / 1e6:g} for the process, "
        f"{journal_bytes / 1e6:g} for the journal, {MIN_WORKING_BYTES / 1e6:g} to work with"
    )
