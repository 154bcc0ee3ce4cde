/**
 * The entry by which a node announces itself and its target in the platform store.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";
import { isSocketAddress } from "@bilberrycroft/protocol.calls";
import { parseVersion } from "./rolloutPlan";

/** Lifecycle phase that a target announces. */
export enum TargetPhase {
    Ready = "ready",
    /** The target finishes running calls and accepts no new ones. */
    Draining = "draining",
}

export interface AnnouncedTarget {
    readonly id: string;
    readonly service: string;
    readonly slots: number;
    readonly phase: TargetPhase;
    /** Start of the target, in milliseconds since the epoch; distinguishes incarnations that share an id. */
    readonly startedAt: Milliseconds;
    /** End of the target's warm-up, in milliseconds since the epoch. */
    readonly coldUntil: Milliseconds;
    /** `undefined` if the target names none, or if versions are ignored. */
    readonly version?: string | undefined;
}

/** A request that was in flight when the target crashed. */
export interface AnnouncedCrash {
    readonly fingerprint: string;
    readonly target: string;
    /** Time of the crash, in milliseconds since the epoch. */
    readonly at: Milliseconds;
    /** Start of the call, in milliseconds since the epoch. */
    readonly startedAt: Milliseconds;
    /** Last completion of an equal request before the crash, in milliseconds since the epoch, if the node knew one. */
    readonly completedAt?: Milliseconds | undefined;
}

/** A completion of a request that other nodes would refuse because of crashes. */
export interface AnnouncedCompletion {
    readonly fingerprint: string;
    /** Time of the completion, in milliseconds since the epoch. */
    readonly at: Milliseconds;
}

export interface NodeEntry {
    readonly node: string;
    readonly zone: string;
    /** `host:port` at which the node accepts offers. */
    readonly address: string;
    /** Processor cores available to the node; may be fractional. */
    readonly processors: number;
    /** `undefined` while the node has no usable target. */
    readonly target: AnnouncedTarget | undefined;
    readonly crashes: readonly AnnouncedCrash[];
    /** Omitted from the stored entry if there are none. */
    readonly completions?: readonly AnnouncedCompletion[];
}

/**
 * Parses an entry written by another process; `undefined` if a required field is missing or has the wrong type.
 * Malformed crashes and completions are skipped.
 */
export function parseNodeEntry(value: unknown): NodeEntry | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { node, zone, address, processors = defaultProcessors, target, crashes, completions } = value;
    if (!isLabel(node) || !isLabel(zone) || !isLabel(address) || !isSocketAddress(address)
        || !isNumber(processors) || processors <= 0 || processors > maxProcessors) {
        return undefined;
    }
    const parsedTarget = target === undefined ? undefined : parseTarget(target);
    if (target !== undefined && parsedTarget === undefined) {
        return undefined;
    }
    const parsedCrashes = Array.isArray(crashes) ? crashes.slice(0, maxCrashes).flatMap(parseCrash) : [];
    const parsedCompletions = Array.isArray(completions)
        ? completions.slice(0, maxCompletions).flatMap(parseCompletion)
        : [];
    const entry = { node, zone, address, processors, target: parsedTarget, crashes: parsedCrashes };
    return parsedCompletions.length === 0 ? entry : { ...entry, completions: parsedCompletions };
}

/** Maximum number of crashes in one entry; the newest is last. */
export const maxCrashes = 32;
/** Maximum number of completions in one entry; the newest is last. */
export const maxCompletions = 32;
/** Largest number of slots that a target may announce. */
export const maxSlots = 100_000;
/** Used for entries without `processors`. */
const defaultProcessors = 1;
const maxProcessors = 4_096;
/** Limit of names, identifiers and digests in an entry, in UTF-16 code units. */
const maxLabelLength = 512;
/** Limit of the time values that `Date` can represent. */
const maxTime: Milliseconds = 8.64e15;

function isLabel(value: unknown): value is string {
    return isText(value) && value.length <= maxLabelLength;
}

function isTime(value: unknown): value is Milliseconds {
    return isNumber(value) && Math.abs(value) <= maxTime;
}

function parseTarget(value: unknown): AnnouncedTarget | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { id, service, slots, phase, startedAt, coldUntil } = value;
    const isValid = isLabel(id) && isLabel(service) && isNumber(slots) && slots >= 1 && slots <= maxSlots
        && (phase === TargetPhase.Ready || phase === TargetPhase.Draining)
        && isTime(startedAt) && isTime(coldUntil);
    const version = parseVersion(value.version);
    return isValid ? { id, service, slots, phase, startedAt, coldUntil, version } : undefined;
}

function parseCrash(value: unknown): AnnouncedCrash[] {
    if (!isRecord(value)) {
        return [];
    }
    const { fingerprint, target, at, startedAt, completedAt } = value;
    const isValid = isLabel(fingerprint) && isLabel(target) && isTime(at) && isTime(startedAt);
    if (!isValid) {
        return [];
    }
    const crash = { fingerprint, target, at, startedAt };
    return [isTime(completedAt) && completedAt < at ? { ...crash, completedAt } : crash];
}

function parseCompletion(value: unknown): AnnouncedCompletion[] {
    if (!isRecord(value)) {
        return [];
    }
    const { fingerprint, at } = value;
    return isLabel(fingerprint) && isTime(at) ? [{ fingerprint, at }] : [];
}
