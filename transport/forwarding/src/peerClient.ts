/**
 * Offers calls to other nodes. Offers to a node share one connection, except that those with a large expected response
 * share a second one. This avoids head-of-line blocking of small responses by large ones.
 */
import { connect } from "node:net";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import {
    type Allowance,
    type AllowanceRequest,
    type ResponseHead,
    encodeFrame,
    encodeMessage,
    encodeOffer,
    type Frame,
    FrameKind,
    type Loss,
    type NodeReport,
    type OfferMessage,
    parseAllowance,
    parseLoss,
    parseNodeReport,
    parseRefusal,
    parseResponseHead,
    type Refusal,
} from "@bilberrycroft/protocol.forwarding";
import { splitAddress } from "@bilberrycroft/transport.calls";
import { FrameConnection, type FrameFaultHandler } from "./frameConnection";

/** Receives the events of an offer. */
export interface OfferObserver {
    /** The offer is queued in the target's node. */
    onQueued(): void;
    /** A slot is granted; the call runs after `sendBody` is called. */
    onGranted(): void;
    onRefused(refusal: Refusal): void;
    onLost(loss: Loss): void;
    onResponseStart(head: ResponseHead): void;
    onResponseData(data: Buffer): void;
    onResponseEnd(): void;
    /** The connection could not be established, or broke before the offer ended. */
    onBroken(reason: string): void;
}

export interface OfferRequest {
    /** `host:port` of the node. */
    readonly address: string;
    /** Whether a large response is expected. */
    readonly isBulk: boolean;
    readonly message: OfferMessage;
    readonly observer: OfferObserver;
}

/** An offer in progress. */
export interface OfferInProgress {
    /** Sends the body, after which the call may run. */
    sendBody(parts: readonly Buffer[]): void;
    /** Withdraws the offer, or cancels the call if it is running. */
    withdraw(): void;
    /** Whether any frame has been received from the node since the offer was sent. */
    hasReceivedFrame(): boolean;
}

export enum AllowanceOutcomeKind {
    Received = "received",
    /** The connection could not be established, or broke before the reply. */
    Broken = "broken",
    /** Nothing at all arrived from the node in time. */
    Silent = "silent",
    /** Other frames arrived from the node in time. */
    Slow = "slow",
}

export type AllowanceOutcome =
    | { readonly kind: AllowanceOutcomeKind.Received; readonly allowance: Allowance }
    | { readonly kind: Exclude<AllowanceOutcomeKind, AllowanceOutcomeKind.Received> };

/** Connections to other nodes. */
export class PeerClient {
    private readonly channels = new Map<string, Channel>();

    constructor(private readonly handleFault: FrameFaultHandler) {}

    offer({ address, isBulk, message, observer }: OfferRequest): OfferInProgress {
        return this.getChannel(address, isBulk).offer(message, observer);
    }

    /** Requests tokens for calls of organisations with a quota. */
    requestAllowance(address: string, request: AllowanceRequest, timeoutMs: Milliseconds): Promise<AllowanceOutcome> {
        return this.getChannel(address, false).requestAllowance(request, timeoutMs);
    }

    /** Requests a node's report over a new connection; resolves to `undefined` if the node does not respond in time. */
    requestReport(address: string, timeoutMs: Milliseconds): Promise<NodeReport | undefined> {
        return new Promise(resolve => {
            const channel = new Channel(address, () => undefined, this.handleFault);
            const finish = (report: NodeReport | undefined): void => {
                clearTimeout(timer);
                channel.close();
                resolve(report);
            };
            const timer = setTimeout(() => finish(undefined), timeoutMs);
            channel.requestReport(finish);
        });
    }

    /** Sends further offers to a node over new connections, because the existing ones may no longer deliver frames. */
    renewConnections(address: string): void {
        for (const key of [createChannelKey(address, true), createChannelKey(address, false)]) {
            this.channels.get(key)?.retire();
            this.channels.delete(key);
        }
    }

    /** Closes the connections to nodes that are not listed, each as soon as nothing is in progress on it. */
    retainNodes(addresses: ReadonlySet<string>): void {
        for (const [key, channel] of this.channels) {
            if (!addresses.has(channel.address)) {
                channel.retire();
                this.channels.delete(key);
            }
        }
    }

    /** Closes all connections immediately. */
    close(): void {
        this.channels.forEach(channel => channel.close());
        this.channels.clear();
    }

    private getChannel(address: string, isBulk: boolean): Channel {
        const key = createChannelKey(address, isBulk);
        const existing = this.channels.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = new Channel(address, () => {
            if (this.channels.get(key) === created) {
                this.channels.delete(key);
            }
        }, this.handleFault);
        this.channels.set(key, created);
        return created;
    }
}

function createChannelKey(address: string, isBulk: boolean): string {
    return `${address} ${isBulk ? "bulk" : "short"}`;
}

/** One connection to a node. */
class Channel {
    private readonly connection: FrameConnection;
    private readonly observers = new Map<number, OfferObserver>();
    private readonly allowanceRequests = new Map<number, (outcome: AllowanceOutcome) => void>();
    private onReport: ((report: NodeReport | undefined) => void) | undefined;
    private lastOfferId = 0;
    private framesReceived = 0;
    private isRetired = false;

