"""The settings name a new address of the store, and no signal is sent."""

import asyncio
import time

import web
import world

STEP = {"Count": 3, "Cpu": 1000, "MemMb": 500, "EstDurationMs": 6000}


async def move_store(w):
    """Serves the same log at a new address and changes the settings files."""
    old = w.store.address
    w.store.server.crash()
    w.store.server = web.Server(w.store.handle)
    await w.store.start()
    w.change_setting("platform.Address", old, w.store.address)


async def scenario(w):
    await w.start(instances=3, executors=6)
    jobs = []
    for number in range(6):
        job = f"{number:016x}"
        if await w.submit(job, [STEP], work_ms=6000):
            jobs.append(job)
    if world.TROUBLE:
        await move_store(w)
    states = await w.settle(jobs, time.monotonic() + 45.0)
    running = sum(len(each.running) for each in w.fleet.executors)
    w.record("end", running=running)
    return [
        f"LOST: {job}, accepted before, is answered with {state} 45 s later;"
        f" {running} runs in all"
        for job, state in states.items()
        if state != "completed"
    ] + w.fleet.violations


world.main(__file__, scenario)
