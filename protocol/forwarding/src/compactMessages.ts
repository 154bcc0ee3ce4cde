/**
 * Compact form of the messages of a call: JSON lists of values in a fixed order.
 *
 * Field names, long fractions and the names of common headers were most of an offer and of a report. Offers are sent
 * several times for one call under overload, and bytes between zones are slow and expensive.
 *
 * The functions for reading return unchecked fields under the names that the parsers check.
 */
import type { UncheckedFields } from "@bilberrycroft/core.json";
import type { ForwardedHeaders, Loss, NodeReport, OfferMessage, Refusal, ResponseHead } from "./messages";

/** Flags of an offer, as bits of one number. */
enum OfferFlag {
    Inner = 1,
    SpareOnly = 2,
    Repeat = 4,
    Repeatable = 8,
}

/** Headers that are sent as their position in this list, which must only grow at its end. */
const commonHeaders: readonly string[] = [
    "host",
    "accept",
    "accept-encoding",
    "content-length",
    "content-type",
    "date",
    "etag",
    "last-modified",
    "transfer-encoding",
    "user-agent",
];
const indexByHeader: ReadonlyMap<string, number> = new Map(commonHeaders.map((name, index) => [name, index]));

/** Digits behind the point that times in milliseconds and shares are sent with. */
const timeScale = 10;
const shareScale = 1_000;

export function encodeOffer({ offer, method, path, headers, state }: OfferMessage): Buffer {
    const { isInner, spareOnly, isRepeat, repeatable } = offer;
    const flags = (isInner ? OfferFlag.Inner : 0) | (spareOnly ? OfferFlag.SpareOnly : 0)
        | (isRepeat ? OfferFlag.Repeat : 0) | (repeatable ? OfferFlag.Repeatable : 0);
    return encodeList([
        offer.target,
        offer.route,
        offer.deadlineMs,
        offer.objectiveMs,
        offer.priority,
        flags,
        offer.callerService,
        offer.callId,
        offer.fingerprint,
        offer.bodyBytes,
        offer.targetCallsPerSecond,
        offer.organisation,
        method,
        path,
        listHeaders(headers),
        state.configurationVersion,
        state.registryRevision,
    ]);
}

export function readOffer(list: readonly unknown[]): UncheckedFields {
    const [target, route, deadlineMs, objectiveMs, priority, flags, callerService, callId, fingerprint] = list;
    const [bodyBytes, targetCallsPerSecond, organisation, method, path, headers, ...state] = list.slice(9);
    return {
        offer: {
            target,
            route,
            deadlineMs,
            objectiveMs,
            priority,
            isInner: hasFlag(flags, OfferFlag.Inner),
            spareOnly: hasFlag(flags, OfferFlag.SpareOnly),
            isRepeat: hasFlag(flags, OfferFlag.Repeat),
            repeatable: hasFlag(flags, OfferFlag.Repeatable),
            callerService,
            callId,
            fingerprint,
            bodyBytes: bodyBytes ?? undefined,
            targetCallsPerSecond: targetCallsPerSecond ?? undefined,
            organisation: organisation ?? undefined,
        },
        method,
        path,
        headers: readHeaders(headers),
        state: readState(state),
    };
}

export function encodeResponseHead({ status, headers, report }: ResponseHead): Buffer {
    return encodeList([status, listHeaders(headers), listReport(report)]);
}

export function readResponseHead([status, headers, report]: readonly unknown[]): UncheckedFields {
    return { status, headers: readHeaders(headers), report: readReport(report) };
}

export function encodeRefusal({ reason, retryAfterMs, report }: Refusal): Buffer {
    return encodeList([reason, round(retryAfterMs, timeScale), listReport(report)]);
}

export function readRefusal([reason, retryAfterMs, report]: readonly unknown[]): UncheckedFields {
    return { reason, retryAfterMs, report: readReport(report) };
}

export function encodeLoss({ reason, report }: Loss): Buffer {
    return encodeList([reason, listReport(report)]);
}

export function readLoss([reason, report]: readonly unknown[]): UncheckedFields {
    return { reason, report: readReport(report) };
}

export function encodeNodeReport(report: NodeReport): Buffer {
    return encodeList(listReport(report));
}

export function readReport(value: unknown): UncheckedFields | undefined {
    if (!Array.isArray(value)) {
        return undefined;
    }
    const [availability, running, queued, slots, usableSlots, runTimeMs, sendMs, meanRunTimeMs, failureShare] = value;
    const [limit, leavingTarget, counts, ...state] = value.slice(9) as unknown[];
    return {
        load: {
            availability,
            running,
            queued,
            slots,
            usableSlots: usableSlots ?? undefined,
            runTimeMs,
            sendMs,
            meanRunTimeMs,
            failureShare,
            limit: limit ?? undefined,
            leavingTarget: leavingTarget ?? undefined,
        },
        state: readState(state),
        counts: counts ?? undefined,
    };
}

function listReport({ load, state, counts }: NodeReport): unknown[] {
    return [
        load.availability,
        load.running,
        load.queued,
        load.slots,
        load.usableSlots,
        round(load.runTimeMs, timeScale),
        round(load.sendMs, timeScale),
        round(load.meanRunTimeMs, timeScale),
        round(load.failureShare, shareScale),
        load.limit,
        load.leavingTarget,
        counts,
        state.configurationVersion,
        state.registryRevision,
    ];
}

function readState([configurationVersion, registryRevision]: readonly unknown[]): UncheckedFields {
    return { configurationVersion, registryRevision };
}

function listHeaders(headers: ForwardedHeaders): unknown[] {
    const list: unknown[] = [];
    for (const name in headers) {
        list.push(indexByHeader.get(name) ?? name, headers[name]);
    }
    return list;
}

/** Returns `undefined` if the list does not consist of names, or positions of common names, and values. */
function readHeaders(list: unknown): UncheckedFields | undefined {
    if (!Array.isArray(list) || list.length % 2 !== 0) {
        return undefined;
    }
    const fields: [string, unknown][] = [];
    for (let index = 0; index < list.length; index += 2) {
        const name: unknown = typeof list[index] === "number" ? commonHeaders[list[index]] : list[index];
        if (typeof name !== "string") {
            return undefined;
        }
        fields.push([name, list[index + 1]]);
    }
    return Object.fromEntries(fields);
}

function hasFlag(flags: unknown, flag: OfferFlag): boolean {
    return typeof flags === "number" && (flags & flag) !== 0;
}

function round(value: number, scale: number): number {
    return Math.round(value * scale) / scale;
}

function encodeList(list: readonly unknown[]): Buffer {
    return Buffer.from(JSON.stringify(list), "utf8");
}
