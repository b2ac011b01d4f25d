"""Carries one call for several messages over HTTP, and reads the outcome of each off the answer.

Each message keeps a claim of its own, which joins the call and waits for its own outcome.  The call itself is one
task: connect, write all that still may go, read, split.  It is given up by closing its connection, and that only
once nobody waits for it any more: until then no outcome is told that would let a message be sent again.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, replace

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.http_transport import (
    BODY_TIMEOUT_S,
    LOAD_REPORT_HEADER,
    MAX_BODY_BYTES,
    NOT_EXECUTED_STATUSES,
    HttpTransport,
    parse_load_report,
    parse_response,
    parse_retry_after_ms,
)
from kestreltrack.http1 import Connection, ConnectionBrokenError, ResponseHead
from kestreltrack.ports import Attempt, AttemptResult, Message

BATCH_TARGET = "/v1/messages:batch"
LINE_OUTCOMES = {
    b"delivered": (Outcome.OK, True),
    b"failed": (Outcome.ERROR, False),
    b"refused": (Outcome.REJECTED, False),
    b"over": (Outcome.NOT_SENT, True),
    b"spent": (Outcome.NOT_SENT, False),
}


def encode_part(message: Message) -> bytes:
    """A message in the body of a call."""
    line = f"{message.id} {message.idempotency_key or '-'} {len(message.body)}\r\n"
    return line.encode() + message.body + b"\r\n"


@dataclass(eq=False, slots=True)
class BatchMember:
    """One claim in a call."""

    attempt: Attempt
    timeout_timer: asyncio.TimerHandle  # of its own time-out
    result: asyncio.Future[AttemptResult]
    abandoned_as: Outcome | None = (
        None  # it waits no more, and this is its outcome if the connection is closed now
    )


class BatchTransport(HttpTransport):
    """Claims over pooled connections, several in one call where they share one."""

    async def send(self, attempt: Attempt, connection: Connection | None = None) -> AttemptResult:
        """Carry out one claim, with those that share its call."""
        if (call := attempt.batch_call) is None:
            return await super().send(attempt, connection)
        if call.add_attempt is None:
            call.add_attempt = _BatchRequest(self, attempt.endpoint, attempt.address).join
        return await call.add_attempt(attempt)


class _BatchRequest:
    """One call: its members, and the task that carries it."""

    def __init__(self, transport: BatchTransport, endpoint: str, address: str) -> None:
        """The task begins one turn of the loop later: all that share the call have joined by then."""
        self.transport, self.telemetry, self.endpoint = transport, transport.telemetry, endpoint
        self.waiting_members = dict[str, BatchMember]()  # whose outcome is still to come
        self.sent_ids = frozenset[str]()  # all that were written
        self.started = self.fully_sent = self.stale_connection = False
        self._task = asyncio.create_task(self._run(address))
        self._task.add_done_callback(self._on_task_done)

    async def join(self, attempt: Attempt) -> AttemptResult:
        """Go along, and wait for the outcome of this claim."""
        if self.started:  # too late: the module sends it anew
            return AttemptResult(Outcome.NOT_SENT)
        loop, id_ = asyncio.get_running_loop(), attempt.message.id
        timer = loop.call_later(attempt.timeout_ms / 1000.0, self._abandon, id_, Outcome.TIMED_OUT)
        member = self.waiting_members[id_] = BatchMember(attempt, timer, loop.create_future())
        while not member.result.done():
            try:
                await asyncio.wait({member.result})
            except asyncio.CancelledError:
                self._abandon(id_, Outcome.CANCELLED)
        timer.cancel()
        return member.result.result()

    def _abandon(self, message_id: str, outcome: Outcome) -> None:
        """A claim was called off, or its time is over."""
        if (member := self.waiting_members.get(message_id)) is None:
            return
        member.abandoned_as = outcome
        if all(other.abandoned_as for other in self.waiting_members.values()):
            self._task.cancel()  # all hear how they ended once the connection is closed
        elif not self.started:
            self._resolve(member, AttemptResult(Outcome.NOT_SENT))
        elif outcome is Outcome.TIMED_OUT:
            # The call goes on for others, and this message cannot go again: no attempt is left where its own time
            # is over.  One that was called off could, so it hears nothing before the call has ended.  An answer that
            # has come in this turn is read first.
            asyncio.get_running_loop().call_soon(self._time_out, member)

    def _time_out(self, member: BatchMember) -> None:
        if self.waiting_members.get(member.attempt.message.id) is member:
            self._resolve(member, AttemptResult(Outcome.TIMED_OUT))

    def _resolve(self, member: BatchMember, result: AttemptResult) -> None:
        del self.waiting_members[member.attempt.message.id]
        member.result.set_result(result)

    # The call ------------------------------------------------------------------------------------

    async def _run(self, address: str) -> None:
        """Connect, ask whether all may still go, write, read, split."""
        pool = self.transport.pool
        connection = await pool.acquire(self.endpoint, address)
        try:
            self.started, (going, body) = True, self._select_members()
            first, *others = going
            ends = max(member.timeout_timer.when() for member in going)
            left_ms = max(1.0, 1000.0 * (ends - asyncio.get_running_loop().time()))
            if others:
                if not first.attempt.begin(*(member.attempt.message.id for member in others)):
                    pool.release(self.endpoint, connection)
                    self._resolve_all(AttemptResult(Outcome.NOT_SENT))
                    return
                self.sent_ids = frozenset(self.waiting_members)
                await connection.send("POST", BATCH_TARGET, [("X-Budget-Ms", str(int(left_ms)))], body)
                self.telemetry.count("app.forwards", len(going))
                self.telemetry.count("endpoints.batches")
                head = await connection.read_head(LOAD_REPORT_HEADER)
                answer = await self._read_body(connection)
        except BaseException:
            pool.discard(connection)
            self.fully_sent = connection.request_sent
            if not await self._resolve_from_late_response(connection):
                self.stale_connection = connection.is_stale()
                raise
            return
        if not others:  # it goes as if it had always been alone, with the time-out of such a claim
            first.timeout_timer.cancel()
            claim = replace(first.attempt, batch_call=None, timeout_ms=left_ms)
            self._resolve(first, await self.transport.send(claim, connection))
            return
        pool.release(self.endpoint, connection)
        self._resolve_from_response(head, answer)

    async def _resolve_from_late_response(self, connection: Connection) -> bool:
        """Whether a whole answer had come when the call was broken off, be it in that turn: then all hear it."""
        try:
            head = await connection.read_head(LOAD_REPORT_HEADER)
            answer = await connection.read_body(MAX_BODY_BYTES)  # neither waits: the connection is closed
        except ConnectionBrokenError:
            return False
        if not self.fully_sent and head.status not in (200, *NOT_EXECUTED_STATUSES):
            return False
        self._resolve_from_response(head, answer)
        return True

    def _select_members(self) -> tuple[list[BatchMember], bytes]:
        """Those that one body holds, and the body.

        The others were not sent: a second call would take a slot, and a part of the partner's limit, that the module
        has not counted.  It sends them in its own time.
        """
        going, body = list[BatchMember](), b""
        for member in list(self.waiting_members.values()):
            part = encode_part(member.attempt.message)
            if going and len(body) + len(part) > MAX_BODY_BYTES:
                self._resolve(member, AttemptResult(Outcome.NOT_SENT))
            else:
                going.append(member)
                body += part
        return going, body

    async def _read_body(self, connection: Connection) -> bytes:
        """The answer counts only where it has come whole."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await connection.read_body(MAX_BODY_BYTES)
        except (OSError, ConnectionBrokenError) as bad:
            self.telemetry.count("endpoints.malformed_response")
            raise ConnectionBrokenError("the answer's body did not come whole") from bad

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """The call's task is over: whoever still waits hears how the connection ended."""
        self.started = True
        del self._task  # what it failed with holds this call
        bad = None if task.cancelled() else task.exception()
        if bad and not isinstance(bad, OSError | ConnectionBrokenError):
            self.telemetry.record_fault("endpoints.fault", error=repr(bad))
        for member in list(self.waiting_members.values()):
            if bad is None:  # nobody waited any more; before its last byte was written it cannot have run
                how = member.abandoned_as or Outcome.CANCELLED
                unsent = Outcome.UNREACHABLE if how is Outcome.TIMED_OUT else Outcome.NOT_SENT
                self._resolve(member, AttemptResult(how if self.fully_sent else unsent))
            else:
                outcome = Outcome.CONNECTION_BROKEN if self.fully_sent else Outcome.UNREACHABLE
                self._resolve(
                    member, AttemptResult(outcome, stale_connection=self.fully_sent and self.stale_connection)
                )

    # The answer ----------------------------------------------------------------------------------

    def _resolve_all(self, result: AttemptResult) -> None:
        for member in list(self.waiting_members.values()):
            self._resolve(member, result)

    def _resolve_from_response(self, head: ResponseHead, body: bytes) -> None:
        """Tell each member what the answer says of it."""
        if head.status in (
            400,
            413,
        ):  # nothing has run: the partner takes fewer, or cannot read what was written
            self.telemetry.record_fault(
                "endpoints.unexpected_status", status=head.status, messages=len(self.waiting_members)
            )
            self._resolve_all(AttemptResult(Outcome.NOT_SENT))
            return
        if head.status != 200:
            self._resolve_all(parse_response(head, self.telemetry))
            return
        said = self._parse_lines(
            body, length_known="content-length" in head.headers or "transfer-encoding" in head.headers
        )
        wait_ms = parse_retry_after_ms(head, self.telemetry) if "retry-after" in head.headers else 0.0
        report = parse_load_report(head.headers.get("x-load-report", ""))
        # The module takes the first outcome that it hears for the call's: one that did work is no failure.
        for member in sorted(
            self.waiting_members.values(), key=lambda m: said[m.attempt.message.id][0] is not Outcome.OK
        ):
            outcome, over = said[member.attempt.message.id]
            self._resolve(member, AttemptResult(outcome, over, wait_ms, load_report=report))

    def _parse_lines(self, body: bytes, length_known: bool) -> dict[str, tuple[Outcome, bool]]:
        """What is said of each member; in doubt where that is not said once, in a word that is known.

        `whole`: the answer told how long it is.  Else it ends with its connection, and may have been cut: then one
        odd line leaves all in doubt.
        """
        lines = [line.split() for line in body.split(b"\n") if line.strip()]
        times = Counter(line[0].decode("latin-1") for line in lines)
        words = {line[0].decode("latin-1"): LINE_OUTCOMES.get(line[1]) for line in lines if len(line) == 2}
        said = {id_: words.get(id_) if times[id_] == 1 else None for id_ in self.waiting_members}
        unknown = len(times.keys() - self.sent_ids)
        odd = unknown + sum(1 for word in said.values() if word is None)
        if odd:
            self.telemetry.record_fault("endpoints.unexpected_lines", by=odd)
        doubt = (Outcome.CONNECTION_BROKEN, False)
        return {
            id_: doubt if word is None or (odd and not length_known) else word for id_, word in said.items()
        }
