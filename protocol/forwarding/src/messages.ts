/**
 * Messages between the caller's node and the target's node.
 *
 * The caller's node first offers the head of a call. It sends the body, even an empty one, only after the target's node
 * has granted a slot. Until then the call cannot have run, so the caller's node can withdraw the offer and try another
 * target, even for a call that is not idempotent.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText, parseJson, type UncheckedFields } from "@bilberrycroft/core.json";
import { CallReason, describeInvalidHeader, isHeaderName } from "@bilberrycroft/protocol.calls";
import { readLoss, readOffer, readRefusal, readReport, readResponseHead } from "./compactMessages";
import { parseTargetLoad, type TargetLoad } from "./targetLoad";
import { parseVersionCounts, type VersionCounts } from "./versionCounts";

/** Headers of a forwarded request or response. */
export type ForwardedHeaders = Record<string, string | string[]>;

/** Metadata of a call that the target's node needs for admission and scheduling. */
export interface Offer {
    /** Id of the target selected for the call. */
    readonly target: string;
    /** Route of the call; the target's node estimates run times per route. */
    readonly route: string;
    /** Remaining time until the deadline of the call. */
    readonly deadlineMs: Milliseconds;
    /** Remaining time until the latency objective; negative if it has passed. */
    readonly objectiveMs: Milliseconds;
    /** Priority of the route; 0 is the highest. */
    readonly priority: number;
    /** Whether this is an inner call, which a target makes while it runs another call. */
    readonly isInner: boolean;
    /** Whether the offer is refused instead of queued if no slot is free. */
    readonly spareOnly: boolean;
    /** Whether another target may have run the call already, or may still be running it. */
    readonly isRepeat: boolean;
    /** Whether the call may run more than once. */
    readonly repeatable: boolean;
    /** Service of the node that received the call from the caller. */
    readonly callerService: string;
    /** Id of the caller's attempt. */
    readonly callId: string;
    /** Length of the request body; `undefined` if the caller sent none. */
    readonly bodyBytes?: number | undefined;
    /** Digest of the request; equal for calls with the same request. */
    readonly fingerprint: string;
    /** Limit that the target named to the caller's node, in calls per second; `undefined` if it named none. */
    readonly targetCallsPerSecond?: number | undefined;
    /** Name of the organisation that the call belongs to; `undefined` if it belongs to none. */
    readonly organisation?: string | undefined;
}

/** An offer together with the head of its call. */
export interface OfferMessage {
    readonly offer: Offer;
    readonly method: string;
    readonly path: string;
    readonly headers: ForwardedHeaders;
    readonly state: StateVersions;
}

/** Newest store state that a node has. Peers compare it with their state to detect that they are behind. */
export interface StateVersions {
    /** Version of the active configuration; 0 if there is none. */
    readonly configurationVersion: number;
    /** Store revision of the latest change to the node entries. */
    readonly registryRevision: number;
}

/** Load and state that a node reports with each response. */
export interface NodeReport {
    readonly load: TargetLoad;
    readonly state: StateVersions;
    /** Only in reply to `ReportRequest`, while a rollout of the target's service is active. */
    readonly counts?: VersionCounts | undefined;
}

/** The call was refused and did not run. */
export interface Refusal {
    readonly reason: CallReason;
    /** Time after which the caller may retry. */
    readonly retryAfterMs: Milliseconds;
    readonly report: NodeReport;
}

/** The call may have run, but there is no usable response. */
export interface Loss {
    readonly reason: CallReason;
    readonly report: NodeReport;
}

/** Status and headers of a target's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: ForwardedHeaders;
    readonly report: NodeReport;
}

const minFinalStatus = 200;
const maxStatus = 999;
/** Characters that a request target may contain when it is sent. */
const pathPattern = /^[\x21-\xff]+$/;

/** Parses an offer; `undefined` if a required field is missing or has the wrong type. */
export function parseOfferMessage(payload: Buffer): OfferMessage | undefined {
    const fields = parseList(payload, readOffer);
    const offer = parseOffer(fields?.offer);
    const state = parseStateVersions(fields?.state);
    const headers = parseHeaders(fields?.headers);
    const { method, path } = fields ?? {};
    if (offer === undefined || state === undefined || headers === undefined
        || !isText(method) || !isHeaderName(method) || !isText(path) || !pathPattern.test(path)) {
        return undefined;
    }
    return { offer, method, path, headers, state };
}

