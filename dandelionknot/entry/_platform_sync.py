"""Tasks that call the platform: reader, writer and membership."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TypeVar

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.configuration import Configuration
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    GrantRecord,
    ListedHostState,
    ListFinished,
    ListRequest,
    Member,
    MemberJoined,
    PlatformView,
    ReadFinished,
    ReadRequest,
    RecordMembership,
    SliceMap,
    StopService,
    StoredList,
    StoredValue,
    WriteFinished,
    WriteOutcome,
    WriteRequest,
    WriteResult,
)
from dandelionknot.ports import PlatformPort, PortError

FLEET_PREFIX = 'fleet/'
CONFIGURATION_KEY = FLEET_PREFIX + 'configuration'
MEMBERS_PREFIX = FLEET_PREFIX + 'members/'
ALIVE_PREFIX = FLEET_PREFIX + 'alive/'
SLICES_KEY = FLEET_PREFIX + 'slices'
GRANTS_PREFIX = FLEET_PREFIX + 'grants/'
CLAIMS_PREFIX = 'claims/'
WORK_PREFIX = 'work/'

MIN_BACK_OFF_MS = 100
MAX_BACK_OFF_MS = 1000
# The member lease is renewed this many times within its time to live.
LEASE_RENEWALS_PER_TTL = 3

T = TypeVar('T')
Random = Callable[[], float]


@dataclass(slots=True)
class _Cache:
    """Values under the fleet prefix at `revision`, which is -1 until the first read.

    `members_revision` is the highest join revision of any member seen so far.
    """

    revision: int = -1
    values_by_key: dict[str, StoredValue] = field(default_factory=dict)
    decoded_by_key: dict[str, object] = field(default_factory=dict)
    members_revision: int = 0


def _class_of(key: str) -> type | None:
    if key == CONFIGURATION_KEY:
        return Configuration
    if key == SLICES_KEY:
        return SliceMap
    if key.startswith(MEMBERS_PREFIX):
        return Member
    if key.startswith(GRANTS_PREFIX):
        return GrantRecord
    return None


def _cache_value(cache: _Cache, stored: StoredValue) -> None:
    cache.values_by_key[stored.key] = stored
    cls = _class_of(stored.key)
    if cls is None:
        return
    decoded: Result = codec.decode_json(stored.value, cls, stored.key)
    if isinstance(decoded, Err):
        log_event(Event.PLATFORM_VALUE_MALFORMED, problem=str(decoded.err_value))
        cache.decoded_by_key.pop(stored.key, None)
        return
    cache.decoded_by_key[stored.key] = decoded.ok_value


def _apply_answer(cache: _Cache, answer: StoredList) -> None:
    for key in answer.deleted_keys:
        cache.values_by_key.pop(key, None)
        cache.decoded_by_key.pop(key, None)
    for stored in answer.values:
        _cache_value(cache, stored)
    cache.revision = answer.revision


def _decoded_by_key_suffix(cache: _Cache, prefix: str, cls: type[T]) -> dict[str, T]:
    return {
        key.removeprefix(prefix): value
        for key, value in cache.decoded_by_key.items()
        if key.startswith(prefix) and isinstance(value, cls)
    }


def _decoded_value(cache: _Cache, key: str, cls: type[T]) -> T | None:
    value = cache.decoded_by_key.get(key)
    return value if isinstance(value, cls) else None


def _revision_of(cache: _Cache, key: str) -> int:
    stored = cache.values_by_key.get(key)
    return stored.revision if stored else 0


def _build_view(
    cache: _Cache, question_sent_ms: int, listed: dict[str, ListedHostState]
) -> PlatformView:
    members_by_id = _decoded_by_key_suffix(cache, MEMBERS_PREFIX, Member)
    newest = max((each.joined_revision for each in members_by_id.values()), default=0)
    cache.members_revision = max(cache.members_revision, newest)
    grants_by_team = _decoded_by_key_suffix(cache, GRANTS_PREFIX, GrantRecord)
    return PlatformView(
        question_sent_ms=question_sent_ms,
        revision=cache.revision,
        configuration=_decoded_value(cache, CONFIGURATION_KEY, Configuration),
        members_by_id=members_by_id,
        members_revision=cache.members_revision,
        member_revisions_by_key={
            key: stored.revision
            for key, stored in cache.values_by_key.items()
            if key.startswith((MEMBERS_PREFIX, ALIVE_PREFIX))
        },
        alive_ids=sorted(
            key.removeprefix(ALIVE_PREFIX)
            for key in cache.values_by_key
            if key.startswith(ALIVE_PREFIX)
        ),
        slices=_decoded_value(cache, SLICES_KEY, SliceMap),
        slices_revision=_revision_of(cache, SLICES_KEY),
        grants_by_team=grants_by_team,
        grant_revisions_by_team={
            team: _revision_of(cache, GRANTS_PREFIX + team) for team in grants_by_team
        },
        listed_states_by_host=listed,
    )


@dataclass(slots=True)
class _RetryState:
    """Whether the platform answers, and the wait after the next failed call."""

    random: Random
    reachable: bool = True
    back_off_ms: int = MIN_BACK_OFF_MS


@dataclass(slots=True)
class _ListedHosts:
    """The platform's host list as last read."""

    states_by_host: dict[str, ListedHostState] = field(default_factory=dict)
    read_ms: int = 0


