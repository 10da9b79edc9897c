"""A fleet on loopback for the demo and the measurements: a fake platform, fake targets and real nodes.

The fakes exit after RUN_LIMIT_SECONDS. `stop` kills all processes by pid.
"""
import json
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "release"
RUN_LIMIT_SECONDS = 300
PEER_KEY = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"


def free_ports(count, address="127.0.0.1"):
    """Returns free ports. Another process may take them before they are used."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind((address, 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def fetch(url, method="GET", timeout=3.0):
    """Returns the status and the body, or (0, reason) when there is no answer."""
    try:
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (urllib.error.URLError, OSError) as error:
        return 0, str(error)


class LocalFleet:
    """A register with services on fake targets, and the nodes that serve them."""

    def __init__(self, nodes, services, data_centres=("ahd-a", "ahd-b"), region="ahd", rules="", slots=4, service_ms=10, answer_lifetime="15s"):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="gypsumhub-"))
        self.data_centres = data_centres
        self.region = region
        self.services = services
        self.rules = rules
        self.slots = slots
        self.service_ms = service_ms
        self.answer_lifetime = answer_lifetime
        self.processes = {}
        self.targets = {}
        self.nodes = {}
        ports = free_ports(2 + sum(services.values()) + 3 * nodes)
        self.store_port, self.list_port = ports.pop(), ports.pop()
        for service, count in services.items():
            for index in range(count):
                centre = data_centres[index % len(data_centres)]
                self.targets[f"{service}-{index + 1:02}"] = {"service": service, "centre": centre, "port": ports.pop()}
        for index in range(nodes):
            centre = data_centres[index % len(data_centres)]
            self.nodes[f"node-{index + 1:02}"] = {
                "centre": centre, "caller": ports.pop(), "peer": ports.pop(), "operator": ports.pop()}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def write_files(self):
        """Writes the register, the rules and one settings file per node."""
        lines = []
        for centre in self.data_centres:
            lines += [f"[data_centre {centre}]", f"region = {self.region}", ""]
        for service in self.services:
            lines += [f"[service {service}]", "", f"[route /{service}/]", f"service = {service}", ""]
        for name, target in self.targets.items():
            lines += [f"[vm {name}]", f"service = {target['service']}", f"data_centre = {target['centre']}",
                      f"address = 127.0.0.1:{target['port']}", f"slots = {self.slots}", ""]
        for name, node in self.nodes.items():
            lines += [f"[node {name}]", f"data_centre = {node['centre']}", f"address = 127.0.0.1:{node['caller']}",
                      f"peer_address = 127.0.0.1:{node['peer']}", ""]
        (self.directory / "register.ini").write_text("\n".join(lines))
        (self.directory / "rules.ini").write_text(self.rules)
        for name in self.nodes:
            self.write_settings(name)

    def write_settings(self, name):
        """Writes the settings file of one node."""
        node = self.nodes[name]
        peers = [other["peer"] for key, other in self.nodes.items() if key != name]
        seeds = ", ".join(f"127.0.0.1:{port}" for port in random.sample(peers, min(3, len(peers))))
        text = "\n".join([
            "[node]", f"name = {name}", f"data_centre = {node['centre']}",
            f"caller_address = 127.0.0.1:{node['caller']}", f"peer_address = 127.0.0.1:{node['peer']}",
            f"operator_address = 127.0.0.1:{node['operator']}", "",
            "[store]", f"addresses = 127.0.0.1:{self.store_port}", "",
            "[list]", f"address = 127.0.0.1:{self.list_port}", "",
            "[peers]", *([f"seeds = {seeds}"] if seeds else []), f"key = {PEER_KEY}", "",
            "[limits]", f"answer_lifetime = {self.answer_lifetime}", "",
            "[logs]", f"log = {self.directory / name}.log", f"span_log = {self.directory / name}.spans", ""])
        (self.directory / f"{name}.ini").write_text(text)

    def start_process(self, name, arguments):
        """Starts a process with its output in a separate file."""
        output = (self.directory / f"{name}.out").open("a")
        self.processes[name] = subprocess.Popen(arguments, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT)
        return self.processes[name]

    def start_platform(self):
        self.start_process("platform", [
            BUILD / "gypsumhub_fake_platform", f"--store_port={self.store_port}", f"--list_port={self.list_port}",
            f"--run_seconds={RUN_LIMIT_SECONDS}", f"--vms_of={self.directory / 'register.ini'}"])
        self.wait_until(lambda: fetch(f"http://127.0.0.1:{self.list_port}/v1/vms")[0] == 200, 10, "the fake platform")

    def start_targets(self):
        for index, (name, target) in enumerate(self.targets.items()):
            self.start_process(name, [
                BUILD / "gypsumhub_fake_target", f"--name={name}", f"--port={target['port']}", f"--slots={self.slots}",
                f"--service_ms={self.service_ms}", f"--seconds={RUN_LIMIT_SECONDS}", f"--seed={index + 1}"])

    def start_node(self, name):
        return self.start_process(name, [BUILD / "gypsumhub", "serve", self.directory / f"{name}.ini"])

    def apply(self, command, file, check=True):
        """Runs `gypsumhub register|rules apply`."""
        return subprocess.run([BUILD / "gypsumhub", command, "apply", self.directory / file,
                               f"--store=127.0.0.1:{self.store_port}"], capture_output=True, text=True, check=check)

    def start(self):
        """Starts all processes and waits until every node is ready."""
        self.write_files()
        self.start_platform()
        self.start_targets()
        self.apply("register", "register.ini")
        if self.rules:
            self.apply("rules", "rules.ini")
        for name in self.nodes:
            self.start_node(name)
        for name in self.nodes:
            self.wait_until(lambda name=name: self.is_ready(name), 30, f"{name} to be ready")

    def is_ready(self, name):
        return fetch(f"http://127.0.0.1:{self.nodes[name]['operator']}/v1/ready")[0] == 200

    def status(self, name):
        status, body = fetch(f"http://127.0.0.1:{self.nodes[name]['operator']}/v1/status")
        return json.loads(body) if status == 200 else None

    def metrics(self, name):
        """Metrics of a node, as a dictionary from name and labels to value."""
        _, body = fetch(f"http://127.0.0.1:{self.nodes[name]['operator']}/metrics")
        samples = {}
        for line in body.splitlines():
            if line and not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                samples[key] = float(value)
        return samples

    def counts(self, name):
        """Execution counts of a target."""
        status, body = fetch(f"http://127.0.0.1:{self.targets[name]['port']}/control/counts")
        return json.loads(body) if status == 200 else {}

    def set_fault(self, name, kind, **arguments):
        query = "".join(f"&{key}={value}" for key, value in arguments.items())
        return fetch(f"http://127.0.0.1:{self.targets[name]['port']}/control/fault?kind={kind}{query}", "POST")

    def control_store(self, path):
        return fetch(f"http://127.0.0.1:{self.store_port}/control/{path}", "POST")

    def caller_addresses(self):
        return ",".join(f"127.0.0.1:{node['caller']}" for node in self.nodes.values())

    @staticmethod
    def wait_until(condition, limit, what):
        """Waits until the condition holds. Raises TimeoutError after `limit` seconds."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"timed out after {limit} s waiting for {what}")

    def stop(self):
        """Kills all processes by pid, nodes first, and removes the files."""
        for process in reversed(list(self.processes.values())):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)
