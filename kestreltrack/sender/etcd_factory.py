"""From the operator's settings to a list source and a register entry."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path

from kestreltrack import VERSION
from kestreltrack.config.operator import EtcdTable, LoadedOperatorConfig
from kestreltrack.config.sender import ConfigError
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient, TlsSettings
from kestreltrack.discovery.etcd.member_count import MemberCountReader
from kestreltrack.discovery.etcd.registration import SenderRegistration
from kestreltrack.discovery.etcd.seed_lookup import SeedLookup
from kestreltrack.discovery.etcd.source import EtcdEndpointSource
from kestreltrack.discovery.etcd.watch_types import WatchParameters
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry


def cluster_settings(operator_config: LoadedOperatorConfig) -> ClusterSettings:
    """Where the cluster is and how to get in."""
    table = operator_config.config.directory.etcd
    tls = TlsSettings(table.tls.ca, table.tls.cert, table.tls.key, table.tls.name) if table.tls else None
    return ClusterSettings(table.members, tls, table.user, operator_config.password)


def create_client(operator_config: LoadedOperatorConfig) -> EtcdClient:
    """A client by the settings; raises `ConfigError` where a file of TLS cannot be used."""
    try:
        return EtcdClient(cluster_settings(operator_config))
    except OSError as bad:
        tls = operator_config.config.directory.etcd.tls
        raise ConfigError(f"directory.etcd.tls: {tls.ca if tls else ''}: {bad}") from bad


def watch_parameters(table: EtcdTable) -> WatchParameters:
    """The pursuit's figures."""
    return WatchParameters(
        member_count=len(table.members),
        page_size=table.page,
        confirm_interval_ms=table.confirm_ms,
        response_timeout_ms=table.answer_ms,
        reconnect_spread_ms=table.spread_ms,
        max_backoff_ms=table.most_wait_ms,
    )


def create_source(
    operator_config: LoadedOperatorConfig, clock: Clock, telemetry: Telemetry
) -> EtcdEndpointSource:
    """The list source."""
    table = operator_config.config.directory.etcd
    stale_ms = tuple(1000.0 * age for age in table.stale_s)
    return EtcdEndpointSource(
        create_client(operator_config), table.prefix, watch_parameters(table), clock, telemetry, stale_ms
    )


def create_registration(
    source: EtcdEndpointSource, operator_config: LoadedOperatorConfig, name: str, telemetry: Telemetry
) -> SenderRegistration:
    """The sender's entry in the register."""
    table = operator_config.config.directory.etcd
    return SenderRegistration(
        lambda: source.client,
        table.prefix,
        name,
        VERSION,
        lambda: source.applied_revision,
        table.lease_s,
        telemetry,
        table.answer_ms / 1000.0,
        operator_config.config.fleet.advertise or operator_config.config.fleet.listen,
    )


def create_seed_lookup(
    source: EtcdEndpointSource,
    operator_config: LoadedOperatorConfig,
    on_seeds_found: Callable[[list[str]], None],
    telemetry: Telemetry,
) -> SeedLookup:
    """What reads from the register where others of the fleet are."""
    table = operator_config.config.directory.etcd
    return SeedLookup(
        lambda: source.client, table.prefix, on_seeds_found, telemetry, table.answer_ms / 1000.0
    )


def create_member_count(
    operator_config: LoadedOperatorConfig, configured_senders: int, previous: MemberCount | None
) -> MemberCount:
    """The number of senders that share a limit: goes on from the one before, else from the configured."""
    table = operator_config.config.directory.etcd
    value = previous.value if previous else configured_senders
    return MemberCount(value, 1000.0 * table.relays_linger_s, 1000.0 * table.relays_step_s)


def create_member_counter(
    source: EtcdEndpointSource,
    operator_config: LoadedOperatorConfig,
    member_count: MemberCount,
    set_sender_count: Callable[[int], None],
    clock: Clock,
    telemetry: Telemetry,
) -> MemberCountReader:
    """What counts the senders in the register."""
    table = operator_config.config.directory.etcd
    timeout_s = table.answer_ms / 1000.0
    return MemberCountReader(
        lambda: source.client, table.prefix, member_count, set_sender_count, clock, telemetry, timeout_s
    )


def fingerprint(operator_config: LoadedOperatorConfig) -> tuple[ClusterSettings, str]:
    """Differs where a client has to be made anew: other members, another password, files with other content."""
    at = cluster_settings(operator_config)
    files = (at.tls.ca_file, at.tls.cert_file, at.tls.key_file) if at.tls else ()
    digest = hashlib.sha256()
    for path in files:
        digest.update(Path(path).read_bytes() if path and Path(path).exists() else b"-")
    return at, digest.hexdigest()
