#!/usr/bin/env python3
"""Runs a system on loopback under load and faults, and joins every answer with the workers' logs.

Each trial ends with one line of counts; the last line sums up all trials.
"""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

from system import BIN, System, call, example_nodes

LOAD_SECONDS = 12
COUNTS = ("sent", "answered", "refused", "lost", "doubled", "crossed", "cut", "false_refusals")


class Load:
    """One run of chervilslip-load in the background."""

    def __init__(self, system, keys, directory, name, **options):
        streams = [
            {"queue": "emergency-permits", "team": "fire-brigades", "mean_per_s": 40,
             "run_ms": 60, "urgent_part": 0.2},
            {"queue": "interference-checks", "team": "broadcast-desk", "mean_per_s": 40,
             "run_ms": 120, "repeatable": True},
            {"queue": "licence-drafts", "team": "licence-clerks", "mean_per_s": 30, "run_ms": 200,
             "repeated_part": 0.3},
            {"queue": "public-lookups", "team": "public", "mean_per_s": 30, "run_ms": 20,
             "repeatable": True},
        ]
        for stream in streams:
            stream["key"] = keys.get(stream["team"], "")
            stream["deadline_ms"] = 10000
        plan = {"nodes": [node["listen"] for node in system.nodes], "vm_list": system.vm_list,
                "seconds": LOAD_SECONDS, "streams": streams, **options}
        file = os.path.join(directory, f"{name}.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(plan, out)
        self.process = subprocess.Popen(
            [os.path.join(BIN, "chervilslip-load"), "--plan", file, "--html", file + ".html"],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def result(self):
        output, _ = self.process.communicate(timeout=180)
        found = re.search(r"load: (.*)", output)
        if not found:
            raise RuntimeError(output)
        counts = {name: int(value) for name, value in re.findall(r"(\w+)=(\d+)", found.group(1))}
        return counts, output


def restart_each_node(system):
    """Restarts every node gracefully, one after another, in the middle of the load."""
    for index, node in enumerate(system.nodes):
        time.sleep(1.0)
        code = system.stop_node(node["node"])
        if code != 0:
            raise RuntimeError(f"{node['node']} stopped with exit code {code}")
        system.start_node(index)
        system.await_ready(node)


def kill_one_node(system):
    """Kills one node with SIGKILL; the requests it holds are cut, and no other."""
    time.sleep(2.0)
    daemon = system.daemons.pop(system.nodes[0]["node"])
    daemon.kill()
    daemon.wait()
    time.sleep(1.0)
    system.start_node(0)
    system.await_ready(system.nodes[0])


def pause_one_node(system):
    """Freezes one node for some seconds."""
    time.sleep(2.0)
    daemon = system.daemons[system.nodes[1]["node"]]
    daemon.send_signal(signal.SIGSTOP)
    time.sleep(3.0)
    daemon.send_signal(signal.SIGCONT)


def lose_the_store(system):
    """Takes the store away, then lets it be slow, then loses its answers."""
    time.sleep(1.0)
    call(system.store, "POST", "/fake", {"down": True})
    time.sleep(4.0)
    call(system.store, "POST", "/fake", {"down": False, "delay_ms": 300})
    time.sleep(2.0)
    call(system.store, "POST", "/fake", {"delay_ms": 0, "lost_answers": 0.5})
    time.sleep(2.0)
    call(system.store, "POST", "/fake", {"lost_answers": 0.0})


def break_workers(system):
    """Lets one worker fail everything, one die and one leave."""
    time.sleep(1.0)
    call(system.worker(10), "POST", "/fake", {"fails_everything": True})
    call(system.vm_list, "POST", "/fake", {"leaving": [system.fleet["vms"][21]["vm"]]})
    time.sleep(2.0)
    call(system.worker(44), "POST", "/fake", {"down": True})
    time.sleep(4.0)
    call(system.worker(44), "POST", "/fake", {"down": False})
    call(system.worker(10), "POST", "/fake", {"fails_everything": False})


TRIALS = [
    ("restart_each_node", restart_each_node, {}, ("lost", "doubled", "crossed", "cut",
                                                  "false_refusals")),
    ("burst_with_broken_workers", break_workers, {"profile": "burst", "turn_s": 3},
     ("lost", "doubled", "crossed", "cut", "false_refusals")),
    ("lose_the_store", lose_the_store, {}, ("lost", "doubled", "crossed", "cut",
                                            "false_refusals")),
    ("kill_one_node", kill_one_node, {}, ("lost", "doubled", "crossed", "false_refusals")),
    ("pause_one_node", pause_one_node, {}, ("lost", "doubled", "crossed", "cut",
                                            "false_refusals")),
]


def run_trial(name, disturb, options, must_be_zero):
    directory = tempfile.mkdtemp(prefix=f"chervilslip-{name}-")
    system = System("ffvb", example_nodes("ffvb"), directory)
    try:
        system.start()
        code, output = system.ctl("apply", "examples/ffvb", "--wait", "--as", "trial")
        if code != 0:
            raise RuntimeError(output)
        keys = {team: system.issue_key(team)[1]
                for team in ("fire-brigades", "broadcast-desk", "licence-clerks")}
        load = Load(system, keys, directory, name, **options)
        failures = []

        def disturb_and_record():
            try:
                disturb(system)
            except Exception as failure:  # reported with the trial's result
                failures.append(repr(failure))

        thread = threading.Thread(target=disturb_and_record)
        thread.start()
        counts, output = load.result()
        thread.join()
        codes = system.stop()
        clean = all(counts[count] == 0 for count in must_be_zero) and not failures
        clean = clean and all(code == 0 for code in codes) and counts["answered"] > 0
        print(output, end="")
        for failure in failures:
            print(f"disturbance failed: {failure}")
        shown = " ".join(f"{count}={counts[count]}" for count in COUNTS)
        print(f"{'pass' if clean else 'FAIL'}: {name}: {shown}", flush=True)
        return clean, counts
    finally:
        system.kill()


def main():
    wanted = sys.argv[1:]
    total = dict.fromkeys(COUNTS, 0)
    passed = failed = 0
    for name, disturb, options, must_be_zero in TRIALS:
        if wanted and name not in wanted:
            continue
        clean, counts = run_trial(name, disturb, options, must_be_zero)
        passed += clean
        failed += not clean
        for count in COUNTS:
            total[count] += counts[count]
    print(f"trials: {passed} passed, {failed} failed")
    print("trial: " + " ".join(f"{count}={total[count]}" for count in COUNTS))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
