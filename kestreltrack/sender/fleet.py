"""What this sender does with others of its fleet, where the operator's settings give it an address for that."""

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

# Between counts of the members.
COUNT_INTERVAL_S = 1.0


class Fleet:
    """Membership, and the parts that depend on it."""

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
        """Build the parts that the settings ask for; nothing is opened.

        `set_sender_count` takes the number of senders that share a limit, where that follows the members; `notify`
        takes events for the decision module.  Raises `ConfigError`.
        """
        if not name:
            raise ConfigError("fleet.listen: a member of a fleet needs a name (GW_NAME)")
        self.table = table
        self._configured_senders = configured_senders
        self._set_sender_count = set_sender_count
        self._clock = clock
        self._telemetry = telemetry
        local_member = Alive(name, table.advertise or table.listen, 0, table.zone, table.region, VERSION)
        timing = ProbeTiming(table.round_ms, table.answer_ms)
        self.membership = Membership(local_member, table.listen, table.seeds, timing, clock, telemetry)
        self.quota_sharing = self._build_quota_sharing(policy, notify)
        self.agreed_config = self._build_agreed_config(state_dir)

    def _build_quota_sharing(self, policy: Policy, notify: Callable[[Event], None]) -> QuotaSharing | None:
        """Build the sharing of quotas; it is not even imported where the settings do not ask for it."""
        if not self.table.lend:
            return None
        from kestreltrack.sender.quota_sharing import QuotaSharing

        return QuotaSharing(self.membership, policy, notify, self._clock, self._telemetry)

    def _build_agreed_config(self, state_dir: Path) -> AgreedConfigEnforcer | None:
        """Build the agreed configuration; it is not even imported where the settings name no voters."""
        if not self.table.agreed.voters:
            return None
        from kestreltrack.sender.agreed_config import AgreedConfigEnforcer

        voters = {}
        for voter in self.table.agreed.voters:
            voter_name, _, voter_id = voter.partition("=")
            voters[voter_name] = voter_id
        lease_ms = self.table.agreed.lease_ms
        try:
            return AgreedConfigEnforcer(
                self.membership, voters, lease_ms, state_dir, self._clock, self._telemetry
            )
        except ValueError as error:
            raise ConfigError(f"fleet.agreed.lease_ms: {error}") from error

    def enforce_agreed_config(self, core: Core) -> None:
        """Have `core` act on the agreed documents, where the settings ask for them."""
        if self.agreed_config:
            self.agreed_config.enforce(core)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs beside the delivery of messages."""
        coroutines: list[Coroutine[Any, Any, None]] = [self.membership.run()]
        if self.table.follow_relays:
            coroutines.append(self._follow_member_count())
        if self.agreed_config:
            coroutines.append(self.agreed_config.run())
        if self.quota_sharing:
            coroutines.append(self.quota_sharing.run())
        return coroutines

    async def _follow_member_count(self) -> None:
        """Divide limits by the number of present members, smoothed as `MemberCount` says."""
        table = self.table
        member_count = MemberCount(
            self._configured_senders, table.relays_linger_s * 1000.0, table.relays_step_s * 1000.0
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
        """Return the commands of the admin socket by their names."""
        commands: dict[str, Callable[..., dict[str, Any]]] = {"fleet.members": self.membership.status}
        if self.agreed_config:
            commands["fleet.agreed.show"] = self.agreed_config.replicated_config.status
            commands["fleet.agreed.propose"] = self.agreed_config.propose
        return commands

    def metrics(self) -> list[str]:
        """Return the gauges for the operators' metrics, one a line."""
        gauges = dict(self.membership.gauges())
        if self.quota_sharing:
            gauges |= self.quota_sharing.gauges()
        if self.agreed_config:
            gauges |= self.agreed_config.replicated_config.gauges()
        return [f"app.fleet.{name}:{value}|g" for name, value in gauges.items()]

    def close(self, has_successor: bool) -> None:
        """Leave the fleet; with no announcement where another process of this sender takes its place."""
        if self.quota_sharing:
            self.quota_sharing.close()
        if self.agreed_config:
            self.agreed_config.close()
        self.membership.close(announce_leave=not has_successor)
