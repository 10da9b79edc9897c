"""A run: five nodes, 12 targets of two services, 40 callers that pipeline or have one request at a time, and one kind of trouble, all drawn
from a seed."""
import asyncio
import random
import shutil
import signal

import stand_ins as s

from . import history as h
from . import report
from .caller import PipeliningCaller, SequentialCaller
from .lag import Lag
from .parties import Machine, TroubledStore, WorkingTarget, program_of

TROUBLES = ("none", "hup", "config", "term", "term_all", "start_hup", "mixed_planned", "freeze", "kill", "store")
SERVICES = {"desk": 8, "ledger": 4}
CALLERS_PER_NODE = 8
FREEZE_S = 1.2
STORE_TROUBLE_S = 4.0
# Ends that are asked for lie this far apart from a start whose own end is to count.
CALM_S = 1.2


class World:
    """Plays one run and records its history."""

    def __init__(self, arguments, record, scratch, nodes):
        self.arguments, self.record, self.scratch, self.nodes = arguments, record, scratch, nodes
        self.random = random.Random(f"{arguments.trouble} {arguments.seed}")
        self.history = h.History()
        self.version, self.move, self.timeout_ms, self.extra = 0, "desk", 6000, {}
        self.until = 0.0

    async def run(self):
        """Returns whether a rule was broken."""
        self.store = TroubledStore(self.record)
        await self.store.start()
        for service, number in SERVICES.items():
            for index in range(number):
                await WorkingTarget(self.record, f"i-{service}{index}", service, self.history, random.Random(f"{index} {self.random.random()}")).start(self.store)
        self.configure()
        zones = {"ahd-a": "ahd", "ahd-b": "ahd"}
        program = program_of(self.arguments)
        for index in range(self.arguments.nodes):
            zone = ("ahd-a", "ahd-b")[index % 2]
            self.nodes.append(Machine(self.record, self.scratch, index, self.store, zones, zone, self.history, program))
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.gather(*(self.ready(node) for node in self.nodes))
        await asyncio.sleep(1)
        self.history.began_at = s.now()
        self.until = s.now() + self.arguments.length
        lag = Lag()
        kind = SequentialCaller if self.arguments.world == "sequential" else PipeliningCaller
        callers = [kind(f"{index}", self.nodes[index % len(self.nodes)], self.record, self.history,
                        random.Random(f"{self.arguments.seed} caller {index}"), self.choose_path, lambda: self.timeout_ms / 1000)
                   for index in range(CALLERS_PER_NODE * len(self.nodes))]
        await asyncio.gather(*(caller.run(self.until) for caller in callers), self.disturb())
        await asyncio.sleep(1.5)
        lag.stop(self.record)
        self.history.ended_at = s.now()
        self.history.requests = [request for request in self.history.requests if request.ended_at is not None]
        is_broken, has_findings = report.write(self.history, self.record, self.scratch, self.arguments)
        if has_findings:
            kept = self.record.folder / "nodes"
            shutil.copytree(self.scratch, kept)
            self.record.say(f"logs of the nodes and the record are kept in {self.record.folder}")
        return is_broken

    async def ready(self, node):
        """Waits until the node is ready, READY_S at most; the history tells of a start that failed."""
        end = s.now() + h.READY_S
        while node.life.ready_at is None and s.now() < end:
            await asyncio.sleep(0.02)

    def choose_path(self, chooser):
        """A route that stands, now and then one that was added or dropped of late."""
        share = chooser.random()
        if self.extra and share < 0.1:
            return f"/{chooser.choice(sorted(self.extra))}/"
        return "/safe/" if share < 0.45 else "/unsafe/"

    def configure(self):
        """Writes the next configuration to the store."""
        self.version += 1
        routes = [s.route("r-safe", "/safe/", "desk", "safe", self.timeout_ms, 3), s.route("r-unsafe", "/unsafe/", self.move, "unsafe", self.timeout_ms, 2)]
        routes += [s.route(f"r-{name}", f"/{name}/", "ledger", kind, self.timeout_ms, 2) for name, kind in self.extra.items()]
        sent_at = s.now()
        self.history.configurations.append((sent_at, self.store.configure(self.version, routes, list(SERVICES))))

    def change(self):
        """Changes timeouts, the service of a route, or the routes."""
        what = self.random.choice(("timeout", "service", "add", "drop"))
        if what == "timeout":
            self.timeout_ms = self.random.choice((4000, 5000, 6000, 8000))
        elif what == "service":
            self.move = "ledger" if self.move == "desk" else "desk"
        elif what == "add" or not self.extra:
            self.extra[f"more{self.version}"] = self.random.choice(("safe", "unsafe"))
        else:
            self.extra.pop(self.random.choice(sorted(self.extra)))
        self.configure()

    async def disturb(self):
        """Plays the troubles of the run, overlapping."""
        plays = {"none": (), "hup": (self.hups,), "config": (self.configurations,), "term": (self.terms,), "term_all": (self.terms_of_all,),
                 "start_hup": (self.hups_at_starts,), "mixed_planned": (self.terms, self.hups, self.configurations), "freeze": (self.freezes,),
                 "kill": (self.kills,), "store": (self.store_troubles, self.terms)}
        await asyncio.gather(*(play(random.Random(f"{self.arguments.seed} {play.__name__}")) for play in plays[self.arguments.trouble]))

    def mark(self, kind, node, until=None):
        self.record.write(f"platform: {kind} {node.name}")
        self.history.signals.append(h.Signal(kind, node.name, s.now(), until))

    def is_running(self, node):
        return node.process.returncode is None and not node.is_being_ended

    async def hups(self, chooser):
        """A SIGHUP about eight times a second, at any running process, behind a new settings file."""
        while s.now() < self.until:
            await asyncio.sleep(chooser.uniform(0.02, 0.25))
            node = chooser.choice(self.nodes)
            node.values["limits"]["link_mbps"] = chooser.choice((1000.0, 900.0))
            node.write_settings()
            if node.process.returncode is None:
                self.mark("hup", node)
                node.process.send_signal(signal.SIGHUP)

    async def configurations(self, chooser):
        while s.now() < self.until:
            await asyncio.sleep(chooser.uniform(0.5, 1.5))
            self.change()

    async def terminate(self, node, wait):
        """SIGTERM, the end, and a new start."""
        await asyncio.sleep(wait)
        if not self.is_running(node):
            return
        node.is_being_ended = True
        self.mark("term", node)
        node.ask_end("term", signal.SIGTERM)
        await node.wait_end(h.GRACE_S)
        await asyncio.sleep(0.2)
        await node.start()
        node.is_being_ended = False
        await self.ready(node)

    async def terms(self, chooser):
        """One or two nodes at a time."""
        while s.now() < self.until - 2:
            chosen = chooser.sample(self.nodes, chooser.randint(1, 2))
            await asyncio.gather(*(self.terminate(node, chooser.uniform(0, 0.5) if index else 0) for index, node in enumerate(chosen)))
            await asyncio.sleep(chooser.uniform(0.2, 1.0))

    async def terms_of_all(self, chooser):
        """All nodes within a second."""
        while s.now() < self.until - 2:
            await asyncio.sleep(chooser.uniform(2, 3))
            await asyncio.gather(*(self.terminate(node, chooser.uniform(0, 1)) for node in self.nodes))

    async def kill(self, node, calm):
        """SIGKILL and a new start."""
        node.is_being_ended = True
        self.mark("kill", node)
        node.ask_end("kill", signal.SIGKILL)
        await node.wait_end(h.GRACE_S)
        await asyncio.sleep(calm)
        await node.start()
        node.is_being_ended = False

    async def hups_at_starts(self, chooser):
        """Starts whose process gets a SIGHUP after 0 to 30 ms, later than a second after the end of its predecessor."""
        async def series(nodes):
            while s.now() < self.until - 2:
                node = nodes[0]
                nodes.append(nodes.pop(0))
                await self.kill(node, CALM_S)
                await asyncio.sleep(chooser.uniform(0, 0.03))
                if node.process.returncode is None:
                    self.mark("hup", node)
                    node.process.send_signal(signal.SIGHUP)
                # A process that ended by itself is started again.
                await asyncio.sleep(0.6)
                await self.ready(node)

        half = len(self.nodes) // 2
        await asyncio.gather(series(self.nodes[:half]), series(self.nodes[half:]))

    async def kills(self, chooser):
        """About one node a second."""
        while s.now() < self.until - 2:
            await asyncio.sleep(chooser.uniform(0.6, 1.4))
            node = chooser.choice(self.nodes)
            if self.is_running(node):
                await self.kill(node, 0.3)

    async def freezes(self, chooser):
        while s.now() < self.until - 2:
            await asyncio.sleep(chooser.uniform(1, 2))
            node = chooser.choice(self.nodes)
            if self.is_running(node):
                self.mark("freeze", node, s.now() + FREEZE_S)
                node.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(FREEZE_S)
                node.process.send_signal(signal.SIGCONT)
                self.history.signals[-1].until = s.now()

    async def store_troubles(self, chooser):
        """The store refuses, or is silent, for 4 s again and again."""
        while s.now() < self.until - STORE_TROUBLE_S:
            await asyncio.sleep(chooser.uniform(1, 3))
            self.store.impair(chooser.choice(("refuses", "silent")), STORE_TROUBLE_S, chooser.random() < 0.5)
            await asyncio.sleep(STORE_TROUBLE_S)
