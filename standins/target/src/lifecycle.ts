/**
 * State of a target from its cold start to the end of its drain.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { TargetSettings } from "./settings";

export class Lifecycle {
    private startedAt: Milliseconds;
    private isDraining = false;
    private isGone = false;
    private isShedding = false;

    constructor(
        private readonly clock: Clock,
        private readonly settings: Pick<TargetSettings, "coldStartMs" | "coldFactor">,
    ) {
        this.startedAt = clock.now();
    }

    get state(): TargetState {
        if (this.isGone) {
            return TargetState.Gone;
        }
        if (this.isDraining) {
            return TargetState.Draining;
        }
        return this.warmUpProgress < 1 ? TargetState.Warming : TargetState.Ready;
    }

    /** Factor of the run time; falls linearly from `coldFactor` to 1 during the cold start. */
    get runTimeFactor(): number {
        return this.settings.coldFactor + (1 - this.settings.coldFactor) * this.warmUpProgress;
    }

    /** Whether new calls are refused because the grace period of a drain is over. */
    get isSheddingNewCalls(): boolean {
        return this.isShedding;
    }

    /** Starts a new cold start after a crash. */
    restart(): void {
        this.startedAt = this.clock.now();
        this.isGone = false;
    }

    startDraining(): void {
        this.isDraining = true;
    }

    startShedding(): void {
        this.isShedding = true;
    }

    markGone(): void {
        this.isGone = true;
    }

    /** Elapsed share of the cold start, from 0 to 1. */
    private get warmUpProgress(): number {
        const { coldStartMs } = this.settings;
        return coldStartMs === 0 ? 1 : Math.min(1, (this.clock.now() - this.startedAt) / coldStartMs);
    }
}
