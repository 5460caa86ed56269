"""A host's load report, in the platform's words, as the module's event. Both fronts hand it over."""
from cottonspread import interface as io


def probed(host, ending, waited, report):
    """The end of a probe. `waited`: microseconds; `report`: values by name, `x0` load asked over what the host can do, `x1` seconds of
    work piled up; a value that is not there counts as not told."""
    return io.Probed(host, ending, waited, report.get("x0", -1.0), report.get("x1", 0.0))
