#!/usr/bin/env python3
"""Shows the whole path on loopback: settings, requests, refusals, keys, a graceful stop."""

import sys
import tempfile
import time

from checks import Checks
from system import System, call, example_nodes

SETTINGS_DIRECTORY = "examples/ffvb"
WITHDRAWAL_SECONDS = 5


class Demo(Checks):
    def request(self, node, queue, key=None, **body):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        body.setdefault("body", {"run_ms": 50})
        return call(self.system.nodes[node]["listen"], "POST", f"/v1/queues/{queue}/requests",
                    body, headers)

    def run(self):
        code, output = self.system.ctl("apply", SETTINGS_DIRECTORY, "--wait", "--as", "demo")
        self.check("settings are in force on 3 of 3 nodes",
                   code == 0 and "in force on 3 of 3" in output, output.strip().splitlines()[-1])
        key_id, brigade_key = self.system.issue_key("fire-brigades")
        _, desk_key = self.system.issue_key("broadcast-desk")
        self.show_answers(brigade_key, desk_key)
        self.show_many_nodes(brigade_key)
        self.show_refusals(brigade_key)
        self.show_withdrawal(key_id, brigade_key)
        code, output = self.system.ctl("audit", "/teams/fire-brigades")
        self.check("the audit trail names who withdrew the key",
                   code == 0 and "withdraw key" in output and '"active" -> "withdrawn"' in output,
                   output.splitlines()[0])
        code, output = self.system.ctl("status")
        self.check("status shows every node without violations",
                   code == 0 and output.count("violations 0") == 3, output.splitlines()[0])

    def show_answers(self, brigade_key, desk_key):
        status, answer = self.request(0, "emergency-permits", brigade_key, urgent=True)
        self.check("an urgent request of team fire-brigades is answered",
                   status == 200 and answer["fate"] == "done", answer)
        status, answer = self.request(1, "interference-checks", desk_key)
        self.check("a request of team broadcast-desk through another node is answered",
                   status == 200 and answer["fate"] == "done", answer)
        status, answer = self.request(2, "public-lookups")
        self.check("an open queue takes work without a key",
                   status == 200 and answer["fate"] == "done", answer)
        status, answer = self.request(0, "emergency-permits", brigade_key, wait_ms=0,
                                      body={"run_ms": 300})
        request = answer.get("request", "")
        shown, later = call(self.system.nodes[0]["listen"], "GET",
                            f"/v1/requests/{request}?wait_ms=5000",
                            headers={"Authorization": f"Bearer {brigade_key}"})
        self.check("an answer is fetched later by its id",
                   status == 202 and shown == 200 and later["fate"] == "done", later)

    def show_many_nodes(self, key):
        answers = []
        for node in range(len(self.system.nodes)):
            headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "permit-4711"}
            answers.append(call(self.system.nodes[node]["listen"], "POST",
                                "/v1/queues/emergency-permits/requests",
                                {"body": {"run_ms": 80, "nonce": "permit-4711"}}, headers))
        starts = sum(entry["body"].count("permit-4711")
                     for index in range(len(self.system.fleet["vms"]))
                     for entry in call(self.system.worker(index), "GET", "/v1/log")[1]["starts"])
        outputs = {answer.get("output") for _, answer in answers}
        self.check("one idempotency key at three nodes runs once and gives one answer",
                   starts == 1 and len(outputs) == 1 and None not in outputs,
                   f"{starts} start, {len(outputs)} output")
        _, handed_in = self.request(0, "emergency-permits", key, wait_ms=0,
                                    body={"run_ms": 200})
        status, answer = call(self.system.nodes[1]["listen"], "GET",
                              f"/v1/requests/{handed_in['request']}?wait_ms=5000",
                              headers={"Authorization": f"Bearer {key}"})
        self.check("an answer is fetched at another node",
                   status == 200 and answer["fate"] == "done", answer)

    def show_refusals(self, brigade_key):
        status, answer = self.request(1, "emergency-permits", "fire-brigades.k0.wrong")
        self.check("a wrong key is refused and nothing runs",
                   status == 401 and answer["not_run"] is True, answer["error"])
        status, answer = self.request(1, "licence-drafts", brigade_key)
        self.check("a key of another workspace is refused",
                   status == 401 and answer["not_run"] is True, answer["error"])
        status, answer = self.request(2, "no-such-queue", brigade_key)
        self.check("an unknown queue is refused",
                   status == 404 and answer["not_run"] is True, answer["error"])
        status, answer = self.request(0, "emergency-permits", brigade_key,
                                      size={"processors": 500})
        self.check("a task larger than every VM is refused at once",
                   status == 422 and answer["not_run"] is True, answer["error"])

    def show_withdrawal(self, key_id, key):
        code, output = self.system.ctl("keys", "withdraw", "fire-brigades", key_id, "--as", "demo")
        self.check("a key is withdrawn", code == 0, output.strip().splitlines()[-1])
        begin = time.monotonic()
        waiting = set(range(len(self.system.nodes)))
        while waiting and time.monotonic() - begin < WITHDRAWAL_SECONDS:
            waiting = {node for node in waiting
                       if self.request(node, "emergency-permits", key)[0] != 401}
        elapsed = time.monotonic() - begin
        self.check("the withdrawn key is refused on every node within 5 s", not waiting,
                   f"{elapsed:.2f} s")


def main():
    system = System("ffvb", example_nodes("ffvb"), tempfile.mkdtemp(prefix="chervilslip-demo-"))
    demo = Demo(system)
    try:
        system.start()
        demo.run()
        codes = system.stop()
        demo.check("every node stops gracefully with exit code 0", codes == [0, 0, 0], codes)
    except Exception as failure:  # the demo must report, whatever went wrong
        demo.check("the demo runs to its end", False, repr(failure))
    finally:
        system.kill()
    return demo.sum_up("demo")


if __name__ == "__main__":
    sys.exit(main())
