"""The settings files of some hosts change, and the platform tells them by SIGHUP."""

import asyncio
import math
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
sys.dont_write_bytecode = True
import standins  # noqa: E402

HOSTS = 9
SHARE, GAP_S = 0.6, 2.0  # largest dose of `hup` in the site file
ROUNDS = 3
RESTART_S = 0.5
ENDS_OF_A_MACHINE = 3  # RULES, Fault: "processes end by themselves three times in the day"


async def play(deployment, has_trouble):
    record, fleet = deployment.record, deployment.fleet
    await deployment.open(hosts=HOSTS)
    for number in range(6):
        await fleet.add(f"i-{number}", kind="a", rack="r1")
    await deployment.await_ready()
    ends = {host.name: 0 for host in deployment.hosts}
    is_over = False

    async def keep(host):
        """Restarts a process that has ended, as the platform does."""
        while True:
            code = await host.process.wait()
            if is_over:
                return
            ends[host.name] += 1
            record.add("host_ended", host=host.name, code=code)
            await asyncio.sleep(RESTART_S)
            await host.start()

    async def client(number):
        while not is_over:
            host = deployment.hosts[number % HOSTS]
            number += 8
            await deployment.submit(host, f"{number:016x}", [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}], "ms=200")
            await asyncio.sleep(0.5)

    keepers = [asyncio.create_task(keep(host)) for host in deployment.hosts]
    clients = [asyncio.create_task(client(number)) for number in range(8)]
    await asyncio.sleep(3)
    told = deployment.hosts[: math.floor(SHARE * HOSTS)]
    for _ in range(ROUNDS):
        for host in told:
            if has_trouble:
                with open(host.settings, "a", encoding="utf-8") as file:
                    file.write("# written again\n")
                host.signal(signal.SIGHUP)
            await asyncio.sleep(GAP_S / len(told))
        await asyncio.sleep(5)
    is_over = True
    await asyncio.gather(*clients)
    record.add("ends", **{name.replace("-", "_"): count for name, count in ends.items()})
    for keeper in keepers:
        keeper.cancel()
    accepted = sum(1 for _, event, fields in record.entries if event == "submit" and fields["status"] == 200)
    if accepted < 100:
        raise standins.CannotRun(f"only {accepted} jobs were accepted")
    machines = [name for name, count in ends.items() if count >= ENDS_OF_A_MACHINE]
    if len(machines) >= max(2, math.ceil(HOSTS / 10)):
        return [f"Fault: the process on {name} ended by itself {ends[name]} times" for name in machines]
    return []


standins.run_case(FOLDER, play)
