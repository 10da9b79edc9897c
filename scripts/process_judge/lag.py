"""How late the judge itself was, which tells whether the machine was too busy for a play."""
import asyncio

import stand_ins as s

STEP_S = 0.05


class Lag:
    """Measures from its creation until `stop`."""

    def __init__(self):
        self.worst_s = 0.0
        self.task = asyncio.create_task(self.measure())

    async def measure(self):
        while True:
            began = s.now()
            await asyncio.sleep(STEP_S)
            self.worst_s = max(self.worst_s, s.now() - began - STEP_S)

    def stop(self, record):
        self.task.cancel()
        record.say(f"the judge itself was late by {1000 * self.worst_s:.0f} ms at most")
