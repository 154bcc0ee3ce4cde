/**
 * Tracks the local target by its heartbeats and keeps this node's entry in the store up to date. Writes use
 * compare-and-set on the store revision.
 */
import {
    EntryWriteKind,
    HeartbeatOutcomeKind,
    LocalEntry,
    type LocalTarget,
    type TargetDeparture,
    type TargetHeartbeat,
} from "@bilberrycroft/coordination.registration";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import {
    type AnnouncedCompletion,
    type AnnouncedCrash,
    type AnnouncedTarget,
    maxCompletions,
    maxCrashes,
    type NodeEntry,
    parseNodeEntry,
    TargetPhase,
} from "@bilberrycroft/protocol.forwarding";
import { type CollectionWrite, describePosition, type ObjectCollection, StoreOutcomeKind } from "@bilberrycroft/protocol.store";
import { probeListener } from "@bilberrycroft/transport.calls";
import { Subject } from "rxjs";
import { setTimeout as sleep } from "node:timers/promises";
import { isDeepStrictEqual } from "node:util";
import type { CollectionContent } from "./collectionTask";

export interface RegistrationTaskOptions {
    readonly node: string;
    readonly zone: string;
    readonly offerAddress: string;
    /** `host:port` of the target. */
    readonly targetAddress: string;
    /** Processor cores available to this process; may be fractional. */
    readonly processors: number;
    readonly target: LocalTarget;
    readonly collection: ObjectCollection;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Called with what a previous process of this node has published. */
    handleRestoredReports(reports: CrashReports): void;
}

/** Crashes and completions that this node publishes, for the quarantine of other nodes and of its next process. */
export interface CrashReports {
    readonly crashes: readonly AnnouncedCrash[];
    readonly completions: readonly AnnouncedCompletion[];
}

/**
 * A draining heartbeat or a departure is acknowledged after the entry is written, but no later than this: the sender
 * times out after one second, and this node refuses calls for the target from then on in any case.
 */
const maxAnnouncementWaitMs: Milliseconds = 600;

export class RegistrationTask {
    /** Emits after each change of the target's state. */
    readonly changes = new Subject<void>();
    private readonly entry = new LocalEntry();
    private reports: CrashReports = { crashes: [], completions: [] };
    private hasContent = false;
    /** Whether this process has written the entry. Until then, the stored one is that of a previous process. */
    private hasWritten = false;
    private pendingWrite: Promise<void> | undefined;
    private isStopped = false;

    constructor(private readonly options: RegistrationTaskOptions) {}

