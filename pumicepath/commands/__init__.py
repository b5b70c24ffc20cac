"""The commands of the command line; heavy imports are inside the commands that need them."""
