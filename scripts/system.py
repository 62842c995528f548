"""Starts a whole system on loopback for the demo and for trials, and stops it again."""

import json
import os
import re
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("CHERVILSLIP_BIN", os.path.join(ROOT, "build", "bin"))
READY_SECONDS = 20
STOP_SECONDS = 60


def read_commented_json(path):
    """Reads JSON whose comments stand on lines of their own."""
    with open(path, encoding="utf-8") as file:
        return json.loads(re.sub(r"^\s*//.*$", "", file.read(), flags=re.MULTILINE))


def call(address, method, target, body=None, headers=None, seconds=30):
    """Calls one address; returns the status and the parsed body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{target}", data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=seconds) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as failure:
        return failure.code, json.loads(failure.read() or b"null")


class System:
    """A fake platform and entry nodes. Only processes started here are ever stopped."""

    def __init__(self, name, node_files, log_directory):
        self.fleet_file = os.path.join(ROOT, "examples", "fleets", f"{name}.json")
        self.fleet = read_commented_json(self.fleet_file)
        self.node_files = node_files
        self.nodes = [read_commented_json(file) for file in node_files]
        self.log_directory = log_directory
        self.platform = None
        self.daemons = {}
        os.makedirs(log_directory, exist_ok=True)

    def use_fleet(self, fleet_file):
        """Takes another fake fleet than the example's. Call before `start`."""
        self.fleet_file = fleet_file
        self.fleet = {"address": "127.0.0.1", **read_commented_json(fleet_file)}

    def start(self):
        self.platform = self._spawn("platform", ["chervilslip-fake", "--fleet", self.fleet_file])
        self._await(lambda: call(self.store, "GET", "/fake")[0] == 200, "the fake platform")
        for index in range(len(self.nodes)):
            self.start_node(index)
        for node in self.nodes:
            self.await_ready(node)

    def start_node(self, index):
        node = self.nodes[index]
        self.daemons[node["node"]] = self._spawn(
            node["node"], ["chervilslipd", "--settings", self.node_files[index]])

    def await_ready(self, node):
        self._await(lambda: call(node["listen"], "GET", "/readyz")[0] == 200, node["node"])

    def stop_node(self, name):
        """Stops a node gracefully and returns its exit code."""
        daemon = self.daemons.pop(name)
        daemon.send_signal(signal.SIGTERM)
        return daemon.wait(STOP_SECONDS)

    def stop(self):
        """Stops everything and returns the nodes' exit codes."""
        for daemon in self.daemons.values():
            daemon.send_signal(signal.SIGTERM)
        codes = [daemon.wait(STOP_SECONDS) for daemon in self.daemons.values()]
        self.daemons = {}
        if self.platform:
            self.platform.send_signal(signal.SIGTERM)
            self.platform.wait(STOP_SECONDS)
        return codes

    def kill(self):
        """Ends whatever is left, after a failure."""
        for process in [*self.daemons.values(), self.platform]:
            if process and process.poll() is None:
                process.kill()
                process.wait()

    def ctl(self, *arguments):
        """Runs chervilslipctl against all nodes; returns exit code and output."""
        environment = dict(os.environ, CHERVILSLIP_TOKEN=self.nodes[0]["operator_token"],
                           CHERVILSLIP_NODES=",".join(n["operator_listen"] for n in self.nodes))
        done = subprocess.run([os.path.join(BIN, "chervilslipctl"), *arguments],
                              env=environment, capture_output=True, text=True, check=False,
                              timeout=60)
        return done.returncode, done.stdout + done.stderr

    def issue_key(self, team):
        """Issues a key and returns its id and what the team presents."""
        code, output = self.ctl("keys", "issue", team, "--wait", "--as", "demo")
        found = re.search(r"key (\S+) \(shown this once\): (\S+)", output)
        if code != 0 or not found:
            raise RuntimeError(f"keys issue {team}: {output}")
        return found.group(1), found.group(2)

    @property
    def store(self):
        return f"{self.fleet['address']}:{self.fleet['store_port']}"

    @property
    def vm_list(self):
        return f"{self.fleet['address']}:{self.fleet['vm_list_port']}"

    def worker(self, index):
        return f"{self.fleet['address']}:{self.fleet['vms'][index]['port']}"

    def _spawn(self, name, command):
        log = open(os.path.join(self.log_directory, f"{name}.log"), "ab")
        return subprocess.Popen([os.path.join(BIN, command[0]), *command[1:]], stdout=log,
                                stderr=log, stdin=subprocess.DEVNULL)

    @staticmethod
    def _await(condition, what):
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} did not become ready")


def example_nodes(name):
    """Returns the settings files of an example's nodes, in order."""
    directory = os.path.join(ROOT, "examples", "nodes")
    return [os.path.join(directory, file) for file in sorted(os.listdir(directory))
            if file.startswith(f"{name}-")]
