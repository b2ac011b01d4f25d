"""Which list source the configuration asks for, and the move to another one at SIGHUP."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from kestreltrack.config.sender import SenderConfig
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.discovery.source_switch import SwitchableSource
from kestreltrack.ports import Clock, EndpointSource
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.config.operator import LoadedOperatorConfig
    from kestreltrack.discovery.etcd.source import EtcdEndpointSource
    from kestreltrack.fleet.membership.member_count import MemberCount


def uses_etcd(operator_config: LoadedOperatorConfig | None) -> bool:
    """Whether the machine list comes from etcd."""
    return operator_config is not None and operator_config.config.directory.source == "etcd"


class ServiceDiscovery:
    """The machine list's source, behind a switch.  What etcd needs is imported only where it is asked for."""

    def __init__(
        self,
        config: SenderConfig,
        operator_config: LoadedOperatorConfig | None,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Build the source; raises `ConfigError`."""
        self._config, self._operator_config, self._clock, self._telemetry = (
            config,
            operator_config,
            clock,
            telemetry,
        )
        self._http: HttpEndpointSource | None = None
        self._etcd: EtcdEndpointSource | None = None
        self._client_fingerprint: object = None
        self._member_count: MemberCount | None = None
        self.on_seeds_found: Callable[[list[str]], None] | None = (
            None  # takes addresses of the fleet, where it talks
        )
        self.source = SwitchableSource(self._build_source())

    def _build_source(self) -> EndpointSource:
        self._http = self._etcd = None
        if not uses_etcd(self._operator_config):
            settings = self._config.settings
            pushed_ms = 0.0 if settings.must_poll else settings.safety.drain_grace_ms
            self._http = HttpEndpointSource(
                self._config.discovery, self._telemetry, settings.sender_count, pushed_ms
            )
            return self._http
        from kestreltrack.sender import etcd_factory as build

        assert self._operator_config is not None
        self._client_fingerprint = build.fingerprint(self._operator_config)
        self._etcd = build.create_source(self._operator_config, self._clock, self._telemetry)
        return self._etcd

    def reload(self, config: SenderConfig, operator_config: LoadedOperatorConfig | None) -> None:
        """Take over settings that were read again: move the source, or leave it for another one.

        Raises `ConfigError` before anything is changed.
        """
        before, old = (self._config, self._operator_config), self._etcd
        self._config, self._operator_config = config, operator_config
        if self._http and not uses_etcd(operator_config):
            if before[0].discovery != config.discovery:
                self._http.change_address(config.discovery)
            return
        if old and uses_etcd(operator_config) and self._same_keyspace(before[1]):
            self._replace_client(old)
            return
        kept = self._http, self._etcd, self._client_fingerprint
        try:
            source = self._build_source()
        except Exception:
            (self._config, self._operator_config), (self._http, self._etcd, self._client_fingerprint) = (
                before,
                kept,
            )
            raise
        self._telemetry.log("discovery.source", source="etcd" if self._etcd else "platform")
        self.source.switch_to(source)
        if old:
            old.close()

    def _same_keyspace(self, before: LoadedOperatorConfig | None) -> bool:
        """Whether the settings differ in nothing but members and how to get in."""
        assert before is not None and self._operator_config is not None
        apart = ("members", "user", "password_file", "tls")
        old, new = before.config.directory.etcd, self._operator_config.config.directory.etcd
        names = (name for name in type(old).__struct_fields__ if name not in apart)
        return all(getattr(old, name) == getattr(new, name) for name in names)

    def _replace_client(self, source: EtcdEndpointSource) -> None:
        from kestreltrack.sender import etcd_factory as build

        assert self._operator_config is not None
        if (now := build.fingerprint(self._operator_config)) != self._client_fingerprint:
            source.replace_client(build.create_client(self._operator_config))
            self._client_fingerprint = now

    def background_tasks(self, set_sender_count: Callable[[int], None]) -> list[Coroutine[Any, Any, None]]:
        """What runs beside the sender: its entry in the register, and who stands there: their number, addresses."""
        found = [self._stay_registered(), self._follow_member_count(set_sender_count)] if self._etcd else []
        return [*found, self._look_up_seeds(self.on_seeds_found)] if found and self.on_seeds_found else found

    async def _look_up_seeds(self, on_seeds_found: Callable[[list[str]], None]) -> None:
        from kestreltrack.sender import etcd_factory as build

        assert self._etcd is not None and self._operator_config is not None
        await build.create_seed_lookup(
            self._etcd, self._operator_config, on_seeds_found, self._telemetry
        ).run()

    async def _follow_member_count(self, set_sender_count: Callable[[int], None]) -> None:
        from kestreltrack.sender import etcd_factory as build

        assert self._etcd is not None and self._operator_config is not None
        relays = self._config.settings.sender_count
        if self._operator_config.config.directory.etcd.follow_relays:
            # The number outlives a reload: to begin again with the configured one could be a jump.
            self._member_count = build.create_member_count(self._operator_config, relays, self._member_count)
            counting = build.create_member_counter(
                self._etcd,
                self._operator_config,
                self._member_count,
                set_sender_count,
                self._clock,
                self._telemetry,
            )
            await counting.run()
        elif self._member_count is not None:
            self._member_count = None
            set_sender_count(relays)

    async def _stay_registered(self) -> None:
        from kestreltrack.sender import etcd_factory as build

        assert self._etcd is not None and self._operator_config is not None
        if self._operator_config.config.directory.etcd.register:
            name = self._config.name or f"sender-{os.getpid()}"
            await build.create_registration(self._etcd, self._operator_config, name, self._telemetry).run()

    def close(self) -> None:
        """Close what is open."""
        if self._etcd:
            self._etcd.close()
