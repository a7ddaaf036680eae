"""Command-line tool of operators.

`check` and `settings-check` only read a file, and `explain` reads log files;
the other commands call the admin interface of a host. Results are written to
standard output and errors to standard error, both as JSON with `--json`. The
exit codes are defined in `exitcodes`.
"""

from __future__ import annotations

import secrets
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn
from urllib.parse import quote, urlencode

import msgspec
import typer
from result import Err, Result

from .addresses import Address, parse_address
from .adminclient import CallFaultKind, Response, call
from .exitcodes import ExitCode
from .explain import find_request
from .jsonfile import Fault, shorten
from .manifest import MAX_MANIFEST_BYTES, Host, read_manifest
from .options import MAX_SETTINGS_BYTES, read_options

DEFAULT_TIMEOUT_S: Final = 10.0
MAX_PARALLEL_CALLS: Final = 16
ADMIN_VARIABLE: Final = "SAMPHIREBEND_ADMIN"

app = typer.Typer(
    help="Commit manifests and look into samphirebend daemons.",
    no_args_is_help=True,
    # Rich tracebacks would print the values of local variables.
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)

FileArgument = Annotated[
    Path, typer.Argument(help="File to read, - for standard input.")
]
AdminOption = Annotated[
    list[str],
    typer.Option(
        "--admin",
        envvar=ADMIN_VARIABLE,
        metavar="IP:PORT",
        help="Admin address of a host; repeat it to name hosts to try in turn.",
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", min=0.1, max=600, help="Timeout of a call, in seconds."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Write JSON.")]


def _fail(code: ExitCode, text: str, as_json: bool, **fields: object) -> NoReturn:
    """Print an error and exit; `faults` are printed one per line."""
    if as_json:
        error = {"error": text, "exit_code": int(code), **fields}
        typer.echo(msgspec.json.encode(error).decode(), err=True)
    else:
        typer.echo(f"samphirebend: {_printable(text)}", err=True)
        faults: Any = fields.get("faults", [])
        for fault in faults:
            path, expected, found = (
                _printable(fault.get(name)) for name in ("path", "expected", "found")
            )
            typer.echo(f"  {path}: expected {expected}, found {found}", err=True)
    raise typer.Exit(code)


def _printable(value: object) -> str:
    """Return a value as text for a terminal.

    Control characters are escaped, because a terminal would act on them.
    """
    text = str(value)
    return text if text.isprintable() else shorten(text)


def _write_json(value: object) -> None:
    typer.echo(msgspec.json.encode(value).decode())


def _write_table(rows: Sequence[dict[str, Any]]) -> None:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [columns] + [
        [_format_cell(row.get(name)) for name in columns] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo("  ".join(padded).rstrip())


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict | list):
        return _printable(msgspec.json.encode(value).decode())
    return _printable(value)


def _fault_fields(faults: Sequence[Fault]) -> list[dict[str, str]]:
    return [
        {"path": fault.path, "expected": fault.expected, "found": fault.found}
        for fault in faults
    ]


def _read_file(path: Path, max_bytes: int, as_json: bool) -> str:
    """Return a file's content; read no more than one byte above the limit."""
    try:
        if str(path) == "-":
            raw = sys.stdin.buffer.read(max_bytes + 1)
        else:
            with path.open("rb") as file:
                raw = file.read(max_bytes + 1)
        if len(raw) > max_bytes:
            _fail(ExitCode.INVALID, f"the file exceeds {max_bytes} bytes", as_json)
        return raw.decode()
    except UnicodeDecodeError as exc:
        _fail(ExitCode.INVALID, f"the file is not UTF-8: {exc.reason}", as_json)
    except OSError as exc:
        _fail(ExitCode.INVALID, f"cannot read the file: {exc.strerror}", as_json)


def _validate(
    read: Callable[[str], Result[Any, list[Fault]]], text: str, as_json: bool
) -> Any:
    checked = read(text)
    if isinstance(checked, Err):
        faults = _fault_fields(checked.err_value)
        _fail(ExitCode.INVALID, "the file has faults", as_json, faults=faults)
    return checked.ok_value


def _parse_addresses(texts: list[str]) -> list[Address]:
    addresses = []
    for text in texts:
        address = parse_address(text)
        if address is None:
            raise typer.BadParameter(f"{text} is not IP:PORT", param_hint="--admin")
        addresses.append(address)
    return addresses


