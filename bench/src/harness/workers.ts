/**
 * Client side of the benchmark workers.
 */
import type { ChildProcess } from "node:child_process";
import type { CallRecord, LoadOptions } from "../load";
import { type WorkerReply, WorkerReplyKind, type WorkerRequest, WorkerRequestKind } from "./messages";

/** Calls of one run, collected from all load generators. */
export interface LoadRecords {
    readonly calls: readonly CallRecord[];
    /** Highest 99th percentile of the send lag among the generators. */
    readonly lagP99Ms: number;
}

/** Resolves with the worker's reply. Replies carry no id, so a worker must have at most one request in flight. */
export function sendWorkerRequest(worker: ChildProcess, request: WorkerRequest): Promise<WorkerReply> {
    return new Promise((resolve, reject) => {
        worker.once("message", reply => resolve(reply as WorkerReply));
        worker.send(request, error => {
            if (error instanceof Error) {
                reject(error);
            }
        });
    });
}

/** Divides a load evenly between the generators. `createOptions` gives each generator its share and its own seed. */
export async function runDividedLoad(
    workers: readonly ChildProcess[],
    createOptions: (share: number, index: number) => Omit<LoadOptions, "onCallEnd" | "clock">,
): Promise<LoadRecords> {
    const replies = await Promise.all(workers.map((worker, index) => sendWorkerRequest(worker, {
        kind: WorkerRequestKind.Load,
        options: createOptions(1 / workers.length, index),
    })));
    const loadReplies = replies.filter(reply => reply.kind === WorkerReplyKind.Loaded);
    return {
        calls: loadReplies.flatMap(reply => reply.calls),
        lagP99Ms: Math.max(...loadReplies.map(reply => reply.lag.p99)),
    };
}
