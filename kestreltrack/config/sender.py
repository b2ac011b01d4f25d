"""The configuration of one real sender: the ``GW_*`` variables and the JSON file that ``GW_CONFIG`` names."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.config.settings import parse_settings
from kestreltrack.decision import Settings
from kestreltrack.discovery.json_format import parse_update
from kestreltrack.http1 import split_address
from kestreltrack.ports import EndpointListUpdate

DEFAULT_LIMITS = {"memory_mb": 192.0, "sockets": 1024.0, "disk_mb": 3.0}
MIN_MEMORY_MB = 24.0  # what the interpreter and the libraries take, and a little
# An endpoint's table counts idle connections too: the more senders share it, the sooner an idle one has to go.
TOTAL_KEEPALIVE_MS, MIN_KEEPALIVE_MS = (
    100_000.0,
    1500.0,
)  # of all senders together; of one, some latencies at least
MAX_SOCKETS = 1e6  # the kernel takes no longer a row of waiting connections than a C integer counts
MIN_SOCKETS = 32  # below this a sender cannot hold its slots, its submitters and its files


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key at fault."""


@dataclass(frozen=True, slots=True)
class SenderConfig:
    """All that a real sender is told."""

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
    admin_address: str = ""  # where the operators call (`GW_ADMIN_ADDR`, else `admin_addr`); none where empty


def _parse_address(key: str, value: Any) -> str:
    try:
        split_address(value if isinstance(value, str) else "")
    except ValueError as bad:
        raise ConfigError(f"{key}: {value!r} is not host:port") from bad
    return str(value)


def _parse_limit(table: Mapping[str, Any], key: str, minimum: float, maximum: float = math.inf) -> float:
    value = table.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(f"limits.{key}: {value!r} is not a number")
    if not minimum <= value <= maximum:
        bound = f"below {minimum:g}" if value < minimum else f"above {maximum:g}"
        raise ConfigError(f"limits.{key}: {value!r} is {bound}")
    return float(value)


def _discovery_setting(variable: str | None, key: Any, reload: bool) -> tuple[str, Any]:
    return ("discovery", key) if key and (reload or not variable) else ("GW_DISCOVERY", variable)


def _effective_keepalive_ms(built: Settings) -> float:
    return min(built.keepalive_ms, max(MIN_KEEPALIVE_MS, TOTAL_KEEPALIVE_MS / built.sender_count))


def _parse_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError) as bad:
        raise ConfigError(f"seed: {value!r} is not a number in hexadecimal") from bad


def keys_needing_restart(old: SenderConfig, new: SenderConfig) -> list[str]:
    """The keys that differ and are read at a start alone."""
    keys = {"name": "name", "listen": "listen", "seed": "seed"}
    keys |= {"sockets": "limits.sockets", "memory_bytes": "limits.memory_mb", "disk_bytes": "limits.disk_mb"}
    changed = [key for field, key in keys.items() if getattr(old, field) != getattr(new, field)]
    names = (field.name for field in fields(Settings))
    return changed + [
        f"settings.{name}" for name in names if getattr(old.settings, name) != getattr(new.settings, name)
    ]


def load_sender_config(env: Mapping[str, str], reload: bool = False) -> SenderConfig:
    """Read and check everything; variables go before the file, which holds what they do not.

    When the file is read `again`, its `discovery` goes before the variable: that is how it is moved.
    """
    path = env.get("GW_CONFIG", "")
    try:
        table = orjson.loads(Path(path).read_bytes()) if path else None
    except (OSError, ValueError) as bad:
        raise ConfigError(f"GW_CONFIG: {path}: {bad}") from bad
    if not isinstance(table, dict):
        raise ConfigError("GW_CONFIG: names no file with a JSON object")
    state = Path(env.get("GW_STATE", ""))
    if not env.get("GW_STATE") or not state.is_dir():
        raise ConfigError(f"GW_STATE: {env.get('GW_STATE', '')!r} is not a folder")
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    try:
        built, _ = parse_settings(table.get("settings"))
    except (TypeError, ValueError, AttributeError) as bad:
        raise ConfigError(f"settings: {bad}") from bad
    if built.connect_timeout_ms <= 0:  # no connection would ever come up
        raise ConfigError("settings: setting allowed.connectTimeoutMs is out of range: it has to be above 0")
    try:
        known = parse_update(table["known"]) if table.get("known") else None
    except ValueError as bad:
        raise ConfigError(f"known: {bad}") from bad
    return SenderConfig(
        name=env.get("GW_NAME") or str(table.get("name") or ""),
        listen=_parse_address("GW_LISTEN", env.get("GW_LISTEN") or table.get("listen")),
        discovery=_parse_address(
            *_discovery_setting(env.get("GW_DISCOVERY"), table.get("discovery"), reload)
        ),
        state=state,
        seed=_parse_seed(table.get("seed", "0")),
        sockets=int(_parse_limit(limits, "sockets", MIN_SOCKETS, MAX_SOCKETS)),
        memory_bytes=int(_parse_limit(limits, "memory_mb", MIN_MEMORY_MB) * 1e6),
        disk_bytes=int(_parse_limit(limits, "disk_mb", 0.05) * 1e6),
        # On sockets a connection carries one call at a time, whatever the simulator's does.
        settings=replace(built, requests_per_connection=1, keepalive_ms=_effective_keepalive_ms(built)),
        initial_endpoints=known,
        admin_address=_parse_admin_address(env.get("GW_ADMIN_ADDR") or table.get("admin_addr")),
    )


def _parse_admin_address(value: Any) -> str:
    return _parse_address("GW_ADMIN_ADDR", value) if value else ""
