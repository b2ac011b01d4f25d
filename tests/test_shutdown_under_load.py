"""Shutdown of a real sender while clients submit on every open connection (the standing page)."""

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

CLIENTS = 12
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
LIMITED_SETTINGS = SETTINGS | {"allowed": SETTINGS["allowed"] | {"mostHeld": 400}}


class Client:
    """Submits on one connection until it closes, with `ahead` requests outstanding; answers keep their order."""

    def __init__(self, name: str, dest: int, cls: str, ahead: int = 1) -> None:
        self.name = name
        self.dest = dest
        self.cls = cls
        self.ahead = ahead
        self.accepted = list[str]()
        self.answers = Counter[str]()

    def message(self, number: int) -> bytes:
        id_ = f"{self.name}-{number}"
        return encode_command(
            "SUBMIT", "0" * 16, id_, f"c={self.cls},d=9000,dest={self.dest},k={id_}", "x" * 300
        )

    async def run(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(map(self.message, range(self.ahead))))
        try:
            while line := await reader.readline():
                answered = sum(self.answers.values())
                self.answers[line.split()[0].decode()] += 1
                self.accepted += [f"{self.name}-{answered}"] if line == b"+OK\r\n" else []
                writer.write(self.message(answered + self.ahead))
        except ConnectionResetError:
            pass  # sent while the sender closed; its request counter tells whether it was read
        finally:
            writer.close()


@pytest.mark.parametrize("ahead", [1, 8])
def test_a_shutdown_answers_each_request_read_and_a_restart_completes_each_accepted_message(
    tmp_path: Path, ahead: int
) -> None:
    async def run_test() -> None:
        working = FakeDestination(1, service_time_ms=20.0)
        hanging = FakeDestination(2)
        hanging.fault.hang = True
        async with Fleet(
            tmp_path, LIMITED_SETTINGS, 1, destinations=[working, hanging], fleet_enabled=False
        ) as fleet:
            sender = fleet.senders["s1"]
            kinds = [(dest, cls) for dest in (1, 2) for cls in ("keyed", "unsafe")]
            clients = [Client(f"m{n}", *kinds[n % 4], ahead) for n in range(CLIENTS)]
            client_tasks = [asyncio.create_task(client.run(sender.listen_address)) for client in clients]
            await fleet.wait_until(
                lambda: all(len(client.accepted) > 4 for client in clients),
                "messages of each client accepted",
            )
            await sender.signal(SIGTERM)
            kill_timer = asyncio.get_running_loop().call_later(KILL_AFTER_S, fleet.senders["s1"].process.kill)  # type: ignore[union-attr]
            await asyncio.gather(*client_tasks)
            await fleet.wait_ended(sender)
            kill_timer.cancel()
            await fleet.wait_until(
                lambda: "clients.requests" in sender.counters, "the counter of requests read"
            )
            answered = sum(sum(client.answers.values()) for client in clients)
            assert sender.counters["clients.requests"] == answered, "a request was read but not answered"
            assert not sender.counters.get("clients.disconnected", 0)
            hanging.recover()
            await fleet.start("s1")
            accepted = {id_ for client in clients for id_ in client.accepted}
            notifications = fleet.platforms["s1"].notifications

            def all_ended() -> bool:
                return (
                    accepted
                    <= fleet.endpoints["p1"].delivered
                    | fleet.endpoints["p2"].delivered
                    | notifications.keys()
                )

            await fleet.wait_until(all_ended, "the end of each accepted message")
            unsafe = [id_ for client in clients if client.cls == "unsafe" for id_ in client.accepted]
            assert all(
                working.execution_counts[id_] + hanging.execution_counts[id_] <= 1 for id_ in unsafe
            ), "a message took effect twice"
            await fleet.signal(["s1"], SIGKILL)

    asyncio.run(run_test())


def test_clients_that_flood_and_disconnect_affect_no_other_client_and_their_accepted_messages_end(
    tmp_path: Path,
) -> None:
    async def run_test() -> None:
        working = FakeDestination(1, service_time_ms=5.0)
        async with Fleet(tmp_path, LIMITED_SETTINGS, 1, destinations=[working], fleet_enabled=False) as fleet:
            sender = fleet.senders["s1"]
            host, _, port = sender.listen_address.rpartition(":")
            well_behaved = Client("good", 1, "keyed")
            client_task = asyncio.create_task(well_behaved.run(sender.listen_address))
            for n in range(20):
                flood = Client(f"flood{n}", 1, ("keyed", "unsafe")[n % 2])
                with socket.create_connection((host, int(port))) as connection:
                    if n % 3:  # closes the connection with a reset
                        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    connection.sendall(b"".join(map(flood.message, range(20))) + flood.message(20)[:-100])
                await asyncio.sleep(0)
            await fleet.wait_until(
                lambda: len(well_behaved.accepted) > 40, "messages of the client that stays accepted"
            )
            await sender.signal(SIGTERM)
            await client_task
            await fleet.wait_ended(sender)
            await fleet.wait_until(lambda: "delivery.accepted" in sender.counters, "the counters")
            ended_count = sum(n for name, n in sender.counters.items() if name.startswith("delivery.ended."))
            assert ended_count == sender.counters["delivery.accepted"], "an accepted message has not ended"
            assert (
                set(well_behaved.accepted)
                <= fleet.endpoints["p1"].delivered | fleet.platforms["s1"].notifications.keys()
            )
            assert not [name for name in sender.counters if "fault" in name]

    asyncio.run(run_test())
