"""Keys of the items that dandelionknot stores, and facts that other writers store."""

from dataclasses import dataclass

from dandelionknot.jobs._generated import BackendReport, JobConfiguration, UpkeepWave

LEADER_KEY = 'dandelionknot/leader'
WAVE_RECORD_PREFIX = 'dandelionknot/waves/'
BORROWED_KEY = 'dandelionknot/borrowed'

# Prefix of the items that every entry host watches. They are few and rarely change.
FLEET_PREFIX = 'dandelionknot/fleet/'
# Stored under the lease of the leader, so that the item exists as long as there is a
# leader. Entry hosts watch this item instead of `LEADER_KEY`, which changes with every
# write of the leader.
LEADER_PRESENCE_KEY = FLEET_PREFIX + 'leading'
WAITING_KEY = FLEET_PREFIX + 'waiting'

# Prefix of all items of jobs. The keys of all items of a job begin with the key of the
# job, so that one read returns them all.
JOB_PREFIX = 'dandelionknot/jobs/'
RECORD_SUFFIX = '/record'
CANCEL_SUFFIX = '/cancelled'
# Prefix of the items with the parts of the records of jobs with many tasks. Callers ask
# for the state of a job, which is read without them.
PART_PREFIX = 'dandelionknot/parts/'


def job_key(job_id: str) -> str:
    """Returns the key under which an accepted job is stored."""
    return JOB_PREFIX + job_id


def record_key(job_id: str) -> str:
    """Returns the key of the record in which the leader stores a job's progress."""
    return JOB_PREFIX + job_id + RECORD_SUFFIX


def part_key(job_id: str, number: int) -> str:
    """Returns the key of a part of a job's record."""
    return f'{PART_PREFIX}{job_id}/{number}'


def cancel_key(job_id: str) -> str:
    """Returns the key of the item that is stored when a caller cancels a job."""
    return JOB_PREFIX + job_id + CANCEL_SUFFIX


@dataclass(slots=True, frozen=True)
class ConfigurationFact:
    """A version of the configuration that operators stored."""

    configuration: JobConfiguration
    revision: int


@dataclass(slots=True, frozen=True)
class BackendFact:
    """A changed registry entry of a backend server; removed if `report` is None."""

    backend_id: str
    report: BackendReport | None


@dataclass(slots=True, frozen=True)
class ZoneFact:
    """An availability zone that operators excluded or included again."""

    availability_zone: str
    excluded: bool


@dataclass(slots=True, frozen=True)
class WaveFact:
    """A maintenance wave that operators ordered, or withdrew if `wave` is None."""

    name: str
    wave: UpkeepWave | None


Fact = ConfigurationFact | BackendFact | ZoneFact | WaveFact
