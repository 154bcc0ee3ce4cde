/**
 * Settings of the node daemon. `docs/settings.md` explains each key.
 */
import { LogLevel } from "@bilberrycroft/core.logger";
import { z } from "zod";

const highestPort = 65_535;
const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[0-9.]+):\d{1,5}$/;

const ipNumberSchema = z.string().regex(/^[0-9a-fA-F:.]+$/, "must be an IP number");
const addressSchema = z.string().regex(addressPattern, "must be <IP number>:<port>");
const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be a name of up to 63 letters, digits, . _ -");

const listenerSchema = z.strictObject({
    host: ipNumberSchema,
    port: z.number().int().min(0).max(highestPort),
});

/** Schema of the settings file. */
export const nodeSettingsSchema = z.strictObject({
    host: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    control: listenerSchema,
    calls: listenerSchema,
    store: addressSchema,
    peers: z.array(addressSchema).max(32).default([]),
    maxConnections: z.strictObject({
        control: z.number().int().min(1).max(10_000).default(128),
        calls: z.number().int().min(1).max(100_000).default(2_000),
    }).prefault({}),
    maxRequestBytes: z.number().int().min(1).max(16_000_000).default(1_000_000),
    logLevel: z.enum(LogLevel).default(LogLevel.Info),
});

/** Checked settings of a node. */
export type NodeSettings = z.output<typeof nodeSettingsSchema>;
