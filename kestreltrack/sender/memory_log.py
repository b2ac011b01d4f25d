"""Reports what the process holds in memory: in the log while that changes, and in the operators' figures."""

from __future__ import annotations

import asyncio
import resource

from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.journal import Journal
from kestreltrack.memory import MemoryPlan
from kestreltrack.telemetry import Telemetry

# Interval between two looks.
INTERVAL_S = 1.0
# The peak is reported when it has risen by this, and whenever a budget has been used up to `REPORTED_SHARE`.
REPORTED_RISE_BYTES = 2_000_000
REPORTED_SHARE = 0.5
BYTES_PER_KIB = 1024


class MemoryLog:
    """Reports the peak of the resident memory, the bytes held by requests and responses, and the connections."""

    def __init__(
        self,
        plan: MemoryPlan,
        frontend: FrontendServer,
        pool: ConnectionPool,
        journal: Journal,
        telemetry: Telemetry,
    ) -> None:
        """Report nothing yet."""
        self.plan = plan
        self.frontend = frontend
        self.pool = pool
        self.journal = journal
        self.telemetry = telemetry
        self._reported_peak_bytes = 0

    def gauges(self) -> dict[str, int]:
        """Return what is held now, in bytes or by number."""
        return {
            "peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB,
            "limit_bytes": self.plan.limit_bytes,
            "request_bytes": self.frontend.request_memory.held_bytes,
            "response_bytes": self.pool.budget.held_bytes,
            "client_connections": self.frontend.connection_count(),
            "endpoint_connections": self.pool.open_count,
            "outstanding": len(self.journal.outstanding),
            "ended_ids": len(self.journal.ended),
        }

    async def follow(self) -> None:
        """Log the memory once at the start and whenever it is used more; runs until it is cancelled."""
        while True:
            gauges = self.gauges()
            request_peak_bytes = self.frontend.request_memory.take_peak()
            response_peak_bytes = self.pool.budget.take_peak()
            is_used = (
                request_peak_bytes > REPORTED_SHARE * self.plan.request_bytes
                or response_peak_bytes > REPORTED_SHARE * self.plan.response_bytes
            )
            if is_used or gauges["peak_bytes"] > self._reported_peak_bytes + REPORTED_RISE_BYTES:
                self._reported_peak_bytes = gauges["peak_bytes"]
                self.telemetry.log(
                    "memory",
                    **gauges,
                    request_peak_bytes=request_peak_bytes,
                    response_peak_bytes=response_peak_bytes,
                )
            await asyncio.sleep(INTERVAL_S)

    def metrics(self) -> list[str]:
        """Return the gauges as lines of the operators' figures."""
        return [f"app.memory.{name}:{value}|g" for name, value in self.gauges().items()]
