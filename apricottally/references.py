"""Checks references between templates and workspaces before publishing.

A change is refused only if it adds faults. Faults that exist already do not
block an unrelated change.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally import model
from apricottally.errors import ModelError
from apricottally.events import Record
from apricottally.model import Template, Workspace
from apricottally.operatorfiles import Body
from apricottally.tomltables import Fault


@dataclass(slots=True)
class Catalogue:
    """All templates and workspaces by name."""

    templates: dict[str, Template] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)

    def put(self, key: str, body: Body | None) -> None:
        """Store the body of a key, or remove the key if `body` is None."""
        if key.startswith(model.TEMPLATE_PREFIX):
            name = key.removeprefix(model.TEMPLATE_PREFIX)
            self.templates.pop(name, None)
        else:
            name = key.removeprefix(model.WORKSPACE_PREFIX)
            self.workspaces.pop(name, None)
        if isinstance(body, Template):
            self.templates[name] = body
        elif isinstance(body, Workspace):
            self.workspaces[name] = body

    def list_faults(self) -> list[Fault]:
        """Return uses of missing templates and endpoints used twice."""
        faults = []
        first_users: dict[tuple[str, int], str] = {}
        for name, template_name, template in self._list_template_uses():
            path = f'workspaces.{name}.templates.{template_name}'
            if template is None:
                problem = f'there is no template `{template_name}`'
                faults.append(Fault(path, problem))
                continue
            address = self.workspaces[name].address
            first_user = first_users.setdefault((address, template.port), path)
            if first_user != path:
                endpoint = f'{address}:{template.port}'
                faults.append(
                    Fault(path, f'{endpoint} is used by {first_user}')
                )
        return faults

    def _list_template_uses(self) -> list[tuple[str, str, Template | None]]:
        return [
            (name, template_name, self.templates.get(template_name))
            for name, workspace in sorted(self.workspaces.items())
            for template_name in sorted(workspace.templates)
        ]


def build_catalogue(records: Iterable[Record]) -> Catalogue:
    """Return the catalogue of the records.

    Invalid values are left out, since the nodes ignore them too.
    """
    catalogue = Catalogue()
    for record in records:
        try:
            body = model.decode_record(record.key, record.value or b'')
        except ModelError:
            continue
        if isinstance(body, Template | Workspace):
            catalogue.put(record.key, body)
    return catalogue


def list_added_faults(
    records: Iterable[Record],
    key: str,
    body: Body | None,
) -> list[Fault]:
    """Return the faults that storing `body` (None: deletion) would add."""
    catalogue = build_catalogue(records)
    faults_before = set(catalogue.list_faults())
    catalogue.put(key, body)
    return [
        fault for fault in catalogue.list_faults() if fault not in faults_before
    ]
