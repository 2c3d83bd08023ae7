#!/usr/bin/env python3
"""Put what sweeps of the users' bench show into bench/results/sweep.jsonl, in place of what stood there of the same
deployments.

    scripts/sweep.py NAME=OUTPUT ...

NAME is how docs/CAPACITY.md calls the deployment, OUTPUT a file with what the sweep printed; a name may come several
times, once a sweep. A sweep without a finished entry in the journal, or with other figures than its entry, is refused.
Then scripts/capacity.py.
"""
import glob
import json
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
JOURNAL = os.path.join(ROOT, "journal")
RESULTS = os.path.join(ROOT, "bench/results/sweep.jsonl")
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


class SweepError(Exception):
    """A figure that no finished sweep gave."""


def entry_of(journal_id, folder=JOURNAL):
    """The finished entry of a sweep."""
    found = glob.glob(os.path.join(folder, f"*-{journal_id}.json")) if journal_id else []
    if not found:
        raise SweepError(f"sweep {journal_id or 'without a snapshot'}: no journal entry")
    with open(found[0], encoding="utf-8") as handle:
        entry = json.load(handle)
    if not entry.get("ok") or entry.get("error"):
        raise SweepError(f"sweep {journal_id}: its journal entry is not finished: {entry.get('error') or 'no result'}")
    return entry


def check(head, folder=JOURNAL):
    """Refuse days that are not those of the sweep's journal entry."""
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
    """Id of the journal entry of a sweep that printed this, "" when it was not finished."""
    found = re.findall(r"^snapshot (\w+)$", text, re.M)
    return found[-1] if found else ""


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


def read(path=RESULTS):
    """All rows: a head with the days of each sweep, then what it measured."""
    with open(path, encoding="utf-8") as handle:
        return [json.loads(line) for line in handle]


def take(name, text):
    """The rows of one sweep."""
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
