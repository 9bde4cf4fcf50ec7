"""Connection faults that both stand-ins share, and an HTTP handler that sets faults."""

import asyncio
import contextlib
import json
from typing import Any, Protocol

import tornado.web

from dandelionknot import codec
from dandelionknot.clock import seconds


class ConnectionFaults(Protocol):
    """Fields of a faults object that apply to every call."""

    delay_ms: int
    down: bool
    cut_source_ips: set[str]


class FaultyHandler(tornado.web.RequestHandler):
    """Base handler that applies connection faults before and after each call."""

    state: Any

    def initialize(self, state: Any) -> None:
        """Sets the state of the stand-in, which has the faults."""
        self.state = state

    def is_cut(self) -> bool:
        """Returns whether a fault cuts the caller off from this stand-in."""
        faults: ConnectionFaults = self.state.faults
        return faults.down or self.request.remote_ip in faults.cut_source_ips

    async def prepare(self) -> None:
        """Delays the call, and drops it if the caller is cut off."""
        if self.state.faults.delay_ms:
            await asyncio.sleep(seconds(self.state.faults.delay_ms))
        if self.is_cut():
            self.drop()

    def drop(self) -> None:
        """Closes the connection without an answer."""
        connection = self.request.connection
        with contextlib.suppress(AttributeError):
            connection.stream.close()  # type: ignore[union-attr]
        self._finished = True

    def send(self, value: object) -> None:
        """Answers with JSON, or drops the call if the caller was cut off meanwhile."""
        if self.is_cut():
            self.drop()
            return
        self.set_header('Content-Type', 'application/json')
        self.write(codec.encode_json(value))


class FaultsHandler(tornado.web.RequestHandler):
    """Sets fields of a faults object from a JSON object and answers with all fields."""

    def initialize(self, faults: object) -> None:
        """Sets the faults object of the stand-in."""
        self.faults = faults

    def post(self) -> None:
        """Sets the named fields, and answers 400 for a field that does not exist."""
        for name, value in json.loads(self.request.body).items():
            current = getattr(self.faults, name, None)
            if current is None:
                raise tornado.web.HTTPError(400, f'fault {name!r} does not exist')
            setattr(self.faults, name, type(current)(value))
        self.write({'faults': repr(self.faults)})
