"""Starts, controls and queries the processes of one deployment."""

import asyncio
import contextlib
from pathlib import Path

import msgspec

from apricottally import addresses
from apricottally.addresses import Endpoint
from apricottally.model import MachineState
from demo import network, plans, processes, store
from demo.deployments import Deployment
from demo.errors import DemoError
from demo.network import AddressLayout
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
POLL_INTERVAL_S = 0.05
_HTTP_OK = 200
_FETCH_TIMEOUT_S = 5.0


class Cluster:
    """The processes of one deployment, which end when `context` closes."""

    def __init__(
        self,
        deployment: Deployment,
        layout: AddressLayout,
        folder: Path,
        context: contextlib.AsyncExitStack,
    ) -> None:
        self.deployment = deployment
        self.layout = layout
        self.balancers: dict[int, Process] = {}
        self.backends = plans.plan_backends(deployment, layout)
        self._folder = folder
        self._context = context
        self._caller_endpoint = (layout.caller_ip, addresses.LOAD_PORT)

    async def start_platform(self) -> None:
        """Start the simulated platform and open a gRPC channel to it."""
        endpoint = network.format_endpoint(self.layout.platform_endpoint)
        self._run('platform', 'standins.platform', '--listen', endpoint)
        await wait_for_port(self.layout.platform_endpoint)
        connecting = store.connect(self.layout.platform_endpoint)
        self.store = await self._context.enter_async_context(connecting)
        self.publisher = Publisher(self.layout, self._folder, self.store)

    async def start_fabric(self, balancers: int) -> None:
        """Start the simulated fabric with the addresses of all balancers."""
        settings = FabricSettings(
            self.layout.fabric_ip,
            tuple(self.layout.balancer_ip(index) for index in range(balancers)),
        )
        self._run_standin('fabric', settings)
        endpoint = (self.layout.fabric_ip, addresses.LOAD_PORT)
        await wait_for_http_ok(endpoint, '/report')

    async def start_backends(self) -> None:
        """Start a process for each service; add its backends to the VM list."""
        reply_endpoint = (self.layout.fabric_ip, fabric.BACKEND_PORT)
        for service in self.deployment.services:
            configs = [
                plan.config
                for plan in self.backends
                if plan.config.service == service
            ]
            settings = BackendSettings(
                network.format_endpoint(reply_endpoint),
                tuple(configs),
            )
            self._run_standin(f'backends-{service}', settings)
        for plan in self.backends:
            machine = plan.to_machine(MachineState.live)
            endpoint = (plan.config.ip, addresses.LOAD_PORT)
            await wait_for_http_ok(endpoint, '/load')  # noqa: WPS476
            await self.store.put_machine(plan.config.name, machine)  # noqa: WPS476

    async def start_balancer(self, index: int) -> None:
        """Add a balancer to the VM list and start its daemon."""
        await self.write_balancer_entry(index, MachineState.live)
        name = plans.name_balancer(index)
        path = self._folder / f'{name}.toml'
        path.write_text(
            plans.format_balancer_settings(self.deployment, self.layout, index),
        )
        program = ('apricottally.daemon', '--settings', str(path))
        self.balancers[index] = self._run(name, *program)

    async def wait_until_serving(self, index: int) -> None:
        """Wait until a balancer reports that it is ready."""
        ip = self.layout.balancer_ip(index)
        await wait_for_http_ok((ip, addresses.MONITORING_PORT), '/ready')

    async def write_balancer_entry(
        self, index: int, state: MachineState
    ) -> None:
        """Write a balancer's entry in the platform's VM list."""
        name = plans.name_balancer(index)
        machine = plans.plan_balancer(
            self.deployment,
            self.layout,
            index,
            state,
        )
        await self.store.put_machine(name, machine)

    async def drain_backend(self, index: int) -> None:
        """Mark a backend as leaving in the VM list and tell it to drain."""
        plan = self.backends[index]
        leaving = plan.to_machine(MachineState.leaving)
        await self.store.put_machine(plan.config.name, leaving)
        endpoint = (plan.config.ip, addresses.LOAD_PORT)
        await _fetch(endpoint, '/drain', 'POST')

    async def start_callers(self) -> None:
        """Start the callers, which begin to send flows."""
        client = ClientConfig(
            'caller',
            '10.1.0.1',
            plans.plan_workloads(self.deployment),
        )
        fabric_endpoint = (self.layout.fabric_ip, fabric.CALLER_PORT)
        settings = CallerSettings(
            self.layout.caller_ip,
            network.format_endpoint(fabric_endpoint),
            client,
        )
        self._run_standin('caller', settings)
        await wait_for_http_ok(self._caller_endpoint, '/report')

    async def stop_callers(self) -> None:
        """Tell the callers to start no more flows and to close their feeds."""
        await _fetch(self._caller_endpoint, '/stop', 'POST')

    async def read_caller_report(self) -> ClientReport:
        """Return the callers' report on their flows."""
        body = await _fetch(self._caller_endpoint, '/report')
        return msgspec.json.decode(body, type=ClientReport)

    async def read_journals(self) -> list[JournalReport]:
        """Return the journal of every backend server."""
        bodies = await asyncio.gather(
            *(
                _fetch((plan.config.ip, addresses.LOAD_PORT), '/journal')
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


async def wait_for_http_ok(endpoint: Endpoint, path: str) -> None:
    """Wait until a GET is answered with status 200; raises `DemoError`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT_S
    while loop.time() < deadline:
        with contextlib.suppress(web.FetchError):
            status, _ = await web.fetch(endpoint, path)
            if status == _HTTP_OK:
                return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise DemoError(f'no HTTP 200 from {endpoint}{path}')


async def wait_for_port(endpoint: Endpoint) -> None:
    """Wait until a TCP port accepts connections; raises `DemoError`."""
    ip, port = endpoint
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT_S
    while loop.time() < deadline:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(ip, port)
            writer.close()
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise DemoError(f'nothing listens on {endpoint}')


async def _fetch(endpoint: Endpoint, path: str, method: str = 'GET') -> bytes:
    try:
        _, body = await web.fetch(endpoint, path, method, _FETCH_TIMEOUT_S)
    except web.FetchError as error:
        raise DemoError(str(error)) from error
    return body
