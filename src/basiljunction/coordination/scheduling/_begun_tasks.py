"""Records of which jobs an executor has begun a task.

Load pattern: executors refuse starts for seconds, so that jobs are ordered to
start again and again and none of their tasks begins. Those jobs still wait.
"""

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _runs


def record_begin(cell: _cell_state.CellState, run: _runs.Run) -> None:
    """Records that an executor has confirmed, listed or ended a run."""
    run.was_confirmed = True
    job = cell.find_job(run.task)
    if job is not None:
        job.has_started_tasks = True