def _fetch(admins: list[Address], path: str, timeout_s: float, as_json: bool) -> Any:
    """Return the first success; after a 503 or no response, try the next."""
    last_response: Response | None = None
    failures: list[str] = []
    for admin in admins:
        result = call(admin, path, timeout_s)
        if isinstance(result, Err):
            failures.append(f"{admin}: {result.err_value.text}")
            continue
        response = result.ok_value
        if response.status == 200:
            return response.data
        last_response = response
        failures.append(f"{admin}: {response.data.get('error')}")
        if response.status != 503:
            break
    text = "; ".join(failures)
    if last_response is None:
        _fail(ExitCode.UNREACHABLE, text, as_json)
    codes = {404: ExitCode.NOT_FOUND, 503: ExitCode.UNAVAILABLE}
    _fail(codes.get(last_response.status, ExitCode.FAILURE), text, as_json)


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a manifest without any host."""
    text = _read_file(file, MAX_MANIFEST_BYTES, as_json)
    manifest = _validate(read_manifest, text, as_json)
    counts = {
        "regions": len(manifest.regions),
        "hosts": len(manifest.hosts),
        "services": len(manifest.services),
        "upstreams": len(manifest.upstreams),
    }
    if as_json:
        _write_json({"valid": True, **counts})
    else:
        parts = ", ".join(f"{count} {name}" for name, count in counts.items())
        typer.echo(f"valid: {parts}")


@app.command("settings-check")
def settings_check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a daemon's settings file without any host."""
    text = _read_file(file, MAX_SETTINGS_BYTES, as_json)
    cfg = _validate(read_options, text, as_json)
    if as_json:
        _write_json({"valid": True, "host": cfg.host})
    else:
        typer.echo(f"valid: settings of host {_printable(cfg.host)}")


