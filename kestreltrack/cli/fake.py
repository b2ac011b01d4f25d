"""`kestreltrack fake`: fakes of what the sender talks to, on loopback, for trials and tests."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.cli.common import print_json, run_async, usage_error

app = typer.Typer(help="Fakes on loopback, for trials and tests.", no_args_is_help=True)


@app.callback()
def about() -> None:
    """Fakes on loopback, for trials and tests."""


@app.command()
def etcd(
    listen: Annotated[str, typer.Option(help="host:port; port 0 takes any.")] = "127.0.0.1:0",
    members: Annotated[int, typer.Option(min=1, max=5, help="Members over one history.")] = 1,
    user: Annotated[
        list[str] | None, typer.Option(help="NAME:PASSWORD; then all calls need a token.")
    ] = None,
    tls_cert: Annotated[Path | None, typer.Option(help="What members show.")] = None,
    tls_key: Annotated[Path | None, typer.Option(help="Its key.")] = None,
    tls_client_ca: Annotated[Path | None, typer.Option(help="Who signs clients.")] = None,
) -> None:
    """A fake of etcd's v3 API: prints one JSON line with its addresses when ready.

    Faults come as JSON lines on standard input, such as {"member": 0, "fault": "cut"}; its end ends the process.
    """
    from kestreltrack.testing.fakes.etcd.process import serve, server_tls

    users = dict(text.split(":", 1) for text in user or [] if ":" in text)
    if len(users) < len(user or []):
        raise usage_error("--user: expected NAME:PASSWORD")
    if bool(tls_cert) != bool(tls_key):
        raise usage_error("--tls-cert: expected together with --tls-key")
    try:
        tls = server_tls(str(tls_cert), str(tls_key), str(tls_client_ca or "")) if tls_cert else None
        if not listen.startswith("127."):
            raise usage_error(f"--listen {listen}: expected a loopback address (127.x.x.x:port)")
        run_async(serve(listen, members, users, tls, print_json))
    except (OSError, ValueError) as bad:
        raise usage_error(f"fake etcd: {bad}") from None
    except asyncio.CancelledError:
        raise typer.Exit(130) from None
