"""The standing page in processes: a stop while submitters go on sending on every connection that stays open."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from pathlib import Path
from signal import SIGKILL, SIGTERM

import pytest
from scenario import SETTINGS

from kestreltrack.testing.fakes.destinations import FakeDestination
from kestreltrack.testing.fakes.load_generator import encode_command
from kestreltrack.testing.harness.fleet import Fleet

SUBMITTERS, BEFORE_KILL_S = 12, 3.7
BUSY = SETTINGS | {"allowed": SETTINGS["allowed"] | {"mostHeld": 400}}


class Submitter:
    """Sends its next message as soon as one was answered, on one connection, for as long as that is open.

    So many are out at once: answers come in the order of the requests.
    """

    def __init__(self, name: str, dest: int, cls: str, ahead: int = 1) -> None:
        self.name, self.dest, self.cls, self.ahead = name, dest, cls, ahead
        self.taken, self.answers = list[str](), Counter[str]()

    def message(self, number: int) -> bytes:
        id_ = f"{self.name}-{number}"
        return encode_command(
            "SUBMIT", "0" * 16, id_, f"c={self.cls},d=9000,dest={self.dest},k={id_}", "x" * 300
        )

    async def play(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(map(self.message, range(self.ahead))))
        try:
            while line := await reader.readline():
                answered = sum(self.answers.values())
                self.answers[line.split()[0].decode()] += 1
                self.taken += [f"{self.name}-{answered}"] if line == b"+OK\r\n" else []
                writer.write(self.message(answered + self.ahead))
        except ConnectionResetError:
            pass  # it crossed the end; whether it was read is seen by the sender's count
        finally:
            writer.close()


@pytest.mark.parametrize("ahead", [1, 8])
def test_a_stop_answers_all_that_it_reads_and_the_next_process_ends_all_that_was_taken(
    tmp_path: Path, ahead: int
) -> None:
    async def whole() -> None:
        works, hangs = FakeDestination(1, service_time_ms=20.0), FakeDestination(2)
        hangs.fault.hang = True
        async with Fleet(tmp_path, BUSY, 1, destinations=[works, hangs], fleet_enabled=False) as company:
            sender = company.senders["s1"]
            kinds = [(dest, cls) for dest in (1, 2) for cls in ("keyed", "unsafe")]
            submitters = [Submitter(f"m{n}", *kinds[n % 4], ahead) for n in range(SUBMITTERS)]
            playing = [asyncio.create_task(s.play(sender.listen_address)) for s in submitters]
            await company.wait_until(lambda: all(len(s.taken) > 4 for s in submitters), "that all are served")
            await sender.signal(SIGTERM)
            killed = asyncio.get_running_loop().call_later(BEFORE_KILL_S, company.senders["s1"].process.kill)  # type: ignore[union-attr]
            await asyncio.gather(*playing)
            await company.wait_ended(sender)
            killed.cancel()
            await company.wait_until(
                lambda: "clients.requests" in sender.counters, "the count of what was read"
            )
            answered = sum(sum(s.answers.values()) for s in submitters)
            assert sender.counters["clients.requests"] == answered, (
                "each request that was read has its answer"
            )
            assert not sender.counters.get("clients.disconnected", 0)
            hangs.recover()
            await company.start("s1")
            taken = {id_ for s in submitters for id_ in s.taken}
            ends = company.platforms["s1"].notifications

            def over() -> bool:
                return (
                    taken
                    <= company.endpoints["p1"].delivered | company.endpoints["p2"].delivered | ends.keys()
                )

            await company.wait_until(over, "that each message taken on has its end")
            unsafe = [id_ for s in submitters if s.cls == "unsafe" for id_ in s.taken]
            assert all(works.execution_counts[id_] + hangs.execution_counts[id_] <= 1 for id_ in unsafe), (
                "none took effect twice"
            )
            await company.signal(["s1"], SIGKILL)

    asyncio.run(whole())


def test_floods_that_leave_cost_nobody_else_and_all_that_was_taken_of_them_ends(tmp_path: Path) -> None:
    async def whole() -> None:
        works = FakeDestination(1, service_time_ms=5.0)
        async with Fleet(tmp_path, BUSY, 1, destinations=[works], fleet_enabled=False) as company:
            sender = company.senders["s1"]
            host, _, port = sender.listen_address.rpartition(":")
            good = Submitter("good", 1, "keyed")
            playing = asyncio.create_task(good.play(sender.listen_address))
            for n in range(20):
                flood = Submitter(f"flood{n}", 1, ("keyed", "unsafe")[n % 2])
                with socket.create_connection((host, int(port))) as leaves:
                    if n % 3:  # its end is a reset
                        leaves.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    leaves.sendall(b"".join(map(flood.message, range(20))) + flood.message(20)[:-100])
                await asyncio.sleep(0)
            await company.wait_until(lambda: len(good.taken) > 40, "that the one that stays is served")
            await sender.signal(SIGTERM)
            await playing
            await company.wait_ended(sender)
            await company.wait_until(lambda: "delivery.accepted" in sender.counters, "the counts")
            ends = sum(n for name, n in sender.counters.items() if name.startswith("delivery.ended."))
            assert ends == sender.counters["delivery.accepted"], "none is left in a state without end"
            assert (
                set(good.taken)
                <= company.endpoints["p1"].delivered | company.platforms["s1"].notifications.keys()
            )
            assert not [name for name in sender.counters if "fault" in name]

    asyncio.run(whole())
