/**
 * Decides whether a request may be sent, based on the crashes and completions of calls with the same fingerprint on all
 * nodes. A fingerprint whose calls crash two targets consecutively, or one target three times, is held: its calls are
 * refused until the hold ends, and then one trial call is sent. A request that crashes its targets never completes. Any
 * other request completes at some point, and the completion report ends its hold on all nodes.
 *
 * Nodes that exchange reports with `reportsToShare` share each completion after a crash. Nodes whose reports are kept
 * in a store write few of them: a crash report names the last completion before it, which clears the crashes before
 * that, and `completionsToReport` returns only completions without which other nodes hold the fingerprint.
 */
import { createHash } from "node:crypto";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { computeFingerprint, type RequestIdentity } from "./fingerprint";
import { initialHoldMs, maxHoldMs, reportLifetimeMs, CrashHistory } from "./crashHistory";
import {
    type CompletionReport,
    type CrashReport,
    type QuarantineDecision,
    QuarantineDecisionKind,
    type QuarantineReport,
    QuarantineReportKind,
    type TargetCrash,
} from "./types";

export interface QuarantineOptions {
    /** Identifier of this node. */
    readonly node: string;
    readonly clock: Clock;
}

/** Maximum number of fingerprints whose reports are kept. */
export const maxFingerprints = 1_024;
/** Maximum reports per gossip exchange. At about 250 bytes each and one exchange per second, under 4 KB/s. */
export const maxReportsPerExchange = 16;

// Completed fingerprints are kept in an LRU list, so that frequent ones stay.
const maxCompletions = 1_024;
const completionLifetimeMs: Milliseconds = 10 * 60_000;
// First hold of a fingerprint that completed recently. After a failed trial the regular holds apply to it.
const initialHoldAfterCompletionMs: Milliseconds = 1_000;
const trialSpreadAfterCompletionMs: Milliseconds = 2_000;
// Reports reach every node within this time. If a trial ends sooner, most nodes know its result before they start one.
const trialSpreadOfObserverMs: Milliseconds = 3_000;
// A trial call that was never sent, or whose end was not reported, blocks the next trial for at most this time.
const trialTimeoutMs: Milliseconds = 30_000;
// Each node shares a report for this long after receiving it, which is enough for gossip to reach all nodes.
const reportSharingMs: Milliseconds = 10_000;
const maxQueuedReports = 512;

const allowedDecision: QuarantineDecision = { kind: QuarantineDecisionKind.Allowed };

interface QueuedReport {
    readonly report: QuarantineReport;
    readonly until: Milliseconds;
}

export class Quarantine {
    private readonly node: string;
    private readonly clock: Clock;
    private readonly histories = new Map<string, CrashHistory>();
    /** Wall time of the last completion by fingerprint, in LRU order with the most recent last. */
    private readonly completions = new Map<string, Milliseconds>();
    /** Monotonic time since which other nodes may hold a fingerprint without a completion of this node. */
    private readonly unreportedSince = new Map<string, Milliseconds>();
    private queue: QueuedReport[] = [];

    constructor(options: QuarantineOptions) {
        this.node = options.node;
        this.clock = options.clock;
    }

    computeFingerprint(request: RequestIdentity): string {
        return computeFingerprint(request);
    }

    /** Decides whether a call may be sent now. The caller must send a call for which `Trial` was returned. */
    check(fingerprint: string): QuarantineDecision {
        const history = this.histories.get(fingerprint);
        if (history === undefined || history.expire(this.clock.wallTime()) || !history.isHeld) {
            return allowedDecision;
        }
        const now = this.clock.now();
        const heldUntil = this.computeHoldEnd(fingerprint, history);
        const trialUntil = (history.trialStartedAt ?? -Infinity) + trialTimeoutMs;
        if (now < Math.max(heldUntil, trialUntil)) {
            return { kind: QuarantineDecisionKind.Held, retryAfterMs: Math.max(heldUntil, trialUntil) - now };
        }
        history.trialStartedAt = now;
        return { kind: QuarantineDecisionKind.Trial };
    }

    /** Records and returns a crash report for each call that this node had in flight on a crashed target. */
    recordTargetCrash({ target, inFlight, at }: TargetCrash): readonly CrashReport[] {
        return inFlight.map(({ fingerprint, ageMs }) => {
            const startedAt = at - ageMs;
            const completedAt = this.findCompletionBefore(fingerprint, at);
            const kind = QuarantineReportKind.Crash;
            const report = { kind, fingerprint, target, at, startedAt, node: this.node, completedAt } as const;
            this.recordReport(report);
            return report;
        });
    }

    /** Records that a target's response to a call was received completely. */
    recordCompletion(fingerprint: string): void {
        this.completions.delete(fingerprint);
        this.completions.set(fingerprint, this.clock.wallTime());
        evictOldest(this.completions, maxCompletions);
        const history = this.histories.get(fingerprint);
        if (history?.hasCrashes === true) {
            const kind = QuarantineReportKind.Completion;
            this.recordOwnCompletion(history, { kind, fingerprint, at: this.clock.wallTime() });
        }
    }

    /** Reports for the next gossip exchange, newest first. */
    reportsToShare(): readonly QuarantineReport[] {
        const now = this.clock.now();
        this.queue = this.queue.filter(queued => queued.until > now);
        return this.queue.slice(-maxReportsPerExchange).reverse().map(queued => queued.report);
    }

    /** Merges reports of other nodes. Ignores known and expired ones, and those from a time far in the future. */
    mergeReports(reports: readonly QuarantineReport[]): void {
        const wallTime = this.clock.wallTime();
        reports.filter(({ at }) => at > wallTime - reportLifetimeMs && at < wallTime + reportLifetimeMs)
            .forEach(report => this.recordReport(report));
    }

