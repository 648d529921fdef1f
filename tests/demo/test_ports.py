"""Tests of the reservation of free ports."""

import random
import socket
import subprocess
import sys

from basiljunction.demo import _ports


class TestFreePorts:
    """Reserved ports are free, unique and below the ephemeral range."""

    def test_port_in_use_is_not_chosen(self) -> None:
        seed = 7
        (first,) = _ports.reserve_free_ports(1, random.Random(seed))
        with socket.socket() as taken:
            taken.bind((_ports.HOST, first))
            (second,) = _ports.reserve_free_ports(1, random.Random(seed))
        assert second != first

    def test_a_port_is_chosen_once_before_anybody_listens(self) -> None:
        """Two runs reserve ports concurrently; no port is listened on yet."""
        seed = 11
        first = _ports.reserve_free_ports(3, random.Random(seed))
        second = _ports.reserve_free_ports(3, random.Random(seed))
        assert not set(first) & set(second)

    def test_another_process_does_not_choose_it_either(self) -> None:
        seed = 13
        first = _ports.reserve_free_ports(3, random.Random(seed))
        code = (
            "import random; from basiljunction.demo import _ports; "
            f"print(*_ports.reserve_free_ports(3, random.Random({seed})))"
        )
        run = subprocess.run(  # noqa: S603 - this project's own code
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            text=True,
        )
        assert not set(first) & {int(each) for each in run.stdout.split()}

    def test_ports_stay_below_the_ephemeral_range(self) -> None:
        ports = _ports.reserve_free_ports(20, random.Random(1))
        assert len(set(ports)) == 20
        assert max(ports) < 32768
