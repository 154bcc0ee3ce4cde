/**
 * Compare-and-set lease that elects the reader of a zone. Conditional writes of one object in the store decide which
 * node holds it. Each contender measures expiry with its own monotonic clock. See `docs/design.md`, section 3.6.
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

/** Time between two renewals by the holder, and between two reads by a contender. */
export const renewalIntervalMs: Milliseconds = 3_000;

/** A contender takes over a lease that has not changed for this long: three renewals were missed. */
export const takeoverTimeoutMs: Milliseconds = 9_000;

/** A holder acts for at most this time after sending its last confirmed renewal, and so stops before any takeover. */
export const leaseValidityMs: Milliseconds = 6_000;

/** Time between attempts while the store is unavailable. */
export const retryIntervalMs: Milliseconds = 1_000;

/** Maximum random wait of a node without peers before its first read. Spreads the reads at a fleet's cold start. */
export const maxBootstrapJitterMs: Milliseconds = 3_000;

/** Timeout of store calls. A call without a reported result is abandoned after twice this time. */
export const storeTimeoutMs: Milliseconds = 2_000;

/** Maximum number of members listed in the record. */
export const memberSampleSize = 16;

export interface LeaseOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly zone: string;
    readonly node: string;
    readonly controlAddress: string;
}

interface StoreCall {
    readonly call: number;
    readonly sentAt: Milliseconds;
    /** The record that a write sends; `undefined` for a read. */
    readonly record: LeaseRecord | undefined;
}

interface HeldLease {
    readonly term: number;
    revision: string;
    /** Monotonic time at which the last confirmed write was sent. */
    confirmedSentAt: Milliseconds;
}

/** Lease state machine of one node, without input or output of its own: `handle` returns the store calls to make. */
export class Lease {
    private readonly options: LeaseOptions;
    private readonly observation: Observation;
    /** Send times of the last confirmed write and of unconfirmed writes, by term and renewal. */
    private readonly sentWrites = new Map<string, Milliseconds>();
    private members: readonly LeaseMember[] = [];
    /** Cached until the members change, because ranking hashes each member and every tick needs the candidates. */
    private candidates: readonly string[] | undefined;
    private summary: ZoneSummary = summarizeZone([]);
    private outputs: LeaseOutput[] = [];
    private callInFlight: StoreCall | undefined;
    private heldLease: HeldLease | undefined;
    private hasReaderRole = false;
    private isStopping = false;
    private isReleased = false;
    private needsReadBack = false;
    private lastCallNumber = 0;
    private renewal = 0;
    private nextStepAt: Milliseconds = 0;
    private bootstrapWaitUntil: Milliseconds | undefined;

    constructor(options: LeaseOptions) {
        this.options = options;
        this.observation = new Observation(options.clock);
    }

    handle(input: LeaseInput): readonly LeaseOutput[] {
        this.outputs = [];
        this.dispatch(input);
        this.updateReaderRole();
        return this.outputs;
    }

    /** Whether the node is the zone's reader now and its lease is still valid. */
    isActing(): boolean {
        return this.heldLease !== undefined
            && this.hasReaderRole
            && this.options.clock.now() - this.heldLease.confirmedSentAt < leaseValidityMs;
    }

    /** This node if it holds the lease, otherwise the holder according to the last read. */
    lastKnownHolder(): string | undefined {
        return this.heldLease === undefined ? this.observation.holder : this.options.node;
    }

    private dispatch(input: LeaseInput): void {
        switch (input.kind) {
            case LeaseInputKind.Tick:
                return this.tick();
            case LeaseInputKind.MembersChanged:
                this.candidates = haveSameNodes(this.members, input.members) ? this.candidates : undefined;
                this.members = input.members;
                this.summary = input.summary;
                return this.scheduleReadIfHolderMissing();
            case LeaseInputKind.LeaseRead:
                return this.completeCall(input.call) === undefined ? undefined : this.handleReadOutcome(input.outcome);
            case LeaseInputKind.LeaseWritten:
                return this.handleWriteOutcome(this.completeCall(input.call), input.outcome);
            case LeaseInputKind.Stop:
                this.isStopping = true;
                return this.continueStop();
            default:
                return assertNever(input);
        }
    }

