"""Copies the files that the operators' bench needs from a folder of theirs beside the site files here:

    python deploy/sites/lay.py FOLDER

Git ignores the copies. A file that FOLDER does not contain is named, and the exit code is 1.
"""

import shutil
import sys
from pathlib import Path

WANTED = "wire.json", "real.json", "unlock.txt"


def lay(source, target):
    """Copies the files and returns the names of those that are missing."""
    missing = []
    for name in WANTED:
        if (source / name).is_file():
            shutil.copyfile(source / name, target / name)
        else:
            missing.append(name)
    return missing


def main(given):
    """Runs the command; returns its exit code."""
    if len(given) != 1:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    missing = lay(Path(given[0]), Path(__file__).parent)
    for name in missing:
        print(f"{given[0]}: does not contain {name}, without which the bench runs no site", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
