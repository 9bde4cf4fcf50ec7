"""Tests of the cost measurements and of the behaviour that keeps these costs low.

Guards against published costs that do not follow from what was measured.
"""

import asyncio
import json
import os
import unittest
import unittest.mock
from collections.abc import Coroutine
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionknot import configuration, entry
from dandelionknot._http_client import new_http_client
from dandelionknot._mailbox import Mailbox
from dandelionknot.entry import _backend_link
from dandelionknot.messages import RenewUntil, StopService, TaskStart, TaskState
from measure.control_cost import (
    ALONE,
    SCALED,
    Reading,
    Size,
    configuration_of,
    rates_between,
)
from measure.processes import cpu_seconds, fit_line, proportional_mb, resident_mb
from standins import backend
from standins.platform import start_platform
from standins.relay import start_relay

ADDRESSES = 3
FIRST_IP = '127.40.0.1'


class FitTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.integers(-100, 100),
        st.integers(-100, 100),
        st.lists(st.integers(0, 1000), min_size=2, max_size=8, unique=True),
    )
    def test_fit_finds_an_exact_line(
        self, slope: int, intercept: int, xs: list[int]
    ) -> None:
        """Guards against slopes that do not follow from the samples."""
        line = fit_line([(x, slope * x + intercept) for x in xs])
        self.assertAlmostEqual(line.slope, slope, places=6)
        self.assertAlmostEqual(line.intercept, intercept, places=4)
        self.assertAlmostEqual(line.largest_error, 0, places=4)

    def test_largest_error_is_that_of_the_farthest_point(self) -> None:
        """Guards against a fit that understates its error at one of the sizes."""
        line = fit_line([(0, 0), (1, 3), (2, 0)])
        self.assertEqual((line.slope, line.intercept), (0, 1))
        self.assertEqual(line.largest_error, 2)


class ReadingTest(unittest.TestCase):
    def test_rates_are_per_second_and_duty_holder_is_separate(self) -> None:
        """Guards against totals shown as rates, and a duty holder in the median.

        The first member carries out the fleet duties and needs more processor time.
        """
        before = Reading(
            at_ms=0,
            cpu_s_by_member=[0.0, 1.0, 1.0],
            platform_bytes=100,
            peer_bytes=0,
            backend_bytes=0,
            calls_by_kind={'watch': 4},
        )
        after = Reading(
            at_ms=2000,
            cpu_s_by_member=[0.5, 1.02, 1.06],
            platform_bytes=300,
            peer_bytes=40,
            backend_bytes=10,
            calls_by_kind={'watch': 8, 'write': 2},
        )
        rates = rates_between(before, after)
        self.assertEqual(rates['steward_cpu_percent'], 25)
        self.assertAlmostEqual(rates['cpu_percent'], 2)
        self.assertEqual(rates['platform_bytes_per_s'], 100)
        self.assertEqual(rates['peer_bytes_per_s'], 20)
        self.assertEqual(rates['backend_bytes_per_s'], 5)
        self.assertEqual(rates['calls_per_s_by_kind'], {'watch': 2, 'write': 1})

    def test_own_processor_time_and_memory_are_read(self) -> None:
        """Guards against reading a wrong field of the files in /proc."""
        before_s = cpu_seconds(os.getpid())
        times = os.times()
        self.assertAlmostEqual(before_s, times.user + times.system, delta=0.05)
        shared_mb = resident_mb(os.getpid())
        self.assertTrue(5 < proportional_mb(os.getpid()) <= shared_mb < 2000)


class SizeTest(unittest.TestCase):
    def test_configurations_have_the_requested_size(self) -> None:
        """Guards against costs reported for sizes that the fleet did not have."""
        for size in [SCALED[-1], *ALONE['hosts']]:
            addresses = [f'127.0.0.1:{number + 1}' for number in range(size.hosts)]
            generated, _ = configuration_of(size, addresses)
            sizes = Size(
                hosts=len(generated.hosts_by_id),
                members=size.members,
                pools=len({host.pool for host in generated.hosts_by_id.values()}),
                teams=len(generated.teams_by_id),
            )
            self.assertEqual(sizes, size)
            self.assertEqual(configuration.find_faults(generated), [])


class StandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = new_http_client(4)
        self.addCleanup(self.client.close)

    async def get(self, address: str, path: str) -> bytes:
        return (await self.client.fetch(f'http://{address}{path}')).body

    async def test_backend_listens_on_all_its_addresses(self) -> None:
        """Guards against a stand-in that only relays to its first address can reach."""
        standin = await backend.start_backend(f'{FIRST_IP}:0', address_count=ADDRESSES)
        self.addAsyncCleanup(standin.stop)
        port = standin.address.rpartition(':')[2]
        ips = backend.following_ips(FIRST_IP, ADDRESSES)
        self.assertEqual(len(set(ips)), ADDRESSES)
        for ip in ips:
            usage = json.loads(await self.get(f'{ip}:{port}', '/v1/usage'))
            self.assertEqual(usage['slots'], standin.state.slots)

    async def test_relay_counts_both_directions_by_source(self) -> None:
        """Guards against bytes that are not counted or counted for another member."""
        standin = await backend.start_backend()
        self.addAsyncCleanup(standin.stop)
        relay = await start_relay(standin.address)
        self.addAsyncCleanup(relay.stop)
        for _ in range(2):
            body = await self.get(relay.address, '/v1/usage')
        self.assertEqual(set(relay.bytes_by_source_ip), {'127.0.0.1'})
        self.assertGreater(relay.bytes_by_source_ip.total(), 2 * len(body) + 100)
        self.assertLess(relay.bytes_by_source_ip.total(), 2 * len(body) + 2000)

    async def test_platform_reports_its_call_counts(self) -> None:
        """Guards against call counts that include the calls which read the counts."""
        standin = await start_platform()
        self.addAsyncCleanup(standin.stop)
        await self.get(standin.address, '/v1/hosts')
        await self.get(standin.address, '/v1/calls')
        counts = json.loads(await self.get(standin.address, '/v1/calls'))
        self.assertEqual(counts, {'list_hosts': 1})


class RunningTasksTest(unittest.TestCase):
    def test_only_unfinished_tasks_are_listed_as_running(self) -> None:
        """Guards against a stand-in that lists ended tasks as running."""
        state = backend.BackendState(slots=3)
        for number, run_ms in enumerate([60_000, 0, 60_000]):
            order = TaskStart(
                task_id=f'task-{number}',
                request_id=f'request-{number}',
                attempt=1,
                service='quotes',
                team='desk',
                pool_epoch=0,
                start_token=state.token(),
                lease_ms=60_000,
                payload=json.dumps({'run_ms': run_ms}),
            )
            backend.start_task(state, order)
        self.assertEqual(len(state.running()), 2)
        stopped = backend.stop_task(state, 'task-0')
        self.assertIs(stopped.state, TaskState.STOPPED)
        self.assertEqual([each.order.task_id for each in state.running()], ['task-2'])


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_renewal_limit_does_not_count_as_use_of_a_server(self) -> None:
        """Guards against usage polls of every linked server by every entry host.

        Only servers that an entry host uses are polled. A renewal limit is sent to all
        links, so it must not count as use.
        """
        links: list = []

        def record_link(link: object, always: bool, random: object) -> Coroutine:
            links.append(link)
            return asyncio.sleep(0)

        mailbox: Mailbox = Mailbox(10)
        mailbox.send(RenewUntil(until_ms=1234))
        mailbox.send(StopService(reason='end of the test'))
        with unittest.mock.patch.object(_backend_link, '_poll_usage', record_link):
            await _backend_link.run_backend_link(
                'host-0',
                unittest.mock.Mock(),
                mailbox,
                Mailbox(10),
                15_000,
                2000,
                False,
                lambda: 0.0,
            )
        self.assertEqual(links[0].renew_until_ms, 1234)
        self.assertEqual(links[0].last_used_ms, 0)


class PingIntervalTest(unittest.TestCase):
    def test_pings_are_rare_while_the_platform_answers(self) -> None:
        """Guards against pings at the rate of an outage while the platform answers.

        With a read interval of 2 s, the last read that was answered was sent 2 to 4 s
        ago while nothing has failed.
        """
        cases = [(0, 4000), (2000, 4000), (4030, 4000), (4501, 2000), (None, 2000)]
        for age_ms, interval_ms in cases:
            read = SimpleNamespace(question_sent_ms=10_000 - (age_ms or 0))
            state = SimpleNamespace(
                context=SimpleNamespace(
                    settings=SimpleNamespace(
                        platform_read_interval_ms=2000, peer_ping_interval_ms=2000
                    )
                ),
                freshness=SimpleNamespace(
                    platform_read=None if age_ms is None else read
                ),
                configuration=SimpleNamespace(version=1),
            )
            with (
                self.subTest(age_ms=age_ms),
                unittest.mock.patch.object(entry, 'now_ms', lambda: 10_000),
            ):
                plan = entry._ping_planner(state)()  # type: ignore[arg-type]
                self.assertEqual(plan.interval_ms, interval_ms)
