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
from kestreltrack.capture.cursor import BlockPosition, CaptureFiles, Step
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import Action, Event, Policy
from kestreltrack.snapshot.stored_forms import (
    ACTION_FORMS,
    ACTION_NAMES,
    ACTION_TYPES,
    EVENT_NAMES,
    event_form,
)

LOADED_PACKAGES = ("decision", "snapshot")
PACKAGE_IMPORTS = re.compile(r"\bkestreltrack\.(decision|snapshot)\b")
PRESENT_ACTION_TYPES = {kind.__name__: kind for kind in records.ACTION_TYPES}
REFERENCED_STATE_FIELDS = (
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
MAX_DIFFERENCES = 50


class VersionLoadError(Exception):
    """There is no other version to be had there; the text says why."""


class OtherVersion:
    """A version of the module under a name of its own."""

    def __init__(self, source: str) -> None:
        """From a folder that holds `decision/` or `kestreltrack/decision/`, else from a commit."""
        self.source = source
        self._folder = tempfile.TemporaryDirectory(prefix="kestreltrack-other-")
        name = f"kestreltrack_other_{abs(hash(self._folder.name))}"
        package = Path(self._folder.name) / name
        package.mkdir()
        (package / "__init__.py").touch()
        for part, files in _read_sources(source).items():
            for file, text in files.items():
                target = package / part / file
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(PACKAGE_IMPORTS.sub(rf"{name}.\1", text))
        sys.path.insert(0, self._folder.name)
        try:
            self.api = _first_module(name, "decision.api", "decision")
            self._snapshot = _first_module(name, "snapshot.codec", "snapshot.policy")
            self._state = importlib.import_module(f"{name}.snapshot.state")
            self._policy = importlib.import_module(f"{name}.decision").Policy
        except Exception as bad:  # whatever a strange source does while it is loaded
            raise VersionLoadError(f"{source}: it cannot be loaded: {bad!r}") from bad
        finally:
            sys.path.remove(self._folder.name)
        self._events = {kind: found for kind in records.EVENT_TYPES if (found := self._event_type(kind))}

    def _event_type(self, kind: type) -> type | None:
        """Return this version's type for an event of the present one, under its present or its stored name."""
        found = getattr(self.api, kind.__name__, None) or getattr(self.api, EVENT_NAMES[kind], None)
        return found if isinstance(found, type) else None

    def restore(self, state: bytes) -> Any:
        """A module of this version in a captured state; raises `CannotLoad` where it does not fit."""
        try:
            made = self._snapshot.restore(self._state.decode(state))
        except Exception as bad:
            raise VersionLoadError(f"{self.source}: it does not take up the captured state: {bad}") from bad
        if lacking := self._missing_attributes(made):
            raise VersionLoadError(
                f"{self.source}: the captured state lacks its {', '.join(sorted(lacking))}"
            )
        return made

    def _missing_attributes(self, made: Any) -> set[str]:
        """Return the attributes that the constructors of this version set and that a snapshot does not restore."""
        restored = getattr(self._snapshot, "RESTORED_ATTRIBUTES", None)
        if restored is None:
            restored = self._attributes_restored_before_renames(made)
        return set().union(*(_attributes_set_by(part) - names for part, names in restored.items()))

    def _attributes_restored_before_renames(self, made: Any) -> dict[type, set[str]]:
        """Return the same of a version whose `snapshot/policy.py` lists the attributes of each class by name."""
        module = importlib.import_module(f"{self._policy.__module__}")
        snapshot = self._snapshot
        return {
            module.Policy: {*vars(made)} & {*snapshot.POLICY, *REFERENCED_STATE_FIELDS},
            module.Guard: {*snapshot.GUARD, "trial", "safety", "dest"},
            # Its constructor sets `guard` of its destination, too.
            module.Endpoint: {*snapshot.ENDPOINT, "guards", "dest", "calls", "guard"},
            module.Destination: {*snapshot.DESTINATION, "guard", "endpoints", "held"},
            module.Message: {*snapshot.MESSAGE, "cls", "dest", "line"},
            module.Call: {*snapshot.CALL, "endpoint", "parts", "off"},
            module.KeyLine: {*snapshot.LINE, "queue"},
        }

    def convert_event(self, event: Event) -> Any:
        """The same event as this version knows it; none where it does not."""
        kind = self._events.get(type(event))
        if kind is None:
            return None
        present = kind.__name__ == type(event).__name__
        return msgspec.convert(msgspec.to_builtins(event if present else event_form(event)), kind)


def _event_handler(policy: Any) -> Callable[..., Any]:
    """Return the method of a version's decision module that takes events, under its present or its former name."""
    handler: Callable[..., Any] = policy.handle if hasattr(policy, "handle") else policy.take
    return handler


def _first_module(name: str, *candidates: str) -> ModuleType:
    """Return the first of a package's modules that exists."""
    for candidate in candidates:
        if importlib.util.find_spec(f"{name}.{candidate}") is not None:
            return importlib.import_module(f"{name}.{candidate}")
    raise ModuleNotFoundError(f"none of {', '.join(candidates)}")


def _attributes_set_by(kind: Any) -> set[str]:
    """What the constructor of a class stores in its object."""
    return {str(step.argval) for step in dis.get_instructions(kind.__init__) if step.opname == "STORE_ATTR"}


def _read_sources(where: str) -> dict[str, dict[str, str]]:
    folder = Path(where)
    if folder.is_dir():
        base = folder / "kestreltrack" if (folder / "kestreltrack" / "decision").is_dir() else folder
        if not (base / "decision" / "policy.py").is_file():
            raise VersionLoadError(f"{where}: no decision/policy.py in this folder")
        found = {
            part: {file.name: file.read_text() for file in (base / part).glob("*.py")}
            for part in LOADED_PACKAGES
            if (base / part).is_dir()
        }
    else:
        found = _read_commit(where)
    if "snapshot" not in found:
        # Older than the snapshot, or only the module is at hand: the present one, bound to its classes.
        here = Path(str(kestreltrack.__file__)).parent / "snapshot"
        found["snapshot"] = {file.name: file.read_text() for file in here.glob("*.py")}
    return found


def _read_commit(where: str) -> dict[str, dict[str, str]]:
    checkout = Path(str(kestreltrack.__file__)).parent.parent
    if not re.fullmatch(r"[\w./~^@{}-]+", where) or where.startswith("-"):
        raise VersionLoadError(f"{where}: neither a folder nor a commit")

    def git(*words: str) -> bytes:
        done = subprocess.run(["git", "-C", str(checkout), *words], capture_output=True, timeout=60)
        if done.returncode:
            said = done.stderr.decode(errors="replace").strip().splitlines()
            raise VersionLoadError(
                f"{where}: neither a folder nor a commit that holds the module: {said[-1:]}"
            )
        return done.stdout

    commit = git("rev-parse", "--verify", f"{where}^{{commit}}").decode().strip()
    parts = [
        part
        for part in LOADED_PACKAGES
        if git("ls-tree", "--name-only", commit, f"kestreltrack/{part}/").strip()
    ]
    if "decision" not in parts:
        raise VersionLoadError(f"{where}: no kestreltrack/decision in this commit")
    archive = git("archive", commit, *(f"kestreltrack/{part}" for part in parts))
    found: dict[str, dict[str, str]] = {part: {} for part in parts}
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        for member in tar.getmembers():
            path = Path(member.name)
            if member.isfile() and path.suffix == ".py" and len(path.parts) == 3:
                held = tar.extractfile(member)
                found[path.parts[1]][path.name] = held.read().decode() if held else ""
    return found


def to_present_action(action: Any) -> Action:
    """An action of another version as the present one writes it."""
    name = type(action).__name__
    if kind := PRESENT_ACTION_TYPES.get(name):
        names = [field.name for field in fields(kind)]
    elif kind := ACTION_TYPES.get(name):
        names = list(ACTION_FORMS[kind].__struct_fields__)
    else:
        raise VersionLoadError(f"an action that is not known here: {name}")
    made: Action = kind(*[getattr(action, field) for field in names])
    return made


@dataclass(slots=True)
class DecisionDifference:
    """Where the two differ first in a stretch."""

    clock: float
    record: int
    events_since_decision: list[str]
    """What both had been told since their last decision."""
    present_actions: list[Action]
    other_actions: list[Action]


@dataclass(slots=True)
class VersionComparison:
    """How the decisions of two versions compare."""

    where: str
    comparable: int = 0
    """Decisions and permissions that both made on the same input."""
    same: int = 0
    incomparable: int = 0
    """Those behind a parting, up to the next checkpoint: said, but of no weight."""
    stretches: int = 0
    partings: list[DecisionDifference] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)
    """At the partings: what was done and what would have been."""
    after: Counter[str] = field(default_factory=Counter)
    """Behind them, not comparable: how often each did what."""
    base_parted: str = ""
    faults: list[str] = field(default_factory=list)

    def identical(self) -> bool:
        """Whether both decided the same throughout."""
        return not self.partings and not self.base_parted


