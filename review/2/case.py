"""One answer of a faulty server is spoilt.

VARIANT=length (the default): it announces an absurd length and breaks off.
VARIANT=trailer: a field of 70,000 bytes follows its chunks.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
import standins as s

CLIENTS = 12  # For each entry VM.
WORK_S = 0.5
# A petabyte: valid in HTTP, and more than any machine can hold.
ANNOUNCED = 10**15
TRAILER_BYTES = 70_000
VARIANT = os.environ.get("VARIANT", "length")


async def case(world):
    faults = {"left": 0}

    async def sound(server, head, body, writer):
        await asyncio.sleep(WORK_S)
        writer.write(s.whole_answer(server, head.get("x-request-id"), b"booked"))
        return True

    async def faulty(server, head, body, writer):
        await asyncio.sleep(WORK_S)
        if faults["left"] == 0:
            writer.write(s.whole_answer(server, head.get("x-request-id"), b"booked"))
            return True
        faults["left"] -= 1
        request_id = head.get("x-request-id")
        fields = [("X-Request-Id", request_id), ("X-Response-Seal", "seal.1"),
                  ("Content-Type", "text/plain")]
        if VARIANT == "trailer":
            world.record.say("%s sends %s a field of %d bytes after the chunks"
                             % (server.name, request_id, TRAILER_BYTES))
            fields.append(("Transfer-Encoding", "chunked"))
            body = (b"6\r\nbooked\r\n0\r\nX-Odd: " + b"y" * TRAILER_BYTES
                    + b"\r\n\r\n")
        else:
            world.record.say("%s announces %d bytes to %s, sends 6 and closes"
                             % (server.name, ANNOUNCED, request_id))
            fields.append(("Content-Length", ANNOUNCED))
            body = b"booked"
        writer.write(s.message("HTTP/1.1 200 OK", fields, body))
        await writer.drain()
        return False

    await world.start(entries=2)
    await world.store.put("keyed.op", "config", s.config(
        7, [s.route("bookings", "/book/", "registry", "non_idempotent")],
        [{"name": "registry", "health_path": "/health", "max_connections": 200,
          "protocol": "h1", "tls": False}]))
    sound_servers = [s.PlainServer(world, "i-sound-%d" % i, "registry", sound)
                     for i in (1, 2)]
    for server in sound_servers + [
            s.PlainServer(world, "i-faulty", "registry", faulty)]:
        await server.start()
    world.launch()
    await world.wait_ready()
    await asyncio.sleep(1)

    lost = []  # Ids, of kept channels whose channel ended without an answer.
    served = []
    stop = asyncio.Event()

    async def use(entry, number):
        client = s.Client(world, entry, "c%d-%s" % (number, entry.name[-1]))
        kept = False
        while not stop.is_set():
            request_id, status, _ = await client.ask("POST", "/book/1", b"bench 4")
            if status == 200:
                served.append(request_id)
                kept = True
            elif status == 0 and kept:
                lost.append(request_id)
                kept = False
            if status != 200:
                await asyncio.sleep(0.2)

    clients = [asyncio.ensure_future(use(entry, number))
               for entry in world.entries for number in range(CLIENTS)]
    await asyncio.sleep(5)  # Longer than stable_window_ms.
    if world.trouble:
        faults["left"] = 1
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*clients)

    ran = {i for server in sound_servers for i in server.runs}
    lost_at_sound = [i for i in lost if i in ran]
    ended = [(e.name, e.status()) for e in world.entries if e.status() is not None]
    for name, status in ended:
        world.record.say("%s ended by itself, status %s" % (name, status))
    for entry in world.entries:
        with open(entry.log_path, "rb") as log:
            for line in log.read().decode(errors="replace").splitlines():
                if "terminate" in line or "what()" in line:
                    world.record.say("%s: %s" % (entry.name, line.strip()))
    world.record.say("%d requests served, %d channels ended without an answer "
                     "while a sound server ran the request"
                     % (len(served), len(lost_at_sound)))
    if len(served) < 50:
        raise s.CannotRun("too few requests were served")
    # LOST: more than three times. A process that ends by itself has crashed.
    return len(lost_at_sound) <= 3 and not ended


s.main(case)
