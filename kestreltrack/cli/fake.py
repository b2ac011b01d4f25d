"""`kestreltrack fake`: fakes of the systems that the sender talks to, on loopback, for trials and tests."""

from __future__ import annotations

import asyncio
import ssl
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
    listen: Annotated[
        str, typer.Option(help="host:port on loopback; port 0 selects a free port.")
    ] = "127.0.0.1:0",
    members: Annotated[int, typer.Option(min=1, max=5, help="Number of members of the cluster.")] = 1,
    user: Annotated[
        list[str] | None, typer.Option(help="NAME:PASSWORD; if given, all calls need a token.")
    ] = None,
    tls_cert: Annotated[Path | None, typer.Option(help="The members' TLS certificate.")] = None,
    tls_key: Annotated[Path | None, typer.Option(help="The private key of the certificate.")] = None,
    tls_client_ca: Annotated[
        Path | None, typer.Option(help="The CA of client certificates; if given, clients need a certificate.")
    ] = None,
) -> None:
    """Run a fake of etcd's v3 API; prints one JSON line with its members' addresses when it is ready.

    Faults are injected by JSON lines on standard input, such as {"member": 0, "fault": "cut"}; the process exits
    when its input ends.
    """
    from kestreltrack.testing.fakes.etcd.process import serve

    users = _parse_users(user or [])
    if bool(tls_cert) != bool(tls_key):
        raise usage_error("--tls-cert: expected together with --tls-key")
    try:
        tls = _make_tls_context(tls_cert, tls_key, tls_client_ca)
        if not listen.startswith("127."):
            raise usage_error(f"--listen {listen}: expected a loopback address (127.x.x.x:port)")
        run_async(serve(listen, members, users, tls, print_json))
    except (OSError, ValueError) as error:
        raise usage_error(f"fake etcd: {error}") from None
    except asyncio.CancelledError:
        raise typer.Exit(130) from None


def _parse_users(options: list[str]) -> dict[str, str]:
    """Return the passwords by name.

    Raises:
        typer.Exit: With code 2 if an option is not NAME:PASSWORD, or a name is given twice.
    """
    users = dict(option.split(":", 1) for option in options if ":" in option)
    if len(users) < len(options):
        raise usage_error("--user: expected NAME:PASSWORD")
    return users


def _make_tls_context(cert: Path | None, key: Path | None, client_ca: Path | None) -> ssl.SSLContext | None:
    """Return the members' TLS context, or None without a certificate.

    Raises:
        OSError: If a file cannot be used.
    """
    from kestreltrack.testing.fakes.etcd.process import server_tls

    if cert is None:
        return None
    return server_tls(str(cert), str(key), str(client_ca or ""))
