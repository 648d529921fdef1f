"""Tests of the bounded buffer of decisions."""

from basiljunction.coordination import _events
from basiljunction.coordination import _explain_ring
from basiljunction.state import _time


class TestBounds:
    """The number of lines per subject and of subjects is bounded."""

    def test_newest_lines_are_kept(self) -> None:
        ring = _explain_ring.RecentDecisions(instance="a", max_lines=2)
        for number in range(5):
            explain = _events.Explain("job/day", f"step-{number}", "")
            ring.add_decision(explain, _time.Now(0.0, float(number)))
        kept = [line.decision for line in ring.decisions_about("job/day")]
        assert kept == ["step-3", "step-4"]

    def test_oldest_subject_goes(self) -> None:
        ring = _explain_ring.RecentDecisions(instance="a", max_subjects=2)
        for subject in ("one", "two", "one", "three"):
            ring.add_decision(
                _events.Explain(subject, "x", ""), _time.Now(0.0, 0.0)
            )
        assert ring.decisions_about("two") == ()
        assert len(ring.decisions_about("one")) == 2


class TestMerge:
    """Lines of several instances are sorted by time, without duplicates."""

    def test_merge(self) -> None:
        early = _explain_ring.ExplainLine(1.0, "b", "job", "claim", "")
        late = _explain_ring.ExplainLine(2.0, "a", "job", "started", "")
        merged = _explain_ring.merge_decisions((late, early), (early,))
        assert merged == (early, late)
        assert _explain_ring.decode_explain_line(late.to_json()) == late
