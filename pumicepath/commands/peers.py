"""`peers`: what one sidecar sees of its fleet."""

from __future__ import annotations

import click

from .ends import fail

LONGEST_S = 5.0


def asked(address: str) -> bytes:
    import http.client
    connection = http.client.HTTPConnection(address, timeout=LONGEST_S)
    try:
        connection.request("GET", "/peers")
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
def peers(address: str, as_json: bool) -> None:
    """Print what the sidecar with this operators' address (host:port) sees of its fleet."""
    import http.client

    import orjson
    try:
        body = asked(address)
        told = orjson.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as trouble:
        fail(f"{address}: {trouble}")
    if as_json:
        click.echo(body.decode().rstrip())
        return
    figures = told["figures"]
    click.echo(f"{told['name']} at {told['address']}, incarnation {told['incarnation']}: "
               f"{figures['peers_alive']} alive, {figures['peers_suspected']} suspected; the fleet counts "
               f"{figures.get('fleet_least', 1)} heard of late, {figures.get('fleet_likely', 1)} likely, "
               f"{figures.get('fleet_most', 1)} with those that may be cut off")
    for one in sorted(told["peers"], key=lambda one: (one["name"], one["born"])):
        heard = "never heard" if one["heard_s"] is None else f"heard {one['heard_s']:.1f} s ago"
        by = f", told by {one['by']}" if one["by"] else ""
        click.echo(f"  {one['name']:<20} {one['address']:<21} {one['zone']:<10} {one['state']:<9} "
                   f"for {one['since_s']:.1f} s, {heard}{by}")
