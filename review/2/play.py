"""Two zones decide differently on a new version while they are cut off."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import mesh  # noqa: E402

SERVICE = "huvo11a"
DURATION_S = 12
CUT_AT_S, CUT_S = 4.4, 5.8
BAD_AFTER_S = 6.3
ROLLBACK_S = 5.0
BAD_ANSWERS = 50


class ZoneLink(mesh.Proxy):
    """Carries the connections to a node; cuts only those between zones.

    A node states its zone in the first bytes that it sends.
    """

    def __init__(self, zone):
        super().__init__()
        self.zone = zone

    async def accept(self, reader, writer):
        try:
            first = await reader.read(65536)
        except OSError:
            first = b""
        if not first:
            writer.close()
            return
        pair = {"between": self.zone.encode() not in first,
                "silent": False, "ends": [writer]}
        self.pairs.append(pair)
        if self.is_cut and pair["between"]:
            pair["silent"] = True
            return
        try:
            r2, w2 = await asyncio.open_connection(mesh.IP, self.to_port)
        except OSError:
            mesh.abort(writer)
            return
        pair["ends"].append(w2)
        w2.write(first)
        asyncio.ensure_future(self.pump(pair, reader, w2))
        asyncio.ensure_future(self.pump(pair, r2, writer))

    def go_silent(self):
        for pair in self.pairs:
            pair["silent"] = pair["silent"] or pair["between"]


class Traffic:
    """Clients of one machine that send at an even rate."""

    def __init__(self, case, node, rates):
        self.case, self.node, self.rates = case, node, dict(rates)
        self.tasks, self.sent, self.statuses = [], 0, {}
        self.loops = [asyncio.ensure_future(self.loop(p))
                      for p in ("/browse/x", "/renew/x")]

    async def loop(self, path):
        while True:
            rate = self.rates.get(path, 0)
            await asyncio.sleep(1 / rate if rate else 0.1)
            if rate:
                self.sent += 1
                self.tasks.append(asyncio.ensure_future(self.one(
                    path, "%s.%d" % (self.node.name, self.sent))))

    async def one(self, path, request_id):
        self.case.sent[request_id] = mesh.now()
        answer = await mesh.call(self.node.callers, "GET", path, request_id,
                                 800)
        status = answer.status if answer else None
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def stop(self):
        for loop in self.loops:
            loop.cancel()


async def watch_status(case, seen):
    """Notes each outcome that the system writes."""
    known = 0
    while True:
        await asyncio.sleep(0.02)
        for _, key, value in case.store.writes[known:]:
            known += 1
            if key == "status/rollout/" + SERVICE:
                seen.append((mesh.now(), value))
                case.say("the system writes", value.decode())


def status_of(case):
    value = case.store.value("status/rollout/" + SERVICE)
    return value["State"] if value else None


async def play(case):
    case.sent = {}
    links = []
    for zone, version in (("brasov-a", "v1"), ("brasov-a", "v2"),
                          ("sibiu-c", "v1"), ("sibiu-c", "v2")):
        link = ZoneLink(zone)
        await link.start()
        links.append(link)
        node, upstream = await case.add_node(
            "side-%s-%s" % (zone, version), zone, SERVICE,
            "i-%s-%s" % (zone, version), version, work_s=0.06, proxy=link)
        link.to_port = node.ports["peers"]
    await case.store.put("op/config", mesh.config(
        5, [mesh.route("r-1", "/browse/", SERVICE, "safe", 800, 200),
            mesh.route("r-2", "/renew/", SERVICE, "safe", 800, 250)],
        [SERVICE]))
    old = [(n, u) for n, u in zip(case.nodes, case.upstreams)
           if u.version == "v1"]
    new = [(n, u) for n, u in zip(case.nodes, case.upstreams)
           if u.version == "v2"]
    for node, upstream in old:
        node.start()
        upstream.beat_forever()
    for node, _ in old:
        await node.wait_ready()
    await asyncio.sleep(3)

    seen, bad = [], []
    watcher = asyncio.ensure_future(watch_status(case, seen))
    traffic = {}
    for node, _ in old:
        in_a = node.zone == "brasov-a"
        traffic[node.name] = Traffic(case, node, {
            "/browse/x": 20, "/renew/x": 30 if in_a else 0})
    ordered = await case.store.put("op/rollout/" + SERVICE, {
        "Service": SERVICE, "TargetVersion": "v2", "DurationS": DURATION_S})
    case.say("v2 is ordered, within", DURATION_S, "s")

    def fails(upstream, path):
        """v2 is bad on one route, some time after its start."""
        if not path.startswith("/renew/") or \
                mesh.now() < ordered + BAD_AFTER_S:
            return False
        upstream.count = getattr(upstream, "count", 0) + 1
        if upstream.count % 2 == 0:
            bad.append(mesh.now())
        return upstream.count % 2 == 0

    for node, upstream in new:
        upstream.fails = fails
        node.start(first_start=False)
        upstream.beat_forever()
    await asyncio.sleep(ordered + CUT_AT_S - mesh.now())
    if mesh.TROUBLE:
        for link in links:
            link.cut()
        case.say("the zones are cut off from each other; both reach the"
                 " store")

    # The platform carries out the outcome.
    stopped = False
    end = ordered + CUT_AT_S + CUT_S
    healed = False
    last_end = ordered + 40
    while mesh.now() < last_end:
        await asyncio.sleep(0.05)
        if not healed and mesh.now() >= end:
            healed = True
            for link in links:
                link.heal()
            case.say("the zones are connected again; status:",
                     status_of(case))
            # Callers of zone b use both routes from now on.
            for name, clients in traffic.items():
                if "sibiu-c" in name:
                    clients.rates["/renew/x"] = 20
        if status_of(case) == "completed" and not stopped:
            stopped = True
            case.say("the platform stops the old upstreams")
            for node, upstream in old:
                upstream.stop()
                traffic.pop(node.name).stop()
                node.signal(signal.SIGTERM)
            for node, _ in new:
                traffic[node.name] = Traffic(case, node, {
                    "/browse/x": 20,
                    "/renew/x": 20 if healed or node.zone == "brasov-a"
                    else 0})
    for clients in traffic.values():
        clients.stop()
    watcher.cancel()

    late = []
    if len(bad) >= BAD_ANSWERS:
        limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [r for _, u in new for r in u.runs
                if case.sent.get(r[1], 0) > limit]
        case.say("the 50th bad answer of v2 came %.1f s after the order" % (
            bad[BAD_ANSWERS - 1] - ordered))
    states = [v.decode() for _, v in seen]
    case.say("outcomes written:", states)
    for name, clients in traffic.items():
        case.say("clients of", name, "got", clients.statuses)
    case.say(len(bad), "bad answers;", len(late), "requests sent over",
             ROLLBACK_S, "s after the 50th of them reached v2")
    flipped = any("rolled_back" in a and "completed" in b
                  for a, b in zip(states, states[1:]))
    case.say("rolled_back was replaced by completed:", flipped)
    return mesh.BROKEN if late else mesh.HELD


mesh.main(os.path.dirname(os.path.abspath(__file__)), play)
