"""Carries one claim over HTTP and reads its outcome off what comes back."""

from __future__ import annotations

import asyncio
import re

from kestreltrack.decision.api import Outcome
from kestreltrack.http1 import Broken, Connection, Head
from kestreltrack.nodes.pool import Pool
from kestreltrack.ports import Claim, ClaimResult
from kestreltrack.telemetry import Telemetry

TARGET = "/v1/messages"
MAX_BODY = 64 * 1024  # what a body may hold; an answer that says more is spoilt
OK_BODY_S = 0.25  # for the rest of an answer that has said 200: its meaning is known by then
BODY_S = 1.0  # for the rest of any other: only a whole one proves that the message never ran
NEVER_RAN = (429, 503, 504, 410)  # as the protocol has it
REPORT = b"x-load-report"
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def read_number(text: str | None) -> float | None:
    """A number in plain decimal form, or `None`."""
    return float(text) if text and NUMBER.fullmatch(text) else None


def read_report(text: str) -> dict[str, float]:
    """The fields of a load report; what is not a number is left out."""
    pairs = (part.partition("=") for part in text.split(","))
    rows = ((name.strip(), read_number(value.strip())) for name, _, value in pairs)
    return {name: value for name, value in rows if name and value is not None}


def read_wait(head: Head, telemetry: Telemetry) -> float:
    """The wait that an answer tells, in milliseconds; one that cannot be read is counted and taken for none."""
    wait_s = read_number(head.headers.get("retry-after"))
    if wait_s is None:
        telemetry.trouble("nodes.bad_wait", value=head.headers.get("retry-after"))
    return 1000.0 * (wait_s or 0.0)


def read_outcome(head: Head, telemetry: Telemetry) -> ClaimResult:
    """What an answer means."""
    report = read_report(head.headers.get("x-load-report", ""))
    if head.status == 200:
        return ClaimResult(Outcome.OK, over=True, report=report)
    if head.status == 429:
        return ClaimResult(Outcome.REFUSED, wait_ms=read_wait(head, telemetry), report=report)
    if head.status == 503 and head.headers.get("slots-taken", "0").strip() != "0":
        return ClaimResult(Outcome.NOT_SENT, report=report)
    if head.status == 503:
        return ClaimResult(Outcome.REFUSED, report=report)
    if head.status == 504:  # all attempts are used up; the end is still owed
        return ClaimResult(Outcome.NOT_SENT, report=report)
    if head.status == 410:  # the message is over and nothing more is owed
        return ClaimResult(Outcome.NOT_SENT, over=True, report=report)
    if head.status != 500:  # not in the protocol: it may have run
        telemetry.trouble("nodes.odd_status", status=head.status)
    return ClaimResult(Outcome.ERROR, report=report)


class NodeTransport:
    """Claims over pooled connections; each is written once and never resent."""

    def __init__(self, pool: Pool, telemetry: Telemetry) -> None:
        """Use the connections of `pool`."""
        self.pool, self.telemetry = pool, telemetry

    def unlink(self, uid: str) -> None:
        """Close the idle connections to an execute node."""
        self.pool.unlink(uid)

    async def claim(self, claim: Claim, connection: Connection | None = None) -> ClaimResult:
        """Connect, unless there is a connection; ask whether the claim may still go, write it, read the answer."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + claim.timeout_ms / 1000.0
        try:
            async with asyncio.timeout_at(deadline):
                connection = connection or await self.pool.take(claim.node, claim.address)
                if not claim.begin():
                    self.pool.give_back(claim.node, connection)
                    return ClaimResult(Outcome.NOT_SENT)
                headers = self._headers(claim, deadline - loop.time())
                await connection.send("POST", TARGET, headers, claim.message.body)
                self.telemetry.count("app.forwards")
                head = await connection.head(REPORT)
            async with asyncio.timeout(OK_BODY_S if head.status == 200 else BODY_S):
                await connection.body(MAX_BODY)
        except (asyncio.CancelledError, Exception) as bad:
            if connection:
                self.pool.drop(connection)  # closing is how a claim is given up
            return await self._broken_off(connection, bad)
        self.pool.give_back(claim.node, connection)
        return read_outcome(head, self.telemetry)

    async def _broken_off(self, connection: Connection | None, bad: BaseException) -> ClaimResult:
        """What a claim comes to whose connection has been closed.

        What had come by then goes first, also where it came in the very turn of a time-out or a cancel: a 200 is
        true, and a wait binds.  Nothing here waits.
        """
        if not isinstance(bad, asyncio.CancelledError | OSError | Broken):
            self.telemetry.trouble("nodes.fault", error=repr(bad))
        sent, spoilt = connection is not None and connection.sent, False
        if connection:
            try:
                head = await connection.head(REPORT)
                spoilt = True
                await connection.body(MAX_BODY)
                if sent or head.status in NEVER_RAN:
                    return read_outcome(head, self.telemetry)
            except Broken:
                pass
            if connection.early_status() == 200:  # its first line is true, whatever follows
                return ClaimResult(Outcome.OK, over=True)
        if not sent:  # the endpoint begins a call when its last byte has come
            cancelled = isinstance(bad, asyncio.CancelledError)
            return ClaimResult(Outcome.NOT_SENT if cancelled else Outcome.UNREACHABLE)
        if spoilt:  # whatever it says, the message may have run
            self.telemetry.count("nodes.spoilt")
            return ClaimResult(Outcome.BROKEN)
        if isinstance(bad, asyncio.CancelledError):
            return ClaimResult(Outcome.CANCELLED)
        if isinstance(bad, TimeoutError):
            return ClaimResult(Outcome.TIMED_OUT)
        return ClaimResult(Outcome.BROKEN, stale=connection is not None and connection.stale())

    @staticmethod
    def _headers(claim: Claim, left_s: float) -> list[tuple[str, str]]:
        headers = [("X-Call-Id", claim.message.id), ("X-Budget-Ms", str(max(1, int(left_s * 1000.0))))]
        if claim.message.idempotency_key is not None:
            headers.append(("Idempotency-Key", claim.message.idempotency_key))
        return headers
