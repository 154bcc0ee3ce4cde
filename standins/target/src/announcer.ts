/**
 * Announces a target to the node of its host. The node detects a stopped target by missing announcements, so a failed
 * announcement is not retried before the next one is due.
 */
import { Agent, type ClientRequest, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetState } from "@bilberrycroft/coordination.membership";
import type { SchedulerLike, Subscription } from "rxjs";

/** Body of `POST /announce`. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
}

/** Announcement interval. The node marks a target as gone after three missed announcements. */
export const announceIntervalMs: Milliseconds = 1_000;

export class Announcer {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private inFlight: ClientRequest | undefined;
    private timer: Subscription | undefined;

    constructor(
        private readonly nodeAddress: string,
        private readonly scheduler: SchedulerLike,
        private readonly createAnnouncement: () => Announcement,
    ) {}

    /** Sends an announcement now and then one per interval. */
    start(): void {
        this.stop();
        this.announce();
        this.timer = this.scheduler.schedule(() => this.start(), announceIntervalMs);
    }

    /** Sends one announcement, for a state change between two intervals. */
    announce(): void {
        // At most one request is in flight, so that requests do not pile up at a node that does not respond.
        this.inFlight?.destroy();
        const body = JSON.stringify(this.createAnnouncement());
        const request = sendRequest(`http://${this.nodeAddress}/announce`, {
            agent: this.agent,
            method: "POST",
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
        });
        request.on("error", () => undefined);
        request.on("response", response => {
            response.on("error", () => undefined);
            response.resume();
        });
        request.end(body);
        this.inFlight = request;
    }

    /** Stops the announcements; one in flight may still arrive. */
    stop(): void {
        this.timer?.unsubscribe();
        this.timer = undefined;
    }

    close(): void {
        this.stop();
        this.agent.destroy();
    }
}
