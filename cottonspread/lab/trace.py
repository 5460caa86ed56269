"""Reads and writes traces of recorded connections: JSON Lines compressed with zstandard.

An error names the number of the invalid line; a trace with an invalid line is not loaded at all.
"""

import io
import zlib

import msgspec
import numpy as np
import zstandard

SECOND = 1_000_000


class Entry(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One recorded connection."""

    at_us: int  # microseconds after the trace's start
    type: str
    life_us: int  # microseconds from UP to its end
    group: str = ""
    tenant: int = 0


class TraceError(ValueError):
    """A trace that cannot be read or does not fit the plan."""


def read(path):
    """Returns all entries, ordered by time. TraceError names the invalid line."""
    decoder, entries = msgspec.json.Decoder(Entry), []
    try:
        with open(path, "rb") as file, zstandard.ZstdDecompressor().stream_reader(file) as plain:
            for number, line in enumerate(io.BufferedReader(plain), 1):
                try:
                    entry = decoder.decode(line)
                except (msgspec.DecodeError, msgspec.ValidationError) as error:
                    raise TraceError(f"{path}: line {number}: {error}") from None
                if entry.at_us < 0 or entry.life_us < 0 or not 0 <= entry.tenant < 32768:
                    raise TraceError(f"{path}: line {number}: at_us, life_us or tenant out of range")
                entries.append(entry)
    except zstandard.ZstdError as error:
        raise TraceError(f"{path}: after line {len(entries)}: {error}") from None
    if not entries:
        raise TraceError(f"{path}: the trace is empty")
    return sorted(entries, key=lambda e: e.at_us)


def write(path, entries):
    """Writes the entries, ordered by time."""
    encoder = msgspec.json.Encoder()
    with open(path, "wb") as file, zstandard.ZstdCompressor(level=6).stream_writer(file) as out:
        for entry in sorted(entries, key=lambda e: e.at_us):
            out.write(encoder.encode(entry) + b"\n")


def columns(entries, types, start):
    """Returns the entries as a schedule's columns. `start`: seconds after the run's start."""
    numbers = {name: n for n, name in enumerate(types)}
    for entry in entries:
        if entry.type not in numbers:
            raise TraceError(
                f"traffic type {entry.type} of the trace is not among the load's: {', '.join(types)}"
            )
    return (
        np.array([e.at_us for e in entries], np.int64) + round(start * SECOND),
        np.array([numbers[e.type] for e in entries], np.int16),
        np.array([zlib.crc32(e.group.encode()) & 0x7FFFFFFF for e in entries], np.int32),
        np.array([e.tenant for e in entries], np.int16),
        np.array([e.life_us for e in entries], np.int64),
    )


def from_calls(calls):
    """Returns a run's connections as a trace: first calls that came up, with their durations."""
    return [
        Entry(
            at_us=call["intended"],
            type=call["type"],
            group=call["group"],
            tenant=call.get("tenant", 0),
            life_us=max(0, call["end"] - call["answers"][0][0]),
        )
        for call in calls
        if not call["retry"]
        and not call["again"]
        and call["answers"]
        and call["answers"][0][1] == "UP"
        and call["end"]
    ]
