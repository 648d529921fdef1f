"""A scheduler that sends its orders over real sockets, for tests."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _progress
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _order_sender
import workload_builders as build


class OrderRig:
    """A scheduler that sends its orders to executors over real sockets.

    Attributes:
        scheduler: The scheduler.
    """

    def __init__(self) -> None:
        self.scheduler = build.scheduler(epoch=2)
        self._clock = _clock.SystemClock()
        self._calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=100
        )
        self._sender = _order_sender.OrderSender(
            calls=self._calls,
            scheduler=self.scheduler,
            epoch=2,
            clock=self._clock.now,
        )

    def list_executors(
        self, executors: Iterable[_executor.ListedExecutor]
    ) -> None:
        """Gives the scheduler the platform's list of executors."""
        self.scheduler.set_executors(executors, self._clock.now())

    def submit(self, job: _progress.AcceptedJob) -> None:
        """Submits a job, which is stored as the scheduler runs on."""
        self.scheduler.submit_job(job, self._clock.now())

    def list_runs(self) -> list[_runs.Run]:
        """Returns the runs of all executors."""
        return [
            run
            for executor in self.scheduler.cell.executor_by_id.values()
            for run in executor.run_by_key.values()
        ]

    def count_answering(self) -> int:
        """Returns how many executors have answered."""
        states = self.scheduler.cell.executor_by_id.values()
        return sum(each.last_answer_s is not None for each in states)

    def count_answers_for(self, seconds: float) -> int:
        """Runs the scheduler for a time; returns the answers it processed."""
        newest_s_by_id: dict[str, float | None] = {}
        answer_count = 0

        def count_new_answers() -> bool:
            nonlocal answer_count
            for id_, each in self.scheduler.cell.executor_by_id.items():
                if newest_s_by_id.get(id_) != each.last_answer_s:
                    newest_s_by_id[id_] = each.last_answer_s
                    answer_count += 1
            return False

        self.run_until(count_new_answers, limit_s=seconds)
        return answer_count

    def run_until(self, is_done: Callable[[], bool], *, limit_s: float) -> None:
        """Runs the scheduler until a condition holds or a time has passed."""
        end_s = time.monotonic() + limit_s
        while not is_done() and time.monotonic() < end_s:
            now = self._clock.now()
            self.scheduler.run_timed_work(
                now, confirmed_s=now.boot_s, confirmed_beat=0
            )
            batch = self.scheduler.take_batch()
            if batch is not None:
                self.scheduler.handle_batch_stored(batch, now)
            self._sender.send_collected_orders()
            self._calls.poll(0.01)

    def close(self) -> None:
        """Closes the connections."""
        self._calls.close()
