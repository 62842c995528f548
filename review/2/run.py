"""A few hopeless jobs in a quiet hour, while tasks that last are at work on each worker."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from system import FINISH_S, play, step  # noqa: E402

WORKERS = 5
JOBS, ONE_HOPELESS_IN = 170, 34  # a share of 0.029
PAUSE_S = 0.3
LASTING = "00000000000000b0"


async def scene(system):
    await system.submit(LASTING, [step(WORKERS, 1000, 0, longRunning=True, mayMiss=1)])
    await system.await_state(LASTING, ("running",), 5)
    await asyncio.sleep(1)
    good = []
    for number in range(JOBS):
        job = f"{number + 0xc000:016x}"
        if system.trouble and number % ONE_HOPELESS_IN == ONE_HOPELESS_IN // 2:
            await system.submit(job, [step(4, 1000, 0.2, "failed")])
        else:
            await system.submit(job, [step(2, 1000, 0.2)])
            good.append(job)
        await asyncio.sleep(PAUSE_S)
    system.note("end of the traffic")
    await asyncio.sleep(FINISH_S)
    return await system.never_run(good, 1000)


play(HERE, scene, workers=WORKERS, max_attempts=3)
