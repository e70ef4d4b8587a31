"""A worker with a lasting task is lost while a gang and long tasks fill the others."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
sys.dont_write_bytecode = True
import standins  # noqa: E402

WATCHER, GANG, LONG = "00000000000000a1", "00000000000000b1", "00000000000000c1"
MEMBERS = 6
FROM_LAST_RUN_S = 6.0  # RULES, LOST: "from 6 s after its last run"
NOTHING_RUNS_S = 3.0  # RULES, LOST: "for 3 s"


async def play(deployment, has_trouble):
    record, fleet = deployment.record, deployment.fleet
    await deployment.open(hosts=3)
    for number in range(8):
        await fleet.add(f"i-{number}", kind="a", rack="r1")
    await deployment.await_ready()
    host = deployment.hosts[0]

    def has_run(task):
        return any(task in worker.running for worker in fleet.workers.values())

    async def await_runs(tasks):
        for _ in range(80):
            if all(has_run(task) for task in tasks):
                return
            await asyncio.sleep(0.1)
        raise standins.CannotRun(f"no runs of {tasks}")

    # 8 workers of 16 cores: 4 cores lasting; 6 x 14 cores of a gang; 15 cores that can be stopped and resumed at any time.
    lasting = [{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": True}]
    gang = [{"count": MEMBERS, "cpu": 14000, "mem_mb": 1024, "estimate_ms": 90000, "gang": True, "saves_progress": True}]
    single = [{"count": 1, "cpu": 15000, "mem_mb": 1024, "estimate_ms": 90000, "saves_progress": True}]
    members = [f"{GANG}.0.0.{index}" for index in range(MEMBERS)]
    for job, steps, spec, tasks in (
        (WATCHER, lasting, "lasts=1", [WATCHER + ".0.0.0"]),
        (GANG, gang, f"ms=90000;gang={MEMBERS}", members),
        (LONG, single, "ms=90000", [LONG + ".0.0.0"]),
    ):
        if await deployment.submit(host, job, steps, spec) != 200:
            raise standins.CannotRun(f"job {job} was not accepted")
        await await_runs(tasks)
    await asyncio.sleep(3)
    holder = next(worker for worker in fleet.workers.values() if WATCHER + ".0.0.0" in worker.running)
    if len(holder.running) != 1:
        raise standins.CannotRun("the lasting task shares its worker")
    lost_at = standins.now()
    if has_trouble:
        holder.crash()

        async def expire():
            # The entry goes after three heartbeat intervals of silence.
            await asyncio.sleep(3 * standins.HEARTBEAT_S)
            deployment.store.remove("servers", "", holder.ident)

        expiry = asyncio.create_task(expire())
    started_at = None
    while standins.now() - lost_at < 40:
        if has_run(WATCHER + ".0.0.0"):
            started_at = standins.now()
            break
        await asyncio.sleep(0.02)
    status, state = await deployment.state(host, WATCHER)
    record.add("state", job=WATCHER, status=status, state=state)
    if has_trouble:
        await expiry
    if not has_trouble:
        await asyncio.sleep(15)
        return [] if has_run(WATCHER + ".0.0.0") else ["LOST: the lasting task is gone without a disruption"]
    waited = (started_at or standins.now()) - lost_at
    record.add("watcher", waited_s=f"{waited:.2f}", runs_again=started_at is not None)
    if waited > FROM_LAST_RUN_S + NOTHING_RUNS_S:
        return [f"LOST: the task of the lasting job {WATCHER} had no run for {waited:.1f} s after its worker was lost"
                + ("" if started_at else ", and has none at the end")]
    return []


standins.run_case(FOLDER, play)
