"""The parties of the world "customers" that are not under test: targets that record what they see, and a store that nodes may lose."""
import asyncio
import contextlib
import contextvars
import hashlib
import json
import urllib.parse

import stand_ins as s

from . import customer_history as c
from .parties import Machine, answer_body, signed

SLOTS, QUEUE = 2, 8
READ_BYTES = 1 << 14
# The node whose connection the store serves in this task.
CALLING_NODE = contextvars.ContextVar("calling node", default="")
ALL_NODES = "all nodes"


async def read_message(reader):
    """Returns the first line and a list of (name in lower case, value), in which a field that is sent twice occurs twice."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = [(name.strip().lower(), value.strip()) for name, colon, value in (line.partition(":") for line in lines[1:]) if colon]
    return lines[0], fields


class CustomerTarget(s.Upstream):
    """Runs SLOTS requests at once, queues QUEUE more and declines the rest. Reads bodies at `bytes_per_s`, or at once with 0."""

    def __init__(self, record, name, service, history, bytes_per_s=0):
        super().__init__(record, name, service, 0.02, SLOTS)
        self.history, self.bytes_per_s = history, bytes_per_s
        self.places = asyncio.Semaphore(SLOTS)
        self.held = 0

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_message(reader)
                values = dict(fields)
                if line.split(" ")[1].startswith("/healthz"):
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                request = values.get("request-id", "")
                run = c.CustomerRun(self.name, s.now(), [value for name, value in fields if name == "tenant"], "authorization" in values)
                self.history.runs.setdefault(request, []).append(run)
                self.record.write(f"{self.name}: {request} arrives, Tenant {run.tenants}: {line}")
                await self.take(line, values, request, reader, writer, run)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def take(self, line, values, request, reader, writer, run):
        """Reads the body and runs the request or declines it."""
        is_accepted = self.held < SLOTS + QUEUE
        self.held += is_accepted
        try:
            body = await self.read_body(reader, values)
            if not is_accepted:
                run.ended_at, run.end = s.now(), "declined"
                writer.write(f"HTTP/1.1 503 X\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                return
            run.at, run.is_run, run.digest = s.now(), True, hashlib.sha256(body).hexdigest()
            query = dict(urllib.parse.parse_qsl(line.split(" ")[1].partition("?")[2]))
            async with self.places:
                await asyncio.sleep(int(query.get("work", "20")) / 1000)
            answer = answer_body(request, int(query.get("size", "10")))
            writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{signed(self.name, request)}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
            run.ended_at, run.end = s.now(), "answered"
            await writer.drain()
        except BaseException:
            if not run.end:
                run.ended_at, run.end = s.now(), "dropped"
            raise
        finally:
            self.held -= is_accepted

    async def read_body(self, reader, values):
        """Reads a body with a length or in chunks."""
        if values.get("transfer-encoding", "").lower() != "chunked":
            return await self.read_bytes(reader, int(values.get("content-length", "0")))
        body, size = b"", -1
        while size:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await self.read_bytes(reader, size)
            await reader.readexactly(2)
        return body

    async def read_bytes(self, reader, size):
        parts = []
        while size > 0:
            part = await reader.read(min(size, READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            parts.append(part)
            size -= len(part)
            if self.bytes_per_s:
                await asyncio.sleep(len(part) / self.bytes_per_s)
        return b"".join(parts)


class CustomerStore(s.Store):
    """A store that single nodes, or all of them, cannot reach for a while. Calls of such a node are answered by nothing."""

    def __init__(self, record):
        super().__init__(record)
        # By node, when it reaches the store again.
        self.cut_until = {}

    def cut(self, node, seconds):
        self.cut_until[node] = s.now() + seconds
        self.record.say(f"store: not reached by {node} for {seconds:.1f} s")

    def left_of_cut(self, node):
        return max(self.cut_until.get(name, 0.0) for name in (node, ALL_NODES)) - s.now()

    async def serve(self, reader, writer, node):
        CALLING_NODE.set(node)
        # Python 3.11 prints a traceback for each connection that is cancelled at the end of the program.
        with contextlib.suppress(asyncio.CancelledError):
            await super().serve(reader, writer, node)

    async def answer(self, method, path, query, body):
        node = CALLING_NODE.get()
        answer = await super().answer(method, path, query, body) if self.left_of_cut(node) <= 0 else None
        # A watch that waited when the connection was lost is not answered either.
        if (left := self.left_of_cut(node)) > 0:
            await asyncio.sleep(left)
            return None
        return answer

    def configure_customers(self, version, routes, services, tenants):
        """The operator writes a configuration with customers. Returns the time of the store's acknowledgement."""
        self.put("op/config", json.dumps({
            "version": f"{version:08x}", "routes": routes, "tenants": tenants,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_read_limit": "3000ms", "idle_limit": "15000ms"}}))
        self.record.say(f"operator: configuration {version} acknowledged")
        return s.now()


class CustomerNode(Machine):
    """A node with the settings of this world."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.values["bounds"].update(strict_revoke=True, revoke_s="5s", quota_window_s="5s", quota_overshoot=0.1, quota_slack=20)

    async def metrics_page(self):
        """The page, or nothing if the node does not answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.values["port_range"][1], limit=1 << 22), 1)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return await asyncio.wait_for(reader.read(-1), 2)
        except (OSError, asyncio.TimeoutError):
            return b""
        finally:
            if writer:
                writer.close()

    def log_text(self):
        path = self.folder / f"{self.name}.log"
        return path.read_bytes() if path.exists() else b""
