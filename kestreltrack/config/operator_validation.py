"""Checks of the operator's settings that types cannot express: addresses, secrets, and keys that need one another."""

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
# A voter's name, and the id of its folder in hexadecimal once that is known.
VOTER_PATTERN = re.compile(r"^[^=]{1,64}(=[0-9a-f]{32})?$")


def validate(config: OperatorConfig, origins: Mapping[str, str], env: Mapping[str, str]) -> str:
    """Check what types cannot express, and return etcd's password.

    Args:
        config: The tables.
        origins: Where the value of each key came from, for the text of errors.
        env: The environment variables, of which one may hold the password.

    Raises:
        ConfigError: A value cannot be used; the text names its origin and key.
    """
    _validate_etcd(config.directory, origins)
    _validate_fleet(config.fleet, origins)
    if config.fleet.follow_relays and config.directory.etcd.follow_relays:
        raise _key_error(
            origins, "fleet.follow_relays", "expected only one of it and directory.etcd.follow_relays"
        )
    _validate_voters(config.fleet, origins)
    folder = config.capture.folder
    if folder and not os.access(folder, os.W_OK | os.X_OK):
        raise _key_error(origins, "capture.folder", f"expected a folder to write in, got {folder!r}")
    return _load_password(config.directory.etcd, origins, env)


def _validate_etcd(directory: DirectoryTable, origins: Mapping[str, str]) -> None:
    etcd = directory.etcd
    _validate_addresses("directory.etcd.members", etcd.members, origins)
    if directory.source == "etcd" and not etcd.members:
        raise _key_error(
            origins,
            "directory.etcd.members",
            "expected at least one address, since directory.source is etcd",
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
    if fleet.answer_ms * 2 > fleet.round_ms:
        raise _key_error(
            origins,
            "fleet.answer_ms",
            "expected at most half of fleet.round_ms: the rest is for indirect probes",
        )


def _validate_voters(fleet: FleetTable, origins: Mapping[str, str]) -> None:
    key = "fleet.agreed.voters"
    voters = fleet.agreed.voters
    if voters and not fleet.listen:
        raise _key_error(origins, key, "expected together with fleet.listen")
    for voter in voters:
        if not VOTER_PATTERN.match(voter):
            raise _key_error(origins, key, f"expected name=id, or name until its id is known, got {voter!r}")
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
    """Raise `ConfigError` unless the file can be found and only its owner may read it: it holds a secret."""
    try:
        mode = os.stat(path).st_mode
    except OSError as error:
        raise _key_error(origins, key, f"{path}: {error.strerror}") from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _key_error(origins, key, f"{path}: expected a file that only its owner may read (mode 600)")


def _key_error(origins: Mapping[str, str], key: str, text: str) -> ConfigError:
    return ConfigError(f"{origins[key]}: {key}: {text}")
