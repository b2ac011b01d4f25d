"""What this sender does with others of its fleet, where the operator's file gives it an address for that."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from kestreltrack import VERSION
from kestreltrack.config.node import ConfigError
from kestreltrack.config.operator import FleetTable
from kestreltrack.decision import Policy
from kestreltrack.decision.api import Event
from kestreltrack.fleet.membership.headcount import Headcount
from kestreltrack.fleet.membership.shell import Membership
from kestreltrack.fleet.membership.swim import Timing
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.sender.agreeing import Ruled
    from kestreltrack.sender.core import Core
    from kestreltrack.sender.lending import Lending

COUNT_S = 1.0  # between counts of the members


class Fleet:
    """Membership, and what rests on it."""

    def __init__(
        self,
        table: FleetTable,
        name: str,
        relays: int,
        share: Callable[[int], None],
        policy: Policy,
        tell: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
        state: Path,
    ) -> None:
        """`share` is told how many senders share a limit, where that follows the members; `tell` takes events.

        Raises `ConfigError`.
        """
        if not name:
            raise ConfigError("fleet.listen: a member of a fleet needs a name (GW_NAME)")
        self.table, self._relays, self._share = table, relays, share
        self._clock = clock
        about = Alive(name, table.advertise or table.listen, 0, table.zone, table.region, VERSION)
        timing = Timing(table.round_ms, table.answer_ms)
        self.membership = Membership(about, table.listen, table.seeds, timing, clock, telemetry)
        self.lending: Lending | None = None
        if table.lend:  # else not even imported
            from kestreltrack.sender.lending import Lending

            self.lending = Lending(self.membership, policy, tell, clock, telemetry)
        self.ruled: Ruled | None = None
        if table.agreed.voters:
            from kestreltrack.sender.agreeing import Ruled

            voters = {who: id_ for who, _, id_ in (voter.partition("=") for voter in table.agreed.voters)}
            try:
                self.ruled = Ruled(self.membership, voters, table.agreed.lease_ms, state, clock, telemetry)
            except ValueError as bad:
                raise ConfigError(f"fleet.agreed.lease_ms: {bad}") from bad

    def rule(self, core: Core) -> None:
        """Have `core` act on agreed documents, where the operator's file asks for them."""
        if self.ruled:
            self.ruled.rule(core)

    def helpers(self) -> list[Coroutine[Any, Any, None]]:
        """What runs beside the messages."""
        more = [self._count()] if self.table.follow_relays else []
        more += [self.ruled.run()] if self.ruled else []
        return [self.membership.run(), *more, *([self.lending.run()] if self.lending else [])]

    async def _count(self) -> None:
        """Limits are divided by the members that are here, with the promises of `Headcount`."""
        table = self.table
        headcount = Headcount(self._relays, table.relays_linger_s * 1000.0, table.relays_step_s * 1000.0)
        while True:
            names, before = self.membership.names(), headcount.value
            now = headcount.unseen() if names is None else headcount.seen(self._clock(), names)
            if now != before:
                self._share(now)
            await asyncio.sleep(COUNT_S)

    def commands(self) -> dict[str, Callable[..., dict[str, Any]]]:
        """For the admin socket."""
        found: dict[str, Callable[..., dict[str, Any]]] = {"fleet.members": self.membership.members}
        if self.ruled:
            found |= {
                "fleet.agreed.show": self.ruled.agreeing.show,
                "fleet.agreed.propose": self.ruled.propose,
            }
        return found

    def figures(self) -> list[str]:
        """Gauges for the operators' figures."""
        gauges = self.membership.gauges() | (self.lending.gauges() if self.lending else {})
        gauges |= self.ruled.agreeing.gauges() if self.ruled else {}
        return [f"app.fleet.{what}:{n}|g" for what, n in gauges.items()]

    def close(self, followed: bool) -> None:
        """Leave the fleet; without a word where another process of this sender goes on in its place."""
        if self.lending:
            self.lending.close()
        if self.ruled:
            self.ruled.close()
        self.membership.close(farewell=not followed)
