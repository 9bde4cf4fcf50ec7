"""Guards against answers of another request, truncated answers and a false "not run".

"Not run" is the run state of a refusal. It is false if the task ran or may still run.
"""

import hashlib
import unittest
from dataclasses import replace

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from dandelionknot.decisions import _outcomes
from dandelionknot.decisions._outcomes import (
    AnswerMismatch,
    Cancelled,
    ConnectionLost,
    DeadlinePassed,
    LeaseLost,
    ReportMalformed,
    ReportReceived,
    RequestState,
    StartNotSent,
    StartRefused,
)
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    RunState,
    StartRefusal,
    TaskReport,
    TaskState,
)

REQUEST_ID = '01900000-0000-7000-8000-000000000001'
# The random part of these task ids is zero.
TASK = _outcomes.new_task_id(REQUEST_ID, 1, bytes(6))
OTHER_TASK = _outcomes.new_task_id(REQUEST_ID, 2, bytes(6))
# An index into a list of any length; used modulo the length.
INDEX = strategies.integers(0, 63)


# The default result has 5 characters and 7 bytes; `result_length` counts bytes.
def make_report(task_id=TASK, state=TaskState.FINISHED, result='größe', **changes):
    data = (result or '').encode()
    report = TaskReport(task_id=task_id, state=state, start_token='t', result=result)
    if result is not None:
        digest = hashlib.sha256(data).hexdigest()
        report = replace(report, result_length=len(data), result_digest=digest)
    return replace(report, **changes)


def received(task_id=TASK, answers_stop=False, **fields):
    """Returns an event for `task_id` with a report that always names `TASK`."""
    report = make_report(**fields)
    return ReportReceived(task_id=task_id, report=report, answers_stop=answers_stop)


NEVER_STARTED_FIELDS = {'state': TaskState.NEVER_STARTED, 'result': None}
RUNNING_FIELDS = {'state': TaskState.RUNNING, 'result': None}
BUSY = StartRefused(task_id=TASK, refusal=StartRefusal.BUSY)
CANNOT_FIT = StartRefused(task_id=TASK, refusal=StartRefusal.CANNOT_FIT)
NOT_SENT, CONNECTION_LOST = StartNotSent(task_id=TASK), ConnectionLost(task_id=TASK)
DEADLINE_AFTER_START = DeadlinePassed(task_id=TASK, start_sent=True)
NEVER_STARTED_AFTER_STOP = received(answers_stop=True, **NEVER_STARTED_FIELDS)


