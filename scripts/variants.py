#!/usr/bin/env python3
"""Made-up deployments: a site file of the users with other engines, prompts and weights, against fitting to one customer.

    scripts/variants.py SITE.toml FOLDER

Writes one site file a variant into FOLDER, beside a copy of the files that the site file names. The marks of the days
stay those of the original: only worth can be compared, of two versions on the same variant.
"""
import os
import re
import shutil
import sys


def scaled(text, field, value):
    """Set a number wherever the field stands."""
    return re.sub(rf"\b{field} = [0-9.]+", f"{field} = {value}", text)


def prompts(text, mean, most):
    """Prompts of another length; their shared part stays as it is."""
    return re.sub(r"prompt_tokens = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}",
                  rf"prompt_tokens = {{ mean = {mean}, spread = \1, max = {most} }}", text)


def pieces(text, mean, most):
    """Answers of another length."""
    return re.sub(r"pieces = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}",
                  rf"pieces = {{ mean = {mean}, spread = \1, max = {most} }}", text)



VARIANTS = {
    "fast-engines": lambda t: scaled(scaled(scaled(t, "prefill_tokens_per_ms", 90.0), "step_ms", 2.6), "kv_tokens", 26000),
    "slow-engines": lambda t: scaled(scaled(scaled(t, "prefill_tokens_per_ms", 18.0), "step_ms", 8.5), "kv_tokens", 80000),
    "small-memory": lambda t: scaled(t, "kv_tokens", 26000),
    "large-memory": lambda t: scaled(t, "kv_tokens", 110000),
    "long-prompts": lambda t: scaled(prompts(t, 6000.0, 13000.0), "kv_tokens", 70000),
    "long-answers": lambda t: pieces(prompts(t, 900.0, 2000.0), 110.0, 260.0),
}


def main():
    site, folder = sys.argv[1:]
    os.makedirs(folder, exist_ok=True)
    with open(site, encoding="utf-8") as source:
        text = source.read()
    for beside in ("wire.json", "CUT"):
        shutil.copy(os.path.join(os.path.dirname(site), beside), folder)
    for name, change in VARIANTS.items():
        changed = re.sub(r'^name = ".*"$', f'name = "{name}"', change(text), count=1, flags=re.M)
        with open(os.path.join(folder, f"{name}.toml"), "w", encoding="utf-8") as out:
            out.write(changed)


if __name__ == "__main__":
    main()
