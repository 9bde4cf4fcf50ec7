"""Lets another process switch the faults of a stand-in over HTTP."""

import json

import tornado.web


class FaultsHandler(tornado.web.RequestHandler):
    """Sets fields of a faults object from a JSON object and returns all of them."""

    def initialize(self, faults: object) -> None:
        """Keeps the faults object of the stand-in."""
        self.faults = faults

    def post(self) -> None:
        """Sets the named fields; an unknown field is an error."""
        for name, value in json.loads(self.request.body).items():
            current = getattr(self.faults, name, None)
            if current is None:
                raise tornado.web.HTTPError(400, f'fault {name!r} does not exist')
            setattr(self.faults, name, type(current)(value))
        self.write({'faults': repr(self.faults)})
