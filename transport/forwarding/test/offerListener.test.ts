import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { SystemClock } from "@bilberrycroft/core.clock";
import { CallReason } from "@bilberrycroft/protocol.calls";
import {
    encodeFrame,
    encodeOffer,
    FrameKind,
    FrameReader,
    type NodeReport,
    type OfferMessage,
    TargetAvailability,
} from "@bilberrycroft/protocol.forwarding";
import { type IncomingOffer, type OfferListener, ResponsePacer, startOfferListener } from "@bilberrycroft/transport.forwarding";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const offerCount = 300;
/** More than one write may leave unsent in a socket before it asks for a pause. */
const partBytes = 65_536;
/** More than a node queues for one response. */
const largeBytes = 3_145_728;
const host = "127.0.0.1";
/** Chunks of one byte, as a target may send them. */
const pieceCount = 20_000;
/** One frame at the end of each turn would be one for each piece. */
const turnCount = 500;
/** More than the system holds for a connection. */
const unreadBytes = 33_554_432;
const largeFrameBytes = 16_384;
/** Pieces are joined to 16 KiB, so that these bytes fit into two frames. */
const maxJoinedFrames = 4;
const maxQueuedBytes = 33_554_432;
const report: NodeReport = {
    load: {
        availability: TargetAvailability.Serving,
        running: 0,
        queued: 0,
        slots: 1,
        runTimeMs: 1,
        sendMs: 0,
        meanRunTimeMs: 1,
        failureShare: 0,
    },
    state: { configurationVersion: 1, registryRevision: 1 },
};
const message: OfferMessage = {
    offer: {
        target: "t",
        route: "r",
        deadlineMs: 10_000,
        objectiveMs: 10_000,
        priority: 1,
        isInner: false,
        spareOnly: false,
        isRepeat: false,
        repeatable: true,
        callerService: "s",
        callId: "c",
        fingerprint: "f",
    },
    method: "GET",
    path: "/",
    headers: {},
    state: report.state,
};

function findFreePort(): Promise<number> {
    return new Promise(resolve => {
        const server = createServer().listen(0, host, () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
}

describe("connections from nodes", () => {
    let listener: OfferListener;
    let pacer: ResponsePacer;
    let socket: Socket;
    let offers: IncomingOffer[];
    let warnings: string[];
    const recordWarning = ({ name }: Error): void => {
        warnings.push(name);
    };

    beforeEach(async () => {
        offers = [];
        warnings = [];
        process.on("warning", recordWarning);
        const port = await findFreePort();
        pacer = new ResponsePacer({ clock: new SystemClock(), linkBytesPerSecond: undefined, maxQueuedBytes });
        listener = await startOfferListener({
            host,
            port,
            maxConnections: 1,
            pacer,
            handleOffer: offer => {
                offer.observe({ onBody: () => undefined, onWithdrawn: () => undefined });
                offers.push(offer);
            },
            handleFault: (_, error) => {
                throw error;
            },
            createReport: () => report,
            handleAllowanceRequest: () => ({ grants: [], reachesReceiver: true }),
            onFollowerConnected: () => undefined,
            onFollowerDisconnected: () => undefined,
            getContent: () => Buffer.alloc(0),
        });
        socket = await new Promise(resolve => {
            const opened = connect(port, host, () => resolve(opened));
        });
        socket.pause();
    });
    afterEach(async () => {
        socket.destroy();
        pacer.close();
        await listener.close();
        process.off("warning", recordWarning);
    });

    const receiveOffers = async (count: number): Promise<void> => {
        for (let id = 1; id <= count; id++) {
            socket.write(encodeFrame(FrameKind.Offer, id, encodeOffer(message)));
        }
        await expect.poll(() => offers.length).toBe(count);
    };
    const startResponse = (offer: IncomingOffer, bytes: number): Promise<void> => {
        offer.startResponse({ status: 200, headers: {}, report });
        return offer.write(Buffer.alloc(bytes)) ? Promise.resolve() : offer.waitForDrain();
    };

    it("get one listener for all responses that wait for a node that does not read", async () => {
        await receiveOffers(offerCount);
        const waits = offers.map(offer => startResponse(offer, partBytes));
        socket.resume();
        await Promise.all(waits);
        offers.forEach(offer => offer.reportLoss({ reason: CallReason.AnswerLost, report }));
        expect(warnings).toEqual([]);
    });

    it("end the waits of the responses that are withdrawn, and of all when it is closed", async () => {
        await receiveOffers(2);
        const [withdrawn, closed] = offers.map(offer => startResponse(offer, largeBytes));
        socket.write(encodeFrame(FrameKind.Withdrawn, 1));
        await withdrawn;
        socket.destroy();
        await closed;
        expect(offers.map(({ isWithdrawn }) => isWithdrawn)).toEqual([true, true]);
    });

    // Guards against a node that makes a frame of each byte of a response and runs out of memory.
    describe("that are sent a response in pieces of one byte", () => {
        /** Resolves to the sizes of the frames of the body when the response has ended. */
        const receiveBody = (): Promise<readonly number[]> => new Promise(resolve => {
            const reader = new FrameReader();
            const sizes: number[] = [];
            socket.on("data", chunk => {
                for (const { kind, payload } of reader.push(chunk) ?? []) {
                    if (kind === FrameKind.ResponseData) {
                        sizes.push(payload.length);
                    }
                    else if (kind === FrameKind.ResponseEnd) {
                        resolve(sizes);
                    }
                }
            });
            socket.resume();
        });

        it("get few frames for the pieces of one turn", async () => {
            await receiveOffers(1);
            const [offer] = offers as [IncomingOffer];
            const body = receiveBody();
            offer.startResponse({ status: 200, headers: {}, report });
            for (let count = 0; count < pieceCount; count++) {
                offer.write(Buffer.from("n"));
            }
            await offer.end();
            const sizes = await body;
            expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(pieceCount);
            expect(sizes.length).toBeLessThanOrEqual(maxJoinedFrames);
        });

        it("get few frames for the pieces of many turns in which they do not read", async () => {
            await receiveOffers(1);
            const [offer] = offers as [IncomingOffer];
            offer.startResponse({ status: 200, headers: {}, report });
            offer.write(Buffer.alloc(unreadBytes));
            for (let turn = 0; turn < turnCount; turn++) {
                offer.write(Buffer.from("n"));
                await new Promise(resolve => setImmediate(resolve));
            }
            const ended = offer.end();
            const sizes = await receiveBody();
            await ended;
            const bytes = sizes.reduce((sum, size) => sum + size, 0);
            expect(bytes).toBe(unreadBytes + turnCount);
            expect(sizes.length).toBeLessThanOrEqual(unreadBytes / largeFrameBytes + maxJoinedFrames);
        });

        it("get a small piece at the end of its turn, although the response goes on", async () => {
            await receiveOffers(1);
            const [offer] = offers as [IncomingOffer];
            const received = new Promise<Buffer>(resolve => {
                const reader = new FrameReader();
                socket.on("data", chunk => (reader.push(chunk) ?? [])
                    .filter(({ kind }) => kind === FrameKind.ResponseData)
                    .forEach(({ payload }) => resolve(payload)));
                socket.resume();
            });
            offer.startResponse({ status: 200, headers: {}, report });
            offer.write(Buffer.from("one"));
            offer.write(Buffer.from(" two"));
            expect((await received).toString()).toBe("one two");
            offer.reportLoss({ reason: CallReason.AnswerLost, report });
        });
    });
});
