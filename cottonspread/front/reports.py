"""A host's load report, in the platform's words, as the module's event. Both fronts hand it over."""

from cottonspread import interface as io


def parse_load_report(text):
    """A load report, NAME:VALUE pairs set apart by commas, as values by name.

    One that is no finite number, negative or out of any range is left out: it must not cost the
    probe's answer, for which calls wait.
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
    """The end of a probe.

    `waited`: microseconds; `report`: values by name, `x0` load asked over what the host can do, `x1` seconds
    of work piled up; a value that is not there counts as not told.
    """
    return io.ProbeEnded(host, ending, waited, report.get("x0", -1.0), report.get("x1", 0.0))
