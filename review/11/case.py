"""Many jobs come at once to a queue whose service at `Advice` takes its time."""

import asyncio
import time

import policy
import world

STEP = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstDurationMs": 1000}
EXECUTORS = 30
JOBS = 12
FINISH_S = 14.0
IDLE_S = 3.0


async def scenario(w):
    service = policy.Policy(
        w, decision_s=0.2, per_worker_s=0.05, validity_s=3.0
    )
    await service.start()
    w.advice_address = service.server.address
    w.fleet.tickets = service
    w.routes[0]["Advice"] = service.settings()
    await w.start(instances=3, executors=EXECUTORS)
    accepted = []

    async def submit(job):
        if await w.submit(job, [STEP], work_ms=1000):
            accepted.append(job)

    # At once, or one each four seconds.
    gap_s = 0.1 if world.TROUBLE else 4.0
    submissions = []
    for number in range(JOBS):
        submissions.append(asyncio.create_task(submit(f"{number:016x}")))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*submissions)
    await asyncio.sleep(FINISH_S)
    idle_since_s = {}
    longest_s = {}
    used = 0.0
    end_s = time.monotonic() + 20.0
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        running = sum(len(e.running) for e in w.fleet.executors)
        used = max(used, running * STEP["Cpu"] / (EXECUTORS * 8000))
        for job in accepted:
            tasks = [f"{job}.0.0.{n}" for n in range(STEP["Count"])]
            is_done = all(task in w.fleet.done for task in tasks)
            if is_done or any(w.fleet.active.get(task) for task in tasks):
                idle_since_s.pop(job, None)
                continue
            idle_s = now_s - idle_since_s.setdefault(job, now_s)
            longest_s[job] = max(longest_s.get(job, 0.0), idle_s)
        await asyncio.sleep(0.05)
    states = dict(zip(accepted, [await w.state(job) for job in accepted]))
    w.record("end", used=f"{used:.3f}", states=states)
    service.server.crash()
    return [
        f"LOST: {job}, {states[job]}, has nothing running for {idle_s:.1f} s,"
        f" with at most {used:.3f} of the processor in use"
        for job, idle_s in longest_s.items()
        if idle_s >= IDLE_S and used < 0.5
    ] + w.fleet.violations


world.main(__file__, scenario)
