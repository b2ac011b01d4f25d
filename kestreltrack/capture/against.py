"""Another version of the decision module on a captured input: how its decisions would have differed.

The other version is loaded beside the present one, from a folder or a commit of this checkout, under a name of its
own; nothing of the present one is replaced.  The two agree on the input only up to their first difference: what the
capture holds behind it answers sends that the other version never made.  So each parting voids the stretch up to the
next checkpoint, where the other version takes up the captured state and is comparable again.
"""

from __future__ import annotations

import dis
import importlib
import importlib.util
import io
import re
import subprocess
import sys
import tarfile
import tempfile
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

import kestreltrack
from kestreltrack.capture import records
from kestreltrack.capture.replay import Player
from kestreltrack.capture.walk import Place, Step, Tape
from kestreltrack.decision import Policy, api
from kestreltrack.snapshot.stored_forms import (
    ACTION_FORMS,
    ACTION_NAMES,
    ACTION_TYPES,
    EVENT_NAMES,
    event_form,
)

NEEDED = ("decision", "snapshot")
IMPORTS = re.compile(r"\bkestreltrack\.(decision|snapshot)\b")
PRESENT = {kind.__name__: kind for kind in records.ACTIONS}
PARTS = (
    "settings",
    "random",
    "dests",
    "busy",
    "keys",
    "ends",
    "scarce",
    "leaving",
    "messages",
    "actions",
    "calls",
)
MOST_PARTINGS = 50


class CannotLoad(Exception):
    """There is no other version to be had there; the text says why."""


class Other:
    """A version of the module under a name of its own."""

    def __init__(self, where: str) -> None:
        """From a folder that holds `decision/` or `kestreltrack/decision/`, else from a commit."""
        self.where = where
        self._folder = tempfile.TemporaryDirectory(prefix="kestreltrack-other-")
        name = f"kestreltrack_other_{abs(hash(self._folder.name))}"
        package = Path(self._folder.name) / name
        package.mkdir()
        (package / "__init__.py").touch()
        for part, files in _sources(where).items():
            for file, text in files.items():
                target = package / part / file
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(IMPORTS.sub(rf"{name}.\1", text))
        sys.path.insert(0, self._folder.name)
        try:
            self.api = _first_module(name, "decision.api", "decision")
            self._snapshot = _first_module(name, "snapshot.codec", "snapshot.policy")
            self._state = importlib.import_module(f"{name}.snapshot.state")
            self._policy = importlib.import_module(f"{name}.decision").Policy
        except Exception as bad:  # whatever a strange source does while it is loaded
            raise CannotLoad(f"{where}: it cannot be loaded: {bad!r}") from bad
        finally:
            sys.path.remove(self._folder.name)
        self._events = {kind: found for kind in records.EVENTS if (found := self._event_type(kind))}

    def _event_type(self, kind: type) -> type | None:
        """Return this version's type for an event of the present one, under its present or its stored name."""
        found = getattr(self.api, kind.__name__, None) or getattr(self.api, EVENT_NAMES[kind], None)
        return found if isinstance(found, type) else None

    def restore(self, state: bytes) -> Any:
        """A module of this version in a captured state; raises `CannotLoad` where it does not fit."""
        try:
            made = self._snapshot.restore(self._state.decode(state))
        except Exception as bad:
            raise CannotLoad(f"{self.where}: it does not take up the captured state: {bad}") from bad
        if lacking := self._lacking(made):
            raise CannotLoad(f"{self.where}: the captured state lacks its {', '.join(sorted(lacking))}")
        return made

    def _lacking(self, made: Any) -> set[str]:
        """Attributes that the classes of this version set and a snapshot does not know: they would be void."""
        module = importlib.import_module(f"{self._policy.__module__}")
        known = {
            "Policy": {*vars(made)} & {*self._snapshot.POLICY, *PARTS},
            "Guard": {*self._snapshot.GUARD, "trial", "safety", "dest"},
            "Endpoint": {
                *self._snapshot.ENDPOINT,
                "guards",
                "dest",
                "calls",
                "guard",
            },  # sets its destination's too
            "Destination": {*self._snapshot.DESTINATION, "guard", "endpoints", "held"},
            "Message": {*self._snapshot.MESSAGE, "cls", "dest", "line"},
            "Call": {*self._snapshot.CALL, "endpoint", "parts", "off"},
            "KeyLine": {*self._snapshot.LINE, "queue"},
        }
        return set().union(*(_stored(getattr(module, name)) - names for name, names in known.items()))

    def event(self, event: api.Event) -> Any:
        """The same event as this version knows it; none where it does not."""
        kind = self._events.get(type(event))
        if kind is None:
            return None
        present = kind.__name__ == type(event).__name__
        return msgspec.convert(msgspec.to_builtins(event if present else event_form(event)), kind)


