"""The answer to one order of upkeep is lost. The machine is serviced, and gets no work any more."""

import asyncio
import os
import sys
import time

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import standins  # noqa: E402

TASKS = 5             # of a job that lasts, each on a machine of its own
DUE = ("m-3", "m-4")  # two of five machines
WAVE, CAP, DURATION_S = 7, 1, 26
AFTER_LAST_RUN_S, CALM_S, IDLE_S = 6, 4, 3  # of the rule
WATCHED_S = 30


async def main(system, trouble):
    record, truth, cloud = system.record, system.truth, system.cloud
    step = {"count": TASKS, "cpu": 2000, "memMb": 1000, "estimatedMs": 500, "longRunning": True,
            "mayMiss": 1, "maxPerServer": 1}
    job = await system.submit(0, [step], {"cpu": 2000})
    if job is None:
        return 2
    tasks = [f"{job}.0.0.{index}" for index in range(TASKS)]
    await system.until(lambda: all(truth.running.get(each) for each in tasks), 10, "all tasks")
    await asyncio.sleep(4)
    cloud.request_wave(WAVE, list(DUE), CAP, DURATION_S)
    await system.until(lambda: len(cloud.serviced) == 1, 20, "the first upkeep")
    cloud.silent_orders = trouble
    await system.until(lambda: len(cloud.serviced) == 2, 20, "the second upkeep")
    await asyncio.sleep(0.1)
    cloud.silent_orders = False
    record.note("orders are answered again")
    await system.until(lambda: not cloud.state, 10, "the machines")
    calm_from = time.monotonic()
    record.note("all machines are up")
    last_at_work = {each: time.monotonic() for each in tasks}
    broken = set()
    while time.monotonic() < calm_from + WATCHED_S:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        for each in tasks:
            if truth.running.get(each):
                last_at_work[each] = now
            idle_from = max(last_at_work[each] + AFTER_LAST_RUN_S, calm_from + CALM_S)
            if now >= idle_from + IDLE_S and each not in broken:
                broken.add(each)
                free = {worker.machine: worker.cpu - worker.used() for worker in system.workers}
                truth.breach("LOST", f"{each} lasts, has not run for "
                                     f"{now - last_at_work[each]:.1f} s, and there is room for it; "
                                     f"free: {free}")
    record.note(f"wave: {system.store.value(f'status/wave/{WAVE}')}; at work at the end: "
                f"{[each for each in tasks if truth.running.get(each)]}")
    for rule, text in truth.broken:
        print(f"{rule}: {text}")
    return 1 if truth.broken else 0


main.options = {"nodes": 3, "workers": 5}
standins.run(main)
