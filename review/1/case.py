"""An upstream begins an answer in chunks and then sends bytes without end that are no answer."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s
from memory_case import Installation

# Of a link of 1,000 Mbit/s.
LINK_BYTES_PER_S = 120_000_000
# Of the requests of the faulty upstream, which is one of eight.
SHARE = 0.4


async def case(record, scratch, nodes):
    place = Installation(record, scratch, nodes)
    await place.start()
    faulty = place.upstreams[0]
    seen = [0, 0]
    open_streams = set()

    async def misbehave(upstream, request, reader, writer):
        seen[0] += 1
        if not s.TROUBLE or (seen[1] + 1) > SHARE * seen[0]:
            return False
        seen[1] += 1
        record.say(f"{upstream.name}: answers {request} with bytes that are no answer, without end")
        writer.write(f"HTTP/1.1 200 X\r\nRequest-Id: {request}\r\nUpstream-Signature: {upstream.name}.{request}\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n1;".encode())
        open_streams.add(writer)
        sent, part = 0, b"a" * (1 << 20)
        due = s.now()
        try:
            while True:
                writer.write(part)
                await writer.drain()
                sent += len(part)
                due += len(part) * len(open_streams) / LINK_BYTES_PER_S
                await asyncio.sleep(max(due - s.now(), 0))
        except ConnectionError:
            pass
        finally:
            open_streams.discard(writer)
            record.say(f"{upstream.name}: the caller closed after {sent / 1e6:.0f} MB")
        return True

    faulty.misbehave = misbehave
    place.unsound.add(faulty.name)
    until = s.now() + 20
    consumers = [s.Consumer(record, node, place.outcomes) for node in nodes for _ in range(10)]
    await asyncio.gather(*(place.consume(consumer, until, 0.3) for consumer in consumers))
    return place.broken()


s.play(case, pathlib.Path(__file__).resolve().parent)
