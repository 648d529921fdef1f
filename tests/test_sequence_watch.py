"""Tests that the watch of the random sequences notices what waits too long."""

from collections.abc import Callable

import pytest

from basiljunction.state.workload import _job_spec
import cell_rig
import sequence_actions
import sequence_watch
import workload_builders as build


class _Watched:
    """A rig that a watch follows.

    Attributes:
        rig: The rig, with two executors.
        watch: The watch.
    """

    def __init__(self) -> None:
        self.rig = cell_rig.CellRig(
            *(build.executor_entry(each) for each in ("e0", "e1"))
        )
        self.watch = sequence_watch.CalmWatch(self.rig)

    def run(self, seconds: float) -> None:
        """Runs steps and checks after each."""
        for _ in range(round(seconds / cell_rig.STEP_S)):
            self.rig.step()
            self.watch.check()

    def submit(self, *, lasts: bool) -> None:
        """Submits a job of one task."""
        sequence_actions.Submit(1, 1, lasts=lasts).apply(self.rig)

    def cancel(self) -> None:
        """Cancels it."""
        cancel = sequence_actions.Cancel(1)
        cancel.apply(self.rig)
        self.watch.note_cancel(cancel.job_id)


@pytest.fixture
def watched() -> _Watched:
    """A rig that is at work."""
    watched = _Watched()
    watched.run(1.0)
    return watched


def _stop_orders(rig: cell_rig.CellRig, patch: pytest.MonkeyPatch) -> None:
    """Lets the scheduler send no orders from now on."""
    patch.setattr(rig.scheduler, "take_orders", list)


class TestWaitBeyondItsBound:
    """Each kind of wait is noticed once its bound has passed in calm."""

    @pytest.mark.parametrize(
        ("disturb", "wait_s"),
        [(None, 9.0), ("store", 10.0), ("executor", 10.0)],
    )
    def test_a_lasting_task_that_never_runs_is_noticed(
        self,
        watched: _Watched,
        monkeypatch: pytest.MonkeyPatch,
        disturb: str | None,
        wait_s: float,
    ) -> None:
        _stop_orders(watched.rig, monkeypatch)
        watched.submit(lasts=True)
        watched.run(2.9)
        watched.rig.store_is_up = disturb != "store"
        executor = watched.rig.executor_by_id["e0"]
        executor.is_answering = disturb != "executor"
        watched.run(0.1)
        watched.rig.store_is_up = executor.is_answering = True
        watched.run(wait_s - 3.1)
        with pytest.raises(AssertionError, match="is without a run"):
            watched.run(0.3)

    def test_one_without_room_is_not_lost(
        self, watched: _Watched, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        _stop_orders(watched.rig, monkeypatch)
        watched.submit(lasts=True)
        for each in watched.rig.executor_by_id.values():
            each.resize(_job_spec.Resources())
        watched.run(20.0)

    def test_an_end_that_is_not_noted_is_noticed(
        self, watched: _Watched, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        watched.submit(lasts=False)
        watched.run(0.3)
        assert watched.rig.starts
        _stop_orders(watched.rig, monkeypatch)
        with pytest.raises(AssertionError, match=r"is not noted, for 4\.05"):
            watched.run(5.0)

    @pytest.mark.parametrize(
        ("act", "method", "what"),
        [
            (_Watched.cancel, "take_batch", "has an unanswered cancel"),
            (lambda _: None, "visible_state", "is not shown"),
        ],
    )
    def test_a_cancel_and_a_hidden_job_are_noticed(
        self,
        watched: _Watched,
        monkeypatch: pytest.MonkeyPatch,
        act: Callable[[_Watched], None],
        method: str,
        what: str,
    ) -> None:
        watched.submit(lasts=True)
        watched.run(1.0)
        monkeypatch.setattr(watched.rig.scheduler, method, lambda *_: None)
        act(watched)
        watched.run(2.9)
        with pytest.raises(AssertionError, match=what):
            watched.run(0.3)
