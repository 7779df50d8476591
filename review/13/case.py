"""While one agent has been restarted lately, an entry neither queries an endpoint whose digest is old nor asks for a newer one.

A flow that was opened at an added endpoint since its last sparse report to an entry cannot be found by that entry: its packets go
to all other endpoints and are then dropped, until the next sparse report.
"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins3 import ACK, Client, Deployment, Endpoint, Packet, is_ready, main, route_of

SERVICE = "feed"
ROUTE = ("127.99.0.1", 8443)
# flowMs of the site.
FLOW_S = 2.0
# Copies of one packet reach several endpoints within this time.
COPY_S = 0.05
ENTRIES = (11, 12, 13, 14, 15)
# Two groups of entries; in each one entry at a time is stopped and started.
ROLLED = ((12, 13), (14, 15))
OLD = (21, 22, 23, 24)
NEW = (25, 26, 27, 28)
RUN_S = 12.0
# Time limits of the site's clients: of the requests that must not be repeated, and of the downloads.
SHORT_LIMIT_S, LONG_LIMIT_S = 1.5, 4.0
# One flow of this many has the short limit.
SHORT_ONE_IN = 4


class Router:
    """Takes entries out of rotation after two failed probes, and hashes flows over those that are in it."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.misses = {number: 0 for number in ENTRIES}
        self.rotation = list(ENTRIES)
        self.running = True
        threading.Thread(target=self._probe, daemon=True).start()

    def _probe(self):
        while self.running:
            for number in ENTRIES:
                ready = is_ready(self.deployment.ip(number), self.deployment.ports["ready"])
                self.misses[number] = 0 if ready else self.misses[number] + 1
            rotation = [number for number in ENTRIES if self.misses[number] < 2]
            # With fewer than half of a zone's nodes in rotation, the platform uses all of them.
            if 2 * len(rotation) < len(ENTRIES):
                rotation = list(ENTRIES)
            if rotation != self.rotation:
                self.rotation = rotation
                self.record(f"router: in rotation: {rotation}")
            time.sleep(0.5)

    def entry(self, port):
        rotation = self.rotation
        return self.deployment.ip(rotation[port % len(rotation)])


class Traffic:
    """Opens flows and sends a request of three packets on each; retransmits as the pages say."""

    def __init__(self, client, router, record):
        self.client, self.router, self.record = client, router, record
        self.unserved = {SHORT_LIMIT_S: [], LONG_LIMIT_S: []}

    def run_flow(self, port):
        client = self.client
        flow = client.open(port, self.router.entry(port))
        if flow is None:
            return
        if client.request(flow, f"first-{port}", self.router.entry(port)) is None:
            return
        time.sleep(0.1 + (port % 8) * 0.05)
        parts = [f"part-{index}-{port}-".ljust(900, "x").encode() for index in range(3)]
        limit = SHORT_LIMIT_S if port % SHORT_ONE_IN == 0 else LONG_LIMIT_S
        start, answered, pause = time.monotonic(), 0, 0.2
        ack = flow["ack"]
        while answered < 3 and time.monotonic() < start + limit:
            for index in range(answered, 3):
                packet = Packet((client.address, port), ROUTE, ACK, flow["seq"] + 900 * index, ack, parts[index])
                client._send(flow, packet, self.router.entry(port))
            deadline = min(time.monotonic() + pause, start + limit)
            while answered < 3 and time.monotonic() < deadline:
                reply = client._await(port, lambda p: p.data and p.seq == ack, max(0.001, deadline - time.monotonic()))
                if reply is not None:
                    ack += len(reply.data)
                    answered += 1
                    client.acknowledge({"port": port, "seq": flow["seq"] + 900 * answered, "ack": ack}, self.router.entry(port))
            pause = min(2 * pause, 1.6)
        took = time.monotonic() - start
        if took > 1.0:
            self.record(f"client: the request on flow {port} took {took:.2f} s, {answered} of 3 packets answered")
        if answered < 3:
            self.unserved[limit].append(port)


