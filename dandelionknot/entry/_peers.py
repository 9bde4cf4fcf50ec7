"""Links between entry hosts: one server, and one client task per peer.

Calls and pings are sent by clients; the server answers on the same connection.
"""

import asyncio
import contextlib
import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from result import Err, Ok, Result
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from dandelionknot import codec
from dandelionknot._mailbox import Call, Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    CancelRequest,
    ConfigurationOffer,
    Envelope,
    FetchAnswer,
    ForwardedAnswer,
    ForwardedRequest,
    Hello,
    PeerAnswered,
    PeerCall,
    PeerCancel,
    PeerFetch,
    PeerMessageKind,
    Ping,
    Pong,
    UpdatePeers,
)
from dandelionknot.ports import PortError, PortErrorKind
from dandelionknot.settings import EntrySettings, split_address

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Messages of a link that wait until they are handled. The default of 16 would let one
# link hold 64 MB.
MAX_WAITING_MESSAGES = 2
# Largest message of a link that has not proven the secret of the fleet yet, and most
# such links: together they hold 16 MB at most.
MAX_HELLO_BYTES = 64 * 1024
MAX_UNPROVEN_LINKS = 128
LINK_MAILBOX_CAPACITY = 1000
RECONNECT_DELAY_MS = 200
# Limits the wait for each message of the authentication handshake.
HELLO_TIMEOUT_MS = 2000
# A link is closed after this many pings in a row without any message received.
MAX_UNANSWERED_PINGS = 2

CLASS_BY_KIND: dict[str, type] = {
    PeerMessageKind.HELLO: Hello,
    PeerMessageKind.PING: Ping,
    PeerMessageKind.PONG: Pong,
    PeerMessageKind.CONFIGURATION_OFFER: ConfigurationOffer,
    PeerMessageKind.FORWARDED_REQUEST: ForwardedRequest,
    PeerMessageKind.FORWARDED_ANSWER: ForwardedAnswer,
    PeerMessageKind.FETCH_ANSWER: FetchAnswer,
    PeerMessageKind.CANCEL_REQUEST: CancelRequest,
}
KIND_BY_CLASS = {cls: kind for kind, cls in CLASS_BY_KIND.items()}

LINK_ERRORS = (OSError, WebSocketException, TimeoutError, EOFError)

