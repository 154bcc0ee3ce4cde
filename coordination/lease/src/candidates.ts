/**
 * Which members of a zone contend for its lease. Rendezvous hashing gives the same answer on every node that sees the
 * same members, and changes little when members change.
 */
import { createHash } from "node:crypto";
import type { LeaseMember } from "./messages";

/** Members that contend at the same time; the second covers the first. */
export const candidateCount = 2;

/** Members with the highest rank in a zone, highest first. */
export function chooseCandidates(zone: string, members: readonly LeaseMember[]): readonly string[] {
    return members
        .map(({ node }) => ({ node, rank: rankOf(zone, node) }))
        .sort((left, right) => (left.rank < right.rank ? 1 : -1))
        .slice(0, candidateCount)
        .map(({ node }) => node);
}

function rankOf(zone: string, node: string): string {
    return createHash("sha256").update(`${zone} ${node}`).digest("hex");
}
