"""Cases of the rule LOST for a service with `sync_replicas` 1: a small deployment under writes, and the judgement."""

import asyncio
import os
import signal
import sys
import time

from . import gateway
from .client import Session
from .databases import Group, signature
from .record import Record
from .store import Store

ZONES = ["east", "west", "north"]
CLIENTS = 6
WRITING_S = 14


class Writer:
    """A client that counts a thing of its own upwards, one single write after the other."""

    def __init__(self, number, node, record):
        self.number, self.thing, self.node, self.record = number, f"t{number}", node, record
        self.acknowledged = []

    async def run(self, until):
        session, count = None, 0
        while time.monotonic() < until:
            count += 1
            request = f"{self.number:02x}{count:06x}"
            try:
                if session is None:
                    session = await Session.open(self.node.host, self.node.front, "book")
                self.record(f"client {self.number} sends {request} WRITE {self.thing} {count}")
                answer = await session.ask(request, f"WRITE {self.thing} {count}")
                outcome = f"COMPLETE {answer.end}" if answer.end else f"ERROR {answer.code} {answer.text}"
                self.record(f"client {self.number} gets {request} {outcome}")
                if answer.end == signature(request):
                    self.acknowledged.append((time.monotonic(), request, count))
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                self.record(f"client {self.number} gets no answer to {request}: {error!r}")
                if session:
                    session.close()
                session = None
            await asyncio.sleep(0.02)
        if session:
            session.close()


async def play(record, folder, disrupt, trouble):
    """Starts the deployment, has clients write for `WRITING_S` while `disrupt(group, record, trouble)` runs, and judges."""
    store = Store()
    await store.start("127.0.0.1")
    group = Group(store, record, "stock", sync_replicas=1, host="127.0.0.1")
    await group.start(ZONES)
    route = {"name": "r-book", "host": "book", "path_prefix": "/", "route_type": "primary", "timeout_ms": 800,
             "target_latency_ms": 600, "priority": 1, "service": "stock", "max_attempts": 2}
    service = {"name": "stock", "health_path": "/health", "max_conns": 36, "protocol": "h1", "tls": False,
               "sync_replicas": 1}
    store.put_document("op/config", {"version": 7, "routes": [route], "services": [service],
                                     "limits": {"tx_idle_ms": 3000}})
    nodes = gateway.nodes(folder, 3, store.address, group.cloud_address)
    try:
        for node in nodes:
            node.start(first_start=True)
        if not await gateway.wait_until_ready(nodes):
            record("the nodes didn't become ready")
            return 2
        await asyncio.sleep(8)
        if not store.keys("dyketally/duty/"):
            record("no node has the duty")
            return 2
        writers = [Writer(number, nodes[number % len(nodes)], record) for number in range(CLIENTS)]
        until = time.monotonic() + WRITING_S
        running = [asyncio.create_task(writer.run(until)) for writer in writers]
        await asyncio.sleep(2)
        await asyncio.gather(*running, disrupt(group, record, trouble))
        return judge(record, group, writers, trouble)
    finally:
        for node in nodes:
            node.stop()
        for node in nodes:
            for line in node.log.read_text(encoding="utf-8", errors="replace").splitlines():
                if "failover_step" in line:
                    record(f"log of {node.name}: {line}")


def judge(record, group, writers, trouble):
    """LOST: the log of the promoted database lacks a commit whose success a client had received before."""
    acknowledged = sum(len(writer.acknowledged) for writer in writers)
    if not acknowledged or (trouble and not group.promoted):
        record("nothing was acknowledged, or no database was promoted")
        return 2
    lost = set()
    for when, name, term, log in group.promoted:
        held = set(log)
        for writer in writers:
            for at, request, count in writer.acknowledged:
                if at < when and request not in held and request not in lost:
                    lost.add(request)
                    record(f"LOST: {name}, leader of term {term}, lacks {request} (WRITE {writer.thing} {count}), "
                           f"acknowledged {when - at:.3f} s before")
    record(f"{acknowledged} commits were acknowledged, {len(lost)} of them are lost")
    return 1 if lost else 0


def hear_again_later(group, replica, after_s, record):
    """Ends the time in which a replica receives nothing."""

    def hear():
        record(f"{replica.name} receives again")
        replica.deaf = False
        group.ship_everything()

    asyncio.get_running_loop().call_later(after_s, hear)


def main(folder_of_case, disrupt):
    """Plays the case and exits with its result; `TROUBLE=0` leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A run that is ended from outside stops its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder_of_case / "record.txt")
    try:
        with gateway.folder() as folder:
            result = asyncio.run(play(record, folder, disrupt, trouble))
    except (Exception, KeyboardInterrupt) as error:
        record(f"the case couldn't run: {error!r}")
        result = 2
    record(f"exit {result}")
    record.close()
    sys.exit(result)