    private tick(): void {
        this.abandonOverdueCall();
        if (this.isStopping) {
            return this.continueStop();
        }
        if (this.callInFlight !== undefined || this.options.clock.now() < this.nextStepAt) {
            return;
        }
        if (this.heldLease !== undefined && !this.needsReadBack) {
            return this.renew(this.heldLease);
        }
        if (this.needsReadBack || this.canContend()) {
            this.read();
        }
    }

    /** Abandons a call whose result was never reported. A write may have taken effect, so the record is read back. */
    private abandonOverdueCall(): void {
        const isOverdue = this.callInFlight !== undefined
            && this.options.clock.now() - this.callInFlight.sentAt >= 2 * storeTimeoutMs;
        if (isOverdue) {
            this.callInFlight = undefined;
            this.needsReadBack = true;
        }
    }

    private canContend(): boolean {
        const { node, zone, clock, random } = this.options;
        if (this.members.some(member => member.node !== node)) {
            this.candidates ??= chooseCandidates(zone, this.members);
            return this.candidates.includes(node);
        }
        this.bootstrapWaitUntil ??= clock.now() + random.nextFraction() * maxBootstrapJitterMs;
        return clock.now() >= this.bootstrapWaitUntil;
    }

    /** Makes the next step due now if the holder is no longer a member, because it may have handed the lease over. */
    private scheduleReadIfHolderMissing(): void {
        const holder = this.lastKnownHolder();
        if (holder !== undefined && !this.members.some(member => member.node === holder)) {
            this.nextStepAt = Math.min(this.nextStepAt, this.options.clock.now());
        }
    }

    private read(): void {
        this.nextStepAt = this.options.clock.now() + renewalIntervalMs;
        this.emit({ kind: LeaseOutputKind.ReadLease, call: this.registerCall(undefined), timeoutMs: storeTimeoutMs });
    }

    private renew(lease: HeldLease): void {
        this.nextStepAt = this.options.clock.now() + renewalIntervalMs;
        this.write({ kind: LeaseConditionKind.Revision, revision: lease.revision }, lease.term, this.options.node);
    }

    private write(condition: LeaseCondition, term: number, holder: string | undefined): void {
        const record: LeaseRecord = {
            holder,
            address: this.options.controlAddress,
            term,
            renewal: ++this.renewal,
            members: this.options.random.shuffle(this.members).slice(0, memberSampleSize),
            summary: this.summary,
        };
        this.sentWrites.set(writeKey(record), this.options.clock.now());
        const call = this.registerCall(record);
        this.emit({ kind: LeaseOutputKind.WriteLease, call, condition, record, timeoutMs: storeTimeoutMs });
    }

    private handleReadOutcome(outcome: LeaseReadOutcome): void {
        switch (outcome.kind) {
            case LeaseOutcomeKind.Unavailable:
                return this.retryLater();
            case LeaseOutcomeKind.Absent:
                this.needsReadBack = false;
                this.loseLease();
                return this.tryAcquire({ kind: LeaseConditionKind.Absent }, 1);
            case LeaseOutcomeKind.Done:
                this.needsReadBack = false;
                return this.handleRecord(outcome);
            default:
                return assertNever(outcome);
        }
    }

    private handleRecord(observed: ObservedRecord): void {
        this.observation.record(observed);
        const { record, revision } = observed;
        const sentAt = record === undefined ? undefined : this.sentWrites.get(writeKey(record));
        if (record?.holder === this.options.node && sentAt !== undefined) {
            return this.confirmWrite(record, revision, sentAt);
        }
        if (this.heldLease?.revision === revision) {
            this.nextStepAt = this.options.clock.now();
            return;
        }
        this.loseLease();
        const isFree = record?.holder === undefined || this.observation.unchangedForMs >= takeoverTimeoutMs;
        if (isFree) {
            this.tryAcquire({ kind: LeaseConditionKind.Revision, revision }, (record?.term ?? 0) + 1);
        }
    }

    private tryAcquire(condition: LeaseCondition, term: number): void {
        if (!this.isStopping && this.canContend()) {
            this.nextStepAt = this.options.clock.now() + renewalIntervalMs;
            this.write(condition, term, this.options.node);
        }
    }

