"""The stored forms of settings, events and actions, whose field names on disk are independent of the program's.

Captures and snapshots hold these types as msgpack maps whose keys are the field names.  The keys, and the stored
names of events and actions, are part of the format.  Each type of the decision module therefore has a form here with
its fields in the same order.  A field may be renamed in the program, but never in its form; a new field is added at
the end of both, with a default.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import fields
from operator import attrgetter
from typing import Any

import msgspec

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClassSettings,
    CloseIdleConnections,
    DeduplicationScope,
    DiscoveryFailed,
    ElsewhereProgress,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    HealthReported,
    Idempotency,
    KindSettings,
    MessageArrived,
    MessageWithdrawn,
    OrderedElsewhere,
    Outcome,
    PollEndpointList,
    PriorityDecay,
    QuotaLeased,
    RateAccuracy,
    RejectMessage,
    RetryAfterReceived,
    SafetyLimits,
    SenderCountChanged,
    SetTimer,
    Settings,
    ShutdownStarted,
    StartAttempt,
    TimerExpired,
)


class ClassSettingsForm(msgspec.Struct):
    """The settings of one message class."""

    aim_ms: float
    deadline_ms: float
    effect: Idempotency
    scope: DeduplicationScope = DeduplicationScope.ALL
    key_window_ms: float = 0.0
    in_order: bool = False
    worth: float = 1.0
    late_worth: float = 0.0


class KindSettingsForm(msgspec.Struct):
    """The settings of one kind of destination."""

    routes_apart: bool = False
    batch: int = 1


class SafetyForm(msgspec.Struct):
    """The limits that the safety rules enforce."""

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
    decay: PriorityDecay = PriorityDecay.LINEAR
    weights: RateAccuracy = RateAccuracy.NONE
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
    lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0


class EndpointsUpdatedForm(msgspec.Struct):
    """The complete endpoint list, or a change to it."""

    entries: Sequence[EndpointEntryForm]
    whole: bool
    remembered: bool = False


class DiscoveryFailedForm(msgspec.Struct):
    """A failed call to service discovery."""


class MessageArrivedForm(msgspec.Struct):
    """A message that a client submitted or that was recovered from the journal."""

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
    outcome: Outcome
    took_ms: float
    over: bool
    wait_ms: float = 0.0
    left: float | None = None
    limit: float | None = None
    stale: bool = False
    counted: bool = True


class MessageWithdrawnForm(msgspec.Struct):
    """A message that its client withdrew."""

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
    """A leased share of a destination's warm-up budget."""

    dest: int
    share: float
    until: float


class HealthReportedForm(msgspec.Struct):
    """The health of a destination as the fleet reports it."""

    dest: int
    up: bool
    at: float
    since: float


class OrderedElsewhereForm(msgspec.Struct):
    """The progress of a message with an ordering key that the other process has accepted."""

    id: str
    key: int
    progress: ElsewhereProgress
    before: str = ""


class StartAttemptForm(msgspec.Struct):
    """The action that starts an attempt."""

    id: str
    endpoint: str
    timeout_ms: float


class CancelAttemptForm(msgspec.Struct):
    """The action that cancels an attempt."""

    id: str
    attempt: int


class RejectMessageForm(msgspec.Struct):
    """The final answer that hands a message back."""

    id: str
    wait_ms: float = 0.0


class FailMessageForm(msgspec.Struct):
    """The final answer that a message has failed."""

    id: str


class SetTimerForm(msgspec.Struct):
    """The action that sets a timer."""

    after_ms: float
    token: int


class PollEndpointListForm(msgspec.Struct):
    """The action that polls service discovery."""


class CloseIdleConnectionsForm(msgspec.Struct):
    """The action that closes idle connections."""

    endpoint: str


