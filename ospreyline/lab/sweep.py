"""Many runs: a grid over keys, seeds and arms, in all cores, resumable.

Every cell (settings, seed, arm) is played alone and its summary written whole, by renaming, under
`cells/`, named by a hash of all that decides its result. A sweep that was stopped is begun again by the
same call: what stands there is not played again, what was cut short left nothing. The order of cells
changes no result.
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
from ospreyline.lab.run import play
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.words import ScenarioError


class Cell(msgspec.Struct, frozen=True):
    """One run of a sweep."""

    settings: tuple[tuple[str, Any], ...]
    seed: int
    arm: str


def grid(settings: Mapping[str, Sequence[Any]], seeds: Sequence[int], names: Sequence[str]) -> list[Cell]:
    """All cells, arms of one seed beside each other."""
    paths = list(settings)
    return [
        Cell(tuple(zip(paths, values, strict=True)), seed, arm)
        for values in product(*settings.values())
        for seed in seeds
        for arm in names
    ]


def parse_setting(text: str) -> tuple[str, list[Any]]:
    """`bank.count=3,10,30` as a path and its values, each read as TOML where it is, else as text."""
    path, equals, values = text.partition("=")
    if not equals or not path or not values:
        raise ScenarioError(f"{text}: not of the form key=value,value")
    out: list[Any] = []
    for word in values.split(","):
        try:
            out.append(msgspec.json.decode(word.strip()))
        except msgspec.DecodeError:
            out.append(word.strip())
    return path.strip(), out


def key(base: Scenario, cell: Cell, text: str) -> str:
    """What decides a cell's result, as a name: scenario in force, seed, arm and the text of its module."""
    whole = msgspec.json.encode(
        [msgspec.to_builtins(scenario.change(base, dict(cell.settings))), cell.seed, cell.arm, text],
        order="deterministic",
    )
    return xxhash.xxh3_128_hexdigest(whole)


def _ignore() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # guards: Ctrl-C is for the parent, which then ends in order


def _play(base: Scenario, cell: Cell, target: Path) -> dict[str, Any]:
    """Play one cell and put its summary where it belongs, whole or not at all."""
    changed = scenario.change(base, dict(cell.settings))
    summary = play(changed, cell.seed, cell.arm)
    row = {"settings": dict(cell.settings), "seed": cell.seed, "arm": cell.arm, "summary": summary}
    part = target.with_suffix(f".{os.getpid()}.part")
    part.write_bytes(msgspec.json.encode(row, order="deterministic") + b"\n")
    part.replace(target)
    return row


def check(base: Scenario, cells: Sequence[Cell]) -> None:
    """Raise `ScenarioError` for what cannot be played, before anything is."""
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
    """Play all cells that have no result yet; the rows of all, in the order of the cells.

    A `KeyboardInterrupt` ends the workers after the cells they are at and is passed on; nothing is lost.
    """
    check(base, cells)
    texts = {arm: arms.source_text(arm) for arm in sorted({cell.arm for cell in cells})}
    place = folder / "cells"
    try:
        place.mkdir(parents=True, exist_ok=True)
        for left in place.glob("*.part"):
            left.unlink()
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
    targets = [place / f"{key(base, cell, texts[cell.arm])}.json" for cell in cells]
    missing = [(cell, target) for cell, target in zip(cells, targets, strict=True) if not target.exists()]
    done = len(cells) - len(missing)
    progress(done, len(cells))
    if missing:
        with ProcessPoolExecutor(max(1, min(jobs, len(missing))), initializer=_ignore) as pool:
            waiting: set[Future[dict[str, Any]]] = {pool.submit(_play, base, *m) for m in missing}
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
    """The rows of a sweep that was played, or the one row of a single run."""
    if (folder / "rows.jsonl").exists():
        return list(records.read_rows(folder, "rows"))
    if (folder / "summary.json").exists():
        summary = records.read_json(folder, "summary")
        return [{"settings": {}, "seed": summary["seed"], "arm": summary["arm"], "summary": summary}]
    raise records.RecordError(f"{folder}: neither a run nor a sweep that was played to its end")


def by_settings(
    rows: Sequence[Mapping[str, Any]],
) -> Iterator[tuple[dict[str, Any], list[Mapping[str, Any]]]]:
    """Rows of the same settings together, in the order in which they come first."""
    groups: dict[bytes, list[Mapping[str, Any]]] = {}
    for row in rows:
        groups.setdefault(msgspec.json.encode(row["settings"], order="deterministic"), []).append(row)
    for group in groups.values():
        yield dict(group[0]["settings"]), group
