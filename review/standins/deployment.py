"""Starts a small deployment: the store, workers, and the project's hosts as separate processes with the command of the deploy file."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from store import Store
from wire import LOOPBACK, call
from worker import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of sites/trentside-ops.toml.
CONFIG_APPLY_MS = 2000
CONTACT_MS = 3000
CANCEL_MS = 3000
STOP_GRACE_MS = 200
VISIBLE_MS = 3000

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_SECONDS = 90


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what, **fields):
        event = {"t": self.now(), "who": who, "what": what, **fields}
        self.events.append(event)
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{event['t']:8.3f} {who:10} {what} {rest}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Host:
    """One process of the project's deploy file."""

    def __init__(self, name, folder, store_port, record):
        self.name = name
        self.record = record
        self.front, self.ready = free_port(), free_port()
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'[host]\nname = "{name}"\nzone = "zone-a"\ncpu_share = 0.25\ncores = 1\nlink_mbps = 1000.0\n'
                       f'[callers]\nendpoint = "{LOOPBACK}:{self.front}"\n[ready]\nendpoint = "{LOOPBACK}:{self.ready}"\n'
                       f'[metrics]\nendpoint = "{LOOPBACK}:{free_port()}"\n'
                       f'[store]\nendpoint = "{LOOPBACK}:{store_port}"\nrow_bytes = 65536\n'
                       f'[config]\napply_ms = {CONFIG_APPLY_MS}\n[stop]\ngrace_s = 6\n[jobs]\nretention_s = 120\nvisible_ms = {VISIBLE_MS}\n')
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["host"]["run"].split(" ")
        self.process = None

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "BURDOCKSPUR_BOOT": self.settings})
        self.record.note(self.name, "started", pid=self.process.pid)

    def signal(self, number):
        self.process.send_signal(number)
        self.record.note(self.name, "signal", number=signal.Signals(number).name)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        status, _ = await call(self.ready, "GET", "/ready", timeout=1)
        return status == 200


class Deployment:
    def __init__(self, folder, hosts=2, workers=3, seconds_of=lambda task: 1.0, cpu=16000):
        self.folder = folder
        self.scratch = tempfile.mkdtemp(prefix="burdockspur-review-")
        self.record = Record(folder)
        self.store = Store(self.record)
        self.hosts = []
        self.host_count = hosts
        self.workers = [Worker(self.store, self.record, f"i-{i:08x}", {"cpu": cpu, "mem_mb": 64000, "gpu": 0}, seconds_of)
                        for i in range(1, workers + 1)]
        self.routes = [{"name": "r-quick", "host": "quick.example", "prefix": "/quick/", "kind": "non_idempotent", "timeout_ms": 3000,
                        "target_duration_ms": 300, "priority": 0, "service": "pool", "max_attempts": 3, "stretch": 1.5}]

    async def configure(self, version):
        await self.store.put("op", "config", json.dumps({
            "version": version, "routes": self.routes, "services": [{"name": "pool", "enforces_capacity": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 30000}}))

    async def start(self):
        await self.configure(1)
        for worker in self.workers:
            await worker.start()
        for i in range(self.host_count):
            name = f"edge-{i + 1}"
            self.hosts.append(Host(name, self.scratch, await self.store.listen(name), self.record))
            self.hosts[-1].start()
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            ready = [await host.is_ready() for host in self.hosts]
            if all(ready) and self.owner():
                self.record.note("run", "ready", owner=self.owner().name)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the hosts did not become ready")

    def owner(self):
        """The host that holds the ownership by the rows of the store, for choosing which process is disturbed."""
        row = json.loads(self.store.value("owner", "fleet", "owner") or "{}")
        return next((host for host in self.hosts if host.name == row.get("host")), None)

    async def client(self, host, method, path, body=None, timeout=3.0):
        self.record.note("client", "sent", to=host.name, request=f"{method} {path}")
        status, answer = await call(host.front, method, path, "quick.example", body, timeout)
        self.record.note("client", "answered", by=host.name, request=f"{method} {path}", status=status, body=answer)
        return status, answer

    def end(self):
        """Ends the hosts, by the ids of the processes that were started, and removes their files."""
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)


def step(count, cpu=1000, estimate_ms=1000, **fields):
    return {"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": estimate_ms, **fields}


def run_case(folder, scenario, **options):
    """Runs `scenario(deployment, trouble)`, which returns the faults that it saw; TROUBLE=0 leaves out the disruption.

    Exits with 1 when the rule was broken, 0 when it held, and 2 when the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = Deployment(folder, **options)

        def stop():
            deployment.end()
            os._exit(COULD_NOT_RUN)

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            await deployment.start()
            faults = await asyncio.wait_for(scenario(deployment, trouble), LONGEST_SECONDS)
        except Exception as error:  # pylint: disable=broad-except
            traceback.print_exc()
            deployment.record.note("run", "could_not_run", error=repr(error))
            return COULD_NOT_RUN
        finally:
            deployment.end()
        for fault in faults:
            deployment.record.note("check", "broken", fault=fault)
            print("broken:", fault)
        verdict = BROKEN if faults else HELD
        deployment.record.note("check", "verdict", trouble=trouble, exit=verdict)
        return verdict

    verdict = asyncio.new_event_loop().run_until_complete(main())
    print("verdict:", {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)  # the requests that the stand-ins never answer need not be waited for