def _first_module(name: str, *candidates: str) -> ModuleType:
    """Return the first of a package's modules that exists."""
    for candidate in candidates:
        if importlib.util.find_spec(f"{name}.{candidate}") is not None:
            return importlib.import_module(f"{name}.{candidate}")
    raise ModuleNotFoundError(f"none of {', '.join(candidates)}")


def _stored(kind: Any) -> set[str]:
    """What the constructor of a class stores in its object."""
    return {str(step.argval) for step in dis.get_instructions(kind.__init__) if step.opname == "STORE_ATTR"}


def _sources(where: str) -> dict[str, dict[str, str]]:
    folder = Path(where)
    if folder.is_dir():
        base = folder / "kestreltrack" if (folder / "kestreltrack" / "decision").is_dir() else folder
        if not (base / "decision" / "policy.py").is_file():
            raise CannotLoad(f"{where}: no decision/policy.py in this folder")
        found = {
            part: {file.name: file.read_text() for file in (base / part).glob("*.py")}
            for part in NEEDED
            if (base / part).is_dir()
        }
    else:
        found = _commit(where)
    if "snapshot" not in found:
        # Older than the snapshot, or only the module is at hand: the present one, bound to its classes.
        here = Path(str(kestreltrack.__file__)).parent / "snapshot"
        found["snapshot"] = {file.name: file.read_text() for file in here.glob("*.py")}
    return found


def _commit(where: str) -> dict[str, dict[str, str]]:
    checkout = Path(str(kestreltrack.__file__)).parent.parent
    if not re.fullmatch(r"[\w./~^@{}-]+", where) or where.startswith("-"):
        raise CannotLoad(f"{where}: neither a folder nor a commit")

    def git(*words: str) -> bytes:
        done = subprocess.run(["git", "-C", str(checkout), *words], capture_output=True, timeout=60)
        if done.returncode:
            said = done.stderr.decode(errors="replace").strip().splitlines()
            raise CannotLoad(f"{where}: neither a folder nor a commit that holds the module: {said[-1:]}")
        return done.stdout

    commit = git("rev-parse", "--verify", f"{where}^{{commit}}").decode().strip()
    parts = [
        part for part in NEEDED if git("ls-tree", "--name-only", commit, f"kestreltrack/{part}/").strip()
    ]
    if "decision" not in parts:
        raise CannotLoad(f"{where}: no kestreltrack/decision in this commit")
    archive = git("archive", commit, *(f"kestreltrack/{part}" for part in parts))
    found: dict[str, dict[str, str]] = {part: {} for part in parts}
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        for member in tar.getmembers():
            path = Path(member.name)
            if member.isfile() and path.suffix == ".py" and len(path.parts) == 3:
                held = tar.extractfile(member)
                found[path.parts[1]][path.name] = held.read().decode() if held else ""
    return found


def present(action: Any) -> api.Action:
    """An action of another version as the present one writes it."""
    name = type(action).__name__
    if kind := PRESENT.get(name):
        names = [field.name for field in fields(kind)]
    elif kind := ACTION_TYPES.get(name):
        names = list(ACTION_FORMS[kind].__struct_fields__)
    else:
        raise CannotLoad(f"an action that is not known here: {name}")
    made: api.Action = kind(*[getattr(action, field) for field in names])
    return made


@dataclass(slots=True)
class Parting:
    """Where the two differ first in a stretch."""

    clock: float
    record: int
    told: list[str]
    """What both had been told since their last decision."""
    was: list[api.Action]
    would: list[api.Action]


