"""A route is removed and added again without `Advice`, as it is being asked."""

import asyncio
import time

import policy
import world

LASTING = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstDurationMs": 1000}
SHORT = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstDurationMs": 500}
EXECUTORS = 6
FINISH_S = 14.0
IDLE_S = 3.0


async def scenario(w):
    service = policy.Policy(
        w, decision_s=1.0, per_worker_s=0.005, validity_s=5.0
    )
    await service.start()
    w.advice_address = service.server.address
    w.fleet.tickets = service
    w.routes[0]["Advice"] = service.settings()
    watch = w.routes[0] | {"Name": "queue-b", "PathPrefix": "/watch/"}
    rollup = w.routes[0]
    w.routes = [rollup, watch]
    await w.start(instances=3, executors=EXECUTORS)
    for number in range(3):
        job = f"b{number:015x}"
        await w.submit(
            job, [LASTING | {"LongRunning": True}], prefix="/watch/"
        )
        if world.TROUBLE:
            service.free_jobs.add(job)
    if world.TROUBLE:
        w.routes = [rollup]
        w.configure(2)
        w.record("configuration", version=2, routes="rollup")
        await asyncio.sleep(0.33)
        plain = {k: v for k, v in watch.items() if k != "Advice"}
        w.routes = [rollup, plain]
        w.configure(3)
        w.record("configuration", version=3, routes="rollup,watch")
    await asyncio.sleep(8.0)
    jobs = []
    for number in range(3):
        job = f"a{number:015x}"
        if await w.submit(job, [SHORT], work_ms=500):
            jobs.append(job)
        await asyncio.sleep(2.0)
    await asyncio.sleep(FINISH_S)
    idle_since_s = {}
    longest_s = {}
    used = 0.0
    end_s = time.monotonic() + 10.0
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        running = sum(len(e.running) for e in w.fleet.executors)
        used = max(used, running * 1000 / (EXECUTORS * 8000))
        for job in jobs:
            tasks = [f"{job}.0.0.{n}" for n in range(SHORT["Count"])]
            is_done = all(task in w.fleet.done for task in tasks)
            if is_done or any(w.fleet.active.get(task) for task in tasks):
                idle_since_s.pop(job, None)
                continue
            idle_s = now_s - idle_since_s.setdefault(job, now_s)
            longest_s[job] = max(longest_s.get(job, 0.0), idle_s)
        await asyncio.sleep(0.05)
    states = {job: await w.state(job) for job in jobs}
    w.record("end", used=f"{used:.3f}", states=states)
    service.server.crash()
    return [
        f"LOST: {job}, {states[job]}, has nothing running for {idle_s:.1f} s,"
        f" with at most {used:.3f} of the processor in use"
        for job, idle_s in longest_s.items()
        if idle_s >= IDLE_S and used < 0.5
    ] + w.fleet.violations


world.main(__file__, scenario)
