#!/usr/bin/env python3
"""Prints one table of what was measured: the decisions alone, then the whole path on loopback.

A bound comes from a stated target or, for growth, from n log n; a ratio compares with a baseline of the
same run. The exit code is 1 when a bound is broken.
"""

import json
import math
import os
import subprocess
import sys
import tempfile

from capacity import processor_seconds
from system import BIN, System, call, example_nodes, read_commented_json

LOAD_SECONDS = 12
RUN_MS = 20
BASELINES = ("random", "least_reported")
WORKERS_TODAY = 50


class Table:
    def __init__(self):
        self.broken = 0
        print(f"{'measure':58} {'now':>10} {'bound':>10} {'baseline':>10} {'ratio':>7}")

    def row(self, measure, now, bound=None, baseline=None):
        broken = bound is not None and now > bound
        self.broken += broken
        shown = [f"{now:10.2f}", f"{bound:10.2f}" if bound is not None else " " * 9 + "-",
                 f"{baseline:10.2f}" if baseline is not None else " " * 9 + "-",
                 f"{now / baseline:7.2f}" if baseline else " " * 6 + "-"]
        print(f"{measure:58} {' '.join(shown)}{'  BROKEN' if broken else ''}", flush=True)


def n_log_n(factor):
    """How much dearer a decision may get when the system grows by a factor."""
    return factor * math.log(factor * WORKERS_TODAY) / math.log(WORKERS_TODAY)


def decisions(table):
    output = subprocess.run([os.path.join(BIN, "chervilslip-bench"), "--benchmark_format=json",
                             "--benchmark_min_time=0.2"], capture_output=True, text=True,
                            check=True).stdout
    times = {each["name"]: each["cpu_time"] / 1000 for each in json.loads(output)["benchmarks"]}
    for name, time_us in times.items():
        base, _, size = name.rpartition("/")
        small = times.get(f"{base}/1")
        if size == "1" or small is None:
            table.row(f"{name}, us", time_us)
        else:
            table.row(f"{base}, growth at {size} times the size", time_us / small,
                      n_log_n(int(size)))


def node_files(choice):
    directory = tempfile.mkdtemp(prefix="chervilslip-bench-")
    files = []
    for file in example_nodes("ffvb"):
        settings = read_commented_json(file)
        settings["choice"] = choice
        files.append(os.path.join(directory, os.path.basename(file)))
        with open(files[-1], "w", encoding="utf-8") as out:
            json.dump(settings, out)
    return files, directory


def run_load(choice, profile, direct_per_s, broken_workers, rates):
    """Runs one load; returns its report and the nodes' processor seconds."""
    files, directory = node_files(choice)
    system = System("ffvb", files, directory)
    try:
        system.start()
        code, output = system.ctl("apply", "examples/ffvb", "--wait", "--as", "bench")
        if code != 0:
            raise RuntimeError(output)
        streams = []
        for queue, team, rate in rates:
            key = system.issue_key(team)[1] if team != "public" else ""
            streams.append({"queue": queue, "team": team, "key": key, "mean_per_s": rate,
                            "run_ms": RUN_MS, "deadline_ms": 5000, "repeatable": True})
        if broken_workers:
            call(system.worker(10), "POST", "/fake", {"fails_everything": True})
            call(system.worker(11), "POST", "/fake", {"slowness": 10.0})
        plan = os.path.join(directory, "plan.json")
        with open(plan, "w", encoding="utf-8") as out:
            json.dump({"nodes": [node["listen"] for node in system.nodes],
                       "vm_list": system.vm_list, "seconds": LOAD_SECONDS, "profile": profile,
                       "turn_s": 3, "direct_per_s": direct_per_s, "streams": streams}, out)
        before = sum(processor_seconds(daemon.pid) for daemon in system.daemons.values())
        done = subprocess.run([os.path.join(BIN, "chervilslip-load"), "--plan", plan, "--json"],
                              capture_output=True, text=True, check=False, timeout=300)
        after = sum(processor_seconds(daemon.pid) for daemon in system.daemons.values())
        system.stop()
        return json.loads(done.stdout), after - before
    finally:
        system.kill()


def whole_path(table):
    rates = [("interference-checks", "broadcast-desk", 150), ("public-lookups", "public", 50)]
    report, seconds = run_load("corrected_two_choice", "steady", 100, False, rates)
    through, direct = report["through_system"], report["direct"]
    for percentile in ("p50_ms", "p99_ms", "p99.9_ms"):
        table.row(f"latency of a {RUN_MS} ms task, {percentile}", through[percentile],
                  baseline=direct[percentile])
    table.row("requests per second and core of entry nodes", report["sent"] / seconds)
    faults = sum(report[name] for name in ("lost", "doubled", "crossed", "cut", "false_refusals"))
    table.row("steady load: lost, doubled, crossed, cut, false refusals", faults, 0)


def routing(table):
    rates = [("interference-checks", "broadcast-desk", 250),
             ("licence-drafts", "licence-clerks", 100)]
    reports = {choice: run_load(choice, "burst", 0, True, rates)[0]
               for choice in ("corrected_two_choice", *BASELINES)}
    ours = reports["corrected_two_choice"]
    for baseline in BASELINES:
        other = reports[baseline]
        table.row(f"burst, one worker failing, one slow: p99 ms, against {baseline}",
                  ours["through_system"]["p99_ms"], baseline=other["through_system"]["p99_ms"])
        table.row(f"burst, one worker failing, one slow: done in time, against {baseline}",
                  ours["in_time"], baseline=other["in_time"])
    faults = sum(ours[name] for name in ("lost", "doubled", "crossed", "cut", "false_refusals"))
    table.row("burst: lost, doubled, crossed, cut, false refusals", faults, 0)


def main():
    table = Table()
    decisions(table)
    whole_path(table)
    routing(table)
    print(f"bench: {table.broken} bounds broken")
    return 1 if table.broken else 0


if __name__ == "__main__":
    sys.exit(main())
