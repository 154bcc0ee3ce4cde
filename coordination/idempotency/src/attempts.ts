/**
 * What a node knows of its own attempts: those in progress, and the latest of those that are over, for nodes that ask.
 */
import type { Clock } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { Claim } from "./shard";
import { type OwnedOutcome, OwnedOutcomeKind } from "./types";

// With bodies of 4 KiB this is 4 MB at most. A node that asks for an older attempt finds its outcome in the store.
const keptAttempts = 1_024;

/** An attempt whose outcome the store does not hold yet. */
export interface OwnAttempt {
    readonly attempt: string;
    readonly key: string;
    readonly fingerprint: string;
    /** Call that made the claim. */
    readonly callId: string;
    outcome: OwnedOutcome;
    /** Further calls under the same key, which wait for the outcome. */
    readonly joined: string[];
}

/** Attempts of one node. */
export class OwnAttempts {
    private readonly prefix: string;
    private readonly inProgress = new Map<string, OwnAttempt>();
    private readonly byKey = new Map<string, OwnAttempt>();
    private readonly over = new Map<string, OwnedOutcome>();
    private created = 0;

    constructor(options: { readonly node: string; readonly clock: Clock; readonly random: Random }) {
        // Start time and a random number tell two runs of a process apart even if both were given the same name: an
        // attempt of an earlier run must never be taken for an orphan of this one.
        const start = options.clock.wallTime().toString(36);
        const salt = options.random.nextInteger(2 ** 31).toString(36);
        this.prefix = `${options.node}/${start}-${salt}/`;
    }

    /** Creates an attempt for a key that has none in progress. */
    create(call: Pick<OwnAttempt, "key" | "fingerprint" | "callId">): OwnAttempt {
        this.created++;
        const attempt = `${this.prefix}${this.created}`;
        const own: OwnAttempt = { ...call, attempt, outcome: { kind: OwnedOutcomeKind.Running }, joined: [] };
        this.inProgress.set(attempt, own);
        this.byKey.set(call.key, own);
        return own;
    }

    /** The attempt of this node that holds a key. */
    findByKey(key: string): OwnAttempt | undefined {
        return this.byKey.get(key);
    }

    /** An attempt in progress. */
    find(attempt: string): OwnAttempt | undefined {
        return this.inProgress.get(attempt);
    }

    /** Ends an attempt: it was never sent, or the store holds its outcome. */
    close(own: OwnAttempt): void {
        this.inProgress.delete(own.attempt);
        this.byKey.delete(own.key);
        this.over.set(own.attempt, own.outcome);
        for (const oldest of this.over.keys()) {
            if (this.over.size <= keptAttempts) {
                break;
            }
            this.over.delete(oldest);
        }
    }

    /** What is known of an attempt. */
    outcomeOf(attempt: string): OwnedOutcome {
        return this.inProgress.get(attempt)?.outcome ?? this.over.get(attempt) ?? { kind: OwnedOutcomeKind.NotOwned };
    }

    /** Whether a claim is of this run of this node. */
    isOwn(claim: Claim): boolean {
        return claim.attempt.startsWith(this.prefix);
    }

    /** Whether a claim is of this run of this node and has no attempt in progress. */
    isOrphan(claim: Claim): boolean {
        return this.isOwn(claim) && !this.inProgress.has(claim.attempt);
    }
}
