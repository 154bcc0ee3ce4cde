/**
 * Attempts that this node has made: all those in progress, and the outcomes of the most recently closed ones, which
 * other nodes can query.
 */
import type { Clock } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { Claim } from "./shard";
import { type AttemptOutcome, AttemptOutcomeKind } from "./types";

// At most 4 MB with bodies of 4 KiB. The outcomes of older attempts are in the store.
const maxClosedAttempts = 1_024;

/** An attempt whose outcome the store does not hold yet. */
export interface LocalAttempt {
    readonly attempt: string;
    readonly key: string;
    readonly fingerprint: string;
    /** Call that created the attempt. */
    readonly callId: string;
    outcome: AttemptOutcome;
    /** Further calls with the same key that wait for the outcome. */
    readonly joinedCallIds: string[];
}

export class LocalAttempts {
    private readonly prefix: string;
    private readonly inProgress = new Map<string, LocalAttempt>();
    private readonly byKey = new Map<string, LocalAttempt>();
    private readonly closed = new Map<string, AttemptOutcome>();
    private createdCount = 0;

    constructor(options: { readonly node: string; readonly clock: Clock; readonly random: Random }) {
        // The start time and a random number distinguish two runs of a process with the same name. An attempt of an
        // earlier run must not be treated as an orphan of this run.
        const start = options.clock.wallTime().toString(36);
        const salt = options.random.nextInteger(2 ** 31).toString(36);
        this.prefix = `${options.node}/${start}-${salt}/`;
    }

    /** Creates an attempt for a key that has none in progress. */
    create(call: Pick<LocalAttempt, "key" | "fingerprint" | "callId">): LocalAttempt {
        this.createdCount++;
        const attempt = `${this.prefix}${this.createdCount}`;
        const localAttempt: LocalAttempt = {
            ...call,
            attempt,
            outcome: { kind: AttemptOutcomeKind.Running },
            joinedCallIds: [],
        };
        this.inProgress.set(attempt, localAttempt);
        this.byKey.set(call.key, localAttempt);
        return localAttempt;
    }

    /** Returns the attempt in progress that holds the key. */
    findByKey(key: string): LocalAttempt | undefined {
        return this.byKey.get(key);
    }

    /** Returns the attempt if it is in progress. */
    find(attempt: string): LocalAttempt | undefined {
        return this.inProgress.get(attempt);
    }

    /** Closes an attempt that was never sent or whose outcome is in the store. */
    close(localAttempt: LocalAttempt): void {
        this.inProgress.delete(localAttempt.attempt);
        this.byKey.delete(localAttempt.key);
        this.closed.set(localAttempt.attempt, localAttempt.outcome);
        for (const oldest of this.closed.keys()) {
            if (this.closed.size <= maxClosedAttempts) {
                break;
            }
            this.closed.delete(oldest);
        }
    }

    getOutcome(attempt: string): AttemptOutcome {
        return this.inProgress.get(attempt)?.outcome
            ?? this.closed.get(attempt)
            ?? { kind: AttemptOutcomeKind.NotOwned };
    }

    /** Whether the claim was made by the current run of this node. */
    isLocal(claim: Claim): boolean {
        return claim.attempt.startsWith(this.prefix);
    }

    /** Whether the claim was made by the current run of this node and has no attempt in progress. */
    isOrphan(claim: Claim): boolean {
        return this.isLocal(claim) && !this.inProgress.has(claim.attempt);
    }
}
