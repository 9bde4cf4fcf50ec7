"""The task that reads the list of hosts and sends orders about them."""

import asyncio
import unittest

from result import Ok

from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import HostsListed
from dandelionknot.manager._hosts import LIST_PAUSE_MS, HostTask
from emulator import virtual_time


class Hosts:
    """Records when the list of hosts is read."""

    def __init__(self):
        self.read_at_ms = []

    async def list_hosts(self):
        self.read_at_ms.append(now_ms())
        return Ok(HostsListed(hosts=[], sent_ms=now_ms()))


class ListTest(unittest.TestCase):
    def test_a_list_that_is_wanted_soon_is_read_at_once(self):
        """Guards against tasks of a crashed host that wait for the next usual list."""
        hosts = Hosts()

        async def run():
            task = HostTask(
                hosts=hosts,
                fencing_token=1,
                report=lambda message: None,
                valid_until_ms=lambda: 10**15,
                list_wanted=lambda: True,
            )
            running = asyncio.create_task(task.run())
            await asyncio.sleep(LIST_PAUSE_MS / 2000)
            task.list_soon.set()
            await asyncio.sleep(LIST_PAUSE_MS / 4000)
            running.cancel()

        virtual_time.run(run())
        self.assertEqual(len(hosts.read_at_ms), 2)

    def test_a_list_is_read_for_a_loss_although_nothing_else_needs_it(self):
        """Guards against a wish for the list that is dropped while no wave is open."""
        hosts = Hosts()

        async def run():
            task = HostTask(
                hosts=hosts,
                fencing_token=1,
                report=lambda message: None,
                valid_until_ms=lambda: 10**15,
                list_wanted=lambda: False,
            )
            running = asyncio.create_task(task.run())
            await asyncio.sleep(1)
            task.list_soon.set()
            await asyncio.sleep(LIST_PAUSE_MS / 1000)
            running.cancel()

        virtual_time.run(run())
        self.assertEqual(len(hosts.read_at_ms), 1)


if __name__ == '__main__':
    unittest.main()
