"""Stand-ins for the scripts of this review: the platform's store, endpoints, a client, and a runner of our programs.

They follow PROTOCOL.md: the store speaks HTTP/1.1 with JSON bodies, packets have a head of 34 bytes. Everything listens on
loopback addresses, one address for each instance, as on the platform. Only the standard library is used.
"""

import base64
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ENTRY = os.path.join(ROOT, "target/release/quetzalhill")
AGENT = os.path.join(ROOT, "target/release/quetzalhill-agent")
HEARTBEAT_S = 0.77
SYN, ACK, FIN, RST, BOUNCED = 64, 32, 4, 16, 128
HEAD = struct.Struct(">IIIHIHIHIB3s")


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            print(f"{time.monotonic() - self.start:8.3f}  {text}", file=self.file, flush=True)


def free_ports(count, address):
    """Returns ports that are free at a loopback address for TCP and UDP."""
    found = []
    while len(found) < count:
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            udp.bind((address, port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            tcp.close()
            udp.close()
    return found


class QuietServer(ThreadingHTTPServer):
    """Says nothing of connections that break off, as those of killed processes do."""

    allow_reuse_address = True
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: one revision counter, leases, watches, transactions.

    `late_writes` maps a key to a delay in seconds: the next write to that key gets no answer and is executed after the
    delay, if its lease is still there.
    """

    def __init__(self, address, record):
        self.record = record
        self.items = {}
        self.leases = {}
        self.events = []
        self.revision = 1
        self.next_lease = 1
        self.changed = threading.Condition()
        self.late_writes = {}
        self.lost_answers = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                store.handle(self, "GET")

            def do_POST(self):
                store.handle(self, "POST")

            def do_DELETE(self):
                store.handle(self, "DELETE")

        self.server = QuietServer(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
                    del self.leases[lease]
                    gone = [key for key, item in self.items.items() if item["lease"] == lease]
                    for key in gone:
                        self._remove(key)
                    self.record(f"store: lease {lease} has expired, which removes {gone}")

    def _remove(self, key):
        del self.items[key]
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.notify_all()

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if key in self.items:
                self._remove(key)

    def keys(self, prefix):
        with self.changed:
            return sorted(key for key in self.items if key.startswith(prefix))

    def _execute(self, call):
        with self.changed:
            leases = [put.get("lease", 0) for put in call.get("puts", [])]
            if any(lease and lease not in self.leases for lease in leases):
                return 404, {}
            for row in call.get("expectedRev", []):
                known = self.items.get(row["key"], {"revision": 0})
                if known["revision"] != row["revision"]:
                    return 412, {"items": []}
            for put in call.get("puts", []):
                self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in call.get("deletes", []):
                if key in self.items:
                    self._remove(key)
            return 200, {"revision": self.revision}

    def _execute_late(self, call, delay):
        time.sleep(delay)
        status, _ = self._execute(call)
        keys = [put["key"] for put in call.get("puts", [])]
        deletes = call.get("deletes", [])
        self.record(f"store: executes the write that had no answer: puts {keys}, deletes {deletes}: {status}")

    def _watch(self, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        deadline = time.monotonic() + int(query["waitMs"][0]) / 1000
        with self.changed:
            while True:
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                self.changed.wait(left)

    def _grant(self, call):
        with self.changed:
            ttl = max(1000, int(call["ttlMs"]))
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return lease, ttl

    def handle(self, http, method):
        parts = urllib.parse.urlsplit(http.path)
        query = urllib.parse.parse_qs(parts.query)
        body = http.rfile.read(int(http.headers.get("Content-Length") or 0))
        call = json.loads(body) if body else {}
        path = parts.path
        status, answer = 404, {}
        if path == "/-/kv-key":
            with self.changed:
                item = self.items.get(query["key"][0])
                status, answer = (200, dict(item)) if item else (404, {})
                answer["storeRevision"] = self.revision
        elif path == "/-/kv-range":
            with self.changed:
                prefix, after = query["prefix"][0], query.get("after", [""])[0]
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                items = [self.items[key] for key in keys]
                status, answer = 200, {"items": items, "hasMore": False, "storeRevision": self.revision}
        elif path == "/-/kv-watch":
            status, answer = self._watch(query)
        elif path == "/-/kv-lease":
            lease, ttl = self._grant(call)
            status, answer = 200, {"lease": lease, "ttlMs": ttl}
            self.record(f"store: grants lease {lease}")
        elif path.startswith("/-/kv-keep/"):
            with self.changed:
                lease = int(path.rsplit("/", 1)[1])
                if lease in self.leases:
                    ttl = self.leases[lease][1]
                    self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                    status, answer = 200, {"ttlMs": ttl}
        elif path.startswith("/-/kv-lease-end/"):
            with self.changed:
                lease = int(path.rsplit("/", 1)[1])
                if lease in self.leases:
                    self.leases[lease] = (0, 0)
                    status = 200
        elif path == "/-/kv-txn":
            keys = [put["key"] for put in call.get("puts", [])] + call.get("deletes", [])
            delay = next((self.late_writes.pop(key) for key in keys if key in self.late_writes), None)
            if delay is not None:
                self.record(f"store: the write to {keys} gets no answer")
                self.lost_answers += 1
                threading.Thread(target=self._execute_late, args=(call, delay), daemon=True).start()
                # The connection on which an answer is lost returns nothing further.
                time.sleep(30)
                http.close_connection = True
                return
            status, answer = self._execute(call)
            leases = [put.get("lease", 0) for put in call.get("puts", [])]
            self.record(f"store: write to {keys} under leases {leases}: {status}" if leases else f"store: removal of {keys}: {status}")
        data = json.dumps(answer).encode()
        try:
            http.send_response(status)
            http.send_header("Content-Type", "application/json")
            http.send_header("Content-Length", str(len(data)))
            http.send_header("Store-Era", "1")
            http.end_headers()
            http.wfile.write(data)
        except OSError:
            http.close_connection = True


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One packet; `sum` is a keyed sum that only clients and endpoints can compute."""

    KEY = b"known to both ends only"

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags, self.seq, self.ack, self.data = src, dst, flags, seq, ack, data
        self.echo, self.pad, self.sum = 0, b"\0\0\0", None

    def _sum(self):
        flags = self.flags & ~BOUNCED
        fields = (self.src, self.dst, flags, self.seq, self.ack, self.data)
        return zlib.crc32(self.KEY + repr(fields).encode())

    def encode(self):
        (src, sport), (dst, dport) = self.src, self.dst
        return HEAD.pack(
            self.seq, self.ack, self._sum() if self.sum is None else self.sum, sport, ip_number(dst), dport,
            ip_number(src), len(self.data), self.echo, self.flags, self.pad,
        ) + self.data

    @classmethod
    def decode(cls, data):
        if len(data) < HEAD.size:
            return None
        seq, ack, total, sport, dst, dport, src, length, echo, flags, pad = HEAD.unpack(data[: HEAD.size])
        if length != len(data) - HEAD.size:
            return None
        packet = cls((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, data[HEAD.size:])
        packet.echo, packet.pad, packet.sum = echo, pad, total
        return packet

    def is_genuine(self):
        return self.sum == self._sum()


class Endpoint:
    """An endpoint beside an agent: it holds flows, answers each request with the request's own bytes, and sends pings."""

    def __init__(self, name, service, machine, ports, record, zone="zone-a", ahead_ms=0):
        self.name, self.service, self.machine, self.zone = name, service, machine, zone
        self.ports, self.record = ports, record
        self.flows = {}
        # Packets that arrived, by flow: when, whether the endpoint holds the flow, sequence number and length.
        self.seen = {}
        self.ran = []
        self.forged = []
        self.state = "ready"
        self.sequence = 0
        # `ahead_ms`: how far the machine's time of day was ahead of the one that its agent reads later.
        self.born = int(time.time() * 1000) + ahead_ms
        self.acknowledged = []
        self.next_seq = 1_000_000 + zlib.crc32(name.encode()) % 1_000_000
        self.running = True
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((machine, ports["app"]))
        self.udp.settimeout(0.2)
        self.health = _serve_health(self)
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(target=self._ping, daemon=True).start()
        threading.Thread(target=self._retransmit, daemon=True).start()

    def _retransmit(self):
        """Sends answers again that are not acknowledged: after 200 ms, doubling up to 1.6 s, eight times at most."""
        while self.running:
            time.sleep(0.02)
            now = time.monotonic()
            for flow, known in list(self.flows.items()):
                for waiting in list(known["unacked"]):
                    if now < waiting["due"]:
                        continue
                    if waiting["tries"] >= 8:
                        known["unacked"].remove(waiting)
                        continue
                    waiting["tries"] += 1
                    waiting["due"] = now + min(0.2 * 2 ** waiting["tries"], 1.6)
                    self._send(Packet(flow[1], flow[0], ACK, waiting["seq"], known["expected"], waiting["answer"]))

    def _send(self, packet):
        try:
            self.udp.sendto(packet.encode(), (self.machine, self.ports["outbound"]))
        except OSError:
            pass

    def _receive(self):
        while self.running:
            try:
                data, _ = self.udp.recvfrom(4096)
            except (socket.timeout, ConnectionRefusedError):
                continue
            except OSError:
                return
            packet = Packet.decode(data)
            if packet is None or not packet.is_genuine() or packet.flags & BOUNCED:
                self.forged.append(data)
                self.record(f"{self.name}: gets a packet that its sender did not write so")
                continue
            self._handle(packet, data)

    def _handle(self, packet, data):
        flow = (packet.src, packet.dst)
        if packet.flags & SYN:
            if flow not in self.flows:
                self.next_seq += 1000
                self.flows[flow] = {"seq": self.next_seq, "expected": packet.seq + 1, "open": False, "answers": {}, "unacked": []}
            known = self.flows[flow]
            self._send(Packet(packet.dst, packet.src, SYN | ACK, known["seq"], known["expected"]))
            return
        known = self.flows.get(flow)
        held = known is not None and (known["open"] or packet.ack == known["seq"] + 1)
        self.seen.setdefault(flow, []).append((time.monotonic(), held, (packet.seq, len(packet.data))))
        if not held:
            bounced = Packet.decode(data)
            bounced.flags |= BOUNCED
            bounced.pad = b"\0\0\0"
            self._send(bounced)
            return
        if not known["open"]:
            known["open"] = True
            known["seq"] += 1
            self.record(f"{self.name}: flow of {packet.src} is open")
        if packet.flags & RST:
            del self.flows[flow]
            return
        known["unacked"] = [w for w in known["unacked"] if packet.ack < w["seq"] + len(w["answer"])]
        if not packet.data:
            return
        if packet.seq == known["expected"]:
            known["expected"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            request = packet.data.decode(errors="replace")
            self.ran.append(request)
            label = request.rstrip("x")
            self.record(f"{self.name}: runs {label!r}")
            answer = f"{self.name} answers {label}".encode()
            known["answers"][packet.seq] = (known["seq"], answer)
            waiting = {"seq": known["seq"], "answer": answer, "due": time.monotonic() + 0.2, "tries": 0}
            known["unacked"] = known["unacked"] + [waiting]
            known["seq"] += len(answer)
        if packet.seq in known["answers"]:
            seq, answer = known["answers"][packet.seq]
            self._send(Packet(packet.dst, packet.src, ACK, seq, known["expected"], answer))

    def _ping(self):
        while self.running:
            self.ping()
            time.sleep(HEARTBEAT_S)

    def ping(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.machine}:{self.ports['app']}", "zone": self.zone,
            "version": "v1", "maxConcurrency": 4, "state": self.state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        }
        status = post(self.machine, self.ports["control"], f"/-/Instances.Heartbeat/{self.name}", body)
        if status == 200:
            self.acknowledged.append((time.monotonic(), self.state, self.sequence))
        return status

    def deregister(self):
        """Says goodbye, as before a planned end."""
        body = {"service": self.service, "born": self.born}
        return post(self.machine, self.ports["control"], f"/-/Instances.Deregister/{self.name}", body)

    def stop(self):
        self.running = False
        self.udp.close()
        self.health.shutdown()
        self.health.server_close()


def _serve_health(endpoint):
    class Handler(BaseHTTPRequestHandler):
        def log_message(self, *args):
            pass

        def do_GET(self):
            good = endpoint.running and endpoint.state == "ready"
            self.send_response(200 if good else 503)
            self.send_header("Content-Length", "0")
            self.end_headers()

    server = QuietServer((endpoint.machine, endpoint.ports["app"]), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def post(host, port, path, body, timeout=1.0):
    """Sends a call with a JSON body and returns the status, or None if there is no answer in time."""
    try:
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
        status = connection.getresponse().status
        connection.close()
        return status
    except OSError:
        return None


def is_ready(host, port):
    try:
        connection = http.client.HTTPConnection(host, port, timeout=0.5)
        connection.request("GET", "/-/ready")
        status = connection.getresponse().status
        connection.close()
        return status == 200
    except OSError:
        return False


class Client:
    """Clients at one address. Each flow has its own port; the entry for a packet is chosen by the caller, as by a router."""

    def __init__(self, address, packets_port, route, record):
        self.address, self.port, self.route, self.record = address, packets_port, route, record
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((address, packets_port))
        self.udp.settimeout(0.2)
        self.inbox = {}
        self.lock = threading.Condition()
        self.running = True
        self.forged = []
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self):
        while self.running:
            try:
                data, _ = self.udp.recvfrom(4096)
            except (socket.timeout, ConnectionRefusedError):
                continue
            except OSError:
                return
            packet = Packet.decode(data)
            if packet is None:
                continue
            reset = packet.flags & RST and packet.sum == 0
            if not reset and not packet.is_genuine():
                self.forged.append(data)
                continue
            with self.lock:
                self.inbox.setdefault(packet.dst[1], []).append(packet)
                self.lock.notify_all()

    def _send(self, flow, packet, entry):
        self.udp.sendto(packet.encode(), (entry, self.port))

    def _await(self, port, wanted, timeout):
        deadline = time.monotonic() + timeout
        with self.lock:
            while True:
                queue = self.inbox.setdefault(port, [])
                while queue:
                    packet = queue.pop(0)
                    if wanted(packet):
                        return packet
                left = deadline - time.monotonic()
                if left <= 0:
                    return None
                self.lock.wait(left)

    def open(self, port, entry):
        """Opens a flow through `entry` and returns its state, or None."""
        flow = {"port": port, "seq": 1, "ack": 0}
        for copies, wait in enumerate((0.2, 0.4, 0.8)):
            self._send(flow, Packet((self.address, port), self.route, SYN, 0, copies), entry)
            answer = self._await(port, lambda p: p.flags & (SYN | RST), wait)
            if answer is None:
                continue
            if answer.flags & RST:
                self.record(f"client: opening {port} through {entry} is reset")
                return None
            flow["ack"] = answer.seq + 1
            self._send(flow, Packet((self.address, port), self.route, ACK, 1, flow["ack"]), entry)
            return flow
        self.record(f"client: opening {port} through {entry} has no answer")
        return None

    def acknowledge(self, flow, entry):
        self._send(flow, Packet((self.address, flow["port"]), self.route, ACK, flow["seq"], flow["ack"]), entry)

    def request(self, flow, text, entry, limit=5.0):
        """Sends one request on an open flow and returns the answer, 'reset' or None after the client's time limit."""
        data = text.encode()
        port = flow["port"]
        deadline = time.monotonic() + limit
        pause = 0.2
        while time.monotonic() < deadline:
            self._send(flow, Packet((self.address, port), self.route, ACK, flow["seq"], flow["ack"], data), entry)
            answer = self._await(port, lambda p: p.flags & RST or (p.data and p.seq == flow["ack"]), pause)
            pause = min(2 * pause, 1.6)
            if answer is None:
                continue
            if answer.flags & RST:
                near = (answer.seq - flow["ack"] + 76_800) % (1 << 32) <= 2 * 76_800
                if not near:
                    continue
                by = "the system" if answer.sum == 0 else "the endpoint"
                self.record(f"client: {text!r} on the open flow {port} through {entry}: reset by {by}")
                return f"reset by {by}"
            flow["seq"] += len(data)
            flow["ack"] += len(answer.data)
            self.acknowledge(flow, entry)
            reply = answer.data.decode()
            self.record(f"client: {text!r} on flow {port} through {entry}: answered {reply!r}")
            return reply
        self.record(f"client: {text!r} on flow {port} through {entry}: no answer in {limit} s")
        return None

    def stop(self):
        self.running = False
        self.udp.close()


class Deployment:
    """Our programs as processes, each instance at a loopback address of its own, with the settings of deploy/."""

    # What the templates of deploy/ make of the bounds of arcs-sere-grown.
    ENTRY_RELAY = (
        "apply_ms = 5000\npace = true\nevacuations = true\nevacuate_ms = 5000\nschedule = true\nreset_ended = true\n"
        "cold_overrun = 1.5\ncold_slack = 5\n"
    )
    AGENT_RELAY = "pace = true\nslow_start = true\nschedule = true\n"

    def __init__(self, record, net, zone="zone-a"):
        self.record, self.net, self.zone = record, net, zone
        names = ("packets", "ready", "control", "outbound", "app", "peer", "metrics", "store")
        self.ports = dict(zip(names, free_ports(len(names), self.ip(1))))
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.stopped = False
        self.lock = threading.Lock()
        self.store = Store((self.ip(250), self.ports["store"]), record)

    def ip(self, number):
        return f"127.{self.net}.0.{number}"

    def _settings(self, number, relay):
        ip, ports = self.ip(number), self.ports
        return (
            f'[node]\nname = "i{number}"\nzone = "{self.zone}"\nmetrics = "{ip}:{ports["metrics"]}"\n'
            f'[log]\nlevel = "info"\n'
            f'[store]\naddress = "{self.ip(250)}:{ports["store"]}"\n[relay]\n{relay}\n'
        )

    def _start(self, number, program, text):
        path = os.path.join(self.folder.name, f"{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with self.lock, open(os.path.join(self.folder.name, f"{number}.log"), "ab") as log:
            if self.stopped:
                raise RuntimeError("the deployment has been stopped")
            self.processes[number] = subprocess.Popen(
                [program, "relay", path], stdout=log, stderr=subprocess.STDOUT, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder.name},
            )

    def start_entry(self, number):
        ip, ports = self.ip(number), self.ports
        relay = (
            f'packets = "{ip}:{ports["packets"]}"\nagents = "{ip}:{ports["peer"]}"\n'
            f'ready = "{ip}:{ports["ready"]}"\n{self.ENTRY_RELAY}'
        )
        self._start(number, ENTRY, self._settings(number, relay))
        self.record(f"entry {ip} starts")

    def start_agent(self, number, service):
        ip, ports = self.ip(number), self.ports
        relay = (
            f'service = "{service}"\nupstream = "{ip}:{ports["app"]}"\noutbound = "{ip}:{ports["outbound"]}"\n'
            f'packets = "{ip}:{ports["packets"]}"\nannouncements = "{ip}:{ports["control"]}"\n'
            f'ready = "{ip}:{ports["ready"]}"\nentry_port = {ports["peer"]}\n'
            f'announce_ms = {int(HEARTBEAT_S * 1000)}\n{self.AGENT_RELAY}'
        )
        self._start(number, AGENT, self._settings(number, relay))
        self.record(f"agent {ip} of {service} starts")

    def kill(self, number, how=signal.SIGKILL):
        process = self.processes.pop(number)
        process.send_signal(how)
        process.wait()
        self.record(f"process of {self.ip(number)} ends after {how.name}")

    def wait_ready(self, number, limit=10.0):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if is_ready(self.ip(number), self.ports["ready"]):
                return
            time.sleep(0.05)
        raise RuntimeError(f"{self.ip(number)} is not ready after {limit} s")

    def wait_listed(self, count, limit=10.0):
        deadline = time.monotonic() + limit
        while len(self.store.keys("quetzalhill/endpoint/")) < count:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{count} endpoints are not listed after {limit} s")
            time.sleep(0.05)

    def endpoint_key(self, number):
        return f"quetzalhill/endpoint/{self.ip(number)}:{self.ports['packets']}"

    def write_manifest(self, version, routes, limits=None, services=()):
        body = {"version": version, "routes": routes, "services": list(services), "limits": limits or {"idleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(body).encode())
        self.record(f"operator: version {version} is acknowledged")

    def logs(self, number):
        with open(os.path.join(self.folder.name, f"{number}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        with self.lock:
            self.stopped = True
            processes = list(self.processes.values())
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self.folder.cleanup()


def route_of(name, service, address, kind="idempotent", timeout_ms=5000):
    return {
        "name": name, "host": address[0], "prefix": f"/{address[1]}/", "service": service, "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 200, "priority": 1,
    }


def main(folder, case):
    """Runs `case(record, trouble)`, which returns whether the rule was broken, and exits as the issue asks."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    # An interrupted run ends its processes too.
    for interrupt in (signal.SIGTERM, signal.SIGINT):
        signal.signal(interrupt, lambda *_: sys.exit(2))
    try:
        broken = case(record, trouble)
    except Exception as error:  # The case could not run, whatever the cause.
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
