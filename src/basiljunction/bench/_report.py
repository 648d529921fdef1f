"""Holds the results of a benchmark and formats them as text or JSON."""

import dataclasses
import json
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The values of one metric in one case of a benchmark, one for each run.

    Attributes:
        case: What was measured, such as a policy's name.
        metric: Name of the metric.
        unit: Unit of the values.
        values: One value for each run.
        baseline: Whether other cases are compared with this one.
    """

    case: str
    metric: str
    unit: str
    values: tuple[float, ...]
    baseline: bool = False

    @property
    def median(self) -> float:
        """The median of the values over all runs."""
        return statistics.median(self.values)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All rows of one benchmark.

    Attributes:
        name: Name of the benchmark.
        seed: Seed of its random numbers.
        rows: Its rows, in the order of output.
    """

    name: str
    seed: int
    rows: tuple[Row, ...]

    def to_json(self) -> str:
        """Returns the report as a JSON object, with the median of each row."""
        body = {
            "name": self.name,
            "seed": self.seed,
            "rows": [
                {**dataclasses.asdict(row), "median": row.median}
                for row in self.rows
            ],
        }
        return json.dumps(body, indent=2)

    def to_text(self) -> str:
        """Returns the report as text, one line for each row's median."""
        lines = [f"{self.name} (seed {self.seed})"]
        for row in self.rows:
            mark = " (baseline)" if row.baseline else ""
            figure = f"{row.median:14.3f} {row.unit}"
            lines.append(f"  {row.case + mark:40} {row.metric:34} {figure}")
        return "\n".join(lines)
