"""Tests of routing callers' calls to the scheduling instance."""

from concurrent import futures
from typing import Any

from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _recovery_gate
import workload_builders as build

_Outcome = _client_calls.CallOutcome
_Reply = futures.Future[_client_calls.ClientReply]


_RECOVERING = _client_calls.ClientReply(
    _Outcome.NOT_LEADER, leader_address="10.0.0.2:1", leader_epoch=3
)
"""Reply of the scheduler while it holds the term but has not recovered."""


class _RecordingHttpClient(_http_calls.HttpClient):
    """Records calls and leaves them open until the test answers them."""

    def __init__(self) -> None:
        self.sent: list[
            tuple[_http_call.HttpCall, _http_calls.ReplyCallback]
        ] = []

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        self.sent.append((call, on_reply))

    def answer_oldest(self, reply: _client_calls.ClientReply) -> None:
        """Answers the oldest open call with a peer's reply."""
        body = _peer_calls.encode_reply(
            reply, reply.leader_address, reply.leader_epoch
        )
        self.sent.pop(0)[1](_http_call.HttpReply(200, body))

    def fail_oldest(self, *, was_sent: bool) -> None:
        """Fails the oldest open call with a connection error."""
        reply = _http_call.HttpReply(
            0, error_text="cut", may_have_been_sent=was_sent
        )
        self.sent.pop(0)[1](reply)


class _FollowerScheduler(_call_router.LocalScheduler):
    """A local instance that does not schedule but knows the leader."""

    def __init__(self) -> None:
        self.unreachable_epochs: list[int] = []
        self.leader = ("10.0.0.2:1", 3)

    def is_scheduling(self) -> bool:
        return False

    def answer_locally(self, pending: _call_router.PendingCall) -> None:
        raise AssertionError("this instance does not schedule")

    def newest_leader(self) -> tuple[str, int]:
        return self.leader

    def is_leader_elsewhere(self) -> bool:
        return True

    def report_unreachable_leader(self, epoch: int) -> None:
        self.unreachable_epochs.append(epoch)


class TestRefusals:
    """A call is reported as refused only if it certainly had no effect."""

    def _start_call(
        self, kind: _client_calls.CallKind = _client_calls.CallKind.SUBMIT
    ) -> tuple[
        _RecordingHttpClient,
        _call_router.CallRouter,
        "futures.Future[_client_calls.ClientReply]",
    ]:
        """Adds a call with a deadline of one second to a new router."""
        calls = _RecordingHttpClient()
        self.now_s = 0.0
        self.local = _FollowerScheduler()
        router = _call_router.CallRouter(
            calls=calls,
            local=self.local,
            clock=lambda: build.clock_readings_at(self.now_s),
        )
        reply: futures.Future[_client_calls.ClientReply] = futures.Future()
        call = _client_calls.ClientCall(kind, "queue", "00000000000000a1")
        router.add_call(
            _call_router.PendingCall(call, reply, 1.0, False),
            build.clock_readings_at(self.now_s),
        )
        return calls, router, reply

    def _advance_time(
        self, router: _call_router.CallRouter, seconds: float
    ) -> None:
        """Advances the clock and processes the pending calls."""
        self.now_s += seconds
        router.process_pending_calls(build.clock_readings_at(self.now_s))

    def test_a_call_that_never_left_is_refused(self) -> None:
        calls, router, reply = self._start_call()
        calls.fail_oldest(was_sent=False)
        self._advance_time(router, 1.1)
        assert reply.result(0).outcome is _Outcome.UNAVAILABLE

    def test_only_a_refused_connection_tells_that_the_scheduler_is_gone(
        self,
    ) -> None:
        calls, router, _ = self._start_call()
        calls.fail_oldest(was_sent=True)
        assert self.local.unreachable_epochs == []
        self._advance_time(router, 0.2)
        calls.fail_oldest(was_sent=False)
        assert self.local.unreachable_epochs == [3]

    def test_a_try_in_flight_at_the_end_is_unknown(self) -> None:
        _, router, reply = self._start_call()
        self._advance_time(router, 1.1)
        assert reply.result(0).outcome is _Outcome.UNKNOWN

    def test_a_refusal_after_a_broken_try_is_not_passed_on(self) -> None:
        calls, router, reply = self._start_call()
        calls.fail_oldest(was_sent=True)
        self._advance_time(router, 0.2)
        calls.answer_oldest(_client_calls.ClientReply(_Outcome.UNAVAILABLE))
        assert not reply.done()
        self._advance_time(router, 1.0)
        assert reply.result(0).outcome is _Outcome.UNKNOWN

    def test_a_later_scheduler_settles_a_broken_try(self) -> None:
        calls, router, reply = self._start_call()
        calls.fail_oldest(was_sent=True)
        self._advance_time(router, 0.2)
        calls.answer_oldest(_client_calls.ClientReply(_Outcome.ACCEPTED))
        assert reply.result(0).outcome is _Outcome.ACCEPTED

    def test_a_refusal_of_the_first_try_is_passed_on_at_once(self) -> None:
        calls, _, reply = self._start_call()
        calls.answer_oldest(_client_calls.ClientReply(_Outcome.UNAVAILABLE))
        assert reply.result(0).outcome is _Outcome.UNAVAILABLE

    def test_a_question_without_effect_may_be_refused_after_a_break(
        self,
    ) -> None:
        calls, router, reply = self._start_call(_client_calls.CallKind.STATE)
        calls.fail_oldest(was_sent=True)
        self._advance_time(router, 1.1)
        assert reply.result(0).outcome is _Outcome.UNAVAILABLE

    def test_a_deposed_scheduler_names_its_successor(self) -> None:
        calls, router, reply = self._start_call()
        calls.answer_oldest(
            _client_calls.ClientReply(
                _Outcome.NOT_LEADER,
                leader_address="10.0.0.9:1",
                leader_epoch=4,
            )
        )
        self._advance_time(router, 0.01)
        assert calls.sent[0][0].url == "http://10.0.0.9:1/calls"
        assert not reply.done()


