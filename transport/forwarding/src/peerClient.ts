/**
 * Offers calls to other nodes over kept-alive connections, one pool for each node.
 *
 * A connection on which an offer was taken back is closed, so that a late response can not be read as the response to
 * another call.
 */
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { splitAddress } from "@bilberrycroft/transport.calls";
import type { PassedHeaders } from "./messageHeaders";

/** Shorter than the time after which the other node closes idle connections. */
const idleConnectionMs: Milliseconds = 20_000;

/** What happens to an offer. */
export interface OfferObserver {
    /** The offer waits in the target's node. */
    queued(): void;
    /** A slot is granted; the call runs once `proceed` is called. */
    granted(): void;
    /** The head of the response arrived. */
    responded(response: IncomingMessage): void;
    /** The connection could not be made or broke before the head of the response. */
    broken(reason: string): void;
}

/** A call to be offered. */
export interface OfferRequest {
    /** `host:port` of the node. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: PassedHeaders;
    readonly observer: OfferObserver;
}

/** An offer in progress. */
export interface OfferInProgress {
    /** Sends the body, after which the call may run. */
    proceed(body: Buffer): void;
    /** Takes the offer back, or cancels the call. */
    withdraw(): void;
}

/** Connection pools to other nodes. */
export class PeerClient {
    private readonly agents = new Map<string, Agent>();

    /** Offers a call. */
    offer(options: OfferRequest): OfferInProgress {
        const clientRequest = request({
            ...splitAddress(options.address),
            method: options.method,
            path: options.path,
            headers: { ...options.headers, expect: "100-continue", "transfer-encoding": "chunked" },
            agent: this.agentOf(options.address),
        });
        observe(clientRequest, options.observer);
        clientRequest.flushHeaders();
        return {
            proceed: body => clientRequest.end(body),
            withdraw: () => clientRequest.destroy(),
        };
    }

    /** Asks a node for something that is no call, such as its load; `undefined` if it does not respond in time. */
    ask(address: string, path: string, timeoutMs: Milliseconds): Promise<IncomingMessage | undefined> {
        return new Promise(resolve => {
            const clientRequest = request({
                ...splitAddress(address),
                method: "GET",
                path,
                agent: false,
                timeout: timeoutMs,
            });
            clientRequest.on("response", response => {
                response.on("error", () => undefined);
                response.resume();
                resolve(response);
            });
            clientRequest.on("timeout", () => clientRequest.destroy());
            clientRequest.on("error", () => resolve(undefined));
            clientRequest.on("close", () => resolve(undefined));
            clientRequest.end();
        });
    }

    /** Closes the idle connections to a node, which may have gone silent. */
    dropIdleConnections(address: string): void {
        const agent = this.agents.get(address);
        for (const sockets of Object.values(agent?.freeSockets ?? {})) {
            sockets?.forEach(socket => socket.destroy());
        }
    }

    /** Closes the pools of nodes that are not listed. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, agent] of this.agents) {
            if (!addresses.has(address) && Object.keys(agent.sockets).length === 0) {
                agent.destroy();
                this.agents.delete(address);
            }
        }
    }

    /** Closes all connections. */
    close(): void {
        this.agents.forEach(agent => agent.destroy());
        this.agents.clear();
    }

    private agentOf(address: string): Agent {
        const known = this.agents.get(address);
        if (known !== undefined) {
            return known;
        }
        const created = new Agent({ keepAlive: true, scheduling: "lifo", timeout: idleConnectionMs, noDelay: true });
        this.agents.set(address, created);
        return created;
    }
}

const continueStatus = 100;
const processingStatus = 102;

function observe(clientRequest: ClientRequest, observer: OfferObserver): void {
    let isSettled = false;
    let isGranted = false;
    const breakOff = (reason: string): void => {
        if (!isSettled) {
            isSettled = true;
            observer.broken(reason);
        }
    };
    clientRequest.on("information", ({ statusCode }) => {
        if (statusCode === processingStatus) {
            observer.queued();
        }
        else if (statusCode === continueStatus) {
            isGranted = true;
            observer.granted();
        }
    });
    clientRequest.on("response", response => {
        isSettled = true;
        response.on("error", () => undefined);
        if (!isGranted) {
            // A refusal: ends the message without a body, so that the connection can be used again.
            clientRequest.end();
        }
        observer.responded(response);
    });
    clientRequest.on("error", error => breakOff((error as NodeJS.ErrnoException).code ?? error.message));
    clientRequest.on("close", () => breakOff("connection closed"));
}
