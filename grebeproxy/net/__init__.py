"""The router on sockets: codecs, the reducer and the runtime that carries out its effects."""
