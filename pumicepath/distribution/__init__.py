"""Lists and changes on their way to many sidecars: what is held, who follows what, what goes next; pure."""
