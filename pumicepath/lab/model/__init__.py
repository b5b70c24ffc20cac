"""The systems around sidecars: servers, list, network, clients and a rule checker; free of I/O and clocks."""
