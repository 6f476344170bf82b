#!/usr/bin/env python3
"""Writes a variant of a site file of the bench: machines, capacity, teams and traffic multiplied by a factor, another restart delay
of processes, another number of controllers, or machines moved between zones. All other settings stay as they are.

    tools/site_variant.py SITE --times 1.5 --restart-after 0.2 --out target/sites

The file that the site names as `wire` is copied next to the variant. docs/operations.md, "Sizes", has results of such variants.
"""
import argparse
import pathlib
import re
import shutil

# Key -> the tables in which its value is multiplied by `--times`.
GROWS = {
    "count": {"capacity", "machines"},
    "spot": {"capacity"},
    "initial": {"jobs"},
    "rate": {"jobs"},
    "cpus": {"teams"},
    "cpus_max": {"teams"},
    "gpus": {"teams"},
    "gpus_max": {"teams"},
}


def grown(text: str, times: float, whole: bool) -> str:
    value = float(text) * times
    return str(max(1, round(value))) if whole and float(text) > 0 else f"{value:g}"


def variant(lines, args):
    table, zones = "", []
    for line in lines:
        if header := re.match(r"\s*\[+([\w.]+)\]+", line):
            table = header[1]
        key = re.match(r"\s*(\w+)\s*=", line)
        name = key[1] if key else ""
        if table == "nodes" and name == "zones":
            zones = re.findall(r'"([^"]+)"', line)
        if table == "nodes" and name == "restart_delay_s" and args.restart_after is not None:
            line = f"restart_delay_s = {args.restart_after}"
        elif table == "nodes" and name == "count" and args.controllers:
            line = f"count = {args.controllers}"
        elif name == "count" and table == "nodes":
            pass
        elif name == "arrivals":
            line = re.sub(r"(rate\s*=\s*)([\d.]+)", lambda m: m[1] + grown(m[2], args.times, False), line)
        elif table in GROWS.get(name, ()):
            line = re.sub(r"=\s*([\d.]+)", lambda m: "= " + grown(m[1], args.times, name in ("count", "spot", "initial")), line)
        elif table in ("capacity", "machines") and name == "zone" and args.zone_shift and zones:
            at = zones.index(re.search(r'"([^"]+)"', line)[1])
            line = f'zone = "{zones[(at + args.zone_shift) % len(zones)]}"'
        yield line


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.error = lambda message: parser.exit(2, f"{parser.prog}: {message}\n")  # one line that starts with the program name
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--times", type=float, default=1.0, help="factor for machines, capacity, teams and traffic")
    parser.add_argument("--restart-after", type=float, help="seconds until a process that ended is restarted")
    parser.add_argument("--controllers", type=int, help="number of controllers")
    parser.add_argument("--zone-shift", type=int, default=0, help="number of zones by which the machines of each zone are moved")
    parser.add_argument("--out", type=pathlib.Path, required=True, help="directory for the variant")
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    lines = args.site.read_text().splitlines()
    if wire := next((m[1] for l in lines if (m := re.match(r'wire\s*=\s*"([^"]+)"', l))), None):
        target = args.out / wire
        target.unlink(missing_ok=True)
        shutil.copyfile(args.site.parent / wire, target)
    name = args.site.stem
    for what, given in (("x", args.times if args.times != 1 else None), ("r", args.restart_after),
                        ("c", args.controllers), ("z", args.zone_shift or None)):
        if given is not None:
            name += f"-{what}{given:g}"
    out = args.out / f"{name}.toml"
    out.write_text("\n".join(variant(lines, args)) + "\n")
    print(out)


if __name__ == "__main__":
    main()