Count = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class PingPlan:
    """Interval of the pings and the configuration version that they carry."""

    interval_ms: int
    configuration_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerIdentity:
    """How this member identifies itself to its peers and connects to them."""

    member_id: str
    availability_zone: str
    secret: str
    source_ip: str | None
    connect_timeout_ms: int

    @classmethod
    def from_settings(cls, settings: EntrySettings, member_id: str) -> 'PeerIdentity':
        """Returns the identity of this member from the settings of its process."""
        return cls(
            member_id=member_id,
            availability_zone=settings.availability_zone,
            secret=settings.peer_secret,
            source_ip=settings.source_ip,
            connect_timeout_ms=settings.connect_timeout_ms,
        )


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A received message and the id of the call that it belongs to (0 for none)."""

    call_id: int
    message: object


def encode_message(message: object, call_id: int = 0) -> bytes:
    """Wraps a peer message in an envelope and encodes it as CBOR."""
    envelope = Envelope(
        protocol=PROTOCOL_VERSION,
        kind=KIND_BY_CLASS[type(message)],
        call_id=call_id,
        body=codec.to_data(message),
    )
    return codec.encode_cbor(envelope)


def decode_message(data: bytes | str) -> Result[PeerMessage, codec.DecodeError]:
    """Decodes an envelope and the message in it."""
    if isinstance(data, str):
        return Err(
            codec.DecodeError(where='peer', problem='text frame, not a binary frame')
        )
    decoded = codec.decode_cbor(data, Envelope, 'peer')
    if isinstance(decoded, Err):
        return decoded
    envelope = decoded.ok_value
    cls = CLASS_BY_KIND.get(envelope.kind)
    if cls is None:
        problem = f'message kind {envelope.kind!r} is not known'
        return Err(codec.DecodeError(where='peer', problem=problem))
    body: Result = codec.from_data(envelope.body, cls, envelope.kind)
    return body.map(lambda message: PeerMessage(envelope.call_id, message))


def _proof(secret: str, nonce: str, member_id: str) -> str:
    message = f'{nonce}/{member_id}'.encode()
    return hmac.new(secret.encode(), message, hashlib.sha256).hexdigest()


def _hello(identity: PeerIdentity, nonce: str, proof: str) -> Hello:
    return Hello(
        member_id=identity.member_id,
        incarnation=nonce,
        availability_zone=identity.availability_zone,
        proof=proof,
    )


async def _receive_hello(connection: ClientConnection | ServerConnection) -> Hello:
    data = await asyncio.wait_for(connection.recv(), seconds(HELLO_TIMEOUT_MS))
    decoded = decode_message(data)
    if isinstance(decoded, Err) or not isinstance(decoded.ok_value.message, Hello):
        raise EOFError('the peer sent no valid hello')
    return decoded.ok_value.message


async def _authenticate_to_server(
    connection: ClientConnection, identity: PeerIdentity
) -> bool:
    """Proves knowledge of the secret and returns whether the server proved it too."""
    challenge = await _receive_hello(connection)
    nonce = secrets.token_hex(16)
    proof = _proof(identity.secret, challenge.incarnation, identity.member_id)
    await connection.send(encode_message(_hello(identity, nonce, proof)))
    confirmation = await _receive_hello(connection)
    expected = _proof(identity.secret, nonce, confirmation.member_id)
    return hmac.compare_digest(confirmation.proof, expected)


async def _authenticate_client(
    connection: ServerConnection, identity: PeerIdentity
) -> str | None:
    """Returns the client's member id, or None if it did not prove the secret."""
    nonce = secrets.token_hex(16)
    await connection.send(encode_message(_hello(identity, nonce, '')))
    hello = await _receive_hello(connection)
    expected = _proof(identity.secret, nonce, hello.member_id)
    if not hmac.compare_digest(hello.proof, expected):
        return None
    proof = _proof(identity.secret, hello.incarnation, identity.member_id)
    await connection.send(encode_message(_hello(identity, nonce, proof)))
    return hello.member_id


@dataclass(slots=True)
class _PeerLink:
    """State of one client link, changed by the task of that link only.

    `pending_calls_by_id` has the calls without an answer by their call id;
    `ping_sent_ms_by_call_id` has the time at which each unanswered ping was sent.
    """

    member_id: str
    address: str
    mailbox: Mailbox
    pending_calls_by_id: dict[int, Call] = field(default_factory=dict)
    ping_sent_ms_by_call_id: dict[int, int] = field(default_factory=dict)
    next_call_id: int = 1
    unanswered_pings: int = 0


def _peer_error(member_id: str, kind: PortErrorKind) -> Err[PortError]:
    return Err(
        PortError(
            kind=kind, message=f'peer {member_id} is not connected or did not answer'
        )
    )


async def _send_calls(connection: ClientConnection, link: _PeerLink) -> None:
    while True:
        call: Call = await link.mailbox.receive()
        peer_call: PeerCall = call.message
        decoded: Result = codec.from_data(
            peer_call.body, CLASS_BY_KIND[peer_call.kind], peer_call.kind
        )
        message = decoded.unwrap()
        call_id = link.next_call_id
        link.next_call_id += 1
        link.pending_calls_by_id[call_id] = call
        await connection.send(encode_message(message, call_id))


async def _send_pings(
    connection: ClientConnection,
    link: _PeerLink,
    next_ping_plan: Callable[[], PingPlan],
) -> None:
    """Sends pings and closes the connection if the peer does not answer them.

    Unanswered pings are counted, not the time since the last answer, so that a
    pause of this process does not close the connection.
    """
    link.unanswered_pings = 0
    while True:
        plan = next_ping_plan()
        call_id = link.next_call_id
        link.next_call_id += 1
        link.ping_sent_ms_by_call_id[call_id] = now_ms()
        await connection.send(
            encode_message(
                Ping(configuration_version=plan.configuration_version), call_id
            )
        )
        link.unanswered_pings += 1
        await asyncio.sleep(seconds(plan.interval_ms))
        if link.unanswered_pings >= MAX_UNANSWERED_PINGS:
            # A closing handshake would wait for the unresponsive peer.
            connection.transport.abort()
            raise TimeoutError(f'peer {link.member_id} does not answer pings')


