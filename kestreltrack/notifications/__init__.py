"""Delivery status notifications to the platform."""

from kestreltrack.notifications.http_notifier import HttpNotifier

__all__ = [
    "HttpNotifier",
]
