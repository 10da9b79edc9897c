"""Consumers send requests with an empty body in chunks, and the last bytes of it in small pieces."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s
from memory_case import Installation

PIECE_INTERVAL_S = 0.02


async def case(record, scratch, nodes):
    place = Installation(record, scratch, nodes)
    await place.start()
    until = s.now() + 15

    async def send_slowly(node, number):
        host, port = node.listen["front"].split(":")
        sent = 0
        while s.now() < until:
            sent += 1
            request = f"slow{number}-{sent}"
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                record.write(f"slow consumer {number}: sends {request} to {node.name}, an empty body in chunks")
                end = b"0\r\n\r\n"
                writer.write(f"DELETE /desk/b1 HTTP/1.1\r\nHost: {s.HOST}\r\nRequest-Id: {request}\r\nDeadline-Ms: 3000\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n".encode())
                for piece in ([end[index:index + 1] for index in range(len(end))] if s.TROUBLE else [end]):
                    await writer.drain()
                    await asyncio.sleep(PIECE_INTERVAL_S)
                    writer.write(piece)
                line, _ = await asyncio.wait_for(s.read_head(reader), 4)
                record.write(f"slow consumer {number}: {request} answered {line}")
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                record.write(f"slow consumer {number}: {request} not answered")
            await asyncio.sleep(1.5)

    consumers = [s.Consumer(record, node, place.outcomes) for node in nodes for _ in range(10)]
    await asyncio.gather(*(place.consume(consumer, until, 0.3) for consumer in consumers),
                         *(send_slowly(node, number + 1) for number, node in enumerate(nodes)))
    return place.broken()


s.play(case, pathlib.Path(__file__).resolve().parent)
