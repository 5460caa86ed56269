"""Writes `report.html` for a folder of runs: one file with embedded plots, readable without a network."""

import base64
import io
import os

import jinja2
import matplotlib

from cottonspread.lab import results

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  the backend must be chosen first

PAGE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<meta charset="utf-8"><title>{{ title }}</title>
<style>body{font:15px sans-serif;max-width:72em;margin:2em auto;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.25em .7em;text-align:right}td:first-child,th:first-child{text-align:left}
.bad{color:#a00;font-weight:bold}img{max-width:100%}pre{white-space:pre-wrap;background:#f4f4f4;padding:.6em}</style>
<h1>{{ title }}</h1><p>All figures come from simulated servers and clients on one machine.</p>
{% for r, plot in runs %}<h2>{{ r.variant }}, seed {{ r.seed }}</h2>
<p{% if not r.usable %} class="bad"{% endif %}>{{ "usable" if r.usable else "not usable" }}
{%- for x in r.reasons %}; {{ x }}{% endfor %}</p>
<table><tr><th>offered<th>came up<th>revenue<th>generator late p99.9 us
{%- for k in r.answers %}<th>{{ k }}{% endfor %}
<tr><td>{{ r.offered }}<td>{{ "%.2f%%"|format(100 * r.served_share) }}<td>{{ "%.3f"|format(r.revenue) }}
<td>{{ r.lateness.p999 }}
{% for v in r.answers.values() %}<td>{{ v }}{% endfor %}</table>
<table><tr><th>set-up, ms<th>count<th>p50<th>p90<th>p99<th>p99.9<th>max{% for name, s in r.latency.items() %}
<tr><td>{{ name }}<td>{{ s.count }}
{%- for v in (s.p50, s.p90, s.p99, s.p999, s.max) %}<td>{{ "%.2f"|format(v / 1000) }}{% endfor %}
{%- endfor %}</table>
<table><tr><th>rule<th>checked<th>broken{% for n, rule in r.audit.rules.items() %}
<tr><td>{{ n }}: {{ rule.meaning }}<td>{{ rule.checked }}
<td{% if rule.broken %} class="bad"{% endif %}>{{ rule.broken }}{% endfor %}</table>
{% for o in r.audit.offences %}<p class="bad">Rule {{ o.rule }}: {{ o.what }}: {{ o.count }} times</p>
<pre>{{ o.first[0] }}</pre>{% endfor %}
<img alt="over time" src="data:image/png;base64,{{ plot }}">{% endfor %}""")


def plot(result):
    """Plots rates, latency, connections by host and the nodes' usage over time, with the faults marked.

    Returns the PNG image in base64.
    """
    lines = result.timeline
    s = [line["s"] for line in lines]
    figure, axes = plt.subplots(5, 1, figsize=(11, 15), sharex=True)

    def series(axis, keys, scale=1.0):
        for key in keys:
            axis.plot(s, [line.get(key, 0) / scale for line in lines], label=key.removesuffix("_us"))
        axis.legend(loc="upper right", fontsize=8, ncols=5, framealpha=0.6)

    series(axes[0], ("offered", "up"))
    axes[0].set_ylabel("calls a second")
    series(axes[1], ("busy", "none", "other", "moved", "broken"))
    axes[1].set_ylabel("answers and ends a second")
    series(axes[2], ("p50_us", "p99_us"), 1000)
    axes[2].set(yscale="symlog", ylabel="set-up, ms")
    names = sorted({name for line in lines for name in line["hosts"]}, key=lambda n: int(n[1:]))
    for name in names[:30]:
        axes[3].plot(
            s,
            [line["hosts"].get(name, 0) for line in lines],
            linewidth=1,
            label=name if len(names) <= 12 else None,
        )
    axes[3].set_ylabel("connections by server")
    if 0 < len(names) <= 12:
        axes[3].legend(loc="upper left", fontsize=7, ncols=6)
    second = axes[4].twinx()
    for name in sorted({n for line in lines for n in line["nodes"]}):
        axes[4].plot(s, [line["nodes"].get(name, {}).get("cpu", 0) for line in lines], label=f"{name} cores")
        second.plot(
            s,
            [line["nodes"].get(name, {}).get("rss_mb", 0) for line in lines],
            linestyle=":",
            label=f"{name} MB",
        )
    axes[4].set(ylabel="cores (lines)", xlabel="seconds")
    second.set_ylabel("MB (dotted)")
    axes[4].legend(loc="upper left", fontsize=7, ncols=6)
    for axis in axes:
        axis.grid(alpha=0.3)
        for fault in result.faults:
            axis.axvspan(fault["at"], fault["at"] + max(fault["seconds"], 0.1), color="#c33", alpha=0.15)
    for fault in result.faults:
        axes[0].annotate(
            fault["kind"] + " " + ",".join(fault["on"])[:30],
            (fault["at"], axes[0].get_ylim()[1]),
            fontsize=7,
            rotation=20,
        )
    figure.tight_layout()
    image = io.BytesIO()
    figure.savefig(image, dpi=85)
    plt.close(figure)
    return base64.b64encode(image.getvalue()).decode()


def write(folder):
    """Writes `report.html` into the folder, atomically, and returns its path."""
    runs = results.read_all(folder)
    path = os.path.join(folder, "report.html")
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(PAGE.render(title=runs[0].name, runs=[(r, plot(r)) for r in runs]))
    os.replace(path + ".new", path)
    return path
