"""All chains of waits that the bounds of the deployment's rules limit."""

from basiljunction.protocol import _instance_settings
from basiljunction.transport.jobs import _call_budgets
from basiljunction.transport.jobs import _task_budgets
from basiljunction.transport.jobs import _time_budgets


def make_budgets(
    settings: _instance_settings.InstanceSettings,
) -> tuple[_time_budgets.Budget, ...]:
    """Returns all budgets of a deployment."""
    return (
        _task_budgets.lose_executor(settings),
        _task_budgets.lose_executor_and_scheduler(settings),
        _task_budgets.lose_scheduler_to_new_instance(settings),
        _task_budgets.lose_restarted_executor_and_scheduler(settings),
        _task_budgets.lose_avoided_executor_and_scheduler(settings),
        _task_budgets.lose_scheduler_after_outage(settings),
        _task_budgets.end_lasting_run(settings),
        _task_budgets.crash_executors(settings),
        _task_budgets.lose_everything(settings),
        _call_budgets.start_cancelled_task(settings),
        _call_budgets.stop_cancelled_run(settings),
        _call_budgets.answer_cancel(settings),
        _call_budgets.see_accepted_job(settings),
        _task_budgets.start_ended_task(settings),
        _task_budgets.note_ends(settings),
        _call_budgets.apply_configuration(settings),
        _call_budgets.rejoin(settings),
        _task_budgets.start_on_draining_executor(settings),
        _task_budgets.assemble_gang(settings),
        _call_budgets.leave(settings),
        _call_budgets.close_connections(settings),
        _call_budgets.read_arrived_request(settings),
        _call_budgets.recover(settings),
        _task_budgets.notice_missing_task(settings),
        _task_budgets.relieve_serving_task(settings),
        _task_budgets.grant_lease(settings),
    )


def report_unkept_bounds(
    settings: _instance_settings.InstanceSettings,
) -> None:
    """Logs each bound of the settings that can't be kept to."""
    _time_budgets.report(settings, make_budgets(settings))
