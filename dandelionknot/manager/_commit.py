"""The task that writes the records of the leader to the store."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec
from result import Err

from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event
from dandelionknot.jobs._batches import Batch
from dandelionknot.jobs._generated import LeaderItem
from dandelionknot.jobs._stored import (
    BORROWED_KEY,
    LEADER_KEY,
    WAITING_KEY,
    WAVE_RECORD_PREFIX,
    cancel_key,
    job_key,
    part_key,
    record_key,
)
from dandelionknot.store import Precondition, Put, Store, WriteOutcome, Written

# Highest number of job records in one batch. The store accepts 32 entries in a write:
# the leader's item takes two of them, the borrowed hosts and the counts of waiting jobs
# one each, and each of up to two waves takes two.
MAX_RECORDS = 24
# Time limit of one write to the store.
WRITE_TIMEOUT_MS = 700
# Pause before a failed write is repeated, and before writes are that the store rejects.
RETRY_MS = 40
REJECTED_RETRY_MS = 1000
# Name of the piece of a batch that belongs to no job.
REST = ''


@dataclass(slots=True)
class BatchStored:
    """A batch was written to the store."""

    batch: Batch
    took_ms: int
    # Revision of the write. It was conditional on the leader's item, so it is higher
    # than all earlier terms and lower than all later ones.
    revision: int
    # Jobs of which the store does not take a record, and which are not stored.
    rejected_job_ids: list[str] = field(default_factory=list)


class Stored(StrEnum):
    """What became of a write."""

    STORED = 'stored'
    # The store answers that it does not take the write, now or later.
    REJECTED = 'rejected'
    # The term has ended.
    ENDED = 'ended'


@dataclass(slots=True)
class TermEnded:
    """The term has ended: the leader's item has changed or its lease has ended."""

    reason: str


