"""Tests of the bounded buffer of decisions."""

from basiljunction.coordination import _events
from basiljunction.coordination import _explain_ring
from basiljunction.state import _time


class TestBounds:
    """The number of lines per subject and of subjects is bounded."""

    def test_newest_lines_are_kept(self) -> None:
        ring = _explain_ring.ExplainRing(instance="a", max_lines=2)
        for number in range(5):
            explain = _events.Explain("job/day", f"step-{number}", "")
            ring.add(explain, _time.Now(0.0, float(number)))
        kept = [line.decision for line in ring.lines("job/day")]
        assert kept == ["step-3", "step-4"]

    def test_oldest_subject_goes(self) -> None:
        ring = _explain_ring.ExplainRing(instance="a", max_subjects=2)
        for subject in ("one", "two", "one", "three"):
            ring.add(_events.Explain(subject, "x", ""), _time.Now(0.0, 0.0))
        assert ring.lines("two") == ()
        assert len(ring.lines("one")) == 2


class TestMerge:
    """Lines of several instances are sorted by time, without duplicates."""

    def test_merge(self) -> None:
        early = _explain_ring.ExplainLine(1.0, "b", "job", "claim", "")
        late = _explain_ring.ExplainLine(2.0, "a", "job", "started", "")
        merged = _explain_ring.merge((late, early), (early,))
        assert merged == (early, late)
        assert _explain_ring.line_from_json(late.to_json()) == late
