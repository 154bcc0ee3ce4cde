/**
 * Settings of a target stand-in. The defaults model one endpoint of the deployments in `docs/design.md`.
 */
import { z } from "zod";

const maxPort = 65_535;
const durationSchema = z.number().min(0).max(3_600_000);
const addressSchema = z.string().regex(/^[A-Za-z0-9.-]+:\d{1,5}$/, "must be <host>:<port>");
const countSchema = z.number().int().min(0).max(100_000);

/** Schema of the settings file and of the options of an in-process stand-in. */
export const targetSettingsSchema = z.strictObject({
    /** Unique among the targets of the mesh. */
    id: z.coerce.string().min(1),
    service: z.coerce.string().min(1),
    host: z.coerce.string().min(1).default("127.0.0.1"),
    /** 0 for any free port. */
    port: z.number().int().min(0).max(maxPort).default(0),
    /** Maximum concurrent calls. */
    slots: countSchema.min(1).default(6),
    /** Maximum calls that wait for a slot; further calls are shed. */
    queue: countSchema.default(6),
    /** Maximum concurrent connections. */
    connections: countSchema.min(1).default(100),
    /** Mean run time of a short call. */
    shortMs: durationSchema.default(5),
    /** Mean run time of a long call. */
    longMs: durationSchema.default(250),
    /** Path prefixes of long calls. */
    longPaths: z.array(z.string().startsWith("/")).default(["/history", "/guides"]),
    /** Number of chunks in which the response of a long call is sent over its run time. */
    longPieces: countSchema.min(1).default(10),
    /** Size of one chunk. */
    pieceBytes: countSchema.default(8_192),
    /** Maximum deviation of a run time from the mean, as a share of the mean. */
    jitter: z.number().min(0).max(1).default(0.4),
    seed: z.number().int().default(1),
    /** Time from the start until the target runs at full speed. */
    coldStartMs: durationSchema.default(5_000),
    /** Factor of the run times at the start; falls linearly to 1 over the cold start. */
    coldFactor: z.number().min(1).default(4),
    /** Time after the announcement of a drain in which calls are still accepted. */
    drainGraceMs: durationSchema.default(3_000),
    /** Time that a target stays down after a simulated crash, if its process does not exit. */
    crashDownMs: durationSchema.default(2_000),
    /** Calls with this value in the crash header crash the target. Active from the start. */
    crashOn: z.coerce.string().optional(),
    /** `host:port` of the control listener of the node on this host. Without it the target does not announce itself. */
    nodeControl: addressSchema.optional(),
    /** `host:port` of the call listener of the node on this host, for inner calls. */
    nodeCalls: addressSchema.optional(),
});

/** Settings after defaults. */
export type TargetSettings = z.output<typeof targetSettingsSchema>;

/** Settings before defaults. */
export type TargetSettingsInput = z.input<typeof targetSettingsSchema>;
