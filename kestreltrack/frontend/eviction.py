"""Which client connection is given up when a new one exceeds the limit on their number."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from kestreltrack.frontend.session import COMMAND_TIMEOUT_S, IDLE_TIMEOUT_S, ClientSession, RequestPhase

# A client gives up a request after this; its command is complete long before.
ANSWER_TIMEOUT_S = 0.4
# From the opening of a connection to its first request, on a busy machine.
FIRST_REQUEST_TIMEOUT_S = 0.2
# Connections over the limit that end only with the reply that they are owed.
MAX_ENDING = 8
# Bad requests in a row from which on further ones are given up unserved.
MIN_BAD_REQUESTS = 3
# Requests within about a second from which on a connection counts as one at full speed.
FULL_SPEED_COST = 4.0


class EvictionRank(IntEnum):
    """The kinds of connections that can be given up, in the order in which they are."""

    FLUSHING = 0  # closed already, but its client does not read the last replies
    LINGERING = 1  # about to be closed
    SILENT = 2  # has not sent a request yet
    UNSOUND = 3  # idle after requests that could not be served
    OVERDUE = 4  # a partial command whose client would have given up by now
    FULL_SPEED = 5  # sends one request after the other, without waiting for the replies
    NEW = 6  # opened so recently that its first request may be on its way
    IDLE = 7  # idle after a request that was served
    PARTIAL = 8  # a partial command


def eviction_rank(session: ClientSession, now: float, may_defer: bool) -> EvictionRank | None:
    """Return why a connection can be given up; `None` if a request on it has been read and waits for its reply.

    Args:
        session: The connection.
        now: The time of the event loop, in seconds.
        may_defer: Whether a connection can be given up that ends only with the reply that it is owed.
    """
    if session.is_closing() or session.lingering:
        return EvictionRank.FLUSHING if session.is_closing() else EvictionRank.LINGERING
    can_close = session.can_close()
    least_bad_requests = 1 if can_close else MIN_BAD_REQUESTS
    if session.consecutive_bad_requests >= least_bad_requests and session.phase is RequestPhase.IDLE:
        return EvictionRank.UNSOUND
    if can_close:
        return _rank_of_idle(session, now)
    if session.has_partial_command() and session.is_awaiting_data():
        is_overdue = session.deadline - now < COMMAND_TIMEOUT_S - ANSWER_TIMEOUT_S
        return EvictionRank.OVERDUE if is_overdue else EvictionRank.PARTIAL
    ends_now = session.phase is RequestPhase.IDLE
    may_reject = session.is_pipelining and not session.overflowed and (ends_now or may_defer)
    if may_reject and session.share.recent_cost(now) > FULL_SPEED_COST:
        return EvictionRank.FULL_SPEED
    return None


def _rank_of_idle(session: ClientSession, now: float) -> EvictionRank:
    if session.has_served:
        return EvictionRank.IDLE
    is_new = session.deadline - now > IDLE_TIMEOUT_S - FIRST_REQUEST_TIMEOUT_S
    return EvictionRank.NEW if is_new else EvictionRank.SILENT


def choose(
    sessions: Iterable[ClientSession], now: float, surplus: int
) -> tuple[ClientSession, EvictionRank] | None:
    """Return the connection to give up, or `None` if there is none.

    With a `surplus` of connections over the limit beyond `MAX_ENDING`, it is one that ends at once.

    It is the oldest of the first rank that occurs, or the one that has used most of those at full speed.
    """
    may_defer = surplus <= MAX_ENDING
    chosen: tuple[EvictionRank, float, ClientSession] | None = None
    for session in sessions:
        rank = eviction_rank(session, now, may_defer)
        if rank is None:
            continue
        if rank <= EvictionRank.LINGERING:
            return session, rank
        order = -session.share.recent_cost(now) if rank is EvictionRank.FULL_SPEED else session.deadline
        if chosen is None or (rank, order) < chosen[:2]:
            chosen = rank, order, session
    return chosen and (chosen[2], chosen[0])


def evict(session: ClientSession, rank: EvictionRank) -> None:
    """Give up a connection at once, or after the reply that it is owed, because the new one needs its descriptor.

    A command that has been read in part gets an error, a complete one a rejection.
    """
    match rank:
        case EvictionRank.FLUSHING | EvictionRank.LINGERING:
            session.abort()
        case EvictionRank.SILENT | EvictionRank.IDLE | EvictionRank.NEW:
            session.close()
        case EvictionRank.UNSOUND if session.can_close():
            session.close()
        case EvictionRank.OVERDUE | EvictionRank.PARTIAL:
            assert session.phase in (RequestPhase.IDLE, RequestPhase.READING)
            session.expire()
            session.close()
        case EvictionRank.UNSOUND | EvictionRank.FULL_SPEED:
            session.reject_unserved()
            if session.lingering:  # otherwise it ends with the reply that is owed
                session.close()
