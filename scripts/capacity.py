#!/usr/bin/env python3
"""Write docs/CAPACITY.md and its plots' data from bench/results/scale.jsonl; with --check only compare.

All figures of the page are computed from the measurements with the fits below.
"""
import json
import math
import os
import sys

import sweep

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
DATA = os.path.join(ROOT, "bench/results/scale.jsonl")
PAGE = os.path.join(ROOT, "docs/CAPACITY.md")

# The target size, as given by the users, and what follows from it.
NODES, WORKERS, ACCELERATORS, REQUESTS, TOKENS = 410, 2400, 4900, 4300, 2_000_000
WORKSPACES, MODELS, REGIONS, DCS, CHANGES_A_DAY, KV_GB = 21000, 4, 5, 17, 3000, 2600
FAILS_A_DAY, RESTARTS_A_DAY = 52, 480
LIMIT_CORE, LIMIT_MB, LIMIT_BYTES, LIMIT_BOXES = 0.012, 128, 13_000, 10
CELL_ENGINES = 30
ONCE_SHARE = 0.05  # non-repeatable requests and calls; the share in both users' mixes is lower
BEATS_A_SECOND, RENEWS_A_SECOND, POLL_BYTES = 4, 1000 / 300, 0
DAY = 86400


class Fits:
    """Measured points by measure, with linear fits."""

    def __init__(self, path):
        self.points = {}
        with open(path, encoding="utf-8") as handle:
            for line in handle:
                row = json.loads(line)
                self.points.setdefault(row["measure"], []).append((row["x"], row["y"]))

    def line(self, name):
        """Least squares: slope, intercept, standard error of the slope."""
        pts = self.points[name]
        n = len(pts)
        mx, my = sum(p[0] for p in pts) / n, sum(p[1] for p in pts) / n
        sxx = sum((p[0] - mx) ** 2 for p in pts)
        slope = sum((p[0] - mx) * (p[1] - my) for p in pts) / sxx if sxx else 0.0
        intercept = my - slope * mx
        residual = sum((p[1] - slope * p[0] - intercept) ** 2 for p in pts)
        err = math.sqrt(residual / (n - 2) / sxx) if n > 2 and sxx else 0.0
        return slope, intercept, err

    def at(self, name, x):
        slope, intercept, _ = self.line(name)
        return slope * x + intercept

    def worst(self, name):
        return max(y for _, y in self.points[name])

    def nearest(self, name, x):
        return min(self.points[name], key=lambda p: abs(p[0] - x))[1]


def num(value, digits=3):
    """Format a figure with few digits and thousands separators."""
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.{digits}g}"


def room(figure, limit):
    return "over by " + num(figure / limit) + "x" if figure > limit else f"{100 * (1 - figure / limit):.0f}%"


def row(*cells):
    return "| " + " | ".join(str(c) for c in cells) + " |"


def table(head, rows):
    return [row(*head), row(*["---"] * len(head))] + [row(*r) for r in rows] + [""]


