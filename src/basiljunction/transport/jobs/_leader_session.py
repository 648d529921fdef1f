"""One term of this instance as the scheduler of a cell."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import structlog

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.coordination.scheduling import _summary
from basiljunction.protocol import _errors
from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _records
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _cell_metrics
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _journal
from basiljunction.transport.jobs import _order_sender

SUMMARY_INTERVAL_S = 2.0
"""Time between two accounts of the cell in the log."""

_Outcome = _client_calls.Outcome
_Reply = _client_calls.ClientReply

_log = structlog.get_logger()


class LeaderSession:
    """Connects the decisions of one term to the store and the executors.

    Args:
        calls: Makes the calls.
        settings: Settings of this instance.
        epoch: Epoch of the term.
        clock: Returns the time.
        configuration: The newest configuration.
        metrics: Takes the values of this term.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpCalls,
        settings: _instance_settings.InstanceSettings,
        epoch: int,
        clock: Callable[[], _time.Now],
        configuration: _configuration.Configuration,
        metrics: _metrics.Metrics,
    ) -> None:
        self._metrics = _cell_metrics.CellMetrics(metrics)
        self.epoch = epoch
        self._clock = clock
        self._scheduler = _scheduler.Scheduler(
            epoch=epoch,
            times=_limits.LeaseTimes(
                lease_s=min(
                    _limits.LeaseTimes().lease_s,
                    settings.bounds.longest_lease_s,
                ),
                longest_lease_s=settings.bounds.longest_lease_s,
                status_s=settings.bounds.status_s,
            ),
            configuration=configuration,
        )
        self._journal = _journal.Journal(
            calls=calls,
            settings=settings.store,
            epoch=epoch,
            clock=clock,
            recovered=self._recovered,
            stored=self._stored,
        )
        self._executors = _feeds.ExecutorFeed(
            calls=calls,
            address=settings.store.address,
            clock=clock,
            changed=self._executors_changed,
        )
        self._sender = _order_sender.OrderSender(
            calls=calls,
            scheduler=self._scheduler,
            epoch=epoch,
            clock=clock,
            policy_address=settings.policy_address,
        )
        self._submits_by_job: dict[str, list[_call_router.PendingCall]] = {}
        self._cancels_by_job: dict[str, list[_call_router.PendingCall]] = {}
        self._has_recovered = False
        self._is_open = False
        self._begun_s = clock().boot_s
        self._next_summary_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether calls are answered."""
        return self._is_open and not self.is_lost

    @property
    def is_lost(self) -> bool:
        """Whether a later term has begun."""
        return (
            self._journal.stage is _journal.Stage.LOST
            or self._scheduler.cell.is_fenced
        )

    def close(self) -> None:
        """Ends the term here; nothing more is ordered or stored."""
        self._sender.is_closed = True
        self._metrics.closed()
        self._executors.restart()
        for waiting in (self._submits_by_job, self._cancels_by_job):
            for pending_calls in waiting.values():
                for pending in pending_calls:
                    pending.next_try_s = 0.0
            waiting.clear()

    def set_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        """Takes a newer configuration."""
        self._scheduler.set_configuration(configuration)

    def step(self, now: _time.Now, *, confirmed_s: float) -> None:
        """Does what is due."""
        if self.is_lost:
            return
        self._journal.step(now)
        if not self._has_recovered:
            return
        self._executors.step(now)
        if not self._is_open:
            return
        self._scheduler.tick(now, confirmed_s=confirmed_s)
        self._sender.send_all()
        self._metrics.passed(self._clock().boot_s - now.boot_s)
        for note in self._scheduler.take_notes():
            self._metrics.noted(note)
            _log.info(note.event, epoch=self.epoch, **note.value_by_field)
        self._log_summary(now)
        if self._journal.is_idle:
            batch = self._scheduler.take_batch()
            if batch is not None:
                self._journal.append(batch)

    def _log_summary(self, now: _time.Now) -> None:
        if now.boot_s < self._next_summary_s:
            return
        self._next_summary_s = now.boot_s + SUMMARY_INTERVAL_S
        summary = _summary.summarize(self._scheduler.cell, now.boot_s)
        self._metrics.summarized(self.epoch, summary)
        _log.info(
            "cell.summary", epoch=self.epoch, **dataclasses.asdict(summary)
        )

    def handle(self, pending: _call_router.PendingCall) -> None:
        """Answers a call, at once or once it is stored."""
        call = pending.call
        match call.kind:
            case _client_calls.CallKind.SUBMIT:
                self._submit(pending)
            case _client_calls.CallKind.CANCEL:
                self._cancel(pending)
            case _client_calls.CallKind.STATE:
                state = self._scheduler.state_of(call.job_id)
                if state is None:
                    pending.answer(_Reply(_Outcome.NO_SUCH_JOB))
                else:
                    pending.answer(_Reply(_Outcome.FOUND, state=state))
            case _client_calls.CallKind.WAITING:
                waiting = self._scheduler.waiting_in(call.queue)
                pending.answer(_Reply(_Outcome.FOUND, waiting=waiting))

    def _submit(self, pending: _call_router.PendingCall) -> None:
        now = self._clock()
        try:
            accepted = _job_records.decode_job(pending.call.job)
        except _errors.DecodeError as error:
            _log.warning("job.malformed", error=str(error))
            pending.answer(_Reply(_Outcome.MALFORMED))
            return
        if self._journal.is_stuck(now) and (
            accepted.id not in self._scheduler.cell.job_by_id
        ):
            # The job would wait for the store; nothing of it is kept.
            _log.info(
                "job.rejected",
                epoch=self.epoch,
                job=accepted.id,
                reason="store-silent",
                store_waited_s=round(self._journal.waited_s(now), 3),
            )
            pending.answer(_Reply(_Outcome.UNAVAILABLE))
            return
        result = self._scheduler.submit(accepted, now)
        if result is None:
            pending.may_have_acted = True
            waiting = self._submits_by_job.setdefault(accepted.id, [])
            waiting.append(pending)
        elif result is _orders.SubmitResult.ACCEPTED:
            pending.answer(_Reply(_Outcome.ACCEPTED))
        else:
            _log.info(
                "job.rejected",
                epoch=self.epoch,
                job=accepted.id,
                reason=result.value,
            )
            pending.answer(_Reply(_Outcome(result.value)))

    def _cancel(self, pending: _call_router.PendingCall) -> None:
        job_id = pending.call.job_id
        try:
            state = self._scheduler.cancel(job_id, self._clock())
        except KeyError:
            pending.answer(_Reply(_Outcome.NO_SUCH_JOB))
            return
        if state is None:
            pending.may_have_acted = True
            self._cancels_by_job.setdefault(job_id, []).append(pending)
        else:
            pending.answer(_Reply(_Outcome.FOUND, state=state))

    def _recovered(self, records: list[_records.Record]) -> None:
        now = self._clock()
        self._scheduler.restore(records, now)
        self._has_recovered = True
        cell = self._scheduler.cell
        _log.info(
            "term.recovered",
            epoch=self.epoch,
            jobs=len(cell.job_by_id),
            executors=len(cell.executor_by_id),
            took_s=round(now.boot_s - self._begun_s, 3),
        )

    def _executors_changed(
        self, entries: Iterable[_executor.ExecutorEntry]
    ) -> None:
        if self._sender.is_closed:
            return
        self._is_open = True
        self._scheduler.set_executors(entries, self._clock())

    def _stored(self, batch: _orders.Batch) -> None:
        self._scheduler.batch_stored(batch, self._clock())
        for reply in batch.replies:
            if isinstance(reply, _orders.SubmitReply):
                for pending in self._submits_by_job.pop(reply.job_id, ()):
                    pending.answer(_Reply(_Outcome.ACCEPTED))
            else:
                for pending in self._cancels_by_job.pop(reply.job_id, ()):
                    pending.answer(_Reply(_Outcome.FOUND, state=reply.state))
