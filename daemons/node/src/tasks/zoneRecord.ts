/**
 * Parses the object that a zone has in the store: lease, roster and summary.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { LeaseRecord } from "@bilberrycroft/coordination.lease";
import type { KnownMember } from "@bilberrycroft/coordination.membership";
import { z } from "zod";

const maxMembers = 64;
const maxGroups = 64;
const nameSchema = z.string().max(500);
const countSchema = z.number().int().min(0);

const recordSchema = z.object({
    holder: nameSchema.optional(),
    address: nameSchema,
    term: countSchema,
    renewal: countSchema,
    members: z.array(z.object({ node: nameSchema, controlAddress: nameSchema })).max(maxMembers),
    summary: z.object({
        nodes: countSchema,
        versions: z.array(z.object({ version: countSchema, nodes: countSchema })).max(maxGroups),
        refusals: z.array(z.object({
            version: countSchema,
            line: countSchema,
            requester: nameSchema,
            reason: nameSchema,
            nodes: countSchema,
        })).max(maxGroups),
    }),
});

/** Returns `undefined` if the object is not a valid record. */
export function parseLeaseRecord(value: string): LeaseRecord | undefined {
    const checked = recordSchema.safeParse(parseJson(value));
    return checked.success ? { ...checked.data, holder: checked.data.holder } : undefined;
}

/** Nodes of the zone to join through: the writer of the record and the sample of members. */
export function listRosterMembers(record: LeaseRecord, zone: string): readonly KnownMember[] {
    const addresses = new Set([record.address, ...record.members.map(member => member.controlAddress)]);
    return [...addresses].map(controlAddress => ({ controlAddress, zone }));
}
