"""The simulator adapter: malformed input, exceptions of the decision module, restarts, and deterministic output."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from kestreltrack.config.settings import parse_settings
from kestreltrack.simulator.host import Host

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True,
        "connectTimeoutMs": 1500.0,
        "keepaliveMs": 15000.0,
        "maxRetryAfterMs": 2000.0,
        "mostHeld": 50,
        "multiplex": 1,
        "retryAfter": True,
        "tryLimit": 12,
    },
    "balancers": 2,
    "classes": [
        {
            "deadlineMs": 9000.0,
            "group": "all",
            "idempotency": "deduplicated",
            "importance": 1.0,
            "inOrder": True,
            "keyTtlMs": 25000.0,
            "lateWorth": 0.4,
            "name": "c",
            "onTimeMs": 2000.0,
        }
    ],
    "dcs": ["z"],
    "discovery": "ask",
    "domain": {"bundleMax": [5], "late": "halves", "routesApart": [False], "slots": 4, "zoneFee": [0.0]},
    "kinds": ["k"],
    "safety": {
        "answerSlackMs": 20.0,
        "askEveryMs": 10000.0,
        "coldShare": 0.31,
        "drainGraceMs": 1000.0,
        "overloadFactor": 1.5,
        "tipAfterMs": 2000.0,
        "warmAfterMs": 12000.0,
    },
    "telemetry": {"fields": ["x0", "x1"], "how": "answers"},
    "weights": "nominal",
    "zone": "z",
    "unknown": 1,
}


def start_batch(relay: str, now: float = 0.0, settings: dict[str, Any] = SETTINGS) -> str:
    """Return a batch that starts an instance with two endpoints of destination 1."""
    return (
        f"SYNC timeMs={now}\nPOWER_ON relayId={relay} rngSeed=7 settings={json.dumps(settings)}\n"
        "DEFINE_LIST sheet=0 membersList=2\n"
        "ITEM endpoint=10.0.0.1:1 site=z flavor=k dest=1 lifecycle=up nominal=9\n"
        "ITEM endpoint=10.0.0.2:1 site=z flavor=k dest=1 lifecycle=up nominal=9\n"
        f"TOPOLOGY relayId={relay} epoch=1 sheet=0 kind=remembered\nEOB\n"
    )


def batch(now: float, *lines: str) -> str:
    """Return a batch of these lines."""
    return "\n".join((f"SYNC timeMs={now}", *lines, "EOB", ""))


def inbound(relay: str, corr: str, now: float = 0.0) -> str:
    """Return the line of an arriving message."""
    return f"INBOUND relayId={relay} corr={corr} expiresMs={now + 9000} item=5 farEnd=1 category=c"


def run_host(text: str) -> str:
    """Run a host in this process and return its output."""
    output = io.StringIO()
    Host(io.StringIO(text), output).run()
    return output.getvalue()


def run_process(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the adapter as a process, as the simulator does."""
    return subprocess.run(
        [sys.executable, "-m", "kestreltrack.simulator"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": seed},
        check=False,
    )


def test_a_message_is_attempted_and_completed() -> None:
    output = run_host(
        start_batch("relay/0")
        + batch(5, inbound("relay/0", "aa"))
        + batch(
            9,
            "FINISHED relayId=relay/0 corr=aa go=0 endpoint=10.0.0.1:1 stateCode=OK timeTakenMs=4 complete=1"
            " serverStats=0.5,9",
        )
    )
    replies = output.split("DONE\n")
    assert "KEEP_INFORMED relayId=relay/0 want=1" in replies[0]
    attempts = [f"RELAY relayId=relay/0 corr=aa endpoint=10.0.0.{n}:1 timeoutMs=8845.000" for n in (1, 2)]
    assert sum(attempt in replies[1] for attempt in attempts) == 1
    assert "aa" not in replies[2]


def test_an_empty_batch_gets_a_reply_and_the_end_of_input_exits_with_0() -> None:
    result = run_process("SYNC timeMs=1.5\nEOB\n\n")
    assert (result.returncode, result.stdout, result.stderr) == (0, "DONE\n", "")


@pytest.mark.parametrize(
    ("text", "error_line"),
    [
        ("HELLO\n", "line 1: a batch begins with SYNC, not 'HELLO'"),
        ("SYNC timeMs=x\nEOB\n", "line 1: SYNC: field timeMs is not a number: 'x'"),
        ("SYNC\nEOB\n", "line 1: SYNC: field timeMs is missing"),
        ("SYNC timeMs=1\n", "line 1: the input ended inside a batch"),
        (batch(1, "INBOUND corr=a"), "line 2: INBOUND: field relayId is missing"),
        (batch(1, "NOISE junk"), "line 2: NOISE: 'junk' is not name=value"),
        (start_batch("relay/0") + batch(1, "BOO relayId=relay/0"), "line 9: unknown message 'BOO'"),
        (
            start_batch("relay/0") + batch(1, "TOPOLOGY relayId=relay/0 epoch=1 sheet=9 kind=all"),
            "line 9: TOPOLOGY: no list 9 was defined",
        ),
    ],
)
def test_malformed_input_ends_the_process_with_one_line(text: str, error_line: str) -> None:
    result = run_process(text)
    assert result.returncode != 0
    assert result.stderr.strip() == error_line


def test_an_exception_of_the_decision_module_crashes_only_that_instance() -> None:
    output = run_host(
        start_batch("relay/0")
        + start_batch("relay/1", 1)
        + batch(
            2,
            "INBOUND relayId=relay/0 corr=aa expiresMs=9000 farEnd=1 category=nonsense",
            inbound("relay/1", "bb"),
        )
    )
    last_reply = output.split("DONE\n")[2]
    assert "CRASH relayId=relay/0 msg=KeyError: 'nonsense'" in last_reply
    assert "RELAY relayId=relay/1 corr=bb" in last_reply


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("safety.coldShare", None),
        ("safety.coldShare", 0),
        ("safety.tipAfterMs", -1),
        ("domain.slots", 0),
        ("domain.slots", "many"),
        ("allowed.mostHeld", None),
        ("weights", "live"),
        ("balancers", 0),
    ],
)
def test_the_error_for_a_missing_or_invalid_setting_names_it(path: str, value: object) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    section, _, key = path.rpartition(".")
    (settings[section] if section else settings)[key] = value
    with pytest.raises(ValueError, match="setting "):
        parse_settings(settings)
    assert "CRASH relayId=relay/0 msg=ValueError: setting" in run_host(
        start_batch("relay/0", settings=settings)
    )


