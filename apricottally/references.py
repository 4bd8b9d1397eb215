"""References between templates and workspaces, checked before publishing.

A change is refused for the faults that it adds. Faults that were there
before do not block an unrelated change.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally import model
from apricottally.errors import ModelError
from apricottally.events import Record
from apricottally.fields import Fault
from apricottally.model import Template, Workspace
from apricottally.operatorfiles import Body


@dataclass(slots=True)
class Catalogue:
    """All templates and workspaces by name."""

    templates: dict[str, Template] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)

    def put(self, key: str, body: Body | None) -> None:
        """Store the body of a key; None removes it."""
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
        """Return references to nothing and endpoints used twice."""
        faults = []
        users: dict[tuple[str, int], str] = {}
        for name, template_name, template in self._list_uses():
            path = f'workspaces.{name}.templates.{template_name}'
            if template is None:
                problem = f'there is no template `{template_name}`'
                faults.append(Fault(path, problem))
                continue
            address = self.workspaces[name].address
            user = users.setdefault((address, template.port), path)
            if user != path:
                endpoint = f'{address}:{template.port}'
                faults.append(Fault(path, f'{endpoint} is used by {user}'))
        return faults

    def _list_uses(self) -> list[tuple[str, str, Template | None]]:
        return [
            (name, template_name, self.templates.get(template_name))
            for name, workspace in sorted(self.workspaces.items())
            for template_name in sorted(workspace.templates)
        ]


def build_catalogue(records: Iterable[Record]) -> Catalogue:
    """Return the catalogue of records; values that nodes refuse are left out.

    They are left out by the nodes as well.
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
    """Return the faults that storing a body (None: deleting it) would add."""
    catalogue = build_catalogue(records)
    former = set(catalogue.list_faults())
    catalogue.put(key, body)
    return [each for each in catalogue.list_faults() if each not in former]
