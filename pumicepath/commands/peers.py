"""`peers`: what one sidecar sees of its fleet, and which duties it holds and grants."""

from __future__ import annotations

import click

from .errors import fail

TIMEOUT_S = 5.0


def call_admin(address: str, method: str, path: str) -> bytes:
    """Make one call to an operators' address and return the body; ends the command if it is not answered 200.

    Raises OSError or http.client.HTTPException if there is no valid response.
    """
    import http.client

    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != 200:
        fail(f"{address}: {response.status} {body.decode(errors='replace').strip()}")
    return body


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print the sidecar's JSON object as it is.")
@click.option("--resign", metavar="DUTY", help="Take a duty away from this sidecar; another claims it.")
def peers(address: str, as_json: bool, resign: str | None) -> None:
    """Print what the sidecar with this operators' address (host:port) sees of its fleet."""
    import http.client
    from urllib.parse import quote

    import orjson

    try:
        if resign is not None:
            call_admin(address, "PUT", f"/peers/duties/{quote(resign, safe='')}/resign")
        body = call_admin(address, "GET", "/peers")
        view = orjson.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as error:
        fail(f"{address}: {error}")
    if as_json:
        click.echo(body.decode().rstrip())
        return
    metrics = view["figures"]
    click.echo(
        f"{view['name']} at {view['address']}, incarnation {view['incarnation']}: "
        f"{metrics['peers_alive']} alive, {metrics['peers_suspected']} suspected; size of the fleet: "
        f"at least {metrics.get('fleet_least', 1)} (heard recently), "
        f"likely {metrics.get('fleet_likely', 1)}, "
        f"at most {metrics.get('fleet_most', 1)} with those that may be cut off"
    )
    for duty in view.get("holds", []):
        click.echo(f"  holds {duty['duty']}, number {duty['number']}, {duty['left_s']:.1f} s left")
    if "granted" in view:
        silent = f", silent for {view['silent_s']:.1f} s more" if view["silent_s"] else ""
        click.echo(f"  votes{silent}")
        for grant in view["granted"]:
            click.echo(
                f"    {grant['duty']}: {grant['holder']}, number {grant['number']}, "
                f"{grant['left_s']:.1f} s left"
            )
    for peer in sorted(view["peers"], key=lambda one: (one["name"], one["born"])):
        heard = "never heard" if peer["heard_s"] is None else f"heard {peer['heard_s']:.1f} s ago"
        reported_by = f", reported by {peer['by']}" if peer["by"] else ""
        click.echo(
            f"  {peer['name']:<20} {peer['address']:<21} {peer['zone']:<10} {peer['state']:<9} "
            f"for {peer['since_s']:.1f} s, {heard}{reported_by}"
        )