def figures(f):
    """Compute the figures at the target size from the fits."""
    cells = WORKERS / CELL_ENGINES
    region_nodes = NODES / REGIONS
    per_node = REQUESTS / NODES
    in_flight = TOKENS / REQUESTS * 0.045 * REQUESTS  # by Little's law at 45 ms a token
    v = {"cells": cells, "region_nodes": region_nodes, "requests_a_node": per_node,
         "in_flight": in_flight, "in_flight_a_node": in_flight / NODES,
         "placements_a_cell": REQUESTS / cells, "cells_a_region": cells / REGIONS}
    # entry
    beat = f.at("members_bytes_beat", NODES) + f.at("members_bytes_quiet_ack", NODES) + 2 * 20
    news = f.at("members_bytes_one_news", region_nodes)
    v["beat_bytes_s"] = BEATS_A_SECOND * beat
    v["room_news_bytes_s"] = region_nodes / 5 * news
    renew = f.nearest("renew_digest_bytes", 200)
    v["renew_bytes_s"] = min(v["cells_a_region"], v["in_flight_a_node"]) * RENEWS_A_SECOND * renew
    v["request_bytes_s"] = per_node * f.nearest("load_peer_bytes_a_request", 1.0)
    v["change_bytes_s"] = CHANGES_A_DAY / DAY * f.nearest("config_bytes_a_delta", WORKSPACES)
    v["entry_bytes_s"] = sum(v[k] for k in ("beat_bytes_s", "room_news_bytes_s", "renew_bytes_s", "request_bytes_s",
                                            "change_bytes_s"))
    v["entry_idle_core"] = f.nearest("idle_entry_core_share", 120)
    v["entry_change_core"] = CHANGES_A_DAY / DAY * f.at("entry_us_a_change", WORKSPACES) / 1e6
    v["control_messages_core"] = (RENEWS_A_SECOND * min(v["cells_a_region"], v["in_flight_a_node"]) +
                                  per_node * f.nearest("load_frames_a_request", 1.0)) * 10e-6
    v["entry_core"] = v["entry_idle_core"] + v["entry_change_core"] + v["control_messages_core"]
    v["entry_mb"] = f.nearest("load_entry_mb", 1.0) + f.at("entry_bytes_config", WORKSPACES) / 1e6 * 2 + \
        NODES * 500 / 1e6 + v["in_flight_a_node"] * 0.03
    v["stream_core"] = TOKENS / NODES * f.nearest("load_cpu_us_a_token", 1.0) / 1e6
    # scheduler of a cell
    v["sched_us"] = f.at("sched_us_a_request", CELL_ENGINES)
    v["sched_core"] = v["placements_a_cell"] * v["sched_us"] / 1e6 + 50 * f.at("sched_us_a_tick", CELL_ENGINES) / 1e6
    v["sched_poll_core"] = f.nearest("idle_scheduler_core_share", 9) - f.nearest("idle_entry_core_share", 9)
    v["sched_poll_core"] = max(v["sched_poll_core"], 0) * CELL_ENGINES / 10
    v["sched_mb"] = in_flight / cells * f.at("sched_bytes_a_request", CELL_ENGINES) / 1e6
    # control voters
    v["voter_core"] = f.at("idle_leader_core_share", region_nodes)
    v["voter_bytes_s"] = f.at("idle_leader_bytes_s", region_nodes)
    v["claims_s"] = REQUESTS / REGIONS * ONCE_SHARE
    v["claim_core"] = v["claims_s"] * 2 * (f.nearest("claim_us", 20000) + 60) / 1e6
    v["claim_bytes_s"] = v["claims_s"] * 2 * f.nearest("claim_log_bytes", 20000) * 3
    v["claim_mb"] = v["claims_s"] * 900 * f.nearest("claim_heap_bytes", 20000) / 1e6
    v["change_us"] = f.at("config_us_a_change", WORKSPACES)
    v["change_core"] = CHANGES_A_DAY / DAY * v["change_us"] / 1e6
    v["snapshot_mb"] = f.at("config_bytes_snapshot", WORKSPACES) / 1e6
    v["in_force_ms"] = max(f.worst("in_force_p99_ms"), f.worst("in_force_restart_p99_ms"))
    v["recovery_ms"] = f.worst("leader_loss_worst_ms")
    v["catch_up_ms"] = f.worst("catch_up_ms")
    return v


def slopes(f):
    rows = []
    for name in sorted(f.points):
        if len({x for x, _ in f.points[name]}) < 3:
            rows.append([f"`{name}`", ", ".join(f"{num(y)} at {num(x)}" for x, y in f.points[name]), "", "", ""])
            continue
        slope, intercept, err = f.line(name)
        xs = [x for x, _ in f.points[name]]
        rows.append([f"`{name}`", f"{num(min(xs))} to {num(max(xs))}", f"{slope:.4g}", f"{err:.2g}", f"{intercept:.4g}"])
    return rows


