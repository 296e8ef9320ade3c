"""The command line: `python -m ospreyline`."""

from __future__ import annotations

import os
import signal
import sys
from importlib import import_module
from pathlib import Path
from time import time
from typing import TYPE_CHECKING, Any

import click

from ospreyline import __version__
from ospreyline.config import ConfigError, ProxyConfig, top_level_keys
from ospreyline.config import load as load_config

if TYPE_CHECKING:
    from ospreyline.operator_settings import OperatorSettings

CONFIG = click.argument("config", envvar="PROXY_CONFIG", type=click.Path(dir_okay=False, path_type=Path))


OPERATOR = click.option(
    "--operator",
    "operator_file",
    envvar="OSPREYLINE_OPERATOR",
    type=click.Path(dir_okay=False, path_type=Path),
    help="The operator file (TOML), which enables optional features; see deploy/operator.toml.",
)


def _load_config(path: Path) -> ProxyConfig:
    """Read the configuration; on an error print one line that says what is wrong, and exit with status 2."""
    try:
        return load_config(path, os.environ)
    except ConfigError as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)


def _load_operator(path: Path | None) -> OperatorSettings | None:
    """Read the operator file, with the same error handling; without one its module is not imported."""
    if path is None:
        return None
    from ospreyline import operator_settings

    try:
        return operator_settings.load(path)
    except ConfigError as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)


# command: module and attribute, imported only when called
LAZY_COMMANDS = {
    "capacity": ("ospreyline.capacity.command", "command"),
    "explore": ("ospreyline.check.command", "explore"),
    "lab": ("ospreyline.lab.command", "lab"),
    "pairs": ("ospreyline.pairs", "command"),
    "regression": ("ospreyline.regression", "command"),
    "rig": ("ospreyline.rig.command", "rig"),
}


