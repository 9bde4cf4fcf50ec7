"""Refusals for load on an entry host: after its checks, before the write, and true."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec
from msgspec.structs import replace

from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    CallerVerdict,
    ClientAccount,
    ExpectedWait,
    JobConfiguration,
    JobPhase,
    JobRecord,
    JobSpec,
    ManagerSettings,
    Queue,
    QueueForecast,
    Resources,
    StepSpec,
    WaitingJobs,
)
from dandelionknot.jobs._load_shedding import MAX_FORECAST_AGE_MS
from dandelionknot.jobs._stored import (
    FLEET_PREFIX,
    WAITING_KEY,
    job_key,
    record_key,
)
from dandelionknot.manager._call_handler import CallHandler
from dandelionknot.manager._view import View
from dandelionknot.manager._watch import Watcher
from emulator import virtual_time
from emulator.store import MemoryStore, StoreClient

CONFIGURATION_KEY = 'configuration'
SPEC = JobSpec(
    payload='p',
    steps=[
        StepSpec(
            task_count=1, resources=Resources(cpu_millicores=1000), estimated_ms=1000
        )
    ],
)
FULL = QueueForecast(
    waits=[ExpectedWait(span_ms=0, wait_ms=60_000, shortest_wait_ms=60_000)],
    millicores=64_000,
    demand_millicores=0,
)


class EntryHost:
    """A call handler and the watcher of its view, with a store that can fail."""

    def __init__(self, enabled=True):
        self.store = MemoryStore(random.Random(1))
        self.cut = [False]
        self.events = []
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service='s',
            objective_ms=600,
        )
        self.view = View(decode_fact=lambda item: None)
        self.view.configuration = JobConfiguration(
            version=1,
            queues=[queue],
            client_accounts=[ClientAccount(name='sofia', keys=['k'])],
        )
        self.view.configuration_revision = self.store.put(CONFIGURATION_KEY, b'')
        self.watcher = Watcher(self.client(), self.view, FLEET_PREFIX)
        settings = ManagerSettings(
            member_id='m',
            availability_zone='a',
            caller_address='',
            readiness_address='',
            store_address='',
            admission_forecast=enabled,
        )
        self.handler = CallHandler(
            settings, self.client(), self.view, CONFIGURATION_KEY, self.observe
        )

    def client(self):
        return StoreClient(self.store, self.cut)

    def observe(self, event, fields):
        self.events.append((event, fields))

    def publish(self, **forecasts):
        waiting = WaitingJobs(forecasts_by_queue=forecasts, forecast_unix_ms=unix_ms())
        self.store.put(WAITING_KEY, msgspec.json.encode(waiting))

    async def submit(self, job_id='a', key='k', deadline_ms=3000):
        return await self.handler.submit('desk', key, job_id, SPEC, deadline_ms)


class AdmissionTest(unittest.TestCase):
    def run_full(self, scenario, enabled=True):
        """Runs a scenario on a host that has just learned that the queue is full."""

        async def main():
            host = EntryHost(enabled)
            watching = asyncio.create_task(host.watcher.run())
            await asyncio.sleep(0.5)
            host.publish(desk=FULL)
            await asyncio.sleep(0.3)
            await scenario(host)
            watching.cancel()

        virtual_time.run(main())

    def assert_verdict(self, reply, verdict):
        self.assertIs(reply.verdict, verdict, reply)

    def test_refusal_comes_before_the_write_and_names_its_reason(self):
        """Guards against a refused job that is stored, and an unexplained refusal."""

        async def scenario(host):
            reply = await host.submit()
            self.assert_verdict(reply, CallerVerdict.NOT_ACCEPTED)
            self.assertGreaterEqual(reply.retry_after_s, 1)
            self.assertNotIn(job_key('a'), host.store.items_by_key)
            event, fields = host.events[-1]
            self.assertIs(event, Event.JOB_REFUSED)
            self.assertEqual(fields['cause'], 'backlog')
            unknown = await host.submit(key='other')
            self.assert_verdict(unknown, CallerVerdict.KEY_UNKNOWN)

        self.run_full(scenario)

    def test_without_the_setting_every_job_is_written(self):
        """Guards against refusals where the settings do not call for them."""

        async def scenario(host):
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)

        self.run_full(scenario, enabled=False)

    def test_repeated_call_is_answered_from_what_is_stored(self):
        """Guards against a refusal of a job that another host has accepted."""

        async def scenario(host):
            host.store.put(job_key('a'), b'{}')
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)

        self.run_full(scenario)

    def test_job_whose_outcome_is_unknown_is_never_refused(self):
        """Guards against a refusal of a job that a write without answer still stores.

        The write is carried out seconds later, so that a read does not show it.
        """

        async def scenario(host):
            host.publish()
            await asyncio.sleep(0.3)
            host.store.lost_share = host.store.late_share = 1.0
            reply = await host.submit(deadline_ms=500)
            self.assert_verdict(reply, CallerVerdict.UNKNOWN)
            host.store.lost_share = 0.0
            host.publish(desk=FULL)
            await asyncio.sleep(0.3)
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)
            second = await host.submit('b')
            self.assert_verdict(second, CallerVerdict.NOT_ACCEPTED)

        self.run_full(scenario)

    def test_a_job_that_cannot_be_kept_is_refused_at_once(self):
        """Guards against a job that is larger than a value of the store."""

        async def scenario(host):
            host.handler.settings = replace(host.handler.settings, max_value_bytes=200)
            began_ms = now_ms()
            reply = await host.submit()
            self.assert_verdict(reply, CallerVerdict.MALFORMED)
            self.assertIn('at most 200 are kept', reply.reason)
            # A store that takes less than the settings say.
            host.handler.settings = replace(host.handler.settings, max_value_bytes=9999)
            host.store.max_value_bytes = 200
            reply = await host.submit()
            self.assert_verdict(reply, CallerVerdict.MALFORMED)
            self.assertLess(now_ms() - began_ms, 200)

        self.run_full(scenario, enabled=False)

    def test_the_state_of_a_job_is_read_from_all_pages(self):
        """Guards against a job shown as queued whose record is on the next page."""

        async def scenario(host):
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)
            record = JobRecord(phase=JobPhase.DONE)
            host.store.put(record_key('a'), msgspec.json.encode(record))
            with mock.patch('emulator.store.MAX_PAGE_ITEMS', 1):
                reply = await host.handler.state('desk', 'k', 'a', 3000)
            self.assertIs(reply.phase, JobPhase.DONE)

        self.run_full(scenario, enabled=False)

    def test_without_the_store_no_refusal_rests_on_the_forecast(self):
        """Guards against a refusal that no read has confirmed."""

        async def scenario(host):
            host.store.down = True
            reply = await host.submit(deadline_ms=500)
            self.assert_verdict(reply, CallerVerdict.NOT_ACCEPTED)
            self.assertNotIn('cause', host.events[-1][1])

        self.run_full(scenario)

    def test_forecast_grows_old_on_a_host_that_is_cut_off(self):
        """Guards against refusals by what a host knew before it was cut off."""

        async def scenario(host):
            host.cut[0] = True
            await asyncio.sleep(MAX_FORECAST_AGE_MS / 1000)
            host.cut[0] = False
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)

        self.run_full(scenario)

    def test_age_of_a_forecast_is_never_underestimated(self):
        """Guards against an old forecast that looks new, since it arrived just now."""

        async def scenario(host):
            host.cut[0] = True
            await asyncio.sleep(1)
            host.publish(desk=FULL)
            published_ms = now_ms()
            await asyncio.sleep(0.7)
            host.cut[0] = False
            await asyncio.sleep(1)
            self.assertGreater(host.view.waiting_written_after_ms, 0)
            self.assertLessEqual(host.view.waiting_written_after_ms, published_ms)
            # Nothing is known of the age of what a full read contains.
            host.store.forget_history()
            host.publish(desk=FULL)
            host.store.forget_history()
            await asyncio.sleep(1)
            self.assertEqual(host.view.waiting_written_after_ms, 0)
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)

        self.run_full(scenario)

    def test_new_leader_without_backlog_ends_the_refusals(self):
        """Guards against refusals by the forecast of a leader that has ended."""

        async def scenario(host):
            self.assert_verdict(await host.submit(), CallerVerdict.NOT_ACCEPTED)
            host.publish()
            await asyncio.sleep(0.3)
            self.assert_verdict(await host.submit(), CallerVerdict.ACCEPTED)

        self.run_full(scenario)


if __name__ == '__main__':
    unittest.main()
