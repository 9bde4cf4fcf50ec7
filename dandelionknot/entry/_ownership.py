"""Slices that this member owns, and the claim log that it writes for them."""

from dandelionknot import codec, decisions
from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.entry._platform_sync import CLAIMS_PREFIX, SLICES_KEY, WORK_PREFIX
from dandelionknot.entry._state import DispatcherState
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    ClaimSegment,
    ListFinished,
    ListRequest,
    PlatformView,
    ReadFinished,
    ReadRequest,
    SliceMap,
    StoredList,
    WriteFinished,
    WriteOutcome,
    WriteRequest,
)
from dandelionknot.metrics import Counter

# Maximum number of slices that one write of the slice map releases, unless this member
# releases all of its slices.
MAX_RELEASES_AT_ONCE = 8


def observe_ownership(state: DispatcherState, view: PlatformView) -> None:
    """Extends the ownership of slices and adopts the slice map of a view.

    If the map gives new slices to this member, the stored requests and the claims
    are listed first, and `handle_claims_list` takes the slices over.
    """
    refresh_ownership(state)
    state.claims.flush_interval_ms = decisions.claims.flush_interval_ms(
        state.context.settings.claim_flush_ms, max(1, len(view.members_by_id))
    )
    state.work.flush_interval_ms = decisions.work.flush_interval_ms(
        state.context.settings.work_flush_ms, max(1, len(view.members_by_id))
    )
    _reopen_retained_slices(state, view)
    if view.slices is None or state.excluded or state.taking_over:
        return
    gained = decisions.claims.gained_slices(state.claims, view.slices, now_ms())
    if not gained:
        _take_over(state, view, None)
        return
    _list_stored_requests(state, view.slices)


def _list_stored_requests(state: DispatcherState, slice_map: SliceMap) -> None:
    """Sends the order to list stored asynchronous requests, before claims are listed.

    In this order, the segment of a claimed request is in the list unless the request
    ended so long ago that the segment was deleted.
    """
    state.taking_over = True
    state.listed_epoch = slice_map.epoch
    state.outboxes.writer.send(ListRequest(prefix=WORK_PREFIX))


def refresh_ownership(state: DispatcherState) -> None:
    """Extends the ownership of slices to match the last proof of freshness."""
    as_of_ms = decisions.freshness.fresh_as_of_ms(
        state.freshness,
        state.configuration.version,
        state.view.members_revision if state.view else 0,
    )
    if as_of_ms is not None and not state.excluded:
        decisions.claims.renew_ownership(state.claims, as_of_ms, now_ms())


def handle_claims_list(
    state: DispatcherState, message: ListFinished
) -> set[int] | None:
    """Becomes owner of gained slices with the claims of their former owners.

    Returns the gained slices, or None if the take-over failed or must be repeated.
    """
    state.taking_over = False
    view = state.view
    if message.found is None or view is None or view.slices is None:
        return None
    if view.slices.epoch != state.listed_epoch:
        _list_stored_requests(state, view.slices)
        return None
    if view.question_sent_ms > message.question_sent_ms:
        # The view is newer than the list, so the slice map may have changed after the
        # list was made.
        state.taking_over = True
        state.outboxes.writer.send(ListRequest(prefix=CLAIMS_PREFIX))
        return None
    segments = []
    for stored in message.found.values:
        decoded = codec.decode_json(stored.value, ClaimSegment, stored.key)
        if decoded.is_err():
            log_event(Event.PLATFORM_VALUE_MALFORMED, problem=str(decoded.err()))
            continue
        segments.append(decoded.unwrap())
    gained = decisions.claims.gained_slices(state.claims, view.slices, now_ms())
    taken = _take_over(state, view, segments)
    _delete_old_segments(state, view, message.found)
    return gained if taken else None


def _delete_old_segments(
    state: DispatcherState, view: PlatformView, found: StoredList
) -> None:
    """Deletes old claim segments of members that have no membership record.

    Recorded members reuse their own segments.
    """
    recorded = set(view.members_by_id)
    segments_by_key: dict[str, ClaimSegment] = {}
    revisions_by_key = {stored.key: stored.revision for stored in found.values}
    for stored in found.values:
        decoded = codec.decode_json(stored.value, ClaimSegment, stored.key)
        if decoded.is_ok() and decoded.unwrap().member_id not in recorded:
            segments_by_key[stored.key] = decoded.unwrap()
    max_age_ms = state.configuration.bounds.request_id_max_age_ms
    for key in decisions.claims.deletable_segments(
        segments_by_key, unix_ms(), max_age_ms
    ):
        state.outboxes.writer.send(
            WriteRequest(key=key, expected_revision=revisions_by_key[key], value=None)
        )


def _take_over(
    state: DispatcherState, view: PlatformView, segments: list[ClaimSegment] | None
) -> bool:
    """Becomes owner of gained slices and returns whether that was possible.

    `trusts_log` is True because the member that wrote the slice map has marked in it
    the slices whose claim log may be incomplete.
    """
    assert view.slices is not None
    before = len(state.claims.owned_slices)
    taken = decisions.claims.take_over(
        state.claims,
        view.slices,
        segments,
        trusts_log=True,
        asked_ms=view.question_sent_ms,
        now_ms=now_ms(),
        now_unix_ms=unix_ms(),
    )
    after = len(state.claims.owned_slices)
    if after != before:
        event = Event.SLICES_TAKEN if after > before else Event.SLICES_RELEASED
        log_event(event, owned=after)
    return taken


