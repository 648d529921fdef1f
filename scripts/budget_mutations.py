"""Mutations that each raise one constant of a chain of waits by half.

The test of the sums fails for each: its sum passes the bound, or no longer is
the one on the page.
"""

import mutations

_SRC = "src/basiljunction"
_TEST = "tests/transport/jobs/test_budget_chains.py"
_TESTS = (f"{_TEST}::TestSums", f"{_TEST}::TestPage")

_RAISED_BY_PATH = {
    "coordination/leadership/_election.py": (
        ("MAX_CLAIM_JITTER_S = 0.4", "MAX_CLAIM_JITTER_S = 0.6"),
        ("MAX_PROVISION_DELAY_S = 0.8", "MAX_PROVISION_DELAY_S = 1.2"),
        ("TERM_EXPIRY_S = 1.8", "TERM_EXPIRY_S = 2.7"),
        ("WRITE_RETRY_S = 0.2", "WRITE_RETRY_S = 0.3"),
    ),
    "coordination/leadership/_lease_grants.py": (
        ("MAX_GRANT_S = 5.0", "MAX_GRANT_S = 7.5"),
        ("REPORT_VALIDITY_S = 1.4", "REPORT_VALIDITY_S = 2.1"),
        ("UNREPORTED_GRANT_S = 1.5", "UNREPORTED_GRANT_S = 2.25"),
    ),
    "coordination/leadership/_term_progress.py": (
        ("STALL_LIMIT_S = 3.0", "STALL_LIMIT_S = 4.5"),
    ),
    "coordination/scheduling/_crashes.py": (
        ("MAX_BACKOFF_S = 60.0", "MAX_BACKOFF_S = 90.0"),
    ),
    "coordination/scheduling/_isolated_starts.py": (
        ("MAX_WAIT_S = 5.0", "MAX_WAIT_S = 7.5"),
    ),
    "coordination/scheduling/_limits.py": (
        (
            "CONTACT_TIMEOUT_S = RENEWAL_WAIT_S + 0.4",
            "CONTACT_TIMEOUT_S = 1.5 * (RENEWAL_WAIT_S + 0.4)",
        ),
        ("LEASE_EXPIRY_MARGIN_S = 0.3", "LEASE_EXPIRY_MARGIN_S = 0.45"),
        ("MAX_CLOCK_SLOWNESS = 1.02", "MAX_CLOCK_SLOWNESS = 1.53"),
        ("RENEWAL_DELAY_S = 0.03", "RENEWAL_DELAY_S = 0.045"),
        ("RENEWAL_RETRY_S = 0.25", "RENEWAL_RETRY_S = 0.375"),
        ("MAX_LASTING_IDLE_S = 9.0", "MAX_LASTING_IDLE_S = 13.5"),
        ("RENEWAL_WAIT_S = 1.0", "RENEWAL_WAIT_S = 1.5"),
        ("START_AFTER_LEASE_S = 0.5", "START_AFTER_LEASE_S = 0.75"),
        ("STOP_RETRY_S = 0.4", "STOP_RETRY_S = 0.6"),
        ("TASK_RESTART_DELAY_S = 0.1", "TASK_RESTART_DELAY_S = 0.15"),
        ("UNSTORED_RENEWAL_DELAY_S = 0.5", "UNSTORED_RENEWAL_DELAY_S = 0.75"),
        ("    lease_s: float = 5.0", "    lease_s: float = 7.5"),
        (
            "    longest_lease_s: float = 10.0",
            "    longest_lease_s: float = 15.0",
        ),
    ),
    "coordination/scheduling/_placer.py": (
        ("MAX_STARTS_PER_PASS = 40", "MAX_STARTS_PER_PASS = 60"),
        ("RETRY_ELSEWHERE_S = 1.0", "RETRY_ELSEWHERE_S = 1.5"),
        ("_IDLE_INTERVAL_S = 0.1", "_IDLE_INTERVAL_S = 0.15"),
    ),
    "coordination/scheduling/_preemption.py": (
        ("MAX_LASTING_WAIT_S = 1.5", "MAX_LASTING_WAIT_S = 2.25"),
    ),
    "coordination/scheduling/_sharing.py": (
        ("MAX_OVER_TARGET_S = 1.5", "MAX_OVER_TARGET_S = 2.25"),
    ),
    "coordination/scheduling/_silent_executors.py": (
        ("CHECK_INTERVAL_S = 0.25", "CHECK_INTERVAL_S = 0.375"),
    ),
    "platform/_clients.py": (
        ("MAX_PAYLOAD_BYTES = 4000", "MAX_PAYLOAD_BYTES = 6_000"),
    ),
    "state/workload/_job_spec.py": (
        ("MAX_TASKS_PER_JOB = 100_000", "MAX_TASKS_PER_JOB = 150_000"),
    ),
    "transport/_http_connection.py": (
        ("ARRIVED_READ_S = 0.05", "ARRIVED_READ_S = 0.075"),
    ),
    "transport/_http_threads.py": (
        ("CUT_WAIT_S = 0.1", "CUT_WAIT_S = 0.15"),
        ("POLL_INTERVAL_S = 0.01", "POLL_INTERVAL_S = 0.015"),
    ),
    "transport/jobs/_apps.py": (
        ("RETRY_AFTER_S = 1.0", "RETRY_AFTER_S = 1.5"),
        ("TASK_ANSWER_MARGIN_S = 0.5", "TASK_ANSWER_MARGIN_S = 0.75"),
    ),
    "transport/jobs/_call_budgets.py": (
        ("LISTING_RETURN_S = 2.0", "LISTING_RETURN_S = 3.0"),
        ("READINESS_INTERVAL_S = 1.0", "READINESS_INTERVAL_S = 1.5"),
    ),
    "transport/jobs/_call_pace.py": (
        ("ANSWER_TIME_FACTOR = 4.0", "ANSWER_TIME_FACTOR = 6.0"),
        ("MIN_TIMEOUT_S = 0.12", "MIN_TIMEOUT_S = 0.18"),
    ),
    "transport/jobs/_call_router.py": (
        ("FIRST_TIMEOUT_S = 0.5", "FIRST_TIMEOUT_S = 0.75"),
        ("MAX_CALL_WAIT_S = 2.4", "MAX_CALL_WAIT_S = 3.6"),
    ),
    "transport/jobs/_cell_task.py": (
        ("FOLLOWER_TICK_INTERVAL_S = 0.1", "FOLLOWER_TICK_INTERVAL_S = 0.15"),
        ("LEADER_TICK_INTERVAL_S = 0.015", "LEADER_TICK_INTERVAL_S = 0.0225"),
    ),
    "transport/jobs/_chain_waits.py": (
        ("MAX_PAGE_BYTES = 1_000_000", "MAX_PAGE_BYTES = 1_500_000"),
    ),
    "transport/jobs/_checked_calls.py": (
        ("MAX_CHECK_SHARE = 0.5", "MAX_CHECK_SHARE = 0.75"),
    ),
    "transport/jobs/_daemon.py": (
        ("CLOSE_RESERVE_S = 0.2", "CLOSE_RESERVE_S = 0.3"),
        ("GRACE_POLL_INTERVAL_S = 0.05", "GRACE_POLL_INTERVAL_S = 0.075"),
        ("LATE_ANSWER_S = 0.2", "LATE_ANSWER_S = 0.3"),
        ("SHUTDOWN_RESERVE_S = 2.0", "SHUTDOWN_RESERVE_S = 3.0"),
    ),
    "transport/jobs/_feeds.py": (
        ("ANSWER_MARGIN_S = 0.4", "ANSWER_MARGIN_S = 0.6"),
        ("EXECUTOR_READ_INTERVAL_S = 0.4", "EXECUTOR_READ_INTERVAL_S = 0.6"),
        ("READ_WAIT_S = 1.0", "READ_WAIT_S = 1.5"),
        ("RETRY_DELAY_S = 0.2", "RETRY_DELAY_S = 0.3"),
    ),
    "transport/jobs/_journal.py": (
        ("MAX_CHUNK_BYTES = 65_536", "MAX_CHUNK_BYTES = 98_304"),
        ("READ_SILENCE_LIMIT_S = 1.0", "READ_SILENCE_LIMIT_S = 1.5"),
        ("RETRY_DELAY_S = 0.1", "RETRY_DELAY_S = 0.15"),
    ),
    "transport/jobs/_order_sender.py": (
        ("ORDER_TIMEOUT_S = 1.0", "ORDER_TIMEOUT_S = 1.5"),
    ),
    "transport/jobs/_renewal_patience.py": (
        ("MIN_MARGIN_S = 0.8", "MIN_MARGIN_S = 1.2"),
    ),
    "transport/jobs/_term_keeper.py": (
        ("WRITE_TIMEOUT_S = 1.0", "WRITE_TIMEOUT_S = 1.5"),
    ),
}
"""Text of each constant, and of the one that is half as long again, by the file
that holds it."""


def _name_constant(text: str) -> str:
    """Returns the name in the text of a constant, with dashes."""
    name = text.partition(" = ")[0].partition(":")[0]
    return name.strip().lower().strip("_").replace("_", "-")


MUTATIONS = tuple(
    mutations.Mutation(
        f"raised-{path.rpartition('/')[2][1:-3]}-{_name_constant(old)}",
        "time budgets",
        (mutations.Edit(f"{_SRC}/{path}", f"{old}\n", f"{new}\n"),),
        _TESTS,
    )
    for path, constants in _RAISED_BY_PATH.items()
    for old, new in constants
)