class TestRecoveringScheduler:
    """Calls wait for a scheduler that holds the term but is recovering."""

    def _start_calls(
        self, count: int
    ) -> tuple[
        _RecordingHttpClient,
        _call_router.CallRouter,
        list["futures.Future[_client_calls.ClientReply]"],
    ]:
        """Adds submits with a deadline of two seconds to a new router."""
        calls = _RecordingHttpClient()
        self.now_s = 0.0
        self.local = _FollowerScheduler()
        router = _call_router.CallRouter(
            calls=calls,
            local=self.local,
            clock=lambda: build.clock_readings_at(self.now_s),
        )
        replies = []
        for number in range(count):
            reply: futures.Future[_client_calls.ClientReply] = futures.Future()
            call = _client_calls.ClientCall(
                _client_calls.CallKind.SUBMIT, "queue", f"{number:016x}"
            )
            router.add_call(
                _call_router.PendingCall(call, reply, 2.0, False),
                build.clock_readings_at(self.now_s),
            )
            replies.append(reply)
        return calls, router, replies

    def _answer_all(
        self, calls: _RecordingHttpClient, reply: _client_calls.ClientReply
    ) -> list[_client_calls.ClientCall]:
        """Answers all open calls and returns them."""
        answered = []
        for _ in range(len(calls.sent)):
            body = calls.sent[0][0].body or b""
            answered.append(_peer_calls.decode_call(body))
            calls.answer_oldest(reply)
        return answered

    def _run_for(
        self,
        calls: _RecordingHttpClient,
        router: _call_router.CallRouter,
        seconds: float,
        reply: _client_calls.ClientReply,
    ) -> list[_client_calls.ClientCall]:
        """Answers every call alike for a time and returns them."""
        answered = self._answer_all(calls, reply)
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.015
            router.process_pending_calls(build.clock_readings_at(self.now_s))
            answered += self._answer_all(calls, reply)
        return answered

    def test_jobs_are_not_sent_again_and_again_while_it_recovers(self) -> None:
        calls, router, _ = self._start_calls(20)
        sent = self._run_for(calls, router, 1.5, _RECOVERING)
        jobs = [each.job_id for each in sent if each.job_id]
        assert jobs
        assert len(jobs) == len(set(jobs))
        probe_count = len(sent) - len(jobs)
        assert 1 <= probe_count <= 1.5 / _recovery_gate.PROBE_INTERVAL_S + 1

    def test_waiting_calls_are_sent_as_soon_as_it_has_recovered(self) -> None:
        calls, router, replies = self._start_calls(3)
        self._run_for(calls, router, 0.5, _RECOVERING)
        accepted = _client_calls.ClientReply(_Outcome.ACCEPTED)
        self._run_for(
            calls, router, _recovery_gate.PROBE_INTERVAL_S + 0.05, accepted
        )
        outcomes = [each.result(0).outcome for each in replies]
        assert outcomes == [_Outcome.ACCEPTED] * 3

    def test_calls_that_waited_in_vain_are_refused(self) -> None:
        calls, router, replies = self._start_calls(3)
        self._run_for(calls, router, 2.1, _RECOVERING)
        outcomes = [each.result(0).outcome for each in replies]
        assert outcomes == [_Outcome.UNAVAILABLE] * 3

    def test_a_later_scheduler_gets_the_calls_without_a_probe(self) -> None:
        calls, router, replies = self._start_calls(2)
        self._run_for(calls, router, 0.5, _RECOVERING)
        self.local.leader = ("10.0.0.7:1", 4)
        accepted = _client_calls.ClientReply(_Outcome.ACCEPTED)
        self._run_for(calls, router, 0.15, accepted)
        assert [each.done() for each in replies] == [True, True]

    def _start_probing(
        self,
    ) -> tuple[_RecordingHttpClient, _call_router.CallRouter]:
        """Returns a router whose first probe is in flight."""
        calls, router, _ = self._start_calls(1)
        calls.answer_oldest(_RECOVERING)
        self._pass_time(router, _recovery_gate.PROBE_INTERVAL_S + 0.1)
        assert len(calls.sent) == 1
        return calls, router

    def _pass_time(
        self, router: _call_router.CallRouter, seconds: float
    ) -> None:
        """Processes the pending calls for a time, without any answer."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.015
            router.process_pending_calls(build.clock_readings_at(self.now_s))

    def test_a_probe_after_a_lost_one_uses_a_new_connection(self) -> None:
        calls, router = self._start_probing()
        assert not calls.sent[0][0].needs_new_connection
        calls.fail_oldest(was_sent=True)
        self._pass_time(router, _recovery_gate.PROBE_INTERVAL_S + 0.1)
        assert calls.sent[0][0].needs_new_connection

    def test_a_lost_probe_leaves_time_for_another(self) -> None:
        calls, _ = self._start_probing()
        longest_s = _call_router.MAX_CALL_WAIT_S / 3
        assert calls.sent[0][0].timeout_s <= longest_s

    def test_a_lost_probe_does_not_hold_back_that_of_a_later_term(self) -> None:
        calls, router = self._start_probing()
        self.local.leader = ("10.0.0.7:1", 4)
        self._pass_time(router, _call_router.RETRY_DELAY_S + 0.05)
        later = _client_calls.ClientReply(
            _Outcome.NOT_LEADER, leader_address="10.0.0.7:1", leader_epoch=4
        )
        body = _peer_calls.encode_reply(later, "10.0.0.7:1", 4)
        calls.sent.pop(1)[1](_http_call.HttpReply(200, body))
        self._pass_time(router, _recovery_gate.PROBE_INTERVAL_S + 0.1)
        assert calls.sent[-1][0].url == "http://10.0.0.7:1/calls"
        assert len(calls.sent) == 2

    def test_a_busy_answer_is_no_sign_of_recovery(self) -> None:
        calls, router = self._start_probing()
        calls.answer_oldest(_client_calls.ClientReply(_Outcome.UNAVAILABLE))
        self._pass_time(router, _recovery_gate.PROBE_INTERVAL_S / 2)
        assert calls.sent == []

    def test_nobody_is_asked_while_no_scheduler_is_known(self) -> None:
        calls, router, _ = self._start_calls(0)
        self.local.leader = ("", 0)
        self._run_for(calls, router, 0.1, _RECOVERING)
        router.add_call(
            _call_router.PendingCall(
                _client_calls.ClientCall(_client_calls.CallKind.STATE, "q"),
                futures.Future(),
                2.0,
                False,
            ),
            build.clock_readings_at(self.now_s),
        )
        assert self._run_for(calls, router, 0.5, _RECOVERING) == []

    def test_a_scheduler_that_ended_as_it_recovered_is_reported(self) -> None:
        calls, router, _ = self._start_calls(1)
        self._run_for(calls, router, 0.1, _RECOVERING)
        self.now_s += _recovery_gate.PROBE_INTERVAL_S
        router.process_pending_calls(build.clock_readings_at(self.now_s))
        calls.fail_oldest(was_sent=False)
        assert self.local.unreachable_epochs == [3]


class TestForwardedJobs:
    """A job is not sent again while its bytes are still on their way."""

    def _forward_jobs(
        self, count: int, *, byte_count: int, deadline_s: float
    ) -> list[float]:
        """Forwards jobs at once; returns the time that each is given."""
        calls = _RecordingHttpClient()
        router = _call_router.CallRouter(
            calls=calls,
            local=_FollowerScheduler(),
            clock=lambda: build.clock_readings_at(0.0),
        )
        for number in range(count):
            call = _client_calls.ClientCall(
                _client_calls.CallKind.SUBMIT,
                "queue",
                f"{number:016x}",
                b"x" * byte_count,
            )
            router.add_call(
                _call_router.PendingCall(
                    call, futures.Future(), deadline_s, False
                ),
                build.clock_readings_at(0.0),
            )
        return [call.timeout_s for call, _ in calls.sent]

    def test_a_large_job_is_given_the_time_that_it_takes_to_send(self) -> None:
        (timeout_s,) = self._forward_jobs(
            1, byte_count=250_000, deadline_s=10.0
        )
        assert timeout_s == _call_router.PEER_TIMEOUT_S + 1.0

    def test_a_job_is_given_time_for_those_that_share_the_link(self) -> None:
        timeouts_s = self._forward_jobs(3, byte_count=250_000, deadline_s=10.0)
        assert timeouts_s[2] == _call_router.PEER_TIMEOUT_S + 3.0

    def test_the_deadline_of_the_caller_bounds_the_time(self) -> None:
        (timeout_s,) = self._forward_jobs(
            1, byte_count=250_000, deadline_s=_call_router.MAX_CALL_WAIT_S
        )
        assert timeout_s == _call_router.MAX_CALL_WAIT_S


class TestLeavingInstance:
    """A call is answered truthfully before the end of the grace period."""

    def _start_router(self) -> None:
        """Starts a router; sets its client, its scheduler and the time."""
        self.calls = _RecordingHttpClient()
        self.now_s = 0.0
        self.local = _FollowerScheduler()
        self.router = _call_router.CallRouter(
            calls=self.calls,
            local=self.local,
            clock=lambda: build.clock_readings_at(self.now_s),
        )

    def _add_call(
        self,
        kind: _client_calls.CallKind = _client_calls.CallKind.SUBMIT,
        *,
        is_forwarded: bool = False,
    ) -> _Reply:
        """Adds a call that may wait as long as any."""
        reply: _Reply = futures.Future()
        self.router.add_call(
            _call_router.PendingCall(
                _client_calls.ClientCall(kind, "queue", "00000000000000a1"),
                reply,
                self.now_s + _call_router.MAX_CALL_WAIT_S,
                is_forwarded,
            ),
            build.clock_readings_at(self.now_s),
        )
        return reply

    def _advance_time(self, seconds: float) -> None:
        """Advances the clock and processes the pending calls."""
        self.now_s += seconds
        self.router.process_pending_calls(build.clock_readings_at(self.now_s))

    def test_a_call_that_waits_for_a_scheduler_is_refused_in_time(
        self,
    ) -> None:
        self._start_router()
        self.local.leader = ("", 0)
        earlier = self._add_call()
        self.router.answer_all_by(0.9)
        later = self._add_call()
        self._advance_time(0.8)
        assert not earlier.done()
        assert not later.done()
        self._advance_time(0.1)
        assert earlier.result(0).outcome is _Outcome.UNAVAILABLE
        assert later.result(0).outcome is _Outcome.UNAVAILABLE

    def test_a_try_in_flight_at_the_last_answer_is_unknown(self) -> None:
        self._start_router()
        reply = self._add_call()
        self.router.answer_all_by(0.9)
        self._advance_time(0.9)
        assert reply.result(0).outcome is _Outcome.UNKNOWN

    def test_calls_are_forwarded_until_the_last_answer(self) -> None:
        self._start_router()
        self.router.answer_all_by(0.9)
        reply = self._add_call()
        (call, _) = self.calls.sent[0]
        assert call.timeout_s <= 0.9
        self.calls.answer_oldest(_client_calls.ClientReply(_Outcome.ACCEPTED))
        assert reply.result(0).outcome is _Outcome.ACCEPTED

    def test_a_call_after_the_last_answer_is_refused_untried(self) -> None:
        self._start_router()
        self.router.answer_all_by(0.9)
        self._advance_time(0.9)
        reply = self._add_call()
        assert reply.result(0).outcome is _Outcome.UNAVAILABLE
        assert self.calls.sent == []
        assert self.router.has_no_pending_calls

    def test_a_peer_that_forwards_a_late_call_is_told_the_scheduler(
        self,
    ) -> None:
        self._start_router()
        self.router.answer_all_by(0.0)
        answer = self._add_call(is_forwarded=True).result(0)
        assert answer.outcome is _Outcome.NOT_LEADER
        assert (answer.leader_address, answer.leader_epoch) == ("10.0.0.2:1", 3)

    def test_the_log_tells_what_open_calls_wait_for(
        self, logs: list[Any]
    ) -> None:
        self._start_router()
        self.local.leader = ("", 0)
        for _ in range(_call_router.MAX_LOGGED_CALLS + 3):
            self._add_call()
        self.router.log_open_calls(build.clock_readings_at(0.5))
        total, *calls = logs
        assert total["count"] == _call_router.MAX_LOGGED_CALLS + 3
        assert total["count_by_wait"] == {"leader-unknown": total["count"]}
        assert len(calls) == _call_router.MAX_LOGGED_CALLS
        assert calls[0]["waits_for"] == "leader-unknown"
        assert calls[0]["waited_s"] == 0.5