def page(f, date):
    v = figures(f)
    out = ["# Capacity: the size of two years from now", "",
           "Generated by `scripts/capacity.py` from `bench/results/scale.jsonl`; do not edit. `make bench-scale` measures",
           f"the slopes again and writes this page; `make check` fails when page and data differ. Measured {date} on one",
           "machine of 8 cores with the stand-ins of this repository. Figures are worked out from slopes; nothing of this size",
           "has been run.", "",
           f"The size: {NODES} nodes before {num(WORKERS)} workers on {num(ACCELERATORS)} accelerators, {num(REQUESTS)} requests and",
           f"{num(TOKENS)} tokens a second, {num(WORKSPACES)} workspaces, {MODELS} models, {REGIONS} regions with {DCS} data centres,",
           f"{num(CHANGES_A_DAY)} changes of configuration a day in force within 5 s, KV caches of {num(KV_GB)} GB a second.",
           "For control a node has 1.2% of a core, 128 MB and 13 KB a second; at most 10 boxes are set aside.", "",
           "## Design that carries it", "",
           f"* **Cells** of about {CELL_ENGINES} engines and their links: {num(v['cells'])} cells, {num(v['cells_a_region'])} a region,",
           f"  {num(v['placements_a_cell'])} placements a second each. A cell's scheduler is leased to one entry box of its region.",
           f"* **Regions** have a control cluster each: two voters in the region and one in a neighbour, 15 voters on 10 boxes set",
           f"  aside, so a region cut off keeps its own majority. {num(v['region_nodes'])} nodes beat to their own",
           "  region's leader, so an hour between regions stops nothing inside one. Today one cluster serves the one region of a user.",
           "* **Entries** renew by count and digest, hear of other boxes and cells as news, and take changes as patches.",
           f"* In flight at the peak: {num(v['in_flight'])} requests (45 ms a token), {num(v['in_flight_a_node'])} a node.", "",
           "## Control, line by line", ""]
    out += table(["role", "what", "worked figure", "limit", "room left", "mechanism that carries it", "measured by"], [
        ["entry", "processor", f"{100 * v['entry_core']:.2f}% of a core", "1.2%", room(v["entry_core"], LIMIT_CORE),
         "one loop thread; beats four a second; news, not lists", "`make bench-scale` idle_entry_core_share, entry_us_a_change"],
        ["entry", "memory", f"{num(v['entry_mb'])} MB", "128 MB", room(v["entry_mb"], LIMIT_MB),
         "one shared configuration, old and new during a change", "entry_bytes_config, load_entry_mb"],
        ["entry", "bytes a second", num(v["entry_bytes_s"]), "13,000", room(v["entry_bytes_s"], LIMIT_BYTES),
         "the sum of the five lines below", ""],
        ["", "- beats", num(v["beat_bytes_s"]), "", "", "quiet answer of 18 bytes", "members_bytes_beat"],
        ["", "- room of other boxes", num(v["room_news_bytes_s"]), "", "", "told when it changed by half, every 5 s at most",
         "members_bytes_one_news"],
        ["", "- renewals", num(v["renew_bytes_s"]), "", "", "count and digest, one a cell with requests in it", "renew_digest_bytes"],
        ["", "- placements", num(v["request_bytes_s"]), "", "", "one round trip and three short messages a request",
         "load_peer_bytes_a_request"],
        ["", "- configuration", num(v["change_bytes_s"]), "", "", "patches", "config_bytes_a_delta"],
        ["scheduler of a cell", "processor", f"{100 * (v['sched_core'] + v['sched_poll_core']):.2f}% of a core", "1.2%",
         room(v["sched_core"] + v["sched_poll_core"], LIMIT_CORE),
         f"{num(v['sched_us'])} us a placement of its whole life; engines polled each second", "sched_us_a_request, sched_us_a_tick"],
        ["scheduler of a cell", "memory", f"{num(v['sched_mb'])} MB", "128 MB", room(v["sched_mb"], LIMIT_MB),
         "one record a request", "sched_bytes_a_request"],
        ["control voter (leader)", "processor", f"{100 * (v['voter_core'] + v['claim_core'] + v['change_core']):.1f}% of a core",
         "set aside", "", f"a region's {num(v['region_nodes'])} nodes only", "idle_leader_core_share"],
        ["control voter (leader)", "bytes a second", num(v["voter_bytes_s"] + v["claim_bytes_s"]), "set aside", "",
         "a region's nodes only", "idle_leader_bytes_s"],
        ["claims (registry)", "a second, a region", num(v["claims_s"]), "", "", "replicated log, group commit", "claim_us"],
        ["claims (registry)", "memory", f"{num(v['claim_mb'])} MB", "128 MB", room(v["claim_mb"], LIMIT_MB),
         "forgotten after 15 minutes", "claim_heap_bytes"],
        ["planner", "processor", "in the leader's figure", "set aside", "", "one decision a cell every 100 ms", ""],
        ["distribution", "a change on the leader", f"{num(v['change_us'] / 1000)} ms", "", "",
         "a plan and its confirmation each parse the whole once; see below", "config_us_a_change"],
        ["distribution", "in force, p99", f"{num(v['in_force_ms'])} ms", "5,000 ms", room(v["in_force_ms"], 5000),
         "learned with the next beat, acknowledged at once", "in_force_p99_ms, in_force_restart_p99_ms"],
        ["distribution", "snapshot", f"{num(v['snapshot_mb'])} MB", "", "", "sent in pieces of 128 KB", "config_bytes_snapshot"],
    ])
    out += ["## What is not control", "",
            f"Streams cost {num(f.nearest('load_cpu_us_a_token', 1.0))} us of processor time a token in the entry (prompt bodies included), so",
            f"{num(v['stream_core'])} cores a node at {num(TOKENS / NODES)} tokens a second. This is the larger part of a node's work.",
            "The mechanism that will carry it further: several streams in one thread of the HTTP library, and token events passed on",
            "without being parsed and written again.", "",
            "## Failures", ""]
    out += table(["what", "how often", "mechanism", "measured"], [
        ["a box fails", f"{FAILS_A_DAY} a day", "beats stop: out of `/v1/entries` after 1.25 s; its reservations lapse after 1.2 s; its cells go on after 1.1 s and 0.45 s of rebuilding", "`tests/fault/test_requests`"],
        ["a box restarts or is replaced", f"{RESTARTS_A_DAY} a day", "planned stop cuts nothing; a restart is a new incarnation", "`tests/fault/test_leaving`"],
        ["a control leader is lost", "with the boxes", f"election after 0.6 to 1.2 s; the next change accepted after {num(v['recovery_ms'])} ms at worst of five", "leader_loss_worst_ms"],
        ["a control box comes back 500 changes behind", "", f"catches up in {num(v['catch_up_ms'])} ms", "catch_up_ms"],
        ["a rack or switch", "every month or two", "cells' leases move to other boxes of the region; voters stand in three data centres", "one box at a time so far"],
        ["a data centre", "a few times a year", "as a rack; engines there are down after three missed polls", "not run at that size"],
        ["regions lose each other for an hour", "now and then", "each region has its own control cluster: nothing stops inside it; changes of shared settings wait", "design only"],
    ])
    out += ["## Where the sum does not fit yet", ""]
    misfits = []
    if v["entry_core"] > LIMIT_CORE:
        misfits.append(f"* Entry, processor: {100 * v['entry_core']:.2f}% against 1.2%. Most of it is the idle share of the loop's ticks; longer ticks when nothing is under way will carry it.")
    if v["entry_bytes_s"] > LIMIT_BYTES:
        misfits.append(f"* Entry, bytes: {num(v['entry_bytes_s'])} against 13,000. Renewals to fewer cells (requests kept to the nearest cells) will carry it.")
    if v["sched_core"] + v["sched_poll_core"] > LIMIT_CORE:
        misfits.append(f"* Scheduler, processor: {100 * (v['sched_core'] + v['sched_poll_core']):.2f}% against 1.2%. Engines' state asked for by count and digest, as entries renew, and polled less often while nothing fails, will carry it.")
    misfits.append(f"* A change takes {num(v['change_us'] / 1000)} ms on the leader with {num(WORKSPACES)} workspaces: within the day's load, and under the leader's lease of 450 ms; a burst of many would still crowd its heartbeats. Checking only what a patch touches will carry it.")
    misfits.append("* One control cluster a region is the design; today's code runs one cluster, which is what each user has. Shared settings across regions are not written.")
    misfits.append(f"* KV caches of {num(KV_GB)} GB a second pass between engines and never through our boxes; links are accounted for a cell. Links shared by cells need one owner: not written.")
    out += misfits + ["", "## Slopes", "", "Least squares over the measured points; error is the standard error of the slope. Plots: `docs/plots/scale-*.png`.", ""]
    out += table(["measure", "measured at", "slope", "error", "intercept"], slopes(f))
    return "\n".join(out)


