#!/usr/bin/env python3
"""What each mechanism is worth: plays the standard days of sites with one mechanism after the other switched off.

    FLEETBENCH=PROGRAM scripts/ablation.py [--seeds 0,1,2,3] [--days a,b] [--jobs 8] [--only queue,roles] SITE.toml...

Works on a copy of the committed tree, since a switch goes into the template of the settings there. Prints a line a
mechanism: the difference of the mean worth to all switched on. No processor time is charged, so a play mostly repeats.
"""
import argparse
import concurrent.futures
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# What platform/settings.c reads of the platform's fields.
FIELDS = ["node_name", "ip", "zone", "data_dir", "listen", "cloud", "fault_tolerance", "bootstrap", "internal_ports",
          "seeds", "bounds"]


def mechanisms():
    with open(os.path.join(ROOT, "lib/common/feature.c"), encoding="utf-8") as source:
        return re.findall(r'\[FEATURE_\w+\] = "(\w+)"', source.read())


def switch(tree, off):
    """Have every program in the tree do without the mechanisms named."""
    template = json.dumps({"without": off})[:-1] + "".join(f', "{f}": {{{{{f}|json}}}}' for f in FIELDS) + " }"
    with open(os.path.join(tree, "deploy/settings.json.in"), "w", encoding="utf-8") as out:
        out.write(template)
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as deploy:
        text = re.sub(r"(\[roles\.\w+\]\n)", r'\1template = "deploy/settings.json.in"\n', deploy.read())
    with open(os.path.join(tree, "deploy/system.toml"), "w", encoding="utf-8") as out:
        out.write(text)


def play(job):
    bench, tree, site, day, seed, why = job
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        done = subprocess.run([bench, "run", site, day, "--no-cpu", "--seed", seed, "--report", report.name, "--why", why],
                              cwd=tree, capture_output=True, text=True, check=False)
        try:
            result = json.load(open(report.name, encoding="utf-8"))
        except ValueError:
            sys.exit(f"{day}, seed {seed}: no report\n{done.stdout[-800:]}{done.stderr[-800:]}")
    if result["breaks"]:
        print(f"  rule broken: {os.path.basename(site)} {day} seed {seed}: {result['breaks']}", flush=True)
    return os.path.basename(site), result["G"]


def measure(args, bench, tree, off):
    switch(tree, off)
    subprocess.run([bench, "build"], cwd=tree, check=True, capture_output=True)
    why = f"ablation: without {', '.join(off) or 'nothing'}"
    jobs = []
    for site in args.sites:
        for day in tomllib.load(open(site, "rb"))["day"]:
            if not args.days or day["name"] in args.days.split(","):
                jobs += [(bench, tree, site, day["name"], seed, why) for seed in args.seeds.split(",")]
    sums = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for site, worth in pool.map(play, jobs):
            sums.setdefault(site, []).append(worth)
    return {site: sum(w) / len(w) for site, w in sums.items()}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0,1,2,3")
    parser.add_argument("--days")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only")
    parser.add_argument("--keep-journal", help="copy the plays' journal entries into this folder")
    parser.add_argument("sites", nargs="+")
    args = parser.parse_args()
    args.sites = [os.path.abspath(s) for s in args.sites]
    bench = os.path.abspath(os.environ["FLEETBENCH"])
    tree = tempfile.mkdtemp(prefix="trackcove-ablation-")
    subprocess.run(["git", "clone", "-q", ROOT, tree], check=True)
    whole = measure(args, bench, tree, [])
    print("all on: " + ", ".join(f"{site} {worth:.4f}" for site, worth in whole.items()), flush=True)
    for name in args.only.split(",") if args.only else mechanisms():
        worth = measure(args, bench, tree, [name])
        print(f"| {name} | " + " | ".join(f"{worth[site] - whole[site]:+.4f}" for site in whole) + " |", flush=True)
    if args.keep_journal:
        shutil.copytree(os.path.join(tree, "journal"), args.keep_journal, dirs_exist_ok=True)
    shutil.rmtree(tree)


if __name__ == "__main__":
    main()
