"""Guards against retries that repeat work, amplify an overload or come too late."""

import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dandelionknot.decisions import _retries
from dandelionknot.messages import RunState, StartRefusal


def make_history(**changes):
    fields = {'idempotent': True, 'deadline_ms': 1000, 'attempts': 1}
    return _retries.AttemptHistory(**(fields | changes))


class NextAttemptTest(unittest.TestCase):
    def test_reasons(self):
        """Guards against a retry that could run a task twice or cannot succeed."""
        reasons = _retries.GiveUpReason
        ran, unknown = RunState.RAN, RunState.UNKNOWN
        strict = {'idempotent': False}
        cases = [
            ({}, 0, None),
            ({'run_state': unknown}, 0, None),
            ({'run_state': ran, 'failed_hosts': {'a'}}, 0, None),
            (strict, 0, None),
            (strict | {'run_state': unknown}, 0, reasons.MAY_HAVE_RUN),
            (strict | {'run_state': ran}, 0, reasons.MAY_HAVE_RUN),
            ({'run_state': ran, 'failed_hosts': {'a', 'b'}}, 0, reasons.BAD_TASK),
            ({'last_refusal': StartRefusal.BUSY}, 0, None),
            ({'last_refusal': StartRefusal.CANNOT_FIT}, 0, reasons.CANNOT_RUN),
            ({'attempts': 5}, 0, reasons.ATTEMPTS),
            # From 880 ms on, the delay of 19 ms and a run of 101 ms reach the deadline.
            ({}, 879, None),
            ({}, 880, reasons.DEADLINE),
        ]
        for changes, now_ms, expected in cases:
            with self.subTest(changes=changes, now_ms=now_ms):
                budget = _retries.RetryBudget.with_fraction()
                history = make_history(tried_hosts={'a'}, **changes)
                outcome = _retries.next_attempt(
                    budget, history, now_ms=now_ms, random=0.999, min_run_ms=101
                )
                retry = _retries.RetryAfter(delay_ms=19, avoid=frozenset({'a'}))
                self.assertEqual(
                    outcome, _retries.GiveUp(reason=expected) if expected else retry
                )
                self.assertEqual(budget.retries, 0 if expected else 1)

    def test_backoff(self):
        """Guards against retries of many requests at the same time."""
        cases = [(1, 20), (2, 40), (3, 80), (5, 320), (6, 500), (99, 500)]
        for attempt, bound_ms in cases:
            delays = [_retries.backoff_ms(attempt, n / 1000) for n in range(1000)]
            self.assertEqual((min(delays), max(delays)), (0, bound_ms - 1))
            self.assertEqual(len(set(delays)), bound_ms)


class BudgetTest(unittest.TestCase):
    def test_size(self):
        """Guards against a budget that does not grow or grows without limit."""
        for first_attempts, expected in [(0, 10), (50, 20), (450, 100), (9000, 100)]:
            with self.subTest(first_attempts=first_attempts):
                budget = _retries.RetryBudget.with_fraction()
                for _ in range(first_attempts):
                    _retries.record_first_attempt(budget)
                for _ in range(300):
                    _retries.next_attempt(budget, make_history(), now_ms=0, random=0)
                self.assertEqual(budget.retries, expected)


class BudgetMachine(RuleBasedStateMachine):
    """Makes first attempts and retries of one service in any order."""

    def __init__(self):
        super().__init__()
        self.budget = _retries.RetryBudget.with_fraction()
        self.first_attempts = self.retries = 0

    @rule(count=strategies.integers(1, 2000))
    def first(self, count):
        for _ in range(count):
            _retries.record_first_attempt(self.budget)
        self.first_attempts += count

    @rule(count=strategies.integers(1, 300))
    def retry(self, count):
        before = self.budget.units
        granted = 0
        for _ in range(count):
            outcome = _retries.next_attempt(
                self.budget, make_history(), now_ms=0, random=0.5
            )
            granted += isinstance(outcome, _retries.RetryAfter)
        self.retries += granted
        assert granted == min(count, before // 1000), 'refused within the budget'

    @invariant()
    def retries_stay_below_the_fraction(self):
        assert self.retries <= 10 + 0.2 * self.first_attempts


class BudgetMachineTest(BudgetMachine.TestCase):
    """Guards against retries that multiply the load of an overloaded service."""

    settings = settings(derandomize=True, deadline=None, database=None, max_examples=50)
