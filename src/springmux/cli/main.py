"""The ``springmux`` command."""

from __future__ import annotations

import importlib
import importlib.util

import typer

from springmux.cli import configuration, fleet_orders, gateway, rollouts, tenants
from springmux.cli.doctor import doctor
from springmux.cli.exit_codes import EPILOG
from springmux.cli.node_command import node

application = typer.Typer(
    name="springmux",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A fleet of routers for language models with a release gate in every router.",
    epilog=EPILOG,
)
application.command()(node)
application.command()(doctor)
application.command()(fleet_orders.status)
application.add_typer(configuration.application, name="config")
application.add_typer(tenants.tenant_application, name="tenant")
application.add_typer(tenants.key_application, name="key")
application.add_typer(rollouts.application, name="rollout")
application.add_typer(fleet_orders.engine_application, name="engine")
application.add_typer(fleet_orders.controller_application, name="controller")
application.add_typer(gateway.application, name="gateway")

OPTIONAL_GROUPS = ("fleet", "lab")
"""Command groups for developers; an installation may omit them."""


def _add_optional_groups() -> None:
    for name in OPTIONAL_GROUPS:
        module_name = f"springmux.cli.{name}"
        if importlib.util.find_spec(module_name) is not None:
            application.add_typer(importlib.import_module(module_name).application, name=name)


_add_optional_groups()


def main() -> None:
    """Entry point of the installed command."""
    application()
