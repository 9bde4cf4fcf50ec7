"""How the HTTP server for callers closes its connections."""

import asyncio
import socket
import unittest
from unittest import mock

from dandelionknot._request_limits import RequestLimits, RequestTable
from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import CallerReply, CallerVerdict
from dandelionknot.platform._callers import CallerPort, CallerServer
from standins.fleet import free_port
from standins.waiting import wait_until

REQUEST = b'GET /quotes/ HTTP/1.1\r\nHost: desk.example\r\n\r\n'
CONNECTIONS = 8


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_bodies_of_legal_size_are_served_however_they_arrive(self):
        """Guards against limits that refuse the bodies of ordinary callers."""
        steps = b','.join([b'{"count":1,"image":"%s"}' % (b'i' * 300)] * 3000)
        body = b'{"spec":"work","steps":[%s]}' % steps
        received = []

        async def submit(queue, key, job_id, spec, deadline_ms):
            received.append(len(spec.steps))
            return CallerReply(verdict=CallerVerdict.ACCEPTED)

        table = RequestTable(RequestLimits(budget_bytes=10_000_000))
        port = CallerPort(
            find_queue=lambda host, path: ('desk', '00000000000000aa'),
            submit=submit,
            state=None,
            cancel=None,
            waiting=None,
            is_stopping=lambda: False,
        )
        server = CallerServer(port, table, table.add_port('callers', 4, len(body)))
        address = '127.0.0.1', free_port()
        server.listen('{}:{}'.format(*address))
        reader, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        start = b'POST /quotes/00000000000000aa HTTP/1.1\r\nHost: desk.example\r\n'
        for size in (len(body), 30_000, 500):
            for chunked in (False, True):
                pieces = [body[i : i + size] for i in range(0, len(body), size)]
                head = b'Content-Length: %d\r\n\r\n' % len(body)
                if chunked:
                    head = b'Transfer-Encoding: chunked\r\n\r\n'
                    pieces = [b'%x\r\n%s\r\n' % (len(p), p) for p in (*pieces, b'')]
                writer.write(start + head)
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                answer = await reader.readuntil(b'\r\n\r\n{}')
                self.assertIn(b'202 Accepted', answer)
        self.assertEqual(received, [3000] * 6)
        await server.stop()
        await server.close()
        self.assertEqual((table.charged_bytes, table.large_bytes), (0, 0))

    @mock.patch('dandelionknot._request_limits.MAX_CHUNK_WAIT_MS', 10**9)
    async def test_a_body_that_waits_does_not_delay_a_stop(self):
        """Guards against a process that is killed since chunks wait for their turn."""
        table = RequestTable(RequestLimits(budget_bytes=1_000_000))
        # The next chunks wait for a day.
        table.chunk_credit = -86_400.0 * table.limits.chunks_per_s
        table.credited_ms = now_ms()
        port = mock.create_autospec(CallerPort, instance=True)
        server = CallerServer(port, table, table.add_port('callers', 4, 100_000))
        address = '127.0.0.1', free_port()
        server.listen('{}:{}'.format(*address))
        _, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        start = b'POST /quotes/00000000000000aa HTTP/1.1\r\nHost: desk.example\r\n'
        writer.write(start + b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\n \r\n' * 99)
        await wait_until(lambda: table.credited_ms and table.charged_bytes > 0, 60)
        await server.stop()
        # The wait for a day would outlast this limit by far.
        async with asyncio.timeout(60) as limit:
            await server.close()
        self.assertFalse(limit.expired())
        self.assertEqual(table.charged_bytes, 0)

    async def test_no_request_is_read_while_the_connections_close(self):
        """Guards against requests that are read but not answered at a graceful stop."""
        read = []

        def waiting(queue, key):
            read.append(queue)
            return CallerReply(verdict=CallerVerdict.KNOWN, waiting_jobs=0)

        table = RequestTable(RequestLimits(budget_bytes=1_000_000))
        server = CallerServer(
            CallerPort(
                find_queue=lambda host, path: ('desk', ''),
                submit=None,
                state=None,
                cancel=None,
                waiting=waiting,
                is_stopping=lambda: True,
            ),
            table,
            table.add_port('callers', CONNECTIONS, 1000),
        )
        address = '127.0.0.1', free_port()
        server.listen('{}:{}'.format(*address))
        callers = [socket.create_connection(address) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.1)
        await server.stop()
        closing = asyncio.create_task(server.close())
        for caller in callers:
            caller.sendall(REQUEST)
        await closing
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.close()
        self.assertEqual(read, [])


if __name__ == '__main__':
    unittest.main()
