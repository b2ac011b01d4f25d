"""The adapter: malformed input, faults of the module, restarts, and the same bytes under any hash seed."""

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
TABLE: dict[str, Any] = {
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


def start(relay: str, now: float = 0.0, table: dict[str, Any] = TABLE) -> str:
    """A batch that starts an instance with two endpoints of destination 1."""
    return (
        f"SYNC timeMs={now}\nPOWER_ON relayId={relay} rngSeed=7 settings={json.dumps(table)}\n"
        "DEFINE_LIST sheet=0 membersList=2\n"
        "ITEM endpoint=10.0.0.1:1 site=z flavor=k dest=1 lifecycle=up nominal=9\n"
        "ITEM endpoint=10.0.0.2:1 site=z flavor=k dest=1 lifecycle=up nominal=9\n"
        f"TOPOLOGY relayId={relay} epoch=1 sheet=0 kind=remembered\nEOB\n"
    )


def batch(now: float, *lines: str) -> str:
    """One batch."""
    return "\n".join((f"SYNC timeMs={now}", *lines, "EOB", ""))


def inbound(relay: str, corr: str, now: float = 0.0) -> str:
    """One arrival."""
    return f"INBOUND relayId={relay} corr={corr} expiresMs={now + 9000} item=5 farEnd=1 category=c"


def host(text: str) -> str:
    """What the host answers."""
    out = io.StringIO()
    Host(io.StringIO(text), out).run()
    return out.getvalue()


def process(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    """The adapter as it is started in service."""
    return subprocess.run(
        [sys.executable, "-m", "kestreltrack.simulator"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": seed},
        check=False,
    )


def test_a_message_is_sent_answered_and_over() -> None:
    out = host(
        start("relay/0")
        + batch(5, inbound("relay/0", "aa"))
        + batch(
            9,
            "FINISHED relayId=relay/0 corr=aa go=0 endpoint=10.0.0.1:1 stateCode=OK timeTakenMs=4 complete=1"
            " serverStats=0.5,9",
        )
    )
    replies = out.split("DONE\n")
    assert "KEEP_INFORMED relayId=relay/0 want=1" in replies[0]
    ways = [f"RELAY relayId=relay/0 corr=aa endpoint=10.0.0.{n}:1 timeoutMs=8845.000" for n in (1, 2)]
    assert sum(way in replies[1] for way in ways) == 1
    assert "aa" not in replies[2]


def test_an_empty_batch_and_the_end_of_input() -> None:
    done = process("SYNC timeMs=1.5\nEOB\n\n")
    assert (done.returncode, done.stdout, done.stderr) == (0, "DONE\n", "")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("HELLO\n", "line 1: a batch begins with SYNC, not 'HELLO'"),
        ("SYNC timeMs=x\nEOB\n", "line 1: SYNC: field timeMs is not a number: 'x'"),
        ("SYNC\nEOB\n", "line 1: SYNC: field timeMs is missing"),
        ("SYNC timeMs=1\n", "line 1: the input ended inside a batch"),
        (batch(1, "INBOUND corr=a"), "line 2: INBOUND: field relayId is missing"),
        (batch(1, "NOISE junk"), "line 2: NOISE: 'junk' is not name=value"),
        (start("relay/0") + batch(1, "BOO relayId=relay/0"), "line 9: unknown message 'BOO'"),
        (
            start("relay/0") + batch(1, "TOPOLOGY relayId=relay/0 epoch=1 sheet=9 kind=all"),
            "line 9: TOPOLOGY: no list 9 was defined",
        ),
    ],
)
def test_malformed_input_gets_one_plain_line(text: str, said: str) -> None:
    done = process(text)
    assert done.returncode != 0
    assert done.stderr.strip() == said


def test_a_fault_of_the_module_crashes_that_instance_alone() -> None:
    out = host(
        start("relay/0")
        + start("relay/1", 1)
        + batch(
            2,
            "INBOUND relayId=relay/0 corr=aa expiresMs=9000 farEnd=1 category=nonsense",
            inbound("relay/1", "bb"),
        )
    )
    last = out.split("DONE\n")[2]
    assert "CRASH relayId=relay/0 msg=KeyError: 'nonsense'" in last
    assert "RELAY relayId=relay/1 corr=bb" in last


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
def test_missing_or_absurd_settings_name_the_setting(path: str, value: object) -> None:
    table = json.loads(json.dumps(TABLE))
    part, _, last = path.rpartition(".")
    (table[part] if part else table)[last] = value
    with pytest.raises(ValueError, match="setting "):
        parse_settings(table)
    assert "CRASH relayId=relay/0 msg=ValueError: setting" in host(start("relay/0", table=table))


def test_a_stop_voids_the_batch_and_a_start_may_follow_in_it() -> None:
    out = host(
        start("relay/0")
        + batch(1, inbound("relay/0", "aa"))
        + batch(
            2,
            inbound("relay/0", "bb"),
            "EXIT relayId=relay/0",
            f"POWER_ON relayId=relay/0 rngSeed=8 settings={json.dumps(TABLE)}",
            "TOPOLOGY relayId=relay/0 epoch=1 sheet=0 kind=remembered",
            inbound("relay/0", "cc"),
        )
        + batch(3, "DEADLINE_HIT relayId=relay/9 nonce=1")
    )
    last = out.split("DONE\n")[2]
    assert "corr=cc" in last and "corr=bb" not in last and "corr=aa" not in last
    assert out.endswith("DONE\nDONE\n")


def script(relays: list[str]) -> str:
    """A day in small: arrivals, refusals, silence and answers for the relays named."""
    text = "".join(start(r) for r in relays)
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


def test_the_same_bytes_under_any_hash_seed_and_split_over_processes() -> None:
    relays = ["relay/0", "relay/1", "relay/2"]
    together = {process(script(relays), seed).stdout for seed in ("0", "1", "4242")}
    assert len(together) == 1
    lines = together.pop().splitlines()
    for relay in relays:
        alone = process(script([relay])).stdout.splitlines()
        mine = [line for line in lines if f"relayId={relay} " in line]
        assert mine and mine == [line for line in alone if line != "DONE"]
