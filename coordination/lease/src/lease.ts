/**
 * The lease of a zone's reader, for one node. Conditional updates of one object decide who holds it; expiry is judged
 * on the contender's own clock. See `docs/design.md`, section 3.6.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { assertNever } from "@bilberrycroft/core.errors";
import { chooseCandidates } from "./candidates";
import {
    LeaseConditionKind,
    LeaseInputKind,
    LeaseOutcomeKind,
    LeaseOutputKind,
    StopReason,
    type LeaseCondition,
    type LeaseInput,
    type LeaseMember,
    type LeaseOutput,
    type LeaseReadOutcome,
    type LeaseRecord,
    type LeaseWriteOutcome,
} from "./messages";
import { Observation, type ObservedRecord } from "./observation";
import { summarizeZone, type ZoneSummary } from "./summary";

/** Time between two renewals, and between two reads of a contender. */
export const renewalSpacingMs: Milliseconds = 3_000;

/** A contender takes over after it saw no change for this long: three renewals missed. */
export const takeoverAfterMs: Milliseconds = 9_000;

/** A holder stops to act this long after it sent its last confirmed renewal, before any contender can take over. */
export const actingPeriodMs: Milliseconds = 6_000;

/** Wait after the store was unavailable. */
export const retrySpacingMs: Milliseconds = 1_000;

/** Longest wait of a node that knows no peer; spreads the reads of a fleet that starts from nothing. */
export const bootstrapJitterMs: Milliseconds = 3_000;

/** Store calls end after this time; twice that is the bound if no result is reported. */
export const storeTimeoutMs: Milliseconds = 2_000;

/** Members listed in the record. */
export const sampleSize = 16;

/** Options of `Lease`. */
export interface LeaseOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly zone: string;
    readonly node: string;
    readonly controlAddress: string;
}

interface OpenStoreCall {
    readonly call: number;
    readonly sentAt: Milliseconds;
    /** The record, if the call is a write. */
    readonly record: LeaseRecord | undefined;
}

/** The lease as its holder knows it. */
interface Holding {
    readonly term: number;
    revision: string;
    /** When the last confirmed write was sent. */
    confirmedSentAt: Milliseconds;
}

/** Decides for one node. `handle` takes one message and gives the messages that follow from it. */
export class Lease {
    private readonly options: LeaseOptions;
    private readonly observation: Observation;
    /** Time of sending, by term and renewal, of writes that are not confirmed. */
    private readonly attempts = new Map<string, Milliseconds>();
    private members: readonly LeaseMember[] = [];
    /** Kept while the members stay the same: ranking hashes each member, and every tick asks. */
    private candidates: readonly string[] | undefined;
    private summary: ZoneSummary = summarizeZone([]);
    private outputs: LeaseOutput[] = [];
    private open: OpenStoreCall | undefined;
    private holding: Holding | undefined;
    private acting = false;
    private stopping = false;
    private released = false;
    private readBackWanted = false;
    private lastCall = 0;
    private renewal = 0;
    private nextStepAt: Milliseconds = 0;
    private bootstrapUntil: Milliseconds | undefined;

    constructor(options: LeaseOptions) {
        this.options = options;
        this.observation = new Observation(options.clock);
    }

    /** Takes one message. */
    handle(input: LeaseInput): readonly LeaseOutput[] {
        this.outputs = [];
        this.dispatch(input);
        this.updateActing();
        return this.outputs;
    }

    /** Whether the node acts as the zone's reader now. */
    isActing(): boolean {
        return this.holding !== undefined
            && this.acting
            && this.options.clock.now() - this.holding.confirmedSentAt < actingPeriodMs;
    }

    /** Holder that the last read showed, or this node. */
    knownHolder(): string | undefined {
        return this.holding === undefined ? this.observation.holder : this.options.node;
    }

