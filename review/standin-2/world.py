"""Starts the gateway's processes with the commands of the deploy file, and clients of them."""

import asyncio
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

sys.path.insert(0, os.path.dirname(__file__))
from databases import Group  # noqa: E402
from store import Store  # noqa: E402

ZONES = {"quito-norte": "sierra", "guayaquil-sur": "costa", "cuenca-centro": "austro"}


def look_up(fields, path, scope=None):
    value = scope if isinstance(scope, dict) and path.split(".")[0] in scope else fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(text_of, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, fields):
    """Fills the gaps of a settings template as DEPLOY.md describes them."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def replace(match):
        kind, path, body = match.groups()
        value = look_up(fields, path)
        if kind == "^":
            return fill(body, fields) if not value else ""
        if not value:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return fill(body, fields)
        filled = []
        for number, (key, entry) in enumerate(entries):
            part = body.replace("{{.}}", text_of(entry)).replace("{{@}}", text_of(key))
            part = part.replace("{{,}}", "," if number + 1 < len(entries) else "")
            filled.append(fill(part, fields))
        return "".join(filled)

    while section.search(template):
        template = section.sub(replace, template)
    return re.sub(r"\{\{([^}]+)\}\}", lambda gap: text_of(look_up(fields, gap.group(1))), template)


class World:
    """A small deployment: nodes, the store, one service."""

    def __init__(self, folder):
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.record_path = os.path.join(folder, "record.txt")
        self.lines = open(self.record_path, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp()
        self.nodes = []
        self.answers = []
        self.running_clients = []

    def record(self, text):
        self.lines.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def at(self, moment):
        return f"{moment - self.began:.3f}"

    async def start(self, nodes, bounds, max_conns=36, timeout_ms=800, **group):
        self.store = Store(lambda *call: self.group.on_promotion(*call))
        await self.store.start()
        self.group = Group(self.store, "ledger", self.record, **group)
        config = {
            "version": 3,
            "routes": [
                {
                    "name": f"route-{kind}",
                    "host": f"db-{kind}",
                    "route_type": kind,
                    "timeout_ms": timeout_ms,
                    "target_latency_ms": 600,
                    "priority": 1,
                    "service": "ledger",
                    "max_staleness_ms": 1500,
                }
                for kind in ("primary", "bounded_staleness", "read_own_writes")
            ],
            "services": [
                {"name": "ledger", "max_conns": max_conns, "sync_replicas": self.group.sync_replicas}
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("op/config", json.dumps(config).encode())
        deploy = tomllib.load(open(os.path.join(self.root, "deploy", "system.toml"), "rb"))
        self.role = deploy["roles"]["gateway"]
        self.ports = [free_port() for _ in range(5)]
        self.ips = [f"127.0.0.{11 + number}" for number in range(nodes)]
        self.bounds = bounds
        for number in range(nodes):
            self.spawn(number, bootstrap=True)
        return self

    def spawn(self, number, bootstrap=False):
        front, ready, control, peers, metrics = self.ports
        ip, zones = self.ips[number], list(ZONES)
        fields = {
            "node_name": f"front-{number}",
            "zone": zones[number % len(zones)],
            "ip": ip,
            "internal_ports": [peers, metrics],
            "seeds": [f"{it}:{control}" for it in self.ips[:3]],
            "bootstrap": bootstrap,
            "heartbeat_ms": int(self.group.heartbeat_s * 1000),
            "zones": ZONES,
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}", "control": f"{ip}:{control}"},
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4300, "link_mbps": 1000.0},
            "bounds": self.bounds,
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "cloud_api": {"address": f"127.0.0.1:{self.store.port}"},
        }
        template = open(os.path.join(self.root, self.role["template"])).read()
        path = os.path.join(self.folder, f"node-{number}.toml")
        with open(path, "w") as file:
            file.write(fill(template, fields))
        log = open(os.path.join(self.folder, f"node-{number}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DYKETALLY_NODE_FILE"] = path
        process = subprocess.Popen(
            self.role["run"].split(" "), cwd=self.root, env=environment, stdout=log, stderr=log
        )
        if number < len(self.nodes):
            self.nodes[number] = process
        else:
            self.nodes.append(process)
        self.record(f"node {number} starts")

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(self.ips[number], self.ports[1])
            writer.write(b"GET /dyketally/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=25):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            ready = [await self.is_ready(number) for number in range(len(self.nodes))]
            if all(ready):
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.2)
        could_not_run(self, "the nodes don't get ready")

    def client(self, name, node, route, think_s, text):
        """Sends one statement after the other over one session, and reconnects when it closes."""
        task = asyncio.get_running_loop().create_task(self.run_client(name, node, route, think_s, text))
        self.running_clients.append(task)

    async def run_client(self, name, node, route, think_s, text):
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.ips[node], self.ports[0])
                writer.write(f"CONNECT db-{route} {name}\r\n".encode())
                if not (await asyncio.wait_for(reader.readline(), 2)).startswith(b"READY"):
                    raise ConnectionError
                while True:
                    number += 1
                    request = f"{name}-{number}"
                    sent = time.monotonic()
                    writer.write(f"QUERY {request} {text} k{number}\r\n".encode() if text == "READ"
                                 else f"QUERY {request} {text} k{number} d{number}\r\n".encode())
                    end = None
                    while True:
                        line = (await asyncio.wait_for(reader.readline(), 4)).decode().strip()
                        if not line:
                            raise ConnectionError
                        if line.startswith(("COMPLETE", "ERROR")):
                            end = line
                        if line.startswith("READY"):
                            break
                    self.answers.append((request, text, sent, time.monotonic(), end))
                    await asyncio.sleep(random.uniform(0, 2 * think_s))
            except (OSError, asyncio.TimeoutError, ConnectionError):
                await asyncio.sleep(0.1)

    def acknowledged(self):
        """The time of the acknowledgement of each write that the client was told to be committed."""
        return {
            request: answered
            for request, text, _, answered, end in self.answers
            if text == "WRITE" and end.startswith("COMPLETE")
        }

    def log_events(self, *events):
        for number in range(len(self.nodes)):
            path = os.path.join(self.folder, f"node-{number}.log")
            for line in open(path, errors="replace"):
                if any(f'"event":"{event}"' in line for event in events) or "panick" in line:
                    self.record(f"log of node {number}: {line.strip()[:600]}")

    def stop(self):
        for task in self.running_clients:
            task.cancel()
        for process in self.nodes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for request, text, sent, answered, end in self.answers:
            self.lines.write(f"sent {self.at(sent)} answered {self.at(answered)} {request} {text}: {end[:80]}\n")
        for request, database, term, number, moment in self.group.committed:
            self.lines.write(f"committed {self.at(moment)} {request} at {database} {term}.{number}\n")
        self.lines.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def could_not_run(world, reason):
    world.record(f"the case couldn't run: {reason}")
    world.log_events("started")
    world.stop()
    print(reason)
    os._exit(2)


def finish(world, broken, text):
    world.record(text)
    world.stop()
    print(text)
    os._exit(1 if broken else 0)


def main(case):
    """Runs a case for at most 110 s."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    world = World(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        try:
            await asyncio.wait_for(case(world, trouble), 110)
        except asyncio.TimeoutError:
            could_not_run(world, "the case took too long")

    try:
        asyncio.run(limited())
    except Exception as error:  # The processes are ended whatever happens.
        world.record(repr(error))
        world.stop()
        raise SystemExit(2)
