"""Manager processes under clients that are not controlled.

The crowds and the bounds are fixed. The bounds are the limits that the settings state
for the machine. No test checks a time or a share of served requests.
"""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from dandelionknot._http_client import new_http_client
from standins.waiting import wait_until
from tests.manager_processes import JOB, MAX_WAIT_S, ManagerProcessCase

# What the settings state for the machine; both are bounds of every test.
MEMORY_MB = 128
MAX_FDS = 512
KIB_PER_MB = 1000_000 / 1024
# Bounds the wait for a client whose data the process does not read; the crowd is then
# complete, and no result depends on the length.
MAX_SEND_S = 20
# Bodies of legal size that stop just short of their end.
BODY_BYTES = 1_000_000
BODIES = 200
PIECES = 20
LARGE_CHUNK_BYTES = 65_536
# Bodies in small chunks are shorter, since each chunk costs processor time.
SMALL_CHUNK_BYTES = 64
SMALL_CHUNKS = 5_000
SMALL_CHUNK_BODIES = 300
# Bodies far over the limit.
HUGE_BYTES = 20_000_000
HUGE_BODIES = 20
# More connections than descriptors.
CONNECTIONS = 700
# Requests on each of the connections whose answers are not read.
PIPELINED_REQUESTS = 2_000
PIPELINES = 60
# Longest headers that are not ended.
HEADER_BYTES = 60_000

JOB_IDS = (f'{number:016x}' for number in itertools.count(0xC000))
Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


def head(path: str, *lines: str, method: str = 'POST') -> bytes:
    """Returns the start line and the headers of a request."""
    fixed = (f'{method} {path} HTTP/1.1', 'Host: desk.example', 'X-Api-Key: key-1')
    return ('\r\n'.join((*fixed, *lines)) + '\r\n\r\n').encode()


def announced(size: int) -> bytes:
    return head(f'/quotes/{next(JOB_IDS)}', f'Content-Length: {size}')


def chunked() -> bytes:
    return head(f'/quotes/{next(JOB_IDS)}', 'Transfer-Encoding: chunked')


def chunk(size: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b' ' * size)


async def send_short(writer: asyncio.StreamWriter) -> None:
    writer.write(announced(BODY_BYTES) + b' ' * (BODY_BYTES - 1))
    await writer.drain()


async def send_short_in_pieces(writer: asyncio.StreamWriter) -> None:
    writer.write(announced(BODY_BYTES))
    size = BODY_BYTES // PIECES
    for piece in [size] * (PIECES - 1) + [size - 1]:
        writer.write(b' ' * piece)
        await writer.drain()
        await asyncio.sleep(0)


async def send_large_chunks(writer: asyncio.StreamWriter) -> None:
    writer.write(chunked())
    for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
        writer.write(chunk(LARGE_CHUNK_BYTES))
        await writer.drain()


