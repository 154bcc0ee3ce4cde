/**
 * Run times of simulated calls. Short and long calls have their own mean with jitter, and long calls send their
 * response in chunks.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { TargetSettings } from "./settings";

export interface RunPlan {
    readonly durationMs: Milliseconds;
    /** Chunks of the response, sent at equal intervals over the duration. */
    readonly chunks: number;
    readonly isLong: boolean;
}

/** Draws run times from a seeded random source. */
export class RunTimes {
    private readonly random: Random;

    constructor(private readonly settings: TargetSettings) {
        this.random = createSeededRandom(settings.seed);
    }

    /** Plans the run of a call; `factor` combines the cold start and the slow fault. */
    plan(path: string, factor: number): RunPlan {
        const isLong = this.settings.longPaths.some(prefix => path.startsWith(prefix));
        const meanMs = isLong ? this.settings.longMs : this.settings.shortMs;
        const deviation = (this.random.nextFraction() * 2 - 1) * this.settings.jitter;
        return { durationMs: meanMs * (1 + deviation) * factor, chunks: isLong ? this.settings.longPieces : 1, isLong };
    }
}
