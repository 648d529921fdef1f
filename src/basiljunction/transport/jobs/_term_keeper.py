"""Follows the terms in the store, and writes this instance's own."""

from collections.abc import Callable
from collections.abc import Iterable

import structlog

from basiljunction.coordination.leadership import _election
from basiljunction.platform import _store
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls

WRITE_TIMEOUT_S = 1.0
"""Longest time for a write of a term; below the silence that opens it."""

_log = structlog.get_logger()


class TermKeeper(_feeds.Feed):
    """Connects an election to the store.

    Args:
        calls: Makes the calls.
        address: The store.
        clock: Returns the time.
        election: Decides.
        member: Name of this instance.
        member_address: Where other instances reach it.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpCalls,
        address: str,
        clock: Callable[[], _time.Now],
        election: _election.Election,
        member: str,
        member_address: str,
    ) -> None:
        super().__init__(
            calls=calls,
            address=address,
            topic=_store.TERM_TOPIC,
            wait_s=_feeds.WAIT_S,
        )
        self.election = election
        self.address_by_member: dict[str, str] = {}
        self.is_cut_off = False
        self._clock = clock
        self._member = member
        self._member_address = member_address
        self._is_registering = False

    def now(self) -> _time.Now:
        """Returns the time."""
        return self._clock()

    def take(
        self,
        records: Iterable[_job_records.KeyedRecord],
        *,
        is_whole: bool,  # noqa: ARG002 - the newest record counts either way
        end_offset: int,
    ) -> None:
        """Takes new terms."""
        now_s = self.now().boot_s
        self.is_cut_off = False
        newest = None
        for record in records:
            if record.key.startswith(_store.MEMBER_PREFIX):
                self._take_member(record)
            if record.key != _store.TERM_KEY or not record.value:
                continue
            try:
                newest = _job_records.decode_term(record.value)
            except _errors.DecodeError as error:
                _log.warning("term.malformed", error=str(error))
        self.election.read(newest, end_offset, now_s)

    def failed(self) -> None:
        """Takes note that a read got no answer."""
        self.is_cut_off = True
        self.election.read_failed()

    def move(self, address: str, incarnation: int) -> None:
        """Begins anew at another address of the store.

        Args:
            address: The new address.
            incarnation: Tells what is written there from what was written.
        """
        self.address = address
        self.address_by_member.clear()
        self.election.store_moved(incarnation)
        self.restart()

    def _take_member(self, record: _job_records.KeyedRecord) -> None:
        name = record.key.removeprefix(_store.MEMBER_PREFIX)
        if record.value:
            self.address_by_member[name] = record.value.decode("latin-1")
        else:
            self.address_by_member.pop(name, None)

    def register(self) -> None:
        """Tells the other instances where this one is, until it is stored."""
        known = self.address_by_member.get(self._member)
        if self._is_registering or known == self._member_address:
            return
        if self._offset is None:
            return
        self._is_registering = True
        key = _store.MEMBER_PREFIX + self._member
        value = self._member_address.encode()
        call = _store.append(
            self.address,
            _store.TERM_TOPIC,
            0,
            (_job_records.KeyedRecord(key, value),),
            timeout_s=WRITE_TIMEOUT_S,
        )
        self._calls.send(call, self._registered)

    def _registered(self, reply: _http_call.HttpReply) -> None:
        self._is_registering = False
        if reply.ok:
            self.address_by_member[self._member] = self._member_address

    def write_due(self, now: _time.Now) -> None:
        """Sends the write that is due, if any."""
        claim = self.election.next_write(now.boot_s)
        if claim is None:
            return
        value = _job_records.encode_term(claim.term)
        call = _store.append(
            self.address,
            _store.TERM_TOPIC,
            0,
            (_job_records.KeyedRecord(_store.TERM_KEY, value),),
            at_offset=claim.at_offset,
            timeout_s=WRITE_TIMEOUT_S,
        )
        self._calls.send(call, self._written)

    def _written(self, reply: _http_call.HttpReply) -> None:
        now_s = self.now().boot_s
        end_offset = _store.appended_end(reply) if reply.ok else None
        if end_offset is not None:
            self.election.written(end_offset, now_s)
        elif _store.is_condition_failed(reply):
            self.election.refused(now_s)
        else:
            _log.warning(
                "term.write-failed", status=reply.status, fault=reply.fault
            )
            self.election.write_failed(now_s)
