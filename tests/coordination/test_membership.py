"""Tests of the phases of an instance."""

import random

from basiljunction.coordination import _membership
from basiljunction.coordination import _timing
import builders


def _membership_of() -> _membership.Membership:
    identity = _timing.InstanceIdentity(
        instance="i1",
        zone="dunedin",
        group="south",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )
    return _membership.Membership(identity, random.Random(1))


class TestSettled:
    """Any own record may be read back, also one that it does not follow."""

    def test_contract(self) -> None:
        membership = _membership_of()
        membership.record_settled(builders.published())
        membership.record_drop(builders.published())
        assert not membership.has_pending_departure
