"""A process is killed and starts again while a server leaves."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
import standins as s

ROUNDS = 5
CLIENTS = 6  # For each entry VM.
SERVERS = 6
WORK_S = 0.1
DRAIN_S = 2.0  # drain_ms of the settings.
LITTLE_LONGER_S = 1.5  # How much longer a leaving server goes on serving.
RESTART_S = 0.4  # From the end of a process to its next start.
REMOVED_BEFORE_S = 0.1  # From the removal of the entry to that start.


async def case(world):
    arrivals = []  # Server, id and time.
    cut = set()  # Ids of requests that ran when their server ended.
    ended = set()

    async def answer(server, head, body, writer):
        request_id = head.get("x-request-id")
        arrivals.append((server.name, request_id, time.monotonic()))
        await asyncio.sleep(WORK_S)
        if server.name in ended:
            cut.add(request_id)
            writer.transport.abort()
            return False
        writer.write(s.whole_answer(server, request_id, b"booked"))
        return True

    def new_server(name):
        return s.PlainServer(world, name, "registry", answer, slots=6)

    await world.start(entries=3)
    await world.store.put("keyed.op", "config", s.config(
        7, [s.route("bookings", "/book/", "registry", "non_idempotent",
                    timeout_ms=1500, target_latency_ms=300)],
        [{"name": "registry", "health_path": "/health", "max_connections": 110,
          "protocol": "h1", "tls": False}]))
    for number in range(SERVERS):
        await new_server("i-%d" % number).start()
        await asyncio.sleep(0.2)  # Liveness reports come at different times.
    world.launch()
    await world.wait_ready()

    answers = {}
    senders = {}  # Ids to the entry VMs that took the requests.
    stop = asyncio.Event()

    async def use(entry, number):
        client = s.Client(world, entry, "c%d-%s" % (number, entry.name[-1]))
        while not stop.is_set():
            request_id, status, _ = await client.ask("POST", "/book/1", b"bench 4")
            answers[request_id] = status
            senders[request_id] = entry.name
            if status != 200:
                await asyncio.sleep(0.1)

    clients = [asyncio.ensure_future(use(entry, number))
               for entry in world.entries for number in range(CLIENTS)]
    killed, *calm = world.entries
    calm = {entry.name for entry in calm}
    await asyncio.sleep(2)
    removals = {}
    for number in range(ROUNDS):
        leaving = new_server("leaving-%d" % number)
        await leaving.start()
        await asyncio.sleep(4)  # Longer than stable_window_ms.
        if world.trouble:
            world.record.say("%s is killed" % killed.name)
            killed.end()
        await asyncio.sleep(RESTART_S - REMOVED_BEFORE_S)
        leaving.beat.cancel()
        await world.store.put("keyed.servers", leaving.name, None)
        removals[leaving.name] = time.monotonic()
        world.record.say("the entry of %s is removed; it goes on serving" % leaving.name)
        await asyncio.sleep(REMOVED_BEFORE_S)
        if world.trouble:
            killed.launch()
            world.record.write("%s starts again" % killed.name)
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S - REMOVED_BEFORE_S)
        leaving.listener.close()
        ended.add(leaving.name)
        world.record.write("%s ends" % leaving.name)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*clients)

    late = {}
    for name, request_id, at in arrivals:
        if (name in removals and at > removals[name] + DRAIN_S
                and senders.get(request_id) in calm):
            late[name] = late.get(name, 0) + 1
    lost = [i for i in cut if senders.get(i) in calm and answers.get(i) != 200]
    world.record.say("%d requests served; sent by undisturbed entry VMs later than "
                     "drain_ms after the removal of the server's entry: %s; %d of "
                     "their requests ran there when the server ended and were answered "
                     "%s" % (sum(a == 200 for a in answers.values()), late, len(lost),
                             sorted({answers.get(i) for i in lost})))
    if sum(a == 200 for a in answers.values()) < 100:
        raise s.CannotRun("too few requests were served")
    return not late


s.main(case)
