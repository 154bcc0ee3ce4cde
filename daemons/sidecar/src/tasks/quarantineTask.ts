/**
 * Exchanges what the quarantine has to know of crashes and completions with the other nodes, through the entries in the
 * store. Completions are many and writes to the store are not: only those are written without which other nodes would
 * hold a request that runs well.
 */
import { type Quarantine, QuarantineReportKind } from "@bilberrycroft/coordination.quarantine";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { AnnouncedCrash } from "@bilberrycroft/protocol.forwarding";
import type { EntryReports } from "../nodeTable";
import type { CrashReports } from "./registrationTask";

export interface QuarantineTaskOptions {
    readonly quarantine: Quarantine;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    /** Number of nodes that may know the same completion. */
    countNodes(): number;
    /** Publishes reports in this node's entry. */
    publish(reports: Partial<CrashReports>): void;
}

const checkIntervalMs: Milliseconds = 500;
/** A report reaches the other nodes in about two of these, so that about two nodes write the same one. */
const spreadPerNodeMs: Milliseconds = 500;
const maxSpreadMs: Milliseconds = 10_000;

export class QuarantineTask {
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: QuarantineTaskOptions) {}

    start(): void {
        const check = (): void => this.options.faults.run("quarantine-timer", {}, () => this.reportCompletions());
        this.timer = setInterval(check, checkIntervalMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Requests were in flight at crashes of the local target. */
    handleTargetCrash(crashes: readonly AnnouncedCrash[]): void {
        const { quarantine, publish } = this.options;
        publish({
            crashes: crashes.flatMap(crash => {
                const { target, at, fingerprint, startedAt } = crash;
                const inFlight = [{ fingerprint, ageMs: Math.max(0, at - startedAt) }];
                return quarantine.recordTargetCrash({ target, at, inFlight }).map(({ completedAt }) =>
                    completedAt === undefined ? crash : { ...crash, completedAt });
            }),
        });
    }

    /** Merges what the entries of nodes report, or what a previous process of this node has published. */
    learn({ node, crashes, completions }: EntryReports): void {
        const { quarantine, log } = this.options;
        quarantine.mergeReports([
            ...crashes.map(crash => ({ kind: QuarantineReportKind.Crash, node, ...crash }) as const),
            ...completions.map(completion => ({ kind: QuarantineReportKind.Completion, ...completion }) as const),
        ]);
        for (const { fingerprint, target, at, completedAt } of crashes) {
            log.info("crashes-learned", { from: node, fingerprint, target, at, completedAt });
        }
        for (const { fingerprint, at } of completions) {
            log.info("completion-learned", { from: node, fingerprint, at });
        }
    }

    private reportCompletions(): void {
        const { quarantine, log, publish, countNodes } = this.options;
        const spreadMs = Math.min(maxSpreadMs, countNodes() * spreadPerNodeMs);
        const completions = quarantine.completionsToReport(spreadMs)
            .map(({ fingerprint, at }) => ({ fingerprint, at }));
        if (completions.length > 0) {
            completions.forEach(completion => log.info("completion-reported", { ...completion }));
            publish({ completions });
        }
    }
}
