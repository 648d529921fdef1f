"""Tests of the adaptive timeout of calls to the store."""

import random

from basiljunction.transport.jobs import _call_pace

USUAL_ANSWER_S = 0.01  # response time of a healthy store


def _simulate_append(
    pace: _call_pace.AdaptiveTimeout,
    answer_s: float,
    lost_fraction: float,
    seed: int,
) -> tuple[float, int]:
    """Simulates one append that is retried after each timeout.

    Returns:
        The seconds until the answer and the number of attempts.
    """
    rng = random.Random(seed)
    elapsed_s, tries = 0.0, 0
    while True:
        tries += 1
        if answer_s <= pace.timeout_s and rng.random() >= lost_fraction:
            pace.record_answer(answer_s)
            return elapsed_s + answer_s, tries
        elapsed_s += pace.timeout_s
        pace.record_timeout()


class TestCallPace:
    """Lost answers keep the timeout short; slow answers lengthen it."""

    def test_half_of_the_answers_lost_delays_an_append_a_little(self) -> None:
        pace = _call_pace.AdaptiveTimeout()
        times = [
            _simulate_append(pace, USUAL_ANSWER_S, 0.5, seed)[0]
            for seed in range(200)
        ]
        assert sum(times) / len(times) < 0.4
        assert sorted(times)[100] < 0.2

    def test_a_slow_store_is_soon_asked_once_for_each_append(self) -> None:
        pace = _call_pace.AdaptiveTimeout()
        tries = [_simulate_append(pace, 0.25, 0.0, 0)[1] for _ in range(10)]
        assert tries[0] == 3
        assert tries[2:] == [1] * 8

    def test_a_store_that_recovers_is_called_quickly_again(self) -> None:
        pace = _call_pace.AdaptiveTimeout()
        for _ in range(10):
            _simulate_append(pace, 0.25, 0.0, 0)
        for _ in range(20):
            pace.record_answer(USUAL_ANSWER_S)
        assert pace.timeout_s == _call_pace.MIN_TIMEOUT_S

    def test_a_store_that_is_down_is_asked_once_a_second(self) -> None:
        pace = _call_pace.AdaptiveTimeout()
        for _ in range(50):
            pace.record_timeout()
        assert pace.timeout_s == _call_pace.MAX_TIMEOUT_S

    def test_a_body_adds_the_time_that_it_takes_over_a_slow_link(self) -> None:
        pace = _call_pace.AdaptiveTimeout()
        added_s = pace.timeout_for_body_s(125_000) - pace.timeout_s
        assert added_s == 125_000 / _call_pace.SLOW_LINK_BYTES_PER_S
        assert pace.timeout_for_body_s(0) == pace.timeout_s