def owner_of(state: DispatcherState, request_id: str) -> str | None:
    """Returns the owner of a request id by the newest slice map read, if any."""
    slice_map = state.view.slices if state.view else None
    slice_map = slice_map or state.claims.slice_map
    return decisions.slices.owner_of(slice_map, request_id) if slice_map else None


def outage_view(state: DispatcherState) -> decisions.claims.OutageView | None:
    """Returns the ages of the last platform contact of this member and its peers.

    Returns None before the first platform read and until every peer has answered a
    ping.
    """
    read = state.freshness.platform_read
    answers = state.freshness.answers_by_member
    peer_ids = state.freshness.member_ids - {state.member_id}
    if read is None or not peer_ids <= answers.keys():
        return None
    asked_ms = min(
        (answers[each].question_sent_ms for each in peer_ids), default=now_ms()
    )
    return decisions.claims.OutageView(
        own_age_ms=now_ms() - read.question_sent_ms,
        peer_ages_ms=tuple(answers[each].pong.platform_age_ms for each in peer_ids),
        asked_ms=asked_ms,
    )


def flush_claims(state: DispatcherState) -> None:
    """Sends the next platform call of the claim log to the writer, if one is due."""
    call = decisions.claims.pending_segment(state.claims, now_ms())
    if isinstance(call, decisions.claims.SegmentWrite):
        state.context.metrics.count(Counter.CLAIM_WRITES)
        state.outboxes.writer.send(
            WriteRequest(
                key=call.key,
                expected_revision=call.expected_revision,
                value=codec.encode_json(call.segment).decode(),
            )
        )
    elif isinstance(call, decisions.claims.SegmentRead):
        state.outboxes.writer.send(ReadRequest(key=call.key))


def handle_claim_written(state: DispatcherState, message: WriteFinished) -> None:
    """Records how the write of a claim segment ended."""
    key = message.request.key
    if message.outcome is WriteOutcome.WRITTEN:
        decisions.claims.segment_written(state.claims, key, message.revision)
    elif message.outcome is WriteOutcome.CONFLICT:
        decisions.claims.segment_conflict(state.claims, key)
    else:
        log_event(Event.CLAIMS_NOT_WRITTEN, key=key)
        decisions.claims.segment_failed(state.claims, key, may_have_taken_effect=True)


def handle_claim_read(state: DispatcherState, message: ReadFinished) -> None:
    """Resolves a segment write whose answer was lost, from the segment read back."""
    if message.found is None:
        decisions.claims.segment_failed(
            state.claims, message.key, may_have_taken_effect=True
        )
        return
    segment = None
    if message.found.revision:
        decoded = codec.decode_json(message.found.value, ClaimSegment, message.key)
        segment = decoded.unwrap_or(None)
    decisions.claims.segment_read(
        state.claims, message.key, segment, message.found.revision
    )


def release_slices(state: DispatcherState, goal: SliceMap, everything: bool) -> None:
    """Hands over slices without open requests to their owners in the goal map.

    A slice stays in `closing_slices` until the next view shows the result of the map
    write, so that no new request of the slice is accepted in the meantime.
    """
    view = state.view
    if view is None or view.slices is None:
        return
    owners = list(view.slices.owners)
    limit = len(owners) if everything else MAX_RELEASES_AT_ONCE
    released = 0
    for index in sorted(state.claims.owned_slices):
        if goal.owners[index] == state.member_id or released >= limit:
            continue
        decisions.claims.begin_release(state.claims, index)
        if not decisions.claims.may_release_slice(state.claims, index):
            decisions.claims.cancel_release(state.claims, index)
            continue
        owners[index] = goal.owners[index]
        released += 1
    if released:
        write_slices(
            state,
            SliceMap(
                owners=owners,
                epoch=view.slices.epoch + 1,
                doubt_until_by_slice=view.slices.doubt_until_by_slice,
            ),
        )


def write_slices(state: DispatcherState, slice_map: SliceMap) -> None:
    """Sends the write of a slice map that replaces the one read last."""
    revision = state.view.slices_revision if state.view else 0
    sent = state.outboxes.writer.send(
        WriteRequest(
            key=SLICES_KEY,
            expected_revision=revision,
            value=codec.encode_json(slice_map).decode(),
        )
    )
    if sent.is_ok():
        state.duties.in_flight.add(SLICES_KEY)


def handle_slices_written(state: DispatcherState, message: WriteFinished) -> None:
    """Records how a write of the slice map ended.

    `repeat_map_write` repeats a write whose answer was lost.
    """
    state.duties.in_flight.discard(SLICES_KEY)
    if message.outcome is None:
        state.duties.unresolved_map_write = message.request
    elif message.outcome is WriteOutcome.CONFLICT:
        # The conflicting write may be an earlier one of this member whose answer was
        # lost, so `closing_slices` stays as it is until a view has this revision.
        state.duties.map_resolved_at_revision = message.revision


def repeat_map_write(state: DispatcherState) -> None:
    """Repeats a map write whose answer was lost, since it may still take effect.

    The expected revision is the same, so the write takes effect at most once.
    """
    request = state.duties.unresolved_map_write
    if request is not None:
        state.duties.unresolved_map_write = None
        state.outboxes.writer.send(request)


def _reopen_retained_slices(state: DispatcherState, view: PlatformView) -> None:
    """Reopens closing slices that this member still owns after a map conflict."""
    revision = state.duties.map_resolved_at_revision
    if revision is not None and view.slices_revision >= revision:
        state.duties.map_resolved_at_revision = None
        for index in list(state.claims.closing_slices):
            decisions.claims.cancel_release(state.claims, index)
