"""Stand-ins of a small deployment for the scripts of this review.

One process runs the platform's store, the upstreams, the clients and a
fault-injecting TCP proxy on one event loop.  The nodes are the project's own
program, started as separate processes by the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "basilmeshd")
IP = "127.0.0.1"
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def now():
    return time.monotonic()


def free_port():
    """A port that is free now, below the range of ephemeral ports."""
    start = 10000 + (os.getpid() * 7919 + free_port.count * 13) % 20000
    for port in range(start, start + 2000):
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((IP, port))
            except OSError:
                continue
            free_port.count += 1
            if port in free_port.used:
                continue
            free_port.used.add(port)
            return port
    raise CannotRun("no free port")


free_port.count = 0
free_port.used = set()


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def say(self, *words):
        line = "%8.3f %s" % (now() - self.start, " ".join(map(str, words)))
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP ----


async def read_head(reader):
    """Returns the first line and the fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            break
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class ClientConnection:
    """A connection of a client to the outbound address of a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.open_connection(IP, port, limit=1 << 24))

    def send(self, method, path, request_id, timeout_ms, body=None,
             more=""):
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n" \
            "Timeout-Ms: %d\r\n%s" % (
                method, path, HOST, request_id, timeout_ms, more)
        if body is not None:
            head += "Content-Length: %d\r\n" % len(body)
        self.writer.write(head.encode() + b"\r\n" + (body or b""))

    async def answer(self):
        """The next answer, or None if the connection ends before it."""
        try:
            head = await read_head(self.reader)
            if head is None:
                return None
            body = await read_body(self.reader, head[1])
        except (OSError, asyncio.IncompleteReadError):
            return None
        return Answer(int(head[0].split()[1]), head[1], body)

    def close(self):
        self.writer.close()


async def call(port, method, path, request_id, timeout_ms, body=None,
               more=""):
    """One request on a new connection; None without a whole answer."""
    try:
        conn = await ClientConnection.open(port)
    except OSError:
        return None
    try:
        conn.send(method, path, request_id, timeout_ms, body, more)
        return await asyncio.wait_for(conn.answer(), timeout_ms / 1000 + 1)
    except asyncio.TimeoutError:
        return None
    finally:
        conn.close()


# ---- the platform's store ----


class Store:
    """The store of the platform's protocol page, with JSON bodies."""

    def __init__(self):
        self.revision = 100
        self.items = {}    # key: (value, revision, created, lease)
        self.events = []   # (revision, key, value or None, created, lease)
        self.leases = {}   # id: [ttl_s, expires]
        self.last_lease = 77000
        self.changed = asyncio.Condition()
        self.writes = []   # (time, key, value) by the system
        self.renewals = []  # (time, lease)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, IP, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, expires) in list(self.leases.items()):
                if now() > expires:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v[3] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, puts, deletes):
        async with self.changed:
            self.revision += 1
            for key, value, lease in puts:
                created = self.items[key][2] if key in self.items \
                    else self.revision
                self.items[key] = (value, self.revision, created, lease)
                self.events.append(
                    (self.revision, key, value, created, lease))
            for key in deletes:
                if self.items.pop(key, None) is not None:
                    self.events.append((self.revision, key, None, 0, 0))
            self.changed.notify_all()
            return self.revision

    async def put(self, key, value):
        """A write of the operator; returns when it is acknowledged."""
        await self.apply([(key, json.dumps(value).encode(), 0)], [])
        return now()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(item[0]) if item else None

    @staticmethod
    def item_of(key, item):
        value, revision, created, lease = item
        return {"Key": key, "Value": base64.b64encode(value).decode(),
                "ModRevision": revision, "CreateRev": created,
                "Lease": lease}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split()
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                status, answer = await self.handle(
                    method, unquote(url.path), query,
                    json.loads(body) if body else {})
                data = json.dumps(answer).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: "
                              "application/json\r\nContent-Length: %d\r\n"
                              "\r\n" % (status, len(data))).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/basilfork/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, dict(self.item_of(query["Key"], item),
                             CurrentRev=self.revision)
        if path == "/basilfork/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["Prefix"]) and
                          k > query.get("after", ""))
            return 200, {"items": [self.item_of(k, self.items[k])
                                   for k in keys[:500]],
                         "HasMore": len(keys) > 500,
                         "CurrentRev": self.revision}
        if path == "/basilfork/kv-watch":
            return 200, await self.watch(query)
        if path == "/basilfork/kv-txn":
            return await self.transact(body)
        if path == "/basilfork/kv-lease":
            self.last_lease += 1
            ttl = max(body["TtlMs"], 1000)
            self.leases[self.last_lease] = [ttl / 1000, now() + ttl / 1000]
            return 200, {"Lease": self.last_lease, "TtlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/basilfork/kv-keep/"):
            ttl = self.leases[lease][0]
            self.renewals.append((now(), lease))
            self.leases[lease][1] = now() + ttl
            return 200, {"TtlMs": int(ttl * 1000)}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["Prefix"]
        end = now() + min(int(query["WaitMs"]), 30000) / 1000

        def found():
            return [e for e in self.events
                    if e[0] > after and e[1].startswith(prefix)]

        async with self.changed:
            while not found() and now() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            events = []
            for revision, key, value, created, lease in found():
                if value is None:
                    events.append({"Key": key, "ModRevision": revision,
                                   "Deleted": True})
                else:
                    events.append(self.item_of(
                        key, (value, revision, created, lease)))
            return {"events": events, "CurrentRev": self.revision}

    async def transact(self, body):
        stated = body.get("ExpectedRevision", [])
        for row in stated:
            item = self.items.get(row["Key"])
            if (item[1] if item else 0) != row["ModRevision"]:
                return 412, {"items": [
                    self.item_of(r["Key"], self.items[r["Key"]])
                    if r["Key"] in self.items
                    else {"Key": r["Key"], "ModRevision": 0}
                    for r in stated]}
        puts = []
        for put in body.get("Puts", []):
            if put.get("Lease", 0) and put["Lease"] not in self.leases:
                return 404, {}
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            value = base64.b64decode(put["Value"])
            puts.append((put["Key"], value, put.get("Lease", 0)))
            self.writes.append((now(), put["Key"], value))
        return 200, {"ModRevision": await self.apply(
            puts, body.get("Deletes", []))}


