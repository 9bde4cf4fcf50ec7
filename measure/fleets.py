"""Configurations of several fleet sizes, and a linear fit with standard errors."""

import math
from dataclasses import dataclass

from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    Pool,
    Service,
)

ZONES = 6
HOSTS_PER_RACK = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class LinearFit:
    """Least-squares line through measured points, with its standard errors."""

    slope: float
    intercept: float
    slope_error: float
    intercept_error: float


def linear_fit(xs: list[float], ys: list[float]) -> LinearFit:
    """Fits a line to at least three points."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    products = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = products / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    variance = sum(value**2 for value in residuals) / (count - 2)
    return LinearFit(
        slope=slope,
        intercept=intercept,
        slope_error=math.sqrt(variance / spread),
        intercept_error=math.sqrt(variance * (1 / count + mean_x**2 / spread)),
    )


def pool_sizes(hosts: int, pools: int) -> list[int]:
    """Returns the number of hosts of each pool.

    Each pool gets one host, and more in inverse proportion to its rank.
    """
    weights = [1 / (rank + 1) for rank in range(pools)]
    rest = hosts - pools
    sizes = [1 + int(rest * weight / sum(weights)) for weight in weights]
    for rank in range(hosts - sum(sizes)):
        sizes[rank % pools] += 1
    return sizes


def fleet(
    hosts: int, pools: int, zones: int = ZONES, unavailable_share: float = 0.15
) -> Configuration:
    """Returns the configuration of a fleet in which each pool serves one service.

    The hosts of a pool are assigned to the zones in turn. Racks of four are filled in
    the order of the hosts of a zone. The budget of a service allows the fraction
    `unavailable_share` of its hosts to be unavailable, and at least one host.
    """
    sizes = pool_sizes(hosts, pools)
    pool_by_host = [
        f'pool-{rank}' for rank, size in enumerate(sizes) for _ in range(size)
    ]
    return Configuration(
        version=1,
        availability_zones_by_id={
            f'zone-{number}': AvailabilityZone(region=f'region-{number % 2}')
            for number in range(zones)
        },
        pools_by_id={f'pool-{rank}': Pool() for rank in range(pools)},
        hosts_by_id={
            f'host-{number}': Host(
                availability_zone=f'zone-{number % zones}',
                rack=f'rack-{number // zones // HOSTS_PER_RACK}',
                pool=pool,
                address='127.0.0.1:8000',
                cores=32,
                memory_mb=65536,
            )
            for number, pool in enumerate(pool_by_host)
        },
        services_by_id={
            f'service-{rank}': Service(
                pool=f'pool-{rank}',
                max_unavailable=max(1, int(size * unavailable_share)),
            )
            for rank, size in enumerate(sizes)
        },
    )
