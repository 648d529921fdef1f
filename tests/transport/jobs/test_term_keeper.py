"""Tests of the registration of instances in the term topic of the store."""

from collections.abc import Callable
import json
import random
import struct
from typing import Any
import urllib.parse

import pytest
import structlog
from structlog import testing

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.platform import _store
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _term_keeper
import election_rig
import platform_standin
import workload_builders as build

TICK_S = 0.05
"""Virtual time between two ticks, in seconds."""

FIRST_CLAIM_LIMIT_S = (
    _election.MAX_PROVISION_DELAY_S
    + _election.SETTLING_TIME_S
    + 2 * _election.WRITE_RETRY_S
    + _election.MAX_CLAIM_JITTER_S
)
"""Longest time to the first term of an instance alone, in seconds."""

_FailsWrite = Callable[[bytes], tuple[bool, bool]]
"""Returns of an append whether it is stored and whether it is answered."""


class _StoreClient(_http_calls.HttpClient):
    """Answers calls to the store from one topic.

    Attributes:
        answers_reads: Whether reads end; otherwise they stay open as if their
            answers arrived byte by byte.
        topic: The term topic.
        first_offset: Offset of the first record that is still kept.
        records_per_read: Most records in the answer to a read; None for no
            limit.
        appended_keys: Keys of the records of each stored append.
        judge_write: Decides about each append by its body.
    """

    def __init__(self) -> None:
        self.topic = platform_standin.Topic()
        self.first_offset = 0
        self.records_per_read: int | None = None
        self.appended_keys: list[list[str]] = []
        self.judge_write: _FailsWrite = lambda _: (True, True)
        self.answers_reads = True
        self._now_s = 0.0
        self._open_calls: list[
            tuple[_http_call.HttpCall, _http_calls.ReplyCallback, float]
        ] = []

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        self._open_calls.append((call, on_reply, self._now_s))

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns 0: an answer arrives at once."""
        return 0

    def put(self, key: str, value: bytes) -> None:
        """Stores a record as another instance would."""
        name = key.encode()
        self.topic.append_record(bytes((len(name),)) + name + value)

    def answer_calls(self) -> None:
        """Answers all open calls but reads that wait for a record.

        It is called once in each tick.
        """
        self._now_s += TICK_S
        calls, self._open_calls = self._open_calls, []
        for call, on_reply, sent_s in calls:
            url = urllib.parse.urlsplit(call.url)
            query = dict(urllib.parse.parse_qsl(url.query))
            if url.path == "/log-append":
                on_reply(self._append(query, call.body or b""))
            elif not self.answers_reads:
                self._open_calls.append((call, on_reply, sent_s))
            elif url.path == "/log-newest":
                on_reply(self._read_newest())
            elif (
                int(query["From"]) < len(self.topic.records)
                or self._now_s - sent_s >= int(query["WaitMs"]) / 1000
            ):
                on_reply(self._read(int(query["From"])))
            else:
                self._open_calls.append((call, on_reply, sent_s))

    def _append(
        self, query: dict[str, str], body: bytes
    ) -> _http_call.HttpReply:
        """Appends records, unless the test loses them or the answer."""
        is_stored, is_answered = self.judge_write(body)
        status, answer = 503, dict[str, Any]()
        if is_stored:
            status, answer = platform_standin.append_to_topic(
                self.topic, query, body
            )
        if is_stored and status == 200:
            keys = [
                record[1 : 1 + record[0]].decode()
                for record in platform_standin.split_records(body)
            ]
            self.appended_keys.append(keys)
        if not is_answered:
            return _http_call.HttpReply(0, error_text="timed out")
        return _http_call.HttpReply(status, json.dumps(answer).encode())

    def _read_newest(self) -> _http_call.HttpReply:
        """Returns the newest record of each key."""
        answer = platform_standin.newest_page(self.topic, "")
        return _http_call.HttpReply(200, json.dumps(answer).encode())

    def _read(self, begin: int) -> _http_call.HttpReply:
        """Returns the records from an offset on, if they are still kept."""
        if begin < self.first_offset:
            answer = {"FirstOffset": self.first_offset}
            return _http_call.HttpReply(410, json.dumps(answer).encode())
        records = self.topic.records
        answered = records[begin:][: self.records_per_read]
        body = struct.pack(">QQ", len(records), 0) + b"".join(
            struct.pack(">I", len(each)) + each for each in answered
        )
        return _http_call.HttpReply(200, body)


class _Instance:
    """An instance that takes part in elections at a store, in virtual time."""

    def __init__(
        self,
        store: _StoreClient,
        provision: _provision.Provision = election_rig.STRONG,
    ) -> None:
        self.store = store
        self.now_s = 0.0
        self.election = _election.Election(
            instance="a",
            incarnation=1,
            address="a:1",
            rng=random.Random(1),
            provision=provision,
        )
        self.grants = _lease_grants.GrantHistory(0.0)
        self.feed = _term_keeper.TermFeed(
            calls=store,
            address="store:1",
            clock=lambda: build.clock_readings_at(self.now_s),
            election=self.election,
            grants=self.grants,
            member="a",
            member_address="a:1",
            provision=provision,
        )

    def run_for(self, seconds: float) -> None:
        """Runs ticks for a while, as the cell task does."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            now = build.clock_readings_at(self.now_s)
            self.feed.start_due_read(now)
            self.feed.register_member(now)
            self.feed.send_due_write(now)
            self.store.answer_calls()
            self.now_s += TICK_S

    def run_until_leader(self, limit_s: float) -> float:
        """Runs until it holds the term; returns the time that this took."""
        begin_s = self.now_s
        while not self.election.is_leader:
            if self.now_s > begin_s + limit_s:
                raise TimeoutError(f"no term after {limit_s} s")
            self.run_for(TICK_S)
        return self.now_s - begin_s