async def _receive(
    connection: ClientConnection, link: _PeerLink, dispatcher: Mailbox, count: Count
) -> None:
    async for data in connection:
        link.unanswered_pings = 0
        decoded = decode_message(data)
        if isinstance(decoded, Err):
            count('peer_messages_malformed')
            log_event(Event.PEER_MESSAGE_MALFORMED, problem=str(decoded.err_value))
            continue
        call_id, message = decoded.ok_value.call_id, decoded.ok_value.message
        if isinstance(message, Pong):
            sent_ms = link.ping_sent_ms_by_call_id.pop(call_id, None)
            if sent_ms is not None:
                dispatcher.send(
                    PeerAnswered(
                        member_id=link.member_id, question_sent_ms=sent_ms, pong=message
                    )
                )
        elif isinstance(message, ConfigurationOffer):
            dispatcher.send(message)
        elif call_id in link.pending_calls_by_id:
            link.pending_calls_by_id.pop(call_id).answer(Ok(message))


async def _run_connection(
    link: _PeerLink,
    identity: PeerIdentity,
    dispatcher: Mailbox,
    next_ping_plan: Callable[[], PingPlan],
    count: Count,
) -> None:
    local = (identity.source_ip, 0) if identity.source_ip else None
    async with connect(
        f'ws://{link.address}/',
        max_size=MAX_MESSAGE_BYTES,
        open_timeout=seconds(identity.connect_timeout_ms),
        ping_interval=None,
        compression=None,
        close_timeout=seconds(identity.connect_timeout_ms),
        local_addr=local,
    ) as connection:
        if not await _authenticate_to_server(connection, identity):
            log_event(Event.PEER_REFUSED, address=link.address)
            return
        log_event(Event.PEER_CONNECTED, member_id=link.member_id)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                _receive_until_closed(connection, link, dispatcher, count)
            )
            group.create_task(_send_calls(connection, link))
            group.create_task(_send_pings(connection, link, next_ping_plan))


async def _receive_until_closed(
    connection: ClientConnection, link: _PeerLink, dispatcher: Mailbox, count: Count
) -> None:
    await _receive(connection, link, dispatcher, count)
    raise EOFError('the peer closed the connection')


async def _run_link(
    link: _PeerLink,
    identity: PeerIdentity,
    dispatcher: Mailbox,
    next_ping_plan: Callable[[], PingPlan],
    count: Count,
) -> None:
    """Keeps a connection to one peer; when it is lost, its calls get an error."""
    while True:
        try:
            await _run_connection(link, identity, dispatcher, next_ping_plan, count)
        except* LINK_ERRORS:
            log_event(Event.PEER_DISCONNECTED, member_id=link.member_id)
        finally:
            _fail_calls(link)
        await asyncio.sleep(seconds(RECONNECT_DELAY_MS))


def _fail_calls(link: _PeerLink) -> None:
    """Answers the calls of a lost connection with an error; their senders can retry."""
    for call in link.pending_calls_by_id.values():
        call.answer(_peer_error(link.member_id, PortErrorKind.NO_ANSWER))
    link.pending_calls_by_id.clear()
    link.ping_sent_ms_by_call_id.clear()
    for call in link.mailbox.take_all():
        call.answer(_peer_error(link.member_id, PortErrorKind.NOT_SENT))


async def _time_out(call: Call, member_id: str, timeout_ms: int) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.shield(call.reply), seconds(timeout_ms))
        return
    call.answer(_peer_error(member_id, PortErrorKind.NO_ANSWER))


async def run_peer_links(
    identity: PeerIdentity,
    mailbox: Mailbox,
    dispatcher: Mailbox,
    next_ping_plan: Callable[[], PingPlan],
    count: Count,
) -> None:
    """Runs a link to each peer in the last `UpdatePeers` and passes calls to them."""
    links: dict[str, tuple[_PeerLink, asyncio.Task]] = {}
    async with asyncio.TaskGroup() as group:
        while True:
            message = await mailbox.receive()
            if isinstance(message, UpdatePeers):
                _update_links(
                    links,
                    message.addresses_by_member,
                    lambda link: group.create_task(
                        _run_link(link, identity, dispatcher, next_ping_plan, count)
                    ),
                )
                continue
            peer_call: PeerCall = message.message
            if peer_call.member_id not in links:
                message.answer(_peer_error(peer_call.member_id, PortErrorKind.NOT_SENT))
                continue
            sent = links[peer_call.member_id][0].mailbox.send(message)
            if isinstance(sent, Err):
                message.answer(_peer_error(peer_call.member_id, PortErrorKind.NOT_SENT))
                continue
            group.create_task(
                _time_out(message, peer_call.member_id, peer_call.timeout_ms)
            )