class OutcomeTest(unittest.TestCase):
    def test_refusal_after_each_sequence_of_events(self):
        """Guards against a refusal whose run state or code is wrong."""
        not_run, ran, unknown = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
        codes = ErrorCode
        cases = [
            ([NOT_SENT], not_run, codes.NO_HOST_AVAILABLE),
            ([BUSY], not_run, codes.NO_HOST_AVAILABLE),
            ([CANNOT_FIT], not_run, codes.TASK_CANNOT_FIT),
            ([CONNECTION_LOST], unknown, codes.OUTCOME_UNKNOWN),
            ([], unknown, codes.OUTCOME_UNKNOWN),
            ([ReportMalformed(task_id=TASK)], unknown, codes.OUTCOME_UNKNOWN),
            ([LeaseLost(task_id=TASK)], unknown, codes.OUTCOME_UNKNOWN),
            ([DeadlinePassed(task_id=TASK)], not_run, codes.DEADLINE_PASSED),
            ([DEADLINE_AFTER_START], unknown, codes.DEADLINE_PASSED),
            ([BUSY, DEADLINE_AFTER_START], not_run, codes.DEADLINE_PASSED),
            ([Cancelled(task_id=TASK)], not_run, codes.CANCELLED),
            ([Cancelled(task_id=TASK, start_sent=True)], unknown, codes.CANCELLED),
            ([received(**NEVER_STARTED_FIELDS)], unknown, codes.OUTCOME_UNKNOWN),
            ([NEVER_STARTED_AFTER_STOP], not_run, codes.NO_HOST_AVAILABLE),
            (
                [CONNECTION_LOST, NEVER_STARTED_AFTER_STOP],
                not_run,
                codes.NO_HOST_AVAILABLE,
            ),
            ([CONNECTION_LOST, BUSY], unknown, codes.OUTCOME_UNKNOWN),
            ([CONNECTION_LOST, NOT_SENT], unknown, codes.OUTCOME_UNKNOWN),
            ([BUSY, CONNECTION_LOST], unknown, codes.OUTCOME_UNKNOWN),
            (
                [CONNECTION_LOST, received(**RUNNING_FIELDS), NEVER_STARTED_AFTER_STOP],
                ran,
                codes.OUTCOME_UNKNOWN,
            ),
            ([CONNECTION_LOST, received(result_length=9)], ran, codes.OUTCOME_UNKNOWN),
            # Reports for a task that the request did not start are ignored.
            ([CONNECTION_LOST, received(OTHER_TASK)], unknown, codes.OUTCOME_UNKNOWN),
            (
                [
                    CONNECTION_LOST,
                    received(
                        task_id=OTHER_TASK, answers_stop=True, **NEVER_STARTED_FIELDS
                    ),
                ],
                unknown,
                None,  # The code is not checked.
            ),
        ]
        for events, run_state, code in cases:
            with self.subTest(events=events):
                request = RequestState(
                    request_id=REQUEST_ID, hosts_by_task={TASK: 'host-1'}
                )
                refusal = _outcomes.decide_answer(request, events)
                self.assertIs(refusal.run_state, run_state)
                self.assertEqual(refusal.code, code or refusal.code)

    def test_not_run_requires_all_attempts_and_ownership(self):
        """Guards against "not run" if another attempt or host may run the request."""
        tasks = {TASK: 'host-1', OTHER_TASK: 'host-2'}
        cases = [({}, True, RunState.NOT_RUN), ({}, False, RunState.UNKNOWN)]
        cases += [(tasks, True, RunState.UNKNOWN)]
        for hosts_by_task, is_authoritative, expected in cases:
            with self.subTest(
                tasks=len(hosts_by_task), is_authoritative=is_authoritative
            ):
                request = RequestState(
                    request_id=REQUEST_ID,
                    is_authoritative=is_authoritative,
                    hosts_by_task=hosts_by_task,
                )
                refusal = _outcomes.decide_answer(request, [NOT_SENT])
                self.assertIs(refusal.run_state, expected)

    def test_answer_of_a_task_of_another_request(self):
        """Guards against a result that is sent to the caller of another request."""
        request = RequestState(request_id='other', hosts_by_task={OTHER_TASK: 'host-1'})
        refusal = _outcomes.decide_answer(request, [received()])
        self.assertIs(refusal.run_state, RunState.UNKNOWN)

    def test_answer_mismatches(self):
        """Guards against a truncated or altered result, or that of another task."""
        mismatch = AnswerMismatch
        cases = [
            ({}, None),
            ({'result': ''}, None),
            ({'task_id': OTHER_TASK}, mismatch.OTHER_TASK),
            ({'result': None}, mismatch.RESULT_MISSING),
            ({'state': TaskState.FAILED, 'result': None}, None),
            (RUNNING_FIELDS | {'result_length': 5}, mismatch.RESULT_MISSING),
            ({'result_length': 5}, mismatch.LENGTH),
            ({'result_length': None}, mismatch.LENGTH),
            ({'result_digest': None}, mismatch.DIGEST),
            ({'result_digest': '0' * 64}, mismatch.DIGEST),
        ]
        for fields, expected in cases:
            with self.subTest(fields=fields):
                outcome = _outcomes.answer_matches(TASK, 1, make_report(**fields))
                self.assertEqual(outcome, Err(expected) if expected else Ok(None))
        outcome = _outcomes.answer_matches(TASK, 2, make_report())
        self.assertEqual(outcome, Err(mismatch.OTHER_ATTEMPT))


