"""Processes of the gateway, started with the command of the deploy file on loopback addresses."""

import asyncio
import os
import socket
import subprocess
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["target/release/dyketally-platformd"]
ZONES = {"east": "one", "west": "one", "north": "two"}


def free_ports(hosts, count):
    """Ports that are free for TCP and UDP on all of `hosts` now: ports are the same on all machines of a day."""
    held, ports = [], []
    while len(ports) < count:
        first = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        first.bind((hosts[0], 0))
        port = first.getsockname()[1]
        held.append(first)
        wanted = [(host, kind) for host in hosts for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)][1:]
        try:
            for host, kind in wanted:
                one = socket.socket(socket.AF_INET, kind)
                held.append(one)
                one.bind((host, port))
            ports.append(port)
        except OSError:
            pass
    for one in held:
        one.close()
    return ports


def nodes(folder, count, store, cloud, **further):
    """`count` processes, each at an address of its own; the first three are the seeds."""
    hosts = [f"127.0.0.{10 + number}" for number in range(count)]
    ports = free_ports(hosts, 4)
    seeds = [f"{host}:1" for host in hosts[:3]]
    return [Node(folder, number, hosts[number], ports, store, cloud, seeds, **further) for number in range(count)]


class Node:
    """One process of the gateway; its settings are `deploy/gateway.toml` with the gaps filled."""

    def __init__(self, folder, number, host, ports, store, cloud, seeds, drain_ms=7000, grace_s=6,
                 heartbeat_ms=1200, zones=ZONES):
        self.name = f"front-{number}"
        self.host = host
        self.front, self.ready, self.peers, self.metrics = ports
        self.settings = Path(folder) / f"{self.name}.toml"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None
        self.values = dict(store=store, cloud=cloud, drain_ms=drain_ms, grace_s=grace_s, heartbeat_ms=heartbeat_ms,
                           seeds=seeds, zones=zones, zone=list(zones)[number % len(zones)])

    def start(self, first_start=False):
        it = self.values
        zones = "\n".join(f'"{zone}" = "{region}"' for zone, region in it["zones"].items())
        seeds = ",".join(f'"{seed}"' for seed in it["seeds"])
        first = "first_start = true\n" if first_start else ""
        self.settings.write_text(
            f'[node]\nname = "{self.name}"\nzone = "{it["zone"]}"\nprocessor_share = 0.25\ndescriptors = 4300\n'
            f"memory_mb = 260\nlink_mbps = 1000.0\n{first}seeds = [{seeds}]\nseeds_at_own_port = true\n"
            f'[listen]\ncallers = "{self.host}:{self.front}"\nreadiness = "{self.host}:{self.ready}"\n'
            f'peers = "{self.host}:{self.peers}"\nmetrics = "{self.host}:{self.metrics}"\n[zones]\n{zones}\n'
            f'[store]\naddress = "{it["store"]}"\n[primary_control]\naddress = "{it["cloud"]}"\n'
            f'[bounds]\ndrain_ms = {it["drain_ms"]}\ncontact_ms = 5000\nstop_s = {it["grace_s"]}\n'
            f'heartbeat_ms = {it["heartbeat_ms"]}\n[access]\nwhen_out_of_touch = "serve"\n'
            "[reads]\nprimary_penalty_ms = 70\n"
        )
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DYKETALLY_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)

    def is_ready(self):
        """The answer to the platform's readiness question."""
        try:
            url = f"http://{self.host}:{self.ready}/dyketally/readiness"
            opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
            with opener.open(url, timeout=0.5) as answer:
                return answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def folder():
    """A temporary folder for the settings and logs of the processes."""
    return tempfile.TemporaryDirectory(prefix="review-")


async def wait_until_ready(nodes, limit_s=20):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        answers = [await asyncio.to_thread(node.is_ready) for node in nodes]
        if all(answers):
            return True
        await asyncio.sleep(0.1)
    return False
