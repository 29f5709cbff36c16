"""Generate the record classes in troutstand/generated from the JSON Schemas in schema/."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT_FOLDER = ROOT / "troutstand" / "generated"
HEADER = '"""Hold records generated from schema/{name}.json; run `make generate`."""'
STRICT_BASE = "troutstand.core.record.StrictRecord"
LENIENT_BASE = "troutstand.core.record.Record"
BASE_CLASSES = {
    "settings": STRICT_BASE,
    "control": STRICT_BASE,
    "table": STRICT_BASE,
    "messages": LENIENT_BASE,
    "routing": STRICT_BASE,
    "configuration": STRICT_BASE,
}


def _require_defaults(node: object) -> None:
    """Mark fields with a default as required, so that their types don't become optional."""
    if isinstance(node, list):
        for item in node:
            _require_defaults(item)
    if not isinstance(node, dict):
        return
    properties = node.get("properties")
    if isinstance(properties, dict):
        with_default = [name for name, field in properties.items() if "default" in field]
        required = node.setdefault("required", [])
        required.extend(name for name in with_default if name not in required)
    for value in node.values():
        _require_defaults(value)


def generate_module(name: str, base_class: str, folder: Path) -> None:
    """Generate the module of one schema in a folder."""
    schema = json.loads((ROOT / "schema" / f"{name}.json").read_text())
    _require_defaults(schema)
    with tempfile.TemporaryDirectory() as scratch:
        source = Path(scratch) / f"{name}.json"
        source.write_text(json.dumps(schema))
        command = [
            sys.executable, "-m", "datamodel_code_generator",
            "--input", str(source), "--input-file-type", "jsonschema",
            "--output", str(folder / f"{name}.py"),
            "--output-model-type", "msgspec.Struct",
            "--target-python-version", "3.11",
            "--use-annotated", "--field-constraints", "--use-default",
            "--use-schema-description", "--use-field-description",
            "--collapse-root-models",
            "--deserialize-default-values", "enum",
            "--base-class", base_class, "--disable-timestamp",
            "--custom-file-header", HEADER.format(name=name),
            "--formatters", "ruff-format", "ruff-check",
        ]  # fmt: skip
        subprocess.run(command, check=True)


def generate(folder: Path) -> None:
    """Generate the modules of all schemas in a folder."""
    for name, base_class in BASE_CLASSES.items():
        generate_module(name, base_class, folder)


def check() -> int:
    """Return 0 if the committed modules match their schemas, otherwise 1."""
    with tempfile.TemporaryDirectory(dir=ROOT) as scratch:
        generate(Path(scratch))
        outdated = [
            name
            for name in BASE_CLASSES
            if (Path(scratch) / f"{name}.py").read_text()
            != (OUTPUT_FOLDER / f"{name}.py").read_text()
        ]
    for name in outdated:
        print(f"troutstand/generated/{name}.py differs from its schema: run `make generate`")
    return 1 if outdated else 0


if __name__ == "__main__":
    if "--check" in sys.argv:
        sys.exit(check())
    generate(OUTPUT_FOLDER)