def case(record, trouble):
    # The entries are in a zone without endpoints of the service.
    deployment = Deployment(record, net=13, zone="zone-a")
    endpoints, router, running = [], None, [True]

    def add_endpoint(number):
        endpoints.append(Endpoint(f"server-{number}", SERVICE, deployment.ip(number), deployment.ports, record, zone="zone-b"))

    def roll(group):
        while running[0]:
            for number in group:
                if not running[0]:
                    return
                deployment.kill(number, signal.SIGTERM)
                time.sleep(0.2)
                deployment.start_entry(number)
                deployment.wait_ready(number)
                time.sleep(1.3)

    try:
        deployment.write_manifest(3, [route_of("feed-pull", SERVICE, ROUTE)])
        deployment.zone = "zone-b"
        for number in OLD + NEW:
            deployment.start_agent(number, SERVICE)
        for number in OLD:
            add_endpoint(number)
        deployment.zone = "zone-a"
        for number in ENTRIES:
            deployment.start_entry(number)
        for number in ENTRIES:
            deployment.wait_ready(number)
        deployment.wait_listed(len(OLD))
        time.sleep(14.0)
        if trouble:
            record("planned: an agent is stopped and started again")
            deployment.zone = "zone-b"
            deployment.kill(OLD[0], signal.SIGTERM)
            time.sleep(0.2)
            deployment.start_agent(OLD[0], SERVICE)
            deployment.zone = "zone-a"
            time.sleep(6.0)
        client = Client(deployment.ip(200), deployment.ports["packets"], ROUTE, record)
        router = Router(deployment, record)
        traffic = Traffic(client, router, record)
        record("planned: endpoints are added, and entries are stopped and started in turn")
        for number in NEW:
            add_endpoint(number)
        rollers = [threading.Thread(target=roll, args=(group,), daemon=True) for group in ROLLED]
        for roller in rollers:
            roller.start()
            time.sleep(0.65)
        threads = []
        started = time.monotonic()
        for port in range(1024, 9000):
            if time.monotonic() > started + RUN_S:
                break
            thread = threading.Thread(target=traffic.run_flow, args=(port,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(0.015)
        for thread in threads:
            thread.join(10.0)
        running[0] = False
        for roller in rollers:
            roller.join(10.0)
        client.stop()
        return judge(endpoints, traffic, len(threads), record)
    finally:
        running[0] = False
        if router:
            router.running = False
        for endpoint in endpoints:
            endpoint.stop()
        deployment.stop()


def judge(endpoints, traffic, count, record):
    """Looks for flows of which three packets reach other endpoints, and none their own for `FLOW_S` from the first of them on."""
    broken = 0
    for endpoint in endpoints:
        for flow, known in endpoint.flows.items():
            if not known["open"]:
                continue
            own = [at for at, held, _ in endpoint.seen.get(flow, []) if held]
            # A copy of a packet that reaches its own endpoint too counts as one that did.
            reached = {packet: at for at, held, packet in reversed(endpoint.seen.get(flow, [])) if held}
            others = []
            for other in endpoints:
                if other is endpoint:
                    continue
                for at, held, packet in other.seen.get(flow, []):
                    if not held and at + COPY_S < reached.get(packet, at + 2 * COPY_S):
                        others.append((at, packet))
            others.sort()
            for index, (first, _) in enumerate(others):
                window = {packet for at, packet in others[index:] if at <= first + FLOW_S}
                if len(window) >= 3 and not any(first <= at <= first + FLOW_S for at in own):
                    later = [at for at in own if at > first]
                    gap = f"{min(later) - first:.2f} s" if later else "the end"
                    record(f"flow {flow[0]}: held by {endpoint.name}; packets reach others and none its own for {gap}")
                    broken += 1
                    break
    record(f"flows whose packets reached other endpoints for {FLOW_S} s and more, and none their own: {broken} of {count}")
    for limit, ports in traffic.unserved.items():
        record(f"requests given up without a whole answer at the client's limit of {limit} s: {len(ports)}")
    return broken > 0


main(FOLDER, case)