@dataclass(slots=True)
class WhatIf:
    """How the decisions of two versions compare."""

    where: str
    comparable: int = 0
    """Decisions and permissions that both made on the same input."""
    same: int = 0
    incomparable: int = 0
    """Those behind a parting, up to the next checkpoint: said, but of no weight."""
    stretches: int = 0
    partings: list[Parting] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)
    """At the partings: what was done and what would have been."""
    after: Counter[str] = field(default_factory=Counter)
    """Behind them, not comparable: how often each did what."""
    base_parted: str = ""
    faults: list[str] = field(default_factory=list)

    def alike(self) -> bool:
        """Whether both decided the same throughout."""
        return not self.partings and not self.base_parted


def what_if(
    files: Sequence[Path],
    where: str,
    since: str | None = None,
    until: str | None = None,
    seen: Callable[[Step], None] | None = None,
) -> WhatIf:
    """Run the present module, which must do as captured, and another version side by side."""
    return compare(Tape(files), Other(where), since, until, seen)


def compare(
    tape: Tape,
    other: Other,
    since: str | None = None,
    until: str | None = None,
    seen: Callable[[Step], None] | None = None,
) -> WhatIf:
    """The same for a version that is loaded already."""
    found, base = WhatIf(other.where), Player(Policy)
    rival: Any = None
    parted, told = False, list[str]()
    start = tape.at(tape.clock(since)) if since else Place(0, 0)
    for step in tape.walk(start, tape.clock(until) if until else None):
        record = step.record
        if seen:
            seen(step)
        if step.anew:
            rival = None
        differ = base.step(step)
        if differ is not None:
            found.base_parted = (
                f"record {step.number}: expected {differ[0]}, the present module says {differ[1]}"
            )
            break
        if record.kind == records.CHECKPOINT:
            if rival is None or parted:
                rival, parted = other.restore(record.what), False
                found.stretches += 1
                told.clear()
        elif rival is None:
            continue
        elif record.kind == records.TOOK:
            event = other.event(record.what)
            if len(told) < 20:
                told.append(repr(record.what))
            if event is not None:
                _quiet(rival.take, record.clock, event)
        elif record.kind == records.DECIDED:
            would = [present(action) for action in _quiet(rival.decide, record.clock) or ()]
            parted = _decided(found, step, list(base.actions), would, told, parted)
            told.clear()
        elif record.kind == records.PERMITTED:
            dest, endpoint = record.about
            answer = rival.permits(record.clock, dest, endpoint)
            _count(found, parted, answer == record.what)
            if answer != record.what and not parted:
                parted = True
                found.kinds[f"permits {record.what} instead of {answer}"] += 1
                _note(found, Parting(record.clock, step.number, [f"permits({dest}, {endpoint})"], [], []))
    found.faults = tape.faults
    return found


def _quiet(call: Callable[..., Any], *words: Any) -> Any:
    """The sender goes on after a fault of its module."""
    try:
        return call(*words)
    except Exception:
        return None


def _count(found: WhatIf, parted: bool, same: bool) -> None:
    if parted:
        found.incomparable += 1
    else:
        found.comparable += 1
        found.same += same


def _note(found: WhatIf, parting: Parting) -> None:
    if len(found.partings) < MOST_PARTINGS:
        found.partings.append(parting)


def _decided(
    found: WhatIf, step: Step, was: list[api.Action], would: list[api.Action], told: list[str], parted: bool
) -> bool:
    same = records.coded(was) == records.coded(would)
    _count(found, parted, same)
    if parted:
        found.after.update(f"was: {ACTION_NAMES[type(a)]}" for a in was)
        found.after.update(f"would be: {ACTION_NAMES[type(a)]}" for a in would)
        return True
    if same:
        return False
    gone = sorted(ACTION_NAMES[type(a)] for a in was if a not in would)
    come = sorted(ACTION_NAMES[type(a)] for a in would if a not in was)
    if not (gone or come):
        found.kinds["the same in another order"] += 1
    else:
        found.kinds[f"{', '.join(gone) or 'nothing'} became {', '.join(come) or 'nothing'}"] += 1
    _note(found, Parting(step.record.clock, step.number, list(told), was, would))
    return True
