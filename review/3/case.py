"""A client cancels a job whose hand-in was answered with 504; the store carries the hand-in out later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import CANCEL_MS, CONTACT_MS, STOP_GRACE_MS, run_case, step

JOB = "5c0e7a21d94b36f8"
LATE_SECONDS = 5.0  # platform_lost with how = "late": done 1 to 6 s later
TASK_SECONDS = 4.0


async def scenario(deployment, trouble):
    record = deployment.record
    first, second = deployment.hosts
    lost_at = []

    def lose_answer(host, transaction):
        is_submission = any(write["table"] == "jobs" and write["key"] == JOB for write in transaction["writes"])
        if trouble and is_submission and not lost_at:
            lost_at.append(record.now())
            return LATE_SECONDS
        return None

    deployment.store.lose_answer = lose_answer
    steps = [step(1, estimate_ms=4000)] + [step(1, estimate_ms=4000, after=[i]) for i in range(3)]
    await deployment.client(first, "POST", "/quick/" + JOB, {"spec": "text", "steps": steps})
    status, _ = await deployment.client(second, "DELETE", "/quick/" + JOB)
    if status is None or not (200 <= status < 300 or status == 410):
        raise RuntimeError("the cancellation was not acknowledged")
    acknowledged = record.now()
    for _ in range(8):
        await asyncio.sleep(2)
        await deployment.client(second, "GET", "/quick/" + JOB)
    faults = []
    in_touch_from = lost_at[0] + LATE_SECONDS + CONTACT_MS / 1000 if lost_at else 0
    gone_by = max(acknowledged + (CANCEL_MS + STOP_GRACE_MS) / 1000, in_touch_from)
    for event in record.events:
        if event["what"] == "run_begun" and event["t"] > max(acknowledged + CANCEL_MS / 1000, in_touch_from):
            faults.append(f"{event['task']} run {event['run']} began {event['t'] - acknowledged:.2f} s after the cancelling was "
                          f"acknowledged with {status}")
        if event["what"] == "run_over" and event["t"] > gone_by:
            faults.append(f"{event['task']} run {event['run']} ran until {event['t'] - acknowledged:.2f} s after the cancelling was acknowledged")
    return faults


run_case(os.path.dirname(os.path.abspath(__file__)), scenario, hosts=2, workers=2, seconds_of=lambda task: TASK_SECONDS)
