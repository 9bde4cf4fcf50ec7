"""Tests of estimates of interference, and of placement that follows them.

The number of observations that each test makes is stated in it.
"""

import math
import random
import unittest
from dataclasses import dataclass, field

from dandelionknot.events import Event
from dandelionknot.jobs import _interference, _placement
from dandelionknot.jobs._generated import (
    HoldReport,
    Resources,
    RunningTask,
    StepSpec,
    StopTask,
)
from dandelionknot.jobs._interference import Interference, fit
from tests.job_test_bed import FakeBackend, JobTestBed

# Spread of the logarithm of a reading, and the share of the objective without others.
NOISE = 0.15
CALM_SHARE = 0.3
SECOND_MS = 1000
STEP_CPU_MILLICORES = 8000


def step(image='', count=1, **fields) -> StepSpec:
    """Returns a step whose tasks take a quarter of a host."""
    needed = Resources(cpu_millicores=STEP_CPU_MILLICORES, memory_mb=1000)
    return StepSpec(task_count=count, resources=needed, image=image, **fields)


class Readings:
    """Random readings of an image on some hosts, one per second and host."""

    def __init__(self, seed: int, factor_by_neighbour: dict[str, float]):
        self.draw = random.Random(seed)
        self.factor_by_neighbour = factor_by_neighbour
        self.interference = Interference()
        self.second = 0
        # Changes of verdicts: neighbour and whether it is proven now.
        self.changes: list[tuple[str, bool]] = []

    def observe(self, beside_by_host: dict[str, set[str]], host_factors=None) -> None:
        """Observes one second, then evaluates the image."""
        now_ms = self.second * SECOND_MS
        for host_id, beside in beside_by_host.items():
            share = CALM_SHARE * math.exp(self.draw.gauss(0, NOISE))
            share *= (host_factors or {}).get(host_id, 1.0)
            for name in beside:
                share *= self.factor_by_neighbour.get(name, 1.0)
            self.interference.observe(
                'shop', host_id, frozenset(beside), share, 1.0, now_ms
            )
        self.second += 1
        for change in self.interference.evaluate('shop', now_ms):
            self.changes.append((change.neighbour, change.is_proven))


class EstimateTest(unittest.TestCase):
    def test_a_pair_on_one_host_is_found_within_80_observations(self):
        """Guards against a neighbour that slows another twofold and is not found.

        It is there for 10 s and away for 10 s: 40 observations with, 40 without.
        """
        for seed in range(10):
            with self.subTest(seed=seed):
                readings = Readings(seed, {'batch': 2.0})
                for second in range(80):
                    readings.observe({'h1': {'batch'} if second % 20 < 10 else set()})
                self.assertIn(('batch', True), readings.changes)

    def test_a_pair_on_eight_hosts_is_found_within_80_observations(self):
        """Guards against pairs that never run apart on one host and are not found."""
        beside = {f'h{i}': {'batch'} if i < 4 else set() for i in range(8)}
        for seed in range(10):
            with self.subTest(seed=seed):
                readings = Readings(seed, {'batch': 2.5})
                for _ in range(10):
                    readings.observe(beside)
                self.assertEqual(readings.changes, [('batch', True)])

    def test_an_innocent_neighbour_on_slow_hosts_is_not_blamed(self):
        """Guards against a slow host that is mistaken for interference.

        480 observations, also where the neighbour is only seen on slow hosts.
        """
        cases = {
            'comes and goes': lambda second: {'batch'} if second % 20 < 10 else set(),
            'stays': lambda second: {'batch'},
        }
        for name, beside in cases.items():
            for slow in ({'h0': 2.0}, {'h0': 2.0, 'h1': 2.0}):
                with self.subTest(name, slow=len(slow)):
                    readings = Readings(3, {})
                    for second in range(120):
                        beside_by_host: dict[str, set[str]] = {
                            f'h{i}': set() for i in range(4)
                        }
                        beside_by_host |= dict.fromkeys(slow, beside(second))
                        readings.observe(beside_by_host, slow)
                    self.assertEqual(readings.changes, [])
                    if len(slow) == 1 and name == 'comes and goes':
                        sums = readings.interference.images['shop']
                        effects = fit('shop', sums, 120 * SECOND_MS).effect_by_host
                        self.assertEqual(max(effects, key=effects.get), 'h0')

    def test_the_companion_of_a_guilty_neighbour_is_not_blamed(self):
        """Guards against a verdict on whoever often runs beside the guilty one."""
        for seed in range(10):
            with self.subTest(seed=seed):
                readings = Readings(seed, {'batch': 2.0})
                for second in range(80):
                    batch = second % 20 < 10
                    companion = batch if second % 4 else not batch
                    beside = {'batch'} if batch else set()
                    beside |= {'companion'} if companion else set()
                    readings.observe({'h1': beside, 'h2': set()})
                self.assertEqual(readings.changes, [('batch', True)])

    def test_a_verdict_is_withdrawn_within_100_observations(self):
        """Guards against estimates that hold on to an effect that has ended."""
        readings = Readings(1, {'batch': 2.0})
        for reverses in (False, True):
            for second in range(100):
                beside = {'batch'} if second % 20 < 10 else set()
                readings.observe({'h1': beside})
            if not reverses:
                self.assertEqual(readings.changes, [('batch', True)])
                readings.factor_by_neighbour = {'other': 2.0}
        self.assertEqual(readings.changes, [('batch', True), ('batch', False)])

    def test_a_verdict_outlives_its_observations_but_not_for_good(self):
        """Guards against pairs that are placed together again to learn once more."""
        readings = Readings(1, {'batch': 2.0})
        for second in range(80):
            readings.observe({'h1': {'batch'} if second % 20 < 10 else set()})
        for _ in range(200):
            readings.observe({'h1': set()})
        effects = readings.interference.effect_by_pair
        self.assertGreater(effects['shop', 'batch'], math.log(1.5))
        readings.second += _interference.VERDICT_KEPT_MS // SECOND_MS
        readings.observe({'h1': set()})
        self.assertEqual(effects, {})

    def test_the_state_is_bounded(self):
        """Guards against memory that grows with the images that callers name."""
        interference = Interference()
        for number in range(300):
            beside = frozenset(f'n{number + i}' for i in range(3))
            for image in ('shop', f'v{number}'):
                interference.observe(
                    image, f'h{number}', beside, 1.0, 1.0, number * 500
                )
        self.assertEqual(len(interference.images), _interference.MAX_IMAGES)
        for sums in interference.images.values():
            self.assertLessEqual(len(sums.hosts_by_id), _interference.MAX_HOSTS)
            columns = len(sums.total_by_neighbour)
            self.assertLessEqual(columns, _interference.MAX_NEIGHBOURS)
            self.assertLessEqual(len(sums.weight_by_pair), columns**2)


