"""Budgets of clients' calls, of the configuration and of instances.

The conditions under which a chain holds are in docs/design/time-budgets.md.
"""

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _term_progress
from basiljunction.coordination.scheduling import _limits
from basiljunction.protocol import _instance_settings
from basiljunction.transport import _http_connection
from basiljunction.transport import _http_threads
from basiljunction.transport.jobs import _apps
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _chain_waits
from basiljunction.transport.jobs import _daemon
from basiljunction.transport.jobs import _order_sender
from basiljunction.transport.jobs import _term_keeper
from basiljunction.transport.jobs import _time_budgets

READINESS_INTERVAL_S = 1.0
"""Interval of the platform's readiness checks, in seconds."""

LISTING_RETURN_S = 2.0
"""Time in which executors are listed again once the store is back, in
seconds."""

_Budget = _time_budgets.Budget
_Settings = _instance_settings.InstanceSettings
_Wait = _time_budgets.Wait
_constant = _time_budgets.constant
_join = _time_budgets.join
_make_budget = _time_budgets.make_budget


def start_cancelled_task(settings: _Settings) -> _Budget:
    """Returns the budget of starts that follow an acknowledged cancel."""
    return _make_budget(
        settings,
        "the last start of a cancelled job",
        _time_budgets.Bound(("cancel_s",)),
        (
            _chain_waits.tick(),
            _chain_waits.starts_body(settings),
            *_chain_waits.order(),
        ),
        (_chain_waits.unanswered_check(),),
    )


def stop_cancelled_run(settings: _Settings) -> _Budget:
    """Returns the budget of runs of a cancelled job, with a lost answer."""
    return _make_budget(
        settings,
        "the last run of a cancelled job ends, with one order lost",
        _time_budgets.Bound(("cancel_s", "stop_s")),
        (
            _chain_waits.tick(),
            _constant("a lost order", _order_sender, "ORDER_TIMEOUT_S"),
            _constant("repetition", _limits, "STOP_RETRY_S"),
            *_chain_waits.order(),
            _chain_waits.stop(settings),
        ),
        (
            _chain_waits.unanswered_check(),
            _join("the scheduler is lost", *_chain_waits.take_over(settings)),
        ),
    )


def answer_cancel(settings: _Settings) -> _Budget:
    """Returns the budget of the answer to a cancel."""
    return _make_budget(
        settings,
        "a cancel is answered",
        _time_budgets.Bound(("answer_s",)),
        (
            _constant("wait for a scheduler", _call_router, "MAX_CALL_WAIT_S"),
            _constant("late answer", _apps, "TASK_ANSWER_MARGIN_S"),
        ),
    )


def see_accepted_job(settings: _Settings) -> _Budget:
    """Returns the budget of instances that learn of a new scheduler late."""
    return _make_budget(
        settings,
        "an accepted job is found at each instance, with one silent connection",
        _time_budgets.Bound(("visible_s",)),
        (
            *_chain_waits.read_again(),
            _chain_waits.follower_tick(),
            _chain_waits.answer("the scheduler's answer"),
        ),
        (
            _constant("a lost query", _call_router, "FIRST_TIMEOUT_S"),
            _chain_waits.lost_read(),
        ),
    )


def apply_configuration(settings: _Settings) -> _Budget:
    """Returns the budget of a configuration, with a silent connection."""
    size = settings.store.max_record_bytes
    return _make_budget(
        settings,
        "a configuration is in force, with one silent connection",
        _time_budgets.Bound(("configuration_s",)),
        (
            *_chain_waits.read_again(),
            _chain_waits.transfer(
                "the largest record",
                size,
                settings,
                "setting of the store's largest record",
            ),
            _chain_waits.follower_tick(),
        ),
        (_chain_waits.lost_read(),),
    )


def rejoin(settings: _Settings) -> _Budget:
    """Returns the budget of an instance that knows no later term yet."""
    return _make_budget(
        settings,
        "an instance that was cut off knows the newest term",
        _time_budgets.Bound(("contact_s",)),
        (*_chain_waits.read_again(), _chain_waits.follower_tick()),
        (_chain_waits.lost_read(),),
    )


def leave(settings: _Settings) -> _Budget:
    """Returns the budget of a call that arrives as its instance is stopped."""
    return _make_budget(
        settings,
        "a call is answered before its instance is killed",
        _time_budgets.Bound(("grace_s",)),
        (
            _constant("the stop is noticed", _daemon, "GRACE_POLL_INTERVAL_S"),
            _constant("wait for a scheduler", _call_router, "MAX_CALL_WAIT_S"),
            _constant("late answer", _daemon, "LATE_ANSWER_S"),
            _constant("stopping", _daemon, "SHUTDOWN_RESERVE_S"),
        ),
        (
            _join(
                "a resignation is lost",
                _constant("write", _term_keeper, "WRITE_TIMEOUT_S"),
                _constant("repetition", _election, "WRITE_RETRY_S"),
            ),
        ),
    )


def close_connections(settings: _Settings) -> _Budget:
    """Returns the budget from the last answer of an instance to its end."""
    return _make_budget(
        settings,
        "connections are closed after the last answer",
        _time_budgets.Bound(fixed_s=_daemon.ANSWER_RESERVE_S),
        (
            _constant("late answer", _daemon, "LATE_ANSWER_S"),
            _constant("poll", _http_threads, "POLL_INTERVAL_S"),
            _constant("cut", _http_threads, "CUT_WAIT_S"),
            _constant("closing", _daemon, "CLOSE_RESERVE_S"),
        ),
    )


def read_arrived_request(settings: _Settings) -> _Budget:
    """Returns the budget of a request that has arrived before the stop."""
    return _make_budget(
        settings,
        "a request that has arrived is read by a stopping server",
        _time_budgets.Bound(("answer_cut_s",)),
        (
            _constant("poll", _http_threads, "POLL_INTERVAL_S"),
            _constant("read", _http_connection, "ARRIVED_READ_S"),
        ),
    )


def recover(settings: _Settings) -> _Budget:
    """Returns the budget of calls after all instances were lost."""
    return _make_budget(
        settings,
        "calls are served after all instances were lost",
        _time_budgets.Bound(("recovery_s",)),
        (
            _chain_waits.answer("reading the terms"),
            *_chain_waits.take_over(settings),
            _Wait(
                "executors are listed again",
                LISTING_RETURN_S,
                ("transport/jobs/_call_budgets.py LISTING_RETURN_S",),
            ),
            *_chain_waits.read_executors(settings),
            _Wait(
                "readiness check",
                READINESS_INTERVAL_S,
                ("transport/jobs/_call_budgets.py READINESS_INTERVAL_S",),
            ),
            _constant("calls come again", _apps, "RETRY_AFTER_S"),
            *_chain_waits.place(settings),
        ),
        (
            _chain_waits.lost_page(),
            _constant("a term stalls", _term_progress, "STALL_LIMIT_S"),
        ),
    )
