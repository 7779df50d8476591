"""Testbed of the review: stand-ins for the platform's store, for upstreams, clients and the routers, on loopback.

The stand-ins speak what PROTOCOL.md of the users' pages says. Entries and agents are the project's own release
programs, started as separate processes with the commands of deploy/system.toml and the templates of deploy/.
Only the standard library of Python 3 is used.
"""

import base64
import http.client
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
import threading
import time
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ENTRY_PROGRAM = "target/release/quetzalhill"
AGENT_PROGRAM = "target/release/quetzalhill-agent"

# Bounds and figures of the users' small deployments, in seconds.
CONTACT_S = 4.0
FLOW_S = 2.0
CONFIG_APPLY_S = 3.0
HEARTBEAT_S = 0.77

SYN, ACK, FIN, RST, BOUNCED = 64, 32, 4, 16, 128
HEAD = struct.Struct(">IIIHIHIHIB3s")
DATA_MAX = 1200
SUM_KEY = 0x5EED1E55
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6)

ROUTE_IP = "127.54.0.1"


def store_ip(machine):
    """The address at which a machine reaches the store. Each machine has its own, so that the store can tell them
    apart: entries 1 to 99, agents from 101 on."""
    return f"127.50.0.{machine}"


def entry_ip(number):
    return f"127.51.0.{number}"


def side_ip(number):
    return f"127.52.0.{number}"


def client_ip(number):
    return f"127.53.0.{number}"


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Packet:
    """A packet of a flow, as PROTOCOL.md lays it out."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0, total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.total = echo, total

    def checksum(self):
        body = struct.pack(
            ">IIIHIHIHB",
            SUM_KEY, self.seq, self.ack, self.sport, ip_number(self.dst), self.dport, ip_number(self.src),
            len(self.data), self.flags & ~BOUNCED & 0xFF,
        )
        return (zlib.crc32(body + self.data) | 1) & 0xFFFFFFFF

    def encode(self):
        total = self.checksum() if self.total is None else self.total
        return HEAD.pack(
            self.seq, self.ack, total, self.sport, ip_number(self.dst), self.dport, ip_number(self.src),
            len(self.data), self.echo, self.flags, b"\0\0\0",
        ) + self.data

    @staticmethod
    def decode(raw):
        seq, ack, total, sport, dst, dport, src, length, echo, flags, _ = HEAD.unpack_from(raw)
        packet = Packet(
            socket.inet_ntoa(struct.pack(">I", src)), sport, socket.inet_ntoa(struct.pack(">I", dst)), dport,
            flags, seq, ack, raw[HEAD.size:], echo, total,
        )
        return packet if length == len(packet.data) else None

    def is_genuine(self):
        return self.total == self.checksum()


class Ports:
    """Port numbers that are free on all addresses of the testbed; the same on every machine."""

    NAMES = ("packets", "ready", "control", "outbound", "app", "range0", "range1", "store")

    def __init__(self):
        held = []
        while len(held) < len(self.NAMES):
            sockets = self.bind_all()
            if sockets:
                held.append(sockets)
        for name, sockets in zip(self.NAMES, held):
            setattr(self, name, sockets[0].getsockname()[1])
        for sockets in held:
            for part in sockets:
                part.close()

    @staticmethod
    def bind_all():
        """Binds a port that the kernel chooses on one address of each kind, or returns None if it isn't free on all."""
        sockets, port = [], 0
        for address in ("127.0.0.1", store_ip(1), entry_ip(1), side_ip(1), client_ip(1)):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                part = socket.socket(socket.AF_INET, kind)
                sockets.append(part)
                try:
                    part.bind((address, port))
                except OSError:
                    for bound in sockets:
                        bound.close()
                    return None
                port = part.getsockname()[1]
        return sockets


