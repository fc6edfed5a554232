"""A new leader restarts while it waits for the lease of the holder of orders before it, and leads again."""
import os
import re
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand_ins
from stand_ins import CantRun, Engine, run_case

MODEL, LEASE_S, LOAD_S, ENGINES = "daka51", 3.0, 0.27, 12


def leader(deployment):
    """The running replica that was the last to become the leader, by its log."""
    latest = ("", None)
    for number in range(deployment.replicas):
        became = re.findall(r"ts=(\S+) .*event=leader_changed .*here=true", deployment.log("replica", number))
        if became and deployment.processes[("replica", number)].poll() is None:
            latest = max(latest, (became[-1], number))
    return latest[1]


def wait_for(what, condition, seconds=15):
    end = time.time() + seconds
    while time.time() < end:
        found = condition()
        if found is not None and found is not False:
            return found
        time.sleep(0.02)
    raise CantRun("no " + what)


def log_replicas(deployment, record):
    for number in range(deployment.replicas):
        for line in deployment.log("replica", number).splitlines():
            if "event=orders_" in line or "event=leader_changed" in line:
                record.add("core-%d logs: %s" % (number, line))


def case(deployment, record, trouble):
    orders, lock = [], threading.Lock()

    def order(engine, handler, body):
        now = time.time()
        with lock:
            if engine.is_busy() or body["Precondition"] != engine.orders:
                status = 409
            elif engine.versions[MODEL] >= body["Version"]:
                status = 200
            else:
                status, engine.busy_until = 202, now + LOAD_S
                engine.orders += 1
                engine.versions[MODEL] = body["Version"]
            orders.append((now, engine.id, body["Holder"], body["Fence"]))
        record.add("engine %s gets an order for version %d from %s, fence %d: %d"
                   % (engine.id, body["Version"], body["Holder"], body["Fence"], status))
        handler.reply(status, b"", {})

    def respond(engine, handler, body):
        handler.reply(404, b"", {"X-Not-Run": "1"})

    for number in range(ENGINES):
        zone = deployment.ZONES[number % 3]
        deployment.engines.append(Engine(deployment.net, number, "mech-llm", zone, 48, respond, [MODEL], order))
    deployment.start()
    route = {"Name": "crossref", "Host": "shop.example", "PathPrefix": "/ask/", "Kind": "stream", "TimeoutMs": 8000,
             "SloMs": 300, "Priority": 1, "Service": "mech-llm", "Attempts": 2, "Public": True, "Sticky": True,
             "Resumable": True, "GapTargetMs": 300}
    service = {"Name": "mech-llm", "HealthPath": "/healthz", "MaxConns": 300, "Protocol": "h1", "Tls": False,
               "Engine": {"Slots": 48, "KvCapacity": 109900, "KvTokenBytes": 131072, "LinkMbps": 1100000.0,
                          "MaxInflight": 12, "Models": [{"Name": MODEL}]}}
    deployment.publish({"Version": 1, "Routes": [route], "Services": [service], "Limits": stand_ins.limits()})
    time.sleep(6)

    def name_version(version):
        answer = deployment.operator("POST", "/version-put", {"Model": MODEL, "Version": version})
        if answer is None or not 200 <= answer[0] < 300:
            raise CantRun("version %d: %s" % (version, answer))
        record.add("operator: version %d acknowledged" % version)

    first = wait_for("leader", lambda: leader(deployment))
    name_version(2)
    wait_for("orders", lambda: len({engine for _, engine, _, _ in orders}) == ENGINES)
    if trouble:
        deployment.kill("replica", first)
        second = wait_for("second leader", lambda: leader(deployment))
        record.add("core-%d leads after core-%d" % (second, first))
        deployment.start_process("replica", first, False)
        name_version(3)
        wait_for("wait for the lease", lambda: "event=orders_wait" in deployment.log("replica", second))
        for number in range(deployment.replicas):
            deployment.kill("replica", number)
        time.sleep(0.3)
        for number in range(deployment.replicas):
            deployment.start_process("replica", number, False)
    else:
        name_version(3)
    wait_for("orders for version 3", lambda: all(engine.versions[MODEL] == 3 for engine in deployment.engines), 25)
    time.sleep(0.5)
    broken = 0
    for engine in deployment.engines:
        own = sorted(entry for entry in orders if entry[1] == engine.id)
        for (before, _, holder, _), (after, _, other, _) in zip(own, own[1:]):
            if holder != other and after - before < LEASE_S:
                broken += 1
                record.add("engine %s: %s orders %.2f s after %s" % (engine.id, other, after - before, holder))
    log_replicas(deployment, record)
    record.add("turns of two holders within LeaseMs: %d (bound: 0)" % broken)
    return broken == 0


run_case(case, HERE, replicas=5, entries=0)
