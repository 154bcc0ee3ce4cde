/**
 * Queue of crash reports to forward with exchanges. Membership does not interpret them.
 */
import type { QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Random } from "@bilberrycroft/core.random";
import { maxCrashReportsPerExchange, maxQueuedCrashReports } from "./limits";

interface QueuedReport {
    readonly report: QuarantineReport;
    remaining: number;
}

/** Received reports, with the number of times that each still has to be sent. */
export class CrashReportQueue {
    private readonly random: Random;
    private readonly queuedReports = new Map<string, QueuedReport>();

    constructor(random: Random) {
        this.random = random;
    }

    /** Queues the reports that are new, to be sent `sendCount` times each, and returns them. */
    add(reports: readonly QuarantineReport[], sendCount: number): readonly QuarantineReport[] {
        const newReports = reports.filter(report => !this.queuedReports.has(keyOf(report)));
        newReports.forEach(report => this.queuedReports.set(keyOf(report), { report, remaining: sendCount }));
        this.evictOldest();
        return newReports;
    }

    /** Selects reports for one message, in random order so that none is starved. */
    selectForMessage(): readonly QuarantineReport[] {
        const pending = [...this.queuedReports.values()].filter(queued => queued.remaining > 0);
        if (pending.length === 0) {
            return [];
        }
        const selected = this.random.shuffle(pending).slice(0, maxCrashReportsPerExchange);
        selected.forEach(queued => queued.remaining--);
        return selected.map(queued => queued.report);
    }

    private evictOldest(): void {
        for (const key of this.queuedReports.keys()) {
            if (this.queuedReports.size <= maxQueuedCrashReports) {
                return;
            }
            this.queuedReports.delete(key);
        }
    }
}

function keyOf(report: QuarantineReport): string {
    return JSON.stringify(report);
}
