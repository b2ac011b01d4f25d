"""What this sender does with others of its fleet, where the operator's file gives it an address for that."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from kestreltrack import VERSION
from kestreltrack.config.operator_tables import FleetTable
from kestreltrack.config.sender import ConfigError
from kestreltrack.decision import Event, Policy
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.membership.swim import ProbeTiming
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.sender.agreed_config import AgreedConfigEnforcer
    from kestreltrack.sender.delivery import Core
    from kestreltrack.sender.quota_sharing import QuotaSharing

COUNT_INTERVAL_S = 1.0  # between counts of the members


class Fleet:
    """Membership, and what rests on it."""

    def __init__(
        self,
        table: FleetTable,
        name: str,
        configured_senders: int,
        set_sender_count: Callable[[int], None],
        policy: Policy,
        notify: Callable[[Event], None],
        clock: Clock,
        telemetry: Telemetry,
        state_dir: Path,
    ) -> None:
        """`share` is told how many senders share a limit, where that follows the members; `tell` takes events.

        Raises `ConfigError`.
        """
        if not name:
            raise ConfigError("fleet.listen: a member of a fleet needs a name (GW_NAME)")
        self.table, self._configured_senders, self._set_sender_count = (
            table,
            configured_senders,
            set_sender_count,
        )
        self._clock = clock
        about = Alive(name, table.advertise or table.listen, 0, table.zone, table.region, VERSION)
        timing = ProbeTiming(table.round_ms, table.answer_ms)
        self.membership = Membership(about, table.listen, table.seeds, timing, clock, telemetry)
        self.quota_sharing: QuotaSharing | None = None
        if table.lend:  # else not even imported
            from kestreltrack.sender.quota_sharing import QuotaSharing

            self.quota_sharing = QuotaSharing(self.membership, policy, notify, clock, telemetry)
        self.agreed_config: AgreedConfigEnforcer | None = None
        if table.agreed.voters:
            from kestreltrack.sender.agreed_config import AgreedConfigEnforcer

            voters = {who: id_ for who, _, id_ in (voter.partition("=") for voter in table.agreed.voters)}
            try:
                self.agreed_config = AgreedConfigEnforcer(
                    self.membership, voters, table.agreed.lease_ms, state_dir, clock, telemetry
                )
            except ValueError as bad:
                raise ConfigError(f"fleet.agreed.lease_ms: {bad}") from bad

    def enforce_agreed_config(self, core: Core) -> None:
        """Have `core` act on agreed documents, where the operator's file asks for them."""
        if self.agreed_config:
            self.agreed_config.enforce(core)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """What runs beside the messages."""
        more = [self._follow_member_count()] if self.table.follow_relays else []
        more += [self.agreed_config.run()] if self.agreed_config else []
        return [self.membership.run(), *more, *([self.quota_sharing.run()] if self.quota_sharing else [])]

    async def _follow_member_count(self) -> None:
        """Limits are divided by the members that are here, with the promises of `Headcount`."""
        table = self.table
        headcount = MemberCount(
            self._configured_senders, table.relays_linger_s * 1000.0, table.relays_step_s * 1000.0
        )
        while True:
            names, before = self.membership.member_names(), headcount.value
            now = (
                headcount.record_read_failure()
                if names is None
                else headcount.record_members(self._clock(), names)
            )
            if now != before:
                self._set_sender_count(now)
            await asyncio.sleep(COUNT_INTERVAL_S)

    def commands(self) -> dict[str, Callable[..., dict[str, Any]]]:
        """For the admin socket."""
        found: dict[str, Callable[..., dict[str, Any]]] = {"fleet.members": self.membership.status}
        if self.agreed_config:
            found |= {
                "fleet.agreed.show": self.agreed_config.replicated_config.status,
                "fleet.agreed.propose": self.agreed_config.propose,
            }
        return found

    def metrics(self) -> list[str]:
        """Gauges for the operators' figures."""
        gauges = self.membership.gauges() | (self.quota_sharing.gauges() if self.quota_sharing else {})
        gauges |= self.agreed_config.replicated_config.gauges() if self.agreed_config else {}
        return [f"app.fleet.{what}:{n}|g" for what, n in gauges.items()]

    def close(self, has_successor: bool) -> None:
        """Leave the fleet; without a word where another process of this sender goes on in its place."""
        if self.quota_sharing:
            self.quota_sharing.close()
        if self.agreed_config:
            self.agreed_config.close()
        self.membership.close(announce_leave=not has_successor)
