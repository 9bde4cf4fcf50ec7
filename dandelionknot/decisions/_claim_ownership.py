"""Changes of slice ownership: taking over, losing and releasing slices."""

from collections.abc import Iterable

from dandelionknot.decisions._claim_table import (
    Attempt,
    ClaimEntry,
    ClaimTable,
    add_entry,
    drop_entry,
    has_not_started,
    has_ownership_expired,
    is_answer_final,
    is_in_doubt,
    set_not_run_answer,
)
from dandelionknot.decisions._slices import (
    doubt_until_ms,
    is_too_old,
    slice_of,
)
from dandelionknot.messages import (
    Claim,
    ClaimSegment,
    SliceMap,
)


def renew_ownership(table: ClaimTable, known_as_of_ms: int, now_ms: int) -> bool:
    """Extends ownership up to a later time at which this host was known to be fresh.

    Returns False if ownership has expired: other members may have taken the slices
    meanwhile, and only `take_over` with a slice map read since then restores
    ownership.
    """
    if has_ownership_expired(table, now_ms):
        table.owned_slices.clear()
        return False
    table.known_as_of_ms = max(known_as_of_ms, table.known_as_of_ms or 0)
    return True


def drop_ownership(table: ClaimTable) -> None:
    """Drops all slices; called when a configuration excludes this member."""
    table.owned_slices = set()
    table.known_as_of_ms = None
    table.slice_map = None


def gained_slices(table: ClaimTable, slice_map: SliceMap, now_ms: int) -> set[int]:
    """Returns the slices for which `take_over` needs the claim log.

    If ownership has expired, an unchanged epoch shows that no other member took the
    slices. Otherwise all of them are new to this host, since a slice may have had
    another owner in between.
    """
    return _slices_of(slice_map, table.member_id) - _retained_slices(
        table, slice_map, now_ms
    )


def _retained_slices(table: ClaimTable, slice_map: SliceMap, now_ms: int) -> set[int]:
    if table.slice_map is not None and table.slice_map.epoch == slice_map.epoch:
        return _slices_of(table.slice_map, table.member_id)
    return set() if has_ownership_expired(table, now_ms) else table.owned_slices


def take_over(
    table: ClaimTable,
    slice_map: SliceMap,
    segments: Iterable[ClaimSegment] | None,
    *,
    trusts_log: bool,
    asked_ms: int,
    now_ms: int,
    now_unix_ms: int,
) -> bool:
    """Adopts a slice map and the claims of slices that are new to this host.

    `segments` are those of all members, listed after the map was written, since a
    slice may have had several owners within the age limit of ids. `asked_ms` is
    when the read of the map was sent. Changes nothing and returns False if the map
    is older than the known one, or if slices are gained and `segments` is None. A
    member that the newest configuration excludes must not call it.
    """
    gained = gained_slices(table, slice_map, now_ms)
    if slice_map.epoch < table.map_epoch or (gained and segments is None):
        return False
    own_slices = _slices_of(slice_map, table.member_id)
    _reset_entries(table, own_slices - gained)
    for record in (each for segment in segments or () for each in segment.claims):
        if slice_of(record.request_id) in gained:
            _inherit(table, record, now_unix_ms)
    for name, until_ms in slice_map.doubt_until_by_slice.items():
        _mark_in_doubt(table, int(name), until_ms)
    if not trusts_log:
        for index in gained:
            _mark_in_doubt(table, index, doubt_until_ms(now_unix_ms))
    _resolve_inherited_closings(table, gained)
    table.slice_map = slice_map
    table.owned_slices = own_slices
    table.closing_slices &= own_slices
    table.map_epoch = slice_map.epoch
    table.known_as_of_ms = max(asked_ms, table.known_as_of_ms or 0)
    return True


def _mark_in_doubt(table: ClaimTable, index: int, until_ms: int) -> None:
    known_ms = table.doubt_until_by_slice.get(index, 0)
    table.doubt_until_by_slice[index] = max(known_ms, until_ms)


def _inherit(table: ClaimTable, record: Claim, now_unix_ms: int) -> None:
    max_age_ms = table.bounds.request_id_max_age_ms
    is_old = is_too_old(record.request_id, now_unix_ms, max_age_ms)
    if is_old and record.keep_until_ms < now_unix_ms:
        return
    entry = table.entries_by_id.get(record.request_id)
    if entry is None:
        entry = ClaimEntry(
            request_id=record.request_id,
            team=record.team,
            body_digest=record.body_digest,
            idempotent=False,
            is_async=record.keep_until_ms > 0,
            is_inherited=True,
        )
        add_entry(table, entry)
    entry.keep_until_ms = max(entry.keep_until_ms, record.keep_until_ms)
    if record.task_id:
        attempt = Attempt(
            task_id=record.task_id,
            host_id=record.host_id,
            is_logged=True,
            is_sent=True,
        )
        entry.attempts_by_task.setdefault(record.task_id, attempt)
        return
    entry.is_closing_logged = True


def _resolve_inherited_closings(table: ClaimTable, gained: set[int]) -> None:
    """Sets the answer "not run" for closed ids without a task in a trusted log.

    A closing that was written late, after another owner had taken the slice,
    proves nothing about the tasks of that owner. Their hosts are asked first.
    """
    for entry in table.entries_by_id.values():
        is_gained = entry.is_inherited and slice_of(entry.request_id) in gained
        is_open = entry.answer is None and not entry.attempts_by_task
        in_doubt = is_in_doubt(table, entry.request_id)
        if is_gained and is_open and entry.is_closing_logged and not in_doubt:
            set_not_run_answer(entry)


def _slices_of(slice_map: SliceMap, member_id: str) -> set[int]:
    owners = enumerate(slice_map.owners)
    return {index for index, owner in owners if owner == member_id}


def _reset_entries(table: ClaimTable, retained_slices: set[int]) -> None:
    """Withdraws unsent starts and answers in slices that were not owned throughout.

    Another owner may have run such a request, so its unsent starts and a "not run"
    that no caller received are withdrawn. Requests with a start that was sent stay
    in the table until their hosts have reported whether they ran.
    """
    for entry in list(table.entries_by_id.values()):
        if slice_of(entry.request_id) in retained_slices:
            continue
        attempts = entry.attempts_by_task
        entry.attempts_by_task = {
            task_id: attempt for task_id, attempt in attempts.items() if attempt.is_sent
        }
        is_answered = is_answer_final(entry)
        if not is_answered and not entry.attempts_by_task:
            drop_entry(table, entry)
        elif entry.answer is None and not entry.idempotent:
            entry.is_inherited = True


def begin_release(table: ClaimTable, index: int) -> None:
    """Stops accepting new requests of a slice that is handed over to another member."""
    if index in table.owned_slices:
        table.closing_slices.add(index)


def cancel_release(table: ClaimTable, index: int) -> None:
    """Resumes accepting new requests of a slice that stays with this host."""
    table.closing_slices.discard(index)


def may_release_slice(table: ClaimTable, index: int) -> bool:
    """Returns whether a slice that is being handed over can be released.

    All its requests must be answered and their claims on the platform, except for
    stored requests that have not started, which the next owner runs.
    """
    if index not in table.closing_slices:
        return False
    if any(slice_of(record.request_id) == index for record in table.unlogged_claims):
        return False
    return all(
        is_answer_final(entry) or has_not_started(entry)
        for entry in table.entries_by_id.values()
        if slice_of(entry.request_id) == index
    )
