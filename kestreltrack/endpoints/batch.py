"""Sends several messages in one HTTP request and derives the outcome of each from the response.

Each message has its own attempt, which joins the request and waits for its own result.  The request itself is one
task: it connects, asks whether the attempts may still begin, writes their messages, reads the response and assigns
the results.  It is aborted by closing its connection, but only once no attempt waits for it any more: until then no
attempt gets a result that would allow its message to be sent again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.batch_format import BATCH_TARGET, BatchOutcomes, encode_item, parse_outcomes
from kestreltrack.endpoints.http_transport import HttpTransport, result_of_unsent_request
from kestreltrack.endpoints.responses import (
    BODY_TIMEOUT_S,
    LOAD_REPORT_HEADER,
    MAX_BODY_BYTES,
    NOT_EXECUTED_STATUSES,
    describe_use,
    parse_load_report,
    parse_response,
    parse_retry_after_ms,
    read_buffered_response,
)
from kestreltrack.http1 import Connection, ConnectionBrokenError, ResponseHead
from kestreltrack.ports import Attempt, AttemptResult, ConnectionUse

# Nothing was executed: the endpoint cannot parse the request, or accepts only smaller ones.
REJECTED_REQUEST_STATUSES = (400, 413)


@dataclass(eq=False, slots=True)
class BatchMember:
    """One attempt of a batch request.

    Attributes:
        attempt: The attempt.
        timeout_timer: Expires at the attempt's own timeout.
        result: Completed with the attempt's result.
        abandoned_as: The outcome if the connection is closed now; None while the attempt waits for its result.
    """

    attempt: Attempt
    timeout_timer: asyncio.TimerHandle
    result: asyncio.Future[AttemptResult]
    abandoned_as: Outcome | None = None


@dataclass(slots=True)
class _CompleteResponse:
    head: ResponseHead
    body: bytes


class BatchTransport(HttpTransport):
    """Sends attempts over pooled connections; those that share a `BatchCall` are sent in one request."""

    async def send(self, attempt: Attempt, connection: Connection | None = None) -> AttemptResult:
        """Make one attempt, in one request with those that share its `BatchCall`, and return its result."""
        batch_call = attempt.batch_call
        if batch_call is None:
            return await super().send(attempt, connection)
        if batch_call.add_attempt is None:
            batch_call.add_attempt = _BatchRequest(self, attempt.endpoint, attempt.address).join
        return await batch_call.add_attempt(attempt)


class _BatchRequest:
    """One batch request: its members, and the task that sends it.

    Attributes:
        transport: The transport that created it.
        telemetry: The transport's telemetry.
        endpoint: The uid of the endpoint.
        waiting_members: The members without a result, by message id.
        sent_ids: The ids of the messages that were written.
        started: Whether no more members can join.
        fully_sent: After the connection broke or was closed: whether the last byte of the request was sent.
        stale_connection: After the connection broke: whether it had been idle and broke without a response.
        connection_use: The connection and the request on it, once the request is written.
    """

    def __init__(self, transport: BatchTransport, endpoint: str, address: str) -> None:
        """Start the task; it runs in the next iteration of the event loop, after all members have joined."""
        self.transport = transport
        self.telemetry = transport.telemetry
        self.endpoint = endpoint
        self.waiting_members = dict[str, BatchMember]()
        self.sent_ids = frozenset[str]()
        self.started = False
        self.fully_sent = False
        self.stale_connection = False
        self.connection_use = ConnectionUse()
        self._task = asyncio.create_task(self._run(address))
        self._task.add_done_callback(self._on_task_done)

    # Members -------------------------------------------------------------------------------------

    async def join(self, attempt: Attempt) -> AttemptResult:
        """Join the request and return the attempt's result, even if it is cancelled."""
        if self.started:  # too late to join: the policy decides again
            return AttemptResult(Outcome.NOT_SENT)
        member = self._add_member(attempt)
        while not member.result.done():
            try:
                await asyncio.wait({member.result})
            except asyncio.CancelledError:
                # Keep waiting: the result says how the attempt ended.  It is set once the request has ended or can
                # continue without this member.
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
        """Record that an attempt was cancelled or timed out."""
        member = self.waiting_members.get(message_id)
        if member is None:
            return
        member.abandoned_as = outcome
        if all(other.abandoned_as for other in self.waiting_members.values()):
            self._task.cancel()  # all members get their results once the connection is closed
        elif not self.started:
            self._resolve(member, AttemptResult(Outcome.NOT_SENT))
        elif outcome is Outcome.TIMED_OUT:
            # The request continues for the other members.  A message whose attempt timed out has no attempt left, so
            # it is safe to give it a result now.  One whose attempt was cancelled could be sent again, so it gets no
            # result before the request has ended.  A response received in this iteration of the event loop is
            # processed first.
            asyncio.get_running_loop().call_soon(self._time_out, member)

    def _time_out(self, member: BatchMember) -> None:
        if self.waiting_members.get(member.attempt.message.id) is member:
            self._resolve(member, AttemptResult(Outcome.TIMED_OUT))

    def _resolve(self, member: BatchMember, result: AttemptResult) -> None:
        del self.waiting_members[member.attempt.message.id]
        if self.sent_ids:
            result = replace(result, connection=self.connection_use)
        member.result.set_result(result)

    def _resolve_all(self, result: AttemptResult) -> None:
        for member in list(self.waiting_members.values()):
            self._resolve(member, result)

    # The request ---------------------------------------------------------------------------------

    async def _run(self, address: str) -> None:
        """Connect, ask whether the members may begin, send the request and assign the results."""
        pool = self.transport.pool
        strict = any(member.attempt.strict for member in self.waiting_members.values())
        connection = await pool.acquire(self.endpoint, address, strict=strict)
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
            if not await self._resolve_from_buffered_response(connection):
                self.stale_connection = connection.is_stale()
                if not connection.response_begun():
                    pool.record_unanswered(self.endpoint, connection)
                raise
            return
        if response is None:
            await self._send_single(members[0], connection, remaining_ms)
            return
        if self._resolve_from_response(response.head, response.body):
            pool.release(self.endpoint, connection)
        else:  # a response to another request may have been taken for this one's
            pool.discard(connection)

    def _select_members(self) -> tuple[list[BatchMember], bytes]:
        """Return the members that fit into one body, and the body.

        The others are not sent: a second request would use a slot, and quota of the destination's rate limit, that
        the policy has not accounted for.  The policy sends them later.
        """
        members = list[BatchMember]()
        body = b""
        for member in list(self.waiting_members.values()):
            item = encode_item(member.attempt.message)
            if members and len(body) + len(item) > MAX_BODY_BYTES:
                self._resolve(member, AttemptResult(Outcome.NOT_SENT))
            else:
                members.append(member)
                body += item
        return members, body

    async def _exchange(
        self, connection: Connection, member_count: int, body: bytes, remaining_ms: float
    ) -> _CompleteResponse:
        self.sent_ids = frozenset(self.waiting_members)
        try:
            await connection.send("POST", BATCH_TARGET, [("X-Budget-Ms", str(int(remaining_ms)))], body)
        finally:
            self.connection_use = describe_use(connection)
        self.telemetry.count("app.forwards", member_count)
        self.telemetry.count("endpoints.batches")
        await connection.read_head(LOAD_REPORT_HEADER)
        body = await self._read_body(connection)
        return _CompleteResponse(connection.head, body)

    async def _read_body(self, connection: Connection) -> bytes:
        """Return the body of the response; an incomplete one is an error."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await connection.read_body(MAX_BODY_BYTES)
        except (OSError, ConnectionBrokenError) as error:
            self.telemetry.count("endpoints.malformed_response")
            raise ConnectionBrokenError("the body of the response is incomplete") from error

    async def _send_single(self, member: BatchMember, connection: Connection, remaining_ms: float) -> None:
        """Send the only member as a single attempt, in the format and with the timeout of one."""
        member.timeout_timer.cancel()
        attempt = replace(member.attempt, batch_call=None, timeout_ms=remaining_ms)
        self._resolve(member, await self.transport.send(attempt, connection))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Give the members that still wait a result, which depends on how the connection ended."""
        self.started = True
        del self._task  # breaks a reference cycle: the task's exception refers to this request
        error = None if task.cancelled() else task.exception()
        if error and not isinstance(error, OSError | ConnectionBrokenError):
            self.telemetry.record_fault("endpoints.fault", error=repr(error))
        for member in list(self.waiting_members.values()):
            if error is None:
                self._resolve(member, self._result_of_abandoned(member))
            else:
                self._resolve(member, self._result_of_broken_connection(error))

    def _result_of_abandoned(self, member: BatchMember) -> AttemptResult:
        """Return a member's result after the request was aborted because no member waited any more."""
        outcome = member.abandoned_as or Outcome.CANCELLED
        if self.fully_sent:
            return AttemptResult(outcome)
        # Without its last byte, the request cannot have been executed.
        return AttemptResult(Outcome.UNREACHABLE if outcome is Outcome.TIMED_OUT else Outcome.NOT_SENT)

    def _result_of_broken_connection(self, error: BaseException) -> AttemptResult:
        if self.fully_sent:
            return AttemptResult(Outcome.CONNECTION_BROKEN, stale_connection=self.stale_connection)
        return result_of_unsent_request(error)

    # The response --------------------------------------------------------------------------------

    async def _resolve_from_buffered_response(self, connection: Connection) -> bool:
        """Assign the results of a response that was complete when the request was aborted; return whether one was.

        That includes a response received in the same iteration of the event loop.
        """
        buffered = await read_buffered_response(connection, keep_body=True)
        if buffered.head is None or buffered.body is None:
            return False
        if not self.fully_sent and buffered.head.status not in (200, *NOT_EXECUTED_STATUSES):
            return False
        self._resolve_from_response(buffered.head, buffered.body)
        return True

    def _resolve_from_response(self, head: ResponseHead, body: bytes) -> bool:
        """Give each member its result from a complete response; return whether it names exactly the sent messages."""
        if head.status == 200:
            return self._resolve_from_lines(head, body)
        if head.status in REJECTED_REQUEST_STATUSES:
            self.telemetry.record_fault(
                "endpoints.unexpected_status", status=head.status, messages=len(self.waiting_members)
            )
            self._resolve_all(AttemptResult(Outcome.NOT_SENT))
        else:
            self._resolve_all(parse_response(head, self.telemetry))
        return True

    def _resolve_from_lines(self, head: ResponseHead, body: bytes) -> bool:
        outcomes = self._parse_outcomes(head, body)
        retry_after_ms = parse_retry_after_ms(head, self.telemetry) if "retry-after" in head.headers else 0.0
        load_report = parse_load_report(head.headers.get("x-load-report", ""))
        # The policy takes the first outcome it receives as that of the whole request, and a request that delivered
        # any message is not a failure.
        delivered_first = sorted(
            self.waiting_members.values(),
            key=lambda member: outcomes.by_message_id[member.attempt.message.id].outcome is not Outcome.OK,
        )
        for member in delivered_first:
            outcome, final = outcomes.by_message_id[member.attempt.message.id]
            self._resolve(member, AttemptResult(outcome, final, retry_after_ms, load_report=load_report))
        return not outcomes.unexpected_count

    def _parse_outcomes(self, head: ResponseHead, body: bytes) -> BatchOutcomes:
        length_known = "content-length" in head.headers or "transfer-encoding" in head.headers
        outcomes = parse_outcomes(body, self.waiting_members.keys(), self.sent_ids, length_known)
        if outcomes.unexpected_count:
            self.telemetry.record_fault("endpoints.unexpected_lines", by=outcomes.unexpected_count)
        return outcomes


def _begin(members: list[BatchMember]) -> bool:
    """Return whether the members may begin now; their attempts are recorded in one write."""
    first, *others = members
    return first.attempt.begin(*(member.attempt.message.id for member in others))


def _longest_remaining_ms(members: list[BatchMember]) -> float:
    """Return the time until the latest timeout of a member; at least 1 ms."""
    latest_deadline = max(member.timeout_timer.when() for member in members)
    return max(1.0, 1000.0 * (latest_deadline - asyncio.get_running_loop().time()))
