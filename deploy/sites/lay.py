"""Lays beside the site files here what the operators' bench wants there,
from a folder of theirs that holds it:

    python deploy/sites/lay.py FOLDER

Git ignores what is laid. A file that FOLDER does not hold is named, and the exit code is 1.
"""

import shutil
import sys
from pathlib import Path

WANTED = "wire.json", "real.json", "unlock.txt"


def lay(source, target):
    """The names that were missing."""
    missing = []
    for name in WANTED:
        if (source / name).is_file():
            shutil.copyfile(source / name, target / name)
        else:
            missing.append(name)
    return missing


def main(given):
    if len(given) != 1:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    missing = lay(Path(given[0]), Path(__file__).parent)
    for name in missing:
        print(f"{given[0]}: holds no {name}, without which the bench plays no site", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
