#!/usr/bin/env python3
"""Measures routing policies side by side on emulated targets, as real processes.

For each policy, load and seed, in shuffled order: starts the stand-ins and the nodes, sends the
workload, and reads the figures. Writes JSON and prints a table in Markdown.

Usage: compare.py --workload portal --loads 80 --seeds 3 --seconds 20 --out FILE.json
       [--policies a,b] [--nodes 8] [--fault SECOND:TARGET:JSON ...]
"""
import argparse
import json
import os
import pathlib
import random
import statistics
import subprocess
import tempfile
import threading
import time
import urllib.request

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = os.environ.get("KUMQUATPOST_BINARY", TOP / "target/release/kumquatpost")
# Requests a second that cold prefill of every prompt would saturate:
# engines of the long model * 20,000 tokens/s / (0.70 * about 2,000 tokens).
CAPACITY = {"gearworks": 12 * 20_000 / 1_400, "portal": 20 * 20_000 / 1_400}
POLICIES = ["round_robin", "least_load", "prefix_sticky", "cost"]
DOMAINS = {"gearworks": ["patan", "bhaktapur", "kirtipur"], "portal": ["east", "north", "south"]}
# For whoever tunes the decision: KUMQUATPOST_LOG='{"level": "debug", "file": "reuse.log"}'.
LOG = json.loads(os.environ.get("KUMQUATPOST_LOG", "null"))
NETWORK = 200 + os.getpid() % 50


def call(*args):
    return subprocess.run([BINARY, *args], check=True, capture_output=True, text=True).stdout


def start(*args):
    process = subprocess.Popen([BINARY, *args], stdout=subprocess.PIPE, text=True)
    line = process.stdout.readline()
    assert line.startswith("ready"), line
    return process, dict(word.split("=", 1) for word in line.split()[1:])


def get(url):
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)


def post(url, value):
    body = json.dumps(value).encode()
    with urllib.request.urlopen(urllib.request.Request(url, body), timeout=5) as response:
        return response.read()


def until_ready(nodes):
    for _, ready in nodes:
        for _ in range(400):
            try:
                urllib.request.urlopen(f"http://{ready['callers']}/health/ready", timeout=1)
                break
            except OSError:
                time.sleep(0.05)
    time.sleep(1.5)


