/**
 * In-memory collection of objects, for tests of what writes to a collection.
 */
import {
    type CollectionChange,
    type CollectionObject,
    CollectionOutcomeKind,
    type CollectionRead,
    type CollectionWatch,
    type CollectionWatchRequest,
    type CollectionWrite,
    type ObjectCollection,
} from "./collections";
import { createUnavailableOutcome } from "./outcomes";
import { StoreOutcomeKind } from "./types";

/** What happens to the next calls. */
export enum CollectionFault {
    None = "none",
    /** Nothing is done. */
    Unavailable = "unavailable",
    /** Writes are done, and their response is lost. */
    LostResponse = "lost-response",
}

interface Change extends CollectionChange {
    readonly revision: number;
}

export class MemoryCollection implements ObjectCollection {
    fault = CollectionFault.None;
    /** Number of calls by method. */
    readonly calls: Record<string, number> = {};
    private readonly objects = new Map<string, CollectionObject>();
    private changes: Change[] = [];
    private revision = 1;
    private readonly waiting = new Set<() => void>();

    get(name: string): CollectionObject | undefined {
        return this.objects.get(name);
    }

    /** Writes an object unconditionally and keeps its status, as an operator does. */
    put(name: string, value: unknown): void {
        this.apply({ ...this.objects.get(name), name, revision: ++this.revision, value });
    }

    read(): Promise<CollectionRead> {
        this.count("read");
        return Promise.resolve(this.fault === CollectionFault.Unavailable
            ? createUnavailableOutcome("store unavailable")
            : { kind: StoreOutcomeKind.Done, objects: [...this.objects.values()], revision: this.revision });
    }

    async watch({ after, waitMs, signal }: CollectionWatchRequest): Promise<CollectionWatch> {
        this.count("watch");
        if (this.fault === CollectionFault.Unavailable) {
            return createUnavailableOutcome("store unavailable");
        }
        if (after > this.revision) {
            return { kind: CollectionOutcomeKind.HistoryGone };
        }
        if (!this.changes.some(({ revision }) => revision > after)) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(finish, waitMs);
                const { waiting } = this;
                function finish(): void {
                    clearTimeout(timer);
                    waiting.delete(finish);
                    resolve();
                }
                waiting.add(finish);
                signal?.addEventListener("abort", finish);
            });
        }
        return {
            kind: StoreOutcomeKind.Done,
            changes: this.changes.filter(({ revision }) => revision > after),
            revision: this.revision,
        };
    }

    create(name: string, value: unknown): Promise<CollectionWrite> {
        const existing = this.objects.get(name);
        return this.write("create", () => existing === undefined
            ? this.apply({ name, revision: ++this.revision, value })
            : { kind: StoreOutcomeKind.Conflict, object: existing });
    }

    replace(name: string, value: unknown, revision: number): Promise<CollectionWrite> {
        return this.change("replace", name, revision, existing => ({ ...existing, value }));
    }

    replaceStatus(name: string, status: unknown, revision: number): Promise<CollectionWrite> {
        return this.change("replaceStatus", name, revision, existing => ({ ...existing, status }));
    }

    remove(name: string, revision: number): Promise<CollectionWrite> {
        return this.write("remove", () => {
            const existing = this.objects.get(name);
            if (existing?.revision !== revision) {
                return existing === undefined
                    ? { kind: StoreOutcomeKind.Absent }
                    : { kind: StoreOutcomeKind.Conflict, object: existing };
            }
            this.objects.delete(name);
            this.emit({ object: existing, isRemoved: true, revision: ++this.revision });
            return { kind: StoreOutcomeKind.Done, revision: this.revision };
        });
    }

    private change(
        method: string,
        name: string,
        revision: number,
        modify: (existing: CollectionObject) => CollectionObject,
    ): Promise<CollectionWrite> {
        return this.write(method, () => {
            const existing = this.objects.get(name);
            if (existing === undefined) {
                return { kind: StoreOutcomeKind.Absent };
            }
            return existing.revision === revision
                ? this.apply({ ...modify(existing), revision: ++this.revision })
                : { kind: StoreOutcomeKind.Conflict, object: existing };
        });
    }

    private write(method: string, run: () => CollectionWrite): Promise<CollectionWrite> {
        this.count(method);
        if (this.fault === CollectionFault.Unavailable) {
            return Promise.resolve(createUnavailableOutcome("store unavailable"));
        }
        const outcome = run();
        return Promise.resolve(this.fault === CollectionFault.LostResponse
            ? { kind: StoreOutcomeKind.Unknown, reason: "no response" }
            : outcome);
    }

    private apply(object: CollectionObject): CollectionWrite {
        this.objects.set(object.name, object);
        this.emit({ object, isRemoved: false, revision: object.revision });
        return { kind: StoreOutcomeKind.Done, revision: object.revision };
    }

    private emit(change: Change): void {
        this.changes.push(change);
        [...this.waiting].forEach(finish => finish());
    }

    private count(method: string): void {
        this.calls[method] = (this.calls[method] ?? 0) + 1;
    }
}
