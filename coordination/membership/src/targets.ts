/**
 * Targets of the own host, known only by their announcements. Each target announces itself every second; a target that
 * falls silent is Gone.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { goneTargetRetentionMs, maxOwnTargets, targetGoneAfterMs } from "./limits";
import type { Announcement } from "./messages";
import { TargetState, type Target } from "./types";

interface OwnTarget {
    target: Target;
    announcedAt: Milliseconds;
}

/** Targets beside one node. */
export class OwnTargets {
    private readonly clock: Clock;
    private readonly targets = new Map<string, OwnTarget>();
    private draining = false;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Takes an announcement; the target if it changed. */
    announce(announcement: Announcement): Target | undefined {
        const known = this.targets.get(announcement.id);
        if (known === undefined && !this.makeRoom()) {
            return undefined;
        }
        const next = this.describe(announcement, known?.target);
        this.targets.set(announcement.id, { target: next, announcedAt: this.clock.now() });
        return known !== undefined && isSame(known.target, next) ? undefined : next;
    }

    /** Makes every target Draining because the node stops; the targets that changed. */
    drain(): readonly Target[] {
        this.draining = true;
        const changed = [...this.targets.values()].filter(own => isInUse(own.target));
        changed.forEach(own => this.setState(own, TargetState.Draining));
        return changed.map(own => own.target);
    }

    /** Finds targets that fell silent; the targets that changed. */
    expire(): readonly Target[] {
        const now = this.clock.now();
        const silent = [...this.targets.values()]
            .filter(own => own.target.state !== TargetState.Gone && now - own.announcedAt >= targetGoneAfterMs);
        silent.forEach(own => this.setState(own, TargetState.Gone));
        return silent.map(own => own.target);
    }

    /** Drops targets that have been Gone for long; whether there were any. */
    forgetGone(): boolean {
        const oldest = this.clock.now() - goneTargetRetentionMs;
        const forgotten = [...this.targets.values()]
            .filter(own => own.target.state === TargetState.Gone && own.announcedAt < oldest);
        forgotten.forEach(own => this.targets.delete(own.target.id));
        return forgotten.length > 0;
    }

    /** All targets, as the node's entry lists them. */
    list(): readonly Target[] {
        return [...this.targets.values()].map(own => own.target);
    }

    /** A target that is Gone makes room for a new one. */
    private makeRoom(): boolean {
        if (this.targets.size < maxOwnTargets) {
            return true;
        }
        const gone = [...this.targets.values()].find(own => own.target.state === TargetState.Gone);
        return gone !== undefined && this.targets.delete(gone.target.id);
    }

    private describe(announcement: Announcement, known: Target | undefined): Target {
        const { id, service, address, slots, connections } = announcement;
        const announced = announcement.state;
        const stops = this.draining && announced !== TargetState.Gone;
        const state = stops ? TargetState.Draining : announced;
        const since = known?.state === state ? known.since : this.clock.wallTime();
        return { id, service, address, state, slots, connections, since };
    }

    private setState(own: OwnTarget, state: TargetState): void {
        own.target = { ...own.target, state, since: this.clock.wallTime() };
    }
}

function isInUse(target: Target): boolean {
    return target.state === TargetState.Ready || target.state === TargetState.Warming;
}

function isSame(left: Target, right: Target): boolean {
    return left.service === right.service
        && left.address === right.address
        && left.state === right.state
        && left.slots === right.slots
        && left.connections === right.connections;
}
