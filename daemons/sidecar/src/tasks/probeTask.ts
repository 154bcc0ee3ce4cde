/**
 * Active health checks of unhealthy nodes, so that no call has to test whether a node has recovered.
 */
import type { TargetDirectory } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { NodeEntry, StateVersions } from "@bilberrycroft/protocol.forwarding";
import type { PeerClient } from "@bilberrycroft/transport.forwarding";

export interface ProbeTaskOptions {
    readonly directory: TargetDirectory;
    readonly client: PeerClient;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    /** Called with the newest versions of a peer. After a network partition, probes receive them before calls do. */
    handlePeerVersions(versions: StateVersions): void;
}

const probeIntervalMs: Milliseconds = 200;
/** A node that responds more slowly than this is not usable for calls. */
const probeTimeoutMs: Milliseconds = 150;

export class ProbeTask {
    private readonly probing = new Set<string>();
    private timer: NodeJS.Timeout | undefined;
    private isStopped = false;

    constructor(private readonly options: ProbeTaskOptions) {}

    /** Must be called when a node becomes unhealthy. In a healthy mesh, the task causes no wake-ups. */
    schedule(): void {
        if (this.timer === undefined && !this.isStopped) {
            this.timer = setTimeout(() => {
                this.timer = undefined;
                this.probeDueNodes();
                if (this.options.directory.hasNodesToProbe()) {
                    this.schedule();
                }
            }, probeIntervalMs);
        }
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private probeDueNodes(): void {
        for (const entry of this.options.directory.nodesDueForProbe()) {
            if (!this.probing.has(entry.node)) {
                const { node } = entry;
                void this.options.faults.runAsync("probe", { peer: node }, () => this.probe(entry), () => this.probing.delete(node));
            }
        }
    }

    private async probe({ node, address }: NodeEntry): Promise<void> {
        const { directory, client, log } = this.options;
        this.probing.add(node);
        const report = await client.requestReport(address, probeTimeoutMs);
        this.probing.delete(node);
        if (report === undefined) {
            directory.markUnhealthy(node);
            return;
        }
        directory.recordLoad(node, report.load);
        this.options.handlePeerVersions(report.state);
        if (directory.isHealthy(node)) {
            log.info("node-trusted", { peer: node, availability: report.load.availability });
        }
    }
}
