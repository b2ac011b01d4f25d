"""Invalid configurations and malformed endpoint lists are rejected with an error that names the key."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from scenario import ROOT, SETTINGS

from kestreltrack.config.sender import ConfigError, keys_needing_restart, load_sender_config
from kestreltrack.decision import (
    AttemptEnded,
    EndpointEntry,
    EndpointsUpdated,
    MessageArrived,
    Outcome,
    Policy,
    RejectMessage,
    TimerExpired,
)
from kestreltrack.discovery.list_decoder import decode_list

ENDPOINT_ROW = {
    "uid": "u",
    "endpoint": "127.0.0.1:80",
    "az": "a",
    "model": "k",
    "pod_group": 3,
    "state": "up",
}
INITIAL_LIST = {"rev": 4, "all": True, "targets": [ENDPOINT_ROW]}
CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
    "known": INITIAL_LIST,
    "settings": SETTINGS,
}


def with_value(table: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy of the table with a value set at a dotted path, or removed if it is `None`."""
    copied = copy.deepcopy(table)
    *parts, last = path.split(".")
    inner = copied
    for part in parts:
        inner = inner[part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return copied


def write_config(folder: Path, table: Any, **variables: str) -> dict[str, str]:
    """Write the configuration file, and return the variables that a sender is started with."""
    path = folder / "config.json"
    path.write_text(table if isinstance(table, str) else json.dumps(table))
    return {"GW_CONFIG": str(path), "GW_STATE": str(folder)} | variables


def test_complete_configuration_is_loaded(tmp_path: Path) -> None:
    config = load_sender_config(write_config(tmp_path, CONFIG, GW_NAME="n7"))
    assert (config.name, config.listen, config.seed) == ("n7", "127.0.0.1:6379", 0x8C1F30D27A5BE964)
    assert (config.sockets, config.disk_bytes) == (512, 3_000_000)
    assert config.settings.requests_per_connection == 1, "a connection carries one call at a time"
    assert config.initial_endpoints and config.initial_endpoints.endpoints[0].uid == "u"


@pytest.mark.parametrize(
    ("sender_count", "keepalive_ms"), [(2, 5000.0), (20, 5000.0), (40, 2500.0), (200, 1500.0)]
)
def test_the_more_senders_share_an_endpoint_the_sooner_idle_connections_are_closed(
    sender_count: int, keepalive_ms: float, tmp_path: Path
) -> None:
    # With 200 senders idle connections filled 4 of 5 entries of small connection tables.
    table = with_value(
        with_value(CONFIG, "settings.balancers", sender_count), "settings.allowed.keepaliveMs", 5000.0
    )
    assert load_sender_config(write_config(tmp_path, table)).settings.keepalive_ms == keepalive_ms


def test_discovery_in_the_file_overrides_the_variable_only_on_reload(tmp_path: Path) -> None:
    env = write_config(tmp_path, CONFIG, GW_DISCOVERY="127.0.0.9:1")
    assert [load_sender_config(env, reload).discovery for reload in (False, True)] == [
        "127.0.0.9:1",
        "127.0.0.1:8500",
    ]
    env = write_config(tmp_path, with_value(CONFIG, "discovery", None), GW_DISCOVERY="127.0.0.9:1")
    assert load_sender_config(env, reload=True).discovery == "127.0.0.9:1"


def test_changed_keys_that_need_a_restart_are_returned(tmp_path: Path) -> None:
    old = load_sender_config(write_config(tmp_path, CONFIG))
    table = with_value(with_value(CONFIG, "limits.sockets", 600), "settings.domain.slots", 9)
    new = load_sender_config(write_config(tmp_path, with_value(table, "discovery", "127.0.0.1:8501")))
    assert keys_needing_restart(old, new) == ["limits.sockets", "settings.concurrency_limit"]


def test_missing_optional_keys_have_defaults(tmp_path: Path) -> None:
    table = {k: v for k, v in CONFIG.items() if k not in ("limits", "known", "seed", "name")}
    config = load_sender_config(write_config(tmp_path, table))
    assert (config.sockets, config.disk_bytes, config.initial_endpoints, config.seed) == (
        1024,
        3_000_000,
        None,
        0,
    )


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("listen", None, "GW_LISTEN"),
        ("listen", "nowhere", "GW_LISTEN"),
        ("discovery", 7, "discovery: 7"),
        ("discovery", "127.0.0.1:99999", "discovery: "),
        ("seed", "xyz", "seed"),
        ("seed", [], "seed"),
        ("limits", 3, "limits"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.sockets", 3, "limits.sockets"),
        ("limits.disk_mb", 0, "limits.disk_mb"),
        ("limits.disk_mb", True, "limits.disk_mb"),
        ("settings", None, "settings"),
        ("settings.classes", 5, "settings"),
        ("settings.kinds", None, "settings: setting kinds"),
        ("settings.domain.slots", "x", "domain.slots"),
        ("settings.allowed.tryLimit", None, "allowed.tryLimit"),
        ("settings.safety.coldShare", 0, "safety.coldShare is out of range: 0, it has to be above 0"),
        ("known", {"rev": 1}, "known: endpoint list: targets"),
        ("limits.sockets", 10**10, "limits.sockets"),
        ("settings", [], "settings is not an object"),
        ("settings.discovery", "poll", "setting discovery is unknown: 'poll', it has to be one of ask, push"),
        ("settings.balancers", 0, "setting balancers .* at least 1"),
        ("settings.balancers", True, "setting balancers is not a number"),
        ("settings.kinds", "plain", "setting kinds is not a list"),
        ("settings.kinds", [7], "setting kinds is not a list of names"),
        ("settings.dcs", "a", "setting dcs is not a list"),
        ("settings.zone", 7, "setting zone is not text"),
        ("settings.classes", {}, "setting classes is not a list"),
        ("settings.classes", [], "setting classes is missing"),
        ("settings.classes", ["keyed"], "an entry of setting classes is not an object"),
        ("settings.classes", [{"name": 7}], "setting classes.name is not text"),
        ("settings.domain.slots", 0, "setting domain.slots .* at least 1"),
        ("settings.domain.slots", -2, "setting domain.slots"),
        ("settings.domain.zoneFee", ["x"], "setting domain.zoneFee is not a list of numbers"),
        ("settings.domain.zoneFee", 0.5, "setting domain.zoneFee is not a list"),
        ("settings.domain.bundleMax", 5, "setting domain.bundleMax is not a list"),
        ("settings.domain.bundleMax", [0], "setting domain.bundleMax is out of range"),
        ("settings.domain.routesApart", ["no"], "setting domain.routesApart is not a list of true or false"),
        ("settings.allowed.mostHeld", 0, "setting allowed.mostHeld .* at least 1"),
        ("settings.allowed.cancel", "false", "setting allowed.cancel is not true or false"),
        ("settings.allowed.connectTimeoutMs", 0, "setting allowed.connectTimeoutMs"),
        ("settings.allowed.connectTimeoutMs", -1, "setting allowed.connectTimeoutMs"),
        ("settings.allowed.keepaliveMs", -1, "setting allowed.keepaliveMs"),
        ("settings.allowed.maxRetryAfterMs", -1, "setting allowed.maxRetryAfterMs"),
        ("settings.safety.askEveryMs", 0, "setting safety.askEveryMs"),
        ("settings.safety.coldShare", 1.5, "setting safety.coldShare .* at most 1"),
        ("settings.safety.tipAfterMs", -1, "setting safety.tipAfterMs"),
        ("settings.telemetry.fields", "x0", "setting telemetry.fields is not a list"),
    ],
)
def test_invalid_value_is_rejected_with_its_key(tmp_path: Path, path: str, value: Any, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        load_sender_config(write_config(tmp_path, with_value(CONFIG, path, value)))


@pytest.mark.parametrize("text", ["", "[]", "{", "\x00"])
def test_file_that_is_not_an_object_is_rejected(tmp_path: Path, text: str) -> None:
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load_sender_config(write_config(tmp_path, text))


def test_missing_state_folder_or_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="GW_STATE"):
        load_sender_config(write_config(tmp_path, CONFIG, GW_STATE=str(tmp_path / "none")))
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load_sender_config({"GW_STATE": str(tmp_path)})


