"""A scheduler beside executors whose serving tasks slow down beside fillers.

The tail latency of a serving task follows from its own load, which swings, and
from the fillers at work beside it. Executors report it smoothed, as the
platform's do. The rig measures for how long a task is over its target while
fillers work that cause it.
"""

import dataclasses
import math
import random

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

REPORT_INTERVAL_S = 0.25
"""Interval at which an executor renews its figures, in seconds."""

PACE_DELAY_S = 0.1
"""Time until a change of pace takes effect, in seconds."""

MAX_STOP_S = 0.9
"""Longest time that the stop of a run takes, in seconds."""

CALM_S = 3.0
"""Time after a disturbance in which nothing counts, in seconds."""

UNLOADED_TAIL_MS = 25.0
TARGET_MS = 125

_CORES_PER_EXECUTOR = 64_000
_CAPACITY = _job_spec.Resources(_CORES_PER_EXECUTOR, 256_000, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Stretch:
    """A time for which a serving task was over its target beside fillers.

    Attributes:
        task: The serving task.
        begun_s: Virtual time at which it rose over its target.
        ended_s: Virtual time at which it no longer was, or no filler worked.
    """

    task: str
    begun_s: float
    ended_s: float

    @property
    def seconds(self) -> float:
        """Its length."""
        return self.ended_s - self.begun_s


@dataclasses.dataclass(slots=True)
class _ServingLoad:
    """Load of one serving run, and its tail latency as it is reported."""

    base: float
    swing: float
    period_s: float
    phase: float
    reported_ms: float = 0.0
    over_since_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def load_at(self, now_s: float) -> float:
        """Returns the load of its own requests, 1 for a full queue."""
        angle = 2 * math.pi * (now_s / self.period_s + self.phase)
        return self.base * (1.0 + self.swing * math.sin(angle))


def _tail_ms(load: float) -> float:
    """Returns the tail latency of a queue with a load, in ms."""
    return UNLOADED_TAIL_MS / max(0.01, 1.0 - load)


class TailExecutor(cell_rig.SimulatedExecutor):
    """An executor whose runs slow each other down beyond their capacity."""

    rig: "TailRig"

    def __init__(
        self, plain: cell_rig.SimulatedExecutor, rig: "TailRig"
    ) -> None:
        super().__init__(plain.entry, rig)
        self._random = random.Random(f"{rig.seed} {plain.entry.id}")
        self._next_report_s = self._random.uniform(0.0, REPORT_INTERVAL_S)
        self._pace_by_key: dict[cell_rig.RunKey, int] = {}
        self._due_paces: list[tuple[float, cell_rig.RunKey, int]] = []
        self._serving_by_key: dict[cell_rig.RunKey, _ServingLoad] = {}

    def start(
        self, token: int, order: _orders.StartOrder
    ) -> _orders.StartResult:
        """Starts a run with a run time of its own."""
        self.rig.run_time_s = self._random.uniform(0.5, 6.0)
        return super().start(token, order)

    def stop(self, token: int, order: _orders.StopOrder) -> None:
        """Stops a run after a time of its own."""
        self.stop_time_s = self._random.uniform(0.05, MAX_STOP_S)
        super().stop(token, order)

    def set_pace(self, token: int, order: _orders.PaceOrder) -> None:
        """Changes the pace of a run after the time that this takes."""
        if token < self.highest_token:
            return
        super().set_pace(token, order)
        key = (order.task, order.run)
        due_s = self.rig.now_s + PACE_DELAY_S
        self._due_paces.append((due_s, key, order.percent))

    def reported_value(self, key: cell_rig.RunKey) -> float:
        """Returns the smoothed tail latency, or the CPU that is used."""
        serving = self._serving_by_key.get(key)
        if serving is not None:
            return round(serving.reported_ms)
        millicores = self.run_by_key[key].step.size.cpu_millicores
        return millicores * self._pace_of(key) / 100

    def end_due_runs(self) -> None:
        """Lets paces and reports take effect, and ends runs that are done."""
        now_s = self.rig.now_s
        for due in [each for each in self._due_paces if each[0] <= now_s]:
            self._due_paces.remove(due)
            self._pace_by_key[due[1]] = due[2]
        for key, run in self.run_by_key.items():
            run.end_s += cell_rig.STEP_S * (1.0 - self._pace_of(key) / 100)
            if run.step.is_serving and key not in self._serving_by_key:
                self._serving_by_key[key] = self.rig.draw_serving_load(
                    self._random
                )
        super().end_due_runs()
        is_report_due = now_s >= self._next_report_s
        if is_report_due:
            self._next_report_s += REPORT_INTERVAL_S
        for key in list(self.run_by_key):
            if self.run_by_key[key].step.is_serving:
                self._update_serving_run(key, is_report_due=is_report_due)

    def _update_serving_run(
        self, key: cell_rig.RunKey, *, is_report_due: bool
    ) -> None:
        """Measures the tail latency of a serving run."""
        serving = self._serving_by_key[key]
        now_s = self.rig.now_s
        alone = serving.load_at(now_s)
        image = self.run_by_key[key].step.image
        added = sum(
            self.rig.load_per_tenth(image, run.step.image)
            * (run.step.size.cpu_millicores / _CORES_PER_EXECUTOR * 10)
            * (self._pace_of(each) / 100)
            for each, run in self.run_by_key.items()
            if run.step.fills
        )
        tail_ms = _tail_ms(alone + added)
        if is_report_due:
            last_ms = serving.reported_ms or tail_ms
            serving.reported_ms = (last_ms + tail_ms) / 2
        is_caused = added > 0 and _tail_ms(alone) <= TARGET_MS
        for name, figure_ms in (
            ("actual", tail_ms),
            ("reported", serving.reported_ms),
        ):
            self._measure_stretch(
                name, key, serving, is_over=is_caused and figure_ms > TARGET_MS
            )

    def _measure_stretch(
        self,
        name: str,
        key: cell_rig.RunKey,
        serving: _ServingLoad,
        *,
        is_over: bool,
    ) -> None:
        """Begins, continues or ends a time over the target."""
        now_s = self.rig.now_s
        calm_s = self.rig.disturbed_until_s + CALM_S
        if is_over:
            since_s = serving.over_since_s.setdefault(name, now_s)
            serving.over_since_s[name] = max(since_s, min(calm_s, now_s))
        elif name in serving.over_since_s:
            since_s = serving.over_since_s.pop(name)
        else:
            return
        stretch = Stretch(f"{name} {key[0]}", since_s, now_s)
        if stretch.seconds > self.rig.longest.seconds:
            self.rig.longest = stretch

    def _pace_of(self, key: cell_rig.RunKey) -> int:
        """Returns the pace at which a run works, in percent."""
        return self._pace_by_key.get(key, 100)


class TailRig(cell_rig.CellRig):
    """Plays fillers beside serving tasks at random.

    Attributes:
        seed: Seed of all that is drawn.
        disturbed_until_s: Virtual time of the last disturbance.
        longest: Longest time over a target beside fillers so far.
    """

    disturbed_until_s = float("-inf")
    longest = Stretch("", 0.0, 0.0)
    _faults_end_s = float("-inf")

    def __init__(self, seed: int, *, executors: int = 2) -> None:
        self.seed = seed
        self._random = random.Random(seed)
        self._load_by_images: dict[tuple[str, str], float] = {}
        self._job_count = 0
        super().__init__(
            *(
                build.executor_entry(f"e{number}", capacity=_CAPACITY)
                for number in range(executors)
            ),
            seed=seed,
        )
        self.holds_renewals = True
        self.executor_by_id = {
            id_: TailExecutor(each, self)
            for id_, each in self.executor_by_id.items()
        }

    def draw_serving_load(self, rng: random.Random) -> _ServingLoad:
        """Returns the load of a serving run, which swings."""
        return _ServingLoad(
            base=rng.uniform(0.3, 0.6),
            swing=rng.uniform(0.0, 0.5),
            period_s=rng.uniform(3.0, 20.0),
            phase=rng.random(),
        )

    def load_per_tenth(self, serving: str, filler: str) -> float:
        """Returns the load that a filler adds for a tenth of an executor."""
        images = (serving, filler)
        if images not in self._load_by_images:
            is_harmful = self._random.random() < 0.4
            self._load_by_images[images] = (
                self._random.uniform(0.1, 0.6)
                if is_harmful
                else self._random.uniform(0.0, 0.05)
            )
        return self._load_by_images[images]

    def submit_serving(self, count: int) -> None:
        """Submits a job of serving tasks."""
        self._submit(
            build.step_spec(
                count=count,
                size=_job_spec.Resources(6000, 4000, 0),
                image=f"serving-{self._random.randrange(3)}",
                tail_target_ms=TARGET_MS,
                runs_until_cancelled=True,
            )
        )

    def submit_fillers(self) -> None:
        """Submits a job of fillers of an image drawn at random."""
        self._submit(
            build.step_spec(
                count=self._random.randint(1, 8),
                size=_job_spec.Resources(
                    self._random.randint(3000, 9000), 2000, 0
                ),
                image=f"filler-{self._random.randrange(6)}",
                fills=True,
                checkpoints=self._random.random() < 0.6,
            )
        )

    def _submit(self, step: _job_spec.StepSpec) -> None:
        """Submits a job of one step."""
        self._job_count += 1
        self.submit(
            build.accepted_job(
                step,
                job_id=f"{self._job_count:016x}",
                accepted_s=self.now_s,
            )
        )

    def play(self, seconds: float, *, is_disturbed: bool = False) -> None:
        """Plays serving tasks and a flow of fillers.

        Args:
            seconds: Virtual time to play.
            is_disturbed: Whether schedulers are lost, answers get lost, and
                orders are carried out late.
        """
        self.run(1.0)
        for _ in range(self._random.randint(1, 3)):
            self.submit_serving(self._random.randint(1, 4))
        end_s = self.now_s + seconds
        next_job_s = self.now_s + 2.0
        next_disturbance_s = float("inf")
        if is_disturbed:
            next_disturbance_s = self.now_s + 2.0
        while self.now_s < end_s:
            if self.now_s >= next_job_s:
                self.submit_fillers()
                next_job_s = self.now_s + self._random.uniform(0.2, 2.0)
            if self.now_s >= next_disturbance_s:
                self._begin_disturbance()
                next_disturbance_s = self.now_s + self._random.uniform(2, 12)
            if self.now_s >= self._faults_end_s:
                self.lost_share = self.delayed_share = 0.0
            elif self.lost_share or self.delayed_share:
                self.disturbed_until_s = self.now_s
            self.step()

    def _begin_disturbance(self) -> None:
        """Loses the scheduler, or begins to lose answers or delay orders."""
        kind = self._random.choice(("take-over", "lost", "late"))
        if kind == "take-over":
            self.take_over(recovery_s=self._random.uniform(0.0, 1.5))
            self.disturbed_until_s = self.now_s
            return
        self._faults_end_s = self.now_s + self._random.uniform(0.5, 3.0)
        if kind == "lost":
            self.lost_share = self._random.uniform(0.05, 0.5)
        else:
            self.delayed_share = self._random.uniform(0.05, 0.5)

    def _execute_delayed_orders(self) -> None:
        """Lets executors carry out late orders, which is a disturbance."""
        if any(each.due_s <= self.now_s for each in self.delayed_orders):
            self.disturbed_until_s = self.now_s
        super()._execute_delayed_orders()
