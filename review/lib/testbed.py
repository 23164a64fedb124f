"""Stand-ins of the state service, the cloud, the workers and the users, and the control of controller processes.

They follow PROTOCOL-fieldfield.md. Everything listens on 127.0.0.1 at free ports. A script creates one Testbed, uses
its parts, and calls close(), which ends all controllers that it started. Whatever is sent, answered and run can be
written to record.txt with Testbed.note().
"""
import bisect
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.setrecursionlimit(20000)  # a sound service reads values of any depth that fits their size
threading.stack_size(64 * 1024 * 1024)

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_port(taken=set()):
    """A port below those of outgoing connections, which nobody else gets while a controller is away."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, handle):
        """handle(method, path, body) returns (status, object), or None to close the connection without an answer."""

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                answer = handle(self.command, self.path, body)
                if answer is None:
                    self.close_connection = True
                    return
                status, value = answer
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = serve

        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # the peer closed the connection


def call(address, method, path, body=None, timeout=5.0):
    """Returns (status, object); status 0: no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        connection.request(method, path, data, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, None
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


class NotRun(Exception):
    """The case couldn't run."""


def main(case):
    """Runs case(trouble), which returns whether the rule held, and ends with the status that run.sh promises."""
    def expired(*_):
        raise NotRun("118 seconds are over")

    signal.signal(signal.SIGALRM, expired)
    signal.signal(signal.SIGTERM, expired)
    signal.alarm(118)
    try:
        held = case(os.environ.get("TROUBLE") != "0")
    except Exception as error:
        print("the case couldn't run: %r" % error)
        os._exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)


class Rate:
    """A limit per second that allows bursts of one second's worth."""

    def __init__(self, per_s, burst_s=1.0):
        self.per_s, self.burst = per_s, per_s * burst_s
        self.tokens, self.at = self.burst, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if n > self.tokens:
            return False
        self.tokens -= n
        return True