def _renew_term(store: _StoreClient, *, beat: int) -> None:
    """Stores a renewal of the term of another instance."""
    term = _leadership.Term(3, "b", 1, "b:1", beat=beat)
    store.put(_store.TERM_KEY, _job_records.encode_term(term))


def _is_registration(body: bytes) -> bool:
    """Returns whether an append registers an instance."""
    return _store.MEMBER_PREFIX.encode() in body


@pytest.fixture
def store() -> _StoreClient:
    """A store without any record."""
    return _StoreClient()


@pytest.fixture
def logs(monkeypatch: pytest.MonkeyPatch) -> testing.LogCapture:
    """Log lines of the feed, which the other tests silence."""
    capture = testing.LogCapture()
    logger = structlog.wrap_logger(
        None,
        processors=[capture],
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
    monkeypatch.setattr(_term_keeper, "_log", logger)
    return capture


class TestRestart:
    """What was registered before the newest record is known to its writer."""

    @pytest.mark.parametrize(
        ("held_s", "is_registered_first", "granted_s"),
        [
            # The process before may have reported an outage until this one.
            (_lease_grants.MAX_GRANT_S, True, _lease_grants.REPORT_VALIDITY_S),
            (2.0, True, _lease_grants.MAX_GRANT_S - 2.0),
            (0.0, True, _lease_grants.MAX_GRANT_S),
            (_lease_grants.MAX_GRANT_S, False, _lease_grants.MAX_GRANT_S),
        ],
    )
    def test_its_predecessors_were_last_confirmed_before_the_claim(
        self, held_s: float, is_registered_first: bool, granted_s: float
    ) -> None:
        store = _StoreClient()
        if is_registered_first:
            store.put("member.a", b"a:1")
        term = _leadership.Term(
            3, "b", 1, "b:1", 9, unreported_grant_s=0.0, held_s=held_s
        )
        store.put(_store.TERM_KEY, _job_records.encode_term(term))
        if not is_registered_first:
            store.put("member.a", b"a:1")
        instance = _Instance(store)
        instance.run_for(0.3)
        last_grant = instance.grants.find_last_grant(term, instance.now_s)
        granted_until_s = instance.now_s + granted_s
        assert last_grant.by_s == pytest.approx(granted_until_s, abs=0.4)


class TestTermBeyondTheEndOfARead:
    """A read that was cut short says nothing of the records after it."""

    def test_no_term_is_claimed_over_one_that_was_not_read(
        self, store: _StoreClient
    ) -> None:
        instance = _Instance(store)
        _renew_term(store, beat=1)
        instance.run_for(_election.TERM_EXPIRY_S - 2 * TICK_S)
        store.records_per_read = 2
        for number in range(6):
            store.put(f"{_store.MEMBER_PREFIX}d{number}", b"d:1")
        term = _leadership.Term(4, "c", 1, "c:1", beat=1)
        store.put(_store.TERM_KEY, _job_records.encode_term(term))
        instance.run_for(_election.TERM_EXPIRY_S / 2)
        assert instance.election.term == term
        assert [_store.TERM_KEY] not in store.appended_keys


class TestRegistration:
    """An instance registers what it has, and is never kept from claiming."""

    def test_address_and_provision_are_registered_once(
        self, store: _StoreClient
    ) -> None:
        _Instance(store).run_for(5.0)
        registrations = [
            keys for keys in store.appended_keys if keys != [_store.TERM_KEY]
        ]
        assert registrations == [["member.a", "provision.a"]]

    def test_a_removal_is_noticed_by_a_read_of_the_newest_records(
        self, store: _StoreClient
    ) -> None:
        instance = _Instance(store)
        instance.run_for(5.0)
        store.put("member.a", b"")
        # As after an answer that was cut short.
        instance.feed.restart()
        instance.run_for(2.0)
        registrations = [
            keys for keys in store.appended_keys if "member.a" in keys
        ]
        assert len(registrations) == 2

    def test_older_builds_read_a_plain_address(
        self, store: _StoreClient
    ) -> None:
        _Instance(store).run_for(1.0)
        assert store.topic.newest_by_key["member.a"][1] == b"a:1"
        assert not "provision.a".startswith(_store.MEMBER_PREFIX)

    def test_an_unknown_provision_is_not_registered(
        self, store: _StoreClient
    ) -> None:
        instance = _Instance(store, _provision.UNKNOWN)
        took_s = instance.run_until_leader(1.0)
        assert took_s <= _election.WRITE_RETRY_S + 4 * TICK_S
        assert "provision.a" not in store.topic.newest_by_key

    def test_a_changed_provision_is_registered_again(
        self, store: _StoreClient
    ) -> None:
        store.put("member.a", b"a:1")
        store.put(
            "provision.a", _job_records.encode_provision(election_rig.WEAK)
        )
        instance = _Instance(store)
        instance.run_for(1.0)
        assert store.appended_keys[0] == ["provision.a"]
        assert instance.election.relative_provision == 1.0

    def test_the_own_registration_is_read_before_the_first_claim(
        self, store: _StoreClient
    ) -> None:
        took_s = _Instance(store).run_until_leader(FIRST_CLAIM_LIMIT_S)
        assert store.appended_keys[0] == ["member.a", "provision.a"]
        assert took_s >= _election.SETTLING_TIME_S
        assert took_s <= _election.SETTLING_TIME_S + 4 * TICK_S

    @pytest.mark.parametrize("is_stored", [False, True])
    @pytest.mark.parametrize("is_answered", [False, True])
    def test_a_lost_registration_prevents_no_first_term(
        self, store: _StoreClient, *, is_stored: bool, is_answered: bool
    ) -> None:
        store.judge_write = lambda body: (
            (is_stored, is_answered) if _is_registration(body) else (True, True)
        )
        _Instance(store).run_until_leader(FIRST_CLAIM_LIMIT_S)

    def test_a_registration_is_repeated_until_it_is_read(
        self, store: _StoreClient
    ) -> None:
        store.judge_write = lambda _: (False, False)
        instance = _Instance(store)
        instance.run_for(5.0)
        store.judge_write = lambda _: (True, True)
        instance.run_for(2.0)
        assert instance.election.relative_provision == 1.0

    def test_a_removal_that_the_store_has_forgotten_is_noticed(
        self, store: _StoreClient
    ) -> None:
        """Else no scheduler ever asks this instance whether it may go on."""
        instance = _Instance(store)
        instance.run_until_leader(FIRST_CLAIM_LIMIT_S)
        instance.election.resign()
        instance.run_for(1.0)
        store.answers_reads = False
        instance.run_for(1.0)
        store.put("member.a", b"")
        store.put("provision.a", b"")
        _renew_term(store, beat=1)
        store.first_offset = len(store.topic.records)
        store.answers_reads = True
        instance.run_for(2.0)
        assert store.topic.newest_by_key["member.a"][1] == b"a:1"
        grants = instance.grants
        assert grants.registered_s is not None
        assert grants.registered_s > instance.now_s - 2.0

    def test_a_removal_that_fails_is_not_repeated_at_once(
        self, store: _StoreClient
    ) -> None:
        """A store that refuses calls refuses more of them then."""
        instance = _Instance(store)
        instance.run_until_leader(FIRST_CLAIM_LIMIT_S)
        removals: list[bytes] = []

        def refuse_removal(body: bytes) -> tuple[bool, bool]:
            if not _is_registration(body):
                return True, True
            removals.append(body)
            return False, True

        store.judge_write = refuse_removal
        for _ in range(round(1.0 / TICK_S)):
            instance.feed.remove_members(["b"])
            instance.run_for(TICK_S)
        assert 1 <= len(removals) <= 3

    def test_a_new_store_gets_a_registration_of_its_own(
        self, store: _StoreClient
    ) -> None:
        instance = _Instance(store)
        instance.run_until_leader(FIRST_CLAIM_LIMIT_S)
        store.topic = platform_standin.Topic()
        instance.feed.switch_store("store:2", 2)
        instance.run_until_leader(
            FIRST_CLAIM_LIMIT_S + _term_keeper.WRITE_TIMEOUT_S
        )
        assert "provision.a" in store.topic.newest_by_key


class TestReadsThatDoNotEnd:
    """An instance that cannot read the renewals of a term leaves it alone."""

    @pytest.fixture
    def candidate(self, store: _StoreClient) -> _Instance:
        """An instance that has read a renewal of another one's term."""
        _renew_term(store, beat=1)
        candidate = _Instance(store)
        candidate.run_for(0.5)
        _renew_term(store, beat=2)
        candidate.run_for(2 * TICK_S)
        return candidate

    def test_the_term_of_a_scheduler_is_not_claimed(
        self, store: _StoreClient, candidate: _Instance
    ) -> None:
        """The scheduler may renew its term all the time."""
        claims: list[bytes] = []

        def note_claim(body: bytes) -> tuple[bool, bool]:
            claims.append(body)
            return True, True

        store.answers_reads = False
        store.judge_write = note_claim
        for beat in range(3, 20):
            _renew_term(store, beat=beat)
            candidate.run_for(_election.RENEWAL_INTERVAL_S)
        assert not claims

    def test_a_peer_is_asked_for_the_scheduler(
        self, store: _StoreClient, candidate: _Instance
    ) -> None:
        """Else calls go to a scheduler that may have been replaced."""
        store.answers_reads = False
        candidate.run_for(_election.TERM_EXPIRY_S + 2 * TICK_S)
        assert candidate.feed.is_store_unreachable

    def test_the_first_read_at_another_store_gets_its_time(
        self, store: _StoreClient, candidate: _Instance
    ) -> None:
        """It is no failure that the old store did not answer."""
        store.answers_reads = False
        candidate.run_for(_election.TERM_EXPIRY_S - 4 * TICK_S)
        candidate.feed.switch_store("store:2", 2)
        candidate.run_for(1.0)
        assert not candidate.feed.is_store_unreachable

    def test_a_term_without_renewals_is_claimed_after_the_next_read(
        self, store: _StoreClient, candidate: _Instance
    ) -> None:
        """Else a cell whose scheduler is gone stays without one."""
        store.answers_reads = False
        candidate.run_for(10.0)
        store.answers_reads = True
        candidate.run_until_leader(
            _election.TERM_EXPIRY_S + FIRST_CLAIM_LIMIT_S
        )

    def test_a_store_without_new_records_is_reachable(
        self, store: _StoreClient, candidate: _Instance
    ) -> None:
        """Reads that wait for a record in vain end, too."""
        candidate.election.resign()
        for _ in range(round(5.0 / TICK_S)):
            candidate.run_for(TICK_S)
            assert not candidate.feed.is_store_unreachable


class TestRank:
    """An instance ranks itself by what the others have registered."""

    def _relative_provision(
        self, store: _StoreClient, provision: _provision.Provision
    ) -> float:
        """Returns the rank of an instance after it has registered."""
        instance = _Instance(store, provision)
        instance.run_for(0.3)
        return instance.election.relative_provision

    def test_a_better_provided_member_is_noticed(
        self, store: _StoreClient
    ) -> None:
        store.put(
            "provision.b", _job_records.encode_provision(election_rig.STRONG)
        )
        assert self._relative_provision(store, election_rig.WEAK) == 0.05

    @pytest.mark.parametrize(
        "value", [b"", b"b:1", b'{"link_mbps":-1}', b'{"other":1}']
    )
    def test_a_record_that_cannot_be_read_ranks_as_equal(
        self, store: _StoreClient, value: bytes
    ) -> None:
        store.put(
            "provision.b", _job_records.encode_provision(election_rig.STRONG)
        )
        store.put("provision.b", value)
        assert self._relative_provision(store, election_rig.WEAK) == 1.0

    def test_a_member_of_an_older_build_ranks_as_equal(
        self, store: _StoreClient
    ) -> None:
        store.put("member.b", b"b:1")
        assert self._relative_provision(store, election_rig.WEAK) == 1.0

    def test_a_record_that_becomes_malformed_while_running_is_dropped(
        self, store: _StoreClient, logs: testing.LogCapture
    ) -> None:
        instance = _Instance(store, election_rig.WEAK)
        store.put(
            "provision.b", _job_records.encode_provision(election_rig.STRONG)
        )
        instance.run_for(0.3)
        store.put("provision.b", b"{")
        instance.run_for(0.2)
        assert instance.election.relative_provision == 1.0
        assert logs.entries[0]["event"] == "provision.malformed"
        assert logs.entries[0]["member"] == "b"

    def test_a_claim_is_logged_with_its_rank(
        self, store: _StoreClient, logs: testing.LogCapture
    ) -> None:
        store.put(
            "provision.b", _job_records.encode_provision(election_rig.STRONG)
        )
        _Instance(store, election_rig.WEAK).run_for(5.0)
        assert logs.entries == [
            {
                "event": "term.claiming",
                "log_level": "info",
                "epoch": 1,
                "relative_provision": 0.05,
                "delay_s": 1.16,
            }
        ]
