"""Publishes templates and workspaces with the command-line tool."""

from pathlib import Path

from apricottally import model
from demo import network, processes, toml
from demo.errors import DemoError
from demo.network import AddressLayout
from demo.store import Store

PUBLISH_TIMEOUT_S = 10.0
_PREFIXES = {
    'template': model.TEMPLATE_PREFIX,
    'workspace': model.WORKSPACE_PREFIX,
}


class Publisher:
    """Runs the command-line tool; its files and logs go to `folder`."""

    def __init__(
        self, layout: AddressLayout, folder: Path, store: Store
    ) -> None:
        self._platform = network.format_endpoint(layout.platform_endpoint)
        self._folder = folder
        self._store = store
        self._count = 0

    async def publish(self, kind: str, name: str, body: object) -> int:
        """Publish a record and return its version; raises `DemoError`.

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
            status = await processes.wait_for_exit(process, PUBLISH_TIMEOUT_S)
        if status != 0:
            raise DemoError(f'publish {kind} {name}: exit status {status}')
        version = await self._store.read_version(format_record_key(kind, name))
        if not version:
            raise DemoError(f'publish {kind} {name}: no record was stored')
        return version


def format_record_key(kind: str, name: str) -> str:
    """Return the platform key of a template or workspace record."""
    return _PREFIXES[kind] + name
