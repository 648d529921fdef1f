"""Checks the invariants of a run from its evidence alone.

Each check yields one line for each violation.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from basiljunction.demo import _evidence
from basiljunction.demo import _task_checks

LEAVING_NOTICE_S = 3.0
"""Time after which a machine shown as leaving must get no new work, in
seconds."""

CONTRACT_IN_FORCE_WITHIN_S = 5.0
"""Time within which an accepted contract must be in force, in seconds."""

ANSWER_GRACE_S = 1.0
"""Time by which an answer may exceed its deadline, in seconds."""

KILL_GRACE_S = 1.0
"""Time after a kill in which a cut request is attributed to it, in seconds."""

MIN_COMPLETED_SHARE = 0.9
"""Share of a class's requests that must complete in time, from 0 to 1."""

HTTP_OK = 200
"""HTTP status of a successful request."""

InvariantCheck = Callable[[_evidence.Evidence], Iterator[str]]
"""Yields a line for each violation that it finds in the evidence of a run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invariant:
    """A property that must hold in every run.

    Attributes:
        number: Number in the report.
        title: One-line description in the report.
        check: Yields a line for each violation.
    """

    number: int
    title: str
    check: InvariantCheck


@dataclasses.dataclass(frozen=True, slots=True)
class InvariantResult:
    """The violations of one invariant in one run.

    Attributes:
        invariant: The invariant that was checked.
        violations: One line for each violation.
    """

    invariant: Invariant
    violations: tuple[str, ...]


def check_invariants(
    evidence: _evidence.Evidence,
) -> tuple[InvariantResult, ...]:
    """Checks every invariant and returns the results in order."""
    return tuple(
        InvariantResult(invariant, tuple(invariant.check(evidence)))
        for invariant in INVARIANTS
    )


def find_capacity_violations(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields machines that were assigned more than their capacity.

    Work that a machine refused for lack of capacity counts as assigned.
    """
    by_executor = {each.executor: each for each in evidence.machines}
    for event in evidence.executor_events:
        machine = by_executor[event.executor]
        where = f"{event.executor} at {event.wall_s:.3f}"
        if event.slots_in_use > machine.slots:
            yield f"{where}: {event.slots_in_use} slots in use"
        if event.connections_in_use > machine.connections:
            yield f"{where}: {event.connections_in_use} connections in use"
        if event.reason in {"slots", "connections"}:
            yield f"{where}: refused for lack of free {event.reason}"
    by_worker = {each.worker: each for each in evidence.machines}
    for each in evidence.worker_events:
        yield from _find_worker_overload(each, by_worker[each.worker])


def _find_worker_overload(
    event: _evidence.WorkerEvent, machine: _evidence.Machine
) -> Iterator[str]:
    """Yields a line for each resource of a worker that an event exceeds."""
    where = f"{event.worker} at {event.wall_s:.3f}"
    if event.millicores_in_use > machine.millicores:
        yield f"{where}: {event.millicores_in_use} millicores in use"
    if event.memory_mib_in_use > machine.memory_mib:
        yield f"{where}: {event.memory_mib_in_use} MiB in use"
    if event.accelerators_in_use > machine.accelerators:
        yield f"{where}: {event.accelerators_in_use} accelerators in use"
    if event.reason == "no room":
        yield f"{where}: refused {event.task_id} for lack of capacity"


