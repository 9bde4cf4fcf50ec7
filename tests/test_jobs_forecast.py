"""Tests of the forecast of waits, and of what entry hosts refuse by it, in surges."""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs import _forecast
from dandelionknot.jobs._forecast import PendingJob, PoolRoom, forecast_queue
from dandelionknot.jobs._generated import (
    ExpectedWait,
    JobSpec,
    Queue,
    QueueForecast,
    Resources,
    StepSpec,
    WaitingJobs,
)
from dandelionknot.jobs._load_shedding import (
    MAX_CLOCK_DIFFERENCE_MS,
    MAX_FORECAST_AGE_MS,
    MAX_REFUSED_IDS,
    MAX_RETRY_MS,
    Attempts,
    Cause,
    LoadShedding,
)
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

QUEUE = Queue(
    name='desk',
    host='h',
    path_prefix='/q/',
    service=SERVICE,
    stretch=1.6,
    objective_ms=600,
    max_attempts=3,
)
NOW_MS = 50_000
STEP = StepSpec(
    task_count=8, resources=Resources(cpu_millicores=8000), estimated_ms=1000
)
SPEC = JobSpec(payload='p', steps=[STEP])
# A job of 64,000 millicores for 1 s, and a pool that does one such job at a time.
ROOM = PoolRoom(present=64_000, later=64_000, free=0)


def pending(count, **changes):
    values = {
        'queue': 'desk',
        'priority': 0,
        'account': 'sofia',
        'work': 64e6,
        'due_ms': NOW_MS + 2200,
        'in_time_until_ms': NOW_MS + 1200,
        'useful_until_ms': NOW_MS + 5600,
    }
    return [PendingJob(**(values | changes)) for _ in range(count)]


def wait_ms(jobs, room=ROOM, limits=None):
    forecast = forecast_queue(QUEUE, jobs, room, limits or {}, NOW_MS)
    return forecast.waits[-1].wait_ms if forecast else 0


class ForecastTest(unittest.TestCase):
    def test_wait_is_the_work_ahead_divided_by_the_room(self):
        """Guards against a forecast that is off by the size or the growth of a pool."""
        larger = PoolRoom(present=64_000, later=128_000, free=0)
        self.assertEqual(wait_ms(pending(6)), 6000)
        self.assertEqual(wait_ms(pending(6), larger), 4000)
        # One of them starts at once.
        half_free = PoolRoom(present=64_000, later=64_000, free=64_000)
        self.assertEqual(wait_ms(pending(6), half_free), 5000)

    def test_only_work_that_goes_before_a_new_job_counts(self):
        """Guards against refusals for the sake of jobs that have to give way."""
        others = [
            *pending(9, priority=1),
            *pending(9, due_ms=NOW_MS + 9000, queue='other'),
            *pending(9, due_ms=NOW_MS - 200, in_time_until_ms=NOW_MS - 1200),
        ]
        self.assertEqual(wait_ms([*pending(1), *others]), 1000)
        self.assertEqual(wait_ms([*pending(1), *pending(6, priority=-1)]), 7000)

    def test_jobs_that_lose_their_value_before_their_turn_do_not_count(self):
        """Guards against refusals for a backlog that nobody will work off."""
        useless = pending(
            30,
            due_ms=NOW_MS - 200,
            in_time_until_ms=NOW_MS - 1200,
            useful_until_ms=NOW_MS + 700,
        )
        self.assertEqual(wait_ms([*pending(3), *useless]), 3000 + 2000)

    def test_account_at_its_limit_holds_up_no_other(self):
        """Guards against refusals to all callers because of one account's backlog."""
        waits = wait_ms(pending(40), limits={'sofia': 6400})
        self.assertLessEqual(waits, 1000)

    def test_queue_without_objective_or_without_room_has_no_forecast(self):
        """Guards against refusals where the configuration does not call for them."""
        plain = Queue(name='desk', host='h', path_prefix='/q/', service=SERVICE)
        none = PoolRoom(present=0, later=0, free=0)
        self.assertIsNone(forecast_queue(plain, pending(9), ROOM, {}, NOW_MS))
        self.assertIsNone(forecast_queue(QUEUE, pending(9), none, {}, NOW_MS))