    /** Resolves when the heartbeat may be acknowledged, with `false` if it is not from the local target. */
    async handleHeartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
        const { target, log } = this.options;
        const { kind } = target.handleHeartbeat(heartbeat);
        const { id, sequence, phase, startedAt } = heartbeat;
        switch (kind) {
            case HeartbeatOutcomeKind.Foreign:
            case HeartbeatOutcomeKind.Outdated:
                log.warn("heartbeat-ignored", { target: id, sequence, phase, startedAt, reason: kind });
                return kind === HeartbeatOutcomeKind.Outdated;
            case HeartbeatOutcomeKind.Refreshed:
                return true;
            case HeartbeatOutcomeKind.Changed:
                log.info("target-changed", { target: id, sequence, phase, startedAt, availability: target.availability });
                await this.handleTargetChange(phase === TargetPhase.Draining);
                return true;
            default:
                return assertNever(kind);
        }
    }

    /** Resolves when the departure may be acknowledged. */
    async handleDeparture(departure: TargetDeparture): Promise<void> {
        const { target, log } = this.options;
        const { kind } = target.handleDeparture(departure);
        log.info("target-departed", { target: departure.id, startedAt: departure.startedAt, outcome: kind });
        if (kind === HeartbeatOutcomeKind.Changed) {
            await this.handleTargetChange(true);
        }
    }

    /** Publishes reports. */
    addReports({ crashes = [], completions = [] }: Partial<CrashReports>): void {
        this.reports = {
            crashes: [...this.reports.crashes, ...crashes].slice(-maxCrashes),
            completions: [...this.reports.completions, ...completions].slice(-maxCompletions),
        };
        void this.updateEntry();
    }

    handleContent({ objects, revision }: CollectionContent): void {
        const object = objects.get(this.options.node);
        if (object !== undefined || revision >= (this.entry.storedRevision ?? 0)) {
            this.entry.setStored(object);
        }
        this.hasContent = true;
        this.restore(object?.value);
        void this.updateEntry();
    }

    /**
     * Completes the entry, and removes it if the target has left and exited. A leaving target may run on for seconds,
     * and its heartbeats may arrive late: the entry tells the next process of this node that it has left.
     */
    async deregister(): Promise<void> {
        const { target, targetAddress, collection, node, log } = this.options;
        const { leaving } = target;
        if (leaving === undefined) {
            await this.pendingWrite;
            return;
        }
        await this.updateEntry();
        const revision = this.entry.storedRevision;
        if (revision === undefined || await probeListener(targetAddress)) {
            return;
        }
        this.stop();
        const { kind } = await collection.remove(node, revision);
        log.info("entry-removed", { target: leaving.id, revision: describePosition(revision), outcome: kind });
    }

    /** Stops all updates of the entry. */
    stop(): void {
        this.isStopped = true;
    }

    /** Applies what a previous process of this node has stored. */
    private restore(stored: unknown): void {
        const entry = this.hasWritten ? undefined : parseNodeEntry(stored);
        if (entry?.target !== undefined) {
            this.restoreTarget(entry.target);
        }
        this.restoreReports({ crashes: entry?.crashes ?? [], completions: entry?.completions ?? [] });
    }

    private restoreTarget(announced: AnnouncedTarget): void {
        const { target, log } = this.options;
        if (target.restore(announced).kind === HeartbeatOutcomeKind.Changed) {
            log.info("target-restored", { target: announced.id, startedAt: announced.startedAt, phase: announced.phase });
            this.changes.next();
        }
    }

    /** Keeps the published reports, because this process replaces the entry that holds them. */
    private restoreReports(stored: CrashReports): void {
        const crashes = findMissing(stored.crashes, this.reports.crashes);
        const completions = findMissing(stored.completions, this.reports.completions);
        if (crashes.length + completions.length > 0) {
            this.reports = {
                crashes: [...crashes, ...this.reports.crashes].slice(-maxCrashes),
                completions: [...completions, ...this.reports.completions].slice(-maxCompletions),
            };
            this.options.handleRestoredReports({ crashes, completions });
        }
    }

    private async handleTargetChange(isLeaving: boolean): Promise<void> {
        this.changes.next();
        const write = this.updateEntry();
        if (isLeaving) {
            await Promise.race([write, sleep(maxAnnouncementWaitMs)]);
        }
    }

    /** Updates the entry in the store; resolves when it is current or the node stops. */
    private updateEntry(): Promise<void> {
        this.pendingWrite ??= this.writeUntilCurrent().finally(() => {
            this.pendingWrite = undefined;
        });
        return this.pendingWrite;
    }

    private async writeUntilCurrent(): Promise<void> {
        while (!this.isStopped && this.hasContent) {
            this.setDesiredEntry();
            const write = this.entry.nextWrite();
            if (write.kind === EntryWriteKind.None) {
                return;
            }
            const { collection, node } = this.options;
            const outcome = write.kind === EntryWriteKind.Create
                ? await collection.create(node, write.entry)
                : await collection.replace(node, write.entry, write.revision);
            const delayMs = this.handleWriteOutcome(write.entry, outcome);
            if (delayMs > 0) {
                await sleep(delayMs);
            }
        }
    }

    private setDesiredEntry(): void {
        const { node, zone, offerAddress: address, processors, target } = this.options;
        if (target.announced !== undefined) {
            const { crashes, completions } = this.reports;
            const entry = { node, zone, address, processors, target: target.announced, crashes };
            this.entry.setDesired(completions.length === 0 ? entry : { ...entry, completions });
        }
    }

    /** Returns the delay before the next write. */
    private handleWriteOutcome(entry: NodeEntry, outcome: CollectionWrite): Milliseconds {
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.hasWritten = true;
                this.entry.handleWriteSuccess(entry, outcome.revision);
                this.options.log.info("entry-written", {
                    revision: describePosition(outcome.revision),
                    target: entry.target?.id,
                });
                return 0;
            case StoreOutcomeKind.Conflict: {
                const { object } = outcome;
                const isNew = object !== undefined && this.entry.setStored(object);
                this.restore(object?.value);
                return isNew ? 0 : this.entry.handleWriteFailure();
            }
            case StoreOutcomeKind.Absent:
                this.entry.setStored(undefined);
                return this.entry.handleWriteFailure();
            case StoreOutcomeKind.Unknown:
            case StoreOutcomeKind.Unavailable:
                this.options.log.warn("entry-not-written", { outcome: outcome.kind, reason: outcome.reason });
                return this.entry.handleWriteFailure();
            default:
                return assertNever(outcome);
        }
    }
}

function findMissing<Report>(stored: readonly Report[], known: readonly Report[]): readonly Report[] {
    return stored.filter(report => !known.some(other => isDeepStrictEqual(other, report)));
}
