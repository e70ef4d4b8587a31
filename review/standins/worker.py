"""Stand-in for a worker: runs tasks, holds leases, lists ends until they are acknowledged (PROTOCOL.md, Running tasks)."""
import asyncio
import json
import time

from wire import Server

MAX_HOLD_MS = 10_000
STOP_SECONDS = 0.05  # at most stop_grace_ms = 200
HEARTBEAT_SECONDS = 1.1
ENDS_PER_ANSWER = 500


class Life:
    """What a worker knows between its start and its end; a restart begins with an empty one."""

    def __init__(self, wall_offset_ms=0):
        self.born = int(time.time() * 1000) + wall_offset_ms
        self.started_at = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}  # task -> Run
        self.ended_runs = {}  # task -> highest run that was stopped or has ended here
        self.ends = []
        self.sequence = 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1_000


class Run:
    def __init__(self, number, seconds):
        self.number = number
        self.began = time.monotonic()
        self.seconds = seconds
        self.is_stopping = False


class Worker:
    def __init__(self, store, record, name, capacity, seconds_of):
        self.store = store
        self.record = record
        self.name = name
        self.capacity = capacity
        self.seconds_of = seconds_of  # function(task) -> seconds of work, None for a task that lasts
        self.wall_offset_ms = 0  # of the machine's time of day
        self.life = Life()
        self.is_up = True
        self.is_draining = False
        self.open = asyncio.Event()  # cleared while the worker is cut off
        self.open.set()
        self.server = Server(self._serve, self._accept)
        self.sequence = 0

    async def start(self):
        await self.server.listen()
        await self.write_row()
        self.tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._work())]

    def cut(self):
        """From now on nothing passes in either direction; bytes are held up."""
        self.open.clear()
        self.record.note(self.name, "cut")

    def heal(self):
        self.open.set()
        self.record.note(self.name, "cut_healed")

    def restart(self):
        """The process is killed and starts again at once under its id; what ran has ended without a word."""
        for task, run in self.life.runs.items():
            self.record.note(self.name, "run_over", task=task, run=run.number, how="crash", born=self.life.born)
        self.life = Life(self.wall_offset_ms)
        self.record.note(self.name, "restarted", born=self.life.born)

    async def crash(self, seconds):
        """The process is killed, its connections are reset, and it starts again under its id and at its address."""
        self.is_up = False
        port = self.server.port
        await self.server.close()
        await asyncio.sleep(seconds)
        self.restart()
        self.server = Server(self._serve, self._accept)
        await self.server.listen(port)
        self.is_up = True
        await self.write_row()

    async def lose(self):
        """The worker is lost for good; the store removes its entry after three heartbeat intervals of silence."""
        self.is_up = False
        self.open.clear()
        for task, run in self.life.runs.items():
            self.record.note(self.name, "run_over", task=task, run=run.number, how="crash", born=self.life.born)
        self.life = Life(self.wall_offset_ms)
        self.record.note(self.name, "lost_for_good")

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_SECONDS)
            await self.store.remove("servers", self.name)
        asyncio.ensure_future(expire())

    async def write_row(self):
        self.sequence += 1
        await self.store.put("servers", self.name, json.dumps({
            "service": "pool", "address": f"127.0.0.1:{self.server.port}", "zone": "zone-a", "version": "v1", "slots": 8,
            "state": "draining" if self.is_draining else "ready", "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": ["a", "r1-1"], "clock_ms": self.life.clock(), "born": self.life.born, "seq": self.sequence}))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_up and self.open.is_set():
                await self.write_row()

    async def _work(self):
        while True:
            await asyncio.sleep(0.005)
            life = self.life
            lapsed = life.clock() >= life.lease_until
            for task, run in list(life.runs.items()):
                if lapsed:
                    self._end(life, task, "lapsed")
                elif run.seconds is not None and time.monotonic() - run.began >= run.seconds:
                    self._end(life, task, "done")

    def _end(self, life, task, how):
        run = life.runs.pop(task, None)
        if run is None or life is not self.life:
            return
        life.ended_runs[task] = max(life.ended_runs.get(task, 0), run.number)
        life.sequence += 1
        life.ends.append([life.sequence, task, run.number, how, ""])
        life.changed.set()
        self.record.note(self.name, "run_over", task=task, run=run.number, how=how, born=life.born, sequence=life.sequence)

    def _accept(self, connection):
        # A connection that is opened during a cut reaches the process that runs when the cut has healed.
        connection.state = self.life if self.open.is_set() else None

    async def _serve(self, connection, request):
        if not self.open.is_set():
            await self.open.wait()
        if connection.state is None:
            connection.state = self.life
        if connection.state is not self.life:
            # The bytes belong to a connection of the former process, which the new one does not know.
            connection.abort()
            return None
        life = self.life
        answer = await self._answer(life, request)
        if not self.open.is_set():
            await self.open.wait()
        return answer if life is self.life else None

    async def _answer(self, life, request):
        body = request.json()

        def reply(status, reason=None):
            return status, {"clock_ms": life.clock(), **({"reason": reason} if reason else {})}

        if request.headers.get("target-instance", self.name) != self.name:
            return reply(421)
        token = body.get("fencing_token", 0)
        if token < life.fence:
            return reply(409, "fence")
        life.fence = token
        if "deadline_ms" in body:
            life.lease_until = max(life.lease_until, min(body["deadline_ms"], life.clock() + MAX_HOLD_MS))
        if request.path == "/hold":
            return await self._hold(life, body)
        task, number = body.get("task"), body.get("run")
        running = life.runs.get(task)
        if request.path == "/run-start":
            if running and running.number == number:
                return reply(200)
            if number <= life.ended_runs.get(task, 0):
                return reply(409, "old")
            if body["deadline_ms"] <= life.clock():
                return reply(409, "late")
            life.runs[task] = Run(number, self.seconds_of(task))
            self.record.note(self.name, "run_begun", task=task, run=number, token=token, born=life.born, spec=body.get("spec"))
            return reply(200)
        if request.path == "/run-stop":
            life.ended_runs[task] = max(life.ended_runs.get(task, 0), number)
            if running and running.number == number and not running.is_stopping:
                running.is_stopping = True
                asyncio.get_running_loop().call_later(STOP_SECONDS, self._end, life, task, "stopped")
            return reply(200)
        return reply(200 if request.path == "/pace" else 404)

    async def _hold(self, life, body):
        acked = body.get("ack_cursor", 0)
        if life.ends and life.ends[0][0] <= acked:
            life.ends = [end for end in life.ends if end[0] > acked]
            self.record.note(self.name, "ends_acknowledged", up_to=acked, born=life.born)
        if not life.ends and body.get("wait_ms"):
            life.changed.clear()
            try:
                await asyncio.wait_for(life.changed.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in life.runs.items():
            percent = 100 if run.seconds is None else min(99, int(100 * (time.monotonic() - run.began) / run.seconds))
            running.append([task, run.number, "", percent, 500])
        return 200, {"clock_ms": life.clock(), "born": life.born, "running": running, "finished": life.ends[:ENDS_PER_ANSWER]}
