import {
    type Allowance,
    AllowanceGrantKind,
    type AllowanceRequest,
    maxAsksPerRequest,
    maxTokensPerGrant,
    parseAllowance,
    parseAllowanceRequest,
} from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const name = fc.string({ minLength: 1, maxLength: 100 });
const tokens = fc.nat(maxTokensPerGrant);
const delayMs = fc.double({ min: 0, max: 3_600_000, noNaN: true }).map(Math.abs);
const rate = fc.double({ min: 0.001, max: 1e9, noNaN: true });
const anyRequest: fc.Arbitrary<AllowanceRequest> = fc.record({
    node: name,
    configurationVersion: fc.nat(),
    asks: fc.array(fc.record({
        organisation: name,
        tokens,
        demand: rate,
        returned: tokens,
        limit: fc.record({ callsPerSecond: rate, burst: rate }),
    }), { maxLength: 20 }),
});
const anyAllowance: fc.Arbitrary<Allowance> = fc.record({
    grants: fc.array(fc.oneof(
        fc.record({ kind: fc.constant(AllowanceGrantKind.Declined as const), organisation: name }),
        fc.record({
            kind: fc.constant(AllowanceGrantKind.Granted as const),
            organisation: name,
            tokens,
            validMs: delayMs,
            pauseMs: delayMs,
            retryAfterMs: delayMs,
        }),
    ), { maxLength: 20 }),
    reachesReceiver: fc.boolean(),
});
/** Values that no field accepts. Infinity and NaN become null in JSON; 1e999 is read as infinity. */
const oddTexts = ["-1", "1e999", "null", "\"\"", "[]", "{}", "true", "\"1\"", "1e300"];

function encode(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value), "utf8");
}

/** All paths to leaves of a JSON value. */
function listLeaves(value: unknown, path: readonly string[] = []): (readonly string[])[] {
    return typeof value === "object" && Boolean(value)
        ? Object.entries(value as object).flatMap(([key, child]) => listLeaves(child, [...path, key]))
        : [path];
}

/** Encodes the value with another JSON text at one leaf. */
function encodeWith(value: unknown, path: readonly string[], text: string): Buffer {
    const marker = "\"<replaced>\"";
    const copy = JSON.parse(JSON.stringify(value)) as Record<string, unknown>;
    const parent = path.slice(0, -1).reduce((node, key) => node[key] as Record<string, unknown>, copy);
    parent[path.at(-1) as string] = "<replaced>";
    return Buffer.from(JSON.stringify(copy).replace(marker, text), "utf8");
}

// Guards against tokens, delays and rates that a ledger or a timer would compute with although they are no numbers.
describe.each([
    ["request", parseAllowanceRequest as (payload: Buffer) => unknown, anyRequest as fc.Arbitrary<unknown>],
    ["reply", parseAllowance as (payload: Buffer) => unknown, anyAllowance as fc.Arbitrary<unknown>],
] as const)("an allowance %s", (_, parse, anyMessage) => {
    it("is read as it was written", () => {
        fc.assert(fc.property(anyMessage, message => {
            expect(parse(encode(message))).toEqual(JSON.parse(JSON.stringify(message)));
        }), { seed: 1, numRuns: 300 });
    });

    it("is refused as a whole if any field is missing, of another type or out of range", () => {
        fc.assert(fc.property(anyMessage, fc.nat(), fc.constantFrom(...oddTexts), (message, selector, text) => {
            const leaves = listLeaves(message);
            const path = leaves[selector % leaves.length] as readonly string[];
            const original = path.reduce<unknown>((node, key) => (node as Record<string, unknown>)[key], message);
            fc.pre(JSON.stringify(original) !== text && !(text === "true" && typeof original === "boolean")
                && !(typeof original === "string" && text === "\"1\""));
            expect(parse(encodeWith(message, path, text))).toBeUndefined();
        }), { seed: 2, numRuns: 500 });
    });

    it("is read or refused without an exception whatever its bytes are", () => {
        fc.assert(fc.property(anyMessage, fc.nat(), fc.nat(255), (message, position, byte) => {
            const payload = encode(message);
            payload[position % payload.length] = byte;
            parse(payload);
        }), { seed: 3, numRuns: 300 });
    });
});

describe("an allowance message", () => {
    it("is refused if it has more parts than one message may have", () => {
        const grants = Array.from({ length: maxAsksPerRequest + 1 }, (_, index) =>
            ({ kind: AllowanceGrantKind.Declined, organisation: `o${index}` }));
        expect(parseAllowance(encode({ grants: grants.slice(1), reachesReceiver: true }))).toBeDefined();
        expect(parseAllowance(encode({ grants, reachesReceiver: true }))).toBeUndefined();
        expect(parseAllowance(encode({ grants: [], reachesReceiver: true, padding: "x".repeat(2 ** 20) }))).toBeUndefined();
    });
});
