"""Shares the time of the event loop between connections: start-time fair queueing of their requests.

Each iteration of the event loop serves requests up to a fixed cost; further ones wait for a later iteration.  Those
that wait are served in the order of their start tags: a connection that has been served a lot is behind one that has
not, so that clients at full speed delay each other and not those that send a request now and then.

P. Goyal, H. M. Vin, H. Cheng: Start-time fair queueing (SIGCOMM 1996).
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math

# The cost of the requests that one iteration of the event loop serves.
COST_PER_ITERATION = 8.0

HALF_LIFE_S = 1.0

# A request costs 1, and as much again for so many bytes.
BYTES_PER_COST = 8192


class FairShare:
    """What one connection has used.

    Attributes:
        finish_tag: The virtual time at which its latest request is over.
    """

    __slots__ = ("_recent_cost", "_used_at", "finish_tag")

    def __init__(self) -> None:
        self.finish_tag = 0.0
        self._recent_cost = 0.0
        self._used_at = 0.0

    def use(self, cost: float, now: float) -> None:
        """Add the cost of a request to what the connection has used."""
        self._recent_cost = self.recent_cost(now) + cost
        self._used_at = now

    def recent_cost(self, now: float) -> float:
        """Return what the connection has used, of which half is forgotten in `HALF_LIFE_S`."""
        return self._recent_cost * math.exp2((self._used_at - now) / HALF_LIFE_S)


class RequestTurns:
    """Lets requests begin, in an order and at a rate that no connection can change for the others."""

    def __init__(self) -> None:
        """Start with no request waiting."""
        self._virtual_time = 0.0
        self._cost_left = COST_PER_ITERATION
        self._waiting: list[tuple[float, int, float, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_renewing = False

    async def take(self, share: FairShare, size_bytes: int = 0) -> None:
        """Return when a request may go on, of which `size_bytes` were received."""
        cost = 1.0 + size_bytes / BYTES_PER_COST
        start_tag = max(self._virtual_time, share.finish_tag)
        share.finish_tag = start_tag + cost
        share.use(cost, asyncio.get_running_loop().time())
        self._renew_later()
        if self._cost_left > 0.0 and not self._waiting:
            self._begin(start_tag, cost)
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (start_tag, next(self._numbers), cost, turn))
        await turn

    def _begin(self, start_tag: float, cost: float) -> None:
        self._virtual_time = max(self._virtual_time, start_tag)
        self._cost_left -= cost

    def _renew_later(self) -> None:
        if not self._is_renewing:
            self._is_renewing = True
            asyncio.get_running_loop().call_soon(self._renew)

    def _renew(self) -> None:
        """Begin the turns of the next iteration of the event loop."""
        self._is_renewing = False
        # What an expensive request has taken beyond its iteration is owed by the next ones.
        self._cost_left = min(COST_PER_ITERATION, self._cost_left + COST_PER_ITERATION)
        while self._waiting and self._cost_left > 0.0:
            start_tag, _, cost, turn = heapq.heappop(self._waiting)
            if not turn.done():  # its connection may have ended meanwhile
                self._begin(start_tag, cost)
                turn.set_result(None)
        if self._waiting or self._cost_left < COST_PER_ITERATION:
            self._renew_later()
