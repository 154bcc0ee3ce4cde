/**
 * Crash reports on their way through the fleet. Membership carries them and does not read them.
 */
import type { QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Random } from "@bilberrycroft/core.random";
import { maxCrashReports, maxHeldCrashReports } from "./limits";

interface HeldReport {
    readonly report: QuarantineReport;
    remaining: number;
}

/** Reports that were seen, and how often each still has to be sent. */
export class CrashReportQueue {
    private readonly random: Random;
    private readonly held = new Map<string, HeldReport>();

    constructor(random: Random) {
        this.random = random;
    }

    /** Takes reports; those that are new. */
    add(reports: readonly QuarantineReport[], peers: number): readonly QuarantineReport[] {
        const fresh = reports.filter(report => !this.held.has(keyOf(report)));
        fresh.forEach(report => this.held.set(keyOf(report), { report, remaining: peers }));
        this.dropOldest();
        return fresh;
    }

    /** Reports for the next message, in random order so that none starves. */
    take(): readonly QuarantineReport[] {
        const waiting = [...this.held.values()].filter(held => held.remaining > 0);
        if (waiting.length === 0) {
            return [];
        }
        const chosen = this.random.shuffle(waiting).slice(0, maxCrashReports);
        chosen.forEach(held => held.remaining--);
        return chosen.map(held => held.report);
    }

    private dropOldest(): void {
        for (const key of this.held.keys()) {
            if (this.held.size <= maxHeldCrashReports) {
                return;
            }
            this.held.delete(key);
        }
    }
}

function keyOf(report: QuarantineReport): string {
    return JSON.stringify(report);
}
