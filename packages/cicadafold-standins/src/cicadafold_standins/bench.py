"""Benchmark of throughput, decision time and the cost of an idle cell.

The baseline is a bare relay: one process that forwards requests without
scheduling, with the same payloads and libraries, measured in the same run.
"""

import argparse
import asyncio
import sys
import time

import msgspec

from cicadafold_standins import cells
from cicadafold_standins import processes
from cicadafold_standins import results
from cicadafold_standins import testcell

__all__ = ["Benchmark", "main"]

CALLER_PROCESSES = 3
RELAY_RATE_PER_S = 1500.0
RELAY_DURATION_S = 10.0
FULL_RATE_PER_S = 2000.0
HALF_RATE_PER_S = 1000.0
FULL_DURATION_S = 30.0
HALF_DURATION_S = 15.0
IDLE_DURATION_S = 15.0
RUN_MS = (1.0, 5.0)
MAX_RATIO = 2.5
MAX_DECISION_MS = 5.0
MAX_IDLE_CPU_SHARE = 0.017
MAX_IDLE_MB = 64.0
MAX_IDLE_BYTES_PER_S = 2048.0
WARM_UP_S = 3.0


def unproxied_layout():
    """Returns the default layout without the proxy and its delays."""
    return testcell.Layout(proxied=False)


