from .command import main

main(prog_name="pumicepath")
