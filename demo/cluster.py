"""The processes of one deployment: starting, publishing and asking them."""

import asyncio
import contextlib
from pathlib import Path

import msgspec

from apricottally import addresses
from apricottally.addresses import Endpoint
from apricottally.model import MachineState
from demo import layout as places
from demo import plans, processes, store
from demo.deployments import Deployment
from demo.errors import DemoError
from demo.layout import Layout
from demo.processes import Process
from demo.publisher import Publisher
from standins import fabric, web
from standins.backend import BackendSettings
from standins.caller import CallerSettings
from standins.client import ClientConfig
from standins.fabric import FabricSettings
from standins.server import JournalReport
from standins.workload import ClientReport

START_TIMEOUT_S = 10.0
POLL_S = 0.05
_HTTP_OK = 200
_REPORT_TIMEOUT_S = 5.0


class Cluster:
    """One deployment; its processes end with `context`."""

    def __init__(
        self,
        deployment: Deployment,
        layout: Layout,
        folder: Path,
        context: contextlib.AsyncExitStack,
    ) -> None:
        self.deployment = deployment
        self.layout = layout
        self.balancers: dict[int, Process] = {}
        self.backends = plans.plan_backends(deployment, layout)
        self._folder = folder
        self._context = context
        self._caller_end = (layout.caller_ip, addresses.LOAD_PORT)

    async def start_platform(self) -> None:
        """Start the platform stand-in and open a channel to it."""
        endpoint = places.format_endpoint(self.layout.platform)
        self._run('platform', 'standins.platform', '--listen', endpoint)
        await wait_for_port(self.layout.platform)
        connecting = store.connect(self.layout.platform)
        self.store = await self._context.enter_async_context(connecting)
        self.publisher = Publisher(self.layout, self._folder, self.store)

    async def start_fabric(self, balancers: int) -> None:
        """Start the fabric, which looks for that many balancers."""
        settings = FabricSettings(
            self.layout.fabric_ip,
            tuple(self.layout.balancer_ip(index) for index in range(balancers)),
        )
        self._run_standin('fabric', settings)
        endpoint = (self.layout.fabric_ip, addresses.LOAD_PORT)
        await wait_for_answer(endpoint, '/report')

    async def start_backends(self) -> None:
        """Start one process a service and put its backends on the VM list."""
        replies = (self.layout.fabric_ip, fabric.BACKEND_PORT)
        for service in self.deployment.services:
            configs = [
                plan.config
                for plan in self.backends
                if plan.config.service == service
            ]
            settings = BackendSettings(
                places.format_endpoint(replies),
                tuple(configs),
            )
            self._run_standin(f'backends-{service}', settings)
        for plan in self.backends:
            machine = plan.machine(MachineState.live)
            endpoint = (plan.config.ip, addresses.LOAD_PORT)
            await wait_for_answer(endpoint, '/load')  # noqa: WPS476
            await self.store.put_machine(plan.config.name, machine)  # noqa: WPS476

    async def start_balancer(self, index: int) -> None:
        """Put a balancer on the VM list and start it."""
        await self.list_balancer(index, MachineState.live)
        name = plans.name_balancer(index)
        path = self._folder / f'{name}.toml'
        path.write_text(
            plans.write_balancer_settings(self.deployment, self.layout, index),
        )
        program = ('apricottally.daemon', '--settings', str(path))
        self.balancers[index] = self._run(name, *program)

    async def wait_ready(self, index: int) -> None:
        """Wait until a balancer serves."""
        ip = self.layout.balancer_ip(index)
        await wait_for_answer((ip, addresses.MONITORING_PORT), '/ready')

    async def list_balancer(self, index: int, state: MachineState) -> None:
        """Write a balancer's entry of the VM list."""
        name = plans.name_balancer(index)
        machine = plans.plan_balancer(
            self.deployment,
            self.layout,
            index,
            state,
        )
        await self.store.put_machine(name, machine)

    async def drain_backend(self, index: int) -> None:
        """Have a backend leave: the VM list says so, and it knows itself."""
        plan = self.backends[index]
        leaving = plan.machine(MachineState.leaving)
        await self.store.put_machine(plan.config.name, leaving)
        endpoint = (plan.config.ip, addresses.LOAD_PORT)
        await _read(endpoint, '/drain', 'POST')

    async def start_callers(self) -> None:
        """Start the work."""
        client = ClientConfig(
            'caller',
            '10.1.0.1',
            plans.plan_works(self.deployment),
        )
        fabric_end = (self.layout.fabric_ip, fabric.CALLER_PORT)
        settings = CallerSettings(
            self.layout.caller_ip,
            places.format_endpoint(fabric_end),
            client,
        )
        self._run_standin('caller', settings)
        await wait_for_answer(self._caller_end, '/report')

    async def stop_callers(self) -> None:
        """Have the callers finish their work."""
        await _read(self._caller_end, '/stop', 'POST')

    async def read_callers(self) -> ClientReport:
        """Return what the callers saw."""
        body = await _read(self._caller_end, '/report')
        return msgspec.json.decode(body, type=ClientReport)

    async def read_journals(self) -> list[JournalReport]:
        """Return what every backend server did."""
        bodies = await asyncio.gather(
            *(
                _read((plan.config.ip, addresses.LOAD_PORT), '/journal')
                for plan in self.backends
            ),
        )
        return [
            msgspec.json.decode(body, type=JournalReport) for body in bodies
        ]

    def _run(self, name: str, *arguments: str) -> Process:
        starting = processes.start(name, self._folder, *arguments)
        return self._context.enter_context(starting)

    def _run_standin(self, name: str, settings: msgspec.Struct) -> None:
        path = self._folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        program = name.partition('-')[0].removesuffix('s')
        self._run(name, f'standins.{program}', '--settings', str(path))


async def wait_for_answer(endpoint: Endpoint, path: str) -> None:
    """Wait until a GET is answered with 200; raises `DemoError`."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + START_TIMEOUT_S
    while loop.time() < limit:
        with contextlib.suppress(web.FetchError):
            status, _ = await web.fetch(endpoint, path)
            if status == _HTTP_OK:
                return
        await asyncio.sleep(POLL_S)
    raise DemoError(f'no answer from {endpoint}{path}')


async def wait_for_port(endpoint: Endpoint) -> None:
    """Wait until a TCP port accepts connections; raises `DemoError`."""
    ip, port = endpoint
    loop = asyncio.get_running_loop()
    limit = loop.time() + START_TIMEOUT_S
    while loop.time() < limit:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(ip, port)
            writer.close()
            return
        await asyncio.sleep(POLL_S)
    raise DemoError(f'nothing listens on {endpoint}')


async def _read(endpoint: Endpoint, path: str, method: str = 'GET') -> bytes:
    try:
        _, body = await web.fetch(endpoint, path, method, _REPORT_TIMEOUT_S)
    except web.FetchError as error:
        raise DemoError(str(error)) from error
    return body
