"""Validates what the types of the operator's settings cannot express: addresses, secrets and dependent keys."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Iterable, Mapping
from pathlib import Path

from kestreltrack.config.errors import ConfigError
from kestreltrack.config.operator_tables import DirectoryTable, EtcdTable, FleetTable, OperatorConfig
from kestreltrack.http1 import split_address

PASSWORD_VARIABLE = "KESTRELTRACK_DIRECTORY_ETCD_PASSWORD"
# The name of a voter, followed by the hexadecimal id of its state folder once that is known.
VOTER_PATTERN = re.compile(r"^[^=]{1,64}(=[0-9a-f]{32})?$")


def validate(config: OperatorConfig, origins: Mapping[str, str], env: Mapping[str, str]) -> str:
    """Validate the settings beyond their types, and return the etcd password.

    Args:
        config: The tables.
        origins: The source of the value of each key, for error messages.
        env: The environment variables, one of which may hold the password.

    Raises:
        ConfigError: A value is invalid; the message names its source and its key.
    """
    _validate_etcd(config.directory, origins)
    _validate_fleet(config.fleet, origins)
    if config.fleet.follow_member_count and config.directory.etcd.follow_member_count:
        raise _key_error(
            origins, "fleet.follow_relays", "cannot be combined with directory.etcd.follow_relays"
        )
    _validate_voters(config.fleet, origins)
    folder = config.capture.folder
    if folder and not os.access(folder, os.W_OK | os.X_OK):
        raise _key_error(origins, "capture.folder", f"expected a writable folder, got {folder!r}")
    return _load_password(config.directory.etcd, origins, env)


def _validate_etcd(directory: DirectoryTable, origins: Mapping[str, str]) -> None:
    etcd = directory.etcd
    _validate_addresses("directory.etcd.members", etcd.members, origins)
    if directory.source == "etcd" and not etcd.members:
        raise _key_error(
            origins,
            "directory.etcd.members",
            "expected at least one address, because directory.source is etcd",
        )
    if etcd.tls is None:
        return
    if bool(etcd.tls.cert) != bool(etcd.tls.key):
        raise _key_error(origins, "directory.etcd.tls.cert", "expected together with tls.key")
    if etcd.tls.key:
        _require_private_file("directory.etcd.tls.key", etcd.tls.key, origins)


def _validate_fleet(fleet: FleetTable, origins: Mapping[str, str]) -> None:
    _validate_addresses("fleet.listen", filter(None, [fleet.listen]), origins)
    _validate_addresses("fleet.advertise", filter(None, [fleet.advertise]), origins)
    _validate_addresses("fleet.seeds", filter(None, fleet.seeds), origins)
    if fleet.listen and not fleet.advertise and split_address(fleet.listen)[1] == 0:
        raise _key_error(
            origins, "fleet.listen", "expected a port that others can be told, or fleet.advertise"
        )
    if fleet.probe_timeout_ms * 2 > fleet.probe_interval_ms:
        raise _key_error(
            origins,
            "fleet.answer_ms",
            "expected at most half of fleet.round_ms: the remaining time is for indirect probes",
        )


def _validate_voters(fleet: FleetTable, origins: Mapping[str, str]) -> None:
    key = "fleet.agreed.voters"
    voters = fleet.replicated_config.voters
    if voters and not fleet.listen:
        raise _key_error(origins, key, "expected together with fleet.listen")
    for voter in voters:
        if not VOTER_PATTERN.match(voter):
            raise _key_error(
                origins, key, f"expected name=id, or only the name until the id is known, got {voter!r}"
            )
    if len({voter.partition("=")[0] for voter in voters}) < len(voters):
        raise _key_error(origins, key, "expected each name once")


def _validate_addresses(key: str, addresses: Iterable[str], origins: Mapping[str, str]) -> None:
    for address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise _key_error(origins, key, f"expected host:port, got {address!r}") from error


def _load_password(etcd: EtcdTable, origins: Mapping[str, str], env: Mapping[str, str]) -> str:
    password = env.get(PASSWORD_VARIABLE, "")
    if etcd.password_file and not password:
        _require_private_file("directory.etcd.password_file", etcd.password_file, origins)
        password = Path(etcd.password_file).read_text().strip()
    if bool(etcd.user) != bool(password):
        raise _key_error(
            origins,
            "directory.etcd.user",
            f"expected together with directory.etcd.password_file or {PASSWORD_VARIABLE}",
        )
    return password


def _require_private_file(key: str, path: str, origins: Mapping[str, str]) -> None:
    """Raise `ConfigError` unless the file, which holds a secret, exists and is accessible only to its owner."""
    try:
        mode = os.stat(path).st_mode
    except OSError as error:
        raise _key_error(origins, key, f"{path}: {error.strerror}") from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _key_error(origins, key, f"{path}: expected a file that only its owner may read (mode 600)")


def _key_error(origins: Mapping[str, str], key: str, text: str) -> ConfigError:
    return ConfigError(f"{origins[key]}: {key}: {text}")