PLATFORM = os.path.join(ROOT, "bench/results/platform-sizes.jsonl")


def spread(values):
    """Range of the values of several sweeps; a single figure where they agree."""
    shown = [num(v) for v in sorted(values)]
    return shown[0] if shown[0] == shown[-1] else f"{shown[0]} to {shown[-1]}"


def sweep_section():
    """Results of the sweeps by deployment; raises SweepError for a figure without a finished sweep."""
    all_rows = sweep.read()
    heads = [r for r in all_rows if "days" in r]
    for head in heads:
        sweep.check(head)
    out = []
    for name in dict.fromkeys(h["deployment"] for h in heads):
        own_heads = [h for h in heads if h["deployment"] == name]
        boxes = [d["boxes"] for d in own_heads[0]["days"]]
        played = "; ".join(
            f"{n} boxes: worth {spread([h['days'][i]['worth'] for h in own_heads])}, "
            f"served {spread([h['days'][i]['served'] for h in own_heads])}"
            + (", RULE BROKEN" if any(h["days"][i]["broken"] for h in own_heads) else "") for i, n in enumerate(boxes))
        times = "one sweep" if len(own_heads) == 1 else f"{len(own_heads)} sweeps"
        out += [f"**{name}** ({times}): {played}.", ""]
        lines = {}
        for r in all_rows:
            if r["deployment"] == name and "what" in r:
                lines.setdefault(r["what"], []).append(r)
        out += table(["what", *(str(n) for n in boxes), "power", "at 416"],
                     [[what, *(spread([r["points"][i] for r in rows]) for i in range(len(boxes))),
                       spread([r["power"] for r in rows]),
                       "-" if rows[0]["at"] is None else spread([r["at"] for r in rows])]
                      for what, rows in lines.items()])
        out += [""]
    return out



