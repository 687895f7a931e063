"""Stand-ins of the platform for the scripts of this review.

They speak what PROTOCOL.md says: the store (topics whose names begin with
"keyed."), servers of a plain service, and clients. All addresses are loopback
addresses. Needs the Python standard library only.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target/release/bin/kumquatcart")
HOST = "review.example"
KEY = "review-key-1"
TENANT = "tenant-1"

# A running entry VM needs one address with the same ports as the others.
ENTRY_HOST = "127.0.%d.%d"
PLATFORM_HOST = "127.0.1.1"
SERVER_HOST = "127.0.1.2"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# --- HTTP/1.1 -------------------------------------------------------------


class Head:
    def __init__(self, start, fields):
        self.start = start
        self.fields = fields

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """The next head, or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """The body by its framing; raises if the channel ends before its end."""
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def message(start, fields, body=b""):
    lines = [start] + ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close(writer):
    try:
        writer.close()
        await writer.wait_closed()
    except (ConnectionError, OSError):
        pass


# --- the store ------------------------------------------------------------


class Store:
    """Topics with one partition; keeps all records."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.address = None
        self.appends = []

    async def start(self):
        port = free_port(PLATFORM_HOST)
        self.address = "%s:%d" % (PLATFORM_HOST, port)
        self.server = await asyncio.start_server(self.serve, PLATFORM_HOST, port)

    async def put(self, topic, key, value):
        """Writes as the operator or a server does; None drops the key."""
        data = None if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ", 2)
                status, kind, answer = await self.handle(method, target, body)
                writer.write(
                    message(
                        "HTTP/1.1 %d OK" % status,
                        [("Content-Type", kind), ("Content-Length", len(answer))],
                        answer,
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        await close(writer)

    async def handle(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if method == "POST" and path == "/api/log-append":
            if "at" in query and int(query["at"]) != len(records):
                return self.answer(412, {"end": len(records)})
            if topic in ("keyed.op", "keyed.servers"):
                return self.answer(403, {})
            first = len(records)
            at = 0
            while at < len(body):
                size = struct.unpack(">I", body[at : at + 4])[0]
                content = body[at + 4 : at + 4 + size]
                key = content[1 : 1 + content[0]].decode()
                value = content[1 + content[0] :]
                records.append((key, value or None))
                self.appends.append((topic, key, value))
                at += 4 + size
            async with self.changed:
                self.changed.notify_all()
            return self.answer(200, {"offset": first, "end": len(records)})
        if path == "/api/log-read":
            start = int(query.get("from", "0"))
            ends = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(records) <= start and time.monotonic() < ends:
                try:
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait(), ends - time.monotonic()
                        )
                except asyncio.TimeoutError:
                    break
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                data += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", data
        if path == "/api/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value is not None
            ]
            return self.answer(
                200, {"items": items, "has_more": False, "end": len(records)}
            )
        return self.answer(404, {})

    @staticmethod
    def answer(status, value):
        return status, "application/json", json.dumps(value).encode()


# --- entry VMs ------------------------------------------------------------


class Entry:
    """One process of the system, started as the deploy file says."""

    def __init__(self, folder, number, store_address, ports, zone="zone-a"):
        self.name = "front-%s-%d" % (zone, number)
        self.host = ENTRY_HOST % (2, number)
        self.front, self.ready, self.inner = ports
        self.zone = zone
        self.log_path = os.path.join(folder, self.name + ".log")
        self.settings_path = os.path.join(folder, self.name + ".json")
        self.store_address = store_address
        self.process = None
        self.write_settings()

    def write_settings(self):
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            "zones": {self.zone: "region-1"},
            "listen": {
                "front": "%s:%d" % (self.host, self.front),
                "ready": "%s:%d" % (self.host, self.ready),
            },
            "inner_ports": [self.inner, self.inner + 15],
            "seeds": [],
            "bootstrap": True,
            "loss_counted": False,
            "limits": {
                "cpu_share": 0.25,
                "cores": 1,
                "memory_mb": 260,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "platform", "gangs"],
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000,
                "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
                "loss_slack_ms": 200, "config_propagation_ms": 2000,
                "rollback_slack_ms": 250, "outer_bound_ms": 5000,
                "strict_revoke": False, "revoke_ms": 5000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10,
                "retry_budget_base": 134, "recover_s": 12, "pass_ms": 120,
                "again_s": 0, "stall_ms": 6000, "fencing": False,
                "ceiling_window_s": 5, "ceiling_over": 1.1,
            },
            "platform": {
                "address": self.store_address, "form": "log",
                "writes_per_s": 400, "reads_per_s": 2000, "parts": 16,
                "append_ms": 3.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
                "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300,
                "part_mb": 200, "ttl_min_ms": 1000,
            },
        }
        with open(self.settings_path, "w") as file:
            json.dump(settings, file)

    def launch(self):
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "entry"],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "KUMQUATCART_SETTINGS": self.settings_path,
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def status(self):
        """None while it runs, else its exit status; below 0: the signal."""
        return self.process.poll()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
        except OSError:
            return False
        writer.write(message("GET /api/ready HTTP/1.1", [("Host", "ready")]))
        head = await read_head(reader)
        await close(writer)
        return head is not None and " 200 " in head.start + " "

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """Store, entry VMs and what the script adds; ends them all."""

    def __init__(self, script):
        self.folder = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.entries = []
        self.servers = []

    async def start(self, entries=1):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built: " + PROGRAM)
        await self.store.start()
        base = free_port("127.0.0.1")
        ports = [free_port(ENTRY_HOST % (2, 1)) for _ in range(2)]
        inner = 20000 + base % 8000
        for number in range(1, entries + 1):
            self.entries.append(
                Entry(self.directory, number, self.store.address,
                      (ports[0], ports[1], inner)))

    def launch(self):
        for entry in self.entries:
            entry.launch()

    async def wait_ready(self, seconds=15):
        ends = time.monotonic() + seconds
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > ends or entry.status() is not None:
                    raise CannotRun("%s is not ready, status %s"
                                    % (entry.name, entry.status()))
                await asyncio.sleep(0.05)

    async def finish(self):
        for entry in self.entries:
            entry.end()
        for server in self.servers:
            server.stop()
        keep = os.environ.get("KEEP")
        if keep:
            self.record.say("logs stay in " + self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, prefix, service, kind, **more):
    value = {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1,
        "service": service, "attempts": 2 if kind != "non_idempotent" else 1,
        "public": False,
    }
    value.update(more)
    return value


def config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


# --- servers --------------------------------------------------------------


class PlainServer:
    """A server of a plain service. `answer` writes the answer to a request."""

    def __init__(self, world, name, service, answer, zone="zone-a", slots=16):
        self.world = world
        self.name = name
        self.service = service
        self.answer = answer
        self.zone = zone
        self.slots = slots
        self.runs = []  # Ids of requests that began to run.
        self.born = int(time.time() * 1000)
        self.seq = 0
        world.servers.append(self)

    async def start(self):
        port = free_port(SERVER_HOST)
        self.address = "%s:%d" % (SERVER_HOST, port)
        self.listener = await asyncio.start_server(self.serve, SERVER_HOST, port)
        self.beat = asyncio.ensure_future(self.heartbeats())

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state,
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        }

    async def heartbeats(self):
        while True:
            self.seq += 1
            await self.world.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if head.get("x-expect-instance", self.name) != self.name:
                    writer.write(message(
                        "HTTP/1.1 421 Misdirected Request",
                        [("X-Request-Id", head.get("x-request-id")),
                         ("X-Instance-Id", self.name), ("Content-Length", 0)]))
                    continue
                if head.start.startswith("GET /health "):
                    writer.write(message(
                        "HTTP/1.1 200 OK",
                        [("X-Instance-Id", self.name), ("Content-Length", 0)]))
                    continue
                self.runs.append(head.get("x-request-id"))
                self.world.record.write(
                    "%s runs %s" % (self.name, head.get("x-request-id")))
                if not await self.answer(self, head, body, writer):
                    break
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        await close(writer)

    def stop(self):
        self.beat.cancel()
        self.listener.close()


def whole_answer(server, request_id, body):
    return message(
        "HTTP/1.1 200 OK",
        [("X-Request-Id", request_id),
         ("X-Response-Seal", "seal.%s.%s" % (server.name, request_id)),
         ("Content-Type", "text/plain"), ("Keep-Alive", "timeout=10"),
         ("Content-Length", len(body))],
        body)


# --- clients --------------------------------------------------------------


class Client:
    """One channel to an entry VM, kept for many requests."""

    count = 0

    def __init__(self, world, entry, name):
        self.world = world
        self.entry = entry
        self.name = name
        self.reader = self.writer = None
        self.retry_after = 0.0  # Of the last answer.

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.host, self.entry.front)

    async def ask(self, method, path, body=b"", deadline_ms=4000, fields=()):
        """Returns id and status; status 0: the channel ended without a whole
        answer, -1: no channel came about."""
        Client.count += 1
        request_id = "%s-%d" % (self.name, Client.count)
        try:
            if self.writer is None:
                await self.connect()
        except OSError:
            self.world.record.write("%s: no channel" % request_id)
            return request_id, -1, b""
        head = [("Host", HOST), ("X-Request-Id", request_id),
                ("X-Deadline-Ms", deadline_ms), ("Authorization", "Bearer " + KEY)]
        head += list(fields)
        if method != "GET":
            head.append(("Content-Length", len(body)))
        self.world.record.write("%s sent to %s: %s %s"
                                % (request_id, self.entry.name, method, path))
        try:
            self.writer.write(message("%s %s HTTP/1.1" % (method, path), head, body))
            await self.writer.drain()
            answer = await read_head(self.reader)
            if answer is None:
                raise ConnectionError()
            status = int(answer.start.split(" ")[1])
            self.retry_after = float(answer.get("retry-after") or 0)
            data = await read_body(self.reader, answer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            self.world.record.write("%s: the channel ended without an answer"
                                    % request_id)
            await self.drop()
            return request_id, 0, b""
        self.world.record.write("%s answered %d, %d bytes"
                                % (request_id, status, len(data)))
        if answer.get("connection").lower() == "close":
            await self.drop()
        return request_id, status, data

    async def drop(self):
        if self.writer is not None:
            await close(self.writer)
        self.reader = self.writer = None


def main(case):
    """Runs `case(world)`, which returns whether the rule held."""

    async def run():
        # A stop of the script ends the processes that it started, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        world = World(sys.argv[0])
        try:
            held = await case(world)
        except CannotRun as reason:
            world.record.say("cannot run: %s" % reason)
            return 2
        except Exception:  # A fault of the script, not of the system.
            world.record.say("cannot run: " + traceback.format_exc())
            return 2
        finally:
            await world.finish()
        world.record.say("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    try:
        status = asyncio.run(asyncio.wait_for(run(), 112))
    except (asyncio.TimeoutError, asyncio.CancelledError):
        print("cannot run: the case took too long or was stopped", flush=True)
        status = 2
    sys.stdout.flush()
    os._exit(status)  # Channels of stand-ins that are still open end here.
