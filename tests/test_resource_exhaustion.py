"""A real process that runs out of descriptors, queue capacity or disk space: it rejects work and keeps serving."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from scenario import SETTINGS, ScenarioHarness
from test_scenarios import run_scenario

# The limit on open files, which is lower than the one in the settings.
DESCRIPTOR_LIMIT = 64
# With this idle timeout clients are evicted only for lack of descriptors.
SETUP_CODE = (
    f"import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTOR_LIMIT}, {DESCRIPTOR_LIMIT}));"
    "from kestreltrack.frontend import session; session.IDLE_TIMEOUT_S = 60.0"
)
# The RESP2 encoding of a SUBMIT with a body of 2500 bytes, up to the body; scenarios escape CR and LF.
SUBMIT_HEAD = (
    "*5\\r\\n$6\\r\\nSUBMIT\\r\\n$1\\r\\n0\\r\\n$3\\r\\nm{n}\\r\\n"
    "$21\\r\\nc=keyed,d=9000,dest=1\\r\\n$2500\\r\\n"
)
SUBMISSION_STEPS = [
    line.format(n=n)
    for n in range(10, 30)
    for line in (
        f"s1 send raw {SUBMIT_HEAD}{'x' * 2500}\\r\\n",
        "s1 expect +OK",
        "n1 expect m{n}",
        "n1 send 200",
    )
]
NEWLINE = "\n"
IDLE_CLIENTS_SCRIPT = f"""
    idle_clients open 60
    idle_clients expect 60
    d close
    sender expect discovery.failed
    {NEWLINE.join(SUBMISSION_STEPS)}
    s1 send SUBMIT m3 c=keyed,d=2000,dest=3
    s1 expect +OK
    sender expect notifications.no_response
    d listen
    d expect m3 handed_back
    d send draining n1
    sender expect endpoint_list
    sender send TERM
    sender expect exit 0
"""


def test_idle_clients_that_use_all_descriptors_are_evicted_for_those_that_submit(tmp_path: Path) -> None:
    harness = ScenarioHarness(tmp_path, SETTINGS, disk_mb=0.1)
    # Above the limit of the process.
    harness.limits["sockets"] = 1024
    harness.setup_code = SETUP_CODE
    asyncio.run(harness.run(IDLE_CLIENTS_SCRIPT))
    (counters,) = (line for line in harness.unexpected_lines if line["event"] == "counters")
    assert counters["clients.evicted"] > 0
    assert counters["journal.compactions"] > 1, "compacted again after the compaction at the start"
    assert not [
        line for line in harness.unexpected_lines if line["event"] in ("journal.full", "clients.disconnected")
    ]


class DescriptorLimitHarness(ScenarioHarness):
    """Adds the step ``sender limit 16``, which sets the descriptor limit of the running process."""

    async def run_sender_step(self, verb: str, words: list[str]) -> None:
        if verb != "limit":
            await super().run_sender_step(verb, words)
        elif self.process:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (int(words[0]), DESCRIPTOR_LIMIT))


def test_a_listener_without_descriptors_closes_connections_and_serves_again(tmp_path: Path) -> None:
    # Each new connection is closed unread; the accept loop must neither spin nor stop.
    harness = DescriptorLimitHarness(tmp_path, SETTINGS)
    harness.setup_code = SETUP_CODE
    text = f"""
        s1 send PING
        s1 expect +PONG
        sender limit 17
        idle_clients open 10
        idle_clients expect 30
        s1 send PING
        s1 expect +PONG
        sender limit {DESCRIPTOR_LIMIT}
        s2 send PING
        s2 expect +PONG
        sender send TERM
        sender expect exit 0
    """
    asyncio.run(harness.run(text))
    assert not [line for line in harness.unexpected_lines if line["event"] == "clients.evicted"]


def test_a_nearly_full_queue_rejects_with_a_retry_after(tmp_path: Path) -> None:
    # A failing destination may queue twice as many messages as there is free capacity: seven of a queue of ten.  The
    # eighth is rejected with a retry-after.
    attributes = "c=keyed,d=20000,dest=3"
    accepted_steps = "".join(
        f"""
        s1 send SUBMIT m{n} {attributes}
        s1 expect +OK"""
        for n in range(2, 8)
    )
    text = f"""
        s1 send SUBMIT m1 {attributes}
        s1 expect +OK
        sender expect attempt id=m1 outcome=unreachable{accepted_steps}
        s1 send SUBMIT m8 {attributes}
        s1 expect -BUSY 3000"""
    run_scenario(tmp_path, text, allowed__mostHeld=10)


def test_a_full_disk_quota_rejects(tmp_path: Path) -> None:
    body = "x" * 60_000
    command_head = r"s1 send raw *5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$22\r\nc=keyed,d=20000,dest=1"
    run_scenario(
        tmp_path,
        rf"""
        {command_head}\r\n$60000\r\n{body}\r\n
        s1 expect -BUSY
        s1 send SUBMIT m2 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m2
        n3 send 200""",
        disk_mb=0.2,
    )
