/**
 * Owns the belief about the target beside this node, and this node's entry in the store.
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
import { type AnnouncedCrash, maxCrashes, type NodeEntry, parseNodeEntry, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { type CollectionWrite, type ObjectCollection, StoreOutcomeKind } from "@bilberrycroft/protocol.store";
import { Subject } from "rxjs";
import { setTimeout as sleep } from "node:timers/promises";
import type { CollectionContent } from "./collectionTask";

/** Options of a `RegistrationTask`. */
export interface RegistrationTaskOptions {
    readonly node: string;
    readonly zone: string;
    readonly offerAddress: string;
    /** Processor cores of this process, with fractions. */
    readonly processors: number;
    readonly target: LocalTarget;
    readonly collection: ObjectCollection;
    readonly clock: Clock;
    readonly log: EventLog;
}

/**
 * A leaving target is told to others before its message is acknowledged, but not for longer than this: the sender
 * gives up after a second, and this node refuses calls for the target from then on in any case.
 */
const longestAnnouncementMs: Milliseconds = 600;

/** Registration of one node. */
export class RegistrationTask {
    /** Emits after each change of the belief about the target. */
    readonly changes = new Subject<void>();
    private readonly entry = new LocalEntry();
    private crashes: AnnouncedCrash[] = [];
    private isReadable = false;
    private writing: Promise<void> | undefined;
    private isStopped = false;

    constructor(private readonly options: RegistrationTaskOptions) {}

    /** Takes a heartbeat of the target; resolves when it may be acknowledged, `false` if it is not from this target. */
    async heartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
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
                await this.targetChanged(phase === TargetPhase.Draining);
                return true;
            default:
                return assertNever(kind);
        }
    }

    /** Takes a departure of the target; resolves when it may be acknowledged. */
    async departed(departure: TargetDeparture): Promise<void> {
        const { target, log } = this.options;
        const { kind } = target.handleDeparture(departure);
        log.info("target-departed", { target: departure.id, startedAt: departure.startedAt, outcome: kind });
        if (kind === HeartbeatOutcomeKind.Changed) {
            await this.targetChanged(true);
        }
    }

    /** Adds requests that were in flight when the target crashed, for other nodes to know. */
    addCrashes(crashes: readonly AnnouncedCrash[]): void {
        this.crashes = [...this.crashes, ...crashes].slice(-maxCrashes);
        void this.announce();
    }

    /** Takes the content of the nodes' collection. */
    take({ objects, revision }: CollectionContent): void {
        const object = objects.get(this.options.node);
        if (object !== undefined || revision >= (this.entry.storedRevision ?? 0)) {
            this.entry.setStored(object);
        }
        if (!this.isReadable) {
            this.isReadable = true;
            const earlier = parseNodeEntry(object?.value)?.target;
            if (earlier !== undefined) {
                this.options.target.restore(earlier);
            }
        }
        void this.announce();
    }

    /** Removes the entry when the target has left for good. */
    async leave(): Promise<void> {
        this.isStopped = true;
        await this.writing;
        const revision = this.entry.storedRevision;
        if (this.options.target.announced?.phase === TargetPhase.Draining && revision !== undefined) {
            await this.options.collection.remove(this.options.node, revision);
        }
    }

    private async targetChanged(isLeaving: boolean): Promise<void> {
        this.changes.next();
        const written = this.announce();
        if (isLeaving) {
            await Promise.race([written, sleep(longestAnnouncementMs)]);
        }
    }

    /** Brings the store's entry up to date; resolves when it is or when the node stops. */
    private announce(): Promise<void> {
        const { node, zone, offerAddress: address, processors, target } = this.options;
        if (target.announced !== undefined) {
            this.entry.setDesired({ node, zone, address, processors, target: target.announced, crashes: this.crashes });
        }
        this.writing ??= this.writeUntilCurrent().finally(() => {
            this.writing = undefined;
        });
        return this.writing;
    }

    private async writeUntilCurrent(): Promise<void> {
        while (!this.isStopped && this.isReadable) {
            const write = this.entry.nextWrite();
            if (write.kind === EntryWriteKind.None) {
                return;
            }
            const { collection, node } = this.options;
            const outcome = write.kind === EntryWriteKind.Create
                ? await collection.create(node, write.entry)
                : await collection.replace(node, write.entry, write.revision);
            const waitMs = this.takeWrite(write.entry, outcome);
            if (waitMs > 0) {
                await sleep(waitMs);
            }
        }
    }

    /** Returns the wait before the next try. */
    private takeWrite(entry: NodeEntry, outcome: CollectionWrite): Milliseconds {
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.entry.handleWritten(entry, outcome.revision);
                this.options.log.info("entry-written", { revision: outcome.revision, target: entry.target?.id });
                return 0;
            case StoreOutcomeKind.Conflict: {
                const { object } = outcome;
                if (object !== undefined) {
                    this.entry.setStored(object);
                    return 0;
                }
                return this.entry.handleWriteFailure();
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
