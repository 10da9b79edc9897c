"""Callers of the world "customers": each request is sent at a drawn point in time, on a connection with one request at a time."""
import asyncio
import hashlib

import stand_ins as s

from . import customer_history as c
from .caller import CONNECT_LIMIT_S, GIVE_UP_AFTER_S, Ended, Wire

# Shorter than the configured idle limit, so that a request seldom meets the node's close.
KEEP_IDLE_S = 5.0
IDLE_PER_NODE = 6
LARGEST_UPLOAD, MEAN_UPLOAD = 360_000, 60_000
DEADLINES_MS = {"lookup": 5000, "approve": 5000, "upload": 10000, "public": 5000}
PIECE_BYTES = 16_000
FORGED = ("Tenant: acme\r\n", "tenant: birch\r\nTenant: cedar\r\n", "TENANT: nobody\r\nGypsumhub-Customer: acme\r\n", "Gypsumhub-Customer: birch\r\n")


class Connections:
    """The idle connections to one node."""

    def __init__(self, node):
        self.node = node
        self.idle = []

    async def take(self, bytes_per_s):
        """An idle connection or a new one, None if the node does not accept one. A slow reader always gets a new one."""
        while self.idle and not bytes_per_s:
            wire, since = self.idle.pop()
            if s.now() - since < KEEP_IDLE_S:
                return wire
            wire.socket.close()
        wire = Wire(bytes_per_s)
        host, port = self.node.listen["front"].split(":")
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(wire.socket, (host, int(port))), CONNECT_LIMIT_S)
        except (OSError, asyncio.TimeoutError):
            wire.socket.close()
            return None
        return wire

    def give_back(self, wire):
        if wire.bytes_per_s or len(self.idle) >= IDLE_PER_NODE:
            wire.socket.close()
        else:
            self.idle.append((wire, s.now()))


class CustomerCaller:
    """Sends requests to the nodes and records them in the history."""

    def __init__(self, record, history, chooser):
        self.record, self.history, self.chooser = record, history, chooser
        self.connections = {}
        self.sent = 0
        self.under_way = set()

    def start(self, node, kind, key, credential=c.VALID_CREDENTIAL):
        """Sends one request without waiting for its end."""
        task = asyncio.create_task(self.request(node, kind, key, credential))
        self.under_way.add(task)
        task.add_done_callback(self.under_way.discard)

    async def finish(self, seconds):
        """Waits until the requests have ended."""
        if self.under_way:
            await asyncio.wait(self.under_way, timeout=seconds)

    def body(self, kind):
        if kind != c.UPLOAD:
            return self.chooser.randbytes(200) if kind == "approve" else b""
        # A tail so that a few reach the largest size, and the mean stays near MEAN_UPLOAD.
        return self.chooser.randbytes(min(int(self.chooser.expovariate(1 / MEAN_UPLOAD)) + 1, LARGEST_UPLOAD))

    def credential_fields(self, key, credential):
        scheme = self.chooser.choice(("Bearer", "bearer", "BEARER"))
        field = f"Authorization: {scheme} {key}\r\n"
        return {"none": "", "basic": f"Authorization: Basic {key}\r\n", "twice": field * 2}.get(credential, field)

    def message(self, request, body):
        """The pieces of the request, with a length or in chunks."""
        work_ms = min(int(self.chooser.lognormvariate(3.0, 0.8)) + 2, 400)
        size = 30_000 if request.kind == c.UPLOAD else 200
        forged = self.chooser.choice(FORGED) if self.chooser.random() < 0.4 else ""
        head = (f"{'POST' if body else 'GET'} /{request.kind}/x{request.id}?work={work_ms}&size={size} HTTP/1.1\r\nHost: {s.HOST}\r\n"
                f"Request-Id: {request.id}\r\nDeadline-Ms: {DEADLINES_MS[request.kind]}\r\n{forged}"
                f"{self.credential_fields(request.key, request.credential)}")
        parts = [body[begin:begin + PIECE_BYTES] for begin in range(0, len(body), PIECE_BYTES)]
        if body and self.chooser.random() < 0.3:
            return [f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()] + [b"%x\r\n%b\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
        return [f"{head}Content-Length: {len(body)}\r\n\r\n".encode()] + parts

    async def request(self, node, kind, key, credential):
        is_slow = kind == c.UPLOAD and self.chooser.random() < 0.4
        self.sent += 1
        name, body = f"q{self.sent}", self.body(kind)
        read_rate, write_rate = (self.chooser.choice((20_000, 60_000)), self.chooser.choice((100_000, 300_000))) if is_slow else (0, 0)
        request = c.CustomerRequest(name, node.name, kind, key, credential, 0.0, DEADLINES_MS[kind] / 1000, hashlib.sha256(body).hexdigest())
        pieces = self.message(request, body)
        connections = self.connections.setdefault(node.name, Connections(node))
        wire = await connections.take(read_rate)
        if wire is None:
            return
        request.began_at = s.now()
        self.history.requests.append(request)
        self.record.write(f"{name}: {kind} of {self.history.customer_of(request) or credential} sent to {node.name}")
        writing = asyncio.create_task(self.write(wire, request, pieces, write_rate))
        is_kept = False
        try:
            is_kept = await asyncio.wait_for(self.read(wire, request), request.deadline_s + GIVE_UP_AFTER_S)
            request.end = "answered"
        except Ended as ended:
            request.end = str(ended)
        except asyncio.TimeoutError:
            request.end = "gave up"
        request.ended_at = s.now()
        is_kept = is_kept and writing.done()
        writing.cancel()
        self.record.write(f"{name}: {request.end}, status {request.status}")
        if is_kept:
            connections.give_back(wire)
        else:
            wire.socket.close()

    async def write(self, wire, request, pieces, bytes_per_s):
        try:
            for piece in pieces:
                await wire.send(piece)
                if bytes_per_s:
                    await asyncio.sleep(len(piece) / bytes_per_s)
            request.sent_at = s.now()
        except Ended:
            pass

    async def read(self, wire, request):
        """Reads the answer. Returns whether the node keeps the connection."""
        status = 0
        while status < 200:
            head = (await wire.until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
        fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        request.status, request.is_own = status, "upstream-signature" not in fields
        if fields.get("transfer-encoding", "").lower() == "chunked":
            size = -1
            while size:
                size = int((await wire.until(b"\r\n")).split(b";")[0], 16)
                await wire.exactly(size + 2)
        else:
            await wire.exactly(int(fields.get("content-length", "0")))
        request.is_complete = True
        return fields.get("connection", "").lower() != "close"
