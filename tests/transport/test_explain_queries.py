"""Tests of collecting the decisions about a job from all instances."""

from concurrent import futures
from typing import Any

from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _messages
from basiljunction.state import _time
from basiljunction.transport import _explain_queries
from basiljunction.transport import _state_messages

_NOW = _time.Now(100.0, 1000.0)


def _make_line(instance: str, wall_s: float) -> _explain_ring.ExplainLine:
    """Returns a decision that an instance recorded at a wall clock time."""
    return _explain_ring.ExplainLine(wall_s, instance, "job-1", "claim", "")


class TestAsk:
    """A query returns, in order of time, the decisions received in time."""

    def _start_query(
        self, peers: set[str]
    ) -> tuple[_explain_queries.ExplainQueries, "futures.Future[Any]", str]:
        """Starts a query on instance "a"; returns its future and its ID."""
        queries = _explain_queries.ExplainQueries("a")
        reply: futures.Future[Any] = futures.Future()
        message = _state_messages.ExplainRequested("job-1", reply)
        sent = queries.start_query(
            message, (_make_line("a", 5.0),), peers, _NOW
        )
        query_id = ""
        for each in sent:
            assert isinstance(each.message, _messages.ExplainWanted)
            query_id = each.message.query_id
        return queries, reply, query_id

    def test_without_peers_it_is_answered_at_once(self) -> None:
        _, reply, _ = self._start_query(set())
        assert reply.result(0) == (_make_line("a", 5.0),)

    def test_lines_of_peers_come_in_order_of_time(self) -> None:
        queries, reply, query_id = self._start_query({"b", "c"})
        for name, wall_s in (("c", 9.0), ("b", 2.0)):
            line = _make_line(name, wall_s).to_json()
            queries.add_peer_reply(
                _messages.ExplainReply(query_id, name, (line,))
            )
        assert [line.instance for line in reply.result(0)] == ["b", "a", "c"]

    def test_doubled_and_damaged_answers_add_nothing(self) -> None:
        queries, reply, query_id = self._start_query({"b", "c"})
        for _ in range(2):
            queries.add_peer_reply(
                _messages.ExplainReply(query_id, "b", ("no json",))
            )
        assert not reply.done()
        queries.add_peer_reply(_messages.ExplainReply(query_id, "c", ()))
        assert reply.result(0) == (_make_line("a", 5.0),)

    def test_silent_peer_is_not_waited_for(self) -> None:
        queries, reply, _ = self._start_query({"b"})
        late_s = _NOW.boot_s + _explain_queries.MAX_PEER_WAIT_S
        queries.close_overdue_queries(_time.Now(late_s, 0.0))
        assert reply.result(0) == (_make_line("a", 5.0),)
