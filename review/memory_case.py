"""What the cases share in which a node outgrows the memory of its machine: the installation, the load and the check of LOST."""
import asyncio

import stand_ins as s


class Installation:
    def __init__(self, record, scratch, nodes):
        self.record, self.scratch, self.nodes = record, scratch, nodes
        self.store = s.Store(record)
        self.upstreams = []
        self.outcomes = []
        self.unsound = set()

    async def start(self, body_bytes=67108864):
        await self.store.start()
        self.upstreams = [s.Upstream(self.record, f"i-desk{index}", "desk", 0.32) for index in range(8)]
        for upstream in self.upstreams:
            await upstream.start(self.store)
        self.store.configure(1, [s.route("r-desk", "/desk/", "desk")], ["desk"], body_bytes)
        self.nodes += [s.Node(self.record, self.scratch, index, self.store, {"ahd-a": "ahd"}, "ahd-a") for index in range(2)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        self.guards = [asyncio.create_task(node.enforce_memory()) for node in self.nodes]
        await asyncio.sleep(3)

    async def consume(self, consumer, until, pause):
        while s.now() < until:
            await consumer.request("/desk/b1")
            await asyncio.sleep(pause)

    def broken(self):
        """LOST: a machine in touch passes a request from a kept connection on to a sound upstream and closes that connection without an
        answer, more than three times. A process that ends by itself counts as running."""
        passed_on = {request: upstream for upstream in self.upstreams for _, request in upstream.arrivals}
        lost = [outcome for outcome in self.outcomes if outcome.ended_at and not outcome.status and outcome.kept
                and outcome.request in passed_on and passed_on[outcome.request].name not in self.unsound]
        for outcome in lost:
            self.record.write(f"lost: {outcome.describe()}; it had reached {passed_on[outcome.request].name}")
        for node in self.nodes:
            self.record.say(f"{node.name}: peak {node.memory_peak:.0f} MB of {s.MEMORY_MB}, ended {node.ends} times")
        answered = sum(1 for outcome in self.outcomes if outcome.status)
        self.record.say(f"{len(self.outcomes)} requests, {answered} answered; {len(lost)} of kept connections, passed on to a sound upstream, "
                        "ended without an answer (more than 3 break LOST)")
        return len(lost) > 3
