"""Tests of statement shapes: which statements share a shape, which do not, and which have none."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.shapes.fingerprint import MAX_NUMBERS, shape_of
from grebeproxy.shapes.scanner import MAX_SCANNED_BYTES

LITERALS = st.one_of(
    st.integers(-(10**9), 10**9).map(str),
    st.floats(0, 1e6).map(lambda f: f"{f:.3f}"),
    st.text(st.characters(codec="utf-8"), max_size=20).map(lambda t: "'" + t.replace("'", "''") + "'"),
)
TABLES = ("orders", "items", "readers")


def statement(
    table: str,
    joined: str | None,
    columns: tuple[str, ...],
    value: str,
    values: list[str],
    group: int,
    grouped: bool,
    limit: int,
) -> str:
    join = f" JOIN dim_{group}.{joined} d ON d.id = t.id" if joined else ""
    tail = " GROUP BY t.k" if grouped else ""
    return (
        f"SELECT {', '.join(columns)} FROM sales_{group}.{table} t{join} WHERE t.a = {value} "
        f"AND t.b IN ({', '.join(values)}){tail} ORDER BY 1 LIMIT {limit}"
    )


STRUCTURES = st.tuples(
    st.sampled_from(TABLES),
    st.none() | st.sampled_from(TABLES),
    st.sampled_from([("t.k",), ("t.k", "count(*)"), ("t.k", "sum(t.n)"), ("t.k", "t.n")]),
    st.booleans(),
)
LITERAL_SETS = st.tuples(
    LITERALS, st.lists(LITERALS, min_size=1, max_size=9), st.integers(0, 999), st.integers(0, 10**6)
)


def render(
    structure: tuple[str, str | None, tuple[str, ...], bool], literals: tuple[str, list[str], int, int]
) -> bytes:
    table, joined, columns, grouped = structure
    value, values, group, limit = literals
    return statement(table, joined, columns, value, values, group, grouped, limit).encode()


@given(structure=STRUCTURES, one=LITERAL_SETS, other=LITERAL_SETS)
def test_statements_that_differ_in_literals_and_group_share_a_shape(
    structure: tuple[str, str | None, tuple[str, ...], bool],
    one: tuple[str, list[str], int, int],
    other: tuple[str, list[str], int, int],
) -> None:
    assert shape_of(render(structure, one)) is not None
    assert shape_of(render(structure, one)).digest == shape_of(render(structure, other)).digest  # type: ignore[union-attr]


@given(one=STRUCTURES, other=STRUCTURES, literals=LITERAL_SETS)
def test_statements_that_differ_in_a_table_a_join_or_an_aggregate_have_different_shapes(
    one: tuple[str, str | None, tuple[str, ...], bool],
    other: tuple[str, str | None, tuple[str, ...], bool],
    literals: tuple[str, list[str], int, int],
) -> None:
    first, second = shape_of(render(one, literals)), shape_of(render(other, literals))
    assert first and second and (first.digest == second.digest) is (one == other)


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ("SELECT a FROM ops_3.t", "select  A\n FROM ops_71.t -- all of it"),
        ("SELECT a FROM ops_3.t;", "SELECT /* x /* y */ z */ a FROM ops_3 . t"),
        ("SELECT a FROM t WHERE b = 5", "SELECT a FROM t WHERE b = -5.5e3"),
        ("SELECT a FROM t WHERE b = 5", "SELECT a FROM t WHERE b = 'it''s -- no comment'"),
        ("SELECT a FROM t WHERE b = 5", "SELECT a FROM t WHERE b = $tag$x' y$tag$"),
        ("SELECT a FROM t WHERE b IN (1)", "SELECT a FROM t WHERE b IN ($1, $2, :three, 4)"),
        ("INSERT INTO t VALUES (1, 'a')", "INSERT INTO t VALUES (1, 'a'), (2, 'b'), (-3, 'c')"),
        ('SELECT "a" FROM t', "SELECT a FROM t"),
    ],
)
def test_equivalent_statements_share_a_shape(one: str, other: str) -> None:
    first, second = shape_of(one.encode()), shape_of(other.encode())
    assert first and second and first.text == second.text


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ("SELECT a - 5 FROM t", "SELECT a + 5 FROM t"),
        ('SELECT "A" FROM t', "SELECT a FROM t"),
        ("SELECT a FROM staging_1.t", "SELECT a FROM ops_1.t"),
        ("SELECT a FROM t WHERE b = 'FROM u'", "SELECT a FROM t WHERE b = u"),
        ("SELECT a FROM t WHERE b IN (1, 2)", "SELECT a FROM t WHERE b IN (SELECT 1)"),
        ("SELECT a::text FROM t", "SELECT a FROM t"),
    ],
)
def test_similar_statements_have_different_shapes(one: str, other: str) -> None:
    first, second = shape_of(one.encode()), shape_of(other.encode())
    assert first and second and first.text != second.text


def test_the_first_numbers_are_kept_in_order() -> None:
    shape = shape_of(b"SELECT a FROM ops_17.t WHERE b = -5 AND c = 2.5 LIMIT 10")
    assert shape and shape.numbers == (17.0, -5.0, 2.5, 10.0)
    many = shape_of(b"SELECT " + b"1," * 500 + b"1")
    assert many and len(many.numbers) == MAX_NUMBERS


@given(st.binary(max_size=400))
def test_any_bytes_can_be_scanned(statement: bytes) -> None:
    first, again = shape_of(statement), shape_of(statement)
    assert first == again


@pytest.mark.parametrize("statement", [b"", b" ; ", b"-- nothing", b"x" * (MAX_SCANNED_BYTES + 1)])
def test_empty_and_overlong_statements_have_no_shape(statement: bytes) -> None:
    assert shape_of(statement) is None


@pytest.mark.parametrize(
    "statement",
    [
        b"(" * MAX_SCANNED_BYTES,
        b"'" * (MAX_SCANNED_BYTES - 1),
        b'"' * (MAX_SCANNED_BYTES - 1),
        b"/*" * (MAX_SCANNED_BYTES // 2),
        b"$a" * (MAX_SCANNED_BYTES // 2),
        b"$$" * (MAX_SCANNED_BYTES // 2),
        b"1e" * (MAX_SCANNED_BYTES // 2),
        b"(1)," * 4000,
        b"-" * MAX_SCANNED_BYTES,
        b"\xff" * MAX_SCANNED_BYTES,
    ],
)
def test_the_worst_statements_are_scanned_in_bounded_time(statement: bytes) -> None:
    began = time.process_time()
    shape_of(statement)
    # About 10 ms are usual; a backtracking pattern would take minutes.
    assert time.process_time() - began < 0.25
