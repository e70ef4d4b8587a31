"""Crowds of clients outside the limits, for the tests named crowd*test.sh.

crowd.py BUILD_DIRECTORY CROWD starts burdockspur-host on loopback, with the limits of the machine in its settings, and
sends it the crowd. It checks what does not depend on the speed of the machine: the process lives, its resident memory
and its open descriptors stay under a bound that follows from the machine of the settings, one ordinary request is
answered beside the crowd and another one after it, and the memory is given back. Waits end with the crowd's progress.
A client that is refused beside a crowd that connects again repeats its request as often as the pages say.
"""

import base64
import http.client
import http.server
import json
import os
import re
import resource
import selectors
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

MEMORY_MB = 80  # memory of the machine in the settings; the process takes about 20 MB without clients
MAX_FDS = 4100  # descriptors of the machine in the settings, as on the smallest hosts
FEW_FDS = 400
SMALL_BODY = 2_000
LARGE_BODY = 250_000  # below the largest body of an ordinary request, 262,144 bytes
QUIET_SECONDS = 3  # a crowd that neither sends nor receives for this time has done what it can
GUARD_SECONDS = 120  # ends a test whose process hangs
RETRY_SECONDS = 1  # between two attempts; the Retry-After of the server itself, and the period of readiness checks
CALLER_ATTEMPTS = 5  # a client of the pages repeats a refused job up to four times
CHECK_ATTEMPTS = 2  # the balancer takes a host out of rotation after two missed checks
CONFIGURATION = json.dumps(
    {
        "version": 3,
        "routes": [
            {"name": "queue", "host": "jobs.example", "prefix": "/jobs/", "service": "pool"}
            | {"priority": 0, "max_attempts": 2, "stretch": 2.0, "target_duration_ms": 300}
        ],
        "services": [{"name": "pool", "enforces_capacity": False}],
        "limits": {"max_body_bytes": 262_144},
    }
)
HEAD = b"POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


# One generator for each crowd: yields the bytes that one client sends, as far as the process reads them.


