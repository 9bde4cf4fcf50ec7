"""Decides which connections stay open and which requests may be read.

The load that it addresses are clients that are not under control: they hold many
connections, headers and bodies open, send bodies far over the limit, or do not read
their answers. The module has no sockets and no clock. HTTP servers report what happens
on their connections, and close or refuse what the functions name.

All ports of a process share one `RequestTable`, since they share its memory. Every
port has a limit of connections of its own, so that callers cannot use up those of the
health checks.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

BYTES_PER_MB = 1_000_000
# A body is held twice while its pieces are joined for its handler.
COPIES_OF_BODY = 2
# Share of the memory budget that bodies above `small_body_bytes` may use together. The
# rest is kept for small ones.
LARGE_SHARE = 0.75
# A connection that has received fewer bytes than this since its last progress has made
# no progress, so that single bytes do not keep a request open.
PROGRESS_BYTES = 4096
# A large body makes room for another one only if it had no progress for this long.
# A link of 5 Mbit/s carries 600 KB in that time.
STALLED_MS = 1000
# Share of the connections of a port that is closed at once when the limit is reached,
# so that the search for them is not repeated with each new connection.
CLOSED_SHARE = 0.05
# Share of the memory budget that is freed at once when it is exhausted.
FREED_SHARE = 0.1
# Framing of a chunked body, beyond the size of the body itself, that is read. Chunks of
# a few bytes cost far more processor time than their bytes.
FRAMING_BYTES = 64 * 1024
# Framing of one chunk in bytes. It is more for chunks of 16 bytes and above, which are
# then counted a little too high.
CHUNK_FRAMING_BYTES = 5
# Chunks of each request that are read in any case.
FREE_CHUNKS = 16
# A request with chunks is refused if it had to wait longer than this for its turn.
MAX_CHUNK_WAIT_MS = 5000
# Time for which a connection that was refused may stay open until its answer is sent.
REFUSED_MS = 2000


class LimitReason(StrEnum):
    """Limit for which a connection was closed or a request was refused."""

    BODY_TOO_LARGE = 'body_too_large'
    CHUNKS_TOO_SMALL = 'chunks_too_small'
    HEADERS_TOO_LARGE = 'headers_too_large'
    CHUNKS = 'chunks'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    HEADER_TIMEOUT = 'header_timeout'
    BODY_STALLED = 'body_stalled'
    BODY_TIMEOUT = 'body_timeout'
    IDLE_TIMEOUT = 'idle_timeout'
    ANSWER_NOT_READ = 'answer_not_read'


class Phase(IntEnum):
    """What a connection is doing."""

    IDLE = 0
    HEADERS = 1
    BODY = 2
    # The request is complete. It may have taken effect, and its answer is delivered.
    HANDLED = 3
    # A part of the answer waits until the client reads it.
    ANSWERED = 4
    # The request was refused, and the connection closes after the answer.
    REFUSED = 5


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestLimits:
    """Limits of all ports of a process together."""

    # Bytes of all requests that are not answered yet.
    budget_bytes: int
    max_header_bytes: int = 16_384
    # Chunks of all bodies together; a chunk takes about 30 us on a slow core.
    chunks_per_s: int = 5000
    # Up to this size, a body may use the whole budget.
    small_body_bytes: int = 16_384
    header_timeout_ms: int = 10_000
    stalled_timeout_ms: int = 10_000
    body_timeout_ms: int = 60_000
    idle_timeout_ms: int = 600_000
    answer_timeout_ms: int = 30_000


@dataclass(slots=True, eq=False)
class Port:
    """Limits of one port, and its open connections."""

    name: str
    max_connections: int
    max_body_bytes: int
    connections: set['Connection'] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Connection:
    """State of one connection; `stream` is what the server closes it by."""

    port: Port
    stream: object
    progressed_ms: int
    phase: Phase = Phase.IDLE
    began_ms: int = 0
    # Received bytes that are not parsed yet.
    unparsed_bytes: int = 0
    body_bytes: int = 0
    # Bytes that were received since the request began, with framing.
    received_bytes: int = 0
    header_bytes: int = 0
    since_progress_bytes: int = 0
    is_chunked: bool = False
    # Chunks that were counted so far.
    chunks: int = 0
    is_large: bool = False
    # Size that is kept free for an announced large body and for what is made of it.
    reserved_bytes: int = 0
    charged_bytes: int = 0
    is_open: bool = True


@dataclass(slots=True)
class RequestTable:
    """All connections of a process, and the memory of their requests.

    Every function that may have to close connections returns them; they are no longer
    in the table then. `reasons` counts closed connections and refused requests by port
    and reason.
    """

    limits: RequestLimits
    ports: list[Port] = field(default_factory=list)
    charged_bytes: int = 0
    large_bytes: int = 0
    # Chunks that may be parsed now; below 0 while some wait for their turn.
    chunk_credit: float = 0.0
    credited_ms: int = 0
    reasons: Counter[tuple[str, LimitReason]] = field(default_factory=Counter)

    def add_port(self, name: str, max_connections: int, max_body_bytes: int) -> Port:
        """Adds a port."""
        port = Port(name, max_connections, max_body_bytes)
        self.ports.append(port)
        return port

    def open(
        self, port: Port, stream: object, now_ms: int
    ) -> tuple[Connection | None, list[Connection]]:
        """Returns the state of a new connection, or None, and those to be closed.

        At the limit, the connections of the port are closed that had no progress for
        the longest time. Those whose request is being handled stay.
        """
        closed: list[Connection] = []
        if len(port.connections) >= port.max_connections:
            count = max(1, int(port.max_connections * CLOSED_SHARE))
            oldest = _oldest_first(each for each in port.connections if _is_free(each))
            closed = oldest[:count]
            for victim in closed:
                self._close(victim, LimitReason.CONNECTIONS)
        if len(port.connections) >= port.max_connections:
            self.reasons[port.name, LimitReason.CONNECTIONS] += 1
            return None, closed
        connection = Connection(port, stream, now_ms)
        port.connections.add(connection)
        return connection, closed

    def received(
        self, connection: Connection, size: int, unparsed: int, now_ms: int
    ) -> list[Connection]:
        """Counts received bytes, of which `unparsed` are in the buffer of the stream.

        Returns the connections to be closed, which may include this one.
        """
        connection.unparsed_bytes = unparsed
        connection.received_bytes += size
        if connection.phase is Phase.IDLE:
            connection.phase = Phase.HEADERS
            connection.began_ms = connection.progressed_ms = now_ms
        connection.since_progress_bytes += size
        if connection.since_progress_bytes >= PROGRESS_BYTES:
            connection.since_progress_bytes = 0
            connection.progressed_ms = now_ms
        self._charge(connection)
        if self.charged_bytes <= self.limits.budget_bytes:
            return []
        return self._free_budget(connection)

    def headers_received(
        self, connection: Connection, announced: int | None, unparsed: int, now_ms: int
    ) -> tuple[LimitReason | None, list[Connection]]:
        """Decides whether the body of a request is read.

        `announced` is the size of the body, None if it comes in chunks. Returns the
        reason of a refusal, or None, and the connections to be closed.
        """
        connection.phase = Phase.BODY
        connection.progressed_ms = now_ms
        connection.header_bytes = connection.received_bytes - unparsed
        connection.unparsed_bytes = unparsed
        if announced is None:
            connection.is_chunked = True
            self._charge(connection)
            return None, []
        if announced > connection.port.max_body_bytes:
            return self._refuse(connection, LimitReason.BODY_TOO_LARGE), []
        if announced <= self.limits.small_body_bytes:
            self._charge(connection)
            return None, []
        reason, closed = self._make_large(connection, announced * COPIES_OF_BODY)
        return reason, closed

    def body_received(
        self, connection: Connection, size: int, unparsed: int, now_ms: int
    ) -> tuple[LimitReason | None, list[Connection]]:
        """Counts bytes of a body; returns as `headers_received` does."""
        connection.body_bytes += size
        connection.unparsed_bytes = unparsed
        body = connection.body_bytes
        if body > connection.port.max_body_bytes:
            return self._refuse(connection, LimitReason.BODY_TOO_LARGE), []
        wire = connection.received_bytes - connection.header_bytes - unparsed
        if wire > 2 * body + FRAMING_BYTES:
            return self._refuse(connection, LimitReason.CHUNKS_TOO_SMALL), []
        needed = body * COPIES_OF_BODY
        if body <= self.limits.small_body_bytes or needed <= connection.reserved_bytes:
            self._charge(connection)
            return None, []
        # The size is doubled, so that room is sought a few times for each body.
        most = connection.port.max_body_bytes * COPIES_OF_BODY
        return self._make_large(connection, min(2 * needed, most))

    def wait_for_chunks(
        self, connection: Connection, lines: int, now_ms: int
    ) -> tuple[LimitReason | None, int]:
        """Returns the refusal of a chunked body, or how long it waits in ms.

        `lines` are the line ends that have been received but not parsed; a chunk has
        two of them. The chunks of all requests wait in turn, so that parsing them does
        not keep other tasks from running.
        """
        parsed = connection.received_bytes - connection.header_bytes
        parsed -= connection.unparsed_bytes + connection.body_bytes
        chunks = parsed // CHUNK_FRAMING_BYTES + lines // 2
        new = chunks - max(connection.chunks, FREE_CHUNKS)
        if new <= 0:
            return None, 0
        connection.chunks = chunks
        rate = self.limits.chunks_per_s
        credit = self.chunk_credit + (now_ms - self.credited_ms) * rate / 1000
        self.credited_ms = now_ms
        self.chunk_credit = min(credit, rate) - new
        wait_ms = int(max(0.0, -self.chunk_credit) * 1000 / rate)
        if wait_ms > MAX_CHUNK_WAIT_MS:
            self.chunk_credit += new
            return self._refuse(connection, LimitReason.CHUNKS), 0
        return None, wait_ms

    def completed(self, connection: Connection, now_ms: int) -> None:
        """Records that a request is complete and is handed to its handler."""
        connection.phase = Phase.HANDLED
        connection.progressed_ms = now_ms

    def decoded(self, connection: Connection, size: int) -> bool:
        """Whether there is room for `size` bytes that were decoded from a request.

        Without room, the request must be refused before it takes effect.
        """
        if self._excess(size) > 0:
            self.reasons[connection.port.name, LimitReason.MEMORY] += 1
            return False
        received = connection.body_bytes * COPIES_OF_BODY
        connection.reserved_bytes = size + max(received, connection.reserved_bytes)
        self._charge(connection)
        return True

    def answer_waits(self, connection: Connection, unsent: int, now_ms: int) -> None:
        """Records that a part of an answer waits for its client."""
        if connection.phase is Phase.HANDLED:
            connection.phase = Phase.ANSWERED
            connection.began_ms = now_ms
            connection.reserved_bytes += unsent
            self._charge(connection)

    def answered(self, connection: Connection, unparsed: int, now_ms: int) -> None:
        """Records that the next request is expected; the last one was answered."""
        connection.phase = Phase.HEADERS if unparsed else Phase.IDLE
        connection.began_ms = connection.progressed_ms = now_ms
        connection.unparsed_bytes = connection.received_bytes = unparsed
        connection.body_bytes = connection.header_bytes = connection.chunks = 0
        connection.is_chunked = False
        connection.reserved_bytes = connection.since_progress_bytes = 0
        self._charge(connection)
        connection.is_large = False

    def closed(self, connection: Connection) -> None:
        """Removes a connection that has been closed by either side."""
        if not connection.is_open:
            return
        is_long = connection.unparsed_bytes >= self.limits.max_header_bytes
        if is_long and connection.phase is Phase.HEADERS:
            self.reasons[connection.port.name, LimitReason.HEADERS_TOO_LARGE] += 1
        self._remove(connection)

    def expired(self, now_ms: int) -> list[Connection]:
        """Returns the connections to be closed since a time limit has passed."""
        expired = []
        for port in self.ports:
            for connection in port.connections:
                reason = self._time_limit(connection, now_ms)
                if reason is not None:
                    expired.append((connection, reason))
        for connection, reason in expired:
            self._close(connection, reason)
        return [connection for connection, _ in expired]

    def take_reasons(self) -> dict[tuple[str, LimitReason], int]:
        """Returns the counts by port and reason since the last call."""
        counts = dict(self.reasons)
        self.reasons.clear()
        return counts

    def _time_limit(self, connection: Connection, now_ms: int) -> LimitReason | None:
        limits = self.limits
        quiet_ms = now_ms - connection.progressed_ms
        open_ms = now_ms - connection.began_ms
        match connection.phase:
            case Phase.IDLE if quiet_ms > limits.idle_timeout_ms:
                return LimitReason.IDLE_TIMEOUT
            case Phase.HEADERS if open_ms > limits.header_timeout_ms:
                return LimitReason.HEADER_TIMEOUT
            case Phase.BODY if quiet_ms > limits.stalled_timeout_ms:
                return LimitReason.BODY_STALLED
            case Phase.BODY if open_ms > limits.body_timeout_ms:
                return LimitReason.BODY_TIMEOUT
            case Phase.ANSWERED if open_ms > limits.answer_timeout_ms:
                return LimitReason.ANSWER_NOT_READ
            case Phase.REFUSED if quiet_ms > REFUSED_MS:
                return LimitReason.ANSWER_NOT_READ
        return None

    def _charge(self, connection: Connection) -> None:
        size = connection.unparsed_bytes + COPIES_OF_BODY * connection.body_bytes
        size = max(size, connection.reserved_bytes)
        change = size - connection.charged_bytes
        # Data of a closed connection may still be parsed from its buffer.
        if change and connection.is_open:
            connection.charged_bytes = size
            self.charged_bytes += change
            if connection.is_large:
                self.large_bytes += change

    def _excess(self, more: int = 0) -> int:
        return self.charged_bytes + more - self.limits.budget_bytes

    def _make_large(
        self, connection: Connection, size: int
    ) -> tuple[LimitReason | None, list[Connection]]:
        """Keeps `size` bytes free for a large body, or refuses it.

        Other requests are closed for it only if their progress has stalled.
        """
        budget = self.limits.budget_bytes
        change = size - connection.charged_bytes
        large = self.large_bytes + (change if connection.is_large else size)
        missing = max(large - int(budget * LARGE_SHARE), self._excess(change))
        closed: list[Connection] = []
        if missing > 0:
            limit_ms = connection.progressed_ms - STALLED_MS
            closed = self._close_holders(connection, missing, limit_ms, large_only=True)
            missing -= sum(each.charged_bytes for each in closed)
        if missing > 0:
            return self._refuse(connection, LimitReason.MEMORY), closed
        if not connection.is_large:
            connection.is_large = True
            self.large_bytes += connection.charged_bytes
        connection.reserved_bytes = size
        self._charge(connection)
        return None, closed

    def _free_budget(self, connection: Connection) -> list[Connection]:
        """Closes the holders without progress for the longest time."""
        missing = self._excess(int(self.limits.budget_bytes * FREED_SHARE))
        closed = self._close_holders(connection, missing, connection.progressed_ms)
        if self._excess() > 0 and connection.phase in (Phase.HEADERS, Phase.BODY):
            self._close(connection, LimitReason.MEMORY)
            closed.append(connection)
        return closed

    def _close_holders(
        self,
        for_connection: Connection,
        missing: int,
        limit_ms: int,
        large_only: bool = False,
    ) -> list[Connection]:
        """Closes requests whose last progress was before `limit_ms`, oldest first."""
        holders = _oldest_first(
            each
            for port in self.ports
            for each in port.connections
            if each.charged_bytes
            and _is_free(each)
            and each is not for_connection
            and each.progressed_ms <= limit_ms
            and (each.is_large or not large_only)
        )
        closed = []
        for holder in holders:
            if missing <= 0:
                break
            missing -= holder.charged_bytes
            self._close(holder, LimitReason.MEMORY)
            closed.append(holder)
        return closed

    def _refuse(self, connection: Connection, reason: LimitReason) -> LimitReason:
        self.reasons[connection.port.name, reason] += 1
        connection.phase = Phase.REFUSED
        return reason

    def _close(self, connection: Connection, reason: LimitReason) -> None:
        self.reasons[connection.port.name, reason] += 1
        self._remove(connection)

    def _remove(self, connection: Connection) -> None:
        connection.is_open = False
        connection.port.connections.discard(connection)
        self.charged_bytes -= connection.charged_bytes
        if connection.is_large:
            self.large_bytes -= connection.charged_bytes


def _is_free(connection: Connection) -> bool:
    """Whether a connection may be closed: none of its requests is being handled."""
    return connection.phase is not Phase.HANDLED


def _oldest_first(connections: Iterable[Connection]) -> list[Connection]:
    return sorted(connections, key=lambda each: each.progressed_ms)
