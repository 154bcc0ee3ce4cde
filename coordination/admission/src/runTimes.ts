/**
 * Learned run times of routes, and the class that follows from them.
 *
 * A route's run time is the lowest of its averages on the single targets: a slowed target must not make a short route
 * look long, while a route with long calls is long on every target.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import type { RouteRule } from "@bilberrycroft/state.rules";

const gain = 0.2;
const samplesNeeded = 3;
/** A route this many times slower than the fastest route of its service blocks it. */
const longMultiple = 8;
/** Below this multiple a long route is short again; the gap keeps routes from changing class back and forth. */
const shortMultiple = 4;
/** Below this run time a call blocks nobody, whatever the others take. */
const longAtLeastMs = 10;
/** A comparison visits all routes; after the first samples only one sample in this many is followed by one. */
const samplesPerClassification = 16;
const samplesAtFirst = 32;
const maxRoutes = 4_096;
const maxTargetsPerRoute = 64;

interface Average {
    samples: number;
    ms: Milliseconds;
}

interface RouteRunTime {
    readonly service: string;
    samples: number;
    readonly byTarget: Map<string, Average>;
    runTimeMs: Milliseconds | undefined;
    learnedClass: RunTimeClass | undefined;
}

/** A run time of a route on a target. */
export interface RunTimeSample {
    readonly route: RouteRule;
    readonly target: string;
    readonly runTimeMs: Milliseconds;
}

/** Run times of all routes that had calls. */
export class RunTimes {
    private readonly routes = new Map<string, RouteRunTime>();

    /** Adds the run time of an answered attempt. */
    add(sample: RunTimeSample): void {
        const learned = this.routeOf(sample.route);
        const average = learned.byTarget.get(sample.target) ?? { samples: 0, ms: sample.runTimeMs };
        average.samples++;
        average.ms += Math.max(gain, 1 / average.samples) * (sample.runTimeMs - average.ms);
        if (average.samples === 1) {
            dropOldest(learned.byTarget, maxTargetsPerRoute);
            learned.byTarget.set(sample.target, average);
        }
        learned.samples++;
        if (learned.samples < samplesAtFirst || learned.samples % samplesPerClassification === 0) {
            learned.runTimeMs = lowestOf(learned.byTarget);
            this.classify(learned);
        }
    }

    /** Learned class of a route, else the declared one. */
    classOf(route: RouteRule): RunTimeClass {
        return this.routes.get(route.name)?.learnedClass ?? route.runTimeClass;
    }

    /** Learned run time of a route, or `undefined` while it is unknown. */
    expectedMs(route: RouteRule): Milliseconds | undefined {
        return this.routes.get(route.name)?.runTimeMs;
    }

    private routeOf(route: RouteRule): RouteRunTime {
        const known = this.routes.get(route.name);
        if (known !== undefined && known.service === route.to) {
            return known;
        }
        dropOldest(this.routes, maxRoutes);
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

    private classify(learned: RouteRunTime): void {
        const otherMs = this.fastestOther(learned);
        if (learned.runTimeMs === undefined || otherMs === undefined) {
            return;
        }
        const multiple = learned.runTimeMs / Math.max(0.01, Math.min(otherMs, learned.runTimeMs));
        if (multiple >= longMultiple && learned.runTimeMs >= longAtLeastMs) {
            learned.learnedClass = RunTimeClass.Long;
        }
        else if (multiple <= shortMultiple) {
            learned.learnedClass = RunTimeClass.Short;
        }
    }

    private fastestOther(learned: RouteRunTime): Milliseconds | undefined {
        let fastest: Milliseconds | undefined;
        for (const other of this.routes.values()) {
            if (other !== learned && other.service === learned.service && other.runTimeMs !== undefined) {
                fastest = Math.min(fastest ?? other.runTimeMs, other.runTimeMs);
            }
        }
        return fastest;
    }
}

function lowestOf(byTarget: ReadonlyMap<string, Average>): Milliseconds | undefined {
    let lowest: Milliseconds | undefined;
    for (const { samples, ms } of byTarget.values()) {
        if (samples >= samplesNeeded) {
            lowest = Math.min(lowest ?? ms, ms);
        }
    }
    return lowest;
}

function dropOldest(entries: Map<string, unknown>, limit: number): void {
    if (entries.size >= limit) {
        entries.delete(entries.keys().next().value as string);
    }
}