def compare_files(
    files: Sequence[Path],
    source: str,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> VersionComparison:
    """Run the present module, which must do as captured, and another version side by side."""
    return compare_capture(CaptureFiles(files), OtherVersion(source), since, until, on_step)


def compare_capture(
    capture: CaptureFiles,
    other: OtherVersion,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> VersionComparison:
    """The same for a version that is loaded already."""
    found, base = VersionComparison(other.source), Replayer(Policy)
    rival: Any = None
    parted, told = False, list[str]()
    start = capture.checkpoint_at(capture.parse_time(since)) if since else BlockPosition(0, 0)
    for step in capture.steps(start, capture.parse_time(until) if until else None):
        record = step.record
        if on_step:
            on_step(step)
        if step.after_gap:
            rival = None
        differ = base.apply_step(step)
        if differ is not None:
            found.base_parted = (
                f"record {step.record_number}: expected {differ[0]}, the present module says {differ[1]}"
            )
            break
        if record.kind == records.CHECKPOINT:
            if rival is None or parted:
                rival, parted = other.restore(record.payload), False
                found.stretches += 1
                told.clear()
        elif rival is None:
            continue
        elif record.kind == records.EVENT:
            event = other.convert_event(record.payload)
            if len(told) < 20:
                told.append(repr(record.payload))
            if event is not None:
                _ignoring_faults(_event_handler(rival), record.clock, event)
        elif record.kind == records.DECISION:
            would = [
                to_present_action(action) for action in _ignoring_faults(rival.decide, record.clock) or ()
            ]
            parted = _compare_decision(found, step, list(base.last_actions), would, told, parted)
            told.clear()
        elif record.kind == records.PERMISSION:
            dest, endpoint = record.context
            answer = rival.permits(record.clock, dest, endpoint)
            _count(found, parted, answer == record.payload)
            if answer != record.payload and not parted:
                parted = True
                found.kinds[f"permits {record.payload} instead of {answer}"] += 1
                _add_difference(
                    found,
                    DecisionDifference(
                        record.clock, step.record_number, [f"permits({dest}, {endpoint})"], [], []
                    ),
                )
    found.faults = capture.corruptions
    return found


def _ignoring_faults(call: Callable[..., Any], *words: Any) -> Any:
    """The sender goes on after a fault of its module."""
    try:
        return call(*words)
    except Exception:
        return None


def _count(found: VersionComparison, parted: bool, same: bool) -> None:
    if parted:
        found.incomparable += 1
    else:
        found.comparable += 1
        found.same += same


def _add_difference(found: VersionComparison, parting: DecisionDifference) -> None:
    if len(found.partings) < MAX_DIFFERENCES:
        found.partings.append(parting)


def _compare_decision(
    found: VersionComparison,
    step: Step,
    was: list[Action],
    would: list[Action],
    told: list[str],
    parted: bool,
) -> bool:
    same = records.encode_actions(was) == records.encode_actions(would)
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
    _add_difference(found, DecisionDifference(step.record.clock, step.record_number, list(told), was, would))
    return True
