"""Real signals to burdockspur-host, for hostsignalstest.sh.

hostsignals.py BUILD_DIRECTORY starts hosts on loopback beside a stand-in for the store, and sends them SIGHUP, SIGTERM and SIGINT: while they read
their settings, while callers keep sending on open connections, in series, and to the owner of the fleet.
"""

import os
import signal
import socket
import sys
import tempfile
import threading
import time

import crowd

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
GRACE_S = 6  # default of stop.grace_s; the platform kills the process then
OWNER_SILENCE_S = 1.6  # default of owner.silence_ms; a release hands the ownership over sooner
SERIES = 20
SERIES_PAUSE_S = 0.05
SENDERS = 20
SEND_PAUSE_S = 0.02
SPLIT_PAUSE_S = 0.3  # between the two parts of a request that is sent in pieces
WAIT_S = 30  # ends a wait for something that does not happen


def wait_until(condition, seconds=WAIT_S):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


def number_of(host, event):
    with open(host.log, encoding="utf-8", errors="replace") as log:
        return sum(f"event={event} " in line for line in log)


def threads_with_unblocked_signals(pid):
    """Names of the threads that would take one of the handled signals."""
    wanted = sum(1 << (number - 1) for number in HANDLED)
    names = []
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/status", encoding="utf-8") as status:
            fields = dict(line.rstrip("\n").split(":\t", 1) for line in status if ":\t" in line)
        if int(fields["SigBlk"], 16) & wanted != wanted:
            names.append(fields["Name"])
    return names


class Sender:
    """A caller that keeps sending on an open connection, and connects again while the host accepts connections."""

    def __init__(self, port, sends_in_pieces):
        self.address = ("127.0.0.1", port)
        self.sends_in_pieces = sends_in_pieces
        self.answered = 0
        self.cut = []
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ends.is_set():
            try:
                connection = socket.create_connection(self.address, timeout=WAIT_S)
            except OSError:
                return
            with connection:
                while not self.ends.is_set() and self.ask(connection):
                    time.sleep(SEND_PAUSE_S)

    def ask(self, connection):
        """Sends one request and reads its answer; returns whether the connection stays open."""
        request = b"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
        received = b""
        try:
            if self.sends_in_pieces:
                connection.sendall(request[:30])
                time.sleep(SPLIT_PAUSE_S)
                request = request[30:]
            connection.sendall(request)
            while b"\r\n\r\n" not in received:
                part = connection.recv(65_536)
                if not part:
                    raise ConnectionResetError("closed without an answer")
                received += part
            head, body = received.split(b"\r\n\r\n", 1)
            fields = head.lower().split(b"\r\n")
            length = next(int(field.split(b":")[1]) for field in fields if field.startswith(b"content-length:"))
            while len(body) < length:
                part = connection.recv(65_536)
                if not part:
                    raise ConnectionResetError("closed inside an answer")
                body += part
        except OSError as error:
            self.cut.append(f"{time.monotonic():.3f} {error!r}")
            return False
        self.answered += 1
        return b"connection: close" not in fields

    def end(self):
        self.ends.set()
        self.thread.join()


def senders_of(host):
    return [Sender(host.ports["callers"], number % 4 == 3) for number in range(SENDERS)]


def end_all(senders, name, failures):
    for sender in senders:
        sender.end()
    answered = sum(sender.answered for sender in senders)
    cut = [one for sender in senders for one in sender.cut]
    crowd.check(not cut and answered > 0, f"{name}: {answered} requests answered, {len(cut)} cut {cut[:3]}", failures)


def ready_host(build, work, store):
    os.makedirs(work, exist_ok=True)
    host = crowd.Host(build, work, crowd.MAX_FDS, store, None)
    if not wait_until(lambda: host.ask("ready", "/ready") == 200):
        raise TimeoutError("the host is not ready")
    return host


def exit_code(host, seconds=GRACE_S):
    """Exit code of a host, which must end within the time that the platform leaves it; None if it does not."""
    wait_until(lambda: host.process.poll() is not None, seconds)
    return host.process.returncode


def every_thread_blocks_the_signals(build, work, store, failures):
    """Guards against a thread, of the program or of a library, that takes a signal with its default action."""
    host = ready_host(build, work, store)
    host.ordinary_request()
    crowd.check(not (names := threads_with_unblocked_signals(host.pid)), f"threads that would take a signal: {names}", failures)
    host.end()


