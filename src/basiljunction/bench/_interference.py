"""Measures the learned interference model and the cost of eviction choices.

The model predicts how much tasks slow down others on the same worker. Its
predictions are compared to known slowdowns, and the choice of attempts to
evict is compared to simpler choices by the work lost.
"""

from collections.abc import Callable
import math
import random

from basiljunction.bench import _report
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _eviction
from basiljunction.coordination import _interference
from basiljunction.state import _job

CLASS_NAMES = tuple(f"class-{index}" for index in range(8))
"""Work classes whose mutual interference is drawn at random."""

NEIGHBOR_COUNT = 8
"""Number of tasks that run beside a measured task."""

NOISE_STD = 0.1
"""Standard deviation of the noise of a measured log slowdown."""

MEASUREMENT_COUNTS = (50, 500, 5000)
"""Total numbers of measurements after which the error is reported."""

TRIAL_COUNT = 400
"""Number of random trials that each reported value averages."""

ATTEMPTS_PER_WORKER = 12
"""Number of attempts on the worker that evicts."""

DEMAND_TO_FREE = _job.ResourceDemand(8000, 0)
"""Resources that an eviction has to free: 8 cores and no memory."""

CHECKPOINT_FAILURE_RATE = 0.2
"""Probability that the checkpoint before an eviction fails."""

_LogSlowdownByPair = dict[tuple[str, str], float]
"""Logarithm of the slowdown factor, by (affected class, interfering class)."""

_VictimChooser = Callable[
    [list[_batch_model.Attempt], random.Random], list[_batch_model.Attempt]
]
"""Chooses the attempts to evict from those on a worker."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures errors of the interference model and work lost by evictions."""
    rows = [*_learning_rows(runs, seed), *_eviction_rows(runs, seed)]
    return _report.Report(name="interference", seed=seed, rows=tuple(rows))


def _learning_rows(runs: int, seed: int) -> list[_report.Row]:
    """Returns rows of the prediction error, with and without learning.

    The interference of the classes changes during a run, so that the rows also
    show how the model adapts.
    """
    figures: dict[tuple[str, str], list[float]] = {}
    for index in range(runs):
        random_ = random.Random(seed + index)
        first = _draw_log_slowdowns(random_)
        learned = _interference.InterferenceModel()
        none = _interference.InterferenceModel()
        fed = 0
        for count in MEASUREMENT_COUNTS:
            _feed_measurements(learned, first, random_, count - fed)
            fed = count
            metric = f"log error after {count} measurements"
            _add_value(
                figures,
                "no-learning",
                metric,
                _mean_absolute_error(none, first, random_),
            )
            _add_value(
                figures,
                "learned",
                metric,
                _mean_absolute_error(learned, first, random_),
            )
        second = _draw_log_slowdowns(random_)
        metric = "log error right after the classes changed"
        _add_value(
            figures,
            "learned",
            metric,
            _mean_absolute_error(learned, second, random_),
        )
        _feed_measurements(learned, second, random_, MEASUREMENT_COUNTS[1])
        metric = f"log error {MEASUREMENT_COUNTS[1]} measurements later"
        _add_value(
            figures,
            "no-learning",
            metric,
            _mean_absolute_error(none, second, random_),
        )
        _add_value(
            figures,
            "learned",
            metric,
            _mean_absolute_error(learned, second, random_),
        )
    return [
        _report.Row(
            case, metric, "log", tuple(values), baseline=case != "learned"
        )
        for (case, metric), values in figures.items()
    ]


def _add_value(
    figures: dict[tuple[str, str], list[float]],
    case: str,
    metric: str,
    value: float,
) -> None:
    """Appends a value to the list for a case and metric."""
    figures.setdefault((case, metric), []).append(value)


def _draw_log_slowdowns(random_: random.Random) -> _LogSlowdownByPair:
    """Returns random log slowdowns by pair of classes; many are 0."""
    return {
        (victim, other): random_.choice((0.0, 0.0, 0.02, 0.05, 0.15))
        for victim in CLASS_NAMES
        for other in CLASS_NAMES
    }


def _draw_neighbors(random_: random.Random) -> dict[str, float]:
    """Returns the number of neighboring tasks, by randomly drawn class."""
    others: dict[str, float] = {}
    for other in random_.choices(CLASS_NAMES, k=NEIGHBOR_COUNT):
        others[other] = others.get(other, 0.0) + 1.0
    return others


def _true_log_slowdown(
    log_slowdown_by_pair: _LogSlowdownByPair,
    victim: str,
    others: dict[str, float],
) -> float:
    """Returns the actual log slowdown that the neighbors cause to a class."""
    return sum(
        count * log_slowdown_by_pair[victim, other]
        for other, count in others.items()
    )


def _feed_measurements(
    learned: _interference.InterferenceModel,
    log_slowdown_by_pair: _LogSlowdownByPair,
    random_: random.Random,
    count: int,
) -> None:
    """Adds noisy measurements of random placements to the model."""
    for _ in range(count):
        victim = random_.choice(CLASS_NAMES)
        others = _draw_neighbors(random_)
        log_slowdown = _true_log_slowdown(
            log_slowdown_by_pair, victim, others
        ) + random_.gauss(0.0, NOISE_STD)
        learned.record_slowdown(victim, others, math.exp(log_slowdown))


