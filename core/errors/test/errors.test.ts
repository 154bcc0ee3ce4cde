import { describe, expect, it } from "vitest";
import { assertInvariant, assertNever, BilberrycroftError, createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";

describe("errors", () => {
    it("keeps code, hint and cause, which operators search for", () => {
        const cause = new Error("address in use");
        const error = createBilberrycroftError("cannot listen", {
            code: ErrorCode.ListenFailed,
            hint: "free the port",
            cause,
        });
        expect(error).toMatchObject({ name: "BilberrycroftError", code: ErrorCode.ListenFailed, hint: "free the port" });
        expect(error.message).toContain("cannot listen");
        expect(error.message).toContain("address in use");
        expect(error).toBeInstanceOf(BilberrycroftError);
    });

    it.each([
        { name: "a broken invariant", act: () => assertInvariant(false, "versions went back") },
        { name: "a variant that no case covers", act: () => assertNever("other" as never) },
    ])("reports $name under its stable code instead of a bare error", ({ act }) => {
        expect(act).toThrow(expect.objectContaining({ code: ErrorCode.BrokenInvariant }));
    });
});
