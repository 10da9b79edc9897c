"""Stand-ins for the review's scripts: the platform's store, upstreams, consumers and the platform that starts the nodes.

Only the standard library of Python 3.11 is used. Every address is a loopback address. A case is one asyncio program: it starts the
nodes as separate processes with the command of deploy/system.toml and the settings of deploy/gateway.ini, plays the other parties itself
and writes what it saw to record.txt in the folder of the case.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "bookdesk.example"
STARTED = time.monotonic()

# Bounds of the small installations in the users' pages (SYSTEM.md).
CONTACT_S = 3.0
CONFIG_S = 2.0
DRAIN_S = 2.0
MAX_STRETCH_S = 5.0
GRACE_S = 6.0
MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not be played."""


def now():
    """Seconds since the start of the program."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{now():9.3f} {text}", flush=True)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields of a message, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's store as in PROTOCOL.md, with the field names of deploy/wire.toml."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 100
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.calls = 0
        self.lost = 0
        # loses_answer(kind, query, status) -> whether the answer to this call is lost.
        self.loses_answer = lambda kind, query, events: False
        # Seconds after which a waiting watch is cut, or None.
        self.cut_watch_after = None

    async def start(self):
        self.servers = []
        # When a waiting watch of a node was cut: (time, node).
        self.cut_watches = []
        self.expiry = asyncio.create_task(self.expire())

    async def address_for(self, node):
        """Opens a port of the store for one node, so that the record tells the nodes apart."""
        serve = lambda reader, writer: self.serve(reader, writer, node)
        self.servers.append(await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 22))
        return "127.0.0.1:%d" % self.servers[-1].sockets[0].getsockname()[1]

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [lease for lease, end in self.leases.items() if end[0] <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "rev": self.revision,
                "created": known["created"] if known else self.revision, "lease": lease}
        self.items[key] = item
        self.add_event(dict(item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.add_event({"key": key, "rev": self.revision, "deleted": True})

    def add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, node):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                answer = await self.answer(method, path, query, body)
                if answer is None:
                    self.cut_watches.append((now(), node))
                    self.record.write(f"store: cuts a watch of {node} on {query.get('prefix')} that waits")
                    break
                status, document = answer
                self.calls += 1
                if self.loses_answer(path.rsplit("/", 1)[-1], query, document.get("events")):
                    # A connection on which an answer is lost returns nothing further.
                    self.lost += 1
                    await reader.read()
                    break
                payload = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(payload)) + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/gypsumhub/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if path == "/gypsumhub/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            page = keys[:50]
            return 200, {"items": [self.items[key] for key in page], "has_more": len(keys) > len(page), "store_revision": self.revision}
        if path == "/gypsumhub/kv-watch":
            return await self.watch(query)
        document = json.loads(body) if body else {}
        if path == "/gypsumhub/kv-txn":
            return self.transaction(document)
        if path == "/gypsumhub/kv-lease":
            seconds = float(re.fullmatch(r"(\d+)ms", document["lease_ttl"]).group(1)) / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + seconds, seconds)
            return 200, {"lease": self.next_lease, "lease_ttl": document["lease_ttl"]}
        lease = int(path.rsplit("/", 1)[-1]) if path.rsplit("/", 1)[-1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/gypsumhub/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (now() + seconds, seconds)
        return 200, {"lease_ttl": f"{int(seconds * 1000)}ms"}

    def transaction(self, document):
        for row in document.get("expected", []):
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                return 412, {"items": []}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in document.get("puts", [])):
            return 404, {}
        for put in document.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]).decode(), put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}

    async def watch(self, query):
        """Returns None when the watch is cut while it waits."""
        after, prefix = int(query["after"]), query["prefix"]
        began = now()
        until = began + int(query["wait_ms"]) / 1000
        while True:
            changed = self.changed
            found = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            if found or now() >= until:
                return 200, {"events": found, "store_revision": self.revision}
            if self.cut_watch_after and now() >= began + self.cut_watch_after:
                return None
            try:
                await asyncio.wait_for(changed.wait(), min(max(until - now(), 0.001), 0.1))
            except asyncio.TimeoutError:
                pass

    def configure(self, version, routes, services, body_bytes=67108864):
        """The operator writes a configuration. Returns the time of the store's ack."""
        self.put("op/config", json.dumps({
            "version": f"{version:08x}", "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes, "header_read_limit": "3000ms", "idle_limit": "15000ms"}}))
        self.record.say(f"operator: configuration {version} acknowledged")
        return now()


def route(name, prefix, service, kind="unsafe", time_limit_ms=4000, max_attempts=2):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "time_limit": f"{time_limit_ms}ms", "latency_target": "1500ms",
            "priority": 1, "service": service, "max_attempts": max_attempts}


class Upstream:
    """One upstream of a service."""

    def __init__(self, record, name, service, work_s=0.1, slots=4, zone="ahd-a"):
        self.record, self.name, self.service, self.work_s, self.slots, self.zone = record, name, service, work_s, slots, zone
        self.busy = 0
        self.arrivals = []
        self.runs = []
        # misbehave(upstream, fields, writer) -> whether it has handled the request itself.
        self.misbehave = None

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register(store, "ready")

    def register(self, store, state):
        store.put("servers/" + self.name, json.dumps({
            "address": self.address, "info": {"service": self.service, "version": "v1", "data_centre": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "warm_up_left": "0ms"}}))

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                length = int(fields.get("content-length", "0"))
                while length > 0:
                    part = await reader.read(min(length, 1 << 16))
                    if not part:
                        return
                    length -= len(part)
                if not await self.handle(line, fields, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, line, fields, reader, writer):
        """Returns whether the connection is kept."""
        request = fields.get("request-id", "")
        if line.split(" ")[1].startswith("/healthz"):
            writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.arrivals.append((now(), request))
        self.record.write(f"{self.name} ({self.service}): request {request} arrives: {line}")
        if fields.get("target-instance", self.name) != self.name:
            self.reply(writer, 421, request, f"Instance-Id: {self.name}\r\n", b"")
            return True
        if self.busy >= self.slots:
            self.reply(writer, 503, request, "Not-Executed: 1\r\n", b"")
            return True
        self.runs.append((now(), request))
        if self.misbehave and await self.misbehave(self, request, reader, writer):
            return False
        self.busy += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.busy -= 1
        self.reply(writer, 200, request, f"Upstream-Signature: {self.name}.{request}\r\n", f"run by {self.service}".encode())
        await writer.drain()
        return True

    def reply(self, writer, status, request, more, body):
        self.record.write(f"{self.name} ({self.service}): request {request} answered {status}")
        writer.write(f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Node:
    """One machine that runs the role `gateway` of deploy/system.toml."""

    def __init__(self, record, folder, index, store, zones, zone):
        self.record, self.folder, self.index, self.zone = record, folder, index, zone
        self.name = f"edge-{zone}-{index + 1}"
        self.ip = f"127.3.{os.getpid() % 200 + 1}.{index + 1}"
        self.listen = {name: f"{self.ip}:{free_port(self.ip)}" for name in ("front", "ready", "directory")}
        ports = [free_port(self.ip), free_port(self.ip)]
        self.values = {
            "node": self.name, "data_centre": zone, "region": zones[zone], "data_centres": zones, "listen": self.listen, "ip": self.ip,
            "port_range": ports, "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": MEMORY_MB, "link_mbps": 1000.0},
            "bounds": {"stop_limit": f"{GRACE_S:g}s", "repeat_share": 0.2, "repeat_reserve": 60, "repeat_window": "10s"},
            "platform": {"address": None, "shortest_lease": "1000ms"}}
        self.store = store
        self.process = None
        self.is_over = False
        self.ends = 0
        self.memory_peak = 0

    def settings(self):
        return render((ROOT / "deploy/gateway.ini").read_text(), self.values)

    async def start(self):
        if not self.values["platform"]["address"]:
            self.values["platform"]["address"] = await self.store.address_for(self.name)
        path = self.folder / f"{self.name}.ini"
        path.write_text(self.settings())
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"].split(" ")
        command = [str(path) if word.startswith("/etc/") else word for word in role]
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is not built")
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *command[1:], cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "HOME": str(self.folder)})
        self.record.say(f"platform: {self.name} started")

    async def wait_ready(self, limit=10):
        end = now() + limit
        while now() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def is_ready(self):
        try:
            host, port = self.listen["ready"].split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /gypsumhub/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def resident_mb(self):
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def enforce_memory(self):
        """The platform kills a process that exceeds memory_mb and starts it again after a short delay."""
        while not self.is_over:
            await asyncio.sleep(0.02)
            if self.is_over:
                return
            used = self.resident_mb()
            self.memory_peak = max(self.memory_peak, used)
            ended = self.process.returncode
            if used > MEMORY_MB and ended is None:
                self.record.say(f"platform: {self.name} uses {used:.0f} MB of {MEMORY_MB}: killed")
                self.process.kill()
                await self.process.wait()
            elif ended is not None:
                self.record.say(f"platform: {self.name} has ended by itself ({ended})")
            else:
                continue
            self.ends += 1
            await asyncio.sleep(0.5)
            if not self.is_over:
                await self.start()

    async def stop(self):
        self.is_over = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def render(template, values):
    """Fills in the placeholders that deploy/gateway.ini uses."""
    def value(name):
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def section(match):
        try:
            found = value(match.group(1))
        except KeyError:
            return ""
        if not isinstance(found, dict):
            return match.group(2) if found else ""
        entries = list(found.items())
        parts = []
        for position, (key, entry) in enumerate(entries):
            text = match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            parts.append(text.replace("{{,}}", "," if position + 1 < len(entries) else ""))
        return "".join(parts)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1))), template)


