"""Tests of when the records of terms were read."""

from basiljunction.coordination.leadership import _term_history


class TestWrittenBy:
    """A record had been written when it or a later one was first read."""

    def test_the_first_read_counts(self) -> None:
        history = _term_history.TermHistory()
        history.record(1, 0, 10.0)
        history.record(1, 0, 11.0)
        assert history.written_by_s(1, 0) == 10.0

    def test_a_later_record_shows_that_it_was_written(self) -> None:
        history = _term_history.TermHistory()
        history.record(1, 3, 10.0)
        history.record(2, 0, 12.0)
        assert history.written_by_s(1, 2) == 10.0
        assert history.written_by_s(1, 9) == 12.0

    def test_a_record_that_was_not_read_has_no_time(self) -> None:
        history = _term_history.TermHistory()
        assert history.written_by_s(1, 0) is None
        history.record(1, 0, 10.0)
        assert history.written_by_s(1, 1) is None

    def test_an_older_record_that_is_read_late_changes_nothing(self) -> None:
        history = _term_history.TermHistory()
        history.record(2, 0, 10.0)
        history.record(1, 5, 11.0)
        assert history.written_by_s(2, 0) == 10.0

    def test_old_records_are_forgotten_but_their_times_are_not_earlier(
        self,
    ) -> None:
        history = _term_history.TermHistory()
        for beat in range(100):
            history.record(1, beat, float(beat))
        written_s = history.written_by_s(1, 0)
        assert written_s is not None
        assert 0.0 < written_s < 99.0 - _term_history.RETENTION_S + 1.0
        assert history.written_by_s(1, 95) == 95.0
