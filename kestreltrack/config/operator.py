"""The operator's file (`deploy/kestreltrack.toml`): what this sender does beyond what the platform asks.

Every key can also be set by a variable (`directory.etcd.page` by `KESTRELTRACK_DIRECTORY_ETCD_PAGE`; lists with
commas) and by a flag (`--set directory.etcd.page=500`): flag over variable over file over default.  Secrets come
from a file of their own or a variable, never from a flag, and are never printed.

Imported only where a file, a variable or a flag asks for it: without them the sender is as it was.
"""

from __future__ import annotations

import os
import re
import stat
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from kestreltrack.config.sender import ConfigError
from kestreltrack.http1 import split_address

FILE_VARIABLE, VARIABLE_PREFIX = "KESTRELTRACK_OPERATOR_FILE", "KESTRELTRACK_"
PASSWORD_VARIABLE = "KESTRELTRACK_DIRECTORY_ETCD_PASSWORD"
ERROR_LOCATION = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<at>[^`]*)`)?$", re.DOTALL)
VOTER_PATTERN = re.compile(r"^[^=]{1,64}(=[0-9a-f]{32})?$")
UNKNOWN_FIELD = re.compile(r"unknown field `(?P<key>[^`]*)`")

Milliseconds = Annotated[float, Meta(ge=10, le=3_600_000)]


class TlsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How members prove themselves, and the sender itself."""

    ca: str
    cert: str = ""
    key: str = ""
    name: str = ""


class EtcdTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cluster that holds the directory, and how it is followed."""

    members: tuple[str, ...] = ()
    prefix: Annotated[str, Meta(pattern="^/([^/]+/)*$")] = "/kestreltrack/"
    user: str = ""
    password_file: str = ""
    page: Annotated[int, Meta(ge=1, le=10_000)] = 1000
    confirm_ms: Milliseconds = 1000.0
    answer_ms: Milliseconds = 1000.0
    spread_ms: Annotated[float, Meta(ge=0, le=60_000)] = 200.0
    most_wait_ms: Milliseconds = 5000.0
    stale_s: tuple[Annotated[float, Meta(gt=0)], ...] = (5.0, 60.0, 600.0)
    register: bool = True
    lease_s: Annotated[int, Meta(ge=2, le=3600)] = 10
    follow_relays: bool = False
    relays_linger_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    relays_step_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0
    tls: TlsTable | None = None


class DirectoryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the machine list comes from."""

    source: Literal["platform", "etcd"] = "platform"
    etcd: EtcdTable = EtcdTable()


class CaptureTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where everything that the module is told is kept, if anywhere."""

    folder: str = ""
    on: bool = True
    whole: bool = False
    key_file: str = ""
    most_mb: Annotated[float, Meta(ge=1, le=1_000_000)] = 256.0
    most_age_s: Annotated[float, Meta(ge=1)] = 86_400.0
    file_mb: Annotated[float, Meta(ge=0.01, le=1000)] = 16.0


class AdminTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where commands to the running sender are taken, if anywhere."""

    socket: str = ""
    addr: str = ""  # host:port for the operators' HTTP calls, where the platform names none (GW_ADMIN_ADDR)


class AgreedTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who votes on what all senders act on (`name=id of its folder`), if anybody; the first takes proposals."""

    voters: tuple[str, ...] = ()
    lease_ms: Milliseconds = 3000.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this sender talks with the others of its fleet, if anywhere."""

    listen: str = ""
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    round_ms: Milliseconds = 1000.0
    answer_ms: Milliseconds = 400.0
    follow_relays: bool = False
    relays_linger_s: Annotated[float, Meta(ge=1, le=86_400)] = 600.0
    relays_step_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0
    lend: bool = False
    agreed: AgreedTable = AgreedTable()


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    directory: DirectoryTable = DirectoryTable()
    capture: CaptureTable = CaptureTable()
    admin: AdminTable = AdminTable()
    fleet: FleetTable = FleetTable()


@dataclass(frozen=True, slots=True)
class LoadedOperatorConfig:
    """What is in force, where each value came from, and the secrets apart from it."""

    config: OperatorConfig
    origins: dict[str, str]
    password: str = field(default="", repr=False)


def _leaf_fields(struct_type: type, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Each key by its dotted name, with its type."""
    for item in msgspec.structs.fields(struct_type):
        name, inner = f"{prefix}{item.name}", item.type
        for option in getattr(inner, "__args__", (inner,)):
            if isinstance(option, type) and issubclass(option, msgspec.Struct):
                yield from _leaf_fields(option, f"{name}.")
                break
        else:
            yield name, item


