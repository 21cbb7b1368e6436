"""Runs of a script with one seed after another."""
import argparse
import asyncio
import shutil
import sys


def parser(description):
    options = argparse.ArgumentParser(description=description.splitlines()[0])
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--runs", type=int, default=1)
    options.add_argument("--program", default="build/release/bronzeplank")
    return options


def play_all(options, new_run):
    """Plays each seed and exits with 1 if a run broke; only its folder is kept.

    A run has play(), which returns what broke, a folder, and summary().
    """
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        run = new_run(seed)
        broken = asyncio.run(run.play())
        print(f"seed {seed}: {run.summary()}, {len(broken)} broken", flush=True)
        for what in broken[:10]:
            print("  " + what)
        failed += bool(broken)
        if broken:
            print(f"  record kept in {run.folder}")
        else:
            shutil.rmtree(run.folder, ignore_errors=True)
    sys.exit(1 if failed else 0)
