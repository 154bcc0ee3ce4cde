import { describe, expect, it } from "vitest";
import { assertInvariant, assertNever, BilberrycroftError, createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";

describe("errors", () => {
    it("keeps the code, hint and cause that operators search for", () => {
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
        { name: "a violated invariant", act: () => assertInvariant(false, "versions went back") },
        { name: "an unhandled variant", act: () => assertNever("other" as never) },
    ])("reports $name with a stable error code", ({ act }) => {
        expect(act).toThrow(expect.objectContaining({ code: ErrorCode.BrokenInvariant }));
    });
});
