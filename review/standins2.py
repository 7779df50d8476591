"""Stand-ins for the scripts of review/6 to review/10: store, upstreams, callers and router, on loopback addresses.

They follow PROTOCOL.md of the users' pages. Everything runs in one asyncio loop; the programs under test are separate
processes, started with the commands of deploy/system.toml and with settings filled in from the templates of deploy/.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEAD = struct.Struct(">IIIH4sH4sHIB3s")  # seq ack sum sport dst dport src len echo flags pad
SYN, ACK, FIN, RST, BOUNCED = 64, 32, 4, 16, 128
SUM_KEY = os.urandom(16)


class CannotRun(Exception):
    """The case could not be played; its result says nothing."""


class Record:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


class Packet:
    __slots__ = ("seq", "ack", "sum", "src", "dst", "echo", "flags", "pad", "data")

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags, self.seq, self.ack, self.data = src, dst, flags, seq, ack, data
        self.echo, self.pad, self.sum = 0, b"\0\0\0", 0

    def checksum(self):
        fields = (self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack, self.data)
        return zlib.crc32(SUM_KEY + repr(fields).encode()) | 1

    def encode(self, keep_sum=False):
        if not keep_sum:
            self.sum = self.checksum()
        head = HEAD.pack(
            self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.sum, self.src[1], socket.inet_aton(self.dst[0]),
            self.dst[1], socket.inet_aton(self.src[0]), len(self.data), self.echo, self.flags, self.pad)
        return head + self.data

    @staticmethod
    def decode(raw):
        seq, ack, total, sport, dst, dport, src, length, echo, flags, pad = HEAD.unpack(raw[: HEAD.size])
        packet = Packet((socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), flags, seq, ack,
                        raw[HEAD.size: HEAD.size + length])
        packet.sum, packet.echo, packet.pad = total, echo, pad
        return packet


def entry_address(packet):
    """The agents write the address of the entry into `echo`; used only to tell which machine took a packet."""
    return socket.inet_ntoa(struct.pack(">I", packet.echo))


async def read_http(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def http_answer(status, body=b"", extra=""):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
            ).encode() + body


class Store:
    """The platform's metadata store. `lose` may be set to a function of a transaction that returns the seconds after
    which it is executed without an answer, or None for a transaction that is answered as usual."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.next_lease = 100, 7000
        self.changed = asyncio.Event()
        self.lose = lambda transaction: None
        self.down = False
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.keep(self.expire())

    def keep(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.record(f"store: lease {lease} has ended, {key} is removed")
            self.remove(key)

    def bump(self):
        self.revision += 1
        return self.revision

    def tell(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease, revision):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": revision,
                "created": old["created"] if old else revision, "lease": lease}
        self.items[key] = item
        self.tell(dict(item))

    def remove(self, key, revision=None):
        if self.items.pop(key, None) is not None:
            self.tell({"key": key, "revision": revision or self.bump(), "removed": True})

    def write_operator(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0, self.bump())

    def execute(self, body):
        for condition in body.get("expectedRev", []):
            held = self.items.get(condition["key"], {"revision": 0})["revision"]
            if held != condition["revision"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        revision = self.bump()
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0), revision)
        for key in body.get("deletes", []):
            self.remove(key, revision)
        return 200, {"revision": revision}

    async def execute_late(self, body, delay):
        await asyncio.sleep(delay)
        status, _ = self.execute(body)
        self.record(f"store: the unanswered transaction on {[put['key'] for put in body['puts']]} "
                    f"(lease {[put['lease'] for put in body['puts']]}) is executed, status {status}")

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_http(reader)
                while self.down:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(0.004)
                answer = await self.answer(method, target, body)
                if answer is None:
                    await asyncio.sleep(60)
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return http_answer(404, {"storeRevision": self.revision})
            return http_answer(200, dict(item, storeRevision=self.revision))
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self.items[key] for key in keys[:500]]
            return http_answer(200, {"items": items, "hasMore": len(keys) > 500, "storeRevision": self.revision})
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            transaction = json.loads(body)
            delay = self.lose(transaction)
            if delay is not None:
                self.keep(self.execute_late(transaction, delay))
                return None
            return http_answer(*self.execute(transaction))
        if path == "/-/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return http_answer(200, {"lease": self.next_lease, "ttlMs": ttl})
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return http_answer(404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return http_answer(200, {"ttlMs": ttl})
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return http_answer(200, {})
        return http_answer(404, {})

    async def watch(self, query):
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [event for event in self.history
                      if event["revision"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return http_answer(200, {"events": events, "storeRevision": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Upstream(asyncio.DatagramProtocol):
    """An endpoint beside an agent: flows, health check and pings."""

    def __init__(self, name, service, zone, machine, record, slots=4, ping_s=0.77):
        self.name, self.service, self.zone, self.machine, self.record = name, service, zone, machine, record
        self.slots, self.ping_s = slots, ping_s
        self.flows, self.runs, self.sequence = {}, [], 0
        self.state, self.alive, self.holds_pings = "ready", False, False
        self.forged = 0
        # Time, caller's port and entry of the packets of flows that it holds, and of those that it does not hold, the latter
        # with what tells packets of one flow apart.
        self.own, self.foreign = [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.born = int(time.time() * 1000)
        self.sequence, self.flows, self.alive = 0, {}, True
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.machine["app"])
        self.server = await asyncio.start_server(self.health, *self.machine["app"])
        self.pinger = loop.create_task(self.ping())
        self.record(f"{self.name}: starts, born {self.born}")

    async def crash(self):
        self.alive = False
        self.pinger.cancel()
        self.transport.close()
        self.server.close()
        self.flows = {}
        self.record(f"{self.name}: crashes")

    async def health(self, reader, writer):
        try:
            await read_http(reader)
            writer.write(http_answer(200 if self.state == "ready" else 503, b"", f"X-Instance-Id: {self.name}\r\n"))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def ping(self):
        while True:
            self.sequence += 1
            asyncio.get_running_loop().create_task(self.send_ping(self.sequence))
            await asyncio.sleep(self.ping_s)

    async def send_ping(self, sequence):
        body = json.dumps({
            "service": self.service, "address": "%s:%d" % self.machine["app"], "zone": self.zone, "version": "v1",
            "maxConcurrency": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": sequence,
            "born": self.born}).encode()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.machine["control"]), 1)
            writer.write((f"POST /-/Instances.Heartbeat/{self.name} HTTP/1.1\r\nHost: agent\r\nContent-Type: "
                          f"application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1)
            writer.close()
            if sequence <= 3 or b" 200" not in head:
                self.record(f"{self.name}: ping {sequence} is answered {head.decode().strip()}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"{self.name}: ping {sequence} has no answer ({type(error).__name__})")

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, error):
        pass

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        if packet.sum != packet.checksum() or packet.flags & BOUNCED:
            self.forged += 1
            self.record(f"{self.name}: gets a packet that its sender did not write so: {packet.src} {packet.flags}")
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if self.state == "gone":
                return self.bounce(packet)
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(31), "next": (packet.seq + 1) & 0xFFFFFFFF,
                                          "open": False, "answers": {}}
            self.send(key, SYN | ACK, flow["seq"], flow["next"])
            return
        if flow is None:
            self.foreign.append((time.monotonic(), key[0][1], entry_address(packet),
                                 (packet.seq, packet.ack, len(packet.data))))
            return self.bounce(packet)
        if not flow["open"] and packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
            # The caller has opened the flow at another endpoint.
            self.flows.pop(key)
            self.foreign.append((time.monotonic(), key[0][1], entry_address(packet),
                                 (packet.seq, packet.ack, len(packet.data))))
            return self.bounce(packet)
        self.own.append((time.monotonic(), key[0][1], entry_address(packet)))
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] = (flow["seq"] + 1) & 0xFFFFFFFF
            self.record(f"{self.name}: flow {key[0][1]} is open")
        stream = flow.get("stream")
        if stream is not None and packet.flags & ACK:
            stream.acknowledge(packet.ack)
        if packet.data.startswith(b"GET "):
            if stream is None or stream.asked_at != packet.seq:
                text = packet.data.decode()
                request = re.search(r"X-Request-Id: (\S+)", text).group(1)
                size = int(re.search(r"GET /(\d+)", text).group(1))
                self.runs.append(request)
                flow["next"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
                flow["stream"] = Stream(self, key, flow, packet.seq, size)
            return
        if packet.data:
            if packet.seq not in flow["answers"]:
                text = packet.data.decode()
                request = re.search(r"X-Request-Id: (\S+)", text).group(1)
                self.runs.append(request)
                self.record(f"{self.name}: runs {request}")
                body = f"done {request}".encode()
                flow["answers"][packet.seq] = (flow["seq"], http_answer(200, body, "X-Response-Signature: s\r\n"))
                flow["seq"] = (flow["seq"] + len(flow["answers"][packet.seq][1])) & 0xFFFFFFFF
                flow["next"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            seq, answer = flow["answers"][packet.seq]
            self.send(key, ACK, seq, flow["next"], answer)
        if packet.flags & FIN:
            self.send(key, FIN | ACK, flow["seq"], packet.seq + 1)
            self.flows.pop(key)

    def send(self, key, flags, seq, ack, data=b""):
        packet = Packet(key[1], key[0], flags, seq, ack, data)
        self.transport.sendto(packet.encode(), self.machine["outbound"])

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = b"\0\0\0"
        self.transport.sendto(packet.encode(keep_sum=True), self.machine["outbound"])


class Stream:
    """A long answer of an upstream: 16 packets in flight, retransmitted after 200 ms, doubling up to 1.6 s, 8 times."""

    def __init__(self, upstream, key, flow, asked_at, size):
        self.upstream, self.key, self.flow, self.asked_at = upstream, key, flow, asked_at
        body = b"x" * size
        text = http_answer(200, body, "X-Response-Signature: s\r\n")
        self.segments, seq = [], flow["seq"]
        for start in range(0, len(text), 1200):
            self.segments.append((seq, text[start:start + 1200]))
            seq = (seq + len(text[start:start + 1200])) & 0xFFFFFFFF
        flow["seq"] = self.end = seq
        self.first, self.next, self.tries = 0, 0, 0
        self.timer = None
        self.push()

    def push(self):
        while self.next < len(self.segments) and self.next - self.first < 16:
            self.send(self.next)
            self.next += 1
        self.arm()

    def send(self, index):
        seq, data = self.segments[index]
        if self.upstream.alive:
            self.upstream.send(self.key, ACK, seq, self.flow["next"], data)

    def arm(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        if self.first < len(self.segments) and self.tries < 8 and self.upstream.alive:
            wait = min(1.6, 0.2 * 2 ** self.tries)
            self.timer = asyncio.get_running_loop().call_later(wait, self.retransmit)

    def retransmit(self):
        self.tries += 1
        for index in range(self.first, self.next):
            self.send(index)
        self.arm()

    def acknowledge(self, ack):
        before = self.first
        while self.first < self.next:
            seq, data = self.segments[self.first]
            end = (seq + len(data)) & 0xFFFFFFFF
            if ((ack - end) & 0xFFFFFFFF) >= 2**31:
                break
            self.first += 1
        if self.first != before:
            self.tries = 0
            self.push()


class Callers(asyncio.DatagramProtocol):
    """Clients of one address, behind the platform's router."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.flows, self.rotation, self.next_port = {}, [], 41000
        self.resets, self.sent, self.answered, self.unanswered = [], [], [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, error):
        pass

    def entry_of(self, flow):
        return self.rotation[zlib.crc32(repr(flow).encode()) % len(self.rotation)]

    def send(self, flow, flags, seq, ack, data=b""):
        packet = Packet(flow[0], flow[1], flags, seq, ack, data)
        self.transport.sendto(packet.encode(), self.entry_of(flow))

    def datagram_received(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is None or flow["ended"]:
            return
        if packet.flags & RST:
            own = packet.sum == 0
            distance = (packet.seq - flow["ack"]) & 0xFFFFFFFF
            if flow["open"] and min(distance, 2**32 - distance) > 76800:
                return
            flow["ended"] = True
            sender = "the system" if own else "the endpoint"
            self.record(f"caller {packet.dst[1]}: flow is reset by {sender}")
            if own and flow["open"]:
                self.resets.append(packet.dst[1])
            flow["event"].set()
            return
        if packet.sum != packet.checksum():
            self.record(f"caller {packet.dst[1]}: gets a packet that its sender did not write so")
            return
        if packet.flags & SYN and not flow["open"]:
            flow["open"], flow["ack"] = True, (packet.seq + 1) & 0xFFFFFFFF
            self.send((packet.dst, packet.src), ACK, flow["seq"], flow["ack"])
            flow["event"].set()
        elif packet.data and flow.get("wanted") is not None:
            self.receive_part(flow, packet)
        elif packet.data and packet.seq == flow["ack"]:
            flow["ack"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            flow["answer"] = packet.data
            self.send((packet.dst, packet.src), ACK, flow["seq"], flow["ack"])
            flow["event"].set()

    def receive_part(self, flow, packet):
        """Takes a packet of a long answer: acknowledges every second one, and each that is not the expected one."""
        key = (packet.dst, packet.src)
        if packet.seq != flow["ack"]:
            self.send(key, ACK, flow["seq"], flow["ack"])
            return
        flow["ack"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        flow["got"] += packet.data
        flow["parts"] += 1
        head, _, body = flow["got"].partition(b"\r\n\r\n")
        done = len(body) >= flow["wanted"]
        if done or flow["parts"] % 2 == 0:
            self.send(key, ACK, flow["seq"], flow["ack"])
        if done:
            flow["wanted"], flow["answer"] = None, flow["got"]
            flow["event"].set()

    async def download(self, key, request, size, limit_s=8.0):
        """Fetches a long answer; returns whether it came whole within the time limit."""
        flow = self.flows[key]
        data = f"GET /{size} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n\r\n".encode()
        self.sent.append(request)
        seq, until, wait = flow["seq"], time.monotonic() + limit_s, 0.2
        flow["seq"] = (seq + len(data)) & 0xFFFFFFFF
        flow.update(answer=None, wanted=size, got=b"", parts=0)
        flow["event"].clear()
        while time.monotonic() < until and not flow["ended"] and flow["answer"] is None:
            if not flow["got"]:
                self.send(key, ACK, seq, flow["ack"], data)
            await self.wait(flow, min(wait, max(0.0, until - time.monotonic())))
            wait = min(1.6, wait * 2)
        (self.answered if flow["answer"] is not None else self.unanswered).append(request)
        return flow["answer"] is not None

    async def open(self, service, port=None):
        if port is None:
            port = self.next_port
            self.next_port += 1
        key = ((self.address[0], port), service)
        flow = self.flows[key] = {"open": False, "ended": False, "seq": random.getrandbits(31), "ack": 0,
                                  "event": asyncio.Event(), "answer": None}
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(key, SYN, flow["seq"] - 1, copy)
            if await self.wait(flow, wait):
                break
        if not flow["open"]:
            flow["ended"] = True
            return None
        return key

    async def wait(self, flow, seconds):
        try:
            await asyncio.wait_for(flow["event"].wait(), seconds)
        except asyncio.TimeoutError:
            return False
        flow["event"].clear()
        return True

    async def request(self, key, request, limit_s=3.0):
        """Sends one request on an open flow; returns whether it was answered with success."""
        flow = self.flows[key]
        data = f"POST /r HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()
        self.sent.append(request)
        seq, until, wait = flow["seq"], time.monotonic() + limit_s, 0.2
        flow["seq"] = (seq + len(data)) & 0xFFFFFFFF
        flow["answer"] = None
        flow["event"].clear()
        while time.monotonic() < until and not flow["ended"] and flow["answer"] is None:
            self.send(key, ACK, seq, flow["ack"], data)
            await self.wait(flow, min(wait, max(0.0, until - time.monotonic())))
            wait = min(1.6, wait * 2)
        done = flow["answer"] is not None and f"done {request}".encode() in flow["answer"]
        (self.answered if done else self.unanswered).append(request)
        return done


def render(template, values):
    """Fills in a template of deploy/: values, and sections that are left out without a value."""
    def lookup(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) not in (None, False) else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), template)


class Deployment:
    """The project's own programs as processes, on one loopback address a machine."""

    def __init__(self, record, bounds=None, zone="z1"):
        self.record, self.zone = record, zone
        self.folder = tempfile.TemporaryDirectory()
        self.bounds = {"configApplyMs": 3000, **(bounds or {})}
        self.ports = free_ports(7)
        self.net = f"127.{random.randrange(20, 250)}"
        self.processes = {}
        self.store_address = (f"{self.net}.0.1", self.ports[0])

    def machine(self, number, zone=None):
        ip = f"{self.net}.1.{number}"
        names = ("datagram", "ready", "control", "outbound", "app")
        return dict({name: (ip, self.ports[1 + index]) for index, name in enumerate(names)},
                    ip=ip, zone=zone or self.zone)

    def caller_address(self, number):
        return (f"{self.net}.2.{number}", self.ports[1])

    def start(self, role, name, machine, service=None):
        deploy = os.path.join(ROOT, "deploy")
        program = {"entry": "quetzalhill", "agent": "quetzalhill-agent"}[role]
        with open(os.path.join(deploy, f"{role}.toml.template"), encoding="utf-8") as file:
            template = file.read()
        text = render(template, {
            "nodeName": name, "zone": machine["zone"], "ip": machine["ip"], "service": service,
            "app": "%s:%d" % machine["app"], "heartbeatMs": 770, "bounds": self.bounds,
            "portRange": [self.ports[6], self.ports[6] + 1],
            "platform": {"address": "%s:%d" % self.store_address},
            "listen": {"datagramAddr": "%s:%d" % machine["datagram"], "ready": "%s:%d" % machine["ready"],
                       "control": "%s:%d" % machine["control"], "outbound": "%s:%d" % machine["outbound"]}})
        path = os.path.join(self.folder.name, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder.name, f"{name}.log"), "a", encoding="utf-8")
        process = subprocess.Popen([os.path.join(ROOT, "target/release", program), "relay", path],
                                   stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.processes[name] = process
        self.record(f"{name} is started")
        return process

    def log(self, name):
        with open(os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def stop(self, name, kill=False):
        """Stops a process as the platform does: SIGTERM, and SIGKILL after the grace of 6 s."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        until = time.monotonic() + 6
        while process.poll() is None:
            if time.monotonic() > until:
                process.kill()
            await asyncio.sleep(0.01)
        self.record(f"{name} has ended after {'SIGKILL' if kill else 'SIGTERM'}")

    async def wait_ready(self, machine, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await is_ready(machine):
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"the entry on {machine['ip']} does not become ready")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder.name, os.environ["KEEP"], dirs_exist_ok=True)
        self.folder.cleanup()


async def is_ready(machine):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*machine["ready"]), 0.5)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 0.5)
        writer.close()
        return b" 200" in head
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def keep_rotation(callers, machines):
    """Keeps the entries of the router in rotation: two probes a second, out after two misses, all if none is left."""
    misses = {}
    while True:
        rotation = []
        for machine in list(machines):
            ready = await is_ready(machine)
            misses[machine["ip"]] = 0 if ready else misses.get(machine["ip"], 2) + 1
            if misses[machine["ip"]] < 2:
                rotation.append(machine["datagram"])
        callers.rotation = rotation or [machine["datagram"] for machine in machines]
        await asyncio.sleep(0.5)


async def keep_zone_rotation(callers, own, nearest):
    """The same for callers in a zone: its entries, or those of the nearest zone while none of them is in rotation."""
    misses = {}
    while True:
        for machine in own:
            ready = await is_ready(machine)
            misses[machine["ip"]] = 0 if ready else misses.get(machine["ip"], 2) + 1
        rotation = [machine["datagram"] for machine in own if misses[machine["ip"]] < 2]
        callers.rotation = rotation or [machine["datagram"] for machine in nearest]
        await asyncio.sleep(0.5)


def free_ports(count):
    while True:
        base = random.randrange(20000, 31000)
        held = []
        try:
            for port in range(base, base + count + 1):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sock.bind(("127.0.0.1", port))
                    held.append(sock)
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()


def manifest(version, routes, services, idle_ms=15000):
    listed = []
    for name, host, port, service, kind in routes:
        listed.append({"name": name, "host": host, "prefix": f"/{port}/", "routeType": kind, "timeoutMs": 3000,
                       "targetLatencyMs": 200, "priority": 1, "service": service, "maxAttempts": 2})
    return {"version": version, "routes": listed,
            "services": [{"name": service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False}
                         for service in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}}


def record_totals(record, callers, upstreams):
    """Records what was sent, run and answered."""
    runs = [run for up in upstreams for run in up.runs]
    twice = sorted({run for run in runs if runs.count(run) > 1})
    record(f"sent {len(callers.sent)}, run {len(runs)} (twice: {twice}), answered {len(callers.answered)}, "
           f"unanswered {callers.unanswered}")


def resets_of_living_flows(callers, upstreams):
    """Returns what broke FLOW (a): open flows that the system reset although a living endpoint has them open."""
    broken = []
    for port in callers.resets:
        holders = [up.name for up in upstreams if up.alive
                   and any(key[0][1] == port and flow["open"] for key, flow in up.flows.items())]
        if holders:
            broken.append(f"FLOW (a): flow {port} was reset by the system, {holders[0]} lives and holds it")
    return broken


def flows_astray(upstreams, in_touch, window_s=2.0):
    """Returns, for each open flow that a living upstream holds, a span of `window_s` in which three or more of its packets
    reached other endpoints and none its own: FLOW (b). Counts only packets that the entries `in_touch` took, and copies of
    a packet, at one endpoint or several, once."""
    found = {}
    for holder in upstreams:
        for (caller, _), flow in holder.flows.items():
            if not holder.alive or not flow["open"]:
                continue
            own = sorted(at for at, port, _ in holder.own if port == caller[1])
            other = sorted((at, packet) for up in upstreams if up is not holder
                           for at, port, entry, packet in up.foreign if port == caller[1] and entry in in_touch)
            for start, _ in other:
                astray = len({packet for at, packet in other if start <= at < start + window_s})
                near = any(start <= at < start + window_s for at in own)
                if astray >= 3 and not near and own and own[0] < start and time.monotonic() > start + window_s:
                    found[caller[1]] = (holder.name, start, astray)
                    break
    return found


def main(folder, case, limit_s=115):
    """Plays `case(record)`, which returns a list of what broke the rule, and exits with the result."""
    record = Record(folder)
    record(f"trouble is {'on' if TROUBLE else 'off'}")
    async def play():
        # Connections that are still served at the end are cancelled, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record), limit_s)

    try:
        broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"RESULT could not run: {type(error).__name__} {error}")
        sys.exit(2)
    for line in broken:
        record(f"broken: {line}")
    record(f"RESULT {'broken' if broken else 'held'}")
    sys.exit(1 if broken else 0)
