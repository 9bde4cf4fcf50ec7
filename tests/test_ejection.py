"""Guards against ejecting healthy hosts and against failing hosts that stay."""

import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from dandelionknot.decisions import _ejection
from dandelionknot.decisions._ejection import HealthTable

HOSTS = [f'host-{n}' for n in range(6)]
# An index into a list of any length; used modulo the length.
INDEX = strategies.integers(0, 63)


def make_table(results, now_ms=0):
    """Returns a table from (host, successes, failures), one request per result."""
    table = HealthTable()
    for host, successes, failures in results:
        for n in range(successes):
            _ejection.record_success(table, host, f'good-{host}-{n}', now_ms)
        for n in range(failures):
            _ejection.record_failure(table, host, f'bad-{host}-{n}', now_ms)
    return table


class EjectionTest(unittest.TestCase):
    def test_rules(self):
        """Guards against ejections beyond the budget or with too few failures.

        Also guards against an ejection if the whole pool fails as often.
        """
        healthy = [('b', 20, 1)]
        cases = [
            ([('a', 0, 3), *healthy], 0, 1, 0, True),
            ([('a', 0, 3)], 0, 1, 0, True),
            ([('a', 0, 3), *healthy], 1, 1, 0, False),
            ([('a', 0, 3), *healthy], 0, 0, 0, False),
            ([('a', 0, 2), *healthy], 0, 1, 0, False),
            ([('a', 4, 3), *healthy], 0, 1, 0, False),
            ([('a', 0, 3), ('b', 4, 6)], 0, 1, 0, False),
            ([('a', 0, 5), *healthy], 0, 1, 30_000, False),
            ([('a', 0, 6), *healthy], 0, 1, 30_000, True),
        ]
        for results, unavailable, limit, now_ms, expected in cases:
            with self.subTest(results=results, unavailable=unavailable, limit=limit):
                table = make_table(results)
                ejects = _ejection.should_eject(table, 'a', unavailable, limit, now_ms)
                self.assertIs(ejects, expected)

    def test_return_after_probes(self):
        """Guards against many requests to an ejected host that still fails."""
        table = make_table([('a', 0, 10)])
        _ejection.eject(table, 'a', 0)
        probe = _ejection.begin_probe
        self.assertFalse(_ejection.is_routable(table, 'a'))
        self.assertFalse(probe(table, 'a', 'p1', 4999))
        self.assertFalse(probe(table, 'a', 'bad-a-0', 5000))
        self.assertTrue(probe(table, 'a', 'p1', 5000))
        self.assertFalse(probe(table, 'a', 'p2', 5000))
        _ejection.record_failure(table, 'a', 'p1', 6000)
        self.assertFalse(probe(table, 'a', 'p2', 15_999))
        for n in range(3):
            self.assertFalse(_ejection.is_routable(table, 'a'))
            self.assertTrue(probe(table, 'a', f'q{n}', 16_000))
            _ejection.record_success(table, 'a', f'q{n}', 16_000)
        self.assertTrue(_ejection.is_routable(table, 'a'))
        self.assertFalse(_ejection.should_eject(table, 'a', 0, 1, 16_000))
        _ejection.eject(table, 'a', 400_000)
        self.assertTrue(probe(table, 'a', 'p3', 405_000))

    def test_a_request_that_fails_twice_on_one_host(self):
        """Guards against a retry on the same host that counts as a faulty task."""
        table = make_table([('a', 0, 3), ('b', 20, 1), ('a', 0, 3)])
        self.assertTrue(_ejection.should_eject(table, 'a', 0, 1, 0))

    def test_probe_with_a_faulty_task_or_without_result(self):
        """Guards against a recovered host that stays ejected.

        This happens if a probe with a faulty task or without a result counts as failed.
        """
        table = make_table([('a', 0, 3)])
        _ejection.eject(table, 'a', 0)
        _ejection.begin_probe(table, 'a', 'p1', 5000)
        _ejection.record_failure(table, 'a', 'p1', 6000)
        _ejection.record_failure(table, 'b', 'p1', 7000)
        self.assertTrue(_ejection.begin_probe(table, 'a', 'p2', 7000))
        self.assertFalse(_ejection.begin_probe(table, 'a', 'p3', 67_000))
        self.assertTrue(_ejection.begin_probe(table, 'a', 'p3', 67_001))

    def test_memory_is_bounded(self):
        """Guards against memory growth by failed requests and removed hosts."""
        table = make_table([('a', 0, _ejection.MAX_FAILED_REQUESTS + 5), ('b', 1, 0)])
        size = len(table.failures_by_request)
        self.assertEqual(size, _ejection.MAX_FAILED_REQUESTS)
        _ejection.retain_hosts(table, ['b'])
        self.assertEqual(list(table.health_by_host), ['b'])


