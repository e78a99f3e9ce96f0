"""Open connections to the store go silent; is a later configuration in time?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import mesh  # noqa: E402

CONTACT_S = 3.0
APPLY_S = 2.0
OLD, NEW = "huvo11a", "wuno96b"


def routes(service, more=()):
    return [mesh.route("r-zji9n73", "/lohu930/", service)] + [
        mesh.route("r-%s" % p, "/%s/" % p, NEW) for p in more]


async def wait_for_renewals(case):
    """Returns PHASE seconds after all nodes have renewed their leases."""
    end = mesh.now() + 20
    while len({lease for _, lease in case.store.renewals}) < len(case.nodes):
        if mesh.now() > end:
            raise mesh.CannotRun("not all nodes renew their leases")
        await asyncio.sleep(0.05)
    await asyncio.sleep(float(os.environ.get("PHASE", "0.2")))


async def probe(case, node, number, acked, counts):
    """Sends one request on each route, and sees what served it."""
    for path in ("/lohu930/x", "/added9/x"):
        request_id = "q%d-%s-%s" % (number, node.name[5:], path[1:3])
        late_ms = int((mesh.now() - acked) * 1000)
        answer = await mesh.call(
            node.callers, "GET", path, request_id, 1000)
        ran_by = [u.service for u in case.upstreams
                  for r in u.runs if r[1] == request_id]
        status = answer.status if answer else None
        if OLD in ran_by or status == 404:
            counts["old"] += 1
            counts["latest_ms"] = late_ms
            case.say(request_id, "sent to", node.name, late_ms,
                     "ms after the ack of r9: status", status, "run by",
                     ran_by)
        elif ran_by == [NEW] and status == 200:
            counts["new"] += 1
        else:
            counts["other"] += 1


async def play(case):
    link = mesh.Proxy(case.store.port)
    await link.start()
    for i in range(6):
        zone = ("brasov-a", "brasov-b", "sibiu-c")[i % 3]
        await case.add_node("side-%s-%d" % (zone, i), zone,
                            OLD if i < 3 else NEW, "i-%d" % i,
                            store_port=link.port)
    await case.store.put("op/config", mesh.config(
        5, routes(OLD), [OLD, NEW]))
    for node, upstream in zip(case.nodes, case.upstreams):
        node.start()
        upstream.beat_forever()
    for node in case.nodes:
        await node.wait_ready()
    await wait_for_renewals(case)

    await case.store.put("op/config", mesh.config(
        7, routes(OLD, ["added7"]), [OLD, NEW]))
    case.say("r7 is acknowledged")
    await asyncio.sleep(1.0)
    if mesh.TROUBLE:
        link.go_silent()
        case.say("all open connections to the store go silent;"
                 " new ones work")
    await asyncio.sleep(CONTACT_S + 0.5)

    acked = await case.store.put("op/config", mesh.config(
        9, routes(NEW, ["added7", "added9"]), [OLD, NEW]))
    case.say("r9 is acknowledged: /lohu930/ goes to", NEW,
             "now, /added9/ is new")
    await asyncio.sleep(acked + APPLY_S + 0.02 - mesh.now())

    counts = {"old": 0, "new": 0, "other": 0, "latest_ms": 0}
    for number in range(40):
        await asyncio.gather(*(probe(case, node, number, acked, counts)
                               for node in case.nodes))
        await asyncio.sleep(0.1)
    case.say("sent over", APPLY_S, "s after the ack:", counts["old"],
             "handled as only r7 allows (the last", counts["latest_ms"],
             "ms after it),", counts["new"], "as r9 says,", counts["other"],
             "other")
    for node in case.nodes:
        for line in node.log_lines():
            if line.get("event") in ("config", "store-call", "relay"):
                case.say(node.name, {k: line[k] for k in (
                    "event", "clock_us", "version", "from", "call",
                    "result", "change") if k in line})
    if counts["new"] == 0:
        raise mesh.CannotRun("r9 is in force nowhere")
    return mesh.BROKEN if counts["old"] > 0 else mesh.HELD


mesh.main(os.path.dirname(os.path.abspath(__file__)), play)
