"""Tasks whose hosts are cut off while they start: no crash is shown by silence."""

import unittest

from dandelionknot.jobs._generated import Host, HostsListed, Resources, StepSpec
from dandelionknot.jobs._losses import SILENCE_MS
from tests.job_test_bed import LEASE_MS, SERVICE, FakeBackend, JobTestBed

TICK_MS = 50
WORK_MS = 500
SMALL = Resources(cpu_millicores=2000, memory_mb=100)
BUSY = Resources(cpu_millicores=32_000, memory_mb=100)
KINDS = {
    'short': {},
    'speculative': {'speculative': True},
    'gang': {'gang': True},
    'checkpoints': {'checkpoints': True},
    'long-running': {'long_running': True, 'max_unavailable': 1},
}


class CutOffTest(unittest.TestCase):
    """Each test has hosts that are full, and some idle ones that are cut off."""

    def start(self, cut=3, full=15, listed=True):
        self.test_bed = JobTestBed(
            *(FakeBackend(f'b{n:02}') for n in range(cut + full))
        )
        self.listed = listed
        self.test_bed.submit(
            StepSpec(task_count=full, resources=BUSY, long_running=True), job_id='full'
        )
        self.run_for(1000)
        self.idle = [b for b in self.test_bed.backends.values() if not b.runs_by_name]
        self.assertEqual(len(self.idle), cut)
        for backend in self.idle:
            backend.cut_off = True

    def heal(self):
        for backend in self.idle:
            backend.cut_off = False

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)
            for backend in self.test_bed.backends.values():
                backend.clock_ms += TICK_MS
            if self.listed:
                self.list_hosts()
            spared = tuple(
                name
                for backend in self.test_bed.backends.values()
                for name in backend.runs_by_name
                if name.startswith(('full', 'last'))
            )
            self.test_bed.finish_after(WORK_MS, spared)

    def list_hosts(self):
        """Passes a list in which each host is up with its backend server."""
        rows = [
            Host(host_id=f'h-{name}', pool=SERVICE, state='up', backend_id=name)
            for name in self.test_bed.backends
        ]
        listed = HostsListed(hosts=rows, sent_ms=self.test_bed.now_ms)
        self.test_bed.scheduler.hosts_listed(listed)

    def tasks(self, job_id):
        steps = self.test_bed.scheduler.jobs_by_id[job_id].steps_by_occurrence[0]
        return [task for step in steps for task in step.tasks]

    def test_a_cut_makes_no_task_guilty(self):
        """Guards against a job that is shown as failed for crashes that did not happen.

        Each start goes to a host that is cut off, one after the other.
        """
        for kind, fields in KINDS.items():
            for cut_ms, listed in ((5500, True), (5500, False), (25_000, True)):
                for leader_at_ms in (None, 2000, cut_ms):
                    with self.subTest(
                        kind=kind, cut_ms=cut_ms, listed=listed, leader=leader_at_ms
                    ):
                        self.start(listed=listed)
                        job_id = 'last' if kind == 'long-running' else 'j1'
                        step = StepSpec(
                            task_count=1, resources=SMALL, estimated_ms=500, **fields
                        )
                        self.test_bed.submit(step, job_id=job_id)
                        if leader_at_ms is not None:
                            self.run_for(leader_at_ms)
                            self.test_bed.new_leader()
                        self.run_for(cut_ms - (leader_at_ms or 0))
                        self.heal()
                        self.run_for(12_000)
                        wanted = 'running' if job_id == 'last' else 'done'
                        self.assertEqual(self.test_bed.phase(job_id), wanted)
                        if job_id == 'last':
                            self.assertIn('last.0.0.0', self.test_bed.running())

    def test_a_host_that_answers_again_clears_its_tasks(self):
        """Guards against tasks that stay suspected after the end of a cut."""
        self.start(cut=2)
        step = StepSpec(
            task_count=4, resources=SMALL, estimated_ms=500, speculative=True
        )
        self.test_bed.submit(step)
        self.run_for(2000)
        self.assertTrue(self.test_bed.scheduler.suspects_by_name)
        self.heal()
        self.run_for(1000)
        self.assertFalse(self.test_bed.scheduler.suspects_by_name)
        self.assertFalse(self.test_bed.scheduler.unproven_losses)
        for task in self.tasks('j1'):
            self.assertEqual(task.crashed_runs, [])

    def test_a_crash_is_proven_by_a_later_lifetime(self):
        """Guards against a deadly task that is started for ever, as nothing counts."""
        for leader_at_ms in (None, 500, 4000):
            with self.subTest(leader_at_ms=leader_at_ms):
                self.start(cut=4)
                self.heal()
                self.test_bed.crash_after_ms_by_name['j1.0.0.0'] = 0
                step = StepSpec(task_count=1, resources=SMALL, speculative=True)
                self.test_bed.submit(step)
                if leader_at_ms is not None:
                    self.run_for(leader_at_ms)
                    self.test_bed.new_leader()
                self.run_for(30_000)
                self.assertEqual(self.test_bed.phase(), 'failed')
                self.assertLessEqual(len(self.test_bed.crashes), 5)

    def test_a_lifetime_that_ended_while_nobody_led_is_proven(self):
        """Guards against a deadly task that is started for ever, as leaders change.

        A new leader finds the later lifetime in the registry and sees no change.
        """
        for leaders in (1, 2):
            with self.subTest(leaders=leaders):
                self.start(cut=1, full=2)
                self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                self.run_for(LEASE_MS + 500)
                [task] = self.tasks('j1')
                self.assertEqual(len(task.unproven_runs), 1)
                [lost] = self.idle
                lost.restart()
                for _ in range(leaders):
                    self.test_bed.new_leader()
                self.run_for(100)
                [task] = self.tasks('j1')
                self.assertEqual(len(task.crashed_runs), 1)
                self.assertEqual(task.unproven_runs, [])

    def test_silence_is_a_crash_only_without_entry_and_without_list(self):
        """Guards against hosts that are lost one after the other without any proof."""
        for listed, registered, is_proven in (
            (True, False, False),
            (False, True, False),
            (False, False, True),
        ):
            with self.subTest(listed=listed, registered=registered):
                self.start(cut=1, full=2, listed=listed)
                self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                self.run_for(LEASE_MS + 500)
                [task] = self.tasks('j1')
                self.assertEqual(len(task.unproven_runs), 1)
                if not registered:
                    [lost] = self.idle
                    self.test_bed.scheduler.remove_backend(lost.backend_id)
                self.run_for(SILENCE_MS)
                self.assertEqual(not task.unproven_runs, is_proven)


if __name__ == '__main__':
    unittest.main()
