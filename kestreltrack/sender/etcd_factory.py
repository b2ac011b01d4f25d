"""Creates the etcd client, and the components that use it, from the operator's settings."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path

from kestreltrack import VERSION
from kestreltrack.config.operator import LoadedOperatorConfig
from kestreltrack.config.operator_tables import EtcdTable
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
    """Return the addresses of the etcd cluster and the credentials for it."""
    table = operator_config.config.directory.etcd
    tls = (
        TlsSettings(table.tls.ca, table.tls.cert, table.tls.key, table.tls.server_name) if table.tls else None
    )
    return ClusterSettings(table.members, tls, table.user, operator_config.password)


def create_client(operator_config: LoadedOperatorConfig) -> EtcdClient:
    """Create a client of the etcd cluster.

    Raises:
        ConfigError: A TLS file cannot be used.
    """
    try:
        return EtcdClient(cluster_settings(operator_config))
    except OSError as error:
        tls = operator_config.config.directory.etcd.tls
        raise ConfigError(f"directory.etcd.tls: {tls.ca if tls else ''}: {error}") from error


def watch_parameters(table: EtcdTable) -> WatchParameters:
    """Return the parameters of a watch."""
    return WatchParameters(
        member_count=len(table.members),
        page_size=table.page_size,
        confirm_interval_ms=table.confirm_interval_ms,
        response_timeout_ms=table.response_timeout_ms,
        reconnect_spread_ms=table.reconnect_spread_ms,
        max_backoff_ms=table.max_backoff_ms,
    )


def create_source(
    operator_config: LoadedOperatorConfig, clock: Clock, telemetry: Telemetry
) -> EtcdEndpointSource:
    """Create the source of the endpoint list.

    Raises:
        ConfigError: A TLS file cannot be used.
    """
    table = operator_config.config.directory.etcd
    stale_ms = tuple(1000.0 * age for age in table.stale_ages_s)
    return EtcdEndpointSource(
        create_client(operator_config), table.prefix, watch_parameters(table), clock, telemetry, stale_ms
    )


def create_registration(
    source: EtcdEndpointSource, operator_config: LoadedOperatorConfig, name: str, telemetry: Telemetry
) -> SenderRegistration:
    """Create the registration of this sender under `name`."""
    table = operator_config.config.directory.etcd
    return SenderRegistration(
        lambda: source.client,
        table.prefix,
        name,
        VERSION,
        lambda: source.applied_revision,
        table.lease_s,
        telemetry,
        table.response_timeout_ms / 1000.0,
        operator_config.config.fleet.advertise or operator_config.config.fleet.listen,
    )


def create_seed_lookup(
    source: EtcdEndpointSource,
    operator_config: LoadedOperatorConfig,
    on_seeds_found: Callable[[list[str]], None],
    telemetry: Telemetry,
) -> SeedLookup:
    """Create the lookup that reads the addresses of other fleet members from their registrations."""
    table = operator_config.config.directory.etcd
    return SeedLookup(
        lambda: source.client, table.prefix, on_seeds_found, telemetry, table.response_timeout_ms / 1000.0
    )


def create_member_count(
    operator_config: LoadedOperatorConfig, configured_senders: int, previous: MemberCount | None
) -> MemberCount:
    """Create the count of senders that share a limit; it starts at the previous count, if any, else as configured."""
    table = operator_config.config.directory.etcd
    value = previous.value if previous else configured_senders
    return MemberCount(value, 1000.0 * table.count_grace_period_s, 1000.0 * table.count_decrease_interval_s)


def create_member_count_reader(
    source: EtcdEndpointSource,
    operator_config: LoadedOperatorConfig,
    member_count: MemberCount,
    set_sender_count: Callable[[int], None],
    clock: Clock,
    telemetry: Telemetry,
) -> MemberCountReader:
    """Create the reader that counts the registered senders and updates `member_count`."""
    table = operator_config.config.directory.etcd
    timeout_s = table.response_timeout_ms / 1000.0
    return MemberCountReader(
        lambda: source.client, table.prefix, member_count, set_sender_count, clock, telemetry, timeout_s
    )


def client_fingerprint(operator_config: LoadedOperatorConfig) -> tuple[ClusterSettings, str]:
    """Return a value that differs from an earlier one if the client has to be replaced.

    It covers the addresses, the credentials and the contents of the TLS files.
    """
    cluster = cluster_settings(operator_config)
    digest = hashlib.sha256()
    if cluster.tls:
        for path in (cluster.tls.ca_file, cluster.tls.cert_file, cluster.tls.key_file):
            digest.update(Path(path).read_bytes() if path and Path(path).exists() else b"-")
    return cluster, digest.hexdigest()
