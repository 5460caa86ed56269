"""Writes a trace of mass reconnects: `make_trace.py FILE [COUNT] [SECONDS] [SEED]`.

The rate falls linearly to half of its initial value.
"""

import sys

import numpy as np

from cottonspread.lab import trace

path, count, seconds, seed = (
    sys.argv[1],
    *(int(a) for a in (sys.argv[2:] + ["100000", "10", "5"][len(sys.argv) - 2 :])),
)
rng = np.random.default_rng(seed)
part = rng.uniform(0, 1, count)
at = np.sort(np.round(seconds * 2 * (1 - np.sqrt(1 - 0.75 * part)) * 1e6).astype(int))  # density 1 - t / 2
names = np.array(["farm-view", "field-save", "market-prices"])[rng.choice(3, count, p=[0.4, 0.3, 0.3])]
life = np.round(rng.exponential(400_000, count)).astype(int)
trace.write(
    path,
    [
        trace.Entry(at_us=int(a), type=str(n), life_us=int(v), group=f"g{g}")
        for a, n, v, g in zip(at, names, life, rng.integers(0, 5000, count), strict=True)
    ],
)
print(f"{count} connections in {seconds} s, busiest second: {np.bincount(at // 1_000_000).max()}")
