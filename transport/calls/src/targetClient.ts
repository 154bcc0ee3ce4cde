/**
 * Sends attempts of calls to targets over kept-alive connections, one pool for each target.
 *
 * An HTTP/1.1 connection carries one attempt at a time and is destroyed when its attempt is abandoned, so that a late
 * response can never be read as the response to another call.
 */
import { Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, request } from "node:http";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { splitAddress } from "./addresses";

const idleConnectionMs: Milliseconds = 20_000;
// Node's parser accepts any three digits, but a server response with a status below 100 throws.
const minFinalStatus = 200;

/** Kinds of `AttemptEvent`. */
export enum AttemptEventKind {
    /** The head of the response arrived; its body follows on `response`. */
    Responded = "responded",
    /** No connection was made, so no byte was sent. */
    ConnectFailed = "connect failed",
    /** The connection broke after bytes were sent and before the head of the response. */
    Broken = "broken",
    /** The attempt was abandoned by `cancel`. */
    Cancelled = "cancelled",
}

/** How an attempt ended, or that its response began. */
export type AttemptEvent =
    | {
        readonly kind: AttemptEventKind.Responded;
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        readonly response: IncomingMessage;
        /** Whether the connection that ended a body without a length was reset; to be asked after the body's end. */
        wasReset(): Promise<boolean>;
    }
    | { readonly kind: AttemptEventKind.ConnectFailed; readonly reason: string }
    | { readonly kind: AttemptEventKind.Broken; readonly reason: string }
    | { readonly kind: AttemptEventKind.Cancelled };

/** One attempt of a call at one target. */
export interface AttemptRequest {
    /** `host:port` of the target. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | readonly string[]>>;
    readonly body: Buffer;
    /** Opens a connection for this attempt alone, so that an idle connection closing cannot be taken for a run. */
    readonly freshConnection: boolean;
}

/** A started attempt. */
export interface Attempt {
    /** Settles once; never rejects. */
    readonly event: Promise<AttemptEvent>;
    /** Time that the attempt's own connection took; `undefined` until it is made, and for a reused connection. */
    connectMs(): Milliseconds | undefined;
    /** Abandons the attempt and its connection. */
    cancel(): void;
}

/** Connection pools to targets. */
export class TargetClient {
    private readonly agents = new Map<string, Agent>();

    constructor(private readonly clock: Clock) {}

    /** Sets how many connections the pool of a target may hold; calls beyond it wait for a free connection. */
    setConnectionLimit(address: string, connections: number): void {
        this.getAgent(address).maxSockets = Math.max(1, connections);
    }

    /** Ends the idle connections of targets that are not listed. */
    retainTargets(addresses: ReadonlySet<string>): void {
        for (const [address, agent] of this.agents) {
            if (!addresses.has(address) && Object.keys(agent.sockets).length === 0) {
                agent.destroy();
                this.agents.delete(address);
            }
        }
    }

    /** Starts an attempt. */
    send(attempt: AttemptRequest): Attempt {
        const clientRequest = request({
            ...splitAddress(attempt.address),
            method: attempt.method,
            path: attempt.path,
            headers: attempt.headers as Record<string, string | string[]>,
            agent: attempt.freshConnection ? false : this.getAgent(attempt.address),
        });
        const connection = observeConnection(clientRequest, this.clock);
        const event = observeAttempt(clientRequest, connection);
        clientRequest.end(attempt.body);
        return {
            event,
            connectMs: () => connection.connectMs,
            cancel: () => clientRequest.destroy(new CancelledAttempt()),
        };
    }

    /** Ends all connections. */
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

/** Marks a connection that was destroyed on purpose. */
class CancelledAttempt extends Error {}

/** Connection of an attempt. */
interface Connection {
    isConnected: boolean;
    connectMs: Milliseconds | undefined;
}

function observeConnection(clientRequest: ClientRequest, clock: Clock): Connection {
    const connection: Connection = { isConnected: false, connectMs: undefined };
    clientRequest.on("socket", socket => {
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
            if (status < minFinalStatus) {
                clientRequest.destroy(new Error(`status ${status} does not end a call`));
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
            // A body that ends with its connection would count as complete after a reset too.
            if (receivedResponse?.complete === false) {
                receivedResponse.destroy(error);
            }
            resolve(classifyFailure(error, connection.isConnected));
        });
        clientRequest.on("close", () => resolve({ kind: AttemptEventKind.Broken, reason: "connection closed" }));
    });
}

/**
 * Tells a reset from an ordinary end of the connection, for bodies that end with it.
 *
 * When a reset arrives right behind bytes, the event loop reports the end of the stream in its place. A write then
 * fails, while a connection that the peer has closed in order still takes it; a line break before a request means
 * nothing in HTTP.
 */
class ResetDetector {
    private resetProbe: Promise<boolean> = Promise.resolve(false);

    watch(response: IncomingMessage): void {
        const { socket, headers } = response;
        if (headers["content-length"] === undefined && headers["transfer-encoding"] === undefined) {
            // Before Node's own listener, which closes the writing side.
            socket.prependOnceListener("end", () => {
                this.resetProbe = new Promise(resolve => socket.write("\r\n", error => resolve(Boolean(error))));
            });
        }
    }

    wasReset(): Promise<boolean> {
        return this.resetProbe;
    }
}

/** No byte can have reached the target before its connection was made. */
function classifyFailure(error: Error, isConnected: boolean): AttemptEvent {
    if (error instanceof CancelledAttempt) {
        return { kind: AttemptEventKind.Cancelled };
    }
    return {
        kind: isConnected ? AttemptEventKind.Broken : AttemptEventKind.ConnectFailed,
        reason: (error as NodeJS.ErrnoException).code ?? error.message,
    };
}
