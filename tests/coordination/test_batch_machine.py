"""Random faults in random order: nothing doubled, nothing lost."""

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
    """Jobs, cancellations and faults at workers, log and instances.

    ``Rig.check`` runs after every step of time: no task at two workers, no
    worker given more than it holds.
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
        """Lets time pass."""
        self.rig.run(seconds)

    @stateful.rule(
        name=_worker_names,
        fault=st.sampled_from(
            ["down", "lose_answers", "refuse", "refuse_checkpoints"]
        ),
    )
    def switch_fault(self, name: str, fault: str) -> None:
        """Switches a fault of a worker on or off."""
        worker = self.rig.worker_by_name[name]
        setattr(worker, fault, not getattr(worker, fault))

    @stateful.rule(name=_worker_names)
    def restart_worker(self, name: str) -> None:
        """A worker loses all it ran."""
        self.rig.worker_by_name[name].forget()

    @stateful.rule()
    def switch_log(self) -> None:
        """The log goes down, or comes back."""
        self.rig.log_down = not self.rig.log_down

    @stateful.rule(name=st.sampled_from(_INSTANCES))
    def switch_lease(self, name: str) -> None:
        """An instance loses its vouchers, or gets them back."""
        self.rig.no_lease ^= {name}

    @stateful.precondition(lambda self: len(self.rig.core_by_instance) == 3)
    @stateful.rule(name=st.sampled_from(_INSTANCES))
    def die_and_take_over(self, name: str) -> None:
        """An instance dies and another takes its workers over."""
        self.rig.kill(name)
        heir = next(iter(self.rig.core_by_instance))
        self.rig.take_over(name, heir)

    def teardown(self) -> None:
        """Mends everything; then each task has to come to its end."""
        rig = self.rig
        rig.log_down = False
        rig.no_lease.clear()
        for worker in rig.worker_by_name.values():
            for fault in ("down", "lose_answers", "refuse"):
                setattr(worker, fault, False)
        for _ in range(40):
            rig.run(60, step_s=0.5)
            if self._open_tasks() == []:
                break
        assert self._open_tasks() == []
        for task_id in rig.log.state.task_by_id:
            numbers = [number for number, _ in rig.starts(task_id)]
            assert len(numbers) == len(set(numbers)), task_id

    def _open_tasks(self) -> list[str]:
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
