/**
 * Asks nodes that did not respond whether they are back, so that no call has to find out.
 */
import type { TargetDirectory } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import type { NodeEntry, StateVersions } from "@bilberrycroft/protocol.forwarding";
import type { PeerClient } from "@bilberrycroft/transport.forwarding";

/** Options of a `ProbeTask`. */
export interface ProbeTaskOptions {
    readonly directory: TargetDirectory;
    readonly client: PeerClient;
    readonly log: EventLog;
    /** Takes the newest state of another node: after a cut, probes hear of it before calls do. */
    stateHeard(mark: StateVersions): void;
}

const tickMs: Milliseconds = 200;
/** A node that takes longer than this is of no use to calls. */
const probeTimeoutMs: Milliseconds = 150;

/** Probes of one node. */
export class ProbeTask {
    private readonly asked = new Set<string>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ProbeTaskOptions) {}

    start(): void {
        this.timer = setInterval(() => this.tick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private tick(): void {
        for (const entry of this.options.directory.nodesDueForProbe()) {
            if (!this.asked.has(entry.node)) {
                void this.probe(entry);
            }
        }
    }

    private async probe({ node, address }: NodeEntry): Promise<void> {
        const { directory, client, log } = this.options;
        this.asked.add(node);
        const report = await client.requestReport(address, probeTimeoutMs);
        this.asked.delete(node);
        if (report === undefined) {
            directory.markUnhealthy(node);
            return;
        }
        directory.recordLoad(node, report.load);
        this.options.stateHeard(report.state);
        if (directory.isHealthy(node)) {
            log.info("node-trusted", { peer: node, availability: report.load.availability });
        }
    }
}
