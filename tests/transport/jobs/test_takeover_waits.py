"""Tests that a take-over without an outage waits for no leases of an outage.

Each wait that a scheduler adds for leases that nobody granted is a time in
which the lasting tasks of a lost executor have no run.
"""

import pathlib
import random

import pytest

import basiljunction
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.platform import _settings
from basiljunction.transport.jobs import _task_budgets
import grants_model

_ROOT = pathlib.Path(basiljunction.__file__).parents[2]
_SETTINGS = _settings.load_settings(
    _ROOT / "examples" / "platform" / "local.conf"
)

_SETTLED_S = 12.0
"""Time after which a term has outlasted everything before it, in seconds."""

_TAKE_OVER_S = 6.0
"""Longest time from the loss of a scheduler to the next term, in seconds."""

_LONGEST_GRANT_S = (
    _lease_grants.UNREPORTED_GRANT_S
    + _task_budgets.lose_executor_and_scheduler(_SETTINGS).room_s
)
"""Longest time for which leases may be taken to go on after the loss of a
scheduler, in seconds; with more, lasting tasks wait for longer than allowed."""

_SEEDS = range(5)


class _Fleet:
    """Instances without any fault but the loss of some of them.

    Args:
        seed: Seed of all delays.
        running: Number of instances that are up from the start.
        added: Number of instances that are not.
    """

    def __init__(self, seed: int, running: int, added: int = 0) -> None:
        self._model = grants_model.GrantsModel(
            random.Random(seed), running + added
        )
        self.instances = self._model.instances
        for each in self.instances[:running]:
            each.start()
        self.run(_SETTLED_S)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        network = self._model.network
        network.run_until(network.now_s + duration_s)

    def lose_scheduler(self) -> grants_model.Instance:
        """Kills the instance that schedules, and returns it."""
        [scheduling] = [each for each in self.instances if each.is_scheduling]
        scheduling.kill()
        return scheduling

    def count_longest_grant_s(self) -> float:
        """Returns for how long the next term takes leases to have gone on.

        In seconds from now, when the scheduler has been lost.
        """
        lost_s = self._model.network.now_s
        terms = len(self._model.assumptions)
        self.run(_TAKE_OVER_S)
        return self._model.assumptions[terms].last_grant_s - lost_s


@pytest.mark.parametrize("seed", _SEEDS)
class TestLossBesidePlannedWork:
    """The scheduler is lost while instances are added or started again."""

    @pytest.mark.parametrize("known_s", [1.5, 3.0])
    def test_an_added_instance_does_not_count_with_an_outage(
        self, seed: int, known_s: float
    ) -> None:
        fleet = _Fleet(seed, running=1, added=1)
        fleet.instances[1].start()
        fleet.run(known_s)
        fleet.lose_scheduler()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S

    def test_an_added_instance_leaves_the_term_to_one_that_knows_more(
        self, seed: int
    ) -> None:
        """It may not have been known to the scheduler that is lost."""
        fleet = _Fleet(seed, running=3, added=1)
        fleet.instances[3].start()
        fleet.run(0.25)
        fleet.lose_scheduler()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S

    @pytest.mark.parametrize("term_s", [0.5, 2.0, 4.0])
    def test_a_restart_beside_a_short_term_does_not_lengthen_the_next_wait(
        self, seed: int, term_s: float
    ) -> None:
        fleet = _Fleet(seed, running=3)
        first = fleet.lose_scheduler()
        while not any(each.is_scheduling for each in fleet.instances):
            fleet.run(0.1)
        first.start()
        fleet.run(term_s)
        fleet.lose_scheduler()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S

    def test_nor_does_one_beside_the_loss_of_all_others(
        self, seed: int
    ) -> None:
        """The scheduler before it had not renewed its term yet."""
        fleet = _Fleet(seed, running=2)
        first = fleet.lose_scheduler()
        while not any(each.is_scheduling for each in fleet.instances):
            fleet.run(0.1)
        first.start()
        fleet.run(0.4)
        fleet.lose_scheduler()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S

    @pytest.mark.parametrize("term_s", [0.1, 0.5])
    def test_nor_does_a_short_term_that_ends_with_its_process(
        self, seed: int, term_s: float
    ) -> None:
        fleet = _Fleet(seed, running=2)
        fleet.lose_scheduler()
        while not any(each.is_scheduling for each in fleet.instances):
            fleet.run(0.1)
        fleet.run(term_s)
        lost = fleet.lose_scheduler()
        fleet.run(0.4)
        lost.start()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S - 0.4

    def test_a_scheduler_that_starts_again_at_once_does_not_either(
        self, seed: int
    ) -> None:
        fleet = _Fleet(seed, running=3)
        lost = fleet.lose_scheduler()
        fleet.run(0.4)
        lost.start()
        assert fleet.count_longest_grant_s() <= _LONGEST_GRANT_S - 0.4
