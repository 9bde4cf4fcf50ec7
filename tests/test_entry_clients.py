"""Ports of an entry host under clients that are not under control."""

import asyncio
import unittest
from unittest import mock

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from dandelionknot.entry._peers import (
    MAX_HELLO_BYTES,
    MAX_UNPROVEN_LINKS,
    PeerIdentity,
    start_peer_server,
)
from dandelionknot.settings import EntrySettings
from standins.fleet import PEER_SECRET, free_port


class PeerPortTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = f'127.0.0.1:{free_port()}'
        settings = EntrySettings(
            member_id='edge-1',
            availability_zone='zone-a',
            region='region-1',
            caller_address=self.address,
            operator_address=self.address,
            peer_address=self.address,
            platform_address=self.address,
            peer_secret=PEER_SECRET,
        )
        identity = PeerIdentity.from_settings(settings, 'edge-1')
        server = await start_peer_server(
            self.address, identity, None, lambda name: None
        )
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)

    async def test_large_messages_of_an_unproven_link_are_refused(self):
        """Guards against strangers whose messages use up the memory."""
        async with connect(f'ws://{self.address}/') as link:
            await link.recv()
            await link.send(b' ' * (MAX_HELLO_BYTES + 1))
            with self.assertRaises(ConnectionClosed) as closed:
                await link.recv()
        self.assertEqual(closed.exception.rcvd.code, 1009)

    # No link is closed for the time limit of its proof before all are open.
    @mock.patch('dandelionknot.entry._peers.HELLO_TIMEOUT_MS', 60_000)
    async def test_unproven_links_are_limited(self):
        """Guards against strangers whose links use up memory and descriptors."""
        links = [
            connect(f'ws://{self.address}/').__aenter__()
            for _ in range(MAX_UNPROVEN_LINKS + 20)
        ]
        opened = await asyncio.gather(*links, return_exceptions=True)
        refused = [each for each in opened if isinstance(each, Exception)]
        for link in opened:
            if not isinstance(link, Exception):
                await link.close()
        self.assertGreater(len(refused), 0)


if __name__ == '__main__':
    unittest.main()
