"""Distribution of server lists through relays: storage, subscriptions, rate limits, choice of a relay.

No sockets, files, threads or clocks.
"""
