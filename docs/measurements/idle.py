#!/usr/bin/env python3
"""Measures what control costs a node: processor, bytes between nodes, memory, with no requests.

Usage: idle.py [--nodes 3,8,16,32] [--seconds 15]
"""
import argparse
import json
import pathlib
import statistics
import tempfile
import time

import compare


def run(count, seconds, number):
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        try:
            emulator = json.loads(compare.call("load", "--workload", "portal", "--print-emulator"))
            config = json.loads(compare.call("load", "--workload", "portal", "--print-config"))
            (folder / "emulate.json").write_text(json.dumps(emulator))
            (folder / "key").write_text("k" * 64)
            emulate = compare.start("emulate", "--settings", folder / "emulate.json")
            processes.append(emulate[0])
            nodes = compare.start_nodes(folder, count, "portal", config, emulate[1]["platform"], number, processes)
            compare.until_ready(nodes)
            time.sleep(3)
            sent = lambda: [compare.get(f"http://{r['operators']}/v1/status")["peer_sent_bytes"] for _, r in nodes]
            before, cpu, began = sent(), [compare.cpu_seconds(p) for p, _ in nodes], time.time()
            time.sleep(seconds)
            took = time.time() - began
            after, cpu_after = sent(), [compare.cpu_seconds(p) for p, _ in nodes]
            memory = [compare.memory_mb(p) for p, _ in nodes]
            shares = sorted((b - a) / took * 100 for a, b in zip(cpu, cpu_after))
            rates = sorted((b - a) / took for a, b in zip(before, after))
            print(f"| {count} | {statistics.median(shares):.2f} | {shares[-1]:.2f} | {statistics.median(rates):.0f} | "
                  f"{rates[-1]:.0f} | {statistics.median(memory):.1f} |", flush=True)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="3,8,16,32")
    parser.add_argument("--seconds", type=float, default=15)
    options = parser.parse_args()
    print("| nodes | CPU % median | CPU % most | TCP bytes/s median | TCP bytes/s most | MiB |")
    print("|---|---|---|---|---|---|")
    for number, count in enumerate(int(n) for n in options.nodes.split(",")):
        run(count, options.seconds, 200 + number)


if __name__ == "__main__":
    main()
