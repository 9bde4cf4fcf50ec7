"""Answers placement queries on every entry host; only a leader tells where jobs go."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from result import Err, Result

from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.errors import DecodeError
from dandelionknot.jobs._generated import (
    JobSpec,
    LeaderItem,
    PlacementAnswer,
    PlacementOutcome,
    PlacementQuery,
)
from dandelionknot.jobs._placement_query import PlacementQuestion
from dandelionknot.manager._view import View

# Shortest time between two queries that one leader answers. In a pool of 165 hosts with
# 100 waiting jobs, an answer takes 41 ms, or 89 ms with many steps.
QUERY_INTERVAL_MS = 1000
# Longest wait for the task that owns the scheduler.
ANSWER_TIMEOUT_MS = 2000
STATUS_BY_OUTCOME = {
    PlacementOutcome.ANSWERED: HTTPStatus.OK,
    PlacementOutcome.NOT_FOUND: HTTPStatus.NOT_FOUND,
    PlacementOutcome.MALFORMED: HTTPStatus.BAD_REQUEST,
    PlacementOutcome.NOT_LEADING: HTTPStatus.MISDIRECTED_REQUEST,
    PlacementOutcome.NO_LEADER: HTTPStatus.SERVICE_UNAVAILABLE,
    PlacementOutcome.BUSY: HTTPStatus.TOO_MANY_REQUESTS,
}


class PlacementQueries:
    """Passes queries to the leader's mailbox, one at a time and not too often.

    `leader_mailbox` returns None while this process does not lead.
    """

    __slots__ = (
        '_age_ms',
        '_decode_job',
        '_in_progress',
        '_leader_mailbox',
        '_member_id',
        '_passed_on_ms',
        '_view',
    )

    def __init__(
        self,
        member_id: str,
        view: View,
        age_ms: Callable[[], int],
        leader_mailbox: Callable[[], Mailbox | None],
        decode_job: Callable[[bytes], Result[JobSpec, DecodeError]],
    ):
        self._member_id = member_id
        self._view = view
        self._age_ms = age_ms
        self._leader_mailbox = leader_mailbox
        self._decode_job = decode_job
        self._in_progress = False
        self._passed_on_ms = 0

    async def answer(self, body: bytes) -> tuple[int, bytes]:
        """Returns the HTTP status and the body of the answer to a query."""
        answer = await self._answer(body)
        answer = msgspec.structs.replace(
            answer, view_age_ms=self._age_ms() if self._view.current_as_of_ms else -1
        )
        return STATUS_BY_OUTCOME[answer.outcome], msgspec.json.encode(answer)

    async def _answer(self, body: bytes) -> PlacementAnswer:
        mailbox = self._leader_mailbox()
        if mailbox is None:
            return self._without_leadership()
        try:
            query = msgspec.json.decode(body, type=PlacementQuery)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return self._unanswered(PlacementOutcome.MALFORMED, str(error))
        spec = self._decode_job(query.submission.encode())
        if isinstance(spec, Err):
            return self._unanswered(PlacementOutcome.MALFORMED, str(spec.err_value))
        if self._in_progress or now_ms() - self._passed_on_ms < QUERY_INTERVAL_MS:
            reason = f'one query in {QUERY_INTERVAL_MS} ms is answered'
            return self._unanswered(PlacementOutcome.BUSY, reason)
        question = PlacementQuestion(query, spec.ok_value, self._member_id)
        answered = await self._ask(mailbox, question)
        if answered is None:
            # The term has ended or has only begun.
            reason = 'the leader of this process does not answer'
            return self._unanswered(PlacementOutcome.NO_LEADER, reason)
        return msgspec.structs.replace(answered, leader_id=self._member_id)

    async def _ask(
        self, mailbox: Mailbox, question: PlacementQuestion
    ) -> PlacementAnswer | None:
        """Returns the answer of the task that owns the scheduler, or None."""
        self._passed_on_ms, self._in_progress = now_ms(), True
        try:
            async with asyncio.timeout(seconds(ANSWER_TIMEOUT_MS)):
                return (await mailbox.ask(question)).unwrap_or(None)
        except TimeoutError:
            return None
        finally:
            self._in_progress = False

    def _without_leadership(self) -> PlacementAnswer:
        """Returns who leads, as far as this process knows."""
        item = self._view.leader
        if item is None:
            return self._unanswered(
                PlacementOutcome.NO_LEADER, 'no process is known to lead'
            )
        try:
            leader = msgspec.json.decode(item.value, type=LeaderItem)
        except msgspec.DecodeError:
            leader = LeaderItem(member_id='')
        return PlacementAnswer(
            outcome=PlacementOutcome.NOT_LEADING,
            member_id=self._member_id,
            leader_id=leader.member_id,
            leader_address=leader.query_address,
            reason='another process leads',
        )

    def _unanswered(self, outcome: PlacementOutcome, reason: str) -> PlacementAnswer:
        return PlacementAnswer(
            outcome=outcome, member_id=self._member_id, reason=reason
        )
