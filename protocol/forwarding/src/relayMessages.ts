/**
 * Messages with which a node follows the state of another node and fetches missing content from it.
 *
 * State messages are small and pushed after each change. Content is pulled by the node that is behind, so that a node
 * which follows several others receives it once.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { isNumber } from "@bilberrycroft/core.json";
import { parseFields, parseStateVersions, type StateVersions } from "./messages";

/** Kind of content that nodes relay. */
export enum RelayedContent {
    Configuration = "configuration",
    Nodes = "nodes",
}

/** State that a node sends to its followers. */
export interface PeerState {
    readonly state: StateVersions;
    /** Whether the node reads the store and the store responds. */
    readonly readsStore: boolean;
}

export interface ContentRequest {
    readonly content: RelayedContent;
    /** What the requesting node has: a configuration version, or a store revision of the nodes; 0 for nothing. */
    readonly after: number;
}

/** Content received from another node. `value` is not validated yet. */
export interface ReceivedContent {
    readonly content: RelayedContent;
    readonly value: unknown;
}

/** Limit on decompressed content. A configuration with thousands of routes is about 1 MB. */
const maxContentBytes = 16_777_216;
/** The fastest level that compresses at all, because a node spends most of its processor time on calls. */
const compressionLevel = 1;

const contentKinds: ReadonlySet<unknown> = new Set(Object.values(RelayedContent));

/** Parses a state message; `undefined` if it is malformed. */
export function parsePeerState(payload: Buffer): PeerState | undefined {
    const fields = parseFields(payload);
    const state = parseStateVersions(fields?.state);
    return state === undefined ? undefined : { state, readsStore: fields?.readsStore === true };
}

/** Parses a content request; `undefined` if it is malformed. */
export function parseContentRequest(payload: Buffer): ContentRequest | undefined {
    const fields = parseFields(payload);
    return contentKinds.has(fields?.content) && isNumber(fields?.after)
        ? { content: fields.content as RelayedContent, after: fields.after }
        : undefined;
}

/** Encodes and compresses content, because many nodes of a zone may fetch it over one slow link. */
export function encodeContent(content: RelayedContent, value: unknown): Buffer {
    return deflateRawSync(JSON.stringify({ content, value }), { level: compressionLevel });
}

/** Decodes the output of `encodeContent`; `undefined` if the bytes are malformed or too large. */
export function decodeContent(payload: Buffer): ReceivedContent | undefined {
    let inflated: Buffer;
    try {
        inflated = inflateRawSync(payload, { maxOutputLength: maxContentBytes });
    }
    catch {
        // Not a deflate stream, or larger than `maxContentBytes` when decompressed.
        return undefined;
    }
    const fields = parseFields(inflated);
    return fields !== undefined && contentKinds.has(fields.content)
        ? { content: fields.content as RelayedContent, value: fields.value }
        : undefined;
}
