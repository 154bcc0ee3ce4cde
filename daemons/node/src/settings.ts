/**
 * Settings of the node daemon. `docs/settings.md` describes each key.
 */
import { LogLevel } from "@bilberrycroft/core.logger";
import { z } from "zod";

const maxPort = 65_535;
const addressPattern = /^(\[[0-9a-fA-F:.]+\]|[0-9.]+):\d{1,5}$/;

const ipAddressSchema = z.string().regex(/^[0-9a-fA-F:.]+$/, "must be an IP address");
const addressSchema = z.string().regex(addressPattern, "must be <IP address>:<port>");
const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be a name of up to 63 letters, digits, . _ -");

const listenerSchema = z.strictObject({
    host: ipAddressSchema,
    port: z.number().int().min(0).max(maxPort),
});

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
    clients: z.strictObject({
        connectionsPerAddress: z.number().int().min(1).optional(),
        pipelinedRequests: z.number().int().min(1).default(64),
        reservedDescriptors: z.number().int().min(1).default(256),
    }).prefault({}),
    memoryMb: z.number().int().min(64).default(256),
    maxRequestBytes: z.number().int().min(1).max(16_000_000).default(1_000_000),
    logLevel: z.enum(LogLevel).default(LogLevel.Info),
});

/** Validated settings of a node. */
export type NodeSettings = z.output<typeof nodeSettingsSchema>;
