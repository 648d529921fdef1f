"""Runs one deployment under load while faults are injected."""

from collections.abc import Callable
from concurrent import futures
import pathlib
import threading
import time
from typing import Any

from basiljunction.demo import _balancer
from basiljunction.demo import _callers
from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _evidence
from basiljunction.demo import _operators
from basiljunction.demo import _submitters

JOBS_TIMEOUT_S = 30.0
"""Longest wait for jobs to end after the workload, in seconds."""

Disturbance = Callable[["DeploymentRun", float], None]
"""Injects faults into a run, given its start on the monotonic clock."""


class DeploymentRun:
    """Runs the workload of one deployment and collects evidence.

    Attributes:
        deployment: Sizes and workload of the deployment.
        cluster: Processes of the deployment.
        operators: Publishes the contract and records its versions.

    Args:
        deployment: Sizes and workload of the deployment.
        examples: Folder of the example contracts.
        folder: Folder for settings and log files.
        seed: Seed of the workload and the stand-in services.
        settings: Overrides of the entry instances' settings.
    """

    def __init__(
        self,
        deployment: _deployments.Deployment,
        *,
        examples: pathlib.Path,
        folder: pathlib.Path,
        seed: int,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.deployment = deployment
        self.cluster = _cluster.Cluster(
            deployment, folder, seed=seed, settings=settings
        )
        self._balancer = _balancer.LoadBalancer(self.cluster, seed=seed)
        self._callers = _callers.RequestSender(
            self.cluster, self._balancer, seed=seed
        )
        self.operators = _operators.ContractPublisher(
            self.cluster, examples / deployment.customer / "contract.json5"
        )
        self._submitters = _submitters.JobSubmitter(
            self.cluster, run_name=f"run-{seed}"
        )
        self._stop = threading.Event()
        self._pool = futures.ThreadPoolExecutor()

    def start(self) -> None:
        """Starts the processes and publishes the contract.

        Raises:
            InstancesNotReadyError: An instance was not ready in time.
            ProcessFailedError: A stand-in did not start.
            PublishFailedError: The contract was not accepted.
        """
        self.cluster.start_all()
        self.cluster.wait_until_ready()
        self.operators.publish_next_version()

    def run_workload(self, seconds: float, disturb: Disturbance) -> None:
        """Sends requests and jobs while a disturbance runs.

        Args:
            seconds: Least duration; a longer disturbance extends it.
            disturb: Injects faults during the run.
        """
        begin_s = time.monotonic()
        self._balancer.update_ready_instances()
        loads = [
            self._pool.submit(self._balancer.check_until_stopped, self._stop),
            self._pool.submit(
                self.operators.record_versions_until_stopped, self._stop
            ),
        ]
        loads.extend(
            self._pool.submit(
                self._callers.send_until_stopped, flow, self._stop
            )
            for flow in self.deployment.flows
        )
        loads.extend(
            self._pool.submit(
                self._submitters.submit_until_stopped, pattern, self._stop
            )
            for pattern in self.deployment.jobs
        )
        try:
            disturb(self, begin_s)
            self.wait_until(begin_s + seconds)
        finally:
            self._stop.set()
        for load in loads:
            load.result()
        self._callers.wait_for_requests()

    def collect_evidence(self) -> _evidence.Evidence:
        """Cancels watches, waits for jobs, and returns all evidence."""
        self._submitters.cancel_watches()
        jobs = self._submitters.wait_for_jobs(JOBS_TIMEOUT_S)
        journals = self.cluster.read_journals()
        return _evidence.Evidence(
            machines=self.cluster.machines,
            executor_events=journals.executor_events,
            worker_events=journals.worker_events,
            answers=self._callers.recorded_attempts(),
            accepted_versions=self.operators.accepted_versions(),
            observed_versions=self.operators.observed_versions(),
            jobs=jobs,
            ends=tuple(self.cluster.instance_ends),
            pauses=tuple(self.cluster.pauses),
            quota_by_customer={
                self.deployment.customer: self.operators.quota()
            },
            log_outages=tuple(self.cluster.log_outages),
        )

    def describe_progress(self) -> str:
        """Returns the customer with completed and total attempts."""
        answers = self._callers.recorded_attempts()
        completed = sum(
            each.outcome is _evidence.RequestOutcome.COMPLETED
            for each in answers
        )
        return f"{self.deployment.customer} {completed}/{len(answers)}"

    def summary_lines(self) -> tuple[str, ...]:
        """Returns report lines about sizes, ended instances and appends."""
        ends = [
            f"{each.instance} "
            f"{'left' if each.graceful else 'killed'} ({each.exit_code})"
            for each in self.cluster.instance_ends
        ]
        return (
            f"{self.deployment.customer}: "
            f"{self.deployment.entry_instances} entry instances, "
            f"{self.deployment.workers} workers and executors; "
            f"{', '.join(ends)}; "
            f"{self.cluster.count_log_appends()} log appends; "
            f"{self._callers.unsent_request_count} requests not sent and "
            f"{self._submitters.refused_job_count} jobs not accepted",
        )

    def close(self) -> None:
        """Stops the workload and kills every process of the deployment."""
        self._stop.set()
        self.cluster.kill_all()
        self._pool.shutdown(cancel_futures=True)

    def wait_until(self, until_s: float) -> None:
        """Waits until a time, or until the run is stopped.

        Args:
            until_s: Reading of the monotonic clock.
        """
        self._stop.wait(max(0.0, until_s - time.monotonic()))
