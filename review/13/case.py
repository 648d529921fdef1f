"""A scheduled job whose times have all come, beside small jobs."""

import asyncio
import time

import world

REPEAT = 10_000
STEPS = 30
JOBS = 20
FINISH_S = 14.0
IDLE_S = 3.0


class IdleWatch:
    """Watches for how long jobs have nothing running beside much room."""

    def __init__(self, w):
        self._w = w
        self._since_s = {}
        self.longest_s = {}

    def used_share(self):
        """Returns the share of the service's processor that is in use."""
        executors = self._w.fleet.executors
        used = sum(
            run.step["Cpu"] for e in executors for run in e.running.values()
        )
        return used / sum(e.capacity["Cpu"] for e in executors)

    async def run(self, jobs, until_s):
        while (now_s := time.monotonic()) < until_s:
            share = self.used_share()
            for job in jobs:
                tasks = [f"{job}.0.0.{n}" for n in range(2)]
                is_done = all(t in self._w.fleet.done for t in tasks)
                runs = any(self._w.fleet.active.get(t) for t in tasks)
                if is_done or runs or share >= 0.5:
                    self._since_s.pop(job, None)
                    continue
                since_s = self._since_s.setdefault(job, now_s)
                self.longest_s[job] = max(
                    self.longest_s.get(job, 0.0), now_s - since_s
                )
            await asyncio.sleep(0.05)


async def scenario(w):
    await w.start(instances=3, executors=8)
    small = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstDurationMs": 1000}
    accepted = []

    async def submit(job):
        if await w.submit(job, [small], work_ms=1000, attempts=3):
            accepted.append(job)

    submissions = []
    for number in range(JOBS):
        submissions.append(asyncio.create_task(submit(f"{number:016x}")))
        if number == 9 and world.TROUBLE:
            times = {"RepeatCount": REPEAT, "IntervalMs": 60_000}
            times["StartAtMs"] = int(time.time() * 1000) - REPEAT * 60_000
            step = small | {"Count": 1}
            await w.submit("f" * 16, [step] * STEPS, work_ms=1000, more=times)
        await asyncio.sleep(1.0)
    await asyncio.gather(*submissions)
    await asyncio.sleep(FINISH_S)
    watch = IdleWatch(w)
    watching = watch.run(accepted, time.monotonic() + 12.0)
    asking = asyncio.gather(*(w.state(job) for job in accepted))
    states, _ = await asyncio.gather(asking, watching)
    found = [
        f"LOST: {job} was accepted and gets no answer: {state}"
        for job, state in zip(accepted, states)
        if state in ("0", "504")
    ]
    found += [
        f"LOST: {job} was accepted and has nothing running for {idle_s:.1f} s,"
        " with under half of the processor in use"
        for job, idle_s in watch.longest_s.items()
        if idle_s >= IDLE_S
    ]
    terms = sum(
        each.log_path.read_text().count('"term.begun"') for each in w.instances
    )
    w.record("memory", mb=[int(i.memory_mb()) for i in w.instances])
    w.record("end", terms=terms, not_accepted=JOBS - len(accepted))
    print(f"{terms} terms, {JOBS - len(accepted)} small jobs not accepted")
    return found + w.fleet.violations


world.main(__file__, scenario)
