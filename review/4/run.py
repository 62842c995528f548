"""The owner is killed while hundreds of small tasks end on one worker."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from system import play, step  # noqa: E402

JOBS, TASKS, WORK_S = 14, 50, 8.0
SUBMIT_PAUSE_S = 0.1
DOWN_S = 3.0


async def scene(system):
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    truth = system.fleet.truth
    for each in jobs:
        await system.submit(each, [step(TASKS, 40, WORK_S)])
        await asyncio.sleep(SUBMIT_PAUSE_S)
    while not truth.done:
        await asyncio.sleep(0.02)
    if sum(truth.starts.values()) != JOBS * TASKS:
        raise RuntimeError("not all tasks were at work")
    if system.trouble:
        owner = system.owner()
        system.signal(owner, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        system.processes[system.nodes[owner]].wait()
        system.start_node(owner)
    broken = []
    for each in jobs:
        state = await system.await_state(each, ("completed", "failed"), 20)
        if state != "completed":
            broken.append(f"LOST: {each} is {state}")
    await asyncio.sleep(2)
    return broken


play(HERE, scene, workers=1, cpu=32000)
