"""Play the regression days on the users' bench and compare them with earlier entries.

    python benchmarks/regress.py --bench PROGRAM --sites FOLDER [--only SITE ...]

The days stand in `regress.json`. Each is played at the bench's own seed, one site at a
time; the worth of each day is printed beside that of the last committed journal entry
of the same day. The exit code is 1 if a rule was broken, a gate failed, or the worth of
a day fell by more than the bench's noise, and 2 if nothing could be compared.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
JOURNAL = ROOT / "journal"
PLAN = Path(__file__).with_suffix(".json")
NOISE = 0.03  # change of worth that the bench's pages call noise
EXIT_REGRESSED = 1
EXIT_NOTHING_PLAYED = 2


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """Result of one day in a journal entry.

    Parameters
    ----------
    entry : str
        Id of the journal entry.
    at : str
        When the play began, as ISO 8601.
    site, day : str
    worth : float
    passed : bool
        Whether the day passed its gate.
    rules : tuple of str
        Broken rules.
    """

    entry: str
    at: str
    site: str
    day: str
    worth: float
    passed: bool
    rules: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Comparison:
    """A day that was just played, beside its last committed result, if any."""

    before: PlayedDay | None
    now: PlayedDay

    @property
    def has_regressed(self) -> bool:
        """Whether a rule was broken, the gate failed or the worth fell."""
        fell = self.before is not None and self.before.worth - self.now.worth > NOISE
        return fell or not self.now.passed or bool(self.now.rules)


def read_days(text: str) -> list[PlayedDay]:
    """Return the full-size days of a journal entry that charge processor time."""
    entry = json.loads(text)
    argv = entry.get("argv") or []
    if entry.get("cmd") not in ("run", "score") or "--no-cpu" in argv:
        return []
    return [
        PlayedDay(
            entry["id"],
            entry["at"][0],
            entry["site"],
            day["name"],
            day["G"],
            bool(day["gate"]),
            tuple(sorted(day["rules"])),
        )
        for day in entry.get("days") or []
        if day.get("G") is not None and "--small" not in argv and "--seed" not in argv
    ]


def find_latest(days: Iterable[PlayedDay]) -> dict[tuple[str, str], PlayedDay]:
    """Return the latest result of each site and day."""
    latest: dict[tuple[str, str], PlayedDay] = {}
    for played in sorted(days, key=lambda played: played.at):
        latest[played.site, played.day] = played
    return latest


def compare(
    before: dict[tuple[str, str], PlayedDay], now: Iterable[PlayedDay]
) -> list[Comparison]:
    """Set each day that was just played beside its last committed result."""
    return [Comparison(before.get((played.site, played.day)), played) for played in now]


def format_table(rows: Sequence[Comparison]) -> str:
    """Return a table with one line a day; regressions are marked."""
    lines = [f"{'site':24} {'day':10} {'before':>7} {'now':>7} {'diff':>7}  notes"]
    for row in rows:
        now, before = row.now, row.before
        old = "-" if before is None else f"{before.worth:.3f}"
        diff = "-" if before is None else f"{now.worth - before.worth:+.3f}"
        notes = []
        if not now.passed:
            notes.append("gate failed")
        if now.rules:
            notes.append("broken: " + ", ".join(now.rules))
        if row.has_regressed:
            notes.append("REGRESSED")
        lines.append(
            f"{now.site:24} {now.day:10} {old:>7} {now.worth:7.3f} {diff:>7}  "
            + "; ".join(notes)
        )
    return "\n".join(lines)


def list_committed_entries() -> list[str]:
    """Return the texts of the journal entries of the current commit."""
    listing = _git("ls-tree", "-r", "--name-only", "HEAD", "journal/")
    names = [name for name in listing.splitlines() if name.endswith(".json")]
    return [_git("show", f"HEAD:{name}") for name in names]


def play(bench: Path, site: Path, day: str, *, why: str) -> list[PlayedDay]:
    """Play a day and return the results of its journal entry."""
    known = set(JOURNAL.glob("*.json"))
    subprocess.run(
        [str(bench), "run", str(site), day, "--why", why], cwd=ROOT, check=False
    )
    new = sorted(set(JOURNAL.glob("*.json")) - known)
    return [played for path in new for played in read_days(path.read_text())]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=Path, required=True, help="program to run")
    parser.add_argument(
        "--sites", type=Path, required=True, help="folder that holds the site files"
    )
    parser.add_argument("--only", nargs="*", default=(), help="sites to play")
    options = parser.parse_args(argv)
    if not options.bench.is_file():
        parser.error(f"there is no program {options.bench}")
    before = find_latest(
        played for text in list_committed_entries() for played in read_days(text)
    )
    rows: list[Comparison] = []
    for plan in json.loads(PLAN.read_text()):
        if options.only and plan["site"] not in options.only:
            continue
        files = sorted(options.sites.rglob(f"{plan['site']}.toml"))
        if not files:
            print(f"no file of site {plan['site']} in {options.sites}", file=sys.stderr)
            continue
        for day in plan["days"]:
            why = "Regression run against the last committed entry"
            rows += compare(before, play(options.bench, files[0], day, why=why))
    print(format_table(rows))
    if not rows:
        return EXIT_NOTHING_PLAYED
    return EXIT_REGRESSED if any(row.has_regressed for row in rows) else 0


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True
    )
    return done.stdout


if __name__ == "__main__":
    sys.exit(main())
