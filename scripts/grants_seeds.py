"""Plays random faults of instances that grant leases without the store.

Prints each seed in which a lease was granted later than a later scheduler
assumes, with what happened before it, and exits with 1 if there is one.
"""

import argparse
import logging
import pathlib
import sys

import structlog

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))

import grants_faults


def main() -> int:
    """Plays the seeds of the command line.

    Returns:
        The exit status: 0 if no seed is red, else 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--first", type=int, default=1)
    arguments = parser.parse_args()
    # The instances log each term.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    red = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        outcome = grants_faults.play(seed)
        if outcome.fault:
            red.append(seed)
            print(outcome.describe())
    print(
        f"{arguments.seeds} seeds from {arguments.first}, {len(red)} red: {red}"
    )
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
