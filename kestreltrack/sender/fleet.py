"""Creates and runs the components by which this sender cooperates with the other senders of its fleet.

They exist only if the operator's settings give this sender a fleet address.
"""

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

# Interval between counts of the members.
COUNT_INTERVAL_S = 1.0


class Fleet:
    """The membership of this sender, and the components that depend on it."""

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
        """Create the components that the settings enable; nothing is opened.

        Args:
            table: The operator's settings for the fleet.
            name: The name of this sender.
            configured_senders: The initial number of senders that share a limit.
            set_sender_count: Takes that number whenever it changes, if it follows the members.
            policy: The state of the decision module, for reading.
            notify: Takes events for the decision module.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.
            state_dir: The state folder of this sender.

        Raises:
            ConfigError: The sender has no name, or its lease settings cannot be used.
        """
        if not name:
            raise ConfigError("fleet.listen: a fleet member needs a name: set GW_NAME")
        self.table = table
        self._configured_senders = configured_senders
        self._set_sender_count = set_sender_count
        self._clock = clock
        self._telemetry = telemetry
        local_member = Alive(name, table.advertise or table.listen, 0, table.zone, table.region, VERSION)
        timing = ProbeTiming(table.probe_interval_ms, table.probe_timeout_ms)
        self.membership = Membership(local_member, table.listen, table.seeds, timing, clock, telemetry)
        self.quota_sharing = self._build_quota_sharing(policy, notify)
        self.agreed_config = self._build_agreed_config(state_dir)

    def _build_quota_sharing(self, policy: Policy, notify: Callable[[Event], None]) -> QuotaSharing | None:
        """Create the quota sharing if the settings enable it; else its module is not imported."""
        if not self.table.share_quotas:
            return None
        from kestreltrack.sender.quota_sharing import QuotaSharing

        return QuotaSharing(self.membership, policy, notify, self._clock, self._telemetry)

    def _build_agreed_config(self, state_dir: Path) -> AgreedConfigEnforcer | None:
        """Create the replicated configuration if the settings name voters; else its module is not imported."""
        if not self.table.replicated_config.voters:
            return None
        from kestreltrack.sender.agreed_config import AgreedConfigEnforcer

        voters = {}
        for voter in self.table.replicated_config.voters:
            voter_name, _, voter_id = voter.partition("=")
            voters[voter_name] = voter_id
        lease_ms = self.table.replicated_config.lease_ms
        try:
            return AgreedConfigEnforcer(
                self.membership, voters, lease_ms, state_dir, self._clock, self._telemetry
            )
        except ValueError as error:
            raise ConfigError(f"fleet.agreed.lease_ms: {error}") from error

    def enforce_agreed_config(self, core: Core) -> None:
        """Apply the replicated configuration to `core`, if it is enabled."""
        if self.agreed_config:
            self.agreed_config.enforce(core)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks to run."""
        coroutines: list[Coroutine[Any, Any, None]] = [self.membership.run()]
        if self.table.follow_member_count:
            coroutines.append(self._follow_member_count())
        if self.agreed_config:
            coroutines.append(self.agreed_config.run())
        if self.quota_sharing:
            coroutines.append(self.quota_sharing.run())
        return coroutines

    async def _follow_member_count(self) -> None:
        """Keep the number of senders that share a limit equal to the member count, smoothed by `MemberCount`."""
        table = self.table
        member_count = MemberCount(
            self._configured_senders,
            table.count_grace_period_s * 1000.0,
            table.count_decrease_interval_s * 1000.0,
        )
        while True:
            names = self.membership.member_names()
            previous_count = member_count.value
            if names is None:
                count = member_count.record_read_failure()
            else:
                count = member_count.record_members(self._clock(), names)
            if count != previous_count:
                self._set_sender_count(count)
            await asyncio.sleep(COUNT_INTERVAL_S)

    def commands(self) -> dict[str, Callable[..., dict[str, Any]]]:
        """Return the handlers of the fleet's admin socket commands by command name."""
        commands: dict[str, Callable[..., dict[str, Any]]] = {"fleet.members": self.membership.status}
        if self.agreed_config:
            commands["fleet.agreed.show"] = self.agreed_config.replicated_config.status
            commands["fleet.agreed.propose"] = self.agreed_config.propose
        return commands

    def metrics(self) -> list[str]:
        """Return the fleet's gauges as lines of the operators' metrics."""
        gauges = dict(self.membership.gauges())
        if self.quota_sharing:
            gauges |= self.quota_sharing.gauges()
        if self.agreed_config:
            gauges |= self.agreed_config.replicated_config.gauges()
        return [f"app.fleet.{name}:{value}|g" for name, value in gauges.items()]

    def close(self, has_successor: bool) -> None:
        """Leave the fleet.

        Args:
            has_successor: Whether another process of this sender takes its place; the leave is then not announced.
        """
        if self.quota_sharing:
            self.quota_sharing.close()
        if self.agreed_config:
            self.agreed_config.close()
        self.membership.close(announce_leave=not has_successor)
