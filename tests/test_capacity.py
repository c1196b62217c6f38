"""Tests of the capacity page: fits, figures and the check of the written page."""

from __future__ import annotations

import re
import shutil
from collections.abc import Callable
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.lab.__main__ import main
from grebeproxy.lab.capacity.bounds import problems_of
from grebeproxy.lab.capacity.declarations import load_rows
from grebeproxy.lab.capacity.errors import DeclarationError, FigureError, FitError
from grebeproxy.lab.capacity.figures import Figures, evidence_problems, ranking
from grebeproxy.lab.capacity.fit import Model, fit
from grebeproxy.lab.capacity.numbers import format_number
from grebeproxy.lab.capacity.page import Page
from grebeproxy.lab.capacity.rows import Bound, RequestPath, Row, Stage
from grebeproxy.lab.record import Machine, Point, Record

DOCS = Path(__file__).parent.parent / "docs"
SIZES = (10.0, 20.0, 40.0, 80.0, 160.0)


def check(docs: Path) -> Result:
    return CliRunner().invoke(main, ["capacity", "--check", "--docs", str(docs)])


@pytest.fixture
def docs(tmp_path: Path) -> Path:
    """Copy the committed page and the files that it is rendered from."""
    copy = tmp_path / "docs"
    copy.mkdir()
    shutil.copy(DOCS / "CAPACITY.md", copy)
    shutil.copytree(DOCS / "capacity", copy / "capacity")
    return copy


def row(**fields: object) -> Row:
    defaults = {"id": "a", "role": "r", "what": "CPU", "title": "t", "unit": "us", "mechanism": "m"}
    return Row(**{**defaults, **fields})  # type: ignore[arg-type]


def figures(folder: Path, *rows: Row, **targets: float) -> Figures:
    return Figures(rows, targets, folder)


def save_record(folder: Path, values: Callable[[float], float], sizes: tuple[float, ...] = SIZES) -> None:
    points = tuple(Point({"n": size}, {"cpu": values(size)}) for size in sizes)
    record = Record("made", "a command", "a commit", "a time", Machine(8, 1024, "3.11"), 1, points)
    record.save(folder / "made.json")


# --- the committed page


def test_the_committed_page_follows_from_the_records() -> None:
    result = check(DOCS)
    assert result.exit_code == 0, result.output


def test_a_copy_of_the_page_passes_the_check(docs: Path) -> None:
    assert check(docs).exit_code == 0


def table_figures(page: str) -> list[re.Match[str]]:
    """Find the numbers in the lines of tables."""
    return [
        match
        for match in re.finditer(r"(?m)(?<=[ (])\d[\d,]*(?:\.\d+)?(?=[ %])", page)
        if is_in_table(page, match)
    ]


def is_in_table(page: str, match: re.Match[str]) -> bool:
    return page[page.rfind("\n", 0, match.start()) + 1] == "|"


