#!/usr/bin/env python3
"""Synthetic deployments: a site file of the users with other engines, prompts and weights, to detect overfitting.

    scripts/variants.py SITE.toml FOLDER

Writes one site file per variant to FOLDER, with a copy of the files that the site file names. The thresholds of the days
are those of the original, so only scores of two versions on the same variant can be compared.
"""
import os
import re
import shutil
import sys


def set_field(text, field, value):
    """Set every occurrence of a numeric field."""
    return re.sub(rf"\b{field} = [0-9.]+", f"{field} = {value}", text)


def set_prompt_length(text, mean, most):
    """Change the length of prompts; their shared prefix is unchanged."""
    return re.sub(r"prompt_tokens = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}",
                  rf"prompt_tokens = {{ mean = {mean}, spread = \1, max = {most} }}", text)


def set_answer_length(text, mean, most):
    """Change the length of answers."""
    return re.sub(r"pieces = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}",
                  rf"pieces = {{ mean = {mean}, spread = \1, max = {most} }}", text)



VARIANTS = {
    "fast-engines": lambda t: set_field(set_field(set_field(t, "prefill_tokens_per_ms", 90.0), "step_ms", 2.6), "kv_tokens", 26000),
    "slow-engines": lambda t: set_field(set_field(set_field(t, "prefill_tokens_per_ms", 18.0), "step_ms", 8.5), "kv_tokens", 80000),
    "small-memory": lambda t: set_field(t, "kv_tokens", 26000),
    "large-memory": lambda t: set_field(t, "kv_tokens", 110000),
    "long-prompts": lambda t: set_field(set_prompt_length(t, 6000.0, 13000.0), "kv_tokens", 70000),
    "long-answers": lambda t: set_answer_length(set_prompt_length(t, 900.0, 2000.0), 110.0, 260.0),
}


def main():
    site, folder = sys.argv[1:]
    os.makedirs(folder, exist_ok=True)
    with open(site, encoding="utf-8") as source:
        text = source.read()
    for companion in ("wire.json", "CUT"):
        shutil.copy(os.path.join(os.path.dirname(site), companion), folder)
    for name, change in VARIANTS.items():
        changed = re.sub(r'^name = ".*"$', f'name = "{name}"', change(text), count=1, flags=re.M)
        with open(os.path.join(folder, f"{name}.toml"), "w", encoding="utf-8") as out:
            out.write(changed)


if __name__ == "__main__":
    main()