async def run_reader(
    port: PlatformPort, dispatcher: Mailbox, wait_ms: int, random: Random
) -> None:
    """Watches the fleet prefix and sends a `PlatformView` for every answer.

    An answer without changes still proves that the view was current when the call
    was sent (`question_sent_ms`). A lower revision than before means that the
    platform was restored from a backup, so all values are read again.
    """
    cache = _Cache()
    hosts = _ListedHosts()
    retry_state = _RetryState(random)
    while True:
        question_sent_ms = now_ms()
        answer = await _list_or_watch(port, cache, wait_ms)
        if isinstance(answer, Err):
            await _wait_after_failure(retry_state, answer.err_value)
            continue
        _record_answer(retry_state)
        if answer.ok_value.revision < cache.revision:
            cache = _Cache(members_revision=cache.members_revision)
            continue
        _apply_answer(cache, answer.ok_value)
        await _refresh_hosts(port, hosts, wait_ms)
        await dispatcher.deliver(
            _build_view(cache, question_sent_ms, hosts.states_by_host)
        )


async def _list_or_watch(
    port: PlatformPort, cache: _Cache, wait_ms: int
) -> Result[StoredList, PortError]:
    if cache.revision < 0:
        return await port.list(FLEET_PREFIX)
    return await port.watch(FLEET_PREFIX, cache.revision, wait_ms)


async def _wait_after_failure(retry_state: _RetryState, error: PortError) -> None:
    if retry_state.reachable:
        retry_state.reachable = False
        log_event(Event.PLATFORM_UNREACHABLE, problem=error.message)
    await asyncio.sleep(seconds(retry_state.back_off_ms * (0.5 + retry_state.random())))
    retry_state.back_off_ms = min(retry_state.back_off_ms * 2, MAX_BACK_OFF_MS)


def _record_answer(retry_state: _RetryState) -> None:
    if not retry_state.reachable:
        log_event(Event.PLATFORM_REACHED)
    retry_state.reachable = True
    retry_state.back_off_ms = MIN_BACK_OFF_MS


async def _refresh_hosts(
    port: PlatformPort, hosts: _ListedHosts, interval_ms: int
) -> None:
    if now_ms() - hosts.read_ms < interval_ms:
        return
    listed = await port.list_hosts()
    if isinstance(listed, Ok):
        hosts.states_by_host = listed.ok_value.states_by_host
        hosts.read_ms = now_ms()


async def run_writer(port: PlatformPort, mailbox: Mailbox, dispatcher: Mailbox) -> None:
    """Makes the platform calls that the dispatcher sends and reports each result."""
    async with asyncio.TaskGroup() as group:
        while True:
            request = await mailbox.receive()
            group.create_task(_carry_out(port, request, dispatcher))


async def _carry_out(
    port: PlatformPort,
    request: WriteRequest | ReadRequest | ListRequest,
    dispatcher: Mailbox,
) -> None:
    if isinstance(request, WriteRequest):
        written = await port.compare_and_swap(request)
        result = written.unwrap_or(None)
        finished = WriteFinished(
            request=request,
            outcome=result.outcome if result else None,
            revision=result.revision if result else 0,
        )
        await dispatcher.deliver(finished)
        return
    if isinstance(request, ReadRequest):
        stored = await port.read(request.key)
        await dispatcher.deliver(
            ReadFinished(key=request.key, found=stored.unwrap_or(None))
        )
        return
    question_sent_ms = now_ms()
    listed = await port.list(request.prefix)
    await dispatcher.deliver(
        ListFinished(
            prefix=request.prefix,
            question_sent_ms=question_sent_ms,
            found=listed.unwrap_or(None),
        )
    )


async def write_with_read_back(
    port: PlatformPort, request: WriteRequest
) -> Result[WriteResult, PortError]:
    """Writes a value; if the answer is lost, reads back whether it took effect."""
    written = await port.compare_and_swap(request)
    if isinstance(written, Ok):
        return written
    stored = await port.read(request.key)
    if isinstance(stored, Err):
        return written
    value = stored.ok_value
    if value.revision > request.expected_revision and value.value == request.value:
        outcome = WriteOutcome.WRITTEN
    else:
        outcome = WriteOutcome.CONFLICT
    return Ok(WriteResult(outcome=outcome, revision=value.revision))


@dataclass(slots=True)
class _Membership:
    """Record of this member with its revision, and its lease on the platform."""

    record: Member
    revision: int = 0
    lease_id: str | None = None


