"""Analysis of a statement's text: its table group and its shape. I/O-free and without a clock."""
