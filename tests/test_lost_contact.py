"""Backend servers that are silent for a while, and processes that restart."""

import random
import unittest

from dandelionknot.jobs._generated import OrderOutcome, Resources, StepSpec
from dandelionknot.jobs._leases import max_former_lease_ms, task_lease_ms
from dandelionknot.manager._view import View
from dandelionknot.manager._watch import Watcher
from dandelionknot.platform import _items
from emulator import virtual_time
from emulator.store import MemoryStore, StoreClient
from tests.job_test_bed import HOLD_MAX_MS, FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
ZONE_SIZE = 60
LEASE_MS = task_lease_ms(HOLD_MAX_MS)


class SilentHostTest(unittest.TestCase):
    def setUp(self):
        """Starts a task on each host of two zones."""
        backends = [
            FakeBackend(f'{zone}{n}', zone=zone, room=SMALL)
            for zone in ('a', 'b')
            for n in range(ZONE_SIZE)
        ]
        self.test_bed = JobTestBed(*backends)
        for number in range(2 * ZONE_SIZE):
            self.test_bed.submit(
                StepSpec(task_count=1, resources=SMALL, estimated_ms=60_000),
                job_id=f'j{number}',
            )
        for _ in range(4):
            self.test_bed.step(50)
        self.before = self.test_bed.running()
        self.assertEqual(len(self.before), 2 * ZONE_SIZE)
        self.silent = [b for b in backends if b.zone == 'a']

    def fall_silent(self):
        """Makes the hosts of a zone unresponsive, as their links report it."""
        for backend in self.silent:
            backend.unresponsive = True
            state = self.test_bed.scheduler.backends_by_id[backend.backend_id]
            self.test_bed.scheduler.contact_lost(
                state, OrderOutcome.NO_ANSWER, self.test_bed.now_ms + LEASE_MS
            )

    def steps(self, duration_ms):
        for _ in range(duration_ms // 50):
            self.test_bed.step(50)

    def started(self):
        return sum(len(b.started) for b in self.test_bed.backends.values())

    def test_a_zone_that_is_silent_for_less_than_a_lease_keeps_its_tasks(self):
        """Guards against a second run, or the loss, of tasks that run on."""
        self.fall_silent()
        self.steps(LEASE_MS - 200)
        for backend in self.silent:
            backend.unresponsive = False
        self.steps(2000)
        self.assertEqual(self.test_bed.running(), self.before)
        self.assertEqual(self.started(), 2 * ZONE_SIZE)

    def test_tasks_run_elsewhere_only_after_their_lease_has_lapsed(self):
        """Guards against two runs of a task, and against one that is given up."""
        room = Resources(cpu_millicores=64_000, memory_mb=64_000)
        spare = FakeBackend('c0', zone='c', room=room)
        self.test_bed.backends['c0'] = spare
        self.test_bed.scheduler.set_backend(spare.report(), self.test_bed.now_ms)
        self.fall_silent()
        self.steps(LEASE_MS - 200)
        self.assertEqual(spare.started, [])
        self.steps(1000)
        self.assertEqual(len(spare.started), ZONE_SIZE)

    def test_lapsed_registry_entries_end_nothing(self):
        """Guards against tasks that are given up since their host reports slowly.

        Entries lapse when heartbeats are late, or while the store is away.
        """
        for backend in self.silent:
            self.test_bed.scheduler.remove_backend(backend.backend_id)
        self.steps(4000)
        for backend in self.silent:
            report = backend.report()
            self.test_bed.scheduler.set_backend(report, self.test_bed.now_ms)
        self.steps(1000)
        self.assertEqual(self.test_bed.running(), self.before)
        self.assertEqual(self.started(), 2 * ZONE_SIZE)

    def test_a_new_leader_waits_for_a_silent_zone(self):
        """Guards against a change of leader that starts the tasks of a zone again."""
        self.fall_silent()
        self.steps(500)
        scheduler = self.test_bed.new_leader()
        self.steps(max_former_lease_ms(HOLD_MAX_MS) - 500)
        self.assertEqual(self.started(), 2 * ZONE_SIZE)
        placed = sum(len(b.tasks_by_name) for b in scheduler.backends_by_id.values())
        self.assertEqual(placed, 2 * ZONE_SIZE)


class RestartTest(unittest.TestCase):
    SERVER = (
        b'{"service":"s","addr":"1.2.3.4:5","zone":"z","state":"ready","born":1,'
        b'"room":{"cpu":1000}}'
    )
    CONFIG = (
        b'{"version":%d,"routes":[],"tenants":[{"name":"sofia","keys":["%b"]}],'
        b'"services":[{"name":"off","standby":%b}]}'
    )

    def setUp(self):
        """Stores a configuration and two backend servers; a process reads them."""
        self.store = MemoryStore(random.Random(1))
        self.store.put('op/config', self.CONFIG % (1, b'old', b'true'))
        for name in ('1', '2'):
            self.store.put(f'servers/{name}', self.SERVER)
        self.view = self.new_view()
        self.watcher = Watcher(StoreClient(self.store, [False]), self.view)

    def new_view(self):
        return View(decode_fact=lambda item: _items.decode_fact(item).unwrap_or(None))

    def change(self):
        """Withdraws a key and a server, and excludes a zone."""
        self.store.put('op/config', self.CONFIG % (2, b'new', b'true'))
        self.store.delete('servers/1')
        self.store.put('op/evacuate/z', b'{}')

    def assert_current(self, view):
        """Checks that a view shows none of the withdrawn things."""
        self.assertEqual(view.configuration.client_accounts[0].keys, ['new'])
        self.assertTrue(view.configuration.pools[0].standby)
        self.assertEqual(list(view.backends_by_id), ['2'])
        self.assertEqual(view.excluded_zones, {'z'})

    def test_a_lost_history_brings_nothing_back(self):
        """Guards against departed servers and withdrawn keys after a full read."""

        async def run():
            await self.watcher._load()
            self.change()
            self.store.forget_history()
            await self.watcher._load()

        virtual_time.run(run())
        self.assert_current(self.view)

    def test_a_restarted_process_uses_nothing_that_was_withdrawn(self):
        """Guards against a process that begins with an older state of the store."""

        async def run():
            await self.watcher._load()
            self.change()
            view = self.new_view()
            await Watcher(StoreClient(self.store, [False]), view)._load()
            return view

        self.assert_current(virtual_time.run(run()))

    def test_an_older_configuration_does_not_return(self):
        """Guards against a withdrawn key that an overtaken answer brings back."""

        async def run():
            await self.watcher._load()
            old = self.store.items_by_key['op/config']
            self.change()
            await self.watcher._load()
            self.view.apply_configuration(_items.decode_fact(old).unwrap())
            self.view.apply(old)

        virtual_time.run(run())
        self.assert_current(self.view)


if __name__ == '__main__':
    unittest.main()
