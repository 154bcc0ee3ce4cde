/**
 * State of a target from its cold start to its drain.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { TargetSettings } from "./settings";

/** Owner of the state. */
export class Lifecycle {
    private startedAt: Milliseconds;
    private draining = false;
    private gone = false;
    private sheds = false;

    constructor(
        private readonly clock: Clock,
        private readonly settings: Pick<TargetSettings, "coldStartMs" | "coldFactor">,
    ) {
        this.startedAt = clock.now();
    }

    get state(): TargetState {
        if (this.gone) {
            return TargetState.Gone;
        }
        if (this.draining) {
            return TargetState.Draining;
        }
        return this.warmth < 1 ? TargetState.Warming : TargetState.Ready;
    }

    /** Multiple of the usual run time, from the cold factor down to 1. */
    get runTimeFactor(): number {
        return this.settings.coldFactor + (1 - this.settings.coldFactor) * this.warmth;
    }

    /** Whether new calls are refused because the grace of a drain is over. */
    get shedsNewCalls(): boolean {
        return this.sheds;
    }

    /** Begins a cold start, after a crash. */
    restart(): void {
        this.startedAt = this.clock.now();
        this.gone = false;
    }

    startDraining(): void {
        this.draining = true;
    }

    startShedding(): void {
        this.sheds = true;
    }

    markGone(): void {
        this.gone = true;
    }

    /** Part of the cold start that is over, from 0 to 1. */
    private get warmth(): number {
        const { coldStartMs } = this.settings;
        return coldStartMs === 0 ? 1 : Math.min(1, (this.clock.now() - this.startedAt) / coldStartMs);
    }
}
