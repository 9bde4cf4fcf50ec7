"""Estimates how much tasks of one image are slowed by tasks of another beside them.

The load that it answers is a host that serving tasks share with tasks of images which
disturb them by amounts that nobody declares. An observation is the logarithm of a
ratio: of the tail latency to the latency objective, or of the run time to the expected
one. For each image, it is a sum of a level of the image, an effect of the host, which
is random, and an effect of each neighbouring image. An image that is slow on a host
whoever is beside it is thus no evidence against its neighbours, and neighbours that
appear together share the evidence. Observations lose half of their weight within
`HALF_LIFE_MS`.

    >>> interference = Interference()
    >>> for second in range(40):
    ...     beside = frozenset({'batch'} if second % 20 < 10 else ())
    ...     ratio = 0.8 if beside else 0.3
    ...     interference.observe('shop', 'h1', beside, ratio, 1.0, 1000 * second)
    >>> [change] = interference.evaluate('shop', 40_000)
    >>> change.neighbour, change.is_proven, round(change.slow_down)
    ('batch', True, 3)
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Amounts change within seconds. With a report per second, 29 observations are in force.
HALF_LIFE_MS = 20_000
# Observations with the neighbour without which nothing is decided about a pair.
MIN_OBSERVATIONS = 8
# Observations on one host with the neighbour, and without it, that make the host count.
MIN_PER_SIDE = 4
# Standard errors by which an effect must exceed 0 to be proven. Each pair is tested a
# few times within the time in which its observations are replaced.
PROVEN_ERRORS = 3.0
# Standard errors by which a proven effect must stay above 0. With two, verdicts on a
# true slow-down by two ended more than twice as often while loads changed.
KEPT_ERRORS = 1.0
# Standard errors by which an effect must be below `MIN_EFFECT` to be excluded.
EXCLUDED_ERRORS = 2.0
# Smallest effect that counts: a slow-down by a tenth.
MIN_EFFECT = math.log(1.1)
# Assumed spread of observations and of hosts, as logarithms, before they are measured.
NOISE_SPREAD = 0.2
HOST_SPREAD = 0.3
# Weight of the assumed spread of observations, as a number of observations.
NOISE_PRIOR = 10.0
# Successive observations are alike, since load changes over seconds: four of them tell
# as much as one.
ALIKE_OBSERVATIONS = 4.0
# Spread of the effects that are thought possible before anything is known.
EFFECT_SPREAD = 1.0
# Largest distance of an observation from 0: a factor of 20.
MAX_DISTANCE = 3.0
# A verdict holds without new observations for this time: tasks that are kept apart show
# nothing about each other.
VERDICT_KEPT_MS = 300_000
# Time between two searches for verdicts that are older.
FORGET_EVERY_MS = 10_000
# Most images that are slowed, neighbours of each of them, and hosts of each of them.
MAX_IMAGES = 64
MAX_NEIGHBOURS = 8
MAX_HOSTS = 128
# Weight below which a host or a neighbour gives way to another one.
FORGOTTEN_WEIGHT = 0.05
# Sums grow with time instead of being reduced, up to this number of half-lives.
MAX_HALF_LIVES = 40


@dataclass(slots=True)
class HostSums:
    """Sums of the observations of one image on one host."""

    weight: float = 0.0
    total: float = 0.0
    weight_by_neighbour: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PairEstimate:
    """What is known of the effect of a neighbour on an image.

    `effect` and `error` are logarithms. `observations` counts those with the neighbour,
    less for older ones, and `hosts` those on which it was present often enough.
    """

    victim: str
    neighbour: str
    effect: float
    error: float
    observations: float
    hosts: int
    is_enough: bool
    observed_ms: int
    is_proven: bool = False
    is_excluded: bool = False

    @property
    def slow_down(self) -> float:
        """Factor by which the victim is slowed."""
        return math.exp(self.effect)

    @property
    def is_decided(self) -> bool:
        """Whether the pair is proven, or a relevant effect is excluded."""
        return self.is_proven or self.is_excluded


@dataclass(slots=True)
class ImageSums:
    """Sums of the observations of one image, and the verdicts about its neighbours."""

    epoch_ms: int
    last_ms: int = 0
    weight: float = 0.0
    squares: float = 0.0
    hosts_by_id: dict[str, HostSums] = field(default_factory=dict)
    weight_by_pair: dict[tuple[str, str], float] = field(default_factory=dict)
    total_by_neighbour: dict[str, float] = field(default_factory=dict)
    observed_ms_by_neighbour: dict[str, int] = field(default_factory=dict)
    verdicts_by_neighbour: dict[str, PairEstimate] = field(default_factory=dict)
    # Pairs that were proven, and whose sums gave way to those of another neighbour.
    evicted: list[PairEstimate] = field(default_factory=list)

    def scale(self, now_ms: int) -> float:
        """Returns the weight of an observation that is made now."""
        return 2.0 ** ((now_ms - self.epoch_ms) / HALF_LIFE_MS)


@dataclass(slots=True, frozen=True)
class ImageFit:
    """Estimates for one image at one time."""

    pairs: list[PairEstimate]
    # Effect of each host on the image, whoever is beside it, as a logarithm.
    effect_by_host: dict[str, float]


@dataclass(slots=True)
class Interference:
    """Observations of all images, and what follows for placement."""

    enabled: bool = True
    images: dict[str, ImageSums] = field(default_factory=dict)
    # Images with new observations since they were last evaluated, oldest first.
    changed: dict[str, None] = field(default_factory=dict)
    # Effect of each pair that is decided: 0 if it is excluded.
    effect_by_pair: dict[tuple[str, str], float] = field(default_factory=dict)
    evaluated_ms: int = 0
    forgotten_ms: int = 0
    # Local time at which it was last searched for hosts that a placed task avoids.
    searched_ms: int = 0
    # Proven pairs of images whose sums gave way to those of another image.
    evicted: list[PairEstimate] = field(default_factory=list)

    def observe(
        self,
        victim: str,
        host_id: str,
        neighbours: frozenset[str],
        ratio: float,
        weight: float,
        now_ms: int,
    ) -> None:
        """Adds how slow a task of `victim` was beside the images `neighbours`."""
        if ratio <= 0 or weight <= 0:
            return
        value = max(-MAX_DISTANCE, min(MAX_DISTANCE, math.log(ratio)))
        sums = self.images.get(victim)
        if sums is None:
            self._make_room()
            sums = self.images[victim] = ImageSums(epoch_ms=now_ms)
        if now_ms - sums.epoch_ms > MAX_HALF_LIVES * HALF_LIFE_MS:
            _rebase(sums, now_ms)
        scale = sums.scale(now_ms)
        host = _host_sums(sums, host_id, scale)
        if host is None:
            return
        known = [n for n in neighbours if _has_column(sums, n, neighbours, scale)]
        weight *= scale
        sums.last_ms = now_ms
        sums.weight += weight
        sums.squares += weight * value * value
        host.weight += weight
        host.total += weight * value
        for one in known:
            sums.observed_ms_by_neighbour[one] = now_ms
            sums.total_by_neighbour[one] += weight * value
            host.weight_by_neighbour[one] = (
                host.weight_by_neighbour.get(one, 0.0) + weight
            )
            for other in known:
                pair = one, other
                sums.weight_by_pair[pair] = sums.weight_by_pair.get(pair, 0.0) + weight
        self.changed[victim] = None

    def _make_room(self) -> None:
        """Evicts the image that was observed least recently if there are too many.

        Images with a proven neighbour are evicted last.
        """
        if len(self.images) < MAX_IMAGES:
            return
        victim = min(
            self.images,
            key=lambda name: (
                _has_proven(self.images[name]),
                self.images[name].last_ms,
            ),
        )
        sums = self.images.pop(victim)
        self.changed.pop(victim, None)
        self.evicted += sums.evicted
        self.evicted += map(_undecided, filter(_is_proven, _verdicts(sums)))
        self._publish(victim, ())

    def evaluate(self, victim: str, now_ms: int) -> list[PairEstimate]:
        """Decides anew about the neighbours of an image.

        Returns the pairs that are proven now and were not, or are not any more.
        """
        self.changed.pop(victim, None)
        changes, self.evicted = self.evicted, []
        sums = self.images.get(victim)
        if sums is None:
            return changes
        changes += sums.evicted
        sums.evicted = []
        verdicts = sums.verdicts_by_neighbour
        for neighbour, verdict in list(verdicts.items()):
            if now_ms - verdict.observed_ms > VERDICT_KEPT_MS:
                del verdicts[neighbour]
                if verdict.is_proven:
                    changes.append(_undecided(verdict))
        for estimate in fit(victim, sums, now_ms).pairs:
            former = verdicts.get(estimate.neighbour)
            if not estimate.is_enough:
                continue
            verdict = decided(estimate, former)
            verdicts[estimate.neighbour] = verdict
            if verdict.is_proven != bool(former and former.is_proven):
                changes.append(verdict)
        self._publish(victim, verdicts.values())
        return changes

    def _publish(self, victim: str, verdicts: Iterable[PairEstimate]) -> None:
        for pair in [pair for pair in self.effect_by_pair if pair[0] == victim]:
            del self.effect_by_pair[pair]
        for verdict in verdicts:
            if verdict.is_decided:
                effect = verdict.effect if verdict.is_proven else 0.0
                self.effect_by_pair[victim, verdict.neighbour] = effect

    def next_image(self, now_ms: int) -> str | None:
        """Returns an image to evaluate, or None.

        It was observed since its last evaluation, or has a verdict that is too old.
        """
        if now_ms - self.forgotten_ms >= FORGET_EVERY_MS:
            self.forgotten_ms = now_ms
            since_ms = now_ms - VERDICT_KEPT_MS
            for name, sums in self.images.items():
                if any(verdict.observed_ms < since_ms for verdict in _verdicts(sums)):
                    self.changed[name] = None
        return next(iter(self.changed), None)


def decided(estimate: PairEstimate, former: PairEstimate | None) -> PairEstimate:
    """Returns an estimate with its verdict.

    A pair that was proven stays so while an effect remains likely, so that chance does
    not place tasks now apart and now together.
    """
    errors = KEPT_ERRORS if former and former.is_proven else PROVEN_ERRORS
    effect, error = estimate.effect, estimate.error
    return PairEstimate(
        victim=estimate.victim,
        neighbour=estimate.neighbour,
        effect=effect,
        error=error,
        observations=estimate.observations,
        hosts=estimate.hosts,
        is_enough=estimate.is_enough,
        observed_ms=estimate.observed_ms,
        is_proven=effect >= MIN_EFFECT and effect - errors * error > 0,
        is_excluded=effect + EXCLUDED_ERRORS * error < MIN_EFFECT,
    )


def _undecided(verdict: PairEstimate) -> PairEstimate:
    return PairEstimate(
        victim=verdict.victim,
        neighbour=verdict.neighbour,
        effect=verdict.effect,
        error=verdict.error,
        observations=0.0,
        hosts=0,
        is_enough=False,
        observed_ms=verdict.observed_ms,
    )


def _verdicts(sums: ImageSums) -> Iterable[PairEstimate]:
    return sums.verdicts_by_neighbour.values()


def _is_proven(verdict: PairEstimate) -> bool:
    return verdict.is_proven


def _has_proven(sums: ImageSums) -> bool:
    return any(map(_is_proven, _verdicts(sums)))


def _rebase(sums: ImageSums, now_ms: int) -> None:
    """Expresses all sums in the weight of an observation that is made now."""
    factor = 1 / sums.scale(now_ms)
    sums.epoch_ms = now_ms
    sums.weight *= factor
    sums.squares *= factor
    for pair in sums.weight_by_pair:
        sums.weight_by_pair[pair] *= factor
    for neighbour in sums.total_by_neighbour:
        sums.total_by_neighbour[neighbour] *= factor
    for host in sums.hosts_by_id.values():
        host.weight *= factor
        host.total *= factor
        for neighbour in host.weight_by_neighbour:
            host.weight_by_neighbour[neighbour] *= factor


def _host_sums(sums: ImageSums, host_id: str, scale: float) -> HostSums | None:
    """Returns the sums of a host, or None if all places are in use."""
    host = sums.hosts_by_id.get(host_id)
    if host is None:
        if len(sums.hosts_by_id) >= MAX_HOSTS:
            least = min(sums.hosts_by_id, key=lambda h: sums.hosts_by_id[h].weight)
            if sums.hosts_by_id[least].weight > FORGOTTEN_WEIGHT * scale:
                return None
            del sums.hosts_by_id[least]
        host = sums.hosts_by_id[host_id] = HostSums()
    return host


def _has_column(
    sums: ImageSums, neighbour: str, present: frozenset[str], scale: float
) -> bool:
    """Whether a neighbour has its own sums; it gets them if there is room.

    One of those that are present now does not give way.
    """
    if neighbour in sums.total_by_neighbour:
        return True
    if len(sums.total_by_neighbour) >= MAX_NEIGHBOURS:
        least = min(
            sums.total_by_neighbour,
            key=lambda n: (
                n in present,
                n in sums.verdicts_by_neighbour
                and sums.verdicts_by_neighbour[n].is_proven,
                sums.weight_by_pair.get((n, n), 0.0),
            ),
        )
        weight = sums.weight_by_pair.get((least, least), 0.0)
        if least in present or weight > FORGOTTEN_WEIGHT * scale:
            return False
        _drop_column(sums, least)
    sums.total_by_neighbour[neighbour] = 0.0
    return True


def _drop_column(sums: ImageSums, neighbour: str) -> None:
    del sums.total_by_neighbour[neighbour]
    del sums.observed_ms_by_neighbour[neighbour]
    verdict = sums.verdicts_by_neighbour.pop(neighbour, None)
    if verdict is not None and verdict.is_proven:
        sums.evicted.append(_undecided(verdict))
    for pair in [pair for pair in sums.weight_by_pair if neighbour in pair]:
        del sums.weight_by_pair[pair]
    for host in sums.hosts_by_id.values():
        host.weight_by_neighbour.pop(neighbour, None)


def fit(victim: str, sums: ImageSums, now_ms: int) -> ImageFit:
    """Returns the estimates of an image by generalized least squares.

    The effects of hosts are random with the spread `HOST_SPREAD`: few observations of
    many hosts are compared with each other, many of one host only among themselves.
    """
    unit = 1 / sums.scale(now_ms)
    neighbours = [
        name
        for name in sums.total_by_neighbour
        if sums.weight_by_pair.get((name, name), 0.0) * unit >= 1
    ]
    # The noise is that of the observations of one host among themselves.
    _, _, left = _solved(sums, neighbours, unit, 0.0)
    noise = (NOISE_PRIOR * NOISE_SPREAD**2 + left) / (NOISE_PRIOR + sums.weight * unit)
    noise *= ALIKE_OBSERVATIONS
    inverse, solution, _ = _solved(sums, neighbours, unit, noise)
    effects = dict(zip(neighbours, solution[1:], strict=True))
    errors = [
        math.sqrt(noise * inverse[index][index])
        for index in range(1, len(neighbours) + 1)
    ]
    return ImageFit(
        pairs=[
            _estimate(victim, sums, name, effect, error, unit)
            for (name, effect), error in zip(effects.items(), errors, strict=True)
        ],
        effect_by_host={
            host_id: _host_share(host.weight * unit, noise)
            * (_mean_left(host, effects) - solution[0])
            for host_id, host in sums.hosts_by_id.items()
        },
    )


def _solved(
    sums: ImageSums, neighbours: list[str], unit: float, noise: float
) -> tuple[list[list[float]], list[float], float]:
    """Returns the inverse matrix, the solution and the sum of squares that is left.

    If `noise` is 0, the effects of hosts may be of any size.
    """
    matrix, right, square = _normal_equations(sums, neighbours, unit, noise)
    inverse = _inverse(matrix)
    solution = [sum(map(_product, row, right)) for row in inverse]
    return inverse, solution, max(0.0, square - sum(map(_product, solution, right)))


def _product(left: float, right: float) -> float:
    return left * right


def _estimate(
    victim: str,
    sums: ImageSums,
    neighbour: str,
    effect: float,
    error: float,
    unit: float,
) -> PairEstimate:
    observations = sums.weight_by_pair[neighbour, neighbour] * unit
    hosts = contrasts = 0
    for host in sums.hosts_by_id.values():
        beside = host.weight_by_neighbour.get(neighbour, 0.0)
        if beside * unit >= MIN_PER_SIDE:
            hosts += 1
            contrasts += (host.weight - beside) * unit >= MIN_PER_SIDE
    return PairEstimate(
        victim=victim,
        neighbour=neighbour,
        effect=effect,
        error=error,
        observations=observations,
        hosts=hosts,
        is_enough=observations >= MIN_OBSERVATIONS and (hosts >= 2 or contrasts >= 1),
        observed_ms=sums.observed_ms_by_neighbour[neighbour],
    )


def _host_share(weight: float, noise: float) -> float:
    """Returns the share of a host's mean that counts as an effect of the host."""
    return weight / (weight + noise / HOST_SPREAD**2) if weight else 0.0


