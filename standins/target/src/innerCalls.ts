/**
 * Calls that a run makes to other services through the node of its own host.
 */
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, parseWholeNumber } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";

/** Header that asks for an inner call: its path, or several with commas, each one called by the target before it. */
export const innerCallHeader = "x-standin-inner";

/** What came of an inner call. */
export interface InnerCallResult {
    /** 0 when no complete response arrived. */
    readonly status: number;
    readonly outcome: string | undefined;
}

/** An inner call that a run waits for. */
export interface InnerCallRequest {
    readonly paths: string;
    /** The call that the run serves. */
    readonly outer: IncomingMessage;
    /** Time left for the outer call; `undefined` without a deadline. */
    readonly remainingMs: Milliseconds | undefined;
    done(result: InnerCallResult): void;
}

/** Characters that Node accepts in a request line. */
const pathPattern = /^\/[\x21-\x7e]*$/;
const maxDepth = 1_000;
const maxConnections = 256;

/** Client for inner calls. */
export class InnerCalls {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: maxConnections });

    constructor(private readonly nodeAddress: string, private readonly scheduler: SchedulerLike) {}

    /** Starts a call; the returned function cancels it. */
    start(call: InnerCallRequest): () => void {
        const [path = "", ...rest] = call.paths.split(",");
        if (!pathPattern.test(path)) {
            // Later than this function returns, as every other result.
            queueMicrotask(() => call.done({ status: 0, outcome: undefined }));
            return () => undefined;
        }
        const request = sendRequest(`http://${this.nodeAddress}`, {
            agent: this.agent,
            path,
            headers: createInnerHeaders(call, rest.join(",")),
        });
        let ended = false;
        const finish = (result: InnerCallResult): void => {
            timer?.unsubscribe();
            if (!ended) {
                ended = true;
                call.done(result);
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

/** The idempotency key is left out: the inner call is a different call than the outer one. */
function createInnerHeaders(call: InnerCallRequest, furtherPaths: string): Record<string, string> {
    const outer = call.outer.headers;
    const depth = parseWholeNumber(outer[CallHeader.Depth]?.toString(), { minimum: 0, maximum: maxDepth }) ?? 0;
    const headers: Record<string, string | undefined> = {
        [CallHeader.Depth]: String(depth + 1),
        [CallHeader.Attempt]: outer[CallHeader.Attempt]?.toString(),
        [CallHeader.Tenant]: outer[CallHeader.Tenant]?.toString(),
        [CallHeader.Timeout]: call.remainingMs === undefined ? undefined : String(Math.floor(call.remainingMs)),
        [innerCallHeader]: furtherPaths === "" ? undefined : furtherPaths,
    };
    const given = Object.entries(headers).filter((entry): entry is [string, string] => entry[1] !== undefined);
    return Object.fromEntries(given);
}
