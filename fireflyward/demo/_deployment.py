"""A small deployment on the loopback interface: stand-ins, nodes, a signed bundle."""

import hashlib
import itertools

import aiohttp

from fireflyward.backing import Committed, HttpObjects, HttpTable
from fireflyward.bundles import (
    Account,
    Bundle,
    BundleState,
    BundleStore,
    Caller,
    Model,
    Service,
    SignedBundle,
    SigningKey,
    Upstream,
    root_people,
    sign_bundle,
    verify_change,
    verify_snapshot,
)
from fireflyward.daemon import Node
from fireflyward.settings import SERVE_SETTINGS, Settings, load
from fireflyward.standins import (
    EngineCosts,
    EngineModel,
    EngineServer,
    MemoryWeights,
    PlatformServer,
    ServiceServer,
    StoreCosts,
    StoreModel,
    StoreServer,
)
from fireflyward.standins._http_server import HttpServer

DOMAINS = ("sala-norte", "sala-sur")
MODEL = "clauses"
VERSION = "v1"
WEIGHT_VERSIONS = ("v1", "v2", "v3")
SERVICE = "drafting"
KEY_BY_ACCOUNT = {"bridge-team": "key-bridge", "tower-team": "key-tower"}
_BLOCK_BYTES = 1 << 20
_STORE_COSTS = StoreCosts(block_bytes=_BLOCK_BYTES)
_PEER_KEY = "11" * 32
KEPT_KEY = "22" * 32
_AUTHOR_SEED = b"a" * 32
_APPROVER_SEED = b"b" * 32