def test_process_with_invalid_settings_exits_with_status_2_and_one_line(tmp_path: Path) -> None:
    env = write_config(tmp_path, with_value(CONFIG, "settings.domain.slots", 0)) | {
        "PATH": os.environ["PATH"]
    }
    process = subprocess.run(
        [sys.executable, "-O", "-m", "kestreltrack"], env=env, cwd=ROOT, capture_output=True, text=True
    )
    assert process.returncode == 2
    expected = "setting domain.slots is out of range: 0, it has to be at least 1"
    assert process.stderr == f"kestreltrack: settings: {expected}\n"


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("keyTtlMs", -1, "at least 0"),
        ("keyTtlMs", None, "is missing"),
        ("deadlineMs", -1, "above 0"),
        ("onTimeMs", "x", "is not a number"),
        ("idempotency", "once", "one of idempotent, deduplicated, at_most_once"),
        ("inOrder", "no", "is not true or false"),
        ("group", [], "is unknown"),
    ],
)
def test_invalid_value_of_a_class_is_rejected_with_class_and_key(
    tmp_path: Path, key: str, value: Any, message: str
) -> None:
    classes = [row | {key: value} if row["name"] == "keyed" else row for row in SETTINGS["classes"]]
    with pytest.raises(ConfigError, match=f"setting classes.keyed.{key} .*{message}"):
        load_sender_config(write_config(tmp_path, with_value(CONFIG, "settings.classes", classes)))


