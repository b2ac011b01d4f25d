"""A capture as pictures: what each destination went through, in one page that needs nothing else.

The figures come from a replay with a module that watches itself (`explain/tracing.py`); matplotlib draws.
"""

from __future__ import annotations

import base64
import html
import io
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from kestreltrack.capture import records
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Step, Tape
from kestreltrack.decision import api
from kestreltrack.explain.tracing import Chosen, GivenUp, Health, Note, Traced, Watch

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.colors import ListedColormap

BINS = 240
MOST_ROWS = 40  # destinations in the maps; those with the most trouble
HEIGHTS = [2, 2, 2, 0.5]  # of the pictures of one destination
MOST_PANELS = 6  # destinations with a picture of their own
STATES = ("well", "slow start", "told wait", "draining", "open")
COLOURS = ("#e8f1e4", "#f4d35e", "#4f9dd9", "#9a9a9a", "#c8372d")
SERIES = ("arrived", "sent", "delivered", "not ok", "refused", "failed")


@dataclass(slots=True)
class Line:
    """One destination over the bins."""

    number: int
    held: Any
    out: Any
    pace: Any
    state: Any
    """Index into `STATES`: the worst in the bin."""
    counts: dict[str, Any]
    took: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    ends: Counter[str] = field(default_factory=Counter)
    whys: Counter[str] = field(default_factory=Counter)
    now: int = 0
    health: dict[str, int] = field(default_factory=dict)
    """By endpoint, the shared guard's under the empty name."""

    def latency(self, share: float) -> Any:
        """A quantile in ms for each bin; nothing where nothing ended."""
        return np.array([np.quantile(self.took[n], share) if n in self.took else np.nan for n in range(BINS)])

    def trouble(self) -> float:
        """What ranks it: ends that were no delivery, outcomes that were not ok, bins that were not well."""
        ends = sum(count for end, count in self.ends.items() if end != "delivered")
        return 5.0 * ends + float(self.counts["not ok"].sum()) + float((self.state > 0).sum())


@dataclass(slots=True)
class Picture:
    """All that the report draws."""

    sender: str = ""
    start: Any = None
    span: tuple[float, float] = (0.0, 0.0)
    lines: dict[int, Line] = field(default_factory=dict)
    marks: list[tuple[float, str]] = field(default_factory=list)
    slots: int = 0
    faults: list[str] = field(default_factory=list)
    parted: str = ""

    def times(self) -> Any:
        """The middle of each bin, in seconds from the start."""
        width = (self.span[1] - self.span[0]) / BINS / 1000.0
        return (np.arange(BINS) + 0.5) * width

    def total(self, name: str) -> Any:
        """One series over all destinations, per second."""
        width = max(1e-9, (self.span[1] - self.span[0]) / BINS / 1000.0)
        return sum((line.counts[name] for line in self.lines.values()), np.zeros(BINS)) / width


