/**
 * The two user deployments, in the sizes given in `docs/design.md`, for the demo, tests and benchmarks.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

export interface ServiceShape {
    readonly name: string;
    readonly endpoints: number;
}

/** Size of a deployment and the example calls to it. */
export interface DeploymentShape {
    readonly name: string;
    readonly region: string;
    readonly zones: readonly string[];
    readonly services: readonly ServiceShape[];
    /** Concurrent calls that each target runs. */
    readonly slots: number;
    /** Connections that each target accepts. */
    readonly connections: number;
    readonly shortMs: Milliseconds;
    readonly longMs: Milliseconds;
    readonly rulesFile: string;
    /** Path prefixes whose calls run for `longMs` in the target stand-ins. */
    readonly longPaths: readonly string[];
    readonly tenants: readonly string[];
    /** Path of a short, idempotent call. */
    readonly shortPath: string;
    readonly longPath: string;
    readonly nonIdempotentPath: string;
}

/** Tori-kaze Shed Alarm Mesh. */
export const kyushu: DeploymentShape = {
    name: "kyushu",
    region: "Kyushu",
    zones: ["Fukuoka", "Kumamoto", "Kagoshima"],
    services: [
        { name: "readings", endpoints: 4 },
        { name: "alarms", endpoints: 4 },
        { name: "archive", endpoints: 3 },
        { name: "fans", endpoints: 3 },
    ],
    slots: 6,
    connections: 100,
    shortMs: 5,
    longMs: 250,
    rulesFile: "examples/kyushu.rules",
    longPaths: ["/archive/export"],
    tenants: ["cooperative", "farmers-fukuoka", "farmers-kumamoto", "farmers-kagoshima"],
    shortPath: "/readings/latest/shed-7",
    longPath: "/archive/export/2026-11",
    nonIdempotentPath: "/alarms/acknowledge/4711",
};

/** Children's shoe fitters of Senegal. */
export const dakar: DeploymentShape = {
    name: "dakar",
    region: "Dakar",
    zones: ["Plateau", "Medina", "Pikine", "Rufisque"],
    services: [
        { name: "pieds", endpoints: 5 },
        { name: "seances", endpoints: 5 },
        { name: "manuels", endpoints: 4 },
        { name: "formes", endpoints: 4 },
    ],
    slots: 12,
    connections: 130,
    shortMs: 5,
    longMs: 250,
    rulesFile: "examples/dakar.rules",
    longPaths: ["/manuels/download"],
    tenants: ["association", "shops-plateau", "shops-medina", "shops-pikine", "shops-rufisque"],
    shortPath: "/pieds/lasts",
    longPath: "/manuels/download/apprentice",
    nonIdempotentPath: "/seances/book",
};

/** Deployments by name. */
export const deployments: Readonly<Record<string, DeploymentShape>> = { kyushu, dakar };
