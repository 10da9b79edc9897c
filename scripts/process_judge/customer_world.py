"""A run of the world "customers": nodes, targets of three services, and callers of customers with keys and request limits, drawn from a seed."""
import asyncio
import random
import shutil
import signal

import stand_ins as s

from . import customer_history as c
from . import customer_report
from . import history as h
from .customer_caller import CustomerCaller
from .customer_parties import ALL_NODES, CustomerNode, CustomerStore, CustomerTarget
from .lag import Lag
from .parties import program_of
from .world import CALM_S

TROUBLES = ("none", "revoke", "hot", "kill", "term", "mixed")
# Usual rates in requests/s. A limit is LIMIT_FACTOR times the usual rate.
CUSTOMERS = {"acme": 10.0, "birch": 6.0, "cedar": 4.0, "delta": 2.0, "elm": 1.0, "fir": 0.5}
HOT, HOT_FACTOR, LIMIT_FACTOR = "acme", 7.0, 1.6
KEYS_PER_CUSTOMER = 4
KINDS, KIND_WEIGHTS = ("lookup", "approve", "upload"), (6, 3, 1)
SERVICES = {"desk": 8, "vault": 6}
# Two targets of the uploads' service read slowly.
SLOW_TARGETS, SLOW_BYTES_PER_S = 2, 300_000
WITHOUT_KEY = ("unknown", "unknown", "none", "basic", "twice")
WITHOUT_KEY_RATE, PUBLIC_RATE = 4.0, 2.0
# Each removed key is tried at every node at this rate, until PROBE_S after its removal.
PROBE_RATE_PER_NODE, PROBE_S = 2.0, 11.0
UNCONFIGURED_S, WARM_UP_S = 1.0, 3.0
METRICS_INTERVAL_S = 3.0
# Uploads that are under way when a node gets SIGTERM.
UPLOADS_BEFORE_TERM = 8
FIRST_REVOCATION_S, REVOCATION_INTERVAL_S = 0.5, 4.0
# Each trouble outlasts the limit of 5 s, so that requests sent after the limit meet a node that is still in it or just out of it.
SHORTEST_TROUBLE_S, LONGEST_TROUBLE_S = 6.0, 9.0


class Pace:
    """Delays requests so that all of them pass a token bucket that is a twentieth narrower than the limit."""

    def __init__(self, limit):
        self.rate, self.capacity = limit.rate * 0.95, 1 + limit.burst * 0.9
        self.tokens, self.last = self.capacity, s.now()

    async def wait(self):
        while True:
            now = s.now()
            self.tokens, self.last = min(self.capacity, self.tokens + (now - self.last) * self.rate), now
            if self.tokens >= 1:
                self.tokens -= 1
                return
            await asyncio.sleep((1 - self.tokens) / self.rate + 0.001)