export function parseRefusal(payload: Buffer): Refusal | undefined {
    const fields = parseList(payload, readRefusal);
    const report = parseReport(fields?.report);
    const reason = parseReason(fields?.reason);
    return report === undefined || reason === undefined || !isNumber(fields?.retryAfterMs)
        ? undefined
        : { reason, retryAfterMs: fields.retryAfterMs, report };
}

export function parseLoss(payload: Buffer): Loss | undefined {
    const fields = parseList(payload, readLoss);
    const report = parseReport(fields?.report);
    const reason = parseReason(fields?.reason);
    return report === undefined || reason === undefined ? undefined : { reason, report };
}

export function parseResponseHead(payload: Buffer): ResponseHead | undefined {
    const fields = parseList(payload, readResponseHead);
    const report = parseReport(fields?.report);
    const headers = parseHeaders(fields?.headers);
    const status = fields?.status;
    return report === undefined || headers === undefined || !isFinalStatus(status)
        ? undefined
        : { status, headers, report };
}

function isFinalStatus(value: unknown): value is number {
    return Number.isInteger(value) && value as number >= minFinalStatus && value as number <= maxStatus;
}

/** Parses the payload of a report frame. */
export function parseNodeReport(payload: Buffer): NodeReport | undefined {
    return parseReport(parseList(payload, readReport));
}

/** Parses a payload in compact form into unchecked fields; `undefined` if it is not a JSON list. */
function parseList<Fields>(payload: Buffer, read: (list: readonly unknown[]) => Fields): Fields | undefined {
    const list = parseJson(payload.toString("utf8"));
    return Array.isArray(list) ? read(list) : undefined;
}

/** Parses a payload into unchecked fields; `undefined` if it is not a JSON object. */
export function parseFields(payload: Buffer): UncheckedFields | undefined {
    const value = parseJson(payload.toString("utf8"));
    return isRecord(value) ? value : undefined;
}

function parseOffer(value: unknown): Offer | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { target, route, callerService, callId, fingerprint, deadlineMs, objectiveMs, priority } = value;
    const { bodyBytes, targetCallsPerSecond, organisation } = value;
    if (!isText(target) || !isText(route) || !isText(callerService) || !isText(callId) || !isText(fingerprint)
        || !isNumber(deadlineMs) || !isNumber(objectiveMs) || !isNumber(priority)
        || !(bodyBytes === undefined || isNumber(bodyBytes))
        || !(targetCallsPerSecond === undefined || isNumber(targetCallsPerSecond))
        || !(organisation === undefined || isText(organisation))) {
        return undefined;
    }
    return {
        target,
        route,
        callerService,
        callId,
        fingerprint,
        deadlineMs,
        objectiveMs,
        priority,
        bodyBytes,
        targetCallsPerSecond,
        organisation,
        isInner: value.isInner === true,
        spareOnly: value.spareOnly === true,
        isRepeat: value.isRepeat === true,
        repeatable: value.repeatable === true,
    };
}

function parseReport(value: unknown): NodeReport | undefined {
    const load = isRecord(value) ? parseTargetLoad(value.load) : undefined;
    const state = isRecord(value) ? parseStateVersions(value.state) : undefined;
    const counts = isRecord(value) && value.counts !== undefined ? parseVersionCounts(value.counts) : undefined;
    return load === undefined || state === undefined ? undefined : { load, state, counts };
}

export function parseStateVersions(value: unknown): StateVersions | undefined {
    return isRecord(value) && isNumber(value.configurationVersion) && isNumber(value.registryRevision)
        ? { configurationVersion: value.configurationVersion, registryRevision: value.registryRevision }
        : undefined;
}

function parseHeaders(value: unknown): ForwardedHeaders | undefined {
    return isRecord(value) && describeInvalidHeader(value) === undefined ? value as ForwardedHeaders : undefined;
}

const callReasons: ReadonlySet<unknown> = new Set(Object.values(CallReason));

function parseReason(value: unknown): CallReason | undefined {
    return callReasons.has(value) ? value as CallReason : undefined;
}
