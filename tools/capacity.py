#!/usr/bin/env python3
"""Generates the tables of docs/CAPACITY.md from the committed points of the scale run (docs/measurements/scale.jsonl).

    tools/capacity.py            writes the tables into the page
    tools/capacity.py --check    fails if the page differs from the tables that the measurements give

A slope is that of the least-squares line through the points of one label. It is given with its range over the runs (seeds), with
each run fitted separately, and with the largest relative distance of a point from the line.
"""
import argparse
import json
import pathlib
import statistics
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
POINTS = ROOT / "docs/measurements/scale.jsonl"
PAGE = ROOT / "docs/CAPACITY.md"
BEGIN, END = "<!-- made by tools/capacity.py: begin -->", "<!-- made by tools/capacity.py: end -->"

# The operators' target for one deployment.
WORKERS, TASKS, STARTS, CELLS = 21000, 430000, 5900, 4  # one cell per region (docs/scale.md)
WORKER_BYTES_A_SECOND = 4000
FITTED = (500, 1000, 1500, 2000)  # worker counts that were measured in three runs
MOST_THREADS = 1700  # a leader with more had reached its thread limit; such a point is not fitted


def line(points):
    """Returns the slope and intercept of y over x, and the largest relative distance of a point from the line."""
    xs, ys = [p[0] for p in points], [p[1] for p in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    worst = max(abs(y - (slope * x + intercept)) / y if y else 0.0 for x, y in points)
    return slope, intercept, worst


def slopes(points, value):
    """Returns the line over all runs, and the smallest and largest slope of a single run."""
    whole = line([(p["workers"], value(p)) for p in points])
    by_seed = [line([(p["workers"], value(p)) for p in points if p["seed"] == seed])[0] for seed in sorted({p["seed"] for p in points})]
    return whole, min(by_seed), max(by_seed)


def follower(name):
    return lambda p: max(f[name] for f in p["followers"])


QUANTITIES = [
    # name, unit of the slope, factor to that unit, value of a point
    ("leader: processor", "cores a worker", 1, lambda p: p["leader"]["processor"]),
    ("leader: of it, planning", "cores a worker", 1, lambda p: p["leader"]["pass_processor_seconds_total_per_s"]),
    ("leader: memory", "KB a worker", 1024, lambda p: p["leader"]["memory_mb"]),
    ("leader: threads", "a worker", 1, lambda p: p["leader"]["threads"]),
    ("leader: sockets", "a worker", 1, lambda p: p["leader"]["sockets"]),
    ("busiest other controller: processor", "cores a worker", 1, follower("processor")),
    ("busiest other controller: memory", "KB a worker", 1024, follower("memory_mb")),
    ("busiest other controller: threads", "a worker", 1, follower("threads")),
    ("state service: changes a second", "a worker", 1, lambda p: p["leader"]["writes_total_per_s"]),
    ("reports a second", "a worker", 1, lambda p: p["fleet"]["reports_per_s"]),
    ("bytes of reports a second", "a worker", 1, lambda p: p["fleet"]["report_bytes_per_s"]),
    ("bytes of answers and commands a second", "a worker", 1,
     lambda p: p["fleet"]["answer_bytes_per_s"] + p["fleet"]["command_bytes_per_s"]),
    ("direct commands a second", "a worker", 1, lambda p: p["fleet"]["commands_per_s"]),
]


def number(value):
    return f"{value:.3g}"


def slope_table(label, points):
    sizes = sorted({p["workers"] for p in points})
    rows = [f"### Slopes: `{label}`, {len(points)} points from {sizes[0]} to {sizes[-1]} workers, 3 controllers", "",
            "| what | slope | range over the runs | at 0 workers | a cell of the target (computed) | worst point off the line |", "| --- | --- | --- | --- | --- | --- |"]
    cell = WORKERS / CELLS
    for name, unit, scale, value in QUANTITIES:
        (slope, intercept, worst), least, most = slopes(points, value)
        rows.append(f"| {name} | {number(slope * scale)} {unit} | {number(least * scale)} to {number(most * scale)} | {number(intercept)} | "
                    f"{number(slope * cell + intercept)} | {worst * 100:.0f}% |")
    return rows + [""]


def points_table(points):
    rows = ["### Points", "",
            "| label | workers | trouble | tasks | starts a second | leader: processor, MB, threads, sockets | others at most: processor, MB, threads | "
            "start wait p50, p99 s | accepted p99 s | leases over a second | rules broken |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for p in points:
        leader, wait = p.get("leader"), p["start_wait_s"]
        if not leader:
            rows.append(f"| {p['label']} | {p['workers']} | {p['trouble'] or '-'} | {p['running']} | nobody led at the end | | | | | | {len(p['rules_broken'])} |")
            continue
        rows.append(f"| {p['label']} | {p['workers']} | {p['trouble'] or '-'} | {p['running']} | {p['fleet']['starts_per_s']:.0f} of {p['starts_wanted']:.0f} | "
                    f"{leader['processor']:.3f}, {leader['memory_mb']:.0f}, {leader['threads']}, {leader['sockets']} | "
                    f"{max(f['processor'] for f in p['followers']):.3f}, {max(f['memory_mb'] for f in p['followers']):.0f}, {max(f['threads'] for f in p['followers'])} | "
                    f"{wait.get('p50', 0):.2f}, {wait.get('p99', 0):.2f} | {p['accept_s'].get('p99', 0):.3f} | {p['fleet']['leases_over_per_s']:.1f} | {len(p['rules_broken'])} |")
    return rows + [""]


def tables():
    points = [json.loads(text) for text in POINTS.read_text().splitlines() if text.strip()]
    points.sort(key=lambda p: (p["label"], p["trouble"], p["workers"], p["seed"]))
    rows = [f"Target of a cell: {WORKERS} workers in {CELLS} cells, {WORKERS / CELLS:.0f} each, {TASKS / CELLS:.0f} tasks, {STARTS / CELLS:.0f} starts a second.", ""]
    for label in sorted({p["label"] for p in points}):
        fitted = [p for p in points if p["label"] == label and not p["trouble"] and p["workers"] in FITTED and p["ramp_reached"]
                  and p["leader"]["threads"] < MOST_THREADS]
        if len({p["workers"] for p in fitted}) >= 3:
            rows += slope_table(label, fitted)
            bytes_slope = slopes(fitted, lambda p: p["fleet"]["report_bytes_per_s"] + p["fleet"]["answer_bytes_per_s"] + p["fleet"]["command_bytes_per_s"])[0][0]
            held = "holds" if bytes_slope <= WORKER_BYTES_A_SECOND else "does NOT hold"
            rows += [f"A worker's bytes a second both ways: {bytes_slope:.0f}; the letter's {WORKER_BYTES_A_SECOND} {held} (bodies alone, no headers).", ""]
    return "\n".join(rows + points_table(points))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.error = lambda message: parser.exit(2, f"{parser.prog}: {message}\n")  # one line that starts with the program name
    parser.add_argument("--check", action="store_true", help="only compare; write nothing")
    args = parser.parse_args()
    page = PAGE.read_text()
    before, rest = page.split(BEGIN)
    _, after = rest.split(END)
    made = f"{before}{BEGIN}\n\n{tables()}\n{END}{after}"
    if not args.check:
        PAGE.write_text(made)
    elif made != page:
        print(f"{PAGE.relative_to(ROOT)} is not what {POINTS.relative_to(ROOT)} makes of it: run tools/capacity.py")
        return 1
    else:
        print(f"{PAGE.relative_to(ROOT)} and {POINTS.relative_to(ROOT)} agree")
    return 0


if __name__ == "__main__":
    sys.exit(main())
