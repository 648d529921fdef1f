"""Budgets of starts, ends and stops of tasks.

The conditions under which a chain holds are in docs/design/time-budgets.md.
"""

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _term_progress
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _isolated_starts
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _placer
from basiljunction.coordination.scheduling import _preemption
from basiljunction.coordination.scheduling import _sharing
from basiljunction.platform import _clients
from basiljunction.protocol import _instance_settings
from basiljunction.state.workload import _job_spec
from basiljunction.transport.jobs import _chain_waits
from basiljunction.transport.jobs import _order_sender
from basiljunction.transport.jobs import _time_budgets

LASTING_TASK_BOUND_S = 9.0
"""Longest time for which a lasting task may have no run beside room for it, in
seconds: 6 s, and 3 s more."""

CALM_TASK_BOUND_S = 7.0
"""Longest such time after the last disruption, in seconds: 4 s of calm, and the
3 s that count."""

UNSTARTED_BOUND_S = 3.0
"""Longest time for which a job may have nothing running beside room for it, in
seconds."""

ENDED_START_BOUND_S = 1.1
"""Time after the listing of an end from which its task may not start again, in
seconds: 0.1 s until it counts as taken note of, and a second."""

_Budget = _time_budgets.Budget
_Settings = _instance_settings.InstanceSettings
_Wait = _time_budgets.Wait
_constant = _time_budgets.constant
_make_budget = _time_budgets.make_budget


def lose_executor(settings: _Settings) -> _Budget:
    """Returns the budget of a lasting task whose executor is lost alone.

    A lease is not extended by a renewal that follows one without an answer.
    """
    return _make_budget(
        settings,
        "a lasting task runs again after its executor is lost",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            _constant("next renewal", _limits, "RENEWAL_DELAY_S"),
            _chain_waits.tick(),
            *_chain_waits.await_lease(),
            *_chain_waits.place(settings),
        ),
        (
            _chain_waits.unanswered_check(),
            _constant("a start is lost", _order_sender, "ORDER_TIMEOUT_S"),
        ),
    )


def lose_executor_and_scheduler(settings: _Settings) -> _Budget:
    """Returns the budget of a lasting task that also loses its scheduler."""
    return _make_budget(
        settings,
        "a lasting task runs again after its executor and scheduler are lost",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            *_lose_scheduler_unstored(settings),
            _constant("leases go on", _lease_grants, "UNREPORTED_GRANT_S"),
            *_chain_waits.await_lease(),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.lost_append(), _chain_waits.unanswered_check()),
    )


def lose_scheduler_to_new_instance(settings: _Settings) -> _Budget:
    """Returns that budget if the next scheduler was added just before.

    The scheduler that is lost has not renewed its term since, so that it may
    not have known that instance, and no other instance is left that claims.
    """
    return _make_budget(
        settings,
        "a lasting task runs again after its executor and scheduler are lost,"
        " and an instance takes over that it did not know",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            *_lose_scheduler_unstored(settings),
            _constant("leases go on", _lease_grants, "MAX_GRANT_S"),
            *_chain_waits.await_lease(),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.lost_append(), _chain_waits.unanswered_check()),
    )


def lose_restarted_executor_and_scheduler(settings: _Settings) -> _Budget:
    """Returns that budget if the executor has restarted under its id.

    A deadline on the clock of the incarnation before may have granted it the
    longest lease until its first answer that bars such orders. It is lost right
    after that, with a task that started there as no other executor had room.
    """
    return _make_budget(
        settings,
        "a lasting task runs again after an executor that has restarted and its"
        " scheduler are lost",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            _chain_waits.answer("the answer that bars earlier orders"),
            _Wait(
                "a longest lease",
                _limits.LeaseTimes().longest_lease_s
                * _limits.MAX_CLOCK_SLOWNESS,
                (
                    _time_budgets.source(_limits, "LeaseTimes.longest_lease_s"),
                    _time_budgets.source(_limits, "MAX_CLOCK_SLOWNESS"),
                ),
            ),
            _constant("ending the runs", _limits, "LEASE_EXPIRY_MARGIN_S"),
            _chain_waits.answer("reading the last renewal of the term"),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.unanswered_check(),),
    )