class EjectionMachine(RuleBasedStateMachine):
    """Six hosts, a known set of failing ones among them, and some faulty tasks."""

    def __init__(self):
        super().__init__()
        self.table, self.now_ms, self.count = HealthTable(), 0, 0
        self.failing_hosts = {HOSTS[0]}

    def ejected(self):
        return [one for one in HOSTS if not _ejection.is_routable(self.table, one)]

    @rule(first=INDEX, second=INDEX, tasks=strategies.integers(1, 20), bad=INDEX)
    def run_tasks(self, first, second, tasks, bad):
        """Runs tasks and repeats each failed one on another host."""
        for n in range(tasks):
            self.now_ms += 10
            self.count += 1
            hosts = [one for one in HOSTS if one not in self.ejected()]
            host = hosts.pop((first + n) % len(hosts))
            if not self.attempt(host, bad % 4 == n % 4):
                self.attempt(hosts[(second + n) % len(hosts)], bad % 4 == n % 4)
            self.eject_failing()

    def attempt(self, host, is_faulty_task):
        succeeds = host not in self.failing_hosts and not is_faulty_task
        record = _ejection.record_success if succeeds else _ejection.record_failure
        record(self.table, host, f'request-{self.count}', self.now_ms)
        return succeeds

    def eject_failing(self):
        for host in HOSTS:
            ejected_count = len(self.ejected())
            if _ejection.should_eject(self.table, host, ejected_count, 2, self.now_ms):
                _ejection.eject(self.table, host, self.now_ms)
                assert host in self.failing_hosts, f'{host} is healthy'
                assert len(self.ejected()) <= 2, 'beyond the budget'

    @rule(host=INDEX)
    def break_host(self, host):
        self.failing_hosts.add(HOSTS[host % 6])

    @rule(wait_ms=strategies.integers(0, 60_000))
    def heal_ejected(self, wait_ms):
        """Makes ejected hosts healthy again, which return after three probes."""
        self.now_ms += wait_ms
        healed = self.ejected()
        self.failing_hosts -= set(healed)
        for host in healed:
            self.now_ms += _ejection.MAX_BACKOFF_MS
            for _ in range(3):
                self.count += 1
                name = f'request-{self.count}'
                assert _ejection.begin_probe(self.table, host, name, self.now_ms)
                _ejection.record_success(self.table, host, name, self.now_ms)
            assert _ejection.is_routable(self.table, host), f'{host} is healthy again'

    def teardown(self):
        """Checks that one failing host among healthy ones is ejected."""
        self.heal_ejected(60_000)
        self.failing_hosts = {HOSTS[1]}
        self.now_ms += 600_000
        self.run_tasks(0, 1, 60, 63)
        assert self.ejected() == [HOSTS[1]], 'the failing host is not ejected'


class EjectionMachineTest(EjectionMachine.TestCase):
    """Guards against ejecting healthy hosts and against failing hosts that stay."""

    settings = settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=60,
        stateful_step_count=30,
    )
