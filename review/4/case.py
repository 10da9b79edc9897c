"""The store loses the answers that tell the watching nodes of a new configuration."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s

WINDOW_S = 4.5


async def case(record, scratch, nodes):
    store = s.Store(record)
    await store.start()
    upstreams = [s.Upstream(record, f"i-{service}{index}", service, 0.02) for service in ("old", "new") for index in range(2)]
    for upstream in upstreams:
        await upstream.start(store)
    services = ["old", "new"]
    store.configure(1, [s.route("r-desk", "/desk/", "old")], services)
    zones = {"ahd-a": "ahd"}
    nodes += [s.Node(record, scratch, index, store, zones, "ahd-a") for index in range(3)]
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3)
    # An earlier change shows that changes arrive.
    store.configure(2, [s.route("r-desk", "/desk/", "old"), s.route("r-more", "/more/", "old")], services)
    await asyncio.sleep(1.5)

    calls_before = store.calls
    window_ends = s.now() + WINDOW_S
    lost = []

    def loses(kind, query, events):
        hit = s.TROUBLE and s.now() < window_ends and kind == "kv-watch" and query.get("prefix") == "op/config" and bool(events)
        if hit:
            lost.append(s.now())
            record.say("store: the answer to a watch on op/config is lost; its connection returns nothing further")
        return hit

    store.loses_answer = loses
    await asyncio.sleep(1.0)
    acked = store.configure(3, [s.route("r-desk", "/desk/", "new"), s.route("r-more", "/more/", "old")], services)
    await asyncio.sleep(max(window_ends - s.now(), 0))
    share = len(lost) / max(store.calls - calls_before, 1)
    record.say(f"store: sound again; lost {len(lost)} of {store.calls - calls_before} answers (share {share:.2f}) in {WINDOW_S} s")
    if share > 0.3:
        raise s.CannotRun("more than 0.3 of the answers were lost")

    outcomes = []
    consumers = [s.Consumer(record, node, outcomes) for node in nodes for _ in range(2)]
    judged_from = max(window_ends + s.CONTACT_S, acked) + s.CONFIG_S + s.MAX_STRETCH_S
    judged_until = judged_from + 12

    async def consume(consumer):
        while s.now() < judged_until:
            await consumer.request("/desk/b1", body=b"x" * 500)
            await asyncio.sleep(0.25)

    await asyncio.gather(*map(consume, consumers))
    judged = [outcome for outcome in outcomes if outcome.sent_at >= judged_from and outcome.status == 200]
    stale = [outcome for outcome in judged if outcome.body == b"run by old"]
    last = max((outcome.sent_at for outcome in stale), default=None)
    record.say(f"{len(judged)} requests served that were sent {s.CONFIG_S + s.MAX_STRETCH_S:.0f} s or later after the store had been sound "
               f"for {s.CONTACT_S:.0f} s; {len(stale)} of them were run by the service that only the older version names")
    if stale:
        record.say(f"first: {stale[0].describe()}, {stale[0].sent_at - acked:.1f} s after the ack; last {last - acked:.1f} s after it")
    if not judged:
        raise s.CannotRun("no request was served")
    return bool(stale)


s.play(case, pathlib.Path(__file__).resolve().parent)
