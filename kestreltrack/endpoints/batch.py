"""Carries one request for several messages over HTTP, and reads the outcome of each from the response.

Each message has an attempt of its own, which joins the request and waits for its own result.  The request itself is
one task: connect, write all that may still begin, read, split.  It is aborted by closing its connection, and only
once nobody waits for it any more: until then no result is given that would let a message be sent again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.batch_format import BATCH_TARGET, LineOutcome, encode_part, parse_outcomes
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.endpoints.responses import (
    BODY_TIMEOUT_S,
    LOAD_REPORT_HEADER,
    MAX_BODY_BYTES,
    NOT_EXECUTED_STATUSES,
    parse_load_report,
    parse_response,
    parse_retry_after_ms,
    read_late_response,
)
from kestreltrack.http1 import Connection, ConnectionBrokenError, ResponseHead
from kestreltrack.ports import Attempt, AttemptResult

# Nothing was executed: the endpoint accepts smaller requests only, or cannot read what was written.
REJECTED_REQUEST_STATUSES = (400, 413)


@dataclass(eq=False, slots=True)
class BatchMember:
    """One attempt in a request."""

    attempt: Attempt
    # Runs until the attempt's own time-out.
    timeout_timer: asyncio.TimerHandle
    result: asyncio.Future[AttemptResult]
    # Set where the attempt waits no more: its outcome if the connection is closed now.
    abandoned_as: Outcome | None = None


@dataclass(slots=True)
class _CompleteResponse:
    head: ResponseHead
    body: bytes


class BatchTransport(HttpTransport):
    """Carries attempts over pooled connections, several in one request where they share a `BatchCall`."""

    async def send(self, attempt: Attempt, connection: Connection | None = None) -> AttemptResult:
        """Carry out one attempt, with those that share its request."""
        batch_call = attempt.batch_call
        if batch_call is None:
            return await super().send(attempt, connection)
        if batch_call.add_attempt is None:
            batch_call.add_attempt = _BatchRequest(self, attempt.endpoint, attempt.address).join
        return await batch_call.add_attempt(attempt)


class _BatchRequest:
    """One request: its members, and the task that carries it."""

    def __init__(self, transport: BatchTransport, endpoint: str, address: str) -> None:
        """Start the task; it runs one turn of the loop later, when all that share the request have joined."""
        self.transport = transport
        self.telemetry = transport.telemetry
        self.endpoint = endpoint
        # Members whose result is still to come, by the id of their message.
        self.waiting_members = dict[str, BatchMember]()
        # Messages that were written.
        self.sent_ids = frozenset[str]()
        # Whether it is too late to join.
        self.started = False
        # Of a request whose connection broke: whether its last byte was sent, and whether the connection was stale.
        self.fully_sent = False
        self.stale_connection = False
        self._task = asyncio.create_task(self._run(address))
        self._task.add_done_callback(self._on_task_done)

    # Members -------------------------------------------------------------------------------------

    async def join(self, attempt: Attempt) -> AttemptResult:
        """Join the request, and wait for the result of this attempt, also when cancelled."""
        if self.started:  # too late: the policy decides anew
            return AttemptResult(Outcome.NOT_SENT)
        member = self._add_member(attempt)
        while not member.result.done():
            try:
                await asyncio.wait({member.result})
            except asyncio.CancelledError:
                # The result says that it was cancelled; it comes once the request has ended or does not need it.
                self._abandon(attempt.message.id, Outcome.CANCELLED)
        member.timeout_timer.cancel()
        return member.result.result()

    def _add_member(self, attempt: Attempt) -> BatchMember:
        loop = asyncio.get_running_loop()
        message_id = attempt.message.id
        timeout_s = attempt.timeout_ms / 1000.0
        timer = loop.call_later(timeout_s, self._abandon, message_id, Outcome.TIMED_OUT)
        member = BatchMember(attempt, timer, loop.create_future())
        self.waiting_members[message_id] = member
        return member

    def _abandon(self, message_id: str, outcome: Outcome) -> None:
        """Note that an attempt was cancelled, or that its time is over."""
        member = self.waiting_members.get(message_id)
        if member is None:
            return
        member.abandoned_as = outcome
        if all(other.abandoned_as for other in self.waiting_members.values()):
            self._task.cancel()  # all get their results once the connection is closed
        elif not self.started:
            self._resolve(member, AttemptResult(Outcome.NOT_SENT))
        elif outcome is Outcome.TIMED_OUT:
            # The request goes on for others, and this message cannot be sent again: no attempt is left where its own
            # time is over.  One that was cancelled could, so it gets no result before the request has ended.  A
            # response that was received in this turn is read first.
            asyncio.get_running_loop().call_soon(self._time_out, member)

    def _time_out(self, member: BatchMember) -> None:
        if self.waiting_members.get(member.attempt.message.id) is member:
            self._resolve(member, AttemptResult(Outcome.TIMED_OUT))

    def _resolve(self, member: BatchMember, result: AttemptResult) -> None:
        del self.waiting_members[member.attempt.message.id]
        member.result.set_result(result)

    def _resolve_all(self, result: AttemptResult) -> None:
        for member in list(self.waiting_members.values()):
            self._resolve(member, result)

    # The request ---------------------------------------------------------------------------------

    async def _run(self, address: str) -> None:
        """Connect, ask whether all may still begin, write, read, split."""
        pool = self.transport.pool
        connection = await pool.acquire(self.endpoint, address)
        response = None
        try:
            self.started = True
            members, body = self._select_members()
            remaining_ms = _longest_remaining_ms(members)
            if len(members) > 1:
                if not _begin(members):
                    pool.release(self.endpoint, connection)
                    self._resolve_all(AttemptResult(Outcome.NOT_SENT))
                    return
                response = await self._exchange(connection, len(members), body, remaining_ms)
        except BaseException:
            pool.discard(connection)
            self.fully_sent = connection.request_sent
            if not await self._resolve_from_late_response(connection):
                self.stale_connection = connection.is_stale()
                raise
            return
        if response is None:
            await self._send_alone(members[0], connection, remaining_ms)
            return
        pool.release(self.endpoint, connection)
        self._resolve_from_response(response.head, response.body)

    def _select_members(self) -> tuple[list[BatchMember], bytes]:
        """Return the members that fit into one body, and the body.

        The others are not sent: a second request would take a slot, and a part of the destination's limit, that the
        policy has not counted.  It sends them in its own time.
        """
        members = list[BatchMember]()
        body = b""
        for member in list(self.waiting_members.values()):
            part = encode_part(member.attempt.message)
            if members and len(body) + len(part) > MAX_BODY_BYTES:
                self._resolve(member, AttemptResult(Outcome.NOT_SENT))
            else:
                members.append(member)
                body += part
        return members, body

    async def _exchange(
        self, connection: Connection, member_count: int, body: bytes, remaining_ms: float
    ) -> _CompleteResponse:
        self.sent_ids = frozenset(self.waiting_members)
        await connection.send("POST", BATCH_TARGET, [("X-Budget-Ms", str(int(remaining_ms)))], body)
        self.telemetry.count("app.forwards", member_count)
        self.telemetry.count("endpoints.batches")
        head = await connection.read_head(LOAD_REPORT_HEADER)
        return _CompleteResponse(head, await self._read_body(connection))

    async def _read_body(self, connection: Connection) -> bytes:
        """Return the body of the response, which counts only where it is complete."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await connection.read_body(MAX_BODY_BYTES)
        except (OSError, ConnectionBrokenError) as error:
            self.telemetry.count("endpoints.malformed_response")
            raise ConnectionBrokenError("the response's body is not complete") from error

    async def _send_alone(self, member: BatchMember, connection: Connection, remaining_ms: float) -> None:
        """Send the only member as if it had always been alone, with the time-out of such an attempt."""
        member.timeout_timer.cancel()
        attempt = replace(member.attempt, batch_call=None, timeout_ms=remaining_ms)
        self._resolve(member, await self.transport.send(attempt, connection))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Give all that still wait a result, by how the connection ended."""
        self.started = True
        del self._task  # the exception that it failed with refers to this request
        error = None if task.cancelled() else task.exception()
        if error and not isinstance(error, OSError | ConnectionBrokenError):
            self.telemetry.record_fault("endpoints.fault", error=repr(error))
        for member in list(self.waiting_members.values()):
            if error is None:
                self._resolve(member, self._result_of_abandoned(member))
            else:
                self._resolve(member, self._result_of_broken_connection())

    def _result_of_abandoned(self, member: BatchMember) -> AttemptResult:
        """Return the result where nobody waited any more, and the request was aborted."""
        outcome = member.abandoned_as or Outcome.CANCELLED
        if self.fully_sent:
            return AttemptResult(outcome)
        # Before its last byte was sent it cannot have been executed.
        return AttemptResult(Outcome.UNREACHABLE if outcome is Outcome.TIMED_OUT else Outcome.NOT_SENT)

    def _result_of_broken_connection(self) -> AttemptResult:
        if self.fully_sent:
            return AttemptResult(Outcome.CONNECTION_BROKEN, stale_connection=self.stale_connection)
        return AttemptResult(Outcome.UNREACHABLE)

    # The response --------------------------------------------------------------------------------

    async def _resolve_from_late_response(self, connection: Connection) -> bool:
        """Give all the results of a response that was complete when the request was aborted.

        That includes one received in that very turn.  Returns whether there was one.
        """
        late = await read_late_response(connection)
        if late.head is None or late.body is None:
            return False
        if not self.fully_sent and late.head.status not in (200, *NOT_EXECUTED_STATUSES):
            return False
        self._resolve_from_response(late.head, late.body)
        return True

    def _resolve_from_response(self, head: ResponseHead, body: bytes) -> None:
        """Give each member the result that the response has for it."""
        if head.status == 200:
            self._resolve_from_lines(head, body)
        elif head.status in REJECTED_REQUEST_STATUSES:
            self.telemetry.record_fault(
                "endpoints.unexpected_status", status=head.status, messages=len(self.waiting_members)
            )
            self._resolve_all(AttemptResult(Outcome.NOT_SENT))
        else:
            self._resolve_all(parse_response(head, self.telemetry))

    def _resolve_from_lines(self, head: ResponseHead, body: bytes) -> None:
        outcomes = self._parse_outcomes(head, body)
        retry_after_ms = parse_retry_after_ms(head, self.telemetry) if "retry-after" in head.headers else 0.0
        load_report = parse_load_report(head.headers.get("x-load-report", ""))
        # The policy takes the first outcome that it receives for that of the request, and a request that delivered
        # something is no failure.
        delivered_first = sorted(
            self.waiting_members.values(),
            key=lambda member: outcomes[member.attempt.message.id].outcome is not Outcome.OK,
        )
        for member in delivered_first:
            outcome, final = outcomes[member.attempt.message.id]
            self._resolve(member, AttemptResult(outcome, final, retry_after_ms, load_report=load_report))

    def _parse_outcomes(self, head: ResponseHead, body: bytes) -> dict[str, LineOutcome]:
        length_known = "content-length" in head.headers or "transfer-encoding" in head.headers
        outcomes = parse_outcomes(body, self.waiting_members.keys(), self.sent_ids, length_known)
        if outcomes.unexpected:
            self.telemetry.record_fault("endpoints.unexpected_lines", by=outcomes.unexpected)
        return outcomes.by_message_id


def _begin(members: list[BatchMember]) -> bool:
    """Ask whether all members may begin now; they are recorded in one write."""
    first, *others = members
    return first.attempt.begin(*(member.attempt.message.id for member in others))


def _longest_remaining_ms(members: list[BatchMember]) -> float:
    """Return how long the member with the latest time-out still waits, 1 ms at least."""
    latest_deadline = max(member.timeout_timer.when() for member in members)
    return max(1.0, 1000.0 * (latest_deadline - asyncio.get_running_loop().time()))
