/**
 * Plays nodes whose targets crash by themselves while a few requests are popular, and one request that crashes each
 * target that runs it, in virtual time. Reports reach the other nodes through a store. All nodes are killed at the end
 * and read what the store has.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { Quarantine, QuarantineDecisionKind, type QuarantineReport } from "@bilberrycroft/coordination.quarantine";

export interface PlayOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly targets: number;
    /** Whether nodes use completions of other nodes; without them, only the node beside the target knows one. */
    readonly sharesCompletions: boolean;
    /** Mean time between crashes that no request causes. */
    readonly crashIntervalMs: Milliseconds;
    /** Number of popular requests. */
    readonly popular: number;
    /** Time between two popular requests at a node, on average. */
    readonly requestIntervalMs: Milliseconds;
}

export interface PlayResult {
    readonly ordinary: number;
    /** Ordinary requests that were refused. */
    readonly held: number;
    /** Ordinary requests that were refused after all nodes had restarted, of those sent then. */
    readonly heldAfterRestart: number;
    readonly afterRestart: number;
    /** Targets that the crashing request has crashed. */
    readonly crashesOfRequest: number;
}

const stepMs: Milliseconds = 10;
const runMs: Milliseconds = 80;
const propagationMs: Milliseconds = 1_200;
const downMs: Milliseconds = 1_500;
const crashingIntervalMs: Milliseconds = 5_000;
const restartAt: Milliseconds = 60_000;
const endsAt: Milliseconds = 75_000;
const reportSpreadMs: Milliseconds = 8_000;
const crashing = "crashing";

interface RunningCall {
    readonly fingerprint: string;
    readonly caller: number;
    readonly startedAt: Milliseconds;
}

interface StoredReport {
    readonly report: QuarantineReport;
    readonly visibleAt: Milliseconds;
}

class Play {
    private readonly clock = new ManualClock();
    private readonly random: Random;
    private nodes: Quarantine[] = [];
    private readonly running: RunningCall[][];
    private readonly downUntil: Milliseconds[];
    private readonly stored: StoredReport[] = [];
    private distributed = 0;
    private incarnations = 0;
    private readonly result = { ordinary: 0, held: 0, heldAfterRestart: 0, afterRestart: 0, crashesOfRequest: 0 };

    constructor(private readonly options: PlayOptions) {
        this.random = createSeededRandom(options.seed);
        this.running = Array.from({ length: options.targets }, () => []);
        this.downUntil = Array.from({ length: options.targets }, () => 0);
        this.restart();
    }

    run(): PlayResult {
        const { nodes, popular, requestIntervalMs, crashIntervalMs } = this.options;
        for (let at = 0; at < endsAt; at += stepMs) {
            this.clock.advance(stepMs);
            this.distribute();
            this.finishCalls();
            for (let node = 0; node < nodes; node++) {
                if (this.happens(stepMs / requestIntervalMs)) {
                    this.call(node, `popular-${Math.floor(this.random.nextFraction() * popular)}`, at);
                }
            }
            if (this.happens(stepMs / crashIntervalMs)) {
                this.crash(Math.floor(this.random.nextFraction() * this.options.targets));
            }
            if (at % crashingIntervalMs === 0) {
                this.call(Math.floor(this.random.nextFraction() * nodes), crashing, at);
            }
            if (at === restartAt) {
                this.restart();
            }
        }
        return this.result;
    }

    private call(caller: number, fingerprint: string, at: Milliseconds): void {
        const isOrdinary = fingerprint !== crashing;
        const isHeld = this.nodes[caller]?.check(fingerprint).kind === QuarantineDecisionKind.Held;
        if (isOrdinary) {
            this.result.ordinary++;
            this.result.held += Number(isHeld);
            this.result.afterRestart += Number(at > restartAt);
            this.result.heldAfterRestart += Number(isHeld && at > restartAt);
        }
        const now = this.clock.now();
        const up = this.running.flatMap((_, target) => (this.downUntil[target] ?? 0) <= now ? [target] : []);
        const target = up[Math.floor(this.random.nextFraction() * up.length)];
        if (isHeld || target === undefined) {
            return;
        }
        this.running[target]?.push({ fingerprint, caller, startedAt: now });
        if (!isOrdinary) {
            this.result.crashesOfRequest++;
            this.crash(target);
        }
    }

    private happens(probability: number): boolean {
        return this.random.nextFraction() < probability;
    }

    private finishCalls(): void {
        const { sharesCompletions } = this.options;
        const now = this.clock.now();
        this.running.forEach((calls, target) => {
            const done = calls.filter(({ startedAt }) => now - startedAt >= runMs);
            done.forEach(({ fingerprint, caller }) => {
                this.nodes[target]?.recordCompletion(fingerprint);
                if (sharesCompletions) {
                    this.nodes[caller]?.recordCompletion(fingerprint);
                }
            });
            this.running[target] = calls.filter(call => !done.includes(call));
        });
        if (sharesCompletions && now % 500 < stepMs) {
            this.nodes.forEach(node => node.completionsToReport(reportSpreadMs).forEach(report => this.store(report)));
        }
    }

    /** The calls in flight are lost, and the target starts again under another name. */
    private crash(target: number): void {
        const calls = this.running[target] ?? [];
        this.running[target] = [];
        const now = this.clock.now();
        this.downUntil[target] = now + downMs;
        const name = `${target}-${++this.incarnations}`;
        const inFlight = calls.map(({ fingerprint, startedAt }) => ({ fingerprint, ageMs: now - startedAt }));
        const crash = { target: name, at: this.clock.wallTime(), inFlight };
        const reports = this.nodes[target]?.recordTargetCrash(crash) ?? [];
        const { sharesCompletions } = this.options;
        reports.forEach(report => this.store(sharesCompletions ? report : { ...report, completedAt: undefined }));
    }

    private store(report: QuarantineReport): void {
        this.stored.push({ report, visibleAt: this.clock.now() + propagationMs });
    }

    private distribute(): void {
        for (let next = this.stored[this.distributed]; next !== undefined && next.visibleAt <= this.clock.now();) {
            const { report } = next;
            this.nodes.forEach(node => node.mergeReports([report]));
            next = this.stored[++this.distributed];
        }
    }

    private restart(): void {
        const { clock, options: { nodes } } = this;
        this.nodes = Array.from({ length: nodes }, (_, node) => new Quarantine({ node: `node-${node}`, clock }));
        this.nodes.forEach(node => node.mergeReports(this.stored.map(({ report }) => report)));
        this.distributed = this.stored.length;
    }
}

export function playQuarantine(options: PlayOptions): PlayResult {
    return new Play(options).run();
}
