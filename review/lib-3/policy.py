"""Stand-in of the service at `Advice`, which approves executors for steps."""

import asyncio
import json
import time

import web


class Policy:
    """Approves every executor; a ticket holds for its life and step.

    It handles one call at a time, in turn.

    Attributes:
        free_jobs: Jobs of queues that need no ticket.
    """

    MAX_WAITING = 32

    def __init__(self, world, decision_s=0.1, per_worker_s=0.01, validity_s=5.0):
        self._world = world
        self._decision_s = decision_s
        self._per_worker_s = per_worker_s
        self._validity_s = validity_s
        self._lock = asyncio.Lock()
        self._waiting = 0
        self._tickets = {}
        self.free_jobs = set()
        self.server = None

    async def start(self):
        """Begins to serve, at a new address each time."""
        self.server = web.Server(self.handle)
        await self.server.start()

    def settings(self):
        """Returns the `Advice` of a queue in the configuration."""
        return {
            "DecisionMs": int(self._decision_s * 1000),
            "PerWorkerMs": int(self._per_worker_s * 1000),
            "ValidityMs": int(self._validity_s * 1000),
        }

    async def handle(self, request):
        if request.path != "/advise":
            return 404, b"{}"
        if self._waiting >= self.MAX_WAITING:
            return 429, b"{}"
        body = json.loads(request.body)
        step, workers = body["Step"], body["Workers"]
        self._waiting += 1
        try:
            async with self._lock:
                await asyncio.sleep(
                    self._decision_s + self._per_worker_s * len(workers)
                )
        finally:
            self._waiting -= 1
        by_id = {each.id: each for each in self._world.fleet.executors}
        good = []
        for name in workers:
            if name not in by_id:
                continue
            ticket = f"ticket-{len(self._tickets)}"
            ends_s = time.monotonic() + self._validity_s
            self._tickets[ticket] = (step, name, by_id[name].born_ms, ends_s)
            good.append([name, ticket])
        self._world.record("advise", step=step, workers=len(workers))
        answer = {"Good": good, "ValidityMs": int(self._validity_s * 1000)}
        return 200, json.dumps(answer).encode()

    def accepts(self, executor, body):
        """Returns whether a start carries a ticket that holds.

        Those of `free_jobs` need none: their queue has no `Advice` any more.
        """
        if body["Task"].partition(".")[0] in self.free_jobs:
            return True
        step = body["Task"].rpartition(".")[0]
        known = self._tickets.get(body.get("Ticket"))
        return (
            known is not None
            and known[:3] == (step, executor.id, executor.born_ms)
            and time.monotonic() < known[3]
        )
