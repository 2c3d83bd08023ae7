#!/usr/bin/env python3
"""Draw docs/plots from bench/results with gnuplot: policies by load, and linear fits of the scale measurements."""
import json
import os
import subprocess

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
OUT = os.path.join(ROOT, "docs/plots")
POLICIES = ["cell", "share", "least_loaded", "random"]
SLOPES = ["idle_leader_core_share", "idle_leader_bytes_s", "sched_us_a_request", "config_us_a_change", "entry_us_a_change"]


def rows(name):
    path = os.path.join(ROOT, "bench/results", name)
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as handle:
        return [json.loads(line) for line in handle]


def gnuplot(script):
    subprocess.run(["gnuplot"], input=script.encode(), check=True)


def spread(lines, mix, policy, load, field):
    values = sorted(r[field] for r in lines if r["mix"] == mix and r["policy"] == policy and r["load"] == load and
                    r["scenario"] == "plain")
    return (values[len(values) // 2], values[0], values[-1]) if values else None


def plot_policies(lines, field, title, scale):
    loads = sorted({r["load"] for r in lines if r["scenario"] == "plain"})
    for mix in sorted({r["mix"] for r in lines if r["scenario"] == "plain"}):
        blocks, plots = [], []
        for policy in POLICIES:
            points = [(load, spread(lines, mix, policy, load, field)) for load in loads]
            points = [(load, s) for load, s in points if s]
            if not points:
                continue
            data = "\n".join(f"{load} {s[0]} {s[1]} {s[2]}" for load, s in points)
            blocks.append(f"${policy} << EOD\n{data}\nEOD\n")
            plots.append(f"${policy} using 1:2:3:4 with yerrorlines lw 2 title '{policy.replace('_', ' ')}'")
        gnuplot("\n".join(blocks) + f"""
set terminal pngcairo size 760,460
set output '{OUT}/{field}-{mix}.png'
set title '{title}, {mix}: median and spread over seeds'
set xlabel 'load, times capacity'
set ylabel 'share'
set yrange {scale}
set key outside right
set grid
plot {', '.join(plots)}
""")


def plot_slopes(lines):
    for name in SLOPES:
        points = [(r["x"], r["y"]) for r in lines if r["measure"] == name]
        if not points:
            continue
        data = "\n".join(f"{x} {y}" for x, y in points)
        label = name.replace("_", " ")
        gnuplot(f"""$d << EOD
{data}
EOD
set terminal pngcairo size 560,380
set output '{OUT}/scale-{name}.png'
set title '{label}'
set grid
set fit quiet
f(x) = a * x + b
fit f(x) $d using 1:2 via a, b
plot $d using 1:2 with points pt 7 title 'measured', f(x) title 'fit'
""")


def main():
    os.makedirs(OUT, exist_ok=True)
    os.environ["FIT_LOG"] = os.devnull
    policies = rows("policies.jsonl")
    if policies:
        plot_policies(policies, "goodput", "goodput", "[0:1.05]")
        plot_policies(policies, "wasted_prefill", "wasted prefill", "[0:*]")
    plot_slopes(rows("scale.jsonl"))


if __name__ == "__main__":
    main()
