"""Feeds that read topics of the platform's store continuously."""

import abc
from collections.abc import Callable
from collections.abc import Iterable

import structlog

from basiljunction.platform import _clients
from basiljunction.platform import _executor_list
from basiljunction.platform import _store
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _read_progress

READ_WAIT_S = 1.0
"""Time that a read waits for a new record, in seconds.

It is short enough to detect a silent connection within the bound of 2 s.
"""

ANSWER_MARGIN_S = 0.4
"""Longest silence of the store beyond the wait of a read, in seconds.

This is a hundred times the store's usual delay. The time for the whole answer
depends on its size and on the link.
"""

RETRY_DELAY_S = 0.2
"""Delay after a failed read, in seconds.

Several attempts fit into the bound of 2 s.
"""

LONG_ANSWER_BYTES = 524_288
"""Size of an answer above which later records may have replaced its own.

It takes the better part of a second over a narrow link.
"""

EXECUTOR_READ_INTERVAL_S = 0.4
"""Time between two reads of the list of executors, in seconds.

A draining executor is noticed well within the 2 s in which it may still be
given new tasks, without a wake-up for each heartbeat.
"""

_log = structlog.get_logger()


class TopicFeed(abc.ABC):
    """Reads partition 0 of a keyed topic, first the newest record of each key.

    After that it reads the records appended later, in order.

    Args:
        calls: HTTP client for the calls to the store.
        address: Address of the store.
        topic: Name of the topic.
        wait_s: How long a read waits for a record, in seconds.
        interval_s: Time between two reads, in seconds.

    Attributes:
        address: Address of the store.
        progress: Progress of the reads.
        last_failure: Error of the newest failed read; empty if none failed.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        address: str,
        topic: str,
        wait_s: float,
        interval_s: float = 0.0,
    ) -> None:
        self.address = address
        self.progress = _read_progress.ReadProgress(calls)
        self.last_failure = ""
        self._calls = calls
        self._topic = topic
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._offset: int | None = None
        self._is_reading = False
        self._next_read_boot_s = 0.0
        self._after_key: str | None = None
        self._pages: list[_job_records.KeyedRecord] = []
        self._first_page_end: int | None = None
        self._is_failing = False
        self._generation = 0

    def start_due_read(self, now: _time.Now) -> None:
        """Starts the next read if it is due and none is in progress."""
        if self._is_reading or now.boot_s < self._next_read_boot_s:
            return
        self._is_reading = True
        if self._offset is None:
            call = _store.make_newest_call(
                self.address,
                self._topic,
                0,
                after=self._after_key,
                timeout_s=_http_calls.MAX_TRANSFER_S,
                silence_limit_s=READ_WAIT_S + ANSWER_MARGIN_S,
            )
        else:
            call = _store.make_read_call(
                self.address,
                self._topic,
                0,
                self._offset,
                wait_s=self._wait_s,
                timeout_s=_http_calls.MAX_TRANSFER_S,
                silence_limit_s=self._wait_s + ANSWER_MARGIN_S,
            )
        self.progress.begin_page(call)
        generation = self._generation
        self._calls.send(
            call, lambda reply: self._handle_read_reply(reply, generation)
        )

    def restart(self) -> None:
        """Discards the read position and rereads the newest record of each key.

        The reply to a read in progress is ignored.
        """
        self._generation += 1
        self.progress.restart()
        self._offset = None
        self._after_key = None
        self._pages = []
        self._first_page_end = None
        self._is_reading = False
        self._next_read_boot_s = 0.0

    @abc.abstractmethod
    def current_time(self) -> _time.Now:
        """Returns the current time."""

    @abc.abstractmethod
    def apply_records(
        self,
        records: Iterable[_job_records.KeyedRecord],
        *,
        is_whole: bool,
        end_offset: int,
    ) -> None:
        """Applies records read from the topic.

        Args:
            records: The records, oldest first.
            is_whole: Whether they are the newest records of all keys.
            end_offset: Offset up to which the topic has been read.
        """

    @abc.abstractmethod
    def handle_read_failure(self) -> None:
        """Handles a read that failed and will be retried."""

    def _handle_read_reply(
        self, reply: _http_call.HttpReply, generation: int
    ) -> None:
        """Applies the reply to a read, unless a restart made it obsolete."""
        if generation != self._generation:
            return
        self._is_reading = False
        self._next_read_boot_s = self.current_time().boot_s + self._interval_s
        if not reply.is_success:
            self._handle_failed_reply(reply)
            return
        try:
            if self._offset is None:
                newest_page = _store.parse_newest_page(reply)
                self.progress.add_page(reply, len(newest_page.records))
                self._apply_newest_page(newest_page)
            else:
                page = _store.parse_page(reply, self._offset)
                self.progress.add_page(reply, len(page.records))
                self._apply_page(page, len(reply.body))
        except _errors.DecodeError as error:
            self.progress.fail_page(reply)
            self.last_failure = str(error)
            self.restart()
            self._next_read_boot_s = self.current_time().boot_s + RETRY_DELAY_S
            _log.warning("feed.torn", topic=self._topic, error=str(error))
            return
        if self._is_failing:
            self._is_failing = False
            _log.info("feed.regained", topic=self._topic)

    def _apply_page(self, page: _store.RecordPage, size: int) -> None:
        """Applies records read from the offset on.

        After several records in a long answer, the newest record of each key
        is read next: records may be written faster than the link carries them
        all.

        Args:
            page: The records.
            size: Size of the answer, in bytes.
        """
        is_behind = len(page.records) > 1 and size > LONG_ANSWER_BYTES
        self._offset = None if is_behind else page.next_offset
        # The answer may be cut short of the topic's end.
        self.apply_records(
            page.records, is_whole=False, end_offset=page.next_offset
        )

    def _apply_newest_page(self, page: _store.NewestRecordPage) -> None:
        """Collects a page of newest records; applies all after the last.

        The pages are not a snapshot, so what was appended since the first one
        is read again.
        """
        self._pages += page.records
        if self._first_page_end is None:
            self._first_page_end = page.end_offset
        self._after_key = page.continue_after_key
        self._next_read_boot_s = 0.0
        if page.continue_after_key is not None:
            return
        records, self._pages = self._pages, []
        self._offset, self._first_page_end = self._first_page_end, None
        self.apply_records(records, is_whole=True, end_offset=self._offset)

    def _handle_failed_reply(self, reply: _http_call.HttpReply) -> None:
        """Schedules a retry; restarts the feed if the offset is gone (410)."""
        self.progress.fail_page(reply)
        self.last_failure = reply.error_text or str(reply.status)
        self._next_read_boot_s = self.current_time().boot_s + RETRY_DELAY_S
        if reply.status == 410:
            self.restart()
            return
        if not self._is_failing:
            self._is_failing = True
            _log.warning(
                "feed.lost",
                topic=self._topic,
                status=reply.status,
                fault=reply.error_text,
            )
        self.handle_read_failure()


class ConfigurationFeed(TopicFeed):
    """Keeps the newest configuration read from the store.

    Args:
        calls: HTTP client for the calls to the store.
        address: Address of the store.
        clock: Returns the current time.
        on_change: Called with each newer configuration.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        address: str,
        clock: Callable[[], _time.Now],
        on_change: Callable[[_configuration.Configuration], None],
    ) -> None:
        super().__init__(
            calls=calls,
            address=address,
            topic=_store.CONFIGURATION_TOPIC,
            wait_s=READ_WAIT_S,
        )
        self.newest_configuration: _configuration.Configuration | None = None
        self._clock = clock
        self._on_change = on_change

    def current_time(self) -> _time.Now:
        """Returns the current time."""
        return self._clock()

    def handle_read_failure(self) -> None:
        """Does nothing: the newest known configuration stays in force."""

    def apply_records(
        self,
        records: Iterable[_job_records.KeyedRecord],
        *,
        is_whole: bool,  # noqa: ARG002 - the version decides which is newer
        end_offset: int,  # noqa: ARG002 - as above
    ) -> None:
        """Adopts a configuration whose version is newer than the known one."""
        for record in records:
            if record.key != _store.CONFIGURATION_KEY or not record.value:
                continue
            try:
                configuration = _clients.parse_configuration(record.value)
            except _errors.DecodeError as error:
                _log.warning("configuration.malformed", error=str(error))
                continue
            if (
                self.newest_configuration is None
                or configuration.version > self.newest_configuration.version
            ):
                self.newest_configuration = configuration
                self._on_change(configuration)


