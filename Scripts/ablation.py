#!/usr/bin/env python3
"""Measures what each mechanism of the gateway is worth: plays days of a bench with one mechanism switched off at a time.

  ablation.py --bench PROGRAM --site FILE --days DAY,... --seeds N,... --output FOLDER [--only NAME,...] [--jobs N]

Works on a clone of the committed state, which it makes in FOLDER/repository, and changes only the settings template
there. Finished runs are kept in FOLDER/runs.json, so that an interrupted run continues. Writes FOLDER/table.md and
FOLDER/plot.svg. Each run ends after RUN_SECONDS at the latest.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN_SECONDS = 300
NAMES_HEADER = ROOT / "Libraries" / "Gateway" / "Mechanisms.h"
TEMPLATE = pathlib.Path("deploy") / "settings.template"
MEMORY_LINE = '    "memoryMb"'
WORTH = re.compile(r"^worth (-?[\d.]+) = ", re.M)


def mechanism_names():
    """Returns the names that the setting disabledMechanisms takes."""
    return re.findall(r'\{ "(\w+)", Mechanism::', NAMES_HEADER.read_text(encoding="utf-8"))


def prepare(folder, bench):
    """Clones the committed state and builds it once; returns the clone and the text of its settings template."""
    clone = folder / "repository"
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    subprocess.run(["git", "-C", str(clone), "checkout", "-q", str(TEMPLATE)], check=True)
    subprocess.run([bench, "build"], cwd=clone, check=True)
    return clone, (clone / TEMPLATE).read_text(encoding="utf-8")


def play(bench, clone, site, name, day, seed):
    """Plays one day and returns its worth; None when the run gave none."""
    command = [bench, "run", site, day, "--seed", seed, "--no-cpu", "--why", f"ablation: without {name}"]
    try:
        run = subprocess.run(command, cwd=clone, capture_output=True, text=True, check=False, timeout=RUN_SECONDS)
    except subprocess.TimeoutExpired:
        return None
    found = WORTH.search(run.stdout)
    return float(found[1]) if found else None


def mean(values):
    """Returns the mean of the values that were measured."""
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known else float("nan")


def write_table(folder, runs, days, seeds):
    """Writes the mean worth of each day and the difference to the whole system."""
    names = sorted({key.split(" ")[0] for key in runs} - {"nothing"})
    lines = ["| without | " + " | ".join(days) + " | mean | worth of the mechanism |", "|---" * (len(days) + 3) + "|"]
    rows = []
    for name in ["nothing", *names]:
        by_day = [mean([runs.get(f"{name} {day} {seed}") for seed in seeds]) for day in days]
        rows.append((name, by_day, mean(by_day)))
    whole = rows[0][2]
    for name, by_day, total in rows:
        cells = " | ".join(f"{value:.3f}" for value in by_day)
        lines.append(f"| {name} | {cells} | {total:.4f} | {whole - total:+.4f} |")
    (folder / "table.md").write_text("\n".join(lines) + "\n", encoding="utf-8")
    return [(name, whole - total) for name, _, total in rows[1:]]


def write_plot(folder, worths):
    """Draws the worth of each mechanism as a bar."""
    data = folder / "plot.dat"
    data.write_text("".join(f'"{name}" {worth:.5f}\n' for name, worth in worths), encoding="utf-8")
    commands = (f'set terminal svg size 900,420; set output "{folder}/plot.svg"; set style fill solid; set boxwidth 0.7;'
                'set xtics rotate by -30; set ylabel "worth of the mechanism"; set grid y; unset key;'
                f'plot "{data}" using 0:2:xtic(1) with boxes')
    subprocess.run(["gnuplot", "-e", commands], check=False)


def main():
    """Plays what is missing and writes table and plot."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name in ("--bench", "--site", "--days", "--seeds", "--output"):
        parser.add_argument(name, required=True)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=3)
    arguments = parser.parse_args()
    days, seeds = arguments.days.split(","), arguments.seeds.split(",")
    names = arguments.only.split(",") if arguments.only else mechanism_names()
    folder = pathlib.Path(arguments.output).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    saved = folder / "runs.json"
    runs = json.loads(saved.read_text(encoding="utf-8")) if saved.exists() else {}
    clone, template = prepare(folder, arguments.bench)
    for name in ["nothing", *names]:
        disabled = "" if name == "nothing" else f'    "disabledMechanisms": ["{name}"],\n'
        (clone / TEMPLATE).write_text(template.replace(MEMORY_LINE, disabled + MEMORY_LINE), encoding="utf-8")
        missing = [(day, seed) for day in days for seed in seeds if f"{name} {day} {seed}" not in runs]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            played = pool.map(lambda run, name=name: play(arguments.bench, clone, arguments.site, name, *run), missing)
            for (day, seed), worth in zip(missing, played):
                runs[f"{name} {day} {seed}"] = worth
        saved.write_text(json.dumps(runs, indent=1), encoding="utf-8")
        print(f"{name}: played {len(missing)} of {len(days) * len(seeds)} days", file=sys.stderr)
    (clone / TEMPLATE).write_text(template, encoding="utf-8")
    write_plot(folder, write_table(folder, runs, days, seeds))
    print((folder / "table.md").read_text(encoding="utf-8"))


if __name__ == "__main__":
    main()
