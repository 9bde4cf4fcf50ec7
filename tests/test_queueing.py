"""Guards against lost, repeated or misordered requests and against unfair queues."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err

from dandelionknot.configuration import Priority
from dandelionknot.decisions import _queueing
from dandelionknot.messages import ErrorCode, RunState

TEAMS = ['a', 'b', 'c']
SHARES = {'a': 1, 'b': 2, 'c': 5}


def request(number, team_id, priority, deadline_ms, run_ms=0, now_ms=0):
    return _queueing.QueuedRequest(
        request_id=f'r{number}',
        team_id=team_id,
        priority=Priority(priority),
        arrival_ms=now_ms,
        deadline_ms=deadline_ms,
        expected_run_ms=run_ms,
    )


class QueueMachine(RuleBasedStateMachine):
    """Compares the queues with a model: one list that is searched for each choice."""

    @initialize(capacity=strategies.sampled_from([1, 2, 30, 100, 400]))
    def begin(self, capacity):
        self.queues = _queueing.TeamQueues(capacity)
        self.waiting = []
        self.known = []  # Teams in the order of their first request.
        self.running = Counter()
        self.served = Counter()
        self.last_class = {}
        self.debts = Counter()
        self.debts_at_ms = 0
        self.now_ms = self.number = self.served_number = 0

    def of_team(self, team_id, priority=None):
        return [
            item
            for item in self.waiting
            if item.team_id == team_id and priority in (None, item.priority)
        ]

    @rule(
        team_id=strategies.sampled_from(TEAMS),
        classes=strategies.sampled_from(
            [['urgent'], ['overnight'], ['urgent', 'overnight']]
        ),
        count=strategies.integers(1, 60),
        wait_ms=strategies.sampled_from([50, 3000, 30000, 300000]),
        run_ms=strategies.sampled_from([0, 10, 500, 5000]),
    )
    def offer(self, team_id, classes, count, wait_ms, run_ms):
        for _ in range(count):
            self.number += 1
            priority = classes[self.number % len(classes)]
            item = request(
                self.number, team_id, priority, self.now_ms + wait_ms, run_ms
            )
            free = self.queues.capacity - len(self.waiting)
            held = len(self.of_team(team_id))
            is_accepted = free > 0 and (held == 0 or held < free)
            outcome = _queueing.offer(self.queues, item)
            assert outcome.is_ok() == is_accepted, (free, held)
            if is_accepted:
                self.known += [] if team_id in self.known else [team_id]
                self.waiting.append(item)
                continue
            assert outcome.err_value.code is ErrorCode.QUEUE_FULL
            assert outcome.err_value.run_state is RunState.NOT_RUN
            assert 100 <= outcome.err_value.retry_after_ms <= 10000

    def update_debts(self):
        """Adds up slots above the part of each team, at most every 10 ms.

        The sums decay with a time constant of 1 s.
        """
        elapsed_ms = min(1000, self.now_ms - self.debts_at_ms)
        if elapsed_ms < 10:
            return
        self.debts_at_ms = self.now_ms
        waiting = [team for team in self.known if self.of_team(team)]
        slots = sum(self.running[team] for team in waiting)
        shares = sum(SHARES[team] for team in waiting)
        for team in self.known:
            self.debts[team] *= 1 - elapsed_ms / 1000
            if team in waiting:
                excess = self.running[team] - slots * SHARES[team] / shares
                self.debts[team] += excess * elapsed_ms / 100

    def expected(self, barred):
        """Returns the request that should start next if `barred` teams cannot start."""
        self.update_debts()
        teams = [t for t in self.known if self.of_team(t) and t not in barred]
        if not teams:
            return None
        loads = {t: (self.running[t] + self.debts[t]) / SHARES[t] for t in TEAMS}
        teams.sort(key=lambda t: (loads[t], self.served[t]))
        return self.expected_of(teams[0])

    def expected_of(self, team_id):
        urgent = self.of_team(team_id, Priority.URGENT)
        overnight = self.of_team(team_id, Priority.OVERNIGHT)
        if not overnight:
            return urgent[0]
        least_slack = min(
            overnight, key=lambda i: i.deadline_ms - 2 * i.expected_run_ms
        )
        latest_start_ms = (
            least_slack.deadline_ms - 2 * least_slack.expected_run_ms - 1000
        )
        if latest_start_ms <= self.now_ms:
            return least_slack
        work_ms = 2 * sum(item.expected_run_ms for item in overnight)
        is_behind = (
            latest_start_ms - work_ms // max(1, self.running[team_id]) <= self.now_ms
        )
        is_overnight_turn = (
            is_behind and self.last_class.get(team_id) is not Priority.OVERNIGHT
        )
        return overnight[0] if is_overnight_turn or not urgent else urgent[0]

    @rule(barred=strategies.sets(strategies.sampled_from(TEAMS), max_size=2))
    def start(self, barred):
        expected = self.expected(barred)
        item = _queueing.next_request(
            self.queues, self.running, SHARES, lambda t: t not in barred, self.now_ms
        )
        assert item == expected, (item, expected)
        if item is not None:
            self.waiting.remove(item)
            self.running[item.team_id] += 1
            self.served_number += 1
            self.served[item.team_id] = self.served_number
            self.last_class[item.team_id] = item.priority

    @rule(count=strategies.integers(1, 30))
    def start_many(self, count):
        for _ in range(count):
            self.start(set())

    @rule(rounds=strategies.integers(1, 20), ms=strategies.sampled_from([5, 20, 300]))
    def work(self, rounds, ms):
        """Advances the time while all teams have waiting requests and tasks end."""
        for number in range(rounds):
            for team_id in TEAMS:
                self.offer(team_id, ['urgent'], 1, 30000, 10)
            self.expire(ms, TEAMS[number % 3])
            self.start_many(2)

    @rule(
        team_id=strategies.sampled_from(TEAMS),
        later_ms=strategies.sampled_from([None, 0, 60000]),
    )
    def cancel(self, team_id, later_ms):
        for item in self.of_team(team_id)[::2]:
            assert _queueing.cancel(self.queues, item.request_id) == item
            assert _queueing.cancel(self.queues, item.request_id) is None
            self.waiting.remove(item)
            if later_ms:
                item = replace(item, deadline_ms=item.deadline_ms + later_ms)
            if later_ms is not None and _queueing.offer(self.queues, item).is_ok():
                self.waiting.append(item)

    @rule(
        ms=strategies.sampled_from([1, 50, 2950, 10000]),
        ended=strategies.sampled_from(TEAMS),
    )
    def expire(self, ms, ended):
        self.now_ms += ms
        self.running[ended] //= 2
        expired = _queueing.expire(self.queues, self.now_ms)
        expected = [item for item in self.waiting if item.deadline_ms <= self.now_ms]
        ids = {item.request_id for item in expected}
        assert sorted(item.request_id for item in expired) == sorted(ids)
        self.waiting = [i for i in self.waiting if i.request_id not in ids]

    @rule(which=strategies.integers(0, 400))
    def ask_position(self, which):
        if self.waiting:
            item = self.waiting[which % len(self.waiting)]
            ordered = self.of_team(item.team_id, Priority.URGENT)
            ordered += self.of_team(item.team_id, Priority.OVERNIGHT)
            found = _queueing.position(self.queues, item.request_id)
            assert found == ordered.index(item)

    @invariant()
    def counts_and_memory_follow_the_list(self):
        for team_id in TEAMS:
            counted = _queueing.counts(self.queues, team_id)
            assert counted.urgent == len(self.of_team(team_id, Priority.URGENT))
            assert counted.overnight == len(self.of_team(team_id, Priority.OVERNIGHT))
        most = 2 * len(self.waiting) + _queueing.MAX_STALE_ENTRIES
        assert len(self.queues.by_deadline) <= most
        for team in self.queues.teams_by_id.values():
            assert len(team.urgent) + len(team.overnight) <= most + 64


QueueMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=250,
    stateful_step_count=40,
)
QueueTest = QueueMachine.TestCase


def serve(queues, slots, shares, arrivals, seconds, run_ms=100):
    """Runs the arriving requests on some slots; returns the end time by request."""
    ends, active, running = {}, [], Counter()
    for now_ms in range(0, seconds * 1000, 10):
        for item in arrivals(now_ms):
            _queueing.offer(queues, item)
        for end_ms, item in [entry for entry in active if entry[0] <= now_ms]:
            active.remove((end_ms, item))
            running[item.team_id] -= 1
            ends[item] = end_ms
            _queueing.record_run_time(queues, item.team_id, item.priority, run_ms)
        _queueing.expire(queues, now_ms)
        while len(active) < slots:
            item = _queueing.next_request(
                queues, running, shares, lambda _: True, now_ms
            )
            if item is None:
                break
            running[item.team_id] += 1
            active.append((now_ms + run_ms, item))
    return ends


class PolicyTest(unittest.TestCase):
    def test_overnight_ends_in_time_under_constant_urgent_load(self):
        """Guards against overnight requests that never start while urgent ones wait.

        Callers may declare no run time, so it must be estimated from ended tasks.
        """
        for declared_ms in (100, 0):
            with self.subTest(declared_ms=declared_ms):
                self.check_overnight_ends_in_time(declared_ms)

    def check_overnight_ends_in_time(self, declared_ms):
        queues = _queueing.TeamQueues(2000)
        numbers = iter(range(100000))

        def arrivals(now_ms):
            if now_ms == 1000:
                for _ in range(200):
                    yield request(next(numbers), 'a', 'overnight', 20000, declared_ms)
            yield request(next(numbers), 'a', 'urgent', now_ms + 1000, 100, now_ms)

        ends = serve(queues, 4, SHARES, arrivals, 21)
        overnight_ends = [
            end for item, end in ends.items() if item.priority == 'overnight'
        ]
        self.assertEqual(len(overnight_ends), 200)
        self.assertLessEqual(max(overnight_ends), 20000)
        self.assertGreater(len(ends) - len(overnight_ends), 500)

    def test_team_gets_its_share_back(self):
        """Guards against a team that keeps slots that belong to another team's share.

        The other team has no waiting requests at first and then submits some.
        """
        queues = _queueing.TeamQueues(3000)
        numbers = iter(range(100000))

        def arrivals(now_ms):
            for team_id in ('a', 'c') if now_ms >= 2000 else ('a',):
                for _ in range(2):
                    yield request(next(numbers), team_id, 'urgent', now_ms + 1000, 100)

        ends = serve(queues, 12, SHARES, arrivals, 6)
        alone = [i for i, end in ends.items() if end <= 2000]
        both = Counter(i.team_id for i, end in ends.items() if end > 2200)
        self.assertGreater(len(alone), 12 * 18)
        self.assertAlmostEqual(both['c'] / both['a'], 5, delta=0.5)

    def test_renewed_request_keeps_its_new_deadline(self):
        """Guards against a request that expires at the deadline of an earlier offer."""
        queues = _queueing.TeamQueues(10)
        _queueing.offer(queues, request(1, 'a', 'urgent', 100))
        _queueing.cancel(queues, 'r1')
        _queueing.offer(queues, request(1, 'a', 'urgent', 200))
        self.assertEqual(_queueing.expire(queues, 100), [])
        self.assertEqual(len(_queueing.expire(queues, 200)), 1)

    def test_requests_that_cannot_end_in_time_expire(self):
        """Guards against starting tasks that would be stopped at their deadline.

        The mean run time of long tasks must not expire short ones that have time left.
        """
        queues = _queueing.TeamQueues(10)
        _queueing.record_run_time(queues, 'a', Priority.URGENT, 300)
        _queueing.record_run_time(queues, 'a', Priority.OVERNIGHT, 60000)
        for number, deadline_ms in enumerate((300, 301)):
            _queueing.offer(queues, request(number, 'a', 'urgent', deadline_ms))
        expired = [item.request_id for item in _queueing.expire(queues, 0)]
        self.assertEqual(expired, ['r0'])

    def test_one_team_leaves_room(self):
        """Guards against one team filling the queue so that no other has a place."""
        queues = _queueing.TeamQueues(100)
        for number in range(200):
            _queueing.offer(queues, request(number, 'a', 'urgent', 1000))
        self.assertEqual(_queueing.counts(queues, 'a').urgent, 50)
        for number in range(200, 400):
            _queueing.offer(queues, request(number, 'b', 'urgent', 1000))
        self.assertEqual(_queueing.counts(queues, 'b').urgent, 25)
        refused = _queueing.offer(queues, request(999, 'a', 'urgent', 1000))
        self.assertIsInstance(refused, Err)
