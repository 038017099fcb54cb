"""A small HTTP/1.1 server for the stand-ins of the platform: keep-alive, JSON bodies, no other features."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Request:
    """One request; `query` is a dictionary, `body` the decoded JSON or an empty dictionary."""

    def __init__(self, method, path, query, headers, body):
        self.method, self.path, self.query = method, path, query
        self.headers, self.body = headers, body


async def serve(host, port, handle):
    """Serves `handle(request) -> (status, body)`; a status of None closes the connection without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, body = await handle(request)
                if status is None:
                    return
                data = b"" if body is None else json.dumps(body).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the client has left, or the run is over
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    data = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    body = json.loads(data) if data else {}
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)