class CustomerWorld:
    """Plays one run and records its history."""

    def __init__(self, arguments, record, scratch, nodes):
        self.arguments, self.record, self.scratch, self.nodes = arguments, record, scratch, nodes
        self.chooser = random.Random(f"customers {arguments.trouble} {arguments.seed}")
        self.history = c.CustomerHistory(trouble=arguments.trouble)
        self.usable = {}
        self.unknown_keys = [self.new_key() for _ in range(20)]
        for name, rate in CUSTOMERS.items():
            self.history.limits[name] = c.Limit(rate * LIMIT_FACTOR, max(2.0, rate))
            self.usable[name] = [self.new_key() for _ in range(KEYS_PER_CUSTOMER)]
            self.history.keys.update({key: c.Key(name) for key in self.usable[name]})
        self.version = 0
        self.until = 0.0
        self.metrics_pages = 0

    def new_key(self):
        return f"sk{self.chooser.getrandbits(96):024x}"

    async def run(self):
        """Returns whether a rule was broken."""
        self.store = CustomerStore(self.record)
        await self.store.start()
        for service, number in SERVICES.items():
            for index in range(number):
                is_slow = service == "vault" and index < SLOW_TARGETS
                target = CustomerTarget(self.record, f"i-{service}{index}", service, self.history, SLOW_BYTES_PER_S if is_slow else 0)
                await target.start(self.store)
        zones, program = {"ahd-a": "ahd", "ahd-b": "ahd"}, program_of(self.arguments)
        for index in range(self.arguments.nodes):
            zone = ("ahd-a", "ahd-b")[index % 2]
            self.nodes.append(CustomerNode(self.record, self.scratch, index, self.store, zones, zone, self.history, program))
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.caller = CustomerCaller(self.record, self.history, random.Random(f"{self.arguments.seed} callers"))
        self.history.configured_at = float("inf")
        self.until = s.now() + UNCONFIGURED_S + WARM_UP_S + self.arguments.length
        sending = [asyncio.create_task(self.send_without_key()), asyncio.create_task(self.send_public())]
        sending += [asyncio.create_task(self.send(name)) for name in CUSTOMERS]
        await asyncio.sleep(UNCONFIGURED_S)
        self.configure()
        await asyncio.sleep(WARM_UP_S)
        self.history.began_at = s.now()
        lag = Lag()
        await asyncio.gather(*sending, self.disturb(), self.read_metrics())
        await self.caller.finish(12)
        await self.read_metrics_once()
        self.history.ended_at = s.now()
        lag.stop(self.record)
        self.search_logs()
        for request in self.history.requests:
            if request.ended_at is None:
                request.ended_at, request.end = self.history.ended_at, "gave up"
        is_broken, has_findings = customer_report.write(self.history, self.record, self.scratch, self.arguments, self.metrics_pages)
        if has_findings:
            shutil.copytree(self.scratch, self.record.folder / "nodes")
            self.record.say(f"logs of the nodes and the record are kept in {self.record.folder}")
        return is_broken

    def configure(self):
        """Writes the next configuration to the store, and records when it was acknowledged."""
        self.version += 1
        routes = [s.route("r-lookup", "/lookup/", "desk", "safe", 5000, 3), s.route("r-approve", "/approve/", "desk", "unsafe", 5000, 2),
                  s.route("r-upload", "/upload/", "vault", "upload", 10000, 2),
                  {**s.route("r-public", "/public/", "desk", "safe", 5000, 2), "public": True}]
        tenants = [{"name": name, "api_keys": self.usable[name], "rate_per_s": limit.rate, "burst": limit.burst}
                   for name, limit in self.history.limits.items()]
        sent_at = s.now()
        if self.version == 1:
            self.history.configured_at = sent_at
        acknowledged_at = self.store.configure_customers(self.version, routes, list(SERVICES), tenants)
        self.history.configurations.append((sent_at, acknowledged_at))
        return acknowledged_at

    async def send(self, name):
        """Poisson arrivals of one customer at all nodes, below its limit unless it is the hot one."""
        is_hot = name == HOT and self.arguments.trouble in ("hot", "mixed")
        chooser, pace = random.Random(f"{self.arguments.seed} {name}"), Pace(self.history.limits[name])
        while s.now() < self.until:
            await asyncio.sleep(chooser.expovariate(CUSTOMERS[name] * (HOT_FACTOR if is_hot else 1.0)))
            if not is_hot:
                await pace.wait()
            self.caller.start(chooser.choice(self.nodes), chooser.choices(KINDS, KIND_WEIGHTS)[0], chooser.choice(self.usable[name]))

    async def send_without_key(self):
        """Requests with an unknown key, no key, or a valid key in a form that is not accepted."""
        chooser = random.Random(f"{self.arguments.seed} without key")
        while s.now() < self.until:
            await asyncio.sleep(chooser.expovariate(WITHOUT_KEY_RATE))
            credential = chooser.choice(WITHOUT_KEY)
            key = chooser.choice(self.unknown_keys) if credential == "unknown" else chooser.choice(self.usable["birch"])
            self.caller.start(chooser.choice(self.nodes), chooser.choice(KINDS), "" if credential == "none" else key, credential)

    async def send_public(self):
        chooser = random.Random(f"{self.arguments.seed} public")
        while s.now() < self.until:
            await asyncio.sleep(chooser.expovariate(PUBLIC_RATE))
            credential = chooser.choice((c.VALID_CREDENTIAL, "unknown", "none"))
            key = {"none": "", "unknown": self.unknown_keys[0]}.get(credential, self.usable["cedar"][0])
            self.caller.start(chooser.choice(self.nodes), c.PUBLIC, key, credential)

    async def disturb(self):
        """Plays the troubles of the run, overlapping."""
        plays = {"revoke": (self.revocations,), "kill": (self.kills,), "term": (self.terms,),
                 "mixed": (self.revocations, self.kills, self.terms)}.get(self.arguments.trouble, ())
        await asyncio.gather(*(play(random.Random(f"{self.arguments.seed} {play.__name__}")) for play in plays))

    def mark(self, kind, node, until=None):
        self.record.write(f"platform: {kind} {node.name}")
        self.history.signals.append(h.Signal(kind, node.name, s.now(), until))
        return self.history.signals[-1]

    async def revocations(self, chooser):
        """Removes a key after the other, each while a node is frozen, restarted, cut off from the store, or all of them are cut off."""
        under_way = []
        await asyncio.sleep(FIRST_REVOCATION_S)
        # A run that is too short for a whole revocation plays one. Its probes go on after the other callers have ended.
        while not under_way or s.now() < self.until - PROBE_S:
            kind = ("freeze", "cut", "restart", "cut all")[len(under_way) % 4]
            under_way.append(asyncio.create_task(self.revoke(kind, chooser)))
            await asyncio.sleep(REVOCATION_INTERVAL_S)
        await asyncio.gather(*under_way)

    async def revoke(self, kind, chooser):
        node, seconds = chooser.choice(self.nodes), chooser.uniform(SHORTEST_TROUBLE_S, LONGEST_TROUBLE_S)
        trouble = asyncio.create_task(self.impair(kind, node, seconds))
        await asyncio.sleep(chooser.uniform(0, 0.5))
        name = chooser.choice([name for name in CUSTOMERS if name != HOT and len(self.usable[name]) > 1])
        key = self.usable[name].pop(0)
        removed_at = self.history.keys[key].removed_at = self.configure()
        self.record.say(f"operator: a key of {name} is removed at {removed_at:.3f}, {kind} {node.name} for {seconds:.1f} s")
        probe_until = removed_at + PROBE_S
        while s.now() < probe_until:
            await asyncio.sleep(chooser.expovariate(PROBE_RATE_PER_NODE * len(self.nodes)))
            target = node if chooser.random() < 0.4 else chooser.choice(self.nodes)
            self.caller.start(target, chooser.choice(("lookup", "approve")), key)
        await trouble

    async def impair(self, kind, node, seconds):
        if kind == "cut" or kind == "cut all":
            cut_off = self.nodes if kind == "cut all" else [node]
            self.store.cut(ALL_NODES if kind == "cut all" else node.name, seconds)
            for each in cut_off:
                self.mark("cut", each, s.now() + seconds)
            await asyncio.sleep(seconds)
        elif kind == "restart":
            await self.end_and_start(node, "kill", signal.SIGKILL)
        elif not node.is_being_ended and node.process.returncode is None:
            node.is_being_ended = True
            mark = self.mark("freeze", node, s.now() + seconds)
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.process.send_signal(signal.SIGCONT)
            mark.until = s.now()
            node.is_being_ended = False

    async def end_and_start(self, node, kind, number):
        if node.is_being_ended or node.process.returncode is not None:
            return
        node.is_being_ended = True
        self.mark(kind, node)
        node.ask_end(kind, number)
        await node.wait_end(h.GRACE_S)
        await asyncio.sleep(0.2)
        await node.start()
        node.is_being_ended = False

    async def kills(self, chooser):
        await self.ends_in_turn(chooser, "kill", signal.SIGKILL)

    async def terms(self, chooser):
        await self.ends_in_turn(chooser, "term", signal.SIGTERM, UPLOADS_BEFORE_TERM)

    async def ends_in_turn(self, chooser, kind, number, uploads=0):
        """One node after another."""
        order = list(self.nodes)
        chooser.shuffle(order)
        while s.now() < self.until - CALM_S:
            await asyncio.sleep(chooser.uniform(0.6, 1.4))
            order.append(order.pop(0))
            for _ in range(uploads):
                self.caller.start(order[-1], c.UPLOAD, chooser.choice(self.usable[HOT]))
                await asyncio.sleep(chooser.uniform(0, 0.15))
            await self.end_and_start(order[-1], kind, number)

    async def read_metrics(self):
        while s.now() < self.until:
            await asyncio.sleep(METRICS_INTERVAL_S)
            await self.read_metrics_once()

    async def read_metrics_once(self):
        for node, page in zip(self.nodes, await asyncio.gather(*(node.metrics_page() for node in self.nodes))):
            self.metrics_pages += bool(page)
            self.search(node, "metrics", page)

    def search_logs(self):
        for node in self.nodes:
            self.search(node, "log", node.log_text())

    def search(self, node, place, text):
        for key in [*self.history.keys, *self.unknown_keys]:
            if key.encode() in text:
                line = next(line for line in text.splitlines() if key.encode() in line)
                self.history.leaks.append((node.name, place, line.decode(errors="replace").replace(key, "KEY")[:300]))
