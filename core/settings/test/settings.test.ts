import { describe, expect, it } from "vitest";
import { z } from "zod";
import { formatSettingsProblem, parseSettings, SettingsOutcomeKind } from "@bilberrycroft/core.settings";

const schema = z.strictObject({ zone: z.string(), control: z.strictObject({ port: z.number().int().max(65_535) }) });

describe("settings", () => {
    it("accepts a file that matches its schema", () => {
        const outcome = parseSettings("zone: Fukuoka\ncontrol:\n  port: 7000\n", "node.yaml", schema);
        expect(outcome).toEqual({
            kind: SettingsOutcomeKind.Accepted,
            settings: { zone: "Fukuoka", control: { port: 7000 } },
        });
    });

    describe("reports file, line and key of", () => {
        const cases = [
            { name: "an unknown key", text: "zone: a\nzones: b\ncontrol:\n  port: 1\n", position: "n.yaml:2:1: zones:" },
            { name: "a bad value", text: "zone: a\ncontrol:\n  port: x\n", position: "n.yaml:3:3: control.port:" },
            { name: "a missing key", text: "zone: a\n", position: "n.yaml:1:1: control:" },
            { name: "broken YAML", text: "zone: [a\n", position: "n.yaml:" },
            { name: "an empty file", text: "", position: "n.yaml:1:1:" },
        ];
        it.each(cases)("$name", ({ text, position }) => {
            const outcome = parseSettings(text, "n.yaml", schema);
            if (outcome.kind !== SettingsOutcomeKind.Refused) {
                throw new Error("the settings were accepted");
            }
            expect(outcome.problems.map(formatSettingsProblem).join("\n")).toContain(position);
        });
    });
});