class Benchmark:
    """One run of the benchmark.

    Args:
        kind: Kind of the requests that are sent.
        team: Team of the requests that are sent.

    Attributes:
        results: Figures measured so far, by the name of the measurement.
    """

    def __init__(self, *, kind, team):
        self.kind = kind
        self.team = team
        self.cell = None
        self.results = {}

    def print_progress(self, text):
        """Prints a progress line to standard error."""
        print(text, file=sys.stderr, flush=True)

    async def run(self, plan):
        """Runs all measurements on one cell and returns their figures."""
        self.cell = testcell.Cell(plan=plan, layout=unproxied_layout())
        async with self.cell:
            await self.measure_idle()
            await self.measure_relay()
            entries = [e.address for e in self.cell.entries.values()]
            await self.measure_load(
                "half", entries, HALF_RATE_PER_S, HALF_DURATION_S
            )
            await self.measure_load(
                "full", entries, FULL_RATE_PER_S, FULL_DURATION_S
            )
        return self.add_target_checks()

    async def measure_idle(self):
        """Measures the CPU share, memory and sent bytes of idle entry hosts.

        Each figure is the maximum over all entry hosts.
        """
        self.print_progress("idle entry hosts")
        await asyncio.sleep(WARM_UP_S)
        entries = self.cell.running_entry_hosts()
        cpu_before = [processes.cpu_seconds(e.pid) for e in entries]
        sent_before = [processes.sent_bytes(e.pid) for e in entries]
        await asyncio.sleep(IDLE_DURATION_S)
        shares = [
            (processes.cpu_seconds(e.pid) - before) / IDLE_DURATION_S
            for e, before in zip(entries, cpu_before, strict=True)
        ]
        rates = [
            (processes.sent_bytes(e.pid) - before) / IDLE_DURATION_S
            for e, before in zip(entries, sent_before, strict=True)
        ]
        self.results["rest"] = {
            "cpu_share_max": round(max(shares), 4),
            "resident_mb_max": round(
                max(processes.resident_mb(e.pid) for e in entries), 1
            ),
            "sent_bytes_per_s_max": round(max(rates)),
        }

    async def measure_relay(self):
        """Measures the CPU time of the bare relay for each request.

        Afterwards all workers are restarted, as the relay has raised their
        fences above any term of a rack owner.
        """
        self.print_progress("bare relay")
        address = self.cell.free_address()
        arguments = ["--listen", address]
        for host in self.cell.hosts:
            arguments += ["--worker", host.address]
        relay = processes.Process(
            name="relay",
            arguments=self.cell.stand_in_command("relay", *arguments),
            log_path=self.cell.folder / "relay.log",
        )
        await relay.start()

        async def ready():
            return await self.cell.get(address, "/healthz") is not None

        await self.cell.wait_for(ready, what="the relay is ready")
        before = processes.cpu_seconds(relay.pid)
        result = await self.generate_load(
            [address], RELAY_RATE_PER_S, RELAY_DURATION_S
        )
        cpu_used_s = processes.cpu_seconds(relay.pid) - before
        done = count_done(result)
        self.results["relay"] = {
            "cpu_us_per_request": round(cpu_used_s / done * 1e6, 1),
            "requests_per_core_second": round(done / cpu_used_s),
            "resident_mb": round(processes.resident_mb(relay.pid), 1),
        }
        await relay.stop()
        for worker in self.cell.workers.values():
            await worker.stop()
            await worker.start()
        await self.cell.wait_racks_owned()
        await asyncio.sleep(WARM_UP_S)

    async def measure_load(self, name, addresses, rate_per_s, duration_s):
        """Measures CPU time and answer times under a load.

        Args:
            name: Name of the measurement in the results.
            addresses: Entry hosts that the requests are sent to.
            rate_per_s: Requests sent in a second.
            duration_s: Length of the load in seconds.
        """
        self.print_progress(f"{name} load, {rate_per_s:.0f} requests a second")
        entries = self.cell.running_entry_hosts()
        before = sum(processes.cpu_seconds(e.pid) for e in entries)
        result = await self.generate_load(addresses, rate_per_s, duration_s)
        cpu_used_s = (
            sum(processes.cpu_seconds(e.pid) for e in entries) - before
        )
        done = count_done(result)
        total = sum(k["requests"] for r in result for k in r["kinds"].values())
        kinds = [k for r in result for k in r["kinds"].values()]
        self.results[name] = {
            "rate_per_s": round(done / duration_s, 1),
            "requests": total,
            "not_done": total - done,
            "cpu_us_per_request": round(cpu_used_s / done * 1e6, 1),
            "decision_p99_ms": max(k["decision_ms"]["p99"] for k in kinds),
            "waiting_p99_ms": max(k["waiting_ms"]["p99"] for k in kinds),
            "answer_p50_ms": max(k["answer_ms"]["p50"] for k in kinds),
            "answer_p99_ms": max(k["answer_ms"]["p99"] for k in kinds),
            "resident_mb_max": round(
                max(processes.resident_mb(e.pid) for e in entries), 1
            ),
        }

    async def generate_load(self, addresses, rate_per_s, duration_s):
        """Sends requests at a rate from several caller processes.

        Returns:
            The decoded result of each caller process.
        """
        path = self.cell.folder / "load.toml"
        path.write_text(
            f"duration_s = {duration_s}\n[[mix]]\n"
            f'kind = "{self.kind}"\nteam = "{self.team}"\n'
            f"rate_per_s = {rate_per_s / CALLER_PROCESSES}\n"
            f"run_ms = [{RUN_MS[0]}, {RUN_MS[1]}]\n",
            encoding="utf-8",
        )
        seed = int(time.monotonic() * 1000)
        return await asyncio.gather(
            *(
                self.run_load_process(path, addresses, seed + index)
                for index in range(CALLER_PROCESSES)
            )
        )

    async def run_load_process(self, path, addresses, seed):
        """Runs one caller process and returns its decoded result."""
        arguments = [path, "--seed", seed]
        for address in addresses:
            arguments += ["--address", address]
        process = await asyncio.create_subprocess_exec(
            *self.cell.stand_in_command("load", *arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return msgspec.json.decode(output)

    def add_target_checks(self):
        """Adds to the results whether each target was reached."""
        figures = self.results
        ratio = (
            figures["full"]["cpu_us_per_request"]
            / figures["relay"]["cpu_us_per_request"]
        )
        idle_figures = figures["rest"]
        figures["ratio_to_relay"] = round(ratio, 3)
        figures["reached"] = {
            "nothing_lost_at_full_load": figures["full"]["not_done"] == 0,
            "ratio_to_relay": ratio <= MAX_RATIO,
            "decision_p99": figures["half"]["decision_p99_ms"]
            < MAX_DECISION_MS,
            "rest_cpu": idle_figures["cpu_share_max"] <= MAX_IDLE_CPU_SHARE,
            "rest_memory": idle_figures["resident_mb_max"] <= MAX_IDLE_MB,
            "rest_bytes": idle_figures["sent_bytes_per_s_max"]
            <= MAX_IDLE_BYTES_PER_S,
        }
        return figures


def count_done(load_results):
    """Returns how many requests ended as done, over all load results."""
    return sum(
        kind["outcomes"].get("done", 0)
        for result in load_results
        for kind in result["kinds"].values()
    )


def main():
    """Runs the benchmark, and prints and writes its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    benchmark = Benchmark(kind="string_gauge", team="builders")
    figures = processes.run(benchmark.run(cells.CELLS["tezgah"]()))
    results.write_json(figures, arguments.output)


if __name__ == "__main__":
    main()