def _mean_absolute_error(
    learned: _interference.InterferenceModel,
    log_slowdown_by_pair: _LogSlowdownByPair,
    random_: random.Random,
) -> float:
    """Returns the model's mean absolute error on new random placements."""
    total = 0.0
    for _ in range(TRIAL_COUNT):
        victim = random_.choice(CLASS_NAMES)
        others = _draw_neighbors(random_)
        expected = learned.expected_log_slowdown(victim, others)
        total += abs(
            expected - _true_log_slowdown(log_slowdown_by_pair, victim, others)
        )
    return total / TRIAL_COUNT


def _choose_least_loss(
    attempts: list[_batch_model.Attempt],
    _random: random.Random,
) -> list[_batch_model.Attempt]:
    """Returns the attempts that the product's eviction rule chooses."""
    return _eviction.choose_victims(attempts, DEMAND_TO_FREE)


def _choose_newest(
    attempts: list[_batch_model.Attempt], _random: random.Random
) -> list[_batch_model.Attempt]:
    """Returns the attempts started last that free enough capacity."""
    ordered = sorted(attempts, key=lambda each: -each.claimed_boot_s)
    return _take_until_freed(ordered)


def _choose_largest(
    attempts: list[_batch_model.Attempt], _random: random.Random
) -> list[_batch_model.Attempt]:
    """Returns the attempts with most cores that free enough capacity."""
    ordered = sorted(attempts, key=lambda each: -each.reserved.millicores)
    return _take_until_freed(ordered)


def _choose_at_random(
    attempts: list[_batch_model.Attempt], random_: random.Random
) -> list[_batch_model.Attempt]:
    """Returns randomly chosen attempts that free enough capacity."""
    return _take_until_freed(random_.sample(attempts, len(attempts)))


def _take_until_freed(
    ordered: list[_batch_model.Attempt],
) -> list[_batch_model.Attempt]:
    """Returns the first attempts whose cores add up to the demand."""
    freed = 0
    victims = []
    for attempt in ordered:
        if freed >= DEMAND_TO_FREE.millicores:
            break
        victims.append(attempt)
        freed += attempt.reserved.millicores
    return victims


_VICTIM_CHOOSER_BY_CASE: dict[str, _VictimChooser] = {
    "random": _choose_at_random,
    "newest": _choose_newest,
    "largest": _choose_largest,
    "least-loss": _choose_least_loss,
}
"""The compared eviction rules, by case name."""


def _eviction_rows(runs: int, seed: int) -> list[_report.Row]:
    """Returns rows of work lost and tasks evicted, for each rule."""
    rows = []
    for case, choose_victims in _VICTIM_CHOOSER_BY_CASE.items():
        lost, evicted = [], []
        for index in range(runs):
            random_ = random.Random(seed + index)
            outcomes = [
                _measure_eviction(choose_victims, random_.randrange(2**31))
                for _ in range(TRIAL_COUNT)
            ]
            lost.append(sum(each[0] for each in outcomes) / TRIAL_COUNT)
            evicted.append(sum(each[1] for each in outcomes) / TRIAL_COUNT)
        baseline = case != "least-loss"
        rows.append(
            _report.Row(
                case,
                "work lost to free 8 cores",
                "core-hours",
                tuple(lost),
                baseline,
            )
        )
        rows.append(
            _report.Row(
                case,
                "tasks evicted to free 8 cores",
                "tasks",
                tuple(evicted),
                baseline,
            )
        )
    return rows


def _measure_eviction(
    choose_victims: _VictimChooser, seed: int
) -> tuple[float, int]:
    """Returns core-hours lost and tasks evicted in one random trial."""
    random_ = random.Random(seed)
    attempts = [
        _draw_attempt(random_, index) for index in range(ATTEMPTS_PER_WORKER)
    ]
    fails = {
        attempt.ref.task_id: random_.random() < CHECKPOINT_FAILURE_RATE
        for attempt in attempts
    }
    victims = choose_victims(attempts, random_)
    lost = sum(
        victim.unsaved_core_s * fails[victim.ref.task_id]
        + _eviction.RESTART_COST_CORE_S
        for victim in victims
    )
    return lost / 3600, len(victims)


def _draw_attempt(random_: random.Random, index: int) -> _batch_model.Attempt:
    """Returns a running attempt of random size, progress and checkpoint."""
    cores = random_.choice((1, 2, 2, 4, 8))
    demand = _job.ResourceDemand(cores * 1000, cores * 2000)
    done_s = random_.uniform(0.0, 3600.0)
    ref = _batch_events.TaskRef(f"job/{index}", 1)
    return _batch_model.Attempt(
        ref=ref,
        machine="worker-1",
        job_id="job",
        customer="kowhai",
        class_name="coding",
        spec=_job.TaskSpec(str(index), demand, 3600.0),
        reserved=demand,
        is_standing=False,
        phase=_batch_model.Phase.RUNNING,
        claimed_boot_s=-done_s,
        latest_report=_batch_events.TaskReport(
            ref, _batch_events.WorkerTaskState.RUNNING, progress_s=done_s
        ),
        checkpointed_s=done_s * random_.choice((0.0, 0.0, 0.5, 0.9)),
    )
