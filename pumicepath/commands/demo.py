"""`demo`: runs a small fleet with faults on loopback, without any configuration."""

from __future__ import annotations

import click

from .errors import fail


@click.command()
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(2.0, 3600.0),
    default=20.0,
    show_default=True,
    metavar="SECONDS",
    help="How long the clients send requests.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the load, the servers and the faults.",
)
@click.option("--json", "as_json", is_flag=True, help="Print only one JSON object at the end.")
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """Run a fleet on loopback in which a fault is injected every few seconds.

    It has two zones, eight simulated servers, three real sidecars, clients, and a rule checker that does not
    rely on the sidecars. Exits with 0 if no rule was broken, with 1 if one was, with 3 if the machine was too
    slow to tell.
    """
    try:
        import orjson
        from rich.console import Console
        from rich.live import Live

        from ..lab.loopback import demo as loopback_demo
        from ..lab.loopback import world
    except ImportError as error:
        fail(f"needs what `pip install -e '.[lab]'` installs: {error}")
    console = Console()
    plan = loopback_demo.build_plan(seconds)
    try:
        if as_json:
            result = world.play(plan, seed)
        elif console.is_terminal:
            with Live(console=console, refresh_per_second=4) as live:
                result = world.play(
                    plan, seed, lambda live_world: live.update(loopback_demo.render_view(live_world))
                )
        else:
            result = world.play(
                plan, seed, lambda live_world: click.echo(loopback_demo.render_line(live_world))
            )
    except world.InvalidRunError as error:
        fail(f"void: {error}", 3)
    except OSError as error:
        fail(f"loopback: {error.strerror or error}")
    except KeyboardInterrupt:
        fail("interrupted; no process is left", 130)
    if as_json:
        click.echo(orjson.dumps(loopback_demo.totals(result)).decode())
    else:
        click.echo("\n".join(loopback_demo.summary_lines(result)))
    if any(result.violations.values()):
        raise SystemExit(1)
