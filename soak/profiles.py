"""Sizes and loads of the fleets on which a soak runs."""

from dataclasses import dataclass, replace

from dandelionknot.jobs._generated import Resources

CALLER_HOST = 'desk.example'


@dataclass(slots=True, frozen=True)
class Profile:
    """Size of a fleet, and the jobs that its callers submit."""

    members: int
    backends: int
    services: tuple[str, ...]
    room: Resources
    rack_size: int
    # Whether the platform offers a list of hosts.
    lists_hosts: bool
    # Limit of the client account; 0 is none.
    limit_millicores: int
    fail_share: float
    jobs_per_s: float
    max_steps: int
    max_tasks: int
    task: Resources
    task_ms: int
    # Share of the steps whose tasks last `long_task_ms`.
    long_share: float = 0.0
    long_task_ms: int = 3000
    # Age of the backend servers at the begin of a run. The deadlines in orders to them
    # lie this far ahead for a later lifetime.
    backend_age_ms: int = 0
    # Jobs of each service with tasks that last, at most one of them on each host.
    lasting_jobs: int = 0
    lasting_tasks: int = 0
    lasting_task: Resources = Resources()
    # Tasks of such a job that may be unavailable because of orders.
    max_unavailable: int = 0


def queue_path(service: str) -> str:
    """Returns the path prefix of the queue of a service."""
    return f'/{service}/'


SMALL = Profile(
    members=3,
    backends=6,
    services=('desk',),
    room=Resources(cpu_millicores=16_000, memory_mb=32_000),
    rack_size=6,
    lists_hosts=False,
    limit_millicores=24_000,
    fail_share=0.02,
    jobs_per_s=6.0,
    max_steps=2,
    max_tasks=4,
    task=Resources(cpu_millicores=2000, memory_mb=100),
    task_ms=100,
)
# Long and short tasks on backend servers that have run for a while.
MIXED = replace(
    SMALL,
    jobs_per_s=2.5,
    limit_millicores=48_000,
    long_share=0.3,
    backend_age_ms=100_000,
)
# The size and the kinds of jobs of a deployment of some hundred hosts. `members` and
# `backends` are the most that one machine bears beside other work.
GROWN = Profile(
    members=24,
    backends=176,
    services=('sofia', 'plovdiv', 'varna', 'burgas'),
    room=Resources(cpu_millicores=32_000, memory_mb=65_536),
    rack_size=8,
    lists_hosts=True,
    limit_millicores=0,
    fail_share=0.002,
    jobs_per_s=20.0,
    max_steps=2,
    max_tasks=12,
    task=Resources(cpu_millicores=2900, memory_mb=1500),
    task_ms=640,
    lasting_jobs=2,
    lasting_tasks=24,
    lasting_task=Resources(cpu_millicores=4000, memory_mb=8000),
    max_unavailable=4,
)
PROFILES_BY_NAME = {'small': SMALL, 'mixed': MIXED, 'grown': GROWN}
