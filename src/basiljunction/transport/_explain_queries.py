"""Collects the recent decisions about a subject from all instances."""

import dataclasses
import itertools

from basiljunction.coordination import _events
from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _messages
from basiljunction.state import _time
from basiljunction.transport import _state_messages

MAX_PEER_WAIT_S = 0.5
"""Longest wait for peer replies, in seconds; the query then replies with the
decisions that have arrived."""

MAX_OPEN_QUERIES = 256
"""Limit of open queries; more are answered with local decisions only."""

ExplainLines = tuple[_explain_ring.ExplainLine, ...]
"""Recorded decisions about tasks, jobs or requests, from any instance."""


@dataclasses.dataclass(slots=True)
class _OpenQuery:
    """An explain query that waits for replies from peers.

    Attributes:
        request: The caller's request and its reply future.
        lines: Decisions collected so far.
        waiting_peers: Peers that have not replied.
        deadline_boot_s: Boot time at which the query replies regardless.
    """

    request: _state_messages.ExplainRequested
    lines: ExplainLines
    waiting_peers: set[str]
    deadline_boot_s: float


class ExplainQueries:
    """Runs explain queries against peers, and answers queries from peers.

    Args:
        instance: Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._numbers = itertools.count(1)
        self._open_by_id: dict[str, _OpenQuery] = {}

    def start_query(
        self,
        request: _state_messages.ExplainRequested,
        own_decisions: ExplainLines,
        peers: set[str],
        now: _time.Now,
    ) -> list[_events.SendPeer]:
        """Starts a query to all peers; replies at once if it cannot ask any.

        Args:
            request: The subject, and the future for the reply.
            own_decisions: Decisions of this instance about the subject.
            peers: Names of the other members.
            now: Current time.

        Returns:
            The messages to send.
        """
        if not peers or len(self._open_by_id) >= MAX_OPEN_QUERIES:
            request.reply.set_result(own_decisions)
            return []
        query_id = f"{self._instance}-{next(self._numbers)}"
        ends_boot_s = now.boot_s + MAX_PEER_WAIT_S
        self._open_by_id[query_id] = _OpenQuery(
            request, own_decisions, set(peers), ends_boot_s
        )
        wanted = _messages.ExplainWanted(
            query_id, self._instance, request.subject
        )
        return [_events.SendPeer(peer, wanted) for peer in sorted(peers)]

    def answer_peer_query(
        self, wanted: _messages.ExplainWanted, own_decisions: ExplainLines
    ) -> list[_events.SendPeer]:
        """Returns a reply with local decisions to a peer's query."""
        lines = tuple(line.to_json() for line in own_decisions)
        reply = _messages.ExplainReply(wanted.query_id, self._instance, lines)
        return [_events.SendPeer(wanted.sender, reply)]

    def add_peer_reply(self, reply: _messages.ExplainReply) -> None:
        """Adds a peer's reply to its query; ignores late and repeated ones."""
        query = self._open_by_id.get(reply.query_id)
        if query is None or reply.sender not in query.waiting_peers:
            return
        query.waiting_peers.discard(reply.sender)
        query.lines += _decode_lines(reply.lines)
        if not query.waiting_peers:
            self._reply_and_close(reply.query_id)

    def close_overdue_queries(self, now: _time.Now) -> None:
        """Closes overdue queries with the decisions that have arrived."""
        for query_id, query in list(self._open_by_id.items()):
            if now.boot_s >= query.deadline_boot_s:
                self._reply_and_close(query_id)

    def _reply_and_close(self, query_id: str) -> None:
        """Resolves a query's reply with the merged decisions."""
        query = self._open_by_id.pop(query_id)
        query.request.reply.set_result(
            _explain_ring.merge_decisions(query.lines)
        )


def _decode_lines(texts: tuple[str, ...]) -> ExplainLines:
    """Decodes a peer's decisions; malformed ones are skipped."""
    lines = []
    for text in texts:
        try:
            lines.append(_explain_ring.decode_explain_line(text))
        except ValueError:
            continue
    return tuple(lines)
