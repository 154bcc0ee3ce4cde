/**
 * IPC messages between the benchmark and its workers.
 */
import type { BaselineOptions } from "../baseline";
import type { CallRecord, LatencySummary, LoadOptions } from "../load";

export enum WorkerRequestKind {
    Load = "load",
    Baseline = "baseline",
    CloseBaseline = "close baseline",
}

/** The worker sends one reply to each request. */
export type WorkerRequest =
    | { readonly kind: WorkerRequestKind.Load; readonly options: Omit<LoadOptions, "onCallEnd" | "clock"> }
    | { readonly kind: WorkerRequestKind.Baseline; readonly options: BaselineOptions }
    | { readonly kind: WorkerRequestKind.CloseBaseline };

export enum WorkerReplyKind {
    Loaded = "loaded",
    Listening = "listening",
    Closed = "closed",
}

export type WorkerReply =
    | { readonly kind: WorkerReplyKind.Loaded; readonly calls: readonly CallRecord[]; readonly lag: LatencySummary }
    | { readonly kind: WorkerReplyKind.Listening; readonly address: string }
    | { readonly kind: WorkerReplyKind.Closed };
