"""Bounded store of recent decisions about tasks, jobs and requests."""

import collections
import dataclasses
import json

from basiljunction.coordination import _events
from basiljunction.state import _time

MAX_LINES = 48
"""Maximum number of decisions kept for each subject."""

MAX_SUBJECTS = 20_000
"""Maximum number of subjects; the least recently updated is evicted."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainLine:
    """One decision about a task, job or request.

    Attributes:
        wall_s: Unix time of the decision in seconds.
        instance: Name of the instance that decided.
        subject: Task, job or request id.
        decision: Kind of decision, a few words in kebab case.
        detail: Human-readable explanation with the values it was based on.
    """

    wall_s: float
    instance: str
    subject: str
    decision: str
    detail: str

    def to_json(self) -> str:
        """Returns the decision encoded as one line of JSON."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)


def decode_explain_line(text: str) -> ExplainLine:
    """Decodes a decision encoded by ``ExplainLine.to_json``.

    Raises:
        ValueError: The text is not such an encoding.
    """
    try:
        return ExplainLine(**json.loads(text))
    except TypeError as error:
        raise ValueError(str(error)) from error


class RecentDecisions:
    """Keeps the newest decisions about each subject, in bounded memory.

    Args:
        instance: Name of the instance that decides.
        max_lines: Maximum number of decisions kept for each subject.
        max_subjects: Maximum number of subjects; the least recently updated
            one is evicted.
    """

    def __init__(
        self,
        *,
        instance: str,
        max_lines: int = MAX_LINES,
        max_subjects: int = MAX_SUBJECTS,
    ) -> None:
        self._instance = instance
        self._max_lines = max_lines
        self._max_subjects = max_subjects
        self._lines_by_subject: collections.OrderedDict[
            str, collections.deque[ExplainLine]
        ] = collections.OrderedDict()

    def add_decision(self, explain: _events.Explain, now: _time.Now) -> None:
        """Stores one decision, evicting the oldest if a limit is reached."""
        subject = explain.subject
        lines = self._lines_by_subject.get(subject)
        if lines is None:
            lines = collections.deque(maxlen=self._max_lines)
            self._lines_by_subject[subject] = lines
        self._lines_by_subject.move_to_end(subject)
        line = ExplainLine(
            wall_s=now.wall_s,
            instance=self._instance,
            subject=subject,
            decision=explain.decision,
            detail=explain.detail,
        )
        lines.append(line)
        if len(self._lines_by_subject) > self._max_subjects:
            self._lines_by_subject.popitem(last=False)

    def decisions_about(self, subject: str) -> tuple[ExplainLine, ...]:
        """Returns the stored decisions about a subject, oldest first."""
        return tuple(self._lines_by_subject.get(subject, ()))


def merge_decisions(
    *sources: tuple[ExplainLine, ...],
) -> tuple[ExplainLine, ...]:
    """Returns the decisions of several instances, sorted by time.

    Duplicates are removed.
    """
    lines = {line for source in sources for line in source}
    return tuple(sorted(lines, key=lambda line: (line.wall_s, line.instance)))