def lose_avoided_executor_and_scheduler(settings: _Settings) -> _Budget:
    """Returns that budget if lasting tasks avoided it after its restart."""
    return _make_budget(
        settings,
        "a lasting task runs again after an executor that has restarted and its"
        " scheduler are lost, and others had room since the restart",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            _Wait(
                "the rest of a longest lease",
                _limits.MAX_LASTING_IDLE_S - _limits.START_AFTER_LEASE_S,
                (
                    _time_budgets.source(_limits, "MAX_LASTING_IDLE_S"),
                    _time_budgets.source(_limits, "START_AFTER_LEASE_S"),
                ),
            ),
            _chain_waits.answer("the answer that bars earlier orders"),
            _chain_waits.answer("reading the last renewal of the term"),
            *_chain_waits.place(settings),
        ),
        (),
    )


def _lose_scheduler_unstored(settings: _Settings) -> tuple[_Wait, ...]:
    """Returns the waits from the loss of an executor to that of its scheduler.

    The scheduler is lost just before it has stored that the executor is silent,
    so that the next one counts from its last renewal. The take-over runs beside
    that wait and is shorter.
    """
    return (
        *_chain_waits.notice_silence(),
        *_chain_waits.append(settings, "the append under way"),
        *_chain_waits.append(settings, "the record of silent executors"),
        _chain_waits.answer("reading the last renewal of the term"),
    )


def lose_scheduler_after_outage(settings: _Settings) -> _Budget:
    """Returns the budget of a lasting task that also loses the store.

    The scheduler is lost as the store is back, before it has stored that the
    executor is silent. The next one has just reported the outage.
    """
    return _make_budget(
        settings,
        "a lasting task runs again after its scheduler is lost at the end of"
        " an outage",
        _time_budgets.Bound(fixed_s=CALM_TASK_BOUND_S),
        (
            _constant("a report holds", _lease_grants, "REPORT_VALIDITY_S"),
            *_chain_waits.await_lease(),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.unanswered_check(),),
    )


def end_lasting_run(settings: _Settings) -> _Budget:
    """Returns the budget of a lasting task whose run has failed."""
    return _make_budget(
        settings,
        "a lasting task runs again after its run has failed",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            *_chain_waits.report(),
            _constant("restart", _limits, "TASK_RESTART_DELAY_S"),
            _constant("another executor", _placer, "RETRY_ELSEWHERE_S"),
            _constant("kept capacity", _preemption, "MAX_LASTING_WAIT_S"),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.lost_renewal(), _chain_waits.unanswered_check()),
    )


def crash_executors(settings: _Settings) -> _Budget:
    """Returns the budget of a lasting task that crashes its executors."""
    return _make_budget(
        settings,
        "a lasting task runs again after it has crashed several executors",
        _time_budgets.Bound(fixed_s=LASTING_TASK_BOUND_S),
        (
            _chain_waits.lost_renewal(),
            _constant("back-off", _crashes, "MAX_BACKOFF_S"),
            _constant("a free executor", _isolated_starts, "MAX_WAIT_S"),
            *_chain_waits.place(settings),
        ),
        (_chain_waits.unanswered_check(),),
    )


def lose_everything(settings: _Settings) -> _Budget:
    """Returns the budget of a task after all instances were lost."""
    return _make_budget(
        settings,
        "a task starts after all instances were lost",
        _time_budgets.Bound(("finish_s",), UNSTARTED_BOUND_S),
        (
            _chain_waits.answer("reading the terms"),
            *_chain_waits.take_over(settings),
            _Wait(
                "leases of the term before, on slow clocks",
                _limits.LeaseTimes().max_run_after_term_s,
                (
                    _time_budgets.source(_lease_grants, "MAX_GRANT_S"),
                    _time_budgets.source(_limits, "LeaseTimes.lease_s"),
                    _time_budgets.source(_limits, "MAX_CLOCK_SLOWNESS"),
                ),
            ),
            _constant("ending the runs", _limits, "LEASE_EXPIRY_MARGIN_S"),
            *_chain_waits.place(settings),
        ),
        (
            _chain_waits.lost_page(),
            _constant("a term stalls", _term_progress, "STALL_LIMIT_S"),
        ),
    )


