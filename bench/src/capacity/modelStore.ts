/**
 * In-memory store of the zones' lease records and the accepted configuration. Counts the calls by kind.
 */
import {
    type LeaseCondition,
    LeaseConditionKind,
    LeaseOutcomeKind,
    type LeaseReadOutcome,
    type LeaseRecord,
    type LeaseWriteOutcome,
} from "@bilberrycroft/coordination.lease";
import type { Snapshot } from "@bilberrycroft/state.snapshots";

export class ModelStore {
    readonly calls = { read: 0, write: 0, list: 0, watch: 0 };
    current: Snapshot | undefined;
    private readonly zones = new Map<string, { readonly revision: number; readonly record: LeaseRecord }>();
    private lastRevision = 0;

    listZones(): readonly string[] {
        this.calls.list++;
        return [...this.zones.keys()];
    }

    readZone(zone: string): LeaseRecord | undefined {
        this.calls.read++;
        return this.zones.get(zone)?.record;
    }

    readCurrent(): Snapshot | undefined {
        this.calls.read++;
        return this.current;
    }

    readLease(zone: string): LeaseReadOutcome {
        this.calls.read++;
        const existing = this.zones.get(zone);
        return existing === undefined
            ? { kind: LeaseOutcomeKind.Absent }
            : { kind: LeaseOutcomeKind.Done, revision: String(existing.revision), record: existing.record };
    }

    writeLease(zone: string, record: LeaseRecord, condition: LeaseCondition): LeaseWriteOutcome {
        this.calls.write++;
        const existing = this.zones.get(zone);
        const isConditionMet = condition.kind === LeaseConditionKind.Absent
            ? existing === undefined
            : String(existing?.revision) === condition.revision;
        if (!isConditionMet) {
            return { kind: LeaseOutcomeKind.Conflict };
        }
        const revision = ++this.lastRevision;
        this.zones.set(zone, { revision, record });
        return { kind: LeaseOutcomeKind.Done, revision: String(revision) };
    }
}
