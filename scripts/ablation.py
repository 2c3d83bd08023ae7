#!/usr/bin/env python3
"""Measures the benefit of each feature: runs the standard days of sites with one feature disabled at a time.

    FLEETBENCH=PROGRAM scripts/ablation.py [--seeds 0,1,2,3] [--days a,b] [--jobs 8] [--only queue,roles] SITE.toml...

Works on a clone of the committed tree, in which it changes the template of the settings. Prints one line per feature:
the difference of its mean score to that with all features enabled. No processor time is charged, so runs are mostly
reproducible.
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
# The platform's fields that platform/settings.c reads.
FIELDS = ["node_name", "ip", "zone", "data_dir", "listen", "cloud", "fault_tolerance", "bootstrap", "internal_ports",
          "seeds", "bounds"]


def features():
    with open(os.path.join(ROOT, "lib/common/feature.c"), encoding="utf-8") as source:
        return re.findall(r'\[FEATURE_\w+\] = "(\w+)"', source.read())


def disable_features(tree, off):
    """Disable the named features for every program in the tree."""
    template = json.dumps({"without": off})[:-1] + "".join(f', "{f}": {{{{{f}|json}}}}' for f in FIELDS) + " }"
    with open(os.path.join(tree, "deploy/settings.json.in"), "w", encoding="utf-8") as out:
        out.write(template)
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as deploy:
        text = re.sub(r"(\[roles\.\w+\]\n)", r'\1template = "deploy/settings.json.in"\n', deploy.read())
    with open(os.path.join(tree, "deploy/system.toml"), "w", encoding="utf-8") as out:
        out.write(text)


def run_day(job):
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
    disable_features(tree, off)
    subprocess.run([bench, "build"], cwd=tree, check=True, capture_output=True)
    why = f"ablation: without {', '.join(off) or 'nothing'}"
    jobs = []
    for site in args.sites:
        for day in tomllib.load(open(site, "rb"))["day"]:
            if not args.days or day["name"] in args.days.split(","):
                jobs += [(bench, tree, site, day["name"], seed, why) for seed in args.seeds.split(",")]
    sums = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for site, score in pool.map(run_day, jobs):
            sums.setdefault(site, []).append(score)
    return {site: sum(w) / len(w) for site, w in sums.items()}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0,1,2,3")
    parser.add_argument("--days")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only")
    parser.add_argument("--keep-journal", help="copy the journal entries of the runs into this folder")
    parser.add_argument("sites", nargs="+")
    args = parser.parse_args()
    args.sites = [os.path.abspath(s) for s in args.sites]
    bench = os.path.abspath(os.environ["FLEETBENCH"])
    tree = tempfile.mkdtemp(prefix="trackcove-ablation-")
    subprocess.run(["git", "clone", "-q", ROOT, tree], check=True)
    baseline = measure(args, bench, tree, [])
    print("all on: " + ", ".join(f"{site} {score:.4f}" for site, score in baseline.items()), flush=True)
    for name in args.only.split(",") if args.only else features():
        score = measure(args, bench, tree, [name])
        print(f"| {name} | " + " | ".join(f"{score[site] - baseline[site]:+.4f}" for site in baseline) + " |", flush=True)
    if args.keep_journal:
        shutil.copytree(os.path.join(tree, "journal"), args.keep_journal, dirs_exist_ok=True)
    shutil.rmtree(tree)


if __name__ == "__main__":
    main()
