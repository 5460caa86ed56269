"""Turns a host's load report, in the platform's notation, into an event. Both front ends use it."""

from cottonspread import interface as io


def parse_load_report(text):
    """The values of a load report by name; the report is NAME:VALUE pairs separated by commas.

    Values that are not finite, negative or beyond any plausible range are left out: they must not invalidate
    the answer to the probe, for which calls wait.
    """
    values = {}
    for pair in (text or "").split(","):
        name, _, value = pair.strip().partition(":")
        try:
            values[name] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in values.items() if 0 <= value < 1e15}


def probe_ended(host, ending, waited, report):
    """A `ProbeEnded` event.

    `waited`: microseconds; `report`: values by name, `x0` the host's load over its capacity, `x1` seconds of
    queued work; a missing value counts as not reported.
    """
    return io.ProbeEnded(host, ending, waited, report.get("x0", -1.0), report.get("x1", 0.0))
