"""Workers crash and come back under their id and address as another kind."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
sys.dont_write_bytecode = True
import standins  # noqa: E402


async def play(deployment, has_trouble):
    fleet = deployment.fleet
    await deployment.open(hosts=3)
    for number in range(8):
        await fleet.add(f"i-{number}", kind="ab"[number % 2], rack=f"r{number // 4}")
    await deployment.await_ready()
    jobs = {}

    async def submit(number):
        kind = "ab"[number % 2]
        job = f"{number:016x}"
        steps = [{"count": 14, "cpu": 2000, "mem_mb": 512, "estimate_ms": 400, "requires": kind}]
        if await deployment.submit(deployment.hosts[number % 3], job, steps, f"ms=400;kind={kind}") == 200:
            jobs[job] = kind

    async def traffic():
        pending = set()
        for number in range(1, 401):
            pending.add(asyncio.create_task(submit(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*pending)

    client = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for turn in range(8):
        if has_trouble:
            # One worker of eight at a time; half a second later it is back with the other kind.
            worker = fleet.workers[f"i-{turn}"]
            worker.crash()
            await asyncio.sleep(0.5)
            await worker.start(kind="b" if worker.kind == "a" else "a")
        await asyncio.sleep(3.5)
    await client
    await asyncio.sleep(6)
    states = {}
    for job in jobs:
        status, state = await deployment.state(deployment.hosts[0], job)
        states[state] = states.get(state, 0) + 1
    deployment.record.add("states", **{str(key): value for key, value in states.items()})
    starts = [fields for _, kind, fields in deployment.record.entries if kind == "start"]
    if len(starts) < 1000:
        raise standins.CannotRun(f"only {len(starts)} starts")
    broken = []
    for fields in starts:
        wanted = jobs.get(fields["task"].split(".")[0])
        if wanted is not None and wanted != fields["kind"]:
            broken.append(f"ROUTE: task {fields['task']} run {fields['run']} requires {wanted} and was started on {fields['worker']} "
                          f"(born {fields['born']}) of kind {fields['kind']}")
    return broken


standins.run_case(FOLDER, play)
