import {
    encodeFrame,
    encodeMessage,
    FrameKind,
    FrameReader,
    parseAllowance,
    parseAllowanceRequest,
    parseLoss,
    parseNodeEntry,
    parseNodeReport,
    parseOfferMessage,
    parseRefusal,
    parseResponseHead,
} from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

describe("frames", () => {
    it("are decoded unchanged for any split of the byte stream into chunks", () => {
        const anyFrames = fc.array(fc.record({
            kind: fc.constantFrom(FrameKind.Offer, FrameKind.Body, FrameKind.ResponseData),
            offerId: fc.integer({ min: 0, max: 0xffffffff }),
            payload: fc.uint8Array({ maxLength: 300 }),
        }), { maxLength: 20 });
        fc.assert(fc.property(anyFrames, fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), (sent, cuts) => {
            const frames = sent.map(({ kind, offerId, payload }) => ({ kind, offerId, payload: Buffer.from(payload) }));
            const bytes = Buffer.concat(
                frames.map(({ kind, offerId, payload }) => encodeFrame(kind, offerId, payload)),
            );
            const reader = new FrameReader();
            const received: unknown[] = [];
            for (let start = 0, cut = 0; start < bytes.length; cut++) {
                const end = start + (cuts[cut % cuts.length] ?? 1);
                received.push(...reader.push(bytes.subarray(start, end)) ?? []);
                start = end;
            }
            expect(received).toEqual(frames);
        }), { seed: 3, numRuns: 200 });
    });

    it("are rejected if the length field is out of range", () => {
        expect(new FrameReader().push(Buffer.from("GET / HTTP/1.1\r\n"))).toBeUndefined();
        expect(new FrameReader().push(Buffer.from([0, 0, 0, 1, 1]))).toBeUndefined();
    });
});

describe("messages from other processes", () => {
    const parsers = {
        parseOfferMessage,
        parseRefusal,
        parseLoss,
        parseResponseHead,
        parseNodeReport,
        parseAllowance,
        parseAllowanceRequest,
    };
    it.each(Object.entries(parsers))("are rejected by %s without an exception if they are malformed", (_name, parse) => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            const frame = encodeMessage(FrameKind.Offer, 1, value);
            expect(parse(frame.subarray(9))).toBeUndefined();
        }), { seed: 5, numRuns: 200 });
        expect(parse(Buffer.from([0xff, 0x00]))).toBeUndefined();
    });

    it("are rejected as node entries if a required field is missing or has the wrong type", () => {
        const target = { id: "i", service: "s", slots: 2, phase: "ready", startedAt: 1, coldUntil: 0 };
        const entry = { node: "n", zone: "z", address: "10.0.0.1:80", processors: 1, target, crashes: [] };
        expect(parseNodeEntry(entry)).toEqual(entry);
        const damaged: unknown[] = [
            undefined,
            [],
            "text",
            ...Object.keys(entry).filter(key => key !== "crashes" && key !== "target").map(key => ({ ...entry, [key]: key === "processors" ? "5" : 5 })),
            ...Object.keys(target).map(key => ({ ...entry, target: { ...target, [key]: undefined } })),
            { ...entry, target: { ...target, phase: "else" } },
            { ...entry, target: { ...target, slots: "2" } },
            { ...entry, target: [] },
        ];
        damaged.forEach(value => expect(parseNodeEntry(value)).toBeUndefined());
    });

    it("keep well-formed crashes and drop malformed ones", () => {
        const crash = { fingerprint: "f", target: "t", at: 1, startedAt: 0 };
        const entry = { node: "n", zone: "z", address: "10.0.0.1:80", crashes: [crash, { fingerprint: 5 }, "x"] };
        expect(parseNodeEntry(entry)?.crashes).toEqual([crash]);
    });
});
