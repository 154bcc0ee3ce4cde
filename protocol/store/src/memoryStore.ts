/**
 * In-memory platform store with fault injection. Timers run on an injected scheduler, so that tests use virtual time.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { asyncScheduler, type SchedulerLike } from "rxjs";
import { FaultState, type StoreCallCounts, StoreCallKind, type StoreFault, type StoreFaultControl } from "./faults";
import {
    getConditionRevision,
    maxWatchWaitMs,
    validateValue,
    validateKey,
    validatePrefix,
    validateRevision,
} from "./objects";
import { createUnavailableOutcome } from "./outcomes";
import {
    type ListOutcome,
    type ReadOutcome,
    type Store,
    type StoredObject,
    StoreOutcomeKind,
    type UnavailableOutcome,
    type WatchOutcome,
    type WatchRequest,
    type WriteCondition,
    type WriteOutcome,
} from "./types";

export interface MemoryStoreOptions {
    /** Schedules delays and watch timeouts; real timers by default. */
    readonly scheduler?: SchedulerLike;
    /** Prefix of all revisions. A restarted store needs a new prefix, so that revisions are never reused. */
    readonly revisionPrefix?: string;
}

interface WaitingWatch {
    readonly key: string;
    readonly finish: (outcome: WatchOutcome) => void;
}

export class MemoryStore implements Store, StoreFaultControl {
    private readonly scheduler: SchedulerLike;
    private readonly revisionPrefix: string;
    private readonly objects = new Map<string, StoredObject>();
    private readonly watches = new Set<WaitingWatch>();
    private readonly faults = new FaultState();
    private readonly calls = createCallCounters();
    private lastRevision = 0;
    private refused = 0;
    private committed = 0;
    private delayed = 0;

    constructor(options: MemoryStoreOptions = {}) {
        this.scheduler = options.scheduler ?? asyncScheduler;
        this.revisionPrefix = options.revisionPrefix ?? "r";
    }

    async read(key: string): Promise<ReadOutcome> {
        const refusal = await this.admit(StoreCallKind.Read) ?? validateKey(key);
        if (refusal !== undefined) {
            return refusal;
        }
        const object = this.objects.get(key);
        return object === undefined ? { kind: StoreOutcomeKind.Absent } : { kind: StoreOutcomeKind.Done, object };
    }

    async list(prefix: string): Promise<ListOutcome> {
        const refusal = await this.admit(StoreCallKind.List) ?? validatePrefix(prefix);
        if (refusal !== undefined) {
            return refusal;
        }
        const objects = [...this.objects.values()]
            .filter(object => object.key.startsWith(prefix))
            .map(({ key, revision }) => ({ key, revision }))
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        return { kind: StoreOutcomeKind.Done, objects };
    }

    async write(key: string, value: string, condition: WriteCondition): Promise<WriteOutcome> {
        const refusal = await this.admit(StoreCallKind.Write)
            ?? validateKey(key)
            ?? validateRevision(getConditionRevision(condition))
            ?? validateValue(value);
        return refusal ?? this.commit(() => this.putObject(key, value, condition));
    }

    async remove(key: string, revision: string): Promise<WriteOutcome> {
        const refusal = await this.admit(StoreCallKind.Remove)
            ?? validateKey(key)
            ?? validateRevision(revision);
        return refusal ?? this.commit(() => this.deleteObject(key, revision));
    }

    async watch(request: WatchRequest): Promise<WatchOutcome> {
        const refusal = await this.admit(StoreCallKind.Watch)
            ?? validateKey(request.key)
            ?? validateRevision(request.after);
        if (refusal !== undefined) {
            return refusal;
        }
        const object = this.objects.get(request.key);
        if (object !== undefined && object.revision !== request.after) {
            return { kind: StoreOutcomeKind.Done, object };
        }
        return request.signal?.aborted === true ? { kind: StoreOutcomeKind.Unchanged } : this.waitForChange(request);
    }

    inject(fault: StoreFault): void {
        this.faults.apply(fault);
        if (this.faults.isDown) {
            for (const watch of [...this.watches]) {
                watch.finish(this.refuseCall());
            }
        }
    }

    counts(): StoreCallCounts {
        return {
            calls: { ...this.calls },
            refused: this.refused,
            committed: this.committed,
            delayed: this.delayed,
            waitingWatches: this.watches.size,
        };
    }

    /** Counts a call and applies the delay and outage faults, which act before the call takes effect. */
    private async admit(kind: StoreCallKind): Promise<UnavailableOutcome | undefined> {
        this.calls[kind]++;
        if (!this.faults.isDown && this.faults.delayMs > 0) {
            this.delayed++;
            await this.sleep(this.faults.delayMs);
            this.delayed--;
        }
        return this.faults.isDown ? this.refuseCall() : undefined;
    }

    private refuseCall(): UnavailableOutcome {
        this.refused++;
        return createUnavailableOutcome("the store is down");
    }

    private sleep(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            this.scheduler.schedule(() => resolve(), duration);
        });
    }

    private commit(apply: () => WriteOutcome): WriteOutcome {
        if (this.faults.consumeLostRequest()) {
            return { kind: StoreOutcomeKind.Unknown, reason: "the request was lost" };
        }
        const outcome = apply();
        if (outcome.kind !== StoreOutcomeKind.Done) {
            return outcome;
        }
        this.committed++;
        return this.faults.consumeLostResponse()
            ? { kind: StoreOutcomeKind.Unknown, reason: "the response was lost" }
            : outcome;
    }

    private putObject(key: string, value: string, condition: WriteCondition): WriteOutcome {
        if (this.objects.get(key)?.revision !== getConditionRevision(condition)) {
            return { kind: StoreOutcomeKind.Conflict };
        }
        const object = { key, revision: this.allocateRevision(), value };
        this.objects.set(key, object);
        for (const watch of [...this.watches].filter(waiting => waiting.key === key)) {
            watch.finish({ kind: StoreOutcomeKind.Done, object });
        }
        return { kind: StoreOutcomeKind.Done, revision: object.revision };
    }

    private deleteObject(key: string, revision: string): WriteOutcome {
        if (this.objects.get(key)?.revision !== revision) {
            return { kind: StoreOutcomeKind.Conflict };
        }
        this.objects.delete(key);
        return { kind: StoreOutcomeKind.Done, revision: this.allocateRevision() };
    }

    /** All keys share one counter, so that a recreated object never gets a revision that it had before. */
    private allocateRevision(): string {
        this.lastRevision++;
        return `${this.revisionPrefix}${this.lastRevision}`;
    }

    private waitForChange(request: WatchRequest): Promise<WatchOutcome> {
        return new Promise(resolve => {
            const end = (): void => watch.finish({ kind: StoreOutcomeKind.Unchanged });
            const timer = this.scheduler.schedule(end, Math.min(request.waitMs, maxWatchWaitMs));
            const watch: WaitingWatch = {
                key: request.key,
                finish: outcome => {
                    timer.unsubscribe();
                    request.signal?.removeEventListener("abort", end);
                    this.watches.delete(watch);
                    resolve(outcome);
                },
            };
            this.watches.add(watch);
            request.signal?.addEventListener("abort", end);
        });
    }
}

function createCallCounters(): Record<StoreCallKind, number> {
    return {
        [StoreCallKind.Read]: 0,
        [StoreCallKind.List]: 0,
        [StoreCallKind.Write]: 0,
        [StoreCallKind.Remove]: 0,
        [StoreCallKind.Watch]: 0,
    };
}
