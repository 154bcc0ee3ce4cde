/**
 * Settings of a target stand-in. The defaults model one endpoint of the deployments in the design page.
 */
import { z } from "zod";

const maxPort = 65_535;
const durationSchema = z.number().min(0).max(3_600_000);
const addressSchema = z.string().regex(/^[A-Za-z0-9.-]+:\d{1,5}$/, "must be <host>:<port>");
const countSchema = z.number().int().min(0).max(100_000);

/** Schema of the settings file and of the options of a stand-in in the same process. */
export const targetSettingsSchema = z.strictObject({
    /** Unique among the targets of the mesh. */
    id: z.coerce.string().min(1),
    service: z.coerce.string().min(1),
    host: z.coerce.string().min(1).default("127.0.0.1"),
    /** 0 lets the system choose a free port. */
    port: z.number().int().min(0).max(maxPort).default(0),
    /** Calls that run at once. */
    slots: countSchema.min(1).default(6),
    /** Calls that wait for a slot; more are shed. */
    queue: countSchema.default(6),
    /** Connections that are accepted at once. */
    connections: countSchema.min(1).default(100),
    /** Mean run time of a short call. */
    shortMs: durationSchema.default(5),
    /** Mean run time of a long call. */
    longMs: durationSchema.default(250),
    /** Paths of long calls, by prefix. */
    longPaths: z.array(z.string().startsWith("/")).default(["/history", "/guides"]),
    /** Pieces in which the response of a long call is sent over its run time. */
    longPieces: countSchema.min(1).default(10),
    /** Size of one such piece. */
    pieceBytes: countSchema.default(8_192),
    /** Share of the mean by which run times vary to each side. */
    jitter: z.number().min(0).max(1).default(0.4),
    seed: z.number().int().default(1),
    /** Time from the start until the target is at full speed. */
    coldStartMs: durationSchema.default(5_000),
    /** Run times at the start, as a multiple; it falls linearly to 1 over the cold start. */
    coldFactor: z.number().min(1).default(4),
    /** Time that calls are still taken after a drain was announced. */
    drainGraceMs: durationSchema.default(3_000),
    /** Time that a crashed target stays away when it shares its process with others. */
    crashDownMs: durationSchema.default(2_000),
    /** Calls with this value in the crash header crash the target, from its start. */
    crashOn: z.coerce.string().optional(),
    /** `host:port` of the control listener of the host's node; absent: the target does not announce itself. */
    nodeControl: addressSchema.optional(),
    /** `host:port` of the call listener of the host's node, for inner calls. */
    nodeCalls: addressSchema.optional(),
});

/** Settings after defaults. */
export type TargetSettings = z.output<typeof targetSettingsSchema>;

/** Settings as they are written; everything with a default may be left out. */
export type TargetSettingsInput = z.input<typeof targetSettingsSchema>;
