"""Stateful test: no random sequence of faults doubles or loses a task."""

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from basiljunction.state import _job
from basiljunction.state import _records
import batch_rig
import builders

_INSTANCES = ("dunedin-1", "christchurch-1", "invercargill-1")
_Phase = _job.TaskPhase
_worker_names = st.sampled_from([f"worker-{index}" for index in range(3)])


class BatchMachine(stateful.RuleBasedStateMachine):
    """Submits and cancels jobs under faults of workers, log and instances.

    ``Rig.check`` runs after every time step: no task runs on two workers, and
    no worker gets more than its capacity.
    """

    def __init__(self) -> None:
        """Creates three instances with a worker each."""
        super().__init__()
        self.rig = batch_rig.Rig(instances=_INSTANCES, workers=3)
        self.jobs: list[str] = []

    @stateful.rule(
        cores=st.sampled_from([1, 4, 20]),
        run_time_s=st.sampled_from([5.0, 60.0, 200.0]),
        chained=st.booleans(),
        gang=st.booleans(),
    )
    def submit(
        self, cores: int, run_time_s: float, chained: bool, gang: bool
    ) -> None:
        """Submits a job of two tasks."""
        job_id = f"job-{len(self.jobs)}"
        demand = _job.ResourceDemand(cores * 1000, 1024)
        names = ("one", "two")
        specs = [
            builders.task_spec(
                name,
                demand=demand,
                run_time_s=run_time_s,
                after=("one",) if chained and name == "two" else (),
                gang="pair" if gang and not chained else "",
            )
            for name in names
        ]
        self.rig.submit(builders.job(job_id, *specs))
        self.jobs.append(job_id)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancels a job."""
        job_id = data.draw(st.sampled_from(self.jobs))
        self.rig.submit_record(_records.JobCancelled(job_id, "kowhai"))

    @stateful.rule(seconds=st.sampled_from([0.25, 1.0, 5.0, 30.0]))
    def wait(self, seconds: float) -> None:
        """Advances the time."""
        self.rig.run(seconds)

    @stateful.rule(
        name=_worker_names,
        fault=st.sampled_from(
            ["down", "lose_answers", "refuse", "refuse_checkpoints"]
        ),
    )
    def switch_fault(self, name: str, fault: str) -> None:
        """Toggles a fault of a worker."""
        worker = self.rig.worker_by_name[name]
        setattr(worker, fault, not getattr(worker, fault))

    @stateful.rule(name=_worker_names)
    def restart_worker(self, name: str) -> None:
        """Restarts a worker, which loses all its runs."""
        self.rig.worker_by_name[name].restart()

    @stateful.rule()
    def switch_log(self) -> None:
        """Toggles an outage of the log."""
        self.rig.is_log_down = not self.rig.is_log_down

    @stateful.rule(name=st.sampled_from(_INSTANCES))
    def switch_lease(self, name: str) -> None:
        """Toggles whether an instance has the vouchers for its lease."""
        self.rig.instances_without_renewal ^= {name}

    @stateful.precondition(lambda self: len(self.rig.core_by_instance) == 3)
    @stateful.rule(name=st.sampled_from(_INSTANCES))
    def die_and_take_over(self, name: str) -> None:
        """Kills an instance and lets another take over its workers."""
        self.rig.kill(name)
        successor = next(iter(self.rig.core_by_instance))
        self.rig.take_over(name, successor)

    def teardown(self) -> None:
        """Clears the faults that block tasks and checks that all tasks end."""
        rig = self.rig
        rig.is_log_down = False
        rig.instances_without_renewal.clear()
        for worker in rig.worker_by_name.values():
            for fault in ("down", "lose_answers", "refuse"):
                setattr(worker, fault, False)
        for _ in range(40):
            rig.run(60, step_s=0.5)
            if self._unfinished_task_ids() == []:
                break
        assert self._unfinished_task_ids() == []
        for task_id in rig.log.state.task_by_id:
            numbers = [number for number, _ in rig.list_starts(task_id)]
            assert len(numbers) == len(set(numbers)), task_id

    def _unfinished_task_ids(self) -> list[str]:
        """Returns the tasks that are pending or claimed."""
        return [
            task_id
            for task_id, task in self.rig.log.state.task_by_id.items()
            if task.phase in (_Phase.PENDING, _Phase.CLAIMED)
        ]


TestBatchMachine = BatchMachine.TestCase
TestBatchMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=[HealthCheck.too_slow],
)
