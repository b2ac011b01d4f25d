"""Which list source the configuration asks for, and the move to another one at SIGHUP."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from kestreltrack.config.node import NodeConfig
from kestreltrack.machinelist.http import HttpListSource
from kestreltrack.machinelist.switch import Switch
from kestreltrack.ports import Clock, ListSource
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.config.operator import Loaded
    from kestreltrack.fleet.membership.headcount import Headcount
    from kestreltrack.machinelist.etcd.source import EtcdListSource


def follows_etcd(loaded: Loaded | None) -> bool:
    """Whether the machine list comes from etcd."""
    return loaded is not None and loaded.operator.directory.source == "etcd"


class Directory:
    """The machine list's source, behind a switch.  What etcd needs is imported only where it is asked for."""

    def __init__(self, config: NodeConfig, loaded: Loaded | None, clock: Clock, telemetry: Telemetry) -> None:
        """Build the source; raises `ConfigError`."""
        self._config, self._loaded, self._clock, self._telemetry = config, loaded, clock, telemetry
        self._http: HttpListSource | None = None
        self._etcd: EtcdListSource | None = None
        self._print: object = None
        self._headcount: Headcount | None = None
        self.acquaint: Callable[[list[str]], None] | None = (
            None  # takes addresses of the fleet, where it talks
        )
        self.switch = Switch(self._build())

    def _build(self) -> ListSource:
        self._http = self._etcd = None
        if not follows_etcd(self._loaded):
            settings = self._config.settings
            pushed_ms = 0.0 if settings.must_ask else settings.safety.drain_grace_ms
            self._http = HttpListSource(self._config.discovery, self._telemetry, settings.relays, pushed_ms)
            return self._http
        from kestreltrack.sender import etcd as build

        assert self._loaded is not None
        self._print = build.fingerprint(self._loaded)
        self._etcd = build.source(self._loaded, self._clock, self._telemetry)
        return self._etcd

    def reload(self, config: NodeConfig, loaded: Loaded | None) -> None:
        """Take over settings that were read again: move the source, or leave it for another one.

        Raises `ConfigError` before anything is changed.
        """
        before, old = (self._config, self._loaded), self._etcd
        self._config, self._loaded = config, loaded
        if self._http and not follows_etcd(loaded):
            if before[0].discovery != config.discovery:
                self._http.move(config.discovery)
            return
        if old and follows_etcd(loaded) and self._same_keys(before[1]):
            self._renew(old)
            return
        kept = self._http, self._etcd, self._print
        try:
            source = self._build()
        except Exception:
            (self._config, self._loaded), (self._http, self._etcd, self._print) = before, kept
            raise
        self._telemetry.log("machinelist.source", source="etcd" if self._etcd else "platform")
        self.switch.to(source)
        if old:
            old.close()

    def _same_keys(self, before: Loaded | None) -> bool:
        """Whether the settings differ in nothing but members and how to get in."""
        assert before is not None and self._loaded is not None
        apart = ("members", "user", "password_file", "tls")
        old, new = before.operator.directory.etcd, self._loaded.operator.directory.etcd
        names = (name for name in type(old).__struct_fields__ if name not in apart)
        return all(getattr(old, name) == getattr(new, name) for name in names)

    def _renew(self, source: EtcdListSource) -> None:
        from kestreltrack.sender import etcd as build

        assert self._loaded is not None
        if (now := build.fingerprint(self._loaded)) != self._print:
            source.move(build.connect(self._loaded))
            self._print = now

    def helpers(self, share: Callable[[int], None]) -> list[Coroutine[Any, Any, None]]:
        """What runs beside the sender: its entry in the register, and who stands there: their number, addresses."""
        found = [self._stay_registered(), self._count(share)] if self._etcd else []
        return [*found, self._acquaint(self.acquaint)] if found and self.acquaint else found

    async def _acquaint(self, tell: Callable[[list[str]], None]) -> None:
        from kestreltrack.sender import etcd as build

        assert self._etcd is not None and self._loaded is not None
        await build.acquaint(self._etcd, self._loaded, tell, self._telemetry).run()

    async def _count(self, share: Callable[[int], None]) -> None:
        from kestreltrack.sender import etcd as build

        assert self._etcd is not None and self._loaded is not None
        relays = self._config.settings.relays
        if self._loaded.operator.directory.etcd.follow_relays:
            # The number outlives a reload: to begin again with the configured one could be a jump.
            self._headcount = build.headcount(self._loaded, relays, self._headcount)
            counting = build.census(
                self._etcd, self._loaded, self._headcount, share, self._clock, self._telemetry
            )
            await counting.run()
        elif self._headcount is not None:
            self._headcount = None
            share(relays)

    async def _stay_registered(self) -> None:
        from kestreltrack.sender import etcd as build

        assert self._etcd is not None and self._loaded is not None
        if self._loaded.operator.directory.etcd.register:
            name = self._config.name or f"sender-{os.getpid()}"
            await build.register(self._etcd, self._loaded, name, self._telemetry).run()

    def close(self) -> None:
        """Close what is open."""
        if self._etcd:
            self._etcd.close()
