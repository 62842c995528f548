"""The store is down, the owner's process is killed, and a wave of upkeep is under way.

The next owner finds few workers in the registry, and orders upkeep of machines that are at work.
"""

import asyncio
import os
import signal
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import standins  # noqa: E402

TASKS, MAY_MISS = 8, 1  # of a job that lasts, each on a machine of its own
DUE = ["m-2", "m-3", "m-4", "m-5"]  # four of nine machines
WAVE, CAP, DURATION_S = 7, 2, 26
DOWN_S = 4.5         # platform_down (lapse), three heartbeats
KILLED_AFTER_S = 2.5  # node_kill (leader)
BACK_AFTER_S = 0.3   # "restarted after a short delay"


async def main(system, trouble):
    record, truth, store = system.record, system.truth, system.store
    step = {"count": TASKS, "cpu": 2000, "memMb": 1000, "estimatedMs": 500, "longRunning": True,
            "mayMiss": MAY_MISS, "maxPerServer": 1}
    job = await system.submit(0, [step], {"cpu": 2000})
    if job is None:
        return 2
    tasks = [f"{job}.0.0.{index}" for index in range(TASKS)]
    truth.lasting[f"{job}.0.0"] = (TASKS, MAY_MISS)
    await system.until(lambda: all(truth.running.get(each) for each in tasks), 10, "all tasks")
    await asyncio.sleep(4)
    system.cloud.request_wave(WAVE, DUE, CAP, DURATION_S)
    await asyncio.sleep(0.1)
    if trouble:
        owner = system.owner()
        store.go_down()
        record.note("the store is down")
        await asyncio.sleep(KILLED_AFTER_S)
        system.signal_node(owner, signal.SIGKILL)
        system.processes[owner].wait()
        await asyncio.sleep(BACK_AFTER_S)
        system.start_node(owner)
        await asyncio.sleep(DOWN_S - KILLED_AFTER_S - BACK_AFTER_S)
        gone = store.come_back()
        record.note(f"the store is back; {gone} entries have run out")
    await asyncio.sleep(20)
    record.note(f"wave: {store.value(f'status/wave/{WAVE}')}")
    for rule, text in truth.broken:
        print(f"{rule}: {text}")
    return 1 if truth.broken else 0


main.options = {"nodes": 3, "workers": 9}
standins.run(main)
