"""Tests that a scheduler does not answer for a successor that it missed."""

from collections.abc import Iterator

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _job_spec
from basiljunction.transport.jobs import _held_calls
import platform_standin
import stepped_cell
import workload_builders as build

_Kind = _client_calls.CallKind
_Outcome = _client_calls.CallOutcome

_NO_ANSWERS = (_Outcome.UNAVAILABLE, _Outcome.UNKNOWN)
"""Outcomes of calls that only the silent successor could answer."""

_JOB_ID = "00000000000000a1"
_UNKNOWN_ID = "00000000000000b2"


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one executor and one route, /jobs/."""
    platform = platform_standin.Platform(executors=1)
    platform.configure(1, "/jobs/")
    yield platform
    platform.close()


@pytest.fixture
def cell(
    platform: platform_standin.Platform,
) -> Iterator[stepped_cell.SteppedCell]:
    """An instance that schedules and has stored one job."""
    cell = stepped_cell.SteppedCell(platform)
    cell.schedule()
    assert cell.answer(_Kind.SUBMIT, _JOB_ID, _encode_job()) is (
        _Outcome.ACCEPTED
    )
    yield cell
    cell.close()


def _encode_job(job_id: str = _JOB_ID, *, cpu_milli: int = 100) -> bytes:
    """Returns an encoded job of one task."""
    step = build.step_spec(size=_job_spec.Resources(cpu_milli, 100, 0))
    return _job_records.encode_job(build.accepted_job(step, job_id=job_id))


@pytest.mark.parametrize("stop_s", [2.0, 3.4, 600.0])
class TestWokenScheduler:
    """After a stop, what it does not know is not answered from memory."""

    # Clients got 410 for jobs that the successor had accepted.
    def test_a_cancel_of_the_successors_job_is_not_answered_gone(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        assert cell.answer(_Kind.CANCEL, _UNKNOWN_ID) in _NO_ANSWERS

    def test_a_query_of_the_successors_job_is_not_answered_gone(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        assert cell.answer(_Kind.STATE, _UNKNOWN_ID) in _NO_ANSWERS

    def test_a_job_is_not_refused_for_the_successor(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        """The successor may know an executor that it fits."""
        cell.replace()
        cell.stop(stop_s)
        job = _encode_job(_UNKNOWN_ID, cpu_milli=1_000_000)
        assert cell.answer(_Kind.SUBMIT, _UNKNOWN_ID, job) in _NO_ANSWERS

    def test_a_job_is_not_accepted_for_the_successor(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        job = _encode_job(_UNKNOWN_ID)
        assert cell.answer(_Kind.SUBMIT, _UNKNOWN_ID, job) in _NO_ANSWERS

    def test_proxied_calls_are_sent_back(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        replies = [
            cell.call(kind, _UNKNOWN_ID, is_forwarded=True)
            for kind in (_Kind.CANCEL, _Kind.STATE)
        ]
        cell.run_until(lambda: all(each.done() for each in replies))
        assert {each.result().outcome for each in replies} == {
            _Outcome.NOT_LEADER
        }

    def test_it_answers_again_if_nobody_has_taken_over(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.stop(stop_s)
        assert cell.answer(_Kind.CANCEL, _UNKNOWN_ID) is _Outcome.NO_SUCH_JOB


@pytest.mark.parametrize("stop_s", [3.4, 600.0])
class TestWokenAfterItsTerm:
    """A state of before a stop that outlasted the term is not told."""

    # Clients were told the state that the job had before the stop.
    def test_no_known_job_is_shown(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        assert cell.answer(_Kind.STATE, _JOB_ID) in _NO_ANSWERS

    # The number of waiting jobs may be 2 s old.
    def test_no_waiting_jobs_are_counted(
        self, cell: stepped_cell.SteppedCell, stop_s: float
    ) -> None:
        cell.replace()
        cell.stop(stop_s)
        assert cell.answer(_Kind.WAITING, "") in _NO_ANSWERS


class TestCalm:
    """No call waits for a renewal of the term."""

    @pytest.mark.parametrize("kind", [_Kind.CANCEL, _Kind.STATE])
    def test_an_unknown_job_is_gone_at_once(
        self, cell: stepped_cell.SteppedCell, kind: _client_calls.CallKind
    ) -> None:
        reply = cell.call(kind, _UNKNOWN_ID)
        cell.task.handle_pending_messages()
        assert reply.result(0).outcome is _Outcome.NO_SUCH_JOB

    def test_a_job_that_never_fits_is_rejected_at_once(
        self, cell: stepped_cell.SteppedCell
    ) -> None:
        job = _encode_job(_UNKNOWN_ID, cpu_milli=1_000_000)
        reply = cell.call(_Kind.SUBMIT, _UNKNOWN_ID, job)
        cell.task.handle_pending_messages()
        assert reply.result(0).outcome is _Outcome.NEVER_FITS

    def test_a_known_job_is_shown_at_once(
        self, cell: stepped_cell.SteppedCell
    ) -> None:
        reply = cell.call(_Kind.STATE, _JOB_ID)
        cell.task.handle_pending_messages()
        assert reply.result(0).outcome is _Outcome.FOUND


class TestOutage:
    """While the store is down, only what is not known stays open."""

    def test_known_jobs_are_shown_beside_many_queries_of_unknown_ones(
        self,
        cell: stepped_cell.SteppedCell,
        platform: platform_standin.Platform,
    ) -> None:
        platform.is_down = True
        cell.run(2 * _election.TERM_EXPIRY_S)
        unknown = [
            cell.call(_Kind.STATE, _UNKNOWN_ID)
            for _ in range(_held_calls.MAX_HELD_QUERIES + 3)
        ]
        known = cell.call(_Kind.STATE, _JOB_ID)
        cell.task.handle_pending_messages()
        assert known.result(0).outcome is _Outcome.FOUND
        # The others do not occupy the threads that answer queries.
        assert sum(not each.done() for each in unknown) == (
            _held_calls.MAX_HELD_QUERIES
        )
        cell.run_until(lambda: all(each.done() for each in unknown))
        assert {each.result().outcome for each in unknown} == {
            _Outcome.UNAVAILABLE
        }

    def test_a_known_job_is_shown_soon_after_a_stop(
        self,
        cell: stepped_cell.SteppedCell,
        platform: platform_standin.Platform,
    ) -> None:
        platform.is_down = True
        cell.run(0.1)
        cell.stop(3.4)
        reply = cell.call(_Kind.STATE, _JOB_ID)
        cell.run(_held_calls.STORE_ANSWER_S + 0.1)
        assert reply.result(0).outcome is _Outcome.FOUND
        later = cell.call(_Kind.STATE, _JOB_ID)
        cell.task.handle_pending_messages()
        assert later.result(0).outcome is _Outcome.FOUND

    def test_an_unknown_job_is_gone_once_the_store_is_back(
        self,
        cell: stepped_cell.SteppedCell,
        platform: platform_standin.Platform,
    ) -> None:
        platform.is_down = True
        cell.run(2.0)
        reply = cell.call(_Kind.CANCEL, _UNKNOWN_ID)
        cell.run(0.5)
        assert not reply.done()
        platform.is_down = False
        cell.run_until(reply.done)
        assert reply.result().outcome is _Outcome.NO_SUCH_JOB
