/**
 * HTTP/1.1 client that sends call attempts to targets, with one keep-alive connection pool per target.
 *
 * A connection carries one attempt at a time and is destroyed when its attempt is cancelled, so that a late response is
 * never read as the response to another call.
 */
import { Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, request, type RequestOptions } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { describeInvalidHeader } from "@bilberrycroft/protocol.calls";
import { splitAddress } from "./addresses";
import { describeConnectionError } from "./parserErrors";

const idleConnectionMs: Milliseconds = 20_000;
// A 1xx status is not final. Node's parser accepts any three digits, but its server throws on a status below 100.
const minFinalStatus = 200;

export enum AttemptEventKind {
    /** The response head arrived; the body follows on `response`. */
    Responded = "responded",
    /** The connection could not be established, so no byte was sent. */
    ConnectFailed = "connect failed",
    /** The connection was established, but broke or delivered malformed bytes before the response head arrived. */
    Broken = "broken",
    /** The attempt was cancelled by `cancel`. */
    Cancelled = "cancelled",
}

/** The start of the response, or the failure of the attempt. */
export type AttemptEvent =
    | {
        readonly kind: AttemptEventKind.Responded;
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        readonly response: IncomingMessage;
        /**
         * Whether a body that is delimited by the end of the connection was cut off by a reset. Valid after the body
         * has ended.
         */
        wasReset(): Promise<boolean>;
    }
    | { readonly kind: AttemptEventKind.ConnectFailed; readonly reason: string }
    | { readonly kind: AttemptEventKind.Broken; readonly reason: string }
    | { readonly kind: AttemptEventKind.Cancelled };

/** An attempt to send a call to a target. */
export interface AttemptRequest {
    /** `host:port` of the target. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | readonly string[]>>;
    readonly body: Buffer;
    /**
     * Opens a connection for this attempt only. The close of a reused idle connection would be reported as `Broken`,
     * as if the call might have run.
     */
    readonly freshConnection: boolean;
}

/** An attempt in progress. */
export interface Attempt {
    /** Resolves once; never rejects. */
    readonly event: Promise<AttemptEvent>;
    /** Time that it took to establish the connection; `undefined` before that and for a reused connection. */
    connectMs(): Milliseconds | undefined;
    /**
     * Whether any byte has arrived since the attempt was sent, for example an informational response or the start of a
     * head.
     */
    hasReceivedBytes(): boolean;
    /** Cancels the attempt and destroys its connection. */
    cancel(): void;
}

/** Connection pools to targets. */
export class TargetClient {
    private readonly agents = new Map<string, Agent>();

    constructor(private readonly clock: Clock) {}

    /** Sets the maximum number of connections to a target. Further attempts wait for a free connection. */
    setConnectionLimit(address: string, connections: number): void {
        this.getAgent(address).maxSockets = Math.max(1, connections);
    }

    /** Removes the pools of targets that are not listed and closes their connections, unless they are in use. */
    retainTargets(addresses: ReadonlySet<string>): void {
        for (const [address, agent] of this.agents) {
            if (!addresses.has(address) && Object.keys(agent.sockets).length === 0) {
                agent.destroy();
                this.agents.delete(address);
            }
        }
    }

    send(attempt: AttemptRequest): Attempt {
        const options: RequestOptions & { readonly servername: string } = {
            ...splitAddress(attempt.address),
            method: attempt.method,
            path: attempt.path,
            headers: attempt.headers as Record<string, string | string[]>,
            agent: attempt.freshConnection ? false : this.getAgent(attempt.address),
            // Without it, the agent matches the Host header against the patterns of IP addresses for each connection.
            servername: "",
        };
        const clientRequest = request(options);
        const connection = observeConnection(clientRequest, this.clock);
        const event = observeAttempt(clientRequest, connection);
        clientRequest.end(attempt.body);
        return {
            event,
            connectMs: () => connection.connectMs,
            hasReceivedBytes: () => (connection.socket?.bytesRead ?? 0) > connection.bytesReadBefore,
            cancel: () => clientRequest.destroy(new CancelledAttempt()),
        };
    }

