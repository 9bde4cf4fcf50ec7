"""Clients that are not under control, as faults beside the ordinary callers."""

import asyncio
import contextlib
import itertools
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from dandelionknot.clock import seconds
from soak.fleet import Member, SoakFleet
from soak.profiles import CALLER_HOST, queue_path

# Limits of the smallest machine, which the processes have by default.
MEMORY_MB = 200
MAX_FDS = 4100
KIB_PER_MB = 1000_000 / 1024
CONNECTIONS = 80
BODY_BYTES = 500_000
PIECE_BYTES = 20_000
SMALL_CHUNK_BYTES = 16
HUGE_BODY_BYTES = 5_000_000

Send = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


async def _send_short(writer: asyncio.StreamWriter, start: bytes) -> None:
    writer.write(start + b'Content-Length: %d\r\n\r\n' % BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        writer.write(b' ' * PIECE_BYTES)
        await writer.drain()


async def _send_chunks(writer: asyncio.StreamWriter, start: bytes) -> None:
    writer.write(start + b'Transfer-Encoding: chunked\r\n\r\n')
    chunk = b'%x\r\n%s\r\n' % (SMALL_CHUNK_BYTES, b' ' * SMALL_CHUNK_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        writer.write(chunk * (PIECE_BYTES // SMALL_CHUNK_BYTES))
        await writer.drain()


async def _send_huge(writer: asyncio.StreamWriter, start: bytes) -> None:
    writer.write(start + b'Content-Length: %d\r\n\r\n' % HUGE_BODY_BYTES)
    for _ in range(HUGE_BODY_BYTES // PIECE_BYTES):
        writer.write(b' ' * PIECE_BYTES)
        await writer.drain()


async def _send_half_a_header(writer: asyncio.StreamWriter, start: bytes) -> None:
    writer.write(start)
    await writer.drain()


async def _play(fleet: SoakFleet, send: Send) -> None:
    """Plays a crowd on one process and reports what its machine does not have."""
    member = fleet.rng.choice(list(fleet.members_by_id.values()))
    process = member.process
    stay_ms = fleet.rng.randint(500, 4000)
    path = queue_path(fleet.profile.services[0]).encode()
    # Ids of the crowd differ from those of the ordinary callers, which count from 1.
    ids = itertools.count(0xC000_0000_0000_0000)

    async def play_one() -> None:
        host, _, port = member.caller_address.rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds(stay_ms)):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    start = b'POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: key-1\r\n'
                    host_name = CALLER_HOST.encode()
                    await send(writer, start % (path, next(ids), host_name))
                    await reader.read()
                finally:
                    writer.transport.abort()

    await asyncio.gather(*(play_one() for _ in range(CONNECTIONS)))
    if process is None or member.process is not process:
        return
    if process.returncode is None:
        _check_resources(fleet, member, process.pid)
    elif process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
        fleet.oracle.report(
            f'{member.member_id} ended with {process.returncode} under a crowd'
        )


def _check_resources(fleet: SoakFleet, member: Member, pid: int) -> None:
    try:
        status = Path(f'/proc/{pid}/status').read_text()
        descriptors = len(list(Path(f'/proc/{pid}/fd').iterdir()))
    except OSError:
        # Another fault has ended the process.
        return
    lines = [line for line in status.splitlines() if line.startswith('VmHWM:')]
    memory_mb = int(lines[0].split()[1]) / KIB_PER_MB if lines else 0.0
    if memory_mb >= MEMORY_MB or descriptors >= MAX_FDS:
        fleet.oracle.report(
            f'{member.member_id} has {memory_mb:.0f} MB and {descriptors} descriptors'
        )


async def unfinished_bodies(fleet: SoakFleet) -> None:
    """Sends bodies that stop just short of their end."""
    await _play(fleet, _send_short)


async def unfinished_chunks(fleet: SoakFleet) -> None:
    """Sends bodies in small chunks that have no end."""
    await _play(fleet, _send_chunks)


async def huge_bodies(fleet: SoakFleet) -> None:
    """Sends bodies over the limit."""
    await _play(fleet, _send_huge)


async def unfinished_headers(fleet: SoakFleet) -> None:
    """Sends headers that have no end."""
    await _play(fleet, _send_half_a_header)
