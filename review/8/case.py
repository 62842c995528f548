"""The one worker with a label goes down and up by turns, three times. The job is shown as failed."""

import asyncio
import os
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import standins  # noqa: E402

GAP_S, FOR_S = 1.4, 6.5  # srv_flap, as the sheets' sites have it
WORK_MS = 2500
WATCHED_S = 20


async def main(system, trouble):
    record, truth = system.record, system.truth
    worker = system.workers[0]
    worker.labels = ["b", "r1-1"]
    worker.publish(1000)
    await asyncio.sleep(2)
    step = {"count": 1, "cpu": 2000, "memMb": 1000, "estimatedMs": WORK_MS, "requirements": "b"}
    job = await system.submit(0, [step], {"ms": WORK_MS, "cpu": 2000})
    if job is None:
        return 2
    await asyncio.sleep(1)
    if trouble:
        for _ in range(int(FOR_S / (2 * GAP_S)) + 1):
            await worker.crash()
            await asyncio.sleep(GAP_S)
            await worker.begin_life()
            await asyncio.sleep(GAP_S)
        record.note("the worker stays up from here")
    state = None
    for _ in range(WATCHED_S):
        _, answer = await system.call(1, "GET", job)
        state = answer.get("state", state)
        if state in ("completed", "failed"):
            break
        await asyncio.sleep(1)
    failed = [task for task in truth.failed if task.startswith(job)]
    if state == "failed" and not failed:
        truth.breach("LOST", f"job {job} is shown as `failed`; no run of it ended `failed`, and it "
                             "could be done")
    for rule, text in truth.broken:
        print(f"{rule}: {text}")
    return 1 if truth.broken else 0


main.options = {"nodes": 3, "workers": 10}
standins.run(main)
