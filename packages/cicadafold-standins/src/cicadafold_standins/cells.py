"""Plans of the cells of two users: delays, worker sizes, kinds and load."""

from cicadafold_schema import messages
import msgspec

__all__ = ["CELLS", "CellPlan", "KindLoad", "cell"]

CELLS = {}

REGION_LINK_BITS_PER_S = 15_000_000

Lane = messages.Lane
Shape = messages.Shape


class KindLoad(msgspec.Struct, kw_only=True):
    """Load that callers generate for a kind.

    Attributes:
        rate_per_s: Requests per second of all callers together.
        run_ms: Minimum and maximum run time in milliseconds.
    """

    rate_per_s: float
    run_ms: tuple[float, float]


class CellPlan(msgspec.Struct, kw_only=True):
    """Plan of one user's cell.

    Attributes:
        domain_delay_ms: One-way delay between failure domains of a region,
            in milliseconds.
        region_delay_ms: One-way delay between regions, in milliseconds.
        caller_delay_ms: One-way delay between callers and entry hosts, in
            milliseconds.
        cores: Cores of each worker.
        memory_mb: Memory of each worker in megabytes.
        loads: Load by kind.
    """

    name: str
    domain_delay_ms: float
    region_delay_ms: float
    caller_delay_ms: float
    cores: float
    memory_mb: int
    kinds: list[messages.Kind]
    teams: list[messages.Team]
    loads: dict[str, KindLoad]

    def configuration(self):
        """Returns the cell's first configuration."""
        return messages.Configuration(
            revision=0, kinds=self.kinds, teams=self.teams
        )


def cell(name):
    """Registers a function that returns a cell's plan under a name."""

    def register(function):
        CELLS[name] = function
        return function

    return register


@cell("tezgah")
def tezgah():
    """Returns the cell of the kit service."""
    kinds = [
        messages.Kind(
            name="string_gauge",
            lane=Lane.urgent,
            shape=Shape.task,
            idempotent=True,
            durable=False,
            cores=1,
            memory_mb=512,
            deadline_ms=4000,
            lease_ms=2000,
            objective_ms=200,
        ),
        messages.Kind(
            name="cutting_sheet",
            lane=Lane.patient,
            shape=Shape.task,
            idempotent=False,
            durable=True,
            cores=2,
            memory_mb=2048,
            deadline_ms=30000,
            lease_ms=3000,
            objective_ms=5000,
        ),
        messages.Kind(
            name="voicing_plan",
            lane=Lane.patient,
            shape=Shape.gang,
            idempotent=True,
            durable=True,
            cores=2,
            memory_mb=4096,
            tasks=4,
            deadline_ms=40000,
            lease_ms=3000,
            objective_ms=15000,
        ),
    ]
    return CellPlan(
        name="tezgah",
        domain_delay_ms=1.5,
        region_delay_ms=8,
        caller_delay_ms=3,
        cores=16,
        memory_mb=32768,
        kinds=kinds,
        teams=[
            messages.Team(name="schools", weight=2),
            messages.Team(name="builders", weight=1),
        ],
        loads={
            "string_gauge": KindLoad(rate_per_s=120, run_ms=(3, 25)),
            "cutting_sheet": KindLoad(rate_per_s=12, run_ms=(100, 600)),
            "voicing_plan": KindLoad(rate_per_s=1.5, run_ms=(500, 1500)),
        },
    )


@cell("paper-orders")
def paper_orders():
    """Returns the cell of the ordering service."""
    kinds = [
        messages.Kind(
            name="standing_order",
            lane=Lane.urgent,
            shape=Shape.task,
            idempotent=True,
            durable=False,
            cores=2,
            memory_mb=2048,
            deadline_ms=4000,
            lease_ms=2000,
            objective_ms=300,
        ),
        messages.Kind(
            name="returns_credit",
            lane=Lane.patient,
            shape=Shape.task,
            idempotent=False,
            durable=True,
            cores=8,
            memory_mb=16384,
            deadline_ms=30000,
            lease_ms=3000,
            objective_ms=8000,
        ),
        messages.Kind(
            name="bundle_plan",
            lane=Lane.patient,
            shape=Shape.gang,
            idempotent=True,
            durable=True,
            cores=8,
            memory_mb=32768,
            tasks=6,
            deadline_ms=40000,
            lease_ms=3000,
            objective_ms=15000,
        ),
    ]
    return CellPlan(
        name="paper-orders",
        domain_delay_ms=0.5,
        region_delay_ms=8,
        caller_delay_ms=1,
        cores=64,
        memory_mb=262144,
        kinds=kinds,
        teams=[
            messages.Team(name="shops", weight=2),
            messages.Team(name="drivers", weight=1),
        ],
        loads={
            "standing_order": KindLoad(rate_per_s=100, run_ms=(5, 40)),
            "returns_credit": KindLoad(rate_per_s=10, run_ms=(150, 700)),
            "bundle_plan": KindLoad(rate_per_s=1, run_ms=(500, 2000)),
        },
    )
