"""The parties that are not under test: targets that work as long as a request says, a store that may fail, and the nodes' starter."""
import asyncio
import contextlib
import os
import pathlib
import re
import tomllib
import urllib.parse

import stand_ins as s

from . import history as h

DROP_CHECK_S = 0.02


def signed(name, request):
    """The signature of a target's answer."""
    return f"Upstream-Signature: {name}.{request}\r\n"


def answer_body(request, size):
    """The bytes that the target sends for a request."""
    unit = request.encode() + b"."
    return (unit * (size // len(unit) + 1))[:size]


class WorkingTarget(s.Upstream):
    """Works for the time in the query of the path and answers as many bytes as it says; drops work whose connection has ended."""

    def __init__(self, record, name, service, history, chooser):
        super().__init__(record, name, service, 0.02, 16)
        self.history, self.chooser = history, chooser

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await s.read_head(reader)
                request = fields.get("request-id", "")
                if line.split(" ")[1].startswith("/healthz"):
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                run = h.Run(self.name, s.now())
                self.history.runs.setdefault(request, []).append(run)
                self.record.write(f"{self.name}: {request} arrives: {line}")
                try:
                    await self.read_body(reader, fields)
                    await self.work(line, request, reader, writer, run)
                except BaseException:
                    run.ended_at, run.end = s.now(), "dropped"
                    raise
                if run.end != "answered":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def read_body(self, reader, fields):
        """Reads a body with a length or in chunks."""
        if fields.get("transfer-encoding", "").lower() != "chunked":
            await reader.readexactly(int(fields.get("content-length", "0")))
            return
        size = -1
        while size:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            await reader.readexactly(size + 2)

    async def work(self, line, request, reader, writer, run):
        query = dict(urllib.parse.parse_qsl(line.split(" ")[1].partition("?")[2]))
        until = run.at + int(query.get("work", "20")) / 1000
        while s.now() < until:
            await asyncio.sleep(min(DROP_CHECK_S, max(until - s.now(), 0.001)))
            if reader.at_eof() or writer.is_closing():
                run.ended_at, run.end = s.now(), "dropped"
                self.record.write(f"{self.name}: {request} dropped, its connection has ended")
                return
        body = answer_body(request, int(query.get("size", "10")))
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{signed(self.name, request)}"
        if self.chooser.random() < 0.25:
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            for begin in range(0, len(body), 40000):
                part = body[begin:begin + 40000]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        run.ended_at, run.end = s.now(), "answered"
        self.record.write(f"{self.name}: {request} answered, {len(body)} bytes")
        await writer.drain()


class TroubledStore(s.Store):
    """A store that refuses all calls or is silent for a while; leases end meanwhile or wait."""

    def __init__(self, record):
        super().__init__(record)
        self.trouble, self.trouble_until, self.keeps_leases = "", 0.0, False

    def impair(self, trouble, seconds, keeps_leases):
        """Refuses ("refuses") or is silent ("silent") from now on."""
        self.trouble, self.trouble_until, self.keeps_leases = trouble, s.now() + seconds, keeps_leases
        self.record.say(f"store: {trouble} for {seconds:g} s, leases {'wait' if keeps_leases else 'may end'}")

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if s.now() < self.trouble_until and self.keeps_leases:
                self.leases = {lease: (end + 0.1, seconds) for lease, (end, seconds) in self.leases.items()}
            for lease in [lease for lease, end in self.leases.items() if end[0] <= s.now()]:
                self.end_lease(lease)

    async def answer(self, method, path, query, body):
        if s.now() >= self.trouble_until:
            return await super().answer(method, path, query, body)
        if self.trouble == "refuses":
            return 503, {}
        await asyncio.sleep(self.trouble_until - s.now())
        return None


class Machine(s.Node):
    """A node with the process that it runs now; every start is a life in the history."""

    def __init__(self, record, folder, index, store, zones, zone, history, program):
        super().__init__(record, folder, index, store, zones, zone)
        self.history, self.program = history, program
        while self.has_port_twice():
            self.listen.update({name: f"{self.ip}:{s.free_port(self.ip)}" for name in self.listen})
            self.values["port_range"] = [s.free_port(self.ip), s.free_port(self.ip)]
        self.life = None
        self.is_being_ended = False

    def has_port_twice(self):
        """Whether two of the ports that were drawn are the same, with which no node could start."""
        ports = self.values["port_range"] + [int(address.split(":")[1]) for address in self.listen.values()]
        return len(set(ports)) < len(ports)

    def settings(self):
        """Keeps a section whose name is a bound only if this world sets the bound, before the stand-in fills in the rest."""
        bounds = self.values["bounds"]
        template = re.sub(r"\{\{#bounds\.(\w+)\}\}\n(.*?)\{\{/bounds\.\1\}\}\n", lambda match: match.group(2) if bounds.get(match.group(1)) else "",
                          (s.ROOT / "deploy/gateway.ini").read_text(), flags=re.S)
        return s.render(template, self.values)

    async def start(self):
        if not self.values["platform"]["address"]:
            self.values["platform"]["address"] = await self.store.address_for(self.name)
        path = self.folder / f"{self.name}.ini"
        self.write_settings(path)
        role = tomllib.loads((s.ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"].split(" ")
        command = [str(path) if word.startswith("/etc/") else word for word in role]
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self.program), *command[1:], cwd=s.ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": str(self.folder)})
        self.life = h.Life(self.name, s.now())
        self.history.lives.append(self.life)
        self.record.say(f"platform: {self.name} started")
        asyncio.create_task(self.watch_start(self.life, self.process))
        asyncio.create_task(self.watch_end(self.life, self.process))

    def write_settings(self, path=None):
        """Replaces the settings file in one step."""
        path = path or self.folder / f"{self.name}.ini"
        draft = path.with_suffix(".new")
        draft.write_text(self.settings())
        draft.rename(path)

    async def watch_start(self, life, process):
        while life.ready_at is None and process.returncode is None:
            if await self.is_ready() and process is self.process:
                life.ready_at = s.now()
                return
            await asyncio.sleep(0.05)

    async def watch_end(self, life, process):
        code = await process.wait()
        if self.is_over:
            return
        life.ended_at, life.code = s.now(), code
        own = life.asked_at is None
        self.record.say(f"{self.name} ended{' by itself' if own else ''}: {code}, {s.now() - life.started_at:.3f} s after its start")
        if own:
            await asyncio.sleep(0.3)
            if not self.is_over and self.process is process:
                await self.start()

    def ask_end(self, kind, number):
        """Signals the end of the present process."""
        self.life.asked_at, self.life.asked_kind = s.now(), kind
        self.process.send_signal(number)

    async def wait_end(self, seconds):
        """Waits for the end of the process and kills it afterwards."""
        process = self.process
        try:
            await asyncio.wait_for(process.wait(), seconds)
        except asyncio.TimeoutError:
            # The process may have ended in the same moment.
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        while self.life.ended_at is None:
            await asyncio.sleep(0.005)


def program_of(arguments):
    """The program under test."""
    program = pathlib.Path(arguments.program or s.ROOT / "target/gypsumhub").resolve()
    if not program.exists():
        raise s.CannotRun(f"{program} is not built")
    return program