def large_chunks(_):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(5):
        yield chunk(b"x" * (LARGE_BODY // 5))


def small_chunks(_):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(200):
        yield chunk(b"x") * 1_000


def chunk_extensions(number):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(20):
        yield chunk(b"x" * 10_000, b";" + b"e" * 12_000)
    if number % 2 == 0:
        yield chunk(b"x" * 40_000, b";" + b"e" * 12_000)
    else:
        yield b"0\r\n" + b"a:b\r\n" * 2_400


def one_byte_short(_):
    yield HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BODY + b"x" * (LARGE_BODY - 1)


def endless_heads(_):
    yield HEAD
    while True:
        yield b"a:b\r\n" * 100


def unfinished_heads(_):
    yield HEAD + b"a:b\r\n" * 3_000


def trickling_bodies(_):
    yield HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BODY + b"x" * (LARGE_BODY - 1_000)
    for _ in range(500):
        yield b"x"


def unread_answers(_):
    for _ in range(60):
        yield b"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: a\r\n\r\n" * 50


def small_part(_):
    yield HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 100


def half_a_line(_):
    yield b"GET /met"


def unread_metrics(_):
    for _ in range(60):
        yield b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 5


def one_look_up(_):
    yield b"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n\r\n"


def pipelined(_):
    body = b'{"spec":"' + b"x" * SMALL_BODY + b'"}'
    for _ in range(60):
        yield (HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body) * 16


def silent(_):
    yield b""


class Crowd:
    """Clients that stay open as long as the process lets them."""

    def __init__(self, port, count, sends, delay=0.0, reads=True, address="127.0.0.1"):
        self.delay = delay
        self.reads = reads
        self.selector = selectors.DefaultSelector()
        self.clients = {}
        self.sent = 0
        self.closed = 0
        for number in range(count):
            connection = socket.socket()
            if not reads:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
            connection.setblocking(False)
            connection.bind((address, 0))
            connection.connect_ex(("127.0.0.1", port))
            self.clients[connection] = [sends(number), b""]
            self.selector.register(connection, (selectors.EVENT_READ if reads else 0) | selectors.EVENT_WRITE)

    def end(self, connection):
        self.selector.unregister(connection)
        connection.close()
        del self.clients[connection]
        self.closed += 1

    def receive(self, connection):
        try:
            received = connection.recv(65_536)
        except BlockingIOError:
            return False
        if not received:
            self.end(connection)
        return True

    def send(self, connection):
        """Returns whether bytes were sent; stops watching a client that has sent all."""
        sends, rest = self.clients[connection]
        if not rest:
            rest = next(sends, None)
            if rest is None:
                if self.reads:
                    self.selector.modify(connection, selectors.EVENT_READ)
                else:
                    self.selector.unregister(connection)
                return False
        try:
            count = connection.send(rest) if rest else 0
        except BlockingIOError:
            count = 0
        self.clients[connection][1] = rest[count:]
        self.sent += count
        return count > 0

    def run(self):
        """Sends and receives until nothing moves any more."""
        moved = time.monotonic()
        begun = moved
        while self.clients and time.monotonic() - moved < QUIET_SECONDS:
            if time.monotonic() - begun > GUARD_SECONDS:
                break
            for key, events in self.selector.select(0.2):
                connection = key.fileobj
                try:
                    progress = bool(events & selectors.EVENT_READ) and self.receive(connection)
                    if connection in self.clients and events & selectors.EVENT_WRITE:
                        progress = self.send(connection) or progress
                except OSError:
                    self.end(connection)
                    progress = True
                if progress:
                    moved = time.monotonic()
            time.sleep(self.delay)

    def close(self):
        for connection in list(self.clients):
            # Resets the connection, as a client does that ends with unread bytes.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        self.selector.close()
        self.clients.clear()


class ReconnectingCrowd:
    """Clients that connect again whenever their connection is closed, until close()."""

    def __init__(self, port, count, sends, pause=0.0):
        self.address = ("127.0.0.1", port)
        self.count = count
        self.bytes = b"".join(sends(0))
        self.pause = pause
        self.sent = 0
        self.closed = 0
        self.waiting = [0.0] * count  # times at which clients connect again
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.play, daemon=True)

    def run(self):
        """Returns when each client was closed three times on average, so that the port has settled."""
        self.thread.start()
        begun = time.monotonic()
        while self.closed < 3 * self.count and time.monotonic() - begun < GUARD_SECONDS:
            time.sleep(0.01)

    def connect(self, selector):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(self.address)
        selector.register(connection, selectors.EVENT_WRITE)

    def serve(self, selector, connection, events):
        """Sends the bytes once, then waits for the close; returns whether the connection has ended."""
        try:
            if events & selectors.EVENT_WRITE:
                self.sent += connection.send(self.bytes)
                selector.modify(connection, selectors.EVENT_READ)
            elif not connection.recv(65_536):
                return True
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False

    def play(self):
        with selectors.DefaultSelector() as selector:
            while not self.ends.is_set():
                now = time.monotonic()
                due = [at for at in self.waiting if at <= now]
                self.waiting = [at for at in self.waiting if at > now]
                for _ in due:
                    self.connect(selector)
                for key, events in selector.select(0.01 if self.waiting else 0.2):
                    if self.serve(selector, key.fileobj, events):
                        selector.unregister(key.fileobj)
                        key.fileobj.close()
                        self.closed += 1
                        self.waiting.append(time.monotonic() + self.pause)
            for key in list(selector.get_map().values()):
                key.fileobj.close()

    def close(self):
        self.ends.set()
        self.thread.join()


class Store(http.server.ThreadingHTTPServer):
    """The part of the platform's store that a host needs: rows with one counter of versions, and their feed."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self):
        super().__init__(("127.0.0.1", 0), StoreRequest)
        self.port = self.server_address[1]
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        self.put("op", "config", CONFIGURATION)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        self.write([{"table": table, "key": key, "value": base64.b64encode(value.encode()).decode()}], [])

    def write(self, writes, removed):
        with self.changed:
            self.version += 1
            for row in writes:
                self.rows[name_of(row)] = {**row, "ver": self.version}
            for row in removed:
                self.rows[name_of(row)] = {**row, "value": "", "ver": self.version, "tombstone": True}
            self.changed.notify_all()


def name_of(row):
    return (row["table"], row.get("part", ""), row["key"])


class StoreRequest(http.server.BaseHTTPRequestHandler):
    """One connection to the store."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, document):
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.wfile.write(head.encode() + body)

    def do_GET(self):
        store = self.server
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        table = query.get("table")
        with store.changed:
            if url.path == "/rows-feed":
                after = int(query["after"])
                store.changed.wait_for(
                    lambda: any(row["ver"] > after for row in store.rows.values() if row["table"] == table),
                    int(query.get("wait_ms", 0)) / 1_000,
                )
                rows = [row for row in store.rows.values() if row["table"] == table and row["ver"] > after]
                rows.sort(key=lambda row: row["ver"])
                more = False
            else:
                rows = [
                    row
                    for name, row in sorted(store.rows.items())
                    if name[:2] == (table, query.get("part", "")) and name[2] >= query.get("from", "") and "tombstone" not in row
                ]
                limit = int(query.get("limit", 500))
                more = len(rows) > limit
                rows = rows[:limit]
            answer = {"ver": store.version, "now_ms": int(time.monotonic() * 1_000), "rows": rows, "has_more": more}
        self.answer(200, answer)

    def do_POST(self):
        store = self.server
        entry = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        with store.changed:
            for row in entry.get("expected_rev", []):
                known = store.rows.get(name_of(row), {"ver": 0})
                if row["ver"] != (0 if "tombstone" in known else known["ver"]):
                    break
            else:
                store.write(entry.get("writes", []), entry.get("remove", []))
                self.answer(200, {"ver": store.version, "now_ms": int(time.monotonic() * 1_000)})
                return
        self.answer(412, {"ver": store.version, "rows": []})


class EvilServer:
    """Accepts connections and answers every request with the same bytes, which may have no end."""

    def __init__(self, head, body, repeats):
        self.answered = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.parts = (head, body, repeats)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        head, body, repeats = self.parts
        try:
            while connection.recv(65_536):
                connection.sendall(head)
                sent = 0
                while repeats is None or sent < repeats:
                    connection.sendall(body)
                    sent += 1
                self.answered += 1
        except OSError:
            self.answered += 1
        connection.close()


class Watched:
    """Life, memory and descriptors of a running process."""

    def __init__(self, pid):
        self.pid = pid
        self.most_fds = 0
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while self.lives():
            self.most_fds = max(self.most_fds, self.descriptors())
            time.sleep(0.02)

    def status(self, name):
        with open(f"/proc/{self.pid}/status", encoding="utf-8") as status:
            return re.search(name + r":\s+(\S+)", status.read()).group(1)

    def lives(self):
        try:
            return self.status("State") != "Z"
        except OSError:
            return False

    def descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return 0

    def memory_mb(self, name):
        return int(self.status(name)) / 1024


class Started(Watched):
    """A burdockspur-host that was started with a settings file."""

    def __init__(self, build, work, settings):
        program = os.path.join(build, "daemons", "burdockspur-host")
        self.log = os.path.join(work, "host.log")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [program], env={**os.environ, "BURDOCKSPUR_BOOT": settings}, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        super().__init__(self.process.pid)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Host(Started):
    """A running burdockspur-host with the machine of the test in its settings."""

    def __init__(self, build, work, max_fds, store, evil):
        self.store = store
        self.evil = evil
        self.jobs = 0
        program = os.path.join(build, "daemons", "burdockspur-host")
        known = subprocess.run([program, "--print_defaults"], capture_output=True, text=True, check=True).stdout
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        self.ports = dict(zip(("callers", "ready", "metrics"), (one.getsockname()[1] for one in listeners)))
        for one in listeners:
            one.close()
        self.ports["store"] = store.port
        lines = ["[host]", 'name = "host-1"', 'zone = "zone-a"', "cpu_share = 1.0", "cores = 1.0"]
        # A version without these settings has no bound that they could lower; it meets the crowd alone.
        lines += [f"memory_mb = {MEMORY_MB}"] if "memory_mb" in known else []
        lines += [f"max_fds = {max_fds}"] if "max_fds" in known else []
        for section in ("callers", "ready", "metrics", "store"):
            lines += [f"[{section}]", f'endpoint = "127.0.0.1:{self.ports[section]}"']
        settings = os.path.join(work, "settings.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        super().__init__(build, work, settings)
        while self.process.poll() is None:
            try:
                socket.create_connection(("127.0.0.1", self.ports["metrics"])).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.02)

    def ordinary_request(self, attempts=1):
        """One ordinary job, repeated while it is refused; returns the status and the body of the last answer."""
        for _ in range(attempts):
            answer = self.hand_in()
            if answer[0] != 503:
                break
            time.sleep(RETRY_SECONDS)
        return answer

    def hand_in(self):
        """Hands one ordinary job in; returns the status and the body of the answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports["callers"], timeout=GUARD_SECONDS)
        body = '{"spec":"' + "x" * SMALL_BODY + '","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":100}]}'
        self.jobs += 1
        connection.request("POST", f"/jobs/{self.jobs:016x}", body, {"Host": "jobs.example", "Content-Type": "application/json"})
        answer = connection.getresponse()
        result = (answer.status, answer.read())
        connection.close()
        return result

    def port_answers(self, port, path, attempts=1):
        """Status of the last of some attempts, which end with 200."""
        for _ in range(attempts):
            status = self.ask(port, path)
            if status == 200:
                break
            time.sleep(RETRY_SECONDS)
        return status

    def ask(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=GUARD_SECONDS)
        connection.request("GET", path)
        answer = connection.getresponse()
        answer.read()
        connection.close()
        return answer.status


def storm(host, port):
    """Opens and closes connections, and keeps 600 open; a third of them sends a part of a request."""
    for number in range(3_000):
        connection = socket.socket()
        connection.connect(("127.0.0.1", port))
        if number % 3 == 0:
            try:
                connection.send(HEAD)
            except OSError:
                pass
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", number % 2, 0))
        connection.close()
    return [Crowd(port, 600, silent)]


def at(port, count, sends, **options):
    return lambda host: [Crowd(host.ports[port], count, sends, **options)]


def again(port, count, sends, **options):
    return lambda host: [ReconnectingCrowd(host.ports[port], count, sends, **options)]


# Each crowd: makes the clients, and has the descriptors of the machine.
CROWDS = {
    "large_chunks": (at("callers", 300, large_chunks), MAX_FDS),
    "small_chunks": (at("callers", 300, small_chunks), MAX_FDS),
    "chunk_extensions": (at("callers", 300, chunk_extensions), MAX_FDS),
    "one_byte_short": (at("callers", 300, one_byte_short), MAX_FDS),
    "endless_heads": (
        lambda host: [Crowd(host.ports["callers"], 100, endless_heads), Crowd(host.ports["callers"], 800, unfinished_heads)],
        MAX_FDS,
    ),
    "trickling_bodies": (at("callers", 300, trickling_bodies, delay=0.01), MAX_FDS),
    "unread_answers": (
        lambda host: [
            Crowd(host.ports["callers"], 300, unread_answers, reads=False),
            Crowd(host.ports["metrics"], 30, unread_metrics, reads=False),
        ],
        MAX_FDS,
    ),
    "connection_storm": (lambda host: storm(host, host.ports["callers"]), FEW_FDS),
    "pipelined_requests": (at("callers", 300, pipelined, reads=False), MAX_FDS),
    "ready_port": (
        lambda host: [Crowd(host.ports["ready"], 300, one_byte_short), Crowd(host.ports["ready"], 200, silent)],
        FEW_FDS,
    ),
    "metrics_port": (
        lambda host: [Crowd(host.ports["metrics"], 300, one_byte_short), Crowd(host.ports["metrics"], 200, silent)],
        FEW_FDS,
    ),
    "metrics_readers": (at("metrics", 50, unread_metrics, reads=False), MAX_FDS),
    "kept_connections": (at("callers", 1_500, one_look_up, address="127.0.0.2"), MAX_FDS),
    "callers_reconnect": (again("callers", 1_500, small_part), MAX_FDS),
    "callers_return": (again("callers", 1_500, small_part, pause=0.5), MAX_FDS),
    "ready_reconnect": (again("ready", 100, half_a_line), MAX_FDS),
    "ready_return": (again("ready", 100, half_a_line, pause=0.5), MAX_FDS),
    "metrics_reconnect": (again("metrics", 60, half_a_line), MAX_FDS),
    "metrics_return": (again("metrics", 60, half_a_line, pause=0.5), MAX_FDS),
}

CHUNKED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
ABSURD_LIST = b'{"ver":1,"now_ms":1,"has_more":false,"rows":[' + b"{}," * 2_700_000 + b"{}]}"

ABSURD_REPORT = b'{"clock_ms":1,"born":1,"running":[' + b"[]," * 2_700_000 + b'[]],"finished":[]}'


def with_length(body):
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body), body, 1


# Each store or worker: head and body of its answers, and the number of bodies, None for no end.
ENDLESS_ANSWER = (CHUNKED, chunk(b'{"rows":[' + b"[" * 60_000), None)
ENDLESS_HEAD = (b"HTTP/1.1 200 OK\r\n", b"a:b\r\n" * 1_000, None)
STORES = {
    "endless_store_answers": ENDLESS_ANSWER,
    "endless_store_heads": ENDLESS_HEAD,
    "absurd_store_lists": with_length(ABSURD_LIST),
}
WORKERS = {
    "endless_worker_answers": ENDLESS_ANSWER,
    "endless_worker_heads": ENDLESS_HEAD,
    "absurd_worker_lists": with_length(ABSURD_REPORT),
}
WORKER_COUNT = 20
EVIL_ANSWERS = 40  # answers that the process has to survive


def check(condition, text, failures):
    print(("ok: " if condition else "FAILED: ") + text, flush=True)
    if not condition:
        failures.append(text)


def sent_by(crowds):
    """Lets the clients of all crowds send; returns the crowds."""
    threads = [threading.Thread(target=crowd.run) for crowd in crowds]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return crowds


def meet(host, name):
    """Sends the crowd; returns it with its clients still open."""
    if name in STORES or name in WORKERS:
        for number in range(WORKER_COUNT if name in WORKERS else 0):
            worker = {"service": "pool", "address": f"127.0.0.1:{host.evil.port}", "zone": "zone-a", "version": "v1", "slots": 8}
            worker |= {"state": "ready", "cold_remaining_ms": 0, "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}}
            worker |= {"labels": ["a", "r1"], "clock_ms": 1, "born": 1, "seq": 1}
            host.store.put("servers", f"worker-{number}", json.dumps(worker))
        while host.evil.answered < EVIL_ANSWERS and host.process.poll() is None:
            time.sleep(0.05)
        return []
    return sent_by(CROWDS[name][0](host))


def await_memory(process):
    """Waits until the memory is given back; returns what is left, in MB."""
    given_back = time.monotonic() + 30
    while process.memory_mb("VmRSS") > MEMORY_MB / 2 and time.monotonic() < given_back:
        time.sleep(0.2)
    return process.memory_mb("VmRSS")


def play(host, name, max_fds):
    failures = []
    ready = 503 if name in STORES else 200
    while host.port_answers("ready", "/ready") != ready:
        time.sleep(0.05)
    before = host.ordinary_request()
    check(name in STORES or before[0] == 200, f"an ordinary job is accepted before the crowd: {before[0]}", failures)
    print(f"before: {host.memory_mb('VmRSS'):.0f} MB, {host.descriptors()} descriptors, {before[0]} {before[1]!r}", flush=True)
    crowds = meet(host, name)
    alive = host.process.poll() is None
    check(alive, "the process lives", failures)
    if not alive:
        return failures
    sent = sum(crowd.sent for crowd in crowds)
    print(f"sent {sent // 1_000_000} MB, {sum(crowd.closed for crowd in crowds)} clients were closed", flush=True)
    goes_on = any(isinstance(crowd, ReconnectingCrowd) for crowd in crowds)
    beside = host.ordinary_request(CALLER_ATTEMPTS if goes_on else 1)
    check(beside == before, f"an ordinary request is answered beside the crowd: {beside[0]} {beside[1]!r}", failures)
    attempts = CHECK_ATTEMPTS if goes_on else 1
    check(host.port_answers("ready", "/ready", attempts) == ready, "a readiness check is answered beside the crowd", failures)
    check(host.port_answers("metrics", "/v1/status", attempts) == 200, "the metrics port answers beside the crowd", failures)
    peak = host.memory_mb("VmHWM")
    print(f"with the crowd: {host.memory_mb('VmRSS'):.0f} MB, {host.descriptors()} descriptors", flush=True)
    for crowd in crowds:
        crowd.close()
    after = host.ordinary_request()
    check(after == before, f"an ordinary request is answered after the crowd: {after[0]} {after[1]!r}", failures)
    left = await_memory(host)
    check(peak <= MEMORY_MB, f"at most {peak:.0f} MB, bound {MEMORY_MB}", failures)
    check(left <= MEMORY_MB / 2, f"{left:.0f} MB after the crowd, bound {MEMORY_MB // 2}", failures)
    # 200 descriptors are reserved for files, and the store, the workers and the operator need theirs.
    check(host.most_fds <= max_fds / 2, f"at most {host.most_fds} descriptors, bound {max_fds // 2}", failures)
    check(host.process.poll() is None, "the process lives after the crowd", failures)
    return failures


def main():
    build, name = sys.argv[1:3]
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    max_fds = CROWDS[name][1] if name in CROWDS else MAX_FDS
    evil = EvilServer(*(STORES | WORKERS)[name]) if name in STORES or name in WORKERS else None
    store = evil if name in STORES else Store()
    with tempfile.TemporaryDirectory(prefix="burdockspur.") as work:
        host = Host(build, work, max_fds, store, evil)
        try:
            failures = play(host, name, max_fds)
        finally:
            host.end()
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
