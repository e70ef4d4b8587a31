"""Crowds of clients outside the limits at one port of burdockspur-entry or burdockspur-scheduler.

crowddaemon.py CROWD PID PORT ENTRY sends the crowd to a port of the process. Like crowd.py it checks the life of the
process, its resident memory and its descriptors, and that an ordinary job, handed in at the address ENTRY, is accepted
beside the crowd and after it.
"""

import http.client
import resource
import struct
import sys

import crowd

BODY = 950_000  # below the largest body of a request, 1 MB
FRAME = 1024 * 1024  # the largest frame
MAX_FDS = 4100  # descriptors of the smallest hosts
HEAD = b"POST /v1/services/check/requests HTTP/1.1\r\nHost: a\r\nBurdockspur-Caller: crowd\r\n"
JOB = '{"kind":"batch","class":"short","team":"dispatch","cpu_millis":100,"memory_mb":10,"duration_ms":500,"payload":"p"}'

# One generator for each crowd: yields the bytes that one client sends, as far as the process reads them.


def large_chunks(_):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(19):
        yield crowd.chunk(b"x" * (BODY // 19))


def small_chunks(_):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(200):
        yield crowd.chunk(b"x") * 1_000


def one_byte_short(_):
    yield HEAD + b"Content-Length: %d\r\n\r\n" % BODY + b"x" * (BODY - 1)


def frames_one_byte_short(_):
    yield struct.pack("<I", FRAME) + b"x" * (FRAME - 1)


CROWDS = {
    "large_chunks": (300, large_chunks),
    "small_chunks": (300, small_chunks),
    "one_byte_short": (300, one_byte_short),
    "frames_one_byte_short": (900, frames_one_byte_short),
    "unread_metrics": (50, crowd.unread_metrics),
}
ADMIN_CROWDS = ("unread_metrics",)


def ordinary_job(entry, key):
    """Hands one ordinary job in; returns the status of the answer."""
    connection = http.client.HTTPConnection(entry, timeout=crowd.GUARD_SECONDS)
    connection.request("POST", "/v1/jobs", JOB, {"Burdockspur-Caller": "ordinary", "Idempotency-Key": key})
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.status


def status_of(port):
    """Asks an admin port for the status of its daemon; returns the status of the answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=crowd.GUARD_SECONDS)
    connection.request("GET", "/v1/status")
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.status


def play(name, process, port, entry):
    failures = []
    count, sends = CROWDS[name]
    before = ordinary_job(entry, "before")
    crowd.check(before == 202, f"an ordinary job is accepted before the crowd: {before}", failures)
    print(f"before: {process.memory_mb('VmRSS'):.0f} MB, {process.descriptors()} descriptors", flush=True)
    is_admin = name in ADMIN_CROWDS
    [clients] = crowd.sent_by([crowd.Crowd(port, count, sends, reads=not is_admin)])
    crowd.check(process.lives(), "the process lives", failures)
    if failures:
        return failures
    print(f"sent {clients.sent // 1_000_000} MB, {clients.closed} clients were closed", flush=True)
    beside = ordinary_job(entry, "beside")
    crowd.check(beside == before, f"an ordinary job is accepted beside the crowd: {beside}", failures)
    if is_admin:
        crowd.check(status_of(port) == 200, "the admin port answers beside the crowd", failures)
    peak = process.memory_mb("VmHWM")
    clients.close()
    after = ordinary_job(entry, "after")
    crowd.check(after == before, f"an ordinary job is accepted after the crowd: {after}", failures)
    left = crowd.await_memory(process)
    crowd.check(peak <= crowd.MEMORY_MB, f"at most {peak:.0f} MB, bound {crowd.MEMORY_MB}", failures)
    crowd.check(left <= crowd.MEMORY_MB / 2, f"{left:.0f} MB after the crowd, bound {crowd.MEMORY_MB // 2}", failures)
    crowd.check(process.most_fds <= MAX_FDS / 2, f"at most {process.most_fds} descriptors, bound {MAX_FDS // 2}", failures)
    crowd.check(process.lives(), "the process lives after the crowd", failures)
    return failures


def main():
    name, pid, port, entry = sys.argv[1:5]
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    sys.exit(1 if play(name, crowd.Watched(int(pid)), int(port), entry) else 0)


main()
