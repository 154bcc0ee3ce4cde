/**
 * Messages by which one node follows the state of another and fetches what it lacks.
 *
 * States are small and told after each change; content is asked for by the node that finds itself behind, so that a
 * node which follows several others gets it once.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { isNumber } from "@bilberrycroft/core.json";
import { parseFields, parseStateMark, type StateMark } from "./messages";

/** Content that nodes pass on. */
export enum RelayedContent {
    Configuration = "configuration",
    Nodes = "nodes",
}

/** State of a node, as its followers hear it. */
export interface PeerState {
    readonly state: StateMark;
    /** The node reads the store, and the store answers it. */
    readonly readsStore: boolean;
}

/** Asks for content. */
export interface ContentRequest {
    readonly content: RelayedContent;
    /** What the asking node has: a version of the configuration, a store revision of the nodes; 0 for nothing. */
    readonly after: number;
}

/** Content as another node sent it, to be checked by the part that takes it. */
export interface ReceivedContent {
    readonly content: RelayedContent;
    readonly value: unknown;
}

/** A configuration with thousands of routes is about 1 MB. */
const maxContentBytes = 16_777_216;
/** The first level that compresses at all: a node spends most of its processor time on calls. */
const compressionLevel = 1;

const contents: ReadonlySet<unknown> = new Set(Object.values(RelayedContent));

/** Parses the state of a node. */
export function parsePeerState(payload: Buffer): PeerState | undefined {
    const fields = parseFields(payload);
    const state = parseStateMark(fields?.state);
    return state === undefined ? undefined : { state, readsStore: fields?.readsStore === true };
}

/** Parses a request for content. */
export function parseContentRequest(payload: Buffer): ContentRequest | undefined {
    const fields = parseFields(payload);
    return contents.has(fields?.content) && isNumber(fields?.after)
        ? { content: fields.content as RelayedContent, after: fields.after }
        : undefined;
}

/** Encodes content; compressed, since many nodes of a zone may fetch it over one narrow link. */
export function encodeContent(content: RelayedContent, value: unknown): Buffer {
    return deflateRawSync(JSON.stringify({ content, value }), { level: compressionLevel });
}

/** Decodes content; `undefined` if the bytes are not what `encodeContent` makes. */
export function decodeContent(payload: Buffer): ReceivedContent | undefined {
    let inflated: Buffer;
    try {
        inflated = inflateRawSync(payload, { maxOutputLength: maxContentBytes });
    }
    catch {
        // Not compressed bytes, or more than the bound.
        return undefined;
    }
    const fields = parseFields(inflated);
    return fields !== undefined && contents.has(fields.content)
        ? { content: fields.content as RelayedContent, value: fields.value }
        : undefined;
}
