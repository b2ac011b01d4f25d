"""Runs another version of the decision module on a captured input, and compares the decisions.

The other version is loaded from a folder or from a commit of this checkout, under a separate package name, so the
current version stays loaded and unchanged.  The input is valid for both only up to their first difference: later
outcomes in the capture belong to attempts that the other version never started.  So after a difference nothing is
compared until the next checkpoint, where the other version is restored from the captured state.
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
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import Action, Event, Policy
from kestreltrack.snapshot.stored_forms import (
    ACTION_FORMS,
    ACTION_NAMES,
    ACTION_TYPE_BY_NAME,
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
# The number of differences that are kept in detail; all are counted.
MAX_DIFFERENCES = 50
# The number of events that a difference lists, from the first one since the previous decision.
MAX_EVENTS_SHOWN = 20
# A git command that takes longer than this is considered hung.
GIT_TIMEOUT_S = 60


class VersionLoadError(CaptureError):
    """The other version cannot be loaded or cannot run on the capture; the message gives the reason."""


class OtherVersion:
    """Another version of the decision module, imported under a separate package name."""

    def __init__(self, source: str) -> None:
        """Load from a folder that contains `decision/` or `kestreltrack/decision/`, or else from a commit.

        Raises:
            VersionLoadError: There is no such version, or it cannot be imported.
        """
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
        except Exception as error:
            # The source of another version may raise any exception while it is imported.
            raise VersionLoadError(f"{source}: cannot be loaded: {error!r}") from error
        finally:
            sys.path.remove(self._folder.name)
        self._event_types = {
            present: other for present in records.EVENT_TYPES if (other := self._other_event_type(present))
        }

    def _other_event_type(self, present: type) -> type | None:
        """Return this version's type for a current event type, by its current or its stored name."""
        other = getattr(self.api, present.__name__, None) or getattr(self.api, EVENT_NAMES[present], None)
        return other if isinstance(other, type) else None

    def restore(self, state: bytes) -> Any:
        """Return a decision module of this version in a captured state.

        Raises:
            VersionLoadError: The state cannot be restored, or lacks an attribute of this version.
        """
        try:
            policy = self._snapshot.restore(self._state.decode(state))
        except Exception as error:
            raise VersionLoadError(f"{self.source}: cannot restore the captured state: {error}") from error
        if missing := self._missing_attributes(policy):
            raise VersionLoadError(
                f"{self.source}: attributes missing from the captured state: {', '.join(sorted(missing))}"
            )
        return policy

    def _missing_attributes(self, policy: Any) -> set[str]:
        """Return the attributes that the constructors of this version set but its snapshot does not restore."""
        restored = getattr(self._snapshot, "RESTORED_ATTRIBUTES", None)
        if restored is None:
            restored = self._attributes_restored_before_renames(policy)
        return set().union(*(_attributes_set_by(part) - names for part, names in restored.items()))

    def _attributes_restored_before_renames(self, policy: Any) -> dict[type, set[str]]:
        """Return the restored attributes for a version whose `snapshot/policy.py` lists them by class name.

        Those versions precede `RESTORED_ATTRIBUTES` and use the former names of classes and attributes.
        """
        module = importlib.import_module(f"{self._policy.__module__}")
        snapshot = self._snapshot
        return {
            module.Policy: {*vars(policy)} & {*snapshot.POLICY, *REFERENCED_STATE_FIELDS},
            module.Guard: {*snapshot.GUARD, "trial", "safety", "dest"},
            # The constructor of an endpoint also sets `guard` of its destination.
            module.Endpoint: {*snapshot.ENDPOINT, "guards", "dest", "calls", "guard"},
            module.Destination: {*snapshot.DESTINATION, "guard", "endpoints", "held"},
            module.Message: {*snapshot.MESSAGE, "cls", "dest", "line"},
            module.Call: {*snapshot.CALL, "endpoint", "parts", "off"},
            module.KeyLine: {*snapshot.LINE, "queue"},
        }

    def convert_event(self, event: Event) -> Any:
        """Return the event as this version defines it, or None if it has no such event."""
        event_type = self._event_types.get(type(event))
        if event_type is None:
            return None
        same_name = event_type.__name__ == type(event).__name__
        return msgspec.convert(msgspec.to_builtins(event if same_name else event_form(event)), event_type)


def _event_handler(policy: Any) -> Callable[..., Any]:
    """Return the method of a version's decision module that handles events, by its current or its former name."""
    handler: Callable[..., Any] = policy.handle if hasattr(policy, "handle") else policy.take
    return handler


def _first_module(name: str, *candidates: str) -> ModuleType:
    """Import and return the first of these modules of a package that exists."""
    for candidate in candidates:
        if importlib.util.find_spec(f"{name}.{candidate}") is not None:
            return importlib.import_module(f"{name}.{candidate}")
    raise ModuleNotFoundError(f"none of {', '.join(candidates)}")


def _attributes_set_by(part: Any) -> set[str]:
    """Return the names of the attributes that the constructor of a class sets."""
    return {
        str(instruction.argval)
        for instruction in dis.get_instructions(part.__init__)
        if instruction.opname == "STORE_ATTR"
    }