class PublicationTest(unittest.TestCase):
    def bed(self, enabled=True, jobs=12):
        bed = JobTestBed(
            FakeBackend('b1', room=Resources(cpu_millicores=64_000, memory_mb=65_536)),
            queue=QUEUE,
        )
        bed.scheduler.forecasts.enabled = enabled
        bed.step()
        for number in range(jobs):
            bed.submit(STEP, job_id=f'j{number}')
        return bed

    def publications(self, bed, rounds):
        """Returns the times at which something new was published, and what."""
        found, last = [], bed.scheduler.waiting
        for _ in range(rounds):
            bed.step()
            if bed.scheduler.waiting is not last:
                last = bed.scheduler.waiting
                found.append((bed.now_ms, last))
        return found

    def test_forecasts_are_written_while_there_is_a_backlog_and_once_after(self):
        """Guards against writes beyond the budget, and a forecast that stays."""
        bed = self.bed()
        found = self.publications(bed, 100)
        times = [at_ms for at_ms, _ in found]
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), _forecast.FORECAST_INTERVAL_MS)
        self.assertTrue(found[-1][1].forecasts_by_queue)
        # Jobs that have become late go after new ones. As many wait as before.
        found = self.publications(bed, 400)
        ended = [not publication.forecasts_by_queue for _, publication in found]
        self.assertEqual(ended, [False] * (len(ended) - 1) + [True])
        events = [entry.event for entry in bed.scheduler.take_log_entries()]
        self.assertEqual(events.count(Event.BACKLOG_BEGAN), 1)
        self.assertEqual(events.count(Event.BACKLOG_ENDED), 1)

    def test_without_backlog_or_setting_nothing_more_is_written(self):
        """Guards against a rise of the writes of deployments that do not use it."""
        for bed in (self.bed(enabled=False), self.bed(jobs=1)):
            found = self.publications(bed, 300)
            self.assertLessEqual(len(found), 2)
            self.assertFalse(any(p.forecasts_by_queue for _, p in found))

    def test_new_leader_forecasts_from_the_stored_records(self):
        """Guards against a new leader without a backlog, or with a former one."""
        bed = self.bed()
        self.publications(bed, 50)
        former = bed.scheduler.forecasts.by_queue['desk'].waits[-1].wait_ms
        bed.new_leader().forecasts.enabled = True
        self.publications(bed, 20)
        waits = bed.scheduler.forecasts.by_queue['desk'].waits
        self.assertAlmostEqual(waits[-1].wait_ms, former, delta=2000)
        bed.jobs.clear()
        bed.new_leader().forecasts.enabled = True
        found = self.publications(bed, 100)
        self.assertFalse(found[0][1].forecasts_by_queue)

    def test_work_that_no_host_can_take_is_no_backlog(self):
        """Guards against refusals because of jobs that wait for a larger host."""
        bed = self.bed(jobs=0)
        huge = StepSpec(
            task_count=9, resources=Resources(cpu_millicores=65_000), estimated_ms=9000
        )
        for number in range(20):
            bed.submit(huge, job_id=f'h{number}')
        self.publications(bed, 60)
        self.assertEqual(bed.scheduler.forecasts.by_queue, {})