def test_any_changed_figure_in_a_table_fails_the_check(docs: Path) -> None:
    path = docs / "CAPACITY.md"
    page = path.read_text()
    found = table_figures(page)
    assert len(found) > 50
    for match in found[:: len(found) // 20]:
        digit = page[match.start()]
        path.write_text(page[: match.start()] + str((int(digit) + 1) % 10) + page[match.start() + 1 :])
        result = check(docs)
        assert result.exit_code == 1, match
        assert "CAPACITY.md" in result.output


def test_a_changed_figure_in_the_text_fails_the_check(docs: Path) -> None:
    path = docs / "CAPACITY.md"
    path.write_text(path.read_text().replace("2,400 query routers", "2,401 query routers"))
    result = check(docs)
    assert result.exit_code == 1
    assert "-The operators' target" in result.output and "+The operators' target" in result.output


def test_a_changed_point_of_a_record_fails_the_check(docs: Path) -> None:
    path = docs / "capacity" / "statement-before.json"
    record = orjson.loads(path.read_bytes())
    record["points"][-1]["values"]["decide_us"] *= 1.5
    path.write_bytes(orjson.dumps(record))
    result = check(docs)
    assert result.exit_code == 1
    assert "deciding one statement" in result.output


def test_a_missing_record_fails_the_check(docs: Path) -> None:
    (docs / "capacity" / "statement-before.json").unlink()
    result = check(docs)
    assert result.exit_code == 1
    assert "statement-before.json" in result.output


def test_a_missing_page_fails_the_check(docs: Path) -> None:
    (docs / "CAPACITY.md").unlink()
    assert check(docs).exit_code == 1


def test_a_figure_typed_into_the_template_fails_even_where_the_page_has_it(docs: Path) -> None:
    for line in ("We have 17 relays.", "| CPU | 99 us |"):
        template = docs / "capacity" / "page.md"
        before = template.read_text()
        template.write_text(before + f"\n{line}\n")
        Page(docs).write()
        result = check(docs)
        assert result.exit_code == 1 and "typed by hand, not derived" in result.output
        template.write_text(before)


def test_a_table_typed_into_an_included_file_fails(docs: Path) -> None:
    (docs / "capacity" / "more.md").write_text("| what | cost |\n| --- | --- |\n| one | 3 s |\n")
    with (docs / "capacity" / "page.md").open("a") as template:
        template.write("\n{{include:more.md}}\n")
    Page(docs).write()
    result = check(docs)
    assert result.exit_code == 1 and "more.md:3" in result.output


def test_a_missing_optional_file_is_stated(docs: Path) -> None:
    with (docs / "capacity" / "page.md").open("a") as template:
        template.write("\n{{optional:none.md}}\n")
    Page(docs).write()
    assert (docs / "CAPACITY.md").read_text().rstrip().endswith("Not written yet.")
    (docs / "capacity" / "none.md").write_text("It is {{target:zones}}.\n")
    assert check(docs).exit_code == 1
    Page(docs).write()
    assert (docs / "CAPACITY.md").read_text().rstrip().endswith("It is 6.")


def test_a_stale_bound_fails_the_check(docs: Path) -> None:
    path = docs / "capacity" / "bounds" / "data.toml"
    path.write_text(path.read_text().replace("value = 1024", "value = 1025"))
    Page(docs).write()
    result = check(docs)
    assert result.exit_code == 1
    assert "the page says 1025, the code says 1024" in result.output


@pytest.mark.parametrize("placeholder", ["figure:nothing.value", "target:nothing", "what", "table:nobody"])
def test_an_unknown_placeholder_fails_the_check(docs: Path, placeholder: str) -> None:
    with (docs / "capacity" / "page.md").open("a") as template:
        template.write(f"\n{{{{{placeholder}}}}}\n")
    assert check(docs).exit_code == 1


# --- fits


@given(intercept=st.floats(-100, 100), slope=st.floats(0.1, 100))
def test_affine_fit_recovers_a_straight_line(intercept: float, slope: float) -> None:
    fitted = fit(Model.AFFINE, SIZES, [intercept + slope * size for size in SIZES])
    assert fitted.at(1000.0) == pytest.approx(intercept + slope * 1000.0, rel=1e-6, abs=1e-6)


@pytest.mark.parametrize(
    ("model", "value"),
    [
        (Model.CONSTANT, lambda n: 7.0),
        (Model.LINEAR, lambda n: 3.0 * n),
        (Model.SQUARE, lambda n: 5.0 + 0.5 * n * n),
        (Model.POWER, lambda n: 2.0 * n**1.5),
        (Model.INVERSE, lambda n: 3.0 + 5.0 / n),
    ],
)
def test_a_fit_recovers_its_own_curve_without_residual(model: Model, value: Callable[[float], float]) -> None:
    fitted = fit(model, SIZES, [value(size) for size in SIZES])
    assert fitted.at(320.0) == pytest.approx(value(320.0))
    assert fitted.residual < 1e-9
    assert fitted.extrapolation(320.0) == 2.0


def test_a_wrong_model_leaves_a_residual() -> None:
    assert fit(Model.LINEAR, SIZES, [size * size for size in SIZES]).residual > 0.3


def test_small_sizes_count_as_much_as_large_ones() -> None:
    fitted = fit(Model.AFFINE, (1.0, 10.0, 100.0, 1000.0, 10000.0), (2.0, 11.0, 101.0, 1001.0, 20001.0))
    assert fitted.at(1.0) == pytest.approx(2.0, rel=0.3)


@pytest.mark.parametrize("model", [Model.LOG, Model.N_LOG_N, Model.INVERSE, Model.POWER])
def test_a_size_of_zero_is_rejected_by_models_that_need_sizes_above_zero(model: Model) -> None:
    with pytest.raises(FitError):
        fit(model, [0.0, 1.0, 2.0, 3.0], [1.0, 2.0, 3.0, 4.0])


# --- rows


def test_a_fitted_row_is_slope_times_target_times_factor(tmp_path: Path) -> None:
    save_record(tmp_path, lambda n: 2.0 * n)
    fitted_row = row(
        record="made.json", metric="cpu", axis="n", target="fleet", factor=3, budget="cpu_budget"
    )
    figure = figures(tmp_path, fitted_row, fleet=400, cpu_budget=1200).of("a")
    assert figure.value == pytest.approx(2400.0)
    assert figure.times_budget == pytest.approx(2.0) and figure.over_budget
    assert figure.measured is None


def test_a_value_measured_at_the_target_itself_is_reported(tmp_path: Path) -> None:
    save_record(tmp_path, lambda n: 2.0 * n if n < 160 else 500.0)
    fitted_row = row(record="made.json", metric="cpu", axis="n", target=160, factor=3)
    assert figures(tmp_path, fitted_row).of("a").measured == 1500.0


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"record": "none.json"}, "none.json"),
        ({"metric": "memory"}, "no points"),
        ({"axis": "m"}, "no points"),
        ({"target": "fleet"}, "neither a target nor a row"),
        ({"record": ""}, "no record, sum, product or assumption"),
        ({"record": "", "sum": ("a",)}, "depends on itself"),
    ],
)
def test_a_row_without_a_derivable_value_is_an_error(
    tmp_path: Path, changes: dict[str, object], problem: str
) -> None:
    save_record(tmp_path, lambda n: n)
    fitted_row = row(**{"record": "made.json", "metric": "cpu", "axis": "n", "target": 200, **changes})
    with pytest.raises(FigureError, match=problem):
        figures(tmp_path, fitted_row).of("a")