class LazyGroup(click.Group):
    """Imports the further commands only when they are called, so that `serve` does not pay for them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in LAZY_COMMANDS:
            return super().get_command(ctx, name)
        module, call = LAZY_COMMANDS[name]
        try:
            command: click.Command = getattr(import_module(module), call)
        except ModuleNotFoundError as error:
            raise click.ClickException(
                f"{name} needs {error.name}: pip install -r requirements-lab.txt"
            ) from error
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """An HTTP load balancer, run as a bank of proxies that share nothing."""


@main.command()
@CONFIG
@OPERATOR
def serve(config: Path, operator_file: Path | None) -> None:
    """Serve as CONFIG says (default: the file that PROXY_CONFIG names) until SIGTERM; SIGHUP rereads it."""
    # Block signals until `service.serve` has handlers for them: before that, a signal would end the process,
    # and a file replaced while it is being read would not be reloaded.
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    try:
        _serve(config, operator_file)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def _serve(config: Path, operator_file: Path | None) -> None:
    proxy_config, operator = _load_config(config), _load_operator(operator_file)

    def load_again() -> tuple[ProxyConfig, OperatorSettings | None]:
        proxy_config = load_config(config, os.environ, reload=True)
        if operator_file is None:
            return proxy_config, None
        from ospreyline.operator_settings import load

        return proxy_config, load(operator_file)

    # libuv starts an io_uring thread that polls on our core for a while after each signal; where CPU time is
    # limited by stopping the process, that alone kept it at the limit.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    import uvloop

    from ospreyline.net import service

    service.start_log()
    try:
        uvloop.run(service.serve(proxy_config, load_again, operator))
    except OSError as error:
        at = f"{proxy_config.listen[0]}:{proxy_config.listen[1]}"
        click.echo(f"ospreyline: cannot listen on {at}: {error.strerror}", err=True)
        sys.exit(1)


@main.command()
@CONFIG
@OPERATOR
def check(config: Path, operator_file: Path | None) -> None:
    """Read CONFIG and the operator file as `serve` would and print what they contain."""
    proxy_config, operator = _load_config(config), _load_operator(operator_file)
    click.echo(
        f"{proxy_config.name}: listens on {proxy_config.listen[0]}:{proxy_config.listen[1]}, "
        f"zone {proxy_config.zone_names[proxy_config.deployment.zone]!r}, "
        f"{proxy_config.max_descriptors} descriptors"
    )
    terms = proxy_config.deployment
    list_mode = "polled" if terms.ask_for_list else "pushed"
    messages = "allowed, but not carried on sockets" if terms.may_tell else "off"
    click.echo(
        f"{terms.balancers} balancers, number {terms.number}, {terms.zones} zones, "
        f"the list is {list_mode}, messages {messages}"
    )
    click.echo(
        f"of the goal: worst prefix {terms.worst_prefix:.3g}, nines {proxy_config.nines_weight:.3g} "
        f"(in full at {proxy_config.full_at_nines:g})"
    )
    for name, prefix in zip(proxy_config.prefix_names, terms.prefixes, strict=True):
        click.echo(
            f"/{name}: {prefix.kind.value}, target latency {prefix.target_latency:g} ms, "
            f"client timeout {prefix.client_timeout:g} ms, gain {prefix.gain:g}"
        )
    on = []
    if operator is not None and operator.list.calls_per_s:
        on.append(f"calls spread for a list service of {operator.list.calls_per_s:g} a second")
    if operator is not None and operator.list.keep:
        on.append(f"the list is cached in {operator.list.keep} for {operator.list.keep_for_s:g} s")
    if operator is not None and operator.fleet.bank:
        on.append(
            f"links in the bank {operator.fleet.bank!r} on {operator.fleet.listen}, "
            f"{len(operator.fleet.peers)} peers configured"
        )
    click.echo("enabled by the operator file: " + ("; ".join(on) or "nothing"))


@main.group(name="config")
def config_group() -> None:
    """The effective configuration."""


@config_group.command()
@CONFIG
@OPERATOR
def show(config: Path, operator_file: Path | None) -> None:
    """Print the effective values, where each comes from, and what SIGHUP applies of them."""
    from ospreyline import operator_settings as parts

    proxy_config, operator = _load_config(config), _load_operator(operator_file)
    from_file = top_level_keys(config)
    for key, value, variable, sighup in (
        ("name", proxy_config.name, "PROXY_NAME", False),
        ("listen", "{}:{}".format(*proxy_config.listen), "PROXY_LISTEN", False),
        ("discovery", "{}:{}".format(*proxy_config.discovery), "PROXY_DISCOVERY", True),
        ("seed", f"{proxy_config.seed:x}", "", False),
        ("limits.sockets", proxy_config.max_descriptors, "", False),
        ("limits.memory_mb", proxy_config.memory_bytes >> 20, "", False),
        ("settings", f"{len(proxy_config.prefix_names)} path prefixes", "", True),
    ):
        origin = (
            variable
            if variable and os.environ.get(variable)
            else (str(config) if key.split(".")[0] in from_file else "default")
        )
        click.echo(f"{key} = {value}  # {origin}; SIGHUP {'applies it' if sighup else 'does not apply it'}")
    for entry in parts.keys(operator or parts.OFF, operator_file):
        click.echo(
            f"{entry.name} = {entry.value!r}  # {entry.origin}; "
            f"SIGHUP {'applies it' if entry.reloadable else 'does not apply it'}; {entry.description}"
        )


@main.group()
def fleet() -> None:
    """The other balancers of the bank, as one of them sees them."""


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def status(file: Path) -> None:
    """Print the status FILE of a running balancer (`fleet.status`); exits with 1 if it does not hear all."""
    import msgspec

    try:
        report = msgspec.json.decode(file.read_bytes(), type=dict[str, Any])
        age = time() - report["at"]
        click.echo(
            f"{report['name']} in {report['bank']!r}: {report['words']}, {age:.0f} s ago"
            + (" - this is old" if age > 10 else "")
        )
        if report["superseded"]:
            click.echo("a newer process has its name: it has stopped sending")
        click.echo(
            f"linked to {', '.join(report['linked']) or 'nobody'}; "
            f"list version {report['list_rev']}, "
            + (
                "passes it on"
                if report["passes_the_list_on"]
                else f"listens to {', '.join(report['listens_to']) or 'nobody'}"
            )
        )
        for member in report["members"]:
            click.echo(
                f"  {member['name']:16} {member['state']:10} {member['zone']:12} "
                f"{member['address']:22} for {member['for_s']:g} s"
            )
    except OSError as error:
        click.echo(f"ospreyline: {file}: {error.strerror}", err=True)
        sys.exit(2)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        click.echo(f"ospreyline: {file}: not a balancer status file ({error})", err=True)
        sys.exit(2)
    sys.exit(0 if report["hears"] >= report["of"] and age <= 10 else 1)


@main.command(name="version")
def show_version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main(prog_name="ospreyline")
