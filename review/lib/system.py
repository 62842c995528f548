"""Starts nodes of chervilslip-fleetd on loopback over small stand-ins of the platform."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import web
from store import Store
from workers import Fleet, Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("CHERVILSLIP_FLEETD", os.path.join(ROOT, "target/bin/chervilslip-fleetd"))
STORE_PORT, CLOUD_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8344, 8346, 8340, 8343, 8345
HOST, PREFIX, KEY = "desk.example", "/orders/", "key-of-the-butchers"
CLAIM = "chervilslip/claim"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 115
FINISH_S = 14  # `finish_s` of the sheet
STUCK_S = 3     # as the rule LOST has it

# As on the sheet of the deployment `ember-drying`.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevocation": False, "revokeMs": 5000,
    "quotaWindowS": 5, "quotaOver": 0.1, "quotaSlack": 20, "recoverS": 12, "holdMaxMs": 6000,
    "stopGraceMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 1.5, "checkpointIntervalS": 1,
    "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "fencingRequired": False,
    "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000}


def configuration(max_attempts, standby):
    return {
        "version": 3,
        "routes": [{"name": "orders", "host": HOST, "prefix": PREFIX, "service": "main",
                    "priority": 0, "maxAttempts": max_attempts, "stretch": 1.6,
                    "targetLatencyMs": 600}],
        "services": [{"name": "main", "rejectsOverload": True},
                     *([{"name": "yard", "standby": True}] if standby else [])],
        "tenants": [{"name": "butchers", "weight": 1.0, "apiKeys": [KEY]}], "limits": {}}


def step(count, cpu, seconds, how="done", **fields):
    """A step as a client sends it, and what its tasks do."""
    mem = fields.pop("memMb", 10)
    sent = {"count": count, "cpu": cpu, "memMb": mem,
            "estimatedMs": int(seconds * 1000) or 500, **fields}
    return sent, ({"cpu": cpu, "memMb": mem}, seconds, how)


class System:
    def __init__(self, folder, nodes=3, workers=3, cpu=16000, max_attempts=3,
                 standby=False):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.block = self._free_block()
        self.store = Store(self.note)
        self.fleet = Fleet(self.store, self.note)
        self.nodes = [f"entry-{index}" for index in range(nodes)]
        self.processes = {}
        self.servers = []
        self.accepted = {}  # id of a job: time of the 2xx
        self.max_attempts, self.standby = max_attempts, standby
        self.fleet.standby = {"yard"} if standby else set()
        for index in range(workers):
            self.fleet.workers.append(Worker(self.fleet, f"m{index}", "main", f"r{index}",
                                             {"cpu": cpu, "memMb": 65536, "gpu": 0},
                                             f"{self.block}.{100 + index}"))
        self.note("begin", trouble=self.trouble)

    def note(self, what, **fields):
        seconds = time.monotonic() - self.begun
        self.record.write(f"{seconds:8.3f} {what} {json.dumps(fields)}\n")
        self.record.flush()

    @staticmethod
    def _free_block():
        for _ in range(50):
            block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last, port in ((250, STORE_PORT), (250, CLOUD_PORT), (1, FRONT_PORT)):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{last}", port))
                return block
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    # Nodes.

    def address(self, index, port):
        return f"{self.block}.{index + 1}:{port}"

    def settings(self, index):
        ip = f"{self.block}.{index + 1}"
        return {
            "nodeName": self.nodes[index], "role": "entry", "machineClass": "front",
            "serves": ["front", "control"], "ip": ip, "zone": "zone-a", "region": "cairo",
            "zones": {"zone-a": "cairo"},
            "bindAddresses": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}",
                              "control": f"{ip}:{CONTROL_PORT}"},
            "internalPorts": [7000, 7015],
            "seeds": [self.address(each, CONTROL_PORT) for each in range(len(self.nodes))][:3],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants",
                          "quota", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "orders": "request",
            "platform": {"address": f"{self.block}.250:{STORE_PORT}", "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": f"{self.block}.250:{CLOUD_PORT}", "ratePerS": 64.0,
                         "duties": [], "dutiesPerS": 64.0}}

    def start_node(self, index):
        name = self.nodes[index]
        path = os.path.join(self.directory, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(index), file)
        variables = {each: os.environ[each] for each in ("PATH", "HOME", "LANG")
                     if each in os.environ}
        with open(os.path.join(self.directory, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [PROGRAM], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={**variables, "CHERVILSLIP_BOOT": path})
        self.note("node starts", node=name, pid=self.processes[name].pid)

    def signal(self, index, number):
        name = self.nodes[index]
        self.note("signal", node=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def owner(self):
        """The node that holds the claim, by the store, or nothing."""
        record = self.store.value(CLAIM)
        return self.nodes.index(record["holder"]) if record else None

    async def begin(self):
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError(f"{os.path.relpath(PROGRAM, ROOT)} isn't built")
        self.tasks = [asyncio.create_task(self.store.keep_time()),
                      asyncio.create_task(self.fleet.keep_time())]
        for port, served in ((STORE_PORT, self.store), (CLOUD_PORT, self.fleet)):
            server = web.Server(served.handle)
            await server.listen(f"{self.block}.250", port)
            self.servers.append(server)
        self.store.put("op/config", configuration(self.max_attempts, self.standby))
        for each in self.fleet.workers:
            await each.begin()
        for index in range(len(self.nodes)):
            self.start_node(index)
        end = time.monotonic() + 20
        for index in range(len(self.nodes)):
            while (await web.call(self.address(index, READY_PORT), "GET", "/v1/readyz",
                                  seconds=1))[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"{self.nodes[index]} isn't ready")
                await asyncio.sleep(0.1)
        while self.owner() is None:
            if time.monotonic() > end:
                raise RuntimeError("no node holds the claim")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        self.note("ready", owner=self.nodes[self.owner()])

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for each in self.servers:
            each.stop()
        for each in self.fleet.workers:
            if each.server:
                each.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()

    # Clients.

    async def client(self, method, job, body=None, node=0, seconds=3.0):
        status, value = await web.call(
            self.address(node, FRONT_PORT), method, PREFIX + job, body,
            {"Host": HOST, "Authorization": f"Bearer {KEY}"}, seconds)
        self.note("client", method=method, job=job, sent=body, node=self.nodes[node],
                  status=status, answer=value)
        return status, value

    async def submit(self, job, steps, tries=5, **fields):
        """Hands a job in as a client does, again at other nodes after no answer, 429 or 503."""
        self.fleet.jobs[job] = [does for _, does in steps]
        body = {"spec": f"work of {job}", "steps": [sent for sent, _ in steps], **fields}
        for attempt in range(tries):
            status, _ = await self.client("POST", job, body, node=attempt % len(self.nodes))
            if status is not None and 200 <= status < 300:
                self.accepted[job] = time.monotonic()
                return True
            if status not in (None, 429, 502, 503, 504):
                return False
            await asyncio.sleep(0.3)
        return False

    async def state(self, job):
        for node in range(len(self.nodes)):
            if self.processes[self.nodes[node]].poll() is None:
                status, value = await self.client("GET", job, node=node)
                if status == 200:
                    return value["state"]
                if status == 410:
                    return "410"
        return None

    async def await_state(self, job, wanted, seconds):
        end = time.monotonic() + seconds
        found = None
        while time.monotonic() < end:
            found = await self.state(job)
            if found in wanted:
                return found
            await asyncio.sleep(0.3)
        return found

    async def never_run(self, jobs, cpu):
        """The rule LOST, `finish_s` after the end of the traffic: returns the jobs that have
        nothing running for 3 s, though capacity for a task of `cpu` is there twice over and under
        half of the service's capacity is in use. Tenants have no `cap` here, and the jobs have one
        step, so the turn of their tasks has come."""
        waiting = [each for each in jobs
                   if await self.state(each) not in ("completed", "failed", "cancelled")]
        end = time.monotonic() + STUCK_S
        while waiting and time.monotonic() < end:
            workers = [each for each in self.fleet.workers if each.up and each.pool == "main"]
            capacity = sum(each.capacity["cpu"] for each in workers)
            used = sum(each.used("cpu") for each in workers)
            room = max((each.capacity["cpu"] - each.used("cpu") for each in workers), default=0)
            if room < 2 * cpu or 2 * used >= capacity:
                return []
            waiting = [each for each in waiting if not self.fleet.truth.at_work(each)]
            await asyncio.sleep(0.05)
        found = [each for each in waiting
                 if await self.state(each) not in ("completed", "failed", "cancelled")]
        if found:
            self.note("stuck", jobs=found, used={each.machine: each.used("cpu")
                                                 for each in workers}, of=capacity)
        return [f"LOST: {each} was accepted and has nothing running" for each in found]


def play(folder, scene, **options):
    """Runs `scene(system)`, which returns the broken rules it has seen; exits as a case does."""
    async def run():
        system = System(folder, **options)
        try:
            async with asyncio.timeout(LONGEST_S):
                await system.begin()
                broken = await scene(system) + system.fleet.truth.broken
            for each in broken[:10]:
                print("BROKEN", each)
            print(f"{len(broken)} broken, {sum(system.fleet.truth.starts.values())} starts")
            system.note("result", broken=broken[:20], count=len(broken))
            return BROKEN if broken else HELD
        except Exception as failure:  # whatever happens, the case says that it couldn't run
            print("not run:", repr(failure))
            system.note("not run", cause=repr(failure))
            return NOT_RUN
        finally:
            system.close()
    sys.exit(asyncio.run(run()))
