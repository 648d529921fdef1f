"""One job that can never be done, beside small jobs; see claim.txt."""

import asyncio
import time

import world

HUGE_STEPS = 40
HUGE_COUNT = 100_000
JOBS = 20
MEMORY_MB = 300.0


async def scenario(w):
    await w.start(instances=3, executors=8)
    w.tasks.append(asyncio.create_task(w.keep_running(MEMORY_MB)))
    small = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstDurationMs": 2000}
    huge = small | {"Count": HUGE_COUNT}
    accepted = []

    async def submit(job):
        if await w.submit(job, [small], work_ms=2000, attempts=2):
            accepted.append(job)

    submissions = []
    for number in range(JOBS):
        job = f"{number:016x}"
        submissions.append(asyncio.create_task(submit(job)))
        if number == 9 and world.TROUBLE:
            await w.submit("f" * 16, [huge] * HUGE_STEPS, work_ms=2000)
        await asyncio.sleep(0.14)
    await asyncio.gather(*submissions)
    # Twice finish_s.
    states = await w.settle(accepted, time.monotonic() + 28.0)
    deaths = {each.name: each.deaths for each in w.instances}
    w.record("over-memory-in-all", **deaths)
    found = [
        f"LOST: {job} was accepted and is answered with {state}"
        for job, state in states.items()
        if state in ("0", "410", "504")
    ]
    if sum(count >= 3 for count in deaths.values()) >= 2:
        found.append(f"Fault: over their memory, times: {deaths}")
    return found + w.fleet.violations


world.main(__file__, scenario)
