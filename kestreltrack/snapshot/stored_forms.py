"""The stored forms of settings, events and actions: their field names on disk, whatever the program calls them.

Captures and snapshots hold these types as msgpack maps whose keys are the field names.  The keys and the names
of events and actions are part of the format, so that each type of the decision module has its form here, with its
fields in the same order.  A field may be renamed in the program at any time, but never in a form; a new field goes
to the end of both, with a default.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import fields
from operator import attrgetter
from typing import Any

import msgspec

from kestreltrack.decision import api


class ClassSettingsForm(msgspec.Struct):
    """One class of messages."""

    aim_ms: float
    deadline_ms: float
    effect: api.Effect
    scope: api.Scope = api.Scope.ALL
    key_window_ms: float = 0.0
    in_order: bool = False
    worth: float = 1.0
    late_worth: float = 0.0


class KindSettingsForm(msgspec.Struct):
    """One kind of destination."""

    routes_apart: bool = False
    batch: int = 1


class SafetyForm(msgspec.Struct):
    """The limits that the safety rules set."""

    answer_slack_ms: float
    drain_grace_ms: float
    cold_share: float
    warm_after_ms: float
    overload_factor: float
    tip_after_ms: float
    ask_every_ms: float = 0.0
    settle_ms: float = 0.0


class SettingsForm(msgspec.Struct):
    """All settings of the decision module."""

    classes: Mapping[str, ClassSettingsForm]
    kinds: Mapping[str, KindSettingsForm]
    safety: SafetyForm
    slots: int
    hold: int
    try_limit: int
    relays: int
    zone: str = ""
    zone_fees: Mapping[str, float] = msgspec.field(default_factory=dict)
    decay: api.Decay = api.Decay.LINE
    weights: api.Weights = api.Weights.NONE
    must_ask: bool = False
    may_cancel: bool = False
    advises_wait: bool = False
    max_wait_ms: float = 0.0
    keepalive_ms: float = 15000.0
    connect_ms: float = 1000.0
    multiplex: int = 1
    reports: bool = False


class EndpointEntryForm(msgspec.Struct):
    """One entry of the endpoint list."""

    endpoint: str
    dest: int
    kind: str
    zone: str = ""
    lifecycle: api.Lifecycle = api.Lifecycle.UP
    rate: float = 1.0


class EndpointsUpdatedForm(msgspec.Struct):
    """The complete endpoint list, or a change of it."""

    entries: Sequence[EndpointEntryForm]
    whole: bool
    remembered: bool = False


class DiscoveryFailedForm(msgspec.Struct):
    """A failed call to service discovery."""


class MessageArrivedForm(msgspec.Struct):
    """A message that was handed in or recovered."""

    id: str
    dest: int
    cls: str
    expires: float
    key: int | None = None
    tenant: str | None = None
    tries: int = 0
    doubt: float | None = None
    doubt_zone: str = ""
    taken: bool = False


class AttemptEndedForm(msgspec.Struct):
    """The outcome of one attempt."""

    id: str
    attempt: int
    endpoint: str
    outcome: api.Outcome
    took_ms: float
    over: bool
    wait_ms: float = 0.0
    left: float | None = None
    limit: float | None = None
    stale: bool = False
    counted: bool = True


class MessageWithdrawnForm(msgspec.Struct):
    """A message that its client took back."""

    id: str


class TimerExpiredForm(msgspec.Struct):
    """A timer that has expired."""

    token: int


class ShutdownStartedForm(msgspec.Struct):
    """The start of a graceful shutdown."""

    ends: float


class SenderCountChangedForm(msgspec.Struct):
    """A new number of senders that share each limit."""

    relays: int


class RetryAfterReceivedForm(msgspec.Struct):
    """A retry-after that another caller of a destination received."""

    dest: int
    until: float
    refused: bool = True


class QuotaLeasedForm(msgspec.Struct):
    """A share of a destination's warm-up budget, by lease."""

    dest: int
    share: float
    until: float


class HealthReportedForm(msgspec.Struct):
    """What the fleet knows of a destination's health."""

    dest: int
    up: bool
    at: float
    since: float


class StartAttemptForm(msgspec.Struct):
    """The order to start an attempt."""

    id: str
    endpoint: str
    timeout_ms: float


class CancelAttemptForm(msgspec.Struct):
    """The order to cancel an attempt."""

    id: str
    attempt: int


class RejectMessageForm(msgspec.Struct):
    """The final answer that a message is handed back."""

    id: str
    wait_ms: float = 0.0


class FailMessageForm(msgspec.Struct):
    """The final answer that a message has failed."""

    id: str


class SetTimerForm(msgspec.Struct):
    """The order to set a timer."""

    after_ms: float
    token: int


class PollEndpointListForm(msgspec.Struct):
    """The order to poll service discovery."""


class CloseIdleConnectionsForm(msgspec.Struct):
    """The order to close idle connections."""

    endpoint: str


