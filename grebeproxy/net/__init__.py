"""The router on sockets: codecs, the router's state machine and the runtime that carries out its effects."""