class Store:
    """The platform's metadata store: items, leases, long polls.

    While `silent_for` holds the address of a machine, the store gives that machine no response. A connection on which
    a response is lost returns nothing further, but stays open; the call has been executed. `late_puts` maps the
    address of a machine to the seconds after which its next write of a key is executed, without a response."""

    def __init__(self, ports, record):
        self.record = record
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 100
        self.changed = threading.Condition()
        self.silent_for = set()
        self.late_puts = {}
        self.servers = []
        self.handler = None
        self.next_lease = 1000
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                machine = self.server.server_address[0]
                if self.path == "/-/kv-txn" and machine in store.late_puts:
                    delay = store.late_puts.pop(machine)
                    store.record.write(f"store: the write of {machine} is lost, and done in {delay} s: {store.row(body)}")
                    threading.Timer(delay, store.execute_late, (body,)).start()
                    self.close_connection = True
                    while not store.closed and self.rfile.read1(65536):
                        pass
                    return
                status, answer = store.answer(self.command, self.path, body)
                if machine in store.silent_for:
                    store.record.write(f"store: no response to {machine}: {self.command} {self.path}")
                    # Nothing more comes on this connection; it ends when the caller closes it.
                    self.close_connection = True
                    while not store.closed and self.rfile.read1(65536):
                        pass
                    return
                raw = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_POST = do_DELETE = handle_call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.closed = False
        self.ports, self.handler, self.server_class = ports, Handler, Server
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def listen(self, machine):
        """Serves a machine at its own address, and returns the address."""
        server = self.server_class((store_ip(machine), self.ports.store), self.handler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{store_ip(machine)}:{self.ports.store}"

    def expire_leases(self):
        while not self.closed:
            with self.changed:
                now = time.monotonic()
                for lease, (ends, _) in list(self.leases.items()):
                    if ends <= now:
                        self.end_lease(lease)
            time.sleep(0.02)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        self.record.write(f"store: lease {lease} ended")
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.record.write(f"store: {key} removed, revision {self.revision}")
        self.changed.notify_all()

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {
                "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": lease,
            }
            self.items[key] = item
            self.events.append(dict(item))
            self.changed.notify_all()

    @staticmethod
    def row(body):
        put = json.loads(body)["puts"][0]
        return f"{put['key']} under lease {put['lease']}"

    def execute_late(self, body):
        """Executes a write whose response was lost, if its conditions still hold."""
        if self.closed:
            return
        with self.changed:
            status, _ = self.commit(json.loads(body))
        self.record.write(f"store: late write done, status {status}: {self.row(body)}")

    def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/-/kv-watch":
            return self.watch(query)
        with self.changed:
            if path == "/-/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"storeRevision": self.revision}
                return 200, dict(item, storeRevision=self.revision)
            if path == "/-/kv-range":
                after = query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
                items = [self.items[key] for key in keys[:500]]
                return 200, {"items": items, "hasMore": len(keys) > 500, "storeRevision": self.revision}
            if path == "/-/kv-txn":
                return self.commit(json.loads(body))
            if path == "/-/kv-lease":
                ttl = json.loads(body)["ttlMs"]
                self.next_lease += 1
                self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
            lease = int(unquote(path.rsplit("/", 1)[1]))
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/-/kv-keep/"):
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttlMs": ttl}
            self.end_lease(lease)
            return 200, {"revision": self.revision}

    def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                events = [event for event in self.events if event["revision"] > after]
                found = [event for event in events if event["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if found or left <= 0 or self.closed:
                    return 200, {"events": found, "storeRevision": self.revision}
                self.changed.wait(left)

    def commit(self, call):
        for row in call.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        puts = call.get("puts", [])
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
            self.record.write(f"store: {put['key']} written under lease {put['lease']}, revision {self.revision}")
        for key in call.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def close(self):
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        for server in self.servers:
            server.shutdown()


class Upstream:
    """An endpoint: flows over UDP at `app`, health over TCP at `app`, heartbeats to the agent beside it."""

    def __init__(self, bed, number, service, zone, clock_offset_s=0.0, work_s=0.01):
        self.bed, self.number, self.service, self.zone = bed, number, service, zone
        self.ip, self.name = side_ip(number), f"i-{number:08x}"
        self.born = int((time.time() + clock_offset_s) * 1000)
        self.sequence = 0
        self.state = "ready"
        self.closed = False
        self.work_s = work_s
        self.flows = {}
        self.lock = threading.RLock()
        self.arrivals = []
        self.bounced = []
        self.pings = []
        self.ran = []
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.udp.bind((self.ip, bed.ports.app))
        self.udp.settimeout(0.1)
        upstream = self

        class Health(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                good = upstream.state == "ready"
                self.send_response(200 if good else 503)
                self.send_header("X-Instance-Id", upstream.name)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.health = ThreadingHTTPServer((self.ip, bed.ports.app), Health)
        self.health.daemon_threads = True
        for target in (self.health.serve_forever, self.receive, self.retransmit):
            threading.Thread(target=target, daemon=True).start()

    def start_pings(self):
        threading.Thread(target=self.ping_loop, daemon=True).start()

    def ping_loop(self):
        due = time.monotonic()
        while not self.closed:
            self.ping()
            due += HEARTBEAT_S
            time.sleep(max(0.0, due - time.monotonic()))

    def ping(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.ip}:{self.bed.ports.app}", "zone": self.zone, "version": "v1",
            "maxConcurrency": 4, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence, "born": self.born,
        }
        ok = False
        try:
            call = http.client.HTTPConnection(self.ip, self.bed.ports.control, timeout=1.0)
            call.request(
                "POST", f"/-/Instances.Heartbeat/{self.name}", json.dumps(body), {"Content-Type": "application/json"}
            )
            ok = 200 <= call.getresponse().status < 300
            call.close()
        except OSError:
            pass
        self.pings.append((self.bed.record.now(), self.sequence, ok))

    def send(self, packet):
        self.udp.sendto(packet.encode(), (self.ip, self.bed.ports.outbound))

    def receive(self):
        while not self.closed:
            try:
                raw, _ = self.udp.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            packet = Packet.decode(raw)
            if packet is not None:
                with self.lock:
                    self.handle(packet, raw)

    def handle(self, packet, raw):
        key = (packet.src, packet.sport, packet.dport)
        now = self.bed.record.now()
        self.arrivals.append((now, key, packet.seq, packet.flags))
        if not packet.is_genuine():
            self.bed.record.write(f"{self.name}: packet changed on the way: {key} seq {packet.seq}")
            self.bed.changed_packets += 1
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"peer": packet, "next": packet.seq + 1, "seq": random.getrandbits(32), "open": False,
                        "buffer": b"", "unacked": [], "ahead": {}}
                self.flows[key] = flow
            if not flow["open"]:
                self.send(self.packet(flow, SYN | ACK, flow["seq"], flow["next"]))
            return
        if flow is None or (not flow["open"] and (packet.ack - flow["seq"]) & 0xFFFFFFFF != 1):
            self.bounce(packet, raw, key)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] = (flow["seq"] + 1) & 0xFFFFFFFF
            self.bed.record.write(f"{self.name}: flow {key[0]}:{key[1]} open")
            self.bed.flow_opened(key, self)
        if packet.flags & RST:
            del self.flows[key]
            return
        flow["unacked"] = [sent for sent in flow["unacked"] if (sent["end"] - packet.ack) & 0xFFFFFFFF < 1 << 31
                           and sent["end"] != packet.ack]
        if not packet.data:
            return
        flow["ahead"][packet.seq] = packet.data
        while flow["next"] in flow["ahead"]:
            data = flow["ahead"].pop(flow["next"])
            flow["buffer"] += data
            flow["next"] = (flow["next"] + len(data)) & 0xFFFFFFFF
        flow["ahead"] = {seq: data for seq, data in flow["ahead"].items() if (seq - flow["next"]) & 0xFFFFFFFF < 1 << 31}
        self.send(self.packet(flow, ACK, flow["seq"], flow["next"]))
        self.take_requests(key, flow)

    def bounce(self, packet, raw, key):
        self.bounced.append((self.bed.record.now(), key, packet.seq))
        back = bytearray(raw)
        back[30] |= BOUNCED
        back[31:34] = b"\0\0\0"
        self.udp.sendto(bytes(back), (self.ip, self.bed.ports.outbound))

    def packet(self, flow, flags, seq, ack, data=b""):
        peer = flow["peer"]
        return Packet(peer.dst, peer.dport, peer.src, peer.sport, flags, seq, ack, data)

    def take_requests(self, key, flow):
        while True:
            head, mark, rest = flow["buffer"].partition(b"\r\n\r\n")
            if not mark:
                return
            length = int(re.search(rb"(?i)content-length: (\d+)", head).group(1))
            if len(rest) < length:
                return
            flow["buffer"] = rest[length:]
            request = re.search(rb"(?i)x-request-id: (\S+)", head).group(1).decode()
            self.ran.append((self.bed.record.now(), request))
            self.bed.record.write(f"{self.name}: runs {request}")
            threading.Timer(self.work_s, self.respond, (key, request)).start()

    def respond(self, key, request):
        body = f"{request} by {self.name}".encode()
        answer = (b"HTTP/1.1 200 OK\r\nX-Response-Signature: %08x\r\nContent-Length: %d\r\n\r\n"
                  % (zlib.crc32(body), len(body))) + body
        with self.lock:
            flow = self.flows.get(key)
            if flow is None or self.closed:
                return
            packet = self.packet(flow, ACK, flow["seq"], flow["next"], answer)
            flow["seq"] = (flow["seq"] + len(answer)) & 0xFFFFFFFF
            flow["unacked"].append({"packet": packet, "end": flow["seq"], "tries": 0,
                                    "due": time.monotonic() + RETRANSMIT_S[0]})
            self.send(packet)

    def retransmit(self):
        while not self.closed:
            time.sleep(0.02)
            now = time.monotonic()
            with self.lock:
                for flow in self.flows.values():
                    for sent in flow["unacked"]:
                        if sent["due"] <= now and sent["tries"] < 8:
                            sent["tries"] += 1
                            sent["due"] = now + RETRANSMIT_S[min(sent["tries"], 3)]
                            self.send(sent["packet"])

    def close(self):
        self.closed = True
        self.health.shutdown()
        self.health.server_close()
        self.udp.close()


class Flow:
    """A client's flow. It sends one request at a time, and waits between them."""

    def __init__(self, client, sport, route_port):
        self.client, self.sport, self.route_port = client, sport, route_port
        self.key = (client.ip, sport, route_port)
        self.lock = threading.RLock()
        self.seq = random.getrandbits(32)
        self.peer_next = 0
        self.is_open = False
        self.reset_at = None
        self.received = b""
        self.unacked = []
        self.changed = threading.Condition(self.lock)

    def packet(self, flags, seq, ack, data=b""):
        return Packet(self.client.ip, self.sport, ROUTE_IP, self.route_port, flags, seq, ack, data)

    def send(self, packet):
        self.client.bed.route(packet)

    def open(self):
        """Opens the flow: a SYN, copies after 200 and 600 ms, and the end after 1.4 s."""
        start = time.monotonic()
        with self.changed:
            for copies, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
                self.send(self.packet(SYN, self.seq, copies))
                while not self.is_open and self.reset_at is None and time.monotonic() < start + until:
                    self.changed.wait(start + until - time.monotonic())
                if self.is_open or self.reset_at is not None:
                    break
            return self.is_open

    def handle(self, packet):
        with self.changed:
            if packet.flags & RST:
                genuine = packet.is_genuine() and packet.total != 0
                near = not self.is_open or (packet.seq - self.peer_next + 76800) & 0xFFFFFFFF <= 153600
                if near and self.reset_at is None:
                    self.reset_at = self.client.bed.record.now()
                    self.client.bed.flow_reset(self, genuine)
                self.changed.notify_all()
                return
            if not packet.is_genuine():
                self.client.bed.record.write(f"client: packet changed on the way: {self.key} seq {packet.seq}")
                self.client.bed.changed_packets += 1
                return
            if packet.flags & SYN:
                if not self.is_open and packet.ack == (self.seq + 1) & 0xFFFFFFFF:
                    self.is_open = True
                    self.seq = (self.seq + 1) & 0xFFFFFFFF
                    self.peer_next = (packet.seq + 1) & 0xFFFFFFFF
                    self.send(self.packet(ACK, self.seq, self.peer_next))
                    self.changed.notify_all()
                return
            self.unacked = [sent for sent in self.unacked
                            if 0 < (sent["end"] - packet.ack) & 0xFFFFFFFF < 1 << 31]
            if packet.data:
                if packet.seq == self.peer_next:
                    self.received += packet.data
                    self.peer_next = (self.peer_next + len(packet.data)) & 0xFFFFFFFF
                self.send(self.packet(ACK, self.seq, self.peer_next))
            self.changed.notify_all()

    def request(self, request, body_bytes, limit_s):
        """Sends a request; returns "answered", "reset" or "no answer"."""
        head = (f"POST /edit HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request}\r\n"
                f"Content-Length: {body_bytes}\r\n\r\n").encode()
        data = head + b"x" * body_bytes
        end = time.monotonic() + limit_s
        with self.changed:
            self.received = b""
            for start in range(0, len(data), DATA_MAX):
                part = data[start:start + DATA_MAX]
                packet = self.packet(ACK, self.seq, self.peer_next, part)
                self.seq = (self.seq + len(part)) & 0xFFFFFFFF
                self.unacked.append({"packet": packet, "end": self.seq, "tries": 0,
                                     "due": time.monotonic() + RETRANSMIT_S[0]})
                self.send(packet)
            while time.monotonic() < end and self.reset_at is None:
                if f"{request} by ".encode() in self.received:
                    return "answered"
                now = time.monotonic()
                for sent in self.unacked:
                    if sent["due"] <= now:
                        sent["tries"] += 1
                        sent["due"] = now + RETRANSMIT_S[min(sent["tries"], 3)]
                        sent["packet"].ack = self.peer_next
                        sent["packet"].total = None
                        self.send(sent["packet"])
                self.changed.wait(0.02)
            return "reset" if self.reset_at is not None else "no answer"


class Client:
    """A client machine: one address, many flows."""

    def __init__(self, bed, number):
        self.bed, self.ip = bed, client_ip(number)
        self.flows = {}
        self.next_port = 40000
        self.closed = False
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.udp.bind((self.ip, bed.ports.packets))
        self.udp.settimeout(0.1)
        threading.Thread(target=self.receive, daemon=True).start()

    def flow(self, route_port):
        self.next_port += 1
        flow = Flow(self, self.next_port, route_port)
        self.flows[self.next_port] = flow
        return flow

    def receive(self):
        while not self.closed:
            try:
                raw, _ = self.udp.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.dport) if packet else None
            if flow is not None:
                flow.handle(packet)

    def close(self):
        self.closed = True
        self.udp.close()


