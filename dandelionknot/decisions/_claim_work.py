"""Claims of accepted asynchronous work, which is kept on the platform.

Starts of this work are never decided from memory, so a missing claim proves that
it was not started, also if the log of a former owner is not trusted.
"""

from dandelionknot.decisions._claim_table import (
    ClaimEntry,
    ClaimOutcome,
    ClaimTable,
    InDoubt,
    NewClaim,
    Repeated,
    TaskPlace,
    add_entry,
    has_lapsed,
    is_unstarted,
    keep_inherited_closing,
    places,
)
from dandelionknot.decisions._outcomes import attempt_of
from dandelionknot.decisions._slices import slice_of
from dandelionknot.messages import AnswerBody, KeptRequest


def keep_until_ms(table: ClaimTable, deadline_unix_ms: int) -> int:
    """Returns until when claims of a request are kept.

    Until one age limit after the deadline its answer can be fetched, and a
    segment with it may be read; the other one covers late deletions.
    """
    return deadline_unix_ms + 2 * table.bounds.request_id_max_age_ms


def mark_kept(table: ClaimTable, request_id: str) -> None:
    """Notes that the platform has the request, so its slice may be handed over."""
    entry = table.entries_by_id.get(request_id)
    if entry is not None:
        entry.is_kept = True


def adopt_kept(table: ClaimTable, kept: KeptRequest) -> ClaimOutcome:
    """Decides what a request of a newly gained slice is, by its claims."""
    request = kept.request
    entry = table.entries_by_id.get(request.request_id)
    if entry is None:
        entry = ClaimEntry(
            request_id=request.request_id,
            team=kept.team or '',
            body_digest=kept.body_digest,
            idempotent=request.idempotent,
        )
        add_entry(table, entry)
    entry.idempotent = request.idempotent
    entry.is_async = entry.is_kept = True
    entry.keep_until_ms = keep_until_ms(table, kept.deadline_unix_ms)
    if entry.answer is None and entry.attempts_by_task:
        return InDoubt(
            request_id=entry.request_id, tasks=_latest_last(entry), in_log=True
        )
    if entry.answer is None and entry.closing_logged:
        keep_inherited_closing(entry)
    if entry.answer is not None:
        return Repeated(request_id=entry.request_id, answer=entry.answer, tasks=())
    entry.is_inherited = False
    return NewClaim(request_id=entry.request_id)


def _latest_last(entry: ClaimEntry) -> tuple[TaskPlace, ...]:
    found = places(entry)
    return tuple(sorted(found, key=lambda place: attempt_of(place.task_id) or 0))


def is_owner(table: ClaimTable, request_id: str, now_ms: int) -> bool:
    """Tells whether this host owns the slice of a request for certain."""
    is_mine = slice_of(request_id) in table.owned_slices
    return is_mine and not has_lapsed(table, now_ms)


def may_begin(
    table: ClaimTable, request_id: str, now_ms: int, *, is_stopping: bool
) -> bool:
    """Tells whether a kept request may begin an attempt here.

    It waits while its slice is closing or ownership has lapsed, since the next
    owner may read it from the platform and run it. A host that is stopping only
    ends what has started.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or not is_owner(table, request_id, now_ms):
        return False
    if entry.is_inherited or slice_of(request_id) in table.closing_slices:
        return False
    return bool(entry.attempts_by_task) or not is_stopping


def must_be_adopted(table: ClaimTable, request_id: str, now_ms: int) -> bool:
    """Tells whether a known request lost its claim entry, or has that of others.

    This is so if the slice had another owner while an attempt that was not
    allowed any more was on its way to its host.
    """
    entry = table.entries_by_id.get(request_id)
    is_foreign = entry is None or entry.is_inherited
    return is_foreign and is_owner(table, request_id, now_ms)


def resolve_inherited(table: ClaimTable, request_id: str) -> TaskPlace | None:
    """Returns the next task to ask about after one that certainly did not run.

    Without one the request may begin another attempt, unless it is closed. An
    idempotent request may do so whatever became of its earlier tasks.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or entry.answer is not None:
        return None
    if entry.attempts_by_task and (entry.closing_logged or not entry.idempotent):
        return _latest_last(entry)[-1]
    entry.is_inherited = False
    return None


def is_closed_in_log(table: ClaimTable, request_id: str) -> bool:
    """Tells whether a former owner may have said "not run" of a request."""
    entry = table.entries_by_id.get(request_id)
    return entry is not None and entry.closing_logged


def is_left_to_next_owner(table: ClaimTable, request_id: str) -> bool:
    """Tells whether a kept request has not started and can be handed over."""
    entry = table.entries_by_id.get(request_id)
    return entry is not None and is_unstarted(entry)


def closing_answer(table: ClaimTable, request_id: str) -> AnswerBody | None:
    """Returns the answer of a request that a former owner closed."""
    entry = table.entries_by_id.get(request_id)
    if entry is None or not entry.closing_logged:
        return None
    return entry.answer