@app.command()
def commit(
    file: FileArgument,
    admin: AdminOption,
    base: Annotated[
        int, typer.Option(min=0, help="Version that the manifest replaces.")
    ],
    commit_id: Annotated[
        str, typer.Option(help="Id of an earlier attempt, to repeat it safely.")
    ] = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Check a manifest and commit it, if `--base` is still the newest version.

    The commit id makes repeats safe: a host that receives an accepted commit
    again returns the version that it became.
    """
    admins = _parse_addresses(admin)
    text = _read_file(file, MAX_MANIFEST_BYTES, as_json)
    _validate(read_manifest, text, as_json)
    commit_id = commit_id or secrets.token_hex(8)
    body = {"text": text, "base_version": base, "commit_id": commit_id}
    if not as_json:
        # Printed before the call, so that an interrupted commit can be
        # repeated.
        typer.echo(f"commit id {_printable(commit_id)}", err=True)
    version = _send_commit(admins, body, timeout_s, as_json)
    if as_json:
        _write_json({"version": version, "commit_id": commit_id})
    else:
        typer.echo(f"accepted as version {version}")


def _send_commit(
    admins: list[Address], body: dict[str, Any], timeout_s: float, as_json: bool
) -> object:
    """Return the accepted version; try hosts until one knows the result."""
    uncertain = reached = False
    failures: list[str] = []
    for admin in admins:
        result = call(admin, "/v1/manifest", timeout_s, body)
        if isinstance(result, Err):
            fault = result.err_value
            if fault.kind is CallFaultKind.NO_RESPONSE:
                uncertain = reached = True
            failures.append(f"{admin}: {fault.text}")
            continue
        response = result.ok_value
        reached = True
        if response.status == 200:
            return response.data.get("version")
        if response.status in (400, 409, 413):
            _fail_refused_commit(response, body, as_json)
        # Unless the host says otherwise, the commit may have been accepted.
        uncertain |= response.data.get("may_have_been_accepted") is not False
        failures.append(f"{admin}: {response.data.get('error')}")
    text = "; ".join(failures)
    fields = {"commit_id": body["commit_id"]}
    if uncertain:
        text = f"the commit may have been accepted: {text}"
        _fail(ExitCode.UNCERTAIN, text, as_json, **fields)
    code = ExitCode.UNAVAILABLE if reached else ExitCode.UNREACHABLE
    _fail(code, f"not accepted: {text}", as_json, **fields)


def _fail_refused_commit(
    response: Response, body: dict[str, Any], as_json: bool
) -> NoReturn:
    text = str(response.data.get("error"))
    if response.status == 409:
        current = response.data.get("current_version")
        text = f"{text}: base {body['base_version']}, current version {current}"
        fields = {"base_version": body["base_version"], "current_version": current}
        _fail(ExitCode.CONFLICT, text, as_json, **fields)
    faults = response.data.get("faults", [])
    _fail(ExitCode.INVALID, text, as_json, faults=faults)


@app.command()
def show(
    admin: AdminOption,
    version: Annotated[
        int | None, typer.Option(min=1, help="An earlier version.")
    ] = None,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Write the manifest in force, or an earlier version, as committed."""
    query = "" if version is None else f"?version={version}"
    response = _fetch(
        _parse_addresses(admin), f"/v1/manifest{query}", timeout_s, as_json
    )
    if as_json:
        _write_json(response)
    else:
        typer.echo(f"version {response.get('version')}", err=True)
        typer.echo(response.get("text"), nl=False)


@app.command()
def history(
    admin: AdminOption,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the newest accepted versions."""
    response = _fetch(
        _parse_addresses(admin), "/v1/manifest/history", timeout_s, as_json
    )
    if as_json:
        _write_json(response)
    else:
        _write_table(response.get("history", []))


@app.command()
def where(
    admin: AdminOption,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the version in force on every host of the manifest."""
    response = _fetch(_parse_addresses(admin), "/v1/manifest", timeout_s, as_json)
    checked = read_manifest(str(response.get("text")))
    if isinstance(checked, Err):
        _fail(ExitCode.FAILURE, "the manifest in force is not understood", as_json)
    hosts = sorted(checked.ok_value.hosts.values(), key=lambda host: host.name)
    with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        rows = list(pool.map(lambda host: _host_version(host, timeout_s), hosts))
    everywhere = len({row["version"] for row in rows}) == 1 and all(
        row["version"] is not None for row in rows
    )
    if as_json:
        _write_json({"everywhere": everywhere, "hosts": rows})
    else:
        _write_table(rows)
    if not everywhere:
        raise typer.Exit(ExitCode.NOT_EVERYWHERE)


def _host_version(host: Host, timeout_s: float) -> dict[str, Any]:
    row: dict[str, Any] = {"host": host.name, "region": host.region}
    row["admin"] = str(host.admin)
    result = call(host.admin, "/healthz", timeout_s)
    if isinstance(result, Err):
        return {**row, "version": None, "state": result.err_value.text}
    data = result.ok_value.data
    return {
        **row,
        "version": data.get("manifest_version"),
        "state": data.get("status"),
    }


@app.command()
def status(
    admin: AdminOption,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show hosts, upstreams, limits and links as one host sees them."""
    response = _fetch(_parse_addresses(admin), "/v1/status", timeout_s, as_json)
    if as_json:
        _write_json(response)
        return
    for name, part in response.items():
        if isinstance(part, list) and all(isinstance(row, dict) for row in part):
            typer.echo(f"{_printable(name)}: {len(part)}")
            if part:
                _write_table(part)
            typer.echo()
        else:
            typer.echo(f"{_printable(name)}: {_format_cell(part)}")


@app.command()
def dump(
    admin: AdminOption,
    service: Annotated[str, typer.Option(help="Only this service.")] = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Write the state of one host's services; always JSON."""
    query = f"?service={quote(service, safe='')}" if service else ""
    response = _fetch(_parse_addresses(admin), f"/v1/dump{query}", timeout_s, as_json)
    if as_json:
        _write_json(response)
    else:
        raw = msgspec.json.encode(response)
        typer.echo(msgspec.json.format(raw, indent=2).decode())


@app.command()
def preview(
    host_name: Annotated[str, typer.Argument(help="Name in the Host header.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    gateway: Annotated[
        list[str],
        typer.Option(metavar="IP:PORT", help="Ready address of a gateway host."),
    ],
    object_key: Annotated[
        str, typer.Option("--object", help="Key of the request's object.")
    ] = "",
    customer: Annotated[str, typer.Option(help="Name of the customer.")] = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Explain where a request would go now, without sending it."""
    fields = {"host": host_name, "path": path}
    fields |= {"object": object_key, "customer": customer}
    url = f"/preview?{urlencode(fields)}"
    response = _fetch(_parse_addresses(gateway), url, timeout_s, as_json)
    if as_json:
        _write_json(response)
        return
    services = response.pop("services", [])
    for name, value in response.items():
        typer.echo(f"{_printable(name)}: {_format_cell(value)}")
    for service in services:
        candidates = service.pop("candidates", [])
        typer.echo()
        for name, value in service.items():
            typer.echo(f"{_printable(name)}: {_format_cell(value)}")
        if candidates:
            _write_table(candidates)


def main() -> None:
    """Run the command-line tool."""
    app(prog_name="samphirebend")


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Logs of the processes.")],
    as_json: JsonOption = False,
) -> None:
    """Print what happened to one request, from the logs of all processes."""
    result = find_request(request_id, logs)
    if isinstance(result, Err):
        _fail(ExitCode.INVALID, result.err_value, as_json)
    lines = result.ok_value
    if not lines:
        _fail(ExitCode.NOT_FOUND, f"no line about request {request_id}", as_json)
    if as_json:
        _write_json([line.fields for line in lines])
        return
    for line in lines:
        typer.echo(_printable(line.text()))


if __name__ == "__main__":
    main()
