"""Keys of the product's own items, and facts that others store."""

from dataclasses import dataclass

from dandelionknot.jobs._generated import BackendReport, JobConfiguration, UpkeepWave

LEADER_KEY = 'dandelionknot/leader'
JOB_PREFIX = 'dandelionknot/jobs/'
RECORD_PREFIX = 'dandelionknot/records/'
WAVE_RECORD_PREFIX = 'dandelionknot/waves/'
BORROWED_KEY = 'dandelionknot/borrowed'
CANCEL_PREFIX = 'dandelionknot/cancelled/'


@dataclass(slots=True, frozen=True)
class ConfigurationFact:
    """The operators stored a version of the configuration."""

    configuration: JobConfiguration
    revision: int


@dataclass(slots=True, frozen=True)
class BackendFact:
    """A backend server changed its entry; without a report it is gone."""

    backend_id: str
    report: BackendReport | None


@dataclass(slots=True, frozen=True)
class ZoneFact:
    """The operators took an availability zone out or back."""

    availability_zone: str
    excluded: bool


@dataclass(slots=True, frozen=True)
class WaveFact:
    """The operators ordered upkeep, or took the order back."""

    name: str
    wave: UpkeepWave | None


Fact = ConfigurationFact | BackendFact | ZoneFact | WaveFact
