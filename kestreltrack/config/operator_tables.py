"""The tables of the operator's file, with the type, the bounds and the default of each key.

The keys of the file are fixed: where an attribute has another name, or may get one, the key is given.
`deploy/kestreltrack.toml` says what each key does.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Milliseconds = Annotated[float, Meta(ge=10, le=3_600_000)]


class TlsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the certificates by which etcd's members and the sender itself are authenticated."""

    ca: str
    cert: str = ""
    key: str = ""
    # The host name that a member's certificate has to carry; empty: the one of its address.
    name: str = ""


class EtcdTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The etcd cluster that holds the endpoint list, and how it is watched."""

    members: tuple[str, ...] = ()
    prefix: Annotated[str, Meta(pattern="^/([^/]+/)*$")] = "/kestreltrack/"
    user: str = ""
    password_file: str = ""
    page: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(name="page", default=1000)
    confirm_ms: Milliseconds = msgspec.field(name="confirm_ms", default=1000.0)
    answer_ms: Milliseconds = msgspec.field(name="answer_ms", default=1000.0)
    spread_ms: Annotated[float, Meta(ge=0, le=60_000)] = msgspec.field(name="spread_ms", default=200.0)
    most_wait_ms: Milliseconds = msgspec.field(name="most_wait_ms", default=5000.0)
    stale_s: tuple[Annotated[float, Meta(gt=0)], ...] = msgspec.field(
        name="stale_s", default=(5.0, 60.0, 600.0)
    )
    register: bool = True
    lease_s: Annotated[int, Meta(ge=2, le=3600)] = 10
    follow_relays: bool = msgspec.field(name="follow_relays", default=False)
    relays_linger_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_linger_s", default=600.0
    )
    relays_step_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(name="relays_step_s", default=30.0)
    tls: TlsTable | None = None


class DirectoryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the endpoint list comes from."""

    source: Literal["platform", "etcd"] = "platform"
    etcd: EtcdTable = EtcdTable()


class CaptureTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the decision module's events and decisions are recorded; an empty `folder` records nothing."""

    folder: str = ""
    on: bool = msgspec.field(name="on", default=True)
    whole: bool = msgspec.field(name="whole", default=False)
    key_file: str = ""
    most_mb: Annotated[float, Meta(ge=1, le=1_000_000)] = msgspec.field(name="most_mb", default=256.0)
    most_age_s: Annotated[float, Meta(ge=1)] = msgspec.field(name="most_age_s", default=86_400.0)
    file_mb: Annotated[float, Meta(ge=0.01, le=1000)] = msgspec.field(name="file_mb", default=16.0)


class AdminTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where commands to the running sender are accepted, if anywhere."""

    socket: str = ""
    # host:port for the operators' HTTP calls, where the platform names none (GW_ADMIN_ADDR).
    addr: str = ""


class AgreedTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The voters of the replicated configuration (`name=id of its folder`); the first accepts proposals."""

    voters: tuple[str, ...] = ()
    lease_ms: Milliseconds = 3000.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this sender exchanges gossip with the others of its fleet; an empty `listen` turns that off."""

    listen: str = ""
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    round_ms: Milliseconds = msgspec.field(name="round_ms", default=1000.0)
    answer_ms: Milliseconds = msgspec.field(name="answer_ms", default=400.0)
    follow_relays: bool = msgspec.field(name="follow_relays", default=False)
    relays_linger_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(
        name="relays_linger_s", default=600.0
    )
    relays_step_s: Annotated[float, Meta(ge=1, le=86_400)] = msgspec.field(name="relays_step_s", default=30.0)
    lend: bool = msgspec.field(name="lend", default=False)
    agreed: AgreedTable = msgspec.field(name="agreed", default=AgreedTable())


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All tables of the file."""

    directory: DirectoryTable = DirectoryTable()
    capture: CaptureTable = CaptureTable()
    admin: AdminTable = AdminTable()
    fleet: FleetTable = FleetTable()
