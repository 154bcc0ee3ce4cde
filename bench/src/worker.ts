/**
 * Benchmark worker: runs a load generator or a baseline proxy in a separate process. Exits when the IPC channel closes.
 */
import { type BaselineProxy, startBaselineProxy } from "./baseline";
import { type WorkerReply, WorkerReplyKind, type WorkerRequest, WorkerRequestKind } from "./harness/messages";
import { type CallRecord, runLoad } from "./load";

let proxy: BaselineProxy | undefined;

async function handleRequest(request: WorkerRequest): Promise<WorkerReply> {
    if (request.kind === WorkerRequestKind.Baseline) {
        proxy = await startBaselineProxy(request.options);
        return { kind: WorkerReplyKind.Listening, address: proxy.address };
    }
    if (request.kind === WorkerRequestKind.CloseBaseline) {
        await proxy?.close();
        return { kind: WorkerReplyKind.Closed };
    }
    const calls: CallRecord[] = [];
    const result = await runLoad({ ...request.options, onCallEnd: call => calls.push(call) });
    return { kind: WorkerReplyKind.Loaded, calls, lag: result.lag };
}

process.on("message", (request: WorkerRequest) => {
    void handleRequest(request).then(reply => process.send?.(reply));
});
process.on("disconnect", () => process.exit(0));
// The terminal sends SIGINT to the whole process group, but the benchmark terminates its workers itself.
process.on("SIGINT", () => undefined);
