"""Workers and machines of the platform, as PROTOCOL.md describes them."""

import asyncio
import time

from web import Server

ENDS_A_LIST = 500
HOLD_MAX_S = 6.0
STOP_S = 0.3
HEARTBEAT_S = 1.5
MOVE_S = 1.5


def unix_ms():
    return int(time.time() * 1000)


class Run:
    def __init__(self, task, number, size, ends, how):
        self.task, self.number, self.size, self.ends, self.how = task, number, size, ends, how


class Worker:
    """One machine and its worker process; `life` counts the processes."""

    def __init__(self, fleet, machine, pool, rack, capacity, address):
        self.fleet, self.machine, self.pool = fleet, machine, pool
        self.rack, self.capacity, self.address = rack, capacity, address
        self.server, self.port = None, 0
        self.life, self.up, self.sequence = 0, False, 0
        self.registers = True

    async def begin(self, same_id=False, port=0):
        self.life += 1
        if not same_id or self.life == 1:
            self.id = f"w-{self.machine}-{self.life}"
        self.born = unix_ms()
        self.begun = time.monotonic()
        self.token, self.lease = 0, 0.0
        self.running, self.highest = {}, {}
        self.finished, self.last_end = [], 0
        self.ended = asyncio.Event()
        self.up = True
        self.state = "up"
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.address, port)
        self.register()
        self.fleet.note("worker begins", machine=self.machine, id=self.id, born=self.born)

    def crash(self, why="crash"):
        """Ends the process: what runs is gone, and its connections are reset."""
        self.fleet.note("worker ends", machine=self.machine, id=self.id, why=why,
                        running=sorted(self.running))
        self.up, self.state = False, "down"
        self.fleet.silent_since[self.id] = time.monotonic()
        for task in list(self.running):
            self.fleet.truth.gone(self, self.running.pop(task))
        self.server.stop()

    async def move(self, pool):
        """Ends the worker at once; a new one joins the pool, unless its machines are off."""
        self.crash("move")
        self.fleet.silent_since.pop(self.id, None)
        self.fleet.store.drop(f"servers/{self.id}")
        self.state, self.pool = "moving", pool
        await asyncio.sleep(MOVE_S)
        if pool in self.fleet.standby:
            self.state = "up"
        else:
            await self.begin()

    def listed(self):
        return {"machine": self.machine, "pool": self.pool, "state": self.state, "zone": "zone-a",
                "labels": ["a", self.rack], "capacity": self.capacity,
                "id": self.id if self.up else ""}

    def register(self):
        if self.up and self.registers:
            self.sequence += 1
            self.fleet.store.put(f"servers/{self.id}", self.entry())
            self.fleet.silent_since.pop(self.id, None)

    def entry(self):
        return {"born": self.born, "service": self.pool, "address": f"{self.address}:{self.port}",
                "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "sequence": self.sequence, "machine": self.machine,
                "labels": ["a", self.rack], "capacity": self.capacity}

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    def used(self, name):
        return sum(run.size.get(name, 0) for run in self.running.values())

    # Time.

    def settle(self):
        now = time.monotonic()
        for run in [each for each in self.running.values() if each.ends and each.ends <= now]:
            self._end(run, run.how)
        if self.clock() > self.lease:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
            for row in self.finished:
                row["lapsed"] = True

    def _end(self, run, how):
        del self.running[run.task]
        self.last_end += 1
        self.finished.append({"number": self.last_end, "task": run.task, "run": run.number,
                              "how": how, "lapsed": False})
        self.fleet.truth.end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    # Calls.

    async def handle(self, request):
        if not self.up:
            return None
        if request.fields.get("x-chervilslip-target-instance") != self.id:
            return 421, {}
        body = request.json()
        self.settle()
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        if request.path == "/v1/hold":
            return await self._hold(body)
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def _extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_S * 1000))

    async def _hold(self, body):
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        for row in self.finished:
            if row["number"] <= seen and not row["lapsed"]:
                self.fleet.truth.noted(row["task"], row["run"], row["how"])
        self.finished = [row for row in self.finished if row["number"] > seen]
        end = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.finished and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.ended.wait(), end - time.monotonic())
            except TimeoutError:
                pass
            if not self.up:
                return None
        self.settle()
        return 200, {
            "born": self.born, "clockMs": self.clock(),
            "running": [[run.task, run.number, "", 100, 0] for run in self.running.values()],
            "finished": [[row["number"], row["task"], row["run"], row["how"], ""]
                         for row in self.finished[:ENDS_A_LIST]]}

    def _start(self, body):
        task, number = body["task"], body["run"]
        refused = None
        known = self.running.get(task)
        size, seconds, how = self.fleet.work_of(task)
        if body["deadlineMs"] < self.clock():
            refused = "late"
        else:
            self._extend(body["deadlineMs"])
            if known and known.number == number:
                return 200, {"clockMs": self.clock()}
            if number <= self.highest.get(task, 0):
                refused = "old"
            elif any(self.used(name) + size.get(name, 0) > self.capacity.get(name, 0)
                     for name in ("cpu", "memMb")):
                refused = "room"
        if refused:
            self.fleet.note("start refused", machine=self.machine, task=task, run=number,
                            reason=refused)
            return 409, {"clockMs": self.clock(), "reason": refused}
        self.highest[task] = number
        run = Run(task, number, size, time.monotonic() + seconds if seconds else None, how)
        self.running[task] = run
        self.fleet.truth.start(self, run, body["fencingToken"])
        return 200, {"clockMs": self.clock()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number == number and run.how != "stopped":
            run.ends, run.how = time.monotonic() + STOP_S, "stopped"
            self.fleet.truth.stop(self, run)
        return 200, {"clockMs": self.clock()}


class Truth:
    """What the workers have seen, checked against the rules."""

    def __init__(self, note):
        self.note = note
        self.live = {}      # task: [(worker, life, run)]
        self.starts = {}    # task: starts
        self.done = {}      # task: time of the first end `done`
        self.done_noted = set()
        self.done_ends = {}  # (task, run): time
        self.later = []     # starts after an end `done` that was not noted by then
        self.stops = []     # (task, machine): orders to stop a run at work
        self.broken = []

    def start(self, worker, run, token):
        self.starts[run.task] = self.starts.get(run.task, 0) + 1
        here = (worker.machine, worker.life, run.number)
        self.note("start", task=run.task, run=run.number, machine=worker.machine, token=token)
        others = self.live.setdefault(run.task, [])
        for each in others:
            self.breaks(f"TWICE: run {run.number} of {run.task} starts on {worker.machine} while "
                        f"run {each[2]} is at work on {each[0]}")
        others.append(here)
        if run.task in self.done_noted:
            self.breaks(f"TWICE: run {run.number} of {run.task} starts on {worker.machine} after "
                        "an end `done` was taken note of")
        elif run.task in self.done:
            self.later.append((run.task, run.number, worker.machine, time.monotonic()))

    def end(self, worker, run, how):
        self.gone(worker, run)
        self.note("end", task=run.task, run=run.number, machine=worker.machine, how=how)
        if how == "done":
            self.done.setdefault(run.task, time.monotonic())
            self.done_ends[run.task, run.number] = time.monotonic()

    def stop(self, worker, run):
        self.note("stop", task=run.task, run=run.number, machine=worker.machine)
        self.stops.append((run.task, worker.machine))

    def gone(self, worker, run):
        here = (worker.machine, worker.life, run.number)
        if here in self.live.get(run.task, []):
            self.live[run.task].remove(here)

    def noted(self, task, run, how):
        if how != "done":
            return
        self.done_noted.add(task)
        ended = self.done_ends[task, run]
        for each in [one for one in self.later if one[0] == task and one[3] > ended]:
            self.later.remove(each)
            self.breaks(f"TWICE: run {each[1]} of {task} started on {each[2]} after run {run} had "
                        "ended `done`, an end that was taken note of later")

    def breaks(self, text):
        self.broken.append(text)
        self.note("BROKEN", rule=text)

    def at_work(self, job):
        return sum(len(runs) for task, runs in self.live.items() if task.startswith(job + "."))


class Fleet:
    """All machines, their registry entries and the platform's call for machines."""

    def __init__(self, store, note):
        self.store, self.note = store, note
        self.truth = Truth(note)
        self.workers = []
        self.jobs = {}          # id: what its tasks do
        self.standby = set()    # pools whose machines are off
        self.silent = False     # whether calls about machines go unanswered
        self.silent_since = {}  # id of a worker that is down: when it wrote last

    def work_of(self, task):
        """Returns the size of a task, its seconds of work (0: it lasts) and how it ends."""
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    async def keep_time(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            for each in self.workers:
                if each.up:
                    each.settle()
            now = time.monotonic()
            if now >= beat:
                beat += HEARTBEAT_S
                for each in self.workers:
                    each.register()
            for worker, since in list(self.silent_since.items()):
                if now - since > 3 * HEARTBEAT_S:
                    del self.silent_since[worker]
                    self.store.drop(f"servers/{worker}")

    async def handle(self, request):
        """The platform's calls about machines."""
        if self.silent:
            self.note("order left unanswered", path=request.path, body=request.json())
            return None
        if request.path == "/v1/machines":
            return 200, {"machines": [each.listed() for each in self.workers], "nextToken": ""}
        body = request.json()
        self.note("order to the platform", path=request.path, body=body)
        worker = next((each for each in self.workers if each.machine == body["machine"]), None)
        if worker is None:
            return 400, {}
        if request.path != "/v1/machine-move":
            return 409, {"reason": "busy"}
        if worker.pool == body["pool"]:
            return 200, {}
        if worker.state != "up":
            return 409, {"reason": "busy"}
        asyncio.create_task(worker.move(body["pool"]))
        return 200, {}
