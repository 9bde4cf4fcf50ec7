"""The contents of the store as one process has read them.

Every process reads the items of the operators and a few items that all entry hosts
share. Only the leader reads all keys. The age of a view has an upper bound: the view
contains everything that was stored before the last answered watch call was sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from dandelionknot.events import Event, log_event
from dandelionknot.jobs._generated import (
    BackendReport,
    BorrowedHosts,
    Job,
    JobConfiguration,
    JobPart,
    JobPhase,
    JobRecord,
    UpkeepWave,
    WaitingJobs,
    WaveRecord,
)
from dandelionknot.jobs._records import merged
from dandelionknot.jobs._stored import (
    BORROWED_KEY,
    CANCEL_SUFFIX,
    JOB_PREFIX,
    LEADER_PRESENCE_KEY,
    PART_PREFIX,
    RECORD_SUFFIX,
    WAITING_KEY,
    WAVE_RECORD_PREFIX,
    BackendFact,
    ConfigurationFact,
    Fact,
    WaveFact,
    ZoneFact,
)
from dandelionknot.store import Item


@dataclass(slots=True)
class JobEntry:
    """A stored job with its latest record."""

    job: Job
    record: JobRecord | None = None
    cancelled: bool = False
    # Parts of the record, if the job has many tasks.
    parts_by_number: dict[int, JobPart] = field(default_factory=dict)

    def whole_record(self) -> JobRecord | None:
        """Returns the record with the tasks of its parts, as a leader restores it."""
        return merged(self.record, self.parts_by_number.values())

    @property
    def phase(self) -> JobPhase:
        """The phase to show to callers; a stored cancellation is taken into account."""
        phase = self.record.phase if self.record else JobPhase.QUEUED
        if self.cancelled and phase in (JobPhase.QUEUED, JobPhase.RUNNING):
            return JobPhase.CANCELLED
        return phase


@dataclass(slots=True, frozen=True)
class JobStored:
    """A job that some entry host has accepted was read from the store."""

    job_id: str


@dataclass(slots=True, frozen=True)
class JobCancelled:
    """The cancellation of a job was read from the store."""

    job_id: str


@dataclass(slots=True, frozen=True)
class JobDeleted:
    """A job was deleted from the store, some time after its end."""

    job_id: str


ViewEvent = JobStored | JobCancelled | JobDeleted | Fact


@dataclass(slots=True)
class View:
    """Decoded items of the store.

    The watchers change the view. The call handler does so only when the answer to a
    write contains a newer configuration.
    """

    decode_fact: Callable[[Item], Fact | None]
    configuration: JobConfiguration | None = None
    configuration_revision: int = 0
    jobs_by_id: dict[str, JobEntry] = field(default_factory=dict)
    backends_by_id: dict[str, BackendReport] = field(default_factory=dict)
    excluded_zones: set[str] = field(default_factory=set)
    waves_by_name: dict[str, UpkeepWave] = field(default_factory=dict)
    wave_records_by_name: dict[str, WaveRecord] = field(default_factory=dict)
    borrowed: BorrowedHosts = BorrowedHosts()
    waiting: WaitingJobs = WaitingJobs()
    # Local time after which `waiting` was certainly written; 0 if it is not known.
    waiting_written_after_ms: int = 0
    # The same for the items that are being applied. The watcher sets it.
    applied_written_after_ms: int = 0
    # Item `LEADER_PRESENCE_KEY` of the current leader, or None if no process is leader.
    leader: Item | None = None
    revision: int = 0
    # Local time at which the last answered read was sent; 0 before the first answer.
    current_as_of_ms: int = 0
    revisions_by_key: dict[str, int] = field(default_factory=dict)

    def apply(self, item: Item) -> ViewEvent | None:
        """Applies a version of an item unless the same or a later one is known.

        Returns the event to send to subscribers, or None if there is none.
        """
        if item.revision <= self.revisions_by_key.get(item.key, 0):
            return None
        if item.deleted:
            self.revisions_by_key.pop(item.key, None)
        else:
            self.revisions_by_key[item.key] = item.revision
        if item.key.startswith(JOB_PREFIX):
            job_id, suffix = split_job_key(item.key)
            apply_by_suffix = {
                '': self._apply_job,
                RECORD_SUFFIX: self._apply_record,
                CANCEL_SUFFIX: self._apply_cancel,
            }
            if suffix not in apply_by_suffix:
                return None
            return _apply_or_log(apply_by_suffix[suffix], job_id, item)
        for prefix, apply_item in (
            (PART_PREFIX, self._apply_part),
            (WAVE_RECORD_PREFIX, self._apply_wave_record),
            (LEADER_PRESENCE_KEY, self._apply_leader),
            (WAITING_KEY, self._apply_waiting),
            (BORROWED_KEY, self._apply_borrowed),
        ):
            if item.key.startswith(prefix):
                return _apply_or_log(apply_item, item.key.removeprefix(prefix), item)
        fact = self.decode_fact(item)
        return self._apply_fact(fact) if fact is not None else None

    def _apply_leader(self, _: str, item: Item) -> ViewEvent | None:
        self.leader = None if item.deleted else item
        return None

    def _apply_waiting(self, _: str, item: Item) -> ViewEvent | None:
        if not item.deleted:
            self.waiting = msgspec.json.decode(item.value, type=WaitingJobs)
            self.waiting_written_after_ms = self.applied_written_after_ms
        return None

    def _apply_borrowed(self, _: str, item: Item) -> ViewEvent | None:
        if not item.deleted:
            self.borrowed = msgspec.json.decode(item.value, type=BorrowedHosts)
        return None

    def _apply_wave_record(self, name: str, item: Item) -> ViewEvent | None:
        if not item.deleted:
            record = msgspec.json.decode(item.value, type=WaveRecord)
            self.wave_records_by_name[name] = record
        return None

    def _apply_job(self, job_id: str, item: Item) -> ViewEvent | None:
        if item.deleted:
            self.jobs_by_id.pop(job_id, None)
            return JobDeleted(job_id)
        job = msgspec.json.decode(item.value, type=Job)
        entry = self.jobs_by_id.get(job_id)
        if entry is None:
            self.jobs_by_id[job_id] = JobEntry(job)
        return JobStored(job_id)

    def _apply_record(self, job_id: str, item: Item) -> ViewEvent | None:
        entry = self.jobs_by_id.get(job_id)
        if entry is not None and not item.deleted:
            entry.record = msgspec.json.decode(item.value, type=JobRecord)
        return None

    def _apply_part(self, name: str, item: Item) -> ViewEvent | None:
        job_id, _, number = name.partition('/')
        entry = self.jobs_by_id.get(job_id)
        if entry is None or not number.isdecimal():
            return None
        if item.deleted:
            entry.parts_by_number.pop(int(number), None)
        else:
            part = msgspec.json.decode(item.value, type=JobPart)
            entry.parts_by_number[int(number)] = part
        return None

    def _apply_cancel(self, job_id: str, item: Item) -> ViewEvent | None:
        entry = self.jobs_by_id.get(job_id)
        if entry is None or item.deleted:
            return None
        entry.cancelled = True
        return JobCancelled(job_id)

    def _apply_fact(self, fact: Fact) -> ViewEvent | None:
        match fact:
            case ConfigurationFact(configuration, revision):
                known = self.configuration
                newest = max(self.configuration_revision, revision)
                self.configuration_revision = newest
                if known is not None and known.version >= configuration.version:
                    return None
                self.configuration = configuration
            case BackendFact(backend_id, None):
                self.backends_by_id.pop(backend_id, None)
            case BackendFact(backend_id, report) if report is not None:
                self.backends_by_id[backend_id] = report
            case ZoneFact(zone, True):
                self.excluded_zones.add(zone)
            case ZoneFact(zone, False):
                self.excluded_zones.discard(zone)
            case WaveFact(name, None):
                self.waves_by_name.pop(name, None)
            case WaveFact(name, wave) if wave is not None:
                self.waves_by_name[name] = wave
        return fact

    def apply_configuration(self, fact: Fact) -> None:
        """Applies a configuration that was part of the answer to a write."""
        if isinstance(fact, ConfigurationFact):
            self._apply_fact(fact)

    def deletions_of_missing(
        self, prefix: str, keys: set[str], as_of: int
    ) -> list[Item]:
        """Returns deletions of known items that a full read did not contain.

        `as_of` is the revision of the read. Items with a later revision are not
        deleted.
        """
        return [
            Item(key, b'', as_of, deleted=True)
            for key, revision in self.revisions_by_key.items()
            if key.startswith(prefix) and key not in keys and revision <= as_of
        ]


def split_job_key(key: str) -> tuple[str, str]:
    """Splits the key of an item of a job into the job id and the suffix of the key."""
    job_id, slash, part = key.removeprefix(JOB_PREFIX).partition('/')
    return job_id, slash + part


def job_entry(job_id: str, items: list[Item]) -> JobEntry | None:
    """Decodes the items of one job; returns None if the job itself is missing."""
    view = View(decode_fact=lambda item: None)
    for item in sort_for_view(items):
        view.apply(item)
    return view.jobs_by_id.get(job_id)


def _apply_or_log(
    apply_item: Callable[[str, Item], ViewEvent | None], name: str, item: Item
) -> ViewEvent | None:
    """Applies an item; logs and skips one whose value is malformed.

    Only dandelionknot should write these items, so a malformed value comes from another
    writer.
    """
    try:
        return apply_item(name, item)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log_event(
            Event.PLATFORM_VALUE_MALFORMED,
            key=item.key,
            revision=item.revision,
            problem=str(error),
        )
        return None


def sort_for_view(items: list[Item]) -> list[Item]:
    """Sorts the items of one read so that a job precedes its other items."""
    return sorted(items, key=lambda item: item.key)