class ExecutorFeed(TopicFeed):
    """Keeps the platform's list of executors as read from the store.

    Args:
        calls: HTTP client for the calls to the store.
        address: Address of the store.
        clock: Returns the current time.
        on_change: Called with the whole list after each read.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        address: str,
        clock: Callable[[], _time.Now],
        on_change: Callable[[Iterable[_executor.ListedExecutor]], None],
    ) -> None:
        super().__init__(
            calls=calls,
            address=address,
            topic=_store.EXECUTOR_TOPIC,
            wait_s=0.0,
            interval_s=EXECUTOR_READ_INTERVAL_S,
        )
        self._clock = clock
        self._on_change = on_change
        self._executor_by_id: dict[str, _executor.ListedExecutor] = {}
        self._malformed_keys: set[str] = set()

    def current_time(self) -> _time.Now:
        """Returns the current time."""
        return self._clock()

    def handle_read_failure(self) -> None:
        """Does nothing: the last known list stays in force.

        Lease renewals show which of the listed executors are alive.
        """

    def apply_records(
        self,
        records: Iterable[_job_records.KeyedRecord],
        *,
        is_whole: bool,
        end_offset: int,  # noqa: ARG002 - the offset matters to writers only
    ) -> None:
        """Updates the list; a record without a value removes its executor."""
        if is_whole:
            self._executor_by_id.clear()
        for record in records:
            self._executor_by_id.pop(record.key, None)
            if not record.value:
                continue
            try:
                self._executor_by_id[record.key] = (
                    _executor_list.parse_listed_executor(record)
                )
            except _errors.DecodeError as error:
                self._log_malformed(record.key, error)
        self._on_change(self._executor_by_id.values())

    def _log_malformed(self, key: str, error: _errors.DecodeError) -> None:
        """Logs a malformed executor record, once for each key."""
        if key not in self._malformed_keys:
            self._malformed_keys.add(key)
            _log.warning("executor.unreadable", key=key, error=str(error))
