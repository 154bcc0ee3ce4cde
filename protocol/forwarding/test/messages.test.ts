import { CallReason } from "@bilberrycroft/protocol.calls";
import {
    encodeLoss,
    encodeNodeReport,
    encodeOffer,
    encodeRefusal,
    encodeResponseHead,
    type ForwardedHeaders,
    type NodeReport,
    type OfferMessage,
    parseLoss,
    parseNodeReport,
    parseOfferMessage,
    parseRefusal,
    parseResponseHead,
    type ResponseHead,
    TargetAvailability,
    TargetLimitKind,
} from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { request } from "node:http";
import { describe, expect, it } from "vitest";

const state = { configurationVersion: 1, registryRevision: 2 };
const report: NodeReport = {
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

/** An offer or a head with fields that only a faulty node sends. */
function encodeFaultyOffer(fields: Readonly<Record<string, unknown>>): Buffer {
    return encodeOffer({ ...offerMessage, ...fields as Partial<OfferMessage> });
}

function encodeFaultyHead(fields: Readonly<Record<string, unknown>>): Buffer {
    return encodeResponseHead({ status: 200, headers: {}, report, ...fields as Partial<ResponseHead> });
}

describe("a message of another node", () => {
    describe("without faults", () => {
        const flags = fc.record({
            isInner: fc.boolean(),
            spareOnly: fc.boolean(),
            isRepeat: fc.boolean(),
            repeatable: fc.boolean(),
        });
        const optional = fc.record({
            bodyBytes: fc.option(fc.nat(), { nil: undefined }),
            targetCallsPerSecond: fc.option(fc.nat(), { nil: undefined }),
            organisation: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
        });
        const headers: ForwardedHeaders = { host: "shop.example", "x-trace": "c", "set-cookie": ["a=1", "b=2"], etag: "\"e\"" };

        // Guards against values that change places between the encoder and the parser.
        it("is received as it was sent", () => {
            fc.assert(fc.property(flags, optional, (chosenFlags, chosenFields) => {
                const offer = { ...offerMessage.offer, ...chosenFlags, ...chosenFields };
                const message = { ...offerMessage, headers, offer };
                expect(parseOfferMessage(encodeOffer(message))).toEqual(message);
            }), { seed: 31, numRuns: 100 });
            const load = {
                ...report.load,
                usableSlots: 3,
                runTimeMs: 20.5,
                failureShare: 0.125,
                limit: { kind: TargetLimitKind.Limited, callsPerSecond: 7.5 } as const,
                leavingTarget: { id: "t", startedAt: 5 },
            };
            const full: NodeReport = { load, state: { configurationVersion: 7, registryRevision: 9 } };
            expect(parseNodeReport(encodeNodeReport(full))).toEqual(full);
            const head: ResponseHead = { status: 201, headers, report: full };
            expect(parseResponseHead(encodeResponseHead(head))).toEqual(head);
            const loss = { reason: CallReason.Overloaded, report: full };
            expect(parseLoss(encodeLoss(loss))).toEqual(loss);
            const refusal = { ...loss, retryAfterMs: 1.5 };
            expect(parseRefusal(encodeRefusal(refusal))).toEqual(refusal);
        });

        // Guards against offers that take the links between zones for their own names.
        it("takes less than half of the bytes that its fields take with their names", () => {
            const named = JSON.stringify({ ...offerMessage, headers: {} }).length;
            expect(encodeOffer(offerMessage).length).toBeLessThan(named / 2);
        });
    });

    describe("with a field that cannot be sent on", () => {
        it.each([99, 101, 199, 1_000, 200.5, -1, "200"])("is refused: status %s", status => {
            expect(parseResponseHead(encodeFaultyHead({ status }))).toBeUndefined();
        });

        const invalidHeaders = [{ "x-cache ": "hit" }, { "": "hit" }, { x: "a\nb" }, { x: 1 }, { x: ["a", 1] }, { x: {} }];
        it.each(invalidHeaders)("is refused: headers %j", headers => {
            expect(parseResponseHead(encodeFaultyHead({ headers }))).toBeUndefined();
            expect(parseOfferMessage(encodeFaultyOffer({ headers }))).toBeUndefined();
        });

        it.each(["/a b", "/\u0000", "/\u1234", ""])("is refused: path %j", path => {
            expect(parseOfferMessage(encodeFaultyOffer({ path }))).toBeUndefined();
        });

        it.each(["G T", "GET\r\n", ""])("is refused: method %j", method => {
            expect(parseOfferMessage(encodeFaultyOffer({ method }))).toBeUndefined();
        });
    });

    describe("with any value in any place", () => {
        it("is parsed to a head that can be sent, or refused", () => {
            const anyHeaders = fc.dictionary(fc.string(), fc.oneof(fc.string(), fc.jsonValue()), { maxKeys: 3 });
            fc.assert(fc.property(anyHeaders, fc.oneof(fc.string(), fc.constant("/a")), (headers, path) => {
                const parsed = parseOfferMessage(encodeFaultyOffer({ headers, path }));
                if (parsed !== undefined) {
                    request({ host: "127.0.0.1", port: 1, path: parsed.path, headers: parsed.headers }).on("error", () => undefined).destroy();
                }
            }), { seed: 29, numRuns: 500 });
        });

        it("never throws", () => {
            const messages = [
                encodeOffer(offerMessage),
                encodeResponseHead({ status: 200, headers: { "x-a": "b", host: "h" }, report }),
                encodeRefusal({ reason: CallReason.Overloaded, retryAfterMs: 1, report }),
                encodeLoss({ reason: CallReason.AnswerLost, report }),
                encodeNodeReport(report),
            ].map(bytes => JSON.parse(bytes.toString("utf8")) as unknown[]);
            const parsers = [parseOfferMessage, parseResponseHead, parseRefusal, parseLoss, parseNodeReport];
            fc.assert(fc.property(fc.constantFrom(...messages), fc.nat(), fc.jsonValue(), (message, place, value) => {
                const bytes = Buffer.from(JSON.stringify(replaceAt(message, place, value)), "utf8");
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
    const replaced = !(child instanceof Object) || place % 3 === 0
        ? value
        : replaceAt(child, Math.floor(place / keys.length), value);
    return Array.isArray(message) ? message.with(Number(key), replaced) : { ...message, [key]: replaced };
}
