"""Tests of the demo cluster harness with real processes."""

import dataclasses
import pathlib
import socket

import pytest

from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _ports

pytestmark = pytest.mark.processes

SMALL_DEPLOYMENT = dataclasses.replace(
    _deployments.KOWHAI, entry_instances=3, workers=3
)


class TestPorts:
    """An instance whose port is already in use is given another port."""

    def test_taken(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            free_ports = _ports.reserve_free_ports
            first = iter([[port, *free_ports(1)]])
            monkeypatch.setattr(
                _ports,
                "reserve_free_ports",
                lambda count: next(first, None) or free_ports(count),
            )
            cluster = _cluster.Cluster(SMALL_DEPLOYMENT, tmp_path, seed=1)
            try:
                cluster.start_all()
                cluster.wait_until_ready()
                ports = [e.http_port for e in cluster.instance_by_name.values()]
            finally:
                cluster.kill_all()
        assert port not in ports
