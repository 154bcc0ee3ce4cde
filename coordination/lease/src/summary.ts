/**
 * Status of a zone in a few lines, for readers that can not reach its nodes.
 */

/** Nodes with one version in force. */
export interface VersionCount {
    /** 0 for nodes without a version. */
    readonly version: number;
    readonly nodes: number;
}

/** Nodes that refused one version for the same reason. */
export interface RefusalCount {
    readonly version: number;
    readonly line: number;
    readonly requester: string;
    readonly reason: string;
    readonly nodes: number;
}

/** Counts of one zone. */
export interface ZoneSummary {
    readonly nodes: number;
    /** Highest version first. */
    readonly versions: readonly VersionCount[];
    readonly refusals: readonly RefusalCount[];
}

/** What a summary needs of a node. */
export interface SummarizedNode {
    readonly version: number;
    readonly refusal: Omit<RefusalCount, "nodes"> | undefined;
}

/** Bounds the record; the store takes objects up to 1 MB. */
const maxGroups = 16;

/** Counts versions and refusals. */
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

function countRefusal(refusal: Omit<RefusalCount, "nodes">, known: RefusalCount | undefined): RefusalCount {
    const { version, line, requester, reason } = refusal;
    return { version, line, requester, reason, nodes: (known?.nodes ?? 0) + 1 };
}