FIELDS_BY_KEY = dict(_leaf_fields(OperatorConfig))


def variable_name(key: str) -> str:
    """The variable that sets a key."""
    return VARIABLE_PREFIX + key.upper().replace(".", "_")


def _set_key(table: dict[str, Any], key: str, value: Any) -> None:
    *path, last = key.split(".")
    for part in path:
        inner = table.setdefault(part, {})
        if not isinstance(inner, dict):
            return  # the check of types will name it
        table = inner
    table[last] = value


def _split_if_list(key: str, text: str) -> Any:
    """A variable's or flag's text, split where the key holds a list; the check of types converts the rest."""
    return (
        [part.strip() for part in text.split(",") if part.strip()]
        if "tuple" in str(FIELDS_BY_KEY[key].type)
        else text
    )


def _flatten_keys(table: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    for name, value in table.items():
        if isinstance(value, dict) and f"{prefix}{name}" not in FIELDS_BY_KEY:
            yield from _flatten_keys(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}"


def load_operator_config(
    env: Mapping[str, str], flags: Mapping[str, str] | None = None
) -> LoadedOperatorConfig:
    """Read and check everything; raises `ConfigError` with one line that names source, key and what was expected."""
    table, origins, path = dict[str, Any](), dict[str, str](), env.get(FILE_VARIABLE, "")
    if path:
        try:
            table = tomllib.loads(Path(path).read_text())
        except (OSError, ValueError) as bad:
            raise ConfigError(f"{path}: {bad}") from bad
        origins = {key: f"file {path}" for key in _flatten_keys(table)}
    by_variable = {variable_name(key): key for key in FIELDS_BY_KEY}
    for name, text in env.items():
        if name in by_variable:
            _set_key(table, by_variable[name], _split_if_list(by_variable[name], text))
            origins[by_variable[name]] = f"variable {name}"
        elif name.startswith(VARIABLE_PREFIX) and name not in (FILE_VARIABLE, PASSWORD_VARIABLE):
            raise ConfigError(
                f"{name}: no such key; a variable is named like {variable_name('directory.source')}"
            )
    for key, text in (flags or {}).items():
        if key not in FIELDS_BY_KEY:
            raise ConfigError(f"--set {key}: no such key")
        _set_key(table, key, _split_if_list(key, text))
        origins[key] = f"flag --set {key}"
    try:
        operator = msgspec.convert(table, OperatorConfig, strict=False)
    except msgspec.ValidationError as bad:
        raise ConfigError(_error_line(str(bad), origins, path)) from None
    for key in FIELDS_BY_KEY:
        origins.setdefault(key, "default")
    return LoadedOperatorConfig(operator, origins, _validate(operator, origins, env))


def _error_line(text: str, origins: Mapping[str, str], path: str) -> str:
    found = ERROR_LOCATION.match(text)
    what, at = (found["what"], found["at"] or "") if found else (text, "")
    at = re.sub(r"\[[^]]*\]", "", at)
    if unknown := UNKNOWN_FIELD.search(what):
        at, what = f"{at}.{unknown['key']}".lstrip("."), "no such key"
    source = origins.get(at) or (f"file {path}" if path else "operator's settings")
    return f"{source}: {at}: {what[:1].lower()}{what[1:]}"


def _validate(config: OperatorConfig, origins: Mapping[str, str], env: Mapping[str, str]) -> str:
    """What types cannot say; returns the password."""
    etcd = config.directory.etcd

    def fault(key: str, text: str) -> ConfigError:
        return ConfigError(f"{origins[f'directory.etcd.{key}']}: directory.etcd.{key}: {text}")

    for address in etcd.members:
        try:
            split_address(address)
        except ValueError as bad:
            raise fault("members", f"expected host:port, got {address!r}") from bad
    if config.directory.source == "etcd" and not etcd.members:
        raise fault("members", "expected at least one address, since directory.source is etcd")
    if etcd.tls:
        if bool(etcd.tls.cert) != bool(etcd.tls.key):
            raise fault("tls.cert", "expected together with tls.key")
        if etcd.tls.key:
            _require_private_file("tls.key", etcd.tls.key, fault)
    _validate_fleet(config, origins)
    capture = config.capture
    if capture.folder and not os.access(capture.folder, os.W_OK | os.X_OK):
        raise ConfigError(
            f"{origins['capture.folder']}: capture.folder: expected a folder to write in, got {capture.folder!r}"
        )
    password = env.get(PASSWORD_VARIABLE, "")
    if etcd.password_file and not password:
        _require_private_file("password_file", etcd.password_file, fault)
        password = Path(etcd.password_file).read_text().strip()
    if bool(etcd.user) != bool(password):
        raise fault("user", f"expected together with directory.etcd.password_file or {PASSWORD_VARIABLE}")
    return password


def _validate_fleet(config: OperatorConfig, origins: Mapping[str, str]) -> None:
    fleet = config.fleet

    def fault(key: str, text: str) -> ConfigError:
        return ConfigError(f"{origins[f'fleet.{key}']}: fleet.{key}: {text}")

    for key, addresses in (
        ("listen", [fleet.listen]),
        ("advertise", [fleet.advertise]),
        ("seeds", fleet.seeds),
    ):
        for address in filter(None, addresses):
            try:
                split_address(address)
            except ValueError as bad:
                raise fault(key, f"expected host:port, got {address!r}") from bad
    if fleet.listen and not fleet.advertise and split_address(fleet.listen)[1] == 0:
        raise fault("listen", "expected a port that others can be told, or fleet.advertise")
    if fleet.answer_ms * 2 > fleet.round_ms:
        raise fault("answer_ms", "expected at most half of fleet.round_ms: the rest is for indirect probes")
    if fleet.follow_relays and config.directory.etcd.follow_relays:
        raise fault("follow_relays", "expected only one of it and directory.etcd.follow_relays")
    voters = fleet.agreed.voters
    if voters and not fleet.listen:
        raise fault("agreed.voters", "expected together with fleet.listen")
    for voter in voters:
        if not VOTER_PATTERN.match(voter):
            raise fault("agreed.voters", f"expected name=id, or name until its id is known, got {voter!r}")
    if len({voter.partition("=")[0] for voter in voters}) < len(voters):
        raise fault("agreed.voters", "expected each name once")


def _require_private_file(key: str, path: str, error: Any) -> None:
    """A secret that others may read is none."""
    try:
        mode = os.stat(path).st_mode
    except OSError as bad:
        raise error(key, f"{path}: {bad.strerror}") from bad
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise error(key, f"{path}: expected a file that only its owner may read (mode 600)")


def effective_values(operator_config: LoadedOperatorConfig) -> list[tuple[str, Any, str]]:
    """Each key, its value and where it came from; secrets are not among them."""
    rows = list[tuple[str, Any, str]]()
    for key in FIELDS_BY_KEY:
        value: Any = operator_config.config
        for part in key.split("."):
            value = getattr(value, part, None) if value is not None else None
        rows.append((key, value, operator_config.origins[key]))
    return rows
