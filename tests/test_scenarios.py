"""Scenarios of a real sender process over sockets; `scenario.py` describes their language."""

from __future__ import annotations

import asyncio
import copy
from pathlib import Path
from typing import Any

import pytest
from scenario import SETTINGS, ScenarioHarness

# Of each scenario: the class and deadline of the message, the endpoint's step, the outcome of the attempt, and the
# steps after it.
OUTCOMES = {
    "an error is retried if the destination deduplicates": (
        "keyed,d=20000",
        "send 500",
        "error",
        "n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "an error ends a message that is not idempotent": (
        "unsafe,d=20000",
        "send 500",
        "error",
        "d expect m1 given_up",
    ),
    "a reset ends a message that is not idempotent": (
        "unsafe,d=20000",
        "close",
        "broken",
        "d expect m1 given_up",
    ),
    "a status line with 200 delivers, even if the response is cut short": (
        "unsafe,d=20000",
        "send cut HTTP/1.1 200 OK",
        "ok",
        "sender expect end how=ok",
    ),
    "a response cut in its status line is a broken connection": (
        "unsafe,d=20000",
        "send cut HTTP/1.1",
        "broken",
        "d expect m1 given_up",
    ),
    "a response that is not HTTP is a broken connection": (
        "unsafe,d=20000",
        "send cut 200 HTTP/1.1 OK",
        "broken",
        "d expect m1 given_up",
    ),
    "a rejection with a retry-after is retried even if the message is not idempotent": (
        "unsafe,d=20000",
        "send 429 Retry-After: 0.25",
        "refused retry_after_ms=250.0",
        "n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "a malformed retry-after is ignored": (
        "unsafe,d=20000",
        "send 429 Retry-After: soon",
        "refused retry_after_ms=0.0",
        "sender expect endpoints.invalid_retry_after \n n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "a 503 is a rejection": (
        "unsafe,d=20000",
        "send 503",
        "refused",
        "n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "a 503 with Slots-Taken counts as not sent": (
        "unsafe,d=20000",
        "send 503 Slots-Taken: 1",
        "not_sent",
        "n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "a 504 counts as not sent, and the message is retried": (
        "unsafe,d=20000",
        "send 504",
        "not_sent",
        "n3 expect m1 \n n3 send 200 \n sender expect end how=ok",
    ),
    "a 410 ends the message without a notification": (
        "keyed,d=20000",
        "send 410",
        "not_sent",
        "sender expect end how=not_sent",
    ),
    "after an unexpected status the message may have been executed": (
        "unsafe,d=20000",
        "send 418",
        "error",
        "sender expect endpoints.unexpected_status \n d expect m1 given_up",
    ),
    "an attempt without a response times out, and its connection is closed": (
        "unsafe,d=600",
        "expect end",
        "timed_out",
        "d expect m1 given_up",
    ),
}
SCENARIOS = {
    name: f"""
        s1 send SUBMIT m1 c={class_and_deadline},dest=2
        s1 expect +OK
        n3 expect m1
        n3 {endpoint_step}
        sender expect attempt outcome={outcome}
        {next_steps}"""
    for name, (class_and_deadline, endpoint_step, outcome, next_steps) in OUTCOMES.items()
} | {
    "ping": "s1 send PING\n s1 expect +PONG",
    "a message is delivered with its idempotency key and body": """
        s1 send SUBMIT m1 c=keyed,t=acme,d=20000,k=5c0f,dest=2
        s1 expect +OK
        n3 expect m1 idempotency-key=5c0f content-length=8
        n3 send 200 X-Load-Report: x0=0.4,x1=25
        sender expect end id=m1 how=ok
        s1 send SUBMIT m2 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "a status notification is retried until the platform accepts it": """
        d send 503
        d send 503
        s1 send SUBMIT m1 c=keyed,d=400,dest=3
        s1 expect +OK
        sender expect notifications.unexpected_status
        sender expect notifications.unexpected_status
        d expect m1 handed_back
        sender expect end how=requeued""",
    "a message for an unreachable endpoint was not executed and is handed back": """
        s1 send SUBMIT m1 c=unsafe,d=600,dest=3
        s1 expect +OK
        sender expect attempt outcome=unreachable
        d expect m1 handed_back""",
    "a deadline over the limit and an unknown destination are invalid, a destination without endpoints is not": """
        s1 send SUBMIT m1 c=keyed,d=24050,dest=2
        s1 expect -ERR d is beyond
        s1 send SUBMIT m1 c=keyed,d=99999999999999999999999,dest=2
        s1 expect -ERR d is
        s1 send SUBMIT m1 c=keyed,d=20000,dest=70000
        s1 expect -ERR unknown destination
        d send removed n3
        sender expect endpoint_list revision=2
        s1 send SUBMIT m1 c=keyed,d=20000,dest=2
        s1 expect +OK
        sender send KILL
        sender restart
        s2 send SUBMIT m2 c=keyed,d=20000,dest=2
        s2 expect +OK""",
    "a message that cannot be delivered in time is rejected on arrival": """
        s1 send SUBMIT m1 c=keyed,d=1,dest=2
        s1 expect -BUSY 3000
        s1 send PING
        s1 expect +PONG""",
    "invalid requests do not close the connection": """
        s1 send SUBMIT m1 c=nothing,d=1000,dest=2
        s1 expect -ERR unknown class
        s1 send SUBMIT m1 c=keyed,d=much,dest=2
        s1 expect -ERR d is
        s1 send SUBMIT m1 c=keyed,d=1000,dest=1e300
        s1 expect -ERR dest
        s1 send SUBMIT m1 c=keyed,d=1000,dest=nan
        s1 expect -ERR dest
        s1 send SUBMIT m1 nonsense
        s1 expect -ERR
        s1 send SUBMIT m1
        s1 expect -ERR SUBMIT takes
        s1 send FLY
        s1 expect -ERR unknown command
        s1 send PING
        s1 expect +PONG""",
    "bytes that are not RESP2 close the connection and do not stop the process": r"""
        s1 send raw GET\x20/\r\n
        s1 expect -ERR
        s1 expect end
        s2 send raw *1\r\n$-5\r\n
        s2 expect -ERR
        s2 expect end
        s3 send raw *99999999\r\n
        s3 expect -ERR
        s3 expect end
        s4 send raw *1\r\n$4\r\nPIN
        s4 close
        s5 send PING
        s5 expect +PONG""",
    "a command received again, before and after the end of its message, starts no second delivery": """
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        s2 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s2 expect +OK
        n3 send 200
        sender expect end id=m1 how=ok
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        s1 send SUBMIT m2 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "a client that disconnects before its reply withdraws its message": r"""
        sender send STOP
        s1 send SUBMIT m1 c=keyed,d=20000,dest=3
        s1 close
        sender send CONT
        sender expect clients.disconnected
        s2 send SUBMIT m2 c=keyed,d=20000,dest=2
        s2 expect +OK
        n3 expect m2
        n3 send 200
        sender expect end id=m2""",
    "a draining endpoint receives no new messages": """
        d send draining n1
        sender expect endpoint_list revision=2
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=1
        s1 expect +OK
        n2 expect m1
        n2 send 200
        sender expect end how=ok
        s1 send SUBMIT m2 c=unsafe,d=20000,dest=1
        s1 expect +OK
        n2 expect m2
        n2 send 200
        sender expect end how=ok""",
    "a malformed endpoint list is counted, and the last one stays in force": """
        d send malformed
        sender expect discovery.malformed
        sender expect discovery.failed
        s1 send SUBMIT m1 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 200
        sender expect end how=ok""",
    "killed with attempts in flight: only the message with an idempotency key is retried": """
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        s1 send SUBMIT m2 c=keyed,d=20000,k=77,dest=2
        s1 expect +OK
        n3 expect m2
        sender send KILL
        sender restart
        d expect m1 given_up
        n3 expect m2 idempotency-key=77
        n3 send 200
        sender expect end id=m1 how=given_up
        sender expect end id=m2 how=ok""",
    "killed with a status notification pending: it is sent after the restart": """
        d send 503
        d send 503
        d send 503
        d send 503
        d send 503
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 500
        sender expect notifications.unexpected_status
        sender send KILL
        sender restart
        d expect m1 given_up
        sender expect end id=m1 how=given_up""",
    "a new process takes over the messages of the old one after its end": """
        s1 send SUBMIT m1 c=keyed,d=20000,k=77,dest=2
        s1 expect +OK
        n3 expect m1
        sender start_new
        s2 send PING
        s2 expect +PONG
        sender old KILL
        sender expect taken_over messages=1
        n3 expect m1 idempotency-key=77
        n3 send 200
        sender expect end id=m1 how=ok""",
    "a retry-after that the old process received before the new one starts binds the new one": """
        s1 send SUBMIT m1 c=keyed,d=1000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 429 Retry-After: 2
        sender expect attempt id=m1 outcome=refused
        sender start_new own_address
        s2 send SUBMIT m2 c=unsafe,d=20000,dest=2
        s2 expect +OK
        d expect m1 handed_back
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok
        sender never attempt outcome=not_sent""",
    "a retry-after that the old process receives while both run binds the new one": """
        s1 send PING
        s1 expect +PONG
        sender start_new own_address
        s1 send SUBMIT m1 c=keyed,d=1000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 429 Retry-After: 2
        sender expect attempt id=m1 outcome=refused
        s2 send SUBMIT m2 c=unsafe,d=20000,dest=2
        s2 expect +OK
        d expect m1 handed_back
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "a retry-after that the new process receives while both run binds the old one": """
        s1 send PING
        s1 expect +PONG
        sender start_new own_address
        s2 send SUBMIT m1 c=keyed,d=1000,dest=2
        s2 expect +OK
        n3 expect m1
        n3 send 429 Retry-After: 2
        sender expect attempt id=m1 outcome=refused
        s1 send SUBMIT m2 c=unsafe,d=20000,dest=2
        s1 expect +OK
        d expect m1 handed_back
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok""",
    "a retry-after that a killed process received binds the next process": """
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 429 Retry-After: 2
        sender expect attempt id=m1 outcome=refused
        sender send KILL
        sender restart
        n3 expect m1
        n3 send 200
        sender expect end id=m1 how=ok
        sender never attempt outcome=not_sent""",
    "operators exclude an endpoint that discovery lists, include it, evacuate and rejoin": """
        a GET /api/ready 200
        a PUT /api/exclude 404 n9
        a PUT /api/exclude 200 n3
        d send up n3
        s1 send SUBMIT m1 c=keyed,d=600,dest=2
        s1 expect +OK
        d expect m1 handed_back
        a PUT /api/include 200 n3
        s1 send SUBMIT m2 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m2
        n3 send 200
        sender expect end id=m2 how=ok
        a PUT /api/evacuate 200
        s1 expect end
        s2 send PING
        s2 expect -ERR evacuated
        a GET /api/ready 503
        a PUT /api/rejoin 200
        s3 send PING
        s3 expect +PONG
        a GET /api/telemetry 200 app.results.keyed.succeeded:1|c app.results.keyed.declined:1|c app.forwards:1|c""",
    "killed after a delivery: nothing is sent again": """
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 200
        sender expect end how=ok
        sender send KILL
        sender restart
        s2 send PING
        s2 expect +PONG""",
    "SIGTERM: new connections are served, attempts finish, outstanding messages stay in the journal": """
        s1 send SUBMIT m1 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        sender send TERM
        sender expect stopping held=1
        s2 send SUBMIT m2 c=keyed,d=20000,dest=3
        s2 expect +OK
        n3 send 200
        sender expect end id=m1 how=ok
        s1 expect end
        s2 expect end
        sender expect stopped held=1
        sender expect counters delivery.accepted=2 delivery.ended.ok=1
        sender expect exit 0
        sender restart
        sender send USR1
        sender expect counters delivery.recovered=1""",
    "SIGTERM during an attempt that does not end: a message that is not idempotent is given up": """
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        s2 send raw *1\\r\\n$4
        sender send TERM
        sender expect exit 0
        sender restart
        d expect m1 given_up""",
    "a new discovery address is polled for the complete list and then watched": """
        sender reload d2
        sender expect reloaded needs_restart=[]
        sender expect endpoint_list complete=True
        d2 send draining n1
        sender expect endpoint_list complete=False
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=1
        s1 expect +OK
        n2 expect m1
        n2 send 500
        d2 expect m1 given_up""",
    "a watch without a response is opened again, and the missed change is received": """
        s1 send PING
        s1 expect +PONG
        d send silence
        d send draining n1
        sender expect discovery.failed
        sender expect endpoint_list revision=2
        s2 send SUBMIT m1 c=unsafe,d=20000,dest=1
        s2 expect +OK
        n2 expect m1
        n2 send 500
        d expect m1 given_up""",
    "a notification that is being retried moves to the new platform at once": """
        d send 503
        d send 503
        d send 503
        d send 503
        d send 503
        d send 503
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 500
        sender expect notifications.unexpected_status
        sender expect notifications.unexpected_status
        sender expect notifications.unexpected_status
        sender reload d2
        d2 expect m1 given_up""",
    "an invalid configuration is counted and leaves the old one in force": """
        sender reload nowhere
        sender expect config.reload_rejected
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 500
        d expect m1 given_up
        sender send USR1
        sender expect counters config.reload_rejected=1""",
    "SIGUSR1 logs the counters": """
        s1 send SUBMIT m1 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m1
        n3 send 200
        sender expect end how=ok
        sender send USR1
        sender expect counters delivery.accepted=1 delivery.attempts.ok=1 delivery.ended.ok=1""",
}


PARTIAL_SUBMIT = r"s1 send raw *5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$22\r\nc=keyed,d=20000,dest=2"
REST_OF_SUBMIT = r"s1 send raw \r\n$1\r\nB\r\n"
RESTART_STEPS = [
    "s1 send PING",
    "s1 expect +PONG",
    "sender start_new own_address",
    "sender old send TERM",
    "sender expect stopping",
    "wait 700",
]


# On a busy machine the test may need more than the 2 s in which a command must be complete.
LONG_COMMAND_TIMEOUT = "from kestreltrack.frontend import session; session.COMMAND_TIMEOUT_S = 30.0"


def run_scenario(folder: Path, text: str, disk_mb: float = 0.5, setup_code: str = "", **changes: Any) -> None:
    """Run a scenario with changed settings, ``name=value`` or ``part__name=value``."""
    settings = copy.deepcopy(SETTINGS)
    for path, value in changes.items():
        part, _, key = path.partition("__")
        (settings[part] if key else settings)[key or part] = value
    harness = ScenarioHarness(folder, settings, disk_mb)
    harness.setup_code = setup_code
    asyncio.run(harness.run(text))


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str, tmp_path: Path) -> None:
    run_scenario(tmp_path, SCENARIOS[name])


@pytest.mark.parametrize(
    "position", [2, 3, 4], ids=["before the new process", "before SIGTERM", "after SIGTERM"]
)
def test_a_request_partly_read_when_the_old_process_drains_is_answered_and_taken_over(
    position: int, tmp_path: Path
) -> None:
    steps = [*RESTART_STEPS[:position], PARTIAL_SUBMIT, *RESTART_STEPS[position:], REST_OF_SUBMIT]
    steps += ["s1 expect +OK", "s1 expect end"]
    steps += [
        "sender expect stopped held=1",
        "sender expect taken_over messages=1",
        "n3 expect m1",
        "n3 send 200",
    ]
    run_scenario(
        tmp_path, "\n".join([*steps, "sender expect end id=m1 how=ok"]), setup_code=LONG_COMMAND_TIMEOUT
    )
