"""What the scripts of cases 11 to 15 share: a fleet on loopback, a record, and the exit codes."""

import json
import os
import shutil
import signal
import sys
import time

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
BUILT = os.path.join(ROOT, "target")
NODE = os.path.join(BUILT, "bin", "chervilslip-fleetd")  # `run` of deploy/system.toml
STAND_IN = os.path.join(BUILT, "review-3", "chervilslip-stand-in")
sys.path.append(os.path.join(ROOT, "platform", "trial"))

import fleet_system  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
MOST_SECONDS = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Fleet(fleet_system.FleetSystem):
    """Nodes with the settings of the deployment "ember-drying" over the project's stand-in."""

    def settings(self, index):
        given = super().settings(index)
        given["serves"] = ["front", "control"]
        given["limits"] = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                           "linkMbps": 1000.0, "diskMb": 0}
        given["bounds"].update({"contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000,
                                "gangTimeoutMs": 3000, "visible_ms": 3000, "early_ms": 250,
                                "finish_s": 14, "maintenanceS": 2, "moveS": 1.5,
                                "fencingRequired": False, "leaseMs": 3000})
        given["platform"].update({"form": "kv", "writesPerS": 400, "readsPerS": 2000,
                                  "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000})
        given["cloudApi"].update({"ratePerS": 64.0, "duties": [], "dutiesPerS": 64.0})
        return given

    def _spawn(self, name, command, environment=None):
        # Both programs are started from the repository's root with the deploy file's words.
        program = {"chervilslip-fleetd": NODE, "chervilslip-stand-in": STAND_IN}[command[0]]
        with open(self.log_of(name), "ab") as log:
            return fleet_system.subprocess.Popen(
                [program, *command[1:]], cwd=ROOT, stdout=log,
                stderr=fleet_system.subprocess.STDOUT,
                env={**os.environ, **(environment or {})})

    def submit(self, node, job, body):
        return self.ask(node, "POST", job, body)

    def ask(self, node, method, job, body=None):
        """Returns status and body of a caller's call; status 0 without an answer."""
        try:
            return fleet_system.call(
                self.front(node), method, fleet_system.PREFIX + job, body,
                {"Host": fleet_system.HOST,
                 "Authorization": f"Bearer {fleet_system.KEY}",
                 "X-Chervilslip-Deadline-Ms": "3000"}, seconds=6)
        except (OSError, ValueError):
            return 0, None

    def store_item(self, key):
        """Returns the value of an item in the platform's store, or nothing."""
        status, item = fleet_system.call(f"{self.platform_address}:{fleet_system.STORE_PORT}",
                                         "GET", f"/v1/kv-key?key={key}", seconds=3)
        if status != 200:
            return None
        return json.loads(fleet_system.base64.b64decode(item["value"]))

    def workers(self):
        """Returns the entries of the registry, by key."""
        _, page = fleet_system.call(f"{self.platform_address}:{fleet_system.STORE_PORT}",
                                    "GET", "/v1/kv-range?prefix=servers/", seconds=3)
        return {each["key"]: json.loads(fleet_system.base64.b64decode(each["value"]))
                for each in page["items"]}

    def complete_entries(self):
        """Gives the entries of all workers every field that the pages name."""
        whole = {"version": "v1", "slots": 8, "coldRemainingMs": 0, "sequence": 1}
        self.control({"write": [{"key": key, "value": {**whole, **entry}}
                                for key, entry in self.workers().items()]})


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} s  {text}"
        print(line, flush=True)
        print(line, file=self.file, flush=True)


def _out_of_time(_signal, _frame):
    raise TimeoutError(f"the case takes longer than {MOST_SECONDS} s")


def main(folder, play, nodes=3, fleet_class=Fleet, workers=8):
    """Plays one case; `play` returns whether the rule held."""
    record = Record(folder)
    record.note(f"the disruption is {'on' if TROUBLE else 'off'}")
    for program in (NODE, STAND_IN):
        if not os.path.exists(program):
            record.note(f"{os.path.relpath(program, ROOT)} isn't built")
            return NOT_RUN
    signal.signal(signal.SIGALRM, _out_of_time)
    signal.alarm(MOST_SECONDS)
    fleet = fleet_class(nodes, workers=workers)
    try:
        fleet.start()
        record.note(f"{nodes} nodes are ready, {fleet.names[fleet.owner()]} decides")
        held = play(fleet, record)
        record.note("the rule HELD" if held else "the rule was BROKEN")
        return HELD if held else BROKEN
    except Exception as failure:  # whatever went wrong, the case couldn't run
        record.note(f"the case couldn't run: {failure!r}")
        return NOT_RUN
    finally:
        signal.alarm(0)
        fleet.close()
        shutil.rmtree(fleet.directory, ignore_errors=True)
