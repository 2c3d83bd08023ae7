#!/usr/bin/env python3
"""Write examples/sahel and examples/river: the two deployments as settings.

Ports: base + 0 stub, +101.. entries for callers, +201.. entries for peers,
+301.. control for operators, +401.. control for peers. Paths are relative to
the deployment's folder, in which each process is started.
"""
import hashlib
import json
import os

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "examples")
# Token of the demonstration operator, whose hash is in the settings. Create your own with `trackcove token`.
DEMO_TOKEN = "demo-operator-token-0123456789abcdef"
DEPLOYMENTS = {
    "sahel": {
        "base": 17000, "dcs": ["dakar-plateau", "dakar-rufisque", "dakar-thies"], "entries": 9, "delay_us": 1500,
        "model": "sahel-lm", "prefill": 5, "decode": 5, "pieces": 38, "service": "air-notify", "repeatable": False,
        "inside": 200000, "between": 60000},
    "river": {
        "base": 18000, "dcs": ["caroni-hall", "arima-hall", "chaguanas-hall"], "entries": 11, "delay_us": 500,
        "model": "hydro-lm", "prefill": 14, "decode": 6, "pieces": 58, "service": "gauge-api", "repeatable": True,
        "inside": 200000, "between": 100000},
}


def config(d):
    """Return the initial configuration, accepted as version 1 when the cluster is founded."""
    stub = f"http://127.0.0.1:{d['base']}"
    engines = {}
    for role, short in (("prefill", "p"), ("decode", "d")):
        for i in range(d[role]):
            engines[f"{short}{i}"] = {
                "url": f"{stub}/e/{short}{i}", "dc": d["dcs"][i % 3], "role": role, "model": d["model"],
                "pieces": d["pieces"], "max_batch": 24, "prefill_rate": 20000, "checks_fence": i % 2 == 0}
    links = {}
    for i, a in enumerate(d["dcs"]):
        links[f"in-{a}"] = {"a": a, "b": a, "rate": d["inside"], "delay_us": 100}
        b = d["dcs"][(i + 1) % 3]
        links[f"{a}-{b}"] = {"a": a, "b": b, "rate": d["between"], "delay_us": d["delay_us"]}
    workers = {f"{d['service']}-{i}": {"url": f"{stub}/s/{d['service']}-{i}", "dc": d["dcs"][i]} for i in range(3)}
    return {
        "policy": "cell", "platform_url": f"{stub}/platform/list",
        "targets": {"ttft_ms": 1600, "tpot_ms": 51},
        "models": {d["model"]: {"weights_mb": 16000}}, "engines": engines, "links": links,
        "services": {d["service"]: {"repeatable": d["repeatable"], "timeout_ms": 5000, "workers": workers}},
        "workspaces": {f"ws-{i}": {"weight": 1} for i in range(4)}}


def write(folder, name, value):
    with open(os.path.join(folder, name), "w", encoding="utf-8") as handle:
        json.dump(value, handle, indent=2)
        handle.write("\n")


def main():
    token_hash = hashlib.blake2b(DEMO_TOKEN.encode(), digest_size=32).hexdigest()
    for name, d in DEPLOYMENTS.items():
        folder = os.path.join(ROOT, name)
        os.makedirs(folder, exist_ok=True)
        base = d["base"]
        control = {f"control-{i}": {"peer": f"127.0.0.1:{base + 400 + i}", "http": f"127.0.0.1:{base + 300 + i}"}
                   for i in (1, 2, 3)}
        write(folder, "config.json", config(d))
        for i in range(1, d["entries"] + 1):
            write(folder, f"entry-{i}.json", {
                "box": f"entry-{i}", "dc": d["dcs"][(i - 1) % 3], "http_listen": f"127.0.0.1:{base + 100 + i}",
                "peer_listen": f"127.0.0.1:{base + 200 + i}", "cluster_key_file": "cluster.key",
                "log_file": f"log/entry-{i}.log", "control": control})
        for i in (1, 2, 3):
            write(folder, f"control-{i}.json", {
                "box": f"control-{i}", "dc": d["dcs"][i - 1], "http_listen": f"127.0.0.1:{base + 300 + i}",
                "peer_listen": f"127.0.0.1:{base + 400 + i}", "cluster_key_file": "cluster.key",
                "data_dir": f"data/control-{i}", "log_file": f"log/control-{i}.log", "initial_config": "config.json",
                "found_cluster": i == 1, "voters": control,
                "operators": {"demo": {"token_hash": token_hash, "role": "confirm"}}})
        with open(os.path.join(folder, "cluster.key"), "w", encoding="utf-8") as handle:
            handle.write(f"example-key-of-{name}-replace-before-use\n")


if __name__ == "__main__":
    main()
