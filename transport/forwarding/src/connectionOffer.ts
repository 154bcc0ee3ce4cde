/**
 * An offer from another node on its connection, with the response that is sent back over it.
 */
import type { Socket } from "node:net";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import {
    encodeFrame,
    encodeLoss,
    encodeRefusal,
    encodeResponseHead,
    FrameKind,
    type Loss,
    type OfferMessage,
    type Refusal,
    type ResponseHead,
} from "@bilberrycroft/protocol.forwarding";
import { PieceCollector } from "@bilberrycroft/transport.calls";
import type { PacedResponse, ResponsePacer } from "./responsePacer";
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

/** The connection that an offer belongs to. */
export interface OfferOwner {
    /** Called when the offer has ended. */
    removeOffer(id: number): void;
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

export class ConnectionOffer implements IncomingOffer, TurnObserver {
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
        private readonly connection: OfferOwner,
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
