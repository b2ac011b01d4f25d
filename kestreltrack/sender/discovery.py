"""Creates the configured source of the endpoint list, and replaces it when a reload selects another one."""

from __future__ import annotations

import os
from collections.abc import Callable, Container, Coroutine
from dataclasses import dataclass
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

# Settings that only affect how the etcd cluster is reached: the source keeps its state when they change.
CONNECTION_SETTINGS = ("members", "user", "password_file", "tls")


def uses_etcd(operator_config: LoadedOperatorConfig | None) -> bool:
    """Return whether the settings select etcd as the source of the endpoint list."""
    return operator_config is not None and operator_config.config.directory.source == "etcd"


@dataclass(frozen=True, slots=True)
class _SourceState:
    """The settings in force and the source created from them: either `http` or `etcd` is set."""

    config: SenderConfig
    operator_config: LoadedOperatorConfig | None
    http: HttpEndpointSource | None
    etcd: EtcdEndpointSource | None
    client_fingerprint: object


class ServiceDiscovery:
    """Owns the source of the endpoint list.

    The modules for etcd, and the libraries that they need, are imported only when etcd is the source.

    Attributes:
        source: The source to follow; it stays the same object when another source takes over.
        wanted_destinations: Returns the destinations to keep where the memory does not hold the whole list.
        on_seeds_found: Takes the addresses of other fleet members; `None` if this sender is in no fleet.
    """

    def __init__(
        self,
        config: SenderConfig,
        operator_config: LoadedOperatorConfig | None,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Create the source.

        Args:
            config: The settings that the platform gives.
            operator_config: The operator's settings; `None` where there are none.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.

        Raises:
            ConfigError: The settings of the source cannot be used.
        """
        self._config = config
        self._operator_config = operator_config
        self._clock = clock
        self._telemetry = telemetry
        self._http: HttpEndpointSource | None = None
        self._etcd: EtcdEndpointSource | None = None
        self._client_fingerprint: object = None
        self._member_count: MemberCount | None = None
        self.on_seeds_found: Callable[[list[str]], None] | None = None
        self.wanted_destinations: Callable[[], Container[int]] = tuple
        self.source = SwitchableSource(self._build_source())

    def _build_source(self) -> EndpointSource:
        self._http = None
        self._etcd = None
        if uses_etcd(self._operator_config):
            return self._build_etcd_source()
        settings = self._config.settings
        push_deadline_ms = 0.0 if settings.must_poll else settings.safety.drain_grace_ms
        self._http = HttpEndpointSource(
            self._config.discovery,
            self._telemetry,
            settings.sender_count,
            push_deadline_ms,
            max_endpoints=self._config.memory_plan().max_listed_endpoints,
        )
        self._http.wanted = lambda: self.wanted_destinations()
        return self._http

    def _build_etcd_source(self) -> EndpointSource:
        from kestreltrack.sender import etcd_factory

        assert self._operator_config is not None
        self._client_fingerprint = etcd_factory.client_fingerprint(self._operator_config)
        self._etcd = etcd_factory.create_source(self._operator_config, self._clock, self._telemetry)
        return self._etcd

    def request_complete_list(self, at_once: bool) -> None:
        """Have the platform's complete list requested, by the next call or at once; etcd has no such request."""
        if self._http and at_once:
            self._http.restart()
        elif self._http:
            self._http.request_complete_list()

    # Reload --------------------------------------------------------------------------------------

    def reload(self, config: SenderConfig, operator_config: LoadedOperatorConfig | None) -> None:
        """Apply reloaded settings: update the source in place where possible, else switch to a new one.

        Raises:
            ConfigError: The settings of the source cannot be used; nothing has changed.
        """
        previous = self._state()
        self._config = config
        self._operator_config = operator_config
        if self._http and not uses_etcd(operator_config):
            if previous.config.discovery != config.discovery:
                self._http.change_address(config.discovery)
            return
        if self._etcd and uses_etcd(operator_config) and self._same_keyspace(previous.operator_config):
            self._replace_client(self._etcd)
            return
        self._switch_source(previous)

    def _state(self) -> _SourceState:
        return _SourceState(
            self._config, self._operator_config, self._http, self._etcd, self._client_fingerprint
        )

    def _restore(self, state: _SourceState) -> None:
        self._config = state.config
        self._operator_config = state.operator_config
        self._http = state.http
        self._etcd = state.etcd
        self._client_fingerprint = state.client_fingerprint

    def _switch_source(self, previous: _SourceState) -> None:
        try:
            source = self._build_source()
        except Exception:
            self._restore(previous)
            raise
        self._telemetry.log("discovery.source", source="etcd" if self._etcd else "platform")
        self.source.switch_to(source)
        if previous.etcd:
            previous.etcd.close()

    def _same_keyspace(self, previous: LoadedOperatorConfig | None) -> bool:
        """Return whether the etcd settings differ in nothing but `CONNECTION_SETTINGS`."""
        assert previous is not None
        assert self._operator_config is not None
        old = previous.config.directory.etcd
        new = self._operator_config.config.directory.etcd
        names = (name for name in type(old).__struct_fields__ if name not in CONNECTION_SETTINGS)
        return all(getattr(old, name) == getattr(new, name) for name in names)

    def _replace_client(self, source: EtcdEndpointSource) -> None:
        from kestreltrack.sender import etcd_factory

        assert self._operator_config is not None
        fingerprint = etcd_factory.client_fingerprint(self._operator_config)
        if fingerprint != self._client_fingerprint:
            source.replace_client(etcd_factory.create_client(self._operator_config))
            self._client_fingerprint = fingerprint

    # Background tasks ----------------------------------------------------------------------------

    def background_tasks(self, set_sender_count: Callable[[int], None]) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks to run; there are none unless etcd is the source.

        They keep the sender registered, follow the number of registered senders, and look up the addresses of other
        fleet members.
        """
        if not self._etcd:
            return []
        coroutines = [self._stay_registered(), self._follow_member_count(set_sender_count)]
        if self.on_seeds_found:
            coroutines.append(self._look_up_seeds(self.on_seeds_found))
        return coroutines

    async def _stay_registered(self) -> None:
        from kestreltrack.sender import etcd_factory

        assert self._etcd is not None
        assert self._operator_config is not None
        if self._operator_config.config.directory.etcd.register:
            name = self._config.name or f"sender-{os.getpid()}"
            registration = etcd_factory.create_registration(
                self._etcd, self._operator_config, name, self._telemetry
            )
            await registration.run()

    async def _follow_member_count(self, set_sender_count: Callable[[int], None]) -> None:
        from kestreltrack.sender import etcd_factory

        assert self._etcd is not None
        assert self._operator_config is not None
        configured_senders = self._config.settings.sender_count
        if self._operator_config.config.directory.etcd.follow_member_count:
            # The count is kept across reloads: restarting from the configured number could make it jump.
            self._member_count = etcd_factory.create_member_count(
                self._operator_config, configured_senders, self._member_count
            )
            reader = etcd_factory.create_member_count_reader(
                self._etcd,
                self._operator_config,
                self._member_count,
                set_sender_count,
                self._clock,
                self._telemetry,
            )
            await reader.run()
        elif self._member_count is not None:
            self._member_count = None
            set_sender_count(configured_senders)

    async def _look_up_seeds(self, on_seeds_found: Callable[[list[str]], None]) -> None:
        from kestreltrack.sender import etcd_factory

        assert self._etcd is not None
        assert self._operator_config is not None
        lookup = etcd_factory.create_seed_lookup(
            self._etcd, self._operator_config, on_seeds_found, self._telemetry
        )
        await lookup.run()

    def close(self) -> None:
        """Close the connections to etcd, if there are any."""
        if self._etcd:
            self._etcd.close()
