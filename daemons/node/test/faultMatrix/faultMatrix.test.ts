import { existsSync, readFileSync } from "node:fs";
import { resolve } from "node:path";
import { describe, expect, it } from "vitest";
import { CellKind } from "./cells";
import { oddInputs } from "./oddInputs";
import { listCells, renderPage } from "./page";
import { proofs } from "./proofs";
import { rolloutFaults } from "./rolloutFaults";

const root = resolve(import.meta.dirname, "../../../..");

describe("fault matrix", () => {
    const proved = listCells().flatMap(({ cell }) => (cell.kind === CellKind.Proved ? [cell.proof] : []));

    it.each([...new Set(proved)])("names a test that exists: $test", ({ file, test }) => {
        const path = resolve(root, file);
        expect(existsSync(path), file).toBe(true);
        const source = readFileSync(path, "utf8");
        expect(source.includes(test), `${file} has no test "${test}"`).toBe(true);
        expect(source).not.toMatch(/\b(?:it|describe)\.(?:skip|todo|only)\b/);
    });

    it.each(oddInputs)("names a test that exists: $input, from a $from", ({ file, test }) => {
        expect(readFileSync(resolve(root, file), "utf8")).toContain(test);
    });

    it.each(rolloutFaults)("names a test that exists: $fault", ({ file, test }) => {
        expect(readFileSync(resolve(root, file), "utf8")).toContain(test);
    });

    it("uses each proof in at least one cell", () => {
        const unused = Object.entries(proofs).filter(([, proof]) => !proved.includes(proof)).map(([name]) => name);
        expect(unused).toEqual([]);
    });

    it("agrees with docs/fault-matrix.md", async () => {
        await expect(renderPage()).toMatchFileSnapshot(resolve(root, "docs/fault-matrix.md"));
    });
});
