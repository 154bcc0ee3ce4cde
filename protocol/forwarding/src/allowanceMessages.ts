/**
 * Messages between a node that admits calls of an organisation and the accounting node of that organisation.
 */
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { parseFields } from "./messages";

/** Limit on the calls of an organisation over all nodes. */
export interface QuotaLimit {
    readonly callsPerSecond: number;
    /** Calls allowed at once in addition to the rate. */
    readonly burst: number;
}

/** The bucket of an organisation after a grant, which the next accounting node continues. */
export interface BucketState {
    /** Tokens in the bucket; negative if more was granted than had been earned. */
    readonly tokens: number;
    /** Time for which the accounting node has been responsible. */
    readonly heldMs: Milliseconds;
}

/** What an accounting node has told of its bucket. */
export interface PreviousBucket extends BucketState {
    /** Time since the sender was told. */
    readonly ageMs: Milliseconds;
}

/** Request for the tokens of one organisation. */
export interface AllowanceAsk {
    readonly organisation: string;
    /** Calls that wait for a token. */
    readonly tokens: number;
    /** Recent calls per second at the sender. */
    readonly demand: number;
    /** Unused tokens of earlier grants that the sender gives up. */
    readonly returned: number;
    /** Limit in the sender's configuration. */
    readonly limit: QuotaLimit;
    /** Set if the last grant that said something of the bucket may be of another accounting node or process. */
    readonly previous?: PreviousBucket | undefined;
}

/** Requests tokens; without asks, only a reply that shows that the receiver responds. */
export interface AllowanceRequest {
    /** Name of the sender. */
    readonly node: string;
    /** Version of the sender's configuration. */
    readonly configurationVersion: number;
    readonly asks: readonly AllowanceAsk[];
}

export enum AllowanceGrantKind {
    Granted = "granted",
    /** The receiver is not the accounting node of the organisation. */
    Declined = "declined",
}

/** Reply to one ask. */
export type AllowanceGrant =
    | { readonly kind: AllowanceGrantKind.Declined; readonly organisation: string }
    | {
        readonly kind: AllowanceGrantKind.Granted;
        readonly organisation: string;
        readonly tokens: number;
        /** Time from the request until the tokens expire. */
        readonly validMs: Milliseconds;
        /** Time during which further requests would be in vain; 0 if all tokens were granted. */
        readonly pauseMs: Milliseconds;
        /** Time until there is room for one more call. */
        readonly retryAfterMs: Milliseconds;
        /** Omitted while the next accounting node may begin without it. */
        readonly bucket?: BucketState | undefined;
    };

/** Reply to `AllowanceRequest`. */
export interface Allowance {
    readonly grants: readonly AllowanceGrant[];
    /** Whether requests of the replying node to the receiver of the reply are answered, as far as it knows. */
    readonly reachesReceiver: boolean;
}

/** Maximum organisations in one message. */
export const maxAsksPerRequest = 256;
/** Maximum tokens in one ask or grant. A node that needs more asks again within the lifetime of its tokens. */
export const maxTokensPerGrant = 100_000;
/** Fits `maxAsksPerRequest` names of the longest kind. */
const maxMessageBytes = 1_048_576;
/** Limit of names, in UTF-16 code units. */
const maxNameLength = 512;
const maxCallsPerSecond = 1e9;
const maxDelayMs: Milliseconds = 3_600_000;

/** Parses a request; `undefined` if a field is missing, has the wrong type or is out of range. */
export function parseAllowanceRequest(payload: Buffer): AllowanceRequest | undefined {
    const fields = payload.length > maxMessageBytes ? undefined : parseFields(payload);
    const { node, configurationVersion } = fields ?? {};
    const asks = parseList(fields?.asks, parseAsk);
    return asks === undefined || !isName(node) || !isInRange(configurationVersion, Number.MAX_SAFE_INTEGER)
        ? undefined
        : { node, configurationVersion, asks };
}

/** Parses a reply; `undefined` if a field is missing, has the wrong type or is out of range. */
export function parseAllowance(payload: Buffer): Allowance | undefined {
    const fields = payload.length > maxMessageBytes ? undefined : parseFields(payload);
    const grants = parseList(fields?.grants, parseGrant);
    const reachesReceiver = fields?.reachesReceiver;
    return grants === undefined || typeof reachesReceiver !== "boolean" ? undefined : { grants, reachesReceiver };
}

function parseList<Item>(value: unknown, parse: (item: unknown) => Item | undefined): Item[] | undefined {
    if (!Array.isArray(value) || value.length > maxAsksPerRequest) {
        return undefined;
    }
    const items = value.map(parse).filter(item => item !== undefined);
    return items.length === value.length ? items : undefined;
}

function parseAsk(value: unknown): AllowanceAsk | undefined {
    if (!isRecord(value) || !isRecord(value.limit)) {
        return undefined;
    }
    const { organisation, tokens, demand, returned } = value;
    const { callsPerSecond, burst } = value.limit;
    const previous = parsePreviousBucket(value.previous);
    return isName(organisation) && isTokenCount(tokens) && isTokenCount(returned)
        && isInRange(demand, maxCallsPerSecond) && isInRange(callsPerSecond, maxCallsPerSecond) && callsPerSecond > 0
        && isInRange(burst, maxCallsPerSecond)
        ? { organisation, tokens, demand, returned, limit: { callsPerSecond, burst }, ...previous && { previous } }
        : undefined;
}

/** Returns `undefined` if there is none, or none that can be read; the bucket then begins without it. */
function parseBucketState(value: unknown): BucketState | undefined {
    const { tokens, heldMs } = isRecord(value) ? value : {};
    return isNumber(tokens) && Math.abs(tokens) <= maxTokensPerGrant && isInRange(heldMs, Number.MAX_SAFE_INTEGER)
        ? { tokens, heldMs }
        : undefined;
}

function parsePreviousBucket(value: unknown): PreviousBucket | undefined {
    const state = parseBucketState(value);
    const { ageMs } = isRecord(value) ? value : {};
    return state !== undefined && isInRange(ageMs, maxDelayMs) ? { ...state, ageMs } : undefined;
}

function parseGrant(value: unknown): AllowanceGrant | undefined {
    if (!isRecord(value) || !isName(value.organisation)) {
        return undefined;
    }
    const { kind, organisation, tokens, validMs, pauseMs, retryAfterMs } = value;
    if (kind === AllowanceGrantKind.Declined) {
        return { kind, organisation };
    }
    const bucket = parseBucketState(value.bucket);
    return kind === AllowanceGrantKind.Granted && isTokenCount(tokens)
        && isInRange(validMs, maxDelayMs) && isInRange(pauseMs, maxDelayMs) && isInRange(retryAfterMs, maxDelayMs)
        ? { kind, organisation, tokens, validMs, pauseMs, retryAfterMs, ...bucket && { bucket } }
        : undefined;
}

function isName(value: unknown): value is string {
    return isText(value) && value.length <= maxNameLength;
}

function isTokenCount(value: unknown): value is number {
    return Number.isInteger(value) && isInRange(value, maxTokensPerGrant);
}

function isInRange(value: unknown, maximum: number): value is number {
    return isNumber(value) && value >= 0 && value <= maximum;
}
