"""Guards against reuse of dead connections and needless new ones."""

import asyncio

from result import Err, Ok

from dandelionknot._http_connections import HttpConnections
from dandelionknot.errors import PortErrorKind
from tests.virtual import VirtualTimeTestCase

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
TRUNCATED = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{'


class ConnectionsTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.opened = 0
        self.answers = [OK]
        self.connection_end = None
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.connections = HttpConnections(f'127.0.0.1:{port}')
        self.addCleanup(self.connections.close)

    async def serve(self, reader, writer):
        """Sends the next answer to each request; for None, sends nothing."""
        self.opened += 1
        while await reader.readuntil(b'\r\n\r\n'):
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            if answer is None:
                await self.wait_for_end(reader)
                return
            writer.write(answer)
            if answer is TRUNCATED:
                writer.close()
                return

    async def wait_for_end(self, reader):
        """Records how the client ends the connection."""
        try:
            outcome = await reader.read()
        except ConnectionError as error:
            outcome = error
        if self.connection_end is not None:
            self.connection_end.set_result(outcome)

    async def call(self, **options):
        return await self.connections.call('GET', '/', None, 500, **options)

    async def test_calls_one_after_the_other_share_a_connection(self):
        """Guards against a new connection for each of several successive calls."""
        for _ in range(5):
            self.assertIsInstance(await self.call(), Ok)
        self.assertEqual(self.opened, 1)

    async def test_calls_at_once_have_a_connection_each(self):
        """Guards against a response that is returned to another call."""
        results = await asyncio.gather(*(self.call() for _ in range(4)))
        self.assertTrue(all(isinstance(result, Ok) for result in results))
        self.assertEqual(self.opened, 4)

    async def test_an_unresponsive_connection_is_not_used_again(self):
        """Guards against calls over a connection that no longer answers."""
        self.answers = [OK, None, OK]
        await self.call()
        unanswered = await self.call()
        self.assertIs(unanswered.err_value.kind, PortErrorKind.NO_ANSWER)
        self.assertIsInstance(await self.call(), Ok)
        self.assertEqual(self.opened, 2)

    async def test_a_call_that_times_out_resets_its_connection(self):
        """Guards against an order that is delivered late when a partition heals.

        Seen in trials of remansito-ops as a violation of the check ONE: a former
        leader's order to move a host arrived after the orders of the next leader.
        """
        self.answers = [None]
        self.connection_end = asyncio.get_running_loop().create_future()
        await self.call()
        self.assertIsInstance(await self.connection_end, ConnectionResetError)

    async def test_a_truncated_response_is_no_answer(self):
        """Guards against a truncated response that is treated as complete."""
        self.answers = [TRUNCATED]
        result = await self.call()
        self.assertIsInstance(result, Err)
        self.assertIs(result.err_value.kind, PortErrorKind.NO_ANSWER)

    async def test_a_fresh_connection_is_opened_on_request(self):
        """Guards against reuse of a suspect connection when a new one is requested."""
        await self.call()
        await self.call(use_new_connection=True)
        self.assertEqual(self.opened, 2)

    async def test_a_call_over_a_refused_connection_was_not_sent(self):
        """Guards against an outcome reported as unknown although nothing was sent."""
        self.server.close()
        await self.server.wait_closed()
        result = await self.call()
        self.assertIs(result.err_value.kind, PortErrorKind.NOT_SENT)
