/**
 * Decides whether a request may be sent, from the crashes and completions of calls with the same fingerprint on all
 * nodes. A request that crashes its targets never completes; any other one does, and is then cleared everywhere.
 */
import { createHash } from "node:crypto";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { computeFingerprint, type RequestIdentity } from "./fingerprint";
import { firstHoldMs, maxHoldMs, reportLifetimeMs, Suspect } from "./suspect";
import {
    type CrashReport,
    type QuarantineDecision,
    QuarantineDecisionKind,
    type QuarantineReport,
    QuarantineReportKind,
    type TargetCrash,
} from "./types";

/** What `Quarantine` is created from. */
export interface QuarantineOptions {
    /** Identifier of this node. */
    readonly node: string;
    readonly clock: Clock;
}

/** Fingerprints with crashes that are held at most. */
export const maxFingerprints = 1_024;
/** Reports in one exchange. At about 250 bytes each and one exchange a second they stay under 4 KB/s. */
export const maxSharedReports = 16;

// Recently completed fingerprints that are remembered. Frequent ones are renewed and stay.
const maxCompleted = 1_024;
const completedLifetimeMs: Milliseconds = 10 * 60_000;
// First hold of a fingerprint that completed shortly before. A failed trial puts it on the usual holds.
const firstHoldAfterCompletionMs: Milliseconds = 1_000;
const trialSpreadAfterCompletionMs: Milliseconds = 2_000;
// Time for reports to reach every node; a trial that ends within it is known before most nodes would start theirs.
const trialSpreadOfWitnessMs: Milliseconds = 3_000;
// A trial call that was never sent, or whose end was not reported, must not block the next one for longer.
const trialTimeoutMs: Milliseconds = 30_000;
// Reports are passed on for this long after a node learned of them, which reaches all nodes by gossip.
const shareMs: Milliseconds = 10_000;
const maxQueuedReports = 512;

const allowed: QuarantineDecision = { kind: QuarantineDecisionKind.Allowed };

interface QueuedReport {
    readonly report: QuarantineReport;
    readonly until: Milliseconds;
}

/** Quarantine of one node. */
export class Quarantine {
    private readonly node: string;
    private readonly clock: Clock;
    private readonly suspects = new Map<string, Suspect>();
    /** Wall time of the last completion by fingerprint, the most recent last. */
    private readonly completions = new Map<string, Milliseconds>();
    private queue: QueuedReport[] = [];

    constructor(options: QuarantineOptions) {
        this.node = options.node;
        this.clock = options.clock;
    }

    /** Digest by which calls with the same request are recognized. */
    fingerprint(request: RequestIdentity): string {
        return computeFingerprint(request);
    }

