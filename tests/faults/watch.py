"""Checks the invariants from journals and the answers callers received."""

import collections

from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from faults import callers
from faults import rig

IN_FORCE_S = 5.0
"""Seconds within which an accepted contract has to be in force."""


class InvariantChecker:
    """Checks the ten invariants after each time step and once at the end.

    Attributes:
        violations: Details of each violation, by number of the invariant.
    """

    def __init__(self, test_rig: rig.Rig, clients: callers.Callers) -> None:
        """Creates a checker without violations."""
        self._rig = test_rig
        self._callers = clients
        self._version_by_node: dict[int, int] = {}
        self.violations: dict[int, list[str]] = collections.defaultdict(list)

    def check_now(self) -> None:
        """Checks the invariants that have to hold at every instant."""
        self._check_capacity()
        self._check_single_place()
        self._check_version_order()

    def _add_violation(self, invariant: int, detail: str) -> None:
        """Records a violation, unless the same one is recorded already."""
        found = self.violations[invariant]
        if detail not in found:
            found.append(detail)

    def _check_capacity(self) -> None:
        """No executor or worker is given more than its capacity (1)."""
        boot_s = self._rig.boot_s
        for name, executor in self._rig.executor_by_name.items():
            if executor.overload_count:
                self._add_violation(
                    1,
                    f"{name} received {executor.overload_count} too many",
                )
        for name, worker in self._rig.worker_by_name.items():
            running = [
                worker.attempt_by_ref[ref].start.demand
                for ref in worker.list_running(boot_s)
            ]
            if sum(each.millicores for each in running) > worker.millicores:
                self._add_violation(1, f"{name} exceeds its millicores")

    def _check_single_place(self) -> None:
        """No task runs in two places at a time (2)."""
        places_by_task: dict[str, list[str]] = collections.defaultdict(list)
        for name, worker in self._rig.worker_by_name.items():
            for ref in worker.list_running(self._rig.boot_s):
                places_by_task[ref.task_id].append(f"{name}/{ref.attempt}")
        for task, where in places_by_task.items():
            if len(where) > 1:
                self._add_violation(2, f"{task} runs at {sorted(where)}")

    def _check_version_order(self) -> None:
        """No instance returns to an older contract version (8)."""
        for each in self._rig.live_instances():
            in_force = each.folded_state.contract_by_customer.get(
                callers.CUSTOMER
            )
            version = in_force.contract.version if in_force else 0
            before = self._version_by_node.get(id(each), 0)
            if version < before:
                self._add_violation(
                    8,
                    f"{each.name} fell back from version {before} to {version}",
                )
            self._version_by_node[id(each)] = version

    def check_at_end(self) -> dict[int, list[str]]:
        """Checks every invariant after recovery and returns all violations."""
        self.check_now()
        self._check_resumes()
        self._check_answers()
        self._check_keys()
        self._check_newest_contract()
        self._check_quota()
        self._check_service_recovered()
        self._check_all_ended()
        return dict(self.violations)

    def _newest_state(self) -> _system.SystemState | None:
        """Returns the state of the ready instance that has read furthest."""
        live = [
            each for each in self._rig.live_instances() if each.fleet_view.ready
        ]
        if not live:
            return None
        return max(
            live, key=lambda each: each.folded_state.next_offset
        ).folded_state

    def _check_resumes(self) -> None:
        """Each attempt starts once, from the last recorded checkpoint (3)."""
        evicted: dict[tuple[str, int], str] = {}
        for record in self._rig.accepted_records(_records.TaskEvicted):
            assert isinstance(record, _records.TaskEvicted)
            evicted[(record.task_id, record.attempt)] = record.checkpoint
        starts: dict[tuple[str, int], list[str]] = collections.defaultdict(list)
        for worker in self._rig.worker_by_name.values():
            for ref, checkpoint in worker.starts:
                starts[(ref.task_id, ref.attempt)].append(checkpoint)
        for (task, attempt), found in starts.items():
            if len(found) > 1:
                self._add_violation(
                    3, f"{task} attempt {attempt} started twice"
                )
            wanted = evicted.get((task, attempt - 1))
            if wanted is not None and found[0] != wanted:
                self._add_violation(
                    3, f"{task} resumed from {found[0]}, not {wanted}"
                )

    def _count_runs_by_request(self) -> dict[str, int]:
        """Returns how often executors ran each request."""
        count: dict[str, int] = collections.Counter()
        for executor in self._rig.executor_by_name.values():
            for each in executor.journal:
                count[each.request_id] += 1
        return count

    def _check_answers(self) -> None:
        """Answers match requests (4); "not run" means that none ran (5)."""
        served = self._count_runs_by_request()
        for request in self._callers.sent_requests:
            match request.outcome:
                case _outcomes.Completed(body=body):
                    if body != b"answer " + request.body:
                        self._add_violation(
                            4,
                            f"{request.request_id} got a wrong answer",
                        )
                case _outcomes.NotRun() as refused:
                    if served.get(request.request_id):
                        self._add_violation(
                            5, f"{request.request_id} ran: {refused}"
                        )

    def _check_keys(self) -> None:
        """No idempotency key runs more than once (6)."""
        count: dict[str, int] = collections.Counter()
        for executor in self._rig.executor_by_name.values():
            for each in executor.journal:
                if each.key:
                    count[each.key] += 1
        for key, runs in count.items():
            if runs > 1:
                self._add_violation(6, f"key {key} ran {runs} times")

    def _check_newest_contract(self) -> None:
        """The newest accepted contract is in force at every instance (8)."""
        newest = max(self._callers.accepted_boot_s_by_version, default=0)
        for each in self._rig.live_instances():
            in_force = each.folded_state.contract_by_customer.get(
                callers.CUSTOMER
            )
            version = in_force.contract.version if in_force else 0
            if version < newest:
                self._add_violation(
                    8,
                    f"{each.name} has version {version}, not {newest}",
                )

    def _check_service_recovered(self) -> None:
        """Requests sent after recovery complete, with and without key (10)."""
        kinds = collections.Counter(
            bool(request.key)
            for request in self._callers.sent_requests[
                -2 * callers.PROBES_PER_KIND :
            ]
            if isinstance(request.outcome, _outcomes.Completed)
        )
        for has_key, kind in ((False, "idempotent"), (True, "keyed")):
            if not kinds[has_key]:
                self._add_violation(10, f"no {kind} request completes any more")

    def _check_quota(self) -> None:
        """Task usage stays in the quota and matches the claimed tasks (9)."""
        state = self._newest_state()
        if state is None:
            self._add_violation(10, "no instance is ready")
            return
        for customer, usage in state.usage_by_customer.items():
            quota = state.contract_by_customer[customer].contract.quota
            if usage.tasks > quota.tasks or usage.tasks < 0:
                self._add_violation(
                    9,
                    f"{customer} uses {usage}",
                )
            claimed = [
                task
                for task in state.task_by_id.values()
                if task.phase is _job.TaskPhase.CLAIMED
            ]
            if usage.tasks != len(claimed):
                self._add_violation(
                    9,
                    f"{customer}: {usage.tasks} tasks, not {len(claimed)}",
                )

    def _check_all_ended(self) -> None:
        """Drained instances left (7), no job is lost (9), all ended (10)."""
        for request in self._callers.sent_requests:
            waits = request.outcome is None and not request.is_connection_lost
            if waits and request.node.is_alive:
                self._add_violation(10, f"{request.request_id} has no outcome")
        state = self._newest_state()
        if state is None:
            return
        for job_id in self._callers.accepted_job_ids - set(state.job_by_id):
            self._add_violation(9, f"job {job_id} is lost")
        for job_id in self.list_open_jobs():
            self._add_violation(10, f"job {job_id} has not ended")
        for node in self._rig.node_by_name.values():
            if node.is_draining and node.is_alive:
                self._add_violation(7, f"{node.name} did not leave")

    def list_open_jobs(self) -> list[str]:
        """Returns the identifiers of accepted jobs that have yet to end.

        Standing jobs count only once they are cancelled.
        """
        state = self._newest_state()
        if state is None:
            return sorted(self._callers.accepted_job_ids)
        return [
            job_id
            for job_id, job in state.job_by_id.items()
            if job.open_tasks and not self._is_standing(job)
        ]

    def _is_standing(self, job: _system.JobStatus) -> bool:
        return job.job.class_name == "watch" and not job.cancelled
