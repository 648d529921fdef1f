"""Tests of the scheduler's orders against stand-ins of executors."""

from collections.abc import Iterable
from collections.abc import Iterator
import socket
import time
from typing import Any

import pydantic_core
import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _renewals
from basiljunction.coordination.scheduling import _runs
from basiljunction.platform import _executor_list
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.transport.jobs import _order_sender
import cutting_proxy
import linked_executors
import order_rig
import platform_standin
import workload_builders as build

NARROW_LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s, in bytes a second."""

EXECUTOR_COUNT = 20
"""Executors, whose lists have some 700 KB together."""

ENDED_RUNS = 500
"""Ended runs that each executor lists, the most in one answer."""

ANSWER_LIMIT_S = 4.0
"""Longest time until all executors have answered, in seconds.

Their lists alone take 1.1 s over a narrow link.
"""

FULL_LINK_EXECUTORS = 100
"""Executors whose answers fill a narrow link."""

FULL_LINK_ANSWER_BYTES = 12_000
"""Size of each of these answers; all of them take 1.9 s over the link."""

FULL_LINK_TIME_S = 8.0
"""Time for which the link is full, in seconds."""

START_COUNT = 20
"""Starts that are sent at once."""

CUT_S = 0.4
"""Time for which an executor refuses connections, in seconds."""

START_PAYLOAD_CHARS = 60_000
"""Size of their payloads; all of them take 1.9 s over a narrow link."""

LOST_PAYLOAD_CHARS = 5_000
"""Size of the payloads of starts of which half get no answer."""

LOST_ROUNDS = 12
"""How often starts are sent of which half get no answer."""

LOST_ROUND_S = 0.25
"""Time between two of these rounds, in seconds; their bodies fill some two
thirds of a narrow link."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform whose executors list many runs that have ended."""
    platform = platform_standin.Platform(EXECUTOR_COUNT)
    for executor in platform.executors:
        executor.ended = [
            [number, f"{number:016x}.0.0.{number}", 1, "lapsed", "0" * 16]
            for number in range(1, ENDED_RUNS + 1)
        ]
    yield platform
    platform.close()


@pytest.fixture
def rig() -> Iterator[order_rig.OrderRig]:
    """A scheduler and its orders."""
    rig = order_rig.OrderRig()
    yield rig
    rig.close()