class LoadSheddingTest(unittest.TestCase):
    def setUp(self):
        self.draws = iter([])
        self.shedding = LoadShedding(lambda: next(self.draws, 0.0))

    def publication(self, wait, shortest=None, **changes):
        waits = [
            ExpectedWait(
                span_ms=2000,
                wait_ms=wait,
                shortest_wait_ms=wait if shortest is None else shortest,
            )
        ]
        forecast = QueueForecast(
            waits=waits, millicores=64_000, demand_millicores=changes.pop('demand', 0)
        )
        return WaitingJobs(
            forecasts_by_queue={'desk': forecast}, forecast_unix_ms=NOW_MS, **changes
        )

    def decide(self, publication, job_id='a', spec=SPEC, age=100, queue=QUEUE, **times):
        now, unix = times.get('now', NOW_MS), times.get('unix', NOW_MS)
        return self.shedding.decide(job_id, queue, spec, publication, age, now, unix)

    def test_job_is_refused_only_if_it_cannot_end_in_useful_time(self):
        """Guards against refusals of jobs that would have ended in useful time.

        The job is due in 2.2 s and useful for 6.6 s, of which it runs 1 s. It may run
        longer than expected by half, and is useful for 7.5 s then.
        """
        for wait, is_refused in ((5600, False), (7500, False), (7600, True)):
            refusal = self.decide(self.publication(wait))
            self.assertEqual(refusal is not None, is_refused, wait)
        self.assertIs(refusal.cause, Cause.BACKLOG)

    def test_wrong_forecast_refuses_no_job_that_ends_in_useful_time(self):
        """Guards against forecasts that are too long, and such that are too short."""
        too_long = self.publication(9000, shortest=7200)
        self.assertIsNone(self.decide(too_long))
        # A forecast that is too short accepts; the leader ranks the job.
        self.assertIsNone(self.decide(self.publication(900)))
        self.assertIsNone(self.decide(WaitingJobs()))

    def test_exempt_jobs_are_never_refused(self):
        """Guards against refusals of jobs to which the objective does not apply."""
        full = self.publication(60_000)
        serving = JobSpec(
            payload='p',
            steps=[StepSpec(task_count=1, resources=Resources(), long_running=True)],
        )
        timed = JobSpec(payload='p', steps=[STEP], repeats=2, interval_ms=1000)
        self.assertIsNone(self.decide(full, spec=serving))
        self.assertIsNone(self.decide(full, spec=timed))
        plain = Queue(name='desk', host='h', path_prefix='/q/', service=SERVICE)
        self.assertIsNone(self.decide(full, queue=plain))

    def test_old_forecast_decides_nothing_and_skewed_clocks_change_nothing(self):
        """Guards against refusals by a host that is cut off or has a wrong clock."""
        full = self.publication(60_000)
        self.assertIsNone(self.decide(full, age=MAX_FORECAST_AGE_MS + 1))
        for skew_ms in (-4000, 4000):
            self.assertIsNotNone(self.decide(full, unix=NOW_MS + skew_ms))
        older = NOW_MS + MAX_FORECAST_AGE_MS + MAX_CLOCK_DIFFERENCE_MS + 1
        self.assertIsNone(self.decide(full, unix=older))

    def test_burst_between_two_publications_is_counted_until_the_next(self):
        """Guards against a burst that one host accepts before it learns of it."""
        publication = self.publication(6000)
        replies = [self.decide(publication, f'{n}') for n in range(4)]
        self.assertEqual([r.cause if r else None for r in replies[:2]], [None, None])
        self.assertIs(replies[-1].cause, Cause.BURST)
        self.shedding.not_stored(QUEUE, SPEC, publication)
        self.assertIsNone(self.decide(publication, 'e'))
        self.assertIsNone(self.decide(self.publication(6000), 'f'))

    def test_returning_caller_is_not_behind_those_who_came_meanwhile(self):
        """Guards against callers that are refused again for the sake of newcomers."""
        self.shedding.refused('first', 2, NOW_MS)
        publication = self.publication(6000)
        while self.decide(publication, 'newcomer') is None:
            pass
        early = self.decide(publication, 'first', now=NOW_MS + 500)
        self.assertIsNotNone(early)
        self.assertIsNone(self.decide(publication, 'first', now=NOW_MS + 1800))
        self.assertNotIn('first', self.shedding.return_at_ms_by_id)

    def test_advised_time_follows_the_backlog_and_is_spread(self):
        """Guards against callers that return too early, or all at once."""
        self.draws = iter([0.0, 0.0, 0.9, 0.9, 0.0, 0.0])
        self.assertEqual(self.decide(self.publication(7600)).retry_after_s, 6)
        self.assertEqual(self.decide(self.publication(7600)).retry_after_s, 10)
        surge = self.publication(7600, demand=640_000)
        self.assertEqual(self.decide(surge).retry_after_s, MAX_RETRY_MS // 1000)

    def test_memory_of_refused_and_unknown_ids_is_bounded(self):
        """Guards against growth of the process in a long surge."""
        attempts = Attempts()
        for number in range(2 * MAX_REFUSED_IDS):
            self.shedding.refused(f'{number}', 1, NOW_MS)
            attempts.begin(f'{number}')
            attempts.end(f'{number}', is_known=False)
        self.assertEqual(len(self.shedding.return_at_ms_by_id), MAX_REFUSED_IDS)
        self.assertEqual(len(attempts.unknown_ids), MAX_REFUSED_IDS)
        self.assertEqual(attempts.open_by_id, {})


if __name__ == '__main__':
    unittest.main()