@dataclass(slots=True)
class ServingBackend(FakeBackend):
    """A backend server whose serving tasks are slowed by `batch` while it runs."""

    speed_by_image: dict[str, float] = field(default_factory=dict)

    def hold_report(self) -> HoldReport:
        """Returns a report with the readings of serving tasks."""
        report = FakeBackend.hold_report(self)
        is_beside = any(name.startswith('batch') for name in self.runs_by_name)
        rows = [
            RunningTask(
                task_name=row.task_name,
                run=row.run,
                percent=row.percent,
                reading=(60.0 if is_beside else 20.0)
                if row.task_name.startswith('shop')
                else 0.0,
            )
            for row in report.running
        ]
        return HoldReport(
            clock_ms=1, born_ms=self.born_ms, running=rows, ended=report.ended
        )


SHOP = {'long_running': True, 'latency_objective_ms': 100}
BATCH = {'uses_idle_capacity': True, 'long_running': True}


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.test_bed = JobTestBed(*(ServingBackend(f'b{i}') for i in range(4)))
        # Events about interference, as pairs of the event and its fields.
        self.noted: list[tuple[Event, dict]] = []

    def run_for(self, seconds: int) -> list:
        """Advances the test bed with a report per host and second."""
        commands = []
        for _ in range(seconds):
            commands += self.test_bed.step(SECOND_MS)
            for entry in self.test_bed.scheduler.take_log_entries():
                if Event.INTERFERENCE_FOUND <= entry.event:
                    if entry.event <= Event.NEIGHBOUR_NOT_AVOIDED:
                        self.noted.append((entry.event, entry.fields))
        return commands

    def set_effect(self, effect: float) -> None:
        """Sets an effect, which further observations would change."""
        interference = self.test_bed.scheduler.interference
        interference.enabled = False
        interference.effect_by_pair['shop', 'batch'] = effect

    def places(self, job_id: str) -> list[str]:
        return sorted(
            hosts[0]
            for name, hosts in self.test_bed.running().items()
            if name.startswith(job_id + '.')
        )

    def test_readings_in_reports_prove_a_pair_and_no_running_task_is_moved(self):
        """Guards against verdicts that are not learned from reports, or stop tasks."""
        self.test_bed.submit(step('shop', 4, **SHOP), job_id='shop')
        self.run_for(2)
        self.test_bed.submit(step('batch', 2, **BATCH), job_id='batch')
        commands = self.run_for(30)
        self.assertEqual([event for event, _ in self.noted], [Event.INTERFERENCE_FOUND])
        self.assertAlmostEqual(self.noted[0][1]['slow_down'], 3.0, delta=0.3)
        self.assertFalse([c for c in commands if isinstance(c, StopTask)])

    def test_a_window_is_observed_once(self):
        """Guards against one reading that counts as often as it is reported."""
        self.test_bed.submit(step('shop', **SHOP), job_id='shop')
        for _ in range(100):
            self.test_bed.step(20)
        images = self.test_bed.scheduler.interference.images
        self.assertLessEqual(images['shop'].weight, 4.5)

    def test_a_proven_pair_is_kept_apart_where_there_is_room(self):
        """Guards against finite tasks beside a neighbour that is known to slow them."""
        self.test_bed.submit(step('shop', 2, **SHOP), job_id='shop')
        self.run_for(2)
        for effect, expected in ((0.0, False), (math.log(2), True)):
            self.set_effect(effect)
            job_id = f'batch{effect:.0f}'
            self.test_bed.submit(step('batch'), job_id=job_id)
            self.run_for(1)
            is_apart = self.places(job_id)[0] not in self.places('shop')
            self.assertEqual(is_apart, expected)
        self.assertEqual(self.noted[-1][0], Event.NEIGHBOUR_AVOIDED)
        self.test_bed.submit(step('batch', 3, gang=True), job_id='gang')
        self.run_for(1)
        self.assertFalse(set(self.places('gang')) & set(self.places('shop')))

    def test_the_fixed_penalty_stays_until_the_effect_on_the_serving_task_is_known(
        self,
    ):
        """Guards against a harmless effect one way that hides an unknown other one."""
        self.test_bed.submit(step('shop', **SHOP), job_id='shop')
        self.run_for(2)
        scheduler = self.test_bed.scheduler
        [serving] = self.places('shop')
        filling = self.test_bed.submit(step('batch', **BATCH), job_id='batch')
        [state] = scheduler.jobs_by_id[filling.job_id].steps_by_occurrence[0]
        backend = scheduler.backends_by_id[serving]
        costs = [
            _placement.cost_of(state, backend, effects)
            for effects in (
                {},
                {('batch', 'shop'): 0.0},
                {('shop', 'batch'): 0.0},
                {('shop', 'batch'): math.log(1.5)},
            )
        ]
        bare = costs[2]
        self.assertEqual(
            [round(cost - bare, 6) for cost in costs],
            [_placement.INTERFERENCE_PENALTY] * 2
            + [0.0, _placement.INTERFERENCE_PENALTY],
        )

    def test_a_full_fleet_places_as_before(self):
        """Guards against tasks that wait for a host without the neighbour."""
        for effect in (0.0, math.log(4)):
            with self.subTest(effect=effect):
                self.setUp()
                self.test_bed.submit(step('shop', 4, **SHOP), job_id='shop')
                self.run_for(2)
                self.set_effect(effect)
                self.test_bed.submit(step('batch', 12), job_id='batch')
                self.run_for(1)
                self.assertEqual(len(self.places('batch')), 12)
                self.assertEqual(
                    Event.NEIGHBOUR_NOT_AVOIDED in dict(self.noted), bool(effect)
                )

    def test_a_new_leader_learns_again(self):
        """Guards against a verdict that is lost for good with the leader.

        The two share two of four hosts for 30 s: 60 observations each way.
        """
        self.test_bed.submit(step('shop', 4, **SHOP), job_id='shop')
        self.test_bed.submit(step('batch', 2, **BATCH), job_id='batch')
        for _ in range(2):
            self.noted.clear()
            self.run_for(30)
            self.assertEqual(self.noted[0][0], Event.INTERFERENCE_FOUND)
            scheduler = self.test_bed.new_leader()
            self.assertEqual(scheduler.interference.effect_by_pair, {})

    def test_run_times_prove_a_pair_unless_switched_off(self):
        """Guards against finite tasks of which no run time is observed."""
        for enabled in (True, False):
            self.setUp()
            interference = self.test_bed.scheduler.interference
            interference.enabled = enabled
            self.test_bed.submit(step('batch', 1, **BATCH), job_id='batch')
            self.run_for(2)
            for number in range(30):
                job_id = f'run{number}'
                self.test_bed.submit(
                    step('run', estimated_ms=1000, preferred_rack='r1-1'),
                    job_id=job_id,
                )
                self.run_for(1)
                host_id = self.places(job_id)[0]
                self.run_for(1 + (host_id in self.places('batch')))
                self.test_bed.finish_after(0, spared=('batch.0.0.0',))
                self.run_for(1)
            self.assertEqual('run' in interference.images, enabled)


if __name__ == '__main__':
    unittest.main()
