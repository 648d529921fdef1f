"""Load balancing policies that choose an executor or an owner of executors."""

import abc
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An executor, or an owner of executors, that can take a request.

    Attributes:
        name: Id of the executor or owner.
        slots: Number of requests that it can run at once.
        outstanding: Number of requests that it is running or has queued.
        slowdown: Its service time relative to the average; 1.0 is average.
    """

    name: str
    slots: int
    outstanding: float
    slowdown: float = 1.0


class Chooser(abc.ABC):
    """Interface of a load balancing policy."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], source: random.Random
    ) -> Candidate:
        """Returns the candidate that should get the next request.

        Args:
            candidates: At least one candidate.
            source: Source of randomness.
        """


class RandomChooser(Chooser):
    """Chooses a candidate uniformly at random."""

    def choose(
        self, candidates: Sequence[Candidate], source: random.Random
    ) -> Candidate:
        """Returns a random candidate."""
        return source.choice(candidates)


class TwoChoicesChooser(Chooser):
    """Chooses the less loaded of two random candidates."""

    def choose(
        self, candidates: Sequence[Candidate], source: random.Random
    ) -> Candidate:
        """Returns the less loaded of two random candidates."""
        pair = (source.choice(candidates), source.choice(candidates))
        return min(pair, key=_load_per_slot)


class LeastOutstandingChooser(Chooser):
    """Chooses the least loaded candidate; breaks ties at random."""

    def choose(
        self, candidates: Sequence[Candidate], source: random.Random
    ) -> Candidate:
        """Returns the candidate with the fewest requests per slot."""
        return _pick_least(
            [_load_per_slot(each) for each in candidates], candidates, source
        )


class LeastLatencyChooser(Chooser):
    """Chooses the candidate with the lowest expected latency.

    The expected latency is the learned slowdown times a penalty that grows with
    the slots in use, since concurrent requests slow each other down. Ties are
    broken at random.

    Args:
        crowding: Relative slowdown of a full executor; 0.5 means that it is 1.5
            times slower than an idle one.
    """

    def __init__(self, crowding: float = 0.5) -> None:
        self._crowding = crowding

    def choose(
        self, candidates: Sequence[Candidate], source: random.Random
    ) -> Candidate:
        """Returns the candidate with the lowest expected latency."""
        scores = [
            each.slowdown * (1.0 + self._crowding * _load_per_slot(each))
            for each in candidates
        ]
        return _pick_least(scores, candidates, source)


def _load_per_slot(candidate: Candidate) -> float:
    """Returns the outstanding requests per slot."""
    return candidate.outstanding / max(1, candidate.slots)


def _pick_least(
    scores: list[float],
    candidates: Sequence[Candidate],
    source: random.Random,
) -> Candidate:
    """Returns the candidate with the lowest score; breaks ties at random."""
    lowest = min(scores)
    best = [
        each
        for score, each in zip(scores, candidates, strict=True)
        if score <= lowest
    ]
    return best[0] if len(best) == 1 else source.choice(best)