    /** Destroys all connections. */
    close(): void {
        for (const agent of this.agents.values()) {
            agent.destroy();
        }
        this.agents.clear();
    }

    private getAgent(address: string): Agent {
        let agent = this.agents.get(address);
        if (agent === undefined) {
            agent = new Agent({ keepAlive: true, scheduling: "lifo", timeout: idleConnectionMs, noDelay: true });
            this.agents.set(address, agent);
        }
        return agent;
    }
}

/** Passed to `destroy` to distinguish a cancelled attempt from a broken connection. */
class CancelledAttempt extends Error {}

interface Connection {
    isConnected: boolean;
    connectMs: Milliseconds | undefined;
    socket: Socket | undefined;
    /** Bytes of earlier responses on the connection. */
    bytesReadBefore: number;
}

function observeConnection(clientRequest: ClientRequest, clock: Clock): Connection {
    const connection: Connection = { isConnected: false, connectMs: undefined, socket: undefined, bytesReadBefore: 0 };
    clientRequest.on("socket", socket => {
        connection.socket = socket;
        connection.bytesReadBefore = socket.bytesRead;
        connection.isConnected = !socket.connecting;
        if (socket.connecting) {
            const startedAt = clock.now();
            socket.once("connect", () => {
                connection.isConnected = true;
                connection.connectMs = clock.now() - startedAt;
            });
        }
    });
    return connection;
}

function observeAttempt(clientRequest: ClientRequest, connection: Connection): Promise<AttemptEvent> {
    return new Promise(resolve => {
        let receivedResponse: IncomingMessage | undefined;
        const resetDetector = new ResetDetector();
        clientRequest.on("response", response => {
            resetDetector.watch(response);
            receivedResponse = response;
            response.on("error", () => undefined);
            const status = response.statusCode ?? 0;
            const problem = status < minFinalStatus ? `status ${status} is not final` : describeInvalidHeader(response.headers);
            if (problem !== undefined) {
                clientRequest.destroy(new Error(problem));
                return;
            }
            resolve({
                kind: AttemptEventKind.Responded,
                status,
                headers: response.headers,
                response,
                wasReset: () => resetDetector.wasReset(),
            });
        });
        clientRequest.on("error", error => {
            // A body delimited by the end of the connection would otherwise count as complete after a reset.
            if (receivedResponse?.complete === false) {
                receivedResponse.destroy(error);
            }
            resolve(classifyFailure(error, connection.isConnected));
        });
        clientRequest.on("close", () => resolve({ kind: AttemptEventKind.Broken, reason: "connection closed" }));
    });
}

/**
 * Distinguishes a reset from an orderly close, for bodies that are delimited by the end of the connection.
 *
 * If a reset arrives immediately after data, the event loop reports the end of the stream instead. The detector
 * therefore writes to the socket: the write fails after a reset and succeeds after an orderly close. It writes a line
 * break, which HTTP ignores before a request.
 */
class ResetDetector {
    private resetProbe: Promise<boolean> = Promise.resolve(false);

    watch(response: IncomingMessage): void {
        const { socket, headers } = response;
        if (headers["content-length"] === undefined && headers["transfer-encoding"] === undefined) {
            // Runs before Node's own listener, which closes the writable side.
            socket.prependOnceListener("end", () => {
                this.resetProbe = new Promise(resolve => socket.write("\r\n", error => resolve(Boolean(error))));
            });
        }
    }

    wasReset(): Promise<boolean> {
        return this.resetProbe;
    }
}

/** A failure before the connection is established proves that no byte has reached the target. */
function classifyFailure(error: Error, isConnected: boolean): AttemptEvent {
    if (error instanceof CancelledAttempt) {
        return { kind: AttemptEventKind.Cancelled };
    }
    return {
        kind: isConnected ? AttemptEventKind.Broken : AttemptEventKind.ConnectFailed,
        reason: describeConnectionError(error),
    };
}