async def _renew_lease(
    port: PlatformPort, membership: _Membership, ttl_ms: int
) -> None:
    if membership.lease_id is not None:
        renewed = await port.renew_lease(membership.lease_id)
        if isinstance(renewed, Ok):
            return
        log_event(Event.MEMBER_LEASE_LOST, problem=renewed.err_value.message)
    granted = await port.grant_lease(ttl_ms)
    if isinstance(granted, Err):
        return
    key = ALIVE_PREFIX + membership.record.member_id
    stored = await port.read(key)
    if isinstance(stored, Err):
        return
    written = await port.compare_and_swap(
        WriteRequest(
            key=key,
            expected_revision=stored.ok_value.revision,
            value=f'"{membership.record.incarnation}"',
            lease_id=granted.ok_value.lease_id,
        )
    )
    if isinstance(written, Ok) and written.ok_value.outcome is WriteOutcome.WRITTEN:
        membership.lease_id = granted.ok_value.lease_id


async def _write_record(port: PlatformPort, membership: _Membership) -> bool:
    """Writes the member record and returns whether it was written.

    This member is the only writer, so a conflict only means that the known
    revision was outdated. The next call uses the revision from the answer.
    """
    request = WriteRequest(
        key=MEMBERS_PREFIX + membership.record.member_id,
        expected_revision=membership.revision,
        value=codec.encode_json(membership.record).decode(),
    )
    written = await write_with_read_back(port, request)
    if isinstance(written, Err):
        return False
    membership.revision = written.ok_value.revision
    return written.ok_value.outcome is WriteOutcome.WRITTEN


async def _join(port: PlatformPort, membership: _Membership) -> bool:
    """Writes the record twice and returns whether both writes took effect.

    The second write adds the join revision, which is the revision of the first write.
    """
    if not await _write_record(port, membership):
        return False
    joined = replace(membership.record, joined_revision=membership.revision)
    membership.record = joined
    return await _write_record(port, membership)


async def _join_until_written(port: PlatformPort, membership: _Membership) -> None:
    back_off_ms = MIN_BACK_OFF_MS
    while True:
        if await _join(port, membership):
            return
        await asyncio.sleep(seconds(back_off_ms))
        back_off_ms = min(back_off_ms * 2, MAX_BACK_OFF_MS)


async def run_membership(
    port: PlatformPort,
    mailbox: Mailbox,
    dispatcher: Mailbox,
    record: Member,
    lease_ms: int,
) -> None:
    """Writes this member's record and renews its lease until a `StopService`."""
    membership = _Membership(record)
    interval_ms = lease_ms // LEASE_RENEWALS_PER_TTL
    await _join_until_written(port, membership)
    await _renew_lease(port, membership, lease_ms)
    await _report_joined(dispatcher, membership.record)
    write_pending = False
    may_renew = True
    renewed_ms = now_ms()
    while True:
        wait_ms = MIN_BACK_OFF_MS if write_pending else interval_ms
        message = await _receive_within(mailbox, wait_ms)
        if isinstance(message, StopService):
            await _leave(port, membership)
            return
        if isinstance(message, RecordMembership):
            membership.record = _updated_record(membership.record, message)
            write_pending = True
            may_renew = message.may_renew
        if write_pending:
            write_pending = not await _write_record(port, membership)
        if may_renew and now_ms() - renewed_ms >= interval_ms:
            renewed_ms = now_ms()
            await _renew_lease(port, membership, lease_ms)


async def _report_joined(dispatcher: Mailbox, record: Member) -> None:
    revision = record.joined_revision
    await dispatcher.deliver(
        MemberJoined(incarnation=record.incarnation, joined_revision=revision)
    )
    log_event(Event.MEMBER_JOINED, member_id=record.member_id, revision=revision)


async def _receive_within(mailbox: Mailbox, wait_ms: int) -> object | None:
    """Returns the next message, or None if none arrives in time."""
    try:
        return await asyncio.wait_for(mailbox.receive(), seconds(wait_ms))
    except TimeoutError:
        return None


def _updated_record(record: Member, message: RecordMembership) -> Member:
    return replace(
        record,
        confirmed_version=message.confirmed_version,
        confirmed_bounds=message.confirmed_bounds,
        members_revision=message.members_revision,
        stopping=message.stopping,
    )


async def _leave(port: PlatformPort, membership: _Membership) -> None:
    """Deletes the record and the liveness key after a graceful stop."""
    member_id = membership.record.member_id
    for key in (MEMBERS_PREFIX + member_id, ALIVE_PREFIX + member_id):
        stored = await port.read(key)
        if isinstance(stored, Err) or stored.ok_value.revision == 0:
            continue
        revision = stored.ok_value.revision
        await port.compare_and_swap(
            WriteRequest(key=key, expected_revision=revision, value=None)
        )


def new_incarnation() -> str:
    """Returns a random id for one lifetime of a member's process."""
    return uuid.uuid4().hex
