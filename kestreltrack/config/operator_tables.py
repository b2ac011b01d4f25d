"""The tables of the operator's file, with the type, the bounds and the default of each key.

The keys are part of the file format: a field whose attribute is named differently gives its key as `name`.
`deploy/kestreltrack.toml` describes each key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Milliseconds = Annotated[float, Meta(ge=10, le=3_600_000)]


class TlsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the certificates that authenticate the etcd members and the sender."""

    ca: str
    cert: str = ""
    key: str = ""
    # The host name expected in a member's certificate; if empty, the host of the member's address.
    server_name: str = msgspec.field(name="name", default="")


class EtcdTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The etcd cluster that stores the endpoint list, and the parameters of the watch on it."""

    members: tuple[str, ...] = ()
    prefix: Annotated[str, Meta(pattern="^/([^/]+/)*$")] = "/kestreltrack/"
    user: str = ""
    password_file: str = ""
    page_size: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(name="page", default=1000)
    confirm_interval_ms: Milliseconds = msgspec.field(name="confirm_ms", default=1000.0)
    response_timeout_ms: Milliseconds = msgspec.field(name="answer_ms", default=1000.0)
    reconnect_spread_ms: Annotated[float, Meta(ge=0, le=60_000)] = msgspec.field(
        name="spread_ms", default=200.0
    )
    max_backoff_ms: Milliseconds = msgspec.field(name="most_wait_ms", default=5000.0)
    stale_ages_s: tuple[Annotated[float, Meta(gt=0)], ...] = msgspec.field(
        name="stale_s", default=(5.0, 60.0, 600.0)
    )
    register: bool = True
    lease_s: Annotated[int, Meta(ge=2, le=3600)] = 10
    follow_member_count: bool = msgspec.field(name="follow_relays", default=False)
    count_grace_period_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_linger_s", default=600.0
    )
    count_decrease_interval_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_step_s", default=30.0
    )
    tls: TlsTable | None = None


class DirectoryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The source of the endpoint list."""

    source: Literal["platform", "etcd"] = "platform"
    etcd: EtcdTable = EtcdTable()


class CaptureTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The capture of the decision module's events and decisions; with an empty `folder` nothing is recorded."""

    folder: str = ""
    autostart: bool = msgspec.field(name="on", default=True)
    full_actions: bool = msgspec.field(name="whole", default=False)
    key_file: str = ""
    max_total_mb: Annotated[float, Meta(ge=1, le=1_000_000)] = msgspec.field(name="most_mb", default=256.0)
    max_age_s: Annotated[float, Meta(ge=1)] = msgspec.field(name="most_age_s", default=86_400.0)
    max_file_mb: Annotated[float, Meta(ge=0.01, le=1000)] = msgspec.field(name="file_mb", default=16.0)


class AdminTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses that accept commands to the running sender; an empty one is disabled."""

    socket: str = ""
    # host:port of the operators' HTTP interface, unless the platform sets one (GW_ADMIN_ADDR).
    addr: str = ""


class ReplicatedConfigTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The voters of the replicated configuration (`name=id of its state folder`); the first accepts proposals."""

    voters: tuple[str, ...] = ()
    lease_ms: Milliseconds = 3000.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The gossip with the other senders of the fleet; an empty `listen` disables it."""

    listen: str = ""
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    probe_interval_ms: Milliseconds = msgspec.field(name="round_ms", default=1000.0)
    probe_timeout_ms: Milliseconds = msgspec.field(name="answer_ms", default=400.0)
    follow_member_count: bool = msgspec.field(name="follow_relays", default=False)
    count_grace_period_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_linger_s", default=600.0
    )
    count_decrease_interval_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_step_s", default=30.0
    )
    share_quotas: bool = msgspec.field(name="lend", default=False)
    replicated_config: ReplicatedConfigTable = msgspec.field(name="agreed", default=ReplicatedConfigTable())


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All tables of the file."""

    directory: DirectoryTable = DirectoryTable()
    capture: CaptureTable = CaptureTable()
    admin: AdminTable = AdminTable()
    fleet: FleetTable = FleetTable()