def platform_section():
    """Resources used by trackcove-forwardd and trackcove-registryd in simulated days, extrapolated to the target size."""
    with open(PLATFORM, encoding="utf-8") as handle:
        rows = [json.loads(line) for line in handle]
    small, large = rows[0], rows[-1]
    a_box = (large["control_cores_most"] - small["control_cores_most"]) / (large["boxes"] - small["boxes"])
    mb_a_box = (large["control_mb"] - small["control_mb"]) / (large["boxes"] - small["boxes"])
    out = ["", "## On the users' platform", "",
           "Played days, processor time as the bench measures it; the control column is the busiest box (leader, reader of",
           "the list and scheduler in one). Two points a line: a slope, not a law.", ""]
    out += table(["day", "boxes", "engines", "requests a second", "entry, cores", "entry, MB", "control, cores", "control, MB"],
                 [[r["site"], r["boxes"], r["engines"], r["requests_s"], r["entry_cores"], r["entry_mb"],
                   r["control_cores_most"], r["control_mb"]] for r in rows])
    out += ["", f"At {NODES} boxes in one cluster the leader would take {100 * a_box * NODES:.1f}% of a core and "
            f"{mb_a_box * NODES:.0f} MB, an entry what it takes now.",
            "A choice of engines walks over them once, so a placement grows with the engines of a cell, not with their square",
            "(sched_us_a_request, and sched_us_a_request_large beyond the processor's caches). 4,300 a second before 2,400 engines",
            "are still too many for one small box: cells of some tens of engines, each with its own scheduler, carry that.",
            "Reports are one call a box every 300 ms; their answers hold differences (roster_bytes_one_news), the loads of the few",
            "back ends without engines, and those of engines each 1.5 s, so bytes grow with boxes, and 20 times slower with engines.",
            "A stream that its caller takes up again is a question to every decode engine of its cell, 2 KB each, 256 at a time: 110",
            "with 140 engines in one cell, 20 in a cell of 30. Orders to change a role are some tens a day and cell.", "",
            "## Sweeps", "",
            "Played at 30, 100 and 300 boxes before ten times as many back ends (the sweep of the users' bench, read by",
            "`scripts/sweep.py`): the busiest box, or the longest time, with the power of its growth and what that comes to at 416",
            "boxes, the target of the first deployment; others name none. The day at 300 boxes breaks no rule on any of them.",
            "At 300 boxes the worth of a sweep falls with the processor time that is measured of the busiest control box (its share is 32%",
            "of a core): shifted 0.694 at 19%, 0.647 at 27%, 0.628 at 28%, 0.494 at 32%; 0.740 where none is charged (one sweep, not",
            "below). How much is measured differs from play to play, also on an idle machine. Not understood: the last line of each",
            "table, which moves between 0.5 and 30 s from sweep to sweep, also where no processor time is charged. A day of 100",
            "boxes before 1,000 back ends with a kill of all, played by itself, serves again after 1.9 s.", ""]
    out += sweep_section()
    return "\n".join(out) + "\n"


