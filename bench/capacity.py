#!/usr/bin/env python3
"""Measures how resource use grows with load and size, for the extrapolation in docs/CAPACITY.md.

usage: bench/capacity.py   (after a build; takes about four minutes)

For each size it starts a deployment on loopback, reads the metrics of each host twice and takes the
difference. Fits a line over the sizes by least squares and prints the points and the fit.
"""
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "process"))
import process_test as process  # noqa: E402

MEASURE_SECONDS = 10


def read_metrics(number):
    text = process.request(process.PORT_BASE + 300 + number, "GET", "/metrics")[1]
    return {name: float(value) for name, value in re.findall(r"^(\w+) (\S+)$", text, re.M)}


def fit_line(points):
    """Returns the slope and intercept of the least-squares line, and the largest residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


def print_fit(title, unit, points):
    slope, intercept, residual = fit_line(points)
    sizes = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{title}: {sizes} {unit}")
    print(f"    fit: {intercept:.4g} + {slope:.4g} each, largest residual {residual:.2g}")


def idle_rates(deployment):
    """Returns each counter's mean rate per host, and the largest resident size, without load."""
    time.sleep(5)
    before = [read_metrics(n) for n in range(1, deployment.hosts + 1)]
    time.sleep(MEASURE_SECONDS)
    after = [read_metrics(n) for n in range(1, deployment.hosts + 1)]
    result = {}
    for name in ("bronzeplank_cpu_seconds", "bronzeplank_peer_bytes_sent",
                 "bronzeplank_platform_calls"):
        result[name] = sum(b[name] - a[name] for a, b in zip(before, after)) / (
            MEASURE_SECONDS * deployment.hosts)
    result["resident"] = max(item["bronzeplank_resident_bytes"] for item in after)
    return result


def measure_by_hosts():
    rows = []
    for hosts in (2, 4, 6, 8):
        with process.Deployment(hosts=hosts) as deployment:
            rows.append((hosts, idle_rates(deployment)))
    print_fit("idle processor time by number of hosts", "% of a core",
              [(n, 100 * r["bronzeplank_cpu_seconds"]) for n, r in rows])
    print_fit("bytes sent to peers by number of hosts", "bytes/s",
              [(n, r["bronzeplank_peer_bytes_sent"]) for n, r in rows])
    print_fit("platform calls per host by number of hosts", "calls/s",
              [(n, r["bronzeplank_platform_calls"]) for n, r in rows])
    print_fit("resident memory by number of hosts", "MB",
              [(n, r["resident"] / 1e6) for n, r in rows])


def limit_groups(deployment, count):
    """Applies a configuration with only the first `count` groups."""
    path = os.path.join(deployment.dir, "questionnaire.jsonc")
    generated = subprocess.run([process.PROGRAM, "generate", path], check=True,
                               capture_output=True, text=True).stdout
    reduced = json.loads(generated)
    reduced["groups"] = reduced["groups"][:count]
    names = [group["name"] for group in reduced["groups"]]
    for workspace in reduced["workspaces"]:
        workspace["groups"] = names
    reduced["version"] = 1
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(reduced, file)
        file.flush()
        subprocess.run([process.PROGRAM, "apply", "--platform", f"127.0.0.1:{process.PORT_BASE}",
                        file.name], check=True)


def measure_by_groups():
    rows = []
    for groups in (1, 2, 3):
        with process.Deployment(hosts=3) as deployment:
            limit_groups(deployment, groups)
            rows.append((groups, idle_rates(deployment)))
    print_fit("idle processor time by number of groups of three", "% of a core",
              [(n, 100 * r["bronzeplank_cpu_seconds"]) for n, r in rows])
    print_fit("resident memory by number of groups of three", "MB",
              [(n, r["resident"] / 1e6) for n, r in rows])


def measure_by_connections():
    rows = []
    with process.Deployment(hosts=1) as deployment:
        open_sockets = []
        for connections in (0, 500, 1000, 2000, 3000):
            while len(open_sockets) < connections:
                # Each request stays incomplete, so that the host keeps its connection open.
                open_sockets.append(socket.create_connection(
                    ("127.0.0.1", process.PORT_BASE + 201)))
                open_sockets[-1].sendall(
                    b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
            time.sleep(1)
            rows.append((connections, read_metrics(1)["bronzeplank_resident_bytes"] / 1e6))
        for connection in open_sockets:
            connection.close()
    print_fit("resident memory by number of callers' connections", "MB", rows)


def measure_by_requests():
    rows = []
    for name in ("cooperative_quiet", "cooperative_failover", "cooperative_noisy"):
        with process.Deployment() as deployment:
            time.sleep(3)
            before = [read_metrics(n) for n in range(1, 7)]
            started_at = time.monotonic()
            result = json.loads(deployment.start_load(name, 1).communicate()[0])
            elapsed = time.monotonic() - started_at
            after = [read_metrics(n) for n in range(1, 7)]
            cpu = sum(b["bronzeplank_cpu_seconds"] - a["bronzeplank_cpu_seconds"]
                      for a, b in zip(before, after))
            rows.append((result["requests"] / elapsed / 6, 100 * cpu / elapsed / 6))
    print_fit("processor time by requests per second and host", "% of a core", sorted(rows))


def main():
    measurements = {"hosts": measure_by_hosts, "groups": measure_by_groups,
                    "connections": measure_by_connections, "requests": measure_by_requests}
    for name in sys.argv[1:] or measurements:
        measurements[name]()
        sys.stdout.flush()


if __name__ == "__main__":
    main()
