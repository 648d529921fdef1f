"""Reads scheduling terms from the store and writes this instance's own.

A term is the right of one instance to schedule its cell.
"""

from collections.abc import Callable
from collections.abc import Iterable

import structlog

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _epoch_range
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.platform import _store
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.protocol import _term_requests
from basiljunction.state import _time
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _term_decoding

WRITE_TIMEOUT_S = 1.0
"""Timeout of a term write, in seconds.

It is below the silence after which another instance may claim the term.
"""

OVERDUE_READ_S = _feeds.READ_WAIT_S + 0.2
"""Time since the last complete read after which this instance lacks the store,
in seconds; reads end sooner, even without a new record."""

REGISTRATION_INTERVAL_S = 0.5
"""Time from the answer to a registration or a removal until it is repeated
unless it was read back, in seconds."""

_log = structlog.get_logger()


class TermFeed(_feeds.TopicFeed):
    """Connects the leader election to the term topic of the store.

    Passes the terms read to the election, and writes the terms that it claims.
    Registers the address and the provision of this instance, and counts both
    as registered once they have been read back.

    Args:
        calls: HTTP client for the calls to the store.
        address: Address of the store.
        clock: Returns the current time.
        election: Decides which terms to write.
        grants: Is told since when this instance is registered.
        member: Name of this instance.
        member_address: Address at which other instances reach this one.
        provision: Link and processor of this instance.

    Attributes:
        address_by_member: Addresses of all registered instances by name.
        provision_by_member: Known provisions of registered instances by name.
        is_store_unreachable: Whether the last read of the store failed, or has
            not ended `TERM_EXPIRY_S` after the one before.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        address: str,
        clock: Callable[[], _time.Now],
        election: _election.Election,
        grants: _lease_grants.GrantHistory,
        member: str,
        member_address: str,
        provision: _provision.Provision = _provision.UNKNOWN,
    ) -> None:
        super().__init__(
            calls=calls,
            address=address,
            topic=_store.TERM_TOPIC,
            wait_s=_feeds.READ_WAIT_S,
        )
        self.election = election
        self._grants = grants
        self.address_by_member: dict[str, str] = {}
        self.provision_by_member: dict[str, _provision.Provision] = {}
        self.is_store_unreachable = False
        self._clock = clock
        self._member = member
        self._member_address = member_address
        self._provision = provision
        self._is_registering = False
        self._registration_offset: int | None = None
        self._next_registration_s = 0.0
        self._last_read_s: float | None = None
        self._store_moves = 0
        self._malformed_keys: set[str] = set()

    def current_time(self) -> _time.Now:
        """Returns the current time."""
        return self._clock()

    def start_due_read(self, now: _time.Now) -> None:
        """Starts the next read if it is due; notices one that does not end.

        Bytes of such a read may keep arriving, so that it does not fail. While
        the renewals of a term cannot be read, they are not missing.
        """
        super().start_due_read(now)
        if self._last_read_s is None:
            self._last_read_s = now.boot_s
        unread_s = now.boot_s - self._last_read_s
        if not self._is_reading or unread_s < _election.TERM_EXPIRY_S:
            return
        if not self._is_failing:
            self._is_failing = True
            _log.warning(
                "feed.lost",
                topic=_store.TERM_TOPIC,
                status=0,
                fault=f"no complete read for {unread_s:.2f} s",
            )
        self.handle_read_failure()

    def apply_records(
        self,
        records: Iterable[_job_records.KeyedRecord],
        *,
        is_whole: bool,
        end_offset: int,
    ) -> None:
        """Passes the newest term to the election and updates the members."""
        now_s = self.current_time().boot_s
        self._last_read_s = now_s
        self.is_store_unreachable = False
        if is_whole:
            # Removed instances are not listed.
            self.address_by_member.clear()
            self.provision_by_member.clear()
        terms: list[tuple[_leadership.Term, int | None]] = []
        hidden: _leadership.Term | None = None
        for record in records:
            if record.key.startswith(_store.MEMBER_PREFIX):
                self._apply_member_record(record)
            if record.key.startswith(_store.PROVISION_PREFIX):
                self._apply_provision_record(record)
            if record.key == _store.REQUEST_KEY and record.value:
                self._apply_request_record(record)
            if record.key != _store.TERM_KEY or not record.value:
                continue
            max_epoch = _epoch_range.max_epoch_at(
                end_offset if record.offset is None else record.offset
            )
            try:
                term = _term_decoding.decode_term(record.value, max_epoch)
            except _errors.DecodeError as error:
                self._log_malformed_term(record.key, error)
                if is_whole:
                    # The newest record of a key hides those before it.
                    hidden = _leadership.hidden_term(max_epoch)
                continue
            terms.append((term, record.offset))
        self._update_registration(now_s)
        for term, offset in terms:
            self._grants.record_term(term, offset)
        self.election.update_provisions(self.provision_by_member)
        self.election.apply_read(
            terms[-1][0] if terms else hidden, end_offset, now_s
        )

    def _log_malformed_term(self, key: str, error: _errors.DecodeError) -> None:
        """Logs a term record that is none, once for each key."""
        if key not in self._malformed_keys:
            self._malformed_keys.add(key)
            _log.warning("term.malformed", key=key, error=str(error))

    def _update_registration(self, now_s: float) -> None:
        """Records whether the store has the registration of this instance."""
        registered = self.address_by_member.get(self._member)
        if registered != self._member_address:
            self._grants.record_removal()
            return
        self._grants.record_registration(self._registration_offset, now_s)

    def lacks_store(self, now: _time.Now) -> bool:
        """Returns whether this instance cannot read the store now."""
        if self.is_store_unreachable or self._last_read_s is None:
            return True
        return now.boot_s - self._last_read_s > OVERDUE_READ_S

    def other_members(self) -> dict[str, str]:
        """Returns the address of each other registered instance by name."""
        return {
            name: address
            for name, address in self.address_by_member.items()
            if name != self._member
        }

    def remove_members(self, names: Iterable[str]) -> None:
        """Removes instances that are gone from the store.

        One that is not gone finds its registration missing and repeats it.
        """
        records = tuple(
            _job_records.KeyedRecord(prefix + name, b"")
            for name in names
            for prefix in (_store.MEMBER_PREFIX, _store.PROVISION_PREFIX)
        )
        if not records or self._is_registering:
            return
        if self.current_time().boot_s < self._next_registration_s:
            return
        self._is_registering = True
        self._send_append(records, self._handle_registration_reply)
        _log.info("members.removed", members=sorted(names))

    def handle_read_failure(self) -> None:
        """Marks the store as unreachable and notifies the election."""
        self.is_store_unreachable = True
        self.election.record_read_failure()

    def switch_store(self, address: str, incarnation: int) -> None:
        """Restarts the feed and the election at a new store address.

        Args:
            address: The new address.
            incarnation: Number that distinguishes the terms written there from
                those written at the old address.
        """
        self.address = address
        self.address_by_member.clear()
        self.provision_by_member.clear()
        self._grants.record_removal()
        self._store_moves += 1
        self._is_registering = False
        self._next_registration_s = 0.0
        self._last_read_s = None
        self.election.reset_after_store_move(incarnation)
        self.restart()

    def _apply_member_record(self, record: _job_records.KeyedRecord) -> None:
        """Adds or removes the address of an instance."""
        name = record.key.removeprefix(_store.MEMBER_PREFIX)
        if name == self._member:
            self._registration_offset = record.offset
        if record.value:
            self.address_by_member[name] = record.value.decode("latin-1")
        else:
            self.address_by_member.pop(name, None)

    def _apply_provision_record(self, record: _job_records.KeyedRecord) -> None:
        """Updates the provision of an instance; a malformed one is unknown."""
        name = record.key.removeprefix(_store.PROVISION_PREFIX)
        self.provision_by_member.pop(name, None)
        if not record.value:
            return
        try:
            self.provision_by_member[name] = _job_records.decode_provision(
                record.value
            )
        except _errors.DecodeError as error:
            _log.warning("provision.malformed", member=name, error=str(error))

    def _apply_request_record(self, record: _job_records.KeyedRecord) -> None:
        """Passes a request to the election; a malformed one is none."""
        try:
            request = _term_requests.decode_request(record.value)
        except _errors.DecodeError as error:
            _log.warning("request.malformed", error=str(error))
            return
        self.election.hand_over.record_request(request)

    def register_member(self, now: _time.Now) -> None:
        """Publishes what the store does not know of this instance, if due."""
        if self._is_registering or self._offset is None:
            return
        if now.boot_s < self._next_registration_s:
            return
        records = self._missing_records()
        if not records:
            return
        self._is_registering = True
        self._send_append(records, self._handle_registration_reply)

    def _send_append(
        self,
        records: tuple[_job_records.KeyedRecord, ...],
        on_reply: _http_calls.ReplyCallback,
        at_offset: int | None = None,
    ) -> None:
        """Appends records to the topic.

        Unlike a read, an append outlives a restart of the feed at the same
        address; at another one its answer says nothing and is ignored.

        Args:
            records: The records.
            on_reply: Called with the answer, unless the store moved meanwhile.
            at_offset: End offset that the topic must have; None for any.
        """
        moves = self._store_moves

        def pass_on(reply: _http_call.HttpReply) -> None:
            if moves == self._store_moves:
                on_reply(reply)

        call = _store.make_append_call(
            self.address,
            _store.TERM_TOPIC,
            0,
            records,
            at_offset=at_offset,
            timeout_s=WRITE_TIMEOUT_S,
        )
        self._calls.send(call, pass_on)

    def _missing_records(self) -> tuple[_job_records.KeyedRecord, ...]:
        """Returns the records of this instance that were not read back."""
        records = []
        if self.address_by_member.get(self._member) != self._member_address:
            records.append(
                _job_records.KeyedRecord(
                    _store.MEMBER_PREFIX + self._member,
                    self._member_address.encode(),
                )
            )
        known = self.provision_by_member.get(self._member)
        if self._provision.is_known and known != self._provision:
            records.append(
                _job_records.KeyedRecord(
                    _store.PROVISION_PREFIX + self._member,
                    _job_records.encode_provision(self._provision),
                )
            )
        return tuple(records)

    def _handle_registration_reply(self, reply: _http_call.HttpReply) -> None:
        """Logs a failed registration, which is repeated unless read back."""
        self._is_registering = False
        self._next_registration_s = (
            self.current_time().boot_s + REGISTRATION_INTERVAL_S
        )
        if not reply.is_success:
            _log.warning(
                "member.write-failed",
                status=reply.status,
                fault=reply.error_text,
            )

    def send_due_write(self, now: _time.Now) -> None:
        """Sends the term write that the election asks for, if any."""
        claim = self.election.next_term_write(now.boot_s)
        if claim is None:
            return
        if self.election.role is _leadership.ElectionRole.CLAIMING:
            _log.info(
                "term.claiming",
                epoch=claim.term.epoch,
                relative_provision=round(self.election.relative_provision, 3),
                delay_s=round(self.election.claim_delay_s, 3),
            )
        value = _job_records.encode_term(claim.term)
        self._send_append(
            (_job_records.KeyedRecord(_store.TERM_KEY, value),),
            self._handle_write_reply,
            claim.expected_end_offset,
        )

    def _handle_write_reply(self, reply: _http_call.HttpReply) -> None:
        """Reports the success, conflict or failure of a term write."""
        now_s = self.current_time().boot_s
        end_offset = (
            _store.parse_end_offset(reply) if reply.is_success else None
        )
        if end_offset is not None:
            self.election.record_write_success(end_offset, now_s)
        elif _store.is_offset_mismatch(reply):
            self.election.record_write_conflict(now_s)
        else:
            _log.warning(
                "term.write-failed", status=reply.status, fault=reply.error_text
            )
            self.election.record_write_failure(now_s)

    def send_due_request(self, now: _time.Now) -> None:
        """Requests the term of a scheduler that leaves, if that is due."""
        request = self.election.next_request(now.boot_s)
        if request is None:
            return
        _log.info("term.requested", epoch=request.epoch)
        value = _term_requests.encode_request(request)
        # It is repeated unless it is read back.
        self._send_append(
            (_job_records.KeyedRecord(_store.REQUEST_KEY, value),),
            lambda _: None,
            request.expected_end_offset,
        )