class _Collector:
    def __init__(self, span: tuple[float, float]) -> None:
        self.picture = Picture(span=span)
        self._width = max(1e-6, (span[1] - span[0]) / BINS)
        self._player = Player(Traced, self._made)
        self._dest = dict[str, int]()
        self._bin = 0

    def _made(self, policy: Traced) -> None:
        policy.watched(Watch(self._note, all=True, passed=False))
        self.picture.slots = policy.settings.slots
        self._dest = {m.id: policy.number(m.dest) for m in policy.messages.values()}
        self._dest |= {id_: policy.number(c.endpoint.dest) for (id_, _), (c, _) in policy.calls.items()}

    def line(self, number: int) -> Line:
        found = self.picture.lines.get(number)
        if found is None:
            zeros = {name: np.zeros(BINS) for name in SERIES}
            found = Line(
                number,
                np.zeros(BINS),
                np.zeros(BINS),
                np.full(BINS, np.nan),
                np.zeros(BINS, dtype=int),
                zeros,
            )
            self.picture.lines[number] = found
        return found

    def hear(self, step: Step) -> bool:
        record = step.record
        if record.clock:
            self._move(min(BINS - 1, int((record.clock - self.picture.span[0]) / self._width)))
        if record.kind == records.BEGAN:
            self.picture.sender = self.picture.sender or record.what.sender
        elif record.kind == records.MARK:
            self.picture.marks.append((record.clock, record.words()))
        elif record.kind == records.TOOK:
            self._event(record.what)
        differ = self._player.step(step)
        if differ is not None:
            self.picture.parted = f"record {step.number}: expected {differ[0]}, got {differ[1]}"
            return False
        if record.kind == records.DECIDED:
            self._sample()
        return True

    def _move(self, now: int) -> None:
        """Into another bin: states last until they change."""
        while self._bin < now:
            self._bin += 1
            for line in self.picture.lines.values():
                line.state[self._bin] = max(line.state[self._bin], line.now)

    def _event(self, event: api.Event) -> None:
        if isinstance(event, api.Arrived):
            self._dest[event.id] = event.dest
            self.line(event.dest).counts["arrived"][self._bin] += 1
        elif isinstance(event, api.Ended) and event.id in self._dest:
            line = self.line(self._dest[event.id])
            if event.outcome is api.Outcome.OK:
                line.took[self._bin].append(event.took_ms)
                line.counts["delivered"][self._bin] += event.over
                line.ends["delivered"] += event.over
            else:
                line.counts["not ok"][self._bin] += 1
            if event.over:
                self._dest.pop(event.id)

    def _note(self, now: float, note: Note) -> None:
        if isinstance(note, Chosen):
            self.line(self._dest[note.id]).counts["sent"][self._bin] += 1
        elif isinstance(note, GivenUp):
            line, end = self.line(self._dest[note.id]), "refused" if note.harmless else "failed"
            line.counts[end][self._bin] += 1
            line.ends[end] += 1
            line.whys[note.why] += 1
        elif isinstance(note, Health):
            line, state = self.line(note.dest), "draining" if note.state == "off the list" else note.state
            line.health[note.endpoint] = STATES.index(state)
            policy = self._player.policy
            names = policy.dests[note.dest].endpoints if policy and note.dest in policy.dests else ()
            # One endpoint that is well serves them all; the worst within a bin stays.
            best = min((line.health.get(name, 0) for name in names), default=0)
            line.now = line.health.get("", 0) or best
            line.state[self._bin] = max(line.state[self._bin], line.now)

    def _sample(self) -> None:
        policy = self._player.policy
        if policy is None:
            return
        for number, dest in policy.busy.items():
            line = self.line(number)
            line.held[self._bin] = max(line.held[self._bin], len(dest.held))
            line.out[self._bin] = max(line.out[self._bin], dest.out)
            if dest.guard is not None:
                line.pace[self._bin] = dest.guard.allowance(policy.now)[0]


def collect(
    tape: Tape, since: str | None = None, until: str | None = None, seen: Callable[[Step], None] | None = None
) -> Picture:
    """Replay and take the figures."""
    first, last = tape.span()
    span = (tape.clock(since) if since else first, tape.clock(until) if until else last)
    collector = _Collector(span)
    for step in tape.walk(tape.at(span[0]), span[1]):
        if seen:
            seen(step)
        if not collector.hear(step):
            break
    picture = collector.picture
    picture.start, picture.faults = tape.wall(span[0]), tape.faults
    return picture


# Drawing -------------------------------------------------------------------------------------------


def _png(figure: Any) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return out.getvalue()


def _marks(axis: Any, picture: Picture) -> None:
    for clock, _ in picture.marks:
        axis.axvline((clock - picture.span[0]) / 1000.0, color="#888888", linewidth=0.7, linestyle=":")


