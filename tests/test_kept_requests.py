"""Tests that ended requests release memory and that the journal is bounded."""

import sys
import unittest

from dandelionknot import decisions
from dandelionknot.entry._requests import (
    NO_HOSTS,
    RequestEntry,
    RequestTable,
    current_answer,
    end_request,
)
from dandelionknot.journal import (
    MAX_ENTRIES_PER_SUBJECT,
    MAX_SUBJECTS,
    Decision,
    Journal,
    Subject,
)
from dandelionknot.messages import AnswerBody, RequestBody, RequestPhase, RunState


class EndedRequestTest(unittest.TestCase):
    def test_payload_and_attempts_are_dropped_and_the_answer_is_kept(self) -> None:
        """Guards against retaining payloads for as long as answers can be fetched."""
        body = RequestBody(
            request_id='request-1',
            service='quotes',
            deadline_ms=1000,
            idempotent=True,
            payload='x' * 10_000,
        )
        digest = decisions.claims.body_digest(body)
        entry = RequestEntry(
            body=body,
            body_digest=digest,
            team_id='desk',
            key_id='key-1',
            arrived_ms=0,
            deadline_at_ms=1000,
        )
        entry.events.append(decisions.outcomes.ConnectionLost(task_id='task-1'))
        entry.hosts_by_task['task-1'] = 'host-1'
        answer = AnswerBody(
            request_id='request-1',
            phase=RequestPhase.FINISHED,
            run_state=RunState.RAN,
            result='answer',
        )
        end_request(RequestTable(), entry, RequestPhase.FINISHED, answer, 10)
        self.assertEqual(current_answer(entry), answer)
        self.assertEqual((entry.body_digest, entry.body.service), (digest, 'quotes'))
        self.assertEqual((entry.request_id, entry.body.idempotent), ('request-1', True))
        self.assertEqual(entry.body.payload, '')
        self.assertFalse(entry.events or entry.hosts_by_task)
        # The shared empty set, so that no set is retained for each request.
        self.assertIs(entry.failed_hosts, NO_HOSTS)


class JournalTest(unittest.TestCase):
    def test_decisions_and_subjects_are_bounded(self) -> None:
        """Guards against unbounded growth of the journal and loss of new entries."""
        journal = Journal()
        for number in range(MAX_ENTRIES_PER_SUBJECT + 3):
            journal.record(Subject.HOST, 'host-1', Decision(number, 'seen', ''))
        retained = journal.why(Subject.HOST, 'host-1')
        self.assertEqual(len(retained), MAX_ENTRIES_PER_SUBJECT)
        # Of the decisions 0 to 52, the oldest three were dropped.
        self.assertEqual((retained[0].unix_ms, retained[-1].unix_ms), (3, 52))
        for number in range(MAX_SUBJECTS):
            journal.record(Subject.REQUEST, str(number), Decision(0, 'queued', ''))
        # The oldest subject was dropped.
        self.assertEqual(journal.why(Subject.HOST, 'host-1'), [])
        self.assertEqual(len(journal.decisions_by_subject), MAX_SUBJECTS)

    def test_a_subject_with_one_decision_is_small(self) -> None:
        """Guards against reserving the space of a full subject for each subject."""
        journal = Journal()
        journal.record(Subject.REQUEST, 'request-1', Decision(0, 'queued', ''))
        (retained,) = journal.decisions_by_subject.values()
        # In bytes. A list with one entry takes less than 100, an empty deque 760.
        self.assertLess(sys.getsizeof(retained), 200)
