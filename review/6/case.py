"""A part of a prompt that crashes engines stands behind the first sixteen: it is never held back."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import (BOUNDS, TROUBLE, ZONES, CannotRun, Client, Engine, List, Operator, Traffic, configuration,
                         engine_service, route, run_case)

MODEL = "daka510000"
ENGINES = 8
# All parts but the last, which is each request's own. DEADLY_AT=3 shows that a part among the first is held.
SHARED_PARTS = 20
DEADLY_AT = int(os.environ.get("DEADLY_AT", "18"))
DEADLY = "dead0001"
# An engine is back after this long, with a new id; the list shows the one that crashed for a while.
BACK_S, LISTED_S = 3.0, 1.5


class CrashingEngine(Engine):
    """Crashes when it begins to write an answer on the deadly part."""

    fleet = None

    def use_parts(self, request):
        super().use_parts(request)
        if f"{DEADLY}:" in request.header("X-Prompt-Prefix"):
            self.fleet.crash(self, request)
            raise OSError("crashed")


class Fleet:
    """The engines, which come back after they crashed."""

    def __init__(self, system, listing, record):
        self.system, self.listing, self.record = system, listing, record
        self.crashes, self.deadly_arrivals = [], []
        self.count = 0
        for i in range(ENGINES):
            self.add(ZONES[i % 3])

    def add(self, zone):
        engine = CrashingEngine(self.system.ip(50 + self.count % 150), "mech-llm", zone, self.record, {MODEL: 1})
        engine.fleet = self
        self.count += 1
        self.listing.targets.append(engine)

    def crash(self, engine, request):
        now = time.monotonic()
        self.deadly_arrivals.append((now, request.header("X-Request-Id")))
        self.crashes.append((now, engine.id))
        self.record.add(f"{engine.id} crashes under {request.header('X-Request-Id')} (crash {len(self.crashes)})")
        engine.close()
        threading.Thread(target=self.restart, args=(engine,), daemon=True).start()

    def restart(self, engine):
        time.sleep(LISTED_S)
        self.listing.targets.remove(engine)
        time.sleep(BACK_S - LISTED_S)
        self.add(engine.zone)


def case(system, record):
    listing = List(system.ip(5))
    fleet = Fleet(system, listing, record)
    system.start(listing)
    routes = [route("teardown-diagnosis", "/teardown/", "stream", "mech-llm", Sticky=True, Attempts=1, GapTargetMs=300)]
    tenants = [{"Name": "patan", "ApiKeys": ["key-of-patan"], "Priority": 1}]
    config = configuration(1, routes, [engine_service("mech-llm", [MODEL])], tenants)
    if Operator(system, record).call("PUT", "/config", config) != 200:
        raise CannotRun("the configuration was refused")
    system.wait_until_ready()
    time.sleep(3)
    fronts = system.front_addresses()

    def ask(client, is_deadly=False):
        parts = [f"5c1e{number:04x}:40" for number in range(1, SHARED_PARTS + 1)]
        if is_deadly:
            parts[DEADLY_AT - 1] = f"{DEADLY}:40"
        prefix = ",".join([*parts, f"{random.getrandbits(32):08x}:50"])
        headers = {"X-Model": MODEL, "X-Token-Count": "850,8", "X-Prompt-Prefix": prefix}
        return client.send("/teardown/x", headers, body=f"{random.random()}".encode())

    clients = [Client(fronts[i % len(fronts)], record, "key-of-patan") for i in range(9)]
    traffic = Traffic(clients, ask, 0.2)
    time.sleep(5)
    deadly = Client(fronts[0], record, "key-of-patan")
    until = time.monotonic() + 45
    while time.monotonic() < until:
        if TROUBLE:
            deadly.address = random.choice(fronts)
            deadly.close()
            ask(deadly, is_deadly=True)
        time.sleep(1.0)
    traffic.stop()
    late = []
    if len(fleet.crashes) >= 5:
        bound = fleet.crashes[4][0] + BOUNDS["ContactMs"] / 1e3
        late = [request_id for at, request_id in fleet.deadly_arrivals if at > bound]
    answers = traffic.answers()
    served = sum(status == 200 for _, _, status, _ in answers)
    record.add(f"{len(fleet.crashes)} crashes; {len(late)} requests with the part reached engines later than ContactMs "
               f"after the fifth; {served} of {len(answers)} sound requests served")
    if served < len(answers) / 2:
        raise CannotRun("less than half of the sound requests were served")
    if len(late) > 3:
        return f"BUDGET: {len(late)} requests with the part reached engines, and {len(fleet.crashes)} engines crashed"
    return None


run_case(FOLDER, case)
