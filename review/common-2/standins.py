"""Stand-ins for the store, the backends and the clients, and the start of entry processes, on loopback and the real clock.

They follow the users' pages: PROTOCOL.md (requests, answers, backends, service discovery, the platform's metadata store,
the operator's API) and DEPLOY.md (settings of a process). Only the standard library is used.
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
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ENTRY = "target/platform/trefoilstile-entry"
HOST = "shop.example"
DRAIN_S = 2.0  # bounds.drain of thanthri-benches
HEARTBEAT_S = 1.5
LIMIT_S = 100  # a case may run for 120 s


class CannotRun(Exception):
    """The case could not be played; nothing is known about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """First line and fields of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """Rows in tables, a feed of changes, and transactions under a condition."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> row
        self.version = 1
        self.changes = []  # rows in order, with their version
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value, part=""):
        self.apply([(table, part, key, value if isinstance(value, bytes) else json.dumps(value).encode())])

    def drop(self, table, key, part=""):
        self.apply([(table, part, key, None)])

    def apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            row = {"table_name": table, "part": part, "key": key, "object_version": self.version}
            if value is None:
                self.rows.pop((table, part, key), None)
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
                self.rows[(table, part, key)] = row
            self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                status, answer = await self.handle(line.split(" ")[0], line.split(" ")[1], body)
                data = json.dumps(answer).encode()
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def answer(self, rows, **more):
        return {"rows": rows, "object_version": self.version, "now": f"{int(self.record.now() * 1000)}ms", **more}

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/rows-get":
            table, part = asked["table_name"], asked.get("part", "")
            rows = [row for (t, p, k), row in sorted(self.rows.items()) if t == table and p == part and k >= asked.get("from", "")]
            limit = min(500, int(asked.get("limit", "500")))
            return 200, self.answer(rows[:limit], has_more=len(rows) > limit)
        if path == "/rows-feed":
            after, until = int(asked["after"]), time.monotonic() + int(asked.get("wait_ms", "0")) / 1000
            while True:
                rows = [row for row in self.changes if row["table_name"] == asked["table_name"] and row["object_version"] > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.answer(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx" and method == "POST":
            entries = json.loads(body)
            stale = []
            for row in entries.get("precondition", []):
                known = self.rows.get((row["table_name"], row["part"], row["key"]))
                if (known["object_version"] if known else 0) != row["object_version"]:
                    stale.append(known or {**row, "object_version": 0})
            if stale:
                return 412, self.answer(stale)
            changes = [(row["table_name"], row["part"], row["key"], base64.b64decode(row["value"])) for row in entries.get("puts", [])]
            changes += [(row["table_name"], row["part"], row["key"], None) for row in entries.get("drop", [])]
            if any(table in ("op", "servers") for table, _, _, _ in changes):
                return 403, {}
            self.apply(changes)
            return 200, {"object_version": self.version, "now": "0ms"}
        return 404, {}


class Backend:
    """A sound backend: slots, a bounded queue, its id checked, its entry in the store."""

    def __init__(self, record, store, ident, service, zone, work_s=0.02, slots=9, queue=27):
        self.record, self.store, self.ident, self.service, self.zone = record, store, ident, service, zone
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt id)
        self.tasks = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        self.beat = asyncio.create_task(self.heartbeats())

    async def heartbeats(self):
        """The entry changes in the store when more than `sequence` changes, and when another writer has written over it."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            row = self.store.rows.get(("servers", "", self.ident))
            if row is None:
                continue
            try:
                known = json.loads(base64.b64decode(row["value"]))
            except ValueError:
                known = None
            if not isinstance(known, dict) or {**known, "sequence": 0} != {**self.entry(), "sequence": 0}:
                self.record.write(f"backend {self.ident} writes its entry again")
                self.register()

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "warmup_left": "0ms", "sequence": self.sequence, "born": self.born}

    def register(self):
        """Writes the entry under the id, in the empty part."""
        self.store.put("servers", self.ident, self.entry())

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, fields)
                if target == "/health":
                    writer.write(message("HTTP/1.1 200 OK", [("X-Instance-Id", self.ident), ("X-Backend-Load", self.load())]))
                    continue
                await self.answer(reader, writer, method, target, fields, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, reader, writer, method, target, fields, body):
        attempt = fields.get("x-request-attempt-id")
        if attempt is None:
            writer.write(message("HTTP/1.1 400 Bad Request", [("X-Not-Executed", "1")]))
            return
        echo = [("X-Request-Attempt-Id", attempt)]
        expected = fields.get("x-expect-instance")
        if expected is not None and expected != self.ident:
            self.record.write(f"backend {self.ident} 421 {attempt} expected {expected}")
            writer.write(message("HTTP/1.1 421 Misdirected Request", echo + [("X-Instance-Id", self.ident)]))
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.write(f"backend {self.ident} full {attempt}")
            writer.write(message("HTTP/1.1 503 Service Unavailable", echo + [("X-Not-Executed", "1"), ("X-Backend-Load", self.load())]))
            return
        self.record.write(f"backend {self.ident} arrived {attempt} {method} {target} deadline {fields.get('x-deadline-ms')}")
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        self.runs.append((self.record.now(), attempt))
        self.record.write(f"backend {self.ident} runs {attempt} of {self.service}")
        gone = False
        try:
            gone = await self.work(reader)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()
        if gone:
            self.record.write(f"backend {self.ident} dropped {attempt}")
            raise ConnectionResetError
        self.record.write(f"backend {self.ident} ran {attempt}")
        data = f"body of {attempt} by {self.service}".encode()
        writer.write(message("HTTP/1.1 200 OK", echo + [("X-Server-Seal", f"seal-{attempt}"), ("X-Backend-Load", self.load())], data))

    async def work(self, reader):
        """True if the connection was closed meanwhile: the request is dropped then."""
        until = time.monotonic() + self.work_s
        while time.monotonic() < until:
            if reader.at_eof():
                return True
            await asyncio.sleep(min(0.02, max(0.0, until - time.monotonic())))
        return False


class Case:
    """One play: entry processes, a store, backends; everything is ended with it."""

    def __init__(self, folder, zones, entries, grace_s=6.0, drain_s=DRAIN_S, seed=None):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.random = random.Random(seed)
        self.zones = zones  # zone -> region
        self.grace_s, self.drain_s = grace_s, drain_s
        self.net = f"127.{self.random.randrange(20, 250)}.{self.random.randrange(1, 250)}"
        self.hosts = 1
        self.temporary = tempfile.mkdtemp(prefix="trefoilstile-review-")
        self.processes = {}
        self.settings = {}
        self.version = 0
        self.store = Store(self.record)
        self.backends = []
        self.wanted = entries  # list of zones
        self.numbers = 0
        self.ports = self.free_ports(5)

    def free_ports(self, count):
        """Ports that are free now; the same ones serve all machines."""
        sockets = [socket.create_server((f"{self.net}.1", 0)) for _ in range(count)]
        ports = [made.getsockname()[1] for made in sockets]
        for made in sockets:
            made.close()
        return ports

    def ip(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    async def begin(self):
        if not os.access(os.path.join(ROOT, ENTRY), os.X_OK):
            raise CannotRun(f"{ENTRY} is not built")
        await self.store.start(self.ip())

    async def backend(self, ident, service, zone, kind=Backend, register=True, **options):
        made = kind(self.record, self.store, ident, service, zone, **options)
        await made.start(self.ip())
        self.backends.append(made)
        if register:
            made.register()
        return made

    def route(self, name, service, kind="safe", timeout="1500ms", attempts=2, **more):
        spec = {"host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout": timeout, "target_latency": "300ms", "priority": 1,
                "service": service, "max_attempts": attempts, "sticky_sessions": False, "allowed_regions": [], **more}
        return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}

    def service(self, name):
        return {"resource_kind": "services", "metadata": {"name": name},
                "spec": {"health_path": "/health", "max_conns": 390, "protocol": "h1", "tls": False, "warmup": "3s", "warmup_per_s": 21.0}}

    def limits(self, **more):
        return {"resource_kind": "limits", "metadata": {}, "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout": "3000ms", "idle_timeout": "15000ms", **more}}

    def configure(self, resources):
        self.version += 3
        self.store.put("op", "config", {"version": self.version, "resources": resources})
        self.record.write(f"configuration {self.version}: acknowledged")

    def fields(self, name, zone, ip):
        front, readiness, control, directory, peers = self.ports
        return {
            "node_name": name, "zone": zone, "region": self.zones[zone], "ip": ip, "zones": self.zones,
            "listen": {"front": f"{ip}:{front}", "readiness": f"{ip}:{readiness}", "control": f"{ip}:{control}", "directory": f"{ip}:{directory}"},
            "port_range": [peers, peers], "provider": {"address": self.store.address},
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": {"grace": f"{int(self.grace_s * 1000)}ms", "retry_budget_ratio": 0.2, "budget_window": "10s", "budget_slack": 64,
                       "drain": f"{int(self.drain_s * 1000)}ms", "max_shift": 0.15},
            "bootstrap": "true",
        }

    def render(self, text, fields):
        def value(name, scope):
            for part in name.split("."):
                if isinstance(scope, dict):
                    scope = scope.get(part)
                elif isinstance(scope, list):
                    scope = scope[int(part)]
                if scope is None:
                    return None
            return scope

        def section(match):
            inner = value(match.group(1), fields)
            if inner is None:
                return ""
            if isinstance(inner, dict):
                parts = []
                for number, (key, item) in enumerate(inner.items()):
                    piece = match.group(2).replace("{{@}}", key).replace("{{.}}", str(item))
                    parts.append(piece.replace("{{,}}", "" if number + 1 == len(inner) else ","))
                return "".join(parts)
            return match.group(2)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1), fields)), text)

    async def start_entries(self, limits=None):
        """Starts all entry processes; `limits` holds machine limits by zone that differ from the usual ones."""
        for number, zone in enumerate(self.wanted):
            name = f"front-{zone}-{number + 1}"
            self.settings[name] = self.fields(name, zone, self.ip())
            self.settings[name]["limits"].update((limits or {}).get(zone, {}))
            self.start_entry(name)
        await self.until(lambda: all(self.ready(name) for name in self.settings), 15, "the entry processes are ready")
        await asyncio.sleep(2.5)  # they know each other then

    def start_entry(self, name):
        with open(os.path.join(ROOT, "deploy/entry.conf.template"), encoding="utf-8") as file:
            text = self.render(file.read(), self.settings[name])
        path = os.path.join(self.temporary, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.temporary, f"{name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "TREFOILSTILE_CONFIG": path}
        self.processes[name] = subprocess.Popen([os.path.join(ROOT, ENTRY)], cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True)
        self.record.write(f"{name} started")

    async def stop_and_start(self, name):
        """A planned stop as the platform does it: SIGTERM, SIGKILL after the grace, and a start after a short delay."""
        self.signal(name, signal.SIGTERM)
        end = time.monotonic() + self.grace_s
        while self.processes[name].poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if self.processes[name].poll() is None:
            self.signal(name, signal.SIGKILL)
            self.processes[name].wait()
        self.record.write(f"{name} has ended")
        await asyncio.sleep(0.3)
        self.start_entry(name)

    def signal(self, name, number):
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def address(self, name, what="front"):
        ip, port = self.settings[name]["listen"][what].split(":")
        return ip, int(port)

    def ready(self, name):
        try:
            with socket.create_connection(self.address(name, "readiness"), 0.5) as link:
                link.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in link.recv(200)
        except OSError:
            return False

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not reached: {what}")
            await asyncio.sleep(0.1)

    def attempt(self):
        self.numbers += 1
        return f"{self.random.getrandbits(40):010x}{self.numbers:06x}"

    def head(self, method, target, attempt, deadline_ms, fields=(), body=b""):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Request-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def request(self, name, target, method="GET", deadline_ms=1500, fields=(), body=b""):
        """One request on a connection of its own: (attempt id, status or None, fields, body)."""
        attempt = self.attempt()
        self.record.write(f"client sends {attempt} {method} {target} to {name}")
        status, answer, data = None, {}, b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address(name)), 1.0)
            writer.write(self.head(method, target, attempt, deadline_ms, fields, body))
            head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
            if head is not None:
                status, answer = int(head[0].split(" ")[1]), head[1]
                data = await asyncio.wait_for(read_body(reader, answer), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"client gets {attempt} {status} {data[:60]!r}")
        return attempt, status, answer, data

    def end(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def play(make, steps, folder):
    """Plays the steps of the case that `make` returns; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def run():
        case = None
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            case = make(folder)
            await case.begin()
            verdict = await asyncio.wait_for(steps(case), LIMIT_S)
            case.record.write(verdict or "the rule held")
            print(verdict or "the rule held")
            return 1 if verdict else 0
        except (Exception, asyncio.CancelledError) as error:  # a fault of the case shows nothing about the rule
            print(f"could not run: {error!r}")
            if case is not None:
                case.record.write(f"could not run: {error!r}")
            return 2
        finally:
            if case is not None:
                case.end()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
