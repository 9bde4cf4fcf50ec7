"""A running stand-in: its HTTP server and the task that scans its state."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import tornado.httpserver
import tornado.netutil
import tornado.web

from dandelionknot.clock import seconds

S = TypeVar('S')


@dataclass(slots=True)
class Standin(Generic[S]):
    """A running stand-in: state, HTTP server, address and scan task."""

    state: S
    server: tornado.httpserver.HTTPServer
    address: str
    scan_task: asyncio.Task

    async def stop(self) -> None:
        """Closes the sockets and ends the scan task."""
        self.scan_task.cancel()
        self.server.stop()
        await self.server.close_all_connections()


def start_standin(
    state: S, address: str, routes: list, scan: Callable[[S], None], scan_ms: int
) -> Standin[S]:
    """Serves the routes on `IP:PORT` and calls `scan` every `scan_ms`.

    Port 0 selects a free port.
    """
    application = tornado.web.Application(routes, log_function=lambda handler: None)
    server = tornado.httpserver.HTTPServer(application)
    host, _, port = address.rpartition(':')
    bound_port = listen(server, host, int(port))
    scan_task = asyncio.create_task(_scan_forever(state, scan, scan_ms))
    return Standin(state, server, f'{host}:{bound_port}', scan_task)


def listen(server: tornado.httpserver.HTTPServer, ip: str, port: int) -> int:
    """Starts to listen on one more address and returns the bound port."""
    sockets = tornado.netutil.bind_sockets(port, ip)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


async def _scan_forever(state: S, scan: Callable[[S], None], scan_ms: int) -> None:
    while True:
        await asyncio.sleep(seconds(scan_ms))
        scan(state)
