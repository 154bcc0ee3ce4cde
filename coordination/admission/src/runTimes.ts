/**
 * Estimates the run time of each route as an EWMA for each target, and derives the route's run-time class from it.
 *
 * The estimate of a route is the lowest average of its targets. A slow target must not make a short route look long,
 * while a route with long calls is long on every target.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import type { RouteRule } from "@bilberrycroft/state.rules";

const ewmaWeight = 0.2;
const minSamples = 3;
/** A route becomes long if it is this many times slower than the fastest other route of its service. */
const longClassRatio = 8;
/** A long route becomes short again at this ratio. The gap is hysteresis against frequent changes of class. */
const shortClassRatio = 4;
/** Calls faster than this do not block others, so their route never becomes long, however fast other routes are. */
const minLongClassMs = 10;
/** Classification visits all routes, so after the initial samples only one in this many triggers it. */
const samplesPerClassification = 16;
const initialSamples = 32;
const maxRoutes = 4_096;
const maxTargetsPerRoute = 64;

interface MovingAverage {
    samples: number;
    ms: Milliseconds;
}

interface RouteRunTime {
    readonly service: string;
    samples: number;
    readonly byTarget: Map<string, MovingAverage>;
    runTimeMs: Milliseconds | undefined;
    learnedClass: RunTimeClass | undefined;
}

export interface RunTimeSample {
    readonly route: RouteRule;
    readonly target: string;
    readonly runTimeMs: Milliseconds;
}

export class RunTimes {
    private readonly routes = new Map<string, RouteRunTime>();

    add(sample: RunTimeSample): void {
        const entry = this.routeOf(sample.route);
        const average = entry.byTarget.get(sample.target) ?? { samples: 0, ms: sample.runTimeMs };
        average.samples++;
        average.ms += Math.max(ewmaWeight, 1 / average.samples) * (sample.runTimeMs - average.ms);
        if (average.samples === 1) {
            evictOldest(entry.byTarget, maxTargetsPerRoute);
            entry.byTarget.set(sample.target, average);
        }
        entry.samples++;
        if (entry.samples < initialSamples || entry.samples % samplesPerClassification === 0) {
            entry.runTimeMs = lowestOf(entry.byTarget);
            this.classify(entry);
        }
    }

    /** Learned class of a route, or its declared class while none is learned. */
    classOf(route: RouteRule): RunTimeClass {
        return this.routes.get(route.name)?.learnedClass ?? route.runTimeClass;
    }

    /** Learned run time of a route; `undefined` while there are too few samples. */
    expectedRunTimeMs(route: RouteRule): Milliseconds | undefined {
        return this.routes.get(route.name)?.runTimeMs;
    }

    private routeOf(route: RouteRule): RouteRunTime {
        const existing = this.routes.get(route.name);
        if (existing !== undefined && existing.service === route.to) {
            return existing;
        }
        evictOldest(this.routes, maxRoutes);
        const created: RouteRunTime = {
            service: route.to,
            samples: 0,
            byTarget: new Map(),
            runTimeMs: undefined,
            learnedClass: undefined,
        };
        this.routes.set(route.name, created);
        return created;
    }

    private classify(entry: RouteRunTime): void {
        const otherMs = this.findFastestOther(entry);
        if (entry.runTimeMs === undefined || otherMs === undefined) {
            return;
        }
        const ratio = entry.runTimeMs / Math.max(0.01, Math.min(otherMs, entry.runTimeMs));
        if (ratio >= longClassRatio && entry.runTimeMs >= minLongClassMs) {
            entry.learnedClass = RunTimeClass.Long;
        }
        else if (ratio <= shortClassRatio) {
            entry.learnedClass = RunTimeClass.Short;
        }
    }

    private findFastestOther(entry: RouteRunTime): Milliseconds | undefined {
        let fastest: Milliseconds | undefined;
        for (const other of this.routes.values()) {
            if (other !== entry && other.service === entry.service && other.runTimeMs !== undefined) {
                fastest = Math.min(fastest ?? other.runTimeMs, other.runTimeMs);
            }
        }
        return fastest;
    }
}

function lowestOf(byTarget: ReadonlyMap<string, MovingAverage>): Milliseconds | undefined {
    let lowest: Milliseconds | undefined;
    for (const { samples, ms } of byTarget.values()) {
        if (samples >= minSamples) {
            lowest = Math.min(lowest ?? ms, ms);
        }
    }
    return lowest;
}

function evictOldest(entries: Map<string, unknown>, limit: number): void {
    if (entries.size >= limit) {
        entries.delete(entries.keys().next().value as string);
    }
}
