"""Stand-ins for the state service, the cloud, the workers and the users of PROTOCOL-thistlefront.md, for the cases in review/.

Only the standard library is used. Every stand-in listens on 127.0.0.1 with a port that the system chooses. Each one follows the
pages; what a case makes it do beyond the ordinary is set by that case.
"""
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

# Transactions that come late: for how long, and how much later each is carried out (the pages have 2 to 12 s).
LATE_FOR_S, LATE_S = 8.0, 6.0
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start of the run."""

    def __init__(self, path):
        self.began = now()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now() - self.began:8.3f} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG: no controller outlives this process


class Server:
    """An HTTP/1.1 server, one thread a connection. `handle(method, target, body)` returns (status, object)."""

    def __init__(self, handle):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = set()
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while not self.stopped:
                line = stream.readline().decode("latin-1").split()
                if len(line) != 3:
                    return
                headers = {}
                while (header := stream.readline().decode("latin-1").strip()):
                    name, _, value = header.partition(":")
                    headers[name.lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", 0))).decode()
                status, reply = self.handle(line[0], line[1], body)
                payload = json.dumps(reply).encode()
                connection.sendall(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n".encode() + payload)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def stop(self):
        self.stopped = True
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def query(target):
    _, _, text = target.partition("?")
    return dict(part.split("=", 1) for part in text.split("&") if "=" in part)


class StateService:
    """The key-value store: /store, /txn, /holds, /follow."""

    def __init__(self, value_kb, txn_ops):
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.changed = threading.Condition()
        self.keys = {}  # path -> [value, stamp, hold]
        self.revision = 0
        self.events = []  # (stamp, event)
        self.holds = {}  # hold -> [life in seconds, ends at]
        self.last_hold = 0
        self.late_after_next = False  # the next transaction is answered, those after it come late
        self.late_until = 0.0  # transactions get no answer until then, and are carried out LATE_S after they came
        self.late = []  # (carried out at, transaction, body)
        self.server = Server(self.handle)
        self.address = self.server.address
        threading.Thread(target=self.end_holds, daemon=True).start()

    def end_holds(self):
        while not self.server.stopped:
            time.sleep(0.02)
            with self.changed:
                self.end_due_holds()
                while self.late and self.late[0][0] <= now():
                    _, transaction, body = self.late.pop(0)
                    self.transact(transaction, body)

    def end_due_holds(self):
        for hold, (_, ends_at) in list(self.holds.items()):
            if now() < ends_at:
                continue
            del self.holds[hold]
            gone = [path for path, entry in self.keys.items() if entry[2] == hold]
            if gone:
                self.revision += 1
            for path in gone:
                del self.keys[path]
                self.events.append((self.revision, {"remove": path, "stamp": self.revision}))
            self.changed.notify_all()

    def stamp(self, path):
        return self.keys[path][1] if path in self.keys else 0

    def handle(self, method, target, body):
        if target == "/txn" and now() < self.late_until:
            with self.changed:
                self.late.append((now() + LATE_S, json.loads(body), body))
            time.sleep(10)
            raise OSError("no answer")
        with self.changed:
            self.end_due_holds()
            if target.startswith("/store?"):
                return self.list(query(target))
            if target.startswith("/store/"):
                return self.get(target[len("/store/"):])
            if target.startswith("/follow"):
                return self.follow(query(target))
            if target == "/txn":
                reply = self.transact(json.loads(body), body)
                if self.late_after_next and reply[0] == 200:
                    self.late_after_next, self.late_until = False, now() + LATE_FOR_S
                return reply
            if target.startswith("/holds"):
                return self.hold(method, target, body)
        return 400, {"error": "malformed"}

    def get(self, path):
        if path not in self.keys:
            return 404, {"ledgerRev": self.revision}
        value, stamp, hold = self.keys[path]
        return 200, {"path": path, "value": value, "stamp": stamp, "hold": hold or None}

    def list(self, parameters):
        prefix, first = parameters["prefix"], parameters.get("from", "")
        page = min(int(parameters.get("page", 1000)), 1000)
        rows, size, truncated = [], 0, False
        for path in sorted(p for p in self.keys if p.startswith(prefix) and p > first):
            value, stamp, _ = self.keys[path]
            size += len(json.dumps(value)) + 100
            if len(rows) >= page or (rows and size > 512 * 1024):
                truncated = True
                break
            rows.append({"path": path, "value": value, "stamp": stamp})
        return 200, {"rows": rows, "truncated": truncated, "ledgerRev": self.revision}

    def follow(self, parameters):
        prefix, start = parameters["prefix"], int(parameters["from"])
        until = now() + int(parameters.get("blockMs", 0)) / 1000
        if self.events and len(self.events) > 10000 and start < self.events[-10000][0]:
            return 410, {"error": "too old"}

        def found():
            return [e for stamp, e in self.events if stamp > start and e.get("set", e.get("remove")).startswith(prefix)]

        while not (events := found()) and now() < until and not self.server.stopped:
            self.changed.wait(min(0.5, max(0.0, until - now())))
        return 200, {"ledgerRev": self.revision, "events": events}

    def transact(self, transaction, body):
        changes = transaction.get("apply", [])
        too_large = any("set" in c and len(json.dumps(c["value"], separators=(",", ":"))) > self.value_bytes for c in changes)
        if too_large or len(changes) > self.txn_ops or len(transaction.get("if", [])) > 4 * self.txn_ops or len(body) > 65536:
            return 400, {"error": "too large"}
        if any(c.get("hold") and c["hold"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in transaction.get("if", []) if self.stamp(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = [change["value"], self.revision, change.get("hold") or 0]
                event = {"set": change["set"], "value": change["value"], "stamp": self.revision}
            else:
                self.keys.pop(change["remove"], None)
                event = {"remove": change["remove"], "stamp": self.revision}
            self.events.append((self.revision, event))
        self.changed.notify_all()
        return 200, {"ledgerRev": self.revision}

    def hold(self, method, target, body):
        parts = target.split("/")
        if len(parts) == 2:
            self.last_hold += 1
            life = json.loads(body)["lifeMs"] / 1000
            self.holds[self.last_hold] = [life, now() + life]
            return 200, {"hold": self.last_hold}
        hold = int(parts[2])
        if hold not in self.holds:
            return 404, {"error": "no such lease"}
        self.holds[hold][1] = now() + (self.holds[hold][0] if method == "POST" else 0)
        self.end_due_holds()
        return 200, {}


class Cloud:
    """Lists and returns machines. It has no capacity: no machine is rented beyond those that are up."""

    def __init__(self, flavors, record):
        self.flavors, self.record = flavors, record
        self.workers = {}
        self.lock = threading.Lock()
        self.server = Server(self.handle)
        self.address = self.server.address

    def handle(self, method, target, body):
        if target == "/flavors":
            return 200, {"hostKinds": self.flavors}
        if target == "/rentals":
            return 503, {"error": "no capacity"}
        if target == "/rentals/release":
            names = json.loads(body)["hosts"]
            for name in names:
                with self.lock:
                    worker = self.workers.pop(name, None)
                self.record(f"cloud: {name} is released")
                if worker:
                    worker.end()
            return 200, {}
        first = query(target).get("from", "")
        with self.lock:
            hosts = [w.listed() for name, w in sorted(self.workers.items()) if name > first]
        return 200, {"hosts": hosts, "truncated": False}


class Worker:
    """A machine with its agent. Tasks of gangs with one task and of other shapes run; larger gangs are not needed by the cases."""

    def __init__(self, name, flavor, zone, controllers, jobs, times, record, ran):
        self.name, self.flavor, self.zone, self.jobs, self.times, self.record = name, flavor, zone, jobs, times, record
        self.ran = ran  # ids of the jobs with a task that had its image on some machine
        self.controllers = controllers  # label -> address
        self.lock = threading.RLock()
        self.tasks = {}  # (piece, try) -> dict
        self.images = set()
        self.tenure, self.serial, self.epoch = 1, 0, 0
        self.lease_from = now()
        self.ended = False
        self.changed = threading.Event()
        self.server = Server(self.handle)
        self.random = random.Random(name)
        threading.Thread(target=self.report_loop, daemon=True).start()
        threading.Thread(target=self.clock_loop, daemon=True).start()

    def listed(self):
        return {"uid": self.name, "address": self.server.address, "hostKind": self.flavor["sku"], "yard": self.zone, "loaners": False,
                "status": "running", "heldS": 300.0}

    def end(self):
        """The machine stops, with all that is on it."""
        with self.lock:
            if self.tasks and not self.ended:
                self.record(f"{self.name}: gone, with {', '.join(f'{k[0]} try {k[1]}' for k in self.tasks)}")
            self.ended = True
            self.tasks.clear()
        self.server.stop()

    # ---- time
    def clock_loop(self):
        while not self.ended:
            time.sleep(0.05)
            with self.lock:
                self.advance()

    def advance(self):
        if now() - self.lease_from > self.times["lease_s"]:
            if self.tasks:
                self.record(f"{self.name}: lease over, drops {len(self.tasks)} tasks")
            self.tasks.clear()
            self.tenure += 1
            self.lease_from = now()
            self.changed.set()
        for (piece, attempt), task in self.tasks.items():
            if task["status"] == "pulling" and now() >= task["ready_at"]:
                task["status"] = "running"
                self.images.add(task["job"]["bundle"])
                self.ran.add(piece.rpartition("/")[0])
                self.record(f"{self.name}: {piece} try {attempt} runs")
                self.changed.set()
            run_s = task["job"].get("runS")
            if task["status"] == "running" and run_s is not None and now() >= task["ready_at"] + run_s:
                self.exit(piece, attempt, task, "done")

    def exit(self, piece, attempt, task, cause):
        task["status"], task["cause"] = "exited", cause
        self.record(f"{self.name}: {piece} try {attempt} exits, {cause}")
        self.changed.set()

    # ---- reports
    def report(self):
        self.serial += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            described = {"piece": piece, "try": attempt, "status": task["status"]}
            if task["status"] == "exited":
                described["cause"] = task["cause"]
            pieces.append(described)
        return {"host": self.name, "address": self.server.address, "hostKind": self.flavor["sku"], "yard": self.zone, "loaners": False,
                "tenure": self.tenure, "serial": self.serial, "epoch": self.epoch, "recallS": None, "pieces": pieces}

    def report_loop(self):
        labels = sorted(self.controllers)
        label = self.random.choice(labels)
        connection, connected_to = None, None
        while not self.ended:
            with self.lock:
                self.advance()
                self.changed.clear()
                sent_at, tenure, body = now(), self.tenure, json.dumps(self.report())
            status, reply = 0, {}
            try:
                if connection is None or connected_to != label:
                    if connection:
                        connection.close()
                    host, port = self.controllers[label].split(":")
                    connection, connected_to = http.client.HTTPConnection(host, int(port), timeout=4), label
                connection.request("POST", "/v1/report", body, {"Content-Type": "application/json"})
                answer = connection.getresponse()
                status, reply = answer.status, json.loads(answer.read() or b"{}")
            except (OSError, http.client.HTTPException, ValueError):
                if connection:
                    connection.close()
                connection = None
            if status == 200:
                with self.lock:
                    token = reply.get("epoch", 0)
                    if token >= max(self.epoch, 1) and tenure == self.tenure and now() - sent_at <= 4 and not self.ended:
                        if token > self.epoch:
                            self.changed.set()
                        self.epoch = token
                        self.lease_from = max(self.lease_from, sent_at)
                        self.execute(reply.get("orders", []))
                time.sleep(max(0.0, sent_at + 0.5 - now()))
                interval = self.times["report_s"] * self.random.uniform(0.75, 1.25)
                self.changed.wait(max(0.0, sent_at + interval - now()))
                continue
            if connection:
                connection.close()
            connection = None
            steward = reply.get("steward") if status == 421 and isinstance(reply, dict) else None
            if steward in self.controllers and steward != label:
                label = steward
                continue
            label = labels[(labels.index(label) + 1) % len(labels)]
            time.sleep(1)

    # ---- commands
    def handle(self, method, target, body):
        with self.lock:
            if self.ended:
                return 503, {}
            self.advance()
            if target == "/commands":
                request = json.loads(body)
                if "epoch" not in request or "tenure" not in request:
                    return 400, {"error": "missing"}
                if request["epoch"] < self.epoch or request["tenure"] != self.tenure:
                    return 409, self.report()
                self.epoch = request["epoch"]
                self.execute(request.get("orders", []))
            return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self.run(*key)
            elif order["verb"] == "kill" and task and task["status"] != "exited":
                self.exit(*key, task, "halted")
            elif order["verb"] == "reap" and task and task["status"] == "exited":
                del self.tasks[key]
                self.changed.set()

    def run(self, piece, attempt):
        uid, _, number = piece.rpartition("/")
        job = self.jobs.get(uid)
        task = {"status": "exited", "job": job, "ready_at": 0}
        self.tasks[(piece, attempt)] = task
        self.changed.set()
        held = [t["job"] for k, t in self.tasks.items() if t["status"] != "exited"]
        if job is None or int(number) >= job["pieces"]:
            return self.exit(piece, attempt, task, "unknown")
        if any(k[0] == piece and t["status"] != "exited" for k, t in self.tasks.items()):
            return self.exit(piece, attempt, task, "busy")
        for demand, capacity in (("cores", "cores"), ("accelerators", "accelerators"), ("ramGb", "ramGb")):
            if sum(j.get(demand) or 0 for j in held) + (job.get(demand) or 0) > self.flavor[capacity] + 1e-6:
                return self.exit(piece, attempt, task, "no_room")
        pull_s = 0 if job["bundle"] in self.images else job["pullGb"] / self.flavor["fetchGbPerS"]
        task.update(status="pulling", ready_at=now() + pull_s)
        self.record(f"{self.name}: {piece} try {attempt} is commanded to run")


def call(address, method, path, body=None, timeout=5.0):
    """One request of a user on a connection of its own: (status, object), or (0, reason)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, type(error).__name__
    finally:
        connection.close()


