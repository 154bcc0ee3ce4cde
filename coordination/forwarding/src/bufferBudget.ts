/**
 * Limit of the memory that a process holds for its clients: connections, requests, bodies that arrive or are forwarded,
 * and responses. It answers the load of many large, unfinished or endless bodies at once, and of callers that do not
 * read, whose sum would exceed the memory of the process if each call had a limit of its own alone.
 *
 * When the sum exceeds the budget, the holder that has gone longest without progress is evicted. Progress is a rate: a
 * client earns time with the bytes that it sends or takes, and never more than up to the present.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** The part of a clock that the budget uses. */
export interface BudgetClock {
    now(): Milliseconds;
}

/** What holds memory and can give it up. */
export interface BufferHolder {
    /** Bytes that the client has taken so far, if the holder sends; one that receives reports its progress itself. */
    countTaken?(): number;
    /** The holder is only evicted if its client is at least this late; 0 by default. */
    readonly minLagMs?: Milliseconds;
    /** Gives up the memory. The account has been closed. */
    evict(): void;
}

/** Bytes that one buffer holds. */
export interface BufferAccount {
    /** Replaces the number of bytes; 0 closes the account. */
    set(bytes: number): void;
    /** Records bytes that the client has sent. */
    recordProgress(bytes: number): void;
    /** From now on the holder is not evicted, because its request is being forwarded. */
    keep(): void;
}

/** A client at this rate is never late; 1 MiB takes 64 s. */
const minBytesPerSecond = 16_384;
const millisecondsPerSecond = 1_000;
/** Smaller holders are ordinary requests unless they have stopped. */
const smallBytes = 65_536;
/** An ordinary small request arrives within this time, also over a slow link. */
const maxSmallLagMs: Milliseconds = 1_000;
/** Responses have a smaller limit to fall back to, which applies from this share of the budget on. */
const scarceShare = 0.36;

/** Buffers of one process share a budget. */
export class BufferBudget {
    private usedBytes = 0;
    private evictableBytes = 0;
    private evictionCount = 0;
    private readonly evictable = new Set<Account>();

    /** Without a clock, holders that have stopped cannot be told from others, so small ones are not evicted. */
    constructor(private readonly totalBytes: number, private readonly clock: BudgetClock = { now: () => 0 }) {}

    /** Whether the budget is used up, even if everything that can be evicted is disregarded. */
    get isExhausted(): boolean {
        return this.usedBytes - this.evictableBytes >= this.totalBytes;
    }

    /** Whether responses keep to their smaller limit. */
    get isScarce(): boolean {
        return this.usedBytes >= scarceShare * this.totalBytes;
    }

    /** Bytes in use. */
    get used(): number {
        return this.usedBytes;
    }

    /** Number of holders evicted since the start. */
    get evictions(): number {
        return this.evictionCount;
    }

    /** Whether the bytes fit beside everything that cannot be evicted. */
    hasRoom(bytes: number): boolean {
        return this.usedBytes - this.evictableBytes + bytes <= this.totalBytes;
    }

    /** Opens an account for one buffer. Without a holder, its bytes cannot be evicted. */
    open(holder?: BufferHolder): BufferAccount {
        const now = this.clock.now();
        const account: Account = { holder, bytes: 0, paidUntil: now, countedTaken: holder?.countTaken?.() ?? 0 };
        return {
            set: bytes => this.set(account, bytes),
            recordProgress: bytes => this.recordProgress(account, bytes),
            keep: () => {
                this.setEvictable(account, false);
                account.holder = undefined;
            },
        };
    }

    private set(account: Account, bytes: number): void {
        const change = bytes - account.bytes;
        if (change === 0) {
            return;
        }
        this.usedBytes += change;
        if (this.evictable.has(account)) {
            this.evictableBytes += change;
        }
        account.bytes = bytes;
        this.setEvictable(account, bytes > 0 && account.holder !== undefined);
        if (change > 0) {
            this.makeRoom(account);
        }
    }

    private setEvictable(account: Account, isEvictable: boolean): void {
        if (isEvictable && !this.evictable.has(account)) {
            this.evictable.add(account);
            this.evictableBytes += account.bytes;
        }
        else if (!isEvictable && this.evictable.delete(account)) {
            this.evictableBytes -= account.bytes;
        }
    }

    /** Evicts until the budget fits; at last the holder that asked for more. */
    private makeRoom(asking: Account): void {
        while (this.usedBytes > this.totalBytes) {
            const mayRefuseAsking = this.evictable.has(asking) && asking.holder?.minLagMs === undefined;
            const victim = this.chooseVictim() ?? (mayRefuseAsking ? asking : undefined);
            if (victim === undefined) {
                return;
            }
            const { holder } = victim;
            this.set(victim, 0);
            victim.holder = undefined;
            this.evictionCount++;
            holder?.evict();
        }
    }

    /** The holder with the largest lag; an ordinary small request is not chosen. */
    private chooseVictim(): Account | undefined {
        let victim: Account | undefined;
        let victimLagMs = -1;
        for (const account of this.evictable) {
            const lagMs = this.computeLag(account);
            const minLagMs = account.bytes >= smallBytes ? account.holder?.minLagMs ?? 0 : maxSmallLagMs;
            if (lagMs > victimLagMs && lagMs >= minLagMs) {
                victim = account;
                victimLagMs = lagMs;
            }
        }
        return victim;
    }

    private computeLag(account: Account): Milliseconds {
        const taken = account.holder?.countTaken?.();
        if (taken !== undefined && taken > account.countedTaken) {
            this.recordProgress(account, taken - account.countedTaken);
            account.countedTaken = taken;
        }
        return this.clock.now() - account.paidUntil;
    }

    /** Never pays for the future: a client that sends a burst and then stops falls behind from then on. */
    private recordProgress(account: Account, bytes: number): void {
        const earnedMs = bytes * millisecondsPerSecond / minBytesPerSecond;
        account.paidUntil = Math.min(this.clock.now(), account.paidUntil + earnedMs);
    }
}

interface Account {
    holder: BufferHolder | undefined;
    bytes: number;
    /** Time up to which the client has earned its memory. */
    paidUntil: Milliseconds;
    countedTaken: number;
}
