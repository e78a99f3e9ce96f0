"""An upstream's answer without a length is reset on the way."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import mesh  # noqa: E402

SERVICE = "wuno96b"
UPLOAD_BYTES = 12 << 20
HALF = b"first half of the answer;"
REST = b" second half of the answer"
UPLOADS = 5


async def work(self, reader, writer, line, fields):
    """Answers an upload before it has read all of it, without a length."""
    request_id = fields["request-id"]
    self.note_run(request_id, line.split()[1], fields)
    await reader.readexactly(1000)
    writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s"
                  "Connection: close\r\n\r\n" % (
                      request_id, self.sign(request_id))).encode() + HALF)
    await writer.drain()
    await asyncio.sleep(0.1)
    if mesh.TROUBLE:
        mesh.abort(writer)
        return False
    await reader.readexactly(int(fields["content-length"]) - 1000)
    writer.write(REST)
    await writer.drain()
    return False


async def play(case):
    await case.add_node("side-0", "brasov-a", SERVICE, "i-0")
    case.upstreams[0].work = work
    await case.store.put("op/config", mesh.config(
        5, [mesh.route("r-1", "/scan/", SERVICE, "upload", 5000)],
        [SERVICE]))
    node = case.nodes[0]
    node.start()
    case.upstreams[0].beat_forever()
    await node.wait_ready()
    await asyncio.sleep(3)

    cut = whole = 0
    for i in range(UPLOADS):
        answer = await mesh.call(node.callers, "POST", "/scan/x", "u%d" % i,
                                 5000, bytes(UPLOAD_BYTES))
        if answer is None:
            case.say("u%d" % i, "the connection ends")
            continue
        case.say("u%d" % i, "is answered", answer.status, answer.fields,
                 answer.body)
        if answer.status == 200 and answer.body != HALF + REST:
            cut += 1
        elif answer.status == 200:
            whole += 1
    case.say(cut, "answers that were reset on the way reached the client as"
             " complete successes,", whole, "were whole")
    if not mesh.TROUBLE and whole < UPLOADS:
        raise mesh.CannotRun("not all uploads were answered")
    return mesh.BROKEN if cut else mesh.HELD


mesh.main(os.path.dirname(os.path.abspath(__file__)), play)