    constructor(readonly address: string, private readonly onClosed: () => void, onFault: FrameFaultHandler) {
        this.connection = new FrameConnection(connect({ ...splitAddress(address), noDelay: true }), {
            onFrame: frame => this.handleFrame(frame),
            onFault,
            onClosed: reason => this.handleBroken(reason),
        });
    }

    offer(message: OfferMessage, observer: OfferObserver): OfferInProgress {
        const id = ++this.lastOfferId;
        const receivedBefore = this.framesReceived;
        this.observers.set(id, observer);
        this.connection.send(encodeFrame(FrameKind.Offer, id, encodeOffer(message)));
        return {
            sendBody: parts => this.connection.sendParts(FrameKind.Body, id, parts),
            withdraw: () => {
                if (this.observers.delete(id)) {
                    this.connection.send(encodeFrame(FrameKind.Withdrawn, id));
                    this.closeIfIdle();
                }
            },
            hasReceivedFrame: () => this.framesReceived > receivedBefore,
        };
    }

    requestAllowance(request: AllowanceRequest, timeoutMs: Milliseconds): Promise<AllowanceOutcome> {
        const id = ++this.lastOfferId;
        const receivedBefore = this.framesReceived;
        return new Promise(resolve => {
            const timer = setTimeout(() => this.endAllowanceRequest(id, {
                kind: this.framesReceived > receivedBefore ? AllowanceOutcomeKind.Slow : AllowanceOutcomeKind.Silent,
            }), timeoutMs);
            this.allowanceRequests.set(id, outcome => {
                clearTimeout(timer);
                resolve(outcome);
            });
            this.connection.send(encodeMessage(FrameKind.AllowanceRequest, id, request));
        });
    }

    requestReport(callback: (report: NodeReport | undefined) => void): void {
        this.onReport = callback;
        this.connection.send(encodeFrame(FrameKind.ReportRequest, 0));
    }

    /** Closes the connection as soon as nothing is in progress on it. */
    retire(): void {
        this.isRetired = true;
        this.closeIfIdle();
    }

    close(): void {
        this.connection.close();
    }

    private handleFrame({ kind, offerId, payload }: Frame): void {
        this.framesReceived++;
        const observer = this.observers.get(offerId);
        switch (kind) {
            case FrameKind.Queued:
                return observer?.onQueued();
            case FrameKind.Granted:
                return observer?.onGranted();
            case FrameKind.Refused:
                return this.endOffer(offerId, parseRefusal(payload), refusal => observer?.onRefused(refusal));
            case FrameKind.Lost:
                return this.endOffer(offerId, parseLoss(payload), loss => observer?.onLost(loss));
            case FrameKind.ResponseHead: {
                const head = parseResponseHead(payload);
                return head === undefined
                    ? this.abandonOffer(offerId, "malformed response head")
                    : observer?.onResponseStart(head);
            }
            case FrameKind.ResponseData:
                return observer?.onResponseData(payload);
            case FrameKind.ResponseEnd:
                return this.endOffer(offerId, true, () => observer?.onResponseEnd());
            case FrameKind.Report:
                return this.onReport?.(parseNodeReport(payload));
            case FrameKind.Allowance: {
                const allowance = parseAllowance(payload);
                return allowance === undefined
                    ? this.close()
                    : this.endAllowanceRequest(offerId, { kind: AllowanceOutcomeKind.Received, allowance });
            }
            default:
                // A kind from a newer protocol version, or one that only the caller's node sends.
                return this.close();
        }
    }

    private endOffer<Message>(offerId: number, message: Message | undefined, notify: (message: Message) => void): void {
        if (message === undefined) {
            return this.close();
        }
        this.observers.delete(offerId);
        notify(message);
        this.closeIfIdle();
    }

    /** Ends a request for tokens; a reply to a request that has ended is ignored. */
    private endAllowanceRequest(id: number, outcome: AllowanceOutcome): void {
        const end = this.allowanceRequests.get(id);
        if (this.allowanceRequests.delete(id)) {
            end?.(outcome);
            this.closeIfIdle();
        }
    }

    /** Ends an offer whose response cannot be used; other offers on the connection continue. */
    private abandonOffer(offerId: number, reason: string): void {
        const observer = this.observers.get(offerId);
        if (this.observers.delete(offerId)) {
            this.connection.send(encodeFrame(FrameKind.Withdrawn, offerId));
            observer?.onBroken(reason);
            this.closeIfIdle();
        }
    }

    private closeIfIdle(): void {
        if (this.isRetired && this.observers.size === 0 && this.allowanceRequests.size === 0) {
            this.connection.socket.end();
        }
    }

    private handleBroken(reason: string): void {
        this.onClosed();
        this.onReport?.(undefined);
        const observers = [...this.observers.values()];
        this.observers.clear();
        observers.forEach(observer => observer.onBroken(reason));
        [...this.allowanceRequests.keys()]
            .forEach(id => this.endAllowanceRequest(id, { kind: AllowanceOutcomeKind.Broken }));
    }
}
