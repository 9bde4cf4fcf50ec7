"""Hosts of the pools: what each needs and has, and which hosts it frees for others."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from dandelionknot.jobs._demand import MIN_HOSTS
from dandelionknot.jobs._generated import Host
from dandelionknot.jobs._state import BackendState, has_long_running

# Share of its own hosts that a pool keeps as a reserve beyond its demand. Surges that
# are predicted need less of it, since their hosts are moved before they begin.
RESERVE_SHARE = 0.5
PREDICTED_RESERVE_SHARE = 0.15


@dataclass(slots=True)
class PoolDemand:
    """How many hosts a pool needs now, and how many it has."""

    # Hosts that the division of all hosts grants the pool.
    wanted: int = 0
    # Hosts in the pool that can run tasks.
    present: int = 0
    # Hosts that were ordered to the pool and have not arrived.
    arriving: int = 0
    # Hosts whose home is the pool, including those that it has lent.
    own: int = 0
    # Demand of a surge that is about to begin; 0 if none is predicted.
    predicted_millicores: float = 0.0
    # Hosts needed by tasks that could end in time and for which no host has room.
    unplaced: int = 0
    reserve_share: float = RESERVE_SHARE
    # Whether the last round logged that the pool lacks hosts, and a prediction for it.
    logged_lacking: bool = False
    logged_prediction: bool = False

    def can_lend_own(self) -> bool:
        """Whether the pool has enough hosts to lend one that belongs to it.

        It keeps the hosts that it needs now and its reserve, and at least `MIN_HOSTS`.
        """
        return self.present > self._kept()

    def lacks_own(self) -> bool:
        """Whether the pool should get back a host that it has lent."""
        return self.present + self.arriving < self._kept()

    def lacks_hosts(self) -> bool:
        """Whether the division grants the pool more hosts than it has."""
        return self.wanted > self.present

    def _kept(self) -> int:
        reserve = math.ceil(self.reserve_share * self.own)
        return max(MIN_HOSTS, self.wanted + reserve)


@dataclass(slots=True)
class Move:
    """A move of a host to another pool that was ordered and is not finished."""

    host_id: str
    source: str
    target: str
    ordered_at_ms: int
    # The home pool of the host was recorded, so the move was carried out.
    is_recorded: bool = False


def hosts_to_empty(
    hosts: Iterable[Host],
    backends_by_id: Mapping[str, BackendState],
    demand_by_pool: Mapping[str, PoolDemand],
    moving_host_ids: Collection[str],
    emptying_host_ids: Collection[str],
) -> set[str]:
    """Returns the hosts on which nothing is to be started, so that they can be moved.

    There are none unless a pool lacks hosts. Hosts that are being emptied already come
    first, then those with the fewest millicores in use. Hosts with long-running tasks
    are left out.
    """
    lacking = sum(
        max(0, demand.wanted - demand.present - demand.arriving)
        for demand in demand_by_pool.values()
    )
    if not lacking:
        return set()
    found = []
    for host in hosts:
        backend = backends_by_id.get(host.backend_id)
        if backend is None or host.host_id in moving_host_ids:
            continue
        if has_long_running(backend):
            continue
        is_new = host.host_id not in emptying_host_ids
        found.append((is_new, backend.cpu_millicores, host.host_id, host.pool))
    spare_by_pool = {
        pool: demand.present - max(MIN_HOSTS, demand.wanted)
        for pool, demand in demand_by_pool.items()
    }
    chosen: set[str] = set()
    for _, _, host_id, pool in sorted(found):
        if len(chosen) < lacking and spare_by_pool.get(pool, 0) > 0:
            spare_by_pool[pool] -= 1
            chosen.add(host_id)
    return chosen
