#!/usr/bin/env python3
"""Put what a sweep of the users' bench shows into bench/results/sweep.jsonl, in place of what stood there.

    scripts/sweep.py NAME=OUTPUT ...

NAME is how docs/CAPACITY.md calls the deployment, OUTPUT a file with what the sweep printed. Then scripts/capacity.py.
"""
import json
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# What the bench prints, and what the page calls it: the busiest box of the role, or the longest time.
ROWS = {
    "forward: processor %": "entry: processor, % of a core",
    "forward: memory MB": "entry: memory, MB",
    "forward: kB a second": "entry: KB a second",
    "forward: connections": "entry: connections",
    "forward+registry: processor %": "control: processor, % of a core",
    "forward+registry: memory MB": "control: memory, MB",
    "forward+registry: kB a second": "control: KB a second",
    "forward+registry: connections": "control: connections",
    "config acked, ms": "a configuration acknowledged, ms",
    "leaving in force, ms": "a leaving back end in force, ms",
    "next ack after a core kill, ms": "next acknowledgement after a leader was killed, ms",
    "serving after all were killed, ms": "serving after all were killed, ms",
}


def days(text):
    """Worth and part served of the days, by the number of boxes."""
    found = re.findall(r"^sweep-(\d+)\s+\S+\s+\S+\s+([\d.]+)\s+([\d.]+)(.*)$", text, re.M)
    return [{"boxes": int(n), "worth": float(w), "served": float(s), "broken": "BROKEN" in rest} for n, w, s, rest in found]


def rows(text):
    for line in text.splitlines():
        for shown, what in ROWS.items():
            if not line.startswith(shown + " "):
                continue
            points = [float(b) for _, b in re.findall(r"([\d.]+) / ([\d.]+)", line)]
            power, at = line.split()[-2:]
            yield {"what": what, "points": points, "power": float(power), "at": None if at == "-" else float(at)}


def main():
    with open(os.path.join(ROOT, "bench/results/sweep.jsonl"), "w", encoding="utf-8") as out:
        for argument in sys.argv[1:]:
            name, path = argument.split("=", 1)
            text = open(path, encoding="utf-8").read()
            out.write(json.dumps({"deployment": name, "days": days(text)}) + "\n")
            for row in rows(text):
                out.write(json.dumps({"deployment": name, **row}) + "\n")


if __name__ == "__main__":
    main()
