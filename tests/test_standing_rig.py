"""The standing page in processes: a stop while submitters go on sending on every connection that stays open."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from signal import SIGKILL, SIGTERM

from scenario import SETTINGS

from kestreltrack.lab.rig.company import Company
from kestreltrack.lab.standins.partners import Partner
from kestreltrack.lab.standins.submitters import command

SUBMITTERS, BEFORE_KILL_S = 12, 3.7
BUSY = SETTINGS | {"allowed": SETTINGS["allowed"] | {"mostHeld": 400}}


class Submitter:
    """Sends its next message as soon as the last one was answered, on one connection, for as long as that is open."""

    def __init__(self, name: str, dest: int, cls: str) -> None:
        self.name, self.dest, self.cls = name, dest, cls
        self.taken, self.answers = list[str](), Counter[str]()

    async def play(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while True:
                id_ = f"{self.name}-{sum(self.answers.values())}"
                names = f"c={self.cls},d=9000,dest={self.dest},k={id_}"
                writer.write(command("SUBMIT", "0" * 16, id_, names, "x" * 300))
                if not (line := await reader.readline()):
                    return
                self.answers[line.split()[0].decode()] += 1
                self.taken += [id_] if line == b"+OK\r\n" else []
        except ConnectionResetError:
            pass  # it crossed the end; whether it was read is seen by the sender's count
        finally:
            writer.close()


def test_a_stop_answers_all_that_it_reads_and_the_next_process_ends_all_that_was_taken(tmp_path: Path) -> None:
    async def whole() -> None:
        works, hangs = Partner(1, service_ms=20.0), Partner(2)
        hangs.trouble.hang = True
        async with Company(tmp_path, BUSY, 1, partners=[works, hangs], talks=False) as company:
            sender = company.senders["s1"]
            kinds = [(dest, cls) for dest in (1, 2) for cls in ("keyed", "unsafe")]
            submitters = [Submitter(f"m{n}", *kinds[n % 4]) for n in range(SUBMITTERS)]
            playing = [asyncio.create_task(s.play(sender.listen)) for s in submitters]
            await company.comes(lambda: all(len(s.taken) > 4 for s in submitters), "that all are served")
            await sender.signal(SIGTERM)
            killed = asyncio.get_running_loop().call_later(BEFORE_KILL_S, company.senders["s1"].process.kill)  # type: ignore[union-attr]
            await asyncio.gather(*playing)
            await company.ended(sender)
            killed.cancel()
            await company.comes(lambda: "submitters.requests" in sender.counters, "the count of what was read")
            answered = sum(sum(s.answers.values()) for s in submitters)
            assert sender.counters["submitters.requests"] == answered, "each request that was read has its answer"
            assert not sender.counters.get("submitters.left", 0)
            hangs.recover()
            await company.start("s1")
            taken = {id_ for s in submitters for id_ in s.taken}
            ends = company.platforms["s1"].ends

            def over() -> bool:
                return taken <= company.endpoints["p1"].delivered | company.endpoints["p2"].delivered | ends.keys()

            await company.comes(over, "that each message taken on has its end")
            unsafe = [id_ for s in submitters if s.cls == "unsafe" for id_ in s.taken]
            assert all(works.effects[id_] + hangs.effects[id_] <= 1 for id_ in unsafe), "none took effect twice"
            await company.signal(["s1"], SIGKILL)

    asyncio.run(whole())
