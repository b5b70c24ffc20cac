"""What operators call and are told at the second address: calls and figures, without sockets."""
