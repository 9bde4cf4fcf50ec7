"""TCP relay that can delay, freeze and close the connections through it.

It connects to its target from the client's source address. Faults of the target that
depend on the source address therefore still apply.
"""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

from dandelionknot.clock import seconds

CHUNK_BYTES = 64 * 1024
STOP_TIMEOUT_S = 1


@dataclass(slots=True)
class RelayFaults:
    """Faults in effect.

    A connection on which `silent` or `one_way` dropped data carries no more data, even
    after the fault has ended.
    """

    # New connections from these addresses are closed at once.
    cut_source_ips: set[str] = field(default_factory=set)
    # All new connections are closed at once.
    down: bool = False
    # All data is dropped, while connections stay open.
    silent: bool = False
    # Data from the target is dropped, while connections stay open.
    one_way: bool = False
    # Delay of all data.
    delay_ms: int = 0


@dataclass(slots=True)
class _Connection:
    source_ip: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    # The connection stays open, and all further data is dropped.
    frozen: bool = False


@dataclass(slots=True)
class Relay:
    """A running relay in front of `target`.

    `bytes_by_source_ip` counts the forwarded bytes of both directions by the address
    that opened the connection.
    """

    target: str
    faults: RelayFaults = field(default_factory=RelayFaults)
    address: str = ''
    server: asyncio.Server | None = None
    connections: list[_Connection] = field(default_factory=list)
    bytes_by_source_ip: Counter[str] = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def freeze_open(self, source_ip: str = '') -> None:
        """Freezes the open connections whose source begins with `source_ip`.

        They stay open and carry no more data, while new connections work.
        """
        for connection in self.connections:
            if connection.source_ip.startswith(source_ip):
                connection.frozen = True

    def cut(self, source_ips: set[str]) -> None:
        """Closes the connections from these addresses and refuses new ones.

        The set replaces the one of an earlier call.
        """
        self.faults.cut_source_ips = set(source_ips)
        for connection in list(self.connections):
            if connection.source_ip in source_ips:
                for writer in connection.writers:
                    writer.close()

    def reset_open(self) -> None:
        """Aborts the open connections, while new connections work."""
        for connection in list(self.connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            for writer in connection.writers:
                writer.close()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=STOP_TIMEOUT_S)


async def _forward_data(
    relay: Relay,
    connection: _Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answers: bool = False,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            faults = relay.faults
            if faults.delay_ms:
                await asyncio.sleep(seconds(faults.delay_ms))
            if faults.silent or (faults.one_way and answers):
                connection.frozen = True
            if connection.frozen:
                continue
            relay.bytes_by_source_ip[connection.source_ip] += len(data)
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()


async def _handle_connection(
    relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    source_ip = writer.get_extra_info('peername')[0]
    if relay.faults.down or source_ip in relay.faults.cut_source_ips:
        writer.close()
        return
    host, _, port = relay.target.rpartition(':')
    try:
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), local_addr=(source_ip, 0)
        )
    except OSError:
        writer.close()
        return
    connection = _Connection(source_ip, (writer, target_writer))
    relay.connections.append(connection)
    try:
        await asyncio.gather(
            _forward_data(relay, connection, reader, target_writer),
            _forward_data(relay, connection, target_reader, writer, answers=True),
        )
    finally:
        relay.connections.remove(connection)


async def start_relay(target: str, address: str = '127.0.0.1:0') -> Relay:
    """Starts a relay on `IP:PORT` to a target address; port 0 selects a free port."""
    relay = Relay(target)

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        relay.tasks.add(task)
        try:
            await _handle_connection(relay, reader, writer)
        finally:
            relay.tasks.discard(task)

    host, _, port = address.rpartition(':')
    relay.server = await asyncio.start_server(handle, host, int(port))
    bound_port = relay.server.sockets[0].getsockname()[1]
    relay.address = f'{host}:{bound_port}'
    return relay
