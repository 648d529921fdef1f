"""Mutations that each remove one guard of the platform's job scheduler.

Each names the rule whose violation a caller or an executor would observe.
"""

import mutations

_SCHEDULING = "src/basiljunction/coordination/scheduling"
_TESTS = "tests/coordination/scheduling"


def _mutation(
    name: str, rule: str, path: str, old: str, new: str, *tests: str
) -> mutations.Mutation:
    """Returns a mutation of one edit; ``rule`` names what it guards."""
    edits = (mutations.Edit(path, old, new),)
    return mutations.Mutation(name, rule, edits, tests)


MUTATIONS = (
    _mutation(
        "room-not-checked",
        "capacity",
        f"{_SCHEDULING}/_placement.py",
        "    if not executor.free_capacity.covers(step.reserved_resources):\n"
        "        return False\n",
        "",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "start-without-answer-released",
        "one run",
        f"{_SCHEDULING}/_scheduler.py",
        "            run.phase = _runs.RunPhase.UNSETTLED\n",
        "            self.cell.release_run(state, run, now)\n",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "lease-not-waited-for",
        "one run",
        f"{_SCHEDULING}/_renewals.py",
        "or now.boot_s <= executor.lease_expired_s()",
        "or now.boot_s <= executor.last_answer_s + 1.6",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "copies-of-every-step",
        "one run",
        f"{_SCHEDULING}/_cell_state.py",
        "if job is None or not run.step.speculative:",
        "if job is None:",
        f"{_TESTS}/test_copies.py",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "inherited-jobs-not-held",
        "one run",
        f"{_SCHEDULING}/_placer.py",
        "job.is_inherited and cell.has_inherited_runs",
        "False",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "leases-without-confirmed-term",
        "one scheduler",
        f"{_SCHEDULING}/_scheduler.py",
        "now.boot_s - confirmed_s < cell.times.max_unconfirmed_s",
        "confirmed_s < now.boot_s + 1",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "term-open-at-once",
        "one scheduler",
        "src/basiljunction/coordination/leadership/_election.py",
        "return now_s - self._renewal_seen_s > TERM_EXPIRY_S",
        "return True",
        "tests/coordination/leadership",
    ),
    _mutation(
        "term-without-progress-kept",
        "answers",
        "src/basiljunction/transport/jobs/_cell_task.py",
        "if self._watch.is_stalled(now.boot_s, election.term.given_up_terms):",
        "if self._watch.is_stalled(0.0, election.term.given_up_terms):",
        "tests/transport/jobs/test_held_terms.py",
    ),
    _mutation(
        "slow-progress-taken-for-none",
        "answers",
        "src/basiljunction/coordination/leadership/_term_progress.py",
        "progress.bytes_read // COUNTED_BYTES,",
        "progress.bytes_read // 10**12,",
        "tests/coordination/leadership/test_term_progress.py",
    ),
    _mutation(
        "terms-hop-while-the-store-is-impaired",
        "answers",
        "src/basiljunction/coordination/leadership/_term_progress.py",
        "        if not is_confirmed:",
        "        if now_s < 0:",
        "tests/coordination/leadership/test_term_progress.py",
    ),
    _mutation(
        "given-up-term-claimed-back-at-once",
        "answers",
        "src/basiljunction/coordination/leadership/_election.py",
        "        if self._leaves_claim_to_others(now_s):\n"
        "            return None\n",
        "",
        "tests/coordination/leadership/test_election.py",
    ),
    _mutation(
        "submits-take-every-connection",
        "cancelling",
        "src/basiljunction/transport/jobs/_call_router.py",
        "and self._submits_in_flight[address] >= limit",
        "and self._submits_in_flight[address] >= 2 * limit",
        "tests/transport/jobs/test_cancels.py",
    ),
    _mutation(
        "silent-connections-tried-again",
        "cancelling",
        "src/basiljunction/transport/jobs/_call_router.py",
        "needs_new_connection=pending.has_timed_out,",
        "needs_new_connection=False,",
        "tests/transport/jobs/test_cancels.py",
    ),
    _mutation(
        "submits-take-every-thread",
        "cancelling",
        "src/basiljunction/transport/jobs/_apps.py",
        "return kind in _UNLIMITED_KINDS or self._free.acquire(blocking=False)",
        "return kind in _UNLIMITED_KINDS or self._free.acquire(timeout=9)",
        "tests/transport/jobs/test_cancels.py",
    ),
    _mutation(
        "earlier-life-taken-for-own",
        "one scheduler",
        "src/basiljunction/state/workload/_leadership.py",
        "return (self.instance, self.incarnation) == (instance, incarnation)",
        "return self.instance == instance and incarnation > 0",
        "tests/coordination/leadership",
    ),
    _mutation(
        "any-refusal-opens-the-term",
        "one scheduler",
        "src/basiljunction/coordination/leadership/_election.py",
        "epoch != self.term.epoch or self.is_leader",
        "self.is_leader",
        "tests/coordination/leadership",
    ),
    _mutation(
        "steps-in-any-order",
        "order of steps",
        f"{_SCHEDULING}/_jobs.py",
        "if key not in self.opened_steps and self._are_predecessors_done(\n"
        "                    occurrence, step\n"
        "                ):",
        "if key not in self.opened_steps:",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "one-attempt-more",
        "attempts",
        f"{_SCHEDULING}/_renewals.py",
        "if len(failed_runs) >= job.queue.max_attempts:",
        "if len(failed_runs) > job.queue.max_attempts:",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "failures-of-predecessors-dropped",
        "attempts",
        f"{_SCHEDULING}/_renewals.py",
        "elif run is None and self._was_started_by_predecessor(end):",
        "elif run is None and end is None:",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "failures-counted-twice",
        "attempts",
        f"{_SCHEDULING}/_renewals.py",
        "failed_runs.add(end.run_number)",
        "failed_runs.add(-1 - len(failed_runs))",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "gang-starts-in-part",
        "gangs",
        f"{_SCHEDULING}/_placement.py",
        "        if len(chosen) == count:\n            return chosen\n"
        "    return None\n",
        "        if len(chosen) == count:\n            return chosen\n"
        "    return chosen or None\n",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "cancelled-runs-not-stopped",
        "cancelling",
        f"{_SCHEDULING}/_cell_state.py",
        "if run.task.job == job.id:",
        "if run.task.job == job.queue:",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "started-before-stored",
        "acceptance",
        f"{_SCHEDULING}/_jobs.py",
        "return self.is_stored and not self.progress.state.is_final",
        "return not self.progress.state.is_final",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "ends-acknowledged-before-stored",
        "noted ends",
        f"{_SCHEDULING}/_renewals.py",
        "acknowledged=0 if is_retry else executor.stored_end_number,",
        "acknowledged=0 if is_retry else executor.processed_end_number,",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "refused-after-a-broken-try",
        "refusals",
        "src/basiljunction/transport/jobs/_call_router.py",
        "if reply.outcome.means_no_effect and self.may_have_changed_state:",
        "if reply.outcome.means_no_effect and self.deadline_boot_s < 0:",
        "tests/transport/jobs/test_call_router.py",
    ),
    _mutation(
        "fillers-beside-a-tail-over-its-target",
        "serving tasks",
        f"{_SCHEDULING}/_sharing.py",
        "run.over_target_since_s is not None\n        or",
        "run.over_target_since_s is not None\n        and",
        f"{_TESTS}/test_sharing.py",
    ),
    _mutation(
        "draining-executors-used",
        "draining",
        f"{_SCHEDULING}/_executors.py",
        "if not self.is_listed or self.listing.is_draining:",
        "if not self.is_listed:",
        f"{_TESTS}/test_scheduler.py",
    ),
    _mutation(
        "label-not-checked",
        "labels",
        f"{_SCHEDULING}/_placement.py",
        "step.required_label and step.required_label not in entry.labels",
        "step.required_label and not entry.labels",
        f"{_TESTS}/test_placement.py",
    ),
    _mutation(
        "tasks-of-a-step-not-spread",
        "spreading",
        f"{_SCHEDULING}/_placement.py",
        "return executor.count_runs_of_step(task) < step.max_per_executor",
        "return executor.count_runs_of_step(task) >= 0",
        f"{_TESTS}/test_placement.py",
    ),
    _mutation(
        "proof-outlives-the-executor",
        "approvals",
        f"{_SCHEDULING}/_approvals.py",
        "approval is None\n            or approval.executor_started_ms"
        " != executor.started_wall_ms",
        "approval is None",
        f"{_TESTS}/test_approvals.py",
    ),
)
