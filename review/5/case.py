"""A lasting task fails while the service is full of short tasks, and is not started again."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import run_case, step

LASTING_JOB = "feed000000000001"
chance = random.Random(1)


def seconds_of(task):
    return None if task.startswith(LASTING_JOB) else chance.uniform(0.6, 1.0)


async def scenario(deployment, trouble):
    record = deployment.record
    host = deployment.hosts[0]
    deployment.routes[0]["priority"] = 0
    deployment.routes.append({**deployment.routes[0], "name": "r-feed", "prefix": "/feed/", "priority": 0, "max_attempts": 2,
                              "target_duration_ms": 2500, "stretch": 2.2})
    await deployment.configure(2)
    await asyncio.sleep(2)
    await deployment.client(host, "POST", "/feed/" + LASTING_JOB,
                            {"spec": "feed", "steps": [step(3, cpu=5100, mem_mb=6400, estimate_ms=320, long_running=True, image="feed")]})
    await asyncio.sleep(2)

    async def traffic():
        for i in range(4 * 40):
            asyncio.ensure_future(deployment.client(deployment.hosts[i % len(deployment.hosts)], "POST", f"/quick/{0xabc0000000000000 + i:016x}",
                                  {"spec": "short", "steps": [step(8, cpu=1600, mem_mb=3200, estimate_ms=800)]}))
            await asyncio.sleep(0.25)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(10)
    if trouble:
        worker = next(w for w in deployment.workers if any(task.startswith(LASTING_JOB) for task in w.life.runs))
        task = next(task for task in worker.life.runs if task.startswith(LASTING_JOB))
        worker._end(worker.life, task, "failed")
    await load
    await asyncio.sleep(1)
    end = record.now()
    faults = []
    spans = {}
    for event in record.events:
        if event["what"] in ("run_begun", "run_over") and event["task"].startswith(LASTING_JOB):
            spans.setdefault(event["task"], []).append((event["t"], event["what"]))
    for task, events in spans.items():
        for (at, what), (later, _) in zip(events, events[1:] + [(end, "end")]):
            if what == "run_over" and later - at > 9.0:
                faults.append(f"{task} was not running for {later - at:.1f} s")
    return faults


run_case(os.path.dirname(os.path.abspath(__file__)), scenario, hosts=2, workers=3, seconds_of=seconds_of)