SETTINGS_FORMS: dict[type, type[msgspec.Struct]] = {
    api.ClassSettings: ClassSettingsForm,
    api.KindSettings: KindSettingsForm,
    api.Safety: SafetyForm,
    api.Settings: SettingsForm,
}
# The order of events and of actions is part of the capture's format: a record holds the position as its code.
EVENT_FORMS: dict[type, type[msgspec.Struct]] = {
    api.ListNews: EndpointsUpdatedForm,
    api.ListFailed: DiscoveryFailedForm,
    api.Arrived: MessageArrivedForm,
    api.Ended: AttemptEndedForm,
    api.Withdrawn: MessageWithdrawnForm,
    api.TimerDue: TimerExpiredForm,
    api.Stopping: ShutdownStartedForm,
    api.Sharing: SenderCountChangedForm,
    api.WaitHeard: RetryAfterReceivedForm,
    api.Granted: QuotaLeasedForm,
    api.Found: HealthReportedForm,
}
ACTION_FORMS: dict[type, type[msgspec.Struct]] = {
    api.Send: StartAttemptForm,
    api.Cancel: CancelAttemptForm,
    api.Refuse: RejectMessageForm,
    api.Fail: FailMessageForm,
    api.Wake: SetTimerForm,
    api.Subscribe: PollEndpointListForm,
    api.Unlink: CloseIdleConnectionsForm,
}
EVENT_NAMES: dict[type, str] = {
    api.ListNews: "ListNews",
    api.ListFailed: "ListFailed",
    api.Arrived: "Arrived",
    api.Ended: "Ended",
    api.Withdrawn: "Withdrawn",
    api.TimerDue: "TimerDue",
    api.Stopping: "Stopping",
    api.Sharing: "Sharing",
    api.WaitHeard: "WaitHeard",
    api.Granted: "Granted",
    api.Found: "Found",
}
ACTION_NAMES: dict[type, str] = {
    api.Send: "Send",
    api.Cancel: "Cancel",
    api.Refuse: "Refuse",
    api.Fail: "Fail",
    api.Wake: "Wake",
    api.Subscribe: "Subscribe",
    api.Unlink: "Unlink",
}
ACTION_TYPES = {name: kind for kind, name in ACTION_NAMES.items()}
_FORMS = SETTINGS_FORMS | EVENT_FORMS | ACTION_FORMS | {api.Listed: EndpointEntryForm}
_TYPES = {form: kind for kind, form in _FORMS.items()}


def _field_reader(kind: type) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that reads all fields of a dataclass in order."""
    names = [field.name for field in fields(kind)]
    if not names:
        return lambda value: ()
    read = attrgetter(*names)
    return read if len(names) > 1 else lambda value: (read(value),)


_FIELDS = {kind: _field_reader(kind) for kind in _FORMS}


def _flat_form(value: object) -> Any:
    """Return the form of a value whose fields need no forms of their own."""
    kind = type(value)
    return _FORMS[kind](*_FIELDS[kind](value))


def _flat_value(form: msgspec.Struct) -> Any:
    """Return the value that a form without nested forms stands for."""
    return _TYPES[type(form)](*msgspec.structs.astuple(form))


def event_form(event: api.Event) -> Any:
    """Return the stored form of an event."""
    if isinstance(event, api.ListNews):
        entries = [_flat_form(entry) for entry in event.entries]
        return EndpointsUpdatedForm(entries, event.whole, event.remembered)
    return _flat_form(event)


def event_of(form: msgspec.Struct) -> Any:
    """Return the event that a stored form stands for."""
    if isinstance(form, EndpointsUpdatedForm):
        entries = [_flat_value(entry) for entry in form.entries]
        return api.ListNews(entries, form.whole, form.remembered)
    return _flat_value(form)


def action_form(action: api.Action) -> Any:
    """Return the stored form of an action, with numbers in the form of their types.

    Settings may give whole numbers for floats.
    """
    form = _flat_form(action)
    return msgspec.convert(msgspec.to_builtins(form), type(form))


def encode_action(action: api.Action) -> bytes:
    """Return an action's stored form as bytes."""
    return msgspec.msgpack.encode(action_form(action))


def decode_action(name: str, data: bytes) -> Any:
    """Return the action of a stored name and form; raises `KeyError` or `msgspec.MsgspecError`."""
    return _flat_value(msgspec.msgpack.decode(data, type=ACTION_FORMS[ACTION_TYPES[name]]))


def settings_form(settings: api.Settings) -> SettingsForm:
    """Return the stored form of settings."""
    form = SettingsForm(*_FIELDS[api.Settings](settings))
    form.classes = {name: _flat_form(value) for name, value in settings.classes.items()}
    form.kinds = {name: _flat_form(value) for name, value in settings.kinds.items()}
    form.safety = _flat_form(settings.safety)
    return form


def settings_of(form: SettingsForm) -> api.Settings:
    """Return the settings that a stored form stands for; raises `ValueError` where they are out of range."""
    values = msgspec.structs.asdict(form)
    values["classes"] = {name: _flat_value(value) for name, value in form.classes.items()}
    values["kinds"] = {name: _flat_value(value) for name, value in form.kinds.items()}
    values["safety"] = _flat_value(form.safety)
    return api.Settings(*values.values())
