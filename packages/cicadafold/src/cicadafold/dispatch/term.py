"""One term of the scheduler, from its recovery to its end."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import admission
from cicadafold.dispatch import advising
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import handover
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import job_intake
from cicadafold.dispatch import job_table
from cicadafold.dispatch import leases
from cicadafold.dispatch import locality_waits
from cicadafold.dispatch import pacing
from cicadafold.dispatch import placing
from cicadafold.dispatch import preempting
from cicadafold.dispatch import record_cleanup
from cicadafold.dispatch import recovery_progress
from cicadafold.dispatch import stall_detector
from cicadafold.dispatch import team_accounting
from cicadafold.dispatch import unheard_workers
from cicadafold.dispatch import unknown_job_runs
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_events
from cicadafold.dispatch import worker_table
from cicadafold import exception
from cicadafold.journal import progress_writer
from cicadafold.journal import reader
from cicadafold.journal import record_limits
from cicadafold.peers import messages
from cicadafold.scheduling import estimates
from cicadafold.teams import usage
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["Term", "TermEnded"]

LOG = logs.get_logger("term")
Part = containment.Part


class TermEnded(Exception):
    """The term has ended; the message is the reason."""


class Term:
    """The scheduler of one term: its state, components and tasks.

    Args:
        claim: Claim of the term. Its number is the fence at the workers and
            the journal.
        services: ``TermServices`` of the process.
        settings: ``CellSettings`` of the process.

    Attributes:
        started_ms: Monotonic time of the start of the term, in milliseconds.
        recovery: ``RecoveryProgress`` of the term.
        ended: Set once the term has to end.
        end_reason: Why the term has to end.
        jobs: ``JobIntake`` with the jobs of the term.
    """

    def __init__(self, *, claim, services, settings):
        self.number = number = claim.term
        self.services = services
        self.settings = settings
        self.store = services.store
        self.metrics = services.metrics
        self.containment = containment.Containment(metrics=self.metrics)
        self.lease = leases.LeaseTimes(max_lease_ms=settings.longest_lease_ms)
        self.lease.proof = self.proof = leases.TermProof(
            term=number,
            read_newest_claim=services.read_newest_claim,
            known_addresses=lambda: services.peer_directory.addresses,
            linked_addresses=lambda: {
                peer.address for peer in services.list_peers() if peer.address
            },
            ask_newest_term=lambda address: (
                services.peer_directory.ask_newest_term(address, claim)
            ),
            horizon_ms=self.lease.horizon_ms,
            ended=lambda: self.ended.is_set(),
            on_confirmed=lambda: self.placer.wake(),
        )
        self.started_ms = clock.monotonic_ms()
        self.recovery = recovery_progress.RecoveryProgress(
            started_ms=self.started_ms, patience=claim.patience
        )
        self.stall_detector = stall_detector.StallDetector(
            read_newest_claim=services.read_newest_claim,
            on_resumed=lambda: self.placer.wake(),
        )
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.estimates = estimates.DurationEstimates()
        self.task_group = None
        self.placer = None
        self.create_journal()
        self.team_usage = usage.TeamUsage()
        self.worker_table = worker_table.WorkerTable(
            term=number,
            registry=services.make_registry(self.recovery.advance),
            make_client=services.make_client,
            lease=self.lease,
            journal=self.journal,
            term_started_ms=self.started_ms,
            team_usage=self.team_usage,
            containment=self.containment,
        )
        self.job_table = job_table.JobTable(
            journal=self.journal,
            estimates=self.estimates,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=self.metrics,
        )
        self.jobs = job_intake.JobIntake(
            job_table=self.job_table,
            record_cleaner=self.record_cleaner,
            started_ms=self.started_ms,
            on_known=self.on_job_known,
            wake=lambda: self.placer.wake(),
            all_runs_known=lambda pool: self.inherited_runs.all_runs_known(
                pool
            ),
            containment=self.containment,
        )
        self.crashes = crash_tracking.CrashTracker(
            job_table=self.job_table,
            journal=self.journal,
            first_attempt=(number - 1) * placing.ATTEMPTS_PER_TERM,
            metrics=self.metrics,
        )
        self.inherited_runs = inherited_runs.InheritedRuns(
            workers=self.worker_table.workers,
            store=self.store,
            term_started_ms=self.started_ms,
            horizon_ms=self.lease.horizon_ms,
            crashes=self.crashes,
            unheard=unheard_workers.UnheardWorkers(
                term=number, claims=services.claim_history
            ),
        )
        self.teams = team_accounting.TeamAccounting(
            usage=self.team_usage,
            cap_overage=settings.cap_overage,
            workers=self.worker_table.workers,
            inherited_runs=self.inherited_runs,
            job_table=self.job_table,
            estimates=self.estimates,
            metrics=self.metrics,
        )
        self.admission = admission.Admission(
            term=number,
            teams=self.teams,
            intake=self.jobs,
            broadcast=services.broadcast,
            metrics=self.metrics,
        )
        self.handover = handover.Handover(
            patience=claim.patience,
            term=number,
            store=self.store,
            list_peers=services.list_peers,
            election_priority=settings.election_priority,
            term_started_ms=self.started_ms,
        )

    def create_journal(self):
        """Creates the writer and the cleaner of the journal's records."""
        self.journal = progress_writer.ProgressWriter(
            store=self.store,
            term=self.number,
            metrics=self.metrics,
            on_durable=self.on_durable,
            limits=record_limits.RecordLimits(
                self.settings.record_bytes, self.settings.call_bytes
            ),
        )
        self.record_cleaner = record_cleanup.RecordCleaner(
            store=self.store,
            journal=self.journal,
            status_s=self.settings.status_s,
            on_end_dropped=self.forget_job,
            containment=self.containment,
        )

    @property
    def ready(self):
        """Whether the recovery is complete and the term has not ended."""
        return self.jobs.ready

    def on_durable(self, states):
        """Handles pairs of a job and its state, now durable in the journal."""
        self.job_table.on_durable(states)
        for job, state in states:
            if state.final:
                self.record_cleaner.add(job.spec.id)

    def on_job_known(self, job_id):
        """Handles a job that was added after the start of the term."""
        with self.containment.contain(
            Part.ADMISSION, job_id, request_id=job_id
        ):
            self.admission.on_arrival(self.job_table.jobs[job_id])
        self.events.on_job_known(job_id)

    def forget_job(self, job_id):
        """Removes an ended job whose retention time has passed."""
        self.job_table.forget(job_id)
        self.jobs.journal_state.remove_job(job_id)

    def configure(self, configuration):
        """Applies a new configuration to the jobs and teams of the term."""
        self.job_table.configure(configuration)
        self.teams.on_configuration(configuration)
        if self.placer is not None:
            # Deployments without teams are served without preemption.
            self.placer.preempting = (
                None if configuration.teams is None else self.preempting
            )

    def step_down(self, reason):
        """Ends the term and keeps the first reason given, for the log."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()

    async def run(self):
        """Runs the term until it ends."""
        LOG.info(
            "The term starts; recovering its state from the journal.",
            fields={"term": self.number},
        )
        try:
            async with asyncio.TaskGroup() as task_group:
                self.task_group = task_group
                self.create_components()
                task_group.create_task(self.raise_when_ended())
                task_group.create_task(self.recover_and_run())
        except* TermEnded as ended:
            LOG.info(
                "The term has ended: %s.",
                ended.exceptions[0],
                fields={
                    "term": self.number,
                    "proof_age_ms": self.proof.rounded_age_ms(),
                    **self.recovery.log_fields(),
                },
            )
        finally:
            self.jobs.ready = False
            self.worker_table.close()

    def create_components(self):
        """Creates and connects the components that need the task group."""
        self.events = worker_events.WorkerEventHandler(
            job_table=self.job_table,
            estimates=self.estimates,
            task_group=self.task_group,
            wake=lambda: self.placer.wake(),
            step_down=self.step_down,
            on_answering_changed=self.worker_table.on_answering_changed,
            on_inventory_applied=self.inherited_runs.on_inventory_applied,
            unknown_runs=unknown_job_runs.UnknownJobRuns(
                has_read_up_to=self.jobs.has_read_up_to
            ),
            crashes=self.crashes,
            metrics=self.metrics,
        )
        self.events.links = self.worker_table.links
        self.placer = placing.Placer(
            term=self.number,
            job_table=self.job_table,
            estimates=self.estimates,
            workers=self.worker_table.workers,
            links=self.worker_table.links,
            all_runs_known=self.inherited_runs.all_runs_known,
            commands_allowed=self.commands_allowed,
            spawn=self.task_group.create_task,
            lease=self.lease,
            crashes=self.crashes,
            teams=self.teams,
            metrics=self.metrics,
        )
        self.preempting = preempting.Preempting(
            workers=self.worker_table.workers,
            estimates=self.estimates,
            reservations=self.placer.reservations,
            make_demand=self.placer.demand,
            stop_run=self.events.stop_run,
            commands_allowed=self.commands_allowed,
            spawn=self.run_contained,
            settings=self.settings,
            metrics=self.metrics,
        )
        self.placer.shares.on_unplaced = self.admission.on_unplaced

        locality_waits.enable(self.placer, self.settings.far_factor)
        if self.settings.advice_address:
            self.placer.advice_dispatcher = advising.AdviceDispatcher(
                list_peers=self.services.list_peers,
                spawn=self.task_group.create_task,
                wake=self.placer.wake,
                record_permitted_share=(
                    self.placer.ticket_planner.record_permitted_share
                ),
                metrics=self.metrics,
                containment=self.containment,
            )
        self.task_group.create_task(self.stall_detector.run())
        self.worker_table.events = self.events
        self.worker_table.inherited_runs = self.inherited_runs
        self.worker_table.spawn = self.run_contained
        self.worker_table.wake = self.placer.wake
        self.watcher = watching.Watcher(
            workers=self.worker_table.workers,
            job_table=self.job_table,
            events=self.events,
            containment=self.containment,
        )

    async def raise_when_ended(self):
        """Raises ``TermEnded``, which ends all tasks, when the term ends."""
        await self.ended.wait()
        raise TermEnded(self.end_reason)

    async def recover_and_run(self):
        """Recovers the state of earlier terms, then starts all loops.

        Fences and reads the journal, then opens the links to the workers.
        The loops place, watch and pace tasks and clean up records.

        Raises:
            TermEnded: A later term has fenced the journal.
        """
        spawn = self.task_group.create_task
        spawn(self.proof.run())
        self.run_loop("registry", self.worker_table.registry.run)
        spawn(self.run_handover())
        try:
            await progress_writer.fence_partitions(self.store, self.number)
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error
        self.recovery.advance()
        state = await reader.read_journal(
            self.store, term=self.number, on_progress=self.recovery.advance
        )
        configuration = self.services.configuration
        if configuration.current is not None:
            self.configure(configuration.current)
        self.journal.stored = state.stored_progress
        self.jobs.restore(state)
        self.admission.on_restored(self.job_table.jobs.values())
        spawn(self.write_progress())
        self.jobs.spawn = spawn
        self.jobs.start_tails(self.store, self.run_loop)
        await self.worker_table.registry.ready.wait()
        self.recovery.advance()
        self.inherited_runs.load(state.workers, self.job_table)
        self.worker_table.add_inherited(state.workers)
        self.worker_table.open_inherited()
        self.run_loop("opening", self.worker_table.open_when_recorded)
        self.run_loop("records", self.worker_table.record_changes)
        self.worker_table.start_links()
        self.jobs.ready = True
        self.recovery.complete()
        self.metrics.record_us(
            "term_recovery", self.recovery.took_ms * clock.US_PER_MS
        )
        spawn(self.placer.run())
        self.run_loop("watching", self.watcher.run)
        self.run_loop("admission", self.admission.run)
        self.run_loop("cleanup", self.record_cleaner.run)
        pacer = pacing.Pacer(
            workers=self.worker_table.workers,
            links=self.worker_table.links,
            containment=self.containment,
        )
        self.run_loop("pacing", pacer.run)
        LOG.info(
            "The term is recovered; tasks are started from now on.",
            fields={
                "term": self.number,
                "jobs": len(self.job_table.jobs),
                "active": len(self.job_table.active),
                "workers": len(self.worker_table.workers),
                "steps": self.recovery.steps,
                "took_ms": self.recovery.took_ms,
            },
        )

    def run_contained(self, coroutine):
        """Starts a task whose unexpected error does not end the term."""
        self.task_group.create_task(self.containment.run(coroutine))

    def run_loop(self, name, run):
        """Starts a loop that goes on after unexpected errors.

        Args:
            name: Name of the loop, for the log.
            run: Coroutine function of the loop.
        """
        self.task_group.create_task(self.containment.keep_running(name, run))

    async def run_handover(self):
        """Ends the term once it has been handed over to a peer."""
        self.step_down(await self.handover.run())

    async def write_progress(self):
        """Records job progress; raises ``TermEnded`` when a later term starts.

        The later term fences the journal, so that an append fails.
        """
        try:
            await self.journal.run()
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error

    def commands_allowed(self):
        """Whether the term may send commands to workers.

        It may not once it has to end, nor between a stall of the process and
        the next read of the newest claim, nor while a later term may have
        taken its leases as lapsed.
        """
        return (
            not self.ended.is_set()
            and self.stall_detector.commands_allowed()
            and self.proof.valid()
        )

    def gauges(self):
        """Returns the metrics of teams by metric and team."""
        return self.placer.shares.gauges() | self.admission.gauges()

    def health(self):
        """Returns the health of the term, as reported to peers."""
        if self.ended.is_set():
            return messages.Health.NO_TERM
        reading = self.jobs if self.ready else self.recovery
        healthy = reading.advancing()
        return messages.Health.HEALTHY if healthy else messages.Health.DEGRADED
