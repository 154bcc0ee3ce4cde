/**
 * Runs the lease state machine that elects the reader of a zone. The lease is part of the zone's object in the store,
 * which is written by compare-and-set.
 */
import {
    type Lease,
    LeaseConditionKind,
    type LeaseInput,
    LeaseInputKind,
    LeaseOutcomeKind,
    type LeaseOutput,
    LeaseOutputKind,
    type LeaseReadOutcome,
    type LeaseRecord,
    type LeaseWriteOutcome,
    summarizeZone,
} from "@bilberrycroft/coordination.lease";
import type { Entry, KnownMember } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import {
    type Store,
    StoreOutcomeKind,
    type WriteCondition,
    WriteConditionKind,
    zoneKey,
    zonePrefix,
} from "@bilberrycroft/protocol.store";
import { interval, Subject, type Subscription } from "rxjs";
import { listRosterMembers, parseLeaseRecord } from "./zoneRecord";

const tickMs: Milliseconds = 250;
// The reader of each zone lists all zones once per interval, so 10 zones cost the store five calls per second.
const discoveryIntervalMs: Milliseconds = 2_000;

export interface LeaseTaskOptions {
    readonly lease: Lease;
    readonly store: Store;
    readonly zone: string;
    readonly logger: Logger;
    /** Whether the membership table contains a node of the zone. */
    hasNodeInZone(zone: string): boolean;
}

export class LeaseTask {
    /** Emits whether this node is the reader of its zone, each time that changes. */
    readonly readerChanges = new Subject<boolean>();
    /** Emits members found in the store for zones that have no node in the membership table. */
    readonly discoveries = new Subject<readonly KnownMember[]>();
    private readonly inbox = new Subject<LeaseInput>();
    private readonly subscriptions: Subscription[] = [];
    private readonly released: Promise<void>;
    private resolveReleased: () => void = () => undefined;

    constructor(private readonly options: LeaseTaskOptions) {
        this.released = new Promise(resolve => {
            this.resolveReleased = resolve;
        });
        this.subscriptions.push(this.inbox.subscribe(input => this.process(input)));
    }

    /** Starts contending for the lease. */
    start(): void {
        this.subscriptions.push(
            interval(tickMs).subscribe(() => this.inbox.next({ kind: LeaseInputKind.Tick })),
            interval(discoveryIntervalMs).subscribe(() => void this.discoverZones()),
            this.readerChanges.subscribe(() => void this.discoverZones()),
        );
    }

    /** Handles a change of the zone's members; `entries` are its live entries. */
    handleMembersChanged(entries: readonly Entry[]): void {
        this.inbox.next({
            kind: LeaseInputKind.MembersChanged,
            members: entries.map(({ node, controlAddress }) => ({ node, controlAddress })),
            summary: summarizeZone(entries),
        });
    }

    /** Releases the lease if this node holds it; resolves when the task no longer needs the store. */
    handOver(): Promise<void> {
        this.inbox.next({ kind: LeaseInputKind.Stop });
        return this.released;
    }

    stop(): void {
        this.subscriptions.forEach(subscription => subscription.unsubscribe());
    }

    private process(input: LeaseInput): void {
        for (const output of this.options.lease.handle(input)) {
            this.perform(output);
        }
    }

    private perform(output: LeaseOutput): void {
        const { logger, zone } = this.options;
        switch (output.kind) {
            case LeaseOutputKind.ReadLease:
                return void this.readLease(output.call);
            case LeaseOutputKind.WriteLease:
                return void this.writeLease(output);
            case LeaseOutputKind.StartReading:
                logger.info("Node became the reader of its zone.", { zone, term: output.term });
                return this.readerChanges.next(true);
            case LeaseOutputKind.StopReading:
                logger.info("Node is no longer the reader of its zone.", { zone, reason: output.reason });
                return this.readerChanges.next(false);
            case LeaseOutputKind.Released:
                return this.resolveReleased();
            default:
                return assertNever(output);
        }
    }

    private async readLease(call: number): Promise<void> {
        const outcome = await this.readRecord();
        this.inbox.next({ kind: LeaseInputKind.LeaseRead, call, outcome });
    }

    private async readRecord(): Promise<LeaseReadOutcome> {
        const outcome = await this.options.store.read(zoneKey(this.options.zone));
        switch (outcome.kind) {
            case StoreOutcomeKind.Done: {
                const { revision, value } = outcome.object;
                return { kind: LeaseOutcomeKind.Done, revision, record: parseLeaseRecord(value) };
            }
            case StoreOutcomeKind.Absent:
                return { kind: LeaseOutcomeKind.Absent };
            case StoreOutcomeKind.Unavailable:
                return { kind: LeaseOutcomeKind.Unavailable };
            default:
                return assertNever(outcome);
        }
    }

    /** Finds zones missing from the membership table. Only a zone's reader does so, to keep the store load constant. */
    private async discoverZones(): Promise<void> {
        if (!this.options.lease.isActing()) {
            return;
        }
        const listed = await this.options.store.list(zonePrefix);
        if (listed.kind !== StoreOutcomeKind.Done) {
            return;
        }
        const zones = listed.objects.map(object => object.key.slice(zonePrefix.length));
        const undiscoveredZones = zones.filter(zone => zone !== this.options.zone && !this.options.hasNodeInZone(zone));
        const members = await Promise.all(undiscoveredZones.map(zone => this.readMembers(zone)));
        if (undiscoveredZones.length > 0) {
            this.discoveries.next(members.flat());
        }
    }

    private async readMembers(zone: string): Promise<readonly KnownMember[]> {
        const outcome = await this.options.store.read(zoneKey(zone));
        const record = outcome.kind === StoreOutcomeKind.Done ? parseLeaseRecord(outcome.object.value) : undefined;
        return record === undefined ? [] : listRosterMembers(record, zone);
    }

    private async writeLease(output: Extract<LeaseOutput, { kind: LeaseOutputKind.WriteLease }>): Promise<void> {
        const condition: WriteCondition = output.condition.kind === LeaseConditionKind.Absent
            ? { kind: WriteConditionKind.Absent }
            : { kind: WriteConditionKind.Revision, revision: output.condition.revision };
        const outcome = await this.writeRecord(output.record, condition);
        this.inbox.next({ kind: LeaseInputKind.LeaseWritten, call: output.call, outcome });
    }

    private async writeRecord(record: LeaseRecord, condition: WriteCondition): Promise<LeaseWriteOutcome> {
        const outcome = await this.options.store.write(zoneKey(this.options.zone), JSON.stringify(record), condition);
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                return { kind: LeaseOutcomeKind.Done, revision: outcome.revision };
            case StoreOutcomeKind.Conflict:
                return { kind: LeaseOutcomeKind.Conflict };
            case StoreOutcomeKind.Unavailable:
                return { kind: LeaseOutcomeKind.Unavailable };
            case StoreOutcomeKind.Unknown:
                return { kind: LeaseOutcomeKind.Unknown };
            default:
                return assertNever(outcome);
        }
    }
}
