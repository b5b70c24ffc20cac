"""A relay of the server list: takes it from discovery, hands it to many sidecars; decides nothing."""
