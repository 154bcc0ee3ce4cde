/**
 * Sends inner calls: calls that a running call makes to other services through the node of its host.
 */
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, parseInteger } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";

/** Header with the path of an inner call, or a comma-separated chain of paths in which each target calls the next. */
export const innerCallHeader = "x-standin-inner";

export interface InnerCallResult {
    /** HTTP status; 0 if no complete response was received. */
    readonly status: number;
    /** Value of the outcome header. */
    readonly outcome: string | undefined;
}

export interface InnerCallRequest {
    /** Value of `innerCallHeader`. */
    readonly paths: string;
    /** Request of the outer call. */
    readonly outer: IncomingMessage;
    /** Remaining time of the outer call; `undefined` without a deadline. */
    readonly remainingMs: Milliseconds | undefined;
    onDone(result: InnerCallResult): void;
}

/** Characters that Node.js accepts in a request line. */
const pathPattern = /^\/[\x21-\x7e]*$/;
const maxDepth = 1_000;
const maxConnections = 256;

export class InnerCalls {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: maxConnections });

    constructor(private readonly nodeAddress: string, private readonly scheduler: SchedulerLike) {}

    /** Starts a call. Returns a function that cancels it; `onDone` is then not called. */
    start(call: InnerCallRequest): () => void {
        const [path = "", ...remainingPaths] = call.paths.split(",");
        if (!pathPattern.test(path)) {
            // Reported asynchronously, like every other result.
            queueMicrotask(() => call.onDone({ status: 0, outcome: undefined }));
            return () => undefined;
        }
        const request = sendRequest(`http://${this.nodeAddress}`, {
            agent: this.agent,
            path,
            headers: createInnerHeaders(call, remainingPaths.join(",")),
        });
        let ended = false;
        const finish = (result: InnerCallResult): void => {
            timer?.unsubscribe();
            if (!ended) {
                ended = true;
                call.onDone(result);
            }
        };
        const fail = (): void => finish({ status: 0, outcome: undefined });
        const timer = call.remainingMs === undefined
            ? undefined
            : this.scheduler.schedule(() => request.destroy(new Error("timed out")), call.remainingMs);
        request.on("error", fail);
        request.on("response", response => {
            const outcome = response.headers[CallHeader.Outcome];
            response.resume();
            response.on("error", fail);
            response.on("end", () => finish({ status: response.statusCode ?? 0, outcome: outcome?.toString() }));
        });
        request.end();
        return () => {
            ended = true;
            timer?.unsubscribe();
            request.destroy();
        };
    }

    close(): void {
        this.agent.destroy();
    }
}

/** Omits the idempotency key, because the inner call is a different call from the outer one. */
function createInnerHeaders(call: InnerCallRequest, remainingPaths: string): Record<string, string> {
    const outer = call.outer.headers;
    const depth = parseInteger(outer[CallHeader.Depth]?.toString(), { minimum: 0, maximum: maxDepth }) ?? 0;
    const headers: Record<string, string | undefined> = {
        [CallHeader.Depth]: String(depth + 1),
        [CallHeader.Attempt]: outer[CallHeader.Attempt]?.toString(),
        [CallHeader.Tenant]: outer[CallHeader.Tenant]?.toString(),
        [CallHeader.Timeout]: call.remainingMs === undefined ? undefined : String(Math.floor(call.remainingMs)),
        [innerCallHeader]: remainingPaths === "" ? undefined : remainingPaths,
    };
    const definedHeaders = Object.entries(headers).filter((entry): entry is [string, string] => entry[1] !== undefined);
    return Object.fromEntries(definedHeaders);
}
