"""Encodes the TOML that operators would write by hand."""

import msgspec


def encode(body: object) -> str:
    """Encode a mapping or struct of scalars and one level of tables as TOML.

    Values are encoded as JSON: strings, numbers, booleans and arrays of
    strings are written the same way in TOML.
    """
    fields = msgspec.to_builtins(body)
    tables = {
        name: table for name, table in fields.items() if isinstance(table, dict)
    }
    lines = [
        _encode_line(name, content)
        for name, content in fields.items()
        if name not in tables
    ]
    for table, members in tables.items():
        lines.append(f'[{table}]')
        lines += [
            _encode_line(name, content) for name, content in members.items()
        ]
    return ''.join(f'{line}\n' for line in lines)


def _encode_line(name: str, content: object) -> str:
    return f'{name} = {msgspec.json.encode(content).decode()}'