    /** Decides whether a call may be sent now. After `Trial` the call must be sent. */
    check(fingerprint: string): QuarantineDecision {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || suspect.expire(this.clock.wallTime()) || suspect.crashesInARow === 0) {
            return allowed;
        }
        const now = this.clock.now();
        const heldUntil = this.heldUntil(fingerprint, suspect);
        const trialUntil = (suspect.trialStartedAt ?? -Infinity) + trialTimeoutMs;
        if (now < Math.max(heldUntil, trialUntil)) {
            return { kind: QuarantineDecisionKind.Held, retryAfterMs: Math.max(heldUntil, trialUntil) - now };
        }
        suspect.trialStartedAt = now;
        return { kind: QuarantineDecisionKind.Trial };
    }

    /** Takes in the crash of a target with the calls that this node had in flight on it. */
    targetCrashed({ target, inFlight, at }: TargetCrash): void {
        for (const { fingerprint, ageMs } of inFlight) {
            const startedAt = at - ageMs;
            const kind = QuarantineReportKind.Crash;
            this.learn({ kind, fingerprint, target, at, startedAt, node: this.node });
        }
    }

    /** Takes in a target's complete response to a call. */
    completed(fingerprint: string): void {
        this.completions.delete(fingerprint);
        this.completions.set(fingerprint, this.clock.wallTime());
        dropOldest(this.completions, maxCompleted);
        if (this.suspects.get(fingerprint)?.hasCrashes === true) {
            this.learn({ kind: QuarantineReportKind.Completion, fingerprint, at: this.clock.wallTime() });
        }
    }

    /** Reports for the next exchange, newest first. */
    reportsToShare(): readonly QuarantineReport[] {
        const now = this.clock.now();
        this.queue = this.queue.filter(queued => queued.until > now);
        return this.queue.slice(-maxSharedReports).reverse().map(queued => queued.report);
    }

    /** Takes in reports of other nodes. */
    mergeReports(reports: readonly QuarantineReport[]): void {
        const oldest = this.clock.wallTime() - reportLifetimeMs;
        reports.filter(report => report.at > oldest).forEach(report => this.learn(report));
    }

    private learn(report: QuarantineReport): void {
        if (this.apply(report)) {
            this.queue.push({ report, until: this.clock.now() + shareMs });
            this.queue = this.queue.slice(-maxQueuedReports);
        }
    }

    private apply(report: QuarantineReport): boolean {
        const suspect = this.suspects.get(report.fingerprint) ?? this.addSuspect(report.fingerprint);
        switch (report.kind) {
            case QuarantineReportKind.Crash: {
                if (!suspect.hasCrashes) {
                    suspect.completedBefore = this.completedLately(report.fingerprint);
                }
                const added = suspect.addCrash(report, this.clock.now(), this.clock.wallTime());
                this.reportCompletionAfter(report);
                return added;
            }
            case QuarantineReportKind.Completion:
                return suspect.complete(report.at);
            default:
                return assertNever(report);
        }
    }

    /** Clears a fingerprint whose call had completed on this node before the report of the crash arrived. */
    private reportCompletionAfter(crash: CrashReport): void {
        const at = this.completions.get(crash.fingerprint) ?? -Infinity;
        if (at > crash.at) {
            this.learn({ kind: QuarantineReportKind.Completion, fingerprint: crash.fingerprint, at });
        }
    }

    private completedLately(fingerprint: string): boolean {
        return this.clock.wallTime() - (this.completions.get(fingerprint) ?? -Infinity) < completedLifetimeMs;
    }

    private addSuspect(fingerprint: string): Suspect {
        const suspect = new Suspect();
        if (this.suspects.size >= maxFingerprints) {
            this.dropSuspects();
        }
        this.suspects.set(fingerprint, suspect);
        return suspect;
    }

    /** Makes room for one more: first what is forgotten anyway, then those not heard of for the longest time. */
    private dropSuspects(): void {
        const wallTime = this.clock.wallTime();
        for (const [fingerprint, suspect] of this.suspects) {
            if (suspect.expire(wallTime)) {
                this.suspects.delete(fingerprint);
            }
        }
        const oldestFirst = [...this.suspects].sort(([, left], [, right]) => left.newestAt - right.newestAt);
        oldestFirst.slice(0, Math.max(0, this.suspects.size + 1 - maxFingerprints))
            .forEach(([fingerprint]) => this.suspects.delete(fingerprint));
    }

    /**
     * End of the hold on this node. Nodes end it at different times, those that saw a crash first: if all of them
     * tried at once, a harmful request would crash a target for each.
     */
    private heldUntil(fingerprint: string, suspect: Suspect): Milliseconds {
        const repeats = suspect.crashesInARow - 2;
        const fraction = this.spreadFraction(fingerprint);
        if (repeats === 0 && suspect.completedBefore) {
            return suspect.heldUntil(firstHoldAfterCompletionMs) + fraction * trialSpreadAfterCompletionMs;
        }
        const hold = Math.min(firstHoldMs * 2 ** repeats, maxHoldMs);
        const spread = suspect.wasSeenBy(this.node) ? trialSpreadOfWitnessMs : trialSpreadOfWitnessMs + hold;
        return suspect.heldUntil(hold) + fraction * spread;
    }

    private spreadFraction(fingerprint: string): number {
        return createHash("sha256").update(this.node + fingerprint).digest().readUInt32BE(0) / 2 ** 32;
    }
}

function dropOldest<Value>(map: Map<string, Value>, size: number): void {
    for (const key of map.keys()) {
        if (map.size <= size) {
            return;
        }
        map.delete(key);
    }
}