def cpu_seconds(process):
    fields = open(f"/proc/{process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def start_nodes(folder, count, shape, config, platform, number, processes):
    """Starts nodes, three of them replicas; each is added to `processes`."""
    domains = DOMAINS[shape]
    peers = [f"127.{NETWORK}.{number % 250}.{n + 1}:7000" for n in range(count)]
    listed = [{"node_id": n + 1, "peer_address": peer, "replica": n < 3, "failure_domain": domains[n % 3]}
              for n, peer in enumerate(peers)]
    nodes = []
    for n, peer in enumerate(peers):
        settings = {
            "node_id": n + 1, "region": shape, "failure_domain": domains[n % 3],
            "callers_address": "127.0.0.1:0", "operators_address": "127.0.0.1:0", "peer_address": peer,
            "key_file": str(folder / "key"), "data_folder": str(folder / f"data-{n + 1}") if n < 3 else None,
            "platform_url": platform, "nodes": listed, "first_config": config, "log": LOG or {"level": "error"},
        }
        file = folder / f"node-{n + 1}.json"
        file.write_text(json.dumps(settings))
        nodes.append(start("serve", "--settings", file))
        processes.append(nodes[-1][0])
    return nodes


def run(options, policy, load, seed, number):
    shape = options.workload
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        try:
            emulator = json.loads(call("load", "--workload", shape, "--print-emulator"))
            config = json.loads(call("load", "--workload", shape, "--print-config", "--policy", policy))
            (folder / "emulate.json").write_text(json.dumps(emulator))
            (folder / "key").write_text("k" * 64)
            emulate = start("emulate", "--settings", folder / "emulate.json")
            processes.append(emulate[0])
            platform = emulate[1]["platform"]
            nodes = start_nodes(folder, options.nodes, shape, config, platform, number, processes)
            until_ready(nodes)
            sent_before = [get(f"http://{r['operators']}/v1/status")["peer_sent_bytes"] for _, r in nodes]
            cpu_before = [cpu_seconds(p) for p, _ in nodes]
            rate = load / 100 * CAPACITY[shape]
            out = folder / "figures.json"
            args = ["load", "--workload", shape, "--rate", str(rate), "--seconds", str(options.seconds),
                    "--gap-ms", str(options.gap_ms), "--seed", str(seed), "--json", out, "--platform", emulate[1]["platform"]]
            for _, ready in nodes:
                args += ["--node", f"http://{ready['callers']}"]
            faults = [fault.split(":", 2) for fault in options.fault]
            for second, target, fault in faults:
                order = {"target": target, "fault": json.loads(fault)}
                timer = threading.Timer(float(second), post, (emulate[1]["platform"] + "/faults", order))
                timer.daemon = True
                timer.start()
            began = time.time()
            done = subprocess.run([BINARY, *args], capture_output=True, text=True)
            took = time.time() - began
            result = json.loads(out.read_text())
            result.update(policy=policy, load=load, seed=seed, safe=done.returncode == 0)
            sent = [get(f"http://{r['operators']}/v1/status")["peer_sent_bytes"] for _, r in nodes]
            result["node_sent_bytes_per_s"] = statistics.mean(b - a for a, b in zip(sent_before, sent)) / took
            cpu = [cpu_seconds(p) for p, _ in nodes]
            result["node_cpu_share"] = statistics.mean(b - a for a, b in zip(cpu_before, cpu)) / took
            result["node_memory_mb"] = statistics.mean(memory_mb(p) for p, _ in nodes)
            return result
        finally:
            for process in processes:
                process.kill()
                process.wait()


def cell(results, read):
    values = [read(result) for result in results]
    return f"{statistics.median(values):.1f} ({min(values):.1f}–{max(values):.1f})"


def table(results, policies, loads):
    print("| load % | policy | TTFT p50 ms | TTFT p95 ms | TTFT p99 ms | recomputed % | link MiB/s | answered % | "
          "wrong, lost, doubled | node CPU % |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    for load in loads:
        for policy in policies:
            some = [r for r in results if r["policy"] == policy and r["load"] == load]
            if not some:
                continue
            figures = lambda r: r["figures"]
            ttft = lambda p: (lambda r: figures(r)["first_token"].get("prompts", {}).get(p, 0.0))
            bad = sum(figures(r)[k] for r in some for k in ("wrong", "lost", "doubled", "false_not_run"))
            link = lambda r: (figures(r)["import_bytes"] + figures(r)["export_bytes"]) / 2**20 / r["seconds"]
            print(f"| {load} | {policy} | {cell(some, ttft('p50_ms'))} | {cell(some, ttft('p95_ms'))} | "
                  f"{cell(some, ttft('p99_ms'))} | {cell(some, lambda r: figures(r)['recomputed_share'] * 100)} | "
                  f"{cell(some, link)} | {cell(some, lambda r: 100 * figures(r)['answered'] / figures(r)['sent'])} | "
                  f"{bad} | {cell(some, lambda r: r['node_cpu_share'] * 100)} |")
        bound = [r for r in results if r["load"] == load]
        if bound:
            print(f"| {load} | bound |  | {cell(bound, lambda r: r['bound_first_token_p95_ms'])} |  | "
                  f"{cell(bound, lambda r: r['bound_recomputed_share'] * 100)} |  |  |  |  |")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--workload", default="gearworks")
    parser.add_argument("--loads", default="80")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gap-ms", type=int, default=4000)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--fault", action="append", default=[])
    parser.add_argument("--out", required=True)
    options = parser.parse_args()
    policies, loads = options.policies.split(","), [int(load) for load in options.loads.split(",")]
    plan = [(p, l, s) for p in policies for l in loads for s in range(1, options.seeds + 1)]
    random.Random(2026).shuffle(plan)
    results = []
    for number, (policy, load, seed) in enumerate(plan):
        results.append(run(options, policy, load, seed, number))
        pathlib.Path(options.out).write_text(json.dumps(results, indent=1) + "\n")
    table(results, policies, loads)


if __name__ == "__main__":
    main()
