"""Tests of a claim that is repeated after the first one got no answer."""

import random

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.state.workload import _leadership

_CLAIMED_S = 2.0
"""Time of the first claim, in seconds."""

_REPEATED_S = 3.0
"""Time of the second claim, in seconds."""


def test_the_first_claim_is_recognised_when_it_is_read_back() -> None:
    """It was stored, and only its answer was lost."""
    grants = _lease_grants.GrantHistory(0.0)
    election = _election.Election(
        instance="a",
        incarnation=1,
        address="a:1",
        rng=random.Random(1),
        grants=grants,
    )
    grants.record_registration(0, 0.0)
    resigned = _leadership.Term(
        1, "b", 1, "b:1", beat=1, is_resigned=True, longest_run_s=1.0
    )
    election.apply_read(resigned, 1, 0.0)
    first = election.next_term_write(_CLAIMED_S)
    assert first is not None
    election.record_write_failure(_CLAIMED_S)
    assert election.next_term_write(_REPEATED_S) is not None
    election.record_write_conflict(_REPEATED_S)
    election.apply_read(first.term, 2, _REPEATED_S)
    assert election.is_leader
    assert election.is_confirmed(_REPEATED_S)
