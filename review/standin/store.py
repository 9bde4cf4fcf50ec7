"""Stand-in for the platform's store."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any

from review.standin.web import Answer, Request, Server

# Time of an answer, as in the site files.
ANSWER_S = 0.004
# Pause between looks for changes while a watch waits.
POLL_S = 0.005
# Keys that the system must not write.
FOREIGN_PREFIXES = ('op/', 'servers/')


@dataclass(slots=True)
class Entry:
    """A stored item."""

    value: bytes
    rev: int
    created: int
    lease: int


@dataclass(slots=True)
class Store:
    """Items, history and leases; every answer is linearizable."""

    entries_by_key: dict[str, Entry] = field(default_factory=dict)
    # Revision, key and whether the change removed the key.
    history: list[tuple[int, dict]] = field(default_factory=list)
    revision: int = 100
    # End (monotonic) and length in ms of each lease.
    leases_by_id: dict[int, tuple[float, int]] = field(default_factory=dict)
    # Extra time of an answer.
    slow_s: float = 0.0
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        """Creates the HTTP server."""
        self.server = Server(self._handle)

    def put(self, key: str, value: Any) -> int:
        """Writes an item, as the operator and the workers do."""
        return self._apply([(key, json.dumps(value).encode(), 0)], [])

    def delete(self, key: str) -> None:
        """Removes an item."""
        if key in self.entries_by_key:
            self._apply([], [key])

    def get(self, key: str) -> Any:
        """Returns the decoded value of an item, or None."""
        entry = self.entries_by_key.get(key)
        return json.loads(entry.value) if entry else None

    def _apply(self, puts: list[tuple[str, bytes, int]], deletes: list[str]) -> int:
        self.revision += 1
        rev = self.revision
        for key, value, lease in puts:
            known = self.entries_by_key.get(key)
            created = known.created if known else rev
            self.entries_by_key[key] = Entry(value, rev, created, lease)
            self.history.append((rev, self._item(key)))
        for key in deletes:
            if self.entries_by_key.pop(key, None) is not None:
                self.history.append((rev, {'key': key, 'rev': rev, 'tombstone': True}))
        return rev

    def _item(self, key: str) -> dict:
        entry = self.entries_by_key.get(key)
        if entry is None:
            return {'key': key, 'value': '', 'rev': 0, 'created': 0, 'lease': 0}
        return {
            'key': key,
            'value': base64.b64encode(entry.value).decode(),
            'rev': entry.rev,
            'created': entry.created,
            'lease': entry.lease,
        }

    def expire(self) -> None:
        """Ends the leases that are over, and removes their keys."""
        now = time.monotonic()
        for lease, (end, _) in list(self.leases_by_id.items()):
            if now >= end:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases_by_id[lease]
        keys = [k for k, e in self.entries_by_key.items() if e.lease == lease]
        if keys:
            self._apply([], keys)

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(ANSWER_S + self.slow_s)
        self.expire()
        part = request.path.split('/')[1]
        if part == 'kv-range':
            return 200, self._range(request.query)
        if part == 'kv-key':
            item = self._item(request.query['key']) | {'store_revision': self.revision}
            return (200, item) if item['rev'] else (404, {})
        if part == 'kv-watch':
            return await self._watch(request.query)
        if part == 'kv-txn':
            return self._write(request.json())
        return self._lease_call(part, request)

    def _range(self, query: dict[str, str]) -> dict:
        after = query.get('after', '')
        keys = [
            key
            for key in sorted(self.entries_by_key)
            if key.startswith(query['prefix']) and key > after
        ]
        return {
            'items': [self._item(key) for key in keys[:500]],
            'truncated': len(keys) > 500,
            'store_revision': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query['after'])
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            self.expire()
            events = [
                item
                for rev, item in self.history
                if rev > after and item['key'].startswith(query['prefix'])
            ]
            if events or time.monotonic() >= end:
                return 200, {'events': events, 'store_revision': self.revision}
            await asyncio.sleep(POLL_S)

    def _write(self, body: dict) -> Answer:
        puts = [
            (row['key'], base64.b64decode(row['value']), row.get('lease', 0))
            for row in body.get('set_keys', [])
        ]
        conditions = body.get('precondition', [])
        deletes = body.get('delete_keys', [])
        if len(puts) + len(conditions) + len(deletes) > 32:
            return 400, {'error': 'more than 32 entries'}
        if any(key.startswith(FOREIGN_PREFIXES) for key, _, _ in puts):
            return 403, {}
        if any(lease and lease not in self.leases_by_id for _, _, lease in puts):
            return 404, {}
        items = [self._item(row['key']) for row in conditions]
        for row, item in zip(conditions, items, strict=True):
            if row['rev'] != item['rev']:
                return 412, {'items': items}
        return 200, {'rev': self._apply(puts, deletes)}

    def _lease_call(self, part: str, request: Request) -> Answer:
        if part == 'kv-lease':
            ttl = max(1000, int(request.json()['ttl_ms']))
            self.revision += 1
            lease = self.revision
            self.leases_by_id[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        lease = int(request.path.split('/')[2])
        if lease not in self.leases_by_id:
            return 404, {}
        if part == 'kv-lease-end':
            self._end_lease(lease)
            return 200, {}
        ttl = self.leases_by_id[lease][1]
        self.leases_by_id[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {'ttl_ms': ttl}
