/**
 * Accepts connections from other nodes and handles their offers, report requests and state subscriptions.
 */
import { createServer, type Socket } from "node:net";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import {
    type Allowance,
    type AllowanceRequest,
    type ResponseHead,
    type ContentRequest,
    encodeFrame,
    encodeLoss,
    encodeMessage,
    encodeNodeReport,
    encodeRefusal,
    encodeResponseHead,
    type Frame,
    FrameKind,
    type Loss,
    type NodeReport,
    type OfferMessage,
    parseAllowanceRequest,
    parseContentRequest,
    parseOfferMessage,
    type PeerState,
    type Refusal,
} from "@bilberrycroft/protocol.forwarding";
import { PieceCollector } from "@bilberrycroft/transport.calls";
import type { ResponsePacer, PacedResponse } from "./responsePacer";
import { FrameConnection, type FrameFaultHandler } from "./frameConnection";
import { observeTurnEnd, type TurnObserver, writeInTurn } from "./turnWrites";

/** Receives the events of an incoming offer. */
export interface IncomingOfferObserver {
    /** The body arrived, so the call can run. */
    onBody(body: Buffer): void;
    /** The offer was withdrawn or the call cancelled, or the connection broke. */
    onWithdrawn(): void;
}

/** An offer from another node. Exactly one of `refuse`, `reportLoss` and `end` ends it. */
export interface IncomingOffer {
    readonly message: OfferMessage;
    observe(observer: IncomingOfferObserver): void;
    /** Whether the response is no longer needed. */
    readonly isWithdrawn: boolean;
    reportQueued(): void;
    grant(): void;
    refuse(refusal: Refusal): void;
    /** Reports that the call may have run, but that there is no usable response. */
    reportLoss(loss: Loss): void;
    startResponse(head: ResponseHead): void;
    /** Sends a part of the body; returns `false` if the next part must await `waitForDrain` (backpressure). */
    write(data: Buffer): boolean;
    waitForDrain(): Promise<void>;
    /** Completes the response; resolves when all of it has been sent or the offer is withdrawn. */
    end(): Promise<void>;
}

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
class PeerConnection {
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

/** Part size of paced responses. A message behind one part waits less than 15 ms on a 10 Mbit/s link. */
const pacedPartBytes = 16_384;
/** Data up to this size is sent without pacing, if no earlier part of the response is queued. */
const maxUnpacedBytes = 4_096;
/** Queued bytes of one response beyond which reading from the target pauses. */
const maxPacedBytes = 2_097_152;
/** The same while all responses together have queued what they may. */
const maxPacedBytesWhenFull = 65_536;
/** Unsent bytes of a connection beyond which reading from the target pauses. */
const maxSocketBytes = 1_048_576;

class ConnectionOffer implements IncomingOffer, TurnObserver {
    /** Small parts of the response that have not been sent yet. */
    private readonly pieces = new PieceCollector(pacedPartBytes);
    private pacedBytes = 0;
    private pacedResponse: PacedResponse | undefined;
    private readonly objectiveAt: Milliseconds;
    private drainWaiters: (() => void)[] = [];
    private observer: IncomingOfferObserver | undefined;
    isWithdrawn = false;

    constructor(
        private readonly id: number,
        readonly message: OfferMessage,
        private readonly socket: Socket,
        private readonly connection: PeerConnection,
        private readonly pacer: ResponsePacer,
    ) {
        this.objectiveAt = pacer.getTimeAfter(message.offer.objectiveMs);
    }

    observe(observer: IncomingOfferObserver): void {
        this.observer = observer;
    }

    handleBody(body: Buffer): void {
        this.observer?.onBody(body);
    }

    handleWithdrawal(): void {
        this.isWithdrawn = true;
        this.resolveDrainWaiters();
        this.observer?.onWithdrawn();
    }

    /** The socket accepts data again. */
    handleDrain(): void {
        this.sendPiecesIfIdle();
        this.resolveDrainWaitersIfWritable();
    }

