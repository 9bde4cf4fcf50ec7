"""Claims of asynchronous requests.

A claim states that the owner of a request may start an attempt of it. Requests and
claims are both stored on the platform. An attempt of an asynchronous request starts
only after its claim has been written to the platform. A missing claim therefore proves
that the request was not started, even if the claim log of a former owner may be
incomplete.

To forbid later starts of a request, its owner closes it: it writes a claim that names
no task.
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
    has_not_started,
    has_ownership_expired,
    set_not_run_answer,
    task_places,
)
from dandelionknot.decisions._outcomes import attempt_of
from dandelionknot.decisions._slices import slice_of
from dandelionknot.messages import AnswerBody, KeptRequest


def keep_until_ms(table: ClaimTable, deadline_unix_ms: int) -> int:
    """Returns the Unix time until which the claims of a request are retained.

    For `request_id_max_age_ms` after the deadline, the answer can be fetched and
    work segments that contain the request may be read. The same time is added once
    more because these segments may be deleted late.
    """
    return deadline_unix_ms + 2 * table.bounds.request_id_max_age_ms


def mark_kept(table: ClaimTable, request_id: str) -> None:
    """Records that a request is stored on the platform.

    A stored request that has not started does not prevent the handover of its slice.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is not None:
        entry.is_kept = True


def adopt_kept(table: ClaimTable, kept: KeptRequest) -> ClaimOutcome:
    """Registers a stored request of a slice that this host now owns.

    The result states, from the claims of the request, whether it is new, answered or
    in doubt.
    """
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
            request_id=entry.request_id,
            tasks=_places_in_attempt_order(entry),
            is_logged=True,
        )
    if entry.answer is None and entry.is_closing_logged:
        set_not_run_answer(entry)
    if entry.answer is not None:
        return Repeated(request_id=entry.request_id, answer=entry.answer, tasks=())
    entry.is_inherited = False
    return NewClaim(request_id=entry.request_id)


def _places_in_attempt_order(entry: ClaimEntry) -> tuple[TaskPlace, ...]:
    places = task_places(entry)
    return tuple(sorted(places, key=lambda place: attempt_of(place.task_id) or 0))


def is_owner(table: ClaimTable, request_id: str, now_ms: int) -> bool:
    """Returns whether this host has unexpired ownership of the slice of a request."""
    owns_slice = slice_of(request_id) in table.owned_slices
    return owns_slice and not has_ownership_expired(table, now_ms)


def may_begin(
    table: ClaimTable, request_id: str, now_ms: int, *, is_stopping: bool
) -> bool:
    """Returns whether a stored request may begin an attempt on this entry host.

    The request must wait while its slice is being handed over (`closing_slices`) or
    ownership has expired, since the next owner may read it from the platform and run
    it. An entry host that is stopping begins attempts only for requests that have
    been started before.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or not is_owner(table, request_id, now_ms):
        return False
    if entry.is_inherited or slice_of(request_id) in table.closing_slices:
        return False
    return bool(entry.attempts_by_task) or not is_stopping


def must_be_adopted(table: ClaimTable, request_id: str, now_ms: int) -> bool:
    """Returns whether `adopt_kept` must be called again for a known request.

    This is necessary if the slice had another owner while an attempt was in transit
    to its host. When the slice was lost, the attempt was no longer permitted, and the
    claim entry was dropped or marked as inherited.
    """
    entry = table.entries_by_id.get(request_id)
    is_outdated = entry is None or entry.is_inherited
    return is_outdated and is_owner(table, request_id, now_ms)


def resolve_inherited(table: ClaimTable, request_id: str) -> TaskPlace | None:
    """Returns the next task whose host must be asked, after one that did not run.

    If no host must be asked, clears `is_inherited` and returns None: the request may
    begin another attempt unless it is closed. An idempotent request that is not
    closed may do so whether or not its earlier tasks ran. An unknown or answered
    request is not changed, and None is returned.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or entry.answer is not None:
        return None
    if entry.attempts_by_task and (entry.is_closing_logged or not entry.idempotent):
        return _places_in_attempt_order(entry)[-1]
    entry.is_inherited = False
    return None


def is_closed_in_log(table: ClaimTable, request_id: str) -> bool:
    """Returns whether a former owner closed a request and may have sent "not run"."""
    entry = table.entries_by_id.get(request_id)
    return entry is not None and entry.is_closing_logged


def can_hand_over(table: ClaimTable, request_id: str) -> bool:
    """Returns whether a stored request has not started and can be handed over."""
    entry = table.entries_by_id.get(request_id)
    return entry is not None and has_not_started(entry)


def closing_answer(table: ClaimTable, request_id: str) -> AnswerBody | None:
    """Returns the answer of a request that a former owner closed."""
    entry = table.entries_by_id.get(request_id)
    if entry is None or not entry.is_closing_logged:
        return None
    return entry.answer
