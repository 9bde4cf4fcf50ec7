"""The claim log, which groups claims into segments and writes one at a time.

After a write whose answer was lost, its key is read back to find out whether the
write took effect.
"""

import heapq

from dandelionknot.decisions._claim_table import (
    ClaimTable,
    SegmentRead,
    SegmentWrite,
    WritePhase,
)
from dandelionknot.decisions._slices import (
    MAX_CLOCK_SKEW_MS,
    request_time_ms,
)
from dandelionknot.messages import (
    Claim,
    ClaimSegment,
)

# The platform accepts about 300 writes a second; the rest is left for grants,
# leases, member records and the configuration.
CLAIM_WRITES_PER_SECOND = 240

# How far the calls of an idle log may run ahead of the interval. Without this, a single
# request would wait half an interval on average.
BURST_WINDOW_MS = 200

# A segment is rewritten with each flush until it has this many claims. Larger
# segments mean fewer keys to list at a take-over, but more bytes per write.
SEGMENT_CLAIMS = 32

# A claim takes up to 500 bytes as JSON; a value may have 1 MB.
MAX_CLAIMS_PER_WRITE = 1_500


def flush_interval_ms(claim_flush_ms: int, member_count: int) -> int:
    """Returns the minimum time between two claim writes of one entry host.

    The write rate of the platform does not grow with the fleet, so members of a
    larger fleet write larger groups less often. Each member then makes fewer than
    25 writes a second.
    """
    shared_ms = -(-member_count * 1000 // CLAIM_WRITES_PER_SECOND)
    return max(claim_flush_ms, shared_ms)


def may_renew_membership(table: ClaimTable) -> bool:
    """Returns whether `alive/<id>` may be renewed.

    Other members take a renewal as proof that the log was complete up to then,
    so all claims that took effect only in memory must be written first.
    """
    return not table.unlogged_claims


def pending_segment(
    table: ClaimTable, now_ms: int
) -> SegmentWrite | SegmentRead | None:
    """Returns the next platform call of the claim log, if one is due.

    One call is in flight at a time. Calls are `flush_interval_ms` apart on average,
    but after an idle time they may run ahead of this rate by `BURST_WINDOW_MS`. The
    segment of a failed write is not changed until it is known whether the write took
    effect, so a write that arrives late does no harm.
    """
    log = table.log
    if log.phase is WritePhase.WRITING or now_ms < _next_call_ms(table):
        return None
    if log.phase is WritePhase.IDLE:
        if not log.unwritten:
            return None
        log.write = _next_write(table)
    assert log.write is not None
    call: SegmentWrite | SegmentRead = log.write
    if log.phase is WritePhase.MUST_READ:
        call = SegmentRead(key=log.write.key)
    log.phase = WritePhase.WRITING
    log.last_call_ms = now_ms
    log.next_call_ms = max(now_ms, log.next_call_ms) + table.flush_interval_ms
    return call


def _next_call_ms(table: ClaimTable) -> int:
    """Returns when the next call may be made.

    A repeated call always waits for a full interval.
    """
    log = table.log
    if log.phase is WritePhase.IDLE:
        return log.next_call_ms - BURST_WINDOW_MS
    return log.last_call_ms + table.flush_interval_ms


def _next_write(table: ClaimTable) -> SegmentWrite:
    log = table.log
    if not log.key or len(log.claims) >= SEGMENT_CLAIMS:
        _open_segment(table)
    added_count = min(len(log.unwritten), MAX_CLAIMS_PER_WRITE)
    log.claims = log.claims + [log.unwritten.popleft() for _ in range(added_count)]
    segment = ClaimSegment(
        member_id=table.member_id,
        incarnation=table.incarnation,
        claims=log.claims,
        newest_ms=_newest_ms(log.claims),
    )
    return SegmentWrite(key=log.key, expected_revision=log.revision, segment=segment)


def _newest_ms(claims: list[Claim]) -> int:
    """Returns the newest id time or claim expiry, from which the age is counted."""
    return max(
        max(request_time_ms(record.request_id), record.keep_until_ms)
        for record in claims
    )


def _open_segment(table: ClaimTable) -> None:
    """Opens a new segment, under the key of an expired one if there is one.

    Reusing keys keeps the log at one write per flush. Deletions would double
    the number of writes.
    """
    log = table.log
    if log.key:
        heapq.heappush(log.closed, (_newest_ms(log.claims), log.key, log.revision))
    log.claims = []
    if log.closed and log.closed[0][0] <= table.forgotten_until_ms - MAX_CLOCK_SKEW_MS:
        _, log.key, log.revision = heapq.heappop(log.closed)
        return
    log.segment_count += 1
    log.key = f'claims/{table.member_id}/{table.incarnation}-{log.segment_count}'
    log.revision = 0


def segment_written(table: ClaimTable, key: str, revision: int) -> None:
    """Records that the segment is on the platform at a revision."""
    log = table.log
    if log.write is None or log.write.key != key:
        return
    log.revision = revision
    log.phase = WritePhase.IDLE
    written = log.write.segment.claims
    log.write = None
    table.unlogged_claims.difference_update(written)
    for record in written:
        _record_logged(table, record)


def _record_logged(table: ClaimTable, record: Claim) -> None:
    entry = table.entries_by_id.get(record.request_id)
    if entry is None:
        return
    attempt = entry.attempts_by_task.get(record.task_id)
    if attempt is not None:
        attempt.is_logged = True
    if not record.task_id:
        entry.is_closing_logged = True


def segment_failed(table: ClaimTable, key: str, *, may_have_taken_effect: bool) -> None:
    """Records that a write or a read back got no answer."""
    log = table.log
    if log.write is None or log.write.key != key:
        return
    phase = WritePhase.MUST_READ if may_have_taken_effect else WritePhase.MUST_WRITE
    log.phase = phase


def segment_conflict(table: ClaimTable, key: str) -> None:
    """Records that the key had another revision, for instance after a lost answer."""
    segment_failed(table, key, may_have_taken_effect=True)


def segment_read(
    table: ClaimTable, key: str, segment: ClaimSegment | None, revision: int
) -> None:
    """Resolves a write from the value that its key has; an absent key has revision 0.

    If the write did not take effect, the same segment is written over the
    revision that was read. Keys contain the incarnation, so no other process
    writes them, but another member may have deleted an old one.
    """
    log = table.log
    if log.write is None or log.write.key != key:
        return
    if segment == log.write.segment:
        segment_written(table, key, revision)
        return
    log.write = SegmentWrite(
        key=key, expected_revision=revision, segment=log.write.segment
    )
    log.phase = WritePhase.MUST_WRITE


def deletable_segments(
    segments_by_key: dict[str, ClaimSegment], now_unix_ms: int, max_age_ms: int
) -> list[str]:
    """Returns the keys of segments whose ids are too old on every clock.

    Members use this for the segments of members that no longer have a record.
    """
    limit_ms = now_unix_ms - max_age_ms - MAX_CLOCK_SKEW_MS
    return [
        key for key, segment in segments_by_key.items() if segment.newest_ms < limit_ms
    ]


def is_claim_written(table: ClaimTable, request_id: str, task_id: str) -> bool:
    """Returns whether the claim of an attempt is on the platform."""
    entry = table.entries_by_id.get(request_id)
    attempt = entry.attempts_by_task.get(task_id) if entry else None
    return attempt is not None and attempt.is_logged


def is_claim_withdrawn(table: ClaimTable, request_id: str, task_id: str) -> bool:
    """Returns whether an attempt was withdrawn because its slice changed owner."""
    entry = table.entries_by_id.get(request_id)
    return entry is None or task_id not in entry.attempts_by_task