@dataclass(slots=True)
class Committer:
    """Writes batches one at a time.

    Each write changes the leader's item and is conditional on the revision of that
    item. A write whose answer was lost is repeated. If the item already has the value
    that the write sets, the lost try was carried out. If the repeated try is carried
    out, the revision changes, so the lost one cannot be carried out any more.

    A batch that the store rejects is written in pieces, so that a record that is never
    taken does not keep those of other jobs from being stored.
    """

    store: Store
    member_id: str
    lease_id: int
    term: int
    revision: int
    report: Callable[[object], object]
    # Returns the item that shows operators the state of a wave, given its number and
    # whether it is done.
    wave_status: Callable[[int, bool], Put]
    # Number of the last write of this term.
    number: int = 0
    inbox: Mailbox = field(default_factory=lambda: Mailbox(64))

    async def run(self) -> None:
        """Writes the batches from the inbox until the term ends."""
        while True:
            message = await self.inbox.receive()
            started_ms = now_ms()
            if isinstance(message, Batch):
                rejected_job_ids = await self._store_batch(message)
                if rejected_job_ids is None:
                    return
                took_ms = now_ms() - started_ms
                self.report(
                    BatchStored(message, took_ms, self.revision, rejected_job_ids)
                )

    async def _store_batch(self, batch: Batch) -> list[str] | None:
        """Stores a batch; returns the jobs that are not stored, None if the term ended.

        If a record is not stored, no end is acknowledged with the batch, as it may be
        that of a run of its job. No order about a host is sent without its record.
        """
        while True:
            stored = await self._store(*self.entries(batch))
            if stored is not Stored.REJECTED:
                return None if stored is Stored.ENDED else []
            outcomes = {}
            for name, puts, deleted_keys in self._pieces(batch):
                outcomes[name] = await self._store(puts, deleted_keys)
                if outcomes[name] is Stored.ENDED:
                    return None
            if Stored.STORED in outcomes.values():
                break
            # The store may reject every write, which is no fault of the records.
            if await self._store([], []) is not Stored.REJECTED:
                break
            await asyncio.sleep(seconds(REJECTED_RETRY_MS))
        rejected = [name for name, o in outcomes.items() if o is Stored.REJECTED]
        job_ids = [name for name in rejected if name != REST]
        if rejected:
            log_event(Event.RECORDS_REJECTED, job_ids=job_ids)
            batch.ends_by_backend.clear()
        if REST in rejected:
            batch.host_orders.clear()
        return job_ids

    def _pieces(self, batch: Batch) -> Iterator[tuple[str, list[Put], list[str]]]:
        """Yields the writes for each job of a batch, and for what is left without one.

        Each comes with the id of its job, or with `REST`.
        """
        job_ids = dict.fromkeys([*batch.records_by_job_id, *batch.parts_by_job_id])
        for job_id in job_ids:
            yield job_id, self._job_puts(batch, job_id), []
        rest = replace(batch, records_by_job_id={}, parts_by_job_id={})
        yield REST, *self.entries(rest)

    def _job_puts(self, batch: Batch, job_id: str) -> list[Put]:
        puts = [
            Put(part_key(job_id, number), msgspec.json.encode(part))
            for number, part in batch.parts_by_job_id.get(job_id, {}).items()
        ]
        record = batch.records_by_job_id.get(job_id)
        if record is not None:
            puts.append(Put(record_key(job_id), msgspec.json.encode(record)))
        return puts

    def entries(self, batch: Batch) -> tuple[list[Put], list[str]]:
        """Returns the items to write and the keys to delete for a batch."""
        job_ids = dict.fromkeys([*batch.records_by_job_id, *batch.parts_by_job_id])
        puts = [put for job_id in job_ids for put in self._job_puts(batch, job_id)]
        for name, record in batch.waves_by_name.items():
            number = batch.wave_numbers_by_name[name]
            puts.append(self.wave_status(number, record.done))
            puts.append(Put(WAVE_RECORD_PREFIX + name, msgspec.json.encode(record)))
        if batch.borrowed is not None:
            puts.append(Put(BORROWED_KEY, msgspec.json.encode(batch.borrowed)))
        if batch.waiting is not None:
            puts.append(Put(WAITING_KEY, msgspec.json.encode(batch.waiting)))
        deleted_keys = [
            key(job_id)
            for job_id in batch.deleted_job_ids
            for key in (record_key, cancel_key, job_key)
        ]
        deleted_keys += [part_key(*part) for part in batch.deleted_parts]
        return puts, deleted_keys

    async def _store(self, puts: list[Put], deleted_keys: list[str]) -> Stored:
        """Repeats a write until it is carried out or rejected, or the term ends."""
        self.number += 1
        value = leader_value(self.member_id, self.term, self.number)
        puts = [Put(LEADER_KEY, value, self.lease_id), *puts]
        failed = False
        while True:
            condition = Precondition(LEADER_KEY, self.revision)
            result = await self.store.write(
                [condition], puts, deleted_keys, WRITE_TIMEOUT_MS
            )
            if not isinstance(result, Err):
                is_stored = self._finish_write(result.ok_value, value)
                return Stored.STORED if is_stored else Stored.ENDED
            if not failed:
                log_event(
                    Event.RECORDS_NOT_STORED,
                    reason=result.err_value.message,
                    not_done=result.err_value.not_done,
                    rejected=result.err_value.rejected,
                    records=len(puts) - 1,
                    largest_bytes=max(len(put.value) for put in puts),
                )
                failed = True
            if result.err_value.rejected:
                return Stored.REJECTED
            await asyncio.sleep(seconds(RETRY_MS))

    def _finish_write(self, written: Written, value: bytes) -> bool:
        """Returns whether a write was carried out; otherwise reports `TermEnded`."""
        if written.outcome is WriteOutcome.WRITTEN:
            self.revision = written.revision
            return True
        if written.outcome is WriteOutcome.LEASE_ENDED:
            self.report(TermEnded('the leader lease has ended'))
            return False
        for item in written.items:
            if item.key == LEADER_KEY and item.value == value:
                # An earlier try, whose answer was lost, was carried out.
                self.revision = item.revision
                return True
        self.report(TermEnded('another write changed the leader item'))
        return False


def presence_value(member_id: str, query_address: str) -> bytes:
    """Returns the value of the item that shows that a process leads."""
    return msgspec.json.encode(
        LeaderItem(member_id=member_id, query_address=query_address)
    )


def leader_value(member_id: str, term: int, number: int) -> bytes:
    """Returns the value of the leader's item that a numbered write of a term sets."""
    return msgspec.json.encode({'member_id': member_id, 'term': term, 'write': number})
