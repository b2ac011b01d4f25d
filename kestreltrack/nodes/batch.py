"""Carries one call for several messages over HTTP, and reads the outcome of each off the answer.

Each message keeps a claim of its own, which joins the call and waits for its own outcome.  The call itself is one
task: connect, write all that still may go, read, split.  It is given up by closing its connection, and that only
once nobody waits for it any more: until then no outcome is told that would let a message be sent again.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, replace

from kestreltrack.decision.api import Outcome
from kestreltrack.http1 import Broken, Connection, Head
from kestreltrack.nodes.claims import (
    BODY_S,
    MAX_BODY,
    NEVER_RAN,
    REPORT,
    NodeTransport,
    read_outcome,
    read_report,
    read_wait,
)
from kestreltrack.ports import Claim, ClaimResult, Message

TARGET = "/v1/messages:batch"
WORDS = {
    b"delivered": (Outcome.OK, True),
    b"failed": (Outcome.ERROR, False),
    b"refused": (Outcome.REFUSED, False),
    b"over": (Outcome.NOT_SENT, True),
    b"spent": (Outcome.NOT_SENT, False),
}


def part_of(message: Message) -> bytes:
    """A message in the body of a call."""
    line = f"{message.id} {message.idempotency_key or '-'} {len(message.body)}\r\n"
    return line.encode() + message.body + b"\r\n"


@dataclass(eq=False, slots=True)
class Member:
    """One claim in a call."""

    claim: Claim
    timer: asyncio.TimerHandle  # of its own time-out
    result: asyncio.Future[ClaimResult]
    off: Outcome | None = None  # it waits no more, and this is its outcome if the connection is closed now


class BatchTransport(NodeTransport):
    """Claims over pooled connections, several in one call where they share one."""

    async def claim(self, claim: Claim, connection: Connection | None = None) -> ClaimResult:
        """Carry out one claim, with those that share its call."""
        if (call := claim.call) is None:
            return await super().claim(claim, connection)
        if call.join is None:
            call.join = _Call(self, claim.node, claim.address).join
        return await call.join(claim)


class _Call:
    """One call: its members, and the task that carries it."""

    def __init__(self, transport: BatchTransport, node: str, address: str) -> None:
        """The task begins one turn of the loop later: all that share the call have joined by then."""
        self.transport, self.telemetry, self.node = transport, transport.telemetry, node
        self.members = dict[str, Member]()  # whose outcome is still to come
        self.sent = frozenset[str]()  # all that were written
        self.begun = self.written = self.stale = False
        self._task = asyncio.create_task(self._carry(address))
        self._task.add_done_callback(self._ended)

    async def join(self, claim: Claim) -> ClaimResult:
        """Go along, and wait for the outcome of this claim."""
        if self.begun:  # too late: the module sends it anew
            return ClaimResult(Outcome.NOT_SENT)
        loop, id_ = asyncio.get_running_loop(), claim.message.id
        timer = loop.call_later(claim.timeout_ms / 1000.0, self._wait_no_more, id_, Outcome.TIMED_OUT)
        member = self.members[id_] = Member(claim, timer, loop.create_future())
        while not member.result.done():
            try:
                await asyncio.wait({member.result})
            except asyncio.CancelledError:
                self._wait_no_more(id_, Outcome.CANCELLED)
        timer.cancel()
        return member.result.result()

    def _wait_no_more(self, id_: str, how: Outcome) -> None:
        """A claim was called off, or its time is over."""
        if (member := self.members.get(id_)) is None:
            return
        member.off = how
        if all(other.off for other in self.members.values()):
            self._task.cancel()  # all hear how they ended once the connection is closed
        elif not self.begun:
            self._tell(member, ClaimResult(Outcome.NOT_SENT))
        elif how is Outcome.TIMED_OUT:
            # The call goes on for others, and this message cannot go again: no attempt is left where its own time
            # is over.  One that was called off could, so it hears nothing before the call has ended.  An answer that
            # has come in this turn is read first.
            asyncio.get_running_loop().call_soon(self._leave, member)

    def _leave(self, member: Member) -> None:
        if self.members.get(member.claim.message.id) is member:
            self._tell(member, ClaimResult(Outcome.TIMED_OUT))

    def _tell(self, member: Member, result: ClaimResult) -> None:
        del self.members[member.claim.message.id]
        member.result.set_result(result)

    # The call ------------------------------------------------------------------------------------

    async def _carry(self, address: str) -> None:
        """Connect, ask whether all may still go, write, read, split."""
        pool = self.transport.pool
        connection = await pool.take(self.node, address)
        try:
            self.begun, (going, body) = True, self._fitting()
            first, *others = going
            ends = max(member.timer.when() for member in going)
            left_ms = max(1.0, 1000.0 * (ends - asyncio.get_running_loop().time()))
            if others:
                if not first.claim.begin(*(member.claim.message.id for member in others)):
                    pool.give_back(self.node, connection)
                    self._tell_all(ClaimResult(Outcome.NOT_SENT))
                    return
                self.sent = frozenset(self.members)
                await connection.send("POST", TARGET, [("X-Budget-Ms", str(int(left_ms)))], body)
                self.telemetry.count("app.forwards", len(going))
                self.telemetry.count("nodes.batches")
                head = await connection.head(REPORT)
                answer = await self._body(connection)
        except BaseException:
            pool.drop(connection)
            self.written = connection.sent
            if not await self._came(connection):
                self.stale = connection.stale()
                raise
            return
        if not others:  # it goes as if it had always been alone, with the time-out of such a claim
            first.timer.cancel()
            claim = replace(first.claim, call=None, timeout_ms=left_ms)
            self._tell(first, await self.transport.claim(claim, connection))
            return
        pool.give_back(self.node, connection)
        self._split(head, answer)

    async def _came(self, connection: Connection) -> bool:
        """Whether a whole answer had come when the call was broken off, be it in that turn: then all hear it."""
        try:
            head = await connection.head(REPORT)
            answer = await connection.body(MAX_BODY)  # neither waits: the connection is closed
        except Broken:
            return False
        if not self.written and head.status not in (200, *NEVER_RAN):
            return False
        self._split(head, answer)
        return True

    def _fitting(self) -> tuple[list[Member], bytes]:
        """Those that one body holds, and the body.

        The others were not sent: a second call would take a slot, and a part of the partner's limit, that the module
        has not counted.  It sends them in its own time.
        """
        going, body = list[Member](), b""
        for member in list(self.members.values()):
            part = part_of(member.claim.message)
            if going and len(body) + len(part) > MAX_BODY:
                self._tell(member, ClaimResult(Outcome.NOT_SENT))
            else:
                going.append(member)
                body += part
        return going, body

    async def _body(self, connection: Connection) -> bytes:
        """The answer counts only where it has come whole."""
        try:
            async with asyncio.timeout(BODY_S):
                return await connection.body(MAX_BODY)
        except (OSError, Broken) as bad:
            self.telemetry.count("nodes.spoilt")
            raise Broken("the answer's body did not come whole") from bad

    def _ended(self, task: asyncio.Task[None]) -> None:
        """The call's task is over: whoever still waits hears how the connection ended."""
        self.begun = True
        del self._task  # what it failed with holds this call
        bad = None if task.cancelled() else task.exception()
        if bad and not isinstance(bad, OSError | Broken):
            self.telemetry.trouble("nodes.fault", error=repr(bad))
        for member in list(self.members.values()):
            if bad is None:  # nobody waited any more; before its last byte was written it cannot have run
                how = member.off or Outcome.CANCELLED
                unsent = Outcome.UNREACHABLE if how is Outcome.TIMED_OUT else Outcome.NOT_SENT
                self._tell(member, ClaimResult(how if self.written else unsent))
            else:
                outcome = Outcome.BROKEN if self.written else Outcome.UNREACHABLE
                self._tell(member, ClaimResult(outcome, stale=self.written and self.stale))

    # The answer ----------------------------------------------------------------------------------

    def _tell_all(self, result: ClaimResult) -> None:
        for member in list(self.members.values()):
            self._tell(member, result)

    def _split(self, head: Head, body: bytes) -> None:
        """Tell each member what the answer says of it."""
        if head.status in (
            400,
            413,
        ):  # nothing has run: the partner takes fewer, or cannot read what was written
            self.telemetry.trouble("nodes.odd_status", status=head.status, messages=len(self.members))
            self._tell_all(ClaimResult(Outcome.NOT_SENT))
            return
        if head.status != 200:
            self._tell_all(read_outcome(head, self.telemetry))
            return
        said = self._lines(
            body, whole="content-length" in head.headers or "transfer-encoding" in head.headers
        )
        wait_ms = read_wait(head, self.telemetry) if "retry-after" in head.headers else 0.0
        report = read_report(head.headers.get("x-load-report", ""))
        # The module takes the first outcome that it hears for the call's: one that did work is no failure.
        for member in sorted(
            self.members.values(), key=lambda m: said[m.claim.message.id][0] is not Outcome.OK
        ):
            outcome, over = said[member.claim.message.id]
            self._tell(member, ClaimResult(outcome, over, wait_ms, report=report))

    def _lines(self, body: bytes, whole: bool) -> dict[str, tuple[Outcome, bool]]:
        """What is said of each member; in doubt where that is not said once, in a word that is known.

        `whole`: the answer told how long it is.  Else it ends with its connection, and may have been cut: then one
        odd line leaves all in doubt.
        """
        lines = [line.split() for line in body.split(b"\n") if line.strip()]
        times = Counter(line[0].decode("latin-1") for line in lines)
        words = {line[0].decode("latin-1"): WORDS.get(line[1]) for line in lines if len(line) == 2}
        said = {id_: words.get(id_) if times[id_] == 1 else None for id_ in self.members}
        unknown = len(times.keys() - self.sent)
        odd = unknown + sum(1 for word in said.values() if word is None)
        if odd:
            self.telemetry.trouble("nodes.odd_lines", by=odd)
        doubt = (Outcome.BROKEN, False)
        return {id_: doubt if word is None or (odd and not whole) else word for id_, word in said.items()}
