/**
 * Selection of the accounting node of an organisation by rendezvous hashing.
 *
 * All nodes compute the same order from the names alone, so that a node that joins or leaves moves few organisations,
 * and a node that does not respond is replaced by the same one everywhere.
 */

/** Name of a node with its hash, which is computed once for all organisations. */
export interface HashedNode {
    readonly node: string;
    readonly hash: number;
}

/** Parameters of the 32-bit FNV-1a hash. */
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
/** Multipliers of the finalizer of MurmurHash3, which spreads similar names over all 32 bits. */
const firstMultiplier = 0x85ebca6b;
const secondMultiplier = 0xc2b2ae35;

export function hashNode(node: string): HashedNode {
    return { node, hash: hashText(node) };
}

/** Returns the first node in the order of the organisation that responds; `undefined` if none does. */
export function selectAccountingNode(
    organisation: string,
    nodes: readonly HashedNode[],
    isResponding: (node: string) => boolean = () => true,
): string | undefined {
    const organisationHash = hashText(organisation);
    let selected: string | undefined;
    let highest = -1;
    for (const { node, hash } of nodes) {
        const weight = mix(organisationHash ^ hash);
        const precedes = weight > highest || (weight === highest && selected !== undefined && node < selected);
        if (precedes && isResponding(node)) {
            selected = node;
            highest = weight;
        }
    }
    return selected;
}

function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    return mix(hash);
}

function mix(value: number): number {
    let mixed = Math.imul(value ^ (value >>> 16), firstMultiplier);
    mixed = Math.imul(mixed ^ (mixed >>> 13), secondMultiplier);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