def _read_sources(source: str) -> dict[str, dict[str, str]]:
    """Return the contents of the source files, by package and by file name."""
    folder = Path(source)
    sources = _read_folder(folder) if folder.is_dir() else _read_commit(source)
    if "snapshot" not in sources:
        # The version precedes the snapshot package, or the folder contains only the decision module: use the current
        # snapshot package with the classes of the other version.
        sources["snapshot"] = _python_files(Path(str(kestreltrack.__file__)).parent / "snapshot")
    return sources


def _read_folder(folder: Path) -> dict[str, dict[str, str]]:
    base = folder / "kestreltrack" if (folder / "kestreltrack" / "decision").is_dir() else folder
    if not (base / "decision" / "policy.py").is_file():
        raise VersionLoadError(f"{folder}: the folder contains no decision/policy.py")
    return {part: _python_files(base / part) for part in LOADED_PACKAGES if (base / part).is_dir()}


def _python_files(folder: Path) -> dict[str, str]:
    return {file.name: file.read_text() for file in folder.glob("*.py")}


def _read_commit(revision: str) -> dict[str, dict[str, str]]:
    if not re.fullmatch(r"[\w./~^@{}-]+", revision) or revision.startswith("-"):
        raise VersionLoadError(f"{revision}: not a folder, and not a valid name of a commit")
    commit = _git(revision, "rev-parse", "--verify", f"{revision}^{{commit}}").decode().strip()
    parts = [
        part
        for part in LOADED_PACKAGES
        if _git(revision, "ls-tree", "--name-only", commit, f"kestreltrack/{part}/").strip()
    ]
    if "decision" not in parts:
        raise VersionLoadError(f"{revision}: the commit contains no kestreltrack/decision")
    archive = _git(revision, "archive", commit, *(f"kestreltrack/{part}" for part in parts))
    sources: dict[str, dict[str, str]] = {part: {} for part in parts}
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        for member in tar.getmembers():
            path = Path(member.name)
            # Skips subpackages: only kestreltrack/PACKAGE/MODULE.py is used.
            if member.isfile() and path.suffix == ".py" and len(path.parts) == 3:
                file = tar.extractfile(member)
                sources[path.parts[1]][path.name] = file.read().decode() if file else ""
    return sources


def _git(revision: str, *arguments: str) -> bytes:
    """Return the output of a git command in the checkout of this program.

    Raises:
        VersionLoadError: The command fails.
    """
    checkout = Path(str(kestreltrack.__file__)).parent.parent
    completed = subprocess.run(
        ["git", "-C", str(checkout), *arguments], capture_output=True, timeout=GIT_TIMEOUT_S
    )
    if completed.returncode:
        lines = completed.stderr.decode(errors="replace").strip().splitlines()
        raise VersionLoadError(
            f"{revision}: not a folder, and no commit with the decision module: {lines[-1:]}"
        )
    return completed.stdout


def to_present_action(action: Any) -> Action:
    """Return an action of another version as the current one defines it.

    Raises:
        VersionLoadError: The current version has no such action.
    """
    type_name = type(action).__name__
    present_type = PRESENT_ACTION_TYPES.get(type_name)
    if present_type is not None:
        field_names = [field.name for field in fields(present_type)]
    elif type_name in ACTION_TYPE_BY_NAME:
        # Versions before the types were renamed use the stored names.
        present_type = ACTION_TYPE_BY_NAME[type_name]
        field_names = list(ACTION_FORMS[present_type].__struct_fields__)
    else:
        raise VersionLoadError(f"action unknown to the current version: {type_name}")
    present: Action = present_type(*[getattr(action, name) for name in field_names])
    return present


@dataclass(slots=True)
class DecisionDifference:
    """The first difference after a checkpoint."""

    clock: float
    record: int
    events_since_decision: list[str]
    """The events that both versions received since the previous decision."""
    present_actions: list[Action]
    other_actions: list[Action]


@dataclass(slots=True)
class VersionComparison:
    """The result of a comparison of two versions."""

    source: str
    """The folder or the commit of the other version."""
    comparable: int = 0
    """The number of decisions and permissions that both versions made on the same input."""
    same: int = 0
    incomparable: int = 0
    """The number of decisions and permissions after a difference, up to the next checkpoint."""
    segments: int = 0
    """The number of times the other version was restored from a checkpoint."""
    differences: list[DecisionDifference] = field(default_factory=list)
    difference_kinds: Counter[str] = field(default_factory=Counter)
    """The differences, counted by the actions of the current version and those of the other."""
    incomparable_actions: Counter[str] = field(default_factory=Counter)
    """The actions of both versions in incomparable decisions, counted by version and type."""
    capture_divergence: str = ""
    """The record at which the current version diverges from the capture, which ends the comparison."""
    faults: list[str] = field(default_factory=list)

    def identical(self) -> bool:
        """Return whether no difference was found, neither between the versions nor from the capture."""
        return not self.differences and not self.capture_divergence