    private dispatch(input: LeaseInput): void {
        switch (input.kind) {
            case LeaseInputKind.Tick:
                return this.tick();
            case LeaseInputKind.MembersChanged:
                this.candidates = haveSameNodes(this.members, input.members) ? this.candidates : undefined;
                this.members = input.members;
                this.summary = input.summary;
                return this.noteMissingHolder();
            case LeaseInputKind.LeaseRead:
                return this.takeOpen(input.call) === undefined ? undefined : this.takeRead(input.outcome);
            case LeaseInputKind.LeaseWritten:
                return this.takeWritten(this.takeOpen(input.call), input.outcome);
            case LeaseInputKind.Stop:
                this.stopping = true;
                return this.continueStop();
            default:
                return assertNever(input);
        }
    }

    private tick(): void {
        this.endOverdueCall();
        if (this.stopping) {
            return this.continueStop();
        }
        if (this.open !== undefined || this.options.clock.now() < this.nextStepAt) {
            return;
        }
        if (this.holding !== undefined && !this.readBackWanted) {
            return this.renew(this.holding);
        }
        if (this.readBackWanted || this.mayContend()) {
            this.read();
        }
    }

    /** A call whose result never came may have taken effect. */
    private endOverdueCall(): void {
        const isOverdue = this.open !== undefined
            && this.options.clock.now() - this.open.sentAt >= 2 * storeTimeoutMs;
        if (isOverdue) {
            this.open = undefined;
            this.readBackWanted = true;
        }
    }

    private mayContend(): boolean {
        const { node, zone, clock, random } = this.options;
        if (this.members.some(member => member.node !== node)) {
            this.candidates ??= chooseCandidates(zone, this.members);
            return this.candidates.includes(node);
        }
        this.bootstrapUntil ??= clock.now() + random.nextFraction() * bootstrapJitterMs;
        return clock.now() >= this.bootstrapUntil;
    }

    /** Looks at the record at once when its holder is no longer a member: it may have been handed over. */
    private noteMissingHolder(): void {
        const holder = this.knownHolder();
        if (holder !== undefined && !this.members.some(member => member.node === holder)) {
            this.nextStepAt = Math.min(this.nextStepAt, this.options.clock.now());
        }
    }

    private read(): void {
        this.nextStepAt = this.options.clock.now() + renewalSpacingMs;
        this.emit({ kind: LeaseOutputKind.ReadLease, call: this.openCall(undefined), timeoutMs: storeTimeoutMs });
    }

    private renew(holding: Holding): void {
        this.nextStepAt = this.options.clock.now() + renewalSpacingMs;
        this.write({ kind: LeaseConditionKind.Revision, revision: holding.revision }, holding.term, this.options.node);
    }

    private write(condition: LeaseCondition, term: number, holder: string | undefined): void {
        const record: LeaseRecord = {
            holder,
            address: this.options.controlAddress,
            term,
            renewal: ++this.renewal,
            members: this.options.random.shuffle(this.members).slice(0, sampleSize),
            summary: this.summary,
        };
        this.attempts.set(attemptKey(record), this.options.clock.now());
        const call = this.openCall(record);
        this.emit({ kind: LeaseOutputKind.WriteLease, call, condition, record, timeoutMs: storeTimeoutMs });
    }

    private takeRead(outcome: LeaseReadOutcome): void {
        switch (outcome.kind) {
            case LeaseOutcomeKind.Unavailable:
                return this.retryLater();
            case LeaseOutcomeKind.Absent:
                this.readBackWanted = false;
                this.loseLease();
                return this.contendFor({ kind: LeaseConditionKind.Absent }, 1);
            case LeaseOutcomeKind.Done:
                this.readBackWanted = false;
                return this.takeRecord(outcome);
            default:
                return assertNever(outcome);
        }
    }

    private takeRecord(observed: ObservedRecord): void {
        this.observation.note(observed);
        const { record, revision } = observed;
        const sentAt = record === undefined ? undefined : this.attempts.get(attemptKey(record));
        if (record?.holder === this.options.node && sentAt !== undefined) {
            return this.confirm(record, revision, sentAt);
        }
        if (this.holding?.revision === revision) {
            this.nextStepAt = this.options.clock.now();
            return;
        }
        this.loseLease();
        const isFree = record?.holder === undefined || this.observation.unchangedForMs >= takeoverAfterMs;
        if (isFree) {
            this.contendFor({ kind: LeaseConditionKind.Revision, revision }, (record?.term ?? 0) + 1);
        }
    }

