"""Case 14: a wave is reported as completed although its VM never began its upkeep."""

import http.server
import json
import os
import signal
import sys
import threading
import time
import urllib.error
import urllib.request


FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(FOLDER), "lib-3"))

import case_runner  # noqa: E402

VM = "main-vm0"
WAVE_SECONDS = 20   # `durationS` of both waves
LISTEN_PORT = 9346
UPKEEP = "/v1/machine-upkeep"


class Observer(http.server.BaseHTTPRequestHandler):
    """Passes calls on to the platform's list of VMs and notes the orders with their answers."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def do_GET(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else None
        headers = {name: value for name, value in self.headers.items()
                   if name.startswith("X-Chervilslip-")}
        request = urllib.request.Request(f"http://{self.server.target}{self.path}", data=body,
                                         method=self.command, headers=headers)
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                status, text = answer.status, answer.read()
        except urllib.error.HTTPError as failure:
            status, text = failure.code, failure.read()
        if self.command == "POST":
            self.server.on_order(self.path, json.loads(body), dict(headers), status)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET


class ObserverServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass  # a node that ends resets its connections


class ObservedFleet(case_runner.Fleet):
    def settings(self, index):
        given = super().settings(index)
        given["cloudApi"]["address"] = f"{self.platform_address}:{LISTEN_PORT}"
        return given


def state_of(fleet, wave):
    status = fleet.store_item(f"status/wave/{wave}")
    return status and status["state"]


def await_completed(fleet, wave, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end and state_of(fleet, wave) != "completed":
        time.sleep(0.02)
    return state_of(fleet, wave)


def play(fleet, record):
    orders = []

    def on_order(path, body, headers, status):
        holder = headers.get("X-Chervilslip-Lease-Holder")
        record.note(f"{holder}: POST {path} {json.dumps(body)}: {status}")
        if path == UPKEEP and status == 200:
            orders.append((body["wave"], body["machine"]))

    server = ObserverServer((fleet.platform_address, LISTEN_PORT), Observer)
    server.target = f"{fleet.platform_address}:{case_runner.fleet_system.VM_LIST_PORT}"
    server.on_order = on_order
    threading.Thread(target=server.serve_forever, daemon=True).start()
    time.sleep(2)  # the owner has read the list of VMs
    for wave in (1, 2):
        request = {"wave": wave, "machines": [VM], "durationS": WAVE_SECONDS, "cap": 1}
        fleet.control({"write": [{"key": f"op/wave/{wave}", "value": request}]})
        record.note(f"written by the operator: op/wave/{wave} = {json.dumps(request)}")
    first = 1
    end = time.monotonic() + WAVE_SECONDS
    while time.monotonic() < end:
        done = [wave for wave in (1, 2) if state_of(fleet, wave) == "completed"]
        if done:
            first = done[0]
            break
        time.sleep(0.02)
    second = 3 - first
    record.note(f"status/wave/{first} is completed")
    if case_runner.TROUBLE:
        owner = fleet.owner()
        fleet.signal_node(owner, signal.SIGTERM)
        record.note(f"SIGTERM to {fleet.names[owner]}, which decides")
    state = await_completed(fleet, second, WAVE_SECONDS)
    begun = (second, VM) in orders
    record.note(f"status/wave/{second} is {state}; upkeep of {VM} for wave {second} has "
                f"{'begun' if begun else 'not begun'}")
    time.sleep(4)  # long enough for an upkeep, so that the VM is up again and stays
    _, listed = case_runner.fleet_system.call(server.target, "GET", "/v1/machines")
    shown = next(each for each in listed["machines"] if each["machine"] == VM)
    record.note(f"the platform's list: {json.dumps(shown)}; all upkeeps begun: {orders}")
    if state != "completed":
        raise RuntimeError("the second wave wasn't completed in time")
    return begun


if __name__ == "__main__":
    sys.exit(case_runner.main(FOLDER, play, fleet_class=ObservedFleet))
