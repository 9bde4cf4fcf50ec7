"""Passes what backend servers report to `_interference`, and its verdicts to the log.

Only tasks with an image are observed: tasks of one image behave alike, while those of
one queue differ by a factor of 1.5 in their run times for reasons of their own.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _placement
from dandelionknot.jobs._interference import PairEstimate
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Time over which a backend server computes a reading. Readings of the same window are
# observed once, and those of a window in which the neighbours have changed not at all.
WINDOW_MS = 500
# Pace in percent up to which a task counts as absent, and from which on as present.
ABSENT_PERCENT = 10
PRESENT_PERCENT = 50
# Shortest time between two evaluations. One takes 0.5 ms for an image on 24 hosts with
# 4 neighbours, and up to 6 ms with all sums in use.
EVALUATE_EVERY_MS = 400

# Shortest time between two searches for hosts that a placed task avoids. One looks at
# all hosts, and tells only what is logged.
SEARCH_EVERY_MS = 100


def sample(scheduler: Scheduler, backend: BackendState, now_ms: int) -> None:
    """Observes the readings of the serving tasks of a backend server after a report."""
    if now_ms < backend.sample_due_ms or not scheduler.interference.enabled:
        return
    backend.sample_due_ms = now_ms + WINDOW_MS
    count_by_image: dict[str, int] | None = {}
    victims = []
    for task in backend.tasks_by_name.values():
        spec = task.step.spec
        if not spec.image or count_by_image is None:
            continue
        is_present = _is_present(task)
        if is_present is None:
            count_by_image = None
        elif is_present:
            count_by_image[spec.image] = count_by_image.get(spec.image, 0) + 1
            if spec.latency_objective_ms and task.reading > 0:
                victims.append(task)
    if count_by_image is None or count_by_image != backend.count_by_image:
        backend.count_by_image = count_by_image
        return
    for task in victims:
        spec = task.step.spec
        scheduler.interference.observe(
            spec.image,
            backend.known_host_id,
            _neighbours(count_by_image, spec.image),
            task.reading / spec.latency_objective_ms,
            1 / count_by_image[spec.image],
            now_ms,
        )


def _is_present(task: TaskState) -> bool | None:
    """Whether a task works beside the others; None if that is not known."""
    if task.phase is not TaskPhase.RUNNING or task.unconfirmed or task.stopping:
        return None
    if task.missing_reports:
        return None
    if not task.step.spec.uses_idle_capacity:
        return True
    if not task.pace_known or ABSENT_PERCENT < task.pace_percent < PRESENT_PERCENT:
        return None
    return task.pace_percent >= PRESENT_PERCENT


def _neighbours(count_by_image: dict[str, int], image: str) -> frozenset[str]:
    """Returns the images beside a task, which are its own too if it is not alone."""
    return frozenset(
        name for name, count in count_by_image.items() if name != image or count > 1
    )


def run_measured(
    scheduler: Scheduler, task: TaskState, measured_ms: int, now_ms: int
) -> None:
    """Observes the run time of a task that is done.

    Its neighbours are the images of the tasks that ran beside it for half of its time.
    """
    step, backend = task.step, task.backend
    image = step.spec.image
    if not image or backend is None or not scheduler.interference.enabled:
        return
    if backend.lost_at_ms >= now_ms - measured_ms:
        # Its end may have been reported late.
        return
    since_ms = now_ms - measured_ms // 2
    count_by_image = {image: 1}
    for other in backend.tasks_by_name.values():
        name = other.step.spec.image
        if not name or other is task or other.started_at_ms > since_ms:
            continue
        if _is_present(other):
            count_by_image[name] = count_by_image.get(name, 0) + 1
    if step.expected_ms > 0:
        scheduler.interference.observe(
            image,
            backend.known_host_id,
            _neighbours(count_by_image, image),
            measured_ms / step.expected_ms,
            1 / len(step.tasks),
            now_ms,
        )


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Decides anew about one image at most, and logs what has changed."""
    interference = scheduler.interference
    if now_ms - interference.evaluated_ms < EVALUATE_EVERY_MS:
        return
    interference.evaluated_ms = now_ms
    image = interference.next_image(now_ms)
    if image is None:
        return
    for change in interference.evaluate(image, now_ms):
        event = Event.INTERFERENCE_FOUND
        if not change.is_proven:
            event = Event.INTERFERENCE_ENDED
        scheduler.note(event, _fields(change, now_ms))


def _fields(estimate: PairEstimate, now_ms: int) -> dict:
    return {
        'victim': estimate.victim,
        'neighbour': estimate.neighbour,
        'slow_down': round(estimate.slow_down, 2),
        'at_least': round(math.exp(estimate.effect - 2 * estimate.error), 2),
        'at_most': round(math.exp(estimate.effect + 2 * estimate.error), 2),
        'observations': round(estimate.observations, 1),
        'hosts': estimate.hosts,
        'age_ms': now_ms - estimate.observed_ms,
    }


def note_placed(scheduler: Scheduler, task: TaskState, backend: BackendState) -> None:
    """Logs whether a task is kept apart from neighbours that are proven to interfere.

    It is called before the task is assigned to the backend server.
    """
    step, effects = task.step, scheduler.interference.effect_by_pair
    image = step.spec.image
    if not image or not any(
        image in pair for pair, effect in effects.items() if effect > 0
    ):
        return
    beside = _placement.proven_neighbours(step.spec, backend, effects)
    event = Event.NEIGHBOUR_NOT_AVOIDED
    if not beside:
        if scheduler.planned_ms < scheduler.interference.searched_ms + SEARCH_EVERY_MS:
            return
        scheduler.interference.searched_ms = scheduler.planned_ms
        event = Event.NEIGHBOUR_AVOIDED
        for other in scheduler.backends_by_id.values():
            if other.report is None or backend.report is None:
                continue
            if other.report.service == backend.report.service:
                if _placement.can_take(other, step):
                    beside |= _placement.proven_neighbours(step.spec, other, effects)
    if beside:
        scheduler.note(
            event,
            {
                'job_id': step.job.job.job_id,
                'task': task.name,
                'backend_id': backend.backend_id,
                'image': image,
                'neighbours': sorted(beside),
            },
        )
