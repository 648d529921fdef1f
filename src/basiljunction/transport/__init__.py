"""Transport layer: sockets, clocks, and the threads that use them."""
