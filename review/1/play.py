"""Uploads are sent in chunks, with a checksum in the trailer section."""

import asyncio
import hashlib
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import mesh  # noqa: E402

BOXES, LABELS = "huvo11a", "wuno96b"
SECONDS = 10
BROWSE_PER_S, UPLOADS_PER_S = 60, 10
RANDOM = random.Random(1)


class Watch:
    """What clients sent and what reached the upstreams."""

    def __init__(self, case):
        self.case = case
        self.bodies = {}    # request id: body that the client sent
        self.sessions = {}  # session id: the client that has it
        self.right = 0
        self.changed = []
        self.no_requests = 0
        self.foreign = set()

    async def work(self, upstream, reader, writer, line, fields):
        """Runs a request as a server does that reads HTTP/1.1."""
        request_id = fields.get("request-id", "")
        body = await mesh.read_body(reader, fields)
        upstream.note_run(request_id, line.split()[1], fields)
        if request_id.startswith("scan-"):
            if body == self.bodies[request_id]:
                self.right += 1
            else:
                self.changed.append(request_id)
                self.case.say(request_id, "was sent with",
                              len(self.bodies[request_id]), "bytes of body;",
                              upstream.id, "ran it with", len(body))
            for session, owner in self.sessions.items():
                if session in repr(fields):
                    self.foreign.add(request_id)
                    self.case.say(request_id, "reached", upstream.id,
                                  "with the session of", owner)
        await asyncio.sleep(0.02)
        upstream.respond(writer, 200, fields, b"done",
                         upstream.sign(request_id))
        return True

    async def handle(self, upstream, reader, writer, line, fields):
        words = line.split()
        if len(words) != 3 or not words[2].startswith("HTTP/"):
            self.no_requests += 1
            self.case.say(upstream.id, "gets bytes that are no request:",
                          repr(line[:60]))
            upstream.respond(writer, 400, {},
                             more="Not-Executed: 1\r\nConnection: close\r\n")
            return False
        return await mesh.Upstream.handle(
            upstream, reader, writer, line, fields)


async def browse(watch, node, number):
    """A client that has a session, as a browser does."""
    session = "%016x" % RANDOM.getrandbits(64) * RANDOM.randint(1, 12)
    watch.sessions[session[:16]] = "browse-%d" % number
    await mesh.call(node.callers, "GET", "/boxes/x", "browse-%d" % number,
                    800, more="Cookie: session=%s\r\n" % session)


async def upload(watch, node, number, answers):
    """Sends a body in two chunks, and its checksum after them."""
    request_id = "scan-%d" % number
    body = bytes(RANDOM.choices(b"abcdefgh", k=RANDOM.randint(500, 5000)))
    watch.bodies[request_id] = body
    agent = "Scanner/%s" % ("1" * RANDOM.randint(1, 120))
    half = len(body) // 2
    conn = await mesh.ClientConnection.open(node.callers)
    conn.send("POST", "/labels/x", request_id, 1200,
              more="User-Agent: %s\r\nTransfer-Encoding: chunked\r\n" % agent)
    for chunk in (body[:half], body[half:]):
        conn.writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
    conn.writer.write(b"0\r\n")
    if mesh.TROUBLE:
        conn.writer.write(b"Checksum: %s\r\n" %
                          hashlib.sha256(body).hexdigest()[:32].encode())
    conn.writer.write(b"\r\n")
    try:
        answer = await asyncio.wait_for(conn.answer(), 2)
    except asyncio.TimeoutError:
        answer = None
    status = answer.status if answer else None
    answers[status] = answers.get(status, 0) + 1
    conn.close()


async def play(case):
    watch = Watch(case)
    for i, (zone, service) in enumerate((
            ("brasov-a", BOXES), ("brasov-b", BOXES), ("sibiu-c", LABELS))):
        await case.add_node("side-%d" % i, zone, service, "i-%d" % i,
                            slots=6)
    for upstream in case.upstreams:
        upstream.work = watch.work
        upstream.handle = lambda *a, u=upstream: watch.handle(u, *a)
    await case.store.put("op/config", mesh.config(
        5, [mesh.route("r-1", "/boxes/", BOXES, "safe", 800, 200),
            mesh.route("r-2", "/labels/", LABELS, "upload", 1200, 300)],
        [BOXES, LABELS]))
    for node, upstream in zip(case.nodes, case.upstreams):
        node.start()
        upstream.beat_forever()
    for node in case.nodes:
        await node.wait_ready()
    await asyncio.sleep(3)

    tasks, answers = [], {}
    start = mesh.now()
    for i in range(SECONDS * BROWSE_PER_S):
        await asyncio.sleep(start + i / BROWSE_PER_S - mesh.now())
        node = case.nodes[i % len(case.nodes)]
        tasks.append(asyncio.ensure_future(browse(watch, node, i)))
        if i % (BROWSE_PER_S // UPLOADS_PER_S) == 0:
            tasks.append(asyncio.ensure_future(
                upload(watch, node, i, answers)))
    await asyncio.gather(*tasks)
    case.say(len(watch.bodies), "uploads; answers:", answers)
    case.say(watch.right, "ran with the body that was sent,",
             len(watch.changed), "with another one;", len(watch.foreign),
             "carried a session of another client;", watch.no_requests,
             "times an upstream got bytes that are no request")
    if watch.changed:
        return mesh.BROKEN
    if watch.right < len(watch.bodies) // 2:
        raise mesh.CannotRun("few uploads reached an upstream")
    return mesh.HELD


mesh.main(os.path.dirname(os.path.abspath(__file__)), play)
