"""Mutations that each remove one guard from the source.

``run_mutations.py`` applies a mutation to a copy of the project and runs the
named tests, which must then fail.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A text replacement in a file, where ``old`` must occur exactly once."""

    path: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """The removal of one guard, which a test must notice.

    Attributes:
        name: Short name of the mutation.
        invariant: Number of the guarded invariant in docs/overview.md, or the
            name of the guarded rule of the platform.
        edits: Replacements that remove the guard.
        tests: Arguments for pytest; at least one selected test must fail.
    """

    name: str
    invariant: int | str
    edits: tuple[Edit, ...]
    tests: tuple[str, ...]


_SRC = "src/basiljunction"
_CELL = "tests/faults/test_matrix.py::TestCell::test_invariants_hold"


def _matrix_cells(*names: str) -> tuple[str, ...]:
    """Returns the pytest arguments that select cells of the fault matrix."""
    return ("-m", "faults", *(f"{_CELL}[{name}]" for name in names))


MUTATIONS = (
    Mutation(
        "slots-not-counted",
        1,
        (
            Edit(
                f"{_SRC}/coordination/_executor_slots.py",
                "return max(0, view.slots - counted.count_used(boot_s))",
                "return view.slots",
            ),
        ),
        _matrix_cells("wait-peer-hangs", "send-peer-hangs"),
    ),
    Mutation(
        "slots-of-earlier-owner-free",
        1,
        (
            Edit(
                f"{_SRC}/coordination/_executor_slots.py",
                "if boot_s < view.busy_until_boot_s:",
                "if boot_s < 0:",
            ),
        ),
        ("tests/coordination/test_executor_slots.py",),
    ),
    Mutation(
        "claim-while-claimed",
        2,
        (
            Edit(
                f"{_SRC}/state/_fold_tasks.py",
                "if task.phase is _job.TaskPhase.CLAIMED or",
                "if",
            ),
        ),
        ("tests/state", "tests/coordination/test_batch_core.py"),
    ),
    Mutation(
        "lease-lapses-at-once",
        2,
        (
            Edit(
                f"{_SRC}/coordination/_leases.py",
                "return last_send_boot_s + MESSAGE_LIFETIME_S"
                " + lease_s * (1 + CLOCK_DRIFT)",
                "return last_send_boot_s",
            ),
        ),
        _matrix_cells("renew-peer-hangs", "usage-report-peer-hangs"),
    ),
    Mutation(
        "resume-without-checkpoint",
        3,
        (
            Edit(
                f"{_SRC}/state/_fold_tasks.py",
                "    task.checkpoint = record.checkpoint\n",
                "",
            ),
        ),
        _matrix_cells("evict-record-doubled", "resume-doubled"),
    ),
    Mutation(
        "answer-of-another-request",
        4,
        (
            Edit(
                f"{_SRC}/transport/_executor_calls.py",
                "is_own = answered == call.hop.key.request_id",
                "is_own = True",
            ),
        ),
        ("tests/transport/test_executor_calls.py",),
    ),
    Mutation(
        "second-start-not-refused",
        2,
        (
            Edit(
                f"{_SRC}/transport/_send_guard.py",
                "if self.may_have_sent and not self._is_repeatable:",
                "if False:",
            ),
        ),
        ("tests/transport/test_worker_calls.py",),
    ),
    Mutation(
        "start-sent-once-not-remembered",
        2,
        (
            Edit(
                f"{_SRC}/transport/_worker_calls.py",
                "if not guard.may_have_sent and code in _NOT_SENT_ERRORS:",
                "if code in _NOT_SENT_ERRORS:",
            ),
        ),
        ("tests/transport/test_worker_calls.py",),
    ),
    Mutation(
        "refusal-after-lost-call-means-not-run",
        5,
        (
            Edit(
                f"{_SRC}/transport/_http_client.py",
                "if may_have_run and _refuses_change(call, last):",
                "if False:",
            ),
        ),
        ("tests/transport/test_http_client.py",),
    ),
    Mutation(
        "expired-means-not-run",
        5,
        (
            Edit(
                f"{_SRC}/coordination/_urgent_core_entry.py",
                """            return _outcomes.Unknown(
                _outcomes.Step.FORWARD,
                tried.owner,
                _outcomes.Reason.TIMEOUT,
                "the owner did not answer by the deadline",
            )
""",
                """            return _outcomes.NotRun(
                _outcomes.Step.FORWARD,
                tried.owner,
                _outcomes.Reason.TIMEOUT,
            )
""",
            ),
        ),
        _matrix_cells("return-lost", "return-cut-short", "return-delayed"),
    ),
    Mutation(
        "key-used-twice",
        6,
        (
            Edit(
                f"{_SRC}/state/_fold_intents.py",
                "if key in state.intent_by_key:",
                "if not key:",
            ),
        ),
        _matrix_cells(
            "answer-lost", "return-lost", "wait-answer-lost", "wait-dies-after"
        ),
    ),
    Mutation(
        "leaving-executor-gets-work",
        7,
        (
            Edit(
                f"{_SRC}/coordination/_executor_slots.py",
                "if view.leaving or boot_s",
                "if boot_s",
            ),
        ),
        ("tests/coordination",),
    ),
    Mutation(
        "hand-over-before-closed",
        7,
        (
            Edit(
                f"{_SRC}/coordination/_machines.py",
                "return self._leaving_report.in_flight_by_executor"
                ".get(executor) == 0",
                "return False",
            ),
        ),
        _matrix_cells("drain-doubled", "hand-over-doubled"),
    ),
    Mutation(
        "contract-of-any-version",
        8,
        (
            Edit(
                f"{_SRC}/state/_fold_contracts.py",
                "if record.base_version != version:",
                "if record.base_version < 0:",
            ),
            Edit(
                f"{_SRC}/state/_fold_contracts.py",
                "if record.contract.version != version + 1:",
                "if record.contract.version < 1:",
            ),
        ),
        ("tests/state/test_fold.py", "tests/state/test_fold_contracts.py"),
    ),
    Mutation(
        "quota-not-kept",
        9,
        (
            Edit(
                f"{_SRC}/state/_fold_tasks.py",
                "if not _fits_quota(state, customer, task.spec.demand):",
                "if False:",
            ),
        ),
        ("tests/state/test_fold.py",),
    ),
    Mutation(
        "no-deadline-at-the-entry",
        10,
        (
            Edit(
                f"{_SRC}/coordination/_urgent_core_entry.py",
                "if now.boot_s >= pending.deadline_boot_s:\n"
                "                actions += self._end_request(",
                "if now.boot_s < 0:\n"
                "                actions += self._end_request(",
            ),
        ),
        _matrix_cells("return-lost", "forward-peer-hangs", "owner-admit-lost"),
    ),
    Mutation(
        "entry-folded-twice",
        9,
        (
            Edit(
                f"{_SRC}/state/_fold.py",
                "if author.incarnation == incarnation and sequence <= last:",
                "if sequence < 0:",
            ),
        ),
        ("tests/state/test_fold.py",),
    ),
    Mutation(
        "gangs-claim-in-step",
        10,
        (
            Edit(
                f"{_SRC}/coordination/_batch_records.py",
                "return RECLAIM_WAIT_S + self._gang_spread_s(record)",
                "return RECLAIM_WAIT_S",
            ),
        ),
        ("tests/coordination/test_batch_gangs.py",),
    ),
)
