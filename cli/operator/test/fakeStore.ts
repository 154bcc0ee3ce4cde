/** An in-memory store whose calls a test can fail or interleave with other calls. */
import {
    type ListOutcome,
    type ReadOutcome,
    type Store,
    StoreOutcomeKind,
    type WatchOutcome,
    type WriteCondition,
    WriteConditionKind,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";

export enum Fault {
    Down = "down",
    /** The write is lost before it reaches the store; the outcome is unknown to the caller. */
    LostRequest = "lost request",
    /** The write takes effect, but its response is lost; the outcome is unknown to the caller. */
    LostResponse = "lost response",
}

export type Call = `${"read" | "write" | "list"} ${string}`;

export class FakeStore implements Store {
    readonly objects = new Map<string, { readonly revision: string; readonly value: string }>();
    readonly calls: Call[] = [];
    /** Runs before each call and may fail it. */
    onCall: (call: Call) => Fault | undefined | Promise<Fault | undefined> = () => undefined;
    private lastRevision = 0;

    async read(key: string): Promise<ReadOutcome> {
        if (await this.recordCall(`read ${key}`) !== undefined) {
            return { kind: StoreOutcomeKind.Unavailable, reason: "down" };
        }
        const object = this.objects.get(key);
        return object === undefined
            ? { kind: StoreOutcomeKind.Absent }
            : { kind: StoreOutcomeKind.Done, object: { key, ...object } };
    }

    async list(prefix: string): Promise<ListOutcome> {
        if (await this.recordCall(`list ${prefix}`) !== undefined) {
            return { kind: StoreOutcomeKind.Unavailable, reason: "down" };
        }
        const keys = [...this.objects.keys()].filter(key => key.startsWith(prefix));
        return { kind: StoreOutcomeKind.Done, objects: keys.map(key => ({ key, revision: "" })) };
    }

    async write(key: string, value: string, condition: WriteCondition): Promise<WriteOutcome> {
        const fault = await this.recordCall(`write ${key}`);
        if (fault === Fault.Down) {
            return { kind: StoreOutcomeKind.Unavailable, reason: "down" };
        }
        if (fault === Fault.LostRequest) {
            return { kind: StoreOutcomeKind.Unknown, reason: "timeout" };
        }
        const expected = condition.kind === WriteConditionKind.Revision ? condition.revision : undefined;
        const isConditionMet = this.objects.get(key)?.revision === expected;
        const revision = String(++this.lastRevision);
        if (isConditionMet) {
            this.objects.set(key, { revision, value });
        }
        if (fault === Fault.LostResponse) {
            return { kind: StoreOutcomeKind.Unknown, reason: "timeout" };
        }
        return isConditionMet ? { kind: StoreOutcomeKind.Done, revision } : { kind: StoreOutcomeKind.Conflict };
    }

    remove(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    watch(): Promise<WatchOutcome> {
        throw new Error("not used");
    }

    private async recordCall(call: Call): Promise<Fault | undefined> {
        this.calls.push(call);
        return await this.onCall(call);
    }
}
