"""A scheduler beside simulated executors and a store, under a virtual clock.

The executors follow the platform's rules for orders, leases and ends. The rig
checks after each step that no rule of a job is broken.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import random

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
import workload_builders as build

STEP_S = 0.05
WORK_S = 0.5

RunKey = tuple[_job_spec.TaskId, int]


@dataclasses.dataclass
class SimulatedRun:
    """A run on a simulated executor.

    Attributes:
        step: What runs.
        end_s: When it ends by itself.
        kind: How it ends then.
        work_s: How long it takes here.
    """

    step: _job_spec.StepSpec
    end_s: float
    kind: _executor.RunEndKind
    work_s: float = WORK_S


class SimulatedExecutor:
    """An executor that does what it is told, if it may.

    Args:
        entry: What the platform lists of it.
        rig: Where the jobs and the time are.
    """

    def __init__(self, entry: _executor.ListedExecutor, rig: "CellRig") -> None:
        self.entry = entry
        self.rig = rig
        self.born_ms = 1
        self.born_s = rig.now_s
        self.token = 0
        self.lease_ms = 0
        self.is_up = True
        self.answers = True
        self.is_hanging = False
        self.slowness = 1.0
        self.keeps_ends = False
        self.refuses_for_room = False
        self.refused_count = 0
        self.run_by_key: dict[RunKey, SimulatedRun] = {}
        self.barred: dict[_job_spec.TaskId, int] = {}
        self.ends: list[_executor.EndedRunReport] = []
        self.count = 0
        self.acknowledged = 0
        self.is_reset = False

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((self.rig.now_s - self.born_s) * 1000)

    def restart(self) -> None:
        """Begins a new life: it runs nothing and knows nothing."""
        self.born_ms += 1
        self.born_s = self.rig.now_s
        self.token = 0
        self.lease_ms = 0
        self.run_by_key.clear()
        self.barred.clear()
        self.ends.clear()
        self.count = 0
        self.acknowledged = 0
        # The renewal that waits on the old life fails with it.
        self.is_reset = True

    def start(
        self, token: int, order: _orders.StartOrder
    ) -> _orders.StartResult:
        """Carries out a start."""
        if token < self.token:
            return _orders.StartResult.FENCED
        self.token = token
        key = (order.task, order.run)
        if key in self.run_by_key:
            return _orders.StartResult.STARTED
        if order.run <= self.barred.get(order.task, 0):
            return _orders.StartResult.SUPERSEDED
        if order.lease_until_ms <= self.clock_ms:
            return _orders.StartResult.TOO_LATE
        refusal = self._refusal(order)
        if refusal is not None:
            return refusal
        self._extend(order.lease_until_ms)
        step = self.rig.step_of(order.task)
        work_s = self.rig.work_s * self.slowness
        self.run_by_key[key] = SimulatedRun(
            step, self.rig.now_s + work_s, self.rig.end_kind(step), work_s
        )
        if step.runs_until_cancelled:
            self.run_by_key[key].end_s = float("inf")
        self.rig.check_start(self, order)
        return _orders.StartResult.STARTED

    def _refusal(self, order: _orders.StartOrder) -> _orders.StartResult | None:
        policy = self.rig.policy
        if policy is not None and not policy.accepts(
            self.entry.id, order, self.rig.now_s
        ):
            self.rig.not_approved_count += 1
            return _orders.StartResult.NOT_APPROVED
        if self.refuses_for_room:
            self.refused_count += 1
            return _orders.StartResult.NO_ROOM
        return None

    def stop(self, token: int, order: _orders.StopOrder) -> None:
        """Carries out a stop."""
        if token < self.token:
            return
        self.token = token
        self.barred[order.task] = max(order.run, self.barred.get(order.task, 0))
        self._end((order.task, order.run), _executor.RunEndKind.STOPPED)

    def hold(
        self, token: int, order: _orders.RenewalOrder
    ) -> _executor.LeaseRenewalReply:
        """Renews the lease and lists runs and ends."""
        if token >= self.token:
            self.token = token
            if order.lease_until_ms is not None:
                self._extend(order.lease_until_ms)
            for end in self.ends:
                noted = end.list_position <= order.acknowledged
                if noted and end.kind is _executor.RunEndKind.FAILED:
                    self.rig.failures[end.task].add(end.run_number)
            if not self.keeps_ends:
                self.ends = [
                    end
                    for end in self.ends
                    if end.list_position > order.acknowledged
                ]
            self.acknowledged = max(self.acknowledged, order.acknowledged)
        return _executor.LeaseRenewalReply(
            clock_ms=self.clock_ms,
            started_wall_ms=self.born_ms,
            active_runs=tuple(
                _executor.ActiveRunReport(
                    task, run, "", self._percent(simulated), 0.0
                )
                for (task, run), simulated in self.run_by_key.items()
            ),
            unacknowledged_ends=tuple(self.ends),
        )

    def _percent(self, run: SimulatedRun) -> float:
        if self.is_hanging:
            return 0.0
        if run.step.runs_until_cancelled:
            return 100.0
        left_s = max(0.0, run.end_s - self.rig.now_s)
        return round(100.0 * (1.0 - left_s / run.work_s))

    def _extend(self, until_ms: int) -> None:
        longest_ms = int(_limits.LeaseTimes().longest_lease_s * 1000)
        granted_ms = min(until_ms, self.clock_ms + longest_ms)
        self.lease_ms = max(self.lease_ms, granted_ms)

    def advance(self) -> None:
        """Ends what is due."""
        for key, run in list(self.run_by_key.items()):
            if self.clock_ms >= self.lease_ms:
                self._end(key, _executor.RunEndKind.LAPSED)
            elif self.rig.now_s >= run.end_s and not self.is_hanging:
                self._end(key, run.kind)

    def _end(self, key: RunKey, kind: _executor.RunEndKind) -> None:
        if self.run_by_key.pop(key, None) is None:
            return
        self.count += 1
        task, number = key
        if kind is _executor.RunEndKind.DONE:
            self.rig.done_tasks.add(task)
        self.barred[task] = max(number, self.barred.get(task, 0))
        self.ends.append(
            _executor.EndedRunReport(self.count, task, number, kind, "saved")
        )


@dataclasses.dataclass
class SimulatedPolicy:
    """A policy that approves some executors for every step, for a while.

    Attributes:
        good: Executors that it approves.
        validity_s: How long an approval holds.
        decision_s: Time that a question takes.
        is_up: Whether it answers.
        asked: Every question so far.
        proofs: Valid until, by proof.
    """

    good: set[str]
    validity_s: float = 2.0
    decision_s: float = 0.2
    is_up: bool = True
    asked: list[_orders.ApprovalOrder] = dataclasses.field(default_factory=list)
    until_s_by_proof: dict[str, float] = dataclasses.field(default_factory=dict)

    def decide(
        self, order: _orders.ApprovalOrder, now_s: float
    ) -> dict[str, str]:
        """Returns a proof for each approved executor."""
        proof_by_executor = {}
        for executor in self.good.intersection(order.executors):
            step = f"{order.job}.{order.occurrence}.{order.step}"
            proof = f"{step}@{executor}#{len(self.asked)}"
            self.until_s_by_proof[proof] = now_s + self.validity_s
            proof_by_executor[executor] = proof
        return proof_by_executor

    def accepts(
        self, executor: str, order: _orders.StartOrder, now_s: float
    ) -> bool:
        """Returns whether an executor accepts the proof of a start."""
        task = order.task
        expected = f"{task.job}.{task.occurrence}.{task.step}@{executor}#"
        until_s = self.until_s_by_proof.get(order.approval, 0.0)
        return order.approval.startswith(expected) and now_s < until_s


@dataclasses.dataclass
class Late:
    """An order without an answer that is carried out later."""

    due_s: float
    token: int
    order: _orders.ExecutorOrder
    life: int


class CellRig:
    """Drives a scheduler through virtual time.

    Args:
        entries: The executors.
        seed: For the faults.
        fail_share: Share of the runs that fail.
        queues: The queues as configured.
    """

    def __init__(
        self,
        *entries: _executor.ListedExecutor,
        seed: int = 1,
        fail_share: float = 0.0,
        queues: Sequence[_configuration.Queue] = (),
    ) -> None:
        self.queues = queues
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.fail_share = fail_share
        self.lost_share = 0.0
        self.late_share = 0.0
        self.store_is_up = True
        self.store: dict[str, bytes] = {}
        self.specs: dict[str, _job_spec.JobSpec] = {}
        self.cancelled_s: dict[str, float] = {}
        self.refused: set[str] = set()
        self.accepted: set[str] = set()
        self.failures: collections.defaultdict[_job_spec.TaskId, set[int]] = (
            collections.defaultdict(set)
        )
        self.starts: list[tuple[float, str, _orders.StartOrder]] = []
        self.late: list[Late] = []
        self.done_s: dict[str, float] = {}
        self.done_tasks: set[_job_spec.TaskId] = set()
        self.work_s = WORK_S
        self.noted: Callable[[_notes.Note], None] = lambda _: None
        self.policy: SimulatedPolicy | None = None
        self.not_approved_count = 0
        self.decisions: list[
            tuple[float, _scheduler.Scheduler, _orders.ApprovalOrder]
        ] = []
        self.is_carrying_out_late = False
        self.executor_by_id = {
            each.id: SimulatedExecutor(each, self)
            for each in entries or (build.entry(),)
        }
        self.epoch = 0
        self.confirmed_s = 0.0
        self.scheduler = self._begin()

    def _begin(self) -> _scheduler.Scheduler:
        self.epoch += 1
        self.scheduler = build.scheduler(*self.queues, epoch=self.epoch)
        records = [
            _job_records.decode_record(_job_records.KeyedRecord(key, value))
            for key, value in self.store.items()
        ]
        self.scheduler.restore_from_records(records, build.at(self.now_s))
        self.confirmed_s = self.now_s
        self.list_executors()
        return self.scheduler

    def take_over(self) -> None:
        """Replaces the scheduler by one that knows only the store."""
        self._begin()

    def list_executors(self) -> None:
        """Hands the platform's list to the scheduler."""
        self.scheduler.set_executors(
            [e.entry for e in self.executor_by_id.values() if e.is_up],
            build.at(self.now_s),
        )

    def submit(self, accepted: _progress.AcceptedJob) -> None:
        """Hands a job in."""
        self.specs[accepted.id] = accepted.spec
        result = self.scheduler.submit_job(accepted, build.at(self.now_s))
        if result is not None and result.value != "accepted":
            self.refused.add(accepted.id)

    def cancel(self, job_id: str) -> None:
        """Cancels a job, if the scheduler knows it."""
        with contextlib.suppress(KeyError):
            self.scheduler.cancel_job(job_id, build.at(self.now_s))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        """One step of virtual time."""
        self.now_s += STEP_S
        for executor in self.executor_by_id.values():
            if executor.is_up:
                executor.advance()
        self._carry_out_late()
        if self.store_is_up:
            self.confirmed_s = self.now_s
        now = build.at(self.now_s)
        self.scheduler.run_timed_work(now, confirmed_s=self.confirmed_s)
        self._decide_approvals()
        for order in self.scheduler.take_orders():
            if isinstance(order, _orders.ApprovalOrder):
                self._ask_policy(order)
            else:
                self._carry_out(order)
        self._take_notes()
        if self.store_is_up:
            self._store_batch()

    def _take_notes(self) -> None:
        for note in self.scheduler.take_notes():
            self.noted(note)
            if note.value_by_field.get("how") == "done":
                task = str(note.value_by_field["task"])
                self.done_s.setdefault(task, self.now_s)

    def _store_batch(self) -> None:
        batch = self.scheduler.take_batch()
        if batch is None:
            return
        for record in batch.records:
            for keyed in _job_records.encode_record(record):
                if keyed.value:
                    self.store[keyed.key] = keyed.value
                else:
                    self.store.pop(keyed.key, None)
            if isinstance(record, _records.JobRecord):
                self.accepted.add(record.job.id)
        self.scheduler.handle_batch_stored(batch, build.at(self.now_s))
        for reply in batch.replies:
            if isinstance(reply, _orders.CancelReply):
                self.cancelled_s.setdefault(reply.job_id, self.now_s)

    def _ask_policy(self, order: _orders.ApprovalOrder) -> None:
        assert self.policy is not None
        self.policy.asked.append(order)
        due_s = self.now_s + self.policy.decision_s
        self.decisions.append((due_s, self.scheduler, order))

    def _decide_approvals(self) -> None:
        due = [each for each in self.decisions if each[0] <= self.now_s]
        self.decisions = [e for e in self.decisions if e[0] > self.now_s]
        for _, scheduler, order in due:
            assert self.policy is not None
            now = build.at(self.now_s)
            if self.policy.is_up:
                proofs = self.policy.decide(order, self.now_s)
                scheduler.handle_approval_answer(order, proofs, now)
            else:
                scheduler.handle_approval_failure(order, now)

    def _carry_out(self, order: _orders.ExecutorOrder) -> None:
        executor = self.executor_by_id[order.executor]
        lost = not executor.is_up or not executor.answers
        if isinstance(order, _orders.RenewalOrder) and executor.is_reset:
            executor.is_reset = False
            lost = True
        if not lost and self.rng.random() < self.late_share:
            due_s = self.now_s + self.rng.uniform(0.5, 8.0)
            self.late.append(Late(due_s, self.epoch, order, executor.born_ms))
            lost = True
        answer = None if lost else self._told(executor, self.epoch, order)
        if self.rng.random() < self.lost_share:
            answer = None
        self._answer(order, answer)
        self._take_notes()

    def _told(
        self,
        executor: SimulatedExecutor,
        token: int,
        order: _orders.ExecutorOrder,
    ) -> _orders.StartResult | _executor.LeaseRenewalReply | bool:
        """Has an executor carry out an order and returns its answer."""
        if isinstance(order, _orders.StartOrder):
            return executor.start(token, order)
        if isinstance(order, _orders.RenewalOrder):
            return executor.hold(token, order)
        if isinstance(order, _orders.StopOrder):
            executor.stop(token, order)
        return True

    def _answer(
        self,
        order: _orders.ExecutorOrder,
        answer: _orders.StartResult | _executor.LeaseRenewalReply | bool | None,
    ) -> None:
        now = build.at(self.now_s)
        if isinstance(order, _orders.StartOrder):
            result = _orders.StartResult.UNKNOWN
            if isinstance(answer, _orders.StartResult):
                result = answer
            self.scheduler.handle_start_answer(order, result, now)
        elif isinstance(order, _orders.StopOrder):
            self.scheduler.handle_stop_answer(order, answer is not None, now)
        elif isinstance(order, _orders.RenewalOrder):
            if isinstance(answer, _executor.LeaseRenewalReply):
                self.scheduler.handle_renewal_answer(order, answer, now)
            else:
                self.scheduler.handle_renewal_failure(
                    order, now, is_other_incarnation=False
                )

    def _carry_out_late(self) -> None:
        due = [each for each in self.late if each.due_s <= self.now_s]
        self.late = [each for each in self.late if each.due_s > self.now_s]
        for late in due:
            executor = self.executor_by_id[late.order.executor]
            # An order is lost with the process that had received it.
            if executor.is_up and executor.born_ms == late.life:
                self.is_carrying_out_late = True
                self._told(executor, late.token, late.order)
                self.is_carrying_out_late = False

    def _is_step_done(
        self, spec: _job_spec.JobSpec, task: _job_spec.TaskId, step: int
    ) -> bool:
        """Returns whether all tasks of a step have ended well.

        One end stands for all members of a gang.
        """
        done = [
            _job_spec.TaskId(task.job, task.occurrence, step, index)
            in self.done_tasks
            for index in range(spec.steps[step].count)
        ]
        return any(done) if spec.steps[step].gang else all(done)

    def step_of(self, task: _job_spec.TaskId) -> _job_spec.StepSpec:
        """Returns the step of a task."""
        return self.specs[task.job].steps[task.step]

    def end_kind(self, step: _job_spec.StepSpec) -> _executor.RunEndKind:
        """Draws how a run is to end."""
        if not step.gang and self.rng.random() < self.fail_share:
            return _executor.RunEndKind.FAILED
        return _executor.RunEndKind.DONE

    def check_start(
        self, executor: SimulatedExecutor, order: _orders.StartOrder
    ) -> None:
        """Checks the rules that a start may break."""
        task = order.task
        self.starts.append((self.now_s, executor.entry.id, order))
        spec = self.specs[task.job]
        unmet = [
            after
            for after in spec.steps[task.step].after
            if not self._is_step_done(spec, task, after)
        ]
        assert not unmet, f"{task}: starts before steps {unmet} are done"
        assert task.job in self.accepted, f"{task}: not stored"
        assert task.job not in self.refused, f"{task}: was refused"
        cancelled_s = self.cancelled_s.get(task.job)
        if cancelled_s is not None and not self.is_carrying_out_late:
            assert self.now_s - cancelled_s < 3.0, f"{task}: was cancelled"
        used = _job_spec.Resources()
        for run in executor.run_by_key.values():
            used += run.step.reserved_resources
        assert executor.entry.capacity.covers(used), f"{task}: over capacity"
        twice = [
            other.entry.id
            for other in self.executor_by_id.values()
            for (running, number) in other.run_by_key
            if running == task
            and (other is not executor or number != order.run)
            and other.is_up
        ]
        # Copies may run side by side. One may be under way as another ends, for
        # a second, or longer if its order is carried out late.
        may_be_copy = spec.steps[task.step].speculative
        if may_be_copy:
            twice = []
        assert not twice, f"{task}: runs twice, also on {twice}"
        place = (task.occurrence, task.step, task.index)
        state = self.scheduler.cell.job_by_id.get(task.job)
        known_s = self.now_s - self.done_s.get(str(task), 0.0)
        is_under_way = may_be_copy and (
            self.is_carrying_out_late or known_s <= 1.0
        )
        if state is not None and not is_under_way:
            done = state.progress.completed_positions
            assert place not in done, f"{task}: is done"
        assert (
            spec.steps[task.step].runs_until_cancelled
            or len(self.failures[task]) < build.queue().max_attempts
        ), f"{task}: too many attempts"