def hangups_in_series(build, work, store, failures):
    """Guards against SIGHUP ending the process, or cutting off a request."""
    host = ready_host(build, work, store)
    senders = senders_of(host)
    for _ in range(SERIES):
        host.process.send_signal(signal.SIGHUP)
        time.sleep(SERIES_PAUSE_S)
    crowd.check(wait_until(lambda: number_of(host, "settings_checked") > 0), "the settings are read again", failures)
    crowd.check(host.process.poll() is None, f"SIGHUP does not end the process: {host.process.returncode}", failures)
    end_all(senders, "SIGHUP", failures)
    host.end()


def drain_beside_open_connections(build, work, store, failures):
    """Guards against a planned stop that cuts requests off on connections that stay in use, or that a later signal shortens."""
    host = ready_host(build, work, store)
    senders = senders_of(host)
    time.sleep(0.5)
    begun = time.monotonic()
    host.process.send_signal(signal.SIGTERM)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        time.sleep(SERIES_PAUSE_S)
        host.process.send_signal(number)
    code = exit_code(host)
    crowd.check(code == 0, f"a drained host ends with code 0: {code} after {time.monotonic() - begun:.1f} s", failures)
    end_all(senders, "SIGTERM", failures)


def owner_hands_over(build, work, store, failures):
    """Guards against an owner that is stopped without releasing the ownership, so that the fleet waits for its silence."""
    hosts = [ready_host(build, os.path.join(work, name), store) for name in ("first", "second")]
    wait_until(lambda: any(number_of(host, "ownership_begun") for host in hosts))
    owner, other = sorted(hosts, key=lambda host: -number_of(host, "ownership_begun"))
    begun = time.monotonic()
    owner.process.send_signal(signal.SIGTERM)
    taken = wait_until(lambda: number_of(other, "ownership_begun") > 0)
    seconds = time.monotonic() - begun
    crowd.check(number_of(owner, "ownership_released") == 1, "the owner releases the ownership", failures)
    crowd.check(taken and seconds < OWNER_SILENCE_S, f"the other host takes over after {seconds:.1f} s", failures)
    crowd.check((code := exit_code(owner)) == 0, f"the former owner ends with code 0: {code}", failures)
    other.end()


class SlowSettings:
    """Settings in a named pipe: the program waits in its read of them until they are written."""

    def __init__(self, work, text):
        self.path = os.path.join(work, "pipe.toml")
        self.text = text
        os.mkfifo(self.path)

    def write(self, meanwhile):
        """Calls a function once the program has opened the settings, and then writes them."""
        try:
            with open(self.path, "w", encoding="utf-8") as pipe:
                meanwhile()
                pipe.write(self.text)
        except BrokenPipeError:
            pass  # the program has ended


def signals_while_the_settings_are_read(build, work, store, failures):
    """Guards against a signal that ends a process which has not read its settings yet."""
    first = ready_host(build, os.path.join(work, "first"), store)
    first.end()
    with open(os.path.join(work, "first", "settings.toml"), encoding="utf-8") as file:
        settings = SlowSettings(work, file.read())
    host = crowd.Started(build, work, settings.path)

    def send_all():
        for number in (signal.SIGHUP, signal.SIGTERM):
            host.process.send_signal(number)

    settings.write(send_all)
    # The program closes the pipe before it starts; SIGHUP then lets it read the settings again.
    wait_until(lambda: number_of(host, "started") > 0 or host.process.poll() is not None)
    threading.Thread(target=settings.write, args=(lambda: None,), daemon=True).start()
    crowd.check((code := exit_code(host, WAIT_S)) == 0, f"a host that is stopped at its start ends with code 0: {code}", failures)
    crowd.check(number_of(host, "settings_checked") == 1, "SIGHUP is handled after the start", failures)
    host.end()


CASES = (
    every_thread_blocks_the_signals,
    hangups_in_series,
    drain_beside_open_connections,
    owner_hands_over,
    signals_while_the_settings_are_read,
)


def main():
    failures = []
    for case in CASES:
        print(f"-- {case.__name__}", flush=True)
        with tempfile.TemporaryDirectory(prefix="burdockspur.") as work:
            store = crowd.Store()
            case(sys.argv[1], work, store, failures)
            store.shutdown()
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
