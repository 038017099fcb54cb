"""A group of databases that speak the wire of PROTOCOL.md, with replication, crashes and promotions."""

import asyncio
import json
import time

CRLF = b"\r\n"
WORK_S = 0.004
# One way between regions; the databases are in other regions than the nodes and the store.
WAY_S = 0.012


class Refused(Exception):
    pass


class Database:
    def __init__(self, group, name, zone, receive_s, apply_s):
        self.group, self.name, self.zone = group, name, zone
        # Time until this database has received a commit, and until it has applied it afterwards.
        self.receive_s, self.apply_s = receive_s, apply_s
        self.leads, self.term, self.held_term = False, 1, 0
        self.log, self.applied = [], 0
        self.follows = None
        self.running, self.deaf, self.draining, self.suspended = True, False, False, False
        self.writers, self.server, self.port, self.seq = set(), None, 0, 0
        # The Unix millisecond of its start, if it tells.
        self.born = int(time.time() * 1000) if group.tell_born else None
        self.received = asyncio.Event()

    def position(self, length=None):
        length = len(self.log) if length is None else length
        return (self.log[length - 1][0] if length else 0, length)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """The process ends: its port refuses connections, and open connections break."""
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """A crashed database returns with its log, as a replica if another was promoted."""
        self.running = True
        self.suspended = False
        newest = self.group.newest_leader()
        if newest is not self:
            self.leads = False
        await self.listen()
        self.announce()

    async def restart_empty(self):
        """A database starts again under its id: it holds nothing and knows nothing of before."""
        self.running, self.leads, self.suspended = True, False, False
        self.term, self.held_term, self.log, self.applied = 0, 0, [], 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.listen()
        self.announce()

    def announce(self):
        if not self.running:
            return
        self.seq += 1
        entry = {
            "service": self.group.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "seq_num": self.seq,
            "db_role": "primary" if self.leads else "replica",
        }
        if self.born is not None:
            entry["born"] = self.born
        shown = {name: value for name, value in entry.items() if name != "seq_num"}
        self.last_written = time.monotonic()
        if shown != getattr(self, "shown", None) or f"servers/{self.name}" not in self.group.store.items:
            self.shown = shown
            value = json.dumps(entry).encode()
            # The way to the store takes as long as the way to another region.
            loop = asyncio.get_running_loop()
            loop.call_later(self.group.way_s, self.group.store.put, f"servers/{self.name}", value)

    async def beat(self):
        """Writes the entry at each heartbeat; the store drops it after three heartbeats of silence."""
        heartbeat = self.group.heartbeat_s
        next_beat = time.monotonic()
        while True:
            if self.running and time.monotonic() >= next_beat:
                self.announce()
                next_beat = time.monotonic() + heartbeat
            if time.monotonic() - self.last_written >= 3 * heartbeat:
                self.group.store.remove(f"servers/{self.name}")
            await asyncio.sleep(0.02)

    async def follow(self):
        """Receives the log of the newest primary that it can reach, and applies it."""
        while True:
            await asyncio.sleep(0.001)
            source = self.group.newest_leader()
            if not self.running or self.leads or self.deaf or self.suspended:
                continue
            if source is None or source is self or not source.running:
                continue
            await asyncio.sleep(0)
            now = time.monotonic()
            sent = 0
            # Entries that were committed at least `receive_s` ago have arrived.
            sent = source.arrived_by(now - self.receive_s)
            if source.term < self.term:
                continue
            if source.term > self.term and now - source.led_since < self.receive_s:
                continue
            log = source.log[:sent]
            if source.term > self.term or len(log) > len(self.log):
                common = 0
                for own, other in zip(self.log, log):
                    if own is not other:
                        break
                    common += 1
                self.term = source.term
                if common < len(self.log):
                    self.group.record(f"{self.name} rolls back {len(self.log) - common} commits")
                    self.applied = min(self.applied, common)
                self.log = log
                self.received.set()
                self.received = asyncio.Event()
                asyncio.get_running_loop().call_later(self.apply_s, self.apply, len(log))

    def apply(self, length):
        self.applied = min(max(self.applied, length), len(self.log))

    def arrived_by(self, moment):
        length = len(self.log)
        while length and self.log[length - 1][3] > moment:
            length -= 1
        return length

    async def commit(self, request, writes):
        """Appends a commit; with `sync_replicas` waits until one replica has received it."""
        if not self.leads:
            raise Refused("READONLY", self.name)
        entry = (self.term, request, tuple(writes), time.monotonic())
        self.log.append(entry)
        self.applied = len(self.log)
        number = len(self.log)
        self.group.committed.append((request, self.name, self.term, number, time.monotonic()))
        while self.group.sync_replicas:
            others = [it for it in self.group.members if it is not self]
            holding = [it for it in others if len(it.log) >= number and it.log[number - 1] is entry]
            if len(holding) >= self.group.sync_replicas:
                break
            if not self.running:
                raise ConnectionError
            await asyncio.sleep(0.001)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self)
        way = self.group.way_s
        loop = asyncio.get_running_loop()
        arriving = asyncio.Queue()

        async def read():
            """Has each line arrive one way's time after it was sent; lines sent together arrive together."""
            try:
                while True:
                    line = await reader.readuntil(CRLF)
                    loop.call_later(way, arriving.put_nowait, line)
            except (asyncio.IncompleteReadError, ConnectionError):
                arriving.put_nowait(None)

        def send(reply):
            if not writer.is_closing() and self.running:
                writer.write(reply.encode())

        reading = loop.create_task(read())
        try:
            while True:
                line = await arriving.get()
                if line is None or not self.running:
                    return
                reply = await session.answer(line[:-2].decode())
                if reply is None or not self.running:
                    return
                loop.call_later(way, send, reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            reading.cancel()
            self.writers.discard(writer)
            loop.call_later(way + 0.001, writer.close)


class Session:
    """One connection."""

    def __init__(self, database):
        self.database = database
        self.open = None
        self.values, self.prepared = {}, {}

    async def answer(self, line):
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            service, _, rest = rest.partition(" ")
            expected = rest.partition(" ")[2]
            if service != self.database.group.name or expected not in ("", self.database.name):
                return f"ERROR WRONGNODE {self.database.name}\r\n"
            return self.ready()
        if word == "RELEASE":
            return None
        request, _, text = rest.partition(" ")
        try:
            rows, signature = await self.run(request, text)
            lines = [f"DATAROW {row}\r\n" for row in rows] + [f"COMPLETE {signature}\r\n"]
        except Refused as refused:
            lines = [f"ERROR {refused.args[0]} {refused.args[1]}\r\n"]
            if self.open is not None and request != "-":
                self.open["failed"] = True
        return "".join(lines) + self.ready()

    def ready(self):
        state = "I" if self.open is None else "E" if self.open["failed"] else "T"
        term, number = self.database.position(self.database.applied)
        return f"READY {state} {term}.{number}\r\n"

    async def run(self, request, text):
        database = self.database
        if text.startswith("SYNCPOINT "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            held = database.applied >= number and (
                number == 0 or database.log[number - 1][0] >= term or database.position()[0] > term
            )
            if not held:
                raise Refused("LAGGING", database.name)
        word, _, rest = text.partition(" ")
        if self.open is not None and self.open["failed"] and word not in ("ROLLBACK", "COMMIT"):
            raise Refused("MALFORMED", "the transaction failed")
        if word == "BEGIN":
            if rest != "READ" and not database.leads:
                raise Refused("READONLY", database.name)
            self.open = {"plain": rest != "READ", "failed": False, "writes": []}
            return [], "-"
        if word == "ROLLBACK":
            self.open = None
            return [], "-"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], "-"
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return [], "-"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return [], "-"
        if word in ("STATUS", "SUSPEND", "RESUME", "STEPDOWN"):
            return [self.control(word, rest)], "-"
        await asyncio.sleep(WORK_S)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                raise Refused("NOSTMT", name)
            word = self.prepared[name][0]
        if self.open is not None and self.open["plain"] and not database.leads:
            if word != "COMMIT" or self.open["writes"]:
                raise Refused("READONLY", database.name)
        signature = f"s.{request}.{database.name}"
        if word == "COMMIT":
            transaction, self.open = self.open, None
            if transaction is None or transaction["failed"]:
                raise Refused("MALFORMED", "no transaction")
            if transaction["writes"]:
                await database.commit(request, transaction["writes"])
            return [], signature
        if word == "READ":
            database.group.reads.append((request, database.name, database.applied, time.monotonic()))
            return ["x"], signature
        if word == "WRITE":
            if self.open is not None:
                self.open["writes"].append(rest)
            else:
                await database.commit(request, [rest])
            return [], signature
        raise Refused("MALFORMED", word)

    def control(self, word, rest):
        database = self.database
        # The moment of the answer is recorded, so that a reader sees what the gateway was told.
        if word == "STEPDOWN" and database.leads and database.term < int(rest):
            database.leads = False
            database.held_term = int(rest)
            database.announce()
        if word == "SUSPEND" and not database.leads and int(rest) > database.term:
            database.suspended = True
            database.held_term = int(rest)
        if word == "RESUME":
            database.suspended = False
        role = "primary" if database.leads else "replica"
        term, number = database.position()
        row = f"{role} {database.term} {term}.{number} {database.held_term} 0 0 {len(database.writers)}"
        if word != "STATUS":
            database.group.record(f"{word} {rest} at {database.name} (term {database.term}): {row}")
        return row


class Group:
    """The databases of one service."""

    def __init__(self, store, name, record, heartbeat_s=1.2, sync_replicas=0, promote_s=0.3, old_goes_on=False,
                 tell_born=False):
        self.store, self.name, self.record = store, name, record
        self.heartbeat_s, self.sync_replicas, self.promote_s = heartbeat_s, sync_replicas, promote_s
        # With it, a replaced primary goes on until STEPDOWN or until a second after it can reach the new one.
        self.old_goes_on = old_goes_on
        self.tell_born = tell_born
        self.members, self.committed, self.reads, self.promotions = [], [], [], []
        self.tokens = []
        self.way_s = WAY_S

    async def add(self, name, zone, receive_s=0.008, apply_s=0.008, leads=False):
        database = Database(self, name, zone, receive_s, apply_s)
        database.leads, database.led_since = leads, time.monotonic()
        self.members.append(database)
        await database.listen()
        database.announce()
        loop = asyncio.get_running_loop()
        database.tasks = [loop.create_task(database.beat()), loop.create_task(database.follow())]
        return database

    def newest_leader(self):
        leading = [it for it in self.members if it.leads]
        return max(leading, key=lambda it: it.term, default=None)

    def on_promotion(self, document, headers):
        token = int(headers["x-fencing-token"])
        self.tokens.append(token)
        target = next((it for it in self.members if it.name == document["id"]), None)
        text = f"promotion of {document['id']} by {headers['x-duty-holder']} with token {token}"
        if target is None or not target.running:
            self.record(f"{text}: 409")
            return 409, {}
        self.record(f"{text}: 200")
        if target is not self.newest_leader():
            asyncio.get_running_loop().call_later(self.promote_s, self.promote, target)
        return 200, {}

    def promote(self, target):
        if not target.running:
            return
        old = [it for it in self.members if it.leads and it is not target]
        term = max(it.term for it in self.members) + 1
        target.leads, target.term, target.led_since = True, term, time.monotonic()
        target.suspended, target.applied = False, len(target.log)
        logged = {entry[1] for entry in target.log}
        self.promotions.append((time.monotonic(), target.name, term, logged))
        self.record(f"{target.name} leads term {term} with a log of {len(target.log)}")
        target.announce()
        for other in old:
            if self.old_goes_on and other.running:
                asyncio.get_running_loop().call_later(1.0, self.retire, other, target)
            else:
                self.retire(other, target)

    def retire(self, old, new):
        if old.leads and old.term < new.term:
            old.leads = False
            self.record(f"{old.name} has lost the lead")
            old.announce()