def draw_overview(picture: Picture) -> bytes:
    """Rates, slots and held messages of the whole sender."""
    figure, axes = plt.subplots(3, 1, figsize=(11, 7.5), sharex=True)
    times = picture.times()
    for name, colour in zip(
        SERIES, ("#333333", "#4f9dd9", "#3a8f4d", "#f28e2b", "#9467bd", "#c8372d"), strict=True
    ):
        axes[0].plot(times, picture.total(name), label=name, color=colour, linewidth=1.2)
    axes[0].set_ylabel("a second")
    axes[0].legend(ncols=6, fontsize=8, loc="upper right")
    out = sum((line.out for line in picture.lines.values()), np.zeros(BINS))
    held = sum((line.held for line in picture.lines.values()), np.zeros(BINS))
    axes[1].fill_between(times, out, step="mid", color="#4f9dd9", alpha=0.6)
    axes[1].axhline(picture.slots, color="#c8372d", linewidth=0.8)
    axes[1].set_ylabel("calls out\n(peaks, summed)")
    axes[2].fill_between(times, held, step="mid", color="#f28e2b", alpha=0.6)
    axes[2].set_ylabel("held\n(peaks, summed)")
    axes[2].set_xlabel("seconds")
    for axis in axes:
        _marks(axis, picture)
        axis.grid(alpha=0.25)
    return _png(figure)


def draw_maps(picture: Picture, lines: list[Line]) -> bytes:
    """Health, held messages and latency of many destinations, one row each."""
    figure, axes = plt.subplots(
        1, 3, figsize=(15, 1.6 + 0.19 * len(lines)), sharey=True, layout="constrained"
    )
    extent = (0.0, (picture.span[1] - picture.span[0]) / 1000.0, len(lines) - 0.5, -0.5)
    states = np.array([line.state for line in lines])
    shown = axes[0].imshow(
        states,
        aspect="auto",
        extent=extent,
        cmap=ListedColormap(COLOURS),
        vmin=-0.5,
        vmax=len(STATES) - 0.5,
        interpolation="nearest",
    )
    bar = figure.colorbar(shown, ax=axes[0], ticks=range(len(STATES)))
    bar.ax.set_yticklabels(STATES)
    axes[0].set_title("health (worst in its bin)")
    for axis, title, rows, colours in (
        (axes[1], "held, at most", np.array([line.held for line in lines]), "Oranges"),
        (axes[2], "latency, median in ms", np.array([line.latency(0.5) for line in lines]), "Blues"),
    ):
        shown = axis.imshow(rows, aspect="auto", extent=extent, cmap=colours, interpolation="nearest")
        figure.colorbar(shown, ax=axis)
        axis.set_title(title)
    for axis in axes:
        axis.set_xlabel("seconds")
    axes[0].set_yticks(range(len(lines)), [str(line.number) for line in lines], fontsize=7)
    axes[0].set_ylabel("destination")
    return _png(figure)


def draw_line(picture: Picture, line: Line) -> bytes:
    """Everything about one destination."""
    figure, axes = plt.subplots(
        4, 1, figsize=(11, 7), sharex=True, height_ratios=HEIGHTS, layout="constrained"
    )
    times, width = picture.times(), max(1e-9, (picture.span[1] - picture.span[0]) / BINS / 1000.0)
    axes[0].step(times, line.out, where="mid", color="#4f9dd9", label="slots, at most")
    axes[0].step(times, line.held, where="mid", color="#f28e2b", label="held, at most")
    axes[1].plot(
        times, line.latency(0.5), color="#1f4e79", label="latency, median ms", marker=".", markersize=3
    )
    axes[1].plot(times, line.latency(0.99), color="#9ec5e8", label="latency, 99th", marker=".", markersize=3)
    axes[2].step(times, line.counts["sent"] / width, where="mid", color="#4f9dd9", label="sent a second")
    axes[2].step(times, line.counts["not ok"] / width, where="mid", color="#f28e2b", label="not ok")
    ends = (line.counts["refused"] + line.counts["failed"]) / width
    axes[2].step(times, ends, where="mid", color="#c8372d", label="refused or failed")
    axes[2].plot(times, line.pace, color="#3a8f4d", linewidth=0.9, linestyle="--", label="pace")
    axes[3].imshow(
        line.state[None, :],
        aspect="auto",
        extent=(0.0, times[-1] + width / 2, 0, 1),
        cmap=ListedColormap(COLOURS),
        vmin=-0.5,
        vmax=len(STATES) - 0.5,
        interpolation="nearest",
    )
    axes[3].set_yticks([])
    axes[3].set_ylabel("health", rotation=0, ha="right", va="center")
    axes[3].set_xlabel("seconds")
    for axis in axes[:3]:
        axis.legend(fontsize=8, loc="upper right")
        axis.grid(alpha=0.25)
        _marks(axis, picture)
    figure.suptitle(f"destination {line.number}")
    return _png(figure)


