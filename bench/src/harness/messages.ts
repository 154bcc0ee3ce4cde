/**
 * Messages between the bench and its workers.
 */
import type { BaselineOptions } from "../baseline";
import type { CallRecord, LatencySummary, LoadOptions } from "../load";

/** Kinds of `WorkerRequest`. */
export enum WorkerRequestKind {
    Load = "load",
    Baseline = "baseline",
    CloseBaseline = "close baseline",
}

/** What a worker is asked to do. */
export type WorkerRequest =
    | { readonly kind: WorkerRequestKind.Load; readonly options: Omit<LoadOptions, "onCallEnd" | "clock"> }
    | { readonly kind: WorkerRequestKind.Baseline; readonly options: BaselineOptions }
    | { readonly kind: WorkerRequestKind.CloseBaseline };

/** Kinds of `WorkerReply`. */
export enum WorkerReplyKind {
    Loaded = "loaded",
    Listening = "listening",
    Closed = "closed",
}

/** What a worker replies. */
export type WorkerReply =
    | { readonly kind: WorkerReplyKind.Loaded; readonly calls: readonly CallRecord[]; readonly lag: LatencySummary }
    | { readonly kind: WorkerReplyKind.Listening; readonly address: string }
    | { readonly kind: WorkerReplyKind.Closed };
