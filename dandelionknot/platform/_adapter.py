"""Creates clients of the platform's services from the settings."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dandelionknot._http_connections import HttpConnections
from dandelionknot.errors import PortError
from dandelionknot.events import Event, log_event
from dandelionknot.jobs._generated import AdviceGiven, AskAdvice, ManagerSettings
from dandelionknot.jobs._stored import Fact
from dandelionknot.platform import _items
from dandelionknot.platform._backends import PlatformBackendClient
from dandelionknot.platform._decode import decode
from dandelionknot.platform._generated import WireGranted
from dandelionknot.platform._hosts import PlatformHostClient
from dandelionknot.platform._store import PlatformStore
from dandelionknot.store import Item, Put

# Time limit of one call to the advice service.
ADVICE_TIMEOUT_MS = 3000
OK = 200


@dataclass(slots=True)
class PlatformAdapter:
    """Creates clients of the platform's services and decodes its items."""

    settings: ManagerSettings
    # Connections to the advice service; None if the platform has none.
    advice: HttpConnections | None = None
    operator_prefix: str = _items.OPERATOR_PREFIX
    configuration_key: str = _items.CONFIGURATION_KEY

    @classmethod
    def from_settings(cls, settings: ManagerSettings) -> 'PlatformAdapter':
        """Returns the adapter to the platform at the addresses in the settings."""
        address = settings.advice_address
        return cls(settings, HttpConnections(address) if address else None)

    def new_store(self) -> PlatformStore:
        """Returns a client of the store with connections of its own."""
        return PlatformStore(HttpConnections(self.settings.store_address))

    def new_backend_client(
        self, address: str, backend_id: str, token: int
    ) -> PlatformBackendClient:
        """Returns a client of one lifetime of a backend server."""
        return PlatformBackendClient(HttpConnections(address), backend_id, token)

    def new_host_client(self) -> PlatformHostClient | None:
        """Returns a client of the platform's host list, or None without one."""
        address = self.settings.hosts_address
        if not address:
            return None
        return PlatformHostClient(HttpConnections(address), self.settings.member_id)

    def decode_fact(self, item: Item) -> Fact | None:
        """Decodes an item; logs a malformed one and returns None for it."""
        found = _items.decode_fact(item)
        if isinstance(found, Err):
            log_event(
                Event.PLATFORM_VALUE_MALFORMED,
                key=item.key,
                revision=item.revision,
                problem=str(found.err_value),
            )
            return None
        return found.ok_value

    def wave_status(self, number: int, done: bool) -> Put:
        """Returns the item that shows operators the state of a wave."""
        return _items.wave_status(number, done)

    async def ask_advice(self, request: AskAdvice) -> Result[AdviceGiven, PortError]:
        """Asks which backend servers may run a step.

        Returns no tickets if there is no advice service, or if its answer is malformed
        or has a status other than 200.
        """
        if self.advice is None:
            return Ok(
                AdviceGiven(request=request, tickets_by_backend_id={}, valid_ms=0)
            )
        body = {'step': request.step_key, 'workers': request.backend_ids}
        answer = await self.advice.call(
            'POST', '/advise', msgspec.json.encode(body), ADVICE_TIMEOUT_MS
        )
        if isinstance(answer, Err):
            return answer
        tickets: dict[str, str] = {}
        valid_ms = 0
        decoded = decode(answer.ok_value.body, WireGranted, 'advice')
        if answer.ok_value.status == OK and isinstance(decoded, Ok):
            valid_ms = int(decoded.ok_value.valid_ms)
            tickets = {row[0]: row[1] for row in decoded.ok_value.granted}
        return Ok(
            AdviceGiven(
                request=request, tickets_by_backend_id=tickets, valid_ms=valid_ms
            )
        )