def compare_files(
    files: Sequence[Path],
    source: str,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> VersionComparison:
    """Run the current version, which must decide as captured, and another version side by side.

    Raises:
        CaptureError: The other version cannot be loaded, or a file or a time is invalid.
    """
    return compare_capture(CaptureFiles(files), OtherVersion(source), since, until, on_step)


def compare_capture(
    capture: CaptureFiles,
    other: OtherVersion,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> VersionComparison:
    """Compare as `compare_files` does, with a version that is already loaded."""
    run = _ComparisonRun(other)
    start = capture.checkpoint_at(capture.parse_time(since)) if since else BlockPosition(0, 0)
    for step in capture.steps(start, capture.parse_time(until) if until else None):
        if on_step:
            on_step(step)
        if not run.handle_step(step):
            break
    run.comparison.faults = capture.corruptions
    return run.comparison


class _ComparisonRun:
    """The state of one comparison."""

    def __init__(self, other: OtherVersion) -> None:
        self.comparison = VersionComparison(other.source)
        self._other = other
        self._present = Replayer(Policy)
        self._other_policy: Any = None
        self._differs = False
        """Whether the versions have differed since the last checkpoint."""
        self._events_shown = list[str]()

    def handle_step(self, step: Step) -> bool:
        """Apply one record to both versions; return whether the comparison continues."""
        record = step.record
        if step.after_gap:
            self._other_policy = None
        divergence = self._present.apply_step(step)
        if divergence is not None:
            expected, actual = divergence
            self.comparison.capture_divergence = (
                f"record {step.record_number}: expected {expected}, actual {actual}"
            )
            return False
        if record.kind == records.CHECKPOINT:
            self._handle_checkpoint(record.payload)
        elif self._other_policy is None:
            return True
        elif record.kind == records.EVENT:
            self._handle_event(record.clock, record.payload)
        elif record.kind == records.DECISION:
            self._compare_decision(step)
        elif record.kind == records.PERMISSION:
            self._compare_permission(step)
        return True

    def _handle_checkpoint(self, state: bytes) -> None:
        """Restore the other version at the first checkpoint, after a gap, and after a difference."""
        if self._other_policy is None or self._differs:
            self._other_policy = self._other.restore(state)
            self._differs = False
            self.comparison.segments += 1
            self._events_shown.clear()

    def _handle_event(self, now: float, event: Event) -> None:
        if len(self._events_shown) < MAX_EVENTS_SHOWN:
            self._events_shown.append(repr(event))
        converted = self._other.convert_event(event)
        if converted is not None:
            _call_ignoring_exceptions(_event_handler(self._other_policy), now, converted)

    def _compare_decision(self, step: Step) -> None:
        present = list(self._present.last_actions)
        answer = _call_ignoring_exceptions(self._other_policy.decide, step.record.clock) or ()
        other = [to_present_action(action) for action in answer]
        same = records.encode_actions(present) == records.encode_actions(other)
        self._count(same)
        if self._differs:
            incomparable_actions = self.comparison.incomparable_actions
            incomparable_actions.update(f"was: {ACTION_NAMES[type(action)]}" for action in present)
            incomparable_actions.update(f"would be: {ACTION_NAMES[type(action)]}" for action in other)
        elif not same:
            difference = DecisionDifference(
                step.record.clock, step.record_number, list(self._events_shown), present, other
            )
            self._add_difference(_kind_of_difference(present, other), difference)
        self._events_shown.clear()

    def _compare_permission(self, step: Step) -> None:
        record = step.record
        dest, endpoint = record.context
        answer = self._other_policy.permits(record.clock, dest, endpoint)
        same = answer == record.payload
        self._count(same)
        if not same and not self._differs:
            question = f"permits({dest}, {endpoint})"
            difference = DecisionDifference(record.clock, step.record_number, [question], [], [])
            self._add_difference(f"permits {record.payload} instead of {answer}", difference)

    def _count(self, same: bool) -> None:
        if self._differs:
            self.comparison.incomparable += 1
            return
        self.comparison.comparable += 1
        if same:
            self.comparison.same += 1

    def _add_difference(self, kind: str, difference: DecisionDifference) -> None:
        self._differs = True
        self.comparison.difference_kinds[kind] += 1
        if len(self.comparison.differences) < MAX_DIFFERENCES:
            self.comparison.differences.append(difference)


def _kind_of_difference(present: list[Action], other: list[Action]) -> str:
    only_present = sorted(ACTION_NAMES[type(action)] for action in present if action not in other)
    only_other = sorted(ACTION_NAMES[type(action)] for action in other if action not in present)
    if not only_present and not only_other:
        return "the same in another order"
    return f"{', '.join(only_present) or 'nothing'} became {', '.join(only_other) or 'nothing'}"


def _call_ignoring_exceptions(call: Callable[..., Any], *arguments: Any) -> Any:
    """Return the result of a call, or None after an exception.

    The sender continues after an exception of the decision module, so a comparison does too.
    """
    try:
        return call(*arguments)
    except Exception:
        return None