@pytest.mark.parametrize(
    ("sizes", "changes", "problem"),
    [
        (SIZES, {}, None),
        (SIZES[:3], {}, "3 sizes measured"),
        (SIZES[:3], {"assumption": "no more sizes fit"}, None),
        (SIZES, {"target": 1601}, "below a tenth"),
        (SIZES, {"target": 1601, "short": "descriptors end there"}, None),
        (SIZES, {"fit": Model.POWER}, "fitted as power, and `why` gives no reason"),
        (SIZES, {"from_size": 20}, "small sizes are left out"),
        (SIZES, {"from_size": 20, "why": "another proportion"}, None),
        (SIZES, {"from_size": 40, "why": "another proportion"}, "3 sizes measured"),
        (SIZES, {"mechanism": "missing"}, "`without` does not state the consequence"),
        (SIZES, {"budget": 5}, "no source"),
    ],
)
def test_missing_evidence_behind_a_row_is_reported(
    tmp_path: Path, sizes: tuple[float, ...], changes: dict[str, object], problem: str | None
) -> None:
    save_record(tmp_path, lambda n: n, sizes)
    fitted_row = row(**{"record": "made.json", "metric": "cpu", "axis": "n", "target": 200, **changes})
    problems = evidence_problems(figures(tmp_path, fitted_row).of("a"))
    assert (problem in problems[0]) if problem else not problems


def test_sums_and_products_follow_from_other_rows(tmp_path: Path) -> None:
    rows = (
        row(id="a", assumption="guessed", value=2),
        row(id="b", assumption="guessed", value="engines"),
        row(id="c", sum=("a", "b")),
        row(id="d", product=("a", "engines", 10), over=("b",)),
    )
    computed = figures(tmp_path, *rows, engines=30)
    assert computed.of("c").value == 32
    assert computed.of("d").value == 20


def test_the_ranking_puts_the_path_of_all_statements_and_control_first(tmp_path: Path) -> None:
    def row_with_budget(name: str, path: RequestPath, value: float, stage: Stage = Stage.BOTH) -> Row:
        return row(id=name, path=path, assumption="guessed", value=value, budget=1, stage=stage)

    rows = (
        row_with_budget("other", RequestPath.OTHER, 100),
        row_with_budget("control", RequestPath.CONTROL, 3),
        row_with_budget("statement", RequestPath.STATEMENT, 5),
        row_with_budget("before", RequestPath.STATEMENT, 9, Stage.BEFORE),
        row_with_budget("fits", RequestPath.STATEMENT, 0.5),
    )
    computed = figures(tmp_path, *rows)
    all_figures = [computed.of(declared.id) for declared in rows]
    assert [f.row.id for f in ranking(all_figures, Stage.NOW)] == ["statement", "control", "other"]
    assert next(iter(ranking(all_figures, Stage.BEFORE))).row.id == "before"


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ('[[row]]\nid = "a"', "missing keys: "),
        ('[[row]]\nid = "a"\nfit = "cubic"', "cubic"),
        ('[[row]]\nid = "a"\ncolour = 1', "unknown keys: colour"),
        ("[row", "bad.toml"),
    ],
)
def test_an_invalid_declaration_is_rejected(tmp_path: Path, text: str, problem: str) -> None:
    (tmp_path / "bad.toml").write_text(text)
    with pytest.raises(DeclarationError, match=problem):
        load_rows(tmp_path)


@pytest.mark.parametrize(
    "bound",
    [
        Bound("grebeproxy.net.admission", "text", name="RESERVED_DESCRIPTORS", value=48),
        Bound("grebeproxy.replica.store", "text", name="Limits.origins", value=1024),
        Bound("grebeproxy.net.admission", "text", line="LINK_SHARE = 3"),
    ],
)
def test_a_bound_that_matches_the_code(bound: Bound) -> None:
    assert problems_of(bound) == []


@pytest.mark.parametrize(
    "bound",
    [
        Bound("grebeproxy.net.admission", "text", name="RESERVED_DESCRIPTORS", value=47),
        Bound("grebeproxy.net.admission", "text", name="NOTHING", value=47),
        Bound("grebeproxy.replica.store", "text", name="Limits.origins", value=1025),
        Bound("grebeproxy.replica.store", "text", name="Limits.nothing", value=1),
        Bound("grebeproxy.net.admission", "text", line="LINK_SHARE = 4"),
        Bound("grebeproxy.nothing", "text", name="SPARE", value=48),
    ],
)
def test_a_bound_that_differs_from_the_code(bound: Bound) -> None:
    assert len(problems_of(bound)) == 1


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"),
        (18_000_000, "18,000,000"),
        (0.012345, "0.0123"),
        (24537.8, "24,500"),
        (52.52, "52.5"),
        (9.999, "10"),
    ],
)
def test_numbers_are_shown_with_three_digits(value: float, text: str) -> None:
    assert format_number(value) == text
