/**
 * Headers between the caller's node and the target's node.
 *
 * The caller's node offers a call with `Expect: 100-continue` and sends its body, if only an empty one, after the
 * target's node has granted it a slot with `100 Continue`. Until then the call cannot have run, so the caller's node
 * may take the offer back and go elsewhere, with calls that may not be repeated too. `102 Processing` says that the
 * offer waits in the queue.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { parseWholeNumber } from "@bilberrycroft/protocol.calls";

/** Names of the headers, in the lower case that Node's `http` delivers. */
export enum OfferHeader {
    /** Target that is to run the call. */
    Target = "x-mesh-target",
    /** Route, by which the target's node learns run times. */
    Route = "x-mesh-route",
    /** Time until the call's deadline. */
    DeadlineMs = "x-mesh-deadline-ms",
    /** Time until the latency objective; negative if it has passed. */
    ObjectiveMs = "x-mesh-objective-ms",
    /** Urgency: rank of the route, 0 first. */
    Priority = "x-mesh-priority",
    /** `1` if a target called, in the course of another call. */
    Inner = "x-mesh-inner",
    /** `1` if the offer may only take a slot that is free. */
    SpareOnly = "x-mesh-spare-only",
    /** `1` if the call may run more than once. */
    Repeatable = "x-mesh-repeatable",
    /** Service beside which the call began. */
    CallerService = "x-mesh-caller-service",
    /** Identifier of the caller's attempt. */
    CallId = "x-mesh-call-id",
    /** Length of the caller's body in bytes; absent without a body. */
    BodyBytes = "x-mesh-body-bytes",
    /** Digest by which calls with the same request are recognized. */
    Fingerprint = "x-mesh-fingerprint",
    /** Response: load of the target, see `TargetLoad`. */
    Load = "x-mesh-target-load",
    /** Response to a refused offer: time to come back. */
    RetryAfterMs = "x-mesh-retry-after-ms",
    /** Both ways: newest state that the sender has, see `StateMark`. */
    State = "x-mesh-state",
}

/** All header names of offers and their responses, which do not leave the mesh. */
export const meshHeaders: ReadonlySet<string> = new Set<string>([...Object.values(OfferHeader), "expect"]);

/** What the target's node has to know of an offered call. */
export interface Offer {
    readonly target: string;
    readonly route: string;
    readonly deadlineMs: Milliseconds;
    readonly objectiveMs: Milliseconds;
    readonly priority: number;
    readonly isInner: boolean;
    readonly spareOnly: boolean;
    readonly repeatable: boolean;
    readonly callerService: string;
    readonly callId: string;
    /** `undefined` if the caller sent no body. */
    readonly bodyBytes: number | undefined;
    readonly fingerprint: string;
}

const longestTimeMs: Milliseconds = 600_000;
const lowestPriority = 1_000;

/** Formats an offer as headers. */
export function formatOffer(offer: Offer): Record<string, string> {
    const headers: Record<string, string> = {
        [OfferHeader.Target]: offer.target,
        [OfferHeader.Route]: offer.route,
        [OfferHeader.DeadlineMs]: String(Math.max(1, Math.floor(offer.deadlineMs))),
        [OfferHeader.ObjectiveMs]: String(Math.floor(offer.objectiveMs)),
        [OfferHeader.Priority]: String(offer.priority),
        [OfferHeader.CallerService]: offer.callerService,
        [OfferHeader.CallId]: offer.callId,
        [OfferHeader.Fingerprint]: offer.fingerprint,
    };
    setFlag(headers, OfferHeader.Inner, offer.isInner);
    setFlag(headers, OfferHeader.SpareOnly, offer.spareOnly);
    setFlag(headers, OfferHeader.Repeatable, offer.repeatable);
    if (offer.bodyBytes !== undefined) {
        headers[OfferHeader.BodyBytes] = String(offer.bodyBytes);
    }
    return headers;
}

/** Parses the headers of an offer; `undefined` if one of them is missing or malformed. */
export function parseOffer(headers: Readonly<Record<string, string | string[] | undefined>>): Offer | undefined {
    const text = (name: OfferHeader): string | undefined => {
        const value = headers[name];
        return typeof value === "string" ? value : undefined;
    };
    const target = text(OfferHeader.Target);
    const route = text(OfferHeader.Route);
    const callId = text(OfferHeader.CallId);
    const callerService = text(OfferHeader.CallerService);
    const deadlineMs = parseWholeNumber(text(OfferHeader.DeadlineMs), { minimum: 1, maximum: longestTimeMs });
    const priority = parseWholeNumber(text(OfferHeader.Priority), { minimum: 0, maximum: lowestPriority });
    const objectiveMs = Number(text(OfferHeader.ObjectiveMs));
    const bodyText = text(OfferHeader.BodyBytes);
    const bodyBytes = parseWholeNumber(bodyText, { minimum: 0, maximum: Number.MAX_SAFE_INTEGER });
    if (target === undefined || route === undefined || callId === undefined || callerService === undefined
        || deadlineMs === undefined || priority === undefined || !Number.isFinite(objectiveMs)
        || (bodyText !== undefined && bodyBytes === undefined)) {
        return undefined;
    }
    return {
        target,
        route,
        deadlineMs,
        objectiveMs,
        priority,
        isInner: text(OfferHeader.Inner) === "1",
        spareOnly: text(OfferHeader.SpareOnly) === "1",
        repeatable: text(OfferHeader.Repeatable) === "1",
        callerService,
        callId,
        bodyBytes,
        fingerprint: text(OfferHeader.Fingerprint) ?? "",
    };
}

function setFlag(headers: Record<string, string>, name: OfferHeader, isSet: boolean): void {
    if (isSet) {
        headers[name] = "1";
    }
}

/** Newest state of the store that a node has, by which other nodes notice that they have fallen behind. */
export interface StateMark {
    /** Version of the configuration in force; 0 without one. */
    readonly configurationVersion: number;
    /** Store revision of the newest change to the table of nodes. */
    readonly registryRevision: number;
}

const statePattern = /^(\d{1,15})\/(\d{1,15})$/;

/** Formats the state header. */
export function formatStateMark(mark: StateMark): string {
    return `${mark.configurationVersion}/${mark.registryRevision}`;
}

/** Parses the state header; anything malformed counts as no mark. */
export function parseStateMark(header: string | string[] | undefined): StateMark | undefined {
    const match = typeof header === "string" ? statePattern.exec(header) : undefined;
    return match?.[1] === undefined
        ? undefined
        : { configurationVersion: Number(match[1]), registryRevision: Number(match[2]) };
}
