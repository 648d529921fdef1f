"""Measures how much batch work slows urgent calls down on each worker."""

import collections
import dataclasses
import math

from basiljunction.coordination import _batch_events

REPORT_INTERVAL_S = 5.0
"""Interval between reports, in seconds."""

MIN_SAMPLES_PER_REPORT = 5
"""Calls of a class on a worker that a report needs at least."""

MAX_SAMPLES_PER_WINDOW = 256
"""Newest calls kept for each worker and class between two reports."""

BASELINE_GROWTH_FACTOR = 1.01
"""Growth of the undisturbed service time with each report, so that a class that
became slower by itself is not attributed to batch work indefinitely."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedCall:
    """A call of urgent work to an executor.

    Attributes:
        machine: Id of the worker that the executor runs on.
        customer: Customer of the request.
        class_name: Work class of the request.
        allowed_s: Time from sending to the deadline, in seconds.
    """

    machine: str
    customer: str
    class_name: str
    allowed_s: float


@dataclasses.dataclass(slots=True)
class _CallWindow:
    """Calls of one class on one worker since the last report.

    Attributes:
        elapsed_s: Service times.
        ratios: Service times relative to the time allowed.
    """

    elapsed_s: collections.deque[float]
    ratios: collections.deque[float]


class UrgentLatencyMonitor:
    """Collects urgent calls and reports their latency and slowdown by worker.

    The slowdown compares a worker's median service time with the undisturbed
    one of the class, which is the lowest median among the workers.
    """

    def __init__(self) -> None:
        """Initializes without calls."""
        self._call_by_id: dict[int, ObservedCall] = {}
        self._window_by_key: dict[tuple[str, str, str], _CallWindow] = {}
        self._baseline_s_by_class: dict[tuple[str, str], float] = {}
        self._last_report_boot_s = 0.0

    def record_call_start(self, call_id: int, call: ObservedCall) -> None:
        """Records the start of a call."""
        self._call_by_id[call_id] = call

    def record_call_end(
        self, call_id: int, elapsed_s: float, *, is_completed: bool
    ) -> None:
        """Records the end of a call; only completed calls are measured.

        Args:
            call_id: Id of the call.
            elapsed_s: Duration of the call.
            is_completed: Whether the executor answered; the duration of other
                calls is not a service time.
        """
        call = self._call_by_id.pop(call_id, None)
        if call is None or not is_completed or call.allowed_s <= 0:
            return
        key = (call.machine, call.customer, call.class_name)
        window = self._window_by_key.get(key)
        if window is None:
            window = _CallWindow(
                elapsed_s=collections.deque(maxlen=MAX_SAMPLES_PER_WINDOW),
                ratios=collections.deque(maxlen=MAX_SAMPLES_PER_WINDOW),
            )
            self._window_by_key[key] = window
        window.elapsed_s.append(elapsed_s)
        window.ratios.append(elapsed_s / call.allowed_s)

    def take_due_reports(
        self, now_boot_s: float
    ) -> tuple[_batch_events.ServiceLatencyMeasured, ...]:
        """Returns the latency reports if the report interval has passed.

        Each report covers one class on one worker since the last report; none
        is returned before the next interval.
        """
        if now_boot_s - self._last_report_boot_s < REPORT_INTERVAL_S:
            return ()
        self._last_report_boot_s = now_boot_s
        windows, self._window_by_key = self._window_by_key, {}
        full = {
            key: window
            for key, window in windows.items()
            if len(window.elapsed_s) >= MIN_SAMPLES_PER_REPORT
        }
        self._update_baselines(full)
        return tuple(
            self._build_report(key, each) for key, each in full.items()
        )

    def _update_baselines(
        self, window_by_key: dict[tuple[str, str, str], _CallWindow]
    ) -> None:
        """Updates the undisturbed service time of each class.

        The worker with the lowest median counts as the least disturbed one.
        """
        fastest_s: dict[tuple[str, str], float] = {}
        for (_, customer, class_name), window in window_by_key.items():
            class_key = (customer, class_name)
            median_s = _quantile(window.elapsed_s, 0.5)
            fastest_s[class_key] = min(
                fastest_s.get(class_key, math.inf), median_s
            )
        for class_key, median_s in fastest_s.items():
            known_s = self._baseline_s_by_class.get(class_key, math.inf)
            self._baseline_s_by_class[class_key] = min(
                known_s * BASELINE_GROWTH_FACTOR, median_s
            )

    def _build_report(
        self, key: tuple[str, str, str], window: _CallWindow
    ) -> _batch_events.ServiceLatencyMeasured:
        """Returns the latency and slowdown of one class on one worker."""
        machine, customer, class_name = key
        undisturbed_s = self._baseline_s_by_class[customer, class_name]
        median_s = _quantile(window.elapsed_s, 0.5)
        return _batch_events.ServiceLatencyMeasured(
            machine=machine,
            customer=customer,
            class_name=class_name,
            latency_ratio=_quantile(window.ratios, 0.99),
            slowdown=median_s / max(undisturbed_s, 1e-9),
        )


def _quantile(samples: collections.deque[float], fraction: float) -> float:
    """Returns a quantile of the samples, without interpolation."""
    ordered = sorted(samples)
    rank = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(0, rank)]
