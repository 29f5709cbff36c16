"""Find the requests and prompt parts that crash targets, and isolate or refuse them."""
