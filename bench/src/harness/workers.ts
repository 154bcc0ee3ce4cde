/**
 * Requests to workers.
 */
import type { ChildProcess } from "node:child_process";
import type { CallRecord, LoadOptions } from "../load";
import { type WorkerReply, WorkerReplyKind, type WorkerRequest, WorkerRequestKind } from "./messages";

/** Calls of a run by all generators. */
export interface LoadRecords {
    readonly calls: readonly CallRecord[];
    /** 99th percentile of the generator that lagged most. */
    readonly lagP99Ms: number;
}

/** Sends a request and waits for the reply; a worker handles one request at a time. */
export function askWorker(worker: ChildProcess, request: WorkerRequest): Promise<WorkerReply> {
    return new Promise((resolve, reject) => {
        worker.once("message", reply => resolve(reply as WorkerReply));
        worker.send(request, error => {
            if (error instanceof Error) {
                reject(error);
            }
        });
    });
}

/** Runs a load that is divided evenly between generators, each with a seed of its own. */
export async function runDividedLoad(
    workers: readonly ChildProcess[],
    createOptions: (share: number, index: number) => Omit<LoadOptions, "onCallEnd" | "clock">,
): Promise<LoadRecords> {
    const replies = await Promise.all(workers.map((worker, index) => askWorker(worker, {
        kind: WorkerRequestKind.Load,
        options: createOptions(1 / workers.length, index),
    })));
    const loaded = replies.filter(reply => reply.kind === WorkerReplyKind.Loaded);
    return {
        calls: loaded.flatMap(reply => reply.calls),
        lagP99Ms: Math.max(...loaded.map(reply => reply.lag.p99)),
    };
}