class Store:
    """The state service. Each controller gets an address of its own, so that one alone can be refused."""

    def __init__(self, limits):
        self.limits = limits
        self.changed = threading.Condition()
        self.rows, self.events, self.epoch = {}, [], 0  # rows: key -> [data, stamp, lease]
        self.keys = []  # of rows, sorted
        self.grants, self.next_grant = {}, 1  # id -> [ttl, deadline]
        self.requests, self.writes = Rate(limits["rps"]), Rate(limits["write_rps"])
        self.outage, self.refused = False, set()
        self.delay = lambda endpoint, method, path: 0.0
        self.on_multi = None  # called with (endpoint, request, answer); for records
        self.servers = []
        threading.Thread(target=self.expire, daemon=True).start()

    def endpoint(self):
        index = len(self.servers)
        self.servers.append(Server(lambda method, path, body: self.serve(index, method, path, body)))
        return self.servers[index].address

    def value(self, key):
        with self.changed:
            return self.rows[key][0] if key in self.rows else None

    def put(self, key, data):
        """Writes a row as a controller would."""
        with self.changed:
            self.epoch += 1
            self.set_row(key, data, None)
            self.changed.notify_all()

    def set_row(self, key, data, lease):
        if key not in self.rows:
            bisect.insort(self.keys, key)
        text = json.dumps({"path": key, "data": data, "stamp": self.epoch}, separators=(",", ":"))
        self.rows[key] = [data, self.epoch, lease, text]
        self.events.append((self.epoch, key, data, True))

    def fill(self, rows):
        """Adds rows with the stamps 1, 2, 3 and so on: they were written long ago. No watch shows them."""
        with self.changed:
            for stamp, (key, data) in enumerate(rows, 1):
                text = json.dumps({"path": key, "data": data, "stamp": stamp}, separators=(",", ":"))
                self.rows[key] = [data, stamp, None, text]
            self.keys = sorted(self.rows)

    def remove_row(self, key):
        if key in self.rows:
            del self.rows[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.events.append((self.epoch, key, None, False))

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                if self.outage:  # following an outage every lease has its full time again
                    for grant in self.grants.values():
                        grant[1] = now + grant[0]
                    continue
                for grant in [g for g, (_, deadline) in self.grants.items() if now > deadline]:
                    self.end_grant(grant)

    def end_grant(self, grant):
        del self.grants[grant]
        keys = [key for key, row in self.rows.items() if row[2] == grant]
        if keys:
            self.epoch += 1
            for key in keys:
                self.remove_row(key)
            self.changed.notify_all()

    def serve(self, endpoint, method, path, body):
        pause = self.delay(endpoint, method, path)
        if pause:
            time.sleep(pause)
        if self.outage or endpoint in self.refused:
            return 503, {"error": "unavailable"}
        path, _, query = path.partition("?")
        arguments = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        with self.changed:
            if not self.requests.take(1):
                return 429, {"error": "rate"}
        try:
            value = json.loads(body) if body else {}
        except (ValueError, RecursionError):
            return 400, {"error": "malformed"}
        if path == "/multi":
            answer = self.multi(value, len(body))
            if self.on_multi:
                self.on_multi(endpoint, value, answer)
            return answer
        if path == "/changes":
            return self.watch(endpoint, int(arguments["since"]), int(arguments.get("hold_ms", 0)),
                              arguments.get("prefix", ""))
        if path == "/kv":
            return self.listing(arguments)
        if path.startswith("/kv/"):
            with self.changed:
                row = self.rows.get(path[4:])
                if not row:
                    return 404, {"epoch": self.epoch}
                return 200, {"path": path[4:], "data": row[0], "stamp": row[1], "lease": row[2]}
        if path.startswith("/grants"):
            return self.grant(method, path, value)
        return 404, {}

    def multi(self, request, size):
        changes, conditions = request.get("then") or [], request.get("if") or []
        most = self.limits["txn_ops"]
        if len(changes) > most or len(conditions) > 4 * most or size > 64 * 1024:
            return 400, {"error": "too large"}
        for change in changes:
            if "set" in change and len(json.dumps(change["data"], separators=(",", ":"))) > \
                    self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        with self.changed:
            if changes and not self.writes.take(len(changes)):
                return 429, {"error": "rate"}
            failed = [c["path"] for c in conditions
                      if (self.rows[c["path"]][1] if c["path"] in self.rows else 0) != c["stamp"]]
            if failed:
                return 409, {"failed": failed, "epoch": self.epoch}
            for change in changes:
                if change.get("lease") is not None and change["lease"] not in self.grants:
                    return 400, {"error": "no such lease"}
            if changes:
                self.epoch += 1
                for change in changes:
                    if "set" in change:
                        self.set_row(change["set"], change["data"], change.get("lease"))
                    else:
                        self.remove_row(change["remove"])
                self.changed.notify_all()
            return 200, {"epoch": self.epoch}

    def watch(self, endpoint, since, hold_ms, prefix):
        end = time.monotonic() + hold_ms / 1000
        with self.changed:
            while True:
                if self.events and since < self.events[0][0] - 1 and len(self.events) >= 10000:
                    return 410, {"epoch": self.epoch}
                found = [e for e in self.newer(since) if e[1].startswith(prefix)]
                left = end - time.monotonic()
                stopped = self.outage or endpoint in self.refused  # open watches stay open
                if (found or left <= 0) and not stopped:
                    break
                self.changed.wait(0.05 if stopped else min(left, 0.5))
            events = [{"set": key, "data": data, "stamp": stamp} if is_set else {"remove": key, "stamp": stamp}
                      for stamp, key, data, is_set in found]
            return 200, {"epoch": self.epoch, "events": events}

    def newer(self, since):
        low, high = 0, len(self.events)
        while low < high:
            middle = (low + high) // 2
            if self.events[middle][0] > since:
                high = middle
            else:
                low = middle + 1
        return self.events[low:]

    def listing(self, arguments):
        prefix, since, most = arguments.get("prefix", ""), arguments.get("since", ""), int(arguments.get("most", 1000))
        since = since.replace("%2F", "/")
        with self.changed:
            taken, size, at = [], 0, max(bisect.bisect_right(self.keys, since), bisect.bisect_left(self.keys, prefix))
            while at < len(self.keys) and self.keys[at].startswith(prefix) and len(taken) < min(most, 1000):
                key = self.keys[at]
                size += len(self.rows[key][3]) + 1
                if size > 500 * 1024:
                    break
                taken.append(self.rows[key][3])
                at += 1
            has_next = at < len(self.keys) and self.keys[at].startswith(prefix)
            end = '],"has_next":%s,"epoch":%d}' % ("true" if has_next else "false", self.epoch)
            return 200, ('{"rows":[' + ",".join(taken) + end).encode()

    def grant(self, method, path, value):
        parts = path.strip("/").split("/")
        with self.changed:
            if len(parts) == 1:
                ttl = value["ttl_ms"] / 1000
                number = self.next_grant
                self.next_grant += 1
                self.grants[number] = [ttl, time.monotonic() + ttl]
                return 200, {"lease": number}
            number = int(parts[1])
            if number not in self.grants:
                return 404, {"epoch": self.epoch}
            if method == "DELETE":
                self.end_grant(number)
            else:
                self.grants[number][1] = time.monotonic() + self.grants[number][0]
            return 200, {"lease": number}


class Task:
    def __init__(self, name, attempt, state, cause=None):
        self.name, self.attempt, self.state, self.cause = name, attempt, state, cause
        self.image_at = self.ends_at = self.flushed_at = None
        self.stored = False


class Worker:
    """The agent of one machine, with its tasks. Tasks of arrays and services only, and gangs of one task."""

    def __init__(self, bed, uid, flavour, site, spot):
        self.bed, self.uid, self.flavour, self.site, self.spot = bed, uid, flavour, site, spot
        self.lock = threading.RLock()
        self.tenure, self.seq, self.fence = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.alive, self.changed = True, False
        self.silent = False      # its network is cut
        self.master = random.randrange(len(bed.controllers))
        self.answered_at = time.monotonic()
        # Delays of the network, in seconds: of a command on its way here, and of an answer to a report.
        self.command_delay = lambda command: 0.0
        self.answer_delay = lambda report, answer: 0.0
        self.outcome = lambda task, attempt: "done"
        self.server = Server(self.serve)
        self.address = self.server.address
        threading.Thread(target=self.report_loop, daemon=True).start()
        threading.Thread(target=self.run_tasks, daemon=True).start()

    def type(self):
        return self.bed.cloud.types[self.flavour]

    def remove(self):
        with self.lock:
            self.alive = False
            for task in list(self.tasks.values()):
                self.leave(task, "gone")
            self.tasks.clear()
        threading.Thread(target=self.close, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    # ---- tasks ----

    def leave(self, task, why):
        if task.image_at and task.state != "ended":
            self.bed.left(task.name, task.attempt, self.uid, why)

    def end(self, task, cause, stored=False):
        self.leave(task, cause)
        task.state, task.cause, task.stored, self.changed = "ended", cause, stored, True

    def fits(self, spec):
        used = {"vcpus": 0, "gpus": 0, "memory_gb": 0}
        for task in self.tasks.values():
            if task.state != "ended":
                for amount in used:
                    used[amount] += self.bed.jobs[task.name.split("/")[0]][amount]
        return all(used[a] + spec[a] <= self.type()[a] + 1e-9 for a in used)

    def run(self, name, attempt):
        if (name, attempt) in self.tasks:
            return
        job = name.split("/")[0]
        spec = self.bed.jobs.get(job)
        task = self.tasks[(name, attempt)] = Task(name, attempt, "fetching")
        self.changed = True
        if not spec:
            self.end(task, "unknown")
        elif any(t.name == name and t.state != "ended" and t is not task for t in self.tasks.values()):
            self.end(task, "busy")
        else:
            del self.tasks[(name, attempt)]
            room = self.fits(spec)
            self.tasks[(name, attempt)] = task
            if not room:
                self.end(task, "no_room")
            else:
                cached = spec["image"] in self.images
                task.fetched_at = time.monotonic() + (0 if cached else spec["pull_gb"] / self.type()["fetch_gb_per_s"])
                self.advance(task)

    def advance(self, task):
        if task.state == "ended":
            return
        now = time.monotonic()
        spec = self.bed.jobs[task.name.split("/")[0]]
        if task.state == "fetching" and now >= task.fetched_at:
            self.images.add(spec["image"])
            task.state, task.image_at, self.changed = "running", now, True
            self.bed.entered(task.name, task.attempt, self.uid)
            task.result = self.outcome(task.name, task.attempt)
            if task.name in self.bed.results:
                task.result, task.ends_at = "done", now
            elif spec["shape"] == "standing" and task.result == "done":
                task.ends_at = None
            else:
                task.ends_at = now + (spec["real_runtime_s"] if task.result == "done" else 0.2)
        if task.state == "running" and task.ends_at is not None and now >= task.ends_at:
            if task.result == "done":
                self.bed.results.add(task.name)
            self.end(task, task.result)
        if task.state == "flushing" and now >= task.flushed_at:
            self.end(task, "stopped", True)

    def stop(self, name, attempt, grace):
        task = self.tasks.get((name, attempt))
        if not task or task.state == "ended":
            return
        spec = self.bed.jobs[name.split("/")[0]]
        if task.state == "running" and spec["checkpoint_s"] > 0 and grace >= spec["flush_s"]:
            task.state, task.flushed_at, self.changed = "flushing", time.monotonic() + spec["flush_s"], True
        elif task.state != "flushing" or grace <= 0:
            self.end(task, "stopped")

    def execute(self, orders, channel):
        for order in orders:
            name, attempt = order["task"], order["try"]
            self.bed.note("order", machine=self.uid, channel=channel, **order)
            if order["verb"] == "run":
                self.run(name, attempt)
            elif order["verb"] == "stop":
                self.stop(name, attempt, order.get("grace_s", 0))
            elif order["verb"] == "forget":
                task = self.tasks.get((name, attempt))
                if task and task.state == "ended":
                    del self.tasks[(name, attempt)]

    def run_tasks(self):
        while self.alive:
            time.sleep(0.02)
            with self.lock:
                if not self.alive:
                    return
                for task in list(self.tasks.values()):
                    self.advance(task)
                if time.monotonic() - self.answered_at > self.bed.workers["lease_s"]:
                    for task in list(self.tasks.values()):
                        self.leave(task, "lease")
                    self.tasks.clear()
                    self.tenure += 1
                    self.seq = 0
                    self.answered_at = time.monotonic()
                    self.changed = True

    # ---- messages ----

    def report(self):
        self.seq += 1
        tasks = []
        for task in self.tasks.values():
            item = {"task": task.name, "try": task.attempt, "state": task.state}
            if task.state == "ended":
                item["cause"] = task.cause
                if task.cause == "stopped":
                    item["stored"] = task.stored
            tasks.append(item)
        return {"host": self.uid, "address": self.address, "flavour": self.flavour, "site": self.site,
                "reclaimable": self.spot, "tenure": self.tenure, "seq": self.seq, "fence": self.fence,
                "warning_s": None, "tasks": tasks}

    def serve(self, method, path, body):
        if not self.alive or self.silent:
            time.sleep(10)
            return None
        if path == "/inspect":
            with self.lock:
                return 200, self.report()
        command = json.loads(body)
        pause = self.command_delay(command)
        if pause:
            time.sleep(pause)
        with self.lock:
            if "fence" not in command or "tenure" not in command:
                return 400, self.report()
            if command["fence"] < self.fence or command["tenure"] != self.tenure:
                return 409, self.report()
            if command["fence"] > self.fence:
                self.fence, self.changed = command["fence"], True
            self.execute(command["orders"], "command")
            for task in list(self.tasks.values()):
                self.advance(task)
            return 200, self.report()

    def report_loop(self):
        due = time.monotonic()
        while self.alive:
            with self.lock:
                self.changed = False
                report = self.report()
            sent_at = time.monotonic()
            if self.silent:
                status, answer = 0, None
                time.sleep(1)
            else:
                address = self.bed.controllers[self.master].bind
                status, answer = call(address, "POST", "/checkin", report, 4.0)
                pause = self.answer_delay(report, answer) if status == 200 else 0
                if pause:
                    time.sleep(pause)
            self.take_answer(report, sent_at, status, answer)
            interval = self.bed.workers["report_s"]
            due = sent_at + random.uniform(0.75, 1.25) * interval
            while self.alive and time.monotonic() < due:
                if self.changed and time.monotonic() - sent_at >= 0.5:
                    break
                time.sleep(0.02)

    def take_answer(self, report, sent_at, status, answer):
        with self.lock:
            if not self.alive:
                return
            if status == 200 and time.monotonic() - sent_at <= 4.0:
                fence = (answer or {}).get("fence")
                if report["tenure"] != self.tenure or fence is None or fence < self.fence:
                    return
                if fence > self.fence:
                    self.fence, self.changed = fence, True
                self.answered_at = sent_at
                self.execute(answer.get("orders") or [], "report")
                return
        names = [c.name for c in self.bed.controllers]
        other = (answer or {}).get("master") if status == 421 else None
        if other in names and names.index(other) != self.master:
            self.master = names.index(other)
        else:
            time.sleep(1)
            self.master = (self.master + 1) % len(names)


class Cloud:
    def __init__(self, bed, types, boot_s=1.0, lag_s=1.0):
        self.bed, self.types = bed, {t["sku"]: t for t in types}
        self.boot_s, self.lag_s = boot_s, lag_s
        self.lock = threading.Lock()
        self.claims, self.machines, self.next = {}, {}, 1  # uid -> [type, zone, spot, rented_at, worker, gone_at]
        self.capacity = 10 ** 9
        self.server = Server(self.serve)
        self.address = self.server.address

    def alive(self):
        with self.lock:
            return [m[4] for m in self.machines.values() if m[4] and m[5] is None]

    def serve(self, method, path, body):
        path, _, query = path.partition("?")
        if path == "/flavors":
            return 200, {"flavours": list(self.types.values())}
        if path == "/rentals" and method == "POST":
            return self.rent(json.loads(body))
        if path == "/rentals/return":
            for uid in json.loads(body)["hosts"]:
                self.give_back(uid)
            return 200, {}
        arguments = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        return self.listing(arguments.get("since", ""), int(arguments.get("most", 500)))

    def rent(self, request):
        with self.lock:
            if request["claim"] in self.claims:
                return 200, {"hosts": self.claims[request["claim"]]}
            count = sum(1 for m in self.machines.values() if m[5] is None)
            n = min(request["how_many"], 50, self.capacity - count)
            if n <= 0:
                return 503, {"error": "no capacity"}
            hosts = []
            for _ in range(n):
                uid = "i-%06d" % self.next
                self.next += 1
                self.machines[uid] = [request["flavour"], request["site"], request["reclaimable"], time.monotonic(),
                                      None, None]
                hosts.append(uid)
                threading.Timer(self.boot_s, self.boot, (uid,)).start()
            self.claims[request["claim"]] = hosts
        self.bed.note("rented", hosts=hosts)
        return 200, {"hosts": hosts}

    def boot(self, uid):
        with self.lock:
            machine = self.machines[uid]
            if machine[5] is None and not self.bed.closed:
                machine[4] = Worker(self.bed, uid, machine[0], machine[1], machine[2])
                self.bed.prepare(machine[4])

    def give_back(self, uid):
        with self.lock:
            machine = self.machines.get(uid)
            if not machine or machine[5] is not None:
                return
            machine[5] = time.monotonic()
        if machine[4]:
            machine[4].remove()
        self.bed.note("returned", host=uid)

    def listing(self, since, most):
        now = time.monotonic()
        with self.lock:
            rows = []
            for uid in sorted(self.machines):
                sku, site, spot, rented, worker, gone = self.machines[uid]
                if uid <= since or now - rented < self.lag_s or (gone is not None and now - gone > self.lag_s):
                    continue
                rows.append({"uid": uid, "address": worker.address if worker else "", "flavour": sku, "site": site,
                             "reclaimable": spot, "state": "running" if worker else "booting",
                             "age_s": now - rented - self.lag_s})
            return 200, {"hosts": rows[:most], "has_next": len(rows) > most}


class Controller:
    def __init__(self, bed, name, zone):
        self.bed, self.name, self.zone = bed, name, zone
        self.bind, self.listen = "127.0.0.1:%d" % free_port(), "127.0.0.1:%d" % free_port()
        self.process, self.exits = None, 0

    def start(self):
        path = os.path.join(self.bed.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.bed.settings(self), file, indent=1)
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"), **self.bed.environment)
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.bed.command + [path], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()
        self.bed.note("controller started", node=self.name)

    def ended(self):
        """Returns the exit status, or None if the process runs."""
        return self.process.poll() if self.process else None

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.bed.note("controller killed", node=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.bed.note("controller signalled", node=self.name, signal=signal.Signals(number).name)


TYPES = [{"sku": "menhir-g16", "vcpus": 16, "gpus": 2, "memory_gb": 64, "local_gb": 200, "fetch_gb_per_s": 1.0,
          "hourly": 6.78, "market_price": 2.23, "startup_s": 3, "sites": ["rennes-a", "brest-b", "lorient-c"]}]


class Platform:
    """Starts controllers again that have ended, and ends those that hold more memory than they may."""

    def __init__(self, bed, mem_mb, back_s):
        self.bed, self.mem_mb, self.back_s, self.over = bed, mem_mb, back_s, 0
        self.stopped = False
        for controller in bed.controllers:
            threading.Thread(target=self.keep, args=(controller,), daemon=True).start()

    def held_mb(self, controller):
        try:
            with open("/proc/%d/status" % controller.process.pid) as file:
                return [int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS")][0]
        except (OSError, IndexError):
            return 0

    def keep(self, controller):
        while not self.stopped:
            time.sleep(0.1)
            held = self.held_mb(controller)
            if controller.ended() is None and held > self.mem_mb:
                self.bed.note("controller is over its memory", node=controller.name, held_mb=round(held, 1))
                self.over += 1
                controller.kill()
            if controller.ended() is None:
                continue
            self.bed.note("controller has ended", node=controller.name, status=controller.ended())
            back = time.monotonic() + self.back_s
            while time.monotonic() < back and not self.stopped:
                time.sleep(0.1)
            if not self.stopped:
                controller.start()


class Testbed:
    def __init__(self, record, controllers=3, teams=None, workers=None, state=None, types=TYPES, boot_s=1.0,
                 zones=("rennes-a", "brest-b", "lorient-c"), machine=None):
        with open(os.path.join(ROOT, "deploy/service.toml")) as file:
            run = [line for line in file if line.startswith("run")][0]
        self.command = run.split("=", 1)[1].strip().strip('"').split()
        self.closed, self.environment, self.platform = False, {}, None
        self.folder = tempfile.mkdtemp(prefix="fieldfield-review-")
        self.record, self.record_lock, self.started = open(record, "w"), threading.Lock(), time.monotonic()
        self.zones = list(zones)
        self.machine = dict({"cores": 0.16, "mem_mb": 136.0, "sockets": 2500}, **(machine or {}))
        self.teams = teams or [{"name": "desk-quant-0%d" % i, "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0,
                                "gpus_max": 32.0} for i in range(3)]
        self.workers = dict({"report_s": 3.0, "lease_s": 34.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0,
                             "cancel_s": 64.0}, **(workers or {}))
        self.state = dict({"rps": 200.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16}, **(state or {}))
        self.store = Store(dict(self.state))
        self.world = threading.RLock()
        self.jobs, self.results, self.on = {}, set(), {}  # on: task -> {(machine, attempt)}
        self.twice = []
        self.prepare = lambda worker: None
        self.controllers = [Controller(self, "host-%d" % i, self.zones[i % 3]) for i in range(controllers)]
        for controller in self.controllers:
            controller.state = self.store.endpoint()
        self.cloud = Cloud(self, types, boot_s)

    def settings(self, controller):
        return {
            "node": controller.name, "area": controller.zone, "bind": controller.bind,
            "cluster_listen": controller.listen,
            "seeds": [{"node": c.name, "area": c.zone, "address": c.listen}
                      for c in self.controllers if c is not controller],
            "services": {"cloud": self.cloud.address, "state": controller.state},
            "settings": {"size": len(self.controllers), "zones": sorted(self.zones), "teams": self.teams,
                         "objectives": [], "workers": self.workers, "state": self.state,
                         "cloud": {"rps": 5.0, "list_lag_s": self.cloud.lag_s},
                         "machine_limits": self.machine, "clock_error_ms": 25.0}}

    def note(self, what, **values):
        with self.record_lock:
            if not self.closed:
                line = "%8.3f %s %s" % (time.monotonic() - self.started, what, json.dumps(values))
                self.record.write(line[:600] + "\n")
                self.record.flush()

    def entered(self, task, attempt, machine):
        with self.world:
            others = [m for m, _ in self.on.get(task, ()) if m != machine]
            self.on.setdefault(task, set()).add((machine, attempt))
            self.note("task starts", task=task, attempt=attempt, machine=machine)
            if others:
                self.twice.append((task, machine, others))
                self.note("RAN TWICE", task=task, starts_on=machine, is_on=others)

    def left(self, task, attempt, machine, why):
        with self.world:
            self.on.get(task, set()).discard((machine, attempt))
            self.note("task leaves", task=task, attempt=attempt, machine=machine, why=why)

    def start(self, wait_s=20):
        for controller in self.controllers:
            controller.start()
        return self.wait(lambda: all(call(c.bind, "GET", "/up", timeout=1)[0] == 200 for c in self.controllers) and
                         all(self.store.value("share/%d" % k) for k in range(len(self.controllers))) and
                         self.store.value("types"), wait_s)

    def wait(self, condition, seconds, step=0.05):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(step)
        return bool(condition())

    # ---- users ----

    def spec(self, uid, **fields):
        """A job; real_runtime_s is what the stand-in worker takes and is not sent."""
        spec = {"uid": uid, "jobclass": "scenario-sweep", "owner": self.teams[0]["name"], "shape": "batch",
                "rank": "normal", "tasks": 1, "vcpus": 6.0, "gpus": 1.0, "memory_gb": 24.0, "image": "img-1",
                "pull_gb": 0.2, "flavours": None, "site": None, "together": False, "spread": False,
                "reclaimable": False, "runtime_s": 80.0, "checkpoint_s": 0.0, "flush_s": 0.0, "due_s": None}
        real = fields.pop("real_runtime_s", 80.0)
        spec.update(fields)
        self.jobs[uid] = dict(spec, real_runtime_s=real)
        return spec

    def submit(self, spec, first=0, seconds=60, body=None):
        """Submits like a user: retries for up to 60 s, at one node after the other. Returns the last status."""
        end, n, status = time.monotonic() + seconds, first, 0
        data = body if body is not None else json.dumps(spec).encode()
        while True:
            controller = self.controllers[n % len(self.controllers)]
            status, answer = call(controller.bind, "POST", "/work", data, 5.0)
            self.note("POST /work", uid=spec["uid"], node=controller.name, status=status, answer=answer)
            if status in (200, 201, 400, 422) or time.monotonic() + 1 > end:
                return status
            n += 1
            time.sleep(1)

    def poll(self, uid, node):
        """Returns (status, state)."""
        status, answer = call(self.controllers[node].bind, "GET", "/work/" + uid, timeout=2.0)
        state = (answer or {}).get("state")
        self.note("GET /work", uid=uid, node=self.controllers[node].name, status=status, answer=answer)
        return status, state

    def cancel(self, uid, first=0, seconds=60):
        end, n = time.monotonic() + seconds, first
        while True:
            controller = self.controllers[n % len(self.controllers)]
            status, answer = call(controller.bind, "POST", "/work/%s/cancel" % uid, b"{}", 5.0)
            self.note("POST cancel", uid=uid, node=controller.name, status=status, answer=answer)
            if status == 200:
                return answer["state"]
            if time.monotonic() + 1 > end:
                return None
            n += 1
            time.sleep(1)

    def close(self):
        if self.platform:
            self.platform.stopped = True
            time.sleep(0.3)
        for controller in self.controllers:
            controller.kill()
        self.closed = True
        for worker in self.cloud.alive():
            worker.alive = False
        with self.record_lock:
            self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