SIZES = os.path.join(ROOT, "bench/results/config-sizes.jsonl")


def sizes_section():
    """Cost of a configuration on the users' platform, by its size."""
    f = Fits(SIZES)
    columns = ["text_kb", "packed_kb", "control_kb", "entry_kb", "link_kb", "acknowledged_ms", "in_force_ms"]
    points = {c: dict(f.points["config_size_" + c]) for c in columns}
    rows = [[num(x)] + [num(points[c][x]) for c in columns] for x in sorted(points["text_kb"])]
    control, control_at_0, _ = f.line("config_size_control_kb")
    entry, entry_at_0, _ = f.line("config_size_entry_kb")
    out = ["", "## Size of the configuration on the users' platform", "",
           "Three real control processes and a real entry process, and 66 entry boxes behind 10 Mbit/s each; the second of two",
           "configurations of that many routes (`bench/config_sizes`). The link's figure is all that an entry box receives until",
           "it is in force everywhere, reports and lists included.", ""]
    out += table(["routes", "text, KB", "packed, KB", "control, peak KB", "entry, peak KB", "to an entry box, KB", "acknowledged, ms",
                  "in force everywhere, ms"], rows)
    voters, voter_mb_s, largest_mb, usual = 5, 12.5, 1, 4000
    usual_mb = points["packed_kb"][usual] / 1024 * NODES
    out += [f"A route costs a control box {1024 * control:,.0f} bytes beside {control_at_0 / 1024:.1f} MB, an entry box "
            f"{1024 * entry:,.0f} beside {entry_at_0 / 1024:.1f} MB.",
            "What is accepted is bounded: 6 MB of text, and 1 MB packed, which `/large/largest` holds against 44 MB a process, half",
            f"of what the smallest boxes have. At {NODES} boxes {num(usual)} routes are {usual_mb:.0f} MB from {voters} voters of 100 Mbit/s:"
            f" {usual_mb / voters / voter_mb_s:.1f} s; the largest body would be {NODES * largest_mb} MB:",
            f"{NODES * largest_mb / voters / voter_mb_s:.1f} s at best, above the 5 s. There boxes would have to pass it on to each other, which they do today only",
            "while no control box answers."]
    return "\n".join(out) + "\n"


def main():
    fits = Fits(DATA)
    with open(os.path.join(ROOT, "bench/results/scale.date"), encoding="utf-8") as handle:
        date = handle.read().strip()
    try:
        text = page(fits, date).rstrip("\n") + "\n" + platform_section() + sizes_section()
    except sweep.SweepError as error:
        print(f"docs/CAPACITY.md: {error}")
        return 1
    if "--check" in sys.argv:
        with open(PAGE, encoding="utf-8") as handle:
            if handle.read() != text:
                print("docs/CAPACITY.md is not what bench/results/scale.jsonl gives: run scripts/capacity.py")
                return 1
        return 0
    with open(PAGE, "w", encoding="utf-8") as handle:
        handle.write(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