    private contendFor(condition: LeaseCondition, term: number): void {
        if (!this.stopping && this.mayContend()) {
            this.nextStepAt = this.options.clock.now() + renewalSpacingMs;
            this.write(condition, term, this.options.node);
        }
    }

    private takeWritten(open: OpenStoreCall | undefined, outcome: LeaseWriteOutcome): void {
        if (open?.record === undefined) {
            return;
        }
        if (open.record.holder === undefined) {
            return this.release();
        }
        switch (outcome.kind) {
            case LeaseOutcomeKind.Done:
                return this.confirm(open.record, outcome.revision, open.sentAt);
            case LeaseOutcomeKind.Unavailable:
                this.attempts.delete(attemptKey(open.record));
                return this.retryLater();
            case LeaseOutcomeKind.Conflict:
            case LeaseOutcomeKind.Unknown:
                // A conflict can come from an own earlier write whose response was lost; only the record tells.
                this.readBackWanted = true;
                this.nextStepAt = this.options.clock.now();
                return this.stopping ? this.continueStop() : this.read();
            default:
                return assertNever(outcome);
        }
    }

    private confirm(record: LeaseRecord, revision: string, sentAt: Milliseconds): void {
        this.holding = { term: record.term, revision, confirmedSentAt: sentAt };
        this.attempts.clear();
        this.attempts.set(attemptKey(record), sentAt);
        this.nextStepAt = sentAt + renewalSpacingMs;
        if (this.stopping) {
            this.continueStop();
        }
    }

    private loseLease(): void {
        this.holding = undefined;
        this.attempts.clear();
        if (this.acting) {
            this.acting = false;
            this.emit({ kind: LeaseOutputKind.StopReading, reason: StopReason.Lost });
        }
    }

    /** Starts and ends the role of the zone's reader as confirmations come and grow old. */
    private updateActing(): void {
        const { clock } = this.options;
        const isConfirmed = this.holding !== undefined
            && !this.stopping
            && clock.now() - this.holding.confirmedSentAt < actingPeriodMs;
        if (isConfirmed && !this.acting) {
            this.acting = true;
            this.emit({ kind: LeaseOutputKind.StartReading, term: this.holding?.term ?? 0 });
        }
        if (!isConfirmed && this.acting) {
            this.acting = false;
            const reason = this.stopping ? StopReason.HandedOver : StopReason.Expired;
            this.emit({ kind: LeaseOutputKind.StopReading, reason });
        }
    }

    /** Writes a record without a holder, so that the next reader need not wait for the lease to expire. */
    private continueStop(): void {
        if (this.released || this.open !== undefined) {
            return;
        }
        if (this.holding === undefined || this.readBackWanted) {
            return this.release();
        }
        const { revision, term } = this.holding;
        this.write({ kind: LeaseConditionKind.Revision, revision }, term, undefined);
    }

    private release(): void {
        this.released = true;
        this.holding = undefined;
        this.emit({ kind: LeaseOutputKind.Released });
    }

    private retryLater(): void {
        this.nextStepAt = this.options.clock.now() + retrySpacingMs;
    }

    private openCall(record: LeaseRecord | undefined): number {
        this.open = { call: ++this.lastCall, sentAt: this.options.clock.now(), record };
        return this.lastCall;
    }

    /** The open call of this number; results of earlier calls come too late to count. */
    private takeOpen(call: number): OpenStoreCall | undefined {
        const { open } = this;
        if (open?.call !== call) {
            return undefined;
        }
        this.open = undefined;
        return open;
    }

    private emit(output: LeaseOutput): void {
        this.outputs.push(output);
    }
}

function attemptKey(record: LeaseRecord): string {
    return `${record.term} ${record.renewal}`;
}

function haveSameNodes(left: readonly LeaseMember[], right: readonly LeaseMember[]): boolean {
    return left.length === right.length && left.every(({ node }, index) => node === right[index]?.node);
}
