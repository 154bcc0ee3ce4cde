/**
 * What a node announces of itself and of its target in the platform store.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";

/** Phases of a target's life, as it announces them. */
export enum TargetPhase {
    Ready = "ready",
    /** It finishes what runs and takes nothing new. */
    Draining = "draining",
}

/** A target as its node announces it. */
export interface AnnouncedTarget {
    readonly id: string;
    readonly service: string;
    readonly slots: number;
    readonly phase: TargetPhase;
    /** Wall time of the target's start, in milliseconds since the epoch; tells incarnations with one id apart. */
    readonly startedAt: Milliseconds;
    /** Wall time until which the target is slow after its start. */
    readonly coldUntil: Milliseconds;
}

/** A request that was in flight when the target crashed. */
export interface AnnouncedCrash {
    readonly fingerprint: string;
    readonly target: string;
    /** Wall time of the crash. */
    readonly at: Milliseconds;
    /** Wall time at which the call started. */
    readonly startedAt: Milliseconds;
}

/** One node's entry. */
export interface NodeEntry {
    readonly node: string;
    readonly zone: string;
    /** `host:port` at which the node takes offers. */
    readonly address: string;
    /** Processor cores that the node may use, with fractions. */
    readonly processors: number;
    /** Absent while the node has no target that may be used. */
    readonly target: AnnouncedTarget | undefined;
    readonly crashes: readonly AnnouncedCrash[];
}

/** Reads an entry that another process wrote; `undefined` if any field is missing or of another type. */
export function parseNodeEntry(value: unknown): NodeEntry | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { node, zone, address, processors = defaultProcessors, target, crashes } = value;
    if (!isText(node) || !isText(zone) || !isText(address) || !addressPattern.test(address) || !isNumber(processors)) {
        return undefined;
    }
    const parsedTarget = target === undefined ? undefined : parseTarget(target);
    if (target !== undefined && parsedTarget === undefined) {
        return undefined;
    }
    const parsedCrashes = Array.isArray(crashes) ? crashes.slice(0, maxCrashes).flatMap(parseCrash) : [];
    return { node, zone, address, processors, target: parsedTarget, crashes: parsedCrashes };
}

/** Crashes that one entry carries at most, the newest last. */
export const maxCrashes = 32;
const maxSlots = 100_000;
/** What an entry that does not tell is taken to have. */
const defaultProcessors = 1;
const addressPattern = /^[^\s:]+:\d{1,5}$/;

function parseTarget(value: unknown): AnnouncedTarget | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { id, service, slots, phase, startedAt, coldUntil } = value;
    const isValid = isText(id) && isText(service) && isNumber(slots) && slots >= 1 && slots <= maxSlots
        && (phase === TargetPhase.Ready || phase === TargetPhase.Draining)
        && isNumber(startedAt) && isNumber(coldUntil);
    return isValid ? { id, service, slots, phase, startedAt, coldUntil } : undefined;
}

function parseCrash(value: unknown): AnnouncedCrash[] {
    if (!isRecord(value)) {
        return [];
    }
    const { fingerprint, target, at, startedAt } = value;
    const isValid = isText(fingerprint) && isText(target) && isNumber(at) && isNumber(startedAt);
    return isValid ? [{ fingerprint, target, at, startedAt }] : [];
}