class DemoDeployment:
    """Starts and stops all stand-ins and nodes.

    While it runs, the user of this class may stop single nodes of ``node_by_name``
    and single engines of ``engine_by_name``.
    """

    def __init__(
        self,
        *,
        nodes_per_domain: int = 2,
        engines_per_domain: int = 2,
        costs: EngineCosts | None = None,
        first_port: int = 0,
        accepts_bundle: bool = True,
        stores: int = 0,
    ) -> None:
        ports = itertools.count(first_port) if first_port else itertools.repeat(0)
        weights = MemoryWeights({MODEL: WEIGHT_VERSIONS})
        self.platform = PlatformServer(weights=weights, port=next(ports))
        self.service = ServiceServer(port=next(ports))
        self.engine_by_name = {
            f"engine-{domain}-{index}": EngineServer(
                EngineModel({MODEL: VERSION}, costs or EngineCosts()),
                port=next(ports),
            )
            for domain in DOMAINS
            for index in range(engines_per_domain)
        }
        self.store_by_name = {
            f"store-{index}": StoreServer(StoreModel(f"store-{index}", _STORE_COSTS))
            for index in range(stores)
        }
        self.node_by_name: dict[str, Node] = {}
        self._nodes_per_domain = nodes_per_domain
        self._accepts_bundle = accepts_bundle
        self.author = SigningKey.from_seed("ana", _AUTHOR_SEED)
        self._accepted_state: BundleState | None = None
        self.approver = SigningKey.from_seed("bruno", _APPROVER_SEED)

    async def __aenter__(self) -> "DemoDeployment":
        await self.platform.start()
        await self.service.start()
        for server in self._upstream_servers():
            await server.start()
        if self._accepts_bundle:
            await self.accept(self.make_bundle(1))
        for domain in DOMAINS:
            for index in range(self._nodes_per_domain):
                await self._start_node(f"entry-{domain}-{index}", domain)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.node_by_name.values():
            await node.close()
        for server in self._upstream_servers():
            await server.stop()
        await self.service.stop()
        await self.platform.stop()

    def _upstream_servers(self) -> list[HttpServer]:
        return [*self.engine_by_name.values(), *self.store_by_name.values()]

    @property
    def urls(self) -> list[str]:
        """Return the URLs at which the started nodes serve callers."""
        return [f"http://127.0.0.1:{node.port}" for node in self.node_by_name.values()]

    @property
    def bundle_number(self) -> int:
        """Return the highest number of a bundle in force at any node."""
        return max(node.holder.number for node in self.node_by_name.values())

    @property
    def accepted_number(self) -> int:
        """Return the number of the last accepted bundle, 0 if there is none."""
        return self._accepted_state.number if self._accepted_state else 0

    @property
    def link_bytes(self) -> int:
        """Return the bytes that were transferred over the links of all stores."""
        return sum(server.model.link_bytes for server in self.store_by_name.values())

    @property
    def stored_blocks(self) -> int:
        """Return how many slots of the stores are in use."""
        return sum(server.model.used_slots() for server in self.store_by_name.values())

    def evict_cached_blocks(self) -> None:
        """Empty the cache of every engine, as after a day of other work."""
        for server in self.engine_by_name.values():
            server.model.cache.restart_empty("2")

    async def accept(self, bundle: Bundle) -> None:
        """Sign a bundle as its author and its approver, and submit it."""
        signed = sign_bundle(
            bundle,
            author=self.author,
            approver=self.approver,
            base=self._accepted_state,
        )
        async with aiohttp.ClientSession() as session:
            store = BundleStore(
                HttpTable(session, self.platform.url),
                HttpObjects(session, self.platform.url),
            )
            result = await store.accept(bundle, signed, base=self._accepted_state)
        assert isinstance(result, Committed), result
        self._accepted_state = self._state_after(signed)

    def _state_after(self, signed: SignedBundle) -> BundleState:
        if self._accepted_state is not None:
            state = verify_change(signed, self._accepted_state, deployment="demo")
        else:
            keys = (self.author, self.approver)
            trust_roots = root_people({key.person: key.public_bytes() for key in keys})
            state = verify_snapshot(signed, (), roots=trust_roots, deployment="demo")
        assert isinstance(state, BundleState), state
        return state

    def make_bundle(self, number: int) -> Bundle:
        """Return the demo's bundle with this number."""
        upstreams = {
            name: Upstream("engine", engine.url, _domain_of(name), (MODEL,))
            for name, engine in self.engine_by_name.items()
        }
        for name, server in self.store_by_name.items():
            upstreams[name] = Upstream("store", server.url, DOMAINS[0])
        upstreams["drafting-1"] = Upstream(
            "service", self.service.url, DOMAINS[0], service=SERVICE
        )
        accounts = {
            name: Account((MODEL,), {"portal": Caller(_key_digest(key), (SERVICE,))})
            for name, key in KEY_BY_ACCOUNT.items()
        }
        services = {SERVICE: Service(("POST /revisions*",))}
        return Bundle(
            "demo", number, {MODEL: Model(VERSION)}, accounts, upstreams, services
        )

    def flag_values(self, name: str, domain: str) -> dict[str, str]:
        """Return the settings of one node as strings, by name of the setting."""
        trust_roots = ",".join(
            f"{key.person}={key.public_bytes().hex()}"
            for key in (self.author, self.approver)
        )
        return {
            "node_name": name,
            "failure_domain": domain,
            "peer_keys": _PEER_KEY,
            "kept_key": KEPT_KEY,
            "table_url": self.platform.url,
            "objects_url": self.platform.url,
            "weights_url": self.platform.url,
            "vms_url": self.platform.url,
            "trust_roots": trust_roots,
        }

    def make_settings(self, name: str, domain: str) -> Settings:
        """Return the settings of a node that runs in this process."""
        ports = {"port": "0", "peer_port": "0"}
        periods = {"bundle_poll_ms": "200", "balancer_wait_ms": "100"}
        periods["rollout_watch_ms"] = "100"
        periods["kept_block_bytes"] = str(_BLOCK_BYTES)
        periods["peers"] = ",".join(
            "{}:{}".format(*node.link.address) for node in self.node_by_name.values()
        )
        flags = self.flag_values(name, domain) | ports | periods
        settings = load(SERVE_SETTINGS, flags, {})
        assert isinstance(settings, Settings), settings
        return settings

    async def _start_node(self, name: str, domain: str) -> None:
        node = Node(self.make_settings(name, domain))
        await node.start()
        self.node_by_name[name] = node


def node_command(deployment: DemoDeployment) -> str:
    """Return the shell command that starts a node against the stand-ins."""
    values = deployment.flag_values("entry-1", DOMAINS[0])
    flags = [
        f"--{name.replace('_', '-')} {value}" for name, value in values.items() if value
    ]
    return " \\\n  ".join(["fireflyward serve", *flags])


def _domain_of(engine_name: str) -> str:
    return engine_name.removeprefix("engine-").rpartition("-")[0]


def _key_digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
