"""`peers`: what one sidecar sees of its fleet, and who holds which duty."""

from __future__ import annotations

import click

from .errors import fail

TIMEOUT_S = 5.0


def call_admin(address: str, method: str, path: str) -> bytes:
    import http.client

    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read()
    finally:
        connection.close()
    if answer.status != 200:
        fail(f"{address}: {answer.status} {body.decode(errors='replace').strip()}")
    return body


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="The view as the sidecar tells it, one object.")
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
        told = orjson.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as trouble:
        fail(f"{address}: {trouble}")
    if as_json:
        click.echo(body.decode().rstrip())
        return
    figures = told["figures"]
    click.echo(
        f"{told['name']} at {told['address']}, incarnation {told['incarnation']}: "
        f"{figures['peers_alive']} alive, {figures['peers_suspected']} suspected; the fleet counts "
        f"{figures.get('fleet_least', 1)} heard of late, {figures.get('fleet_likely', 1)} likely, "
        f"{figures.get('fleet_most', 1)} with those that may be cut off"
    )
    for one in told.get("holds", []):
        click.echo(f"  holds {one['duty']}, number {one['number']}, {one['left_s']:.1f} s left")
    if "granted" in told:
        silent = f", silent for {told['silent_s']:.1f} s more" if told["silent_s"] else ""
        click.echo(f"  votes{silent}")
        for one in told["granted"]:
            click.echo(
                f"    {one['duty']}: {one['holder']}, number {one['number']}, {one['left_s']:.1f} s left"
            )
    for one in sorted(told["peers"], key=lambda one: (one["name"], one["born"])):
        heard = "never heard" if one["heard_s"] is None else f"heard {one['heard_s']:.1f} s ago"
        by = f", told by {one['by']}" if one["by"] else ""
        click.echo(
            f"  {one['name']:<20} {one['address']:<21} {one['zone']:<10} {one['state']:<9} "
            f"for {one['since_s']:.1f} s, {heard}{by}"
        )
