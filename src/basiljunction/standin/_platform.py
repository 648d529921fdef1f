"""Stand-in for the platform's list of instances, which lags behind."""

import threading
import time
from typing import Any

from werkzeug import wrappers

from basiljunction.standin import _server


class InstanceListStandIn(_server.StandIn):
    """Simulates the platform's list of instances, with delayed changes.

    Args:
        instances: Initial list of live and leaving instances.
        lag_s: Delay until a change becomes visible, in seconds.
    """

    def __init__(
        self, instances: list[dict[str, Any]], *, lag_s: float = 0.0
    ) -> None:
        super().__init__("")
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._timed_lists = [(0.0, instances)]
        self._visible_instances = instances
        self._visible_as_of_s = time.time()

    def handle(self, request: wrappers.Request, path: str) -> wrappers.Response:
        """Answers ``GET /instances`` and ``POST /set``."""
        if path == "/set" and request.method == "POST":
            return self._handle_set(request.get_json(force=True)["instances"])
        if path == "/instances" and request.method == "GET":
            return self._handle_list()
        return _server.json_response({"reason": "no such call"}, status=404)

    def _handle_set(self, instances: list[dict[str, Any]]) -> wrappers.Response:
        """Replaces the list; the change becomes visible after the lag."""
        with self._lock:
            self._timed_lists.append((time.time(), instances))
        leaving = [each["name"] for each in instances if each.get("leaving")]
        names = [each["name"] for each in instances]
        self.journal.add("set", names=names, leaving=leaving)
        return _server.json_response({"instances": len(instances)})

    def _handle_list(self) -> wrappers.Response:
        """Answers the list as it was ``lag_s`` ago.

        While the fault ``stale`` is on, the answer does not change.
        """
        with self._lock:
            if not self.faults.is_on("stale"):
                self._visible_as_of_s = time.time() - self._lag_s
                self._visible_instances = next(
                    instances
                    for since_s, instances in reversed(self._timed_lists)
                    if since_s <= self._visible_as_of_s
                )
            body = {
                "as_of": self._visible_as_of_s,
                "instances": self._visible_instances,
            }
        return _server.json_response(body)
