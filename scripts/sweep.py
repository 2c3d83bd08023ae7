#!/usr/bin/env python3
"""Write results of sweeps of the users' bench to bench/results/sweep.jsonl, replacing those of the same deployments.

    scripts/sweep.py NAME=OUTPUT ...

NAME is the deployment's name in docs/CAPACITY.md, OUTPUT a file with the sweep's output; a name may be given once for
each of several sweeps. A sweep that has no finished journal entry, or whose figures differ from its entry, is refused.
Run scripts/capacity.py afterwards.
"""
import glob
import json
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
JOURNAL = os.path.join(ROOT, "journal")
RESULTS = os.path.join(ROOT, "bench/results/sweep.jsonl")
# Label in the output of the bench -> label on the page. Values are those of the busiest box of the role, or the longest
# time.
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


class SweepError(Exception):
    """A figure that does not come from a finished sweep."""


def entry_of(journal_id, folder=JOURNAL):
    """Return the finished journal entry of a sweep."""
    found = glob.glob(os.path.join(folder, f"*-{journal_id}.json")) if journal_id else []
    if not found:
        raise SweepError(f"sweep {journal_id or 'without a snapshot'}: no journal entry")
    with open(found[0], encoding="utf-8") as handle:
        entry = json.load(handle)
    if not entry.get("ok") or entry.get("error"):
        raise SweepError(f"sweep {journal_id}: its journal entry is not finished: {entry.get('error') or 'no result'}")
    return entry


def check(head, folder=JOURNAL):
    """Raise SweepError when the days differ from those of the sweep's journal entry."""
    played = {d["name"]: d for d in entry_of(head.get("journal"), folder)["days"]}
    if len(played) != len(head["days"]):
        raise SweepError(f"sweep {head['journal']}: {len(head['days'])} days, {len(played)} in its journal entry")
    for day in head["days"]:
        entry = played.get(f"sweep-{day['boxes']}")
        if not entry:
            raise SweepError(f"sweep {head['journal']}: no day of {day['boxes']} boxes in its journal entry")
        for what, key in (("worth", "G"), ("served", "served")):
            if abs(day[what] - entry[key]) > 0.001:
                raise SweepError(f"sweep {head['journal']}: {what} at {day['boxes']} boxes is {day[what]}, "
                                 f"its journal entry says {entry[key]:.3f}")
        if day["broken"] != bool(entry["rules"]):
            raise SweepError(f"sweep {head['journal']}: rules at {day['boxes']} boxes are not as in its journal entry")


def snapshot(text):
    """Return the id of the sweep's journal entry from its output, "" when it did not finish."""
    found = re.findall(r"^snapshot (\w+)$", text, re.M)
    return found[-1] if found else ""


def days(text):
    """Return the score and the served share of each day, by number of boxes."""
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


def read(path=RESULTS):
    """Return all rows: for each sweep a head with its days, then its measurements."""
    with open(path, encoding="utf-8") as handle:
        return [json.loads(line) for line in handle]


def take(name, text):
    """Return the rows of one sweep."""
    head = {"deployment": name, "journal": snapshot(text), "days": days(text)}
    check(head)
    return [head] + [{"deployment": name, "journal": head["journal"], **row} for row in rows(text)]


def main():
    fresh = []
    for argument in sys.argv[1:]:
        name, path = argument.split("=", 1)
        with open(path, encoding="utf-8") as handle:
            try:
                fresh += take(name, handle.read())
            except SweepError as error:
                print(f"scripts/sweep.py: {path}: {error}", file=sys.stderr)
                return 1
    names = {row["deployment"] for row in fresh}
    kept = [row for row in read() if row["deployment"] not in names]
    with open(RESULTS, "w", encoding="utf-8") as out:
        for row in fresh + kept:
            out.write(json.dumps(row) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
