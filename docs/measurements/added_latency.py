#!/usr/bin/env python3
"""Measures what a node adds to the time to first token, beside asking the engine straight.

One engine that answers at once; the same request, one after the other, to the engine and to a node.

Usage: added_latency.py [--requests 2000] [--nodes 3]
"""
import argparse
import http.client
import json
import pathlib
import tempfile
import time

import compare


def first_token_ms(connection, path, body, headers):
    began = time.perf_counter()
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    response.readline()
    took = (time.perf_counter() - began) * 1e3
    response.read()
    return took


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--nodes", type=int, default=3)
    options = parser.parse_args()
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        try:
            engine = {"id": "mechanic-0", "model": "mechanic", "failure_domain": "patan",
                      "prefill_tokens_per_s": 1 << 40, "token_us": 0, "cache_tokens": 1 << 20}
            (folder / "emulate.json").write_text(json.dumps({"engines": [engine], "log": {"level": "error"}}))
            (folder / "key").write_text("k" * 64)
            config = json.loads(compare.call("load", "--workload", "gearworks", "--print-config"))
            emulate = compare.start("emulate", "--settings", folder / "emulate.json")
            processes.append(emulate[0])
            platform = emulate[1]["platform"]
            nodes = compare.start_nodes(folder, options.nodes, "gearworks", config, platform, 240, processes)
            compare.until_ready(nodes)
            engine_at = compare.get(platform + "/targets")["targets"][0]["url"].removeprefix("http://")
            body = json.dumps({"model": "mechanic", "stream": True, "max_tokens": 2,
                               "messages": [{"role": "user", "content": "w " * 500}]})
            headers = {"content-type": "application/json", "authorization": "Bearer key-of-member-0",
                       "x-weight-version": "v1", "x-cache-owner": "member-0"}
            path = "/v1/chat/completions"
            ways = {"engine": engine_at, "node": nodes[0][1]["callers"]}
            connections = {name: http.client.HTTPConnection(at) for name, at in ways.items()}
            times = {name: [] for name in ways}
            for _ in range(options.requests):
                for name, connection in connections.items():
                    times[name].append(first_token_ms(connection, path, body, headers))
            print("| way | p50 ms | p99 ms |")
            print("|---|---|---|")
            for name, values in times.items():
                values.sort()
                print(f"| {name} | {values[len(values) // 2]:.3f} | {values[len(values) * 99 // 100]:.3f} |")
        finally:
            for process in processes:
                process.kill()
                process.wait()


if __name__ == "__main__":
    main()
