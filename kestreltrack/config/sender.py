"""The configuration of one real sender: the ``GW_*`` variables and the JSON file that ``GW_CONFIG`` names."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.config.errors import ConfigError
from kestreltrack.config.settings import parse_settings
from kestreltrack.decision import Settings
from kestreltrack.discovery.json_format import parse_update
from kestreltrack.http1 import split_address
from kestreltrack.ports import EndpointListUpdate

__all__ = ["ConfigError", "SenderConfig", "keys_needing_restart", "load_sender_config"]

DEFAULT_LIMITS = {"memory_mb": 192.0, "sockets": 1024.0, "disk_mb": 3.0}
# What the interpreter and the libraries take, and a little.
MIN_MEMORY_MB = 24.0
# The journal has to hold some messages.
MIN_DISK_MB = 0.05
# Below this a sender cannot hold its lock files, its clients and its own files.
MIN_SOCKETS = 32
# The backlog of a listening socket is a C integer in the kernel's interface.
MAX_SOCKETS = 1e6
BYTES_PER_MB = 1e6
# An endpoint's connection table counts idle connections too: the more senders share it, the sooner an idle
# connection has to be closed.  This is the sum over all senders.
TOTAL_KEEPALIVE_MS = 100_000.0
# For one sender: some round trips at the least, or a connection would be closed between two requests in a row.
MIN_KEEPALIVE_MS = 1500.0

# The attributes of `SenderConfig` that are read at a start alone, with the keys that set them.
_RESTART_KEY_BY_ATTRIBUTE = {
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "sockets": "limits.sockets",
    "memory_bytes": "limits.memory_mb",
    "disk_bytes": "limits.disk_mb",
}


@dataclass(frozen=True, slots=True)
class SenderConfig:
    """The checked configuration of a real sender.

    Attributes:
        name: The sender's name in its log and towards other senders.
        listen: The address, ``host:port``, on which clients are served.
        discovery: The address, ``host:port``, of the platform's service discovery.
        state: The folder of the journal and of what else outlives the process.
        seed: The seed of the decision module's random choices.
        sockets: How many sockets the process may hold.
        memory_bytes: How much memory the process may use.
        disk_bytes: How much disk the state folder may take.
        settings: The settings of the decision module.
        initial_endpoints: The endpoint list to start with, if the file has one.
        admin_address: The address, ``host:port``, of the operators' HTTP calls; empty where there is none.
    """

    name: str
    listen: str
    discovery: str
    state: Path
    seed: int
    sockets: int
    memory_bytes: int
    disk_bytes: int
    settings: Settings
    initial_endpoints: EndpointListUpdate | None
    admin_address: str = ""


def keys_needing_restart(old: SenderConfig, new: SenderConfig) -> list[str]:
    """Return the keys whose values differ and that are read at a start alone."""
    changed = [
        key
        for attribute, key in _RESTART_KEY_BY_ATTRIBUTE.items()
        if getattr(old, attribute) != getattr(new, attribute)
    ]
    setting_names = (field.name for field in fields(Settings))
    return changed + [
        f"settings.{name}"
        for name in setting_names
        if getattr(old.settings, name) != getattr(new.settings, name)
    ]


def load_sender_config(env: Mapping[str, str], reload: bool = False) -> SenderConfig:
    """Read and check the variables and the file; a variable goes before the file's key.

    Args:
        env: The environment variables.
        reload: Whether the file is read again by a running sender.  Its `discovery` then goes before the
            variable: that is how the service discovery's address is changed.

    Raises:
        ConfigError: Something is missing or cannot be used; the text names the variable or key.
    """
    table = _read_config_file(env.get("GW_CONFIG", ""))
    state = _parse_state_folder(env.get("GW_STATE", ""))
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    settings = _load_settings(table.get("settings"))
    initial_endpoints = _parse_initial_endpoints(table.get("known"))
    return SenderConfig(
        name=env.get("GW_NAME") or str(table.get("name") or ""),
        listen=_parse_address("GW_LISTEN", env.get("GW_LISTEN") or table.get("listen")),
        discovery=_parse_discovery_address(env.get("GW_DISCOVERY"), table.get("discovery"), reload),
        state=state,
        seed=_parse_seed(table.get("seed", "0")),
        sockets=int(_parse_limit(limits, "sockets", MIN_SOCKETS, MAX_SOCKETS)),
        memory_bytes=int(_parse_limit(limits, "memory_mb", MIN_MEMORY_MB) * BYTES_PER_MB),
        disk_bytes=int(_parse_limit(limits, "disk_mb", MIN_DISK_MB) * BYTES_PER_MB),
        settings=settings,
        initial_endpoints=initial_endpoints,
        admin_address=_parse_admin_address(env.get("GW_ADMIN_ADDR") or table.get("admin_addr")),
    )


def _read_config_file(path: str) -> dict[str, Any]:
    try:
        table = orjson.loads(Path(path).read_bytes()) if path else None
    except (OSError, ValueError) as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError("GW_CONFIG: names no file with a JSON object")
    return table


def _parse_state_folder(path: str) -> Path:
    state = Path(path)
    if not path or not state.is_dir():
        raise ConfigError(f"GW_STATE: {path!r} is not a folder")
    return state


def _load_settings(rows: Any) -> Settings:
    """Return the settings of the decision module, as they hold for a sender on real sockets."""
    try:
        parsed = parse_settings(rows).settings
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    if parsed.connect_timeout_ms <= 0:
        # No connection would ever come up.
        raise ConfigError("settings: setting allowed.connectTimeoutMs is out of range: it has to be above 0")
    # On sockets a connection carries one call at a time, whatever the simulator's does.
    return replace(parsed, requests_per_connection=1, keepalive_ms=_effective_keepalive_ms(parsed))


def _effective_keepalive_ms(settings: Settings) -> float:
    return min(settings.keepalive_ms, max(MIN_KEEPALIVE_MS, TOTAL_KEEPALIVE_MS / settings.sender_count))


def _parse_initial_endpoints(rows: Any) -> EndpointListUpdate | None:
    if not rows:
        return None
    try:
        return parse_update(rows)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from error


def _parse_discovery_address(variable: str | None, key: Any, reload: bool) -> str:
    if key and (reload or not variable):
        return _parse_address("discovery", key)
    return _parse_address("GW_DISCOVERY", variable)


def _parse_admin_address(value: Any) -> str:
    return _parse_address("GW_ADMIN_ADDR", value) if value else ""


def _parse_address(key: str, value: Any) -> str:
    try:
        split_address(value if isinstance(value, str) else "")
    except ValueError as error:
        raise ConfigError(f"{key}: {value!r} is not host:port") from error
    return str(value)


def _parse_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {value!r} is not a number in hexadecimal") from error


def _parse_limit(limits: Mapping[str, Any], key: str, minimum: float, maximum: float = math.inf) -> float:
    value = limits.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(f"limits.{key}: {value!r} is not a number")
    if value < minimum:
        raise ConfigError(f"limits.{key}: {value!r} is below {minimum:g}")
    if value > maximum:
        raise ConfigError(f"limits.{key}: {value!r} is above {maximum:g}")
    return float(value)
