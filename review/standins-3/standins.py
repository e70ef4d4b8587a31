"""Stand-ins for the platform's store, its workers and its clients, and a runner for hosts.

They speak what PROTOCOL.md publishes, on loopback addresses and the real clock. Everything that a
stand-in sees is appended to a record, from which a case judges the rule.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

LOOPBACK = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of a small deployment (settings that the platform gives to each process).
BOUNDS = {
    "config_apply_ms": 2000,
    "grace_s": 6,
    "status_s": 120,
    "visible_ms": 3000,
}
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_GRACE_S = 0.05  # at most stop_grace_ms (200)
CHECKPOINT_S = 1.0
GANG_TIMEOUT_S = 3.0
ENDS_PER_ANSWER = 500


class CannotRun(Exception):
    """The case could not be set up, so it gives no verdict."""


def now():
    return time.monotonic()


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()
        self.entries = []

    def add(self, event, **fields):
        at = now() - self.start
        self.entries.append((at, event, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {event} {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message; returns its first line, its fields and its body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


class Server:
    """HTTP/1.1 server whose handler answers with (status, object); None drops the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.port = 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(method, target, fields, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self):
        """Ends as a killed process does: the port is closed and every connection is reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def call(port, method, target, fields=None, body=None, timeout=4.0):
    """One call on a connection of its own; returns (status, object, fields), or (None, reason, {}) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\n"
            for name, value in {"Host": f"{LOOPBACK}:{port}", "Content-Type": "application/json", **(fields or {})}.items():
                head += f"{name}: {value}\r\n"
            writer.write((head + f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode() + data)
            await writer.drain()
            line, answer_fields, content = await read_message(reader)
            status = int(line.split(" ")[1])
            try:
                return status, json.loads(content or b"{}"), answer_fields
            except ValueError:
                return status, {}, answer_fields
    except TimeoutError:
        return None, "timeout", {}
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__, {}
    finally:
        if writer:
            writer.transport.abort()


# --- The platform's store ---------------------------------------------------------------------------


class Store:
    """The platform's metadata store: rows with versions, transactions, and a feed of changes."""

    TX_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (ver, table, part, key)
        self.ver = 0
        self.start = now()
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.refuse_writes_to = ("op", "servers")
        self.filter = None  # async hook: (path, target, body) -> None, or an answer in place of the store's

    async def open(self):
        await self.server.open()

    @property
    def port(self):
        return self.server.port

    def now_ms(self):
        return int((now() - self.start) * 1000) + 1

    def put(self, table, part, key, value):
        """A write of the platform's own side (operator, workers)."""
        self.ver += 1
        self.apply((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())
        self.notify()

    def remove(self, table, part, key):
        self.ver += 1
        self.apply((table, part, key), None)
        self.notify()

    def apply(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.ver)
        self.log.append((self.ver, *name))

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def row(name, value, ver):
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": ver}

    async def handle(self, method, target, fields, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.filter:
            answer = await self.filter(url.path, query, body)
            if answer is not None:
                return answer
        if url.path == "/rows-tx":
            await asyncio.sleep(self.TX_S)
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            await asyncio.sleep(self.TX_S)
            return self.get(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, order):
        stamp = {"ver": self.ver, "now_ms": self.now_ms()}
        names = [(e["table"], e.get("part", ""), e["key"]) for e in order["writes"] + order["remove"]]
        if any(name[0] in self.refuse_writes_to for name in names):
            return 403, stamp
        expected = [((e["table"], e.get("part", ""), e["key"]), e["ver"]) for e in order["expected_rev"]]
        if any(self.rows.get(name, (None, 0))[1] != ver for name, ver in expected):
            current = [self.row(name, *self.rows[name]) for name, _ in expected if name in self.rows]
            return 412, {"rows": current, **stamp}
        self.ver += 1
        for entry in order["writes"]:
            self.apply((entry["table"], entry.get("part", ""), entry["key"]), entry["value"])
        for entry in order["remove"]:
            self.apply((entry["table"], entry.get("part", ""), entry["key"]), None)
        self.notify()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", "500")), 500)
        names = sorted((n for n in self.rows if n[0] == table and n[1] == part and n[2] >= first and (not end or n[2] < end)), key=lambda n: n[2])
        rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
        return 200, {"rows": rows, "has_more": len(names) > limit, "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = now() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            latest = {}
            for ver, *name in reversed(self.log):
                if ver <= after:
                    break
                if name[0] == table:
                    latest.setdefault(tuple(name), ver)
            left = end - now()
            if latest or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass
        rows = []
        for name, ver in sorted(latest.items(), key=lambda entry: entry[1]):
            if name in self.rows:
                rows.append(self.row(name, *self.rows[name]))
            else:
                rows.append({"table": name[0], "part": name[1], "key": name[2], "ver": ver, "tombstone": True})
        return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}


# --- Workers ------------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number, self.spec = task, number, spec
        self.options = dict(item.split("=", 1) for item in spec.split(";") if "=" in item)
        self.checkpoint = checkpoint
        self.began = now()
        self.work_s = float(self.options.get("ms", "500")) / 1000
        self.is_stopping = False
        self.gang_began = None

    def percent(self):
        base = self.began if self.gang_began is None else self.gang_began
        return min(100, int(100 * (now() - base) / max(self.work_s, 0.001)))


class Worker:
    """One worker; crash() and start() give it a new life under the same id and address."""

    def __init__(self, fleet, ident, kind, rack, zone="zone-a", cpu=16_000, mem_mb=64_000):
        self.fleet, self.record, self.store = fleet, fleet.record, fleet.store
        self.ident, self.kind, self.rack, self.zone = ident, kind, rack, zone
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.port = 0
        self.server = None
        self.life = None

    async def start(self, kind=None):
        """Begins a life: the entry is written before the port is open."""
        self.kind = kind or self.kind
        self.born = max(int(time.time() * 1000), getattr(self, "born", 0) + 1)
        self.clock_start = now() - 0.001
        self.fence = 0
        self.deadline = 0
        self.has_lapsed = False
        self.running = {}
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.finished = []
        self.sequence = 0
        self.state = "ready"
        self.drain_ends = None
        self.news = asyncio.Event()
        self.server = Server(self.handle)
        self.seq = 0
        if self.port == 0:
            await self.server.open(free_port())
            self.write_entry()
        else:
            self.write_entry()
            await self.server.open(self.port)
        self.port = self.server.port
        if self.seq == 1:
            self.write_entry()
        self.life = asyncio.create_task(self.live())
        self.record.add("worker_up", worker=self.ident, born=self.born, kind=self.kind, port=self.port)

    def crash(self):
        """Ends the life without a word; whatever runs is gone."""
        self.record.add("worker_down", worker=self.ident, born=self.born, runs=len(self.running))
        for run in list(self.running.values()):
            self.fleet.gang_member_left(run)
        self.running = {}
        self.server.close()
        self.life.cancel()

    def write_entry(self):
        self.seq += 1
        entry = {
            "service": self.fleet.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0, "capacity": self.capacity, "labels": [self.kind, self.rack],
            "clock_ms": self.clock(), "seq": self.seq, "born": self.born,
        }
        if self.drain_ends is not None:
            entry["drain_remaining_ms"] = max(0, int((self.drain_ends - now()) * 1000))
        self.store.put("servers", "", self.ident, entry)

    def clock(self):
        return int((now() - self.clock_start) * 1000)

    async def live(self):
        beat = now() + HEARTBEAT_S
        while True:
            await asyncio.sleep(0.01)
            if now() >= beat:
                beat = now() + HEARTBEAT_S
                self.write_entry()
            if self.deadline and self.clock() >= self.deadline and not self.has_lapsed:
                self.has_lapsed = True
                self.record.add("lease_lapsed", worker=self.ident, born=self.born, runs=len(self.running))
            if self.has_lapsed:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                self.advance(run)

    def advance(self, run):
        gang = run.options.get("gang")
        if gang and run.gang_began is None:
            if self.fleet.gang_is_complete(run, int(gang)):
                return
            if now() - run.began >= GANG_TIMEOUT_S:
                self.end(run, "alone")
            return
        if self.fleet.lasts(run):
            return
        base = run.began if run.gang_began is None else run.gang_began
        if now() - base >= run.work_s:
            self.end(run, self.fleet.outcome(self, run))

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.sequence += 1
        self.finished.append([self.sequence, run.task, run.number, how, run.checkpoint])
        self.record.add("end", worker=self.ident, born=self.born, task=run.task, run=run.number, how=how, n=self.sequence)
        self.fleet.ended(self, run, how)
        event, self.news = self.news, asyncio.Event()
        event.set()

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), **fields}

    async def handle(self, method, target, fields, body):
        order = json.loads(body or b"{}")
        if fields.get("target-instance", self.ident) != self.ident:
            return self.answer(421)
        if self.fleet.order_filter:
            verdict = await self.fleet.order_filter(self, target, order)
            if verdict == "drop":
                return None
        token = order.get("fencing_token", 0)
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = max(self.fence, token)
        if target == "/hold":
            return await self.hold(order)
        if target == "/run-start":
            return self.run_start(order)
        if target == "/run-stop":
            return self.run_stop(order)
        if target == "/pace":
            return self.answer(200)
        return self.answer(404)

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))
        self.has_lapsed = self.has_lapsed and self.clock() >= self.deadline

    async def hold(self, order):
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        cursor = order.get("ack_cursor", 0)
        if cursor:
            acked = [end for end in self.finished if end[0] <= cursor]
            for end in acked:
                self.record.add("acked", worker=self.ident, born=self.born, n=end[0], task=end[1], run=end[2], how=end[3])
            self.finished = [end for end in self.finished if end[0] > cursor]
        wait = min(order.get("wait_ms", 0), 2000) / 1000
        if wait > 0 and not self.finished:
            try:
                async with asyncio.timeout(wait):
                    await self.news.wait()
            except TimeoutError:
                pass
        running = [[run.task, run.number, run.checkpoint, run.percent(), 0] for run in self.running.values()]
        return self.answer(200, born=self.born, running=running, finished=self.finished[:ENDS_PER_ANSWER])

    def run_start(self, order):
        task, number = order["task"], order["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            self.extend(order["deadline_ms"])
            return self.answer(200)
        if order["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        if number <= self.highest.get(task, 0) or current is not None:
            self.extend(order["deadline_ms"])
            return self.answer(409, reason="old")
        self.extend(order["deadline_ms"])
        run = Run(task, number, order.get("spec", ""), order.get("checkpoint", ""))
        self.running[task] = run
        self.record.add("start", worker=self.ident, born=self.born, kind=self.kind, task=task, run=number, token=order.get("fencing_token"), spec=run.spec)
        self.fleet.started(self, run)
        return self.answer(200)

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and not run.is_stopping:
            run.is_stopping = True
            self.record.add("stop_ordered", worker=self.ident, task=task, run=number, token=order.get("fencing_token"))
            asyncio.get_running_loop().call_later(STOP_GRACE_S, self.end, run, "stopped")
        return self.answer(200)


class Fleet:
    """The workers of one service, and what they know together: the members of a gang."""

    def __init__(self, record, store, service="service-a"):
        self.record, self.store, self.service = record, store, service
        self.workers = {}
        self.order_filter = None
        self.outcome_of = None
        self.gangs = {}  # (job, occurrence, step, run) -> {index: (worker, run)}

    async def add(self, ident, **options):
        worker = Worker(self, ident, **options)
        self.workers[ident] = worker
        await worker.start()
        return worker

    @staticmethod
    def lasts(run):
        return "lasts" in run.options

    def outcome(self, worker, run):
        return self.outcome_of(worker, run) if self.outcome_of else "done"

    @staticmethod
    def gang_of(run):
        return (*run.task.rsplit(".", 1)[0].split("."), run.number)

    def started(self, worker, run):
        if "gang" in run.options:
            self.gangs.setdefault(self.gang_of(run), {})[run.task] = (worker, run)

    def gang_is_complete(self, run, size):
        members = self.gangs.get(self.gang_of(run), {})
        if len(members) < size:
            return False
        for _, member in members.values():
            member.gang_began = member.gang_began or now()
        return True

    def gang_member_left(self, run):
        members = self.gangs.get(self.gang_of(run), {})
        members.pop(run.task, None)
        if run.gang_began is not None:
            for worker, member in list(members.values()):
                worker.end(member, "broken")

    def ended(self, worker, run, how):
        if "gang" not in run.options:
            return
        members = self.gangs.get(self.gang_of(run), {})
        members.pop(run.task, None)
        if run.gang_began is None:
            return
        for other, member in list(members.values()):
            other.end(member, "done" if how == "done" else "broken")


# --- Hosts --------------------------------------------------------------------------------------------


# Ports below those that the kernel gives to outgoing connections, which could take the port of a host between its lives. Scripts that run
# beside each other begin at different ones.
next_ports = itertools.count(12_000 + os.getpid() % 180 * 100)


def free_port():
    for port in next_ports:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
                return port
            except OSError:
                pass


def render(template, fields):
    """Fills in a settings template (DEPLOY.md)."""

    def value(path):
        current = fields
        for part in path.split("."):
            current = current.get(part) if isinstance(current, dict) else None
        return current

    template = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m.group(2) if value(m.group(1)) is not None else "", template, flags=re.S)
    return re.sub(r"\{\{([^#/^}]+)\}\}", lambda m: "" if value(m.group(1)) is None else str(value(m.group(1))), template)


class Host:
    """One process of the deploy file's role, with settings as the platform renders them."""

    def __init__(self, folder, name, zone, store_port, record, limits=None):
        self.name, self.record = name, record
        self.front, self.ready = free_port(), free_port()
        self.metrics = free_port()
        self.log_path = os.path.join(folder, name + ".log")
        self.settings = os.path.join(folder, name + ".toml")
        with open(os.path.join(ROOT, "deploy", "settings.template.toml"), encoding="utf-8") as file:
            template = file.read()
        fields = {
            "node_name": name, "zone": zone, "ip": LOOPBACK,
            "limits": {"cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0, "memory_mb": 260, "max_fds": 4100, **(limits or {})},
            "listen_addrs": {"front": f"{LOOPBACK}:{self.front}", "ready": f"{LOOPBACK}:{self.ready}"},
            "platform": {"address": f"{LOOPBACK}:{store_port}", "row_bytes": 65536},
            "bounds": BOUNDS,
        }
        text = render(template, fields).replace(f"{LOOPBACK}:9464", f"{LOOPBACK}:{self.metrics}")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    async def start(self):
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "daemons", "burdockspur-host"), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C", "BURDOCKSPUR_BOOT": self.settings},
        )
        log.close()
        self.record.add("host_started", host=self.name, front=self.front)

    def signal(self, number):
        self.record.add("host_signal", host=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    pass
            await self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(self.ready, "GET", "/ready", timeout=1.0)
        return status == 200


class Deployment:
    """Store, workers, hosts and the operator's configuration."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="burdockspur-review.")
        self.store = Store(record)
        self.fleet = Fleet(record, self.store)
        self.hosts = []
        self.version = 0
        self.routes = [self.route("queue-a", "/queue-a/")]

    @staticmethod
    def route(name, prefix, **options):
        return {
            "name": name, "host": "queues.example", "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 1000,
            "priority": 0, "service": "service-a", "max_attempts": 4, "stretch": 2.0, **options,
        }

    def configure(self):
        self.version += 3
        self.store.put("op", "", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": "service-a", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False,
                          "enforces_capacity": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
        self.record.add("configured", version=self.version)

    async def open(self, hosts=3, limits=None):
        await self.store.open()
        self.configure()
        for number in range(hosts):
            self.hosts.append(Host(self.folder.name, f"edge-{number + 1}", f"zone-{'abc'[number % 3]}", self.store.port, self.record,
                                   limits[number] if limits else None))
        for host in self.hosts:
            await host.start()

    async def await_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            waiting = [host.name for host in self.hosts if not await host.is_ready()]
            if not waiting:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not ready: {waiting}")

    def owner(self):
        """The owner's row of the system's own table, used only to choose which process a signal goes to."""
        row = self.store.rows.get(("owner", "fleet", "owner"))
        return json.loads(base64.b64decode(row[0])) if row else {}

    def owner_host(self):
        return next((host for host in self.hosts if host.name == self.owner().get("host")), None)

    async def submit(self, host, job, steps, spec, prefix="/queue-a/", timeout=3.0):
        status, answer, _ = await call(host.front, "POST", prefix + job, {"Host": "queues.example"}, {"spec": spec, "steps": steps}, timeout)
        self.record.add("submit", job=job, host=host.name, status=status)
        return status

    async def state(self, host, job, prefix="/queue-a/"):
        status, answer, _ = await call(host.front, "GET", prefix + job, {"Host": "queues.example"})
        return status, answer.get("state") if isinstance(answer, dict) else None

    async def close(self):
        for host in self.hosts:
            await host.end()
        for worker in self.fleet.workers.values():
            if worker.life:
                worker.life.cancel()
            if worker.server:
                worker.server.close()
        self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for host in self.hosts:
                with open(host.log_path, "rb") as source, open(os.path.join(keep, host.name + ".log"), "wb") as target:
                    target.write(source.read())
        self.folder.cleanup()


def run_case(folder, play, seconds=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    # A shell that ignores SIGHUP, as nohup does, would pass that on to the hosts.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = Deployment(record)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                return await play(deployment, has_trouble)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # no verdict
        record.add("cannot_run", error=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in broken:
        record.add("broken", what=line)
        print(line)
    record.add("verdict", broken=len(broken))
    print(f"{len(broken)} breaks of the rule, trouble {'on' if has_trouble else 'off'}")
    sys.exit(1 if broken else 0)
