"""Runs one scheduling term, in which this instance is the cell's leader."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import structlog

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.leadership import _term_progress
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
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _cell_metrics
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _held_calls
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _journal
from basiljunction.transport.jobs import _memory_limits
from basiljunction.transport.jobs import _order_sender
from basiljunction.transport.jobs import _record_sizes

SUMMARY_INTERVAL_S = 2.0
"""Time between two summaries of the cell in log and metrics, in seconds."""

_Outcome = _client_calls.CallOutcome
_Reply = _client_calls.ClientReply

_log = structlog.get_logger()


class LeaderSession:
    """Runs the scheduler for one term: journal, executor list and orders.

    Args:
        calls: HTTP client for calls to the store, executors and policy.
        settings: Settings of this instance.
        epoch: Epoch of the term.
        clock: Returns the current time.
        configuration: The newest configuration.
        metrics: Registry that receives the metrics of this term.
        history: When this instance read the records of recent terms.
        earlier_terms_ended_s: Time after which no earlier term was confirmed,
            in seconds on the steady clock; None if it is not known.
        longest_inherited_run_s: Longest time for which runs of earlier terms
            may go on after that, in seconds; None if the scheduler before may
            have gone on without a confirmation.
        knows_longest_leases: Whether the scheduler before told that time, and
            so counted leases of executors that have restarted.
        bounded_since_epoch: First epoch from which on all schedulers before
            this one store bounds of silent executors before they extend
            leases; 0 if the last one need not have.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        settings: _instance_settings.InstanceSettings,
        epoch: int,
        clock: Callable[[], _time.Now],
        configuration: _configuration.Configuration,
        metrics: _metrics.Metrics,
        history: _term_history.TermHistory,
        earlier_terms_ended_s: float | None = None,
        longest_inherited_run_s: float | None = None,
        knows_longest_leases: bool = False,
        bounded_since_epoch: int = 0,
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
                finished_job_retention_s=settings.bounds.finished_job_visible_s,
                stop_timeout_s=settings.bounds.stop_timeout_s,
            ),
            configuration=configuration,
            max_jobs_bytes=_memory_limits.max_jobs_bytes(
                settings.max_memory_bytes
            ),
        )
        self._max_connections = calls.max_connections
        self._max_record_bytes = settings.store.max_record_bytes
        self._journal = _journal.Journal(
            calls=calls,
            settings=settings.store,
            epoch=epoch,
            clock=clock,
            on_recovered=self._restore_scheduler,
            on_stored=self._handle_batch_stored,
            on_unstorable=self._fail_job,
        )
        self._executors = _feeds.ExecutorFeed(
            calls=calls,
            address=settings.store.address,
            clock=clock,
            on_change=self._update_executors,
        )
        self._sender = _order_sender.OrderSender(
            calls=calls,
            scheduler=self._scheduler,
            epoch=epoch,
            clock=clock,
            policy_address=settings.policy_address,
        )
        self._submits_by_job_id: dict[str, list[_call_router.PendingCall]] = {}
        self._cancels_by_job_id: dict[str, list[_call_router.PendingCall]] = {}
        self._held_calls = _held_calls.HeldCalls()
        self._has_recovered = False
        self._has_executor_list = False
        self._has_warned_of_too_many = False
        self._longest_inherited_run_s = longest_inherited_run_s
        self._knows_longest_leases = knows_longest_leases
        self._bounded_since_epoch = bounded_since_epoch
        self._history = history
        self._started_boot_s = clock().boot_s
        self._earlier_terms_ended_s = (
            self._started_boot_s
            if earlier_terms_ended_s is None
            else earlier_terms_ended_s
        )
        self._next_summary_s = 0.0

    @property
    def answers_calls(self) -> bool:
        """Whether the scheduler has recovered and answers client calls."""
        return self._has_executor_list and not self.is_superseded

    @property
    def is_superseded(self) -> bool:
        """Whether a later term has fenced this one."""
        return (
            self._journal.stage is _journal.JournalStage.LOST
            or self._scheduler.cell.is_fenced
        )

    @property
    def progress(self) -> _term_progress.TermProgress:
        """What has been done so far towards answering calls."""
        journal, listing = self._journal.progress, self._executors.progress
        return _term_progress.TermProgress(
            stage=self._stage,
            pages=journal.pages + listing.pages,
            records=journal.records + listing.records,
            bytes_read=journal.received_bytes + listing.received_bytes,
            last_failure=(
                f"executors: {self._executors.last_failure}"
                if self._has_recovered and self._executors.last_failure
                else self._journal.last_failure
            ),
        )

    @property
    def _stage(self) -> _term_progress.TermStage:
        """The stage of the term."""
        if self.is_superseded:
            return _term_progress.TermStage.ENDED
        if self._has_executor_list:
            return _term_progress.TermStage.ANSWERING
        if self._has_recovered:
            return _term_progress.TermStage.LISTING
        if self._journal.stage is _journal.JournalStage.FENCING:
            return _term_progress.TermStage.FENCING
        return _term_progress.TermStage.READING

    @property
    def longest_run_s(self) -> float:
        """Longest time for which runs go on after this session has ended.

        In seconds. Before it has recovered, only runs of earlier terms exist.
        """
        now = self._clock()
        if self.answers_calls:
            return self._scheduler.longest_run_s(now)
        longest_s = self._longest_inherited_run_s
        if longest_s is None:
            longest_s = self._scheduler.cell.times.max_run_after_term_s
        return max(
            self._earlier_terms_ended_s + longest_s - now.boot_s,
            _limits.LEASE_EXPIRY_MARGIN_S,
        )

    def close(self) -> None:
        """Ends the session: no further orders are sent or records stored.

        Pending calls become due for the router to try elsewhere.
        """
        self._sender.close()
        self._journal.is_closed = True
        self._metrics.clear_term()
        self._executors.restart()
        for waiting in (self._submits_by_job_id, self._cancels_by_job_id):
            for pending_calls in waiting.values():
                for pending in pending_calls:
                    pending.next_try_boot_s = 0.0
            waiting.clear()
        self._held_calls.release()

    def set_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        """Applies a newer configuration to the scheduler."""
        self._scheduler.set_configuration(configuration)

    def run_timed_work(
        self,
        now: _time.Now,
        *,
        confirmed_s: float,
        confirmed_beat: int,
        outage_reported_until_s: float,
    ) -> None:
        """Recovers the term, then runs a scheduling pass and stores results.

        Args:
            now: The current time.
            confirmed_s: Boot time at which the newest record of the term that
                the store confirmed was sent, in seconds.
            confirmed_beat: Number of the renewal that wrote it.
            outage_reported_until_s: Time until which the reports of all other
                instances hold that they cannot reach the store.
        """
        if self.is_superseded:
            return
        self._journal.make_due_call(now)
        if not self._has_recovered:
            return
        self._executors.start_due_read(now)
        if not self._has_executor_list:
            return
        for pending in self._held_calls.take_due(confirmed_s, now.boot_s):
            self.handle_call(pending)
        self._scheduler.run_timed_work(
            now,
            confirmed_s=confirmed_s,
            confirmed_beat=confirmed_beat,
            outage_reported_until_s=outage_reported_until_s,
        )
        self._sender.send_collected_orders()
        self._metrics.observe_pass_duration(self._clock().boot_s - now.boot_s)
        for note in self._scheduler.take_notes():
            self._metrics.count_decision(note)
            _log.info(note.event, epoch=self.epoch, **note.value_by_field)
        self._log_summary(now)
        if self._journal.is_idle:
            batch = self._scheduler.take_batch()
            if batch is not None:
                self._journal.append_batch(batch)

    def _log_summary(self, now: _time.Now) -> None:
        """Exports a summary of the cell to log and metrics if one is due."""
        if now.boot_s < self._next_summary_s:
            return
        self._next_summary_s = now.boot_s + SUMMARY_INTERVAL_S
        summary = _summary.summarize_cell(self._scheduler.cell, now.boot_s)
        self._metrics.set_summary(self.epoch, summary)
        _log.info(
            "cell.summary", epoch=self.epoch, **dataclasses.asdict(summary)
        )

    def handle_call(self, pending: _call_router.PendingCall) -> None:
        """Answers a client call, after its effect is stored if it has one."""
        call = pending.call
        now_s = self._clock().boot_s
        if not call.kind.changes_state and (
            self._held_calls.hold_after_stop(pending, now_s)
        ):
            return
        match call.kind:
            case _client_calls.CallKind.SUBMIT:
                self._submit_job(pending)
            case _client_calls.CallKind.CANCEL:
                self._cancel_job(pending)
            case _client_calls.CallKind.STATE:
                state = self._scheduler.visible_state(call.job_id)
                if state is None:
                    self._deny(pending, _Outcome.NO_SUCH_JOB)
                else:
                    pending.set_reply(_Reply(_Outcome.FOUND, job_state=state))
            case _client_calls.CallKind.WAITING:
                waiting = self._scheduler.count_waiting_jobs(call.queue)
                pending.set_reply(
                    _Reply(_Outcome.FOUND, waiting_job_count=waiting)
                )

    def _submit_job(self, pending: _call_router.PendingCall) -> None:
        """Submits the job of a call; the call waits until it is stored."""
        now = self._clock()
        try:
            accepted = _job_records.decode_job(pending.call.encoded_job)
        except _errors.DecodeError as error:
            _log.warning("job.malformed", error=str(error))
            pending.set_reply(_Reply(_Outcome.MALFORMED))
            return
        if not _record_sizes.fits_record(
            accepted, len(pending.call.encoded_job), self._max_record_bytes
        ):
            _log.info(
                "job.rejected",
                epoch=self.epoch,
                job=accepted.id,
                reason="record-too-large",
            )
            pending.set_reply(_Reply(_Outcome.MALFORMED))
            return
        if self._journal.is_append_overdue(now) and (
            accepted.id not in self._scheduler.cell.job_by_id
        ):
            # The job would have to wait for the store, so it is rejected and
            # not kept.
            _log.info(
                "job.rejected",
                epoch=self.epoch,
                job=accepted.id,
                reason="store-silent",
                store_waited_s=round(self._journal.append_wait_s(now), 3),
            )
            pending.set_reply(_Reply(_Outcome.UNAVAILABLE))
            return
        result = self._scheduler.submit_job(accepted, now)
        if result is None:
            pending.may_have_been_processed = True
            waiting = self._submits_by_job_id.setdefault(accepted.id, [])
            waiting.append(pending)
        elif result is _orders.SubmitResult.ACCEPTED:
            pending.set_reply(_Reply(_Outcome.ACCEPTED))
        else:
            _log.info(
                "job.rejected",
                epoch=self.epoch,
                job=accepted.id,
                reason=result.value,
            )
            self._deny(pending, _Outcome(result.value))

    def _deny(
        self, pending: _call_router.PendingCall, outcome: _Outcome
    ) -> None:
        """Answers what a successor may know better, once it may."""
        self._held_calls.deny(pending, outcome, self._clock().boot_s)

    def _cancel_job(self, pending: _call_router.PendingCall) -> None:
        """Cancels the job of a call; the call waits until it is stored."""
        job_id = pending.call.job_id
        try:
            state = self._scheduler.cancel_job(job_id, self._clock())
        except KeyError:
            self._deny(pending, _Outcome.NO_SUCH_JOB)
            return
        if state is None:
            pending.may_have_been_processed = True
            self._cancels_by_job_id.setdefault(job_id, []).append(pending)
        else:
            pending.set_reply(_Reply(_Outcome.FOUND, job_state=state))

    def _restore_scheduler(self, records: list[_records.Record]) -> None:
        """Restores the scheduler's state from the records of earlier terms."""
        if self._journal.is_closed:
            return
        now = self._clock()
        self._scheduler.restore_from_records(
            records,
            now,
            earlier_terms_ended_s=self._earlier_terms_ended_s,
            history=self._history,
            longest_inherited_run_s=self._longest_inherited_run_s,
            knows_longest_leases=self._knows_longest_leases,
            bounded_since_epoch=self._bounded_since_epoch,
        )
        self._has_recovered = True
        cell = self._scheduler.cell
        longest_s = self._longest_inherited_run_s
        if longest_s is None:
            longest_s = cell.times.max_run_after_term_s
        _log.info(
            "term.recovered",
            epoch=self.epoch,
            jobs=len(cell.job_by_id),
            executors=len(cell.executor_by_id),
            took_s=round(now.boot_s - self._started_boot_s, 3),
            earlier_term_ended_s_ago=round(
                now.boot_s - self._earlier_terms_ended_s, 3
            ),
            longest_inherited_run_s=round(longest_s, 3),
            longest_wait_s=round(
                max(
                    (
                        each.inherited_until_s - now.boot_s
                        for each in cell.executor_by_id.values()
                        if each.inherited_until_s is not None
                    ),
                    default=0.0,
                ),
                3,
            ),
        )

    def _update_executors(
        self, entries: Iterable[_executor.ListedExecutor]
    ) -> None:
        """Passes the list of executors to the scheduler."""
        if self._sender.is_closed:
            return
        self._has_executor_list = True
        listed = list(entries)
        self._warn_of_too_many(len(listed))
        self._scheduler.set_executors(listed, self._clock())

    def _warn_of_too_many(self, executors: int) -> None:
        """Logs once if there are more executors than connections.

        Calls then wait for a free connection, so leases are renewed in turn.
        """
        if executors <= self._max_connections or self._has_warned_of_too_many:
            return
        self._has_warned_of_too_many = True
        _log.warning(
            "executors.exceed-connections",
            epoch=self.epoch,
            executors=executors,
            connections=self._max_connections,
        )

    def _fail_job(self, job_id: str) -> None:
        """Ends a job whose progress is too large for the store."""
        cell = self._scheduler.cell
        job = cell.job_by_id.get(job_id)
        if job is not None and not job.progress.state.is_final:
            cell.finish_job(job, _progress.JobState.FAILED, self._clock())

    def _handle_batch_stored(self, batch: _orders.Batch) -> None:
        """Answers the calls that waited for a batch to be stored."""
        self._scheduler.handle_batch_stored(batch, self._clock())
        for reply in batch.replies:
            if isinstance(reply, _orders.SubmitReply):
                for pending in self._submits_by_job_id.pop(reply.job_id, ()):
                    pending.set_reply(_Reply(_Outcome.ACCEPTED))
            else:
                for pending in self._cancels_by_job_id.pop(reply.job_id, ()):
                    pending.set_reply(
                        _Reply(_Outcome.FOUND, job_state=reply.state)
                    )