FLAVORS = [
    {"sku": "chico", "cores": 4.0, "accelerators": 0.0, "ramGb": 16.0, "cacheGb": 50.0, "fetchGbPerS": 1.0, "price": 0.15,
     "marketPrice": 0.07, "bootS": 30.0, "yards": ["palermo", "cordoba"]},
    {"sku": "mediano", "cores": 8.0, "accelerators": 0.0, "ramGb": 64.0, "cacheGb": 80.0, "fetchGbPerS": 1.0, "price": 0.4,
     "marketPrice": 0.16, "bootS": 25.0, "yards": ["palermo", "cordoba"]},
    {"sku": "grande", "cores": 32.0, "accelerators": 0.0, "ramGb": 64.0, "cacheGb": 100.0, "fetchGbPerS": 1.0, "price": 1.12,
     "marketPrice": 0.46, "bootS": 25.0, "yards": ["palermo", "cordoba"]},
    {"sku": "tensor", "cores": 64.0, "accelerators": 8.0, "ramGb": 384.0, "cacheGb": 200.0, "fetchGbPerS": 2.0, "price": 15.45,
     "marketPrice": 6.2, "bootS": 50.0, "yards": ["palermo", "cordoba"]},
]
TIMES = {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0, "cancel_s": 40.0}
TEAMS = [("curaduria", 192.0, 424.0, 16.0, 64.0), ("escaneo", 208.0, 528.0, 24.0, 40.0), ("modelos", 208.0, 528.0, 24.0, 40.0)]
VALUE_KB, TXN_OPS = 8.0, 16