class Machine:
    """A machine of the system with its process."""

    def __init__(self, bed, name, ip, command):
        self.bed, self.name, self.ip, self.command = bed, name, ip, command
        self.process = None
        self.started_at = None

    def start(self):
        log = open(self.bed.folder / f"{self.name}.log", "a", encoding="utf-8")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.bed.folder)},
        )
        log.close()
        self.started_at = self.bed.record.now()
        self.bed.record.write(f"{self.name}: started")

    def signal(self, number):
        self.bed.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, grace_s=6.0):
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self.bed.record.write(f"{self.name}: ended")

    def is_ready(self):
        try:
            call = http.client.HTTPConnection(self.ip, self.bed.ports.ready, timeout=0.3)
            call.request("GET", "/-/ready")
            status = call.getresponse().status
            call.close()
            return status == 200
        except OSError:
            return False


class Testbed:
    """Store, entries, agents with upstreams, clients and routers of a small deployment."""

    def __init__(self, folder, idle_timeout_ms=15000):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="quetzalhill-review-"))
        self.ports = Ports()
        self.store = Store(self.ports, self.record)
        self.entries, self.agents, self.upstreams, self.clients = {}, {}, {}, {}
        self.rotation = []
        self.holders = {}
        self.resets = []
        self.changed_packets = 0
        self.version = 7
        self.idle_timeout_ms = idle_timeout_ms
        self.routes = {}
        self.closed = False

    # Platform and operator

    def write_manifest(self, routes):
        """Writes op/config with routes {port: service}; returns the time of the ack."""
        self.version += random.randint(1, 3)
        self.routes = routes
        rows = [
            {"name": f"r{port}", "host": ROUTE_IP, "prefix": f"/{port}/", "service": service,
             "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 1}
            for port, service in routes.items()
        ]
        services = sorted(set(routes.values()))
        body = {
            "version": self.version, "routes": rows,
            "services": [{"name": name, "healthPath": "/health"} for name in services],
            "limits": {"idleTimeoutMs": self.idle_timeout_ms},
        }
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write(f"operator: version {self.version} acknowledged, routes {routes}")
        return self.record.now()

    def fill(self, template, values):
        text = (ROOT / "deploy" / template).read_text()
        text = re.sub(r"\{\{#bounds\.configApplyMs\}\}(.*?)\{\{/bounds\.configApplyMs\}\}", r"\1", text)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise RuntimeError(f"{template}: a placeholder is not filled in")
        return text

    def settings(self, name, ip, zone, template, store, service=""):
        ports = self.ports
        values = {
            "nodeName": name, "zone": zone, "ip": ip, "service": service, "app": f"{ip}:{ports.app}",
            "portRange.0": ports.range0, "portRange.1": ports.range1, "platform.address": store,
            "listen.datagramAddr": f"{ip}:{ports.packets}", "listen.ready": f"{ip}:{ports.ready}",
            "listen.control": f"{ip}:{ports.control}", "listen.outbound": f"{ip}:{ports.outbound}",
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds.configApplyMs": int(CONFIG_APPLY_S * 1000),
        }
        path = self.folder / f"{name}.toml"
        path.write_text(self.fill(template, values))
        return str(path)

    def add_entry(self, number, zone="zone-a"):
        name, ip = f"edge-{number}", entry_ip(number)
        path = self.settings(name, ip, zone, "entry.toml.template", self.store.listen(number))
        self.entries[number] = Machine(self, name, ip, [ENTRY_PROGRAM, "relay", path])
        self.entries[number].start()

    def add_agent(self, number, service, zone="zone-a"):
        name, ip = f"side-{number}", side_ip(number)
        store = self.store.listen(100 + number)
        path = self.settings(name, ip, zone, "agent.toml.template", store, service)
        self.agents[number] = Machine(self, name, ip, [AGENT_PROGRAM, "relay", path])
        self.agents[number].start()

    def add_upstream(self, number, service, zone="zone-a", **options):
        self.upstreams[number] = Upstream(self, number, service, zone, **options)
        self.upstreams[number].start_pings()

    def client(self, number=1):
        if number not in self.clients:
            self.clients[number] = Client(self, number)
        return self.clients[number]

    # Routers

    def start_routers(self, limit_s=20.0):
        """Waits until all entries are ready, then probes them twice per second."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(entry.is_ready() for entry in self.entries.values()):
                break
            time.sleep(0.1)
        else:
            return False
        self.rotation = sorted(self.entries)
        threading.Thread(target=self.probe_loop, daemon=True).start()
        return True

    def probe_loop(self):
        misses = {}
        while not self.closed:
            for number, entry in list(self.entries.items()):
                misses[number] = 0 if entry.is_ready() else misses.get(number, 0) + 1
            rotation = sorted(number for number in self.entries if misses.get(number, 0) < 2)
            # With fewer than half of the zone's nodes in rotation, all of them are used.
            if 2 * len(rotation) < len(self.entries):
                rotation = sorted(self.entries)
            if rotation != self.rotation:
                self.record.write(f"routers: rotation {rotation}")
                self.rotation = rotation
            time.sleep(0.5)

    def entry_of(self, key):
        rotation = self.rotation
        return rotation[zlib.crc32(repr(key).encode()) % len(rotation)]

    def route(self, packet):
        key = (packet.src, packet.sport, packet.dport)
        self.clients_socket().sendto(packet.encode(), (entry_ip(self.entry_of(key)), self.ports.packets))

    def clients_socket(self):
        if not hasattr(self, "router_socket"):
            self.router_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        return self.router_socket

    # What callers and upstreams saw

    def flow_opened(self, key, upstream):
        self.holders[key] = (self.record.now(), upstream)

    def flow_reset(self, flow, genuine):
        sender = "its upstream" if genuine else "the system"
        self.record.write(f"client: flow {flow.client.ip}:{flow.sport} reset by {sender}")
        self.resets.append((flow.reset_at, flow.key, genuine))

    def misrouted(self, since_s):
        """FLOW (b): open flows of which, for FLOW_S, three or more packets reached other upstreams and none its own.

        Counts distinct packets, by sequence number, that arrived after `since_s`."""
        broken = []
        for key, (opened, holder) in list(self.holders.items()):
            own = [at for at, flow, _, _ in holder.arrivals if flow == key]
            others = sorted(
                (at, seq, upstream.name) for upstream in self.upstreams.values() if upstream is not holder
                for at, flow, seq, flags in upstream.arrivals
                if flow == key and at > max(opened, since_s) and not flags & SYN
            )
            if key not in holder.flows or not others:
                continue
            start = others[0][0]
            span = [other for other in others if other[0] <= start + FLOW_S]
            if any(start <= at <= start + FLOW_S for at in own) or self.record.now() < start + FLOW_S:
                continue
            if len({seq for _, seq, _ in span}) >= 3:
                broken.append((start, key, holder.name, sorted({name for _, _, name in span})))
        return broken

    def close(self):
        self.closed = True
        for machine in [*self.entries.values(), *self.agents.values()]:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for part in [*self.clients.values(), *self.upstreams.values(), self.store]:
            part.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, **options):
    """Runs `case(bed, trouble)`; exits with 1 if it returns what was broken, 0 if nothing, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for program in (ENTRY_PROGRAM, AGENT_PROGRAM):
        if not (ROOT / program).exists():
            print(f"{program} is missing: run review/build.sh")
            sys.exit(2)
    bed = Testbed(folder, **options)
    code = 2
    try:
        broken = case(bed, trouble)
        for line in broken:
            bed.record.say(f"BROKEN: {line}")
        bed.record.say(f"RESULT: {'broken' if broken else 'held'} ({'with' if trouble else 'without'} the disruption)")
        code = 1 if broken else 0
    except Exception as error:  # The case could not run; the reason goes into the record.
        bed.record.say(f"RESULT: the case could not run: {error!r}")
    finally:
        bed.close()
    sys.stdout.flush()
    os._exit(code)
