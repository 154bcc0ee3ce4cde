/**
 * Compact status of a zone, kept in the lease record for operators that cannot reach the zone's nodes.
 */

/** Number of nodes with the same version in force. */
export interface VersionCount {
    /** 0 for nodes without a version. */
    readonly version: number;
    readonly nodes: number;
}

/** Number of nodes that refused a version for the same reason. */
export interface RefusalCount {
    readonly version: number;
    readonly line: number;
    readonly requester: string;
    readonly reason: string;
    readonly nodes: number;
}

export interface ZoneSummary {
    readonly nodes: number;
    /** Highest version first. */
    readonly versions: readonly VersionCount[];
    readonly refusals: readonly RefusalCount[];
}

/** Status of one node, as input of the summary. */
export interface SummarizedNode {
    readonly version: number;
    readonly refusal: Omit<RefusalCount, "nodes"> | undefined;
}

/** Maximum entries per list. Bounds the size of the record; the store accepts objects of up to 1 MB. */
const maxGroups = 16;

export function summarizeZone(nodes: readonly SummarizedNode[]): ZoneSummary {
    const versions = new Map<number, VersionCount>();
    const refusals = new Map<string, RefusalCount>();
    for (const { version, refusal } of nodes) {
        versions.set(version, { version, nodes: (versions.get(version)?.nodes ?? 0) + 1 });
        if (refusal !== undefined) {
            const key = `${refusal.version} ${refusal.line} ${refusal.reason}`;
            refusals.set(key, countRefusal(refusal, refusals.get(key)));
        }
    }
    return {
        nodes: nodes.length,
        versions: [...versions.values()].sort((left, right) => right.version - left.version).slice(0, maxGroups),
        refusals: [...refusals.values()].sort((left, right) => right.version - left.version).slice(0, maxGroups),
    };
}

function countRefusal(refusal: Omit<RefusalCount, "nodes">, existing: RefusalCount | undefined): RefusalCount {
    const { version, line, requester, reason } = refusal;
    return { version, line, requester, reason, nodes: (existing?.nodes ?? 0) + 1 };
}
