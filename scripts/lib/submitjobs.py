"""Submits short batch jobs at a constant rate over persistent connections.

Arguments: ENTRY[,ENTRY...] RATE SECONDS; prints how many were accepted and refused."""
import http.client
import sys
import threading
import time

PER_CONNECTION = 4.0  # submissions/s; each answer waits for the next journal write, which limits the rate of a connection
BODY = ('{"kind":"batch","class":"short","team":"dispatch","cpu_millis":100,"memory_mb":10,'
        '"duration_ms":500,"payload":"p"}')


def submit(address, name, period, offset, end, accepted):
    connection = http.client.HTTPConnection(address, timeout=30)
    due = time.monotonic() + offset
    number = 0
    while due < end:
        time.sleep(max(0.0, due - time.monotonic()))
        connection.request("POST", "/v1/jobs", BODY, {"Burdockspur-Caller": "capacity", "Idempotency-Key": f"{name}-{number}"})
        answer = connection.getresponse()
        answer.read()
        accepted.append(answer.status == 202)
        number += 1
        due += period


def main():
    entries, rate, seconds = sys.argv[1].split(","), float(sys.argv[2]), float(sys.argv[3])
    count = max(1, round(rate / PER_CONNECTION))
    end = time.monotonic() + seconds
    accepted = []
    threads = [
        threading.Thread(target=submit, args=(entries[i % len(entries)], f"c{i}", count / rate, i / rate, end, accepted))
        for i in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"accepted={sum(accepted)} refused={len(accepted) - sum(accepted)}")


main()