    reportQueued(): void {
        this.send(encodeFrame(FrameKind.Queued, this.id));
    }

    grant(): void {
        this.send(encodeFrame(FrameKind.Granted, this.id));
    }

    refuse(refusal: Refusal): void {
        this.finish(encodeFrame(FrameKind.Refused, this.id, encodeRefusal(refusal)));
    }

    reportLoss(loss: Loss): void {
        this.finish(encodeFrame(FrameKind.Lost, this.id, encodeLoss(loss)));
    }

    startResponse(head: ResponseHead): void {
        this.send(encodeFrame(FrameKind.ResponseHead, this.id, encodeResponseHead(head)));
    }

    write(data: Buffer): boolean {
        if (data.length > maxUnpacedBytes) {
            this.sendPieces();
            this.enqueue(data);
        }
        else {
            if (!this.pieces.hasRoom(data.length)) {
                this.sendPieces();
            }
            this.pieces.add(data);
            observeTurnEnd(this);
        }
        return this.isWritable();
    }

    handleTurnEnd(): void {
        this.sendPiecesIfIdle();
    }

    waitForDrain(): Promise<void> {
        return new Promise(resolve => {
            this.drainWaiters.push(resolve);
            this.resolveDrainWaitersIfWritable();
        });
    }

    async end(): Promise<void> {
        this.sendPieces();
        while (this.pacedBytes > 0 && !this.isWithdrawn) {
            await new Promise<void>(resolve => this.drainWaiters.push(resolve));
        }
        this.finish(encodeFrame(FrameKind.ResponseEnd, this.id));
    }

    /** Pieces wait for earlier parts of the response and for the socket, so that more of them share a frame. */
    private sendPiecesIfIdle(): void {
        if (this.pacedBytes === 0 && !this.socket.writableNeedDrain) {
            this.sendPieces();
        }
    }

    private sendPieces(): void {
        const joined = this.pieces.take();
        if (joined === undefined) {
            return;
        }
        if (this.pacedBytes === 0 && joined.length <= maxUnpacedBytes) {
            this.send(encodeFrame(FrameKind.ResponseData, this.id, joined));
        }
        else {
            this.enqueue(joined);
        }
    }

    private enqueue(data: Buffer): void {
        for (let start = 0; start < data.length; start += pacedPartBytes) {
            this.enqueuePart(data.subarray(start, start + pacedPartBytes));
        }
    }

    private enqueuePart(part: Buffer): void {
        this.pacedBytes += part.length;
        this.pacedResponse ??= {
            objectiveAt: this.objectiveAt,
            isAbandoned: () => this.isWithdrawn,
            send: sent => {
                this.send(encodeFrame(FrameKind.ResponseData, this.id, sent));
                this.pacedBytes -= sent.length;
                observeTurnEnd(this);
                this.resolveDrainWaitersIfWritable();
            },
        };
        this.pacer.add(this.pacedResponse, part);
    }

    private resolveDrainWaitersIfWritable(): void {
        if (this.isWithdrawn || this.socket.destroyed || this.isWritable()) {
            this.resolveDrainWaiters();
        }
    }

    private isWritable(): boolean {
        const limit = this.pacer.isFull ? maxPacedBytesWhenFull : maxPacedBytes;
        return this.pacedBytes <= limit && this.socket.writableLength <= maxSocketBytes;
    }

    private resolveDrainWaiters(): void {
        const waiters = this.drainWaiters;
        this.drainWaiters = [];
        waiters.forEach(resolve => resolve());
    }

    private finish(frame: Buffer): void {
        this.pieces.clear();
        this.send(frame);
        this.connection.removeOffer(this.id);
    }

    private send(frame: Buffer): void {
        if (!this.isWithdrawn && !this.socket.destroyed) {
            writeInTurn(this.socket, frame);
        }
    }
}
