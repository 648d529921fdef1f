"""Tests of the patience of lease renewals with late executors."""

from collections.abc import Iterable

from basiljunction.transport.jobs import _renewal_patience

EXECUTOR_COUNT = 30

SLOW_S = 1.0
"""Lateness of answers over a full link, in seconds."""


def record_round(
    patience: _renewal_patience.RenewalPatience,
    now_s: float,
    late: Iterable[int] = (),
    *,
    lateness_s: float | None = None,
) -> float:
    """Ends one renewal of each executor; returns the margin afterwards.

    Args:
        patience: The object under test.
        now_s: The time, in seconds.
        late: Numbers of the executors that are late.
        lateness_s: Their lateness, in seconds; None if they do not answer
            within the margin.
    """
    margin_s = patience.margin_s(now_s)
    for number in range(EXECUTOR_COUNT):
        executor = f"i-{number}"
        if number not in late:
            patience.record_answer(executor, 0.02, now_s)
        elif lateness_s is None:
            patience.record_failure(executor, margin_s, now_s)
        else:
            patience.record_answer(executor, lateness_s, now_s)
    return patience.margin_s(now_s + _renewal_patience.REVIEW_INTERVAL_S)


class TestRenewalPatience:
    """It grows only while a good share of all executors is late."""

    def test_a_silent_executor_does_not_delay_its_next_renewal(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        margins_s = [record_round(patience, n, [3]) for n in range(20)]
        assert set(margins_s) == {_renewal_patience.MIN_MARGIN_S}

    def test_a_silent_zone_does_not_delay_the_renewals_elsewhere(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        zone = range(EXECUTOR_COUNT // 3)
        margins_s = [record_round(patience, n, zone) for n in range(20)]
        assert set(margins_s) == {_renewal_patience.MIN_MARGIN_S}

    def test_a_cell_of_few_executors_that_fail_does_not_grow_patient(
        self,
    ) -> None:
        patience = _renewal_patience.RenewalPatience()
        for number in range(_renewal_patience.MIN_LATE_EXECUTORS - 1):
            patience.record_failure(f"i-{number}", 0.8, 0.0)
        assert patience.margin_s(1.0) == _renewal_patience.MIN_MARGIN_S

    def test_answers_of_all_that_come_late_are_soon_waited_for(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        margin_s = record_round(patience, 0.0, range(EXECUTOR_COUNT))
        assert margin_s > SLOW_S
        for n in range(1, 20):
            margin_s = record_round(
                patience, n, range(EXECUTOR_COUNT), lateness_s=SLOW_S
            )
            assert margin_s > SLOW_S

    def test_patience_stays_well_below_the_lease(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        for n in range(20):
            margin_s = record_round(patience, n, range(EXECUTOR_COUNT))
        assert margin_s == _renewal_patience.MAX_MARGIN_S

    def test_refused_connections_are_not_taken_for_late_answers(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        for number in range(EXECUTOR_COUNT):
            patience.record_failure(f"i-{number}", 0.01, 0.0)
        assert patience.margin_s(1.0) == _renewal_patience.MIN_MARGIN_S

    def test_patience_ends_with_the_first_round_that_is_in_time(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        for n in range(5):
            record_round(patience, n, range(EXECUTOR_COUNT))
        assert record_round(patience, 5.0) == _renewal_patience.MIN_MARGIN_S

    def test_executors_that_left_do_not_count(self) -> None:
        patience = _renewal_patience.RenewalPatience()
        record_round(patience, 0.0, range(EXECUTOR_COUNT))
        later_s = _renewal_patience.OUTCOME_MEMORY_S
        assert patience.margin_s(later_s) == _renewal_patience.MIN_MARGIN_S
