"""A server leaves just after another writer has spoilt its entry."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
import standins as s

CLIENTS = 8  # For each entry VM.
WORK_S = 0.1
DRAIN_S = 2.0  # drain_ms of the settings.
LITTLE_LONGER_S = 0.5  # How much longer the server goes on serving.


async def case(world):
    arrivals = {}  # By server and id.
    cut = set()  # Ids of requests that ran when their server ended.
    ended = set()

    async def answer(server, head, body, writer):
        request_id = head.get("x-request-id")
        arrivals[(server.name, request_id)] = time.monotonic()
        await asyncio.sleep(WORK_S)
        if server.name in ended:
            cut.add(request_id)
            writer.transport.abort()
            return False
        writer.write(s.whole_answer(server, request_id, b"booked"))
        return True

    await world.start(entries=2)
    await world.store.put("keyed.op", "config", s.config(
        7, [s.route("bookings", "/book/", "registry", "non_idempotent",
                    timeout_ms=1500, target_latency_ms=300)],
        [{"name": "registry", "health_path": "/health", "max_connections": 110,
          "protocol": "h1", "tls": False}]))
    servers = [s.PlainServer(world, "i-%d" % i, "registry", answer, slots=6)
               for i in (1, 2, 3)]
    for server in servers:
        await server.start()
    world.launch()
    await world.wait_ready()

    answers = {}
    stop = asyncio.Event()

    async def use(entry, number):
        client = s.Client(world, entry, "c%d-%s" % (number, entry.name[-1]))
        while not stop.is_set():
            request_id, status, _ = await client.ask("POST", "/book/1", b"bench 4")
            answers[request_id] = status
            if status != 200:
                await asyncio.sleep(0.1)

    clients = [asyncio.ensure_future(use(entry, number))
               for entry in world.entries for number in range(CLIENTS)]
    await asyncio.sleep(5)  # Longer than stable_window_ms.
    leaving = servers[0]
    leaving.beat.cancel()
    if world.trouble:
        spoilt = leaving.entry()
        del spoilt["address"]
        world.record.say("another writer's entry for %s lacks its address" % leaving.name)
        await world.store.put("keyed.servers", leaving.name, spoilt)
    await asyncio.sleep(0.3)
    world.record.say("the entry of %s is removed; it goes on serving" % leaving.name)
    await world.store.put("keyed.servers", leaving.name, None)
    removed_at = time.monotonic()
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    world.record.say("%s ends" % leaving.name)
    leaving.listener.close()
    ended.add(leaving.name)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*clients)

    late = [request_id for (name, request_id), at in arrivals.items()
            if name == leaving.name and at > removed_at + DRAIN_S]
    lost = {i: answers.get(i) for i in cut if answers.get(i) != 200}
    world.record.say("%d requests served; %d reached %s later than drain_ms after the "
                     "removal of its entry; %d that ran there when it ended were "
                     "answered %s"
                     % (sum(a == 200 for a in answers.values()), len(late),
                        leaving.name, len(lost), sorted(set(lost.values()))))
    if sum(a == 200 for a in answers.values()) < 100:
        raise s.CannotRun("too few requests were served")
    return not late


s.main(case)