class TestRenewal:
    """A scheduler learns the runs of all executors that answer."""

    def test_long_lists_of_runs_arrive_over_a_narrow_link(
        self, rig: order_rig.OrderRig, platform: platform_standin.Platform
    ) -> None:
        platform.executor_bytes_per_s = NARROW_LINK_BYTES_PER_S
        rig.list_executors(
            _executor_list.parse_listed_executor(
                _job_records.KeyedRecord(
                    each.id, pydantic_core.to_json(each.describe())
                )
            )
            for each in platform.executors
        )
        rig.run_until(
            lambda: rig.count_answering() == EXECUTOR_COUNT,
            limit_s=ANSWER_LIMIT_S,
        )
        assert rig.count_answering() == EXECUTOR_COUNT

    def test_an_executor_that_does_not_answer_is_noticed_within_a_second(
        self, rig: order_rig.OrderRig
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            rig.list_executors([build.executor_entry(address=address)])
            (executor,) = rig.scheduler.cell.executor_by_id.values()
            rig.run_until(lambda: executor.renewal_failures > 0, limit_s=1.0)
        assert executor.renewal_failures == 1


class _OddOnceExecutor(platform_standin.Executor):
    """An executor whose first list of runs has odd fields.

    Attributes:
        odd_fields: The fields; empty once they were sent.
    """

    odd_fields: dict[str, Any]

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Carries out a call and returns its status and body."""
        status, answer = super().answer(path, body)
        odd_fields, self.odd_fields = self.odd_fields, {}
        return status, answer | odd_fields


class TestOddAnswers:
    """An executor whose answer can't be read is asked again."""

    @pytest.mark.parametrize(
        "fields",
        [
            {"ClockMs": float("inf")},
            {"ClockMs": int("9" * 400)},
            {"born": float("inf")},
            {"Running": [[5, 1, "", 0]]},
            {"Running": [["a1.0.1.2", 1, "", int("9" * 400)]]},
            {"Ended": [[float("inf"), "a1.0.1.2", 1, "done", ""]]},
        ],
    )
    def test_the_executor_is_usable_soon(
        self, rig: order_rig.OrderRig, fields: dict[str, Any]
    ) -> None:
        platform = platform_standin.Platform(executors=0)
        executor = _OddOnceExecutor(platform, 0)
        executor.odd_fields = fields
        platform.executors.append(executor)
        address = executor.describe()["Address"]
        rig.list_executors([build.executor_entry(executor.id, address=address)])
        rig.run_until(lambda: rig.count_answering() == 1, limit_s=2.0)
        platform.close()
        assert not executor.odd_fields
        assert rig.count_answering() == 1
        state = rig.scheduler.cell.executor_by_id[executor.id]
        assert state.clock.clock_ms < 10_000


class TestFullLink:
    """Answers that queue on the scheduler's own link are waited for."""

    @pytest.fixture
    def executors(
        self, rig: order_rig.OrderRig
    ) -> Iterator[linked_executors.LinkedExecutors]:
        """Executors that the scheduler lists."""
        executors = linked_executors.LinkedExecutors(
            FULL_LINK_EXECUTORS, FULL_LINK_ANSWER_BYTES
        )
        rig.list_executors(
            build.executor_entry(f"i-{number}", address=address)
            for number, address in enumerate(executors.addresses)
        )
        yield executors
        executors.close()

    def test_answers_on_their_way_are_not_thrown_away_over_and_over(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
    ) -> None:
        executors.link.bytes_per_s = NARROW_LINK_BYTES_PER_S
        answer_count = rig.count_answers_for(FULL_LINK_TIME_S)
        carried = (
            FULL_LINK_TIME_S * NARROW_LINK_BYTES_PER_S / FULL_LINK_ANSWER_BYTES
        )
        assert answer_count > carried / 2

    def test_a_silent_executor_is_noticed_soon_again_after_the_link_was_full(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
    ) -> None:
        executors.link.bytes_per_s = NARROW_LINK_BYTES_PER_S
        rig.count_answers_for(FULL_LINK_TIME_S / 2)
        executors.link.bytes_per_s = float("inf")
        rig.count_answers_for(FULL_LINK_TIME_S / 2)
        executors.silent.add(0)
        executor = rig.scheduler.cell.executor_by_id["i-0"]
        # The wait of 1.0 s and the margin of 0.8 s.
        rig.run_until(lambda: executor.renewal_failures > 0, limit_s=2.1)
        assert executor.renewal_failures == 1


class TestStarts:
    """The bodies of start orders are given the time that they need."""

    @pytest.fixture
    def executors(
        self, rig: order_rig.OrderRig
    ) -> Iterator[linked_executors.LinkedExecutors]:
        """Executors that the scheduler lists, behind a narrow uplink."""
        executors = linked_executors.LinkedExecutors(START_COUNT, 200)
        rig.list_executors(
            build.executor_entry(f"i-{number}", address=address)
            for number, address in enumerate(executors.addresses)
        )
        # Only executors that have listed their runs get starts.
        rig.run_until(
            lambda: rig.count_answering() == START_COUNT, limit_s=ANSWER_LIMIT_S
        )
        executors.uplink.bytes_per_s = NARROW_LINK_BYTES_PER_S
        yield executors
        executors.close()

    def _send_starts(
        self,
        rig: order_rig.OrderRig,
        monkeypatch: pytest.MonkeyPatch,
        payload: str,
    ) -> tuple[list[_orders.StartResult], float]:
        """Sends a start to each executor; returns results and the time."""
        results: list[_orders.StartResult] = []
        monkeypatch.setattr(
            rig.scheduler,
            "handle_start_answer",
            lambda _order, result, _now, **_: results.append(result),
        )
        self._order_starts(rig, payload, range(START_COUNT))
        started_s = time.monotonic()
        rig.run_until(lambda: len(results) == START_COUNT, limit_s=8.0)
        return results, time.monotonic() - started_s

    def _order_starts(
        self,
        rig: order_rig.OrderRig,
        payload: str,
        executors: Iterable[int],
        run: int = 0,
    ) -> None:
        """Adds a start for each executor to the scheduler's orders."""
        for number in executors:
            task = _job_spec.TaskId("00000000000000a1", 0, 0, number)
            executor_id = f"i-{number}"
            rig.scheduler.cell.executor_by_id[executor_id].add_run(
                _runs.Run(
                    task=task,
                    number=run + number,
                    executor=executor_id,
                    # As small as the scheduler needs to place all of them.
                    step=build.step_spec(size=_job_spec.Resources(10, 1, 0)),
                    phase=_runs.RunPhase.ORDERED,
                    phase_since_s=0.0,
                )
            )
            rig.scheduler.cell.orders.append(
                _orders.StartOrder(
                    executor=executor_id,
                    task=task,
                    run=run + number,
                    payload=payload,
                    lease_until_ms=5000,
                    checkpoint="",
                )
            )

    def test_starts_with_large_payloads_get_through_a_narrow_link(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        results, _ = self._send_starts(
            rig, monkeypatch, "x" * START_PAYLOAD_CHARS
        )
        assert results == [_orders.StartResult.STARTED] * START_COUNT

    def test_a_start_is_given_up_before_its_lease_ends(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        executors.silent_to_starts.update(range(START_COUNT))
        results, took_s = self._send_starts(rig, monkeypatch, "x" * 200_000)
        assert results == [_orders.StartResult.UNKNOWN] * START_COUNT
        assert took_s < rig.scheduler.cell.times.lease_s

    def test_a_lost_small_start_is_noticed_soon(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        executors.silent_to_starts.update(range(START_COUNT))
        results, took_s = self._send_starts(rig, monkeypatch, "x" * 100)
        assert results == [_orders.StartResult.UNKNOWN] * START_COUNT
        assert took_s < _order_sender.ORDER_TIMEOUT_S + 0.3

    def test_lost_starts_lengthen_the_time_until_the_next_is_noticed(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        executors.silent_to_starts.update(range(0, START_COUNT, 2))
        began_s_by_run: dict[int, float] = {}
        took_s_by_run: dict[int, float] = {}

        def note(
            order: _orders.StartOrder,
            result: _orders.StartResult,
            _now: _time.Now,
            **_: bool,
        ) -> None:
            if int(order.executor[2:]) in executors.silent_to_starts:
                assert result is not _orders.StartResult.STARTED
                took_s = time.monotonic() - began_s_by_run[order.run]
                took_s_by_run[order.run] = took_s

        monkeypatch.setattr(rig.scheduler, "handle_start_answer", note)
        for number in range(LOST_ROUNDS):
            first_run = number * START_COUNT
            began_s_by_run.update(
                (first_run + each, time.monotonic())
                for each in range(START_COUNT)
            )
            self._order_starts(
                rig, "x" * LOST_PAYLOAD_CHARS, range(START_COUNT), first_run
            )
            rig.run_until(lambda: False, limit_s=LOST_ROUND_S)
        lost_count = LOST_ROUNDS * len(executors.silent_to_starts)
        rig.run_until(lambda: len(took_s_by_run) == lost_count, limit_s=4.5)
        assert len(took_s_by_run) == lost_count
        # The bodies of one round take 0.4 s over the narrowest link that is
        # reckoned with.
        assert max(took_s_by_run.values()) < (
            _order_sender.ORDER_TIMEOUT_S + 0.4 + 0.3
        )

    def test_a_lost_start_is_noticed_late_after_the_loss_of_large_ones(
        self,
        rig: order_rig.OrderRig,
        executors: linked_executors.LinkedExecutors,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        executors.silent_to_starts.update(range(START_COUNT))
        results: list[int] = []
        monkeypatch.setattr(
            rig.scheduler,
            "handle_start_answer",
            lambda order, _result, _now, **_: results.append(order.run),
        )
        # Sent within 2.5 s over a slow link, and given up after 3.4 s.
        self._order_starts(rig, "x" * START_PAYLOAD_CHARS, range(10))
        rig.run_until(lambda: False, limit_s=2.6)
        self._order_starts(rig, "x" * 100, [10])
        started_s = time.monotonic()
        rig.run_until(lambda: 10 in results, limit_s=4.5)
        took_s = time.monotonic() - started_s
        assert took_s < _order_sender.ORDER_TIMEOUT_S + 0.3


@pytest.fixture
def cut_platform() -> Iterator[platform_standin.Platform]:
    """A platform of two executors."""
    platform = platform_standin.Platform(executors=2)
    yield platform
    platform.close()


@pytest.fixture
def proxies(
    rig: order_rig.OrderRig, cut_platform: platform_standin.Platform
) -> Iterator[list[cutting_proxy.CuttingProxy]]:
    """Proxies to the executors, in their order; the rig lists them."""
    proxies = [
        cutting_proxy.CuttingProxy(each.httpd.server_address[1])
        for each in cut_platform.executors
    ]
    rig.list_executors(
        build.executor_entry(each.id, address=f"127.0.0.1:{proxy.port}")
        for each, proxy in zip(cut_platform.executors, proxies, strict=True)
    )
    rig.run_until(lambda: rig.count_answering() == 2, limit_s=2.0)
    yield proxies
    for proxy in proxies:
        proxy.close()


class TestCutExecutors:
    """A start whose connection was lost after sending may have been begun."""

    def _lose_start(
        self, rig: order_rig.OrderRig, proxies: list[cutting_proxy.CuttingProxy]
    ) -> cutting_proxy.CuttingProxy:
        """Submits a job whose start is lost; returns the proxy that lost it."""
        for proxy in proxies:
            proxy.cut_at_next("/run-start", CUT_S)
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True), payload="lasts"
            )
        )
        rig.run_until(
            lambda: any(each.lost_paths for each in proxies), limit_s=2.0
        )
        return next(each for each in proxies if each.lost_paths)

    def test_a_start_lost_after_sending_is_unsettled_until_it_is_listed(
        self,
        rig: order_rig.OrderRig,
        cut_platform: platform_standin.Platform,
        proxies: list[cutting_proxy.CuttingProxy],
    ) -> None:
        cut = self._lose_start(rig, proxies)
        phases: list[_runs.RunPhase] = []

        def note_phase() -> bool:
            (run,) = rig.list_runs()
            if run.phase not in phases:
                phases.append(run.phase)
            return run.phase is _runs.RunPhase.RUNNING

        rig.run_until(note_phase, limit_s=CUT_S + 2.0)
        assert phases[-2:] == [
            _runs.RunPhase.UNSETTLED,
            _runs.RunPhase.RUNNING,
        ]
        assert not cut.is_cut
        assert len(cut_platform.starts) == 1

    def test_a_start_that_was_not_begun_is_barred_before_another(
        self,
        rig: order_rig.OrderRig,
        cut_platform: platform_standin.Platform,
        proxies: list[cutting_proxy.CuttingProxy],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        calls: list[tuple[str, str, int]] = []

        def record(
            executor: platform_standin.Executor, path: str, body: dict[str, Any]
        ) -> tuple[int, Any]:
            if path != "/hold":
                calls.append((executor.id, path, body["Run"]))
            return answer(executor, path, body)

        answer = platform_standin.Executor.answer
        monkeypatch.setattr(platform_standin.Executor, "answer", record)
        for proxy in proxies:
            proxy.loses_requests = True
        cut = self._lose_start(rig, proxies)
        (lost,) = rig.list_runs()
        for proxy in proxies:
            proxy.cut_at_next("", 0.0)
            proxy.loses_requests = False
        rig.run_until(lambda: bool(cut_platform.starts), limit_s=CUT_S + 2.0)
        assert calls[0] == (lost.executor, "/run-stop", lost.number)
        assert [path for _, path, _ in calls[1:]] == ["/run-start"]
        assert calls[1][2] > lost.number
        assert not cut.is_cut


class TestRestartUnderAnId:
    """The clock in any answer shows a restart that no renewal has shown."""

    def test_the_answer_to_a_start_shows_it(
        self,
        rig: order_rig.OrderRig,
        cut_platform: platform_standin.Platform,
        proxies: list[cutting_proxy.CuttingProxy],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        for each in cut_platform.executors:
            each.born_s -= 60.0
        rig.count_answers_for(1.2)
        monkeypatch.setattr(
            _renewals.LeaseRenewals, "_send_renewal", lambda *_: None
        )
        # A start then finds a connection that is open and free.
        states = rig.scheduler.cell.executor_by_id.values()
        rig.run_until(
            lambda: all(each.renewal_sent_s is None for each in states),
            limit_s=2.0,
        )
        for each in cut_platform.executors:
            each.born_s += 60.0
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True), payload="lasts"
            )
        )
        rig.run_until(
            lambda: any(each.clock.restarts for each in states), limit_s=2.0
        )
        (run,) = rig.list_runs()
        executor = rig.scheduler.cell.executor_by_id[run.executor]
        assert executor.clock.clock_ms < 60_000
        longest_s = rig.scheduler.cell.times.longest_lease_s
        assert executor.lease_left_s() == longest_s