class Outcome:
    """How one request ended for its consumer."""

    def __init__(self, request, node, kept, sent_at):
        self.request, self.node, self.kept, self.sent_at = request, node, kept, sent_at
        self.status = 0
        self.body = b""
        self.ended_at = None

    def describe(self):
        end = f"answered {self.status}" if self.status else "connection closed without an answer"
        return f"request {self.request} ({'kept' if self.kept else 'new'} connection to {self.node}) sent at {self.sent_at:.3f}: {end}"


class Consumer:
    """Sends requests one after the other on one kept connection, and opens a new one after it was closed."""

    count = 0

    def __init__(self, record, node, outcomes):
        Consumer.count += 1
        self.id = Consumer.count
        self.record, self.node, self.outcomes = record, node, outcomes
        self.reader = self.writer = None
        self.sent = 0
        self.on_connection = 0

    async def request(self, path, method="POST", body=b"x" * 4000, deadline_ms=4000, pieces=None, bytes_per_s=None):
        if self.writer is None:
            host, port = self.node.listen["front"].split(":")
            try:
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                return None
            self.on_connection = 0
        self.sent += 1
        self.on_connection += 1
        outcome = Outcome(f"c{self.id}-{self.sent}", self.node.name, self.on_connection > 1, now())
        self.outcomes.append(outcome)
        self.record.write(f"consumer {self.id}: sends {outcome.request} {method} {path} to {self.node.name}")
        length = sum(map(len, pieces)) if pieces else len(body)
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {outcome.request}\r\nDeadline-Ms: {deadline_ms}\r\n"
                f"Content-Length: {length}\r\n\r\n").encode()
        try:
            self.writer.write(head)
            began, written = now(), 0
            for piece in pieces or [body]:
                self.writer.write(piece)
                await self.writer.drain()
                written += len(piece)
                if bytes_per_s:
                    await asyncio.sleep(max(began + written / bytes_per_s - now(), 0))
            outcome.sent_at = now()
            line, fields = await asyncio.wait_for(read_head(self.reader), deadline_ms / 1000 + 2)
            outcome.body = await self.reader.readexactly(int(fields.get("content-length", "0")))
            outcome.status = int(line.split(" ")[1])
            if fields.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
        outcome.ended_at = now()
        self.record.write(f"consumer {self.id}: {outcome.describe()}")
        return outcome

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def play(case, folder):
    """Runs `case(record, folder for temporary files)`, which returns whether the rule was broken, and exits with 1, 0 or 2."""
    record = Record(pathlib.Path(folder))
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    nodes = []

    async def main():
        try:
            return await asyncio.wait_for(case(record, scratch, nodes), 110)
        finally:
            for node in nodes:
                await node.stop()

    try:
        record.say(f"TROUBLE={int(TROUBLE)}")
        broken = asyncio.run(main())
        code = 1 if broken else 0
        record.say("the rule was broken" if broken else "the rule held")
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        code = 2
    record.file.close()
    if os.environ.get("KEEP") == "1":
        print(scratch)
    else:
        shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    # Ends at once: the stand-ins still hold open connections.
    os._exit(code)
