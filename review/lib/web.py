"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import urllib.parse

LIMIT = 16 * 1024 * 1024


async def read_message(reader):
    """Returns the first line, the fields and the body of a message, or nothing at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    size = int(fields.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], fields, body


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        split = urllib.parse.urlsplit(target)
        self.path = split.path
        self.query = {name: values[0] for name, values in
                      urllib.parse.parse_qs(split.query, keep_blank_values=True).items()}
        self.fields = fields
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class Server:
    """Calls `handle(request)`, which returns (status, body), or nothing to leave the call without
    an answer for as long as the connection stays open."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def listen(self, address, port=0):
        self.server = await asyncio.start_server(self._serve, address, port, limit=LIMIT,
                                                 backlog=4096)
        return self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for each in list(self.writers):
            each.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(Request(method, target, fields, body))
                if answer is None:
                    await reader.read()  # until the caller gives up
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, target, body=None, fields=None, seconds=3.0):
    """Calls once on a new connection; returns (status, value), or (None, reason) without answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT)
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(text)}",
                     "Content-Type: application/json", "Connection: close"]
            given = {"Host": address, **(fields or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            line, _, got = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(got or b"null")
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as failure:
        return None, repr(failure)
    finally:
        if writer is not None:
            writer.transport.abort()