async def send_small_chunks(writer: asyncio.StreamWriter) -> None:
    writer.write(chunked())
    for _ in range(SMALL_CHUNKS // 50):
        writer.write(chunk(SMALL_CHUNK_BYTES) * 50)
        await writer.drain()


async def send_huge(writer: asyncio.StreamWriter) -> None:
    writer.write(announced(HUGE_BYTES + 1))
    for _ in range(HUGE_BYTES // LARGE_CHUNK_BYTES):
        writer.write(b' ' * LARGE_CHUNK_BYTES)
        await writer.drain()


async def send_huge_in_chunks(writer: asyncio.StreamWriter) -> None:
    writer.write(chunked())
    for _ in range(HUGE_BYTES // LARGE_CHUNK_BYTES):
        writer.write(chunk(LARGE_CHUNK_BYTES))
        await writer.drain()


async def send_nothing(writer: asyncio.StreamWriter) -> None:
    await writer.drain()


async def send_endless_header(writer: asyncio.StreamWriter) -> None:
    writer.write(b'GET /quotes/ HTTP/1.1\r\nX-Long: ' + b'a' * HEADER_BYTES)
    await writer.drain()


def send_body(body: bytes) -> Send:
    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(announced(len(body)) + body)
        await writer.drain()

    return send


async def send_pipeline(writer: asyncio.StreamWriter) -> None:
    """Sends requests whose answers are not read."""
    request = head('/metrics', method='GET')
    for _ in range(PIPELINED_REQUESTS // 50):
        writer.write(request * 50)
        await writer.drain()


class UncontrolledClientsTest(ManagerProcessCase):
    def settings(self, member_id):
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        settings = super().settings(member_id) | {'limits': limits}
        self.readiness = settings['readiness_address']
        return settings

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform.add_backend('i-1', 'desk')
        await self.start('edge-1')

    def process_file(self, name: str) -> Path:
        return Path(f'/proc/{self.processes["edge-1"].pid}/{name}')

    def memory_mb(self) -> float:
        """Returns the largest resident size (VmRSS) that the process has had so far."""
        lines = self.process_file('status').read_text().splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM:'))
        return int(peak.split()[1]) / KIB_PER_MB

    def open_descriptors(self) -> int:
        return len(list(self.process_file('fd').iterdir()))

    async def connect(self, address: str) -> asyncio.StreamWriter | None:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_SEND_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            # Answers stay in the buffer of the socket.
            writer.transport.pause_reading()
            return writer
        return None

    @contextlib.asynccontextmanager
    async def crowd(self, address: str, count: int, send: Send) -> AsyncIterator[None]:
        """Opens connections, sends on all at the same time, and keeps them open."""
        opened = [await self.connect(address) for _ in range(count)]
        writers = [writer for writer in opened if writer is not None]

        async def play(writer: asyncio.StreamWriter) -> None:
            # The process may close the connection, or leave data unread.
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(MAX_SEND_S):
                    await send(writer)

        most = self.open_descriptors()
        playing = asyncio.gather(*(play(writer) for writer in writers))
        while not playing.done():
            await asyncio.wait([playing], timeout=0.1)
            most = max(most, self.open_descriptors())
        self.descriptors = most
        try:
            yield
        finally:
            for writer in writers:
                writer.transport.abort()

    async def is_served(self) -> bool:
        """Returns whether the call of an ordinary caller, or its repetition, is served.

        The process may answer 503 until it has read the store again.
        """
        status, _ = await self.call('edge-1', 'POST', f'/quotes/{self.job_id}', JOB)
        return status in (200, 202)

    async def check(self, send: Send, count: int, address: str = '') -> None:
        """Plays a crowd and checks that the process lives and answers within bounds."""
        self.job_id = next(JOB_IDS)
        async with self.crowd(address or self.callers['edge-1'], count, send):
            self.assertIsNone(self.processes['edge-1'].returncode)
            # A caller of its own, on a connection of its own.
            self.client = new_http_client(1)
            self.addCleanup(self.client.close)
            await wait_until(self.is_served, MAX_WAIT_S)
            self.assertLess(self.memory_mb(), MEMORY_MB)
            self.assertLess(self.open_descriptors(), MAX_FDS)
            self.assertLess(self.descriptors, MAX_FDS)

    async def test_legal_bodies_that_stop_just_short(self):
        """Guards against many unfinished bodies that use up the memory."""
        await self.check(send_short, BODIES)

    async def test_legal_bodies_in_pieces_that_stop_just_short(self):
        """Guards against unfinished bodies that grow in turn and use up the memory."""
        await self.check(send_short_in_pieces, BODIES)

    async def test_large_chunks_that_stop_just_short(self):
        """Guards against unfinished bodies without a size that use up the memory."""
        await self.check(send_large_chunks, BODIES)

    async def test_small_chunks_that_stop_just_short(self):
        """Guards against small chunks that cost more memory than their bytes."""
        await self.check(send_small_chunks, SMALL_CHUNK_BODIES)

    async def test_announced_bodies_far_over_the_limit(self):
        """Guards against reading bodies that are refused anyway."""
        await self.check(send_huge, HUGE_BODIES)

    async def test_chunked_bodies_far_over_the_limit(self):
        """Guards against chunked bodies that are read without a limit."""
        await self.check(send_huge_in_chunks, HUGE_BODIES)

    async def test_more_connections_than_descriptors(self):
        """Guards against idle connections that use up the descriptors."""
        await self.check(send_nothing, CONNECTIONS)

    async def test_endless_headers(self):
        """Guards against headers without end that use up memory or descriptors."""
        await self.check(send_endless_header, CONNECTIONS)

    async def test_many_steps(self):
        """Guards against decoded steps that cost far more memory than their bytes."""
        body = b'{"spec":"work","steps":[%s]}' % b','.join([b'{"count":1}'] * 80_000)
        await self.check(send_body(body), 20)

    async def test_many_earlier_steps(self):
        """Guards against lists of earlier steps that cost far more than their bytes."""
        after = b','.join([b'999'] * 240_000)
        body = b'{"spec":"work","steps":[{"count":1,"after":[%s]}]}' % after
        await self.check(send_body(body), 20)

    async def test_deep_nesting(self):
        """Guards against nesting that exhausts the stack."""
        body = b'{"spec":"work","steps":[],"other":%s}' % (b'[' * 400_000)
        await self.check(send_body(body), 20)

    async def test_huge_numbers(self):
        """Guards against numbers whose decoding or printing takes too long or fails."""
        step = b'{"count":%s,"cpu":%s}' % (b'9' * 4_000, b'9' * 200_000)
        body = b'{"spec":"work","times":%s,"steps":[%s]}' % (b'9' * 15, step)
        await self.check(send_body(body), 20)

    async def test_bodies_to_the_readiness_port(self):
        """Guards against a port without callers that reads bodies."""
        await self.check(send_short, BODIES, self.readiness)

    async def test_more_connections_to_the_readiness_port_than_descriptors(self):
        """Guards against connections of one port that exhaust what all ports share."""
        await self.check(send_nothing, CONNECTIONS, self.readiness)

    async def test_bodies_to_the_metrics_port(self):
        """Guards against a port without callers that reads bodies."""
        await self.check(send_short, BODIES, self.metrics['edge-1'])

    async def test_metrics_that_are_not_read(self):
        """Guards against answers that no client reads and that use up the memory."""
        await self.check(send_pipeline, PIPELINES, self.metrics['edge-1'])


if __name__ == '__main__':
    unittest.main()
