"""A small HTTP/1.1 server and client on loopback addresses, for the stand-ins."""
import asyncio
import json

LOOPBACK = "127.0.0.1"


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class Connection:
    """One accepted connection; a stand-in may keep its own state in `state`."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.state = None

    def abort(self):
        self.writer.transport.abort()


async def read_message(reader):
    """Reads a start line, headers and a body; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            break
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode().strip(), headers, body


def encode_response(status, body):
    data = json.dumps(body, separators=(",", ":")).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data


class Server:
    """Calls `handler(connection, request)`; it returns (status, body), or None to leave the request without an answer."""

    def __init__(self, handler, on_connect=None):
        self.handler = handler
        self.on_connect = on_connect
        self.connections = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        """Closes the port and resets every connection, as the kernel does when the process is killed."""
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        if self.on_connect:
            self.on_connect(connection)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(connection, Request(method, target, headers, body))
                if answer is None:
                    await asyncio.Event().wait()
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


async def call(port, method, path, host="", body=None, timeout=3.0):
    """One request on a connection of its own; (status, body), or (None, reason) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host or LOOPBACK}\r\nContent-Type: application/json\r\n"
                          f"Timeout-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "the connection ended"
            line, _, content = message
            return int(line.split(" ")[1]), json.loads(content) if content else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
