"""Loads the configuration of a sender process: the `GW_*` variables and the JSON file that `GW_CONFIG` names."""

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
from kestreltrack.discovery.json_text import split_off_member
from kestreltrack.discovery.list_decoder import decode_list
from kestreltrack.http1 import split_address
from kestreltrack.memory import MemoryDemand, MemoryLimitError, MemoryPlan, plan_memory
from kestreltrack.ports import EndpointListUpdate

__all__ = ["ConfigError", "SenderConfig", "keys_needing_restart", "load_sender_config"]

DEFAULT_LIMITS = {"memory_mb": 192.0, "sockets": 1024.0, "disk_mb": 3.0}
# Room for a few messages in the journal.
MIN_DISK_MB = 0.05
# The sender's lock files, its other files and a few client connections.
MIN_SOCKETS = 32
# Keeps the backlog of the listening socket, a C integer, within its range.
MAX_SOCKETS = 1e6
BYTES_PER_MB = 1e6
# Fractions of the sockets for connections from clients and to endpoints; client requests need a third of all sockets.
CLIENT_SOCKET_SHARE = 0.45
ENDPOINT_SOCKET_SHARE = 0.25
# Sum of the keepalive times of all senders.  Idle connections take entries in an endpoint's connection table, so the
# more senders share an endpoint, the sooner each has to close them.
TOTAL_KEEPALIVE_MS = 100_000.0
# For one sender: several round trips, or a connection could be closed between two consecutive requests.
MIN_KEEPALIVE_MS = 1500.0

# The attributes of `SenderConfig` that are read only at startup, with the keys that set them.
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
    """The validated configuration of a sender process.

    Attributes:
        name: The name of the sender in its log and in messages to other senders.
        listen: The address (`host:port`) that accepts client connections.
        discovery: The address (`host:port`) of the platform's service discovery.
        state: The folder of the journal and of all other persistent state.
        seed: The seed of the decision module's random choices.
        sockets: The maximum number of open sockets.
        memory_bytes: The maximum memory of the process.
        disk_bytes: The maximum size of the state folder.
        settings: The settings of the decision module.
        initial_endpoints: The endpoint list to start with; `None` if the file has none.
        admin_address: The address (`host:port`) of the operators' HTTP interface; empty if it is disabled.
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

    def memory_plan(self, listed_endpoints: int = 0) -> MemoryPlan:
        """Return how the memory is divided while the endpoint list has this many endpoints.

        Raises:
            MemoryLimitError: There is too little of it.
        """
        demand = MemoryDemand(
            int(self.sockets * CLIENT_SOCKET_SHARE),
            int(self.sockets * ENDPOINT_SOCKET_SHARE),
            self.settings.queue_capacity,
        )
        return plan_memory(self.memory_bytes, self.disk_bytes, demand, listed_endpoints)


def keys_needing_restart(old: SenderConfig, new: SenderConfig) -> list[str]:
    """Return the keys whose values differ and that take effect only after a restart."""
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
    """Load and validate the variables and the file; a variable takes precedence over a key in the file.

    Args:
        env: The environment variables.
        reload: Whether a running sender reads the file again.  The file's `discovery` then takes precedence over the
            variable, so that the address of the service discovery can be changed.

    Raises:
        ConfigError: A value is missing or invalid; the message names the variable or key.
    """
    table, initial_list = _read_config_file(env.get("GW_CONFIG", ""))
    state = _parse_state_folder(env.get("GW_STATE", ""))
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: expected an object")
    settings = _load_settings(table.get("settings"))
    config = SenderConfig(
        name=env.get("GW_NAME") or str(table.get("name") or ""),
        listen=_parse_address("GW_LISTEN", env.get("GW_LISTEN") or table.get("listen")),
        discovery=_parse_discovery_address(env.get("GW_DISCOVERY"), table.get("discovery"), reload),
        state=state,
        seed=_parse_seed(table.get("seed", "0")),
        sockets=int(_parse_limit(limits, "sockets", MIN_SOCKETS, MAX_SOCKETS)),
        memory_bytes=int(_parse_limit(limits, "memory_mb", 0.0) * BYTES_PER_MB),
        disk_bytes=int(_parse_limit(limits, "disk_mb", MIN_DISK_MB) * BYTES_PER_MB),
        settings=settings,
        initial_endpoints=None,
        admin_address=_parse_admin_address(env.get("GW_ADMIN_ADDR") or table.get("admin_addr")),
    )
    try:
        plan = config.memory_plan()
    except MemoryLimitError as error:
        raise ConfigError(f"limits.memory_mb: {error}") from error
    return replace(
        config,
        # No more messages outstanding than the memory allows.
        settings=replace(config.settings, queue_capacity=max(1, plan.messages)),
        initial_endpoints=_parse_initial_endpoints(table.get("known"), initial_list, plan),
    )


def _read_config_file(path: str) -> tuple[dict[str, Any], bytes]:
    """Return the members of the file, and the text of the endpoint list in it, which may be long."""
    initial_list = b""
    try:
        text = Path(path).read_bytes() if path else b"null"
        text, initial_list = split_off_member(text, b"known")
        table = orjson.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError("GW_CONFIG: expected the path of a file that contains a JSON object")
    return table, initial_list


def _parse_state_folder(path: str) -> Path:
    state = Path(path)
    if not path or not state.is_dir():
        raise ConfigError(f"GW_STATE: {path!r} is not a folder")
    return state


def _load_settings(document: Any) -> Settings:
    """Return the settings of the decision module, adjusted to connections over TCP."""
    try:
        parsed = parse_settings(document).settings
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    if parsed.connect_timeout_ms <= 0:
        # Every connection attempt would time out.
        raise ConfigError("settings: setting allowed.connectTimeoutMs is out of range: it has to be above 0")
    # A real connection carries one call at a time, even if the simulator's multiplexes.
    return replace(parsed, requests_per_connection=1, keepalive_ms=_effective_keepalive_ms(parsed))


def _effective_keepalive_ms(settings: Settings) -> float:
    return min(settings.keepalive_ms, max(MIN_KEEPALIVE_MS, TOTAL_KEEPALIVE_MS / settings.sender_count))


def _parse_initial_endpoints(
    other_value: Any, initial_list: bytes, plan: MemoryPlan
) -> EndpointListUpdate | None:
    """Return the list in the text `initial_list`, as much of it as the memory holds; `None` if it is empty."""
    if other_value:
        raise ConfigError("known: expected an object")
    if not initial_list.strip(b"{} \t\r\n"):
        return None
    try:
        return decode_list(initial_list, plan.max_listed_endpoints)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from error


def _parse_discovery_address(from_variable: str | None, from_file: Any, reload: bool) -> str:
    if from_file and (reload or not from_variable):
        return _parse_address("discovery", from_file)
    return _parse_address("GW_DISCOVERY", from_variable)


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
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from error


def _parse_limit(limits: Mapping[str, Any], key: str, minimum: float, maximum: float = math.inf) -> float:
    value = limits.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(f"limits.{key}: {value!r} is not a number")
    if value < minimum:
        raise ConfigError(f"limits.{key}: {value!r} is below {minimum:g}")
    if value > maximum:
        raise ConfigError(f"limits.{key}: {value!r} is above {maximum:g}")
    return float(value)
