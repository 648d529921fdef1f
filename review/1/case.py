"""Ends beyond the 500 that are listed count as starts that did not happen."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standin

WARM_UP_S = 8.0
DOWN_S = 4.4
LONGEST_DOWN_S = 4.5
JOBS = 6
TASKS = 1000
TASK_S = 0.2
SETTLED_S = 3.0


def batch_job():
    return {
        "Spec": "task",
        "Steps": [{"Count": TASKS, "Cpu": 300, "MemMb": 256,
                   "EstDurationMs": int(TASK_S * 1000)}],
    }


async def scenario(rig):
    rig.work_s = lambda task, spec: TASK_S
    await rig.start(instances=3, executors=2, cpu=64_000, mem=250_000)
    await rig.wait_for_service()
    await asyncio.sleep(WARM_UP_S)
    jobs = [rig.new_job_id() for _ in range(JOBS)]
    for job in jobs:
        if not await rig.submit(rig.instances, job, batch_job()):
            raise standin.CannotRun("a job was not accepted")
    await asyncio.sleep(0.3)
    if rig.has_trouble:
        took_s = await take_store_down(rig)
        if took_s > LONGEST_DOWN_S:
            raise standin.CannotRun(f"the store was down for {took_s:.2f} s")
    await wait_for_ends(rig, JOBS * TASKS)
    await asyncio.sleep(SETTLED_S)
    return find_second_runs(rig)


async def take_store_down(rig):
    """Has the store refuse all calls for a while; returns how long, in s."""
    down_s = time.monotonic()
    rig.store.is_down = True
    rig.record("the store is down: it answers 503")
    while time.monotonic() < down_s + DOWN_S:
        await asyncio.sleep(0.2)
        listed = [len(each.ended) for each in rig.executors]
        rig.record(f"ends that are not taken note of, by executor: {listed}")
    rig.store.is_down = False
    rig.record("the store is back")
    return time.monotonic() - down_s


async def wait_for_ends(rig, tasks, limit_s=60.0):
    """Waits until every task has ended once and all ends are noted."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        done = {task for _, task, _, how in rig.ends if how == "done"}
        if len(done) >= tasks and not any(each.ended for each in rig.executors):
            return
        await asyncio.sleep(0.25)
    raise standin.CannotRun("the tasks did not end in time")


def find_second_runs(rig):
    """Returns whether a task was started after a noted end `done`."""
    first_done = {}
    for ended_s, task, run, how in rig.ends:
        if how == "done" and (task, run) in rig.noted:
            first_done.setdefault(task, (ended_s, run))
    broken = 0
    for begun_s, task, run, executor in rig.starts:
        if task in first_done and begun_s > first_done[task][0]:
            ended_s, ended_run = first_done[task]
            broken += 1
            if broken <= 20:
                rig.record(
                    f"BROKEN: {executor} started {task} #{run}"
                    f" {begun_s - ended_s:.2f} s after #{ended_run} had ended"
                    " 'done', which was taken note of"
                )
    rig.record(f"starts after a noted end 'done': {broken}")
    return broken > 0


standin.main(scenario)
