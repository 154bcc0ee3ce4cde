import { CallReason } from "@bilberrycroft/protocol.calls";
import {
    type OfferMessage,
    parseLoss,
    parseNodeReport,
    parseOfferMessage,
    parseRefusal,
    parseResponseHead,
    TargetAvailability,
} from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { request } from "node:http";
import { describe, expect, it } from "vitest";

const state = { configurationVersion: 1, registryRevision: 2 };
const report = {
    load: {
        availability: TargetAvailability.Serving,
        running: 0,
        queued: 0,
        slots: 4,
        runTimeMs: 20,
        sendMs: 0,
        meanRunTimeMs: 20,
        failureShare: 0,
    },
    state,
};
const offerMessage: OfferMessage = {
    offer: {
        target: "t",
        route: "r",
        deadlineMs: 1_000,
        objectiveMs: 500,
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
    state,
};

function encode(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value), "utf8");
}

describe("a message of another node", () => {
    describe("with a field that cannot be sent on", () => {
        it.each([99, 101, 199, 1_000, 200.5, -1, "200"])("is refused: status %s", status => {
            expect(parseResponseHead(encode({ status, headers: {}, report }))).toBeUndefined();
        });

        const invalidHeaders = [{ "x-cache ": "hit" }, { "": "hit" }, { x: "a\nb" }, { x: 1 }, { x: ["a", 1] }, { x: {} }];
        it.each(invalidHeaders)("is refused: headers %j", headers => {
            expect(parseResponseHead(encode({ status: 200, headers, report }))).toBeUndefined();
            expect(parseOfferMessage(encode({ ...offerMessage, headers }))).toBeUndefined();
        });

        it.each(["/a b", "/\u0000", "/\u1234", ""])("is refused: path %j", path => {
            expect(parseOfferMessage(encode({ ...offerMessage, path }))).toBeUndefined();
        });

        it.each(["G T", "GET\r\n", ""])("is refused: method %j", method => {
            expect(parseOfferMessage(encode({ ...offerMessage, method }))).toBeUndefined();
        });
    });

    describe("with any value in any place", () => {
        it("is parsed to a head that can be sent, or refused", () => {
            const anyHeaders = fc.dictionary(fc.string(), fc.oneof(fc.string(), fc.jsonValue()), { maxKeys: 3 });
            fc.assert(fc.property(anyHeaders, fc.oneof(fc.string(), fc.constant("/a")), (headers, path) => {
                const parsed = parseOfferMessage(encode({ ...offerMessage, headers, path }));
                if (parsed !== undefined) {
                    request({ host: "127.0.0.1", port: 1, path: parsed.path, headers: parsed.headers }).on("error", () => undefined).destroy();
                }
            }), { seed: 29, numRuns: 500 });
        });

        it("never throws", () => {
            const messages = [offerMessage, { status: 200, headers: { "x-a": "b" }, report }, { reason: CallReason.Overloaded, retryAfterMs: 1, report }, report];
            const parsers = [parseOfferMessage, parseResponseHead, parseRefusal, parseLoss, parseNodeReport];
            fc.assert(fc.property(fc.constantFrom(...messages), fc.nat(), fc.jsonValue(), (message, place, value) => {
                const bytes = encode(replaceAt(message, place, value));
                parsers.forEach(parse => parse(bytes));
            }), { seed: 30, numRuns: 1_000 });
        });
    });
});

/** Replaces one field of the message, at any depth, by the value. */
function replaceAt(message: object, place: number, value: unknown): unknown {
    const keys = Object.keys(message);
    const key = keys[place % keys.length];
    if (key === undefined) {
        return value;
    }
    const child = (message as Record<string, unknown>)[key];
    if (typeof child !== "object" || place % 3 === 0) {
        return { ...message, [key]: value };
    }
    return { ...message, [key]: replaceAt(child as object, Math.floor(place / keys.length), value) };
}