def job(uid, **fields):
    """A submission with every field that the protocol's table lists. `runS` is for the stand-in alone and is not sent."""
    out = {"uid": uid, "jobClass": "miniaturas", "owner": "escaneo", "shape": "batch", "rank": "standard", "pieces": 1, "cores": 1.0,
           "accelerators": 0.0, "ramGb": 1.8, "bundle": "img-01", "pullGb": 0.2, "hostKinds": None, "yard": None, "oneZone": False,
           "spread": False, "loaners": False, "expectedS": 3.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None, "runS": 3.0}
    out.update(fields)
    return out


class Deployment:
    """Three controllers of the deployment lienzo-archivo as real processes, with the stand-ins around them."""

    def __init__(self, record, machines):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="thistlefront-review-")
        self.jobs, self.ran = {}, set()
        self.processes = {}
        self.state = StateService(VALUE_KB, TXN_OPS)
        self.cloud = Cloud(FLAVORS, record)
        self.sites = ["palermo", "cordoba", "palermo"]
        addresses = free_addresses(6)
        self.clients = {f"host-{i}": addresses[i] for i in range(3)}
        self.peers = {f"host-{i}": addresses[3 + i] for i in range(3)}
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"].split()
        for label in self.clients:
            self.start(label)
        flavors = {f["sku"]: f for f in FLAVORS}
        for number, (sku, zone) in enumerate(machines, 1):
            name = f"m-{number:06}"
            worker = Worker(name, flavors[sku], zone, self.clients, self.jobs, TIMES, record, self.ran)
            self.cloud.workers[name] = worker

    def settings(self, label):
        number = int(label[-1])
        lines = [f'label = "{label}"', f'site = "{self.sites[number]}"', f'client_listen = "{self.clients[label]}"',
                 f'peer_listen = "{self.peers[label]}"']
        for other in self.peers:
            if other != label:
                lines += ["[[peers]]", f'label = "{other}"', f'site = "{self.sites[int(other[-1])]}"', f'addr = "{self.peers[other]}"']
        lines += ["[endpoints]", f'cloud = "{self.cloud.address}"', f'state = "{self.state.address}"', "[deployment]", "count = 3",
                  'zones = ["cordoba", "palermo"]', "skew_ms = 25.0"]
        for name, cpus, cpus_max, gpus, gpus_max in TEAMS:
            lines += ["[[deployment.teams]]", f'name = "{name}"', f"cpus = {cpus}", f"cpus_max = {cpus_max}", f"gpus = {gpus}",
                      f"gpus_max = {gpus_max}"]
        lines += ["[deployment.workers]"] + [f"{key} = {value}" for key, value in TIMES.items()]
        lines += ["[deployment.state]", "rps = 250.0", "write_rps = 100.0", f"value_kb = {VALUE_KB}", f"txn_ops = {TXN_OPS}",
                  "[deployment.cloud]", "rps = 6.0", "list_lag_s = 4.0", "[deployment.limits]", "cpu = 0.064", "memory_mb = 56.0",
                  "max_sockets = 900"]
        return "\n".join(lines) + "\n"

    def start(self, label):
        path = os.path.join(self.folder, label + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(label))
        command = [os.path.join(ROOT, self.command[0])] + self.command[1:] + [path]
        log = open(os.path.join(self.folder, label + ".log"), "ab")
        environment = dict(os.environ, LOG_LEVEL="error")
        self.processes[label] = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, env=environment,
                                                 preexec_fn=end_with_parent)
        log.close()
        self.record(f"{label}: started")

    def ask(self, label, method, path, body=None, timeout=5.0):
        shown = "" if body is None else " " + json.dumps(body)
        status, reply = call(self.clients[label], method, path, body, timeout)
        self.record(f"user -> {label}: {method} {path}{shown} -> {status or 'no answer'} {json.dumps(reply)}")
        return status, reply

    def submit(self, spec, give_up_s=60.0):
        """Submits as a user does: again after 1 s on 429, 503, 504, another status or no answer. Returns the last status."""
        sent = {key: value for key, value in spec.items() if key != "runS"}
        self.jobs.setdefault(spec["uid"], spec)
        until, status = now() + give_up_s, 0
        while now() < until:
            label = random.choice(list(self.clients))
            status, _ = self.ask(label, "POST", "/v1/jobs", sent)
            if status in (200, 201, 400, 422):
                return status
            time.sleep(1)
        return status

    def poll(self, uid, label=None):
        status, reply = self.ask(label or random.choice(list(self.clients)), "GET", f"/v1/jobs/{uid}", timeout=2.0)
        return status, reply.get("status") if isinstance(reply, dict) else None

    def wait_until_serving(self, within_s):
        """Waits until a controller answers as a leader: 404 for a job that nobody submitted."""
        until = now() + within_s
        while now() < until:
            for label in self.clients:
                if call(self.clients[label], "GET", "/v1/jobs/j-999999999", timeout=2)[0] == 404:
                    return True
            time.sleep(0.2)
        return False

    def stop(self):
        self.record("the run is over; all processes are ended")
        self.record.close()
        for worker in list(self.cloud.workers.values()):
            worker.end()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.cloud.server.stop()
        self.state.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_addresses(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    addresses = ["127.0.0.1:%d" % s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return addresses