def _update_links(
    links: dict[str, tuple[_PeerLink, asyncio.Task]],
    addresses_by_member: dict[str, str],
    start: Callable[[_PeerLink], asyncio.Task],
) -> None:
    for member_id in list(links):
        link, task = links[member_id]
        if addresses_by_member.get(member_id) != link.address:
            task.cancel()
            del links[member_id]
    for member_id, address in addresses_by_member.items():
        if member_id not in links:
            link = _PeerLink(member_id, address, Mailbox(LINK_MAILBOX_CAPACITY))
            links[member_id] = (link, start(link))


async def _serve_connection(
    connection: ServerConnection,
    identity: PeerIdentity,
    dispatcher: Mailbox,
    count: Count,
    unproven: set[ServerConnection],
) -> None:
    unproven.add(connection)
    try:
        member_id = await _authenticate_client(connection, identity)
    except LINK_ERRORS:
        member_id = None
    finally:
        unproven.discard(connection)
    if member_id is None:
        count('peers_refused')
        log_event(Event.PEER_REFUSED, address=str(connection.remote_address))
        return
    connection.protocol.max_message_size = MAX_MESSAGE_BYTES
    try:
        await _serve_messages(connection, dispatcher, count)
    except* LINK_ERRORS:
        log_event(Event.PEER_DISCONNECTED, member_id=member_id)


async def _serve_messages(
    connection: ServerConnection, dispatcher: Mailbox, count: Count
) -> None:
    async with asyncio.TaskGroup() as group:
        async for data in connection:
            decoded = decode_message(data)
            if isinstance(decoded, Err):
                count('peer_messages_malformed')
                problem = str(decoded.err_value)
                log_event(Event.PEER_MESSAGE_MALFORMED, problem=problem)
                continue
            group.create_task(
                _handle_peer_message(connection, decoded.ok_value, dispatcher)
            )


async def _handle_peer_message(
    connection: ServerConnection, received: PeerMessage, dispatcher: Mailbox
) -> None:
    """Passes a peer's message to the dispatcher and sends the replies to the peer."""
    if isinstance(received.message, (Hello, Pong, ForwardedAnswer)):
        return
    message = received.message
    if isinstance(message, FetchAnswer):
        message = PeerFetch(fetch=message)
    elif isinstance(message, CancelRequest):
        message = PeerCancel(cancel=message)
    elif isinstance(message, ConfigurationOffer):
        await dispatcher.deliver(message)
        return
    answer = await dispatcher.ask(message)
    if isinstance(answer, Err):
        return
    with contextlib.suppress(*LINK_ERRORS):
        for reply in answer.ok_value:
            await connection.send(encode_message(reply, received.call_id))


async def start_peer_server(
    address: str, identity: PeerIdentity, dispatcher: Mailbox, count: Count
) -> Server:
    """Starts the server that accepts links from other entry hosts."""
    unproven: set[ServerConnection] = set()

    async def handle(connection: ServerConnection) -> None:
        await _serve_connection(connection, identity, dispatcher, count, unproven)

    def refuse_too_many(
        connection: ServerConnection, request: Request
    ) -> Response | None:
        if len(unproven) < MAX_UNPROVEN_LINKS:
            connection.protocol.max_message_size = MAX_HELLO_BYTES
            return None
        count('peers_refused')
        return connection.respond(HTTPStatus.SERVICE_UNAVAILABLE, '')

    host, port = split_address(address)
    return await serve(
        handle,
        host,
        port,
        process_request=refuse_too_many,
        max_size=MAX_MESSAGE_BYTES,
        max_queue=MAX_WAITING_MESSAGES,
        ping_interval=None,
        compression=None,
    )
