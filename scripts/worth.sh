#!/usr/bin/env bash
# Prints, for each site, the value of each day in the latest score of the journal, as
# the tables of docs/WORTH.md. Needs python3.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import glob, json

newest = {}
for path in glob.glob("journal/*.json"):
    with open(path) as f:
        entry = json.load(f)
    if entry["cmd"] != "score" or not entry["ok"]:
        continue
    site = entry["site"]
    if site not in newest or entry["at"] > newest[site]["at"]:
        newest[site] = entry

for site, entry in sorted(newest.items()):
    print(f"\n## {site}\n\nJournal entry {entry['id']}, score {entry['score']:.3f}.\n")
    print("| Day | Worth | Weakest part |\n|---|---|---|")
    worths = []
    for line in entry["digest"].splitlines():
        fields = line.split()
        if len(fields) > 6 and fields[0].split("-")[0] in ("quiet", "trouble", "scale"):
            worth = float(fields[3])
            if not fields[0].startswith("quiet"):
                worths.append(worth)
            print(f"| {fields[0]} | {worth:.3f} | {' '.join(fields[7:])} |")
    print(f"\nMean over the standard days with trouble: {sum(worths) / len(worths):.3f}.")
PY
