"""Measurements of the data path, the engine list, connections and starts, each written as a record."""
