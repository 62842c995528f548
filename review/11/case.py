"""Case 11: one job that can never be done stops all jobs of the fleet."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(FOLDER), "lib-3"))

import case_runner  # noqa: E402

JOBS_BEFORE = 20
JOBS_AFTER = 20
PAUSE_SECONDS = 0.1
FINISH_SECONDS = 14      # `finish_s`
NOTHING_RUNS_SECONDS = 3  # of the rule LOST
MOST_TASKS = 2 ** 63 - 1  # the largest whole number of the field `count`
STRANGE = "00000000000000ff"


# Keeps four workers in the service, under half in use, so that there is room.
LASTING_JOB = "00000000000000b1"
LASTING_TASKS = 4
LASTING_PROCESSORS = 1200
VM_PROCESSORS = 4000
TASK_PROCESSORS = 500


def job(count=2):
    return {"spec": json.dumps({"run_ms": 200, "processors": 500}),
            "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 200},
                      {"count": count, "cpu": 500, "memMb": 100, "estimatedMs": 200,
                       "after": [0]}]}


def hand_in(fleet, record, number, body):
    """Hands a job in until a node accepts it; returns its id."""
    name = f"{number:016x}"
    for attempt in range(5):
        status, _ = fleet.submit((number + attempt) % len(fleet.names), name, body)
        record.note(f"POST of job {name}: {status}")
        if status == 200:
            return name
        time.sleep(1)
    return None


def show(fleet, record, names):
    """Returns which accepted jobs are not completed."""
    left = []
    for number, name in enumerate(names):
        status, body = fleet.ask(number % len(fleet.names), "GET", name)
        if status != 200 or body["state"] != "completed":
            left.append(name)
            record.note(f"GET of job {name}: {status} {body}")
    return left


def there_is_room(fleet, record, truth):
    """Returns whether the service has room for a job twice over and is under half in use."""
    _, listed = case_runner.fleet_system.call(
        f"{fleet.platform_address}:{case_runner.fleet_system.VM_LIST_PORT}", "GET", "/v1/machines")
    up = [each for each in listed["machines"]
          if each["pool"] == "main" and each["state"] == "up"]
    total = len(up) * VM_PROCESSORS
    used = sum(count * (LASTING_PROCESSORS if name == LASTING_JOB else TASK_PROCESSORS)
               for name, count in truth["running"].items())
    record.note(f"{len(up)} workers of the service are up; {used} of {total} in use")
    return used < total / 2 and total - used >= 2 * 2 * TASK_PROCESSORS


def play(fleet, record):
    fleet.submit(0, LASTING_JOB, {
        "spec": json.dumps({"run_ms": 0, "processors": LASTING_PROCESSORS}),
        "steps": [{"count": LASTING_TASKS, "cpu": LASTING_PROCESSORS, "memMb": 100,
                   "estimatedMs": 1000, "longRunning": True, "maxPerServer": 1}]})
    time.sleep(4)
    accepted = []
    for number in range(1, JOBS_BEFORE + 1):
        accepted.append(hand_in(fleet, record, number, job()))
        time.sleep(PAUSE_SECONDS)
    time.sleep(2)
    record.note(f"jobs not completed before the strange job: {show(fleet, record, accepted)}")
    strange = job(MOST_TASKS) if case_runner.TROUBLE else job()
    status, body = fleet.submit(0, STRANGE, strange)
    record.note(f"POST of job {STRANGE}, whose second step has "
                f"{strange['steps'][1]['count']} tasks: {status} {body}")
    for number in range(JOBS_BEFORE + 1, JOBS_BEFORE + JOBS_AFTER + 1):
        accepted.append(hand_in(fleet, record, number, job()))
        time.sleep(PAUSE_SECONDS)
    accepted = [each for each in accepted if each]
    record.note(f"{len(accepted)} ordinary jobs accepted; the traffic ends")
    time.sleep(FINISH_SECONDS)
    left = show(fleet, record, accepted)
    before = fleet.truth()
    time.sleep(NOTHING_RUNS_SECONDS)
    after = fleet.truth()
    idle = [each for each in left if not before["running"].get(each)
            and before["starts"].get(each) == after["starts"].get(each)]
    record.note(f"the workers run {after['running']}; starts by job: {after['starts']}")
    has_room = all(there_is_room(fleet, record, each) for each in (before, after))
    record.note(f"{len(idle)} accepted ordinary jobs have nothing running for "
                f"{NOTHING_RUNS_SECONDS} s, {FINISH_SECONDS} s after the traffic; room: {has_room}")
    return not idle or not has_room


if __name__ == "__main__":
    sys.exit(case_runner.main(FOLDER, play))
