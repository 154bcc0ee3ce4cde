/**
 * Messages between the caller's node and the target's node.
 *
 * The caller's node offers the head of a call and sends its body, if only an empty one, after the target's node has
 * granted it a slot. Until then the call cannot have run, so the caller's node may take the offer back and go
 * elsewhere, with calls that may not be repeated too.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText, parseJson, type UncheckedFields } from "@bilberrycroft/core.json";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { parseTargetLoad, type TargetLoad } from "./targetLoad";

/** Headers of a message that is passed on. */
export type PassedHeaders = Record<string, string | string[]>;

/** What the target's node has to know of an offered call. */
export interface Offer {
    /** Target that is to run the call. */
    readonly target: string;
    /** Route, by which the target's node learns run times. */
    readonly route: string;
    /** Time until the call's deadline. */
    readonly deadlineMs: Milliseconds;
    /** Time until the latency objective; negative if it has passed. */
    readonly objectiveMs: Milliseconds;
    /** Urgency: rank of the route, 0 first. */
    readonly priority: number;
    /** A target called, in the course of another call. */
    readonly isInner: boolean;
    /** The offer may only take a slot that is free. */
    readonly spareOnly: boolean;
    /** Another target may have run the call already, or still runs it. */
    readonly isRepeat: boolean;
    /** The call may run more than once. */
    readonly repeatable: boolean;
    /** Service beside which the call began. */
    readonly callerService: string;
    /** Identifier of the caller's attempt. */
    readonly callId: string;
    /** Length of the caller's body; `undefined` if the caller sent none. */
    readonly bodyBytes?: number | undefined;
    /** Digest by which calls with the same request are recognized. */
    readonly fingerprint: string;
}

/** An offer with the head of its call. */
export interface OfferMessage {
    readonly offer: Offer;
    readonly method: string;
    readonly path: string;
    readonly headers: PassedHeaders;
    readonly state: StateMark;
}

/** Newest state of the store that a node has, by which other nodes notice that they have fallen behind. */
export interface StateMark {
    /** Version of the configuration in force; 0 without one. */
    readonly configurationVersion: number;
    /** Store revision of the newest change to the table of nodes. */
    readonly registryRevision: number;
}

/** What a node tells of itself with each response. */
export interface NodeReport {
    readonly load: TargetLoad;
    readonly state: StateMark;
}

/** The call did not run. */
export interface Refusal {
    readonly reason: CallReason;
    /** Time to come back. */
    readonly retryAfterMs: Milliseconds;
    readonly report: NodeReport;
}

/** The call may have run and has no usable answer. */
export interface Loss {
    readonly reason: CallReason;
    readonly report: NodeReport;
}

/** Head of a target's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: PassedHeaders;
    readonly report: NodeReport;
}

/** Parses an offer; `undefined` if a field is missing or of another type. */
export function parseOfferMessage(payload: Buffer): OfferMessage | undefined {
    const fields = parseFields(payload);
    const offer = parseOffer(fields?.offer);
    const state = parseStateMark(fields?.state);
    const headers = parseHeaders(fields?.headers);
    if (offer === undefined || state === undefined || headers === undefined
        || !isText(fields?.method) || !isText(fields.path)) {
        return undefined;
    }
    return { offer, method: fields.method, path: fields.path, headers, state };
}

/** Parses a refusal. */
export function parseRefusal(payload: Buffer): Refusal | undefined {
    const fields = parseFields(payload);
    const report = parseReport(fields?.report);
    const reason = parseReason(fields?.reason);
    return report === undefined || reason === undefined || !isNumber(fields?.retryAfterMs)
        ? undefined
        : { reason, retryAfterMs: fields.retryAfterMs, report };
}

/** Parses a loss. */
export function parseLoss(payload: Buffer): Loss | undefined {
    const fields = parseFields(payload);
    const report = parseReport(fields?.report);
    const reason = parseReason(fields?.reason);
    return report === undefined || reason === undefined ? undefined : { reason, report };
}

/** Parses the head of an answer. */
export function parseAnswerHead(payload: Buffer): AnswerHead | undefined {
    const fields = parseFields(payload);
    const report = parseReport(fields?.report);
    const headers = parseHeaders(fields?.headers);
    return report === undefined || headers === undefined || !isNumber(fields?.status)
        ? undefined
        : { status: fields.status, headers, report };
}

/** Parses a report that is no part of another message. */
export function parseNodeReport(payload: Buffer): NodeReport | undefined {
    return parseReport(parseFields(payload));
}

/** Fields of a payload, not checked yet; `undefined` if it is no JSON object. */
export function parseFields(payload: Buffer): UncheckedFields | undefined {
    const value = parseJson(payload.toString("utf8"));
    return isRecord(value) ? value : undefined;
}

function parseOffer(value: unknown): Offer | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { target, route, callerService, callId, fingerprint, deadlineMs, objectiveMs, priority, bodyBytes } = value;
    if (!isText(target) || !isText(route) || !isText(callerService) || !isText(callId) || !isText(fingerprint)
        || !isNumber(deadlineMs) || !isNumber(objectiveMs) || !isNumber(priority)
        || !(bodyBytes === undefined || isNumber(bodyBytes))) {
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
        isInner: value.isInner === true,
        spareOnly: value.spareOnly === true,
        isRepeat: value.isRepeat === true,
        repeatable: value.repeatable === true,
    };
}

function parseReport(value: unknown): NodeReport | undefined {
    const load = isRecord(value) ? parseTargetLoad(value.load) : undefined;
    const state = isRecord(value) ? parseStateMark(value.state) : undefined;
    return load === undefined || state === undefined ? undefined : { load, state };
}

/** Parses a state mark. */
export function parseStateMark(value: unknown): StateMark | undefined {
    return isRecord(value) && isNumber(value.configurationVersion) && isNumber(value.registryRevision)
        ? { configurationVersion: value.configurationVersion, registryRevision: value.registryRevision }
        : undefined;
}

function parseHeaders(value: unknown): PassedHeaders | undefined {
    return isRecord(value) ? value as PassedHeaders : undefined;
}

const reasons: ReadonlySet<unknown> = new Set(Object.values(CallReason));

function parseReason(value: unknown): CallReason | undefined {
    return reasons.has(value) ? value as CallReason : undefined;
}
