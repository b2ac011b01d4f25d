"""Servers that write bytes which belong to no request, such as a response a second time."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from kestreltrack.testing.fakes.http import read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

DEFAULT_SERVICE_TIME_S = 0.05


@dataclass(slots=True)
class ResponseRepeater:
    """Writes bytes that belong to no request after a share of the responses of a server.

    Attributes:
        share: The share of the responses.
        max_delay_s: The longest time between the response and the bytes, in seconds.
        extra_bytes: The bytes; the response itself if None.
    """

    share: float
    max_delay_s: float
    extra_bytes: bytes | None = None

    def schedule(self, response: bytes, writer: asyncio.StreamWriter, rng: random.Random) -> None:
        """Decide whether bytes follow a response that was written, and write them later if so."""
        if rng.random() < self.share:
            data = response if self.extra_bytes is None else self.extra_bytes
            delay_s = rng.uniform(0.0, self.max_delay_s)
            asyncio.get_running_loop().call_later(delay_s, _write_if_open, writer, data)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class RepeatingServer(LoopbackServer):
    """Answers the requests of all connections with the given responses in turn, and writes each response again.

    Attributes:
        received: The request lines and bodies in the order of arrival.
    """

    def __init__(
        self,
        responses: list[bytes],
        repeated_after_s: tuple[float, ...],
        service_time_s: float = DEFAULT_SERVICE_TIME_S,
    ) -> None:
        """Write each response again at each of the times after its first."""
        super().__init__()
        self._service_time_s = service_time_s
        self.received = list[tuple[str, bytes]]()
        self._responses = list(responses)
        self._repeated_after_s = repeated_after_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection in sequence."""
        while True:
            request = await read_http(reader)
            self.received.append((request.request_line, request.body))
            response = self._responses.pop(0)
            await asyncio.sleep(self._service_time_s)
            writer.write(response)
            for delay_s in self._repeated_after_s:
                asyncio.get_running_loop().call_later(delay_s, _write_if_open, writer, response)
