"""Tests of the time after which a term without progress is given up."""

from basiljunction.coordination.leadership import _term_progress

_LIMIT_S = _term_progress.STALL_LIMIT_S
_STEP_S = 0.1


def _is_stalled_after(
    seconds: float,
    *,
    is_confirmed: bool = True,
    bytes_per_s: float = 0.0,
    given_up_terms: int = 0,
) -> bool:
    """Returns whether a term that reads for some seconds counts as stalled."""
    watch = _term_progress.ProgressWatch()
    for step in range(round(seconds / _STEP_S) + 1):
        now_s = step * _STEP_S
        progress = _term_progress.TermProgress(
            _term_progress.TermStage.READING,
            bytes_read=int(now_s * bytes_per_s),
        )
        watch.observe(1, progress, now_s, is_confirmed=is_confirmed)
    return watch.is_stalled(now_s, given_up_terms)


class TestProgressWatch:
    """Only a term that does not advance although it is renewed is stalled."""

    def test_a_term_without_progress_is_stalled(self) -> None:
        assert not _is_stalled_after(_LIMIT_S - 0.2)
        assert _is_stalled_after(_LIMIT_S + 0.2)

    def test_a_slow_link_that_advances_is_left_alone(self) -> None:
        assert not _is_stalled_after(30, bytes_per_s=10_000)

    def test_a_few_bytes_more_at_each_attempt_are_no_progress(self) -> None:
        assert _is_stalled_after(_LIMIT_S + 0.2, bytes_per_s=100)

    def test_an_impaired_store_does_not_make_terms_change_hands(self) -> None:
        assert not _is_stalled_after(30, is_confirmed=False)

    def test_a_term_that_is_confirmed_late_at_times_is_stalled(self) -> None:
        """Else a holder with a busy link keeps a term that never answers."""
        watch = _term_progress.ProgressWatch()
        progress = _term_progress.TermProgress(_term_progress.TermStage.READING)
        steps = round(1.5 * _LIMIT_S / _STEP_S)
        for step in range(steps):
            is_confirmed = step % 25 != 24
            watch.observe(
                1, progress, step * _STEP_S, is_confirmed=is_confirmed
            )
        assert watch.is_stalled(steps * _STEP_S, 0)

    def test_unconfirmed_time_does_not_count(self) -> None:
        """Else an outage of the store takes a term that had just begun."""
        watch = _term_progress.ProgressWatch()
        progress = _term_progress.TermProgress(_term_progress.TermStage.READING)
        watch.observe(1, progress, 0.0, is_confirmed=True)
        watch.observe(1, progress, 2.0, is_confirmed=True)
        watch.observe(1, progress, 12.0, is_confirmed=False)
        watch.observe(1, progress, 12.5, is_confirmed=True)
        assert not watch.is_stalled(12.5, 0)
        watch.observe(1, progress, 13.5, is_confirmed=True)
        assert watch.is_stalled(13.5, 0)

    def test_a_term_that_is_never_confirmed_is_not_held_for_ever(self) -> None:
        """The holder's own link may be the cause."""
        limit_s = _LIMIT_S + _term_progress.MAX_PAUSE_S
        assert not _is_stalled_after(limit_s - 0.2, is_confirmed=False)
        assert _is_stalled_after(limit_s + 0.2, is_confirmed=False)

    def test_progress_begins_another_pause(self) -> None:
        """Else a long recovery beside outages loses its term at the next."""
        watch = _term_progress.ProgressWatch()
        for page in range(5):
            progress = _term_progress.TermProgress(
                _term_progress.TermStage.READING, pages=page
            )
            begin_s = page * _term_progress.MAX_PAUSE_S
            watch.observe(1, progress, begin_s, is_confirmed=False)
            end_s = begin_s + _term_progress.MAX_PAUSE_S - _STEP_S
            watch.observe(1, progress, end_s, is_confirmed=False)
            assert not watch.is_stalled(end_s, 0)

    def test_a_few_bad_instances_in_a_row_are_left_soon(self) -> None:
        terms = _term_progress.TERMS_PER_DOUBLING - 1
        assert _is_stalled_after(_LIMIT_S + 0.2, given_up_terms=terms)

    def test_terms_change_hands_less_often_if_no_instance_advances(
        self,
    ) -> None:
        terms = _term_progress.TERMS_PER_DOUBLING
        assert not _is_stalled_after(2 * _LIMIT_S - 0.2, given_up_terms=terms)
        assert _is_stalled_after(2 * _LIMIT_S + 0.2, given_up_terms=terms)

    def test_the_doubling_ends(self) -> None:
        limit_s = _LIMIT_S * 2**_term_progress.MAX_DOUBLINGS
        assert _is_stalled_after(limit_s + 0.2, given_up_terms=10**9)

    def test_a_term_that_answers_calls_is_not_stalled(self) -> None:
        watch = _term_progress.ProgressWatch()
        progress = _term_progress.TermProgress(
            _term_progress.TermStage.ANSWERING
        )
        watch.observe(1, progress, 0.0, is_confirmed=True)
        watch.observe(1, progress, 30.0, is_confirmed=True)
        assert not watch.is_stalled(30.0, 0)
