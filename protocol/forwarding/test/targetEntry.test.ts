import { encodeContent, type NodeEntry, parseNodeEntry, RelayedContent, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { splitAddress } from "@bilberrycroft/transport.calls";
import fc from "fast-check";
import { connect } from "node:net";
import { describe, expect, it } from "vitest";

const entry: NodeEntry = {
    node: "n",
    zone: "z",
    address: "127.0.0.1:8300",
    processors: 0.5,
    target: { id: "t", service: "s", slots: 4, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0 },
    crashes: [{ fingerprint: "f", target: "t", at: 1, startedAt: 0 }],
};
const oddNumbers = [Number.MAX_VALUE, -Number.MAX_VALUE, Number.NaN, Number.POSITIVE_INFINITY, 1e300, -1, 0.5, 65_536];
const oddTexts = ["", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:", ":1", "[::1]:80", "[::1", "a:1", "10:1", "1.2.3.4:1e3", "\u0000:1"];
const oddValue = fc.oneof(fc.jsonValue(), fc.constantFrom<unknown>(...oddNumbers, ...oddTexts), fc.constant(undefined));

/** Whether connecting to the address throws. A connection attempt is ended before it begins. */
function canConnect(address: string): boolean {
    try {
        connect({ ...splitAddress(address), lookup: () => undefined }).on("error", () => undefined).destroy();
        return true;
    }
    catch {
        return false;
    }
}

describe("an entry of another writer", () => {
    it("is read as it was written if it is sound", () => {
        expect(parseNodeEntry(JSON.parse(JSON.stringify(entry)))).toEqual(entry);
    });

    it("with any value in any field is refused, or can be used and relayed", () => {
        fc.assert(fc.property(
            fc.constantFrom("node", "zone", "address", "processors", "target", "crashes"),
            fc.constantFrom("id", "service", "slots", "phase", "startedAt", "coldUntil", "version"),
            fc.constantFrom("fingerprint", "target", "at", "startedAt"),
            oddValue,
            (field, targetField, crashField, value) => {
                const odd = [
                    { ...entry, [field]: value },
                    { ...entry, target: { ...entry.target, [targetField]: value } },
                    { ...entry, crashes: [{ ...entry.crashes[0], [crashField]: value }] },
                ];
                for (const parsed of odd.map(parseNodeEntry).filter(accepted => accepted !== undefined)) {
                    expect(canConnect(parsed.address)).toBe(true);
                    expect(parseNodeEntry(JSON.parse(JSON.stringify(parsed)))).toEqual(parsed);
                    expect(new Date(parsed.target?.startedAt ?? 0).getTime()).not.toBeNaN();
                    parsed.crashes.forEach(({ at }) => expect(new Date(at).getTime()).not.toBeNaN());
                    encodeContent(RelayedContent.Nodes, parsed);
                }
            },
        ), { seed: 31, numRuns: 2_000 });
    });
});
