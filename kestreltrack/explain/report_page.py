"""Writes a report as a self-contained HTML page with embedded images."""

from __future__ import annotations

import base64
import html
from pathlib import Path

import numpy as np

from kestreltrack.explain.report import BINS, DestinationSeries, ReportData
from kestreltrack.explain.report_charts import draw_destination, draw_heatmaps, draw_overview

# The destinations of the greatest severity that have a row in the heatmaps, and that have a chart of their own.
MAX_HEATMAP_ROWS = 40
MAX_PANELS = 6
# Also the keys of `report --json`.
COLUMN_TITLES = [
    "destination",
    "arrived",
    "sent",
    "delivered",
    "refused",
    "failed",
    "not ok",
    "most held",
    "most out",
    "median ms",
    "99th ms",
    "not well",
    "ends for",
]


def rank_destinations(data: ReportData) -> list[DestinationSeries]:
    """Return the destinations by descending severity, then by descending number of attempts."""
    return sorted(
        data.destinations.values(),
        key=lambda series: (-series.severity(), -series.counts["sent"].sum(), series.number),
    )


def summary_rows(data: ReportData) -> list[list[str]]:
    """Return one row per destination, with the columns `COLUMN_TITLES`."""
    return [_summary_row(series) for series in rank_destinations(data)]


def _summary_row(series: DestinationSeries) -> list[str]:
    latencies_ms = [
        latency for bin_latencies_ms in series.latencies_ms.values() for latency in bin_latencies_ms
    ]
    quantiles = ["", ""]
    if latencies_ms:
        quantiles = [f"{np.quantile(latencies_ms, quantile):.0f}" for quantile in (0.5, 0.99)]
    return [
        str(series.number),
        *(f"{int(series.counts[name].sum())}" for name in ("arrived", "sent")),
        *(str(series.end_counts[name]) for name in ("delivered", "refused", "failed")),
        f"{int(series.counts['not ok'].sum())}",
        f"{int(series.queued.max())}",
        f"{int(series.in_flight.max())}",
        *quantiles,
        f"{(series.health_state > 0).mean():.0%}",
        ", ".join(f"{reason} {count}" for reason, count in series.reason_counts.most_common()),
    ]


PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font: 14px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 1250px; padding: 0 1rem; color: #222; }}
img {{ max-width: 100%; }}
table {{ border-collapse: collapse; font-variant-numeric: tabular-nums; }}
td, th {{ padding: .15rem .6rem; border-bottom: 1px solid #ddd; text-align: right; }}
td:last-child, th:last-child {{ text-align: left; }}
.fault {{ color: #c8372d; }}
</style></head><body>
<h1>{title}</h1><p>{summary}</p>{faults}
<h2>Sender</h2>{overview}
<h2>Destinations, most severe first</h2>{heatmaps}
{panels}
<h2>All destinations</h2>
<table><thead><tr>{heads}</tr></thead><tbody>{rows}</tbody></table>
</body></html>
"""


def write_report(data: ReportData, folder: Path) -> list[Path]:
    """Write the page and its images to a folder and return the paths, the page first.

    Raises:
        OSError: A file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    images = _draw_images(data)
    written = list[Path]()
    for name, png in images.items():
        (folder / name).write_bytes(png)
        written.append(folder / name)
    page = folder / "report.html"
    page.write_text(_render_page(data, images))
    return [page, *written]


def _draw_images(data: ReportData) -> dict[str, bytes]:
    """Return the images by file name."""
    ranked = rank_destinations(data)
    images = {"overview.png": draw_overview(data)}
    if ranked:
        images["destinations.png"] = draw_heatmaps(data, ranked[:MAX_HEATMAP_ROWS])
    for series in ranked[:MAX_PANELS]:
        images[f"destination-{series.number}.png"] = draw_destination(data, series)
    return images


def _render_page(data: ReportData, images: dict[str, bytes]) -> str:
    faults = list(data.corruptions)
    if data.divergence:
        faults.append(f"the present decision module diverges from the capture at {data.divergence}")
    panels = [name for name in images if name.startswith("destination-")]
    return PAGE_TEMPLATE.format(
        title=html.escape(f"Capture of {data.sender or 'a sender'}"),
        summary=html.escape(_summary_line(data)),
        faults="".join(f'<p class="fault">{html.escape(fault)}</p>' for fault in faults),
        overview=_image(images, "overview.png"),
        heatmaps=_image(images, "destinations.png"),
        panels="".join(_image(images, name) for name in panels),
        heads="".join(f"<th>{html.escape(title)}</th>" for title in COLUMN_TITLES),
        rows="".join(_table_row(row) for row in summary_rows(data)),
    )


def _summary_line(data: ReportData) -> str:
    span_s = data.span_s()
    return (
        f"{data.start_time:%Y-%m-%d %H:%M:%S} UTC, {span_s:.1f} s, {len(data.destinations)} destinations, "
        f"{data.concurrency_limit} slots; one bin of the charts is {span_s / BINS:.2f} s"
    )


def _table_row(cells: list[str]) -> str:
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"


def _image(images: dict[str, bytes], name: str) -> str:
    """Return an embedded image element, or an empty text if there is no image of that name."""
    if name not in images:
        return ""
    encoded = base64.b64encode(images[name]).decode()
    return f'<img alt="{name}" src="data:image/png;base64,{encoded}">'
