"""One service of databases (PROTOCOL.md, "Databases", "The wire", "Singleton duties"): a primary and its replicas with
terms, logs and replication over a network with delays, and the service that carries out promotions."""

import asyncio
import hashlib
import time

from . import web

HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.012
SLOTS = 3
QUEUE = 24


class Entry:
    """One commit that wrote: `request` is the id of the write or of the COMMIT."""

    def __init__(self, term, number, request, writes):
        self.term, self.number, self.request, self.writes = term, number, request, writes


class Database:
    """One database. `log` is what it has received, `applied` how much of it it has applied."""

    def __init__(self, group, name, zone, host):
        self.group, self.name, self.zone, self.host = group, name, zone, host
        self.log, self.applied = [], 0
        self.term, self.held_term = 3, 0
        self.leads = self.led = self.draining = self.deaf = False
        self.running = self.is_listed = True
        self.address = None
        self.server = None
        self.writers = set()
        self.busy = self.queued = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.acknowledged = {}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.announcing = asyncio.create_task(self.announce_regularly())

    # The entry in the store.

    def announce(self):
        if not self.running or not self.is_listed:
            return
        document = {"service": self.group.name, "address": self.address, "zone": self.zone, "version": "v1",
                    "slots": SLOTS, "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
                    "db_role": "primary" if self.leads else "replica", "seq_num": 1}
        if document != self.group.announced.get(self.name):
            self.group.announced[self.name] = document
            self.group.store.put_document(f"servers/{self.name}", document)

    async def announce_regularly(self):
        while self.running:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self):
        """The process ends: its port refuses, its connections break."""
        self.led, self.leads, self.running = self.leads, False, False
        self.announcing.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.notify()

    async def restart(self):
        """The process returns with its log: as the primary, if it was that and no other was promoted."""
        newest = max(other.term for other in self.group.members.values())
        self.leads = self.led and newest == self.term
        if newest > self.term:
            self.group.follow_newest(self)
        self.running, self.held_term, self.is_listed = True, 0, True
        self.group.record(f"{self.name} is back, its log ends at {self.received()}")
        await self.start(int(self.address.rsplit(":", 1)[1]))
        self.group.ship_everything()

    # The log.

    def position(self):
        return f"{self.term}.{self.log[self.applied - 1].number if self.applied else 0}"

    def received(self):
        return f"{self.term}.{self.log[-1].number if self.log else 0}"

    def holds(self, position):
        term, number = (int(part) for part in position.split("."))
        return self.term >= term and (self.log[self.applied - 1].number if self.applied else 0) >= number

    async def commit(self, request, writes):
        """Appends a commit; returns once enough replicas have received it, False if the lead is lost meanwhile."""
        if not self.leads:
            return False
        term = self.term
        number = self.log[-1].number + 1 if self.log else 1
        self.log.append(Entry(term, number, request, writes))
        self.applied = length = len(self.log)
        for other in self.group.members.values():
            if other is not self:
                self.group.later(self, other, other.receive, self, term, length)
        needed = self.group.sync_replicas
        while self.running and self.term == term and self.leads:
            received = sum(1 for at in self.acknowledged.values() if at >= length)
            if received >= needed:
                return True
            changed = self.group.changed
            await changed.wait()
        return False

    def receive(self, primary, term, length):
        """Receives the primary's log up to `length`, unless nothing can be received now. What was sent before a
        step-down still arrives."""
        if not self.running or self.deaf or self.leads or self.held_term or self.term != term:
            return
        if len(self.log) < length:
            self.log.extend(primary.log[len(self.log):length])
            asyncio.get_running_loop().call_later(self.group.apply_s, self.apply, term, length)
        self.group.later(self, primary, primary.receive_acknowledgement, self.name, term, length)

    def receive_acknowledgement(self, replica, term, length):
        if self.term == term and self.leads:
            self.acknowledged[replica] = max(length, self.acknowledged.get(replica, 0))
            self.group.notify()

    def apply(self, term, length):
        if self.term == term:
            self.applied = max(self.applied, min(length, len(self.log)))

    # The wire.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the node has closed the connection, or the run is over
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, database, reader, writer):
        self.database, self.reader, self.writer = database, reader, writer
        self.transaction = None
        self.failed = False
        self.values, self.prepared = {}, {}

    async def run(self):
        database = self.database
        word, *fields = (await self.line()).split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        if word != "CONNECT" or fields[0] != database.group.name or (len(fields) > 2 and fields[2] != database.name):
            return self.send(["ERROR WRONGNODE another database"])
        if len(database.writers) > database.group.max_conns:
            return self.send(["ERROR OVERLOAD too many connections"])
        self.send([f"READY I {database.position()}"])
        while True:
            line = await self.line()
            if line == "RELEASE":
                return
            _, request, text = line.split(" ", 2)
            rows, end = await self.answer(request, text)
            if not database.running:
                return
            state = "E" if self.failed else "I" if self.transaction is None else "T"
            self.send([f"DATAROW {row}" for row in rows] + [end, f"READY {state} {database.position()}"])

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    def send(self, lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def answer(self, request, text):
        database = self.database
        if text.startswith("SYNCPOINT "):
            _, position, text = text.split(" ", 2)
            if not database.holds(position):
                return self.refuse("LAGGING")
        word, _, rest = text.partition(" ")
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            return [], "ERROR MALFORMED the transaction has failed"
        if word in ("STATUS", "SUSPEND", "RESUME", "STEPDOWN"):
            if word == "STATUS" and database.queued >= QUEUE:
                return self.refuse("BUSY")
            return self.control(word, rest)
        if word in ("SET", "PREPARE", "DEALLOC", "RESET", "ROLLBACK", "BEGIN"):
            return self.own(word, rest)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.refuse("NOSTMT")
            word = self.prepared[name][0]
        if word not in ("READ", "WRITE", "COMMIT"):
            return [], "ERROR MALFORMED an unknown statement"
        if database.queued >= QUEUE:
            return self.refuse("BUSY")
        database.queued += 1
        try:
            async with database.slots:
                database.busy += 1
                try:
                    await asyncio.sleep(database.group.work_s)
                finally:
                    database.busy -= 1
        finally:
            database.queued -= 1
        return await self.run_statement(request, word, rest)

    def refuse(self, code):
        if self.transaction is not None:
            self.failed = True
        return [], f"ERROR {code} {self.database.name}"

    def own(self, word, rest):
        if word == "BEGIN":
            if rest != "READ" and not self.database.leads:
                return self.refuse("READONLY")
            self.transaction = {"plain": rest != "READ", "term": self.database.term, "writes": []}
        elif word == "ROLLBACK":
            self.transaction, self.failed = None, False
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
        elif word == "DEALLOC":
            self.prepared.pop(rest, None)
        else:
            self.values, self.prepared = {}, {}
        return [], "COMPLETE -"

    def control(self, word, rest):
        database = self.database
        if word == "SUSPEND" and int(rest) > database.term and not database.leads:
            database.held_term = int(rest)
        elif word == "RESUME":
            database.held_term = 0
            database.group.ship_everything()
        elif word == "STEPDOWN" and database.leads and database.term < int(rest):
            database.leads = False
            database.group.record(f"{database.name} steps down at {database.received()}")
            database.group.notify()
            database.announce()
        role = "primary" if database.leads else "replica"
        row = f"{role} {database.term} {database.received()} {database.held_term} 0 {database.busy} {len(database.writers)}"
        return [row], "COMPLETE -"

    async def run_statement(self, request, word, rest):
        database, transaction = self.database, self.transaction
        lost = transaction and transaction["plain"] and (not database.leads or database.term != transaction["term"])
        if word == "COMMIT":
            writes = transaction["writes"] if transaction else []
            failed, self.transaction, self.failed = self.failed, None, False
            if transaction is None:
                return [], "ERROR MALFORMED no transaction is open"
            if failed or (writes and lost):
                return [], f"ERROR READONLY {database.name}"
            if writes and not await database.commit(request, writes):
                return [], f"ERROR INDOUBT {database.name}"
            return [], f"COMPLETE {signature(request)}"
        if lost or (word == "WRITE" and not database.leads):
            return self.refuse("READONLY")
        thing, _, data = rest.partition(" ")
        if word == "READ":
            found = "-"
            for entry in database.log[:database.applied]:
                for written, value in entry.writes:
                    found = value if written == thing else found
            database.group.record(f"{database.name} runs {request} READ {thing} at {database.position()}: {found}")
            return [found], f"COMPLETE {signature(request)}"
        if transaction is not None:
            transaction["writes"].append((thing, data))
        elif not await database.commit(request, [(thing, data)]):
            return [], f"ERROR INDOUBT {database.name}"
        database.group.record(f"{database.name} runs {request} WRITE {thing} {data}, log ends at {database.received()}")
        return [], f"COMPLETE {signature(request)}"


def signature(request):
    return hashlib.sha1(f"signed {request}".encode()).hexdigest()[:20]


class Group:
    """The databases of one service, and the service that promotes them."""

    def __init__(self, store, record, name, sync_replicas, host, one_way_s=0.0014, apply_s=0.008, work_s=0.006,
                 promote_s=1.0, max_conns=36):
        self.store, self.record, self.name, self.sync_replicas = store, record, name, sync_replicas
        self.host, self.one_way_s, self.apply_s, self.work_s = host, one_way_s, apply_s, work_s
        self.promote_s, self.max_conns = promote_s, max_conns
        self.members = {}
        self.announced = {}
        self.changed = asyncio.Event()
        self.greatest_fence = 0
        self.promoted = []
        self.cloud_address = None

    async def start(self, zones):
        for number, zone in enumerate(zones):
            await self.add(f"{self.name}-i{number}", zone, leads=number == 0)
        server = await web.serve(self.host, 0, self.handle)
        self.cloud_address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def add(self, name, zone, leads=False, port=0, log=()):
        database = Database(self, name, zone, self.host)
        database.leads = leads
        database.log = list(log)
        database.applied = len(database.log)
        database.term = max([it.term for it in self.members.values()], default=3)
        self.members[name] = database
        await database.start(port)
        self.ship_everything()
        return database

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def later(self, source, target, call, *arguments):
        """Delivers a message between two databases after the delay of the network."""
        asyncio.get_running_loop().call_later(self.one_way_s, call, *arguments)

    def ship_everything(self):
        """Replicas receive what they lack of the primary's log."""
        for primary in self.members.values():
            if primary.leads and primary.running:
                for other in self.members.values():
                    if other is not primary:
                        self.later(primary, other, other.receive, primary, primary.term, len(primary.log))

    async def release(self, name, drain_s):
        """A planned end: the database says `draining`, serves on for `drain_s` and a little longer, and ends. Its log
        passes to a new database at its address."""
        database = self.members[name]
        self.record(f"{name} says draining")
        database.draining = True
        database.announce()
        await asyncio.sleep(drain_s + 0.5)
        await self.pass_on(database)

    def follow(self, replica, primary):
        """A replica follows a new primary: what it is ahead of that log is rolled back."""
        common = 0
        while common < min(len(primary.log), len(replica.log)) and replica.log[common] is primary.log[common]:
            common += 1
        del replica.log[common:]
        replica.applied = min(replica.applied, common)
        replica.term, replica.held_term, replica.acknowledged = primary.term, 0, {}

    def follow_newest(self, replica):
        self.follow(replica, max(self.members.values(), key=lambda it: it.term))

    async def leave_silently(self, name, drain_s):
        """A planned end that never says `draining`: the entry goes, and the database serves on as long, and ends."""
        database = self.members[name]
        self.record(f"the entry of {name} goes; it serves on for {drain_s + 0.5} s")
        database.announcing.cancel()
        database.is_listed = False
        self.announced.pop(name, None)
        self.store.remove(f"servers/{name}")
        await asyncio.sleep(drain_s + 0.5)
        await self.pass_on(database)

    async def crash(self, name, down_s):
        """The process crashes and says nothing. Its entry goes after three heartbeats; it returns with its log."""
        database = self.members[name]
        self.record(f"{name} crashes, its log ends at {database.received()}")
        database.end()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.announced.pop(name, None)
        self.store.remove(f"servers/{name}")
        await asyncio.sleep(down_s - 3 * HEARTBEAT_S)
        await database.restart()

    async def pass_on(self, database):
        """The database ends, and its log passes to a new database at its address."""
        database.end()
        self.announced.pop(database.name, None)
        self.store.remove(f"servers/{database.name}")
        self.record(f"{database.name} ends")
        port = int(database.address.rsplit(":", 1)[1])
        del self.members[database.name]
        await asyncio.sleep(0.2)
        await self.add(f"{database.name}n", database.zone, port=port, log=database.log)

    async def handle(self, request):
        if request.method != "POST" or request.path != "/promotion":
            return 404, None
        fence = int(request.headers["x-fencing-token"])
        holder, name = request.headers["x-duty-holder"], request.body["id"]
        self.record(f"{holder} orders the promotion of {name} with fence {fence}")
        database = self.members.get(name)
        if fence < self.greatest_fence or database is None or not database.running:
            return 409, None
        self.greatest_fence = fence
        if not database.leads:
            asyncio.create_task(self.promote(database))
        return 200, {}

    async def promote(self, database):
        await asyncio.sleep(self.promote_s)
        if not database.running or database.leads:
            return
        term = max(it.term for it in self.members.values()) + 1
        database.term = term
        database.leads = True
        database.held_term = 0
        database.acknowledged = {}
        database.applied = len(database.log)
        for other in self.members.values():
            if other.running and other is not database:
                other.leads = False
                self.follow(other, database)
        self.promoted.append((time.monotonic(), database.name, term, [it.request for it in database.log]))
        self.record(f"{database.name} leads term {term} with its log up to {database.received()}")
        self.notify()
        for other in self.members.values():
            other.announce()
        self.ship_everything()
