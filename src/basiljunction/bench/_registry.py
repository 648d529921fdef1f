"""Looks up benchmarks by name.

The benchmark ``NAME`` is the module ``bench._NAME``, with an underscore for
each hyphen, which defines ``run``.
"""

import importlib
from typing import Protocol
from typing import cast

from basiljunction.bench import _report

BENCHMARK_NAMES = (
    "fold",
    "spread",
    "takeover",
    "snapshot",
    "overhead",
    "routing",
    "overload",
    "isolation",
    "drain",
    "placement",
    "interference",
    "hours",
    "churn",
    "daemon",
    "scheduler-cost",
)
"""Names of all benchmarks, as the ``bench`` command accepts them."""


class Benchmark(Protocol):
    """Interface of a benchmark module."""

    def run(self, *, runs: int, seed: int) -> _report.Report:
        """Runs the benchmark and returns its report.

        Args:
            runs: Number of runs behind each figure.
            seed: Seed of the random numbers.
        """
        ...


def load_benchmark(name: str) -> Benchmark:
    """Imports and returns the benchmark module with a given name.

    Raises:
        ModuleNotFoundError: There is no such benchmark module.
    """
    module_name = name.replace("-", "_")
    module = importlib.import_module(f"basiljunction.bench._{module_name}")
    return cast("Benchmark", module)
