"""Workers are cut off for a second and restart behind the cut under their ids; starts that were meant for the former life begin in the new one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from checks import overlapping_runs, starts_after_noted_end
from deployment import run_case, step

CUTS = 4
JOBS = 200


def seconds_of(task):
    # Every second job has short tasks, which can end in the new life before the owner learns of it.
    return 0.2 if int(task.split(".")[0][-1], 16) % 2 else 0.8


async def scenario(deployment, trouble):
    async def traffic():
        for i in range(JOBS):
            await deployment.client(deployment.hosts[i % 2], "POST", f"/quick/{0xabc0000000000000 + i:016x}",
                                    {"spec": "text", "steps": [step(4, estimate_ms=800)]})
            await asyncio.sleep(0.1)

    load = asyncio.ensure_future(traffic())
    for _ in range(CUTS):
        await asyncio.sleep(3)
        if trouble:
            worker = max(deployment.workers, key=lambda candidate: len(candidate.life.runs))
            worker.cut()
            await asyncio.sleep(0.3)
            worker.restart()
            await asyncio.sleep(0.7)
            worker.heal()
            await worker.write_row()
    await load
    await asyncio.sleep(3)
    events = deployment.record.events
    return overlapping_runs(events) + starts_after_noted_end(events)


run_case(os.path.dirname(os.path.abspath(__file__)), scenario, hosts=2, workers=6, cpu=32000, seconds_of=seconds_of)
