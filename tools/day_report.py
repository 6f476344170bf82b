#!/usr/bin/env python3
"""Reads journal entries of the bench. Prints, for each simulated day, its score, its broken rules, and the goals (finished, deadline, up),
classes and teams below a minimum (default 0.6); then the jobs of each class and the resource usage of each host.
A day on which less than half of any one class or team is served fails.

    tools/day_report.py journal/20261201T*.json
"""
import argparse
import json
import pathlib
import re

CLASS = re.compile(r"^  (\S+): (\d+) jobs, (\d+) tasks, (\d+) started, (\d+) done .*?(?:up ([\d.]+))?$")
AIM = re.compile(r"^(finished|deadline|up|wait|guarantee|submit)\b(.*): ([\d.]+) ")
NODE = re.compile(r"^  (host-\d+): cpu ([\d.]+) \(peak ([\d.]+)\), memory ([\d.]+) MB, (\d+) connections, (\d+) restarts")


def report(entry, least):
    lines = entry.get("digest", "").splitlines()
    for day in entry.get("days", []):
        print(f"{entry.get('site', '')} {day['name']} seed {day.get('seed')}: {day['G']:.2f}, rules {day.get('rules') or 'whole'}")
        low = []
        for aim, _ in day.get("aims", []):
            if (m := AIM.match(aim)) and m[1] in ("finished", "deadline", "up") and float(m[3]) < least:
                low.append(f"{m[1]}{m[2]} {m[3]}")
        # Each item: class or team, its fraction of the day's jobs, the served fraction of those jobs.
        low += [f"served {name} {served:.2f}" for name, _, served in day.get("served") or [] if served < least]
        print("  under " + f"{least}: " + ("; ".join(low) or "nothing"))
    for line in lines:
        if m := CLASS.match(line):
            jobs, started, done = int(m[2]), int(m[4]), int(m[5])
            served = (started if m[6] else done) / jobs if jobs else 1.0
            mark = "  LOW" if served < least else ""
            print(f"  class {m[1]}: {started} of {jobs} started, " + (f"up {m[6]}" if m[6] else f"{done} done") + mark)
        elif m := NODE.match(line):
            print(f"  {m[1]}: processor {m[2]}, peak {m[3]}; {m[4]} MB; {m[5]} connections; {m[6]} restarts")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.error = lambda message: parser.exit(2, f"{parser.prog}: {message}\n")  # one line that starts with the program name
    parser.add_argument("entries", type=pathlib.Path, nargs="+")
    parser.add_argument("--least", type=float, default=0.6)
    args = parser.parse_args()
    for path in args.entries:
        report(json.loads(path.read_text()), args.least)


if __name__ == "__main__":
    main()