def start_ended_task(settings: _Settings) -> _Budget:
    """Returns the budget of starts that cross the listing of an end."""
    return _make_budget(
        settings,
        "the last start of a task whose end is listed",
        _time_budgets.Bound(fixed_s=ENDED_START_BOUND_S),
        (
            _chain_waits.tick(),
            _chain_waits.starts_body(settings),
            *_chain_waits.order(),
        ),
        (_chain_waits.unanswered_check(),),
    )


def note_ends(settings: _Settings) -> _Budget:
    """Returns the budget of the acknowledgement of an end."""
    return _make_budget(
        settings,
        "a listed end is stored and acknowledged",
        _time_budgets.Bound(("answer_s",)),
        (
            *_chain_waits.report(),
            *_chain_waits.append(settings, "the append under way"),
            *_chain_waits.append(settings, "the record of the end"),
            _constant("renewal", _limits, "UNSTORED_RENEWAL_DELAY_S"),
            *_chain_waits.order(),
        ),
        (_chain_waits.lost_append(), _chain_waits.lost_renewal()),
    )


def start_on_draining_executor(settings: _Settings) -> _Budget:
    """Returns the budget of starts on an executor that drains."""
    return _make_budget(
        settings,
        "the last start on an executor that drains",
        _time_budgets.Bound(("drain_s",)),
        (
            *_chain_waits.read_executors(settings),
            _chain_waits.tick(),
            _chain_waits.starts_body(settings),
            *_chain_waits.order(),
        ),
        (_chain_waits.lost_list(), _chain_waits.unanswered_check()),
    )


def assemble_gang(settings: _Settings) -> _Budget:
    """Returns the budget of the starts of a gang."""
    size = _job_spec.MAX_TASKS_PER_JOB * _clients.MAX_PAYLOAD_BYTES
    return _make_budget(
        settings,
        "all members of a gang have started",
        _time_budgets.Bound(("gang_s",)),
        (
            _chain_waits.tick(),
            _chain_waits.transfer(
                "the starts of the largest job",
                size,
                settings,
                _time_budgets.source(_job_spec, "MAX_TASKS_PER_JOB"),
                _time_budgets.source(_clients, "MAX_PAYLOAD_BYTES"),
            ),
            *_chain_waits.order(),
        ),
        (_chain_waits.unanswered_check(),),
    )


def notice_missing_task(settings: _Settings) -> _Budget:
    """Returns the budget of an order that is given before a task is missed."""
    return _make_budget(
        settings,
        "a task that is away counts before another of its step is stopped,"
        " with one renewal lost",
        _time_budgets.Bound(("notice_s",)),
        (
            *_chain_waits.report(),
            _chain_waits.lost_renewal(),
            _chain_waits.tick(),
            *_chain_waits.order(),
        ),
        (_chain_waits.unanswered_check(),),
    )


def relieve_serving_task(settings: _Settings) -> _Budget:
    """Returns the budget of fillers that harm a serving task.

    Some are stopped with the first report. If that doesn't help, all are with
    the next one, which is asked for by then.
    """
    return _make_budget(
        settings,
        "all fillers beside a serving task over its target are stopped",
        _time_budgets.Bound(("over_target_s",)),
        (
            *_chain_waits.report(),
            _constant("fewer fillers", _sharing, "MAX_OVER_TARGET_S"),
            _constant("delay of a renewal", _limits, "RENEWAL_DELAY_S"),
            _chain_waits.tick(),
            _chain_waits.tick(),
            *_chain_waits.order(),
            _chain_waits.stop(settings),
        ),
        (_chain_waits.lost_renewal(), _chain_waits.unanswered_check()),
    )


def grant_lease(settings: _Settings) -> _Budget:
    """Returns the budget of a lease."""
    return _make_budget(
        settings,
        "a lease that is asked for is granted in full",
        _time_budgets.Bound(("lease_s",)),
        (_chain_waits.lease(1.0),),
    )
