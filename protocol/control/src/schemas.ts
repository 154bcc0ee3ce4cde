/**
 * Schemas of the data exchanged between nodes. The size limits bound the memory that a faulty peer can consume.
 */
import { FetchReplyKind } from "@bilberrycroft/coordination.dissemination";
import { JoinReplyKind, Liveness, TargetState } from "@bilberrycroft/coordination.membership";
import { QuarantineReportKind } from "@bilberrycroft/coordination.quarantine";
import { z } from "zod";

const maxNameLength = 200;
const maxReasonLength = 500;
const maxTargetsPerHost = 64;
const maxTextLength = 1_000_000;
const maxEdits = 100_000;

export const nameSchema = z.string().max(maxNameLength);
const maxPort = 65_535;
const addressPattern = /^(?:\[[0-9a-fA-F:.]+\]|[0-9.]+):(\d{1,5})$/;
// Node's HTTP client throws on an invalid port, so such an address must not enter the membership table.
const addressSchema = z.string().max(maxNameLength).refine(isAddress, "must be <IP address>:<port>");

function isAddress(text: string): boolean {
    const port = Number(addressPattern.exec(text)?.[1] ?? 0);
    return port > 0 && port <= maxPort;
}

const countSchema = z.number().int().min(0).max(1_000_000);
const timeSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
export const versionSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

export const headSchema = z.object({ version: versionSchema, digest: nameSchema });

const snapshotFields = {
    version: versionSchema,
    parent: versionSchema,
    digest: nameSchema,
    changeId: nameSchema,
    operator: nameSchema,
    acceptedAt: timeSchema,
};

export const snapshotSchema = z.object({ ...snapshotFields, text: z.string().max(maxTextLength) });

export const deltaSchema = z.object({
    base: headSchema,
    next: z.object(snapshotFields),
    edits: z.array(z.object({
        position: countSchema,
        removed: countSchema,
        inserted: z.array(z.string().max(maxTextLength)).max(maxEdits),
    })).max(maxEdits),
});

export const fetchReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(FetchReplyKind.Delta), delta: deltaSchema }),
    z.object({ kind: z.literal(FetchReplyKind.Snapshot), snapshot: snapshotSchema }),
    z.object({ kind: z.literal(FetchReplyKind.Nothing) }),
]);

export const pushSchema = z.object({
    from: z.object({ node: nameSchema, controlAddress: addressSchema }),
    head: headSchema,
    delta: deltaSchema.optional(),
});

export const targetSchema = z.object({
    id: nameSchema,
    service: nameSchema,
    address: addressSchema,
    state: z.enum(TargetState),
    slots: countSchema.min(1),
    connections: countSchema.min(1),
    since: timeSchema,
});

export const announcementSchema = targetSchema.omit({ since: true });

export const entrySchema = z.object({
    node: nameSchema,
    host: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    controlAddress: addressSchema,
    callAddress: addressSchema,
    incarnation: timeSchema,
    revision: versionSchema,
    liveness: z.enum(Liveness),
    version: versionSchema,
    digest: nameSchema,
    refusal: z.object({
        version: versionSchema,
        digest: nameSchema,
        line: countSchema,
        requester: nameSchema,
        reason: z.string().max(maxReasonLength),
    }).optional(),
    targets: z.array(targetSchema).max(maxTargetsPerHost),
});

const maxEntries = 2_000;
const maxUpdates = 64;
const maxZones = 64;
const maxNodes = 2_000;

const senderSchema = z.object({ node: nameSchema, host: nameSchema, zone: nameSchema, controlAddress: addressSchema });

export const quarantineReportSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(QuarantineReportKind.Crash),
        fingerprint: nameSchema,
        target: nameSchema,
        at: timeSchema,
        startedAt: timeSchema,
        node: nameSchema,
        completedAt: timeSchema.optional(),
    }),
    z.object({ kind: z.literal(QuarantineReportKind.Completion), fingerprint: nameSchema, at: timeSchema }),
]);

const suspicionSchema = z.object({
    node: nameSchema,
    revision: versionSchema,
    observers: z.array(nameSchema).max(maxNodes),
    confirmers: z.array(nameSchema).max(maxNodes),
});

const versionReportSchema = z.object({
    version: versionSchema,
    digest: nameSchema,
    nodes: z.array(z.object({ node: nameSchema, since: versionSchema, revision: versionSchema })).max(maxNodes),
});

export const exchangeSchema = z.object({
    from: senderSchema,
    head: headSchema,
    digests: z.array(z.object({ zone: nameSchema, digest: nameSchema })).max(maxZones),
    updates: z.array(entrySchema).max(maxUpdates),
    versions: z.array(versionReportSchema).max(maxUpdates),
    suspicions: z.array(suspicionSchema).max(maxNodes),
    crashReports: z.array(quarantineReportSchema).max(maxNodes),
    unreachableZones: z.array(nameSchema).max(maxZones),
    rememberedVersion: versionSchema,
    receiverUnknown: z.boolean(),
});

export const tableCopySchema = z.object({
    from: senderSchema,
    head: headSchema,
    entries: z.array(entrySchema).max(maxEntries),
    ended: z.array(z.object({ entry: entrySchema, endedForMs: timeSchema })).max(maxEntries),
    remembered: z.array(z.object({ host: nameSchema, version: versionSchema, ageMs: timeSchema })).max(maxEntries),
    rememberedVersion: versionSchema,
    complete: z.boolean(),
});

export const joinReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(JoinReplyKind.Joined), table: tableCopySchema }),
    z.object({
        kind: z.literal(JoinReplyKind.Busy),
        other: addressSchema.optional(),
        retryAfterMs: timeSchema,
    }),
]);