def ranked(picture: Picture) -> list[Line]:
    """The destinations, most trouble first; among equals the busiest."""
    return sorted(picture.lines.values(), key=lambda ln: (-ln.trouble(), -ln.counts["sent"].sum(), ln.number))


HEADS = [
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


def rows(picture: Picture) -> list[list[str]]:
    """The summary: one row a destination."""
    found = list[list[str]]()
    for line in ranked(picture):
        took = [ms for part in line.took.values() for ms in part]
        quantiles = [f"{np.quantile(took, q):.0f}" for q in (0.5, 0.99)] if took else ["", ""]
        counts = [f"{int(line.counts[name].sum())}" for name in ("arrived", "sent")]
        counts += [str(line.ends[name]) for name in ("delivered", "refused", "failed")]
        found.append(
            [
                str(line.number),
                *counts,
                f"{int(line.counts['not ok'].sum())}",
                f"{int(line.held.max())}",
                f"{int(line.out.max())}",
                *quantiles,
                f"{(line.state > 0).mean():.0%}",
                ", ".join(f"{why} {count}" for why, count in line.whys.most_common()),
            ]
        )
    return found


PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font: 14px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 1250px; padding: 0 1rem; color: #222; }}
img {{ max-width: 100%; }}
table {{ border-collapse: collapse; font-variant-numeric: tabular-nums; }}
td, th {{ padding: .15rem .6rem; border-bottom: 1px solid #ddd; text-align: right; }}
td:last-child, th:last-child {{ text-align: left; }}
.fault {{ color: #c8372d; }}
</style></head><body>
<h1>{title}</h1><p>{facts}</p>{faults}
<h2>The whole sender</h2>{overview}
<h2>Destinations, most trouble first</h2>{maps}
{panels}
<h2>All destinations</h2>
<table><thead><tr>{heads}</tr></thead><tbody>{rows}</tbody></table>
</body></html>
"""


def write(picture: Picture, folder: Path) -> list[Path]:
    """The page and its pictures in a folder; returns what was written."""
    folder.mkdir(parents=True, exist_ok=True)
    top = ranked(picture)
    pictures = {"overview.png": draw_overview(picture)}
    if top:
        pictures["destinations.png"] = draw_maps(picture, top[:MOST_ROWS])
    for line in top[:MOST_PANELS]:
        pictures[f"destination-{line.number}.png"] = draw_line(picture, line)
    written = list[Path]()
    for name, data in pictures.items():
        (folder / name).write_bytes(data)
        written.append(folder / name)

    def image(name: str) -> str:
        data = base64.b64encode(pictures[name]).decode() if name in pictures else ""
        return f'<img alt="{name}" src="data:image/png;base64,{data}">' if data else ""

    title = f"Capture of {picture.sender or 'a sender'}"
    span = (picture.span[1] - picture.span[0]) / 1000.0
    faults = [*picture.faults, *([f"parted from the capture at {picture.parted}"] if picture.parted else [])]
    page = PAGE.format(
        title=html.escape(title),
        facts=html.escape(
            f"{picture.start:%Y-%m-%d %H:%M:%S} UTC, {span:.1f} s, {len(picture.lines)} destinations, "
            f"{picture.slots} slots; each bin of the pictures is {span / BINS:.2f} s"
        ),
        faults="".join(f'<p class="fault">{html.escape(fault)}</p>' for fault in faults),
        overview=image("overview.png"),
        maps=image("destinations.png"),
        panels="".join(image(f"destination-{line.number}.png") for line in top[:MOST_PANELS]),
        heads="".join(f"<th>{html.escape(head)}</th>" for head in HEADS),
        rows="".join(
            "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
            for row in rows(picture)
        ),
    )
    (folder / "report.html").write_text(page)
    return [folder / "report.html", *written]
