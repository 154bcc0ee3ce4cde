/**
 * Generates the arrivals of an open-loop run: the due time, kind and target of each call. The same seed gives the same
 * arrivals, so that two versions are measured with the same load.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { getPeakRatePerSecond, getRatePerSecond, type RateProfile } from "./profile";

/** One kind of call in the mix. */
export interface RequestKind {
    /** Name of the class in the result; kinds with the same name are counted together. */
    readonly className: string;
    /** Relative frequency of this kind among all kinds. */
    readonly weight: number;
    readonly path: string;
    readonly method?: "GET" | "POST";
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Sent with the call. A response that completes later does not count as goodput. */
    readonly timeoutMs: Milliseconds;
    /** Targets of this kind, in place of the targets of the run. */
    readonly targets?: readonly string[];
    /** Sends a new idempotency key with each call. */
    readonly idempotencyKey?: boolean;
}

export interface ArrivalOptions {
    /** `host:port` of each target; calls are spread over them at random. */
    readonly targets: readonly string[];
    readonly profile: RateProfile;
    readonly requests: readonly RequestKind[];
    readonly seed: number;
    readonly durationMs: Milliseconds;
}

/** One scheduled call. */
export interface Arrival {
    readonly index: number;
    /** Since the start of the run. */
    readonly dueMs: Milliseconds;
    readonly kind: RequestKind;
    readonly target: string;
}

/** Draws the arrivals of a run in time order, from a non-homogeneous Poisson process sampled by thinning. */
export function* drawArrivals(options: ArrivalOptions): Generator<Arrival, void, undefined> {
    const random = createSeededRandom(options.seed);
    const peakRate = getPeakRatePerSecond(options.profile);
    let index = 0;
    let dueMs = drawInterarrivalMs(random, peakRate);
    while (dueMs < options.durationMs) {
        if (random.nextFraction() * peakRate < getRatePerSecond(options.profile, dueMs)) {
            const targetFraction = random.nextFraction();
            const kind = drawKind(random, options.requests);
            const targets = kind.targets ?? options.targets;
            yield { index, dueMs, kind, target: targets[Math.floor(targetFraction * targets.length)] ?? "" };
            index++;
        }
        dueMs += drawInterarrivalMs(random, peakRate);
    }
}

/** Draws an exponentially distributed interarrival time. It is infinite at rate 0, which ends the arrivals. */
function drawInterarrivalMs(random: Random, ratePerSecond: number): Milliseconds {
    return -Math.log(1 - random.nextFraction()) * 1_000 / ratePerSecond;
}

function drawKind(random: Random, kinds: readonly RequestKind[]): RequestKind {
    const totalWeight = kinds.reduce((sum, kind) => sum + kind.weight, 0);
    let remainingWeight = random.nextFraction() * totalWeight;
    for (const kind of kinds) {
        remainingWeight -= kind.weight;
        if (remainingWeight < 0) {
            return kind;
        }
    }
    return kinds[kinds.length - 1] as RequestKind;
}