def _mean_left(host: HostSums, effects: dict[str, float]) -> float:
    """Returns the mean of a host's observations without the effects of neighbours."""
    if not host.weight:
        return 0.0
    beside = sum(
        weight * effects.get(name, 0.0)
        for name, weight in host.weight_by_neighbour.items()
    )
    return (host.total - beside) / host.weight


def _normal_equations(
    sums: ImageSums, neighbours: list[str], unit: float, noise: float
) -> tuple[list[list[float]], list[float], float]:
    """Returns matrix, right side and sum of squares, without the effects of hosts.

    The first row is the level of the image, the others the effects of the neighbours.
    """
    size = len(neighbours) + 1
    index_by_name = {name: index for index, name in enumerate(neighbours, 1)}
    matrix = [[0.0] * size for _ in range(size)]
    for (name, other_name), pair_weight in sums.weight_by_pair.items():
        if name in index_by_name and other_name in index_by_name:
            row = matrix[index_by_name[name]]
            row[index_by_name[other_name]] = pair_weight * unit
    right = [0.0, *(sums.total_by_neighbour[name] * unit for name in neighbours)]
    square = sums.squares * unit
    for host in sums.hosts_by_id.values():
        weight, total = host.weight * unit, host.total * unit
        if not weight:
            continue
        share = _host_share(weight, noise)
        matrix[0][0] += weight * (1 - share)
        right[0] += total * (1 - share)
        square -= share * total * total / weight
        beside = [
            (index_by_name[name], amount * unit)
            for name, amount in host.weight_by_neighbour.items()
            if name in index_by_name
        ]
        for one, amount in beside:
            matrix[0][one] += amount * (1 - share)
            matrix[one][0] += amount * (1 - share)
            right[one] -= share * total * amount / weight
            for other, amount_of_other in beside:
                matrix[one][other] -= share * amount * amount_of_other / weight
    ridge = noise / EFFECT_SPREAD**2 + 1e-6
    matrix[0][0] += 1e-6
    for index in range(1, size):
        matrix[index][index] += ridge
    return matrix, right, square


def _inverse(matrix: list[list[float]]) -> list[list[float]]:
    """Returns the inverse of a positive definite matrix."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == column) for column in range(size))]
        for index, row in enumerate(matrix)
    ]
    for index in range(size):
        pivot = rows[index][index]
        rows[index] = [value / pivot for value in rows[index]]
        for other in range(size):
            factor = rows[other][index]
            if other != index and factor:
                rows[other] = [
                    value - factor * known
                    for value, known in zip(rows[other], rows[index], strict=True)
                ]
    return [row[size:] for row in rows]
