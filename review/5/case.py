"""Upstreams leave by the removal of their entries while the store cuts watches that wait for long."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s

CUT_AFTER_S = 1.5
SERVES_ON_S = 12.0


async def case(record, scratch, nodes):
    store = s.Store(record)
    await store.start()
    upstreams = [s.Upstream(record, f"i-desk{index}", "desk", 0.03) for index in range(6)]
    for upstream in upstreams:
        await upstream.start(store)
    store.configure(1, [s.route("r-desk", "/desk/", "desk")], ["desk"])
    zones = {"ahd-a": "ahd"}
    nodes += [s.Node(record, scratch, index, store, zones, "ahd-a") for index in range(4)]
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3)
    if s.TROUBLE:
        store.cut_watch_after = CUT_AFTER_S
    await asyncio.sleep(4)

    outcomes = []
    ends = s.now() + 22
    # Only the last node takes requests. It watches the store only while the nodes before it by name do not.
    consumers = [s.Consumer(record, nodes[-1], outcomes) for _ in range(8)]

    async def consume(consumer):
        while s.now() < ends:
            await consumer.request("/desk/b1", body=b"x" * 500)
            await asyncio.sleep(0.1)

    running = [asyncio.create_task(consume(consumer)) for consumer in consumers]
    await asyncio.sleep(2)
    leaving = upstreams[:2]
    store.remove("servers/" + leaving[0].name)
    acked = {leaving[0].name: s.now()}
    record.say(f"store: the entry of {leaving[0].name} is removed, acknowledged")
    await asyncio.sleep(5)
    store.remove("servers/" + leaving[1].name)
    acked[leaving[1].name] = s.now()
    record.say(f"store: the entry of {leaving[1].name} is removed, acknowledged")
    await asyncio.gather(*running)

    taker = nodes[-1].name
    cuts = [at for at, node in store.cut_watches if node == taker]
    sent = {outcome.request: outcome for outcome in outcomes}
    late, not_in_touch = [], 0
    for upstream in leaving:
        for at, request in upstream.arrivals:
            if request not in sent or at <= acked[upstream.name] + s.DRAIN_S:
                continue
            if any(cut <= at <= cut + s.CONTACT_S for cut in cuts):
                not_in_touch += 1
            else:
                late.append((at - acked[upstream.name], upstream.name, request))
    record.say(f"the store cut {len(store.cut_watches)} waiting watches, {len(cuts)} of them of {taker}")
    record.say(f"{len(late)} of {len(outcomes)} requests reached an upstream later than {s.DRAIN_S:g} s after the store had acknowledged "
               f"that it is gone, sent on by a machine none of whose connections was cut in the {s.CONTACT_S:g} s before "
               f"({not_in_touch} more within {s.CONTACT_S:g} s of a cut are not counted)")
    if late:
        record.say(f"first: {late[0][2]} reached {late[0][1]} {late[0][0]:.2f} s after the ack; latest {max(late)[0]:.2f} s after it")
    return bool(late)


s.play(case, pathlib.Path(__file__).resolve().parent)
