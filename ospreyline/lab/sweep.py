"""Sweeps: runs over a grid of keys, seeds and arms, in parallel processes, resumable.

Each cell (settings, seed, arm) is run on its own. Its summary is written atomically (by a rename) under
`cells/`, named by a hash of all that decides the result. The same command resumes a stopped sweep: finished
cells are not run again, unfinished ones leave no result. The order of cells changes no result.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from itertools import product
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from ospreyline.lab import arms, records, scenario
from ospreyline.lab.run import run_scenario
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.words import ScenarioError


class Cell(msgspec.Struct, frozen=True):
    """One run of a sweep."""

    settings: tuple[tuple[str, Any], ...]
    seed: int
    arm: str


def grid(settings: Mapping[str, Sequence[Any]], seeds: Sequence[int], names: Sequence[str]) -> list[Cell]:
    """All cells of the grid; the arms of one seed are adjacent."""
    paths = list(settings)
    return [
        Cell(tuple(zip(paths, values, strict=True)), seed, arm)
        for values in product(*settings.values())
        for seed in seeds
        for arm in names
    ]


def parse_setting(text: str) -> tuple[str, list[Any]]:
    """`bank.count=3,10,30` as a path and its values, each read as JSON if possible, else as text."""
    path, equals, values = text.partition("=")
    if not equals or not path or not values:
        raise ScenarioError(f"{text}: not of the form key=value,value")
    out: list[Any] = []
    for value in values.split(","):
        try:
            out.append(msgspec.json.decode(value.strip()))
        except msgspec.DecodeError:
            out.append(value.strip())
    return path.strip(), out


def cell_key(base: Scenario, cell: Cell, text: str) -> str:
    """Hash of all that decides a cell's result: scenario in force, seed, arm and the source of its module."""
    whole = msgspec.json.encode(
        [msgspec.to_builtins(scenario.change(base, dict(cell.settings))), cell.seed, cell.arm, text],
        order="deterministic",
    )
    return xxhash.xxh3_128_hexdigest(whole)


def _ignore_sigint() -> None:
    # only the parent handles Ctrl-C, and then stops the workers in order
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _run_cell(base: Scenario, cell: Cell, target: Path) -> dict[str, Any]:
    """Runs one cell and writes its row to `target` atomically."""
    changed = scenario.change(base, dict(cell.settings))
    summary = run_scenario(changed, cell.seed, cell.arm)
    row = {"settings": dict(cell.settings), "seed": cell.seed, "arm": cell.arm, "summary": summary}
    partial = target.with_suffix(f".{os.getpid()}.part")
    partial.write_bytes(msgspec.json.encode(row, order="deterministic") + b"\n")
    partial.replace(target)
    return row


def check_cells(base: Scenario, cells: Sequence[Cell]) -> None:
    """Raises `ScenarioError` for a cell that cannot be run; called before any is run."""
    for cell in cells:
        scenario.change(base, dict(cell.settings))
    for arm in sorted({cell.arm for cell in cells}):
        arms.policy_factory(arm)


def run(
    base: Scenario,
    cells: Sequence[Cell],
    folder: Path,
    jobs: int,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> list[dict[str, Any]]:
    """Runs all cells that have no result yet; returns the rows of all, in the order of the cells.

    On `KeyboardInterrupt` the workers finish their current cells, whose results are kept; it is re-raised.
    """
    check_cells(base, cells)
    texts = {arm: arms.source_text(arm) for arm in sorted({cell.arm for cell in cells})}
    cells_folder = folder / "cells"
    try:
        cells_folder.mkdir(parents=True, exist_ok=True)
        for partial in cells_folder.glob("*.part"):
            partial.unlink()
        (folder / "sweep.json").write_bytes(
            msgspec.json.format(
                msgspec.json.encode(
                    {
                        "scenario": msgspec.to_builtins(base),
                        "cells": [
                            {"settings": dict(c.settings), "seed": c.seed, "arm": c.arm} for c in cells
                        ],
                    }
                )
            )
        )
    except OSError as error:
        raise records.RecordError(f"{folder}: {error.strerror}") from error
    targets = [cells_folder / f"{cell_key(base, cell, texts[cell.arm])}.json" for cell in cells]
    missing = [(cell, target) for cell, target in zip(cells, targets, strict=True) if not target.exists()]
    done = len(cells) - len(missing)
    progress(done, len(cells))
    if missing:
        with ProcessPoolExecutor(max(1, min(jobs, len(missing))), initializer=_ignore_sigint) as pool:
            waiting: set[Future[dict[str, Any]]] = {pool.submit(_run_cell, base, *m) for m in missing}
            try:
                while waiting:
                    ended, waiting = wait(waiting, return_when=FIRST_COMPLETED)
                    for future in ended:
                        future.result()
                        done += 1
                        progress(done, len(cells))
            except BaseException:
                for future in waiting:
                    future.cancel()
                raise
    rows = [msgspec.json.decode(target.read_bytes()) for target in targets]
    with (folder / "rows.jsonl").open("wb") as file:
        for row in rows:
            file.write(msgspec.json.encode(row, order="deterministic") + b"\n")
    return rows


def read(folder: Path) -> list[dict[str, Any]]:
    """The rows of a finished sweep, or the one row of a single run."""
    if (folder / "rows.jsonl").exists():
        return list(records.read_rows(folder, "rows"))
    if (folder / "summary.json").exists():
        summary = records.read_json(folder, "summary")
        return [{"settings": {}, "seed": summary["seed"], "arm": summary["arm"], "summary": summary}]
    raise records.RecordError(f"{folder}: neither a run nor a sweep that has finished")


def by_settings(
    rows: Sequence[Mapping[str, Any]],
) -> Iterator[tuple[dict[str, Any], list[Mapping[str, Any]]]]:
    """Groups rows by their settings, in the order of their first rows."""
    groups: dict[bytes, list[Mapping[str, Any]]] = {}
    for row in rows:
        groups.setdefault(msgspec.json.encode(row["settings"], order="deterministic"), []).append(row)
    for group in groups.values():
        yield dict(group[0]["settings"]), group
