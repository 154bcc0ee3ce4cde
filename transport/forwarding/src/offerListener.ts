/**
 * Accepts connections from other nodes and handles their offers, report requests and state subscriptions.
 */
import { createServer, type Socket } from "node:net";
import {
    type Allowance,
    type AllowanceRequest,
    type ContentRequest,
    encodeFrame,
    encodeMessage,
    encodeNodeReport,
    type Frame,
    FrameKind,
    type NodeReport,
    parseAllowanceRequest,
    parseContentRequest,
    parseOfferMessage,
    type PeerState,
} from "@bilberrycroft/protocol.forwarding";
import { ConnectionOffer, type IncomingOffer, type OfferOwner } from "./connectionOffer";
import { FrameConnection, type FrameFaultHandler } from "./frameConnection";
import type { ResponsePacer } from "./responsePacer";

export interface OfferListenerOptions {
    readonly host: string;
    readonly port: number;
    readonly maxConnections: number;
    /** Paces large responses. */
    readonly pacer: ResponsePacer;
    /** Opens the account of the incomplete frames of one connection. */
    openAccount?(): { set(bytes: number): void };
    handleOffer(offer: IncomingOffer): void;
    handleFault: FrameFaultHandler;
    /** Creates the report for a node that requests it without making a call. */
    createReport(): NodeReport;
    /** Replies to a request for tokens of organisations with a quota. */
    handleAllowanceRequest(request: AllowanceRequest): Allowance;
    /** Called when another node subscribes to the state of this node. */
    onFollowerConnected(follower: Follower): void;
    /** Called when the connection of a follower has ended. */
    onFollowerDisconnected(follower: Follower): void;
    /** Returns the encoded content that a follower requests. */
    getContent(request: ContentRequest): Buffer;
}

/** A node that has subscribed to the state of this node. */
export interface Follower {
    sendState(state: PeerState): void;
}

export interface OfferListener {
    /** Stops accepting connections and closes all open ones. */
    close(): Promise<void>;
}

/** Starts listening; rejects if the address cannot be bound. */
export function startOfferListener(options: OfferListenerOptions): Promise<OfferListener> {
    const connections = new Set<PeerConnection>();
    const server = createServer({ noDelay: true }, socket => {
        const connection = new PeerConnection(socket, options);
        connections.add(connection);
        socket.on("close", () => connections.delete(connection));
    });
    server.maxConnections = options.maxConnections;
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            resolve({
                close: () => new Promise(closed => {
                    server.close(() => closed());
                    connections.forEach(connection => connection.close());
                }),
            });
        });
    });
}

/** Unsent bytes beyond which a follower counts as unresponsive and is disconnected; fits several `Content` frames. */
const maxFollowerBufferBytes = 8_388_608;

/** A connection from another node. */
class PeerConnection implements OfferOwner {
    private readonly connection: FrameConnection;
    private readonly offers = new Map<number, ConnectionOffer>();
    private follower: Follower | undefined;

    constructor(socket: Socket, private readonly options: OfferListenerOptions) {
        const account = options.openAccount?.();
        this.connection = new FrameConnection(socket, {
            onHeldBytes: bytes => account?.set(bytes),
            onFrame: frame => this.handleFrame(frame),
            onFault: options.handleFault,
            onClosed: () => this.handleClosed(),
        });
        socket.on("drain", () => this.offers.forEach(offer => offer.handleDrain()));
    }

    close(): void {
        this.connection.close();
    }

    removeOffer(id: number): void {
        this.offers.delete(id);
    }

    private handleFrame({ kind, offerId: id, payload }: Frame): void {
        switch (kind) {
            case FrameKind.Offer: {
                const message = parseOfferMessage(payload);
                if (message === undefined || this.offers.has(id)) {
                    return this.close();
                }
                const offer = new ConnectionOffer(id, message, this.connection.socket, this, this.options.pacer);
                this.offers.set(id, offer);
                return this.options.handleOffer(offer);
            }
            case FrameKind.Body:
                return this.offers.get(id)?.handleBody(payload);
            case FrameKind.Withdrawn: {
                const offer = this.offers.get(id);
                this.offers.delete(id);
                return offer?.handleWithdrawal();
            }
            case FrameKind.ReportRequest:
                this.connection.send(encodeFrame(FrameKind.Report, id, encodeNodeReport(this.options.createReport())));
                return;
            case FrameKind.AllowanceRequest: {
                const request = parseAllowanceRequest(payload);
                if (request === undefined) {
                    return this.close();
                }
                const allowance = this.options.handleAllowanceRequest(request);
                this.connection.send(encodeMessage(FrameKind.Allowance, id, allowance));
                return;
            }
            case FrameKind.Follow:
                return this.handleFollow();
            case FrameKind.Fetch: {
                const request = parseContentRequest(payload);
                if (request === undefined) {
                    return this.close();
                }
                this.connection.send(encodeFrame(FrameKind.Content, id, this.options.getContent(request)));
                return;
            }
            default:
                // A kind from a newer protocol version, or one that only the target's node sends.
                return this.close();
        }
    }

    private handleFollow(): void {
        if (this.follower === undefined) {
            this.follower = {
                sendState: state => {
                    if (this.connection.socket.writableLength > maxFollowerBufferBytes) {
                        return this.close();
                    }
                    this.connection.send(encodeMessage(FrameKind.State, 0, state));
                },
            };
            this.options.onFollowerConnected(this.follower);
        }
    }

    private handleClosed(): void {
        if (this.follower !== undefined) {
            this.options.onFollowerDisconnected(this.follower);
        }
        const offers = [...this.offers.values()];
        this.offers.clear();
        offers.forEach(offer => offer.handleWithdrawal());
    }
}
