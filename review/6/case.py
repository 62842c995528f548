"""A worker's host loses power for 0.7 s and is back under the same id, as a new life."""

import asyncio
import os
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import standins  # noqa: E402

DARK_S = 0.7          # srv_crash (dark); the deployments' longest is 7.9 s
REGISTERS_AFTER = 0.4  # a worker writes its entry "approximately every heartbeatMs" (1,500 ms)
WORK_MS = 2500
ROUNDS = 9


async def main(system, trouble):
    truth = system.truth
    for each in system.workers:
        each.register_after = REGISTERS_AFTER
    step = {"count": 6, "cpu": 1000, "memMb": 1000, "estimatedMs": WORK_MS}
    spec = {"ms": WORK_MS, "cpu": 1000}
    await system.submit(0, [step], spec)
    await asyncio.sleep(4)
    jobs = []
    for number in range(ROUNDS):
        if trouble:
            system.workers[0].power_off()
            await asyncio.sleep(DARK_S)
            await system.workers[0].power_on()
        else:
            await asyncio.sleep(DARK_S)
        await asyncio.sleep(0.1)
        jobs.append(await system.submit(number, [step], spec))
        await asyncio.sleep(5)
    if None in jobs:
        return 2
    truth.find_repetitions()
    for rule, text in truth.broken:
        print(f"{rule}: {text}")
    return 1 if truth.broken else 0


main.options = {"nodes": 3, "workers": 9}
standins.run(main)