def test_an_exit_discards_the_events_of_the_batch_and_a_restart_may_follow_in_it() -> None:
    output = run_host(
        start_batch("relay/0")
        + batch(1, inbound("relay/0", "aa"))
        + batch(
            2,
            inbound("relay/0", "bb"),
            "EXIT relayId=relay/0",
            f"POWER_ON relayId=relay/0 rngSeed=8 settings={json.dumps(SETTINGS)}",
            "TOPOLOGY relayId=relay/0 epoch=1 sheet=0 kind=remembered",
            inbound("relay/0", "cc"),
        )
        + batch(3, "DEADLINE_HIT relayId=relay/9 nonce=1")
    )
    last_reply = output.split("DONE\n")[2]
    assert "corr=cc" in last_reply and "corr=bb" not in last_reply and "corr=aa" not in last_reply
    assert output.endswith("DONE\nDONE\n")


def batches_for(relays: list[str]) -> str:
    """Return batches that start the relays, send each 59 messages, withdraw every third and expire timers."""
    text = "".join(start_batch(r) for r in relays)
    for step in range(1, 60):
        now = 100.0 * step
        lines = []
        for r in relays:
            lines.append(inbound(r, f"{r[-1]}{step:x}", now).replace("item=5 ", f"item={step % 7} "))
            if step % 3 == 0:
                lines.append(f"HANGUP relayId={r} corr={r[-1]}{step - 2:x}")
            lines.append(f"DEADLINE_HIT relayId={r} nonce=0")
        text += batch(now, *lines)
    return text


def test_output_is_identical_under_any_hash_seed_and_when_split_over_processes() -> None:
    relays = ["relay/0", "relay/1", "relay/2"]
    outputs = {run_process(batches_for(relays), seed).stdout for seed in ("0", "1", "4242")}
    assert len(outputs) == 1
    lines = outputs.pop().splitlines()
    for relay in relays:
        separate_run = run_process(batches_for([relay])).stdout.splitlines()
        in_common_run = [line for line in lines if f"relayId={relay} " in line]
        assert in_common_run and in_common_run == [line for line in separate_run if line != "DONE"]
