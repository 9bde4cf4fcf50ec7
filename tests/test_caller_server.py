"""How the HTTP server for callers closes its connections."""

import asyncio
import socket
import unittest

from dandelionknot._request_limits import RequestLimits, RequestTable
from dandelionknot.jobs._generated import CallerReply, CallerVerdict
from dandelionknot.platform._callers import CallerPort, CallerServer
from standins.fleet import free_port

REQUEST = b'GET /quotes/ HTTP/1.1\r\nHost: desk.example\r\n\r\n'
CONNECTIONS = 8


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
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
