"""The calls for machines go unanswered for under five seconds while a pool is idle."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from system import FINISH_S, play, step  # noqa: E402

SILENT_S = 4.8
IDLE_S = 3


async def scene(system):
    first = [f"{number + 1:016x}" for number in range(3)]
    for each in first:
        await system.submit(each, [step(8, 2000, 2.0)])
    for each in first:
        await system.await_state(each, ("completed",), 15)
    answered_from = time.monotonic() + SILENT_S
    if system.trouble:
        system.fleet.silent = True
        system.note("calls for machines go unanswered")
    await asyncio.sleep(IDLE_S)
    later = [f"{number + 17:016x}" for number in range(3)]
    for each in later:
        await system.submit(each, [step(4, 1000, 1.0)])
    system.note("end of the traffic")
    await asyncio.sleep(max(answered_from - time.monotonic(), 0))
    system.fleet.silent = False
    system.note("calls for machines are answered")
    await asyncio.sleep(FINISH_S)
    return await system.never_run(later, 1000)


play(HERE, scene, workers=3, standby=True)
