"""Tests of claims that take effect after their process reported an outage.

A claim tells for how long schedulers of earlier terms may grant leases. A
report of an outage that is given after it was sent lets these go on for longer.
"""

from collections.abc import Callable
import random
from typing import Any

import pytest

from basiljunction.coordination.leadership import _lease_grants
import grants_model
import grants_network

_SETTLED_S = 12.0
"""Time after which a term has outlasted everything before it, in seconds."""

_READ_S = 0.3
"""Time in which a process that starts has read the topic, in seconds."""

_STEP_S = 0.02
"""Time between two looks at a condition, in seconds."""

_LONGEST_STEP_COUNT = 500
"""Number of looks after which a condition counts as one that stays."""

_AFTERMATH_S = 4.0
"""Time in which the next term begins and leases end, in seconds."""


class _Fleet:
    """Two instances, of which the scheduling one loses the store.

    Args:
        seed: Seed of all delays.
    """

    def __init__(self, seed: int) -> None:
        self.model = grants_model.GrantsModel(random.Random(seed), 2)
        self.network = self.model.network
        self.network.refuses = True
        for each in self.model.instances:
            each.start()
        self.run(_SETTLED_S)
        [self.scheduling] = [
            each for each in self.model.instances if each.is_scheduling
        ]
        [self.other] = [
            each for each in self.model.instances if not each.is_scheduling
        ]
        self.late_write: Callable[[], object] | None = None

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        self.network.run_until(self.network.now_s + duration_s)

    def run_while(self, condition: Callable[[], bool]) -> None:
        """Lets time pass while a condition holds."""
        for _ in range(_LONGEST_STEP_COUNT):
            if not condition():
                return
            self.run(_STEP_S)
        pytest.fail("the condition held on")

    def run_until_grants_go_on(self) -> None:
        """Lets time pass until a report lets leases go on, if any does."""
        granted_s = max(self.model.last_grant_s_by_epoch.values())
        end_s = self.network.now_s + _lease_grants.MAX_GRANT_S
        while self.network.now_s < end_s:
            self.run(_STEP_S)
            last_s = max(self.model.last_grant_s_by_epoch.values())
            if last_s > granted_s:
                return

    def cut(self, instance: grants_model.Instance) -> None:
        """Lets nothing pass between an instance and the store."""
        self.network.cuts |= {
            (instance.name, grants_network.STORE),
            (grants_network.STORE, instance.name),
        }

    def join(self, instance: grants_model.Instance) -> None:
        """Ends the cut of an instance."""
        self.network.cuts -= {
            (instance.name, grants_network.STORE),
            (grants_network.STORE, instance.name),
        }

    def hold_next_claim(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Lets the store keep the next write for later, without an answer."""
        append = self.network.append

        def hold(query: dict[str, str], body: bytes) -> tuple[int, Any]:
            if self.late_write is not None:
                return append(query, body)
            self.late_write = lambda: append(query, body)
            return 503, {}

        monkeypatch.setattr(self.network, "append", hold)


@pytest.mark.parametrize("seed", range(5))
class TestReportAfterClaim:
    """The model raises an error if a lease is granted later than assumed."""

    def test_a_late_claim_of_the_process_before_does_not_hide_a_report(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet = _Fleet(seed)
        fleet.cut(fleet.scheduling)
        fleet.hold_next_claim(monkeypatch)
        fleet.run_while(lambda: fleet.late_write is None)
        fleet.other.kill()
        fleet.other.start()
        fleet.run(_READ_S)
        fleet.cut(fleet.other)
        fleet.run_until_grants_go_on()
        fleet.join(fleet.other)
        assert fleet.late_write is not None
        fleet.late_write()
        fleet.run(_AFTERMATH_S)
        assert len(fleet.model.assumptions) > 1

    def test_a_claim_without_an_answer_counts_a_later_report(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The instance starts again before it has read its claim."""
        fleet = _Fleet(seed)
        fleet.cut(fleet.scheduling)
        fleet.hold_next_claim(monkeypatch)
        fleet.run_while(lambda: fleet.late_write is None)
        fleet.cut(fleet.other)
        fleet.run_until_grants_go_on()
        assert fleet.late_write is not None
        fleet.late_write()
        fleet.other.kill()
        fleet.join(fleet.other)
        fleet.other.start()
        fleet.run(_AFTERMATH_S)
        assert len(fleet.model.assumptions) > 1