class AnswerMachine(RuleBasedStateMachine):
    """Three requests with late starts and with truncated, swapped or repeated reports.

    `ran` holds the tasks that really ran. `barred` holds those whose stop order arrived
    first; a later start of them is ignored. The fault `cut` truncates a report,
    `crossed` replaces it by that of another task, and `twice` repeats it.
    """

    def __init__(self):
        super().__init__()
        self.requests = [RequestState(request_id=f'request-{n}') for n in range(3)]
        self.events = {request.request_id: [] for request in self.requests}
        self.tasks, self.in_transit, self.ran, self.barred = [], [], set(), set()

    def note(self, task_id, event):
        self.events[task_id.split('.')[0]].append(event)

    @rule(
        number=INDEX,
        start_outcome=strategies.sampled_from(['unsent', 'late', 'runs', 'busy']),
    )
    def start(self, number, start_outcome):
        request = self.requests[number % 3]
        attempt = len(request.hosts_by_task) + 1
        task_id = _outcomes.new_task_id(request.request_id, attempt, bytes(6))
        request.hosts_by_task[task_id] = 'host-1'
        self.tasks.append(task_id)
        if start_outcome == 'unsent':
            self.note(task_id, StartNotSent(task_id=task_id))
        elif start_outcome == 'busy':
            self.note(task_id, StartRefused(task_id=task_id, refusal=StartRefusal.BUSY))
        else:
            self.in_transit.append(task_id)
            if start_outcome == 'runs':
                # The start that was appended last arrives at once.
                self.deliver_start(-1)
            # The entry host loses the connection, whether or not the start arrived.
            self.note(task_id, ConnectionLost(task_id=task_id))

    @rule(number=INDEX)
    def deliver_start(self, number):
        if self.in_transit:
            task_id = self.in_transit.pop(number % len(self.in_transit))
            if task_id not in self.barred:
                self.ran.add(task_id)

    @rule(
        number=INDEX,
        other_index=INDEX,
        # The empty string means no fault.
        fault=strategies.sampled_from(['', '', 'cut', 'crossed', 'twice']),
        is_stop_order=strategies.booleans(),
    )
    def receive_report(self, number, other_index, fault, is_stop_order):
        if not self.tasks:
            return
        task_id = self.tasks[number % len(self.tasks)]
        source = (
            self.tasks[other_index % len(self.tasks)] if fault == 'crossed' else task_id
        )
        report = make_report(source, result=f'result of {source}')
        if source not in self.ran:
            report = make_report(source, **NEVER_STARTED_FIELDS)
            self.barred |= {source} if is_stop_order else set()
        elif fault == 'cut':
            report = replace(report, result=report.result[:-1])
        for _ in range(1 + (fault == 'twice')):
            event = ReportReceived(
                task_id=task_id, report=report, answers_stop=is_stop_order
            )
            self.note(task_id, event)

    @invariant()
    def answers_and_run_states_are_correct(self):
        for request in self.requests:
            events = self.events[request.request_id]
            answer = _outcomes.decide_answer(request, events)
            ran = self.ran & set(request.hosts_by_task)
            if isinstance(answer, AnswerBody):
                assert answer.result in {f'result of {task_id}' for task_id in ran}, (
                    answer
                )
            elif answer.run_state is RunState.NOT_RUN and request.hosts_by_task:
                # No task ran, and no start in transit can still run a task.
                may_run = set(self.in_transit) & set(request.hosts_by_task)
                assert not ran and not may_run - self.barred, answer
            else:
                assert answer.run_state is not RunState.RAN or ran, answer


class AnswerMachineTest(AnswerMachine.TestCase):
    """Guards against answers that reach the wrong caller or are truncated."""

    settings = settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
