"""Executors crash one at a time; jobs whose tasks never fail must not fail."""

import asyncio
import time

import world

JOBS = 50
CRASH_INTERVAL_S = 2.0
DOWN_S = 1.5


async def crash_in_turn(w, until_s):
    """Crashes one of eight executors at a time, each in its turn."""
    number = 0
    while time.monotonic() < until_s:
        executor = w.fleet.executors[number % len(w.fleet.executors)]
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        number += 1
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)


async def scenario(w):
    await w.start(instances=3, executors=8)
    step = {"Count": 8, "Cpu": 900, "MemMb": 500, "EstDurationMs": 1500}
    step["AntiAffinity"] = 1
    jobs = []
    begin_s = time.monotonic()
    crashes = None
    if world.TROUBLE:
        crashes = asyncio.create_task(crash_in_turn(w, begin_s + 75.0))
        w.tasks.append(crashes)
    for number in range(JOBS):
        job = f"{number:016x}"
        if await w.submit(job, [step], work_ms=1500):
            jobs.append(job)
        await asyncio.sleep(1.5)
    if crashes is not None:
        await crashes
    states = await w.settle(
        jobs, time.monotonic() + 20.0, ("completed", "failed")
    )
    w.record("states", **{f"j{job}": state for job, state in states.items()})
    return [
        f"LOST: {job} is shown as {state}, though no run of it has failed"
        for job, state in states.items()
        if state != "completed"
    ] + w.fleet.violations


world.main(__file__, scenario)
