"""The parties around gateway nodes, as the users' pages describe them: the platform's store, upstreams, consumers and machines.

All of them listen on loopback addresses and free ports. `play` runs a case for a limited time and ends all processes that it started.
"""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "gypsumhub"
HOST = "desk.example"
LENGTH_LIMIT_S = 110
HEARTBEAT_S = 1.5
GRACE_S = 6.0
CONTACT_S = 3.0
STARTED = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED


class CannotRun(Exception):
    """The case shows neither that the rule was broken nor that it held."""


class Record:
    """Writes what was sent, answered and run to record.txt; `say` also prints it."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", buffering=1 << 16)

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port(address):
    with socket.socket() as listener:
        listener.bind((address, 0))
        return listener.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields of a message, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    return head[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Door:
    """A port at which the store is reached. While `is_silent` it answers nothing, while `is_busy` 503; it then does nothing either."""

    def __init__(self, port):
        self.port, self.is_silent, self.is_busy = port, False, False
        # Set, and replaced by a new event, when a watch or a listing of the registrations is answered.
        self.watch_answered, self.list_answered = asyncio.Event(), asyncio.Event()
        # When the first call after the latest trouble was answered.
        self.served_again_at = None


class Store:
    """The platform's store. Each machine may have a port of its own, so that the store can turn single machines away."""

    def __init__(self, record, address="127.0.0.1"):
        self.record, self.address = record, address
        self.items, self.leases, self.history, self.revision, self.next_lease = {}, {}, [], 100, 1000
        self.changed = asyncio.Event()
        self.is_down = False

    async def start(self):
        self.port = (await self.open_door()).port
        self.expiry = asyncio.create_task(self.expire())

    async def open_door(self):
        door = Door(free_port(self.address))
        await asyncio.start_server(lambda reader, writer: self.serve(door, reader, writer), self.address, door.port)
        return door

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": lease}
        self.tell(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.tell({"key": key, "rev": self.revision, "deleted": True})

    def tell(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, door, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, answer = 503, {}
                if not (door.is_silent or door.is_busy or self.is_down):
                    status, answer = await self.answer(method, urllib.parse.urlsplit(target), json.loads(body) if body else {})
                if door.is_busy:
                    status, answer = 503, {}
                if door.is_silent or self.is_down:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    return
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if status == 503:
                    door.served_again_at = None
                    continue
                door.served_again_at = door.served_again_at or now()
                self.tell_of_call(door, target)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def tell_of_call(self, door, target):
        if "kv-watch?prefix=servers" in target:
            door.watch_answered.set()
            door.watch_answered = asyncio.Event()
        elif "kv-range?prefix=servers" in target:
            door.list_answered.set()
            door.list_answered = asyncio.Event()

    async def answer(self, method, url, body):
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path.endswith("/kv-key"):
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if path.endswith("/kv-range"):
            items = [self.items[key] for key in sorted(self.items) if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "store_revision": self.revision}
        if path.endswith("/kv-watch"):
            until = now() + int(query["wait_ms"]) / 1000
            while True:
                events = [event for event in self.history if event["rev"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
                if events or now() >= until:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
                except asyncio.TimeoutError:
                    pass
        if path.endswith("/kv-txn"):
            expected = [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in body["expected"]]
            if any(item["rev"] != row["rev"] for item, row in zip(expected, body["expected"])):
                return 412, {"items": expected}
            if any(row.get("lease", 0) and row["lease"] not in self.leases for row in body["puts"]):
                return 404, {}
            for row in body["puts"]:
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in body["remove"]:
                self.remove(key)
            return 200, {"rev": self.revision}
        if path.endswith("/kv-lease"):
            self.next_lease += 1
            length = float(body["lease_ttl"].removesuffix("ms")) / 1000
            self.leases[self.next_lease] = (length, now() + length)
            return 200, {"lease": self.next_lease, "lease_ttl": body["lease_ttl"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if "/kv-keep/" in path:
            length = self.leases[lease][0]
            self.leases[lease] = (length, now() + length)
            return 200, {"lease_ttl": f"{int(length * 1000)}ms"}
        self.end_lease(lease)
        return 200, {}

    def configure(self, version, routes, services, **limits):
        """Writes a configuration; the store's acknowledgement is immediate."""
        bounds = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_read_limit": "3000ms", "idle_limit": "15000ms", **limits}
        rows = [{"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False} for name in services]
        self.put("op/config", {"version": f"{version:08x}", "routes": routes, "services": rows, "limits": bounds})
        self.record.write(f"operator: configuration {version}: {json.dumps(routes)}")


def route(name, prefix, service, kind, timeout_ms=4000, max_attempts=2):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "time_limit": f"{timeout_ms}ms", "latency_target": "1500ms",
            "priority": 1, "service": service, "max_attempts": max_attempts}


class Upstream:
    """Serves one request at a time on a connection. `handle` may be replaced; it returns whether the connection is kept."""

    def __init__(self, record, name, service, zone="ahd-a", slots=4, work_s=0.02):
        self.record, self.name, self.service, self.zone, self.slots, self.work_s = record, name, service, zone, slots, work_s
        self.address, self.sequence, self.state, self.runs = "127.0.0.1", 0, "ready", []
        self.born = int(time.time() * 1000)
        self.writers, self.beats, self.is_cut_off = set(), None, False

    async def start(self, store, port=None):
        self.port = port or free_port(self.address)
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=1 << 20)
        self.store = store
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        if self.store.is_down or self.is_cut_off:
            return
        self.sequence += 1
        self.store.put(f"servers/{self.name}", {
            "address": f"{self.address}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "data_centre": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warm_up_left": "0ms"}})

    def stop_serving(self):
        """Ends the process of the upstream: connections are reset, new ones are refused."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            kept = True
            while kept:
                line, fields = await read_head(reader)
                if line.split(" ")[1] == "/healthz":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if fields.get("target-instance", self.name) != self.name:
                    await read_body(reader, fields)
                    self.reply(writer, 421, fields.get("request-id", ""), b"", f"Instance-Id: {self.name}\r\n", signed=False)
                    continue
                kept = await self.handle(line, fields, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def ran(self, request):
        self.runs.append((now(), request))
        self.record.write(f"{self.name}: runs {request}")

    async def handle(self, line, fields, reader, writer):
        await read_body(reader, fields)
        request = fields.get("request-id", "")
        self.ran(request)
        await asyncio.sleep(self.work_s)
        self.reply(writer, 200, request, f"done {request}".encode())
        return True

    def reply(self, writer, status, request, body, more="", signed=True):
        signature = f"Upstream-Signature: {self.name}.{request}\r\n" if signed else ""
        writer.write(f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{signature}{more}Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Node:
    """A machine with one gateway process, started with the command and the settings of the deploy file."""

    def __init__(self, record, scratch, index, store, zones, zone, store_port=None):
        self.record, self.scratch, self.index, self.store = record, scratch, index, store
        self.name, self.zone = f"edge-{zone}-{index + 1}", zone
        self.ip = f"127.0.{60 + index}.1"
        self.front, self.ready, self.directory, self.peer, self.metrics = (f"{self.ip}:{free_port(self.ip)}" for _ in range(5))
        self.settings = scratch / f"{self.name}.ini"
        self.zones, self.store_port = zones, store_port or store.port
        self.process = None
        self.write_settings()

    def write_settings(self, stop_limit_s=GRACE_S, memory_mb=260):
        regions = ",".join(f"{zone}:{region}" for zone, region in self.zones.items())
        self.settings.write_text(f"""[gateway]
name = {self.name}
data_centre = {self.zone}
region = {self.zones[self.zone]}
data_centres = {regions}
caller_address = {self.front}
readiness_address = {self.ready}
directory_address = {self.directory}
peer_address = {self.peer}
metrics_address = {self.metrics}
stop_limit = {stop_limit_s:g}s
cores = 0.2
link = 1000.0
memory = {memory_mb}

[store]
address = {self.store.address}:{self.store_port}
shortest_lease = 1000ms

[repeats]
share = 0.2
reserve = 60
window = 10s

[directory]
lifetime = 2s
nodes = 1
cores = 0.2
link = 50
""")

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"), "GYPSUMHUB_CONFIG": str(self.settings)}
        self.log = open(self.scratch / f"{self.name}.log", "a")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "gateway", str(self.settings), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.write(f"platform: starts {self.name}")

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "/gypsumhub/readyz"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=10):
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until or self.process.returncode is not None:
                raise CannotRun(f"{self.name} isn't ready, exit status {self.process.returncode}")
            await asyncio.sleep(0.05)

    def send(self, number):
        self.record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def call(address, target):
    """A GET on a connection of its own. Returns status, fields and body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        line, fields = await read_head(reader)
        return int(line.split(" ")[1]), fields, await read_body(reader, fields)
    finally:
        writer.close()


class Answer:
    """What a consumer got: `status` 0 for none; `end` is "answered", "closed", "reset", "gave up" or "not connected"."""

    def __init__(self, request):
        self.request, self.status, self.fields, self.body, self.end = request, 0, {}, b"", ""
        self.sent_at = self.ended_at = None

    @property
    def is_own(self):
        return self.status != 0 and "upstream-signature" not in self.fields


class Consumer:
    """Sends one request after the other to a node and keeps its connection while it may."""

    count = 0

    def __init__(self, record, node, source=None):
        Consumer.count += 1
        self.name, self.record, self.node, self.source = f"c{Consumer.count}", record, node, source
        self.number, self.reader, self.writer = 0, None, None

    async def connect(self):
        host, port = self.node.front.split(":")
        local = (self.source, 0) if self.source else None
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22, local_addr=local), 1)

    async def request(self, path, method="GET", body=b"", deadline_ms=4000, fields="", wait_s=None):
        self.number += 1
        answer = Answer(f"{self.name}-{self.number}")
        try:
            if not self.writer or self.writer.is_closing() or self.reader.at_eof():
                self.close()
                await self.connect()
            answer.sent_at = now()
            self.record.write(f"{answer.request}: {method} {path} sent to {self.node.name}")
            length = f"Content-Length: {len(body)}\r\n" if body or method not in ("GET", "HEAD", "DELETE") else ""
            self.writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {answer.request}\r\nDeadline-Ms: {deadline_ms}\r\n"
                               f"{length}{fields}\r\n").encode() + body)
            await asyncio.wait_for(self.read(answer, method), wait_s or deadline_ms / 1000 + 1)
        except asyncio.IncompleteReadError:
            answer.end = "closed"
        except asyncio.TimeoutError:
            answer.end = "gave up" if answer.sent_at is not None else "not connected"
        except OSError:
            answer.end = "reset" if answer.sent_at is not None else "not connected"
        answer.ended_at = now()
        if answer.end != "answered":
            self.close()
        self.record.write(f"{answer.request}: {answer.end} {answer.status} {'own' if answer.is_own else 'signed' if answer.status else ''}")
        return answer

    async def upload(self, path, size, deadline_ms, length_s, pieces):
        """Sends a body evenly over a time, on a connection of its own."""
        self.number += 1
        answer = Answer(f"{self.name}-{self.number}")
        self.record.write(f"{answer.request}: begins to upload {size} bytes to {self.node.name}")
        try:
            await self.connect()
            self.writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {answer.request}\r\nDeadline-Ms: {deadline_ms}\r\n"
                              f"Content-Length: {size}\r\n\r\n".encode())
            for _ in range(pieces):
                self.writer.write(b"p" * (size // pieces))
                await self.writer.drain()
                await asyncio.sleep(length_s / pieces)
            answer.sent_at = now()
            await asyncio.wait_for(self.read(answer, "POST"), deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answer.end = "not answered"
        answer.ended_at = now()
        self.close()
        self.record.write(f"{answer.request}: {answer.end} {answer.status}")
        return answer

    async def read(self, answer, method):
        while answer.status < 200:
            line, answer.fields = await read_head(self.reader)
            answer.status = int(line.split(" ")[1])
        if method != "HEAD":
            answer.body = await read_body(self.reader, answer.fields)
        answer.end = "answered"
        if answer.fields.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def play(folder, case):
    """Runs `case(record, scratch, nodes, with_trouble)`, which returns whether the rule was broken, and exits as the cases have to."""
    record = Record(folder)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="gypsumhub-review-"))
    nodes = []
    status = 2

    async def run():
        # Connections that are open when the case ends are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(case(record, scratch, nodes, os.environ.get("TROUBLE", "1") != "0"), LENGTH_LIMIT_S)
        finally:
            for node in nodes:
                await node.end()

    try:
        if not PROGRAM.exists():
            raise CannotRun("target/gypsumhub is missing: run the build of deploy/system.toml first")
        is_broken = asyncio.run(run())
        record.say("the rule was broken" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    except CannotRun as reason:
        record.say(f"cannot run: {reason}")
    except (Exception, asyncio.TimeoutError):  # a fault of the case itself says nothing about the rule
        record.say(f"cannot run: {traceback.format_exc()}")
    if os.environ.get("KEEP") != "1":
        shutil.rmtree(scratch, ignore_errors=True)
    else:
        print(scratch)
    record.file.close()
    sys.exit(status)