def test_deduplication_window_of_zero_is_valid_and_prevents_retries(tmp_path: Path) -> None:
    classes = [row | {"keyTtlMs": 0} if row["name"] == "keyed" else row for row in SETTINGS["classes"]]
    loaded = load_sender_config(write_config(tmp_path, with_value(CONFIG, "settings.classes", classes)))
    policy = Policy(loaded.settings, 1)
    policy.step(
        0.0,
        [
            EndpointsUpdated([EndpointEntry("e", 1, "plain")], complete=True),
            MessageArrived("m", 1, "keyed", 20e3),
        ],
    )
    ended = AttemptEnded("m", 0, "e", Outcome.CONNECTION_BROKEN, 10.0, final=False)
    assert RejectMessage in map(type, policy.step(10.0, [ended, TimerExpired(0)])), (
        "the outcome is ambiguous and must not be retried"
    )


@pytest.mark.parametrize("text", [b"NaN", b"1e999", b"-1e999", b"Infinity"])
def test_number_that_json_does_not_allow_is_rejected(tmp_path: Path, text: bytes) -> None:
    env = write_config(tmp_path, CONFIG)
    path = Path(env["GW_CONFIG"])
    path.write_bytes(path.read_bytes().replace(b'"slots": 8', b'"slots": ' + text))
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load_sender_config(env)


def test_truncated_file_is_rejected(tmp_path: Path) -> None:
    text = json.dumps(CONFIG)
    for cut in range(0, len(text), 7):
        with pytest.raises(ConfigError, match="GW_CONFIG"):
            load_sender_config(write_config(tmp_path, text[:cut]))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("rev", "four"),
        ("rev", True),
        ("all", 1),
        ("targets", {}),
        ("targets", [7]),
        ("targets", [ENDPOINT_ROW | {"state": "odd"}]),
        ("targets", [ENDPOINT_ROW | {"endpoint": "no port"}]),
        ("targets", [ENDPOINT_ROW | {"pod_group": 1.5}]),
        ("targets", [ENDPOINT_ROW | {"capacity_hint": "much"}]),
        ("targets", [{k: v for k, v in ENDPOINT_ROW.items() if k != "uid"}]),
    ],
)
def test_malformed_endpoint_list_is_rejected(path: str, value: Any) -> None:
    assert decode_list(orjson.dumps(INITIAL_LIST)).endpoints[0].address == "127.0.0.1:80"
    with pytest.raises(ValueError):
        decode_list(orjson.dumps(with_value(INITIAL_LIST, path, value)))


def test_admin_address_comes_from_the_variable_or_the_file_and_is_empty_by_default(
    tmp_path: Path,
) -> None:
    assert load_sender_config(write_config(tmp_path, CONFIG)).admin_address == ""
    table = with_value(CONFIG, "admin_addr", "127.0.0.1:7001")
    assert load_sender_config(write_config(tmp_path, table)).admin_address == "127.0.0.1:7001"
    assert (
        load_sender_config(write_config(tmp_path, table, GW_ADMIN_ADDR="127.0.0.1:7002")).admin_address
        == "127.0.0.1:7002"
    )
    with pytest.raises(ConfigError, match="GW_ADMIN_ADDR"):
        load_sender_config(write_config(tmp_path, CONFIG, GW_ADMIN_ADDR="no port"))