SETTINGS_FORMS: dict[type, type[msgspec.Struct]] = {
    ClassSettings: ClassSettingsForm,
    KindSettings: KindSettingsForm,
    SafetyLimits: SafetyForm,
    Settings: SettingsForm,
}
# The order of events and of actions is part of the capture format, as records store the position as a code.
EVENT_FORMS: dict[type, type[msgspec.Struct]] = {
    EndpointsUpdated: EndpointsUpdatedForm,
    DiscoveryFailed: DiscoveryFailedForm,
    MessageArrived: MessageArrivedForm,
    AttemptEnded: AttemptEndedForm,
    MessageWithdrawn: MessageWithdrawnForm,
    TimerExpired: TimerExpiredForm,
    ShutdownStarted: ShutdownStartedForm,
    SenderCountChanged: SenderCountChangedForm,
    RetryAfterReceived: RetryAfterReceivedForm,
    QuotaLeased: QuotaLeasedForm,
    HealthReported: HealthReportedForm,
    OrderedElsewhere: OrderedElsewhereForm,
}
ACTION_FORMS: dict[type, type[msgspec.Struct]] = {
    StartAttempt: StartAttemptForm,
    CancelAttempt: CancelAttemptForm,
    RejectMessage: RejectMessageForm,
    FailMessage: FailMessageForm,
    SetTimer: SetTimerForm,
    PollEndpointList: PollEndpointListForm,
    CloseIdleConnections: CloseIdleConnectionsForm,
}
EVENT_NAMES: dict[type, str] = {
    EndpointsUpdated: "ListNews",
    DiscoveryFailed: "ListFailed",
    MessageArrived: "Arrived",
    AttemptEnded: "Ended",
    MessageWithdrawn: "Withdrawn",
    TimerExpired: "TimerDue",
    ShutdownStarted: "Stopping",
    SenderCountChanged: "Sharing",
    RetryAfterReceived: "WaitHeard",
    QuotaLeased: "Granted",
    HealthReported: "Found",
    OrderedElsewhere: "OtherHas",
}
ACTION_NAMES: dict[type, str] = {
    StartAttempt: "Send",
    CancelAttempt: "Cancel",
    RejectMessage: "Refuse",
    FailMessage: "Fail",
    SetTimer: "Wake",
    PollEndpointList: "Subscribe",
    CloseIdleConnections: "Unlink",
}
ACTION_TYPE_BY_NAME = {name: kind for kind, name in ACTION_NAMES.items()}
_FORMS = SETTINGS_FORMS | EVENT_FORMS | ACTION_FORMS | {EndpointEntry: EndpointEntryForm}
_TYPES = {form: kind for kind, form in _FORMS.items()}


def _field_reader(kind: type) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that returns all fields of a dataclass instance in order."""
    names = [field.name for field in fields(kind)]
    if not names:
        return lambda value: ()
    read = attrgetter(*names)
    return read if len(names) > 1 else lambda value: (read(value),)


_FIELDS = {kind: _field_reader(kind) for kind in _FORMS}


def _flat_form(value: object) -> Any:
    """Return the form of a value that contains no other type with a form."""
    kind = type(value)
    return _FORMS[kind](*_FIELDS[kind](value))


def _flat_value(form: msgspec.Struct) -> Any:
    """Return the value of a form that contains no other form."""
    return _TYPES[type(form)](*msgspec.structs.astuple(form))


def event_form(event: Event) -> Any:
    """Return the stored form of an event."""
    if isinstance(event, EndpointsUpdated):
        entries = [_flat_form(entry) for entry in event.entries]
        return EndpointsUpdatedForm(entries, event.complete, event.cached)
    return _flat_form(event)


def event_from_form(form: msgspec.Struct) -> Any:
    """Return the event of a stored form."""
    if isinstance(form, EndpointsUpdatedForm):
        entries = [_flat_value(entry) for entry in form.entries]
        return EndpointsUpdated(entries, form.whole, form.remembered)
    return _flat_value(form)


def action_form(action: Action) -> Any:
    """Return the stored form of an action, with numbers converted to the types of their fields.

    Settings may give integers where a field is a float.
    """
    form = _flat_form(action)
    return msgspec.convert(msgspec.to_builtins(form), type(form))


def encode_action(action: Action) -> bytes:
    """Return the encoded stored form of an action."""
    return msgspec.msgpack.encode(action_form(action))


def decode_action(name: str, data: bytes) -> Any:
    """Return the action of a stored name and an encoded form.

    Raises:
        KeyError: No action has this name.
        msgspec.MsgspecError: The data is not a form of that action.
    """
    return _flat_value(msgspec.msgpack.decode(data, type=ACTION_FORMS[ACTION_TYPE_BY_NAME[name]]))


def settings_form(settings: Settings) -> SettingsForm:
    """Return the stored form of settings."""
    form = SettingsForm(*_FIELDS[Settings](settings))
    form.classes = {name: _flat_form(value) for name, value in settings.classes.items()}
    form.kinds = {name: _flat_form(value) for name, value in settings.kinds.items()}
    form.safety = _flat_form(settings.safety)
    return form


def settings_from_form(form: SettingsForm) -> Settings:
    """Return the settings of a stored form.

    Raises:
        ValueError: A value is out of range.
    """
    values = msgspec.structs.asdict(form)
    values["classes"] = {name: _flat_value(value) for name, value in form.classes.items()}
    values["kinds"] = {name: _flat_value(value) for name, value in form.kinds.items()}
    values["safety"] = _flat_value(form.safety)
    return Settings(*values.values())
