"""The platform's metadata store (PROTOCOL.md, "The platform's metadata store"): keys, leases, transactions, watches."""

import asyncio
import base64
import json
import time

from . import web

ANSWER_S = 0.004


class Item:
    def __init__(self, value, revision, created, lease):
        self.value, self.revision, self.created, self.lease = value, revision, created, lease


class Store:
    """The store; `put_document` and `remove` are the writes of the operator and of the databases."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 100
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, host):
        server = await web.serve(host, 0, self.handle)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.expiring = asyncio.create_task(self.expire_leases())

    def put_document(self, key, document):
        self.change([(key, json.dumps(document).encode(), 0)], [])

    def remove(self, key):
        self.change([], [key])

    def keys(self, prefix):
        return [key for key in self.items if key.startswith(prefix)]

    def change(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            created = old.created if old else self.revision
            self.items[key] = Item(value, self.revision, created, lease)
            self.history.append((self.revision, key, self.row(key)))
        for key in removals:
            if self.items.pop(key, None) is not None:
                gone = {"private_key": key, "revision": self.revision, "gone": True}
                self.history.append((self.revision, key, gone))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def row(self, key):
        item = self.items[key]
        return {"private_key": key, "value": base64.b64encode(item.value).decode(),
                "revision": item.revision, "created": item.created, "lease": item.lease}

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            keys = [key for key, item in self.items.items() if item.lease == lease]
            if keys:
                self.change([], keys)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [it for it, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        path = request.path
        if path == "/dyketally/kv-key":
            return self.read_key(request)
        if path == "/dyketally/kv-range":
            return self.read_range(request)
        if path == "/dyketally/kv-watch":
            return await self.watch(request)
        if path == "/dyketally/kv-txn":
            return self.transact(request.body)
        if path == "/dyketally/kv-lease":
            return self.grant(max(1000, int(request.body["ttl_ms"])))
        if path.startswith("/dyketally/kv-keep/"):
            return self.keep(int(path.rsplit("/", 1)[1]))
        if path.startswith("/dyketally/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, None

    def read_key(self, request):
        key = request.query["private_key"]
        if key not in self.items:
            return 404, None
        return 200, dict(self.row(key), as_of=self.revision)

    def read_range(self, request):
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.row(key) for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self.revision}

    async def watch(self, request):
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            events = [row for revision, key, row in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expected_rev", []):
            item = self.items.get(row["private_key"])
            if (item.revision if item else 0) != row["revision"]:
                keys = [it["private_key"] for it in body["expected_rev"] if it["private_key"] in self.items]
                return 412, {"items": [self.row(key) for key in keys]}
        puts = []
        for row in body.get("put", []):
            lease = row.get("lease") or 0
            if lease and lease not in self.leases:
                return 404, None
            puts.append((row["private_key"], base64.b64decode(row["value"]), lease))
        return 200, {"revision": self.change(puts, body.get("remove", []))}

    def grant(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}

    def keep(self, lease):
        if lease not in self.leases:
            return 404, None
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttl_ms": ttl_ms}
