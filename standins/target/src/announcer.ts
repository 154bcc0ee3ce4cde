/**
 * Announces a target to the node of its own host. The node learns of an end from missing announcements, so failures
 * need no handling beyond the next announcement.
 */
import { Agent, type ClientRequest, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetState } from "@bilberrycroft/coordination.membership";
import type { SchedulerLike, Subscription } from "rxjs";

/** What a target says of itself: the body of `POST /announce`. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
}

/** Interval of announcements; the node calls a target gone after it missed three. */
export const announceIntervalMs: Milliseconds = 1_000;

/** Owner of the announcements. */
export class Announcer {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
    private inFlight: ClientRequest | undefined;
    private timer: Subscription | undefined;

    constructor(
        private readonly nodeAddress: string,
        private readonly scheduler: SchedulerLike,
        private readonly describe: () => Announcement,
    ) {}

    /** Announces now and then at each interval. */
    start(): void {
        this.stop();
        this.announce();
        this.timer = this.scheduler.schedule(() => this.start(), announceIntervalMs);
    }

    /** Announces once, at a change of state. */
    announce(): void {
        // One at a time: a node that does not respond must not collect waiting requests.
        this.inFlight?.destroy();
        const body = JSON.stringify(this.describe());
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

    /** Ends the announcements; one in flight may still arrive. */
    stop(): void {
        this.timer?.unsubscribe();
        this.timer = undefined;
    }

    close(): void {
        this.stop();
        this.agent.destroy();
    }
}
