"""Implementation of the platform port over HTTP."""

from urllib.parse import quote

from result import Result

from dandelionknot._http_client import CachedValue, HttpTarget, call
from dandelionknot.messages import (
    HostList,
    LeaseGrant,
    StoredList,
    StoredValue,
    WriteRequest,
    WriteResult,
)
from dandelionknot.ports import PlatformPort, PortError


def http_platform_port(target: HttpTarget) -> PlatformPort:
    """Returns a platform port whose functions call the platform at the target."""
    known_hosts: CachedValue[HostList] = CachedValue()

    async def read(key: str) -> Result[StoredValue, PortError]:
        return await call(target, 'GET', f'/v1/values/{quote(key)}', StoredValue)

    async def list_values(prefix: str) -> Result[StoredList, PortError]:
        path = f'/v1/values?prefix={quote(prefix)}&after=-1&wait_ms=0'
        return await call(target, 'GET', path, StoredList)

    async def watch(
        prefix: str, after_revision: int, wait_ms: int
    ) -> Result[StoredList, PortError]:
        path = (
            f'/v1/values?prefix={quote(prefix)}'
            f'&after={after_revision}&wait_ms={wait_ms}'
        )
        return await call(target, 'GET', path, StoredList, extra_wait_ms=wait_ms)

    async def compare_and_swap(
        request: WriteRequest,
    ) -> Result[WriteResult, PortError]:
        return await call(target, 'POST', '/v1/values', WriteResult, request)

    async def grant_lease(ttl_ms: int) -> Result[LeaseGrant, PortError]:
        body = LeaseGrant(lease_id='', ttl_ms=ttl_ms)
        return await call(target, 'POST', '/v1/leases', LeaseGrant, body)

    async def renew_lease(lease_id: str) -> Result[LeaseGrant, PortError]:
        path = f'/v1/leases/{quote(lease_id)}/renew'
        return await call(target, 'POST', path, LeaseGrant, {})

    async def list_hosts() -> Result[HostList, PortError]:
        return await call(target, 'GET', '/v1/hosts', HostList, known=known_hosts)

    return PlatformPort(
        read=read,
        list=list_values,
        compare_and_swap=compare_and_swap,
        watch=watch,
        grant_lease=grant_lease,
        renew_lease=renew_lease,
        list_hosts=list_hosts,
    )
