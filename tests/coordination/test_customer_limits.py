"""Tests of limits that apply to a customer across all instances."""

from basiljunction.coordination import _customer_limits
from basiljunction.coordination import _messages
from basiljunction.coordination import _views
from basiljunction.state import _outcomes
import builders
import urgent_builders

_INSTANCES = tuple(f"i{number}" for number in range(4))
# Boot time from which a new home instance may lend shares.
_AFTER_GUARD_S = 102.0


class Instances:
    """Four instances that exchange limit demands and grants."""

    def __init__(self, **changes: float) -> None:
        """Creates the instances with one contract."""
        self.boot_s = 100.0
        self.contract = builders.contract(**changes)
        self.limits_by_name = {
            name: _customer_limits.CustomerLimits(name) for name in _INSTANCES
        }
        for name, limits in self.limits_by_name.items():
            limits.update_limits(self._view(name), self.boot_s)

    def request_share(self, name: str) -> None:
        """Lets an instance demand a share and receive the grant."""
        demands = self.limits_by_name[name].demand_share(
            "kowhai", 50, self.boot_s
        )
        for demand in demands:
            home = self.limits_by_name[demand.instance]
            assert isinstance(demand.message, _messages.LimitDemand)
            for grant in home.answer_demand(demand.message, self.boot_s):
                assert isinstance(grant.message, _messages.LimitGrant)
                self.limits_by_name[name].apply_grant(
                    grant.message, self.boot_s
                )

    def count_admitted(self, name: str, tries: int) -> int:
        """Returns how many of `tries` requests an instance admits at once."""
        count = 0
        for _ in range(tries):
            if (
                self.limits_by_name[name].take_token_or_refuse(
                    "kowhai", self.boot_s
                )
                is None
            ):
                self.limits_by_name[name].count_started_request("kowhai")
                count += 1
        return count

    def _view(self, name: str) -> _views.FleetView:
        """Returns the fleet as seen by an instance."""
        return urgent_builders.fleet_view(
            instance=name,
            contract_by_customer={"kowhai": self.contract},
            peer_by_instance={
                other: urgent_builders.peer_view(other)
                for other in _INSTANCES
                if other != name
            },
        )


def _make_instances(concurrency: int) -> Instances:
    """Returns instances limited by concurrency but not by rate."""
    return Instances(
        concurrency=concurrency, request_rate_per_s=1e6, request_burst=10_000
    )


class TestConcurrency:
    """All instances together admit no more than the contract allows."""

    def test_one_busy_instance_gets_what_the_others_leave(self) -> None:
        instances = _make_instances(40)
        instances.boot_s = _AFTER_GUARD_S
        assert instances.count_admitted("i1", 100) == 5
        instances.request_share("i1")
        assert instances.count_admitted("i1", 100) == 20

    def test_all_busy(self) -> None:
        instances = _make_instances(40)
        instances.boot_s = _AFTER_GUARD_S
        for name in _INSTANCES:
            instances.request_share(name)
        total = sum(instances.count_admitted(name, 100) for name in _INSTANCES)
        assert total == 40

    def test_new_home_lends_nothing_at_first(self) -> None:
        instances = _make_instances(40)
        instances.request_share("i1")
        assert instances.count_admitted("i1", 100) == 5

    def test_grant_runs_out(self) -> None:
        instances = _make_instances(40)
        instances.boot_s = _AFTER_GUARD_S
        instances.request_share("i1")
        instances.boot_s += 1.0
        assert instances.count_admitted("i1", 100) == 5

    def test_late_grant_counts_from_the_demand(self) -> None:
        instances = _make_instances(40)
        instances.boot_s = _AFTER_GUARD_S
        grant = _messages.LimitGrant(
            "i2", "kowhai", 1.0, 20, _AFTER_GUARD_S - 1.0
        )
        instances.limits_by_name["i1"].apply_grant(grant, _AFTER_GUARD_S)
        assert instances.count_admitted("i1", 100) == 5


class TestRate:
    """The instances share request rate and burst without exceeding them."""

    def test_burst_is_split(self) -> None:
        instances = Instances(concurrency=4000, request_burst=20)
        total = sum(instances.count_admitted(name, 100) for name in _INSTANCES)
        assert total == 20

    def test_rate_of_a_second(self) -> None:
        instances = Instances(
            concurrency=4000, request_rate_per_s=80.0, request_burst=4
        )
        instances.boot_s = _AFTER_GUARD_S
        for name in _INSTANCES:
            instances.count_admitted(name, 100)
            instances.request_share(name)
        total = 0
        for _ in range(90):
            instances.boot_s += 0.01
            total += sum(
                instances.count_admitted(name, 100) for name in _INSTANCES
            )
        assert 60 <= total <= 0.9 * 80 + 4

    def test_refusal_says_when(self) -> None:
        instances = Instances(concurrency=4000, request_burst=4)
        instances.count_admitted("i1", 100)
        over = instances.limits_by_name["i1"].take_token_or_refuse(
            "kowhai", instances.boot_s
        )
        assert over is not None
        assert over.reason is _outcomes.Reason.RATE_EXCEEDED
        assert over.retry_after_s == 1.0 / (0.5 * 100.0 / 4)
