"""Writes the TOML files that operators would."""

import msgspec


def encode(body: object) -> str:
    """Return a mapping or structure of scalars and tables as TOML.

    JSON's strings, numbers, booleans and arrays of strings are TOML as well.
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
