/**
 * Run times of calls: short ones with jitter, long ones that send their response in pieces, both slower when cold.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { TargetSettings } from "./settings";

/** How one call runs. */
export interface RunPlan {
    readonly durationMs: Milliseconds;
    /** Pieces of the response, spread evenly over the duration. */
    readonly pieces: number;
    readonly long: boolean;
}

/** Draws run times. */
export class RunTimes {
    private readonly random: Random;

    constructor(private readonly settings: TargetSettings) {
        this.random = createSeededRandom(settings.seed);
    }

    /** Plans the run of a call; `factor` covers cold starts and slowdowns. */
    plan(path: string, factor: number): RunPlan {
        const long = this.settings.longPaths.some(prefix => path.startsWith(prefix));
        const mean = long ? this.settings.longMs : this.settings.shortMs;
        const deviation = (this.random.nextFraction() * 2 - 1) * this.settings.jitter;
        return { durationMs: mean * (1 + deviation) * factor, pieces: long ? this.settings.longPieces : 1, long };
    }
}
