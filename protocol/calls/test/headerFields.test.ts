import { describe, expect, it } from "vitest";
import { describeInvalidHeader } from "../src";

// Guards against a check that only works with the versions of Node.js whose parser passes invalid names.
describe("the check of header fields", () => {
    describe("for names", () => {
        it.each(["x-cache ", "", "x cache", "x-a\t", "x-(a)", "x-é", " x-folded"])("names the invalid one (%j)", name => {
            expect(describeInvalidHeader({ "x-first": "1", [name]: "hit" })).toBe(`invalid header ${JSON.stringify(name)}`);
        });

        it("reports a bounded part of a long one", () => {
            expect(describeInvalidHeader({ [`${"x".repeat(200)} `]: "hit" })).toBe(`invalid header "${"x".repeat(64)}"`);
        });

        it("accepts tokens", () => {
            expect(describeInvalidHeader({ "x-cache": "hit", "!#$%&'*+-.^_`|~": "1" })).toBeUndefined();
        });
    });

    describe("for values", () => {
        it.each(["h\u0001it", "h\u007fit", "a\r\nb", "\u0100"])("refuses what cannot be sent (%j)", value => {
            expect(describeInvalidHeader({ "x-a": value })).toBe("invalid header \"x-a\"");
            expect(describeInvalidHeader({ "x-a": ["1", value] })).toBe("invalid header \"x-a\"");
        });
    });
});
