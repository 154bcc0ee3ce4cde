/**
 * Selects the members of a zone that contend for its lease, by rendezvous hashing. All nodes with the same list of
 * members select the same candidates, and a change of members changes few of them.
 */
import { createHash } from "node:crypto";
import type { LeaseMember } from "./messages";

/** Number of members that contend at the same time. The second is the backup of the first. */
export const candidateCount = 2;

/** Nodes with the highest rank in a zone, highest first. */
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