# ---- a link that fails ----


class Proxy:
    """Forwards TCP connections to a port and injects faults.

    go_silent: the connections that are open now carry nothing any more, and
    none of their ends is told; new connections work.
    cut: all connections carry nothing until healed is called; the ones that
    were open are reset then.
    """

    def __init__(self, to_port=None):
        self.to_port = to_port
        self.pairs = []
        self.is_cut = False

    async def start(self):
        self.server = await asyncio.start_server(self.accept, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        pair = {"silent": self.is_cut, "ends": [writer]}
        self.pairs.append(pair)
        if pair["silent"]:
            return
        try:
            r2, w2 = await asyncio.open_connection(IP, self.to_port)
        except OSError:
            abort(writer)
            return
        pair["ends"].append(w2)
        asyncio.ensure_future(self.pump(pair, reader, w2))
        asyncio.ensure_future(self.pump(pair, r2, writer))

    async def pump(self, pair, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if pair["silent"]:
                    return
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            if not pair["silent"]:
                for end in pair["ends"]:
                    abort(end)

    def go_silent(self):
        for pair in self.pairs:
            pair["silent"] = True

    def cut(self):
        self.is_cut = True
        self.go_silent()

    def heal(self):
        self.is_cut = False
        for pair in self.pairs:
            if pair["silent"]:
                for end in pair["ends"]:
                    abort(end)
        self.pairs = [p for p in self.pairs if not p["silent"]]


def abort(writer):
    """Closes a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


# ---- upstreams ----


class Upstream:
    """An upstream: slots, a short queue, heartbeats, a list of its runs."""

    def __init__(self, service, instance, admin_port, version="v1",
                 slots=6, work_s=0.02, record=None, zone="brasov-a"):
        self.service, self.id, self.version = service, instance, version
        self.admin_port, self.slots, self.work_s = admin_port, slots, work_s
        self.zone, self.record = zone, record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []       # (time, request id, path, caller service)
        self.running = 0
        self.fails = lambda upstream, path: False
        self.work = None     # coroutine function in place of the default
        self.address_port = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, IP, port, limit=65536)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.address_port is None:
            self.address_port = self.port

    def beat_forever(self, interval_s=1.5):
        self.beats = asyncio.ensure_future(self.beat_loop(interval_s))

    async def beat_loop(self, interval_s):
        while True:
            await self.beat()
            await asyncio.sleep(interval_s)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "Service": self.service, "Address": "%s:%d" % (
                IP, self.address_port), "Zone": self.zone,
            "Version": self.version, "Capacity": self.slots,
            "State": self.state, "WarmupLeftMs": 0,
            "Sequence": self.sequence, "born": self.born}).encode()
        return await post(
            self.admin_port, "/basilfork/instances/%s/heartbeat" % self.id,
            body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self.handle(reader, writer, *head):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def respond(self, writer, status, fields, body=b"", more=""):
        request_id = fields.get("request-id")
        head = "HTTP/1.1 %d X\r\nServer-Load: %d,0,%d\r\n" % (
            status, self.running, self.slots)
        if request_id:
            head += "Request-Id: %s\r\n" % request_id
        head += more + "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)

    async def handle(self, reader, writer, line, fields):
        method, path, _ = line.split()
        if path == "/health":
            self.respond(writer, 200, fields,
                         more="Instance-Id: %s\r\n" % self.id)
            return True
        expected = fields.get("expected-instance")
        if expected is not None and expected != self.id:
            await read_body(reader, fields)
            self.respond(writer, 421, fields,
                         more="Instance-Id: %s\r\n" % self.id)
            return True
        request_id = fields.get("request-id", "")
        if self.work is not None:
            return await self.work(self, reader, writer, line, fields)
        body = await read_body(reader, fields)
        self.note_run(request_id, path, fields)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.fails(self, path):
            self.respond(writer, 500, fields, b"failed", self.sign(request_id))
        else:
            self.respond(writer, 200, fields,
                         b"%s %d" % (request_id.encode(), len(body)),
                         self.sign(request_id))
        return True

    def sign(self, request_id):
        return "Response-Signature: %s.%s\r\n" % (self.id, request_id)

    def note_run(self, request_id, path, fields):
        self.runs.append((now(), request_id, path,
                          fields.get("caller-service")))
        if self.record:
            self.record.say("run", self.service, self.version, self.id,
                            request_id, path)

    def stop(self):
        self.server.close()
        if hasattr(self, "beats"):
            self.beats.cancel()
        for writer in list(self.connections):
            abort(writer)


async def post(port, path, body):
    try:
        reader, writer = await asyncio.open_connection(IP, port)
    except OSError:
        return None
    try:
        writer.write(("POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
                      "application/json\r\nContent-Length: %d\r\n\r\n" % (
                          path, IP, port, len(body))).encode() + body)
        head = await asyncio.wait_for(read_head(reader), 1)
        return int(head[0].split()[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


# ---- nodes ----

SETTINGS = """[node]
instance = "%(name)s"
availability_zone = "%(zone)s"
service = "%(service)s"
link_mbps = 1000.0
first_start = %(first_start)s

[callers]
listen = "%(ip)s:%(callers)d"

[peers]
listen = "%(ip)s:%(peers)d"
%(advertise)s
[target]
address = "%(ip)s:%(target)d"
listen = "%(ip)s:%(admin)d"
heartbeat_ms = 1500

[platform]
ready_listen = "%(ip)s:%(ready)d"
store = "%(ip)s:%(store)d"

[stop]
grace_s = 6

[repeats]
share = 0.2
burst = 62
window_s = 10

[metrics]
listen = "%(ip)s:%(metrics)d"
"""


class Node:
    def __init__(self, folder, name, zone, service, target_port, store_port,
                 peers_proxy=None):
        self.name, self.zone, self.service = name, zone, service
        self.folder = folder
        self.ports = {p: free_port() for p in (
            "callers", "peers", "admin", "ready", "metrics")}
        self.ports.update(target=target_port, store=store_port)
        self.peers_proxy = peers_proxy
        self.process = None

    @property
    def callers(self):
        return self.ports["callers"]

    @property
    def admin(self):
        return self.ports["admin"]

    def write_settings(self, first_start):
        path = os.path.join(self.folder, self.name + ".conf")
        advertise = ""
        if self.peers_proxy is not None:
            advertise = 'advertise = "%s:%d"\n' % (IP, self.peers_proxy.port)
        with open(path, "w") as file:
            file.write(SETTINGS % dict(
                self.ports, name=self.name, zone=self.zone, ip=IP,
                service=self.service, advertise=advertise,
                first_start="true" if first_start else "false"))
        return path

    def start(self, first_start=True):
        path = self.write_settings(first_start)
        self.log_path = os.path.join(self.folder, self.name + ".log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, path], stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "BASILFORK_BOOT": path})

    def signal(self, number):
        self.process.send_signal(number)

    async def wait_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready after %d s" % (self.name, seconds))

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                IP, self.ports["ready"])
            writer.write(b"GET /basilfork/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def log_lines(self):
        with open(self.log_path, errors="replace") as log:
            for line in log:
                try:
                    yield json.loads(line)
                except ValueError:
                    pass


def route(name, prefix, service, kind="safe", timeout_ms=1000,
          objective_ms=250, attempts=2, priority=1):
    action = {"TimeoutMs": timeout_ms, "MaxAttempts": attempts}
    if isinstance(service, str):
        action["Service"] = service
    else:
        action["TrafficSplit"] = [
            {"Service": s, "Weight": w} for s, w in service]
    return {"Name": name, "Type": kind, "TargetLatencyMs": objective_ms,
            "Priority": priority, "Match": {"Prefix": prefix},
            "Action": action}


def config(version, routes, services):
    return {
        "Version": "r%d" % version,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Listeners": [{"Authority": HOST, "Policies": routes}],
        "Clusters": [{"Name": s, "HealthPath": "/health",
                      "MaxConnections": 130, "Protocol": "h1",
                      "Tls": False} for s in services]}


class Case:
    """A run of one case: its store, nodes, record and temporary folder."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.nodes = []
        self.upstreams = []

    async def start_store(self):
        await self.store.start()

    def say(self, *words):
        self.record.say(*words)

    async def add_node(self, name, zone, service, upstream_id, version="v1",
                       slots=6, work_s=0.02, store_port=None, proxy=None,
                       front=None, record_runs=False):
        """A node with its upstream; front: a Proxy before the upstream."""
        upstream = Upstream(service, upstream_id, None, version, slots,
                            work_s, self.record if record_runs else None,
                            zone)
        await upstream.start()
        if front is not None:
            front.to_port = upstream.port
            upstream.address_port = front.port
        node = Node(self.tmp, name, zone, service, upstream.address_port,
                    store_port or self.store.port, proxy)
        upstream.admin_port = node.admin
        self.nodes.append(node)
        self.upstreams.append(upstream)
        return node, upstream

    def end(self):
        for node in self.nodes:
            if node.process is None:
                continue
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            node.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder, play):
    """Plays a case and exits with its result."""
    if not os.path.exists(PROGRAM):
        print("target/bin/basilmeshd is not built")
        sys.exit(COULD_NOT_RUN)

    async def run():
        case = Case(folder)
        try:
            await case.start_store()
            return await asyncio.wait_for(play(case), 110)
        except (CannotRun, asyncio.TimeoutError) as err:
            case.say("could not run:", repr(err))
            return COULD_NOT_RUN
        finally:
            case.end()

    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}[
        result])
    os._exit(result)