    private handleWriteOutcome(storeCall: StoreCall | undefined, outcome: LeaseWriteOutcome): void {
        if (storeCall?.record === undefined) {
            return;
        }
        if (storeCall.record.holder === undefined) {
            return this.release();
        }
        switch (outcome.kind) {
            case LeaseOutcomeKind.Done:
                return this.confirmWrite(storeCall.record, outcome.revision, storeCall.sentAt);
            case LeaseOutcomeKind.Unavailable:
                this.sentWrites.delete(writeKey(storeCall.record));
                return this.retryLater();
            case LeaseOutcomeKind.Conflict:
            case LeaseOutcomeKind.Unknown:
                // An earlier write of this node whose response was lost also causes a conflict. Reading the record back
                // shows which node holds the lease.
                this.needsReadBack = true;
                this.nextStepAt = this.options.clock.now();
                return this.isStopping ? this.continueStop() : this.read();
            default:
                return assertNever(outcome);
        }
    }

    private confirmWrite(record: LeaseRecord, revision: string, sentAt: Milliseconds): void {
        this.heldLease = { term: record.term, revision, confirmedSentAt: sentAt };
        this.sentWrites.clear();
        this.sentWrites.set(writeKey(record), sentAt);
        this.nextStepAt = sentAt + renewalIntervalMs;
        if (this.isStopping) {
            this.continueStop();
        }
    }

    private loseLease(): void {
        this.heldLease = undefined;
        this.sentWrites.clear();
        if (this.hasReaderRole) {
            this.hasReaderRole = false;
            this.emit({ kind: LeaseOutputKind.StopReading, reason: StopReason.Lost });
        }
    }

    /** Starts or stops acting as the zone's reader, depending on the age of the last confirmed write. */
    private updateReaderRole(): void {
        const { clock } = this.options;
        const isConfirmed = this.heldLease !== undefined
            && !this.isStopping
            && clock.now() - this.heldLease.confirmedSentAt < leaseValidityMs;
        if (isConfirmed && !this.hasReaderRole) {
            this.hasReaderRole = true;
            this.emit({ kind: LeaseOutputKind.StartReading, term: this.heldLease?.term ?? 0 });
        }
        if (!isConfirmed && this.hasReaderRole) {
            this.hasReaderRole = false;
            const reason = this.isStopping ? StopReason.HandedOver : StopReason.Expired;
            this.emit({ kind: LeaseOutputKind.StopReading, reason });
        }
    }

    /** Writes a record without a holder, so that the next reader does not have to wait for the lease to expire. */
    private continueStop(): void {
        if (this.isReleased || this.callInFlight !== undefined) {
            return;
        }
        if (this.heldLease === undefined || this.needsReadBack) {
            return this.release();
        }
        const { revision, term } = this.heldLease;
        this.write({ kind: LeaseConditionKind.Revision, revision }, term, undefined);
    }

    private release(): void {
        this.isReleased = true;
        this.heldLease = undefined;
        this.emit({ kind: LeaseOutputKind.Released });
    }

    private retryLater(): void {
        this.nextStepAt = this.options.clock.now() + retryIntervalMs;
    }

    private registerCall(record: LeaseRecord | undefined): number {
        this.callInFlight = { call: ++this.lastCallNumber, sentAt: this.options.clock.now(), record };
        return this.lastCallNumber;
    }

    /** Removes and returns the call in flight. Returns `undefined` for the result of an earlier, abandoned call. */
    private completeCall(call: number): StoreCall | undefined {
        const { callInFlight } = this;
        if (callInFlight?.call !== call) {
            return undefined;
        }
        this.callInFlight = undefined;
        return callInFlight;
    }

    private emit(output: LeaseOutput): void {
        this.outputs.push(output);
    }
}

function writeKey(record: LeaseRecord): string {
    return `${record.term} ${record.renewal}`;
}

function haveSameNodes(left: readonly LeaseMember[], right: readonly LeaseMember[]): boolean {
    return left.length === right.length && left.every(({ node }, index) => node === right[index]?.node);
}
