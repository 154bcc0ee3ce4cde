/**
 * What callers get in a play of the load model, by class of calls and by window of time.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { build, type Histogram } from "hdr-histogram-js";
import type { CallClass } from "./scenario";

export enum CallOutcome {
    InTime = "in-time",
    Late = "late",
    Refused = "refused",
    Failed = "failed",
}

export interface ClassResult {
    readonly name: string;
    readonly asked: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
    /** Worth earned by worth asked for, 0 to 1. */
    readonly worth: number;
    readonly p50Ms: Milliseconds;
    readonly p99Ms: Milliseconds;
    /** Times from a caller's attempt to its refusal, half and nine tenths of them. */
    readonly refusalP50Ms: Milliseconds;
    readonly refusalP90Ms: Milliseconds;
}

export interface WindowResult {
    readonly from: Milliseconds;
    readonly asked: number;
    readonly worth: number;
}

export interface ServiceResult {
    readonly name: string;
    /** Calls that reached the target with most of them, by the mean of all targets of the service. */
    readonly busiestByMean: number;
    /** Share of the slots' time that runs used. */
    readonly utilization: number;
    /** Most calls that one target got in 4 s. */
    readonly mostInFourSeconds: number;
}

export interface PlayResult {
    readonly seed: number;
    /** Of calls that callers made. */
    readonly worth: number;
    readonly worstWindowWorth: number;
    readonly offersPerCall: number;
    readonly classes: readonly ClassResult[];
    readonly windows: readonly WindowResult[];
    readonly services: readonly ServiceResult[];
}

export const windowMs: Milliseconds = 2_000;
const highestMs: Milliseconds = 600_000;

interface ClassCounts {
    readonly outcomes: Record<CallOutcome, number>;
    readonly latencies: Histogram;
    readonly refusals: Histogram;
}

interface WindowCounts {
    asked: number;
    worth: number;
    fullWorth: number;
}

export class ResultRecorder {
    private readonly classes = new Map<string, ClassCounts>();
    private readonly windows = new Map<number, WindowCounts>();

    constructor(private readonly callClasses: Readonly<Record<string, CallClass>>) {}

    /** Records the end of a call that a caller made. */
    recordEnd(name: string, askedAt: Milliseconds, latencyMs: Milliseconds, outcome: CallOutcome): void {
        const counts = this.countsOf(name);
        counts.outcomes[outcome]++;
        if (outcome === CallOutcome.InTime || outcome === CallOutcome.Late) {
            counts.latencies.recordValue(Math.min(highestMs, Math.round(latencyMs)));
        }
        const { worth, lateWorth } = this.classOf(name);
        const window = Math.floor(askedAt / windowMs);
        const counted = this.windows.get(window) ?? { asked: 0, worth: 0, fullWorth: 0 };
        this.windows.set(window, counted);
        counted.asked++;
        counted.fullWorth += worth;
        counted.worth += outcome === CallOutcome.InTime ? worth : outcome === CallOutcome.Late ? lateWorth : 0;
    }

    recordRefusal(name: string, afterMs: Milliseconds): void {
        this.countsOf(name).refusals.recordValue(Math.min(highestMs, Math.round(afterMs)));
    }

    classResults(): ClassResult[] {
        return [...this.classes].map(([name, { outcomes, latencies, refusals }]) => {
            const { worth, lateWorth } = this.classOf(name);
            const inTime = outcomes[CallOutcome.InTime];
            const late = outcomes[CallOutcome.Late];
            const refused = outcomes[CallOutcome.Refused];
            const failed = outcomes[CallOutcome.Failed];
            const asked = inTime + late + refused + failed;
            return {
                name,
                asked,
                inTime,
                late,
                refused,
                failed,
                worth: asked * worth === 0 ? 1 : (inTime * worth + late * lateWorth) / (asked * worth),
                p50Ms: latencies.getValueAtPercentile(50),
                p99Ms: latencies.getValueAtPercentile(99),
                refusalP50Ms: refusals.getValueAtPercentile(50),
                refusalP90Ms: refusals.getValueAtPercentile(90),
            };
        }).sort((one, other) => one.name < other.name ? -1 : 1);
    }

    windowResults(): WindowResult[] {
        return [...this.windows]
            .sort(([one], [other]) => one - other)
            .map(([window, { asked, worth, fullWorth }]) =>
                ({ from: window * windowMs, asked, worth: fullWorth === 0 ? 1 : worth / fullWorth }));
    }

    /** Worth earned by worth asked for over all calls. */
    totalWorth(): number {
        let earned = 0;
        let full = 0;
        this.windows.forEach(({ worth, fullWorth }) => {
            earned += worth;
            full += fullWorth;
        });
        return full === 0 ? 1 : earned / full;
    }

    private classOf(name: string): CallClass {
        return this.callClasses[name] as CallClass;
    }

    private countsOf(name: string): ClassCounts {
        const existing = this.classes.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created: ClassCounts = {
            outcomes: {
                [CallOutcome.InTime]: 0,
                [CallOutcome.Late]: 0,
                [CallOutcome.Refused]: 0,
                [CallOutcome.Failed]: 0,
            },
            latencies: build({ highestTrackableValue: highestMs }),
            refusals: build({ highestTrackableValue: highestMs }),
        };
        this.classes.set(name, created);
        return created;
    }
}
