"""The platform's store and its appointing service, over HTTP/1.1 on a loopback address."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


class Store:
    """Items with revisions, leases and watches, as PROTOCOL.md describes them."""

    def __init__(self, on_promotion):
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.on_promotion = on_promotion
        self.port = None
        # How long the answer to a watch is on its way, as the nodes are in other regions.
        self.way_s = 0.012

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.expire_leases())

    # Changes by the platform itself: the operator and the databases.
    def put(self, key, value, lease=0):
        self.revision += 1
        former = self.items.get(key)
        self.items[key] = {
            "private_key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": former["created"] if former else self.revision,
            "lease": lease,
        }
        self.note(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"private_key": key, "revision": self.revision, "gone": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [it for it, (until, _) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                document = json.loads(body) if body else {}
                status, answer = await self.answer(method, url.path, query, document, headers)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, document, headers):
        if path == "/promotion":
            return self.on_promotion(document, headers)
        await asyncio.sleep(0.004)
        if path == "/dyketally/kv-key":
            item = self.items.get(query["private_key"])
            return (200, dict(item, as_of=self.revision)) if item else (404, {"as_of": self.revision})
        if path == "/dyketally/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/dyketally/kv-watch":
            answer = await self.watch(query)
            await asyncio.sleep(self.way_s)
            return answer
        if path == "/dyketally/kv-txn":
            return self.transact(document)
        if path == "/dyketally/kv-lease":
            ttl = max(1000, min(600000, document["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    async def watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["private_key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, document):
        expected = document.get("expected_rev", [])
        puts = document.get("put", [])
        for row in expected:
            item = self.items.get(row["private_key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(row["private_key"]) for row in expected]
                return 412, {"items": [item for item in found if item]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["private_key"], base64.b64decode(put["value"]), put.get("lease") or 0)
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
