"""Tests of the membership phases of an instance."""

import random

from basiljunction.coordination import _membership
from basiljunction.coordination import _timing
import builders


def _make_membership() -> _membership.Membership:
    """Returns the membership of an instance that has not joined."""
    identity = _timing.InstanceIdentity(
        instance="i1",
        zone="dunedin",
        group="south",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )
    return _membership.Membership(identity, random.Random(1))


class TestSettled:
    """Own records that membership does not track are ignored."""

    def test_contract(self) -> None:
        membership = _make_membership()
        membership.record_settled(builders.contract_published())
        membership.record_drop(builders.contract_published())
        assert not membership.has_pending_departure
