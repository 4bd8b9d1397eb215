"""Publishes templates and workspaces with the operators' tool."""

from pathlib import Path

from apricottally import model
from demo import layout as places
from demo import processes, toml
from demo.errors import DemoError
from demo.layout import Layout
from demo.store import Store

PUBLISH_TIMEOUT_S = 10.0
_PREFIXES = {
    'template': model.TEMPLATE_PREFIX,
    'workspace': model.WORKSPACE_PREFIX,
}


class Publisher:
    """Runs the tool against one platform; files go to `folder`."""

    def __init__(self, layout: Layout, folder: Path, store: Store) -> None:
        self._platform = places.format_endpoint(layout.platform)
        self._folder = folder
        self._store = store
        self._count = 0

    async def publish(self, kind: str, name: str, body: object) -> int:
        """Publish and return the record's version; raises `DemoError`.

        `kind` is `template` or `workspace`.
        """
        self._count += 1
        label = f'publish-{self._count}-{name}'
        path = self._folder / f'{label}.toml'
        path.write_text(toml.encode(body))
        arguments = (
            'apricottally.commands',
            '--platform',
            self._platform,
            'publish',
            kind,
            name,
            str(path),
        )
        with processes.start(label, self._folder, *arguments) as process:
            status = await processes.wait(process, PUBLISH_TIMEOUT_S)
        if status != 0:
            raise DemoError(f'publish {kind} {name}: exit status {status}')
        version = await self._store.read_version(record_key(kind, name))
        if not version:
            raise DemoError(f'publish {kind} {name}: nothing was stored')
        return version


def record_key(kind: str, name: str) -> str:
    """Return the key that a publication writes."""
    return _PREFIXES[kind] + name
