#!/usr/bin/env python3
"""Measures what one entry node spends on control at several sizes, with no requests running.

For each size it starts a fake platform and entry nodes on loopback, lets them settle, and reads the
processor time, the memory and the counted bytes and store calls of every node over some seconds.
"""

import json
import os
import sys
import tempfile
import time

from system import System, call

SETTLE_SECONDS = 6
MEASURE_SECONDS = 10
TICKS = os.sysconf("SC_CLK_TCK")
PORTS = 12000
SECRET = "capacity-secret-of-all-nodes"
TOKEN = "capacity-operator-token"

# name, workers, pools, teams, nodes
SIZES = [
    ("today", 50, 5, 8, 4),
    ("4x", 200, 58, 35, 4),
    ("target", 1100, 320, 170, 4),
    ("today, 8 nodes", 50, 5, 8, 8),
    ("today, 16 nodes", 50, 5, 8, 16),
    ("today, 32 nodes", 50, 5, 8, 32),
]


def write(directory, path, value):
    file = os.path.join(directory, path)
    os.makedirs(os.path.dirname(file), exist_ok=True)
    with open(file, "w", encoding="utf-8") as out:
        json.dump(value, out)
    return file


def write_settings(directory, workers, pools, teams):
    root = os.path.join(directory, "settings")
    zones = [f"zone-{i}" for i in range(4)]
    for zone in zones:
        write(root, f"zones/{zone}.json", {"region": "region", "most_vms_out": 10})
    write(root, "workspaces/desk.json", {"size": "large"})
    members = [[] for _ in range(pools)]
    vms = []
    for i in range(workers):
        members[i % pools].append(f"w{i}")
        vms.append({"vm": f"w{i}", "zone": zones[i % 4], "rack": f"r{i // 4}", "port": PORTS + i,
                    "processors": 32, "memory_mb": 131072, "accelerators": 2})
    for i, names in enumerate(members):
        write(root, f"pools/pool-{i}.json",
              {"vms": names, "least_vms": 1, "most_vms": 40,
               "budget": {"most_vms_out": 1, "least_vms_serving": 1}})
        write(root, f"queues/queue-{i}.json", {"workspace": "desk", "pool": f"pool-{i}",
                                              "most_waiting": 100, "deadline_ms": 10000})
    for i in range(teams):
        write(root, f"teams/team-{i}/rules.json",
              {"workspace": "desk", "share": 1, "limit": 100})
    fleet = write(directory, "fleet.json", {"store_port": PORTS - 1, "vm_list_port": PORTS - 2,
                                            "vms": vms})
    return root, fleet, zones


def write_nodes(directory, zones, count):
    return [write(directory, f"node-{i:02}.json",
                  {"node": f"entry-{i}", "zone": zones[i % 4],
                   "position": {"index": i, "count": count},
                   "listen": f"127.0.0.1:{PORTS - 100 - i}",
                   "operator_listen": f"127.0.0.1:{PORTS - 200 - i}",
                   "peer_listen": f"127.0.0.1:{PORTS - 300 - i}",
                   "peer_secret": SECRET, "operator_token": TOKEN,
                   "store": f"127.0.0.1:{PORTS - 1}", "vm_list": f"127.0.0.1:{PORTS - 2}"})
            for i in range(count)]


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def peer_bytes(node):
    return call(node["operator_listen"], "GET", "/v1/status",
                headers={"Authorization": f"Bearer {TOKEN}"})[1]["peer_bytes_sent"]


def loopback_bytes():
    """All bytes on loopback, with the headers of TCP and IP; nothing else must use it meanwhile."""
    with open("/proc/net/dev", encoding="utf-8") as file:
        line = next(line for line in file if line.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


def store_calls(system):
    return sum(call(system.store, "GET", "/fake")[1]["calls"].values())


def measure(name, workers, pools, teams, nodes):
    directory = tempfile.mkdtemp(prefix="chervilslip-capacity-")
    root, fleet, zones = write_settings(directory, workers, pools, teams)
    system = System("ffvb", write_nodes(directory, zones, nodes), directory)
    system.use_fleet(fleet)
    try:
        system.start()
        begin = time.monotonic()
        code, output = system.ctl("apply", root, "--wait", "--as", "capacity")
        apply_seconds = time.monotonic() - begin
        if code != 0:
            raise RuntimeError(output[-500:])
        time.sleep(SETTLE_SECONDS)
        pids = [daemon.pid for daemon in system.daemons.values()]
        before = (sum(map(processor_seconds, pids)), sum(map(peer_bytes, system.nodes)),
                  store_calls(system), loopback_bytes())
        time.sleep(MEASURE_SECONDS)
        after = (sum(map(processor_seconds, pids)), sum(map(peer_bytes, system.nodes)),
                 store_calls(system), loopback_bytes())
        per_node = [(late - early) / MEASURE_SECONDS / nodes
                    for early, late in zip(before, after)]
        begin = time.monotonic()
        code, output = system.ctl("set", "/teams/team-0/rules/limit", "7", "--wait")
        change_seconds = time.monotonic() - begin
        if code != 0:
            raise RuntimeError(output[-500:])
        print(f"| {name} | {workers} | {pools} | {teams} | {nodes} | {100 * per_node[0]:.1f} | "
              f"{max(map(resident_mb, pids)):.0f} | {per_node[1] / 1024:.2f} | "
              f"{per_node[3] / 1024:.0f} | {per_node[2]:.2f} | {apply_seconds:.1f} | {change_seconds:.2f} |", flush=True)
        system.stop()
    finally:
        system.kill()


def main():
    print("| size | workers | pools | teams | nodes | % of a core | MB | peer KB/s "
          "| all KB/s with headers | store calls/s "
          "| first apply, s | one change in force everywhere, s |")
    print("| --- " * 12 + "|")
    wanted = sys.argv[1:]
    for size in SIZES:
        if not wanted or size[0] in wanted:
            measure(*size)


if __name__ == "__main__":
    main()
