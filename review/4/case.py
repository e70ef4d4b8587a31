"""A worker is lost for good; 3 s later, before its lease has run out, the process of the owner is killed and started again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import CONTACT_MS, run_case, step

LASTING_JOB = "feed000000000001"
CALM_BEFORE_SECONDS = 4.0
MISSING_SECONDS = 3.0
SINCE_LAST_RUN_SECONDS = 6.0


def seconds_of(task):
    return None if task.startswith(LASTING_JOB) else 0.8


async def scenario(deployment, trouble):
    record = deployment.record
    await deployment.client(deployment.hosts[0], "POST", "/quick/" + LASTING_JOB,
                            {"spec": "feed", "steps": [step(3, cpu=3200, mem_mb=6400, estimate_ms=320, long_running=True, image="feed")]})
    await asyncio.sleep(3)
    last_disruption = 0.0
    if trouble:
        worker = max(deployment.workers, key=lambda candidate: len(candidate.life.runs))
        await worker.lose()
        await asyncio.sleep(3)
        owner = deployment.owner()
        owner.kill()
        await asyncio.sleep(0.3)
        owner.start()
        last_disruption = record.now()
    await asyncio.sleep(18)
    end = record.now()
    # Not running for 3 s on end, from 6 s after the last run on, while these 3 s and the 4 s before them are calm.
    calm_from = last_disruption + CONTACT_MS / 1000 + CALM_BEFORE_SECONDS
    faults = []
    events = [event for event in record.events if event["what"] in ("run_begun", "run_over") and event["task"].startswith(LASTING_JOB)]
    for i, event in enumerate(events):
        if event["what"] == "run_over":
            again = next((later["t"] for later in events[i + 1:] if later["task"] == event["task"]), end)
            since = max(event["t"] + SINCE_LAST_RUN_SECONDS, calm_from)
            if again - since > MISSING_SECONDS:
                faults.append(f"{event['task']} did not run from {event['t']:.1f} to {again:.1f} s; the last disruption ended at {last_disruption:.1f} s")
    return faults


run_case(os.path.dirname(os.path.abspath(__file__)), scenario, hosts=3, workers=8, seconds_of=seconds_of)
