"""Stand-in for the platform's metadata store: rows, transactions and feeds as PROTOCOL.md describes them."""
import asyncio
import base64
import time
from urllib.parse import unquote

from wire import Server

ROW_BYTES = 65_536
TX_SECONDS = 0.004  # duration of a transaction, as in the site files


class Store:
    """Each host gets a port of its own, so that a fault can be limited to one host."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> [value, version, is_deleted]
        self.version = 0
        self.changed = asyncio.Condition()
        self.servers = {}
        self.lose_answer = None  # function(host, transaction) -> seconds until it is done, or None
        self.turned_away = {}  # host -> "silent", "busy" or "reset"

    async def listen(self, host):
        async def handler(connection, request):
            return await self._serve(host, connection, request)
        self.servers[host] = Server(handler)
        await self.servers[host].listen()
        return self.servers[host].port

    async def put(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = [base64.b64encode(value.encode()).decode(), self.version, False]
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = ["", self.version, True]
            self.changed.notify_all()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None or row[2] else base64.b64decode(row[0]).decode()

    async def _serve(self, host, connection, request):
        mode = self.turned_away.get(host)
        if mode == "silent":
            return None
        if mode == "busy":
            return 503, {}
        if mode == "reset":
            connection.abort()
            return None
        query = {name: unquote(value) for name, value in request.query.items()}
        if request.path == "/rows-tx":
            return await self._transact(host, connection, request.json())
        if request.path == "/rows-get":
            await asyncio.sleep(0.002)
            return 200, self._get(query)
        if request.path == "/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, host, connection, transaction):
        delay = self.lose_answer(host, transaction) if self.lose_answer else None
        if delay is not None:
            # Done later if its condition still holds, and never answered; the connection delivers nothing further.
            async def apply_late():
                await asyncio.sleep(delay)
                status, _ = await self._apply(transaction)
                self.record.note("store", "late_transaction", host=host, after_s=delay, status=status,
                                 writes=["/".join((w["table"], w["part"], w["key"])) for w in transaction["writes"]])
            asyncio.ensure_future(apply_late())
            return None
        await asyncio.sleep(TX_SECONDS)
        return await self._apply(transaction)

    async def _apply(self, transaction):
        def name(entry):
            return entry["table"], entry["part"], entry["key"]

        async with self.changed:
            current = []
            fits = True
            for entry in transaction["expected_rev"]:
                row = self.rows.get(name(entry))
                version = 0 if row is None or row[2] else row[1]
                fits = fits and version == entry["ver"]
                if version:
                    current.append(self._encode(name(entry), row))
            if any(len(base64.b64decode(entry["value"])) > ROW_BYTES for entry in transaction["writes"]):
                return 400, {}
            if not fits:
                return 412, {"rows": current, "ver": self.version, "now_ms": self._now()}
            self.version += 1
            for entry in transaction["writes"]:
                self.rows[name(entry)] = [entry["value"], self.version, False]
            for entry in transaction["remove"]:
                if name(entry) in self.rows:
                    self.rows[name(entry)] = ["", self.version, True]
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self._now()}

    def _get(self, query):
        begin, end = query.get("from", ""), query.get("target", "")
        limit = min(500, int(query.get("limit") or 500))
        names = sorted((name for name, row in self.rows.items() if name[0] == query["table"] and name[1] == query.get("part", "")
                        and not row[2] and name[2] >= begin and (not end or name[2] < end)), key=lambda name: name[2].encode())
        page = [self._encode(name, self.rows[name]) for name in names[:limit]]
        return {"rows": page, "has_more": len(names) > limit, "ver": self.version, "now_ms": self._now()}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])

        def changes():
            names = [name for name, row in self.rows.items() if name[0] == table and row[1] > after]
            return sorted(names, key=lambda name: self.rows[name][1])

        async with self.changed:
            if not changes():
                try:
                    await asyncio.wait_for(self.changed.wait_for(changes), int(query.get("wait_ms") or 0) / 1000)
                except asyncio.TimeoutError:
                    pass
            return {"rows": [self._encode(name, self.rows[name]) for name in changes()], "ver": self.version, "now_ms": self._now()}

    @staticmethod
    def _encode(name, row):
        encoded = {"table": name[0], "part": name[1], "key": name[2], "value": row[0], "ver": row[1]}
        if row[2]:
            encoded["tombstone"] = True
        return encoded

    @staticmethod
    def _now():
        return int(time.monotonic() * 1000)