    /**
     * Completions that this node should report now, because other nodes hold the fingerprint without them. Several
     * nodes may know one; each waits for its own part of `spreadMs`, and the first report makes the others needless.
     */
    completionsToReport(spreadMs: Milliseconds): readonly CompletionReport[] {
        const now = this.clock.now();
        const due: CompletionReport[] = [];
        for (const [fingerprint, since] of this.unreportedSince) {
            const at = this.histories.get(fingerprint)?.unreportedCompletionAt;
            if (at === undefined) {
                this.unreportedSince.delete(fingerprint);
            }
            else if (now - since >= this.spreadFraction(fingerprint) * spreadMs) {
                due.push({ kind: QuarantineReportKind.Completion, fingerprint, at });
            }
        }
        this.mergeReports(due);
        return due;
    }

    private recordReport(report: QuarantineReport): void {
        if (this.applyReport(report)) {
            this.enqueue(report);
        }
    }

    private enqueue(report: QuarantineReport): void {
        this.queue.push({ report, until: this.clock.now() + reportSharingMs });
        this.queue = this.queue.slice(-maxQueuedReports);
    }

    private applyReport(report: QuarantineReport): boolean {
        const history = this.histories.get(report.fingerprint) ?? this.addHistory(report.fingerprint);
        switch (report.kind) {
            case QuarantineReportKind.Crash: {
                const { fingerprint, at, completedAt = -Infinity } = report;
                if (!history.hasCrashes) {
                    history.hadRecentCompletion = this.hasCompletedRecently(fingerprint);
                }
                history.hadRecentCompletion ||= at - completedAt < completionLifetimeMs;
                const added = history.addCrash(report, this.clock.now(), this.clock.wallTime());
                this.recordLaterCompletion(history, report);
                this.noteUnreported(history, fingerprint);
                return added;
            }
            case QuarantineReportKind.Completion:
                return history.recordReportedCompletion(report.at);
            default:
                return assertNever(report);
        }
    }

    /** Records a completion on this node that is later than a crash whose report arrives only now. */
    private recordLaterCompletion(history: CrashHistory, { fingerprint, at: crashedAt }: CrashReport): void {
        const at = this.completions.get(fingerprint) ?? -Infinity;
        if (at > crashedAt) {
            this.recordOwnCompletion(history, { kind: QuarantineReportKind.Completion, fingerprint, at });
        }
    }

    private recordOwnCompletion(history: CrashHistory, report: CompletionReport): void {
        if (history.recordCompletion(report.at)) {
            this.enqueue(report);
        }
        this.noteUnreported(history, report.fingerprint);
    }

    private noteUnreported(history: CrashHistory, fingerprint: string): void {
        const isFull = this.unreportedSince.size >= maxFingerprints;
        if (history.unreportedCompletionAt !== undefined && !this.unreportedSince.has(fingerprint) && !isFull) {
            this.unreportedSince.set(fingerprint, this.clock.now());
        }
    }

    /** Last completion that this node knows from before the time; `undefined` if there is none or it is too old. */
    private findCompletionBefore(fingerprint: string, at: Milliseconds): Milliseconds | undefined {
        const completedAt = this.completions.get(fingerprint);
        return completedAt !== undefined && completedAt < at && at - completedAt < completionLifetimeMs
            ? completedAt
            : undefined;
    }

    private hasCompletedRecently(fingerprint: string): boolean {
        return this.clock.wallTime() - (this.completions.get(fingerprint) ?? -Infinity) < completionLifetimeMs;
    }

    private addHistory(fingerprint: string): CrashHistory {
        const history = new CrashHistory();
        if (this.histories.size >= maxFingerprints) {
            this.evictHistories();
        }
        this.histories.set(fingerprint, history);
        return history;
    }

    /** Evicts expired fingerprints and then those with the oldest reports, until one more can be added. */
    private evictHistories(): void {
        const wallTime = this.clock.wallTime();
        for (const [fingerprint, history] of this.histories) {
            if (history.expire(wallTime)) {
                this.histories.delete(fingerprint);
            }
        }
        const oldestFirst = [...this.histories].sort(([, left], [, right]) => left.lastReportAt - right.lastReportAt);
        oldestFirst.slice(0, Math.max(0, this.histories.size + 1 - maxFingerprints))
            .forEach(([fingerprint]) => this.histories.delete(fingerprint));
    }

    /**
     * Monotonic time at which the hold ends on this node. Nodes end it at different times, those that observed a crash
     * first: if all nodes started a trial at the same time, a harmful request would crash one target for each.
     */
    private computeHoldEnd(fingerprint: string, history: CrashHistory): Milliseconds {
        const { failedTrials } = history;
        const fraction = this.spreadFraction(fingerprint);
        if (failedTrials === 0 && history.hadRecentCompletion) {
            return history.computeHoldEnd(initialHoldAfterCompletionMs) + fraction * trialSpreadAfterCompletionMs;
        }
        const holdMs = Math.min(initialHoldMs * 2 ** failedTrials, maxHoldMs);
        const spreadMs = history.wasObservedBy(this.node) ? trialSpreadOfObserverMs : trialSpreadOfObserverMs + holdMs;
        return history.computeHoldEnd(holdMs) + fraction * spreadMs;
    }

    private spreadFraction(fingerprint: string): number {
        return createHash("sha256").update(this.node + fingerprint).digest().readUInt32BE(0) / 2 ** 32;
    }
}

function evictOldest<Value>(map: Map<string, Value>, size: number): void {
    for (const key of map.keys()) {
        if (map.size <= size) {
            return;
        }
        map.delete(key);
    }
}