def find_corrupt_answers(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields answers that are truncated or belong to another request."""
    for answer in evidence.answers:
        if (
            answer.outcome is _evidence.RequestOutcome.COMPLETED
            and not answer.is_intact
        ):
            yield (
                f"{_describe_attempt(answer)} got a truncated answer "
                "or one to another request"
            )


def find_false_not_run_answers(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields requests that ran although every answer said they did not."""
    tries_by_digest = _tries_by_digest(evidence)
    for event in evidence.executor_events:
        if event.event != "begin":
            continue
        tries = [
            each
            for each in tries_by_digest[event.digest]
            if each.sent_wall_s <= event.wall_s
        ]
        outcomes = {each.outcome for each in tries}
        if outcomes == {_evidence.RequestOutcome.NOT_RUN}:
            yield f"{_describe_attempt(tries[-1])} ran at {event.executor}"


def find_repeated_non_idempotent_runs(
    evidence: _evidence.Evidence,
) -> Iterator[str]:
    """Yields non-idempotent requests that ran more than once."""
    tries_by_digest = _tries_by_digest(evidence)
    runs: collections.Counter[str] = collections.Counter()
    runs_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
    for event in evidence.executor_events:
        if event.event != "begin":
            continue
        tries = tries_by_digest[event.digest]
        if tries and not tries[0].idempotent:
            runs[event.digest] += 1
        if event.idempotency_key:
            runs_by_key[event.customer, event.idempotency_key] += 1
    for digest, count in runs.items():
        if count > 1:
            yield (
                f"{_describe_attempt(tries_by_digest[digest][0])} "
                f"ran {count} times"
            )
    for key, count in runs_by_key.items():
        if count > 1:
            yield f"key {key} ran {count} times"


def find_leaving_violations(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields faults around machines and instances that leave.

    These are new work at a leaving machine or instance, and requests cut by
    a graceful shutdown.
    """
    limit_by_name: dict[str, float] = {}
    for machine in evidence.machines:
        if machine.leaving_wall_s is not None:
            limit_s = machine.leaving_wall_s + LEAVING_NOTICE_S
            limit_by_name[machine.worker] = limit_s
            limit_by_name[machine.executor] = limit_s
    for event in evidence.executor_events:
        limit_s = limit_by_name.get(event.executor, float("inf"))
        if event.event == "begin" and event.wall_s > limit_s:
            yield (
                f"{event.executor} began work "
                f"{event.wall_s - limit_s:.1f} s late"
            )
    for each in evidence.worker_events:
        limit_s = limit_by_name.get(each.worker, float("inf"))
        if each.event == "start" and each.wall_s > limit_s:
            yield f"{each.worker} began work {each.wall_s - limit_s:.1f} s late"
    for end in evidence.ends:
        if end.graceful:
            yield from _find_shutdown_violations(evidence, end)


def _find_shutdown_violations(
    evidence: _evidence.Evidence, end: _evidence.InstanceEnd
) -> Iterator[str]:
    """Yields faults of one graceful shutdown.

    Args:
        evidence: Evidence of the run.
        end: The shutdown.
    """
    if end.exit_code != 0:
        yield f"{end.instance} left with exit code {end.exit_code}"
    for answer in evidence.answers:
        if answer.instance != end.instance:
            continue
        if answer.done_wall_s < end.wall_s:
            continue
        if answer.sent_wall_s > end.exited_wall_s:
            continue
        if answer.outcome is _evidence.RequestOutcome.CUT:
            yield (
                f"{_describe_attempt(answer)} was cut by the graceful shutdown"
            )
        ran = answer.outcome is _evidence.RequestOutcome.COMPLETED
        if ran and answer.sent_wall_s > end.wall_s + LEAVING_NOTICE_S:
            yield (
                f"{_describe_attempt(answer)} was accepted "
                "by the leaving instance"
            )


def find_contract_version_violations(
    evidence: _evidence.Evidence,
) -> Iterator[str]:
    """Yields contract versions that break the rules of publication.

    A version must not be accepted twice, come into force late at an
    instance, or be followed by an older one.
    """
    accepted_once: set[tuple[str, int]] = set()
    for accepted in evidence.accepted_versions:
        version = (accepted.customer, accepted.version)
        if version in accepted_once:
            yield f"{version} was accepted twice"
        accepted_once.add(version)
    newest: dict[tuple[str, str], int] = {}
    for seen in evidence.observed_versions:
        key = (seen.instance, seen.customer)
        if seen.version < newest.get(key, 0):
            yield f"{key} went back from {newest[key]} to {seen.version}"
        newest[key] = max(seen.version, newest.get(key, 0))
        required_versions = [
            each.version
            for each in evidence.accepted_versions
            if each.customer == seen.customer
            and _in_force_deadline_s(evidence, each.wall_s) < seen.wall_s
        ]
        if seen.version < max(required_versions, default=0):
            yield (
                f"{key} has {seen.version} in force, "
                f"not {max(required_versions)}"
            )


def _in_force_deadline_s(
    evidence: _evidence.Evidence, accepted_s: float
) -> float:
    """Returns when an accepted version must be in force, in wall-clock time.

    An outage of the log that begins before the deadline extends it.
    """
    reachable_s = accepted_s
    for begin_s, end_s in evidence.log_outages:
        if begin_s <= reachable_s + CONTRACT_IN_FORCE_WITHIN_S:
            reachable_s = max(reachable_s, end_s)
    return reachable_s + CONTRACT_IN_FORCE_WITHIN_S


def find_customer_isolation_violations(
    evidence: _evidence.Evidence,
) -> Iterator[str]:
    """Yields violations of the isolation between customers.

    These are exceeded quotas, work charged to another customer, and lost
    jobs.
    """
    yield from _task_checks.find_exceeded_quotas(evidence)
    tries_by_digest = _tries_by_digest(evidence)
    for event in evidence.executor_events:
        senders = {each.customer for each in tries_by_digest[event.digest]}
        if senders and event.customer not in senders:
            yield f"{event.executor} charged {event.customer}, not {senders}"
    customer_by_job = {each.job_id: each.customer for each in evidence.jobs}
    for each in evidence.worker_events:
        owner = customer_by_job.get(each.task_id.split("/")[0], each.customer)
        if each.event == "start" and each.customer != owner:
            yield f"{each.task_id} charged {each.customer}, not {owner}"
    for job in evidence.jobs:
        if not job.is_known:
            yield f"job {job.job_id} of {job.customer} was lost"


def find_missing_outcomes(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields late answers, and requests and jobs that end without a cause.

    A cut request is excused if its instance was killed or paused, and a late
    one if it was paused.
    """
    for answer in evidence.answers:
        took_s = answer.done_wall_s - answer.sent_wall_s
        paused = _overlaps_pause(evidence, answer)
        if took_s > answer.deadline_s + ANSWER_GRACE_S and not paused:
            yield f"{_describe_attempt(answer)} took {took_s:.1f} s"
        if answer.outcome is _evidence.RequestOutcome.CUT:
            if not paused and not _overlaps_kill(evidence, answer):
                yield (
                    f"{_describe_attempt(answer)} was cut "
                    "without a kill or a pause"
                )
            continue
        named = answer.step and answer.reason
        if (
            answer.outcome is not _evidence.RequestOutcome.COMPLETED
            and not named
        ):
            yield f"{_describe_attempt(answer)} names no step or no reason"
    for job in evidence.jobs:
        if job.unfinished_task_count:
            yield (
                f"job {job.job_id} has "
                f"{job.unfinished_task_count} tasks without an end"
            )
        if job.ended_without_reason_count:
            yield f"job {job.job_id} has tasks that ended without a reason"


def find_low_completion_classes(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields classes with too few requests completed by their deadline."""
    completed_by_class: dict[str, dict[str, bool]] = collections.defaultdict(
        dict
    )
    for answer in evidence.answers:
        in_time = (
            answer.outcome is _evidence.RequestOutcome.COMPLETED
            and answer.status == HTTP_OK
            and answer.done_wall_s - answer.sent_wall_s <= answer.deadline_s
        )
        of_class = completed_by_class[answer.class_name]
        of_class[answer.digest] = of_class.get(answer.digest, False) or in_time
    for class_name, completed in completed_by_class.items():
        share = sum(completed.values()) / len(completed)
        if share < MIN_COMPLETED_SHARE:
            yield f"{class_name}: {share:.0%} of {len(completed)} completed"


def _overlaps_pause(
    evidence: _evidence.Evidence, answer: _evidence.RequestAttempt
) -> bool:
    """Returns whether the instance was paused during the attempt."""
    return any(
        pause.instance == answer.instance
        and answer.sent_wall_s <= pause.end_wall_s
        and answer.done_wall_s >= pause.begin_wall_s
        for pause in evidence.pauses
    )


def _overlaps_kill(
    evidence: _evidence.Evidence, answer: _evidence.RequestAttempt
) -> bool:
    """Returns whether the instance was killed during the attempt."""
    return any(
        end.instance == answer.instance
        and not end.graceful
        and answer.sent_wall_s <= end.wall_s + KILL_GRACE_S
        and answer.done_wall_s >= end.wall_s
        for end in evidence.ends
    )


def _tries_by_digest(
    evidence: _evidence.Evidence,
) -> dict[str, list[_evidence.RequestAttempt]]:
    """Returns the attempts of each request, by the digest of its body."""
    by_digest: dict[str, list[_evidence.RequestAttempt]] = (
        collections.defaultdict(list)
    )
    for answer in evidence.answers:
        by_digest[answer.digest].append(answer)
    return by_digest


def _describe_attempt(answer: _evidence.RequestAttempt) -> str:
    """Returns the text that identifies an attempt in a violation."""
    return (
        f"{answer.customer}/{answer.class_name} through {answer.instance} "
        f"({answer.outcome}, {answer.status}, {answer.digest[:8]})"
    )


INVARIANTS = (
    Invariant(
        1,
        "no machine is assigned more than its capacity",
        find_capacity_violations,
    ),
    Invariant(
        2,
        "no task runs in two places at once",
        _task_checks.find_concurrent_runs,
    ),
    Invariant(
        3,
        "evicted work resumes once, from its last checkpoint",
        _task_checks.find_wrong_resumes,
    ),
    Invariant(
        4, "each answer reaches its own caller intact", find_corrupt_answers
    ),
    Invariant(
        5,
        "no request that ran was answered as not run",
        find_false_not_run_answers,
    ),
    Invariant(
        6,
        "a non-idempotent request runs at most once",
        find_repeated_non_idempotent_runs,
    ),
    Invariant(
        7,
        "a leaving instance gets no new work and cuts no request",
        find_leaving_violations,
    ),
    Invariant(
        8,
        "accepted contracts are in force within 5 s",
        find_contract_version_violations,
    ),
    Invariant(
        9,
        "customers are isolated in quotas, charges and jobs",
        find_customer_isolation_violations,
    ),
    Invariant(
        10,
        "every request and job ends with a stated cause",
        find_missing_outcomes,
    ),
    Invariant(
        11,
        "nine in ten requests of each class complete in time",
        find_low_completion_classes,
    ),
)
"""All invariants, in the order of the report."""
